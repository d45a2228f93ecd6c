"""One soak: processes, load and faults from one seed, and the verdict."""

from __future__ import annotations

import asyncio
import random
import signal
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from saddlestack.interfaces.workers import EndKind
from saddlestack.soak.load import Load, Told
from saddlestack.soak.platform import SoakPlatform
from saddlestack.soak.processes import EntryProcess
from saddlestack.soak.proxy import Proxy, Trouble
from saddlestack.work import JobState

READY_S = 15.0
SETTLE_S = 45.0
ASK_S = 0.5
LEAST_GAP_S = 0.3
LONGEST_GAP_S = 1.5
LONGEST_FAULT_S = 4.0

Fault = Callable[[], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """What is run.

    :param seconds: for how long faults come.
    """

    seed: int
    seconds: float
    entries: int = 4
    workers: int = 6


@dataclass(slots=True)
class Verdict:
    """What came of a soak.

    :param broken: promises that did not hold, a sentence each.
    :param logs: the folder with the logs of all VMs, kept where something broke.
    """

    plan: SoakPlan
    jobs: int = 0
    accepted: int = 0
    faults: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    logs: Path | None = None


class Soak:
    """Runs a plan. All chance comes from its seed."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self._plan = plan
        self._rng = random.Random(plan.seed)
        self._platform = SoakPlatform(plan.workers)
        self._folder = folder
        self._entries: list[EntryProcess] = []
        self._under_way: set[asyncio.Task[None]] = set()
        self.verdict = Verdict(plan)

    async def run(self) -> Verdict:
        """Start everything, play faults, let it settle, and judge."""
        await self._platform.start()
        try:
            await self._start_entries()
            load = Load(self._entries, random.Random(self._plan.seed + 1))
            clients = asyncio.get_running_loop().create_task(load.run())
            await self._play_faults()
            clients.cancel()
            await asyncio.gather(clients, return_exceptions=True)
            await self._judge(load)
            load.close()
        finally:
            for task in self._under_way:
                task.cancel()
            await asyncio.gather(*self._under_way, return_exceptions=True)
            for entry in self._entries:
                await entry.end()
            await self._platform.stop()
        return self.verdict

    async def _start_entries(self) -> None:
        for number in range(self._plan.entries):
            name = f"entry-{number + 1}"
            proxy = await self._platform.way_to_store(name)
            entry = EntryProcess(name, self._folder, proxy.port)
            entry.write_settings()
            await entry.start()
            self._entries.append(entry)
        async with asyncio.timeout(READY_S):
            while not self._platform.store.item("saddlestack/leader").revision:
                await asyncio.sleep(0.05)

    # Faults

    async def _play_faults(self) -> None:
        loop = asyncio.get_running_loop()
        until = loop.time() + self._plan.seconds
        while loop.time() < until:
            name, fault = self._next_fault()
            self.verdict.faults.append(name)
            task = loop.create_task(_quietly(fault))
            self._under_way.add(task)
            task.add_done_callback(self._under_way.discard)
            await asyncio.sleep(self._rng.uniform(LEAST_GAP_S, LONGEST_GAP_S))
        await asyncio.gather(*self._under_way)

    def _next_fault(self) -> tuple[str, Fault]:
        rng = self._rng
        entry = rng.choice(self._entries)
        seconds = rng.uniform(0.5, LONGEST_FAULT_S)
        faults: dict[str, Fault] = {
            f"kill {entry.name}": lambda: entry.kill_and_restart(seconds / 4),
            f"stop {entry.name}": entry.stop_and_restart,
            f"freeze {entry.name}": lambda: entry.freeze(seconds),
            f"hup {entry.name}": lambda: _at_once(lambda: entry.send(signal.SIGHUP)),
            f"store of {entry.name}": lambda: self._trouble(
                [self._platform.proxies[entry.name]], seconds
            ),
            "store of all": lambda: self._trouble(list(self._platform.proxies.values()), seconds),
            "store slow": lambda: self._store_slow(seconds),
            "store loses answers": lambda: _at_once(self._lose_answers),
            "store forgets": lambda: _at_once(self._platform.store.forget_history),
            "worker cut": lambda: self._cut_worker(seconds),
            "worker crash": lambda: _at_once(rng.choice(self._platform.machines).begin_life),
            "all killed": lambda: self._kill_all(seconds / 4),
        }
        name = rng.choice(list(faults))
        return name, faults[name]

    async def _trouble(self, proxies: list[Proxy], seconds: float) -> None:
        trouble = self._rng.choice([each for each in Trouble if each is not Trouble.NONE])
        for proxy in proxies:
            proxy.set(trouble, self._rng.uniform(0.05, 0.5))
        await asyncio.sleep(seconds)
        for proxy in proxies:
            proxy.set(Trouble.NONE)

    async def _cut_worker(self, seconds: float) -> None:
        proxy = self._rng.choice(self._platform.machines).proxy
        assert proxy is not None
        await self._trouble([proxy], seconds)

    async def _store_slow(self, seconds: float) -> None:
        self._platform.view.faults.slow_s = self._rng.uniform(0.05, 0.4)
        await asyncio.sleep(seconds)
        self._platform.view.faults.slow_s = 0.0

    def _lose_answers(self) -> None:
        self._platform.view.faults.late_s = self._rng.choice((0.0, 1.0, 3.0))
        self._platform.view.faults.lose_answers = self._rng.randint(1, 5)

    async def _kill_all(self, pause_s: float) -> None:
        await asyncio.gather(*(entry.kill_and_restart(pause_s) for entry in self._entries))

    # Verdict

    async def _judge(self, load: Load) -> None:
        self._heal()
        verdict = self.verdict
        verdict.jobs = len(load.jobs)
        accepted = [told for told in load.jobs if told.accepted]
        verdict.accepted = len(accepted)
        await self._settle(load, accepted)
        if not self._platform.alive:
            verdict.broken.append("the stand-in of the workers has failed")
        verdict.broken += self._platform.floor.violations
        for told in load.jobs:
            verdict.broken += self._faults_of(told)

    def _heal(self) -> None:
        self._platform.view.faults.lose_answers = 0
        for proxy in self._platform.proxies.values():
            proxy.set(Trouble.NONE)
        for machine in self._platform.machines:
            assert machine.proxy is not None
            machine.proxy.set(Trouble.NONE)

    async def _settle(self, load: Load, accepted: list[Told]) -> None:
        """Ask until every accepted job is over."""
        loop = asyncio.get_running_loop()
        until = loop.time() + SETTLE_S
        final = {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
        while loop.time() < until:
            waiting = [told for told in accepted if told.state not in final]
            if not waiting:
                return
            await asyncio.gather(*(load.ask(told) for told in waiting))
            await asyncio.sleep(ASK_S)

    def _faults_of(self, told: Told) -> list[str]:
        floor = self._platform.floor
        job_id = told.job_id
        if told.refused and floor.starts_of(job_id):
            return [f"{job_id} was refused and ran"]
        if not told.accepted:
            return []
        if told.state is JobState.COMPLETED:
            done = {
                run.task for run in floor.history if _is_done(run.task.job_id, job_id, run.ended)
            }
            if len(done) != told.request.steps[0].count:
                return [f"{job_id} is shown as completed with {len(done)} tasks done"]
            return []
        if told.state is JobState.CANCELLED and told.cancelled:
            return []
        if told.state is JobState.FAILED and floor.ends_of(job_id, EndKind.FAILED) > 1:
            return []
        return [f"{job_id} was accepted and is {told.state}"]


def _is_done(found: str, wanted: str, ended: EndKind | None) -> bool:
    return found == wanted and ended is EndKind.DONE


async def _at_once(act: Callable[[], None]) -> None:
    act()


async def _quietly(fault: Fault) -> None:
    """Play a fault; a process that another fault ends meanwhile is no failure."""
    try:
        await fault()
    except ProcessLookupError:
        return


async def run(plan: SoakPlan) -> Verdict:
    """Run a plan; the logs are kept where a promise broke.

    SIGTERM ends the soak like SIGINT: its processes end first.
    """
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    folder = Path(tempfile.mkdtemp(prefix="saddlestack-soak-"))
    verdict = await Soak(plan, folder).run()
    if verdict.broken:
        verdict.logs = folder
    else:
        for file in folder.iterdir():
            file.unlink()
        folder.rmdir()
    return verdict
