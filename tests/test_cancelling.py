"""Work of a cancelled job stops, even if it starts late or its worker is unreachable."""

from __future__ import annotations

import asyncio

from saddlestack.interfaces.workers import EndKind
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.workers import PoolWorker
from saddlestack.work import JobState
from tests.test_pool import PoolTest

A = "00000000000000aa"
STOPPED_WITHIN_S = 3.0
"""Time for a poll to find the run, and for the stop, which takes 0.5 s."""


def worker_of(cluster: PoolCluster) -> PoolWorker:
    """The worker of the run that started last."""
    return cluster.worker_pool.workers[cluster.worker_pool.history[-1].worker]


class CancelledWorkTest(PoolTest):
    def test_it_stops_on_a_worker_that_a_new_leader_finds_later(self) -> None:
        """Its record has lapsed when the new leader reads, and returns after the cancellation."""

        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(A, job(1, work_s=60.0))
            await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 1)
            worker = worker_of(cluster)
            cluster.worker_pool.expire_record(worker)
            await cluster.kill(cluster.leader_name)
            await cluster.until(lambda: cluster.leader is not None)
            self.assertTrue(await cluster.cancel(A))
            await asyncio.sleep(0.5)
            cluster.worker_pool.record(worker)
            await cluster.until(
                lambda: cluster.worker_pool.ends_of(A, EndKind.STOPPED) == 1, STOPPED_WITHIN_S
            )
            await cluster.until_state(A, JobState.CANCELLED, STOPPED_WITHIN_S)

        self.play(body)

    def test_it_stops_if_the_start_is_carried_out_late(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            for worker in cluster.worker_pool.workers.values():
                worker.late_orders = 1
                worker.late_s = 3.0
            await cluster.submit(A, job(1, work_s=60.0))
            await asyncio.sleep(0.3)
            self.assertTrue(await cluster.cancel(A))
            await asyncio.sleep(3.0 + STOPPED_WITHIN_S)
            running = [run for w in cluster.worker_pool.workers.values() for run in w.runs.values()]
            self.assertEqual(running, [])

        self.play(body)

    def test_it_stops_if_the_leader_is_gone_before_the_start_is_carried_out(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            for worker in cluster.worker_pool.workers.values():
                worker.late_orders = 1
                worker.late_s = 3.0
            await cluster.submit(A, job(1, work_s=60.0), at="entry-2")
            await asyncio.sleep(0.2)
            old = cluster.leader_name
            await cluster.kill(old)
            self.assertTrue(await cluster.cancel(A))
            await asyncio.sleep(4.0 + STOPPED_WITHIN_S)
            running = [run for w in cluster.worker_pool.workers.values() for run in w.runs.values()]
            self.assertEqual(running, [])

        self.play(body)
