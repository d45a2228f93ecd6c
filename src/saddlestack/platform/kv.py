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
SENT_BYTES_S = 1_000_000
"""A write may take longer by what it takes to send: 10 Mbit/s carry 1.25 MB a second."""
LIST_TIMEOUT_S = 3.0
WATCH_SLACK_S = 1.0
MAX_WAIT_MS = 30_000
ANSWER = "answer of the store"


class KvStore:
    """Client of the platform's store. Counts its calls in :attr:`calls`."""

    def __init__(self, address: str, port: int, *, dialer: Dialer | None = None) -> None:
        self._http = HttpClient(address, port, dialer=dialer)
        self.calls = 0

    def reconnect(self) -> None:
        """Use new connections from now on."""
        self._http.reconnect()

    async def get(self, key: str) -> Item:
        """A key; revision 0 where it is absent."""
        response = await self._read(f"/api/kv-key?{urlencode({'key': key})}", CALL_TIMEOUT_S)
        if response.status == 404:
            return Item(key, b"", 0)
        return _item(_expect(response, KeyRow))

    async def list(self, prefix: str) -> Listing:
        """All keys under a prefix, page by page; changes since the first page are to be watched."""
        items: list[Item] = []
        after = ""
        revision: int | None = None
        while True:
            query = {"path-prefix": prefix}
            if after:
                query["after-rev"] = after
            response = await self._read(f"/api/kv-range?{urlencode(query)}", LIST_TIMEOUT_S)
            page = _expect(response, RangePage)
            items += [_item(item) for item in page.items]
            if revision is None:
                revision = page.at
            if not page.more or not page.items:
                return Listing(tuple(items), revision)
            after = page.items[-1].key

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Changes after a revision; removed keys have revision 0."""
        wait_ms = min(MAX_WAIT_MS, round(wait_s * 1000))
        query = urlencode({"path-prefix": prefix, "after-rev": after, "wait-ms": wait_ms})
        response = await self._read(f"/api/kv-watch?{query}", wait_s + WATCH_SLACK_S)
        if response.status == 410:
            raise HistoryGone(prefix)
        events = _expect(response, WatchPage)
        return Listing(tuple(_item(event) for event in events.events), events.at)

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Make changes all together."""
        body = TransactionBody(
            expect=[ExpectedRow(key, revision) for key, revision in transaction.expect],
            put=[
                PutRow(put.key, base64.b64encode(put.value).decode(), put.lease)
                for put in transaction.puts
            ],
            delete=list(transaction.deletes),
        )
        sent_s = sum(len(row.value) for row in body.put) / SENT_BYTES_S
        response = await self._write("POST", paths.TRANSACTION, body, CALL_TIMEOUT_S + sent_s)
        if response.status == 412:
            conflict = _written(response, ConflictBody)
            return Conflict(tuple(_item(item) for item in conflict.items))
        if response.status == 404:
            raise LeaseExpired
        _check(response)
        return Committed(_written(response, CommittedBody).rev)

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """A new lease and the seconds it lasts."""
        request = LeaseRequest(round(ttl_s * 1000))
        try:
            response = await self._write("POST", "/api/kv-lease", request)
        except WriteInDoubt as error:
            raise StoreUnavailable(str(error)) from error
        lease = _expect(response, LeaseBody)
        return lease.lease, lease.ttl_ms / 1000

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        await self._on_lease("POST", f"{paths.KEEP}{lease}")

    async def end_lease(self, lease: int) -> None:
        """End a lease and its keys."""
        await self._on_lease("DELETE", f"/api/kv-lease-end/{lease}")

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def _on_lease(self, method: str, path: str) -> None:
        try:
            response = await self._write(method, path, None)
        except WriteInDoubt as error:
            raise StoreUnavailable(str(error)) from error
        if response.status == 404:
            raise LeaseExpired
        _check(response)

    async def _read(self, path: str, timeout: float) -> Response:
        self.calls += 1
        try:
            return await self._http.request("GET", path, timeout=timeout)
        except (NotSent, AnswerLost) as error:
            raise StoreUnavailable(str(error)) from error

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


def _item(item: KeyRow) -> Item:
    if item.gone or item.rev == 0:
        return Item(item.key, b"", 0)
    return Item(item.key, _bytes(item.value), item.rev)


def _bytes(text: str) -> bytes:
    """What a value in base64 holds; nothing where it is none, so that one key spoils no page."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError):
        return b""


def _check(response: Response) -> None:
    if response.status not in {200, 204}:
        raise StoreUnavailable(f"answered {response.status}")


def _expect(response: Response, kind: type[T]) -> T:
    _check(response)
    try:
        return from_json(response.body, kind, ANSWER)
    except SaddlestackError as error:
        raise StoreUnavailable(str(error)) from error


def _written(response: Response, kind: type[T]) -> T:
    """What a write was answered; an answer that cannot be read does not tell whether it is done."""
    try:
        return from_json(response.body, kind, ANSWER)
    except SaddlestackError as error:
        raise WriteInDoubt(str(error)) from error
