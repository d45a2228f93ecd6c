"""A stand-in of the platform's metadata store, by PROTOCOL.md.

Each daemon has an address of its own, at which the store can turn it away.
"""

from __future__ import annotations

import asyncio
import base64
import time
from dataclasses import dataclass

from http11 import Answer, Request, Server

ANSWER_S = 0.004


@dataclass
class Item:
    value: bytes
    rev: int
    made: int
    lease: int


class Store:
    """Keys, leases and history; ``revision`` counts the changes."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self._events: list[tuple[int, str, Item | None]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 70_001
        self._changed = asyncio.Event()

    def write(self, puts: dict[str, tuple[bytes, int]], deletes: list[str]) -> int:
        """Apply changes at one revision."""
        deletes = [key for key in deletes if key in self.items]
        if not puts and not deletes:
            return self.revision
        self.revision += 1
        for key, (value, lease) in puts.items():
            made = self.items[key].made if key in self.items else self.revision
            self.items[key] = Item(value, self.revision, made, lease)
            self._events.append((self.revision, key, self.items[key]))
        for key in deletes:
            del self.items[key]
            self._events.append((self.revision, key, None))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return self.revision

    def put(self, key: str, value: bytes) -> int:
        return self.write({key: (value, 0)}, [])

    def delete(self, key: str) -> None:
        self.write({}, [key])

    def expire(self) -> None:
        """End the leases that are over, with their keys."""
        now = time.monotonic()
        for lease in [each for each, (_, until) in self._leases.items() if until <= now]:
            self._end(lease)

    def _end(self, lease: int) -> None:
        self._leases.pop(lease, None)
        self.write({}, [key for key, item in self.items.items() if item.lease == lease])

    def row(self, key: str) -> dict:
        item = self.items.get(key)
        if item is None:
            return {"key": key, "rev": 0}
        value = base64.b64encode(item.value).decode()
        return {"key": key, "value": value, "rev": item.rev, "made": item.made, "lease": item.lease}

    async def handle(self, request: Request) -> Answer:
        """Handle one call."""
        await asyncio.sleep(ANSWER_S)
        self.expire()
        query = request.query
        name = request.path.removeprefix("/api/")
        if name == "kv-key":
            row = self.row(query["key"])
            return (200, row | {"at": self.revision}) if row["rev"] else (404, None)
        if name == "kv-range":
            keys = sorted(key for key in self.items if key.startswith(query["path-prefix"]))
            keys = [key for key in keys if key > query.get("after-rev", "")]
            rows = [self.row(key) for key in keys[:500]]
            return 200, {"items": rows, "more": len(keys) > 500, "at": self.revision}
        if name == "kv-watch":
            return await self._watch(query)
        if name == "kv-txn":
            return self._transact(request.json)
        if name == "kv-lease":
            ttl_ms = max(1000, min(600_000, request.json["ttl_ms"]))
            lease, self._next_lease = self._next_lease, self._next_lease + 1
            self._leases[lease] = (ttl_ms / 1000, time.monotonic() + ttl_ms / 1000)
            return 200, {"lease": lease, "ttl_ms": ttl_ms}
        kind, _, number = name.partition("/")
        lease = int(number or 0)
        if lease not in self._leases:
            return 404, None
        if kind == "kv-keep":
            ttl_s = self._leases[lease][0]
            self._leases[lease] = (ttl_s, time.monotonic() + ttl_s)
            return 200, {"ttl_ms": round(ttl_s * 1000)}
        self._end(lease)
        return 200, {}

    async def _watch(self, query: dict[str, str]) -> Answer:
        until = time.monotonic() + int(query["wait-ms"]) / 1000
        after, prefix = int(query["after-rev"]), query["path-prefix"]
        while True:
            found = [each for each in self._events if each[0] > after and each[1].startswith(prefix)]
            left = until - time.monotonic()
            if found or left <= 0:
                events = [
                    {"key": key, "rev": rev, "gone": True}
                    if item is None
                    else {"key": key, "rev": rev, "value": base64.b64encode(item.value).decode()}
                    for rev, key, item in found
                ]
                return 200, {"events": events, "at": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self._changed.wait()
            except TimeoutError:
                pass

    def _transact(self, body: dict) -> Answer:
        expected = body.get("expect-rev", [])
        if any(self.row(each["key"])["rev"] != each["rev"] for each in expected):
            return 412, {"items": [self.row(each["key"]) for each in expected]}
        puts = body.get("put", [])
        if any(each.get("lease", 0) and each["lease"] not in self._leases for each in puts):
            return 404, None
        if any(each["key"].startswith(("op/", "servers/")) for each in puts):
            return 403, None
        values = {
            each["key"]: (base64.b64decode(each["value"]), each.get("lease", 0)) for each in puts
        }
        return 200, {"rev": self.write(values, body.get("delete", []))}


class StorePort:
    """One daemon's address of the store; ``away`` makes the store turn it away with 503."""

    def __init__(self, store: Store, host: str) -> None:
        self._store = store
        self.away = False
        self.server = Server(self._handle, host)

    async def _handle(self, request: Request) -> Answer:
        if self.away:
            return 503, None
        answer = await self._store.handle(request)
        # A watch that was waiting when the trouble began is cut.
        return (503, None) if self.away else answer
