"""Entry VMs, workers and a store on one virtual clock, with operations that disturb them."""

from __future__ import annotations

import asyncio
import itertools
import random
import unittest.mock
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

import msgspec

from saddlestack.control import entry as entry_module
from saddlestack.control.entry import EntryVm
from saddlestack.control.settings import EntrySettings, Scheduling, Timings
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.clients import ClientCall
from saddlestack.interfaces.documents import Queue
from saddlestack.interfaces.workers import WorkerRecord
from saddlestack.standins.pool.documents import ACCOUNT, HOST, QUEUES, SERVICE, pool_document
from saddlestack.work import JobRequest, JobState
from tests.simulation.loops import SharedClock, SharedLoop, Timeline
from tests.simulation.ways import SimOrders, SimPeers, SimStore, WatchedStore, Ways
from tests.simulation.workers import HOLD_S, SimWorker, Workers

ATTEMPTS = 3
OBJECTIVE = (1.5, 250.0)
"""Stretch and milliseconds of the objective of a queue."""
HEARTBEAT_S = 1.5
LAPSE_HEARTBEATS = 3.0
LAPSE_CHECK_S = 0.1


@dataclass(slots=True)
class Shape:
    """The size and the settings of a deployment.

    :param tells_clock: whether workers write their clock with each heartbeat.
    :param retention_s: how long a job that is over is kept.
    :param stop_s: the longest time that a stop takes.
    :param scheduling: the optional scheduling decisions of the VMs.
    :param objectives: stretch and milliseconds of the objective of queues that differ from
        :data:`OBJECTIVE`.
    """

    entries: int = 3
    halls: int = 2
    racks: int = 4
    workers: int = 12
    guaranteed: int = 32
    tells_clock: bool = True
    retention_s: float = 150.0
    stop_s: float = 0.5
    scheduling: Scheduling = field(default_factory=Scheduling)
    objectives: Mapping[str, tuple[float, float]] = field(default_factory=dict)


@dataclass(slots=True, eq=False)
class Vm:
    """One incarnation of an entry VM."""

    name: str
    hall: str
    loop: SharedLoop
    entry: EntryVm | None = None

    @property
    def leads(self) -> bool:
        """Whether it schedules."""
        scheduler = None if self.entry is None else self.entry.scheduler
        return scheduler is not None and scheduler.loaded.is_set() and not scheduler.over


@dataclass(slots=True, eq=False)
class Heartbeats:
    """The heartbeats of one incarnation of a worker to the store.

    :param cut_until: until then it cannot reach the store.
    :param written_s: when its record was last written.
    :param written: the value that was last written.
    :param leaves_s: the announced end of a draining worker.
    :param told_ms: the worker's clock in its record.
    :param remaining_ms: the remaining time in the record of a draining worker.
    :param removed: whether the worker has removed its record.
    """

    worker: SimWorker
    cut_until: float = 0.0
    written_s: float = 0.0
    written: bytes = b""
    leaves_s: float | None = None
    told_ms: int = 0
    remaining_ms: int = 0
    removed: bool = False


class _NullServer:
    """A server without sockets: client calls are made in-process."""

    def __init__(self, *args: object, **kwargs: object) -> None:
        pass

    async def start(self, *args: object) -> None:
        """Do nothing: there is no socket."""

    async def stop(self) -> None:
        """Nothing is open."""

    async def drain(self) -> None:
        """Nothing is open."""

    def abort(self) -> None:
        """Nothing is open."""


class _Time:
    """A clock for incarnation numbers that are the same each time a seed is run."""

    def __init__(self) -> None:
        self._numbers = itertools.count(1)

    def time_ns(self) -> int:
        """Return the next number of a rising sequence."""
        return next(self._numbers) * 1_000_000


@dataclass
class Deployment:
    """The VMs, workers, links and store of one simulated day."""

    shape: Shape
    seed: int
    timeline: Timeline = field(default_factory=Timeline)
    vms: dict[str, Vm] = field(default_factory=dict)
    heartbeats: dict[str, Heartbeats] = field(default_factory=dict)
    acknowledged: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.rng = random.Random(self.seed)
        self.world = self.timeline.loop("world", random.Random(0))
        self.ways = Ways(self.world, random.Random(self.rng.random()))
        self.store = WatchedStore(self.world)
        self.workers = Workers(self.world, random.Random(self.rng.random()), self.shape.stop_s)
        self._incarnations = itertools.count(1)
        self._patches = [
            unittest.mock.patch.object(entry_module, "HttpServer", _NullServer),
            unittest.mock.patch.object(entry_module, "time", _Time()),
            unittest.mock.patch.object(entry_module, "Peers", self._peers()),
        ]

    def _peers(self) -> type[SimPeers]:
        def reach(name: str) -> SimPeers | None:
            vm = self.vms.get(name)
            peers = None if vm is None or vm.entry is None else vm.entry.peers
            return peers if isinstance(peers, SimPeers) else None

        return type("DeployedPeers", (SimPeers,), {"ways": self.ways, "reach": staticmethod(reach)})

    def start(self) -> None:
        """Start the workers and the entry VMs."""
        for patch in self._patches:
            patch.start()
        self.world.call_soon(self._start)
        self.timeline.run(0.001)

    def close(self) -> None:
        """Remove the patches and close all loops."""
        for patch in self._patches:
            patch.stop()
        self.timeline.close()

    def _start(self) -> None:
        document = pool_document(1, attempts=ATTEMPTS, guaranteed=self.shape.guaranteed)
        self.store.put("op/config", document)
        for number in range(self.shape.workers):
            rack = number % self.shape.racks
            self.add_worker(f"r{rack + 1}-1", f"hall-{rack % self.shape.halls + 1}")
        for number in range(self.shape.entries):
            self.add_vm(f"entry-{number + 1}", f"hall-{number % self.shape.halls + 1}")
        self.world.call_later(LAPSE_CHECK_S, self._expire_records)

    def add_vm(self, name: str, hall: str) -> None:
        """Start a VM; its name may have been used by an earlier incarnation."""
        life = next(self._incarnations)
        loop = self.timeline.loop(name, random.Random(self.seed * 1000 + life))
        vm = Vm(name, hall, loop)
        self.vms[name] = vm
        loop.create_task(self._begin(vm, life))

    async def _begin(self, vm: Vm, life: int) -> None:
        vm.entry = EntryVm(
            _settings(vm, self.shape),
            clock=SharedClock(),
            rng=random.Random(self.seed * 1000 + life + 500),
            store=SimStore(self.ways, self.store, vm.name),
            orders=lambda record: self._orders(vm.name, record),
        )
        await vm.entry.start()

    def kill(self, name: str) -> None:
        """Kill a VM's process; messages that it has sent still arrive."""
        self.timeline.drop(self.vms.pop(name).loop)

    @property
    def leader(self) -> Vm | None:
        """The VM that schedules."""
        return next((vm for vm in self.vms.values() if vm.leads), None)

    @property
    def latest_leader(self) -> Vm | None:
        """The VM of the latest term; a VM of an earlier term may still consider itself leader."""
        return max((vm for vm in self.vms.values() if vm.leads), key=_fence, default=None)

    def _orders(self, vm: str, record: WorkerRecord) -> SimOrders:
        return SimOrders(self.ways, self.workers, vm, record.worker_id, record.address)

    def submit(
        self, vm: Vm, job_id: str, queue: str, request: JobRequest, account: str = ACCOUNT
    ) -> None:
        """Submit a job."""
        if vm.entry is not None:
            objective = self.shape.objectives.get(queue, OBJECTIVE)
            client = client_call(queue, account, objective)
            vm.loop.create_task(self._submit(vm, job_id, client, request))

    async def _submit(self, vm: Vm, job_id: str, client: ClientCall, request: JobRequest) -> None:
        assert vm.entry is not None
        try:
            await vm.entry.jobs.submit(client, job_id, request)
        except SaddlestackError:
            return
        self.acknowledged.add(job_id)

    def cancel(self, vm: Vm, job_id: str, queue: str, account: str = ACCOUNT) -> None:
        """Cancel a job."""
        if vm.entry is not None:
            vm.loop.create_task(self._cancel(vm, job_id, client_call(queue, account)))

    async def _cancel(self, vm: Vm, job_id: str, client: ClientCall) -> None:
        assert vm.entry is not None
        try:
            await vm.entry.jobs.cancel(client, job_id)
        except SaddlestackError:
            return

    def unfinished(self) -> list[str]:
        """Acknowledged jobs that the leader knows and doesn't publish as over.

        Without a leader, all acknowledged jobs.
        """
        leader = self.leader
        if leader is None or leader.entry is None or leader.entry.scheduler is None:
            return sorted(self.acknowledged)
        state = leader.entry.scheduler.state
        final = (None, JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED)
        return sorted(job for job in self.acknowledged if state(job) not in final)

    def add_worker(self, rack: str, hall: str, address: str = "") -> SimWorker:
        """Add a worker and start its heartbeats."""
        worker = self.workers.add(rack, hall, address)
        self._register(Heartbeats(worker))
        return worker

    def restart_worker(self, beats: Heartbeats) -> None:
        """Restart a worker that has ended under the same ID and address."""
        old = beats.worker
        worker = self.workers.add(old.rack, old.hall, old.address, old.worker_id)
        self._register(Heartbeats(worker, beats.cut_until))

    def _register(self, beats: Heartbeats) -> None:
        self.heartbeats[beats.worker.worker_id] = beats
        self._heartbeat(beats)

    def write(self, beats: Heartbeats) -> bool:
        """Write a worker's record; return ``False`` if it is not written."""
        now, worker = self.world.time(), beats.worker
        if now < beats.cut_until or not worker.up or beats.removed:
            return False
        if self.shape.tells_clock or not beats.told_ms:
            beats.told_ms = self.workers.clock_ms(worker)
        value = msgspec.json.encode(self._record(beats))
        key = f"servers/{worker.worker_id}"
        if self.store.item(key).value != value:
            self.store.put(key, value)
        beats.written_s = now
        beats.written = value
        return True

    def overwrite(self, beats: Heartbeats, change: dict[str, object] | None) -> None:
        """Change a worker's record as another writer; ``None`` makes it unreadable."""
        key = f"servers/{beats.worker.worker_id}"
        if self.store.item(key).revision:
            record = self._record(beats)
            self.store.put(key, b"\xff" if change is None else msgspec.json.encode(record | change))

    def is_listed(self, beats: Heartbeats) -> bool:
        """Whether the store holds a worker's record as the worker wrote it."""
        return self.store.peek(f"servers/{beats.worker.worker_id}") == beats.written

    def _record(self, beats: Heartbeats) -> dict[str, Any]:
        worker = beats.worker
        record: dict[str, Any] = {
            "service": SERVICE,
            "address": worker.address,
            "zone": worker.hall,
            "version": "v1",
            "slots": worker.room,
            "cold-left-ms": 0,
            "seq": 1,
            "state": "ready" if beats.leaves_s is None else "draining",
            "capacity": {"cpu": 32_000, "mem-mb": 65_536, "gpu": worker.room},
            "labels": ["a", worker.rack],
            "clock-ms": beats.told_ms,
            "machine": f"m-{worker.address}",
        }
        if worker.born:
            record["born"] = worker.born
        if beats.leaves_s is not None:
            if self.shape.tells_clock or not beats.remaining_ms:
                left_s = beats.leaves_s - self.world.time()
                beats.remaining_ms = max(0, round(left_s * 1000))
            record["remaining-ms"] = beats.remaining_ms
        return record

    def _heartbeat(self, beats: Heartbeats) -> None:
        if not beats.worker.up or beats.removed:
            return
        self.write(beats)
        self.world.call_later(HEARTBEAT_S * self.rng.uniform(0.9, 1.1), self._heartbeat, beats)

    def drain(self, beats: Heartbeats, drain_s: float, longer_s: float, early_s: float) -> None:
        """Let a worker announce its end and end later.

        :param drain_s: time to the announced end.
        :param longer_s: how long it continues to serve after the announced end.
        :param early_s: how long before its actual end it removes its record.
        """
        beats.leaves_s = self.world.time() + drain_s
        if not self.write(beats):
            self.world.call_later(0.2, self.drain, beats, drain_s, longer_s, early_s)
            return
        left_s = drain_s + longer_s
        self.world.call_later(max(0.0, left_s - early_s), self.remove_record, beats)
        self.world.call_later(left_s, self.end_worker, beats)

    def remove_record(self, beats: Heartbeats) -> None:
        """Remove a worker's record if it reaches the store; otherwise the record expires."""
        beats.removed = True
        if self.heartbeats[beats.worker.worker_id] is not beats:
            return
        if self.world.time() >= beats.cut_until:
            self.store.remove(f"servers/{beats.worker.worker_id}")

    def end_worker(self, beats: Heartbeats) -> None:
        """End an incarnation of a worker."""
        if beats.worker.up:
            self.workers.end(beats.worker)

    def _expire_records(self) -> None:
        now = self.world.time()
        for beats in self.heartbeats.values():
            if now - beats.written_s > LAPSE_HEARTBEATS * HEARTBEAT_S:
                self.store.remove(f"servers/{beats.worker.worker_id}")
        self.world.call_later(LAPSE_CHECK_S, self._expire_records)


def _settings(vm: Vm, shape: Shape) -> EntrySettings:
    return EntrySettings(
        vm=vm.name,
        data_hall=vm.hall,
        clients="127.0.0.1:0",
        readiness="127.0.0.1:0",
        peer_ports=(10_000, 10_001),
        store="127.0.0.1:1",
        timings=Timings(
            longest_hold_ms=HOLD_S * 1000,
            grace_s=6.0,
            status_s=30.0,
            retention_s=shape.retention_s,
        ),
        scheduling=shape.scheduling,
    )


def client_call(queue: str, account: str, objective: tuple[float, float] = OBJECTIVE) -> ClientCall:
    """Return a client call for a queue."""
    stretch, target_ms = objective
    return ClientCall(
        Queue(
            name=queue,
            host=HOST,
            prefix=f"/{queue}/",
            service=SERVICE,
            priority=dict(QUEUES)[queue],
            attempts=ATTEMPTS,
            stretch=stretch,
            target_ms=target_ms,
            timeout_ms=3000.0,
            open=False,
        ),
        account,
        3.0,
    )


def _fence(vm: Vm) -> int:
    assert vm.entry is not None
    assert vm.entry.scheduler is not None
    return vm.entry.scheduler.fence


def running_loop_name() -> str:
    """The name of the process whose loop is running."""
    try:
        loop = asyncio.get_running_loop()
    except RuntimeError:
        return "-"
    return loop.name if isinstance(loop, SharedLoop) else "-"
