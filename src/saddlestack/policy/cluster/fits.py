"""How many tasks of one size each rack holds, kept from round to round.

Work that waits asks the same again and again; only racks of which something changed since it last
asked are counted anew.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import merge

from sortedcontainers import SortedList

from saddlestack.policy.cluster.index import CapacityIndex, Rack, ServiceCapacity
from saddlestack.policy.cluster.releasable import ReleasableRack, ReleasableWorker, by_release_cost
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

MAX_FITS = 64
"""Sizes of tasks that are remembered, those asked for last. At 350 workers in 18 racks one takes
5 KB, and 0.6 ms to count anew (median of 20)."""


@dataclass(frozen=True, slots=True)
class FitKey:
    """What tasks have to share so that a worker holds as many of the one as of the other.

    :param label: that the worker must have, or empty.
    :param proven: whether they go to no worker on probation.
    """

    service: str
    room: Resources
    label: str
    proven: bool

    def allows(self, worker: Worker, now: float) -> bool:
        """Whether such tasks may go to a worker that takes work."""
        if self.proven and now < worker.probation_s:
            return False
        return not self.label or self.label in worker.record.labels


@dataclass(slots=True)
class RackFit:
    """What a rack holds of tasks of one size.

    :param copies: that fit now.
    :param most: that would fit if it were empty.
    :param free: accelerators that its workers have left.
    :param releasable: by priority, what fits once lower work has ended; counted where asked for.
    """

    copies: int = 0
    most: int = 0
    free: int = 0
    releasable: dict[int, ReleasableRack] = field(default_factory=dict)


class FitCapacity:
    """What each rack of a service holds of tasks of one size."""

    def __init__(self, fit: FitKey, service_capacity: ServiceCapacity) -> None:
        self.fit = fit
        self.service_capacity = service_capacity
        self.racks: list[RackFit] = []
        self.total = 0
        self._now = 0.0
        self._seen = -1
        self._by_copies: SortedList[tuple[int, int]] = SortedList()
        self._by_most: SortedList[int] = SortedList()

    @property
    def most(self) -> int:
        """Tasks that the largest rack would hold if it were empty."""
        return self._by_most[-1] if self._by_most else 0

    def holding(self, wanted: int) -> Iterator[Rack]:
        """Racks where so many tasks fit now."""
        for _, number in self._by_copies.irange((wanted, -1)):
            yield self.service_capacity.racks[number]

    def allows(self, worker: Worker) -> bool:
        """Whether such tasks may go to a worker that takes work."""
        return self.fit.allows(worker, self._now)

    def workers(self, rack: Rack) -> list[Worker]:
        """The workers of a rack that such tasks may go to."""
        return [worker for worker in rack.eligible if self.allows(worker)]

    def releasable(self, rack: Rack, priority: int) -> ReleasableRack:
        """What a rack holds once all work of lower priority there has ended."""
        found = self.racks[rack.number].releasable
        known = found.get(priority)
        if known is None:
            known = found[priority] = ReleasableRack.of(self._releasable(rack, priority))
        return known

    def soonest(self, priority: int) -> Iterator[ReleasableWorker]:
        """Workers of all racks, those with the least lower work for each task first."""
        lists = [self.releasable(rack, priority).workers for rack in self.service_capacity.racks]
        return merge(*lists, key=by_release_cost)

    def refresh(self, now: float) -> None:
        """Count the racks anew of which something changed."""
        self._now = now
        if self._seen == self.service_capacity.version:
            return
        while len(self.racks) < len(self.service_capacity.racks):
            self._by_copies.add((0, len(self.racks)))
            self._by_most.add(0)
            self.racks.append(RackFit())
        for rack in self.service_capacity.changed_since(self._seen):
            self._count(rack)
        self._seen = self.service_capacity.version

    def _count(self, rack: Rack) -> None:
        old = self.racks[rack.number]
        new = RackFit()
        for worker in self.workers(rack):
            free = worker.free
            new.copies += worker.count_fitting(self.fit.room, free)
            new.most += self.fit.room.copies_in(worker.record.capacity)
            new.free += free.accelerators
        self.racks[rack.number] = new
        self.total += new.copies - old.copies
        if new.copies != old.copies:
            self._by_copies.remove((old.copies, rack.number))
            self._by_copies.add((new.copies, rack.number))
        if new.most != old.most:
            self._by_most.remove(old.most)
            self._by_most.add(new.most)

    def _releasable(self, rack: Rack, priority: int) -> Iterator[ReleasableWorker]:
        for worker in self.workers(rack):
            lower = worker.lower_priority_usage(priority)
            copies = worker.count_fitting(self.fit.room, worker.free + lower)
            if copies > 0:
                yield ReleasableWorker.of(worker, lower, copies)


class FitCache:
    """The sizes that were asked for lately."""

    def __init__(self, index: CapacityIndex) -> None:
        self._index = index
        self._known: dict[FitKey, FitCapacity] = {}

    def of(self, fit: FitKey) -> FitCapacity:
        """The room for tasks of one size, with all changes up to now."""
        service_capacity = self._index.service(fit.service)
        known = self._known.pop(fit, None)
        if known is None:
            known = FitCapacity(fit, service_capacity)
            if len(self._known) >= MAX_FITS:
                del self._known[next(iter(self._known))]
        self._known[fit] = known
        known.refresh(self._index.now)
        return known
