"""Times how long a pool is without a leader after each kind of loss, on a virtual clock.

Entry VMs run against the stand-ins of the platform. A VM counts as the leader once it has read the
state from the store. The time is measured from the loss, or from the return of the store or of the
VMs if all of them were unavailable.
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
MAX_WAIT_S = 20.0
STORE_OUTAGE_S = 4.0
RESTART_S = 1.0

LossFunction = Callable[[PoolCluster, str], Awaitable[None]]
"""Causes the loss of the named leader, and returns when the measurement begins."""


async def kill_leader(cluster: PoolCluster, name: str) -> None:
    """Kill the leader's process."""
    await cluster.kill(name)


async def stop_leader(cluster: PoolCluster, name: str) -> None:
    """Stop the leader gracefully."""
    vm = cluster.member(name).vm
    asyncio.get_running_loop().create_task(vm.drain())


async def cut_leader(cluster: PoolCluster, name: str) -> None:
    """Leave the leader's calls to the store unanswered."""
    cluster.member(name).view.faults.silent = True


async def refuse_leader(cluster: PoolCluster, name: str) -> None:
    """Make the store refuse the leader's calls."""
    cluster.member(name).view.faults.refusing = True


async def interrupt_store(cluster: PoolCluster, name: str) -> None:
    """Make the store unavailable to all VMs for :data:`STORE_OUTAGE_S`, in which leases expire."""
    for member in cluster.members.values():
        member.view.faults.silent = True
    await asyncio.sleep(STORE_OUTAGE_S)
    for member in cluster.members.values():
        member.view.faults.silent = False


async def kill_all(cluster: PoolCluster, name: str) -> None:
    """Kill all entry VMs and restart them."""
    names = list(cluster.members)
    for each in names:
        await cluster.kill(each)
    await asyncio.sleep(RESTART_S)
    for each in names:
        await cluster.add_entry(each)


LOSSES: dict[str, LossFunction] = {
    "planned stop": stop_leader,
    "process killed": kill_leader,
    "cut from the store": cut_leader,
    "refused by the store": refuse_leader,
    "store away for 4 s, from its return": interrupt_store,
    "all VMs killed, from their return": kill_all,
}


def time_without_leader(loss: LossFunction, seed: int) -> float:
    """Return the seconds until another term has begun, at most about :data:`MAX_WAIT_S`."""
    seconds: list[float] = []

    async def body() -> None:
        cluster = PoolCluster(entries=ENTRIES, racks=2, workers=4, seed=seed)
        await cluster.start()
        await cluster.submit(f"{seed:016x}", job(8, work_s=30.0))
        await asyncio.sleep(1.0 + seed * 0.037)
        fence = _highest_fence(cluster)
        await loss(cluster, cluster.leader_name)
        began = asyncio.get_running_loop().time()
        while _highest_fence(cluster) <= fence:
            await asyncio.sleep(POLL_S)
            if asyncio.get_running_loop().time() - began > MAX_WAIT_S:
                break
        seconds.append(asyncio.get_running_loop().time() - began)
        await cluster.stop()

    run(body())
    return seconds[0]


def _highest_fence(cluster: PoolCluster) -> int:
    """Return the highest fencing token of a term that has begun, or 0."""
    schedulers = [member.vm.scheduler for member in cluster.members.values()]
    return max((s.fence for s in schedulers if s is not None and s.loaded.is_set()), default=0)


def main() -> None:
    """Measure and write the table of docs/MEASURES.md."""
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
