"""Compares store calls with one watch per data hall, relayed, and with a watch on every VM.

All daemons run in one process on a virtual clock, and the stand-in store counts the calls.
"""

from __future__ import annotations

import asyncio
import logging
import sys

from benchmarks.pages import MEASURES, replace_table
from saddlestack.models import DataHall, Intent
from saddlestack.services.configuration import Configuration
from saddlestack.standins.cluster import Cluster, account, racks
from saddlestack.standins.loop import run

IDLE_S = 120.0
CHANGES = 10
RELAYED = Configuration.watching


async def count_store_calls(vms: int, halls: int) -> tuple[float, float]:
    """Return the store calls per second without changes, and the calls per change."""
    sites = tuple(
        DataHall(name=f"hall{i}", racks=racks(f"w{i}", 1, workers=1)) for i in range(halls)
    )
    cluster = Cluster(sites, entries=vms // halls)
    await cluster.start()
    await cluster.configure((account("a"),))
    await asyncio.sleep(30)
    counters = cluster.store.counters
    before = counters.reads + counters.writes
    await asyncio.sleep(IDLE_S)
    idle_rate = (counters.reads + counters.writes - before) / IDLE_S
    before = counters.reads + counters.writes
    began = asyncio.get_running_loop().time()
    operator = cluster.operator()
    for i in range(CHANGES):
        plan = await operator.plan(Intent(accounts=(account("a", queued=1000 + i),)))
        await operator.confirm(plan, wait=10)
        await asyncio.sleep(1)
    elapsed_s = asyncio.get_running_loop().time() - began
    calls_per_change = (counters.reads + counters.writes - before - idle_rate * elapsed_s) / CHANGES
    await cluster.stop()
    return idle_rate, calls_per_change


def main() -> None:
    """Measure and write the table of docs/MEASURES.md."""
    logging.getLogger("saddlestack").setLevel(logging.CRITICAL)
    sizes = [(8, 2), (110, 5)] if len(sys.argv) < 2 else [(8, 2)]
    lines = ["| VMs | watches | store calls/s while quiet | calls a change |", "|" + " --- |" * 4]
    for vms, halls in sizes:
        for name, watching in (
            ("one a hall, relayed", RELAYED),
            ("one a VM", property(lambda self: True)),
        ):
            Configuration.watching = watching  # type: ignore[method-assign, assignment]
            idle_rate, calls_per_change = run(count_store_calls(vms, halls))
            lines.append(f"| {vms} | {name} | {idle_rate:.2f} | {calls_per_change:.1f} |")
            print(lines[-1], flush=True)
    table = "\n".join(lines) + "\n"
    replace_table(MEASURES, "relay", table)


if __name__ == "__main__":
    main()
