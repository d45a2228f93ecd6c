"""The stand-in platform of a soak: one store and some workers, each behind proxies."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from saddlestack.interfaces.workers import StartOrder, StartReply, WorkerReport, WorkerUnreachable
from saddlestack.platform.serving import StoreServing, WorkerServing
from saddlestack.soak.proxy import Proxy
from saddlestack.standins.pool.documents import SERVICE, pool_document
from saddlestack.standins.pool.store import StoreState, StoreView
from saddlestack.standins.pool.workers import Floor, FloorTimes, FloorWorker
from saddlestack.standins.ports import LOOPBACK
from saddlestack.wire.http import HttpServer, Request, Response

ATTEMPTS = 4
GUARANTEED = 16
HALL = "hall-1"


@dataclass(slots=True)
class _Desk:
    """One life of a worker, as its calls see it."""

    floor: Floor
    worker: FloorWorker

    @property
    def worker_id(self) -> str:
        return self.worker.worker_id

    def clock_ms(self) -> int:
        return self.floor.clock_ms()

    def start(self, order: StartOrder) -> StartReply:
        return self.floor.start(self.worker, order)

    def stop(self, task: str, run: int, fence: int) -> None:
        self.floor.stop(self.worker, task, run, fence)

    def pace(self, task: str, run: int, percent: int, fence: int) -> None:
        self.floor.pace(self.worker, task, run, percent, fence)

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float
    ) -> WorkerReport:
        return await self.floor.hold(self.worker, fence, deadline_ms, seen, wait_s)


class WorkerMachine:
    """A worker's machine: one address behind a proxy, one life after the other."""

    def __init__(self, floor: Floor, rack: str) -> None:
        self._floor = floor
        self._rack = rack
        self._server = HttpServer(self._handle)
        self._serving: WorkerServing | None = None
        self.worker: FloorWorker | None = None
        self.proxy: Proxy | None = None

    async def start(self) -> None:
        """Serve, and begin a first life."""
        await self._server.start(LOOPBACK, 0)
        self.proxy = Proxy(LOOPBACK, LOOPBACK, self._server.port)
        await self.proxy.start()
        self.begin_life()

    async def stop(self) -> None:
        """Serve no more."""
        if self.proxy is not None:
            await self.proxy.stop()
        await self._server.stop()

    def begin_life(self) -> None:
        """A new life at the same address; the one before is over."""
        assert self.proxy is not None
        if self.worker is not None:
            self._floor.crash(self.worker, recorded=False)
        worker = self._floor.add(self._rack, HALL)
        worker.address = f"{LOOPBACK}:{self.proxy.port}"
        self._floor.record(worker)
        self.worker = worker
        self._serving = WorkerServing(_Desk(self._floor, worker))

    async def _handle(self, request: Request) -> Response:
        assert self._serving is not None
        try:
            return await self._serving.handle(request)
        except WorkerUnreachable:
            return Response(500)


class SoakPlatform:
    """The store, its proxies by VM, and the workers.

    :param workers: machines with workers.
    """

    def __init__(self, workers: int) -> None:
        self.store = StoreState()
        self.view = StoreView(self.store)
        self._server = HttpServer(StoreServing(self.view).handle)
        self.floor = Floor(self.store, SERVICE, FloorTimes(hold_s=4.0, stop_s=0.3))
        self.machines = [WorkerMachine(self.floor, f"r{n % 2 + 1}-1") for n in range(workers)]
        self.proxies: dict[str, Proxy] = {}
        self._advancing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve."""
        await self._server.start(LOOPBACK, 0)
        self._configure()
        for machine in self.machines:
            await machine.start()
        self._advancing = asyncio.get_running_loop().create_task(self.floor.run())

    @property
    def alive(self) -> bool:
        """Whether work goes on at the workers."""
        return self._advancing is not None and not self._advancing.done()

    async def stop(self) -> None:
        """Serve no more."""
        if self._advancing is not None:
            self._advancing.cancel()
        for machine in self.machines:
            await machine.stop()
        for proxy in self.proxies.values():
            await proxy.stop()
        await self._server.stop()

    async def way_to_store(self, vm: str) -> Proxy:
        """A VM's own way to the store."""
        proxy = Proxy(LOOPBACK, LOOPBACK, self._server.port)
        await proxy.start()
        self.proxies[vm] = proxy
        return proxy

    def _configure(self) -> None:
        document = pool_document(1, attempts=ATTEMPTS, guaranteed=GUARANTEED)
        self.store.put("op/config", document)
