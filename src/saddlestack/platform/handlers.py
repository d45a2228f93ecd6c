"""Server side of the platform's calls, for stand-ins of the platform.

Translates between HTTP and a stand-in's store and workers; it holds no logic of its own.
"""

from __future__ import annotations

import asyncio
import base64
from typing import Protocol

import msgspec

from saddlestack.codec import from_json, to_json
from saddlestack.interfaces.store import (
    Conflict,
    HistoryGone,
    Item,
    LeaseExpired,
    MetadataStore,
    Put,
    Transaction,
    WriteInDoubt,
)
from saddlestack.interfaces.workers import (
    Refusal,
    StartOrder,
    StartReply,
    WorkerFenced,
    WorkerReport,
)
from saddlestack.platform import paths
from saddlestack.platform.messages import (
    CommittedBody,
    ConflictBody,
    EndedRow,
    HoldBody,
    KeyRow,
    LeaseBody,
    LeaseRequest,
    OrderAnswer,
    PaceBody,
    RangePage,
    ReportBody,
    RunningRow,
    StartBody,
    StopBody,
    TransactionBody,
    WatchPage,
)
from saddlestack.platform.orders import INSTANCE_HEADER
from saddlestack.wire.http import Request, Response

LOST_ANSWER_DELAY_S = 3600.0
"""Delay before a call whose answer is to be lost is answered: longer than any caller waits."""
_REASONS = {Refusal.FENCED: "fence"}


class ServedWorker(Protocol):
    """One incarnation of a stand-in's worker."""

    @property
    def worker_id(self) -> str:
        """The worker's ID, which other incarnations may share."""
        ...

    @property
    def started_ms(self) -> int:
        """Start time, in milliseconds since 1970; 0 if it is not reported."""
        ...

    def clock_ms(self) -> int:
        """Current time of the worker's monotonic clock."""
        ...

    def start(self, order: StartOrder) -> StartReply:
        """Start a run."""
        ...

    def stop(self, task: str, run: int, fence: int) -> None:
        """Stop a run.

        :raises WorkerFenced: the fencing token is lower than the highest one received.
        """
        ...

    def pace(self, task: str, run: int, percent: int, fence: int) -> None:
        """Limit a run to a percentage of its full speed.

        :raises WorkerFenced: the fencing token is lower than the highest one received.
        """
        ...

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float
    ) -> WorkerReport:
        """Renew the lease, acknowledge ends up to ``seen``, and report.

        :raises WorkerFenced: the fencing token is lower than the highest one received.
        """
        ...


class StoreHandler:
    """Handles the calls to the platform's store."""

    def __init__(self, store: MetadataStore) -> None:
        self._store = store

    async def handle(self, request: Request) -> Response:
        """Handle one call."""
        try:
            return await self._route(request)
        except HistoryGone:
            return Response(410)
        except LeaseExpired:
            return Response(404)
        except WriteInDoubt:
            await asyncio.sleep(LOST_ANSWER_DELAY_S)
            return Response(500)

    async def _route(self, request: Request) -> Response:
        query = request.query
        name, _, lease = request.path.removeprefix("/api/kv-").partition("/")
        if name == "key":
            item = await self._store.get(query["key"])
            return Response(200, to_json(_row(item))) if item.revision else Response(404)
        if name == "range":
            listing = await self._store.list(query["path-prefix"])
            rows = [_row(item) for item in listing.items]
            return Response(200, to_json(RangePage(rows, listing.revision)))
        if name == "watch":
            wait_s = int(query["wait-ms"]) / 1000
            listing = await self._store.watch(query["path-prefix"], int(query["after-rev"]), wait_s)
            rows = [_row(item) for item in listing.items]
            return Response(200, to_json(WatchPage(rows, listing.revision)))
        if name == "txn":
            return await self._transact(from_json(request.body, TransactionBody))
        if name == "lease":
            ttl_ms = from_json(request.body, LeaseRequest).ttl_ms
            number, ttl_s = await self._store.grant_lease(ttl_ms / 1000)
            return Response(200, to_json(LeaseBody(round(ttl_s * 1000), number)))
        if name == "keep":
            await self._store.renew_lease(int(lease))
            return Response(200, to_json(LeaseBody(0)))
        if name == "lease-end":
            await self._store.end_lease(int(lease))
            return Response(200)
        return Response(404)

    async def _transact(self, body: TransactionBody) -> Response:
        outcome = await self._store.transact(
            Transaction(
                tuple((row.key, row.rev) for row in body.expect),
                tuple(Put(row.key, base64.b64decode(row.value), row.lease) for row in body.put),
                tuple(body.delete),
            )
        )
        if isinstance(outcome, Conflict):
            return Response(412, to_json(ConflictBody([_row(item) for item in outcome.items])))
        return Response(200, to_json(CommittedBody(outcome.revision)))


class WorkerHandler:
    """Handles the calls to one worker."""

    def __init__(self, worker: ServedWorker) -> None:
        self._worker = worker

    async def handle(self, request: Request) -> Response:
        """Handle one call."""
        if request.headers.get(INSTANCE_HEADER.lower()) != self._worker.worker_id:
            return Response(421)
        try:
            return await self._route(request)
        except WorkerFenced:
            return self._answer(409, "fence")

    async def _route(self, request: Request) -> Response:
        if request.path == paths.START:
            return self._start(from_json(request.body, StartBody))
        if request.path == paths.STOP:
            stop = from_json(request.body, StopBody)
            self._worker.stop(stop.task, stop.run, stop.fence)
            return self._answer(200)
        if request.path == "/api/pace":
            pace = from_json(request.body, PaceBody)
            self._worker.pace(pace.task, pace.run, pace.percent, pace.fence)
            return self._answer(200)
        if request.path == paths.HOLD:
            return await self._hold(from_json(request.body, HoldBody))
        return Response(404)

    def _start(self, body: StartBody) -> Response:
        reply = self._worker.start(
            StartOrder(
                body.task,
                body.run,
                body.spec,
                body.saved,
                body.deadline_ms,
                body.fence,
                body.ticket,
            )
        )
        if reply.refusal is None:
            return self._answer(200)
        return self._answer(409, _REASONS.get(reply.refusal, reply.refusal.value))

    async def _hold(self, body: HoldBody) -> Response:
        report = await self._worker.hold(
            body.fence, body.deadline_ms, body.last_seen, body.wait_ms / 1000
        )
        running = [
            RunningRow(row.task, row.run, row.saved, row.percent, row.figure)
            for row in report.running
        ]
        ended = [
            EndedRow(end.number, end.task, end.run, end.how.value, end.saved)
            for end in report.ended
        ]
        born = self._worker.started_ms or msgspec.UNSET
        return Response(200, to_json(ReportBody(report.clock_ms, running, ended, born)))

    def _answer(self, status: int, reason: str = "") -> Response:
        return Response(status, to_json(OrderAnswer(self._worker.clock_ms(), reason)))


def _row(item: Item) -> KeyRow:
    value = base64.b64encode(item.value).decode()
    return KeyRow(item.key, value, item.revision, gone=not item.revision)
