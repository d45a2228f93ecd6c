"""Searches for an assignment of shapes to cells; exact within a bounded number of steps."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from saddlestack.models import ADJACENCY_ORDER, Shape

MAX_SEARCH_STEPS = 3_000
"""The maximum number of cell checks. A larger case may be refused although it would fit."""

Packs = Callable[[int, Sequence[Shape]], bool]
"""Whether all shapes pack into the cell with the given index."""


@dataclass(frozen=True, slots=True)
class CellKind:
    """The layout of a cell. Cells of the same kind can hold the same shapes.

    :param accelerators: the number of accelerators of the cell.
    :param layout: accelerators and slots of its workers, by rack.
    """

    accelerators: int
    layout: tuple[tuple[tuple[int, int], ...], ...]


class CellSearch:
    """A depth-first search for a cell for each shape, largest shapes first.

    :param kinds: the kind of each cell.
    :param packs: checks whether a cell can hold the shapes assigned to it.
    :param steps: the maximum number of calls of ``packs``.
    """

    def __init__(
        self, kinds: Sequence[CellKind], packs: Packs, *, steps: int = MAX_SEARCH_STEPS
    ) -> None:
        self._kinds = kinds
        self._packs = packs
        self._steps = steps
        self._held: list[list[Shape]] = [[] for _ in kinds]

    def cells(self, shapes: Sequence[Shape]) -> list[int] | None:
        """The cell index of each shape, or ``None`` if none was found within the step limit."""
        order = sorted(range(len(shapes)), key=lambda i: _largest_first(shapes[i]))
        chosen = [0] * len(shapes)
        return chosen if self._place(shapes, order, 0, chosen) else None

    def _place(
        self, shapes: Sequence[Shape], order: Sequence[int], depth: int, chosen: list[int]
    ) -> bool:
        if depth == len(order):
            return True
        if not self._has_capacity_for([shapes[i] for i in order[depth:]]):
            return False
        shape = shapes[order[depth]]
        for cell in self._distinct_cells():
            if self._steps <= 0:
                return False
            self._steps -= 1
            self._held[cell].append(shape)
            fits = self._packs(cell, self._held[cell])
            if fits and self._place(shapes, order, depth + 1, chosen):
                chosen[order[depth]] = cell
                return True
            self._held[cell].pop()
        return False

    def _has_capacity_for(self, shapes: Sequence[Shape]) -> bool:
        """Whether there are enough accelerators in total, ignoring their placement."""
        held = sum(shape.accelerators for cell in self._held for shape in cell)
        total = sum(kind.accelerators for kind in self._kinds)
        return held + sum(shape.accelerators for shape in shapes) <= total

    def _distinct_cells(self) -> list[int]:
        """One cell of each kind and set of assigned shapes, fullest first."""
        seen: dict[tuple[CellKind, tuple[Shape, ...]], int] = {}
        for cell, kind in enumerate(self._kinds):
            held = tuple(sorted(self._held[cell], key=_largest_first))
            seen.setdefault((kind, held), cell)
        return sorted(seen.values(), key=self._free)

    def _free(self, cell: int) -> int:
        return self._kinds[cell].accelerators - sum(s.accelerators for s in self._held[cell])


def _largest_first(shape: Shape) -> tuple[int, int]:
    return -shape.accelerators, ADJACENCY_ORDER[shape.adjacent]
