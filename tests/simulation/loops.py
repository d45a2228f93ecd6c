"""Event loops that share one virtual clock, and of which each may stand still for a while."""

from __future__ import annotations

import asyncio
import math
import random
import selectors
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from saddlestack.kernel.clock import Clock
from saddlestack.standins.loop import WALL_EPOCH_S

LAST_TURNS = 12
"""Turns in which cancelled tasks have ended."""


@dataclass(slots=True)
class Slowness:
    """How a VM's processor treats it for a while.

    :param turn_stall: chance that it stands still before a turn of its event loop.
    :param line_stall: chance that it stands still where it reads the clock.
    :param longest_s: the longest stall.
    :param step_s: the longest time that each turn takes besides.
    """

    until: float = 0.0
    turn_stall: float = 0.0
    line_stall: float = 0.0
    longest_s: float = 0.0
    step_s: float = 0.0


class _NoSelector(selectors.SelectSelector):
    """There are no sockets: nothing is ever ready, and nothing is waited for."""

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        return []


class SharedLoop(asyncio.SelectorEventLoop):
    """An event loop on the clock of a :class:`Timeline`.

    What stands still between two lines of one turn is told by the clock: what the turn does later
    is done later, and the next turn waits for that moment.
    """

    def __init__(self, timeline: Timeline, name: str, rng: random.Random) -> None:
        super().__init__(_NoSelector())
        self.errors: list[str] = []
        self.set_exception_handler(lambda loop, context: self.errors.append(str(context)))
        self.name = name
        self.dead = False
        self.slowness = Slowness()
        self._timeline = timeline
        self._rng = rng
        self._late_s = 0.0
        self._turning = False
        self.stands_until = 0.0
        self.suspended_s = 0.0

    def suspend(self, seconds: float) -> None:
        """Do nothing for a while that this loop's clock and its timers do not count."""
        self.stand_still(seconds)
        self.suspended_s += seconds

    def time(self) -> float:
        """The virtual time as this loop's process sees it: without its suspensions."""
        slow = self.slowness
        slowed = self._turning and slow.line_stall and self._timeline.now < slow.until
        if slowed and self._rng.random() < slow.line_stall:
            self._late_s += self._rng.uniform(0.0, slow.longest_s)
        return self._timeline.now + self._late_s - self.suspended_s

    def world_s(self) -> float:
        """The virtual time of all, as this loop's process lives it."""
        return self.time() + self.suspended_s

    def stand_still(self, seconds: float) -> None:
        """Do nothing for a while."""
        self.stands_until = max(self.stands_until, self._timeline.now + seconds)

    def next_s(self) -> float:
        """When the next turn is due; infinite where nothing is to be done."""
        ready: Any = self._ready  # type: ignore[attr-defined]
        timers: Any = self._scheduled  # type: ignore[attr-defined]
        if ready:
            return max(self._timeline.now, self.stands_until)
        if timers:
            return max(timers[0].when() + self.suspended_s, self.stands_until)
        return math.inf

    def end(self) -> None:
        """End all tasks, so that none is left to be collected."""
        self.slowness = Slowness()
        for _ in range(LAST_TURNS):
            for task in asyncio.all_tasks(self):
                task.cancel()
            self.turn()
        self.close()

    def turn(self) -> None:
        """Run what is ready, once."""
        slow = self.slowness
        if self._timeline.now < slow.until and self._rng.random() < slow.turn_stall:
            self.stand_still(self._rng.uniform(0.0, slow.longest_s))
            return
        self._turning = True
        try:
            self.stop()
            self.run_forever()
        finally:
            self._turning = False
        if self._timeline.now < slow.until and slow.step_s:
            self._late_s += self._rng.uniform(0.0, slow.step_s)
        if self._late_s:
            self.stand_still(self._late_s)
            self._late_s = 0.0


class Timeline:
    """One virtual clock, and the loops that live on it."""

    def __init__(self) -> None:
        self.now = 0.0
        self.loops: list[SharedLoop] = []
        self._dropped: list[SharedLoop] = []

    def loop(self, name: str, rng: random.Random) -> SharedLoop:
        """A new loop."""
        loop = SharedLoop(self, name, rng)
        self.loops.append(loop)
        return loop

    def drop(self, loop: SharedLoop) -> None:
        """A process dies: nothing of it runs any more."""
        loop.dead = True
        self.loops.remove(loop)
        self._dropped.append(loop)

    def run(self, until: float, ended: Callable[[], bool] = lambda: False) -> None:
        """Let time pass."""
        while not ended():
            due = [(loop.next_s(), loop) for loop in self.loops]
            first = min(at for at, _ in due)
            if first > until:
                self.now = until
                return
            self.now = max(self.now, first)
            for at, loop in due:
                if at <= self.now and not loop.dead:
                    loop.turn()

    def close(self) -> None:
        """Free what the loops hold."""
        for loop in [*self.loops, *self._dropped]:
            loop.dead = True
            loop.end()


class SharedClock(Clock):
    """A VM's clock on a :class:`Timeline`."""

    def now(self) -> float:
        """Seconds that count suspensions."""
        return asyncio.get_running_loop().time() + self.suspended_s()

    def suspended_s(self) -> float:
        """Seconds for which this VM has been suspended."""
        loop = asyncio.get_running_loop()
        return loop.suspended_s if isinstance(loop, SharedLoop) else 0.0

    def wall(self) -> float:
        """A wall time, which is right also after a suspension."""
        return WALL_EPOCH_S + self.now()
