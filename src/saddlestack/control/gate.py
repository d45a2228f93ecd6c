"""Whether this VM's own way to the store works, so that no call is sent into silence."""

from __future__ import annotations

import asyncio
import logging

from saddlestack.control.context import EntryContext
from saddlestack.control.keys import LEADER
from saddlestack.interfaces.store import StoreUnavailable
from saddlestack.kernel.service import Service

log = logging.getLogger("saddlestack.gate")

NAME = "store gate"
PROBE_TIMEOUT_S = 0.4
PROBE_S = 0.2


class StoreGate(Service):
    """Closes when a call is not answered, and opens when a cheap read is.

    A write that was never sent is truly not done; behind a closed gate nothing is in doubt.
    """

    def __init__(self, context: EntryContext) -> None:
        super().__init__(NAME, context.clock)
        self._context = context
        self._open = asyncio.Event()
        self._open.set()

    @property
    def is_open(self) -> bool:
        """Whether calls may be sent."""
        return self._open.is_set()

    def close(self, reason: str) -> None:
        """A call was not answered in time."""
        if not self._open.is_set():
            return
        self._open.clear()
        log.warning("store gate closes", extra={"event": "gate_closed", "reason": reason})
        self.tasks.spawn(self._probe())

    async def _probe(self) -> None:
        while True:
            try:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    await self._context.store.get(LEADER)
                break
            except (StoreUnavailable, TimeoutError):
                await asyncio.sleep(self._context.rng.uniform(PROBE_S / 2, PROBE_S))
        self._open.set()
        log.info("store gate opens", extra={"event": "gate_opened"})
