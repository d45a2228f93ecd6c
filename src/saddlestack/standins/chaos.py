"""Chaos tests: a seeded mix of all faults, checked by the records of endpoints and callers."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable

from saddlestack.errors import SaddlestackError
from saddlestack.models import Account, DataHall, Intent, JobClass, JobState
from saddlestack.standins import invariants
from saddlestack.standins.cluster import Cluster, account, racks, token_of
from saddlestack.standins.invariants import InvariantResult, RequestRecord
from saddlestack.standins.scenario.play import ALONE_S, LEAVING_S, Outcome

HALLS = ("ulemiste", "mustamae", "maardu")
JOB_EVERY_S = 0.6
FAULT_EVERY_S = 3.0
SETTLE_TIMEOUT_S = 240.0
WAIT_S = 400.0
LONGEST_OUTAGE_S = 20.0
DONE_SHARE = 0.5


class Chaos:
    """Submits random jobs under random faults, then ends the faults and checks the invariants.

    :param seconds: how long jobs are submitted and faults are started.
    """

    def __init__(self, seed: int, seconds: float) -> None:
        self._rng = random.Random(seed)
        self._seed = seed
        self._seconds = seconds
        self._records: list[RequestRecord] = []
        self._revisions: dict[str, int] = {}
        self._reverted: list[str] = []
        self._accepted: list[str] = []
        self._leave_periods: list[tuple[str, float, float | None]] = []
        self._open_tasks: list[asyncio.Task[None]] = []
        self._number = 0
        self._faulted_endpoints: set[str] = set()
        self.faults: list[str] = []
        halls = tuple(
            DataHall(name=name, racks=racks(name[:2] + name[-1], 1, workers=4)) for name in HALLS
        )
        self.cluster = Cluster(halls, entries=2, seed=seed)

    async def play(self) -> Outcome:
        """Run the chaos test on a new cluster.

        :rtype: Outcome
        """
        loop = asyncio.get_running_loop()
        began = loop.time()
        outcome = Outcome(f"chaos seed {self._seed}")
        await self.cluster.start()
        watcher = loop.create_task(self._watch_revisions())
        try:
            await self.cluster.configure(self._accounts())
            await self._inject_faults()
            await self._end_faults()
            await self._await_requests(outcome)
            outcome.promises = self._check_invariants()
        finally:
            for task in (*self._open_tasks, watcher):
                task.cancel()
            await self.cluster.stop()
        outcome.seconds = loop.time() - began
        return outcome

    def _accounts(self) -> tuple[Account, ...]:
        return (
            account("depots", "1x16@rack"),
            account("stations", "2x8@worker"),
            account("tariffs"),
            account("replays"),
        )

    async def _inject_faults(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + self._seconds
        next_fault = loop.time() + 1.0
        while loop.time() < until:
            self._spawn(self._submit_random_job())
            if loop.time() >= next_fault:
                next_fault = loop.time() + self._rng.expovariate(1 / FAULT_EVERY_S)
                self._spawn(self._inject_random_fault())
            await asyncio.sleep(self._rng.expovariate(1 / JOB_EVERY_S))

    def _spawn(self, work: Awaitable[None]) -> None:
        async def run() -> None:
            await work

        self._open_tasks.append(asyncio.get_running_loop().create_task(run()))

    # Submitting jobs

    async def _submit_random_job(self) -> None:
        self._number += 1
        rng = self._rng
        name = rng.choice(("depots", "stations", "tariffs", "replays"))
        request = f"job-{self._number:04d}"
        shape = {
            "depots": (16, "rack"),
            "stations": (rng.choice((1, 2, 8)), "worker"),
            "tariffs": (rng.choice((2, 4, 12)), None),
            "replays": (rng.choice((1, 4, 8, 20)), None),
        }[name]
        classes = {"stations": JobClass.URGENT, "replays": JobClass.BULK}
        options = {
            "run_once": rng.random() < 0.4,
            "checkpoint": rng.random() < 0.5,
            "seconds": rng.choice((0.2, 1.0, 3.0, 8.0)),
        }
        copies = 2 if rng.random() < 0.2 else 1
        halls = rng.sample(HALLS, copies)
        await asyncio.gather(
            *(
                self._submit(
                    name, request, shape, classes.get(name, JobClass.NORMAL), options, hall
                )
                for hall in halls
            )
        )

    async def _submit(
        self,
        name: str,
        request: str,
        shape: tuple[int, str | None],
        job_class: JobClass,
        options: dict[str, float],
        hall: str,
    ) -> None:
        record = RequestRecord(f"{name}/{request}")
        self._records.append(record)
        try:
            client = self.cluster.client(token_of(name), hall=hall)
        except SaddlestackError:
            self._records.remove(record)
            return
        try:
            record.view = await client.submit(
                request,
                shape[0],
                job_class=job_class,
                adjacent=shape[1],
                run_once=bool(options["run_once"]),
                checkpoint=bool(options["checkpoint"]),
                estimate=max(0.1, options["seconds"]),
                payload=f'{{"seconds": {options["seconds"]}}}',
                wait=WAIT_S,
            )
        except SaddlestackError as error:
            record.refused = error.kind.value
        finally:
            client.close()

    # Injecting faults

    async def _inject_random_fault(self) -> None:
        faults: tuple[Callable[[], Awaitable[None]], ...] = (
            self._kill,
            self._kill,
            self._freeze,
            self._drain,
            self._cut_halls,
            self._cut_platform,
            self._store_down,
            self._store_slow,
            self._lose_answers,
            self._lose_endpoint,
            self._restart_endpoint,
            self._leave_endpoint,
            self._spoil,
            self._operate,
        )
        fault = self._rng.choice(faults)
        now = asyncio.get_running_loop().time()
        self.faults.append(f"{now:.1f} {fault.__name__.strip('_')}")
        await fault()

    async def _sleep_outage(self) -> None:
        await asyncio.sleep(self._rng.uniform(1.0, LONGEST_OUTAGE_S))

    def _pick_vm(self) -> str | None:
        names = [entry.name for entry in self.cluster.live()]
        return self._rng.choice(names) if len(names) > 2 else None

    async def _kill(self) -> None:
        name = self._pick_vm()
        if name is None:
            return
        await self.cluster.kill(name)
        await self._sleep_outage()
        await self.cluster.restart(name)

    async def _freeze(self) -> None:
        name = self._pick_vm()
        if name is None:
            return
        process = self.cluster.entries[name].process
        process.freeze()
        await self._sleep_outage()
        if not process.dead:
            process.thaw()

    async def _drain(self) -> None:
        name = self._pick_vm()
        if name is None:
            return
        await self.cluster.drain(name)
        await asyncio.sleep(1.0)
        if not self.cluster.entries[name].alive:
            await self.cluster.restart(name)

    async def _cut_halls(self) -> None:
        one, other = self._rng.sample(HALLS, 2)
        self.cluster.network.cut(one, other)
        await self._sleep_outage()
        self.cluster.network.heal(one, other)

    async def _cut_platform(self) -> None:
        hall = self._rng.choice(HALLS)
        self.cluster.network.cut(hall, "platform")
        await self._sleep_outage()
        self.cluster.network.heal(hall, "platform")

    async def _store_down(self) -> None:
        self.cluster.store.faults.down = True
        await self._sleep_outage()
        self.cluster.store.faults.down = False

    async def _store_slow(self) -> None:
        self.cluster.store.faults.slow_s = self._rng.uniform(0.1, 2.5)
        await self._sleep_outage()
        self.cluster.store.faults.slow_s = 0.0

    async def _lose_answers(self) -> None:
        self.cluster.store.faults.lose_answers += self._rng.randint(1, 4)
        self.cluster.store.faults.lose_writes += self._rng.randint(0, 2)

    def _pick_endpoint(self) -> str:
        """Pick an endpoint that is not lost, leaving or restarting because of another fault."""
        free = sorted(set(self.cluster.endpoints) - self._faulted_endpoints)
        return self._rng.choice(free)

    async def _lose_endpoint(self) -> None:
        name = self._pick_endpoint()
        self._faulted_endpoints.add(name)
        self.cluster.endpoints[name].lose()
        await self._sleep_outage()
        await self._restart_faulted(name)

    async def _restart_endpoint(self) -> None:
        name = self._pick_endpoint()
        self._faulted_endpoints.add(name)
        await self._restart_faulted(name)

    async def _leave_endpoint(self) -> None:
        name = self._pick_endpoint()
        endpoint = self.cluster.endpoints[name]
        self._faulted_endpoints.add(name)
        await endpoint.leave()
        self._leave_periods.append((name, asyncio.get_running_loop().time(), None))
        await self._sleep_outage()
        await self._restart_faulted(name)

    async def _restart_faulted(self, name: str) -> None:
        self._end_leave_period(name)
        await self.cluster.restart_endpoint(name)
        self._faulted_endpoints.discard(name)

    def _end_leave_period(self, name: str) -> None:
        now = asyncio.get_running_loop().time()
        self._leave_periods = [
            (vm, at, now if vm == name and until is None else until)
            for vm, at, until in self._leave_periods
        ]

    async def _spoil(self) -> None:
        faults = self.cluster.endpoints[self._pick_endpoint()].faults
        kind = self._rng.choice(("truncate", "cross", "lose_answers"))
        setattr(faults, kind, getattr(faults, kind) + 1)
        delayed = self.cluster.endpoints[self._pick_endpoint()].faults
        delayed.delay_s = self._rng.uniform(0.1, 1.5)
        await self._sleep_outage()
        delayed.delay_s = 0.0

    async def _operate(self) -> None:
        """Change an account's limits as an operator; two changes may race."""
        name = self._rng.choice(("tariffs", "replays"))
        intent = Intent(accounts=(account(name, queued=self._rng.randint(1000, 9000)),))
        operator = self.cluster.operator()
        try:
            plan = await operator.plan(intent)
            await operator.confirm(plan, wait=0.0)
            self._accepted.append(plan.plan)
        except SaddlestackError:
            return

    # Ending faults and checking

    async def _end_faults(self) -> None:
        """End faults of the store and the network, then wait until all other faults are over."""
        faults = self.cluster.store.faults
        faults.down, faults.slow_s, faults.lose_answers, faults.lose_writes = False, 0.0, 0, 0
        self.cluster.network.heal()
        await asyncio.sleep(LONGEST_OUTAGE_S + 5.0)
        faults.down, faults.slow_s = False, 0.0
        self.cluster.network.heal()

    async def _await_requests(self, outcome: Outcome) -> None:
        tasks = [task for task in self._open_tasks if not task.done()]
        if tasks:
            _, unfinished = await asyncio.wait(tasks, timeout=SETTLE_TIMEOUT_S)
            if unfinished:
                outcome.failures.append(f"{len(unfinished)} requests were not answered")
        for task in self._open_tasks:
            if task.done() and not task.cancelled() and task.exception() is not None:
                outcome.failures.append(f"the harness failed: {task.exception()!r}")

    async def _watch_revisions(self) -> None:
        while True:
            for entry in self.cluster.live():
                key = f"{entry.name}#{entry.incarnation}"
                revision = entry.daemon.configuration.document.revision
                if revision < self._revisions.get(key, 0):
                    self._reverted.append(f"{entry.name} went back to revision {revision}")
                self._revisions[key] = revision
            await asyncio.sleep(0.1)

    def _check_invariants(self) -> list[InvariantResult]:
        now = asyncio.get_running_loop().time()
        checks = invariants.check(
            self.cluster.endpoints, self._records, max_partial_s=ALONE_S, now=now
        )
        return [
            *checks,
            InvariantResult("a leaving endpoint got no new work", self._work_after_leave()),
            InvariantResult("an accepted configuration never reverted", self._reverted_changes()),
            InvariantResult("accepted work was not lost", self._lost_jobs()),
            InvariantResult("most work got done in spite of it all", self._too_little_done()),
        ]

    def _work_after_leave(self) -> tuple[str, ...]:
        return tuple(
            f"{name} was given {entry.job} {entry.at - at:.1f} s after it left"
            for name, at, until in self._leave_periods
            for entry in self.cluster.endpoints[name].history
            if entry.event == "prepare"
            and entry.at > at + LEAVING_S
            and (until is None or entry.at < until)
        )

    def _reverted_changes(self) -> tuple[str, ...]:
        document = self.cluster.document()
        if document.revision < len(self._accepted) + 1:
            return (*self._reverted, f"{len(self._accepted)} changes, revision {document.revision}")
        return tuple(self._reverted)

    def _too_little_done(self) -> tuple[str, ...]:
        """Guard against runs without any work, which satisfy all other invariants."""
        done = sum(
            1 for record in self._records if record.view and record.view.state is JobState.DONE
        )
        if done >= DONE_SHARE * len(self._records):
            return ()
        return (f"{done} of {len(self._records)} requests were done",)

    def _lost_jobs(self) -> tuple[str, ...]:
        """Jobs that are still queued or running long after the last fault."""
        return tuple(
            f"{record.job} is still {record.view.state}"
            for record in self._records
            if record.view is not None and record.view.state in {JobState.QUEUED, JobState.RUNNING}
        )
