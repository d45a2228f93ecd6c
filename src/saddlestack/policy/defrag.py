"""Defragmentation: moves checkpointing borrowers so that free capacity is contiguous.

A move takes one gang from one worker to another that has less free capacity. It is worth
making if one of the two workers is then wholly free or wholly used and the free capacity is
less scattered, measured by the sum of squares of the free accelerators of the workers. A
minimum interval between moves of a gang, and no moves near its end, prevent gangs from being
moved back and forth.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from saddlestack.models import Adjacency, Shape
from saddlestack.policy.gang import Gang
from saddlestack.policy.packing import Shares
from saddlestack.policy.resources import CellResources

MIN_MOVE_INTERVAL_S = 180.0
MIN_REMAINING_S = 120.0


@dataclass(frozen=True, slots=True)
class Move:
    """A gang to move and its new shares."""

    gang: Gang
    shares: Shares
    gain: int


def usable(resources: CellResources, shape: Shape) -> int:
    """Free accelerators that could be used if only gangs of one shape were started."""
    size = shape.accelerators
    if shape.adjacent is Adjacency.WORKER:
        return sum([free // size for free in resources.free]) * size
    if shape.adjacent is Adjacency.RACK:
        return sum([free // size for free in resources.rack_free]) * size
    return sum(resources.free) // size * size


class Consolidation:
    """Searches for the move that reduces fragmentation most."""

    def __init__(self, resources: CellResources, now: float) -> None:
        self._resources = resources
        self._now = now

    def best(self, gangs: Iterable[tuple[Gang, float]]) -> Move | None:
        """The move that reduces fragmentation most, or ``None`` if no move does.

        :param gangs: running gangs with their expected end times.
        """
        best: Move | None = None
        if sum(1 for free in self._resources.free if free) < 2:
            return None
        for gang, end in gangs:
            if not self._may_move(gang, end):
                continue
            move = self._find_best_move(gang)
            if move is not None and (best is None or move.gain > best.gain):
                best = move
        return best

    def _may_move(self, gang: Gang, end: float) -> bool:
        if gang.pinned or not gang.spec.checkpoint or len(gang.shares) != 1:
            return False
        is_rested = self._now - max(gang.moved, gang.started) >= MIN_MOVE_INTERVAL_S
        return is_rested and end - self._now >= MIN_REMAINING_S

    def _find_best_move(self, gang: Gang) -> Move | None:
        """The best move of one gang: to a fuller worker, filling it or emptying its own."""
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
