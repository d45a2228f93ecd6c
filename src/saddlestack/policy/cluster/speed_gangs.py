"""Whether the members of gangs have equal work, so that their rates show the speed of workers."""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence

EVEN_SPREAD = 0.1
"""Deviation of the logarithms of the members' rates up to which gangs are even. Whole percents give
0.05 at the first report; a spread of tasks by a fifth would mark one worker of ten wrongly."""
MAX_KEPT = 15
"""Gangs that are remembered, so that their median follows a change of the work."""
ASSUMED_EVEN = 1
"""Even gangs assumed before the first is seen, so that two uneven ones are needed. Members
usually have equal shares of the work, and the first seconds count most."""


class GangSpread:
    """The spread within recent gangs of a service."""

    def __init__(self) -> None:
        self._spreads: deque[float] = deque([0.0] * ASSUMED_EVEN, maxlen=MAX_KEPT)
        self.is_even = True

    def add(self, spread: float) -> None:
        """Add the spread of the faster members of a gang that is compared."""
        self._spreads.append(spread)
        self.is_even = sorted(self._spreads)[(len(self._spreads) - 1) // 2] <= EVEN_SPREAD


def spread_of(values: Sequence[float]) -> float:
    """The deviation of logarithms from their mean."""
    mean = sum(values) / len(values)
    return float((sum((value - mean) ** 2 for value in values) / (len(values) - 1)) ** 0.5)
