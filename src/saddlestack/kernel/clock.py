"""Time for services: a monotonic clock for intervals, and wall-clock time for records."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """The clock of a daemon. Intervals follow the running event loop."""

    def now(self) -> float:
        """Returns seconds on a monotonic clock."""
        return asyncio.get_running_loop().time()

    def suspended_s(self) -> float:
        """Returns how long the machine has been suspended without its event loop counting it.

        The value increases with each suspension; only differences are meaningful.
        """
        return 0.0

    def wall(self) -> float:
        """Returns seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Waits on the event loop's clock."""
        await asyncio.sleep(seconds)


class SystemClock(Clock):
    """The clock of a daemon on a machine that may be suspended.

    The event loop's clock and all its timers stop during a suspension, but leases, terms and
    deadlines don't. This clock includes the suspension, so it shows when what was granted before
    has expired.
    """

    def now(self) -> float:
        """Returns seconds on a monotonic clock that includes suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def suspended_s(self) -> float:
        """See :meth:`Clock.suspended_s`."""
        return self.now() - asyncio.get_running_loop().time()
