"""Invariants of a replay, checked independently of the policy from its decisions alone."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from saddlestack.models import Adjacency, JobSpec, Part
from saddlestack.policy.cell import Cell
from saddlestack.policy.gang import Start
from saddlestack.policy.guarantees import Unit
from saddlestack.policy.planner import CellSite

MAX_LISTED = 50


class InvariantChecker:
    """Tracks the allocations of all jobs and records up to :data:`MAX_LISTED` violations."""

    def __init__(self, sites: Sequence[CellSite]) -> None:
        self.violations: list[str] = []
        self.running: dict[str, tuple[Part, ...]] = {}
        self._cell_of = {w.name: site.plan.name for site in sites for w in site.workers}
        self._workers = {w.name: w for site in sites for w in site.workers}
        self._used = dict.fromkeys(self._workers, 0)
        self._slots = dict.fromkeys(self._workers, 0)
        self.down: set[str] = set()
        self._leaving: set[str] = set()
        self._starts: dict[str, int] = {}

    def add_violation(self, now: float, text: str) -> None:
        """Record a violation, unless :data:`MAX_LISTED` are recorded."""
        if len(self.violations) < MAX_LISTED:
            self.violations.append(f"t={now:g}: {text}")

    def set_worker_state(self, name: str, *, up: bool, leaving: bool) -> None:
        """Record whether a worker is up and whether it is leaving."""
        for names, member in ((self.down, not up), (self._leaving, leaving)):
            names.discard(name)
            if member:
                names.add(name)

    def started(self, now: float, spec: JobSpec, start: Start) -> None:
        """Check the start of a gang and record its allocation."""
        if spec.job_id in self.running:
            self.add_violation(now, f"{spec.job_id} was started while it runs")
        self._check_gang(now, spec, start.parts)
        for part in start.parts:
            if part.vm in self._leaving or part.vm in self.down:
                self.add_violation(
                    now,
                    f"{spec.job_id} was started on {part.vm}, which accepts no work",
                )
        if not start.resumed:
            self._starts[spec.job_id] = self._starts.get(spec.job_id, 0) + 1
            if spec.run_once and self._starts[spec.job_id] > 1:
                self.add_violation(now, f"run-once {spec.job_id} was started again")
        self.running[spec.job_id] = start.parts
        self._update_usage(now, start.parts, 1)

    def ended(self, now: float, job_id: str) -> None:
        """Release the allocation of a gang that ended."""
        held = self.running.pop(job_id, None)
        if held is None:
            self.add_violation(now, f"{job_id} ended without running")
            return
        self._update_usage(now, held, -1)

    def fresh_starts(self, job_id: str) -> int:
        """Return the number of fresh starts of a job; resuming from a checkpoint does not count."""
        return self._starts.get(job_id, 0)

    def check_guarantees(self, now: float, cell: Cell, missing_before: int) -> None:
        """Check that the unused guaranteed shapes of all accounts fit at the same time.

        The cell names a witness for each unused shape: the workers reserved for it. Witnesses are
        checked against what runs. A shape may lack a witness only while VMs are missing, and no
        decision may cause the loss of a witness.

        :param missing_before: number of shapes without a witness before the decision.
        """
        non_reclaimable = self._non_reclaimable(now, cell)
        self._check_charges(now, cell)
        taken = dict(non_reclaimable)
        missing = 0
        for unit in cell.guarantees.units:
            if not unit.left:
                continue
            if unit.witness is None:
                missing += 1
                continue
            self._check_witness(now, cell, unit)
            for worker, count in unit.witness:
                name = cell.resources.workers[worker].name
                accelerators, tasks = taken.get(name, (0, 0))
                taken[name] = (accelerators + count, tasks + 1)
        for name, (accelerators, tasks) in taken.items():
            worker_info = self._workers[name]
            if accelerators > worker_info.accelerators or tasks > worker_info.slots:
                self.add_violation(now, f"guaranteed shapes overlap on {name}")
        self._check_missing(now, cell, missing, missing_before)

    def _check_missing(self, now: float, cell: Cell, missing: int, before: int) -> None:
        closed = any(not cell.resources.open(w) for w in range(len(cell.resources.total)))
        if missing and not closed:
            self.add_violation(
                now, f"{missing} guaranteed shapes of cell {cell.name} can't be formed"
            )
        elif missing > before:
            self.add_violation(now, f"a decision in cell {cell.name} took a guaranteed shape away")

    def _check_witness(self, now: float, cell: Cell, unit: Unit) -> None:
        shares = unit.witness or ()
        workers = [cell.resources.workers[w] for w, _ in shares]
        near = {
            Adjacency.WORKER: len(workers) == 1,
            Adjacency.RACK: len({worker.rack for worker in workers}) == 1,
            Adjacency.HALL: True,
        }[unit.shape.adjacent]
        whole = sum(count for _, count in shares) == unit.left
        here = not any(w.name in self.down or w.name in self._leaving for w in workers)
        if not (near and whole and here):
            self.add_violation(now, f"the witness for {unit.account}'s {unit.shape} is not valid")

    def _check_charges(self, now: float, cell: Cell) -> None:
        """Check that the guarantees charged to each account match its running guaranteed gangs."""
        charged: dict[str, int] = {}
        for gang in cell.running.values():
            if gang.charge is not None:
                account = gang.spec.account
                charged[account] = charged.get(account, 0) + gang.spec.accelerators
        used: dict[str, int] = {}
        for unit in cell.guarantees.units:
            if not 0 <= unit.used <= unit.shape.accelerators:
                self.add_violation(now, f"{unit.account} is charged {unit.used} of {unit.shape}")
            used[unit.account] = used.get(unit.account, 0) + unit.used
        for account, count in used.items():
            if charged.get(account, 0) != count:
                self.add_violation(
                    now, f"{account} is charged {count}, runs {charged.get(account, 0)}"
                )

    def _non_reclaimable(self, now: float, cell: Cell) -> dict[str, tuple[int, int]]:
        """Return accelerators and slots of gangs that can't be reclaimed, by worker."""
        non_reclaimable: dict[str, tuple[int, int]] = {}
        for job_id, gang in cell.running.items():
            if gang.charge is None and gang.spec.reclaimable:
                continue
            held = self.running.get(job_id)
            if held is None:
                self.add_violation(now, f"{job_id} runs without having started")
                continue
            for part in held:
                accelerators, tasks = non_reclaimable.get(part.vm, (0, 0))
                non_reclaimable[part.vm] = (
                    accelerators + part.accelerators,
                    tasks + 1,
                )
        return non_reclaimable

    def _check_gang(self, now: float, spec: JobSpec, parts: tuple[Part, ...]) -> None:
        total = sum(part.accelerators for part in parts)
        vms = {part.vm for part in parts}
        if total != spec.accelerators or len(vms) != len(parts):
            self.add_violation(now, f"{spec.job_id} started with {total} of {spec.accelerators}")
        cells = {self._cell_of[vm] for vm in vms}
        racks = {self._workers[vm].rack for vm in vms}
        is_too_wide = (
            len(cells) > 1
            or (spec.adjacent is Adjacency.RACK and len(racks) > 1)
            or (spec.adjacent is Adjacency.WORKER and len(vms) > 1)
        )
        if is_too_wide:
            self.add_violation(now, f"{spec.job_id} is spread wider than {spec.adjacent}")

    def _update_usage(self, now: float, parts: Iterable[Part], sign: int) -> None:
        for part in parts:
            self._used[part.vm] += sign * part.accelerators
            self._slots[part.vm] += sign
            worker = self._workers[part.vm]
            if self._used[part.vm] > worker.accelerators:
                self.add_violation(
                    now,
                    f"{part.vm} holds {self._used[part.vm]} accelerators",
                )
            if self._slots[part.vm] > worker.slots:
                self.add_violation(now, f"{part.vm} uses {self._slots[part.vm]} slots")
