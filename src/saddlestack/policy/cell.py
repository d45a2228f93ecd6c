"""The scheduler of one cell: events in, decisions out.

A :class:`Cell` is told what happened (submissions, ends, VMs that come and go) and asked to
decide. It reads no clock and does no I/O; the daemon, the replay and the tests drive the
same object.
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

MOVE_EVERY_S = 10.0
MOVES_AT_ONCE = 4
WHOLE_QUEUE_S = 10.0
QUEUE_RETRY_S = 5.0
DEFAULT_QUEUE = 1000


class Cell:
    """Decides for one cell of workers.

    :param name: the cell's name.
    :param workers: its workers, rack by rack.
    :param assignments: the guaranteed shapes assigned to the cell.
    :param weights: completion time against fragmentation.
    :param queue_limits: waiting jobs allowed, by account.
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
        self._orders = 0
        self._next_move = 0.0
        self._changed = True
        self._considered = float("-inf")
        self._fresh: list[str] = []
        self._held: list[tuple[Reservation, int]] = []
        self._pinnable = largest_beside_guarantees(self.resources, self.guarantees)

    # Events

    def submit(
        self, spec: JobSpec, now: float, *, progress: float = 0.0, deadline: float | None = None
    ) -> Refusal | None:
        """Take a job into the queue.

        :param deadline: time on the clock of ``now`` after which it is not to start.
        :return: ``None``, or why the job was not taken in; then nothing has changed.
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
        """Queue a job that was accepted before, as after a take-over."""
        gang = Gang(spec, submitted, self._next_order())
        gang.attempt = attempt
        gang.progress = progress
        gang.resumed = resumed or progress > 0
        gang.deadline = deadline
        self.waiting[gang.job_id] = gang
        self._fresh.append(gang.job_id)

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
        """Note a gang that was running before a take-over."""
        gang = Gang(spec, submitted, self._next_order())
        gang.attempt = attempt
        gang.started = started
        gang.progress = progress
        shares = tuple((self.resources.index[part.vm], part.accelerators) for part in parts)
        charge = self.guarantees.charge_for(spec)
        if charge is not None and not self.guarantees.admit(charge, shares):
            charge = None
        self._occupy(gang, shares, charge)

    def finished(self, job_id: str, now: float) -> None:
        """A running gang ended by itself."""
        gang = self.running[job_id]
        self.estimator.record(gang.spec, now - gang.started + gang.progress)
        self._vacate(gang)

    def cancel(self, job_id: str) -> bool:
        """Drop a job, waiting or running.

        :return: whether it was running.
        """
        if self.waiting.pop(job_id, None) is not None:
            return False
        self._vacate(self.running[job_id])
        return True

    def abort_start(self, job_id: str) -> None:
        """A start that was decided did not happen: the gang waits again."""
        gang = self.running[job_id]
        self._vacate(gang)
        self._requeue(gang)

    def vm_lost(self, name: str, now: float) -> list[Loss]:
        """A worker is gone, and with it every gang that had a part there.

        :rtype: list[Loss]
        """
        worker = self.resources.index[name]
        self._changed = True
        hurt = list(self._gangs_on[worker].values())
        self.resources.set_state(worker, up=False, leaving=False)
        losses = [self._lose(gang, now) for gang in hurt]
        self.guarantees.repack()
        return losses

    def vm_leaving(self, name: str) -> None:
        """A worker is to receive no new work; what runs there goes on."""
        worker = self.resources.index[name]
        self._changed = True
        self.resources.set_state(worker, up=self.resources.up[worker], leaving=True)
        self.guarantees.repack()

    def vm_back(self, name: str) -> None:
        """A worker serves again."""
        self._changed = True
        self.resources.set_state(self.resources.index[name], up=True, leaving=False)
        self.guarantees.repack()

    def configure(
        self, assignments: Iterable[Assignment], weights: Weights, queue_limits: dict[str, int]
    ) -> None:
        """Put a new configuration in force; running gangs are charged anew."""
        self._changed = True
        self._weights = weights
        self._queue_limits = queue_limits
        gangs = sorted(self.running.values(), key=lambda gang: (gang.charge is None, gang.order))
        for gang in gangs:
            gang.charge = None
        self._unpin_all(gangs)
        self.guarantees = Guarantees(self.resources, assignments)
        self._pinnable = largest_beside_guarantees(self.resources, self.guarantees)
        for gang in gangs:
            self._charge_in_place(gang)

    # Decisions

    def decide(self, now: float) -> list[Decision]:
        """Start, reclaim and expire what the state calls for.

        A reclaim always stands before the start it makes room for.

        :rtype: list[Decision]
        """
        decisions = self._pass(now) if self.waiting else []
        if self.scatter and self.running:
            decisions += self._consolidate(now)
        return decisions

    # Questions

    def formable(self, account: str) -> bool:
        """Whether all unused guaranteed shapes of an account can be formed now."""
        return all(unit.witness is not None for unit in self.guarantees.of(account) if unit.left)

    def possible(self, shape: Shape) -> bool:
        """Whether the empty cell could hold the shape."""
        return shape.accelerators <= self.resources.largest_possible(
            ADJACENCY_ORDER[shape.adjacent]
        )

    def queued(self, job_class: JobClass | None = None) -> int:
        """How many jobs wait, of a class or in all."""
        if job_class is None:
            return len(self.waiting)
        return sum(1 for gang in self.waiting.values() if gang.spec.job_class is job_class)

    def movable(self) -> list[Gang]:
        """Waiting gangs that may be handed to another cell, in order.

        Run-once work that has started stays, and so do gangs whose account has an unused
        guarantee here: they wait only for room that is theirs.
        """
        found = [
            gang
            for gang in self.waiting.values()
            if not (gang.attempt and gang.spec.run_once)
            and self.guarantees.charge_for(gang.spec) is None
        ]
        return sorted(found, key=lambda gang: (gang.rank, gang.order))

    def summary(self, data_hall: str) -> CellSummary:
        """What the cell's scheduler announces."""
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
            self._pinnable,
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
        """Where the shape would fit in free room, or ``None``."""
        return find_placement(
            shape, self.resources.free, self.resources.racks, scatter=self.scatter
        )

    @property
    def scatter(self) -> bool:
        """Whether hall-wide gangs go to broken workers first."""
        return self._weights.fragmentation >= self._weights.completion

    @property
    def borrowed(self) -> dict[str, int]:
        """Accelerators each account runs beyond its guarantees."""
        return self._borrowed

    def gangs_on(self) -> Sequence[dict[str, Gang]]:
        """The gangs running on each worker, by job id."""
        return self._gangs_on

    def start(self, gang: Gang, shares: Shares, charge: Charge | None, now: float) -> Start:
        """Move a waiting gang to its place."""
        del self.waiting[gang.job_id]
        gang.attempt += 1
        gang.started = now
        self._occupy(gang, shares, charge)
        parts = tuple(Part(self.resources.workers[w].name, count) for w, count in shares)
        return Start(
            gang.job_id, gang.attempt, parts, gang.progress, charge is not None, gang.resumed
        )

    def evict(self, gang: Gang, now: float, *, moved: bool = False) -> Reclaim:
        """Take a running gang's room back and queue it again."""
        lost = gang.loss(now)
        method = ReclaimMethod.CHECKPOINT if gang.spec.checkpoint else ReclaimMethod.STOP
        if gang.spec.checkpoint:
            gang.progress += now - gang.started
            gang.resumed = True
        self._vacate(gang)
        self._requeue(gang)
        if moved:
            gang.moved = now
        return Reclaim(gang.job_id, gang.attempt, method, lost, moved)

    def undo_evict(
        self, gang: Gang, shares: Shares, charge: Charge | None, progress: float
    ) -> None:
        """Put an evicted gang back where it was, as if nothing had been decided."""
        del self.waiting[gang.job_id]
        gang.progress = progress
        self._occupy(gang, shares, charge)

    # The rest

    def _pass(self, now: float) -> list[Decision]:
        """Consider the whole queue where room came free, else only gangs that are new.

        What was blocked stays blocked until something ends, a VM changes, or time passes.
        """
        whole = self._changed or now - self._considered >= WHOLE_QUEUE_S
        if whole:
            self._considered = now
            self._held = []
            gangs = list(self.waiting.values())
        else:
            gangs = [self.waiting[j] for j in self._fresh if j in self.waiting]
        self._changed = False
        self._fresh.clear()
        decisions = Round(self, now, self._held).run(gangs)
        self._changed = any(isinstance(decision, Reclaim) for decision in decisions)
        return decisions

    def _consolidate(self, now: float) -> list[Decision]:
        """Where fragmentation weighs most, bring free room together, a move at a time."""
        if now < self._next_move:
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
        while move is not None and len(decisions) < 2 * MOVES_AT_ONCE:
            decisions.append(self.evict(move.gang, now, moved=True))
            decisions.append(self.start(move.gang, move.shares, None, now))
            move = Consolidation(self.resources, now).best(ends)
        self._next_move = now + MOVE_EVERY_S
        return decisions

    def _refusal(self, spec: JobSpec) -> Refusal | None:
        if spec.job_id in self.waiting or spec.job_id in self.running:
            return Refusal(ErrorKind.CONFLICT, f"job {spec.job_id} is already known")
        if not self.possible(spec.shape):
            return Refusal(
                ErrorKind.SHAPE_IMPOSSIBLE, f"no cell {self.name} worker can hold {spec.shape}"
            )
        if not self._can_pin(spec):
            return Refusal(
                ErrorKind.SHAPE_IMPOSSIBLE,
                f"{spec.shape} can't be taken back and leaves no room for the guarantees of "
                f"cell {self.name}",
            )
        limit = self._queue_limits.get(spec.account, DEFAULT_QUEUE)
        waiting = sum(1 for gang in self.waiting.values() if gang.spec.account == spec.account)
        if waiting >= limit:
            message = f"account {spec.account} already has {waiting} jobs waiting"
            return Refusal(ErrorKind.QUEUE_FULL, message, QUEUE_RETRY_S)
        return None

    def _can_pin(self, spec: JobSpec) -> bool:
        """Whether a job that can't be taken back could ever run here."""
        if spec.reclaimable or self.guarantees.could_cover(spec):
            return True
        index = ADJACENCY_ORDER[spec.adjacent]
        return spec.accelerators <= self._pinnable[index]

    def _next_order(self) -> int:
        self._orders += 1
        return self._orders

    def _occupy(self, gang: Gang, shares: Shares, charge: Charge | None) -> None:
        gang.shares = shares
        gang.charge = charge
        gang.pinned = charge is not None or not gang.spec.reclaimable
        gang.state = JobState.RUNNING
        self.resources.take(shares, pinned=gang.pinned)
        self._lend(gang, 1)
        for worker, _ in shares:
            self._gangs_on[worker][gang.job_id] = gang
        self.running[gang.job_id] = gang
        if charge is None:
            self._borrow(gang, 1)
        else:
            self.guarantees.occupy(charge, gang.job_id)

    def _vacate(self, gang: Gang) -> None:
        del self.running[gang.job_id]
        self._changed = True
        for worker, _ in gang.shares:
            del self._gangs_on[worker][gang.job_id]
        self.resources.give_back(gang.shares, pinned=gang.pinned)
        self._lend(gang, -1)
        charge, shares = gang.charge, gang.shares
        gang.shares = ()
        gang.charge = None
        if charge is None:
            self._borrow(gang, -1)
        else:
            self.guarantees.release(charge, gang.job_id, shares)
            self._promote(gang.spec.account)
        if gang.pinned and charge is None:
            self.guarantees.restore_witnesses()

    def _promote(self, account: str) -> None:
        for gang in list(self.running.values()):
            if gang.spec.account == account and gang.charge is None:
                self._charge_in_place(gang)

    def _charge_in_place(self, gang: Gang) -> None:
        charge = self.guarantees.charge_for(gang.spec)
        was_pinned = gang.pinned
        self.resources.give_back(gang.shares, pinned=was_pinned)
        self._lend(gang, -1)
        if charge is not None and not self.guarantees.admit(charge, gang.shares):
            charge = None
        gang.pinned = charge is not None or not gang.spec.reclaimable
        self.resources.take(gang.shares, pinned=gang.pinned)
        self._lend(gang, 1)
        if charge is not None:
            gang.charge = charge
            self.guarantees.occupy(charge, gang.job_id)
            self._borrow(gang, -1)

    def _unpin_all(self, gangs: Iterable[Gang]) -> None:
        self._borrowed = {}
        for gang in gangs:
            self.resources.give_back(gang.shares, pinned=gang.pinned)
            self._lend(gang, -1)
            gang.pinned = not gang.spec.reclaimable
            self.resources.take(gang.shares, pinned=gang.pinned)
            self._lend(gang, 1)
            self._borrow(gang, 1)

    def _borrow(self, gang: Gang, sign: int) -> None:
        account = gang.spec.account
        self._borrowed[account] = self._borrowed.get(account, 0) + sign * gang.spec.accelerators

    def _lend(self, gang: Gang, sign: int) -> None:
        """Keep count of accelerators held by gangs that can be taken back, by class rank."""
        if gang.pinned:
            return
        lent = self.lent[gang.rank]
        for worker, count in gang.shares:
            lent[worker] += sign * count

    def _requeue(self, gang: Gang) -> None:
        gang.state = JobState.QUEUED
        self.waiting[gang.job_id] = gang

    def _lose(self, gang: Gang, now: float) -> Loss:
        lost = gang.work(now)
        self._vacate(gang)
        if gang.spec.run_once:
            gang.state = JobState.UNKNOWN
        else:
            self._requeue(gang)
        return Loss(gang.job_id, gang.attempt, gang.state, lost)
