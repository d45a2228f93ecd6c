"""How far a feed is behind the store where much changes.

Seen on a day of 300 VMs and 3,000 workers: work was started on workers 5.1 s after they had said
that they leave. Workers write their records some 2,000 times a second there, and the store answers
a watch with some 500 changes at most; a leader that rests for 0.3 s after each answer hears of no
more than 1,600 a second, and is further behind with every second.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from types import SimpleNamespace
from typing import Any, cast

from saddlestack.control.context import EntryContext
from saddlestack.control.feed import Feed
from saddlestack.control.scheduler import WORKER_FEED_GAP_S, WORKER_WATCH_WAIT_S
from saddlestack.interfaces.store import Item, Listing
from saddlestack.standins.loop import VirtualClock, run

CHANGES_A_SECOND = 2_000
"""3,000 workers write their records every 1.5 s."""
MOST_AT_ONCE = 500
TRIP_S = 0.004
SOON_S = 0.8
"""A worker that leaves gets no work from 2 s after its notice on; the rest is for other delays."""


class BusyStore:
    """A store in which some key changes at a steady rate.

    :param rate: changes a second.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.calls = 0

    @property
    def revision(self) -> int:
        return int(asyncio.get_running_loop().time() * self.rate)

    async def list(self, prefix: str) -> Listing:
        await asyncio.sleep(TRIP_S)
        return Listing((), self.revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        self.calls += 1
        await asyncio.sleep(TRIP_S)
        until = asyncio.get_running_loop().time() + wait_s
        while self.revision <= after and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(TRIP_S)
        last = min(self.revision, after + MOST_AT_ONCE)
        items = tuple(Item("servers/i", b"", each) for each in range(after + 1, last + 1))
        return Listing(items, last)


class FeedTest(unittest.TestCase):
    def followed(self, rate: float, seconds: float) -> tuple[float, float]:
        """How many seconds a feed of workers is behind in the end, and its calls a second."""
        store = BusyStore(rate)

        async def main() -> float:
            heard = 0

            def changed(items: tuple[Item, ...]) -> None:
                nonlocal heard
                heard = items[-1].revision

            context = SimpleNamespace(store=store, rng=random.Random(1), clock=VirtualClock())
            feed = Feed(
                cast(EntryContext, cast(Any, context)),
                "servers/",
                lambda items: None,
                changed,
                wait_s=WORKER_WATCH_WAIT_S,
                gap_s=WORKER_FEED_GAP_S,
            )
            task = asyncio.get_running_loop().create_task(feed.run())
            await asyncio.sleep(seconds)
            task.cancel()
            return (store.revision - heard) / rate

        return run(main()), store.calls / seconds

    def test_a_feed_keeps_up_with_the_records_of_3000_workers(self) -> None:
        behind_s, calls = self.followed(CHANGES_A_SECOND, 30.0)
        self.assertLess(behind_s, SOON_S)
        self.assertLess(calls, 10)

    def test_few_changes_cost_few_calls(self) -> None:
        behind_s, calls = self.followed(16, 30.0)
        self.assertLess(behind_s, SOON_S)
        self.assertLess(calls, 1 / WORKER_FEED_GAP_S)


if __name__ == "__main__":
    unittest.main()
