"""Runs a soak: processes, load and faults from one seed, and its report."""

from __future__ import annotations

import asyncio
import random
import shutil
import signal
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path

from saddlestack.soak.assessment import Observations, assess
from saddlestack.soak.configuration_probes import ConfigurationProbes
from saddlestack.soak.configurations import ConfigurationChanges
from saddlestack.soak.drift import drift_speeds
from saddlestack.soak.faults import FaultInjector
from saddlestack.soak.hosts import WorkerHosts
from saddlestack.soak.load import Load
from saddlestack.soak.meters import Meters
from saddlestack.soak.networks import FIRST_NETWORK, NetworkReservation
from saddlestack.soak.platform import SoakPlatform
from saddlestack.soak.processes import OWN_PROGRAM, EntryProcess, EntrySite, Program
from saddlestack.soak.readiness import Readiness
from saddlestack.soak.report import SoakReport
from saddlestack.soak.shape import SoakShape
from saddlestack.soak.store_faults import StoreFaults
from saddlestack.soak.vm_faults import VmFaults
from saddlestack.soak.worker_faults import WorkerFaults
from saddlestack.standins.ports import LOOPBACK

READY_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class SoakPlan:
    """What to run.

    :param seconds: for how long faults are injected; 0 for no faults.
    :param calm_s: load without faults before that, in addition to the shape's ``lead_s``.
    :param program: the sources that entry VMs run.
    :param keep_logs: keep the logs even if no invariant was violated.
    """

    shape: SoakShape
    seed: int
    seconds: float
    calm_s: float = 0.0
    program: Program = OWN_PROGRAM
    keep_logs: bool = False


class Soak:
    """Runs a plan. All randomness comes from its seed."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        rng = random.Random(plan.seed)
        self._plan = plan
        self._folder = folder
        self._network = NetworkReservation()
        self._sites = entry_sites(plan.shape, self._network.number)
        vms = [site.name for site in self._sites]
        bandwidths = _bandwidths(plan.shape, self._sites)
        self._platform = SoakPlatform(plan.shape, vms, folder, rng.getrandbits(64), bandwidths)
        self._load_rng = random.Random(rng.getrandbits(64))
        self._fault_rng = random.Random(rng.getrandbits(64))
        self._drift_rng = random.Random(f"{plan.seed} drift")
        self._entries: list[EntryProcess] = []
        self._hosts: WorkerHosts | None = None

    async def run(self) -> SoakReport:
        """Start all processes, inject faults, let the jobs settle and assess the soak."""
        await self._platform.start()
        try:
            return await self._run_load()
        finally:
            await asyncio.gather(*(entry.end() for entry in self._entries))
            if self._hosts is not None:
                await self._hosts.stop()
            await self._platform.stop()
            self._network.close()

    async def _run_load(self) -> SoakReport:
        hosts = self._hosts = await self._start_hosts()
        await self._start_entries()
        observations = Observations(
            self._plan.shape,
            self._platform,
            hosts,
            self._new_load(),
            Meters(self._entries),
        )
        metering = asyncio.get_running_loop().create_task(observations.meters.run())
        try:
            await self._run_clients(hosts, observations)
        finally:
            metering.cancel()
            await asyncio.gather(metering, return_exceptions=True)
            observations.load.close()
        plan = self._plan
        return assess(observations, plan.seed, plan.seconds, plan.program, self._entries)

    def _new_load(self) -> Load:
        failing_rng = random.Random(f"{self._plan.seed} failing jobs")
        return Load(self._plan.shape, self._entries, self._load_rng, failing_rng)

    async def _run_clients(self, hosts: WorkerHosts, observations: Observations) -> None:
        """Run clients and faults, then wait for the accepted jobs to end."""
        shape = self._plan.shape
        loop = asyncio.get_running_loop()
        clients = loop.create_task(observations.load.run())
        drift = loop.create_task(drift_speeds(hosts, shape.worker, self._drift_rng))
        configuring = loop.create_task(self._change_configuration(observations))
        await asyncio.sleep(shape.lead_s + self._plan.calm_s)
        if self._plan.seconds:
            await self._inject_faults(hosts, observations)
        background = (clients, drift, configuring)
        for task in background:
            task.cancel()
        await asyncio.gather(*background, return_exceptions=True)
        if observations.changes is not None:
            await observations.changes.restore()
        await observations.load.settle(shape.settle_s)

    async def _change_configuration(self, observations: Observations) -> None:
        """Change the configuration and probe its effect until cancelled, if the shape says so."""
        mix = self._plan.shape.configuration
        if mix is None:
            return
        rng = random.Random(f"{self._plan.seed} configuration")
        changes = ConfigurationChanges(self._plan.shape, mix, self._platform, rng)
        probes = ConfigurationProbes(self._entries, changes, random.Random(rng.getrandbits(64)))
        observations.changes, observations.probes = changes, probes
        async with asyncio.TaskGroup() as group:
            group.create_task(changes.run())
            group.create_task(probes.run())

    async def _inject_faults(self, hosts: WorkerHosts, observations: Observations) -> None:
        workers: dict[str, list[str]] = {}
        for machine in hosts.machines:
            workers.setdefault(machine.hall, []).append(machine.address)
        shape = self._plan.shape
        vm_faults = VmFaults(self._entries, self._platform, workers)
        store_faults = StoreFaults(self._platform)
        worker_faults = WorkerFaults(hosts, shape.times)
        actions = vm_faults.actions | store_faults.actions | worker_faults.actions
        injectors = [FaultInjector(shape.faults, actions, self._fault_rng)]
        for number, mix in enumerate(shape.more_faults):
            rng = random.Random(f"{self._plan.seed} more faults {number}")
            injectors.append(FaultInjector(mix, actions, rng))
        try:
            await asyncio.gather(*(injector.run(self._plan.seconds) for injector in injectors))
        finally:
            for injector in injectors:
                await injector.stop()
            observations.faults = sorted(
                (fault for injector in injectors for fault in injector.injected),
                key=lambda fault: fault.began_s,
            )
            vm_faults.heal()
            store_faults.heal()
            await worker_faults.heal()

    async def _start_hosts(self) -> WorkerHosts:
        address = f"{LOOPBACK}:{self._platform.records_port}"
        hosts = WorkerHosts(self._plan.shape, address, self._folder, seed=self._plan.seed)
        await hosts.start()
        return hosts

    async def _start_entries(self) -> None:
        times = self._plan.shape.times
        for site in self._sites:
            store = f"{LOOPBACK}:{self._platform.ports[site.name]}"
            scheduling = self._plan.shape.scheduling
            entry = EntryProcess(site, self._folder, store, times, self._plan.program, scheduling)
            entry.write_settings()
            self._entries.append(entry)
        await asyncio.gather(*(entry.start() for entry in self._entries))
        async with asyncio.timeout(READY_TIMEOUT_S):
            await Readiness(self._entries).until_all_ready()
            while self._platform.terms.current is None:
                await asyncio.sleep(0.05)


def entry_sites(shape: SoakShape, network: int = FIRST_NETWORK) -> list[EntrySite]:
    """Return the sites of a shape's entry VMs, each with a loopback address of its own.

    :param network: the second byte of their addresses.
    """
    return [
        EntrySite(
            name=f"{hall.name}-entry-{number}",
            hall=hall.name,
            address=f"127.{network}.{hall_number}.{number}",
            strong=number <= hall.strong_vms,
        )
        for hall_number, hall in enumerate(shape.halls, start=1)
        for number in range(1, hall.vms + 1)
    ]


def _bandwidths(shape: SoakShape, sites: Sequence[EntrySite]) -> dict[str, float]:
    """Return the bandwidth of the VMs whose links to the store are limited."""
    bandwidth = shape.weak_link_bytes_s
    if bandwidth is None:
        return {}
    return {site.name: bandwidth for site in sites if not site.strong}


async def run(plan: SoakPlan) -> SoakReport:
    """Run a plan; the logs are kept if an invariant was violated.

    SIGTERM ends the soak like SIGINT: its processes are ended first.
    """
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    folder = Path(tempfile.mkdtemp(prefix="saddlestack-soak-"))
    report = await Soak(plan, folder).run()
    if report.good and not plan.keep_logs:
        shutil.rmtree(folder)
    else:
        report.logs = str(folder)
    return report
