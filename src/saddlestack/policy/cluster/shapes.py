"""Shapes of steps, and those that a planning round has found not to fit any more."""

from __future__ import annotations

import math
from collections.abc import Hashable
from dataclasses import dataclass, field

from saddlestack.work import Resources


@dataclass(frozen=True, slots=True)
class Shape:
    """Requirements by which steps are equal: if one does not fit, neither does another.

    :param room: resources of a task.
    :param count: number of tasks that have to fit at once.
    :param label: label that workers must have, or empty.
    :param near: the only rack that the step accepts for now, or empty.
    :param per_worker: limit of tasks on one worker; 0 for none.
    :param proven: whether it must not run on workers on probation.
    :param lasting: whether it may take workers that are kept for gangs.
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
"""Number of shapes that are kept. They take 2.4 MB (traced allocations)."""


class ShapeNumbers:
    """Numbers for shapes, so that thousands of waiting steps are compared cheaply."""

    def __init__(self) -> None:
        self._numbers: dict[Shape, int] = {}
        self._limited: dict[tuple[int, Hashable], int] = {}
        self._next = 0

    def number(self, shape: Shape) -> int:
        """Number of a shape. Equal shapes have the same number unless it was evicted in between."""
        number = self._numbers.get(shape)
        if number is None:
            if len(self._numbers) >= MAX_SHAPES:
                self._numbers.clear()
            number = self._numbers[shape] = self._next
            self._next += 1
        return number

    def limited(self, shape: int, limit: Hashable) -> int:
        """Number of a shape with a speed limit. It differs from that of any other limit."""
        key = (shape, limit)
        number = self._limited.get(key)
        if number is None:
            if len(self._limited) >= MAX_SHAPES:
                self._limited.clear()
            number = self._limited[key] = self._next
            self._next += 1
        return number


@dataclass(frozen=True, slots=True)
class StepShapes:
    """Numbers of a step's shapes.

    :param near: the number while it waits for workers near its data.
    :param anywhere: the number after that.
    """

    service: str
    near: int
    anywhere: int


@dataclass(slots=True)
class FailedShapes:
    """Numbers of shapes that were tried in this round without success.

    They hold for the round, since free capacity only shrinks within one.

    :param full: shapes that do not fit.
    :param shut: shapes that fit but would use the headroom, with the longest time in seconds that a
        step of the shape has waited. The headroom opens to work that has waited for long enough.
    :param kept: shapes for a gang of which workers are kept. Capacity becomes free for one gang at
        a time.
    """

    full: set[int] = field(default_factory=set)
    shut: dict[int, float] = field(default_factory=dict)
    kept: set[int] = field(default_factory=set)

    def clear(self) -> None:
        """Forget all shapes, when a round begins or reserved capacity was released."""
        self.full.clear()
        self.shut.clear()
        self.kept.clear()

    def note_full(self, shape: int | None) -> None:
        """Record that a shape does not fit."""
        if shape is not None:
            self.full.add(shape)

    def is_kept(self, shape: int | None) -> bool:
        """Whether workers are kept for a gang of this shape."""
        return shape in self.kept

    def note_kept(self, shape: int | None) -> None:
        """Record that workers are kept for a gang of this shape."""
        if shape is not None:
            self.kept.add(shape)

    def is_headroom_closed(self, shape: int | None, waited_s: float) -> bool:
        """Whether the headroom is known to be closed to a step that has waited this long."""
        return shape is not None and waited_s <= self.shut.get(shape, -math.inf)

    def note_headroom_closed(self, shape: int | None, waited_s: float) -> None:
        """Record that the headroom is closed to a step that has waited this long."""
        if shape is not None:
            self.shut[shape] = max(waited_s, self.shut.get(shape, waited_s))
