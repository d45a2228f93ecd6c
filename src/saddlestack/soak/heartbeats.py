"""The store's side of workers' records: what workers write, and what lapses in their silence."""

from __future__ import annotations

import asyncio
import base64
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

import msgspec

from saddlestack.codec import from_json, to_json
from saddlestack.platform import paths
from saddlestack.platform.documents import DOCUMENT_LOCATIONS
from saddlestack.platform.messages import CommittedBody, TransactionBody
from saddlestack.standins.pool.store import StoreState
from saddlestack.standins.ports import LOOPBACK
from saddlestack.wire.http import HttpServer, Request, Response

LAPSE_HEARTBEATS = 3.0
"""A record lapses after so many heartbeats of silence."""
STEP_S = 0.1
HEARTBEAT_FIELDS = frozenset({"seq"})
"""A record changes when more than these fields do."""


@dataclass(slots=True)
class WorkerRecords:
    """Takes workers' writes over HTTP, and removes the records of silent workers.

    :param ignored_fields: a write that changes only these fields is a heartbeat and does not change
        the key.
    :ivar is_unavailable: writes are refused while the store is down for workers...
    :ivar expire_while_unavailable: ...and records may lapse meanwhile.
    """

    store: StoreState
    heartbeat_s: float
    ignored_fields: frozenset[str] = HEARTBEAT_FIELDS
    is_unavailable: bool = False
    expire_while_unavailable: bool = False
    port: int = 0
    _heard_s: dict[str, float] = field(default_factory=dict)
    _server: HttpServer | None = None
    _lapsing: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve on a free port of loopback."""
        self._server = HttpServer(self.handle)
        await self._server.start(LOOPBACK, 0)
        self.port = self._server.port
        self._lapsing = asyncio.get_running_loop().create_task(self._lapse_silent())

    async def stop(self) -> None:
        """Serve no more."""
        if self._lapsing is not None:
            self._lapsing.cancel()
        if self._server is not None:
            await self._server.stop()

    async def handle(self, request: Request) -> Response:
        """Take a worker's write."""
        if self.is_unavailable:
            return Response(503)
        if request.path != paths.TRANSACTION:
            return Response(404)
        body = from_json(request.body, TransactionBody)
        for put in body.put:
            self.write(put.key, base64.b64decode(put.value))
        for key in body.delete:
            self._heard_s.pop(key, None)
            self.store.remove(key)
        return Response(200, to_json(CommittedBody(self.store.revision)))

    def expire(self, workers: Iterable[str]) -> None:
        """Records lapse now; they are back with their workers' next heartbeats."""
        for worker in workers:
            self.store.remove(f"{DOCUMENT_LOCATIONS.workers_prefix}{worker}")

    def write(self, key: str, value: bytes) -> None:
        """Take a heartbeat of a worker: the key changes when what it tells does."""
        self._heard_s[key] = _now()
        kept = self.store.item(key)
        if not kept.revision or self._told(kept.value) != self._told(value):
            self.store.put(key, value)

    def _told(self, value: bytes) -> dict[str, Any]:
        entry = msgspec.json.decode(value, type=dict[str, Any])
        return {name: entry[name] for name in entry if name not in self.ignored_fields}

    async def _lapse_silent(self) -> None:
        while True:
            await asyncio.sleep(STEP_S)
            if self.is_unavailable and not self.expire_while_unavailable:
                self._wait_with_lapsing()
            self._lapse_before(_now() - LAPSE_HEARTBEATS * self.heartbeat_s)

    def _wait_with_lapsing(self) -> None:
        """Nobody is silent while nobody can be heard."""
        for key in self._heard_s:
            self._heard_s[key] += STEP_S

    def _lapse_before(self, heard_s: float) -> None:
        for key in [key for key, when in self._heard_s.items() if when < heard_s]:
            del self._heard_s[key]
            self.store.remove(key)


def _now() -> float:
    return asyncio.get_running_loop().time()
