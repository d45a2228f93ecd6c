"""The daemon of an entry VM: builds its services and starts and stops them in order."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import random
import signal
import time
from typing import TypeVar

from saddlestack.kernel.clock import Clock, SystemClock
from saddlestack.kernel.registry import Registry
from saddlestack.kernel.service import Service, TaskGroup
from saddlestack.models import Document
from saddlestack.platform.store import StoreClient
from saddlestack.services import names
from saddlestack.services.audit import Audit
from saddlestack.services.claims import Claims
from saddlestack.services.configuration import Configuration
from saddlestack.services.context import Context
from saddlestack.services.intake import Intake
from saddlestack.services.inventory import Inventory
from saddlestack.services.membership import Membership
from saddlestack.services.metrics import Metrics
from saddlestack.services.ownership import Ownership
from saddlestack.services.router import Router
from saddlestack.services.rpc import Rpc
from saddlestack.settings import Settings
from saddlestack.wire.dialer import Dialer

log = logging.getLogger("saddlestack.daemon")

STORE_SHARE_INTERVAL_S = 1.0

S = TypeVar("S", bound=Service)


class Daemon:
    """All services of one entry VM.

    :param incarnation: must increase with each start; defaults to wall-clock milliseconds.
    """

    def __init__(
        self,
        settings: Settings,
        *,
        clock: Clock | None = None,
        dialer: Dialer | None = None,
        rng: random.Random | None = None,
        incarnation: int | None = None,
    ) -> None:
        self.settings = settings
        self.registry = Registry()
        self.context = Context(
            settings=settings,
            clock=clock or SystemClock(),
            dialer=dialer or Dialer(),
            rng=rng or random.Random(),
            registry=self.registry,
            incarnation=incarnation or int(time.time() * 1000),
        )
        self._tasks = TaskGroup("daemon")
        self.stop_requested = asyncio.Event()
        self._services: list[Service] = []
        self._build()

    def _build(self) -> None:
        context = self.context
        self.store = StoreClient(
            self.settings.store.address,
            self.settings.store.port,
            context.clock,
            dialer=context.dialer,
            token=self.settings.store_token,
        )
        self.registry.add(names.STORE, self.store)
        self.registry.add(names.RPC, Rpc())
        self.metrics = self._add(Metrics(context.vm, context.clock))
        self.membership = self._add(Membership(context))
        self.inventory = self._add(Inventory(context))
        self.audit = self._add(Audit(context))
        self.configuration = self._add(Configuration(context))
        self.claims = self._add(Claims(context))
        self.ownership = self._add(Ownership(context))
        self.router = self._add(Router(context))
        self.intake = self._add(Intake(context))
        self.configuration.subscribe(self._on_configuration)
        self._register_gauges()

    def _register_gauges(self) -> None:
        register = self.metrics.gauge
        register("bytes_peers", lambda: self.membership.bytes)
        register("bytes_store", lambda: self.store.bytes)
        register("bytes_vm_list", lambda: self.inventory.bytes)
        register("bytes_endpoints", lambda: sum(s.bytes for s in self.ownership.schedulers))
        register("store_calls", lambda: self.store.calls)
        register("store_writes", lambda: self.store.writes)

    def _on_configuration(self, document: Document) -> None:
        """Request a planned stop if an operator drains this VM with `vm drain`."""
        if self.settings.vm in document.leaving:
            self.stop_requested.set()

    def _add(self, service: S) -> S:
        self.registry.add(service.name, service)
        self._services.append(service)
        return service

    async def start(self) -> None:
        """Start all services, the intake last."""
        for service in self._services:
            await service.start()
        self._tasks.spawn(self._share_store_limits())
        log.info(
            "daemon started",
            extra={
                "event": "daemon_started",
                "vm": self.settings.vm,
                "data_hall": self.settings.data_hall,
                "http_port": self.http_port,
                "peer_port": self.peer_port,
            },
        )

    @property
    def http_port(self) -> int:
        """The port that serves callers and operators."""
        return self.intake.server.port

    @property
    def peer_port(self) -> int:
        """The port that other entry VMs connect to."""
        return self.membership.port

    async def drain(self) -> None:
        """Stop as planned: become not ready, hand over cells, finish requests, then stop."""
        log.info("draining", extra={"event": "draining", "vm": self.settings.vm})
        self.intake.begin_stop(self.settings.drain_s)
        await self.ownership.hand_over()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.settings.drain_s + 5.0):
                await self.intake.server.drain()
        await self.stop()

    async def stop(self) -> None:
        """Stop all services, the intake first."""
        await self._tasks.cancel()
        for service in reversed(self._services):
            await service.stop()
        self.store.close()
        log.info("daemon stopped", extra={"event": "daemon_stopped", "vm": self.settings.vm})

    def abort(self) -> None:
        """Close all listening sockets and links immediately, as if the process died."""
        self.intake.server.abort()
        self.membership.abort()

    async def _share_store_limits(self) -> None:
        """Update this VM's share of the store's rate limits as the number of live VMs changes."""
        while True:
            self.store.share_among(len(self.membership.alive()))
            await asyncio.sleep(STORE_SHARE_INTERVAL_S)


async def serve(settings: Settings) -> None:
    """Run a daemon until SIGTERM, SIGINT or an operator's `vm drain`, then stop it as planned."""
    daemon = Daemon(settings)
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, daemon.stop_requested.set)
    await daemon.start()
    await daemon.stop_requested.wait()
    await daemon.drain()
