"""An event loop whose clock advances to the next timer when no socket is ready.

Loopback sockets work as usual, but timers take no real time: minutes of an outage take
milliseconds, and tests don't depend on the speed of the machine.
"""

from __future__ import annotations

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

from saddlestack.kernel.clock import Clock

T = TypeVar("T")

WALL_EPOCH_S = 1_800_000_000.0
IDLE_WAIT_S = 1.0
_MIN_ADVANCE_S = 1e-6


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Reports ready sockets and advances the loop's clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if ready or timeout == 0:
            return ready
        if timeout is None:
            return super().select(IDLE_WAIT_S)
        self.now_s += timeout + _MIN_ADVANCE_S
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop on a virtual clock."""

    def __init__(self) -> None:
        self._virtual_selector = _VirtualTimeSelector()
        super().__init__(self._virtual_selector)

    def time(self) -> float:
        """Virtual seconds since the loop was created."""
        return self._virtual_selector.now_s


class VirtualClock(Clock):
    """A daemon's clock on a :class:`VirtualLoop`."""

    def wall(self) -> float:
        """Unix time that advances with the loop, from :data:`WALL_EPOCH_S`."""
        return WALL_EPOCH_S + asyncio.get_running_loop().time()


def run(main: Coroutine[Any, Any, T], *, real_time: bool = False) -> T:
    """Run a coroutine in a new event loop, on a virtual clock by default."""
    if real_time:
        return asyncio.run(main)
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
