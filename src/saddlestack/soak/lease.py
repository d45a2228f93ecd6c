"""The lease that a worker grants to all that runs there, on its own steady clock."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable

SLOWEST_CLOCK = 0.98
"""A worker's clock runs true, or up to 2 % slow."""
CLOCK_STARTS_MS = (100_000, 900_000)
"""A worker's clock starts at any value; these are told apart from each other and from ours."""


class WorkerClock:
    """A worker's clock, which starts anywhere and may run slow."""

    def __init__(self, rng: random.Random) -> None:
        self._born_s = _now()
        self._start_ms = rng.randrange(*CLOCK_STARTS_MS)
        self._rate = rng.uniform(SLOWEST_CLOCK, 1.0)

    def ms(self) -> float:
        """What it says."""
        return self._start_ms + (_now() - self._born_s) * 1000 * self._rate

    def remaining_s(self, ms: float) -> float:
        """True time until it says so."""
        return (ms - self.ms()) / 1000 / self._rate


class Lease:
    """Until when all that runs at a worker may run.

    :param longest_s: no lease is longer.
    :param on_expiry: called when the lease is over, and whenever it is asked for afterwards.
    :ivar expired_s: when it was seen to be over last.
    """

    def __init__(self, clock: WorkerClock, longest_s: float, on_expiry: Callable[[], None]) -> None:
        self._clock = clock
        self._longest_ms = longest_s * 1000
        self._on_lapse = on_expiry
        self._until_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self.expired_s = -math.inf

    def extend(self, deadline_ms: int) -> None:
        """Let it last until then; it is never shortened."""
        until_ms = min(float(deadline_ms), self._clock.ms() + self._longest_ms)
        if until_ms <= self._until_ms:
            return
        self._until_ms = until_ms
        if self._timer is None:
            self._watch()

    def check(self) -> bool:
        """Whether it is over; a timer may be late."""
        if self._clock.ms() < self._until_ms:
            return False
        self.expired_s = _now()
        self._on_lapse()
        return True

    def cancel(self) -> None:
        """Watch it no more."""
        if self._timer is not None:
            self._timer.cancel()

    def _watch(self) -> None:
        """Look again when it is over, as far as is known now."""
        left_s = self._clock.remaining_s(self._until_ms)
        self._timer = asyncio.get_running_loop().call_later(left_s, self._due)

    def _due(self) -> None:
        self._timer = None
        if not self.check():
            self._watch()


def _now() -> float:
    return asyncio.get_running_loop().time()
