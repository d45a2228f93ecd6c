"""Finds out whether durations, or time factors, fall into a faster and a slower group."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

MIN_DISTANCE = 0.56
"""Least difference of the logarithms of two groups: a ratio of 1.75. Workers that differ by less
count as alike."""
MIN_SEPARATION = 3.2
"""Distance of two groups in deviations within them. Splitting a single normal group in two gives
2.7, so that a wide spread alone is no second group."""
LEAST_DEVIATION = 0.08
"""Deviation assumed within a group at least, as two or three values say little about it."""


@dataclass(frozen=True, slots=True)
class Groups:
    """Two groups of sorted values.

    :param size: number of values in the faster group, the first ones.
    :param faster: its mean.
    :param slower: the mean of the others.
    """

    size: int
    faster: float
    slower: float


def two_groups(values: Sequence[float]) -> Groups | None:
    """Split sorted logarithms in two groups; ``None`` if they are a single group.

    The split is the one with the least variance within the groups.
    """
    count = len(values)
    if count < 2 or values[-1] - values[0] < MIN_DISTANCE:
        return None
    total = sum(values)
    best, size, passed, best_passed = 0.0, 0, 0.0, 0.0
    for index in range(1, count):
        passed += values[index - 1]
        distance = (total - passed) / (count - index) - passed / index
        between = distance * distance * index * (count - index)
        if between > best:
            best, size, best_passed = between, index, passed
    faster, slower = best_passed / size, (total - best_passed) / (count - size)
    if slower - faster < MIN_DISTANCE:
        return None
    squares = sum((v - faster) ** 2 for v in values[:size])
    squares += sum((v - slower) ** 2 for v in values[size:])
    deviation = max(LEAST_DEVIATION, (squares / count) ** 0.5)
    if slower - faster < MIN_SEPARATION * deviation:
        return None
    return Groups(size, faster, slower)
