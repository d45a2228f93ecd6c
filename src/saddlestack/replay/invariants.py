"""What always has to hold in a replay, checked beside the policy, from its decisions alone."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from saddlestack.models import Adjacency, JobSpec, Part
from saddlestack.policy.cell import Cell
from saddlestack.policy.gang import Start
from saddlestack.policy.guarantees import Unit
from saddlestack.policy.planner import CellSite

MAX_LISTED = 50


class InvariantChecker:
    """Keeps its own account of who holds what, and notes every violation."""

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

    def note(self, now: float, text: str) -> None:
        """Keep a violation."""
        if len(self.violations) < MAX_LISTED:
            self.violations.append(f"t={now:g}: {text}")

    def vm(self, name: str, *, up: bool, leaving: bool) -> None:
        """A worker came, went or is leaving."""
        for names, member in ((self.down, not up), (self._leaving, leaving)):
            names.discard(name)
            if member:
                names.add(name)

    def started(self, now: float, spec: JobSpec, start: Start) -> None:
        """A gang starts."""
        if spec.job_id in self.running:
            self.note(now, f"{spec.job_id} was started while it runs")
        self._check_whole(now, spec, start.parts)
        for part in start.parts:
            if part.vm in self._leaving or part.vm in self.down:
                self.note(now, f"{spec.job_id} was started on {part.vm}, which takes no work")
        if not start.resumed:
            self._starts[spec.job_id] = self._starts.get(spec.job_id, 0) + 1
            if spec.run_once and self._starts[spec.job_id] > 1:
                self.note(now, f"run-once {spec.job_id} was started again")
        self.running[spec.job_id] = start.parts
        self._hold(now, start.parts, 1)

    def ended(self, now: float, job_id: str) -> None:
        """A gang's room is given back."""
        held = self.running.pop(job_id, None)
        if held is None:
            self.note(now, f"{job_id} ended without running")
            return
        self._hold(now, held, -1)

    def starts(self, job_id: str) -> int:
        """Fresh starts of a job; going on from a checkpoint is none."""
        return self._starts.get(job_id, 0)

    def guarantees(self, now: float, cell: Cell, missing_before: int) -> None:
        """Every account's unused guaranteed shapes fit at the same time, as far as VMs allow.

        The cell names a place for each unused shape; the places are checked against what
        runs. A shape may lack a place only while VMs are missing, and a decision may never
        be what takes a place away.

        :param missing_before: shapes without a place before the decision.
        """
        pins = self._pins(now, cell)
        self._check_charges(now, cell)
        taken = dict(pins)
        missing = 0
        for unit in cell.guarantees.units:
            if not unit.left:
                continue
            if unit.witness is None:
                missing += 1
                continue
            self._check_place(now, cell, unit)
            for worker, count in unit.witness:
                name = cell.resources.workers[worker].name
                accelerators, tasks = taken.get(name, (0, 0))
                taken[name] = (accelerators + count, tasks + 1)
        for name, (accelerators, tasks) in taken.items():
            worker_info = self._workers[name]
            if accelerators > worker_info.accelerators or tasks > worker_info.slots:
                self.note(now, f"guaranteed shapes overlap on {name}")
        self._check_missing(now, cell, missing, missing_before)

    def _check_missing(self, now: float, cell: Cell, missing: int, before: int) -> None:
        closed = any(not cell.resources.open(w) for w in range(len(cell.resources.total)))
        if missing and not closed:
            self.note(now, f"{missing} guaranteed shapes of cell {cell.name} can't be formed")
        elif missing > before:
            self.note(now, f"a decision in cell {cell.name} took a guaranteed shape away")

    def _check_place(self, now: float, cell: Cell, unit: Unit) -> None:
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
            self.note(now, f"the place kept for {unit.account}'s {unit.shape} is none")

    def _check_charges(self, now: float, cell: Cell) -> None:
        """What accounts are charged for is what they run as guaranteed."""
        charged: dict[str, int] = {}
        for gang in cell.running.values():
            if gang.charge is not None:
                account = gang.spec.account
                charged[account] = charged.get(account, 0) + gang.spec.accelerators
        used: dict[str, int] = {}
        for unit in cell.guarantees.units:
            if not 0 <= unit.used <= unit.shape.accelerators:
                self.note(now, f"{unit.account} is charged {unit.used} of {unit.shape}")
            used[unit.account] = used.get(unit.account, 0) + unit.used
        for account, count in used.items():
            if charged.get(account, 0) != count:
                self.note(now, f"{account} is charged {count}, runs {charged.get(account, 0)}")

    def _pins(self, now: float, cell: Cell) -> dict[str, tuple[int, int]]:
        """Accelerators and slots of gangs that can't be taken back, by worker."""
        pins: dict[str, tuple[int, int]] = {}
        for job_id, gang in cell.running.items():
            if gang.charge is None and gang.spec.reclaimable:
                continue
            held = self.running.get(job_id)
            if held is None:
                self.note(now, f"{job_id} runs without having started")
                continue
            for part in held:
                accelerators, tasks = pins.get(part.vm, (0, 0))
                pins[part.vm] = (accelerators + part.accelerators, tasks + 1)
        return pins

    def _check_whole(self, now: float, spec: JobSpec, parts: tuple[Part, ...]) -> None:
        total = sum(part.accelerators for part in parts)
        vms = {part.vm for part in parts}
        if total != spec.accelerators or len(vms) != len(parts):
            self.note(now, f"{spec.job_id} started with {total} of {spec.accelerators}")
        cells = {self._cell_of[vm] for vm in vms}
        racks = {self._workers[vm].rack for vm in vms}
        too_far = (
            len(cells) > 1
            or (spec.adjacent is Adjacency.RACK and len(racks) > 1)
            or (spec.adjacent is Adjacency.WORKER and len(vms) > 1)
        )
        if too_far:
            self.note(now, f"{spec.job_id} is spread wider than {spec.adjacent}")

    def _hold(self, now: float, parts: Iterable[Part], sign: int) -> None:
        for part in parts:
            self._used[part.vm] += sign * part.accelerators
            self._slots[part.vm] += sign
            worker = self._workers[part.vm]
            if self._used[part.vm] > worker.accelerators:
                self.note(now, f"{part.vm} holds {self._used[part.vm]} accelerators")
            if self._slots[part.vm] > worker.slots:
                self.note(now, f"{part.vm} uses {self._slots[part.vm]} slots")
