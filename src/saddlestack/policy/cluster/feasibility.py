"""Finds the constraint that keeps a step from starting, by relaxing constraints one by one.

The constraints are dropped in a fixed order. The step waits for the one whose removal first lets
it fit. The check decides nothing and sends no request to the adviser.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from itertools import accumulate

from saddlestack.policy.cluster.exclusion import Exclusion, exclusion_of
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.places import IsKept, ListedPlaces
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.speed_limits import SpeedLimit
from saddlestack.policy.cluster.waiting import is_waiting
from saddlestack.policy.cluster.worker_preferences import Preference
from saddlestack.policy.cluster.workers import Worker
from saddlestack.policy.stall import PoolUsage
from saddlestack.work import Resources

_RELAXATION_ORDER = (
    WaitReason.NEAR_DATA,
    WaitReason.FAILED_THERE,
    WaitReason.FASTER_WORKER,
    WaitReason.HEALTHY_WORKER,
    WaitReason.ADVISER,
    WaitReason.BACKFILL,
    WaitReason.GANG_FIRST,
    WaitReason.RESERVED,
    WaitReason.ISOLATED,
    WaitReason.TRIAL,
    WaitReason.PROBATION,
    WaitReason.QUARANTINE,
    WaitReason.SILENT,
    WaitReason.LEAVING,
)
"""The order in which constraints are dropped: first those of the step, then those that keep
capacity for other work, then those of the worker."""
_LEVEL_OF = {reason: number for number, reason in enumerate(_RELAXATION_ORDER, start=1)}
"""The level of each constraint. A worker that several constraints exclude counts from the highest
of their levels on."""
_UNRESTRICTED = 0
"""The level of workers that no constraint excludes."""
_LEVEL_COUNT = len(_RELAXATION_ORDER) + 1
_SCHEDULABLE_LEVEL = _LEVEL_OF[WaitReason.SILENT]
_ANSWERING_LEVEL = _LEVEL_OF[WaitReason.QUARANTINE]
_NOTHING = Resources()


@dataclass(slots=True)
class ServicePool:
    """The listed workers of one service, at one moment.

    The lists run parallel to the list of workers, rather than holding one object per worker: with
    an object or two for each of 3,000 workers, every 25th scan triggered a full garbage collection,
    which took 0.2 s in a process of a million objects.

    :param workers: the listed workers.
    :param levels: for each worker, the highest constraint that excludes it from all work that may
        go to workers on probation.
    :param proven_levels: the same for urgent work and gangs.
    :param trials: for each worker, whether it takes one task at a time.
    :param used: accelerators that runs hold.
    :param total: accelerators of all workers.
    :param quarantined: accelerators of quarantined workers.
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
    def use(self) -> PoolUsage:
        """How many of the accelerators are held."""
        return PoolUsage(self.used, self.total)

    def add(self, worker: Worker, now: float) -> None:
        """Add a listed worker."""
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


def pools_by_service(workers: Iterable[Worker], now: float) -> dict[str, ServicePool]:
    """The listed workers by service."""
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
        return _LEVEL_OF[WaitReason.LEAVING]
    if not worker.reachable or worker.suspected:
        return _LEVEL_OF[WaitReason.SILENT]
    if (
        proven
        and exclusion.probation_s is not None
        and exclusion.proven_s() == exclusion.probation_s
    ):
        return _LEVEL_OF[WaitReason.PROBATION]
    if exclusion.quarantine_s is not None:
        return _LEVEL_OF[WaitReason.QUARANTINE]
    return _LEVEL_OF[WaitReason.ISOLATED] if worker.isolating else _UNRESTRICTED


@dataclass(frozen=True, slots=True)
class Feasibility:
    """Whether a step fits into its pool, and if not, why.

    :param reason: what it waits for; ``None`` if it fits.
    :param until_s: when that wait ends, if a time is known.
    :param places: the workers it would go to, if it fits.
    :param copies: tasks that fit into the free resources of schedulable workers that answer; whole
        gangs only, if the step needs one rack.
    """

    reason: WaitReason | None
    until_s: float | None = None
    places: tuple[Worker, ...] = ()
    copies: int = 0


@dataclass(slots=True)
class _CopySums:
    """Tasks that fit into a rack or the whole pool, by constraint level.

    :param copies: tasks that fit into free resources.
    :param empty_copies: tasks that would fit if the workers were empty.
    """

    copies: list[int] = field(default_factory=lambda: [0] * _LEVEL_COUNT)
    empty_copies: list[int] = field(default_factory=lambda: [0] * _LEVEL_COUNT)

    def cumulative(self) -> _CopySums:
        """The cumulative sums over the levels."""
        return _CopySums(list(accumulate(self.copies)), list(accumulate(self.empty_copies)))


class FeasibilityCheck:
    """Checks one step against all workers of a service.

    :param kept: whether a worker is kept for waiting gangs; ``None`` if no worker is.
    :param held_back: whether it is kept for a gang by that gang's slack; ``None`` if no worker is.
    :param limit: its speed limit while it waits for workers within it, or ``None``.
    :param healthy: test for the workers it waits for on its last attempt; ``None`` if for none.
    :param near: whether the step waits for a place near its data.
    :param advised: whether its starts need the adviser's approval.
    """

    def __init__(
        self,
        step: StepState,
        pool: ServicePool,
        kept: IsKept | None,
        *,
        limit: SpeedLimit | None = None,
        near: bool,
        advised: bool,
        now: float,
        held_back: IsKept | None = None,
        healthy: Preference | None = None,
    ) -> None:
        self._step = step
        self._held_back = held_back
        self._pool = pool
        self._kept = kept
        self._limit = limit
        self._healthy = healthy
        self._near = near
        self._advised = advised
        self._now = now
        self._required_copies = step.step.count if step.step.gang else 1
        self._needs_one_rack = step.step.gang and step.step.same_rack
        self._workers: list[Worker] = []
        self._levels: list[int] = []
        self._capacity_levels: list[int] = []
        self._trials: list[bool] = []
        self._sums: dict[str, _CopySums] = {}
        self._all = _CopySums()

    def check(self) -> Feasibility:
        """Return where the step fits, or what it waits for."""
        self._select_labelled()
        if not self._workers:
            return Feasibility(self._reason_without_worker())
        self._exclude_far_from_data()
        self._exclude_where_failed()
        for number in range(len(self._workers)):
            self._count_worker(number)
        self._all = self._all.cumulative()
        self._sums = {rack: sums.cumulative() for rack, sums in self._sums.items()}
        copies = self._free_copies()
        for level in range(_LEVEL_COUNT):
            if self._fits(level):
                return self._result(level, copies)
        return Feasibility(self._reason_without_capacity(), copies=copies)

    def _reason_without_worker(self) -> WaitReason:
        return WaitReason.NO_LABEL if self._step.step.label else WaitReason.TOO_WIDE

    def _select_labelled(self) -> None:
        """Select the workers with the step's label, each with its constraint level.

        Whether a rack is large enough for a gang is counted over all of its workers, also over
        those that are kept for others.
        """
        label = self._step.step.label
        examines_each = self._advised or self._step.step.per_worker
        common = self._pool.proven_levels if self._step.needs_proven_worker else self._pool.levels
        for worker, level, trial in zip(self._pool.workers, common, self._pool.trials, strict=True):
            if label and label not in worker.record.labels:
                continue
            counted = self._level_with_approval(worker, level)
            level = self._level_with_limit(worker, self._level_with_backfill(worker, counted))
            level = self._level_with_health(worker, level)
            self._workers.append(worker)
            self._levels.append(level)
            self._capacity_levels.append(level if examines_each else counted)
            self._trials.append(trial)

    def _level_with_approval(self, worker: Worker, level: int) -> int:
        if not self._advised or self._step.advice.ticket(worker.worker_id, self._now) is not None:
            return level
        return max(level, _LEVEL_OF[WaitReason.ADVISER])

    def _level_with_backfill(self, worker: Worker, level: int) -> int:
        if self._kept is None or not self._kept(worker):
            return level
        by_slack = self._held_back is not None and self._held_back(worker)
        reason = WaitReason.GANG_FIRST if by_slack else WaitReason.BACKFILL
        return max(level, _LEVEL_OF[reason])

    def _level_with_limit(self, worker: Worker, level: int) -> int:
        if self._limit is None or self._limit.allows(worker):
            return level
        return max(level, _LEVEL_OF[WaitReason.FASTER_WORKER])

    def _level_with_health(self, worker: Worker, level: int) -> int:
        if self._healthy is None or self._healthy(worker):
            return level
        return max(level, _LEVEL_OF[WaitReason.HEALTHY_WORKER])

    def _exclude_far_from_data(self) -> None:
        """Exclude the other racks while a worker near the data takes work."""
        if not self._near:
            return
        rack = self._step.step.data_rack
        near = [worker.record.rack == rack for worker in self._workers]
        if not any(level == _UNRESTRICTED for level, is_near in self._levels_with(near) if is_near):
            return
        away = [not is_near for is_near in near]
        self._levels = _raise_levels(self._levels, away, WaitReason.NEAR_DATA)
        self._capacity_levels = _raise_levels(self._capacity_levels, away, WaitReason.NEAR_DATA)

    def _exclude_where_failed(self) -> None:
        """Exclude workers where the task failed while any other worker takes work."""
        avoided = self._avoided_workers()
        if not avoided:
            return
        failed = [worker.worker_id in avoided for worker in self._workers]
        if any(
            level == _UNRESTRICTED
            for level, has_failed in self._levels_with(failed)
            if not has_failed
        ):
            self._levels = _raise_levels(self._levels, failed, WaitReason.FAILED_THERE)

    def _levels_with(self, marks: list[bool]) -> Iterator[tuple[int, bool]]:
        return zip(self._levels, marks, strict=True)

    def _avoided_workers(self) -> set[str]:
        """The workers where the first waiting task failed; gangs avoid no worker."""
        if self._step.step.gang or not self._step.has_avoided_workers:
            return set()
        return next((task.avoid for task in self._step.tasks if is_waiting(task)), set())

    def _count_worker(self, number: int) -> None:
        worker, level = self._workers[number], self._levels[number]
        free = worker.copies(self._step, worker.free)
        self._add_copies(worker, level, free)
        for each in self._sums_of(worker):
            each.empty_copies[self._capacity_levels[number]] += worker.max_copies(self._step.step)
        if worker.reserved != _NOTHING:
            whole = worker.copies(self._step, worker.free + worker.reserved)
            self._add_copies(worker, max(level, _LEVEL_OF[WaitReason.RESERVED]), whole - free)
            free = whole
        if self._trials[number]:
            whole = self._copies_without_trial(worker)
            self._add_copies(worker, max(level, _LEVEL_OF[WaitReason.TRIAL]), whole - free)

    def _add_copies(self, worker: Worker, level: int, copies: int) -> None:
        for each in self._sums_of(worker):
            each.copies[level] += max(0, copies)

    def _sums_of(self, worker: Worker) -> tuple[_CopySums, ...]:
        """The sums that a worker counts toward."""
        if not self._needs_one_rack:
            return (self._all,)
        rack = worker.record.rack
        if rack not in self._sums:
            self._sums[rack] = _CopySums()
        return (self._all, self._sums[rack])

    def _copies_without_trial(self, worker: Worker) -> int:
        needs = self._step.step.allocation
        copies = needs.copies_in(worker.free + worker.reserved)
        limit = self._step.step.per_worker
        return min(copies, limit) if limit else copies

    def _fits(self, level: int) -> bool:
        racks = [
            sums
            for sums in self._sums.values()
            if sums.empty_copies[level] >= self._required_copies
        ]
        if racks:
            return any(sums.copies[level] >= self._required_copies for sums in racks)
        return self._all.copies[level] >= self._required_copies

    def _free_copies(self) -> int:
        level = _ANSWERING_LEVEL
        racks = [
            sums
            for sums in self._sums.values()
            if sums.empty_copies[level] >= self._required_copies
        ]
        if not racks:
            return self._all.copies[level]
        return sum(
            sums.copies[level] // self._required_copies * self._required_copies for sums in racks
        )

    def _result(self, level: int, copies: int) -> Feasibility:
        if level == _UNRESTRICTED:
            return Feasibility(None, places=self._places(), copies=copies)
        reason = _RELAXATION_ORDER[level - 1]
        return Feasibility(reason, self._until_s(reason), copies=copies)

    def _places(self) -> tuple[Worker, ...]:
        levels = zip(self._workers, self._levels, strict=True)
        eligible = [worker for worker, level in levels if level == _UNRESTRICTED]
        places = ListedPlaces(self._step, eligible)
        if self._step.step.gang:
            return tuple(places.choose_gang() or ())
        worker = places.choose_worker(self._avoided_workers())
        return () if worker is None else (worker,)

    def _until_s(self, reason: WaitReason) -> float | None:
        """When quarantine or probation of enough workers ends; ``None`` for other reasons."""
        if reason not in {WaitReason.QUARANTINE, WaitReason.PROBATION}:
            return None
        levels = zip(self._workers, self._levels, strict=True)
        held = [worker for worker, level in levels if level == _LEVEL_OF[reason]]
        held.sort(key=lambda worker: self._end_s(worker, reason))
        before = _LEVEL_OF[reason] - 1
        racks = {rack: sums.copies[before] for rack, sums in self._sums.items()}
        everywhere = self._all.copies[before]
        for worker in held:
            copies = self._copies_without_trial(worker)
            everywhere += copies
            rack = worker.record.rack
            racks[rack] = racks.get(rack, 0) + copies
            if (racks[rack] if self._needs_one_rack else everywhere) >= self._required_copies:
                return self._end_s(worker, reason)
        return self._end_s(held[-1], reason) if held else None

    def _end_s(self, worker: Worker, reason: WaitReason) -> float:
        """When the quarantine or probation of a worker ends."""
        exclusion = exclusion_of(worker, self._now)
        end_s = exclusion.quarantine_s if reason is WaitReason.QUARANTINE else exclusion.probation_s
        return self._now if end_s is None else end_s

    def _reason_without_capacity(self) -> WaitReason:
        """What the pool lacks for a step that fits into no free resources at any level."""
        if self._all.copies[_UNRESTRICTED] >= self._required_copies:
            return WaitReason.ONE_RACK
        if self._all.empty_copies[_SCHEDULABLE_LEVEL] >= self._required_copies:
            return WaitReason.NO_ROOM
        if self._all.empty_copies[-1] >= self._required_copies:
            return WaitReason.LEAVING
        return WaitReason.TOO_WIDE


def _raise_levels(levels: list[int], marks: list[bool], reason: WaitReason) -> list[int]:
    """Raise the marked levels to at least that of a constraint."""
    least = _LEVEL_OF[reason]
    return [
        max(level, least) if is_marked else level
        for level, is_marked in zip(levels, marks, strict=True)
    ]
