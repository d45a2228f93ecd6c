"""Entry VMs, a store and workers in one process, on a virtual clock."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field, replace

from saddlestack.control.entry import EntryVm
from saddlestack.control.settings import EntrySettings, Timings
from saddlestack.interfaces.clients import ClientCall
from saddlestack.interfaces.documents import Queue
from saddlestack.interfaces.store import MetadataStore
from saddlestack.interfaces.workers import WorkerOrders, WorkerRecord
from saddlestack.platform.handlers import StoreHandler
from saddlestack.platform.kv import KvStore
from saddlestack.standins.loop import VirtualClock
from saddlestack.standins.network import Link, LinkDialer
from saddlestack.standins.pool.documents import ACCOUNT, HOST, QUEUES, SERVICE, pool_document
from saddlestack.standins.pool.machines import PoolAdviser, PoolMachines
from saddlestack.standins.pool.orders import PoolWorkerOrders
from saddlestack.standins.pool.store import StoreState, StoreView
from saddlestack.standins.pool.workers import TaskPlan, WorkerPool, WorkerTimes, payload
from saddlestack.standins.ports import free_ports
from saddlestack.wire.http import HttpServer
from saddlestack.work import JobRequest, JobState, Resources, Step

ATTEMPTS = 3
GUARANTEED = 16
RETENTION_S = 150.0
STARTED_S = 30.0
STEP_S = 0.05


@dataclass(slots=True)
class _Member:
    vm: EntryVm
    view: StoreView
    link: Link | None = None
    store_server: HttpServer | None = None
    cut_from_workers: bool = False


@dataclass(slots=True)
class PoolCluster:
    """A small deployment on stand-ins.

    :param entries: number of entry VMs.
    :param racks: number of racks, each in a data hall of its own.
    :param workers: number of workers per rack.
    :param advised: queues whose starts need the adviser's approval.
    :param links: bandwidth of entry VMs by name, in bytes per second. Such a VM calls the store
        over HTTP, and receives its answers and those of other VMs over the link.
    :param members: entry VMs by name.
    :param version: version of the configuration.
    :ivar contacted_workers: incarnation names of the workers that some VM has created orders for.
    """

    entries: int = 3
    racks: int = 2
    workers: int = 2
    seed: int = 1
    times: WorkerTimes = field(default_factory=WorkerTimes)
    store: StoreState = field(default_factory=StoreState)
    worker_pool: WorkerPool = field(init=False)
    machines: PoolMachines = field(init=False)
    adviser: PoolAdviser = field(default_factory=PoolAdviser)
    advised: frozenset[str] = frozenset()
    links: Mapping[str, float] = field(default_factory=dict)
    members: dict[str, _Member] = field(default_factory=dict)
    version: int = 0
    contacted_workers: set[str] = field(default_factory=set)
    _calls: dict[str, ClientCall] = field(default_factory=dict)
    _vm_count: int = 0
    _pool_task: asyncio.Task[None] | None = None

    def __post_init__(self) -> None:
        self.worker_pool = WorkerPool(self.store, SERVICE, self.times)
        self.machines = PoolMachines(self.worker_pool)
        if self.advised:
            self.worker_pool.adviser = self.adviser

    async def start(self) -> None:
        """Start the workers and the entry VMs, and wait for a leader."""
        self.configure()
        for rack in range(self.racks):
            for _ in range(self.workers):
                self.worker_pool.add(f"r{rack + 1}-1", f"hall-{rack + 1}")
        self._pool_task = asyncio.get_running_loop().create_task(self.worker_pool.run())
        for number in range(self.entries):
            await self.add_entry(f"entry-{number + 1}")
        await self.until(lambda: self.leader is not None)

    async def stop(self) -> None:
        """Stop all entry VMs and the worker pool."""
        for name in list(self.members):
            await self.kill(name)
        if self._pool_task is not None:
            self._pool_task.cancel()

    async def add_entry(self, name: str) -> EntryVm:
        """Start an entry VM."""
        self._vm_count += 1
        view = StoreView(self.store)
        link = Link(self.links[name]) if name in self.links else None
        store_server, store = await _serve(view, link)
        vm = EntryVm(
            _settings(name, self.times),
            clock=VirtualClock(),
            rng=random.Random(self.seed * 1000 + self._vm_count),
            dialer=None if link is None else LinkDialer(link),
            store=store,
            orders=lambda record: self._orders(name, record),
            machines=self.machines,
            adviser=self.adviser,
        )
        self.members[name] = _Member(vm, view, link, store_server)
        await vm.start()
        return vm

    async def kill(self, name: str) -> None:
        """Kill an entry VM: it sends nothing more to the store or the workers."""
        member = self.members.pop(name)
        member.view.faults.silent = True
        member.cut_from_workers = True
        member.vm.abort()
        await member.vm.stop()
        if member.store_server is not None:
            await member.store_server.stop()

    def member(self, name: str) -> _Member:
        """An entry VM and its connections to the store and the workers."""
        return self.members[name]

    @property
    def leader(self) -> EntryVm | None:
        """The entry VM whose scheduler has loaded its state and still leads, if any."""
        for member in self.members.values():
            scheduler = member.vm.scheduler
            if scheduler is not None and scheduler.loaded.is_set() and not scheduler.over:
                return member.vm
        return None

    @property
    def leader_name(self) -> str:
        """The name of the leader."""
        leader = self.leader
        assert leader is not None
        return leader.settings.vm

    def configure(
        self,
        *,
        guaranteed: int = GUARANTEED,
        more_queues: Collection[str] = (),
        open_queues: Collection[str] = (),
        more_keys: Collection[str] = (),
    ) -> None:
        """Write a new version of the configuration to the store.

        :param more_queues: names of additional queues.
        :param open_queues: those of the queues that need no API key.
        :param more_keys: additional API keys of the first account.
        """
        self.version += 1
        document = pool_document(
            self.version,
            attempts=ATTEMPTS,
            guaranteed=guaranteed,
            advised=self.advised,
            more_queues=more_queues,
            open_queues=open_queues,
            more_keys=more_keys,
        )
        self.store.put("op/config", document)

    def evacuate(self, hall: str) -> None:
        """Order the evacuation of a data hall: nothing more starts there."""
        self.store.put(f"op/evacuate/{hall}", b"{}")

    def end_evacuation(self, hall: str) -> None:
        """End the evacuation of a data hall."""
        self.store.remove(f"op/evacuate/{hall}")

    def call(self, queue: str, *, account: str = ACCOUNT) -> ClientCall:
        """Return a client's call to a queue."""
        priority = dict(QUEUES)[queue]
        return ClientCall(
            Queue(
                name=queue,
                host=HOST,
                prefix=f"/{queue}/",
                service=SERVICE,
                priority=priority,
                attempts=ATTEMPTS,
                stretch=1.5,
                target_ms=250.0,
                timeout_ms=3000.0,
                open=False,
            ),
            account,
            3.0,
        )

    async def submit(
        self,
        job_id: str,
        request: JobRequest,
        *,
        queue: str = "normal",
        at: str | None = None,
        account: str = ACCOUNT,
    ) -> None:
        """Submit a job.

        :param at: name of the entry VM; any if ``None``.
        """
        name = at or next(iter(self.members))
        call = self._calls[job_id] = self.call(queue, account=account)
        await self.members[name].vm.jobs.submit(call, job_id, request)

    async def cancel(self, job_id: str) -> bool:
        """Cancel a job through any entry VM, as the account that submitted it."""
        member = next(iter(self.members.values()))
        return await member.vm.jobs.cancel(self._call_about(job_id), job_id)

    async def state(self, job_id: str, *, at: str | None = None) -> JobState | None:
        """Return the state of a job, as the account that submitted it sees it.

        :param at: name of the entry VM that is asked; any if ``None``.
        """
        name = at or next(iter(self.members))
        return await self.members[name].vm.jobs.state(self._call_about(job_id), job_id)

    def _call_about(self, job_id: str) -> ClientCall:
        """The call that submitted a job, or one of the first account that names no queue."""
        call = self._calls.get(job_id)
        return call or replace(self.call("normal"), names_queue=False)

    async def until(self, holds: Callable[[], bool], timeout_s: float = STARTED_S) -> None:
        """Wait until a condition holds.

        :raises TimeoutError: it does not hold within ``timeout_s``.
        """
        async with asyncio.timeout(timeout_s):
            while not holds():
                await asyncio.sleep(STEP_S)

    async def until_state(self, job_id: str, state: JobState, timeout_s: float = STARTED_S) -> None:
        """Wait until a job's published state is ``state``.

        :raises TimeoutError: it is not within ``timeout_s``.
        """
        async with asyncio.timeout(timeout_s):
            while await self.state(job_id) is not state:
                await asyncio.sleep(STEP_S)

    def _orders(self, name: str, record: WorkerRecord) -> WorkerOrders:
        self.contacted_workers.add(record.worker_id)
        incarnation = record.worker_id
        worker = self.worker_pool.workers.get(incarnation) or self.worker_pool.latest_incarnation(
            incarnation
        )
        return PoolWorkerOrders(
            self.worker_pool, worker, lambda: self._is_connected(name), record.address, incarnation
        )

    def _is_connected(self, name: str) -> bool:
        member = self.members.get(name)
        return member is not None and not member.cut_from_workers


def job(
    tasks: int,
    *,
    work_s: float = 1.0,
    accelerators: int = 1,
    gang: bool = False,
    failures: int = 0,
    checkpoint: bool = False,
    same_rack: bool = False,
    crashes_s: float = 0.0,
) -> JobRequest:
    """Return a job of one step.

    :param work_s: seconds of work of each task.
    :param failures: number of runs of each task that fail.
    :param crashes_s: seconds after which the first task crashes its worker; 0 for never.
    """
    plan = TaskPlan(work_s, failures, accelerators, tasks if gang else 0, crashes_s=crashes_s)
    step = Step(
        count=tasks,
        needs=Resources(1000, 1024, accelerators),
        estimate_ms=round(work_s * 1000),
        gang=gang,
        checkpoint=checkpoint,
        same_rack=same_rack,
    )
    return JobRequest(payload=payload(plan), steps=(step,))


async def _serve(view: StoreView, link: Link | None) -> tuple[HttpServer | None, MetadataStore]:
    """Serve the store over HTTP to a VM that has a link."""
    if link is None:
        return None, view
    server = HttpServer(StoreHandler(view).handle)
    await server.start("127.0.0.1", 0)
    return server, KvStore("127.0.0.1", server.port, dialer=LinkDialer(link))


def _settings(name: str, times: WorkerTimes) -> EntrySettings:
    first = free_ports(2)
    return EntrySettings(
        vm=name,
        data_hall="hall-1",
        clients="127.0.0.1:0",
        readiness="127.0.0.1:0",
        peer_ports=(first, 65_535),
        store="127.0.0.1:1",
        callers="127.0.0.1:0",
        timings=Timings(
            longest_hold_ms=round(times.hold_s * 1000),
            grace_s=6.0,
            status_s=120.0,
            retention_s=RETENTION_S,
        ),
    )
