"""The faults of a soak: drawn by weight from a seed, played beside each other, noted in time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping

import msgspec

from saddlestack.soak.shape import FaultKind, FaultMix


class Fault(msgspec.Struct):
    """One fault that was played. Times are those of the event loop.

    :param seconds: for how long it lasts, where it lasts.
    :param on: what it befell.
    :param detail: what it did there.
    """

    kind: FaultKind
    seconds: float
    began_s: float = 0.0
    ended_s: float | None = None
    on: str = ""
    detail: str = ""


FaultAction = Callable[[Fault, random.Random], Awaitable[None]]
"""Plays a fault from its beginning to its end; all chance comes from its generator."""


class FaultInjector:
    """Draws faults and plays them.

    :ivar played: every fault so far, in the order of their beginnings.
    """

    def __init__(
        self, mix: FaultMix, plays: Mapping[FaultKind, FaultAction], rng: random.Random
    ) -> None:
        self._plays = plays
        self._rng = rng
        self._pause_s = mix.pause_s
        self._lasting_s = mix.lasting_s
        self._first_s = mix.first_s
        self._kinds = [kind for kind, weight in mix.weights.items() if weight]
        self._weights = [mix.weights[kind] for kind in self._kinds]
        self._under_way: set[asyncio.Task[None]] = set()
        self.played: list[Fault] = []

    async def run(self, seconds: float) -> None:
        """Begin faults for some time, and wait for the last ones to end."""
        if not self._kinds:
            await asyncio.sleep(seconds)
            return
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        await asyncio.sleep(min(self._first_s, seconds))
        while loop.time() < until:
            self._begin()
            await asyncio.sleep(self._rng.uniform(*self._pause_s))
        await asyncio.gather(*self._under_way)

    async def stop(self) -> None:
        """Give up what is under way."""
        for task in self._under_way:
            task.cancel()
        await asyncio.gather(*self._under_way, return_exceptions=True)

    def _begin(self) -> None:
        kind = self._rng.choices(self._kinds, self._weights)[0]
        fault = Fault(kind, self._rng.uniform(*self._lasting_s))
        rng = random.Random(self._rng.getrandbits(64))
        task = asyncio.get_running_loop().create_task(self._play(fault, rng))
        self._under_way.add(task)
        task.add_done_callback(self._under_way.discard)

    async def _play(self, fault: Fault, rng: random.Random) -> None:
        """Play a fault; a process that another fault ends meanwhile is no failure."""
        loop = asyncio.get_running_loop()
        fault.began_s = loop.time()
        self.played.append(fault)
        try:
            await self._plays[fault.kind](fault, rng)
        except ProcessLookupError:
            fault.detail += " (its process had ended)"
        finally:
            fault.ended_s = loop.time()
