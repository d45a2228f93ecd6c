"""The accelerators and slots of a cell's workers: free, held and pinned.

A gang's share on one worker takes some of its accelerators and one slot. *Pinned* accelerators
are held by gangs that cannot be reclaimed. Workers are identified by index for speed. Racks are
lists of worker indexes in the order of the hall, so neighboring racks have neighboring indexes.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from saddlestack.models import Rack

Share = tuple[int, int]
"""A worker index and the accelerators taken on it."""


@dataclass(frozen=True, slots=True)
class WorkerInfo:
    """The configured properties of a worker."""

    name: str
    rack: str
    accelerators: int
    slots: int


def workers_of(racks: Iterable[Rack]) -> list[WorkerInfo]:
    """The workers of the given racks, named RACK-01 and so on.

    :rtype: list[WorkerInfo]
    """
    return [
        WorkerInfo(f"{rack.name}-{number:02d}", rack.name, rack.accelerators, rack.slots)
        for rack in racks
        for number in range(1, rack.workers + 1)
    ]


class CellResources:
    """The accelerators and slots of a cell's workers and how many of each are in use.

    :ivar opened: whether new work may be placed, by worker.
    :ivar held: accelerators in use, by worker.
    :ivar pinned: accelerators in use by gangs that cannot be reclaimed, by worker.
    :ivar free: accelerators that new work can use, by worker.
    :ivar rack_free: the sum of ``free``, by rack.
    """

    def __init__(self, workers: Sequence[WorkerInfo]) -> None:
        self.workers = list(workers)
        self.index = {worker.name: i for i, worker in enumerate(workers)}
        self.racks: list[list[int]] = []
        self.rack_of: list[int] = []
        self._lay_out_racks()
        size = len(workers)
        self.total = [worker.accelerators for worker in workers]
        self._largest = (
            max(self.total, default=0),
            max((sum(self.total[w] for w in rack) for rack in self.racks), default=0),
            sum(self.total),
        )
        self.slots = [worker.slots for worker in workers]
        self.up = [True] * size
        self.leaving = [False] * size
        self.opened = [True] * size
        self.held = [0] * size
        self.held_slots = [0] * size
        self.pinned = [0] * size
        self.pinned_slots = [0] * size
        self.free = [min(total, total if slots else 0) for total, slots in self._sizes()]
        self.rack_free = [sum(self.free[w] for w in rack) for rack in self.racks]

    def open(self, worker: int) -> bool:
        """Whether new work may be placed on the worker."""
        return self.opened[worker]

    def take(self, shares: Iterable[Share], *, pinned: bool) -> None:
        """Allocate the shares of a gang."""
        self._change(shares, 1, pinned)

    def give_back(self, shares: Iterable[Share], *, pinned: bool) -> None:
        """Release the shares of a gang."""
        self._change(shares, -1, pinned)

    def set_state(self, worker: int, *, up: bool, leaving: bool) -> None:
        """Set whether a worker is up and whether it is leaving."""
        self.up[worker] = up
        self.leaving[worker] = leaving
        self.opened[worker] = up and not leaving
        self._refresh(worker)

    def unpinned(self, worker: int) -> int:
        """Accelerators of a worker that are free or reclaimable; none if it is closed."""
        if not self.open(worker) or self.pinned_slots[worker] >= self.slots[worker]:
            return 0
        return self.total[worker] - self.pinned[worker]

    def unpinned_slots(self, worker: int) -> int:
        """Slots of a worker that are free or reclaimable."""
        return self.slots[worker] - self.pinned_slots[worker]

    def largest_possible(self, adjacent_rank: int) -> int:
        """The largest gang that fits the empty cell, by adjacency rank.

        The ranks are 0 (worker), 1 (rack) and 2 (hall).
        """
        return self._largest[adjacent_rank]

    def _sizes(self) -> Iterable[tuple[int, int]]:
        return zip(self.total, self.slots, strict=True)

    def _lay_out_racks(self) -> None:
        numbers: dict[str, int] = {}
        for i, worker in enumerate(self.workers):
            if worker.rack not in numbers:
                numbers[worker.rack] = len(self.racks)
                self.racks.append([])
            rack = numbers[worker.rack]
            self.racks[rack].append(i)
            self.rack_of.append(rack)

    def _change(self, shares: Iterable[Share], sign: int, pinned: bool) -> None:
        for worker, count in shares:
            self.held[worker] += sign * count
            self.held_slots[worker] += sign
            if pinned:
                self.pinned[worker] += sign * count
                self.pinned_slots[worker] += sign
            self._refresh(worker)

    def _refresh(self, worker: int) -> None:
        usable = self.open(worker) and self.held_slots[worker] < self.slots[worker]
        free = self.total[worker] - self.held[worker] if usable else 0
        self.rack_free[self.rack_of[worker]] += free - self.free[worker]
        self.free[worker] = free
