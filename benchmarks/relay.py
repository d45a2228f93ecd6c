"""Store calls with one watch a hall, relayed, and with a watch on every VM.

Daemons of one process on a virtual clock: calls are counted by the stand-in store.
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

QUIET_S = 120.0
CHANGES = 10
RELAYED = Configuration.watching


async def count(vms: int, halls: int) -> tuple[float, float]:
    """Store calls a second while quiet, and a change."""
    sites = tuple(
        DataHall(name=f"hall{i}", racks=racks(f"w{i}", 1, workers=1)) for i in range(halls)
    )
    cluster = Cluster(sites, entries=vms // halls)
    await cluster.start()
    await cluster.configure((account("a"),))
    await asyncio.sleep(30)
    counters = cluster.store.counters
    before = counters.reads + counters.writes
    await asyncio.sleep(QUIET_S)
    quiet = (counters.reads + counters.writes - before) / QUIET_S
    before = counters.reads + counters.writes
    began = asyncio.get_running_loop().time()
    operator = cluster.operator()
    for i in range(CHANGES):
        plan = await operator.plan(Intent(accounts=(account("a", queued=1000 + i),)))
        await operator.confirm(plan, wait=10)
        await asyncio.sleep(1)
    took = asyncio.get_running_loop().time() - began
    change = (counters.reads + counters.writes - before - quiet * took) / CHANGES
    await cluster.stop()
    return quiet, change


def main() -> None:
    """Measure and write the page's table."""
    logging.getLogger("saddlestack").setLevel(logging.CRITICAL)
    sizes = [(8, 2), (110, 5)] if len(sys.argv) < 2 else [(8, 2)]
    lines = ["| VMs | watches | store calls/s while quiet | calls a change |", "|" + " --- |" * 4]
    for vms, halls in sizes:
        for name, watching in (
            ("one a hall, relayed", RELAYED),
            ("one a VM", property(lambda self: True)),
        ):
            Configuration.watching = watching  # type: ignore[method-assign, assignment]
            quiet, change = run(count(vms, halls))
            lines.append(f"| {vms} | {name} | {quiet:.2f} | {change:.1f} |")
            print(lines[-1], flush=True)
    table = "\n".join(lines) + "\n"
    replace_table(MEASURES, "relay", table)


if __name__ == "__main__":
    main()
