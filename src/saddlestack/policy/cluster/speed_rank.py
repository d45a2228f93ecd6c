"""Orders in which steps use workers of unequal speed, and comparisons of their time factors.

Time factors are relative to a usual worker of the service: work takes twice as long on a worker
with factor 2. Only factors that are known from evidence count.
"""

from __future__ import annotations

import math
from collections.abc import Callable

from saddlestack.policy.cluster.speed_levels import LEVEL_RATIO
from saddlestack.policy.cluster.workers import Worker

MIN_LIMIT = 1.25
"""Smallest limit of a step. A worker at this factor counts as usual: tasks of a step differ by as
much on equal workers."""
FACTOR_TOLERANCE = 1.01
"""Factors that differ by less than this ratio are the same level. Levels are powers of 1.25, and
rounding must not move a worker to the other side of a limit."""

SpeedRank = Callable[[float | None], int]
"""Order in which workers are used, by known factor (``None`` if unknown); the lowest rank first."""


def known_factor(worker: Worker) -> float | None:
    """Time factor of a worker, or ``None`` if there is no evidence of it."""
    return worker.time_factor if worker.speed_known else None


def exceeds(factor: float | None, limit: float) -> bool:
    """Whether a known factor is above a limit. Unknown workers count as usual ones."""
    return factor is not None and factor > limit * FACTOR_TOLERANCE


def slow_first(factor: float | None) -> int:
    """Rank for work that tolerates slow workers: slow ones, then unknown ones, then fast ones."""
    if factor is None:
        return 1
    return 0 if exceeds(factor, MIN_LIMIT) else 2


def fast_first(factor: float | None) -> int:
    """Rank for urgent work: known fast workers, then unknown ones, then slow ones."""
    return 2 - slow_first(factor)


def level_below(factor: float) -> float:
    """The highest level that is at most a factor."""
    power = math.floor(math.log(factor * FACTOR_TOLERANCE) / math.log(LEVEL_RATIO))
    return LEVEL_RATIO**power
