"""Time as the services see it: a steady clock for intervals, the wall's for records."""

from __future__ import annotations

import asyncio
import time


class Clock:
    """The clock of a daemon. Intervals follow the running event loop."""

    def now(self) -> float:
        """Seconds on a clock that never goes back."""
        return asyncio.get_running_loop().time()

    def suspended_s(self) -> float:
        """Seconds for which the machine has been suspended, as far as its event loop missed them.

        It rises with each suspension; from where it counts makes no difference.
        """
        return 0.0

    def wall(self) -> float:
        """Seconds since the epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait on the loop's clock."""
        await asyncio.sleep(seconds)


class SystemClock(Clock):
    """The clock of a daemon on a machine that may be suspended.

    The event loop's clock, and with it every timer, stands still meanwhile. Leases, terms and
    deadlines do not: what was granted before is over once this clock says so.
    """

    def now(self) -> float:
        """Seconds on a clock that never goes back, and that counts suspensions."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def suspended_s(self) -> float:
        """See :meth:`Clock.suspended_s`."""
        return self.now() - asyncio.get_running_loop().time()
