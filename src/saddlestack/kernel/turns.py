"""Splits long work into several turns of the event loop."""

from __future__ import annotations

import asyncio


class Turns:
    """Ends a turn of the event loop whenever enough work has been done in it.

    Timers and answers that are due, such as the renewal of a lease, are handled between two turns.

    :param most: amount of work in one turn, in units of the caller's choice.
    """

    def __init__(self, most: int) -> None:
        self._most = most
        self._done = 0

    async def spend(self, amount: int = 1) -> None:
        """Note that work has been done; returns in a later turn if this one's share is used up."""
        self._done += amount
        if self._done >= self._most:
            self._done = 0
            await asyncio.sleep(0)
