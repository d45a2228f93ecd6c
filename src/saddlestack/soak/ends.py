"""The ends of runs that a worker reports until they are acknowledged."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from saddlestack.interfaces.workers import EndedTask, EndKind
from saddlestack.platform.orders import MAX_ENDS_PER_REPORT


@dataclass(frozen=True, slots=True)
class ListedEnd:
    """The end of a run.

    :param row: the row that reports list.
    :param at_s: when the run ended.
    """

    row: EndedTask
    at_s: float


class EndList:
    """Ends in the order of their numbers, which increase through one incarnation of a worker."""

    def __init__(self) -> None:
        self._listed: list[ListedEnd] = []
        self._count = 0
        self._changed = asyncio.Event()

    def add(self, task: str, run: int, how: EndKind, saved: str, at_s: float) -> None:
        """Add the end of a run and wake all waiters."""
        self._count += 1
        self._listed.append(ListedEnd(EndedTask(self._count, task, run, how, saved), at_s))
        self.wake()

    def acknowledge(self, seen: int) -> list[ListedEnd]:
        """Remove all ends up to a number and return those that were still listed."""
        acknowledged = [listed for listed in self._listed if listed.row.number <= seen]
        self._listed = [listed for listed in self._listed if listed.row.number > seen]
        return acknowledged

    def rows(self) -> tuple[EndedTask, ...]:
        """The ends that one report contains."""
        return tuple(listed.row for listed in self._listed[:MAX_ENDS_PER_REPORT])

    async def wait(self, seconds: float) -> None:
        """Wait until an end is listed, :meth:`wake` is called, or the time has passed."""
        if self._listed or not seconds:
            return
        try:
            async with asyncio.timeout(seconds):
                await self._changed.wait()
        except TimeoutError:
            return

    def wake(self) -> None:
        """Wake all waiters."""
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
