"""Why a step fits nowhere: all workers of a service, with one constraint after another left out.

The constraints are left out one by one, in a fixed order. The one without which the step first
fits is what it waits for. Nothing is decided here, and nobody is asked.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from itertools import accumulate

from saddlestack.policy.board.blame import Blame, blame_of
from saddlestack.policy.board.jobs import StepState
from saddlestack.policy.board.places import Kept, ListedPlaces
from saddlestack.policy.board.reasons import Reason
from saddlestack.policy.board.waiting import TOP_PRIORITY, waits
from saddlestack.policy.board.workers import Worker
from saddlestack.policy.standstill import PoolUse
from saddlestack.work import Resources

_LEFT_OUT = (
    Reason.NEAR_DATA,
    Reason.FAILED_THERE,
    Reason.ADVISER,
    Reason.BACKFILL,
    Reason.RESERVED,
    Reason.TRIAL,
    Reason.PROBATION,
    Reason.QUARANTINE,
    Reason.SILENT,
    Reason.LEAVING,
)
"""The constraints in the order in which they are left out: first those that are about the step,
then those that keep room for others, then those that are about the worker."""
_LEVEL = {reason: number for number, reason in enumerate(_LEFT_OUT, start=1)}
"""A worker that is held back by several constraints counts once the last of them is left out."""
_OPEN = 0
"""The level of workers that nothing holds back."""
_LEVELS = len(_LEFT_OUT) + 1
_LAST_STAYING = _LEVEL[Reason.SILENT]
_LAST_ANSWERING = _LEVEL[Reason.QUARANTINE]
_NOTHING = Resources()


@dataclass(frozen=True, slots=True)
class PoolWorker:
    """A worker that is in the list, and what holds it back whatever the work is.

    :param level: for work that may go to workers on probation.
    :param proven_level: for urgent work and gangs.
    """

    worker: Worker
    blame: Blame
    level: int
    proven_level: int


@dataclass(slots=True)
class ServicePool:
    """The workers of one service as they stand now.

    :param used: accelerators that runs hold.
    :param total: accelerators of all of them.
    :param quarantined: accelerators that quarantine keeps out.
    :param on_probation: accelerators that probation alone keeps from urgent work and gangs.
    """

    workers: list[PoolWorker] = field(default_factory=list)
    used: int = 0
    total: int = 0
    quarantined: int = 0
    on_probation: int = 0

    @property
    def use(self) -> PoolUse:
        """What of it is held."""
        return PoolUse(self.used, self.total)

    def add(self, worker: Worker, now: float) -> None:
        """Count a worker that is in the list."""
        blame = blame_of(worker, now)
        accelerators = worker.record.capacity.accelerators
        self.total += accelerators
        self.used += worker.used.accelerators
        if blame.quarantine_s is not None:
            self.quarantined += accelerators
        elif blame.probation_s is not None:
            self.on_probation += accelerators
        self.workers.append(_pool_worker(worker, blame))


def pools(workers: Iterable[Worker], now: float) -> dict[str, ServicePool]:
    """The workers that are in the list, by service."""
    found: dict[str, ServicePool] = {}
    for worker in workers:
        if worker.listed:
            found.setdefault(worker.record.service, ServicePool()).add(worker, now)
    return found


def _pool_worker(worker: Worker, blame: Blame) -> PoolWorker:
    if not worker.stays:
        level = proven_level = _LEVEL[Reason.LEAVING]
    elif not worker.reachable or worker.suspected:
        level = proven_level = _LEVEL[Reason.SILENT]
    else:
        level = proven_level = _OPEN
        if blame.quarantine_s is not None:
            level = proven_level = _LEVEL[Reason.QUARANTINE]
        if blame.probation_s is not None and blame.proven_s() == blame.probation_s:
            proven_level = _LEVEL[Reason.PROBATION]
    return PoolWorker(worker, blame, level, proven_level)


@dataclass(frozen=True, slots=True)
class Survey:
    """What a step finds in its pool.

    :param reason: what it waits for; ``None`` where it fits.
    :param until_s: when that ends, where a time is known.
    :param places: where it would go, if it fits.
    :param copies: tasks that fit into the free room of workers that stay and answer, in whole
        gangs where they need one rack.
    """

    reason: Reason | None
    until_s: float | None = None
    places: tuple[Worker, ...] = ()
    copies: int = 0


@dataclass(slots=True, eq=False)
class _Row:
    """A worker that may hold tasks of the step.

    :param level: of the last constraint that holds it back.
    :param counted: the same without the gangs for which it is kept: in a rack they count as room.
    """

    seen: PoolWorker
    level: int
    counted: int


@dataclass(slots=True)
class _Sums:
    """Tasks by the level at which there is room for them, of a rack or of the whole pool.

    :param copies: in the room that is free.
    :param most: in empty workers.
    """

    copies: list[int] = field(default_factory=lambda: [0] * _LEVELS)
    most: list[int] = field(default_factory=lambda: [0] * _LEVELS)

    def up_to(self) -> _Sums:
        """The same, each level with those before it."""
        return _Sums(list(accumulate(self.copies)), list(accumulate(self.most)))


class Surveyor:
    """Looks at all workers of a service for one step.

    :param kept: tells workers that are kept for waiting gangs; ``None`` where none are.
    :param near: whether it waits for a place near its data.
    :param advised: whether its starts need the adviser's leave.
    """

    def __init__(
        self,
        step: StepState,
        pool: ServicePool,
        kept: Kept | None,
        *,
        near: bool,
        advised: bool,
        now: float,
    ) -> None:
        self._step = step
        self._pool = pool
        self._kept = kept
        self._near = near
        self._advised = advised
        self._now = now
        self._wanted = step.step.count if step.step.gang else 1
        self._in_rack = step.step.gang and step.step.same_rack
        self._rows: list[_Row] = []
        self._sums: dict[str, _Sums] = {}
        self._all = _Sums()

    def survey(self) -> Survey:
        """Tell what the step waits for."""
        self._rows = list(self._labelled())
        if not self._rows:
            return Survey(self._reason_without_worker())
        self._leave_for_near_data()
        self._leave_where_it_failed()
        for row in self._rows:
            self._count(row)
        self._all = self._all.up_to()
        self._sums = {rack: sums.up_to() for rack, sums in self._sums.items()}
        copies = self._free_copies()
        for level in range(_LEVELS):
            if self._fits(level):
                return self._found(level, copies)
        return Survey(self._reason_at_last(), copies=copies)

    def _reason_without_worker(self) -> Reason:
        return Reason.NO_LABEL if self._step.step.label else Reason.TOO_WIDE

    # Workers

    def _labelled(self) -> Iterator[_Row]:
        """The workers with the step's label, and what of the common constraints holds each back."""
        label = self._step.step.label
        proven = self._step.step.gang or self._step.occurrence.job.priority == TOP_PRIORITY
        kept = self._kept
        listed = self._advised or self._step.step.per_worker
        for seen in self._pool.workers:
            worker = seen.worker
            if label and label not in worker.record.labels:
                continue
            level = seen.proven_level if proven else seen.level
            if self._advised and self._step.advice.ticket(worker.worker_id, self._now) is None:
                level = max(level, _LEVEL[Reason.ADVISER])
            counted = level
            if kept is not None and kept(worker):
                level = max(level, _LEVEL[Reason.BACKFILL])
                counted = level if listed else counted
            yield _Row(seen, level, counted)

    def _leave_for_near_data(self) -> None:
        """While a worker near the data takes work, the step waits for room there."""
        if not self._near:
            return
        rack = self._step.step.data_rack
        near = (row for row in self._rows if row.seen.worker.record.rack == rack)
        if not any(row.level == _OPEN for row in near):
            return
        for row in self._rows:
            if row.seen.worker.record.rack != rack:
                row.level = max(row.level, _LEVEL[Reason.NEAR_DATA])
                row.counted = max(row.counted, _LEVEL[Reason.NEAR_DATA])

    def _leave_where_it_failed(self) -> None:
        """A task goes where it failed only while no other worker takes work."""
        avoid = self._avoided()
        if not avoid:
            return
        failed = [row for row in self._rows if row.seen.worker.worker_id in avoid]
        others = (row for row in self._rows if row.seen.worker.worker_id not in avoid)
        if not any(row.level == _OPEN for row in others):
            return
        for row in failed:
            row.level = max(row.level, _LEVEL[Reason.FAILED_THERE])

    def _avoided(self) -> set[str]:
        """Where the task that is to go first has failed; gangs go there again."""
        if self._step.step.gang or not self._step.avoids:
            return set()
        return next((task.avoid for task in self._step.tasks if waits(task)), set())

    # Room

    def _count(self, row: _Row) -> None:
        worker = row.seen.worker
        sums = [self._all]
        if self._in_rack:
            sums.append(self._sums.setdefault(worker.record.rack, _Sums()))
        most = worker.most(self._step.step)
        free = worker.copies(self._step, worker.free)
        for each in sums:
            each.most[row.counted] += most
            each.copies[row.level] += free
        if worker.reserved != _NOTHING:
            whole = worker.copies(self._step, worker.free + worker.reserved)
            self._add(sums, max(row.level, _LEVEL[Reason.RESERVED]), whole - free)
            free = whole
        if row.seen.blame.on_trial:
            whole = self._without_trial(worker)
            self._add(sums, max(row.level, _LEVEL[Reason.TRIAL]), whole - free)

    def _add(self, sums: Sequence[_Sums], level: int, copies: int) -> None:
        for each in sums:
            each.copies[level] += max(0, copies)

    def _without_trial(self, worker: Worker) -> int:
        needs = self._step.step.room
        copies = needs.copies_in(worker.free + worker.reserved)
        limit = self._step.step.per_worker
        return min(copies, limit) if limit else copies

    def _fits(self, level: int) -> bool:
        racks = [sums for sums in self._sums.values() if sums.most[level] >= self._wanted]
        if racks:
            return any(sums.copies[level] >= self._wanted for sums in racks)
        return self._all.copies[level] >= self._wanted

    def _free_copies(self) -> int:
        level = _LAST_ANSWERING
        racks = [sums for sums in self._sums.values() if sums.most[level] >= self._wanted]
        if not racks:
            return self._all.copies[level]
        return sum(sums.copies[level] // self._wanted * self._wanted for sums in racks)

    # What is told

    def _found(self, level: int, copies: int) -> Survey:
        if level == _OPEN:
            return Survey(None, places=self._places(), copies=copies)
        reason = _LEFT_OUT[level - 1]
        return Survey(reason, self._until_s(reason), copies=copies)

    def _places(self) -> tuple[Worker, ...]:
        able = [row.seen.worker for row in self._rows if row.level == _OPEN]
        places = ListedPlaces(self._step, able)
        if self._step.step.gang:
            return tuple(places.gang() or ())
        worker = places.task(self._avoided())
        return () if worker is None else (worker,)

    def _until_s(self, reason: Reason) -> float | None:
        """When enough of the workers that a constraint holds back are free of it."""
        ends = [(end, row) for row in self._rows if (end := self._end_s(row, reason)) is not None]
        ends.sort(key=lambda each: each[0])
        level = _LEVEL[reason] - 1
        racks = {rack: sums.copies[level] for rack, sums in self._sums.items()}
        everywhere = self._all.copies[level]
        for end, row in ends:
            worker = row.seen.worker
            copies = self._without_trial(worker)
            everywhere += copies
            rack = worker.record.rack
            racks[rack] = racks.get(rack, 0) + copies
            if (racks[rack] if self._in_rack else everywhere) >= self._wanted:
                return end
        return ends[-1][0] if ends else None

    def _end_s(self, row: _Row, reason: Reason) -> float | None:
        """When a constraint that ends with time lets go of a worker."""
        if row.level != _LEVEL[reason]:
            return None
        if reason is Reason.QUARANTINE:
            return row.seen.blame.quarantine_s
        return row.seen.blame.probation_s if reason is Reason.PROBATION else None

    def _reason_at_last(self) -> Reason:
        """The step fits in no free room: what of the pool would have to be another."""
        if self._all.copies[_OPEN] >= self._wanted:
            return Reason.ONE_RACK
        if self._all.most[_LAST_STAYING] >= self._wanted:
            return Reason.NO_ROOM
        if self._all.most[-1] >= self._wanted:
            return Reason.LEAVING
        return Reason.TOO_WIDE
