"""A new leader of many workers with a backlog doesn't block its event loop.

Guards against leaders that lose their lease while they take over. In a soak test on a slow
processor, after a backlog of some 300 jobs, leaders followed each other every 1.02 to 1.06 s, and
almost nothing was started. Each renewed its lease once, and was then blocked for longer than the
lease of 1 s, between reading the store and its first orders. According to a profile with 3,000
workers, this was due to one round that decided on 11,000 starts (0.6 s of a core, besides other
work), the orders that followed at once, and sessions with all workers that were opened in one step.
"""

from __future__ import annotations

import asyncio
import unittest
from types import SimpleNamespace
from typing import Any, cast

from saddlestack.control.context import EntryContext
from saddlestack.control.leases import Leases
from saddlestack.control.sessions import OPEN_BATCH_PAUSE_S, OPEN_BATCH_SIZE, Sessions
from saddlestack.interfaces.workers import WorkerOrders, WorkerRecord
from saddlestack.kernel.clock import Clock
from saddlestack.policy.cluster.changes import Start
from saddlestack.policy.cluster.planner import MAX_STARTS_PER_ROUND
from saddlestack.standins.loop import run
from tests.test_cluster_state import BULK, NORMAL, URGENT, ClusterCase, step
from tests.test_session import FakeOrders, SingleWorkerOwner

WIDTH = 40
HOLD_S = 10.0


class RoundTest(ClusterCase):
    def rounds(self) -> list[list[Start]]:
        """Returns what each round starts, until nothing is left to decide."""
        found = []
        more = True
        while more:
            more = self.cluster_state.plan(0.0, 0.0)
            found.append(self.cluster_state.take_changes().starts)
        return found

    def test_a_backlog_is_started_in_rounds_the_most_urgent_first(self) -> None:
        self.workers(racks=30, each=10)
        for priority in (BULK, NORMAL, URGENT):
            for _ in range(12):
                self.add(step(WIDTH), priority=priority)
        rounds = self.rounds()
        most = MAX_STARTS_PER_ROUND + WIDTH
        self.assertTrue(all(len(starts) <= most for starts in rounds))
        order = [start.run.task.step.occurrence.job.priority for each in rounds for start in each]
        self.assertEqual(len(order), 36 * WIDTH)
        self.assertEqual(order, sorted(order))

    def test_a_round_that_is_not_full_leaves_nothing(self) -> None:
        self.workers(racks=1, each=2)
        self.add(step(4))
        self.assertFalse(self.cluster_state.plan(0.0, 0.0))
        self.assertEqual(len(self.cluster_state.take_changes().starts), 4)


class OpeningTest(ClusterCase):
    def test_sessions_are_opened_a_batch_after_the_other(self) -> None:
        self.workers(racks=30, each=10)
        self.add(step(300 * 8), priority=BULK)
        while self.cluster_state.plan(0.0, 0.0):
            self.cluster_state.take_changes()
        busy = sum(1 for worker in self.cluster_state.workers.values() if worker.runs)
        opened: list[float] = []

        def orders(record: WorkerRecord) -> WorkerOrders:
            opened.append(asyncio.get_running_loop().time())
            return FakeOrders()

        async def main() -> None:
            context = SimpleNamespace(orders=orders, clock=Clock())
            owner = SingleWorkerOwner(self.cluster_state)
            sessions = Sessions(
                cast(EntryContext, cast(Any, context)), owner, Leases(HOLD_S, Clock().now())
            )
            for _ in range(10):
                sessions.open()
                await asyncio.sleep(OPEN_BATCH_PAUSE_S / 2)
            await asyncio.sleep(busy / OPEN_BATCH_SIZE * OPEN_BATCH_PAUSE_S)
            await sessions.stop()

        run(main())
        self.assertEqual(len(opened), busy)
        self.assertGreater(busy, 3 * OPEN_BATCH_SIZE)
        at_once = max(opened.count(moment) for moment in opened)
        self.assertLessEqual(at_once, OPEN_BATCH_SIZE)


if __name__ == "__main__":
    unittest.main()
