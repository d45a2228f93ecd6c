"""The ends of runs that a worker lists until they are acknowledged."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from saddlestack.interfaces.workers import EndedTask, EndKind
from saddlestack.platform.orders import MAX_ENDS_PER_REPORT


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """An end, and when it came."""

    row: EndedTask
    at_s: float


class EndList:
    """Ends in the order of their numbers, which rise through one life of a worker."""

    def __init__(self) -> None:
        self._listed: list[ListedEnd] = []
        self._count = 0
        self._changed = asyncio.Event()

    def add(self, task: str, run: int, how: EndKind, saved: str, at_s: float) -> None:
        """A run has ended."""
        self._count += 1
        self._listed.append(ListedEnd(EndedTask(self._count, task, run, how, saved), at_s))
        self.wake()

    def acknowledge(self, seen: int) -> list[ListedEnd]:
        """Ends up to a number are acknowledged: those that were listed still."""
        known = [listed for listed in self._listed if listed.row.number <= seen]
        self._listed = [listed for listed in self._listed if listed.row.number > seen]
        return known

    def rows(self) -> tuple[EndedTask, ...]:
        """The ends that one answer tells."""
        return tuple(listed.row for listed in self._listed[:MAX_ENDS_PER_REPORT])

    async def wait(self, seconds: float) -> None:
        """Wait for an end, if none is listed, or until woken."""
        if self._listed or not seconds:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def wake(self) -> None:
        """Whoever waits goes on."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
