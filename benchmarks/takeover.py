"""Times how long a pool is without a leader after each kind of loss, on a virtual clock.

Entry VMs run against the stand-ins of the platform. A VM counts as leading once it has read what
the store keeps; the time runs from the loss, or from the return where everything was away.
"""

from __future__ import annotations

import asyncio
import logging
import statistics
from collections.abc import Awaitable, Callable

from benchmarks.pages import MEASURES, replace_table
from saddlestack.standins.loop import run
from saddlestack.standins.pool.cluster import PoolCluster, job

SEEDS = range(1, 31)
ENTRIES = 6
POLL_S = 0.01
LONGEST_S = 20.0
AWAY_S = 4.0
RESTART_S = 1.0

Loss = Callable[[PoolCluster, str], Awaitable[None]]
"""Takes the leader of that name away; returns when the time begins."""


async def killed(cluster: PoolCluster, name: str) -> None:
    """The leader's process dies."""
    await cluster.kill(name)


async def stopped(cluster: PoolCluster, name: str) -> None:
    """The leader is asked to stop."""
    vm = cluster.member(name).vm
    asyncio.get_running_loop().create_task(vm.drain())


async def cut(cluster: PoolCluster, name: str) -> None:
    """The leader's calls to the store get no answer."""
    cluster.member(name).view.faults.silent = True


async def refused(cluster: PoolCluster, name: str) -> None:
    """The store refuses the leader's calls."""
    cluster.member(name).view.faults.refusing = True


async def store_away(cluster: PoolCluster, name: str) -> None:
    """The store answers nobody for a while; leases run out meanwhile."""
    for member in cluster.members.values():
        member.view.faults.silent = True
    await asyncio.sleep(AWAY_S)
    for member in cluster.members.values():
        member.view.faults.silent = False


async def all_killed(cluster: PoolCluster, name: str) -> None:
    """Every entry VM dies and comes back."""
    names = list(cluster.members)
    for each in names:
        await cluster.kill(each)
    await asyncio.sleep(RESTART_S)
    for each in names:
        await cluster.add_entry(each)


LOSSES: dict[str, Loss] = {
    "planned stop": stopped,
    "process killed": killed,
    "cut from the store": cut,
    "refused by the store": refused,
    "store away for 4 s, from its return": store_away,
    "all VMs killed, from their return": all_killed,
}


def time_without_leader(loss: Loss, seed: int) -> float:
    """Seconds until another term has begun."""
    seconds: list[float] = []

    async def body() -> None:
        cluster = PoolCluster(entries=ENTRIES, racks=2, workers=4, seed=seed)
        await cluster.start()
        await cluster.submit(f"{seed:016x}", job(8, work_s=30.0))
        await asyncio.sleep(1.0 + seed * 0.037)
        fence = _highest(cluster)
        await loss(cluster, cluster.leader_name)
        began = asyncio.get_running_loop().time()
        while _highest(cluster) <= fence:
            await asyncio.sleep(POLL_S)
            if asyncio.get_running_loop().time() - began > LONGEST_S:
                break
        seconds.append(asyncio.get_running_loop().time() - began)
        await cluster.stop()

    run(body())
    return seconds[0]


def _highest(cluster: PoolCluster) -> int:
    """The highest fencing token of a term that has begun."""
    schedulers = [member.vm.scheduler for member in cluster.members.values()]
    return max((s.fence for s in schedulers if s is not None and s.loaded.is_set()), default=0)


def main() -> None:
    """Measure and write the page's table."""
    logging.disable(logging.CRITICAL)
    lines = ["| loss of the leader | p50 s | worst s |", "| --- | --- | --- |"]
    for name, loss in LOSSES.items():
        times = [time_without_leader(loss, seed) for seed in SEEDS]
        lines.append(f"| {name} | {statistics.median(times):.2f} | {max(times):.2f} |")
    table = "\n".join(lines) + "\n"
    replace_table(MEASURES, "takeover", table)
    print(table)


if __name__ == "__main__":
    main()
