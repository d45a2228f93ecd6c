"""Which cell takes which shape: a search that is exact where the case is small."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from saddlestack.models import ADJACENCY_ORDER, Shape

SEARCH_STEPS = 3_000
"""Checks of one cell that a search may make; a larger case may be refused though it would fit."""

Packs = Callable[[int, Sequence[Shape]], bool]
"""Whether some shapes all pack into a cell, by its number."""


@dataclass(frozen=True, slots=True)
class CellKind:
    """Cells of one kind hold the same shapes.

    :param accelerators: how many it has.
    :param layout: accelerators and slots of its workers, by rack.
    """

    accelerators: int
    layout: tuple[tuple[tuple[int, int], ...], ...]


class CellSearch:
    """Depth-first search for a cell of each shape, the largest shapes first.

    :param kinds: the kind of each cell.
    :param packs: checks one cell with the shapes that it would get.
    """

    def __init__(
        self, kinds: Sequence[CellKind], packs: Packs, *, steps: int = SEARCH_STEPS
    ) -> None:
        self._kinds = kinds
        self._packs = packs
        self._steps = steps
        self._held: list[list[Shape]] = [[] for _ in kinds]

    def cells(self, shapes: Sequence[Shape]) -> list[int] | None:
        """The cell of each shape, or ``None`` where none was found within the steps."""
        order = sorted(range(len(shapes)), key=lambda i: _largest_first(shapes[i]))
        chosen = [0] * len(shapes)
        return chosen if self._place(shapes, order, 0, chosen) else None

    def _place(
        self, shapes: Sequence[Shape], order: Sequence[int], depth: int, chosen: list[int]
    ) -> bool:
        if depth == len(order):
            return True
        if not self._room_left([shapes[i] for i in order[depth:]]):
            return False
        shape = shapes[order[depth]]
        for cell in self._distinct():
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

    def _room_left(self, shapes: Sequence[Shape]) -> bool:
        """Whether the accelerators suffice, wherever they lie."""
        held = sum(shape.accelerators for cell in self._held for shape in cell)
        total = sum(kind.accelerators for kind in self._kinds)
        return held + sum(shape.accelerators for shape in shapes) <= total

    def _distinct(self) -> list[int]:
        """Cells that differ in kind or in what they hold, the fullest first."""
        seen: dict[tuple[CellKind, tuple[Shape, ...]], int] = {}
        for cell, kind in enumerate(self._kinds):
            held = tuple(sorted(self._held[cell], key=_largest_first))
            seen.setdefault((kind, held), cell)
        return sorted(seen.values(), key=self._free)

    def _free(self, cell: int) -> int:
        return self._kinds[cell].accelerators - sum(s.accelerators for s in self._held[cell])


def _largest_first(shape: Shape) -> tuple[int, int]:
    return -shape.accelerators, ADJACENCY_ORDER[shape.adjacent]
