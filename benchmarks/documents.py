"""Measures how long a configuration takes to be in force everywhere, by its size and the links.

From the project's root: ``python -m benchmarks.documents``. Virtual time, no load; the bandwidth of
a link is all that takes time. Three VMs behind such links, and one with a wide one, from which the
others get the document, compressed, if their answer of the store is lost.
"""

from __future__ import annotations

import asyncio
import random

from saddlestack.standins.loop import run
from saddlestack.standins.pool.cluster import PoolCluster
from saddlestack.standins.pool.documents import idle_queues

MBIT_BYTES = 125_000.0
LINKS_MBIT = (2, 5, 10, 20)
WIDE_MBIT = 200
QUEUES = (40, 2000, 4000, 7300)
NAMES = ("entry-1", "entry-2", "entry-3", "entry-4")
SETTLED_S = 12.0
GIVEN_UP_S = 30.0
STEP_S = 0.01
SEEDS = (1, 2, 3)
PREFIX = "op/"


async def seconds(
    count: int, links: dict[str, float], seed: int, *, is_lost: bool
) -> tuple[float, int]:
    """Returns how long a change takes to be in force everywhere, and the document's size."""
    cluster = PoolCluster(entries=len(links), seed=seed, links=links)
    await cluster.start()
    cluster.configure(more_queues=idle_queues(count))
    await asyncio.sleep(SETTLED_S + random.Random(seed).uniform(0.0, 1.0))
    loop = asyncio.get_running_loop()
    faults = cluster.member(NAMES[-1]).view.faults
    if is_lost:
        faults.lost_watches = frozenset({PREFIX})
    start_s = loop.time()
    cluster.configure(more_queues=idle_queues(count))
    await asyncio.sleep(STEP_S)
    faults.lost_watches = frozenset()
    while loop.time() < start_s + GIVEN_UP_S:
        versions = (member.vm.configuration.version for member in cluster.members.values())
        if all(version == cluster.version for version in versions):
            break
        await asyncio.sleep(STEP_S)
    late_s = loop.time() - start_s
    size = len(cluster.store.item("op/config").value)
    await cluster.stop()
    return late_s, size


def longest(count: int, links: dict[str, float], *, is_lost: bool = False) -> tuple[float, int]:
    """Returns the longest time of all seeds, and the document's size."""
    found = [run(seconds(count, links, seed, is_lost=is_lost)) for seed in SEEDS]
    return max(late_s for late_s, _ in found), found[0][1]


def main() -> None:
    """Prints a table; times in seconds."""
    print("| document | link | in force | with one lost answer |")
    print("| --- | --- | --- | --- |")
    for count in QUEUES:
        for mbit in LINKS_MBIT:
            narrow = dict.fromkeys(NAMES, mbit * MBIT_BYTES)
            mixed = {**narrow, NAMES[0]: WIDE_MBIT * MBIT_BYTES}
            late_s, size = longest(count, mixed)
            lost_s, _ = longest(count, mixed, is_lost=True)
            print(f"| {size / 1000:.0f} KB | {mbit} Mbit/s | {late_s:.2f} | {lost_s:.2f} |")


if __name__ == "__main__":
    main()
