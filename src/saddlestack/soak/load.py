"""The clients of a soak: they hand jobs in, watch them, and note what they were told."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

import msgspec

from saddlestack.platform.client import JobsClient, Outcome
from saddlestack.soak.platform import api_key_of
from saddlestack.soak.processes import CLIENTS_PORT, EntryProcess
from saddlestack.soak.readiness import Readiness
from saddlestack.soak.shape import FailingJobs, JobKind, SoakShape, Spread
from saddlestack.standins.pool.documents import HOST
from saddlestack.standins.pool.workers import TaskPlan, payload
from saddlestack.work import FINAL_STATES, JobRequest, JobState, Resources, Step

DEADLINE_S = 3.0
TRIES = 5
PAUSE_S = 0.4
LOOK_S = 1.5
"""Between two questions for a job's state, on average."""
CLIENTS_A_VM = 2
REPEAT_SHARE = 0.05
"""So many jobs are handed in again, some seconds after they were accepted."""
REPEAT_S = (0.5, 4.0)
CANCEL_S = (0.0, 6.0)
ALWAYS_FAILS = 1000
"""More failures than any job survives."""
ESTIMATE_OFF = 0.3
SETTLE_PAUSE_S = 1.0


@dataclass(slots=True)
class SubmittedJob:
    """A job, and what its client was told of it. Times are those of the event loop.

    :param accepted_s: when one of its tries was answered with success.
    :param refused: all of its tries were refused.
    :param cancel_sent: a cancel was sent, at ``cancel_sent_s``; whether it arrived is not known...
    :param cancelled_s: ...but for where it was answered with success, and this is when.
    :param changes: each state that was told, and when it was first told.
    """

    job_id: str
    kind: JobKind
    account: str
    request: JobRequest
    submitted_s: float
    tries: int = 0
    accepted_s: float | None = None
    refused: bool = False
    cancel_sent: bool = False
    cancel_sent_s: float = math.inf
    cancelled_s: float | None = None
    repeated: bool = False
    changes: list[tuple[float, JobState]] = field(default_factory=list)

    @property
    def state(self) -> JobState | None:
        """The state that was told last."""
        return self.changes[-1][1] if self.changes else None

    @property
    def over(self) -> bool:
        """Whether its last state is final."""
        return self.state in FINAL_STATES

    @property
    def closed_s(self) -> float:
        """When it was first told as over, or a cancel was sent; infinite where neither came."""
        effective_end_s = [at_s for at_s, state in self.changes if state in FINAL_STATES]
        return min([self.cancel_sent_s, *effective_end_s])


class Client:
    """One client: it keeps to a VM for as long as its connection serves."""

    def __init__(self, account: str, readiness: Readiness, rng: random.Random) -> None:
        self.account = account
        self._readiness = readiness
        self._rng = rng
        self._entry: EntryProcess | None = None
        self._calls: dict[str, JobsClient] = {}

    def calls(self, queue: str) -> JobsClient:
        """Its way to a queue."""
        if self._entry is None:
            self._entry = self._readiness.choose(self._rng)
        if queue not in self._calls:
            address = self._entry.site.address
            key = api_key_of(self.account)
            self._calls[queue] = JobsClient(address, CLIENTS_PORT, HOST, f"/{queue}/", key)
        return self._calls[queue]

    def move(self) -> None:
        """Give the connection up; the next one leads to any VM."""
        self.close()
        self._entry = None

    def close(self) -> None:
        """Close all connections."""
        for calls in self._calls.values():
            calls.close()
        self._calls.clear()


class Load:
    """All clients of one soak.

    :param failing_rng: draws the jobs that fail by their own fault, where the shape has some.
    """

    def __init__(
        self,
        shape: SoakShape,
        entries: Sequence[EntryProcess],
        rng: random.Random,
        failing_rng: random.Random,
    ) -> None:
        self._shape = shape
        self._rng = rng
        self._failing_rng = failing_rng
        self.readiness = Readiness(entries)
        self.jobs: list[SubmittedJob] = []
        self._clients = [self._new_client() for _ in range(CLIENTS_A_VM * len(entries))]

    async def run(self) -> None:
        """Hand jobs in and watch them until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.readiness.run())
            for kind in self._shape.kinds:
                group.create_task(self._arrivals(kind, group))
            if self._shape.failing is not None:
                group.create_task(self._bursts(self._shape.failing, group))

    async def settle(self, seconds: float) -> None:
        """Ask until every accepted job is over, or the time is."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            waiting = [told for told in self.jobs if told.accepted_s is not None and not told.over]
            if not waiting:
                return
            await asyncio.gather(*(self._ask(told, self._client(told.account)) for told in waiting))
            await asyncio.sleep(SETTLE_PAUSE_S)

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.close()

    async def _arrivals(self, kind: JobKind, group: asyncio.TaskGroup) -> None:
        if not kind.rate_per_s:
            return
        rng = random.Random(self._rng.getrandbits(64))
        loop = asyncio.get_running_loop()
        due = loop.time()
        while True:
            due += rng.expovariate(kind.rate_per_s)
            await asyncio.sleep(max(0.0, due - loop.time()))
            told = self._new_job(kind, rng)
            self.jobs.append(told)
            group.create_task(self._drive(told, random.Random(rng.getrandbits(64))))

    async def _bursts(self, failing: FailingJobs, group: asyncio.TaskGroup) -> None:
        """Hand in jobs that fail by their own fault, many at once, now and then."""
        rng = self._failing_rng
        while True:
            await asyncio.sleep(rng.uniform(*failing.pause_s))
            name = rng.choice(failing.kinds)
            kind = next(kind for kind in self._shape.kinds if kind.name == name)
            for _ in range(rng.randint(*failing.jobs)):
                told = _failing_job(failing, kind, rng)
                self.jobs.append(told)
                group.create_task(self._drive(told, random.Random(rng.getrandbits(64))))

    def _new_job(self, kind: JobKind, rng: random.Random) -> SubmittedJob:
        accounts = self._shape.accounts
        account = rng.choices(accounts, [each.share for each in accounts])[0]
        job_id = f"{rng.getrandbits(64):016x}"
        now = asyncio.get_running_loop().time()
        return SubmittedJob(job_id, kind, account.name, request(kind, rng), now)

    async def _drive(self, told: SubmittedJob, rng: random.Random) -> None:
        client = self._client(told.account)
        await self._submit(told, client)
        if told.accepted_s is None:
            return
        async with asyncio.TaskGroup() as group:
            if rng.random() < REPEAT_SHARE:
                group.create_task(self._repeat(told, rng.uniform(*REPEAT_S)))
            if rng.random() < told.kind.cancel_share:
                group.create_task(self._cancel(told, rng.uniform(*CANCEL_S)))
            while not told.over:
                await asyncio.sleep(rng.uniform(0.5 * LOOK_S, 1.5 * LOOK_S))
                await self._ask(told, client)

    async def _submit(self, told: SubmittedJob, client: Client) -> None:
        outcomes = []
        for _ in range(TRIES):
            told.tries += 1
            calls = client.calls(told.kind.name)
            outcome = await calls.submit(told.job_id, told.request, DEADLINE_S)
            outcomes.append(outcome)
            if outcome is Outcome.DONE:
                told.accepted_s = asyncio.get_running_loop().time()
                return
            client.move()
            await asyncio.sleep(PAUSE_S)
        told.refused = all(outcome is Outcome.REFUSED for outcome in outcomes)

    async def _repeat(self, told: SubmittedJob, after_s: float) -> None:
        """Hand an accepted job in once more, as where its client lost the answer."""
        await asyncio.sleep(after_s)
        told.repeated = True
        calls = self._client(told.account).calls(told.kind.name)
        await calls.submit(told.job_id, told.request, DEADLINE_S)

    async def _cancel(self, told: SubmittedJob, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if told.over:
            return
        told.cancel_sent = True
        told.cancel_sent_s = asyncio.get_running_loop().time()
        calls = self._client(told.account).calls(told.kind.name)
        if await calls.cancel(told.job_id, DEADLINE_S) is Outcome.DONE:
            told.cancelled_s = asyncio.get_running_loop().time()

    async def _ask(self, told: SubmittedJob, client: Client) -> None:
        outcome, state = await client.calls(told.kind.name).state(told.job_id, DEADLINE_S)
        if outcome is not Outcome.DONE or state is None:
            client.move()
            return
        if state is not told.state:
            told.changes.append((asyncio.get_running_loop().time(), state))

    def _new_client(self) -> Client:
        accounts = self._shape.accounts
        account = self._rng.choices(accounts, [each.share for each in accounts])[0]
        rng = random.Random(self._rng.getrandbits(64))
        return Client(account.name, self.readiness, rng)

    def _client(self, account: str) -> Client:
        """A client of an account, drawn by chance; a new one where it has none yet."""
        clients = [client for client in self._clients if client.account == account]
        if not clients:
            rng = random.Random(self._rng.getrandbits(64))
            clients = [Client(account, self.readiness, rng)]
            self._clients += clients
        return self._rng.choice(clients)


def _failing_job(failing: FailingJobs, kind: JobKind, rng: random.Random) -> SubmittedJob:
    """A job of a kind whose tasks fail however often they start."""
    job_id = f"{rng.getrandbits(64):016x}"
    broken = msgspec.structs.replace(kind, broken_share=1.0, work_s=failing.work_s)
    now = asyncio.get_running_loop().time()
    return SubmittedJob(job_id, kind, failing.account, request(broken, rng), now)


def request(kind: JobKind, rng: random.Random) -> JobRequest:
    """A job of a kind, drawn by chance."""
    tasks = max(1, round(draw(kind.width, rng)))
    work_s = draw(kind.work_s, rng)
    accelerators = rng.choice(kind.accelerators)
    gang = rng.random() < kind.gang_share
    plan = TaskPlan(work_s, _failures(kind, rng), accelerators, tasks if gang else 0)
    if kind.crashing_share and rng.random() < kind.crashing_share:
        plan = msgspec.structs.replace(
            plan, crashes_s=kind.crashes_s, crashing=rng.randrange(tasks)
        )
    step = Step(
        count=tasks,
        needs=Resources(kind.cpu, kind.memory_mb, accelerators),
        estimate_ms=round(1000 * work_s * rng.uniform(1 - ESTIMATE_OFF, 1 + ESTIMATE_OFF)),
        gang=gang,
        same_rack=gang and rng.random() < kind.same_rack_share,
        checkpoint=rng.random() < kind.checkpoint_share,
    )
    return JobRequest(payload=payload(plan), steps=(step,))


def draw(spread: Spread, rng: random.Random) -> float:
    """A number of a log-normal spread."""
    if not spread.spread:
        return spread.mean
    variance = math.log(1 + spread.spread**2)
    middle = math.log(spread.mean) - variance / 2
    return min(spread.most, rng.lognormvariate(middle, math.sqrt(variance)))


def _failures(kind: JobKind, rng: random.Random) -> int:
    """How many runs of each task fail."""
    if rng.random() < kind.broken_share:
        return ALWAYS_FAILS
    return 1 if rng.random() < kind.failure_share else 0
