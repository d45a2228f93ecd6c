"""Consolidation: moving checkpointable borrowers so that free room lies together.

A move takes one gang from one worker to a tighter hole on another. It pays when afterwards
one of the two workers is wholly free or wholly taken and the free room is less scattered,
measured by the sum of squares of the free accelerators of workers. Gangs rest between
moves and are not moved near their end, so that no work is moved back and forth.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from saddlestack.models import Adjacency, Shape
from saddlestack.policy.gang import Gang
from saddlestack.policy.packing import Shares
from saddlestack.policy.resources import CellResources

MOVE_REST_S = 180.0
MIN_LEFT_S = 120.0


@dataclass(frozen=True, slots=True)
class Move:
    """A gang and the worker it goes to."""

    gang: Gang
    shares: Shares
    gain: int


def usable(resources: CellResources, shape: Shape) -> int:
    """Free accelerators that gangs of one shape alone could take."""
    size = shape.accelerators
    if shape.adjacent is Adjacency.WORKER:
        return sum([free // size for free in resources.free]) * size
    if shape.adjacent is Adjacency.RACK:
        return sum([free // size for free in resources.rack_free]) * size
    return sum(resources.free) // size * size


class Consolidation:
    """Searches for the move that pays most."""

    def __init__(self, resources: CellResources, now: float) -> None:
        self._resources = resources
        self._now = now

    def best(self, gangs: Iterable[tuple[Gang, float]]) -> Move | None:
        """The move that pays most, or ``None``.

        :param gangs: running gangs with their expected ends.
        """
        best: Move | None = None
        if sum(1 for free in self._resources.free if free) < 2:
            return None
        for gang, end in gangs:
            if not self._may_move(gang, end):
                continue
            move = self._best_of(gang)
            if move is not None and (best is None or move.gain > best.gain):
                best = move
        return best

    def _may_move(self, gang: Gang, end: float) -> bool:
        if gang.pinned or not gang.spec.checkpoint or len(gang.shares) != 1:
            return False
        rested = self._now - max(gang.moved, gang.started) >= MOVE_REST_S
        return rested and end - self._now >= MIN_LEFT_S

    def _best_of(self, gang: Gang) -> Move | None:
        """Where one gang would do most good: a hole it fills, on a fuller worker."""
        resources = self._resources
        source, count = gang.shares[0]
        left = resources.free[source]
        frees_source = left + count == resources.total[source]
        best: tuple[int, int] | None = None
        for worker, free in enumerate(resources.free):
            if worker == source or free < count:
                continue
            if not frees_source and free != count:
                continue
            gain = 2 * count * (left - free + count)
            if gain > 0 and (best is None or gain > best[0]):
                best = (gain, worker)
        return None if best is None else Move(gang, ((best[1], count),), best[0])
