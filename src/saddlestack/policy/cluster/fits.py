"""How many tasks with the same requirements fit in each rack, cached from round to round.

Waiting work needs the same counts in each round. Only racks that have changed since the last query
are counted again.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from heapq import merge

from sortedcontainers import SortedList

from saddlestack.policy.cluster.index import CapacityIndex, Rack, ServiceCapacity
from saddlestack.policy.cluster.releasable import ReleasableRack, ReleasableWorker, by_release_cost
from saddlestack.policy.cluster.speed_rank import exceeds, known_factor
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

MAX_FITS = 128
"""Number of cached :class:`FitCapacity`; the least recently used one is evicted. With 350 workers
in 18 racks one takes 5 KB, and 0.6 ms to count again (median of 20)."""


@dataclass(frozen=True, slots=True)
class FitKey:
    """Requirements by which tasks are equal: a worker holds as many of one as of the other.

    :param room: resources of a task.
    :param label: label that the worker must have, or empty.
    :param proven: whether they must not run on workers on probation.
    :param max_factor: largest known time factor of a worker; infinite for no limit.
    :param above: a worker's factor must be known and above this; 0 for no such bound.
    :param known: whether the worker's factor must be known.
    """

    service: str
    room: Resources
    label: str
    proven: bool
    max_factor: float = math.inf
    above: float = 0.0
    known: bool = False

    def allows(self, worker: Worker, now: float) -> bool:
        """Whether a worker that accepts work may run such tasks, if its speed is allowed."""
        if self.proven and now < worker.probation_s:
            return False
        return not self.label or self.label in worker.record.labels

    @property
    def bounds_speed(self) -> bool:
        """Whether the speed of a worker matters."""
        return self.max_factor != math.inf or self.known or self.above > 0.0

    @property
    def of_any_speed(self) -> FitKey:
        """The same requirements without those of speed."""
        return self.within(math.inf)

    def within(self, max_factor: float, *, above: float = 0.0, known: bool = False) -> FitKey:
        """The same requirements with others of speed."""
        return FitKey(self.service, self.room, self.label, self.proven, max_factor, above, known)

    def allows_speed(self, factor: float | None) -> bool:
        """Whether a worker with a known factor, or ``None``, may run such tasks."""
        if factor is None:
            return not self.known and not self.above
        return not exceeds(factor, self.max_factor) and (
            not self.above or exceeds(factor, self.above)
        )


@dataclass(slots=True)
class RackFit:
    """How many tasks with the same requirements fit in a rack.

    :param copies: number of tasks that fit now.
    :param most: number of tasks that would fit if the rack were empty.
    :param free: free accelerators of its workers.
    :param releasable: by priority, what fits once work of lower priority has ended. Computed on
        demand.
    :param by_speed: the first three by known factor of the workers. Counted on demand while no
        worker is slow.
    """

    copies: int = 0
    most: int = 0
    free: int = 0
    releasable: dict[int, ReleasableRack] = field(default_factory=dict)
    by_speed: dict[float | None, RackFit] = field(default_factory=dict)

    def add(self, part: RackFit) -> None:
        """Add the counts of some workers of the rack."""
        self.copies += part.copies
        self.most += part.most
        self.free += part.free


class FitCapacity:
    """How many tasks with the same requirements fit in each rack of a service.

    :ivar total: number of tasks that fit now.
    :ivar total_most: number of tasks that would fit if all workers were empty.

    :param of_any_speed: the capacity without regard to speed, if the requirements bound the speed.
        Its counts are used, so that each worker is counted once.
    """

    def __init__(
        self,
        fit: FitKey,
        service_capacity: ServiceCapacity,
        of_any_speed: FitCapacity | None = None,
    ) -> None:
        self.fit = fit
        self.of_any_speed = of_any_speed
        self.service_capacity = service_capacity
        self.racks: list[RackFit] = []
        self.total = 0
        self.total_most = 0
        self._now = 0.0
        self._counted_version = -1
        self._capacity: Resources | None = None
        self._most_of_one = 0
        self._by_copies: SortedList[tuple[int, int]] = SortedList()
        self._by_most: SortedList[int] = SortedList()

    @property
    def most(self) -> int:
        """Number of tasks that would fit in the largest rack if it were empty."""
        return self._by_most[-1] if self._by_most else 0

    def holding(self, wanted: int) -> Iterator[Rack]:
        """Racks where the wanted number of tasks fits now."""
        for _, number in self._by_copies.irange((wanted, -1)):
            yield self.service_capacity.racks[number]

    def allows(self, worker: Worker) -> bool:
        """Whether a worker that accepts work may run such tasks."""
        if self.of_any_speed is not None and not self.fit.allows_speed(known_factor(worker)):
            return False
        return self.fit.allows(worker, self._now)

    def workers(self, rack: Rack) -> list[Worker]:
        """The workers of a rack that may run such tasks."""
        fit, now = self.fit, self._now
        found = [worker for worker in rack.eligible if fit.allows(worker, now)]
        if self.of_any_speed is None:
            return found
        return [worker for worker in found if fit.allows_speed(known_factor(worker))]

    def releasable(self, rack: Rack, priority: int) -> ReleasableRack:
        """What fits in a rack once all work of lower priority there has ended."""
        found = self.racks[rack.number].releasable
        known = found.get(priority)
        if known is None:
            known = found[priority] = ReleasableRack.of(self._releasable(rack, priority))
        return known

    def releasable_copies(self, priority: int) -> int:
        """Number of tasks that fit once all work of lower priority has ended."""
        racks = self.service_capacity.racks
        return sum(
            copies[-1] for rack in racks if (copies := self.releasable(rack, priority).copies)
        )

    def soonest(self, priority: int) -> Iterator[ReleasableWorker]:
        """Workers of all racks, ordered by :func:`by_release_cost`."""
        lists = [self.releasable(rack, priority).workers for rack in self.service_capacity.racks]
        return merge(*lists, key=by_release_cost)

    def refresh(self, now: float) -> None:
        """Count the racks again that have changed."""
        self._now = now
        if self._counted_version == self.service_capacity.version:
            return
        while len(self.racks) < len(self.service_capacity.racks):
            self._by_copies.add((0, len(self.racks)))
            self._by_most.add(0)
            self.racks.append(RackFit())
        for rack in self.service_capacity.changed_since(self._counted_version):
            self._count(rack)
        self._counted_version = self.service_capacity.version

    def _count(self, rack: Rack) -> None:
        old = self.racks[rack.number]
        if self.of_any_speed is None:
            new = self._count_workers(rack)
        else:
            new = self._sum_speeds(self.of_any_speed.counts_by_speed(rack))
        self.racks[rack.number] = new
        self.total += new.copies - old.copies
        self.total_most += new.most - old.most
        if new.copies != old.copies:
            self._by_copies.remove((old.copies, rack.number))
            self._by_copies.add((new.copies, rack.number))
        if new.most != old.most:
            self._by_most.remove(old.most)
            self._by_most.add(new.most)

    def _count_workers(self, rack: Rack) -> RackFit:
        if not self.service_capacity.has_slow_workers:
            return self._count_listed(self.workers(rack))
        found = RackFit()
        found.by_speed = self._count_by_speed(rack)
        for part in found.by_speed.values():
            found.add(part)
        return found

    def counts_by_speed(self, rack: Rack) -> dict[float | None, RackFit]:
        """Counts of a rack by known factor of its workers."""
        found = self.racks[rack.number]
        if not found.by_speed:
            found.by_speed = self._count_by_speed(rack)
        return found.by_speed

    def _count_by_speed(self, rack: Rack) -> dict[float | None, RackFit]:
        found: dict[float | None, RackFit] = {}
        for worker in self.workers(rack):
            speed = known_factor(worker)
            part = found.get(speed)
            if part is None:
                part = found[speed] = RackFit()
            self._count_worker(part, worker)
        return found

    def _count_listed(self, workers: Iterable[Worker]) -> RackFit:
        found = RackFit()
        for worker in workers:
            self._count_worker(found, worker)
        return found

    def _count_worker(self, part: RackFit, worker: Worker) -> None:
        free, capacity = worker.free, worker.record.capacity
        if capacity != self._capacity:
            self._capacity, self._most_of_one = capacity, self.fit.room.copies_in(capacity)
        part.copies += worker.count_fitting(self.fit.room, free)
        part.most += self._most_of_one
        part.free += free.accelerators

    def _sum_speeds(self, by_speed: Mapping[float | None, RackFit]) -> RackFit:
        """The part of a rack's capacity that is within the bounds of speed."""
        found = RackFit()
        for speed, part in by_speed.items():
            if self.fit.allows_speed(speed):
                found.add(part)
        return found

    def _releasable(self, rack: Rack, priority: int) -> Iterator[ReleasableWorker]:
        if self.of_any_speed is not None:
            for each in self.of_any_speed.releasable(rack, priority).workers:
                if self.fit.allows_speed(known_factor(each.worker)):
                    yield each
            return
        for worker in self.workers(rack):
            lower = worker.lower_priority_usage(priority)
            copies = worker.count_fitting(self.fit.room, worker.free + lower)
            if copies > 0:
                yield ReleasableWorker.of(worker, lower, copies)


class FitCache:
    """Cache of :class:`FitCapacity` by requirements."""

    def __init__(self, index: CapacityIndex) -> None:
        self._index = index
        self._known: dict[FitKey, FitCapacity] = {}

    def of(self, fit: FitKey) -> FitCapacity:
        """Capacity for tasks with some requirements, with all changes up to now."""
        service_capacity = self._index.service(fit.service)
        of_any_speed = self.of(fit.of_any_speed) if fit.bounds_speed else None
        known = self._known.pop(fit, None)
        if known is None:
            known = FitCapacity(fit, service_capacity, of_any_speed)
            if len(self._known) >= MAX_FITS:
                del self._known[next(iter(self._known))]
        self._known[fit] = known
        known.of_any_speed = of_any_speed
        known.refresh(self._index.now)
        return known
