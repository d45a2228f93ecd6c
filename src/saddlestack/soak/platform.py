"""The platform of a soak: its store, each VM's way to it, and who led when."""

from __future__ import annotations

import asyncio
import enum
import itertools
import random
from collections import deque
from collections.abc import Callable

import msgspec

from saddlestack.codec import from_json, to_json
from saddlestack.control.keys import LEADER
from saddlestack.control.leadership import LeaderRecord
from saddlestack.interfaces.store import Item, StoreUnavailable
from saddlestack.platform.documents import PLACES
from saddlestack.platform.serving import StoreServing
from saddlestack.soak.heartbeats import WorkerRecords
from saddlestack.soak.proxy import Proxy, Trouble
from saddlestack.soak.shape import SoakShape
from saddlestack.standins.pool.documents import HOST, SERVICE
from saddlestack.standins.pool.store import StoreState, StoreView
from saddlestack.standins.ports import LOOPBACK
from saddlestack.wire.http import HttpServer, Request, Response

KEEP_PATH = "/api/kv-keep/"
REFUSALS = (503, 429)
TICK_S = 0.02
"""Leases that have lapsed are ended this often."""


class Term(msgspec.Struct):
    """One leadership, as the store saw it.

    :param fence: the revision that created the leader key.
    :param ended_s: when the key went; ``None`` while it is there.
    """

    fence: int
    vm: str
    lease: int
    began_s: float
    ended_s: float | None = None


class TermHistory:
    """All terms, from the changes of the leader key."""

    def __init__(self) -> None:
        self.terms: list[Term] = []

    @property
    def current(self) -> Term | None:
        """The term of now, as far as the store knows."""
        if not self.terms or self.terms[-1].ended_s is not None:
            return None
        return self.terms[-1]

    def vm_of(self, fence: int) -> str:
        """The VM whose term has a token; empty where none has."""
        return next((term.vm for term in self.terms if term.fence == fence), "")

    def note(self, revision: int, item: Item) -> None:
        """Take in a change of the store."""
        if item.key != LEADER:
            return
        now = asyncio.get_running_loop().time()
        if self.current is not None:
            self.current.ended_s = now
        if item.revision:
            record = from_json(item.value, LeaderRecord)
            self.terms.append(Term(revision, record.vm, record.lease, now))


class WayTrouble(enum.StrEnum):
    """What befalls a VM's way to the store."""

    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"
    STALE = "stale"
    DELAY = "delay"
    REFUSED = "refused"


_PROXY_TROUBLES = {
    WayTrouble.SILENT: Trouble.SILENT,
    WayTrouble.ONE_WAY: Trouble.ONE_WAY,
    WayTrouble.RESET: Trouble.RESET,
    WayTrouble.STALE: Trouble.STALE,
    WayTrouble.DELAY: Trouble.DELAY,
}


class StoreWay:
    """One VM's own way to the store: a proxy, and a server that may turn its calls away.

    :ivar after_renewal: called right before a renewal of the leader's lease is answered.
    """

    def __init__(self, store: StoreState, terms: TermHistory, rng: random.Random) -> None:
        self.view = StoreView(store)
        self.after_renewal: Callable[[], None] | None = None
        self.proxy: Proxy | None = None
        self._serving = StoreServing(self.view)
        self._server = HttpServer(self._handle)
        self._terms = terms
        self._rng = rng
        self._refusing = False
        self._numbers = itertools.count(1)
        self._latest = 0

    @property
    def port(self) -> int:
        """Where the VM finds the store."""
        assert self.proxy is not None
        return self.proxy.port

    async def start(self) -> None:
        """Serve."""
        await self._server.start(LOOPBACK, 0)
        self.proxy = Proxy(LOOPBACK, LOOPBACK, self._server.port)
        await self.proxy.start()

    async def stop(self) -> None:
        """Serve no more."""
        if self.proxy is not None:
            await self.proxy.stop()
        await self._server.stop()

    def begin(self, trouble: WayTrouble, delay_s: float = 0.0) -> int:
        """Begin a trouble, in place of the present one.

        :return: its number, which ends it.
        """
        self.heal()
        self._latest = next(self._numbers)
        if trouble is WayTrouble.REFUSED:
            self._refusing = True
        else:
            assert self.proxy is not None
            self.proxy.set(_PROXY_TROUBLES[trouble], delay_s)
        return self._latest

    def end(self, number: int) -> None:
        """End a trouble, if no other has taken its place."""
        if number == self._latest:
            self.heal()

    def heal(self) -> None:
        """End any trouble."""
        assert self.proxy is not None
        self._refusing = False
        self._latest = 0
        self.proxy.set(Trouble.NONE)

    async def _handle(self, request: Request) -> Response:
        if self._refusing:
            return Response(self._rng.choice(REFUSALS))
        try:
            response = await self._serving.handle(request)
        except StoreUnavailable:
            return Response(503)
        if self.after_renewal is not None and self._renews_leader(request, response):
            self.after_renewal()
        return response

    def _renews_leader(self, request: Request, response: Response) -> bool:
        term = self._terms.current
        return (
            term is not None
            and response.status == 200
            and request.path == f"{KEEP_PATH}{term.lease}"
        )


class SoakPlatform:
    """The store, the VMs' ways to it, and the operators' configuration.

    :ivar records: the workers' way to the store.
    """

    def __init__(self, shape: SoakShape, seed: int) -> None:
        self._shape = shape
        self._rng = random.Random(seed)
        self.store = StoreState()
        self.terms = TermHistory()
        self.store.observers.append(self.terms.note)
        self.ways: dict[str, StoreWay] = {}
        self.records = WorkerRecords(self.store, shape.times.heartbeat_s)
        self._keeping: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve."""
        await self.records.start()
        self.store.put(PLACES.configuration_key, configuration(self._shape))
        self._keeping = asyncio.get_running_loop().create_task(self._keep())

    async def stop(self) -> None:
        """Serve no more."""
        if self._keeping is not None:
            self._keeping.cancel()
        for way in self.ways.values():
            await way.stop()
        await self.records.stop()

    async def way_of(self, vm: str) -> StoreWay:
        """A new VM's own way to the store."""
        way = StoreWay(self.store, self.terms, random.Random(self._rng.getrandbits(64)))
        await way.start()
        self.ways[vm] = way
        return way

    def heal(self) -> None:
        """End all troubles of the store."""
        for way in self.ways.values():
            way.heal()
            way.after_renewal = None
            way.view.faults.slow_s = 0.0
            way.view.faults.lose_answers = 0

    async def _keep(self) -> None:
        """End leases that have lapsed, and forget old changes, until cancelled."""
        loop = asyncio.get_running_loop()
        seen: deque[tuple[float, int]] = deque()
        while True:
            await asyncio.sleep(TICK_S)
            self.store.item(LEADER)
            seen.append((loop.time(), self.store.revision))
            while seen[0][0] < loop.time() - self._shape.times.history_s:
                self.store.forget_until(seen.popleft()[1])


def key_of(account: str) -> str:
    """The key that a client account's calls carry."""
    return f"key-of-{account}"


def configuration(shape: SoakShape) -> bytes:
    """The operators' document of a shape, as the platform's store keeps it."""
    routes = [
        {
            "name": kind.name,
            "host": HOST,
            "path-prefix": f"/{kind.name}/",
            "service": SERVICE,
            "priority": kind.priority,
            "max-attempts": kind.attempts,
            "stretch": kind.stretch,
            "target-latency-ms": kind.target_s * 1000,
        }
        for kind in shape.kinds
    ]
    tenants = [
        {
            "name": account.name,
            "api-keys": [key_of(account.name)],
            "guaranteed": {"gpu": account.guaranteed},
        }
        for account in shape.accounts
    ]
    services = [{"name": SERVICE, "admission-check": True}]
    return to_json({"version": 1, "routes": routes, "services": services, "tenants": tenants})
