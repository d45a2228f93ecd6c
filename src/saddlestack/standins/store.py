"""An in-memory stand-in for the platform's key-value store, with fault injection."""

from __future__ import annotations

import asyncio
import base64
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from saddlestack.codec import from_json
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.platform.store import (
    MAX_VALUE,
    STORE_READS_S,
    STORE_WRITES_S,
    KeyValue,
    KeyValues,
    SwapBody,
    SwapReply,
)
from saddlestack.policy.limits import TokenBucket
from saddlestack.wire.http import HttpServer, Request, Response, error_response, json_response


class StoreFaults(msgspec.Struct):
    """Faults to inject.

    :param down: refuse every call.
    :param slow_s: delay every call by this long.
    :param lose_answers: apply this many writes without responding.
    :param lose_writes: drop this many writes without responding.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    lose_writes: int = 0


class LeaseBody(msgspec.Struct):
    """A request to grant or renew a lease."""

    ttl_s: float


class LeaseReply(msgspec.Struct):
    """A granted lease."""

    lease: int
    ttl_s: float


@dataclass
class _Entry:
    value: str
    version: int
    lease: int | None = None


@dataclass
class StoreCounters:
    """Counts of calls, for checks against the store's rate limits.

    :param limited: calls refused by the rate limits.
    :param busiest: writes by the first path segment of the key.
    """

    reads: int = 0
    writes: int = 0
    conflicts: int = 0
    limited: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    busiest: dict[str, int] = field(default_factory=dict)


class StandinStore:
    """A store of versioned keys with compare-and-swap, leases, watches, rate limits and faults.

    :ivar on_write: called with the key after each write.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.counters = StoreCounters()
        self.on_write: Callable[[str], None] | None = None
        self._entries: dict[str, _Entry] = {}
        self._versions = itertools.count(1)
        self._leases: dict[int, float] = {}
        self._lease_ids = itertools.count(1)
        self._changed = asyncio.Condition()
        self._write_limiter = TokenBucket(STORE_WRITES_S, STORE_WRITES_S)
        self._read_limiter = TokenBucket(STORE_READS_S, STORE_READS_S)
        self.server = HttpServer(self.handle)

    async def start(self, address: str, port: int) -> None:
        """Serve on an address; port 0 picks a free port."""
        await self.server.start(address, port)

    async def stop(self) -> None:
        """Stop serving."""
        await self.server.stop()

    def value(self, key: str) -> bytes | None:
        """Return the decoded value of a key, or ``None``, for tests."""
        entry = self._entries.get(key)
        return None if entry is None else base64.b64decode(entry.value)

    def keys(self, prefix: str = "") -> list[str]:
        """Return the sorted keys with a prefix, for tests."""
        return sorted(key for key in self._entries if key.startswith(prefix))

    async def handle(self, request: Request) -> Response:
        """Handle one request."""
        if request.path == "/v1/faults" and request.method == "POST":
            self.faults = from_json(request.body, StoreFaults)
            return json_response(self.faults)
        if self.faults.down:
            raise SaddlestackError(ErrorKind.STORE_UNAVAILABLE, "the store is down")
        if self.faults.slow_s:
            await asyncio.sleep(self.faults.slow_s)
        self._expire()
        self._count(request)
        response = await self._route(request)
        self.counters.bytes_in += len(request.body)
        self.counters.bytes_out += len(response.body)
        return response

    async def _route(self, request: Request) -> Response:
        resource, _, key = request.path.removeprefix("/v1/").partition("/")
        if resource == "kv" and request.method == "GET":
            return self._get(key)
        if resource == "kv" and request.method == "PUT":
            return await self._swap(key, request)
        if resource == "kv" and request.method == "DELETE":
            return await self._delete(key, request)
        if resource == "range":
            return self._range(request.query.get("prefix", ""))
        if resource == "watch":
            return await self._watch(key, request)
        if resource == "lease":
            return self._lease(key, request)
        raise SaddlestackError(ErrorKind.NOT_FOUND, f"no {request.method} {request.path}")

    def _count(self, request: Request) -> None:
        now = asyncio.get_running_loop().time()
        reading = request.method == "GET"
        if reading:
            self.counters.reads += 1
        else:
            self.counters.writes += 1
            group = request.path.removeprefix("/v1/kv/").partition("/")[0]
            self.counters.busiest[group] = self.counters.busiest.get(group, 0) + 1
        bucket = self._read_limiter if reading else self._write_limiter
        if not bucket.take(now):
            self.counters.limited += 1
            raise SaddlestackError(
                ErrorKind.RATE_LIMITED,
                "the store's rate limit is exceeded",
                retry_after=bucket.wait(now),
            )

    def _get(self, key: str) -> Response:
        entry = self._entries.get(key)
        if entry is None:
            raise SaddlestackError(ErrorKind.NOT_FOUND, f"no key {key}")
        return json_response(KeyValue(key, entry.value, entry.version))

    def _range(self, prefix: str) -> Response:
        entries = [
            KeyValue(key, entry.value, entry.version)
            for key, entry in sorted(self._entries.items())
            if key.startswith(prefix)
        ]
        return json_response(KeyValues(entries))

    async def _swap(self, key: str, request: Request) -> Response:
        body = from_json(request.body, SwapBody)
        if len(body.value) * 3 // 4 > MAX_VALUE + 2:
            raise SaddlestackError(ErrorKind.TOO_LARGE, f"a value is at most {MAX_VALUE} bytes")
        if self.faults.lose_writes > 0:
            self.faults.lose_writes -= 1
            return await self._withhold_reply()
        entry = self._entries.get(key)
        version = entry.version if entry else 0
        if version != body.expect:
            self.counters.conflicts += 1
            return error_response(
                SaddlestackError(ErrorKind.CONFLICT, f"{key} is at version {version}")
            )
        lease = request.query.get("lease")
        new_entry = _Entry(body.value, next(self._versions), int(lease) if lease else None)
        self._entries[key] = new_entry
        if self.on_write is not None:
            self.on_write(key)
        await self._notify()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            return await self._withhold_reply()
        return json_response(SwapReply(new_entry.version))

    async def _delete(self, key: str, request: Request) -> Response:
        entry = self._entries.get(key)
        expect = int(request.query.get("expect", "0"))
        if entry is None or entry.version != expect:
            raise SaddlestackError(
                ErrorKind.CONFLICT, f"{key} does not exist or is at another version"
            )
        del self._entries[key]
        await self._notify()
        return json_response(SwapReply(next(self._versions)))

    async def _watch(self, key: str, request: Request) -> Response:
        after = int(request.number("after", 0, maximum=float(1 << 53)))
        wait = request.number("wait", 30.0, maximum=120.0)
        try:
            async with asyncio.timeout(wait), self._changed:
                await self._changed.wait_for(lambda: self._version(key) > after)
        except TimeoutError:
            return Response(204)
        if self.faults.down:
            raise SaddlestackError(ErrorKind.STORE_UNAVAILABLE, "the store is down")
        return self._get(key)

    def _lease(self, number: str, request: Request) -> Response:
        body = from_json(request.body, LeaseBody)
        lease = int(number) if number else next(self._lease_ids)
        if number and lease not in self._leases:
            raise SaddlestackError(ErrorKind.NOT_FOUND, f"lease {lease} has expired")
        self._leases[lease] = asyncio.get_running_loop().time() + body.ttl_s
        return json_response(LeaseReply(lease, body.ttl_s))

    def _expire(self) -> None:
        now = asyncio.get_running_loop().time()
        expired = {lease for lease, until in self._leases.items() if until <= now}
        for lease in expired:
            del self._leases[lease]
        for key in [k for k, entry in self._entries.items() if entry.lease in expired]:
            del self._entries[key]

    def _version(self, key: str) -> int:
        entry = self._entries.get(key)
        return entry.version if entry else 0

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _withhold_reply(self) -> Response:
        await asyncio.sleep(3600)
        return Response(500)
