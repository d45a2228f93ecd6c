"""An index of the room of a pool, kept up to date by each change of a worker.

Sums over a service and over each rack are kept rather than taken anew, and workers lie in order of
the room that they have left. A round of planning looks at the workers that changed and at those
that it uses; what it costs grows with the work that waits, no longer with the pool.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterator, Mapping
from contextlib import contextmanager
from dataclasses import dataclass

from sortedcontainers import SortedList

from saddlestack.policy.cluster.workers import Worker


@dataclass(frozen=True, slots=True)
class _Standing:
    """What the sums hold of one worker.

    :param service: of its record, as is the rack.
    :param eligible: whether it takes work and is not suspected.
    :param empty: its accelerators where it takes work and runs nothing, else 0.
    :param evacuated: whether its data hall is; such a worker counts in the sums of all alone.
    :param present: whether it is in the platform's list and answers.
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


class Rack:
    """Workers of one service in one rack.

    :param number: rises with each rack that becomes known.
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
        """Its workers that take work and are not suspected."""
        return [worker for worker, eligible in self.workers.items() if eligible]


class Usage:
    """Accelerators and processors of some workers, and how many of them are held."""

    def __init__(self) -> None:
        self.accelerators = 0
        self._cpu = 0
        self._used_accelerators = 0
        self._used_cpu = 0

    @property
    def is_half_used(self) -> bool:
        """Whether half of the accelerators or of the processors is held."""
        if self._used_accelerators * 2 >= self.accelerators:
            return True
        return self._used_cpu * 2 >= self._cpu

    @property
    def is_mostly_free(self) -> bool:
        """Whether under half of what counts is held: accelerators, or processors without any."""
        if self.accelerators:
            return self._used_accelerators * 2 < self.accelerators
        return self._used_cpu * 2 < self._cpu

    def add(self, standing: _Standing, sign: int) -> None:
        """Count a worker, or count it no longer."""
        self.accelerators += sign * standing.accelerators
        self._cpu += sign * standing.cpu
        self._used_accelerators += sign * standing.used_accelerators
        self._used_cpu += sign * standing.used_cpu


class ServiceCapacity:
    """The room of the workers of one service.

    :ivar all: what all of its workers have.
    :ivar open: what those have whose data hall is not being evacuated.
    :ivar present: what those have that are in the platform's list and answer.
    """

    def __init__(self) -> None:
        self.racks: list[Rack] = []
        self.version = 0
        self.empty = 0
        self.all = Usage()
        self.open = Usage()
        self.present = Usage()
        self._by_name: dict[str, Rack] = {}
        self._by_free: dict[int, SortedList[tuple[int, int]]] = {}
        self._by_number: dict[int, Worker] = {}
        self._by_empty: SortedList[tuple[int, int]] = SortedList()
        self._by_width: SortedList[int] = SortedList()
        self._changed: dict[Rack, None] = {}

    @property
    def largest_rack(self) -> int:
        """Accelerators of the widest rack."""
        return self._by_width[-1] if self._by_width else 0

    @property
    def count(self) -> int:
        """Its workers."""
        return sum(len(rack.workers) for rack in self.racks)

    def rack(self, name: str) -> Rack | None:
        """A rack by its name."""
        return self._by_name.get(name)

    def largest_empty_rack(self, opened: Mapping[str, int]) -> int:
        """Empty accelerators of the rack that has most of them.

        :param opened: by rack, empty ones that are not to be counted.
        """
        best = 0
        for empty, number in reversed(self._by_empty):
            if empty <= best:
                break
            best = max(best, empty - opened.get(self.racks[number].name, 0))
        return best

    def changed_since(self, version: int) -> Iterator[Rack]:
        """Racks of which something changed after a version."""
        for rack in reversed(self._changed):
            if rack.version <= version:
                return
            yield rack

    def tightest_first(self, accelerators: int, cpu: int) -> Iterator[Worker]:
        """Workers that take work and have so much free, those with the least of it first."""
        for free in sorted(self._by_free):
            if free < accelerators:
                continue
            for _, number in self._by_free[free].irange((cpu, -1)):
                yield self._by_number[number]

    def put(self, worker: Worker, number: int, standing: _Standing) -> None:
        """Count a worker as it stands."""
        rack = self._known_rack(standing.rack)
        rack.workers[worker] = standing.eligible
        self._add(rack, standing, 1)
        if standing.eligible:
            places = self._by_free.setdefault(standing.free_accelerators, SortedList())
            places.add((standing.free_cpu, number))
            self._by_number[number] = worker
        self._touch(rack)

    def drop(self, worker: Worker, number: int, standing: _Standing) -> None:
        """Leave a worker out that was counted so."""
        rack = self._by_name[standing.rack]
        del rack.workers[worker]
        self._add(rack, standing, -1)
        if standing.eligible:
            places = self._by_free[standing.free_accelerators]
            places.remove((standing.free_cpu, number))
            del self._by_number[number]
            if not places:
                del self._by_free[standing.free_accelerators]
        self._touch(rack)

    def _known_rack(self, name: str) -> Rack:
        rack = self._by_name.get(name)
        if rack is None:
            rack = self._by_name[name] = Rack(name, len(self.racks))
            self.racks.append(rack)
            self._by_empty.add((0, rack.number))
            self._by_width.add(0)
        return rack

    def _add(self, rack: Rack, standing: _Standing, sign: int) -> None:
        self.empty += sign * standing.empty
        self.all.add(standing, sign)
        if not standing.evacuated:
            self.open.add(standing, sign)
        if standing.present:
            self.present.add(standing, sign)
        if standing.empty:
            self._by_empty.remove((rack.empty, rack.number))
            rack.empty += sign * standing.empty
            self._by_empty.add((rack.empty, rack.number))
        if standing.accelerators and not standing.evacuated:
            self._by_width.remove(rack.accelerators)
            rack.accelerators += sign * standing.accelerators
            self._by_width.add(rack.accelerators)

    def _touch(self, rack: Rack) -> None:
        self.version += 1
        rack.version = self.version
        self._changed.pop(rack, None)
        self._changed[rack] = None


class CapacityIndex:
    """The room of all workers, by service.

    :param leaving: workers that are about to leave.
    """

    def __init__(self) -> None:
        self.now = 0.0
        self.leaving: dict[Worker, None] = {}
        self._services: dict[str, ServiceCapacity] = {}
        self._standings: dict[Worker, _Standing] = {}
        self._numbers: dict[Worker, int] = {}
        self._next_number = 0
        self._changed: dict[Worker, None] = {}
        self._asleep: list[tuple[float, int, Worker]] = []
        self._wakes: dict[Worker, float] = {}
        self._is_read = False

    @contextmanager
    def without_refresh(self) -> Iterator[None]:
        """Read it as the last round has left it.

        To count a change earlier would have the next round choose otherwise among equal workers.
        """
        self._is_read = True
        try:
            yield
        finally:
            self._is_read = False

    def add(self, worker: Worker) -> None:
        """Count a worker from now on."""
        self._numbers[worker] = self._next_number
        self._next_number += 1
        worker.changed = self._changed
        self._changed[worker] = None

    def remove(self, worker: Worker) -> None:
        """Count a worker no longer."""
        worker.changed = None
        self._changed.pop(worker, None)
        self._drop(worker)
        self.leaving.pop(worker, None)
        self._wakes.pop(worker, None)
        del self._numbers[worker]

    def begin_round(self, now: float) -> None:
        """Begin a round: what ends with time counts as it is now."""
        self.now = now
        while self._asleep and self._asleep[0][0] <= now:
            worker = heapq.heappop(self._asleep)[2]
            self._wakes.pop(worker, None)
            if worker in self._numbers:
                worker.expire_trial(now)
                self._changed[worker] = None
        self._refresh()

    def service(self, name: str) -> ServiceCapacity:
        """The room of a service's workers, with all changes up to now."""
        self._refresh()
        service_capacity = self._services.get(name)
        if service_capacity is None:
            service_capacity = self._services[name] = ServiceCapacity()
        return service_capacity

    def _refresh(self) -> None:
        if self._is_read:
            return
        for worker in self._changed:
            self._drop(worker)
            self._put(worker)
        self._changed.clear()

    def _put(self, worker: Worker) -> None:
        number = self._numbers[worker]
        standing = self._standings[worker] = _standing(worker, self.now)
        service_capacity = self._services.get(standing.service)
        if service_capacity is None:
            service_capacity = self._services[standing.service] = ServiceCapacity()
        service_capacity.put(worker, number, standing)
        wake_s = worker.next_change_s(self.now)
        if wake_s is not None and self._wakes.get(worker) != wake_s:
            self._wakes[worker] = wake_s
            heapq.heappush(self._asleep, (wake_s, number, worker))
        if worker.leaves_s is None:
            self.leaving.pop(worker, None)
        else:
            self.leaving[worker] = None

    def _drop(self, worker: Worker) -> None:
        standing = self._standings.pop(worker, None)
        if standing is not None:
            self._services[standing.service].drop(worker, self._numbers[worker], standing)


def _standing(worker: Worker, now: float) -> _Standing:
    record = worker.record
    accepts_work = worker.accepts_work(now)
    free = worker.free
    return _Standing(
        service=record.service,
        rack=record.rack,
        eligible=accepts_work and not worker.suspected,
        empty=record.capacity.accelerators if accepts_work and not worker.runs else 0,
        evacuated=worker.evacuated,
        present=worker.listed and worker.reachable,
        accelerators=record.capacity.accelerators,
        cpu=record.capacity.cpu,
        used_accelerators=worker.used.accelerators,
        used_cpu=worker.used.cpu,
        free_accelerators=free.accelerators,
        free_cpu=free.cpu,
    )
