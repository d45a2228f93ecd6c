"""The clients of a soak: they hand jobs in, watch them, and note what they were told."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from saddlestack.platform.client import JobsClient, Outcome
from saddlestack.soak.processes import EntryProcess
from saddlestack.standins.pool.cluster import job
from saddlestack.standins.pool.documents import HOST, KEY, QUEUES
from saddlestack.work import JobRequest, JobState

DEADLINE_S = 3.0
TRIES = 4
PAUSE_S = 0.4
CANCEL_SHARE = 0.1


@dataclass(slots=True)
class Told:
    """What a client was told of its job.

    :param accepted: one of its tries was answered with success.
    :param refused: all of its tries were refused.
    :param cancelled: a cancel was sent; whether it arrived is not known.
    """

    job_id: str
    queue: str
    request: JobRequest
    accepted: bool = False
    refused: bool = False
    cancelled: bool = False
    state: JobState | None = None


@dataclass(slots=True)
class Load:
    """All clients of one soak."""

    entries: Sequence[EntryProcess]
    rng: random.Random
    jobs: list[Told] = field(default_factory=list)
    clients: dict[tuple[str, str], JobsClient] = field(default_factory=dict)

    async def run(self) -> None:
        """Hand jobs in until cancelled."""
        async with asyncio.TaskGroup() as group:
            while True:
                told = self._new_job()
                self.jobs.append(told)
                group.create_task(self._drive(told))
                await asyncio.sleep(self.rng.uniform(0.1, 2 * PAUSE_S))

    async def ask(self, told: Told) -> JobState | None:
        """A job's state from any VM."""
        client = self._client(told.queue)
        outcome, state = await client.state(told.job_id, DEADLINE_S)
        if outcome is Outcome.DONE:
            told.state = state
        return state

    def close(self) -> None:
        """Close all connections."""
        for client in self.clients.values():
            client.close()

    def _new_job(self) -> Told:
        rng = self.rng
        tasks = rng.randint(1, 6)
        request = job(
            tasks,
            work_s=rng.uniform(0.2, 3.0),
            accelerators=rng.choice((1, 1, 2, 4)),
            gang=tasks > 1 and rng.random() < 0.4,
            checkpoint=rng.random() < 0.4,
            failures=rng.choice((0, 0, 0, 1)),
        )
        queue = rng.choice(QUEUES)[0]
        return Told(f"{rng.getrandbits(64):016x}", queue, request)

    async def _drive(self, told: Told) -> None:
        outcomes = []
        for _ in range(TRIES):
            outcome = await self._client(told.queue).submit(told.job_id, told.request, DEADLINE_S)
            outcomes.append(outcome)
            if outcome is Outcome.DONE:
                told.accepted = True
                break
            await asyncio.sleep(PAUSE_S)
        told.refused = all(outcome is Outcome.REFUSED for outcome in outcomes)
        if told.accepted and self.rng.random() < CANCEL_SHARE:
            told.cancelled = True
            await self._client(told.queue).cancel(told.job_id, DEADLINE_S)

    def _client(self, queue: str) -> JobsClient:
        """A client of a VM drawn by chance; its connection stays open as long as it works."""
        entry = self.rng.choice(self.entries)
        key = (entry.name, queue)
        if key not in self.clients:
            self.clients[key] = JobsClient("127.0.0.1", entry.port, HOST, f"/{queue}/", KEY)
        return self.clients[key]
