"""The speeds of the workers of one service relative to each other."""

from __future__ import annotations

from bisect import bisect_right
from itertools import islice

from saddlestack.policy.cluster.speed_gangs import GangSpread
from saddlestack.policy.cluster.speed_groups import two_groups
from saddlestack.policy.cluster.speed_levels import (
    HIGHEST_ALIKE_LEVEL,
    LOG_LEVEL,
    LOG_SLOW,
    is_clear,
    next_level,
)
from saddlestack.policy.cluster.speed_records import WorkerSpeed

SHIFT_TOLERANCE = 0.05
"""Change of the median up to which factors stay as they are: a quarter of a level."""
HELD_FROM = 0.4
"""Change of the median above which it may be that of another group of workers: a factor of 1.5."""
FASTER_SHARE = 0.2
"""Share of the known workers from which on the faster group is usual, unless the slower one is the
majority. While bulk work fills slow workers first, two of five known workers are fast at least."""
MAJORITY = 0.5
"""Share of all workers above which a group of known workers is usual."""
MIN_COMMON = 3
"""Workers that have to be slow for slow workers to be common..."""
COMMON_SHARE = 0.1
"""...and their share. One task of 100 takes more than three times as long as others, so a share of
a tenth does not come from these."""
CONFIRMING_RUNS = 3
"""Runs that have to agree that a worker is slow where slow workers are not common: one run may be
long by itself."""
RENEWAL_S_PER_WORKER = 3e-4
"""Time from one renewal of all factors to the next, per worker: a renewal takes 2 microseconds per
worker, so this bounds its share of the processor at one percent."""
MIN_RENEWAL_S = 0.1
"""Minimum time from one renewal to the next."""
MAX_MEASURED = 1_000
"""Workers from which the median is taken; more would not make it more exact."""
MAX_CHANGES = 500
"""Workers changed in one renewal; the index of free capacity takes in each of them again, and a
round must not be delayed by thousands. The next round continues."""


class ServiceSpeeds:
    """The known workers of one service, and which factors the decisions use.

    The median of the known workers counts as usual, or that of one group where they are a faster
    and a slower one (see :meth:`_usual`). Where none is slow, all count as alike, so that decisions
    are the same as without speeds.

    :ivar workers: number of workers, known or not.
    :ivar gangs: the spread within gangs.
    """

    def __init__(self) -> None:
        self.known: dict[WorkerSpeed, None] = {}
        self.workers = 0
        self.gangs = GangSpread()
        self.is_unequal = False
        self.is_dirty = False
        self._shift = 0.0
        self._slow_common = False
        self._is_stale = False
        self._due_s = 0.0

    def add(self, speed: WorkerSpeed) -> bool:
        """Add a worker whose estimate is new; returns whether its factor changed at once.

        Where the workers count as alike, the next renewal decides.
        """
        self.known[speed] = None
        speed.known = True
        self.is_dirty = True
        self._set_level(speed)
        return self.is_unequal and _publish(speed, is_unequal=True)

    def remove(self, speed: WorkerSpeed) -> bool:
        """Remove a worker whose speed is not known any more; returns whether its factor changed."""
        self.known.pop(speed, None)
        speed.known = False
        speed.level = None
        speed.offset = 0.0
        self.is_dirty = True
        return _publish(speed, is_unequal=False)

    def renew(self, now: float) -> list[WorkerSpeed]:
        """Renew levels and factors if it is time; returns the workers whose factor has changed."""
        if not self.is_dirty or now < self._due_s:
            return []
        self.is_dirty = False
        self._due_s = now + max(MIN_RENEWAL_S, RENEWAL_S_PER_WORKER * len(self.known))
        if self._measure():
            for speed in self.known:
                self._set_level(speed)
        is_unequal = any(
            speed.level is not None and speed.level > HIGHEST_ALIKE_LEVEL for speed in self.known
        )
        self._is_stale = self._is_stale or is_unequal != self.is_unequal
        self.is_unequal = is_unequal
        return self._publish_all(now) if self._is_stale else []

    def _publish_all(self, now: float) -> list[WorkerSpeed]:
        """Publish the factors of all workers, or of some and the others in the next round."""
        self._is_stale = False
        changed: list[WorkerSpeed] = []
        for speed in self.known:
            if _publish(speed, is_unequal=self.is_unequal):
                changed.append(speed)
                if len(changed) >= MAX_CHANGES:
                    self.is_dirty = self._is_stale = True
                    self._due_s = now
                    break
        return changed

    def _measure(self) -> bool:
        """Find what is usual, and whether slow workers are common; returns whether that changed."""
        stride = max(1, len(self.known) // MAX_MEASURED)
        factors = [
            speed.belief.log_factor
            for speed in islice(self.known, 0, None, stride)
            if speed.belief is not None
        ]
        if not factors:
            return False
        factors.sort()
        middle = self._usual(factors)
        shift = middle if abs(middle - self._shift) > SHIFT_TOLERANCE else self._shift
        slow_from = shift + (HIGHEST_ALIKE_LEVEL + 0.5) * LOG_LEVEL
        slow = len(factors) - bisect_right(factors, slow_from)
        slow_common = slow >= MIN_COMMON and slow >= COMMON_SHARE * len(factors)
        if (shift, slow_common) == (self._shift, self._slow_common):
            return False
        self._shift, self._slow_common, self._is_stale = shift, slow_common, True
        return True

    def _usual(self, factors: list[float]) -> float:
        """What is usual by the sorted factors of known workers.

        Placement selects which workers become known: mostly the slow ones, if bulk work goes to
        those first. So the slower of two groups is usual only if it is the majority of all workers,
        known or not, and a single group far from what was usual replaces it only then. A few faster
        workers replace nothing.
        """
        count = len(factors)
        middle = factors[count // 2]
        share_known = min(1.0, len(self.known) / max(1, self.workers))
        groups = two_groups(factors)
        if groups is None:
            is_held = abs(middle - self._shift) > HELD_FROM and share_known <= MAJORITY
            return self._shift if is_held else middle
        faster, slower = factors[: groups.size], factors[groups.size :]
        if len(slower) / count * share_known > MAJORITY:
            usual = slower
        elif len(faster) < FASTER_SHARE * count:
            is_held = abs(groups.faster - self._shift) < abs(groups.slower - self._shift)
            usual = faster if is_held else slower
        else:
            usual = faster
        return usual[len(usual) // 2]

    def _set_level(self, speed: WorkerSpeed) -> None:
        self._set_offset(speed)
        speed.level = self._level(speed)

    def _set_offset(self, speed: WorkerSpeed) -> None:
        if speed.belief is not None:
            speed.offset = speed.belief.log_factor - self._shift

    def _level(self, speed: WorkerSpeed) -> int | None:
        """The level of a worker; its present one as long as a slow one is not confirmed.

        There is none while the only evidence does not tell whether the worker is slow. Where slow
        workers are common, the highest level that counts as alike holds none above 1.5.
        """
        margin = 0.0 if speed.belief is None else speed.belief.margin
        if self._slow_common and not is_clear(speed.offset, margin):
            return None
        level = next_level(speed.offset, speed.level)
        if self._slow_common and level == HIGHEST_ALIKE_LEVEL and speed.offset > LOG_SLOW:
            level += 1
        if level <= HIGHEST_ALIKE_LEVEL or self._slow_common:
            return level
        if speed.belief is not None and speed.belief.runs >= CONFIRMING_RUNS:
            return level
        return speed.level


def _publish(speed: WorkerSpeed, *, is_unequal: bool) -> bool:
    """Set the fields that decisions use; returns whether they changed."""
    worker = speed.worker
    is_known = is_unequal and speed.level is not None
    factor = speed.factor if is_known else 1.0
    if worker.time_factor == factor and worker.speed_known == is_known:
        return False
    worker.time_factor = factor
    worker.speed_known = is_known
    return True
