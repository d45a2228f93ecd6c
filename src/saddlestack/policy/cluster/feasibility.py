"""Why a step fits nowhere: all workers of a service, with one constraint after another left out.

The constraints are left out one by one, in a fixed order. The one without which the step first
fits is what it waits for. Nothing is decided here, and nobody is asked.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate

from saddlestack.policy.cluster.exclusion import Exclusion, exclusion_of
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.places import IsKept, ListedPlaces
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.waiting import is_waiting
from saddlestack.policy.cluster.workers import Worker
from saddlestack.policy.standstill import PoolUse
from saddlestack.work import Resources

_LEFT_OUT = (
    WaitReason.NEAR_DATA,
    WaitReason.FAILED_THERE,
    WaitReason.ADVISER,
    WaitReason.BACKFILL,
    WaitReason.RESERVED,
    WaitReason.ISOLATED,
    WaitReason.TRIAL,
    WaitReason.PROBATION,
    WaitReason.QUARANTINE,
    WaitReason.SILENT,
    WaitReason.LEAVING,
)
"""The constraints in the order in which they are left out: first those that are about the step,
then those that keep room for others, then those that are about the worker."""
_LEVEL = {reason: number for number, reason in enumerate(_LEFT_OUT, start=1)}
"""A worker that is held back by several constraints counts once the last of them is left out."""
_OPEN = 0
"""The level of workers that nothing holds back."""
_LEVELS = len(_LEFT_OUT) + 1
_LAST_STAYING = _LEVEL[WaitReason.SILENT]
_LAST_ANSWERING = _LEVEL[WaitReason.QUARANTINE]
_NOTHING = Resources()


@dataclass(slots=True)
class ServicePool:
    """The workers of one service as they stand now.

    Lists of numbers beside that of workers: with an object or two for each of 3,000 workers a look
    brought the collector to search all of a process of a million objects every 25 looks, 0.2 s.

    :param workers: that are in the list.
    :param levels: what holds each back whatever the work is, if it may go to workers on probation.
    :param proven_levels: the same for urgent work and gangs.
    :param trials: whether each takes one task at a time.
    :param used: accelerators that runs hold.
    :param total: accelerators of all of them.
    :param quarantined: accelerators that quarantine keeps out.
    :param on_probation: accelerators that probation alone keeps from urgent work and gangs.
    :param reserved_idle: accelerators that are reserved and that no run holds.
    """

    workers: list[Worker] = field(default_factory=list)
    levels: list[int] = field(default_factory=list)
    proven_levels: list[int] = field(default_factory=list)
    trials: list[bool] = field(default_factory=list)
    used: int = 0
    total: int = 0
    quarantined: int = 0
    on_probation: int = 0
    reserved_idle: int = 0

    @property
    def use(self) -> PoolUse:
        """What of it is held."""
        return PoolUse(self.used, self.total)

    def add(self, worker: Worker, now: float) -> None:
        """Count a worker that is in the list."""
        exclusion = exclusion_of(worker, now)
        accelerators = worker.record.capacity.accelerators
        self.total += accelerators
        self.used += worker.used.accelerators
        unused = max(0, worker.unused.accelerators)
        self.reserved_idle += min(worker.reserved.accelerators, unused)
        if exclusion.quarantine_s is not None:
            self.quarantined += accelerators
        elif exclusion.probation_s is not None:
            self.on_probation += accelerators
        self.workers.append(worker)
        self.levels.append(_level(worker, exclusion, proven=False))
        self.proven_levels.append(_level(worker, exclusion, proven=True))
        self.trials.append(exclusion.on_trial)


def pools(workers: Iterable[Worker], now: float) -> dict[str, ServicePool]:
    """The workers that are in the list, by service."""
    found: dict[str, ServicePool] = {}
    for worker in workers:
        if worker.listed:
            service = worker.record.service
            if service not in found:
                found[service] = ServicePool()
            found[service].add(worker, now)
    return found


def _level(worker: Worker, exclusion: Exclusion, *, proven: bool) -> int:
    if not worker.is_schedulable:
        return _LEVEL[WaitReason.LEAVING]
    if not worker.reachable or worker.suspected:
        return _LEVEL[WaitReason.SILENT]
    if (
        proven
        and exclusion.probation_s is not None
        and exclusion.proven_s() == exclusion.probation_s
    ):
        return _LEVEL[WaitReason.PROBATION]
    if exclusion.quarantine_s is not None:
        return _LEVEL[WaitReason.QUARANTINE]
    return _LEVEL[WaitReason.ISOLATED] if worker.isolating else _OPEN


@dataclass(frozen=True, slots=True)
class Feasibility:
    """What a step finds in its pool.

    :param reason: what it waits for; ``None`` where it fits.
    :param until_s: when that ends, where a time is known.
    :param places: where it would go, if it fits.
    :param copies: tasks that fit into the free room of workers that stay and answer, in whole
        gangs where they need one rack.
    """

    reason: WaitReason | None
    until_s: float | None = None
    places: tuple[Worker, ...] = ()
    copies: int = 0


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


class FeasibilityCheck:
    """Looks at all workers of a service for one step.

    :param kept: tells workers that are kept for waiting gangs; ``None`` where none are.
    :param near: whether it waits for a place near its data.
    :param advised: whether its starts need the adviser's leave.
    """

    def __init__(
        self,
        step: StepState,
        pool: ServicePool,
        kept: IsKept | None,
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
        self._workers: list[Worker] = []
        self._levels: list[int] = []
        self._counted: list[int] = []
        self._trials: list[bool] = []
        self._sums: dict[str, _Sums] = {}
        self._all = _Sums()

    def survey(self) -> Feasibility:
        """Tell what the step waits for."""
        self._take_labelled()
        if not self._workers:
            return Feasibility(self._reason_without_worker())
        self._leave_for_near_data()
        self._leave_where_it_failed()
        for number in range(len(self._workers)):
            self._count(number)
        self._all = self._all.up_to()
        self._sums = {rack: sums.up_to() for rack, sums in self._sums.items()}
        copies = self._free_copies()
        for level in range(_LEVELS):
            if self._fits(level):
                return self._found(level, copies)
        return Feasibility(self._reason_at_last(), copies=copies)

    def _reason_without_worker(self) -> WaitReason:
        return WaitReason.NO_LABEL if self._step.step.label else WaitReason.TOO_WIDE

    # Workers

    def _take_labelled(self) -> None:
        """Take the workers with the step's label, each with the last of what holds it back.

        In a rack workers count as room for a gang also while they are kept for others.
        """
        label = self._step.step.label
        is_listed = self._advised or self._step.step.per_worker
        common = self._pool.proven_levels if self._step.needs_proven_worker else self._pool.levels
        for worker, level, trial in zip(self._pool.workers, common, self._pool.trials, strict=True):
            if label and label not in worker.record.labels:
                continue
            counted = self._with_leave(worker, level)
            level = self._with_kept(worker, counted)
            self._workers.append(worker)
            self._levels.append(level)
            self._counted.append(level if is_listed else counted)
            self._trials.append(trial)

    def _with_leave(self, worker: Worker, level: int) -> int:
        if not self._advised or self._step.advice.ticket(worker.worker_id, self._now) is not None:
            return level
        return max(level, _LEVEL[WaitReason.ADVISER])

    def _with_kept(self, worker: Worker, level: int) -> int:
        if self._kept is None or not self._kept(worker):
            return level
        return max(level, _LEVEL[WaitReason.BACKFILL])

    def _leave_for_near_data(self) -> None:
        """While a worker near the data takes work, the step waits for room there."""
        if not self._near:
            return
        rack = self._step.step.data_rack
        near = [worker.record.rack == rack for worker in self._workers]
        if not any(level == _OPEN for level, is_near in self._levels_with(near) if is_near):
            return
        away = [not is_near for is_near in near]
        self._levels = _raised(self._levels, away, WaitReason.NEAR_DATA)
        self._counted = _raised(self._counted, away, WaitReason.NEAR_DATA)

    def _leave_where_it_failed(self) -> None:
        """A task goes where it failed only while no other worker takes work."""
        avoid = self._avoided()
        if not avoid:
            return
        failed = [worker.worker_id in avoid for worker in self._workers]
        if any(level == _OPEN for level, has_failed in self._levels_with(failed) if not has_failed):
            self._levels = _raised(self._levels, failed, WaitReason.FAILED_THERE)

    def _levels_with(self, marks: list[bool]) -> Iterator[tuple[int, bool]]:
        return zip(self._levels, marks, strict=True)

    def _avoided(self) -> set[str]:
        """Where the task that is to go first has failed; gangs go there again."""
        if self._step.step.gang or not self._step.has_avoided_workers:
            return set()
        return next((task.avoid for task in self._step.tasks if is_waiting(task)), set())

    # Room

    def _count(self, number: int) -> None:
        worker, level = self._workers[number], self._levels[number]
        free = worker.copies(self._step, worker.free)
        self._add(worker, level, free)
        for each in self._sums_of(worker):
            each.most[self._counted[number]] += worker.max_copies(self._step.step)
        if worker.reserved != _NOTHING:
            whole = worker.copies(self._step, worker.free + worker.reserved)
            self._add(worker, max(level, _LEVEL[WaitReason.RESERVED]), whole - free)
            free = whole
        if self._trials[number]:
            whole = self._without_trial(worker)
            self._add(worker, max(level, _LEVEL[WaitReason.TRIAL]), whole - free)

    def _add(self, worker: Worker, level: int, copies: int) -> None:
        for each in self._sums_of(worker):
            each.copies[level] += max(0, copies)

    def _sums_of(self, worker: Worker) -> tuple[_Sums, ...]:
        """The sums that a worker counts in."""
        if not self._in_rack:
            return (self._all,)
        rack = worker.record.rack
        if rack not in self._sums:
            self._sums[rack] = _Sums()
        return (self._all, self._sums[rack])

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

    def _found(self, level: int, copies: int) -> Feasibility:
        if level == _OPEN:
            return Feasibility(None, places=self._places(), copies=copies)
        reason = _LEFT_OUT[level - 1]
        return Feasibility(reason, self._until_s(reason), copies=copies)

    def _places(self) -> tuple[Worker, ...]:
        levels = zip(self._workers, self._levels, strict=True)
        eligible = [worker for worker, level in levels if level == _OPEN]
        places = ListedPlaces(self._step, eligible)
        if self._step.step.gang:
            return tuple(places.choose_gang() or ())
        worker = places.choose_worker(self._avoided())
        return () if worker is None else (worker,)

    def _until_s(self, reason: WaitReason) -> float | None:
        """When enough of the workers that quarantine or probation holds back are free of it."""
        if reason not in {WaitReason.QUARANTINE, WaitReason.PROBATION}:
            return None
        levels = zip(self._workers, self._levels, strict=True)
        held = [worker for worker, level in levels if level == _LEVEL[reason]]
        held.sort(key=lambda worker: self._end_s(worker, reason))
        before = _LEVEL[reason] - 1
        racks = {rack: sums.copies[before] for rack, sums in self._sums.items()}
        everywhere = self._all.copies[before]
        for worker in held:
            copies = self._without_trial(worker)
            everywhere += copies
            rack = worker.record.rack
            racks[rack] = racks.get(rack, 0) + copies
            if (racks[rack] if self._in_rack else everywhere) >= self._wanted:
                return self._end_s(worker, reason)
        return self._end_s(held[-1], reason) if held else None

    def _end_s(self, worker: Worker, reason: WaitReason) -> float:
        """When quarantine or probation lets go of a worker."""
        exclusion = exclusion_of(worker, self._now)
        end_s = exclusion.quarantine_s if reason is WaitReason.QUARANTINE else exclusion.probation_s
        return self._now if end_s is None else end_s

    def _reason_at_last(self) -> WaitReason:
        """The step fits in no free room: what of the pool would have to be another."""
        if self._all.copies[_OPEN] >= self._wanted:
            return WaitReason.ONE_RACK
        if self._all.most[_LAST_STAYING] >= self._wanted:
            return WaitReason.NO_ROOM
        if self._all.most[-1] >= self._wanted:
            return WaitReason.LEAVING
        return WaitReason.TOO_WIDE


def _raised(levels: list[int], marks: list[bool], reason: WaitReason) -> list[int]:
    """Some levels, those marked at least that of a constraint."""
    least = _LEVEL[reason]
    return [
        max(level, least) if is_marked else level
        for level, is_marked in zip(levels, marks, strict=True)
    ]
