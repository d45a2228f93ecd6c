"""Event loops that share one virtual clock, and each of which may be paused for a while."""

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
"""Number of loop iterations after which cancelled tasks have ended."""


@dataclass(slots=True)
class Slowness:
    """How a VM is slowed down for a while, as by a busy processor.

    :param until: virtual time at which it ends.
    :param turn_stall: chance of a pause before an iteration of its event loop.
    :param line_stall: chance of a pause where it reads the clock.
    :param longest_s: the longest such pause.
    :param step_s: the longest time that is added to each iteration.
    """

    until: float = 0.0
    turn_stall: float = 0.0
    line_stall: float = 0.0
    longest_s: float = 0.0
    step_s: float = 0.0


class _NoSelector(selectors.SelectSelector):
    """A selector without sockets: it never waits and nothing is ever ready."""

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        return []


class SharedLoop(asyncio.SelectorEventLoop):
    """An event loop on the clock of a :class:`Timeline`.

    A pause in the middle of an iteration shows as a jump of the clock: the rest of the iteration
    happens at the later time, and the next iteration is not run before it.

    :ivar stands_until: virtual time until which the loop is paused.
    :ivar suspended_s: total length of all suspensions.
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
        self._delay_s = 0.0
        self._in_turn = False
        self.stands_until = 0.0
        self.suspended_s = 0.0

    def suspend(self, seconds: float) -> None:
        """Pause the loop; its clock and its timers do not count the time."""
        self.stand_still(seconds)
        self.suspended_s += seconds

    def time(self) -> float:
        """The virtual time as this loop's process measures it: without its suspensions."""
        slow = self.slowness
        slowed = self._in_turn and slow.line_stall and self._timeline.now < slow.until
        if slowed and self._rng.random() < slow.line_stall:
            self._delay_s += self._rng.uniform(0.0, slow.longest_s)
        return self._timeline.now + self._delay_s - self.suspended_s

    def world_s(self) -> float:
        """The shared virtual time, with the delays of this loop's current iteration."""
        return self.time() + self.suspended_s

    def stand_still(self, seconds: float) -> None:
        """Pause the loop; its clock goes on."""
        self.stands_until = max(self.stands_until, self._timeline.now + seconds)

    def next_s(self) -> float:
        """When the next iteration is due; infinite where nothing is scheduled."""
        ready: Any = self._ready  # type: ignore[attr-defined]
        timers: Any = self._scheduled  # type: ignore[attr-defined]
        if ready:
            return max(self._timeline.now, self.stands_until)
        if timers:
            return max(timers[0].when() + self.suspended_s, self.stands_until)
        return math.inf

    def end(self) -> None:
        """Cancel all tasks, so that none is left to be collected, and close the loop."""
        self.slowness = Slowness()
        for _ in range(LAST_TURNS):
            for task in asyncio.all_tasks(self):
                task.cancel()
            self.turn()
        self.close()

    def turn(self) -> None:
        """Run one iteration of the loop."""
        slow = self.slowness
        if self._timeline.now < slow.until and self._rng.random() < slow.turn_stall:
            self.stand_still(self._rng.uniform(0.0, slow.longest_s))
            return
        self._in_turn = True
        try:
            self.stop()
            self.run_forever()
        finally:
            self._in_turn = False
        if self._timeline.now < slow.until and slow.step_s:
            self._delay_s += self._rng.uniform(0.0, slow.step_s)
        if self._delay_s:
            self.stand_still(self._delay_s)
            self._delay_s = 0.0


class Timeline:
    """One virtual clock and the loops that run on it."""

    def __init__(self) -> None:
        self.now = 0.0
        self.loops: list[SharedLoop] = []
        self._dropped: list[SharedLoop] = []

    def loop(self, name: str, rng: random.Random) -> SharedLoop:
        """Create a loop."""
        loop = SharedLoop(self, name, rng)
        self.loops.append(loop)
        return loop

    def drop(self, loop: SharedLoop) -> None:
        """Stop running a loop, as when its process dies."""
        loop.dead = True
        self.loops.remove(loop)
        self._dropped.append(loop)

    def run(self, until: float, ended: Callable[[], bool] = lambda: False) -> None:
        """Advance the clock to a time, or until a condition holds."""
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
        """Close all loops."""
        for loop in [*self.loops, *self._dropped]:
            loop.dead = True
            loop.end()


class SharedClock(Clock):
    """A VM's clock on a :class:`Timeline`."""

    def now(self) -> float:
        """Seconds, suspensions included."""
        return asyncio.get_running_loop().time() + self.suspended_s()

    def suspended_s(self) -> float:
        """Seconds for which this VM has been suspended."""
        loop = asyncio.get_running_loop()
        return loop.suspended_s if isinstance(loop, SharedLoop) else 0.0

    def wall(self) -> float:
        """Wall-clock time, which is correct also after a suspension."""
        return WALL_EPOCH_S + self.now()
