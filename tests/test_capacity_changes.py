"""A worker's capacity may shrink and grow while it runs; no start may exceed it."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import msgspec

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.changes import StopReason
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import JobState, Resources
from tests.test_cluster_state import BULK, ClusterCase, record, step
from tests.test_pool import PoolTest
from tests.test_session import Scene, SessionCase

SMALL = Resources(32_000, 64_000, 2)
FEW_CPU = Resources(500, 64_000, 8)
JOB = "00000000000000aa"
RECORD_DELAY_S = 2.0
"""Time within which a leader has received a worker's record."""


class ShrinkTest(ClusterCase):
    def shrink(self, worker_id: str, capacity: Resources) -> None:
        resized = replace(record(worker_id), capacity=capacity)
        self.cluster_state.set_worker(resized, 1.0)

    def test_running_work_goes_on_and_nothing_is_added(self) -> None:
        self.workers(each=1)
        running = self.add(step(2, 2))
        self.plan()
        self.shrink("w11", SMALL)
        other = self.add(step(1, 1))
        changes = self.plan(1.0)
        self.assertEqual((changes.starts, changes.stops), ([], []))
        self.end(running, EndKind.DONE)
        self.assertEqual([s.run.task.name.job_id for s in self.plan(2.0).starts], [other])

    def test_a_worker_over_its_cpu_capacity_takes_no_task_that_needs_no_cpu(self) -> None:
        self.workers(each=1)
        self.add(step(2, 1))
        self.plan()
        self.shrink("w11", FEW_CPU)
        needs_no_cpu = msgspec.structs.replace(step(1, 1), needs=Resources(0, 100, 1))
        self.add(needs_no_cpu)
        self.assertEqual(self.plan(1.0).starts, [])

    def test_capacity_that_grows_is_used_at_once(self) -> None:
        self.workers(each=1)
        self.shrink("w11", SMALL)
        self.add(step(8, 1))
        self.assertEqual(len(self.plan(1.0).starts), 2)
        self.cluster_state.set_worker(record("w11"), 1.5)
        self.assertEqual(len(self.plan(1.5).starts), 6)

    def test_a_run_that_is_being_stopped_still_counts(self) -> None:
        self.workers(each=1)
        running = self.add(step(1, 2), priority=BULK)
        self.plan()
        self.shrink("w11", SMALL)
        run = self.cluster_state.jobs[running].occurrences[0].steps[0].tasks[0].run
        assert run is not None
        self.cluster_state.stop_run(run, StopReason.PREEMPTED)
        self.add(step(1, 1))
        self.assertEqual(self.plan(1.0).starts, [])

    def test_a_reservation_is_not_used_beyond_the_remaining_capacity(self) -> None:
        self.workers(each=1)
        bulk = self.add(step(2, 4), priority=BULK)
        self.plan()
        urgent = self.add(step(1, 8))
        self.assertEqual(len(self.plan(1.0).stops), 2)
        self.shrink("w11", SMALL)
        self.end(bulk, EndKind.STOPPED)
        self.assertNotIn(urgent, [s.run.task.name.job_id for s in self.plan(1.5).starts])

    def test_a_gang_does_not_start_where_a_member_no_longer_fits(self) -> None:
        self.workers(each=2)
        self.shrink("w12", SMALL)
        self.add(step(2, 8, gang=True))
        self.assertEqual(self.plan(1.0).starts, [])
        self.cluster_state.set_worker(record("w12"), 2.0)
        self.assertEqual(len(self.plan(2.0).starts), 2)


class DecidedTest(SessionCase):
    def test_a_decided_start_is_not_sent_to_a_worker_that_has_shrunk(self) -> None:
        async def body(scene: Scene) -> None:
            start = scene.plan().starts[0]
            shrunk = replace(record("w11"), capacity=Resources(32_000, 64_000, 0))
            scene.cluster_state.set_worker(shrunk, 0.1)
            scene.session.start(start)
            await asyncio.sleep(1.0)
            self.assertEqual(scene.orders.starts, 0)
            self.assertIsNone(start.run.task.run)

        self.play(body)


class PoolCapacityTest(PoolTest):
    def test_no_start_exceeds_a_capacity_that_shrinks_and_grows(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            for worker in cluster.worker_pool.workers.values():
                cluster.worker_pool.resize(worker, 2)
            await asyncio.sleep(RECORD_DELAY_S)
            await cluster.submit(JOB, job(24, work_s=1.5))
            for accelerators in (8, 1, 6, 8):
                await asyncio.sleep(1.0)
                for worker in list(cluster.worker_pool.workers.values())[::2]:
                    cluster.worker_pool.resize(worker, accelerators)
            await cluster.until_state(JOB, JobState.COMPLETED)

        self.play(body)
