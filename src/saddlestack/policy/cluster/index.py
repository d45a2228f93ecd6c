"""Index of the capacity of a cluster, updated by each change of a worker.

Totals of each service and rack are updated rather than recomputed, and workers are ordered by their
free capacity. A planning round reads only the workers that have changed and those that it uses, so
its cost grows with the waiting work rather than with the size of the cluster.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from itertools import chain

from sortedcontainers import SortedList

from saddlestack.policy.cluster.speed_rank import MIN_LIMIT, SpeedRank, exceeds, known_factor
from saddlestack.policy.cluster.workers import Worker

MAX_URGENT_FACTOR = 1.5625
"""Largest time factor of a worker that counts in the headroom. Urgent work tolerates a factor of
1.5 and a little waiting, so it cannot use slower ones in time."""

_FreeList = dict[int, SortedList[tuple[int, int]]]
"""Free processors and numbers of workers, by their free accelerators."""


@dataclass(frozen=True, slots=True)
class _Contribution:
    """What one worker contributes to the totals.

    :param service: the service in its record.
    :param rack: the rack in its record.
    :param eligible: whether it accepts work and is not suspected.
    :param empty: its accelerators if it accepts work, runs nothing and is fast enough for urgent
        work, otherwise 0.
    :param speed: its time factor if that is known and counts, otherwise ``None``.
    :param evacuated: whether its data hall is being evacuated. Such a worker does not count in
        :attr:`ServiceCapacity.open` and :attr:`ServiceCapacity.largest_rack`.
    :param present: whether it is listed by the platform and reachable.
    """

    service: str
    rack: str
    eligible: bool
    empty: int
    evacuated: bool
    present: bool
    accelerators: int
    cpu: int
    used_accelerators: int
    used_cpu: int
    free_accelerators: int
    free_cpu: int
    speed: float | None = None


class Rack:
    """Workers of one service in one rack.

    :param number: index of the rack in :attr:`ServiceCapacity.racks`.
    """

    def __init__(self, name: str, number: int) -> None:
        self.name = name
        self.number = number
        self.accelerators = 0
        self.empty = 0
        self.version = 0
        self.workers: dict[Worker, bool] = {}

    @property
    def eligible(self) -> list[Worker]:
        """Its workers that accept work and are not suspected."""
        return [worker for worker, eligible in self.workers.items() if eligible]


class Usage:
    """Total and used accelerators and processors of some workers."""

    def __init__(self) -> None:
        self.accelerators = 0
        self._cpu = 0
        self._used_accelerators = 0
        self._used_cpu = 0

    @property
    def is_half_used(self) -> bool:
        """Whether at least half of the accelerators or of the processors is used."""
        if self._used_accelerators * 2 >= self.accelerators:
            return True
        return self._used_cpu * 2 >= self._cpu

    @property
    def is_mostly_free(self) -> bool:
        """Whether less than half of the accelerators (if none, of the processors) is used."""
        if self.accelerators:
            return self._used_accelerators * 2 < self.accelerators
        return self._used_cpu * 2 < self._cpu

    def add(self, contribution: _Contribution, sign: int) -> None:
        """Add or subtract the contribution of a worker.

        :param sign: 1 or -1.
        """
        self.accelerators += sign * contribution.accelerators
        self._cpu += sign * contribution.cpu
        self._used_accelerators += sign * contribution.used_accelerators
        self._used_cpu += sign * contribution.used_cpu


class ServiceCapacity:
    """Capacity of the workers of one service.

    :ivar empty: accelerators of workers that accept work, run nothing and are fast enough for
        urgent work.
    :ivar all: usage of all workers.
    :ivar has_slow_workers: whether an eligible worker is known to be slower than a usual one.
    :ivar open: usage of workers whose data hall is not being evacuated.
    :ivar present: usage of workers that are listed by the platform and reachable.
    """

    def __init__(self) -> None:
        self.racks: list[Rack] = []
        self.version = 0
        self.empty = 0
        self.all = Usage()
        self.open = Usage()
        self.present = Usage()
        self._by_name: dict[str, Rack] = {}
        self._by_speed: dict[float | None, _FreeList] = {}
        self._known_factors: tuple[float, ...] = ()
        self.has_slow_workers = False
        self._by_number: dict[int, Worker] = {}
        self._by_empty: SortedList[tuple[int, int]] = SortedList()
        self._by_accelerators: SortedList[int] = SortedList()
        self._changed: dict[Rack, None] = {}

    @property
    def largest_rack(self) -> int:
        """Accelerators of the rack that has most of them."""
        return self._by_accelerators[-1] if self._by_accelerators else 0

    @property
    def known_factors(self) -> tuple[float, ...]:
        """Known time factors of the eligible workers, in ascending order."""
        return self._known_factors

    @property
    def has_unknown_speeds(self) -> bool:
        """Whether the time factor of an eligible worker is unknown."""
        return None in self._by_speed

    def counts_for_headroom(self, worker: Worker) -> bool:
        """Whether urgent work can use a worker, so that the headroom counts it while empty."""
        return not self.has_slow_workers or not exceeds(known_factor(worker), MAX_URGENT_FACTOR)

    @property
    def count(self) -> int:
        """Number of its workers."""
        return sum(len(rack.workers) for rack in self.racks)

    def rack(self, name: str) -> Rack | None:
        """The rack with a name, or ``None``."""
        return self._by_name.get(name)

    def largest_empty_rack(self, opened: Mapping[str, int]) -> int:
        """Accelerators on empty workers of the rack that has most of them.

        :param opened: accelerators to leave out, by name of the rack.
        """
        best = 0
        for empty, number in reversed(self._by_empty):
            if empty <= best:
                break
            best = max(best, empty - opened.get(self.racks[number].name, 0))
        return best

    def of_speed(self, speed: float | None) -> Iterator[Worker]:
        """Eligible workers with a known factor, or with ``None`` those of unknown speed."""
        for places in self._by_speed.get(speed, {}).values():
            for _, number in places:
                yield self._by_number[number]

    def empty_in_rack(self, worker: Worker) -> tuple[int, int]:
        """Accelerators on empty workers of a worker's rack, and the number of the rack."""
        rack = self._by_name[worker.record.rack]
        return rack.empty, rack.number

    def changed_since(self, version: int) -> Iterator[Rack]:
        """Racks that have changed since a version, the latest first."""
        for rack in reversed(self._changed):
            if rack.version <= version:
                return
            yield rack

    def tightest_first(
        self, accelerators: int, cpu: int, rank: SpeedRank | None = None
    ) -> Iterator[Worker]:
        """Eligible workers with at least this much free, those with the least free first.

        :param rank: order of the workers by speed, which precedes how much is free.
        """
        if rank is None or len(self._by_speed) == 1:
            return self._tightest_of(list(self._by_speed.values()), accelerators, cpu)
        groups: dict[int, list[_FreeList]] = {}
        for speed, free_list in self._by_speed.items():
            groups.setdefault(rank(speed), []).append(free_list)
        return chain.from_iterable(
            self._tightest_of(groups[each], accelerators, cpu) for each in sorted(groups)
        )

    def _tightest_of(
        self, lists: Sequence[_FreeList], accelerators: int, cpu: int
    ) -> Iterator[Worker]:
        levels = lists[0] if len(lists) == 1 else set().union(*lists)
        for free in sorted(levels):
            if free < accelerators:
                continue
            places = [each[free].irange((cpu, -1)) for each in lists if free in each]
            for _, number in places[0] if len(places) == 1 else heapq.merge(*places):
                yield self._by_number[number]

    def put(self, worker: Worker, number: int, contribution: _Contribution) -> None:
        """Add a worker with its contribution."""
        rack = self._get_or_add_rack(contribution.rack)
        rack.workers[worker] = contribution.eligible
        self._add(rack, contribution, 1)
        if contribution.eligible:
            places = self._free_list(contribution.speed).setdefault(
                contribution.free_accelerators, SortedList()
            )
            places.add((contribution.free_cpu, number))
            self._by_number[number] = worker
        self._touch(rack)

    def drop(self, worker: Worker, number: int, contribution: _Contribution) -> None:
        """Remove a worker that was added with a contribution."""
        rack = self._by_name[contribution.rack]
        del rack.workers[worker]
        self._add(rack, contribution, -1)
        if contribution.eligible:
            free_list = self._by_speed[contribution.speed]
            places = free_list[contribution.free_accelerators]
            places.remove((contribution.free_cpu, number))
            del self._by_number[number]
            if not places:
                del free_list[contribution.free_accelerators]
                if not free_list:
                    del self._by_speed[contribution.speed]
                    self._note_speeds()
        self._touch(rack)

    def _free_list(self, speed: float | None) -> _FreeList:
        free_list = self._by_speed.get(speed)
        if free_list is None:
            free_list = self._by_speed[speed] = {}
            self._note_speeds()
        return free_list

    def _note_speeds(self) -> None:
        self._known_factors = tuple(sorted(each for each in self._by_speed if each is not None))
        self.has_slow_workers = exceeds(max(self._known_factors, default=None), MIN_LIMIT)

    def _get_or_add_rack(self, name: str) -> Rack:
        rack = self._by_name.get(name)
        if rack is None:
            rack = self._by_name[name] = Rack(name, len(self.racks))
            self.racks.append(rack)
            self._by_empty.add((0, rack.number))
            self._by_accelerators.add(0)
        return rack

    def _add(self, rack: Rack, contribution: _Contribution, sign: int) -> None:
        self.empty += sign * contribution.empty
        self.all.add(contribution, sign)
        if not contribution.evacuated:
            self.open.add(contribution, sign)
        if contribution.present:
            self.present.add(contribution, sign)
        if contribution.empty:
            self._by_empty.remove((rack.empty, rack.number))
            rack.empty += sign * contribution.empty
            self._by_empty.add((rack.empty, rack.number))
        if contribution.accelerators and not contribution.evacuated:
            self._by_accelerators.remove(rack.accelerators)
            rack.accelerators += sign * contribution.accelerators
            self._by_accelerators.add(rack.accelerators)

    def _touch(self, rack: Rack) -> None:
        self.version += 1
        rack.version = self.version
        self._changed.pop(rack, None)
        self._changed[rack] = None


class CapacityIndex:
    """Capacity of all workers, by service.

    :param uses_speeds: whether the time factors of the workers count.
    :ivar now: when the current round began, in seconds on the monotonic clock.
    :ivar leaving: workers that are about to leave.
    """

    def __init__(self, *, uses_speeds: bool = False) -> None:
        self.now = 0.0
        self.uses_speeds = uses_speeds
        self.leaving: dict[Worker, None] = {}
        self._services: dict[str, ServiceCapacity] = {}
        self._contributions: dict[Worker, _Contribution] = {}
        self._numbers: dict[Worker, int] = {}
        self._next_number = 0
        self._changed: dict[Worker, None] = {}
        self._timers: list[tuple[float, int, Worker]] = []
        self._timer_times: dict[Worker, float] = {}
        self._is_frozen = False

    @contextmanager
    def without_refresh(self) -> Iterator[None]:
        """Read the index as the last round has left it, without later changes.

        Counting changes earlier would alter which of equal workers the next round chooses.
        """
        self._is_frozen = True
        try:
            yield
        finally:
            self._is_frozen = False

    def add(self, worker: Worker) -> None:
        """Add a worker; its capacity counts from the next update of the index."""
        self._numbers[worker] = self._next_number
        self._next_number += 1
        worker.changed = self._changed
        self._changed[worker] = None

    def remove(self, worker: Worker) -> None:
        """Remove a worker and its capacity."""
        worker.changed = None
        self._changed.pop(worker, None)
        self._drop(worker)
        self.leaving.pop(worker, None)
        self._timer_times.pop(worker, None)
        del self._numbers[worker]

    def begin_round(self, now: float) -> None:
        """Begin a planning round: count all changes, including those that are due by time."""
        self.now = now
        while self._timers and self._timers[0][0] <= now:
            worker = heapq.heappop(self._timers)[2]
            self._timer_times.pop(worker, None)
            if worker in self._numbers:
                worker.expire_trial(now)
                self._changed[worker] = None
        self._refresh()

    def service(self, name: str) -> ServiceCapacity:
        """Capacity of a service, with all changes up to now."""
        self._refresh()
        service_capacity = self._services.get(name)
        if service_capacity is None:
            service_capacity = self._services[name] = ServiceCapacity()
        return service_capacity

    @property
    def worker_count(self) -> int:
        """Number of workers of all services."""
        return len(self._numbers)

    def services(self) -> list[tuple[str, ServiceCapacity]]:
        """The services that have had workers, each with its name."""
        self._refresh()
        return list(self._services.items())

    def time_factor(self, worker: Worker) -> float:
        """Time factor of a worker; 1 if it is unknown or no worker of its service is slow."""
        service_capacity = self._services.get(worker.record.service)
        if service_capacity is None or not service_capacity.has_slow_workers:
            return 1.0
        return known_factor(worker) or 1.0

    def _refresh(self) -> None:
        if self._is_frozen:
            return
        for worker in self._changed:
            self._drop(worker)
            self._put(worker)
        self._changed.clear()

    def _put(self, worker: Worker) -> None:
        number = self._numbers[worker]
        contribution = self._contributions[worker] = _contribution(
            worker, self.now, uses_speeds=self.uses_speeds
        )
        service_capacity = self._services.get(contribution.service)
        if service_capacity is None:
            service_capacity = self._services[contribution.service] = ServiceCapacity()
        service_capacity.put(worker, number, contribution)
        due_s = worker.next_change_s(self.now)
        if due_s is not None and self._timer_times.get(worker) != due_s:
            self._timer_times[worker] = due_s
            heapq.heappush(self._timers, (due_s, number, worker))
        if worker.leaves_s is None:
            self.leaving.pop(worker, None)
        else:
            self.leaving[worker] = None

    def _drop(self, worker: Worker) -> None:
        contribution = self._contributions.pop(worker, None)
        if contribution is not None:
            self._services[contribution.service].drop(worker, self._numbers[worker], contribution)


def _contribution(worker: Worker, now: float, *, uses_speeds: bool) -> _Contribution:
    record = worker.record
    accepts_work = worker.accepts_work(now)
    free = worker.free
    speed = known_factor(worker) if uses_speeds else None
    is_empty = accepts_work and not worker.runs and not exceeds(speed, MAX_URGENT_FACTOR)
    return _Contribution(
        service=record.service,
        rack=record.rack,
        eligible=accepts_work and not worker.suspected,
        empty=record.capacity.accelerators if is_empty else 0,
        evacuated=worker.evacuated,
        present=worker.listed and worker.reachable,
        accelerators=record.capacity.accelerators,
        cpu=record.capacity.cpu,
        used_accelerators=worker.used.accelerators,
        used_cpu=worker.used.cpu,
        free_accelerators=free.accelerators,
        free_cpu=free.cpu,
        speed=speed,
    )
