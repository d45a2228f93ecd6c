"""The lease that a worker grants to all of its runs, on its own monotonic clock."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

SLOWEST_CLOCK = 0.98
"""The lowest rate of a worker's clock: it is exact or up to 2 % slow."""
CLOCK_STARTS_MS = (100_000, 900_000)
"""The range of start values of workers' clocks; they differ from each other and from ours."""


class WorkerClock:
    """A worker's monotonic clock, which starts at a random value and may run slow."""

    def __init__(self, rng: random.Random) -> None:
        self._started_s = _now()
        self._start_ms = rng.randrange(*CLOCK_STARTS_MS)
        self._rate = rng.uniform(SLOWEST_CLOCK, 1.0)

    def ms(self) -> float:
        """The reading of the clock, in milliseconds."""
        return self._start_ms + (_now() - self._started_s) * 1000 * self._rate

    def remaining_s(self, ms: float) -> float:
        """The real time until the clock reads a value."""
        return (ms - self.ms()) / 1000 / self._rate


class Lease:
    """The time until which all runs of a worker may continue.

    :param longest_s: the maximum length of the lease.
    :param on_expiry: called when the lease expires, and on each check afterwards.
    :ivar expired_s: when a check last found the lease expired.
    """

    def __init__(self, clock: WorkerClock, longest_s: float, on_expiry: Callable[[], None]) -> None:
        self._clock = clock
        self._longest_ms = longest_s * 1000
        self._on_expiry = on_expiry
        self._until_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.expired_s = -math.inf

    def extend(self, deadline_ms: int) -> None:
        """Extend the lease to a deadline on the worker's clock; it is never shortened."""
        until_ms = min(float(deadline_ms), self._clock.ms() + self._longest_ms)
        if until_ms <= self._until_ms:
            return
        self._until_ms = until_ms
        if self._timer is None:
            self._start_timer()

    def check(self) -> bool:
        """Check whether the lease has expired, because its timer may be late."""
        if self._clock.ms() < self._until_ms:
            return False
        self.expired_s = _now()
        self._on_expiry()
        return True

    def cancel(self) -> None:
        """Cancel the timer."""
        if self._timer is not None:
            self._timer.cancel()

    def _start_timer(self) -> None:
        """Schedule a check for the currently known expiry."""
        left_s = self._clock.remaining_s(self._until_ms)
        self._timer = asyncio.get_running_loop().call_later(left_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if not self.check():
            self._start_timer()


def _now() -> float:
    return asyncio.get_running_loop().time()
