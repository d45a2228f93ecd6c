"""All cells of a deployment: routes jobs to cells and rebalances waiting jobs."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from saddlestack.errors import ErrorKind
from saddlestack.models import ADJACENCY_ORDER, Assignment, JobSpec, Weights
from saddlestack.policy.cell import Cell
from saddlestack.policy.gang import Decision, Loss, Refusal
from saddlestack.policy.planner import CellSite
from saddlestack.policy.router import CellSummary, choose_cell, find_better_cell


class Fleet:
    """The cells of a deployment in one process, for replay.

    A daemon instead has one :class:`Cell` per scheduler and applies the same routing functions
    to the summaries that the cells publish.
    """

    def __init__(
        self,
        sites: Iterable[CellSite],
        assignments: Iterable[Assignment],
        weights: Weights,
        queue_limits: Mapping[str, int],
    ) -> None:
        self._assignments = list(assignments)
        self._halls: dict[str, str] = {}
        self.cells: dict[str, Cell] = {}
        self._cell_of: dict[str, str] = {}
        self._cell_of_vm: dict[str, str] = {}
        for site in sites:
            name = site.plan.name
            cell_assignments = [a for a in self._assignments if a.cell == name]
            self.cells[name] = Cell(
                name, site.workers, cell_assignments, weights, dict(queue_limits)
            )
            self._halls[name] = site.plan.data_hall
            self._cell_of_vm.update({worker.name: name for worker in site.workers})

    def submit(self, spec: JobSpec, now: float) -> Refusal | None:
        """Route a job to a cell and queue it there.

        :return: ``None``, or why the job was refused.
        """
        name = choose_cell(spec, self.summaries(), self._guaranteed_cells(spec))
        if name is None:
            return Refusal(ErrorKind.SHAPE_IMPOSSIBLE, f"no cell can ever hold {spec.shape}")
        refusal = self.cells[name].submit(spec, now)
        if refusal is None:
            self._cell_of[spec.job_id] = name
        return refusal

    def decide(self, now: float) -> list[Decision]:
        """Decide in every cell, then move waiting jobs to cells where they can start at once."""
        decisions = [d for cell in self.cells.values() for d in cell.decide(now)]
        if len(self.cells) > 1:
            decisions += self._rebalance(now)
        return decisions

    def _rebalance(self, now: float) -> list[Decision]:
        decisions: list[Decision] = []
        summaries = self.summaries()
        for name, cell in self.cells.items():
            if not cell.waiting:
                continue
            for gang in cell.movable():
                target = find_better_cell(gang.spec, name, summaries)
                if target is None:
                    continue
                cell.cancel(gang.job_id)
                self.cells[target].restore_waiting(
                    gang.spec,
                    gang.submitted,
                    attempt=gang.attempt,
                    progress=gang.progress,
                    resumed=gang.resumed,
                    deadline=gang.deadline,
                )
                self._cell_of[gang.job_id] = target
                decisions += self.cells[target].decide(now)
                summaries = self.summaries()
        return decisions

    def summaries(self) -> list[CellSummary]:
        """The current summaries of all cells."""
        return [cell.summary(self._halls[name]) for name, cell in self.cells.items()]

    def cell_of(self, job_id: str) -> Cell | None:
        """The cell that a job was routed to, or ``None`` for an unknown job."""
        name = self._cell_of.get(job_id)
        return None if name is None else self.cells[name]

    def cell_of_vm(self, vm: str) -> Cell:
        """The cell of a worker."""
        return self.cells[self._cell_of_vm[vm]]

    def vm_lost(self, vm: str, now: float) -> list[Loss]:
        """Record the loss of a worker."""
        return self.cell_of_vm(vm).vm_lost(vm, now)

    def _guaranteed_cells(self, spec: JobSpec) -> list[str]:
        found = []
        for name, cell in self.cells.items():
            for unit in cell.guarantees.of(spec.account):
                near = ADJACENCY_ORDER[unit.shape.adjacent] <= ADJACENCY_ORDER[spec.adjacent]
                if near and unit.shape.accelerators >= spec.accelerators:
                    found.append(name)
                    break
        return found
