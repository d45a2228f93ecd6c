"""A worker's record, put by another writer, contains a clock that is far ahead.

A worker limits a lease that is too long when it arrives. A start with such a lease that was carried
out some seconds late, on a worker that then became unreachable, lasted longer by this delay than
its leader assumed: the task ran twice at the same time. So the worker itself is polled for its
clock.
"""

from __future__ import annotations

import asyncio
import unittest

from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import JobState
from tests.test_entries import EntryCase
from tests.test_inherited import HOLD_S, INHERITED_S, A

AHEAD_MS = 3_600_000
LATE_S = 5.0
RECORD_DELAY_S = 1.0
"""Time within which the leader has received a changed record."""


class FalseClockTest(EntryCase):
    def test_a_lease_is_based_on_the_clock_from_the_worker(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(INHERITED_S)
            worker_pool = cluster.worker_pool
            workers = list(worker_pool.workers.values())
            for worker in workers:
                self.rewrite(cluster, worker, clock_ms=worker_pool.clock_ms(worker) + AHEAD_MS)
                worker.late_orders = 1
                worker.late_s = LATE_S
            await asyncio.sleep(RECORD_DELAY_S)
            await cluster.submit(A, job(1, work_s=2 * HOLD_S))
            await cluster.until(lambda: any(not worker.late_orders for worker in workers))
            for worker in workers:
                worker.unreachable = not worker.late_orders
                worker.late_orders = 0
            await cluster.until_state(A, JobState.COMPLETED, 6 * HOLD_S)
            self.assertEqual(worker_pool.violations, [])
            self.assertEqual(worker_pool.starts_of(A), 2)

        self.play(body)


if __name__ == "__main__":
    unittest.main()
