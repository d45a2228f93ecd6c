"""All cells together: routes jobs to them and moves waiting ones where room is."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from saddlestack.errors import ErrorKind
from saddlestack.models import ADJACENCY_ORDER, Assignment, JobSpec, Weights
from saddlestack.policy.cell import Cell
from saddlestack.policy.gang import Decision, Loss, Refusal
from saddlestack.policy.planner import CellSite
from saddlestack.policy.router import CellSummary, choose_cell, find_better_cell


class Fleet:
    """The cells of a deployment under one roof, for replay.

    The daemon has one :class:`Cell` a scheduler and the same routing functions on what the
    cells announce.
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
            mine = [a for a in self._assignments if a.cell == name]
            self.cells[name] = Cell(name, site.workers, mine, weights, dict(queue_limits))
            self._halls[name] = site.plan.data_hall
            self._cell_of_vm.update({worker.name: name for worker in site.workers})

    def submit(self, spec: JobSpec, now: float) -> Refusal | None:
        """Route a job to a cell and take it in.

        :return: ``None``, or why it was not taken in.
        """
        name = choose_cell(spec, self.summaries(), self._guaranteed(spec))
        if name is None:
            return Refusal(ErrorKind.SHAPE_IMPOSSIBLE, f"no cell can ever hold {spec.shape}")
        refusal = self.cells[name].submit(spec, now)
        if refusal is None:
            self._cell_of[spec.job_id] = name
        return refusal

    def decide(self, now: float) -> list[Decision]:
        """Decide in every cell, then move waiting jobs to cells that have room for them."""
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
                there = find_better_cell(gang.spec, name, summaries)
                if there is None:
                    continue
                cell.cancel(gang.job_id)
                self.cells[there].restore_waiting(
                    gang.spec,
                    gang.submitted,
                    attempt=gang.attempt,
                    progress=gang.progress,
                    resumed=gang.resumed,
                    deadline=gang.deadline,
                )
                self._cell_of[gang.job_id] = there
                decisions += self.cells[there].decide(now)
                summaries = self.summaries()
        return decisions

    def summaries(self) -> list[CellSummary]:
        """What every cell would announce now."""
        return [cell.summary(self._halls[name]) for name, cell in self.cells.items()]

    def cell_of(self, job_id: str) -> Cell | None:
        """The cell that has a job."""
        name = self._cell_of.get(job_id)
        return None if name is None else self.cells[name]

    def cell_of_vm(self, vm: str) -> Cell:
        """The cell of a worker."""
        return self.cells[self._cell_of_vm[vm]]

    def vm_lost(self, vm: str, now: float) -> list[Loss]:
        """A worker is gone."""
        return self.cell_of_vm(vm).vm_lost(vm, now)

    def _guaranteed(self, spec: JobSpec) -> list[str]:
        found = []
        for name, cell in self.cells.items():
            for unit in cell.guarantees.of(spec.account):
                near = ADJACENCY_ORDER[unit.shape.adjacent] <= ADJACENCY_ORDER[spec.adjacent]
                if near and unit.shape.accelerators >= spec.accelerators:
                    found.append(name)
                    break
        return found
