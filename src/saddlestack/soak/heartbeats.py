"""Workers' records in the store: accepts writes, and expires records that get no heartbeats."""

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

EXPIRY_HEARTBEATS = 3.0
"""A record expires after this many heartbeat intervals without a write."""
EXPIRY_CHECK_INTERVAL_S = 0.1
HEARTBEAT_FIELDS = frozenset({"seq"})
"""Fields that change with each heartbeat; a write that changes only these is no change."""


@dataclass(slots=True)
class WorkerRecords:
    """Accepts workers' writes over HTTP, and removes records that get no heartbeats.

    :param ignored_fields: a write that changes only these fields is a heartbeat and does not change
        the key.
    :ivar is_unavailable: writes are refused, as the store is unavailable to workers.
    :ivar expire_while_unavailable: records may expire meanwhile.
    """

    store: StoreState
    heartbeat_s: float
    ignored_fields: frozenset[str] = HEARTBEAT_FIELDS
    is_unavailable: bool = False
    expire_while_unavailable: bool = False
    port: int = 0
    _last_write_s: dict[str, float] = field(default_factory=dict)
    _server: HttpServer | None = None
    _expiry_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Serve on a free loopback port."""
        self._server = HttpServer(self.handle)
        await self._server.start(LOOPBACK, 0)
        self.port = self._server.port
        self._expiry_task = asyncio.get_running_loop().create_task(self._expire_silent())

    async def stop(self) -> None:
        """Stop serving."""
        if self._expiry_task is not None:
            self._expiry_task.cancel()
        if self._server is not None:
            await self._server.stop()

    async def handle(self, request: Request) -> Response:
        """Handle a worker's write."""
        if self.is_unavailable:
            return Response(503)
        if request.path != paths.TRANSACTION:
            return Response(404)
        body = from_json(request.body, TransactionBody)
        for put in body.put:
            self.write(put.key, base64.b64decode(put.value))
        for key in body.delete:
            self._last_write_s.pop(key, None)
            self.store.remove(key)
        return Response(200, to_json(CommittedBody(self.store.revision)))

    def expire(self, workers: Iterable[str]) -> None:
        """Expire records now; the workers' next heartbeats write them again."""
        for worker in workers:
            self.store.remove(f"{DOCUMENT_LOCATIONS.workers_prefix}{worker}")

    def write(self, key: str, value: bytes) -> None:
        """Handle a worker's heartbeat; the key changes only if a relevant field does."""
        self._last_write_s[key] = _now()
        current = self.store.item(key)
        if not current.revision or self._relevant_fields(current.value) != self._relevant_fields(
            value
        ):
            self.store.put(key, value)

    def _relevant_fields(self, value: bytes) -> dict[str, Any]:
        fields = msgspec.json.decode(value, type=dict[str, Any])
        return {name: fields[name] for name in fields if name not in self.ignored_fields}

    async def _expire_silent(self) -> None:
        while True:
            await asyncio.sleep(EXPIRY_CHECK_INTERVAL_S)
            if self.is_unavailable and not self.expire_while_unavailable:
                self._suspend_expiry()
            self._expire_before(_now() - EXPIRY_HEARTBEATS * self.heartbeat_s)

    def _suspend_expiry(self) -> None:
        """Postpone all expiry, as no worker can write while the store is unavailable."""
        for key in self._last_write_s:
            self._last_write_s[key] += EXPIRY_CHECK_INTERVAL_S

    def _expire_before(self, last_write_s: float) -> None:
        for key in [key for key, when in self._last_write_s.items() if when < last_write_s]:
            del self._last_write_s[key]
            self.store.remove(key)


def _now() -> float:
    return asyncio.get_running_loop().time()
