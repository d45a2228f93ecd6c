"""Packs shapes into the workers of a cell so that all can be formed at the same time.

:func:`pack` returns one placement for each shape. It tries a greedy placement first and then
an exact search within a step budget. Every packing it returns is valid. ``None`` does not prove
that the shapes don't fit: the step budget may have run out.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from saddlestack.models import Adjacency, Shape
from saddlestack.policy.resources import Share

Shares = tuple[Share, ...]
ONLINE_SEARCH_STEPS = 8_000
PLANNER_BUDGET = 60_000

_PLACING_ORDER = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.HALL: 2}


@dataclass(frozen=True, slots=True)
class ShapeRequest:
    """A shape to be placed.

    :param within: the workers that it must use, or ``None`` if any will do.
    """

    shape: Shape
    within: tuple[int, ...] | None = None


def online_budget(workers: int) -> int:
    """Steps of exact search allowed for a decision: fewer in larger cells, as each costs more.

    :rtype: int
    """
    return ONLINE_SEARCH_STEPS // max(workers, 1)


class Space:
    """The accelerators and slots that shapes are packed into."""

    def __init__(
        self, accelerators: Sequence[int], slots: Sequence[int], racks: Sequence[Sequence[int]]
    ) -> None:
        self.left = list(accelerators)
        self.slots = list(slots)
        self.racks = racks

    def usable(self, worker: int) -> int:
        """Accelerators that can still be taken on a worker."""
        return self.left[worker] if self.slots[worker] > 0 else 0

    def take(self, shares: Shares) -> None:
        """Take the shares out of the space."""
        for worker, count in shares:
            self.left[worker] -= count
            self.slots[worker] -= 1

    def put_back(self, shares: Shares) -> None:
        """Return the shares to the space."""
        for worker, count in shares:
            self.left[worker] += count
            self.slots[worker] += 1

    def fits(self, shares: Shares) -> bool:
        """Whether the shares can be taken as they are."""
        return all(self.usable(worker) >= count for worker, count in shares)

    def fill(self, workers: Sequence[int], wanted: int) -> Shares | None:
        """Choose ``wanted`` accelerators from the given workers, whole workers first."""
        return fill(workers, [self.usable(w) for w in workers], wanted)

    def options(self, request: ShapeRequest) -> list[Shares]:
        """Placements for a shape, tightest first, without equivalent ones."""
        shape = request.shape
        if request.within is not None:
            shares = self.fill(request.within, shape.accelerators)
            return [] if shares is None else [shares]
        if shape.adjacent is Adjacency.WORKER:
            return self._worker_options(shape.accelerators)
        if shape.adjacent is Adjacency.RACK:
            return self._rack_options(shape.accelerators)
        everywhere = [w for rack in self.racks for w in rack]
        shares = self.fill(everywhere, shape.accelerators)
        return [] if shares is None else [shares]

    def best(self, request: ShapeRequest) -> Shares | None:
        """The tightest placement for a shape, the first of its options."""
        wanted = request.shape.accelerators
        if request.within is not None or request.shape.adjacent is Adjacency.HALL:
            options = self.options(request)
            return options[0] if options else None
        usable = [
            count if slots > 0 else 0 for count, slots in zip(self.left, self.slots, strict=True)
        ]
        if request.shape.adjacent is Adjacency.WORKER:
            return self._find_best_worker(usable, wanted)
        totals = [sum([usable[w] for w in rack]) for rack in self.racks]
        fitting = [i for i, total in enumerate(totals) if total >= wanted]
        if not fitting:
            return None
        rack = self.racks[min(fitting, key=totals.__getitem__)]
        return fill(rack, [usable[w] for w in rack], wanted)

    def _find_best_worker(self, usable: Sequence[int], wanted: int) -> Shares | None:
        least = min([count for count in usable if count >= wanted], default=0)
        if not least:
            return None
        best: tuple[int, int] | None = None
        for rack in self.racks:
            for worker in rack:
                if usable[worker] == least:
                    total = sum([usable[w] for w in rack])
                    if best is None or total < best[0]:
                        best = (total, worker)
                    break
        return None if best is None else ((best[1], wanted),)

    def _worker_options(self, wanted: int) -> list[Shares]:
        found: dict[tuple[int, int, int], int] = {}
        for rack in self.racks:
            total = sum(map(self.usable, rack))
            for worker in rack:
                usable = self.usable(worker)
                if usable >= wanted:
                    found.setdefault((usable, total, self.slots[worker]), worker)
        return [((found[key], wanted),) for key in sorted(found)]

    def _rack_options(self, wanted: int) -> list[Shares]:
        found: dict[tuple[int, tuple[int, ...]], Shares] = {}
        for rack in self.racks:
            usable = [self.usable(w) for w in rack]
            total = sum(usable)
            key = (total, tuple(sorted(usable)))
            if total < wanted or key in found:
                continue
            shares = fill(rack, usable, wanted)
            if shares is not None:
                found[key] = shares
        return [found[key] for key in sorted(found)]


def fill(workers: Sequence[int], usable: Sequence[int], wanted: int) -> Shares | None:
    """Choose accelerators from workers so that few workers are left partly used.

    Workers that can be used whole come first, largest first. The remainder comes from the
    smallest worker that has enough.

    :return: the shares, or ``None`` if the workers have too few accelerators.
    """
    order = sorted(
        ((count, worker) for count, worker in zip(usable, workers, strict=True) if count),
        reverse=True,
    )
    shares: list[Share] = []
    skipped: list[tuple[int, int]] = []
    for count, worker in order:
        if count <= wanted:
            shares.append((worker, count))
            wanted -= count
        else:
            skipped.append((count, worker))
        if not wanted:
            return tuple(shares)
    if not skipped:
        return None
    _, worker = skipped[-1]
    return (*shares, (worker, wanted))


def pack(space: Space, requests: Sequence[ShapeRequest], budget: int) -> list[Shares] | None:
    """Find placements for all requests at the same time.

    :param space: the capacity to use; unchanged on return.
    :param budget: the maximum number of steps of the exact search.
    :return: placements in the order of ``requests``, or ``None`` if none were found.
    """
    order = sorted(range(len(requests)), key=lambda i: _hardest_first(requests[i]))
    places: list[Shares | None] = [None] * len(requests)
    if not _greedy(space, requests, order, places):
        search = _Search(space, requests, order, budget)
        if not search.run(0):
            return None
        places = search.places
    return [place for place in places if place is not None]


def _hardest_first(request: ShapeRequest) -> tuple[bool, int, int]:
    return (
        request.within is None,
        _PLACING_ORDER[request.shape.adjacent],
        -request.shape.accelerators,
    )


def _greedy(
    space: Space, requests: Sequence[ShapeRequest], order: list[int], places: list[Shares | None]
) -> bool:
    taken: list[Shares] = []
    for i in order:
        place = space.best(requests[i])
        if place is None:
            break
        places[i] = place
        space.take(place)
        taken.append(place)
    for shares in taken:
        space.put_back(shares)
    return len(taken) == len(order)


class _Search:
    """A depth-first search over the distinct placements of each shape."""

    def __init__(
        self, space: Space, requests: Sequence[ShapeRequest], order: list[int], budget: int
    ) -> None:
        self.places: list[Shares | None] = [None] * len(requests)
        self._space = space
        self._requests = requests
        self._order = order
        self._budget = budget

    def run(self, depth: int) -> bool:
        if depth == len(self._order):
            return True
        i = self._order[depth]
        for shares in self._space.options(self._requests[i]):
            self._budget -= 1
            if self._budget < 0:
                return False
            self._space.take(shares)
            found = self.run(depth + 1)
            self._space.put_back(shares)
            if found:
                self.places[i] = shares
                return True
        return False
