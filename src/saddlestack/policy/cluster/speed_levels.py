"""Levels to which the time factors of workers are rounded.

A level is a power of :data:`LEVEL_RATIO`. Estimates move with every report; a level rarely does, so
that the index of free capacity and the store see few changes.
"""

from __future__ import annotations

import math

LEVEL_RATIO = 1.25
"""Ratio of one level to the next; differences below it are lost in the spread of task lengths."""
LOG_LEVEL = math.log(LEVEL_RATIO)
"""Width of a level in logarithms."""
HYSTERESIS_LEVELS = 1.0
"""Distance from the middle of a level, in levels, at which an estimate leaves it. Rounding alone
would leave it at 0.5, and an estimate near a boundary would change its level with each report."""
MAX_LEVEL = 10
"""Highest and, negated, lowest level: a factor of 9.3. Work longer than that is an outlier."""
HIGHEST_ALIKE_LEVEL = 2
"""Workers up to this level count as alike: a factor of 1.56 also comes from the spread of tasks."""

LOG_SLOW = math.log(1.5)
"""Logarithm of the factor above which urgent work must not be placed."""
SLOW_MARGIN_SHARE = 0.5
"""Share of its margin by which an estimate has to be above :data:`LOG_SLOW`. A usual worker counted
as slow costs capacity, while a slow one counted as usual makes urgent work late."""


def nearest_level(log_factor: float) -> int:
    """The level nearest to the logarithm of a factor."""
    return max(-MAX_LEVEL, min(MAX_LEVEL, round(log_factor / LOG_LEVEL)))


def next_level(log_factor: float, level: int | None) -> int:
    """The level for an estimate, given the present level, if any."""
    if level is not None and abs(log_factor / LOG_LEVEL - level) <= HYSTERESIS_LEVELS:
        return level
    return nearest_level(log_factor)


def level_factor(level: int) -> float:
    """The time factor of a level."""
    return float(LEVEL_RATIO**level)


def is_clear(log_factor: float, margin: float) -> bool:
    """Whether an estimate tells on which side of :data:`LOG_SLOW` a worker is.

    :param margin: how far the estimate may be off by chance.
    """
    return not -margin < log_factor - LOG_SLOW < margin * SLOW_MARGIN_SHARE
