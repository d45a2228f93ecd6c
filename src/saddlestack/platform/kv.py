"""The platform's store as a :class:`saddlestack.interfaces.store.MetadataStore`.

HTTP/1.1 with JSON bodies; values travel as base64. See the platform's protocol page,
"metadata store".
"""

from __future__ import annotations

import base64
import binascii
from typing import TypeVar
from urllib.parse import urlencode

from saddlestack.codec import from_json
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.store import (
    Committed,
    Conflict,
    HistoryGone,
    Item,
    LeaseExpired,
    Listing,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)
from saddlestack.kernel.transfers import receive
from saddlestack.platform import paths
from saddlestack.platform.messages import (
    CommittedBody,
    ConflictBody,
    ExpectedRow,
    KeyRow,
    LeaseBody,
    LeaseRequest,
    PutRow,
    RangePage,
    TransactionBody,
    WatchPage,
)
from saddlestack.wire.dialer import Dialer
from saddlestack.wire.http import AnswerLost, HttpClient, NotSent, Response

T = TypeVar("T")

CALL_TIMEOUT_S = 1.0
SEND_RATE_BYTES_S = 1_000_000
"""Rate assumed for sending a write, whose time is added to the timeout: a link of 10 Mbit/s carries
1.25 MB per second."""
LIST_TIMEOUT_S = 3.0
WATCH_SLACK_S = 1.0
STALL_TIMEOUT_S = 1.0
"""Time in which nothing of an answer may arrive once it has begun. The time-outs of reads hold for
the beginning: a large answer may take longer over a slow link."""
ANSWER_TIMEOUT_S = 30.0
"""Time for a whole answer, so that one that hardly arrives ends as well."""
MAX_WAIT_MS = 30_000
ANSWER = "answer of the store"


class KvStore:
    """Client of the platform's store.

    :ivar calls: number of calls made.
    """

    def __init__(self, address: str, port: int, *, dialer: Dialer | None = None) -> None:
        self._http = HttpClient(address, port, dialer=dialer)
        self.calls = 0

    def reconnect(self) -> None:
        """Open new connections for later calls."""
        self._http.reconnect()

    async def get(self, key: str) -> Item:
        """Read a key; its revision is 0 if it is absent."""
        response = await self._read(f"/api/kv-key?{urlencode({'key': key})}", CALL_TIMEOUT_S)
        if response.status == 404:
            return Item(key, b"", 0)
        return _decode_item(_decode(response, KeyRow))

    async def list(self, prefix: str) -> Listing:
        """Read all keys under a prefix, page by page.

        The listing has the revision of its first page, so that a watch from it returns every
        change made while later pages were read.
        """
        items: list[Item] = []
        after = ""
        revision: int | None = None
        while True:
            query = {"path-prefix": prefix}
            if after:
                query["after-rev"] = after
            response = await self._read(f"/api/kv-range?{urlencode(query)}", LIST_TIMEOUT_S)
            page = _decode(response, RangePage)
            items += [_decode_item(item) for item in page.items]
            if revision is None:
                revision = page.at
            if not page.more or not page.items:
                return Listing(tuple(items), revision)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Wait for changes after a revision; removed keys have revision 0.

        :raises HistoryGone: the store no longer has the changes after that revision.
        """
        wait_ms = min(MAX_WAIT_MS, round(wait_s * 1000))
        query = urlencode({"path-prefix": prefix, "after-rev": after, "wait-ms": wait_ms})
        response = await self._read(f"/api/kv-watch?{query}", wait_s + WATCH_SLACK_S)
        if response.status == 410:
            raise HistoryGone(prefix)
        events = _decode(response, WatchPage)
        return Listing(tuple(_decode_item(event) for event in events.events), events.at)

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply changes atomically.

        :raises LeaseExpired: a lease of the changes has ended.
        :raises WriteInDoubt: the changes may or may not have been made.
        """
        body = TransactionBody(
            expect=[ExpectedRow(key, revision) for key, revision in transaction.expect],
            put=[
                PutRow(put.key, base64.b64encode(put.value).decode(), put.lease)
                for put in transaction.puts
            ],
            delete=list(transaction.deletes),
        )
        sending_s = sum(len(row.value) for row in body.put) / SEND_RATE_BYTES_S
        response = await self._write("POST", paths.TRANSACTION, body, CALL_TIMEOUT_S + sending_s)
        if response.status == 412:
            conflict = _decode_write_answer(response, ConflictBody)
            return Conflict(tuple(_decode_item(item) for item in conflict.items))
        if response.status == 404:
            raise LeaseExpired
        _check_status(response)
        return Committed(_decode_write_answer(response, CommittedBody).rev)

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Create a lease; returns its number and its duration in seconds."""
        request = LeaseRequest(round(ttl_s * 1000))
        try:
            response = await self._write("POST", "/api/kv-lease", request)
        except WriteInDoubt as error:
            raise StoreUnavailable(str(error)) from error
        lease = _decode(response, LeaseBody)
        return lease.lease, lease.ttl_ms / 1000

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseExpired: the lease has ended.
        """
        await self._lease_request("POST", f"{paths.KEEP_LEASE}{lease}")

    async def end_lease(self, lease: int) -> None:
        """End a lease and delete its keys."""
        await self._lease_request("DELETE", f"/api/kv-lease-end/{lease}")

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def _lease_request(self, method: str, path: str) -> None:
        try:
            response = await self._write(method, path, None)
        except WriteInDoubt as error:
            raise StoreUnavailable(str(error)) from error
        if response.status == 404:
            raise LeaseExpired
        _check_status(response)

    async def _read(self, path: str, timeout: float) -> Response:
        self.calls += 1
        request = self._http.request("GET", path, timeout=timeout + ANSWER_TIMEOUT_S)
        try:
            return await receive(request, begin_s=timeout, stall_s=STALL_TIMEOUT_S)
        except (NotSent, AnswerLost) as error:
            raise StoreUnavailable(str(error)) from error
        except TimeoutError as error:
            raise StoreUnavailable(f"GET {path}: {type(error).__name__}") from error

    async def _write(
        self, method: str, path: str, body: object, timeout: float = CALL_TIMEOUT_S
    ) -> Response:
        self.calls += 1
        try:
            return await self._http.request(method, path, body, timeout=timeout)
        except NotSent as error:
            raise StoreUnavailable(str(error)) from error
        except AnswerLost as error:
            raise WriteInDoubt(str(error)) from error


def _decode_item(item: KeyRow) -> Item:
    if item.gone or item.rev == 0:
        return Item(item.key, b"", 0)
    return Item(item.key, _decode_value(item.value), item.rev)


def _decode_value(text: str) -> bytes:
    """Decode a base64 value; empty if it is invalid, so that one bad key does not fail a page."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return b""


def _check_status(response: Response) -> None:
    if response.status not in {200, 204}:
        raise StoreUnavailable(f"answered {response.status}")


def _decode(response: Response, kind: type[T]) -> T:
    _check_status(response)
    try:
        return from_json(response.body, kind, ANSWER)
    except SaddlestackError as error:
        raise StoreUnavailable(str(error)) from error


def _decode_write_answer(response: Response, kind: type[T]) -> T:
    """Decode the answer to a write; if it is unreadable, the write may or may not be done."""
    try:
        return from_json(response.body, kind, ANSWER)
    except SaddlestackError as error:
        raise WriteInDoubt(str(error)) from error
