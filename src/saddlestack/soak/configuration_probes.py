"""Calls each entry VM directly to find out which version of the configuration it applies."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass

from saddlestack.platform.gateway import KEY_HEADER
from saddlestack.soak.configurations import ConfigurationChanges
from saddlestack.soak.processes import CLIENTS_PORT, EntryProcess
from saddlestack.standins.pool.documents import HOST
from saddlestack.wire.http import AnswerLost, HttpClient, NotSent

PROBE_INTERVAL_S = 0.1
PROBE_TIMEOUT_S = 3.0
JUDGED_STATUSES = frozenset({200, 401, 404})
"""Other statuses do not depend on the configuration."""


@dataclass(frozen=True, slots=True)
class ConfigurationProbe:
    """A call that was answered in a way that depends on the configuration."""

    vm: str
    queue: str
    key: str
    sent_s: float
    answered_s: float
    status: int


class ConfigurationProbes:
    """Sends calls to every VM over a connection that stays open until the VM's process is gone.

    :ivar answered: all calls that were answered in a way that depends on the configuration.
    :ivar unanswered: the number of other calls.
    """

    def __init__(
        self, entries: Sequence[EntryProcess], changes: ConfigurationChanges, rng: random.Random
    ) -> None:
        self._entries = entries
        self._changes = changes
        self._rng = rng
        self.answered: list[ConfigurationProbe] = []
        self.unanswered = 0

    async def run(self) -> None:
        """Send calls until cancelled."""
        async with asyncio.TaskGroup() as group:
            for entry in self._entries:
                rng = random.Random(self._rng.getrandbits(64))
                group.create_task(self._probe_vm(entry, rng))

    async def _probe_vm(self, entry: EntryProcess, rng: random.Random) -> None:
        client = HttpClient(entry.site.address, CLIENTS_PORT, max_idle=1)
        try:
            while True:
                await asyncio.sleep(rng.uniform(0.5, 1.5) * PROBE_INTERVAL_S)
                queue = rng.choice(self._changes.probed_queues())
                key = rng.choice(self._changes.probed_keys())
                await self._probe(client, entry.name, queue, key)
        finally:
            client.close()

    async def _probe(self, client: HttpClient, vm: str, queue: str, key: str) -> None:
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        try:
            response = await client.request(
                "GET",
                f"/{queue}/",
                timeout=PROBE_TIMEOUT_S,
                headers=((KEY_HEADER, key),),
                host=HOST,
            )
        except (NotSent, AnswerLost):
            self.unanswered += 1
            return
        if response.status not in JUDGED_STATUSES:
            self.unanswered += 1
            return
        self.answered.append(
            ConfigurationProbe(vm, queue, key, sent_s, loop.time(), response.status)
        )
