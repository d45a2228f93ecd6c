"""How far a feed falls behind the store under many changes.

Guards against work that is started on workers that are leaving. On a day of 300 VMs and 3,000
workers, this happened up to 5.1 s after the workers had announced it. The workers wrote their
records some 2,000 times a second, and the store returns some 500 changes per watch at most. A
leader that pauses for 0.3 s after each watch receives no more than 1,600 changes a second, so it
falls further and further behind.
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
from saddlestack.services.metrics import Metrics
from saddlestack.standins.loop import VirtualClock, run

CHANGES_PER_S = 2_000
"""3,000 workers each write their record every 1.5 s."""
MAX_CHANGES = 500
ROUND_TRIP_S = 0.004
MAX_DELAY_S = 0.8
"""Limit for the delay of a feed.

A leaving worker gets no work later than 2 s after its notice; the rest of that time is for other
delays.
"""


class BusyStore:
    """A store in which a key changes at a steady rate.

    :param rate: changes per second.
    """

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.calls = 0

    @property
    def revision(self) -> int:
        return int(asyncio.get_running_loop().time() * self.rate)

    async def list(self, prefix: str) -> Listing:
        await asyncio.sleep(ROUND_TRIP_S)
        return Listing((), self.revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        self.calls += 1
        await asyncio.sleep(ROUND_TRIP_S)
        until = asyncio.get_running_loop().time() + wait_s
        while self.revision <= after and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(ROUND_TRIP_S)
        last = min(self.revision, after + MAX_CHANGES)
        items = tuple(Item("servers/i", b"", each) for each in range(after + 1, last + 1))
        return Listing(items, last)


class FeedTest(unittest.TestCase):
    def follow(self, rate: float, seconds: float) -> tuple[float, float]:
        """Returns the final delay of a workers' feed in seconds, and its calls per second."""
        store = BusyStore(rate)

        async def main() -> float:
            received = 0

            def changed(items: tuple[Item, ...]) -> None:
                nonlocal received
                received = items[-1].revision

            clock = VirtualClock()
            context = SimpleNamespace(
                store=store, rng=random.Random(1), clock=clock, metrics=Metrics("entry-1", clock)
            )
            feed = Feed(
                cast(EntryContext, cast(Any, context)),
                "servers/",
                lambda items: None,
                changed,
                name="workers",
                wait_s=WORKER_WATCH_WAIT_S,
                gap_s=WORKER_FEED_GAP_S,
            )
            task = asyncio.get_running_loop().create_task(feed.run())
            await asyncio.sleep(seconds)
            task.cancel()
            return (store.revision - received) / rate

        return run(main()), store.calls / seconds

    def test_a_feed_keeps_up_with_the_records_of_3000_workers(self) -> None:
        behind_s, calls = self.follow(CHANGES_PER_S, 30.0)
        self.assertLess(behind_s, MAX_DELAY_S)
        self.assertLess(calls, 10)

    def test_few_changes_cost_few_calls(self) -> None:
        behind_s, calls = self.follow(16, 30.0)
        self.assertLess(behind_s, MAX_DELAY_S)
        self.assertLess(calls, 1 / WORKER_FEED_GAP_S)


if __name__ == "__main__":
    unittest.main()
