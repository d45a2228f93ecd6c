"""The demo: borrowing, reclaim and failover on a small deployment in one process, in real time."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable

import click
import msgspec

from saddlestack.client import AsyncClient
from saddlestack.errors import SaddlestackError
from saddlestack.models import DataHall, JobClass, JobState, JobView, Weights
from saddlestack.platform.endpoint import TaskState
from saddlestack.standins import invariants
from saddlestack.standins.cluster import Cluster, account, racks, token_of
from saddlestack.standins.endpoint import GRACE_S
from saddlestack.standins.invariants import InvariantResult, RequestRecord

FILLER_JOBS = 24
URGENT_JOBS = 4
MAX_PARTIAL_S = GRACE_S + 8.0
URGENT_START_S = 8.5
WAIT_S = 60.0


class DemoJob(msgspec.Struct):
    """A row of the demo's job table.

    :param waited_s: seconds from submission to start, or ``None`` if the job did not start.
    """

    job: str
    job_class: str
    accelerators: int
    where: str
    waited_s: float | None
    outcome: str


class DemoPromise(msgspec.Struct):
    """An invariant that the demo checked, with its violations."""

    name: str
    held: bool
    breaches: tuple[str, ...]


class DemoResult(msgspec.Struct):
    """The demo's events, jobs and checked invariants."""

    seed: int
    seconds: float
    events: tuple[str, ...]
    jobs: tuple[DemoJob, ...]
    promises: tuple[DemoPromise, ...]

    @property
    def held(self) -> bool:
        """Whether all invariants held."""
        return all(promise.held for promise in self.promises)


class _Demo:
    def __init__(self, cluster: Cluster, seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._records: list[RequestRecord] = []
        self._events: list[str] = []
        self._reclaimed = 0

    async def play(self, seed: int) -> DemoResult:
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self._configure()
        fillers = [self._submit_filler(i) for i in range(FILLER_JOBS)]
        running = [asyncio.create_task(work) for work in fillers]
        await asyncio.sleep(1.0)
        running += await self._reclaim()
        running += self._urgent()
        await self._payout()
        await self._kill_scheduler()
        running += [asyncio.create_task(self._after_kill(i)) for i in range(3)]
        await asyncio.gather(*running, self._takeover_watch)
        checks = invariants.check(
            self._cluster.endpoints, self._records, max_partial_s=MAX_PARTIAL_S, now=loop.time()
        )
        checks += self._check_demo()
        return DemoResult(
            seed=seed,
            seconds=round(loop.time() - began, 1),
            events=tuple(self._events),
            jobs=tuple(self._table_line(record) for record in self._records),
            promises=tuple(DemoPromise(p.name, p.held, p.breaches) for p in checks),
        )

    async def _configure(self) -> None:
        await self._cluster.configure(
            (
                account("depots", "2x16@rack"),
                account("stations", "3x8@worker"),
                account("tariffs", "1x8@worker"),
                account("replays"),
            ),
            Weights(completion=0.7, fragmentation=0.3),
        )
        document = self._cluster.document()
        self._events.append(
            f"liis planned and confirmed 4 client accounts: revision {document.revision}, "
            f"{len(document.assignments)} guaranteed shapes assigned to 3 cells"
        )

    async def _submit_filler(self, number: int) -> None:
        seconds = self._rng.uniform(4.0, 7.0)
        await self._submit(
            "replays",
            f"replay-{number:02d}",
            8,
            JobClass.BULK,
            seconds,
            checkpoint=number % 3 != 0,
        )

    async def _reclaim(self) -> list[asyncio.Task[None]]:
        self._events.append(
            f"account replays borrows all 24 workers with {FILLER_JOBS} bulk jobs of 8 accelerators"
        )
        work = self._submit("depots", "night-plan", 16, JobClass.NORMAL, 2.0, adjacent="rack")
        task = asyncio.create_task(work)
        await asyncio.sleep(0.5)
        return [task]

    def _urgent(self) -> list[asyncio.Task[None]]:
        return [
            asyncio.create_task(
                self._submit("stations", f"check-{number}", 1, JobClass.URGENT, 0.5)
            )
            for number in range(URGENT_JOBS)
        ]

    async def _payout(self) -> None:
        """Submit a run-once job twice under one request id, through two data halls."""
        once = self._submit(
            "tariffs", "payout", 4, JobClass.NORMAL, 1.0, run_once=True, hall="ulemiste"
        )
        again = self._submit(
            "tariffs", "payout", 4, JobClass.NORMAL, 1.0, run_once=True, hall="maardu"
        )
        await asyncio.gather(once, again)
        self._events.append("run-once job tariffs/payout was sent twice, through two data halls")

    async def _kill_scheduler(self) -> None:
        owner = self._cluster.owner("ulemiste")
        if owner is None:
            raise AssertionError("cell ulemiste has no scheduler")
        await self._cluster.kill(owner.name)
        self._events.append(f"entry VM {owner.name}, scheduler of cell ulemiste, was killed")
        began = asyncio.get_running_loop().time()
        self._takeover_watch = asyncio.create_task(self._report_takeover(began))

    async def _report_takeover(self, began: float) -> None:
        while True:
            owner = self._cluster.owner("ulemiste")
            if owner is not None:
                break
            await asyncio.sleep(0.05)
        takeover_s = asyncio.get_running_loop().time() - began
        self._events.append(f"{owner.name} took the cell over after {takeover_s:.1f} s")

    async def _after_kill(self, number: int) -> None:
        await asyncio.sleep(0.2 * number)
        await self._submit(
            "stations", f"late-check-{number}", 8, JobClass.URGENT, 0.5, hall="ulemiste"
        )

    async def _submit(
        self,
        name: str,
        request: str,
        accelerators: int,
        job_class: JobClass,
        seconds: float,
        *,
        adjacent: str | None = None,
        run_once: bool = False,
        checkpoint: bool = False,
        hall: str | None = None,
    ) -> None:
        client = self._client(name, hall)
        record = RequestRecord(f"{name}/{request}")
        self._records.append(record)
        work: Awaitable[JobView] = client.submit(
            request,
            accelerators,
            job_class=job_class,
            adjacent=adjacent,
            run_once=run_once,
            checkpoint=checkpoint,
            estimate=seconds,
            payload=f'{{"seconds": {seconds:.2f}}}',
            wait=WAIT_S,
        )
        try:
            record.view = await work
        except SaddlestackError as error:
            record.refused = error.kind.value

    def _client(self, name: str, hall: str | None) -> AsyncClient:
        if hall is None:
            return self._cluster.client(token_of(name))
        return self._cluster.client(token_of(name), hall=hall)

    def _check_demo(self) -> list[InvariantResult]:
        unfinished = [
            f"{record.job}: {record.refused or (record.view and record.view.state)}"
            for record in self._records
            if record.view is None or record.view.state is not JobState.DONE
        ]
        late = [
            f"{line.job} waited {line.waited_s} s"
            for line in map(self._table_line, self._records)
            if line.job_class == JobClass.URGENT and (line.waited_s or 0) > URGENT_START_S
        ]
        preempted = [
            entry.job
            for endpoint in self._cluster.endpoints.values()
            for entry in endpoint.history
            if entry.event in {TaskState.CHECKPOINTED.value, TaskState.STOPPED.value}
        ]
        reclaim_breaches = () if preempted else ("no borrower was taken back",)
        self._events.append(f"room was taken back from {len(set(preempted))} borrowing jobs")
        return [
            InvariantResult("every job finished", tuple(unfinished)),
            InvariantResult(f"urgent work started within {URGENT_START_S} s", tuple(late)),
            InvariantResult("the guaranteed shape was reclaimed from lent room", reclaim_breaches),
        ]

    def _table_line(self, record: RequestRecord) -> DemoJob:
        view = record.view
        if view is None:
            return DemoJob(record.job, "-", 0, "-", None, f"refused: {record.refused}")
        waited = None if view.started is None else round(view.started - view.submitted, 2)
        outcome = view.state.value + (f", attempt {view.attempt}" if view.attempt > 1 else "")
        places = ", ".join(part.vm for part in view.parts)
        return DemoJob(record.job, view.job_class.value, view.accelerators, places, waited, outcome)


async def run_demo(seed: int) -> DemoResult:
    """Run the demo on a new cluster.

    :rtype: DemoResult
    """
    halls = (
        DataHall(name="ulemiste", racks=racks("ee-u", 1)),
        DataHall(name="mustamae", racks=racks("ee-m", 1)),
        DataHall(name="maardu", racks=racks("ee-d", 1)),
    )
    cluster = Cluster(halls, entries=2, seed=seed)
    await cluster.start()
    try:
        return await _Demo(cluster, seed).play(seed)
    finally:
        await cluster.stop()


def show(result: DemoResult) -> None:
    """Print the demo's result as text."""
    from saddlestack.cli.output import table

    click.echo("What happened")
    for event in result.events:
        click.echo(f"  {event}")
    click.echo()
    table(
        ("JOB", "CLASS", "ACCELERATORS", "WHERE", "WAITED", "OUTCOME"),
        (
            (
                job.job,
                job.job_class,
                job.accelerators,
                job.where,
                "-" if job.waited_s is None else f"{job.waited_s:.2f} s",
                job.outcome,
            )
            for job in result.jobs
        ),
    )
    click.echo("\nPromises checked, from the records of endpoints and callers")
    for promise in result.promises:
        click.echo(f"  {'held  ' if promise.held else 'BROKEN'}  {promise.name}")
        for breach in promise.breaches:
            click.echo(f"            {breach}")
    click.echo(f"\n{len(result.jobs)} requests in {result.seconds} s")
