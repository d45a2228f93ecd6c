"""The demo: the main job on a small deployment in one process, in real time."""

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

FILLERS = 24
URGENT = 4
ALONE_S = GRACE_S + 8.0
URGENT_START_S = 8.5
WAIT_S = 60.0


class DemoJob(msgspec.Struct):
    """A line of the demo's table."""

    job: str
    job_class: str
    accelerators: int
    where: str
    waited_s: float | None
    outcome: str


class DemoPromise(msgspec.Struct):
    """A promise that the demo checked."""

    name: str
    held: bool
    breaches: tuple[str, ...]


class DemoResult(msgspec.Struct):
    """What the demo did and what it found."""

    seed: int
    seconds: float
    events: tuple[str, ...]
    jobs: tuple[DemoJob, ...]
    promises: tuple[DemoPromise, ...]

    @property
    def held(self) -> bool:
        """Whether every promise held."""
        return all(promise.held for promise in self.promises)


class _Demo:
    def __init__(self, cluster: Cluster, seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._said: list[RequestRecord] = []
        self._events: list[str] = []
        self._reclaimed = 0

    async def play(self, seed: int) -> DemoResult:
        loop = asyncio.get_running_loop()
        began = loop.time()
        await self._configure()
        fillers = [self._filler(i) for i in range(FILLERS)]
        running = [asyncio.create_task(work) for work in fillers]
        await asyncio.sleep(1.0)
        running += await self._reclaim()
        running += self._urgent()
        await self._payout()
        await self._kill_scheduler()
        running += [asyncio.create_task(self._after_kill(i)) for i in range(3)]
        await asyncio.gather(*running, self._watch)
        checks = invariants.check(
            self._cluster.endpoints, self._said, max_partial_s=ALONE_S, now=loop.time()
        )
        checks += self._own_checks()
        return DemoResult(
            seed=seed,
            seconds=round(loop.time() - began, 1),
            events=tuple(self._events),
            jobs=tuple(self._line(said) for said in self._said),
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

    async def _filler(self, number: int) -> None:
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
            f"account replays borrows all 24 workers with {FILLERS} bulk jobs of 8 accelerators"
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
            for number in range(URGENT)
        ]

    async def _payout(self) -> None:
        """A run-once payout, submitted twice under one request id through two halls."""
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
        self._watch = asyncio.create_task(self._note_take_over(began))

    async def _note_take_over(self, began: float) -> None:
        while True:
            owner = self._cluster.owner("ulemiste")
            if owner is not None:
                break
            await asyncio.sleep(0.05)
        took = asyncio.get_running_loop().time() - began
        self._events.append(f"{owner.name} took the cell over after {took:.1f} s")

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
        said = RequestRecord(f"{name}/{request}")
        self._said.append(said)
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
            said.view = await work
        except SaddlestackError as error:
            said.refused = error.kind.value

    def _client(self, name: str, hall: str | None) -> AsyncClient:
        if hall is None:
            return self._cluster.client(token_of(name))
        return self._cluster.client(token_of(name), hall=hall)

    def _own_checks(self) -> list[InvariantResult]:
        unfinished = [
            f"{said.job}: {said.refused or (said.view and said.view.state)}"
            for said in self._said
            if said.view is None or said.view.state is not JobState.DONE
        ]
        late = [
            f"{line.job} waited {line.waited_s} s"
            for line in map(self._line, self._said)
            if line.job_class == JobClass.URGENT and (line.waited_s or 0) > URGENT_START_S
        ]
        taken = [
            entry.job
            for endpoint in self._cluster.endpoints.values()
            for entry in endpoint.history
            if entry.event in {TaskState.CHECKPOINTED.value, TaskState.STOPPED.value}
        ]
        none = () if taken else ("no borrower was taken back",)
        self._events.append(f"room was taken back from {len(set(taken))} borrowing jobs")
        return [
            InvariantResult("every job finished", tuple(unfinished)),
            InvariantResult(f"urgent work started within {URGENT_START_S} s", tuple(late)),
            InvariantResult("the guaranteed shape was reclaimed from lent room", none),
        ]

    def _line(self, said: RequestRecord) -> DemoJob:
        view = said.view
        if view is None:
            return DemoJob(said.job, "-", 0, "-", None, f"refused: {said.refused}")
        waited = None if view.started is None else round(view.started - view.submitted, 2)
        outcome = view.state.value + (f", attempt {view.attempt}" if view.attempt > 1 else "")
        places = ", ".join(part.vm for part in view.parts)
        return DemoJob(said.job, view.job_class.value, view.accelerators, places, waited, outcome)


async def run_demo(seed: int) -> DemoResult:
    """Play the demo.

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
    """Print the demo's result for people."""
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
