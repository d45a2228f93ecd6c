"""The process of an entry VM on the platform's machines: starts and stops its services."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import signal
import time
from pathlib import Path

from saddlestack.control.access import StoreAccess
from saddlestack.control.configuration import Configuration
from saddlestack.control.configuration_copies import ConfigurationCopies
from saddlestack.control.configured_calls import ConfiguredCalls
from saddlestack.control.context import EntryContext, OrdersFactory
from saddlestack.control.guarded import GuardedStore
from saddlestack.control.halls import PingQuestion, answer_ping
from saddlestack.control.health import StoreHealth
from saddlestack.control.jobaccess import JobAccessCheck
from saddlestack.control.jobapi import JobApi
from saddlestack.control.jobs import Jobs
from saddlestack.control.leaderrpc import LeaderRpc
from saddlestack.control.leadership import Leadership, Term
from saddlestack.control.membership import Membership
from saddlestack.control.peers import Peers
from saddlestack.control.refresh import ConfigurationRefresh
from saddlestack.control.relays import Relays
from saddlestack.control.renewals import Renewals
from saddlestack.control.scheduler import Scheduler
from saddlestack.control.settings import EntrySettings, load, parse_address
from saddlestack.control.waits import reset_gauges
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.documents import DocumentReader
from saddlestack.interfaces.machines import Adviser, Machines
from saddlestack.interfaces.store import MetadataStore
from saddlestack.interfaces.workers import WorkerOrders, WorkerRecord
from saddlestack.kernel.clock import Clock, SystemClock
from saddlestack.kernel.service import TaskGroup
from saddlestack.platform.documents import PlatformDocuments
from saddlestack.platform.gateway import Gateway
from saddlestack.platform.kv import KvStore
from saddlestack.platform.machines import HttpAdviser, HttpMachines
from saddlestack.platform.orders import HttpWorkerOrders
from saddlestack.services.metrics import Metrics, as_text
from saddlestack.wire.dialer import Dialer
from saddlestack.wire.http import HttpServer, Request, Response

log = logging.getLogger("saddlestack.entry")

MAX_CONNECTIONS = 3000
DRAIN_DELAY_S = 2.2
"""How long the platform still routes new connections to a VM after a stop was requested."""
CLOSE_RESERVE_S = 0.5
METRICS_PATH = "/metrics"


class EntryVm:
    """All services of one entry VM."""

    def __init__(
        self,
        settings: EntrySettings,
        *,
        clock: Clock | None = None,
        rng: random.Random | None = None,
        dialer: Dialer | None = None,
        store: MetadataStore | None = None,
        documents: DocumentReader | None = None,
        orders: OrdersFactory | None = None,
        machines: Machines | None = None,
        adviser: Adviser | None = None,
    ) -> None:
        self.settings = settings
        dialer = dialer or Dialer()
        clock = clock or SystemClock()
        self.metrics = Metrics(settings.vm, clock)
        reset_gauges(self.metrics)
        store = store or _open_store(settings.store, dialer)
        self.health = StoreHealth(store, clock)
        self.context = EntryContext(
            settings=settings,
            clock=clock,
            rng=rng or random.Random(),
            dialer=dialer,
            incarnation=time.time_ns() // 1_000_000,
            store=GuardedStore(store, self.health),
            health=self.health,
            documents=documents or PlatformDocuments(),
            orders=orders or _orders_factory(dialer),
            metrics=self.metrics,
            machines=machines or _open_machines(settings.machines, dialer),
            adviser=adviser or _open_adviser(settings.adviser, dialer),
        )
        self.configuration = Configuration(self.context)
        self.membership = Membership(self.context)
        self.peers = Peers(self.context, self.membership)
        self.peers.serve(PingQuestion, answer_ping)
        self.renewals = Renewals(self.peers, self.membership, self._renews)
        self.leadership = Leadership(self.context, self, lambda: self.membership.is_listed)
        access_check = JobAccessCheck(self.configuration)
        leader_rpc = LeaderRpc(self.peers, self.leadership, lambda: self.scheduler, access_check)
        relays = Relays(self.peers, self.membership, self.health)
        access = StoreAccess(self.context, self.peers, relays)
        copies = ConfigurationCopies(self.context, self.configuration, self.peers, self.membership)
        self.configuration.update_from(copies.update)
        self.refresh = ConfigurationRefresh(self.context, self.configuration, copies)
        self.jobs = Jobs(self.context, access, leader_rpc, access_check)
        gateway = Gateway(self.jobs, lambda: self.configuration.current, self._is_ready)
        client_calls = ConfiguredCalls(gateway.handle, self.configuration, self.refresh)
        self.clients = HttpServer(client_calls.handle, max_connections=MAX_CONNECTIONS)
        self.readiness = HttpServer(gateway.readiness)
        self.metrics_server = HttpServer(self._serve_metrics)
        api = JobApi(self.jobs, lambda: self.configuration.current)
        callers = ConfiguredCalls(api.handle, self.configuration, self.refresh)
        self.callers = HttpServer(callers.handle, max_connections=MAX_CONNECTIONS)
        self.scheduler: Scheduler | None = None
        self._stopping = 0
        self.stop_requested = asyncio.Event()
        self._tasks = TaskGroup("entry")

    async def start(self) -> None:
        """Starts to serve clients and to take part in scheduling."""
        await self.peers.start()
        for server, text in (
            (self.clients, self.settings.clients),
            (self.readiness, self.settings.readiness),
        ):
            address = parse_address(text)
            await server.start(address.address, address.port)
        figures = self.settings.metrics_address
        await self.metrics_server.start(figures.address, figures.port)
        if self.settings.callers is not None:
            address = parse_address(self.settings.callers)
            await self.callers.start(address.address, address.port)
        await self.health.start()
        await self.configuration.start()
        await self.membership.start()
        await self.leadership.start()
        await self.refresh.start()
        log.info("started", extra={"event": "started", "data_hall": self.settings.data_hall})

    async def drain(self) -> None:
        """Stops as planned: hands over the leadership, and answers requests that were received."""
        log.info("stopping", extra={"event": "stopping"})
        self.stop_requested.set()
        await self.leadership.resign()
        await asyncio.sleep(DRAIN_DELAY_S)
        grace_s = self.settings.timings.grace_s - DRAIN_DELAY_S - CLOSE_RESERVE_S
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(max(0.5, grace_s)):
                await asyncio.gather(self.clients.drain(), self.callers.drain())
        await self.stop()

    async def stop(self) -> None:
        """Stops leading, then stops all services of this VM."""
        await self.deposed()
        await self.leadership.stop()
        await self.membership.stop()
        await self.configuration.stop()
        await self.health.stop()
        await self.clients.stop()
        await self.readiness.stop()
        await self.metrics_server.stop()
        await self.callers.stop()
        await self.refresh.stop()
        await self.peers.stop()
        await self._tasks.cancel()
        log.info("stopped", extra={"event": "stopped"})

    def abort(self) -> None:
        """Closes all sockets at once, as if the process had died."""
        self.clients.abort()
        self.readiness.abort()
        self.metrics_server.abort()
        self.callers.abort()

    async def elected(self, term: Term) -> None:
        """Starts the scheduler when this VM becomes the leader."""
        await self.deposed()
        self.scheduler = Scheduler(
            self.context,
            term,
            self.configuration,
            self.peers,
            self.membership,
            self.renewals,
            lambda: self.leadership.grants_until(term),
            lambda: self.leadership.is_confirmed(term),
            lambda: self._end_term(term),
        )
        await self.scheduler.run()

    async def deposed(self) -> None:
        """Stops the scheduler when this VM is no longer the leader."""
        scheduler, self.scheduler = self.scheduler, None
        if scheduler is None:
            return
        self._stopping += 1
        try:
            await scheduler.stop()
        finally:
            self._stopping -= 1

    def _renews(self) -> bool:
        """Whether this VM renews workers' leases, or may just have done so."""
        return self.scheduler is not None or self._stopping > 0

    def _end_term(self, term: Term) -> None:
        """Ends the term after its scheduler found that another leader has taken over."""
        self._tasks.spawn(self.leadership.end_term(term))

    async def _serve_metrics(self, request: Request) -> Response:
        """Serves counters and latencies as text."""
        if request.path != METRICS_PATH:
            return Response(404)
        text = as_text(self.metrics.view())
        return Response(200, text.encode(), content_type="text/plain")

    def _is_ready(self) -> bool:
        configured = self.configuration.current is not None
        return configured and self.health.is_available and not self.stop_requested.is_set()


def _open_store(text: str, dialer: Dialer) -> MetadataStore:
    address = parse_address(text)
    return KvStore(address.address, address.port, dialer=dialer)


def _orders_factory(dialer: Dialer) -> OrdersFactory:
    def open_orders(record: WorkerRecord) -> WorkerOrders:
        address = parse_address(record.address)
        return HttpWorkerOrders(record.worker_id, address.address, address.port, dialer=dialer)

    return open_orders


def _open_machines(text: str | None, dialer: Dialer) -> Machines | None:
    if text is None:
        return None
    address = parse_address(text)
    return HttpMachines(address.address, address.port, dialer=dialer)


def _open_adviser(text: str | None, dialer: Dialer) -> Adviser | None:
    if text is None:
        return None
    address = parse_address(text)
    return HttpAdviser(address.address, address.port, dialer=dialer)


async def serve(settings: EntrySettings, path: Path) -> None:
    """Runs an entry VM until SIGTERM or SIGINT, then drains it. SIGHUP checks the settings file."""
    entry = EntryVm(settings)
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, entry.stop_requested.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, path)
    await entry.start()
    await entry.stop_requested.wait()
    await entry.drain()


def _reload(path: Path) -> None:
    """Checks the settings file again.

    The settings that were read at the start stay in force until the process ends.
    """
    try:
        load(path)
    except SaddlestackError as error:
        log.error("invalid settings", extra={"event": "reload_failed", "reason": str(error)})
        return
    log.info("settings checked again", extra={"event": "reload"})
