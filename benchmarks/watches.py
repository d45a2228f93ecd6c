"""Counts the store calls of entry VMs by which they follow the store, while nothing changes.

From the project's root: ``python -m benchmarks.watches 8 36 300``. Virtual time, no load.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from dataclasses import dataclass
from unittest.mock import patch

from saddlestack.interfaces.store import Item, Listing
from saddlestack.standins.loop import run
from saddlestack.standins.pool.cluster import PoolCluster
from saddlestack.standins.pool.store import StoreView

SETTLED_S = 8.0
MEASURED_S = 30.0
RACKS = 3
WORKERS_OF_RACK = 8

_watch, _get, _list, _renew = (
    StoreView.watch,
    StoreView.get,
    StoreView.list,
    StoreView.renew_lease,
)


@dataclass(slots=True)
class Calls:
    """Counts calls by what they are for."""

    counts: Counter[str]

    async def watch(self, view: StoreView, prefix: str, after: int, wait_s: float) -> Listing:
        """Counts a watch."""
        self.counts[f"watch {prefix}"] += 1
        return await _watch(view, prefix, after, wait_s)

    async def get(self, view: StoreView, key: str) -> Item:
        """Counts a read of a key."""
        self.counts["get"] += 1
        return await _get(view, key)

    async def list(self, view: StoreView, prefix: str) -> Listing:
        """Counts a listing."""
        self.counts[f"list {prefix}"] += 1
        return await _list(view, prefix)

    async def renew_lease(self, view: StoreView, lease: int) -> None:
        """Counts a renewal."""
        self.counts["renew"] += 1
        await _renew(view, lease)


async def measure(vms: int) -> dict[str, float]:
    """Returns the calls per second of all VMs together, by what they are for."""
    calls = Calls(Counter())
    with (
        patch.object(StoreView, "watch", lambda *args: calls.watch(*args)),
        patch.object(StoreView, "get", lambda *args: calls.get(*args)),
        patch.object(StoreView, "list", lambda *args: calls.list(*args)),
        patch.object(StoreView, "renew_lease", lambda *args: calls.renew_lease(*args)),
    ):
        cluster = PoolCluster(entries=vms, racks=RACKS, workers=WORKERS_OF_RACK)
        await cluster.start()
        await asyncio.sleep(SETTLED_S)
        calls.counts.clear()
        await asyncio.sleep(MEASURED_S)
        found = {name: count / MEASURED_S for name, count in sorted(calls.counts.items())}
        await cluster.stop()
    return found


def main() -> None:
    """Prints a table of calls per second."""
    for vms in map(int, sys.argv[1:] or ("8", "36")):
        rows = run(measure(vms))
        print(f"{vms} VMs: {sum(rows.values()):.1f} calls/s")
        for name, rate in rows.items():
            print(f"  {name:32} {rate:8.2f}")


if __name__ == "__main__":
    main()
