"""The platform's metadata store, with one address for each entry VM so that it can tell them apart.

Keys, revisions, leases, transactions and watches follow PROTOCOL.md, "The platform's metadata
store". An address may be told to turn its VM away.
"""

from __future__ import annotations

import asyncio
import base64
import json
from dataclasses import dataclass

from .http import Answer, Drop, Request, Server, Silence

ANSWER_S = 0.004
PAGE = 500
HISTORY_S = 20.0


@dataclass
class Item:
    """A key of the store."""

    value: bytes
    rev: int
    made: int
    lease: int = 0


@dataclass
class Lease:
    """A lease, and when it ends."""

    ttl_s: float
    until_s: float


class Store:
    """The content of the store."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 100
        self.leases: dict[int, Lease] = {}
        self._next_lease = 1
        self.events: list[tuple[float, int, str, Item | None]] = []
        self._changed = asyncio.Event()
        self._forgotten = 0

    def put(self, key: str, value: object) -> int:
        """Write a key as the operator or a worker does."""
        return self.apply([(key, json.dumps(value).encode(), 0)], [])

    def delete(self, key: str) -> None:
        """Remove a key."""
        if key in self.items:
            self.apply([], [key])

    def apply(self, puts: list[tuple[str, bytes, int]], deletes: list[str]) -> int:
        """Make changes under one revision."""
        self.revision += 1
        now = _now()
        for key, value, lease in puts:
            old = self.items.get(key)
            item = Item(value, self.revision, old.made if old else self.revision, lease)
            self.items[key] = item
            self.events.append((now, self.revision, key, item))
        for key in deletes:
            if self.items.pop(key, None) is not None:
                self.events.append((now, self.revision, key, None))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    def grant(self, ttl_s: float) -> int:
        """Create a lease."""
        self._next_lease += 1
        self.leases[self._next_lease] = Lease(ttl_s, _now() + ttl_s)
        return self._next_lease

    def end_lease(self, number: int) -> None:
        """End a lease, and remove its keys."""
        self.leases.pop(number, None)
        keys = [key for key, item in self.items.items() if item.lease == number]
        if keys:
            self.apply([], keys)

    def lease(self, number: int) -> Lease | None:
        """Return a lease that has not ended."""
        self.expire()
        return self.leases.get(number)

    def expire(self) -> None:
        """Remove leases that are over, and old history."""
        now = _now()
        for number in [n for n, each in self.leases.items() if each.until_s <= now]:
            self.end_lease(number)
        while self.events and self.events[0][0] < now - HISTORY_S:
            self._forgotten = self.events.pop(0)[1]

    async def run(self) -> None:
        """Expire leases until cancelled."""
        while True:
            await asyncio.sleep(0.01)
            self.expire()

    async def watch(self, prefix: str, after: int, wait_s: float) -> Answer:
        """Wait for changes under a prefix after a revision."""
        end_s = _now() + wait_s
        while True:
            if after < self._forgotten:
                return 410, None
            found = [e for e in self.events if e[1] > after and e[2].startswith(prefix)]
            if found:
                return 200, {"events": [_event(e) for e in found], "at": self.revision}
            left_s = end_s - _now()
            if left_s <= 0:
                return 200, {"events": [], "at": max(after, self.revision)}
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                pass


class StoreAddress:
    """The address at which one VM reaches the store.

    :ivar fault: how it turns the VM away: ``busy``, ``many``, ``reset``, ``silent`` or nothing.
    """

    def __init__(self, store: Store, vm: str) -> None:
        self._store = store
        self.vm = vm
        self.fault = ""
        self.server = Server(self._handle)

    async def _handle(self, request: Request) -> Answer:
        self._turn_away()
        if request.path != "/api/kv-watch":
            await asyncio.sleep(ANSWER_S)
        if self.fault in {"busy", "many"}:
            return (503 if self.fault == "busy" else 429), None
        self._turn_away()
        answer = await self._answer(request)
        self._turn_away()
        return answer

    def _turn_away(self) -> None:
        if self.fault == "reset":
            raise Drop
        if self.fault == "silent":
            raise Silence

    async def _answer(self, request: Request) -> Answer:
        store, path, query = self._store, request.path, request.query
        if path == "/api/kv-key":
            item = store.items.get(query["key"])
            return (404, None) if item is None else (200, {**_row(query["key"], item)})
        if path == "/api/kv-range":
            prefix, after = query["path-prefix"], query.get("after-rev", "")
            keys = sorted(k for k in store.items if k.startswith(prefix) and k > after)
            rows = [_row(key, store.items[key]) for key in keys[:PAGE]]
            return 200, {"items": rows, "more": len(keys) > PAGE, "at": store.revision}
        if path == "/api/kv-watch":
            wait_s = min(30.0, int(query.get("wait-ms", "0")) / 1000)
            return await store.watch(query["path-prefix"], int(query["after-rev"]), wait_s)
        if path == "/api/kv-txn":
            return self._transact(request.body)
        if path == "/api/kv-lease":
            ttl_s = max(1.0, min(600.0, request.body["ttl_ms"] / 1000))
            return 200, {"lease": store.grant(ttl_s), "ttl_ms": round(ttl_s * 1000)}
        number = int(path.rpartition("/")[2])
        lease = store.lease(number)
        if lease is None:
            return 404, None
        if path.startswith("/api/kv-keep/"):
            lease.until_s = _now() + lease.ttl_s
            return 200, {"lease": number, "ttl_ms": round(lease.ttl_s * 1000)}
        store.end_lease(number)
        return 200, None

    def _transact(self, body: dict[str, object]) -> Answer:
        store = self._store
        store.expire()
        expected = [(row["key"], row["rev"]) for row in body.get("expect-rev") or []]
        if any((store.items[k].rev if k in store.items else 0) != rev for k, rev in expected):
            rows = [
                _row(key, store.items[key]) if key in store.items else {"key": key, "rev": 0}
                for key, _ in expected
            ]
            return 412, {"items": rows}
        puts = [
            (row["key"], base64.b64decode(row.get("value", "")), row.get("lease", 0))
            for row in body.get("put") or []
        ]
        if any(lease and store.lease(lease) is None for _, _, lease in puts):
            return 404, None
        return 200, {"rev": store.apply(puts, list(body.get("delete") or []))}


def _row(key: str, item: Item) -> dict[str, object]:
    value = base64.b64encode(item.value).decode()
    return {"key": key, "value": value, "rev": item.rev, "made": item.made, "lease": item.lease}


def _event(event: tuple[float, int, str, Item | None]) -> dict[str, object]:
    _, rev, key, item = event
    return {"key": key, "rev": rev, "gone": True} if item is None else _row(key, item)


def _now() -> float:
    return asyncio.get_running_loop().time()
