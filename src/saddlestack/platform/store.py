"""Client of the platform's key-value store: compare-and-swap, watches, and writes in doubt.

A write without an answer may have taken effect. :meth:`StoreClient.swap` then raises
:class:`WriteInDoubt`; callers read the key back and compare the writer and sequence that they put
into every value. Every call counts against the VM's share of the store's rate limits.
"""

from __future__ import annotations

import asyncio
import base64
from dataclasses import dataclass
from urllib.parse import quote

import msgspec

from saddlestack.codec import from_json
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.kernel.clock import Clock
from saddlestack.policy.limits import TokenBucket
from saddlestack.wire.dialer import Dialer
from saddlestack.wire.http import AnswerLost, HttpClient, NotSent, Response, error_from_response

STORE_WRITES_S = 400.0
STORE_READS_S = 2000.0
MAX_VALUE = 1_000_000
CALL_TIMEOUT_S = 2.0
BUDGET_SHARE = 0.8
"""Largest share of the store's rate limits that saddlestack uses."""


class StoreUnavailable(Exception):
    """The store did not accept the call: nothing was written."""


class WriteInDoubt(Exception):
    """The write may or may not have taken effect."""


class VersionConflict(Exception):
    """The key's version was not the expected one: nothing was written."""


@dataclass(frozen=True, slots=True)
class Entry:
    """A key's value and version; version 0 means the key is absent."""

    key: str
    value: bytes
    version: int


class KeyValue(msgspec.Struct):
    """A key on the wire; the value is base64."""

    key: str
    value: str
    version: int


class KeyValues(msgspec.Struct):
    """A list of keys on the wire."""

    entries: list[KeyValue]


class SwapBody(msgspec.Struct):
    """A compare-and-swap on the wire; ``expect`` 0 creates the key."""

    value: str
    expect: int


class SwapReply(msgspec.Struct):
    """The key's version after a write."""

    version: int


class StoreClient:
    """Client of the platform's store that stays within this VM's share of its rate limits.

    :ivar available: whether the store served the last call, or only limited its rate.
    :ivar calls: number of calls made.
    :ivar writes: number of writes made.
    """

    def __init__(
        self,
        address: str,
        port: int,
        clock: Clock,
        *,
        dialer: Dialer | None = None,
        token: str | None = None,
    ) -> None:
        self._http = HttpClient(address, port, dialer=dialer, token=token)
        self._clock = clock
        self._writes = TokenBucket(STORE_WRITES_S * BUDGET_SHARE, STORE_WRITES_S * BUDGET_SHARE)
        self._reads = TokenBucket(STORE_READS_S * BUDGET_SHARE, STORE_READS_S * BUDGET_SHARE)
        self.available = True
        self.calls = 0
        self.writes = 0

    def share_among(self, members: int) -> None:
        """Set the number of live VMs that share the store's rate limits equally."""
        share = BUDGET_SHARE / max(members, 1)
        self._writes.configure(STORE_WRITES_S * share, max(2.0, STORE_WRITES_S * share))
        self._reads.configure(STORE_READS_S * share, max(10.0, STORE_READS_S * share))

    async def get(self, key: str) -> Entry:
        """Read a key; its version is 0 if it is absent.

        :raises StoreUnavailable: the store did not answer.
        """
        response = await self._read(f"/v1/kv/{quote(key, safe='')}", CALL_TIMEOUT_S)
        if response.status == 404:
            return Entry(key, b"", 0)
        return _decode_entry(from_json(response.body, KeyValue))

    async def range(self, prefix: str) -> list[Entry]:
        """Read all keys under a prefix, in one call.

        :raises StoreUnavailable: the store did not answer.
        """
        response = await self._read(f"/v1/range?prefix={quote(prefix, safe='')}", CALL_TIMEOUT_S)
        return [_decode_entry(entry) for entry in from_json(response.body, KeyValues).entries]

    async def watch(self, key: str, after: int, wait: float) -> Entry | None:
        """Wait until a key's version is above ``after``; ``None`` after ``wait`` seconds.

        :raises StoreUnavailable: the store did not answer.
        """
        path = f"/v1/watch/{quote(key, safe='')}?after={after}&wait={wait:g}"
        response = await self._read(path, wait + CALL_TIMEOUT_S)
        if response.status == 204:
            return None
        return _decode_entry(from_json(response.body, KeyValue))

    async def swap(self, key: str, value: bytes, expect: int) -> int:
        """Write a key if its version is the expected one.

        :return: the new version.
        :raises VersionConflict: the key has another version.
        :raises StoreUnavailable: nothing was written.
        :raises WriteInDoubt: it may have been written.
        """
        if len(value) > MAX_VALUE:
            raise SaddlestackError(ErrorKind.TOO_LARGE, f"{key}: over {MAX_VALUE} bytes")
        await self._acquire(self._writes)
        self.calls += 1
        self.writes += 1
        body = SwapBody(base64.b64encode(value).decode(), expect)
        try:
            response = await self._http.request(
                "PUT", f"/v1/kv/{quote(key, safe='')}", body, timeout=CALL_TIMEOUT_S
            )
        except NotSent as error:
            self.available = False
            raise StoreUnavailable(str(error)) from error
        except AnswerLost as error:
            self.available = False
            raise WriteInDoubt(str(error)) from error
        return self._decode_swap(response)

    @property
    def bytes(self) -> int:
        """Bytes sent and received."""
        return self._http.bytes

    def close(self) -> None:
        """Close all connections."""
        self._http.close()

    async def _read(self, path: str, timeout: float) -> Response:
        await self._acquire(self._reads)
        self.calls += 1
        try:
            response = await self._http.request("GET", path, timeout=timeout)
        except (NotSent, AnswerLost) as error:
            self.available = False
            raise StoreUnavailable(str(error)) from error
        if response.status not in {200, 204, 404}:
            self._update_available(response)
            raise StoreUnavailable(error_from_response(response).message)
        self.available = True
        return response

    def _decode_swap(self, response: Response) -> int:
        if response.status == 409:
            self.available = True
            raise VersionConflict
        if response.status != 200:
            self._update_available(response)
            raise StoreUnavailable(error_from_response(response).message)
        self.available = True
        return from_json(response.body, SwapReply).version

    def _update_available(self, response: Response) -> None:
        self.available = response.status == 429

    async def _acquire(self, budget: TokenBucket) -> None:
        while not budget.take(self._clock.now()):
            await asyncio.sleep(budget.wait(self._clock.now()))


def _decode_entry(entry: KeyValue) -> Entry:
    return Entry(entry.key, base64.b64decode(entry.value), entry.version)
