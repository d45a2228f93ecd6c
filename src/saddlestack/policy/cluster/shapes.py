"""What a round of planning has learned: shapes of work that find no place in it any more."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from saddlestack.work import Resources


@dataclass(frozen=True, slots=True)
class Shape:
    """What steps have to share so that where one finds no place, the other finds none.

    :param count: tasks that have to fit at once.
    :param proven: whether it goes to no worker on probation.
    :param lasting: whether it may take workers that are kept for gangs.
    :param near: the rack outside of which the step does not go yet; empty for none.
    """

    service: str
    room: Resources
    count: int
    same_rack: bool
    label: str
    near: str
    per_worker: int
    proven: bool
    lasting: bool


MAX_SHAPES = 10_000
"""Shapes whose numbers are remembered: 2.4 MB of them (traced allocations)."""


class ShapeNumbers:
    """A number for each shape, so that thousands of waiting steps are told apart cheaply."""

    def __init__(self) -> None:
        self._numbers: dict[Shape, int] = {}
        self._next = 0

    def number(self, shape: Shape) -> int:
        """The number of a shape: alike for equal shapes, unless one was forgotten in between."""
        number = self._numbers.get(shape)
        if number is None:
            if len(self._numbers) >= MAX_SHAPES:
                self._numbers.clear()
            number = self._numbers[shape] = self._next
            self._next += 1
        return number


@dataclass(frozen=True, slots=True)
class StepShapes:
    """The numbers of a step's shapes.

    :param near: while it waits for a place near its data.
    :param anywhere: after that.
    """

    service: str
    near: int
    anywhere: int


@dataclass(slots=True)
class FailedShapes:
    """Shapes, by number, that were tried in this round. Room only shrinks within one.

    :param full: there is no room for them.
    :param shut: there is room, but the headroom is closed to them; it opens with the time that work
        has waited, so with the longest, in seconds, that any of them had.
    :param kept: workers are kept for a gang of them; room comes free for one at a time.
    """

    full: set[int] = field(default_factory=set)
    shut: dict[int, float] = field(default_factory=dict)
    kept: set[int] = field(default_factory=set)

    def clear(self) -> None:
        """Begin a round, or room has been given back."""
        self.full.clear()
        self.shut.clear()
        self.kept.clear()

    def note_full(self, shape: int | None) -> None:
        """Nothing of this shape fits any more."""
        if shape is not None:
            self.full.add(shape)

    def is_kept(self, shape: int | None) -> bool:
        """Whether workers are kept for a gang of this shape."""
        return shape in self.kept

    def note_kept(self, shape: int | None) -> None:
        """Workers are kept for a gang of this shape."""
        if shape is not None:
            self.kept.add(shape)

    def is_shut(self, shape: int | None, waited_s: float) -> bool:
        """Whether the headroom is known to be closed to work of a shape that has waited so long."""
        return shape is not None and waited_s <= self.shut.get(shape, -math.inf)

    def note_shut(self, shape: int | None, waited_s: float) -> None:
        """The headroom is closed to work of this shape that has waited so long."""
        if shape is not None:
            self.shut[shape] = max(waited_s, self.shut.get(shape, waited_s))
