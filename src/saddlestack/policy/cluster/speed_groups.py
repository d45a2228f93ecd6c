"""Finds out whether durations, or time factors, fall into a faster and a slower group."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import accumulate
from operator import mul

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
    sums = list(accumulate(values))
    total = sums.pop()
    best, size = 0.0, 0
    for index, passed in enumerate(sums, 1):
        # Proportional to the variance between the groups, and cheaper than their distance.
        difference = passed * count - total * index
        between = difference * difference / (index * (count - index))
        if between > best:
            best, size = between, index
    faster, slower = sums[size - 1] / size, (total - sums[size - 1]) / (count - size)
    distance = slower - faster
    if distance < MIN_DISTANCE:
        return None
    squares = sum(map(mul, values, values))
    squares -= size * faster * faster + (count - size) * slower * slower
    deviation = max(LEAST_DEVIATION, math.sqrt(max(0.0, squares) / count))
    if distance < MIN_SEPARATION * deviation:
        return None
    return Groups(size, faster, slower)
