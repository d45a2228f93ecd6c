"""The scheduling policy of one cell.

A :class:`Cell` takes events (submissions, completions, VMs lost and restored) and returns
decisions. It reads no clock and does no I/O, so the daemon, the replay and the tests all run
the same code.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from saddlestack.errors import ErrorKind
from saddlestack.models import (
    ADJACENCY_ORDER,
    Assignment,
    JobClass,
    JobSpec,
    JobState,
    Part,
    Shape,
    Weights,
)
from saddlestack.policy.defrag import Consolidation
from saddlestack.policy.gang import (
    CLASS_RANK,
    Decision,
    Gang,
    Loss,
    Reclaim,
    ReclaimMethod,
    Refusal,
    Start,
)
from saddlestack.policy.guarantees import Charge, Guarantees, largest_beside_guarantees
from saddlestack.policy.packing import Shares
from saddlestack.policy.placement import find_placement
from saddlestack.policy.queue import Estimator, Reservation
from saddlestack.policy.resources import CellResources, WorkerInfo
from saddlestack.policy.round import Round
from saddlestack.policy.router import CellSummary

CONSOLIDATION_INTERVAL_S = 10.0
MAX_MOVES_PER_ROUND = 4
FULL_ROUND_INTERVAL_S = 10.0
QUEUE_FULL_RETRY_S = 5.0
DEFAULT_QUEUE_LIMIT = 1000


class Cell:
    """Schedules the gangs of one cell of workers.

    :param name: the cell's name.
    :param workers: its workers, rack by rack.
    :param assignments: the guaranteed shapes assigned to the cell.
    :param weights: how completion time is weighed against fragmentation.
    :param queue_limits: the maximum number of waiting jobs of each account.
    """

    def __init__(
        self,
        name: str,
        workers: Sequence[WorkerInfo],
        assignments: Iterable[Assignment] = (),
        weights: Weights | None = None,
        queue_limits: dict[str, int] | None = None,
    ) -> None:
        self.name = name
        self.resources = CellResources(workers)
        self.guarantees = Guarantees(self.resources, assignments)
        self.waiting: dict[str, Gang] = {}
        self.running: dict[str, Gang] = {}
        self.estimator = Estimator()
        self._weights = weights or Weights()
        self._queue_limits = queue_limits or {}
        self._gangs_on: list[dict[str, Gang]] = [{} for _ in workers]
        self._borrowed: dict[str, int] = {}
        self.lent = [[0] * len(workers) for _ in CLASS_RANK]
        self._last_order = 0
        self._next_consolidation = 0.0
        self._changed = True
        self._last_full_round = float("-inf")
        self._new_jobs: list[str] = []
        self._reservations: list[tuple[Reservation, int]] = []
        self._largest_pinnable = largest_beside_guarantees(self.resources, self.guarantees)

    def submit(
        self, spec: JobSpec, now: float, *, progress: float = 0.0, deadline: float | None = None
    ) -> Refusal | None:
        """Queue a new job.

        :param deadline: time on the clock of ``now`` after which the job must not start.
        :return: ``None``, or why the job was refused; the cell is then unchanged.
        """
        refusal = self._refusal(spec)
        if refusal is None:
            self.restore_waiting(spec, now, progress=progress, deadline=deadline)
        return refusal

    def restore_waiting(
        self,
        spec: JobSpec,
        submitted: float,
        *,
        attempt: int = 0,
        progress: float = 0.0,
        resumed: bool = False,
        deadline: float | None = None,
    ) -> None:
        """Queue a job that was accepted earlier, for example before a failover."""
        gang = Gang(spec, submitted, self._next_order())
        gang.attempt = attempt
        gang.progress = progress
        gang.resumed = resumed or progress > 0
        gang.deadline = deadline
        self.waiting[gang.job_id] = gang
        self._new_jobs.append(gang.job_id)

    def restore_running(
        self,
        spec: JobSpec,
        parts: Iterable[Part],
        *,
        submitted: float,
        started: float,
        attempt: int,
        progress: float = 0.0,
    ) -> None:
        """Record a gang that was already running, for example before a failover."""
        gang = Gang(spec, submitted, self._next_order())
        gang.attempt = attempt
        gang.started = started
        gang.progress = progress
        shares = tuple((self.resources.index[part.vm], part.accelerators) for part in parts)
        charge = self.guarantees.charge_for(spec)
        if charge is not None and not self.guarantees.admit(charge, shares):
            charge = None
        self._allocate(gang, shares, charge)

    def finished(self, job_id: str, now: float) -> None:
        """Record that a running gang ended by itself."""
        gang = self.running[job_id]
        self.estimator.record(gang.spec, now - gang.started + gang.progress)
        self._release(gang)

    def cancel(self, job_id: str) -> bool:
        """Remove a job, whether it waits or runs.

        :return: whether it was running.
        """
        if self.waiting.pop(job_id, None) is not None:
            return False
        self._release(self.running[job_id])
        return True

    def abort_start(self, job_id: str) -> None:
        """Undo a start that was decided but did not happen: the gang is queued again."""
        gang = self.running[job_id]
        self._release(gang)
        self._requeue(gang)

    def vm_lost(self, name: str, now: float) -> list[Loss]:
        """Record the loss of a worker and of every gang that had a part on it.

        :rtype: list[Loss]
        """
        worker = self.resources.index[name]
        self._changed = True
        affected = list(self._gangs_on[worker].values())
        self.resources.set_state(worker, up=False, leaving=False)
        losses = [self._lose_gang(gang, now) for gang in affected]
        self.guarantees.repack()
        return losses

    def vm_leaving(self, name: str) -> None:
        """Close a worker to new work; gangs that run on it continue."""
        worker = self.resources.index[name]
        self._changed = True
        self.resources.set_state(worker, up=self.resources.up[worker], leaving=True)
        self.guarantees.repack()

    def vm_back(self, name: str) -> None:
        """Open a worker to new work again."""
        self._changed = True
        self.resources.set_state(self.resources.index[name], up=True, leaving=False)
        self.guarantees.repack()

    def configure(
        self, assignments: Iterable[Assignment], weights: Weights, queue_limits: dict[str, int]
    ) -> None:
        """Apply a new configuration and charge all running gangs to its guarantees."""
        self._changed = True
        self._weights = weights
        self._queue_limits = queue_limits
        gangs = sorted(self.running.values(), key=lambda gang: (gang.charge is None, gang.order))
        for gang in gangs:
            gang.charge = None
        self._unpin_all(gangs)
        self.guarantees = Guarantees(self.resources, assignments)
        self._largest_pinnable = largest_beside_guarantees(self.resources, self.guarantees)
        for gang in gangs:
            self._charge_in_place(gang)

    def decide(self, now: float) -> list[Decision]:
        """Decide which gangs to start, reclaim and expire.

        A reclaim always comes before the start that needs its accelerators.

        :rtype: list[Decision]
        """
        decisions = self._run_round(now) if self.waiting else []
        if self.scatter and self.running:
            decisions += self._consolidate(now)
        return decisions

    def formable(self, account: str) -> bool:
        """Whether all unused guaranteed shapes of an account could be formed now."""
        return all(unit.witness is not None for unit in self.guarantees.of(account) if unit.left)

    def can_hold(self, shape: Shape) -> bool:
        """Whether the shape would fit if the cell were empty."""
        return shape.accelerators <= self.resources.largest_possible(
            ADJACENCY_ORDER[shape.adjacent]
        )

    def queued(self, job_class: JobClass | None = None) -> int:
        """The number of waiting jobs, of one class or in total."""
        if job_class is None:
            return len(self.waiting)
        return sum(1 for gang in self.waiting.values() if gang.spec.job_class is job_class)

    def movable(self) -> list[Gang]:
        """Waiting gangs that may move to another cell, in order.

        Run-once jobs that have started stay. Gangs whose account has an unused guarantee in
        this cell stay too, because they wait only for capacity that is already theirs.
        """
        found = [
            gang
            for gang in self.waiting.values()
            if not (gang.attempt and gang.spec.run_once)
            and self.guarantees.charge_for(gang.spec) is None
        ]
        return sorted(found, key=lambda gang: (gang.rank, gang.order))

    def summary(self, data_hall: str) -> CellSummary:
        """The summary that the cell's scheduler publishes for routing."""
        resources = self.resources
        queued = [0, 0, 0]
        lent = [sum(counts) for counts in self.lent]
        for gang in self.waiting.values():
            queued[gang.rank] += gang.spec.accelerators
        return CellSummary(
            self.name,
            data_hall,
            (
                resources.largest_possible(0),
                resources.largest_possible(1),
                resources.largest_possible(2),
            ),
            self._largest_pinnable,
            (
                max(resources.free, default=0),
                max(resources.rack_free, default=0),
                sum(resources.free),
            ),
            (queued[0], queued[1], queued[2]),
            (lent[1] + lent[2], lent[2], 0),
            sum(resources.total),
        )

    def place_free(self, shape: Shape) -> Shares | None:
        """The placement of a shape in free capacity, or ``None`` if it does not fit."""
        return find_placement(
            shape, self.resources.free, self.resources.racks, scatter=self.scatter
        )

    @property
    def scatter(self) -> bool:
        """Whether hall-wide gangs use partly used workers first."""
        return self._weights.fragmentation >= self._weights.completion

    @property
    def borrowed(self) -> dict[str, int]:
        """Accelerators that each account uses beyond its guarantees."""
        return self._borrowed

    def gangs_on(self) -> Sequence[dict[str, Gang]]:
        """The gangs that run on each worker, by job id."""
        return self._gangs_on

    def start(self, gang: Gang, shares: Shares, charge: Charge | None, now: float) -> Start:
        """Start a waiting gang on the given shares."""
        del self.waiting[gang.job_id]
        gang.attempt += 1
        gang.started = now
        self._allocate(gang, shares, charge)
        parts = tuple(Part(self.resources.workers[w].name, count) for w, count in shares)
        return Start(
            gang.job_id, gang.attempt, parts, gang.progress, charge is not None, gang.resumed
        )

    def evict(self, gang: Gang, now: float, *, moved: bool = False) -> Reclaim:
        """Stop a running gang, free its accelerators and queue it again."""
        lost = gang.loss(now)
        method = ReclaimMethod.CHECKPOINT if gang.spec.checkpoint else ReclaimMethod.STOP
        if gang.spec.checkpoint:
            gang.progress += now - gang.started
            gang.resumed = True
        self._release(gang)
        self._requeue(gang)
        if moved:
            gang.moved = now
        return Reclaim(gang.job_id, gang.attempt, method, lost, moved)

    def undo_evict(
        self, gang: Gang, shares: Shares, charge: Charge | None, progress: float
    ) -> None:
        """Restore an evicted gang to its shares, as if it had never been evicted."""
        del self.waiting[gang.job_id]
        gang.progress = progress
        self._allocate(gang, shares, charge)

    def _run_round(self, now: float) -> list[Decision]:
        """Schedule the whole queue if capacity was freed, otherwise only new gangs.

        A blocked gang stays blocked until a gang ends, a VM changes, or
        ``FULL_ROUND_INTERVAL_S`` has passed since the last full round.
        """
        whole = self._changed or now - self._last_full_round >= FULL_ROUND_INTERVAL_S
        if whole:
            self._last_full_round = now
            self._reservations = []
            gangs = list(self.waiting.values())
        else:
            gangs = [self.waiting[j] for j in self._new_jobs if j in self.waiting]
        self._changed = False
        self._new_jobs.clear()
        decisions = Round(self, now, self._reservations).run(gangs)
        self._changed = any(isinstance(decision, Reclaim) for decision in decisions)
        return decisions

    def _consolidate(self, now: float) -> list[Decision]:
        """Move gangs one at a time to reduce fragmentation of the free capacity."""
        if now < self._next_consolidation:
            return []
        expected = self.estimator.expected
        ends = [
            (gang, gang.started + expected(gang.spec) - gang.progress)
            for gang in self.running.values()
        ]
        move = Consolidation(self.resources, now).best(ends)
        if move is None:
            return []
        decisions: list[Decision] = []
        while move is not None and len(decisions) < 2 * MAX_MOVES_PER_ROUND:
            decisions.append(self.evict(move.gang, now, moved=True))
            decisions.append(self.start(move.gang, move.shares, None, now))
            move = Consolidation(self.resources, now).best(ends)
        self._next_consolidation = now + CONSOLIDATION_INTERVAL_S
        return decisions

    def _refusal(self, spec: JobSpec) -> Refusal | None:
        if spec.job_id in self.waiting or spec.job_id in self.running:
            return Refusal(ErrorKind.CONFLICT, f"job {spec.job_id} is already known")
        if not self.can_hold(spec.shape):
            return Refusal(
                ErrorKind.SHAPE_IMPOSSIBLE, f"no cell {self.name} worker can hold {spec.shape}"
            )
        if not self._can_ever_pin(spec):
            return Refusal(
                ErrorKind.SHAPE_IMPOSSIBLE,
                f"{spec.shape} cannot be reclaimed and leaves too little for the guarantees of "
                f"cell {self.name}",
            )
        limit = self._queue_limits.get(spec.account, DEFAULT_QUEUE_LIMIT)
        waiting = sum(1 for gang in self.waiting.values() if gang.spec.account == spec.account)
        if waiting >= limit:
            message = f"account {spec.account} already has {waiting} jobs waiting"
            return Refusal(ErrorKind.QUEUE_FULL, message, QUEUE_FULL_RETRY_S)
        return None

    def _can_ever_pin(self, spec: JobSpec) -> bool:
        """Whether a job could ever run here, given that it may not be reclaimable."""
        if spec.reclaimable or self.guarantees.could_cover(spec):
            return True
        index = ADJACENCY_ORDER[spec.adjacent]
        return spec.accelerators <= self._largest_pinnable[index]

    def _next_order(self) -> int:
        self._last_order += 1
        return self._last_order

    def _allocate(self, gang: Gang, shares: Shares, charge: Charge | None) -> None:
        gang.shares = shares
        gang.charge = charge
        gang.pinned = charge is not None or not gang.spec.reclaimable
        gang.state = JobState.RUNNING
        self.resources.take(shares, pinned=gang.pinned)
        self._count_lent(gang, 1)
        for worker, _ in shares:
            self._gangs_on[worker][gang.job_id] = gang
        self.running[gang.job_id] = gang
        if charge is None:
            self._count_borrowed(gang, 1)
        else:
            self.guarantees.occupy(charge, gang.job_id)

    def _release(self, gang: Gang) -> None:
        del self.running[gang.job_id]
        self._changed = True
        for worker, _ in gang.shares:
            del self._gangs_on[worker][gang.job_id]
        self.resources.give_back(gang.shares, pinned=gang.pinned)
        self._count_lent(gang, -1)
        charge, shares = gang.charge, gang.shares
        gang.shares = ()
        gang.charge = None
        if charge is None:
            self._count_borrowed(gang, -1)
        else:
            self.guarantees.release(charge, gang.job_id, shares)
            self._promote_borrowers(gang.spec.account)
        if gang.pinned and charge is None:
            self.guarantees.restore_witnesses()

    def _promote_borrowers(self, account: str) -> None:
        for gang in list(self.running.values()):
            if gang.spec.account == account and gang.charge is None:
                self._charge_in_place(gang)

    def _charge_in_place(self, gang: Gang) -> None:
        charge = self.guarantees.charge_for(gang.spec)
        was_pinned = gang.pinned
        self.resources.give_back(gang.shares, pinned=was_pinned)
        self._count_lent(gang, -1)
        if charge is not None and not self.guarantees.admit(charge, gang.shares):
            charge = None
        gang.pinned = charge is not None or not gang.spec.reclaimable
        self.resources.take(gang.shares, pinned=gang.pinned)
        self._count_lent(gang, 1)
        if charge is not None:
            gang.charge = charge
            self.guarantees.occupy(charge, gang.job_id)
            self._count_borrowed(gang, -1)

    def _unpin_all(self, gangs: Iterable[Gang]) -> None:
        self._borrowed = {}
        for gang in gangs:
            self.resources.give_back(gang.shares, pinned=gang.pinned)
            self._count_lent(gang, -1)
            gang.pinned = not gang.spec.reclaimable
            self.resources.take(gang.shares, pinned=gang.pinned)
            self._count_lent(gang, 1)
            self._count_borrowed(gang, 1)

    def _count_borrowed(self, gang: Gang, sign: int) -> None:
        account = gang.spec.account
        self._borrowed[account] = self._borrowed.get(account, 0) + sign * gang.spec.accelerators

    def _count_lent(self, gang: Gang, sign: int) -> None:
        """Count the accelerators held by reclaimable gangs, by class rank and worker."""
        if gang.pinned:
            return
        lent = self.lent[gang.rank]
        for worker, count in gang.shares:
            lent[worker] += sign * count

    def _requeue(self, gang: Gang) -> None:
        gang.state = JobState.QUEUED
        self.waiting[gang.job_id] = gang

    def _lose_gang(self, gang: Gang, now: float) -> Loss:
        lost = gang.work(now)
        self._release(gang)
        if gang.spec.run_once:
            gang.state = JobState.UNKNOWN
        else:
            self._requeue(gang)
        return Loss(gang.job_id, gang.attempt, gang.state, lost)
