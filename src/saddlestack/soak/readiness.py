"""Which entry VMs receive new connections: the platform asks each whether it is ready."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from saddlestack.platform import paths
from saddlestack.soak.processes import READINESS_PORT, EntryProcess
from saddlestack.wire.http import AnswerLost, HttpClient, NotSent

ASK_S = 1.0
START_LOOK_S = 0.1
MISSES = 2
"""A VM that has missed so often receives no new connections until it is ready again."""


class Readiness:
    """Asks all VMs, and chooses among those that are ready."""

    def __init__(self, entries: Sequence[EntryProcess]) -> None:
        self._entries = entries
        self._missed = dict.fromkeys((entry.name for entry in entries), 0)

    async def run(self) -> None:
        """Ask until cancelled."""
        async with asyncio.TaskGroup() as group:
            for entry in self._entries:
                group.create_task(self._follow(entry))

    async def until_all_ready(self) -> None:
        """Wait until every VM is ready."""
        await asyncio.gather(*(self._until_ready(entry) for entry in self._entries))

    @property
    def ready(self) -> list[EntryProcess]:
        """The VMs that receive new connections."""
        return [entry for entry in self._entries if self._missed[entry.name] < MISSES]

    def choose(self, rng: random.Random) -> EntryProcess:
        """A VM for a new connection; any VM where fewer than half are ready."""
        ready = self.ready
        return rng.choice(ready if 2 * len(ready) >= len(self._entries) else self._entries)

    async def _until_ready(self, entry: EntryProcess) -> None:
        client = HttpClient(entry.site.address, READINESS_PORT, max_idle=1)
        while not await _is_ready(client):
            await asyncio.sleep(START_LOOK_S)
        client.close()

    async def _follow(self, entry: EntryProcess) -> None:
        client = HttpClient(entry.site.address, READINESS_PORT, max_idle=1)
        loop = asyncio.get_running_loop()
        try:
            while True:
                asked = loop.time()
                missed = 0 if await _is_ready(client) else self._missed[entry.name] + 1
                self._missed[entry.name] = missed
                await asyncio.sleep(max(0.0, asked + ASK_S - loop.time()))
        finally:
            client.close()


async def _is_ready(client: HttpClient) -> bool:
    try:
        response = await client.request("GET", paths.READY, timeout=ASK_S)
    except (NotSent, AnswerLost):
        return False
    return response.status == 200
