"""Readiness probes of entry VMs, as the platform sends them to choose where connections go."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from saddlestack.platform import paths
from saddlestack.soak.processes import READINESS_PORT, EntryProcess
from saddlestack.wire.http import AnswerLost, HttpClient, NotSent

PROBE_S = 1.0
START_PROBE_S = 0.1
MAX_MISSES = 2
"""A VM with this many missed probes receives no new connections until it is ready again."""


class Readiness:
    """Probes all VMs and chooses among the ready ones."""

    def __init__(self, entries: Sequence[EntryProcess]) -> None:
        self._entries = entries
        self._misses = dict.fromkeys((entry.name for entry in entries), 0)

    async def run(self) -> None:
        """Probe until cancelled."""
        async with asyncio.TaskGroup() as group:
            for entry in self._entries:
                group.create_task(self._probe(entry))

    async def until_all_ready(self) -> None:
        """Wait until every VM is ready."""
        await asyncio.gather(*(self._until_ready(entry) for entry in self._entries))

    @property
    def ready(self) -> list[EntryProcess]:
        """The VMs that receive new connections."""
        return [entry for entry in self._entries if self._misses[entry.name] < MAX_MISSES]

    def choose(self, rng: random.Random) -> EntryProcess:
        """Choose a VM for a new connection: a ready one, or any if fewer than half are ready."""
        ready = self.ready
        return rng.choice(ready if 2 * len(ready) >= len(self._entries) else self._entries)

    async def _until_ready(self, entry: EntryProcess) -> None:
        client = HttpClient(entry.site.address, READINESS_PORT, max_idle=1)
        while not await _is_ready(client):
            await asyncio.sleep(START_PROBE_S)
        client.close()

    async def _probe(self, entry: EntryProcess) -> None:
        client = HttpClient(entry.site.address, READINESS_PORT, max_idle=1)
        loop = asyncio.get_running_loop()
        try:
            while True:
                probed_s = loop.time()
                misses = 0 if await _is_ready(client) else self._misses[entry.name] + 1
                self._misses[entry.name] = misses
                await asyncio.sleep(max(0.0, probed_s + PROBE_S - loop.time()))
        finally:
            client.close()


async def _is_ready(client: HttpClient) -> bool:
    try:
        response = await client.request("GET", paths.READY, timeout=PROBE_S)
    except (NotSent, AnswerLost):
        return False
    return response.status == 200
