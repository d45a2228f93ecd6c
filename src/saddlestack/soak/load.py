"""The clients of a soak: they submit jobs, poll their states and record the answers."""

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

TIMEOUT_S = 3.0
MAX_ATTEMPTS = 5
RETRY_DELAY_S = 0.4
POLL_S = 1.5
"""Mean time between two polls of a job's state."""
CLIENTS_PER_VM = 2
REPEAT_SHARE = 0.05
"""The share of jobs that are submitted again some seconds after they were accepted."""
REPEAT_S = (0.5, 4.0)
CANCEL_S = (0.0, 6.0)
ALWAYS_FAILS = 1000
"""More failures than any job may have."""
ESTIMATE_ERROR = 0.3
SETTLE_POLL_S = 1.0


@dataclass(slots=True)
class SubmittedJob:
    """A job and the answers that its client received. Times are those of the event loop.

    :param tries: how often its client submitted it until it was accepted.
    :param accepted_s: when a submission succeeded.
    :param refused: all of its submissions were refused.
    :param cancel_sent: a cancel was sent, at ``cancel_sent_s``; it may not have arrived.
    :param cancelled_s: when the cancel was acknowledged.
    :param repeated: it was submitted again after it had been accepted.
    :param changes: each state that its client received, and when.
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
        """The last state that the client received."""
        return self.changes[-1][1] if self.changes else None

    @property
    def over(self) -> bool:
        """Whether its last state is final."""
        return self.state in FINAL_STATES

    @property
    def closed_s(self) -> float:
        """When the client received a final state or sent a cancel; infinite if neither happened."""
        final_s = [at_s for at_s, state in self.changes if state in FINAL_STATES]
        return min([self.cancel_sent_s, *final_s])


class Client:
    """A client that stays connected to one VM until a call fails."""

    def __init__(self, account: str, readiness: Readiness, rng: random.Random) -> None:
        self.account = account
        self._readiness = readiness
        self._rng = rng
        self._entry: EntryProcess | None = None
        self._calls: dict[str, JobsClient] = {}

    def calls(self, queue: str) -> JobsClient:
        """Return the API client for a queue."""
        if self._entry is None:
            self._entry = self._readiness.choose(self._rng)
        if queue not in self._calls:
            address = self._entry.site.address
            key = api_key_of(self.account)
            self._calls[queue] = JobsClient(address, CLIENTS_PORT, HOST, f"/{queue}/", key)
        return self._calls[queue]

    def reconnect(self) -> None:
        """Close the connections; the next call chooses a VM anew."""
        self.close()
        self._entry = None

    def close(self) -> None:
        """Close all connections."""
        for calls in self._calls.values():
            calls.close()
        self._calls.clear()


class Load:
    """All clients of one soak.

    :param failing_rng: draws the jobs that always fail, if the shape has any.
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
        self._clients = [self._new_client() for _ in range(CLIENTS_PER_VM * len(entries))]

    async def run(self) -> None:
        """Submit jobs and poll their states until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.readiness.run())
            for kind in self._shape.kinds:
                group.create_task(self._submit_arrivals(kind, group))
            if self._shape.failing is not None:
                group.create_task(self._submit_bursts(self._shape.failing, group))

    async def settle(self, seconds: float) -> None:
        """Poll until every accepted job is over or the time has passed."""
        loop = asyncio.get_running_loop()
        deadline_s = loop.time() + seconds
        while loop.time() < deadline_s:
            waiting = [job for job in self.jobs if job.accepted_s is not None and not job.over]
            if not waiting:
                return
            await asyncio.gather(
                *(self._poll(job, self._pick_client(job.account)) for job in waiting)
            )
            await asyncio.sleep(SETTLE_POLL_S)

    def close(self) -> None:
        """Close all connections."""
        for client in self._clients:
            client.close()

    async def _submit_arrivals(self, kind: JobKind, group: asyncio.TaskGroup) -> None:
        if not kind.rate_per_s:
            return
        rng = random.Random(self._rng.getrandbits(64))
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        while True:
            due_s += rng.expovariate(kind.rate_per_s)
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            job = self._new_job(kind, rng)
            self.jobs.append(job)
            group.create_task(self._drive(job, random.Random(rng.getrandbits(64))))

    async def _submit_bursts(self, failing: FailingJobs, group: asyncio.TaskGroup) -> None:
        """Submit bursts of jobs that always fail."""
        rng = self._failing_rng
        while True:
            await asyncio.sleep(rng.uniform(*failing.pause_s))
            name = rng.choice(failing.kinds)
            kind = next(kind for kind in self._shape.kinds if kind.name == name)
            for _ in range(rng.randint(*failing.jobs)):
                job = _failing_job(failing, kind, rng)
                self.jobs.append(job)
                group.create_task(self._drive(job, random.Random(rng.getrandbits(64))))

    def _new_job(self, kind: JobKind, rng: random.Random) -> SubmittedJob:
        accounts = self._shape.accounts
        account = rng.choices(accounts, [each.share for each in accounts])[0]
        job_id = f"{rng.getrandbits(64):016x}"
        now = asyncio.get_running_loop().time()
        return SubmittedJob(job_id, kind, account.name, request(kind, rng), now)

    async def _drive(self, job: SubmittedJob, rng: random.Random) -> None:
        client = self._pick_client(job.account)
        await self._submit(job, client)
        if job.accepted_s is None:
            return
        async with asyncio.TaskGroup() as group:
            if rng.random() < REPEAT_SHARE:
                group.create_task(self._repeat(job, rng.uniform(*REPEAT_S)))
            if rng.random() < job.kind.cancel_share:
                group.create_task(self._cancel(job, rng.uniform(*CANCEL_S)))
            while not job.over:
                await asyncio.sleep(rng.uniform(0.5 * POLL_S, 1.5 * POLL_S))
                await self._poll(job, client)

    async def _submit(self, job: SubmittedJob, client: Client) -> None:
        outcomes = []
        for _ in range(MAX_ATTEMPTS):
            job.tries += 1
            calls = client.calls(job.kind.name)
            outcome = await calls.submit(job.job_id, job.request, TIMEOUT_S)
            outcomes.append(outcome)
            if outcome is Outcome.DONE:
                job.accepted_s = asyncio.get_running_loop().time()
                return
            client.reconnect()
            await asyncio.sleep(RETRY_DELAY_S)
        job.refused = all(outcome is Outcome.REFUSED for outcome in outcomes)

    async def _repeat(self, job: SubmittedJob, after_s: float) -> None:
        """Submit an accepted job again, as a client does that lost the answer."""
        await asyncio.sleep(after_s)
        job.repeated = True
        calls = self._pick_client(job.account).calls(job.kind.name)
        await calls.submit(job.job_id, job.request, TIMEOUT_S)

    async def _cancel(self, job: SubmittedJob, after_s: float) -> None:
        await asyncio.sleep(after_s)
        if job.over:
            return
        job.cancel_sent = True
        job.cancel_sent_s = asyncio.get_running_loop().time()
        calls = self._pick_client(job.account).calls(job.kind.name)
        if await calls.cancel(job.job_id, TIMEOUT_S) is Outcome.DONE:
            job.cancelled_s = asyncio.get_running_loop().time()

    async def _poll(self, job: SubmittedJob, client: Client) -> None:
        outcome, state = await client.calls(job.kind.name).state(job.job_id, TIMEOUT_S)
        if outcome is not Outcome.DONE or state is None:
            client.reconnect()
            return
        if state is not job.state:
            job.changes.append((asyncio.get_running_loop().time(), state))

    def _new_client(self) -> Client:
        accounts = self._shape.accounts
        account = self._rng.choices(accounts, [each.share for each in accounts])[0]
        rng = random.Random(self._rng.getrandbits(64))
        return Client(account.name, self.readiness, rng)

    def _pick_client(self, account: str) -> Client:
        """Choose a random client of an account; create one if the account has none."""
        clients = [client for client in self._clients if client.account == account]
        if not clients:
            rng = random.Random(self._rng.getrandbits(64))
            clients = [Client(account, self.readiness, rng)]
            self._clients += clients
        return self._rng.choice(clients)


def _failing_job(failing: FailingJobs, kind: JobKind, rng: random.Random) -> SubmittedJob:
    """Create a job of a kind whose tasks always fail."""
    job_id = f"{rng.getrandbits(64):016x}"
    broken = msgspec.structs.replace(kind, broken_share=1.0, work_s=failing.work_s)
    now = asyncio.get_running_loop().time()
    return SubmittedJob(job_id, kind, failing.account, request(broken, rng), now)


def request(kind: JobKind, rng: random.Random) -> JobRequest:
    """Draw a random job of a kind."""
    tasks = max(1, round(draw(kind.width, rng)))
    work_s = draw(kind.work_s, rng)
    accelerators = rng.choice(kind.accelerators)
    gang = rng.random() < kind.gang_share
    plan = TaskPlan(work_s, _draw_failures(kind, rng), accelerators, tasks if gang else 0)
    if kind.crashing_share and rng.random() < kind.crashing_share:
        plan = msgspec.structs.replace(
            plan, crashes_s=kind.crashes_s, crashing=rng.randrange(tasks)
        )
    step = Step(
        count=tasks,
        needs=Resources(kind.cpu, kind.memory_mb, accelerators),
        estimate_ms=round(1000 * work_s * rng.uniform(1 - ESTIMATE_ERROR, 1 + ESTIMATE_ERROR)),
        gang=gang,
        same_rack=gang and rng.random() < kind.same_rack_share,
        checkpoint=rng.random() < kind.checkpoint_share,
    )
    return JobRequest(payload=payload(plan), steps=(step,))


def draw(spread: Spread, rng: random.Random) -> float:
    """Draw a number from a log-normal distribution."""
    if not spread.spread:
        return spread.mean
    variance = math.log(1 + spread.spread**2)
    log_mean = math.log(spread.mean) - variance / 2
    return min(spread.most, rng.lognormvariate(log_mean, math.sqrt(variance)))


def _draw_failures(kind: JobKind, rng: random.Random) -> int:
    """Draw how many runs of each task fail."""
    if rng.random() < kind.broken_share:
        return ALWAYS_FAILS
    return 1 if rng.random() < kind.failure_share else 0
