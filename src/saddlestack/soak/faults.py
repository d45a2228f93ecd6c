"""Injects the faults of a soak: drawn by weight from a seed, run concurrently and recorded."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping

import msgspec

from saddlestack.soak.shape import FaultKind, FaultMix


class Fault(msgspec.Struct):
    """A fault that was injected. Times are those of the event loop.

    :param seconds: its duration, if the kind of fault lasts.
    :param on: the VMs, workers or data hall that it struck.
    :param detail: a description of what it did there.
    """

    kind: FaultKind
    seconds: float
    began_s: float = 0.0
    ended_s: float | None = None
    on: str = ""
    detail: str = ""


FaultAction = Callable[[Fault, random.Random], Awaitable[None]]
"""Injects a fault from beginning to end; all randomness comes from the given generator."""


class FaultInjector:
    """Draws faults and injects them.

    :param actions: injects the faults of each kind.
    :ivar injected: all faults so far, in the order of their beginnings.
    """

    def __init__(
        self, mix: FaultMix, actions: Mapping[FaultKind, FaultAction], rng: random.Random
    ) -> None:
        self._actions = actions
        self._rng = rng
        self._pause_s = mix.pause_s
        self._lasting_s = mix.lasting_s
        self._first_s = mix.first_s
        self._kinds = [kind for kind, weight in mix.weights.items() if weight]
        self._weights = [mix.weights[kind] for kind in self._kinds]
        self._running: set[asyncio.Task[None]] = set()
        self.injected: list[Fault] = []

    async def run(self, seconds: float) -> None:
        """Start faults for some time, then wait for the last ones to end."""
        if not self._kinds:
            await asyncio.sleep(seconds)
            return
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        await asyncio.sleep(min(self._first_s, seconds))
        while loop.time() < until:
            self._start_fault()
            await asyncio.sleep(self._rng.uniform(*self._pause_s))
        await asyncio.gather(*self._running)

    async def stop(self) -> None:
        """Cancel all running faults."""
        for task in self._running:
            task.cancel()
        await asyncio.gather(*self._running, return_exceptions=True)

    def _start_fault(self) -> None:
        kind = self._rng.choices(self._kinds, self._weights)[0]
        fault = Fault(kind, self._rng.uniform(*self._lasting_s))
        rng = random.Random(self._rng.getrandbits(64))
        task = asyncio.get_running_loop().create_task(self._run_action(fault, rng))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    async def _run_action(self, fault: Fault, rng: random.Random) -> None:
        """Inject a fault; a process that another fault ends meanwhile is not an error."""
        loop = asyncio.get_running_loop()
        fault.began_s = loop.time()
        self.injected.append(fault)
        try:
            await self._actions[fault.kind](fault, rng)
        except ProcessLookupError:
            fault.detail += " (its process had ended)"
        finally:
            fault.ended_s = loop.time()
