"""Evacuation of data halls, and workers that are cold after they return."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from saddlestack.interfaces.workers import RunningTask, WorkerUnreachable
from saddlestack.policy.cluster.progress import MIN_STUCK_S
from saddlestack.policy.cluster.records import TaskStatus
from saddlestack.policy.cluster.wait_limits import IDLE_POOL_WAIT_S
from saddlestack.standins.loop import run
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import JobState
from tests.test_cluster_state import BULK, PATIENT, ClusterCase, record, step
from tests.test_pool import PoolTest
from tests.test_session import Scene, SessionCase

A = "00000000000000aa"
B = "00000000000000bb"
NEAR, FAR = "hall-1", "hall-2"
UPDATE_S = 0.2
"""A watch reports a change within 4 ms, and a scheduling round follows."""


class ClusterEvacuationTest(ClusterCase):
    def setUp(self) -> None:
        super().setUp()
        for hall, rack in ((NEAR, "r1"), (FAR, "r2")):
            for number in (1, 2):
                made = record(f"{rack}-{number}", rack=rack, hall=hall)
                self.cluster_state.set_worker(made, 0.0)

    def halls(self, now: float = 0.0) -> set[str]:
        """The data halls in which tasks start now."""
        starts = self.plan(now).starts
        return {
            self.cluster_state.workers[start.run.worker_id].record.data_hall for start in starts
        }

    def test_nothing_starts_there_and_present_runs_continue(self) -> None:
        running = self.add(step(32, 1))
        self.assertEqual(self.halls(), {NEAR, FAR})
        self.cluster_state.evacuate(frozenset({FAR}))
        changes = self.plan(1.0)
        self.assertEqual(changes.stops, [])
        self.cluster_state.evacuate(frozenset())
        self.cluster_state.cancel(running)

    def test_work_goes_to_the_remaining_halls(self) -> None:
        self.cluster_state.evacuate(frozenset({FAR}))
        self.add(step(20, 1))
        self.assertEqual(self.halls(), {NEAR})

    def test_all_halls_are_evacuated_and_one_is_reopened(self) -> None:
        self.cluster_state.evacuate(frozenset({NEAR, FAR}))
        self.add(step(2, 8, gang=True))
        self.assertEqual(self.halls(), set())
        self.cluster_state.evacuate(frozenset({NEAR}))
        self.assertEqual(self.halls(1.0), {FAR})

    def test_a_new_worker_in_an_evacuated_hall_gets_no_work(self) -> None:
        self.cluster_state.evacuate(frozenset({NEAR, FAR, "hall-3"}))
        self.cluster_state.set_worker(record("new", rack="r3", hall="hall-3"), 1.0)
        self.add(step(1, 1))
        self.assertEqual(self.halls(1.0), set())

    def test_a_reservation_there_is_released_and_made_elsewhere(self) -> None:
        self.add(step(32, 1), priority=BULK)
        self.plan(PATIENT)
        self.add(step(2, 8, gang=True))
        stops = self.plan(PATIENT + 1).stops
        first = {self.cluster_state.workers[stop.worker_id].record.data_hall for stop in stops}
        self.assertEqual(len(first), 1)
        self.cluster_state.evacuate(frozenset(first))
        stops = self.plan(PATIENT + 1.1).stops
        second = {self.cluster_state.workers[stop.worker_id].record.data_hall for stop in stops}
        self.assertEqual(second, {NEAR, FAR} - first)
        held = [w for w in self.cluster_state.workers.values() if w.reserved.accelerators]
        self.assertEqual({w.record.data_hall for w in held}, second)

    def test_the_headroom_is_a_share_of_the_remaining_workers(self) -> None:
        """Of the two remaining workers one may be used: a quarter of two has to stay empty, not a
        quarter of all six.
        """
        for number in (1, 2):
            self.cluster_state.set_worker(record(f"r3-{number}", rack="r3", hall="hall-3"), 0.0)
        self.cluster_state.evacuate(frozenset({NEAR}))
        self.add(step(4, 8), priority=BULK)
        self.assertEqual(self.halls(), {FAR, "hall-3"})
        self.cluster_state.evacuate(frozenset({FAR, "hall-3"}))
        for starts in (1, 0):
            self.add(step(1, 8), priority=BULK)
            self.assertEqual(len(self.plan(1.0).starts), starts)

    def test_nothing_waits_for_the_headroom_while_most_of_the_service_is_idle(self) -> None:
        """Half of the four remaining workers are in use, but only a third of all six."""
        for name in ("r1-3", "r1-4"):
            self.cluster_state.set_worker(record(name, rack="r1", hall=NEAR), 0.0)
        self.cluster_state.evacuate(frozenset({FAR}))
        self.add(step(2, 8), priority=BULK)
        self.plan()
        self.add(step(1, 8), priority=BULK)
        self.assertEqual(self.plan(1.0).starts, [])
        self.assertEqual(len(self.plan(1.5 + IDLE_POOL_WAIT_S).starts), 1)

    def test_the_headroom_is_kept_while_half_of_the_whole_service_is_in_use(self) -> None:
        for name in ("r1-3", "r1-4"):
            self.cluster_state.set_worker(record(name, rack="r1", hall=NEAR), 0.0)
        self.cluster_state.evacuate(frozenset({NEAR}))
        self.add(step(2, 8), priority=BULK)
        self.assertEqual(self.halls(), {FAR})
        self.cluster_state.evacuate(frozenset({FAR}))
        self.add(step(2, 8), priority=BULK)
        self.plan(1.0)
        self.add(step(1, 8), priority=BULK)
        self.assertEqual(self.plan(2.0).starts, [])
        self.assertEqual(self.plan(2.5 + IDLE_POOL_WAIT_S).starts, [])

    def test_a_gang_of_one_rack_uses_a_remaining_rack(self) -> None:
        self.cluster_state.evacuate(frozenset({FAR}))
        self.add(step(2, 8, gang=True, same_rack=True))
        self.assertEqual(self.halls(), {NEAR})

    def test_urgent_work_goes_to_warm_workers_first(self) -> None:
        for name in ("r1-1", "r1-2", "r2-1"):
            rack = name[:2]
            hall = NEAR if rack == "r1" else FAR
            self.cluster_state.set_worker(record(name, rack=rack, hall=hall, cold_ms=4000), 1.0)
        self.add(step(1, 8))
        self.assertEqual([start.run.worker_id for start in self.plan(1.0).starts], ["r2-2"])
        self.add(step(1, 8))
        self.assertEqual(len(self.plan(1.1).starts), 1)

    def test_a_record_that_is_read_again_makes_no_worker_cold(self) -> None:
        cold = record("r1-1", rack="r1", hall=NEAR, cold_ms=4000)
        self.cluster_state.set_worker(cold, 1.0)
        worker = self.cluster_state.set_worker(cold, 4.0)
        self.assertFalse(worker.is_cold(5.1))

    def test_no_run_is_stuck_while_its_worker_is_cold(self) -> None:
        for worker in list(self.cluster_state.workers.values()):
            cold = record(worker.worker_id, rack=worker.record.rack, cold_ms=30_000)
            self.cluster_state.set_worker(cold, 0.0)
        self.add(step(1, 1))
        run = self.plan().starts[0].run
        for now in (0.1, 1.0, 1.0 + MIN_STUCK_S, 9.0):
            row = RunningTask(str(run.task.name), 1, "", 5)
            self.cluster_state.worker_reported(run.worker_id, [row], now)
        self.assertEqual(self.cluster_state.take_changes().stops, [])


class OrderEvacuationTest(SessionCase):
    def test_an_unconfirmed_start_is_stopped_instead_of_repeated(self) -> None:
        async def body(scene: Scene) -> None:
            scene.orders.start_faults = [WorkerUnreachable]
            scene.assign()
            await asyncio.sleep(0.1)
            scene.cluster_state.evacuate(frozenset({"hall"}))
            await asyncio.sleep(2.0)
            self.assertEqual(scene.orders.starts, 1)
            self.assertEqual(len(scene.orders.stops), 1)
            self.assertIs(scene.status, TaskStatus.WAITING)

        self.play(body)

    def test_a_start_that_is_not_sent_yet_is_never_sent(self) -> None:
        async def body(scene: Scene) -> None:
            scene.assign()
            scene.cluster_state.evacuate(frozenset({"hall"}))
            await asyncio.sleep(1.0)
            self.assertEqual(scene.orders.starts, 0)
            self.assertIs(scene.status, TaskStatus.WAITING)

        self.play(body)


class PoolEvacuationTest(PoolTest):
    def starts_in(self, cluster: PoolCluster, hall: str) -> int:
        """The number of runs that were started in a data hall."""
        workers = cluster.worker_pool.workers
        return sum(
            1 for run in cluster.worker_pool.history if workers[run.worker].data_hall == hall
        )

    def evacuated(self, trouble: Callable[[PoolCluster], Awaitable[None]]) -> None:
        """Check that no task starts in an evacuated data hall during a fault, and that tasks start
        there again after the evacuation.
        """

        async def body(cluster: PoolCluster) -> None:
            cluster.evacuate(FAR)
            await trouble(cluster)
            await asyncio.sleep(UPDATE_S)
            for number in range(4):
                await cluster.submit(f"{number:016x}", job(8, work_s=0.5), queue="urgent")
                await asyncio.sleep(0.5)
            await cluster.until_state(f"{3:016x}", JobState.COMPLETED)
            self.assertEqual(self.starts_in(cluster, FAR), 0)
            cluster.end_evacuation(FAR)
            await asyncio.sleep(UPDATE_S)
            await cluster.submit(A, job(4, accelerators=8), queue="urgent")
            await cluster.until_state(A, JobState.COMPLETED)
            self.assertGreater(self.starts_in(cluster, FAR), 0)

        self.play(body)

    def test_without_other_faults(self) -> None:
        async def trouble(cluster: PoolCluster) -> None:
            await asyncio.sleep(0.0)

        self.evacuated(trouble)

    def test_the_leader_is_lost_right_afterwards(self) -> None:
        async def trouble(cluster: PoolCluster) -> None:
            await cluster.kill(cluster.leader_name)
            await cluster.until(lambda: cluster.leader is not None)

        self.evacuated(trouble)

    def test_a_new_leader_reads_the_evacuation_before_it_decides(self) -> None:
        async def trouble(cluster: PoolCluster) -> None:
            for member in cluster.members.values():
                member.view.faults.slow_lists["op/evacuate/"] = 0.9
            await cluster.submit(B, job(16, work_s=0.5), queue="urgent", at="entry-2")
            old = cluster.leader_name
            await cluster.kill(old)
            await cluster.until(lambda: cluster.leader is not None)

        self.evacuated(trouble)

    def test_the_store_loses_its_history(self) -> None:
        async def trouble(cluster: PoolCluster) -> None:
            cluster.store.forget_history()
            await asyncio.sleep(0.3)

        self.evacuated(trouble)

    def test_the_watch_of_the_leader_is_silent_for_a_while(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            views = [member.view for member in cluster.members.values()]
            for view in views:
                view.faults.silent = True
            cluster.evacuate(FAR)
            await asyncio.sleep(2.0)
            for view in views:
                view.faults.silent = False
            await asyncio.sleep(1.0)
            await cluster.submit(A, job(16, work_s=0.5), queue="urgent")
            await cluster.until_state(A, JobState.COMPLETED)
            self.assertEqual(self.starts_in(cluster, FAR), 0)

        self.play(body)

    def test_canceled_and_requested_again_within_a_second(self) -> None:
        async def trouble(cluster: PoolCluster) -> None:
            await asyncio.sleep(0.4)
            cluster.end_evacuation(FAR)
            await asyncio.sleep(0.3)
            cluster.evacuate(FAR)

        self.evacuated(trouble)

    def test_requested_before_any_vm_leads(self) -> None:
        async def main() -> None:
            cluster = PoolCluster()
            cluster.evacuate(FAR)
            await cluster.start()
            try:
                await cluster.submit(A, job(16, work_s=0.5), queue="urgent")
                await cluster.until_state(A, JobState.COMPLETED)
                self.assertEqual(self.starts_in(cluster, FAR), 0)
            finally:
                await cluster.stop()

        run(main())

    def test_starts_that_are_decided_and_not_sent_go_elsewhere(self) -> None:
        """The record of a start is being written to a slow store when the evacuation begins."""

        async def body(cluster: PoolCluster) -> None:
            leader = cluster.member(cluster.leader_name)
            leader.view.faults.slow_s = 0.5
            await cluster.submit(A, job(4, accelerators=8, gang=True), queue="urgent", at="entry-2")
            await asyncio.sleep(0.4)
            assert leader.vm.scheduler is not None
            leader.vm.scheduler.cluster_state.evacuate(frozenset({FAR}))
            await asyncio.sleep(3.0)
            self.assertEqual(self.starts_in(cluster, FAR), 0)
            leader.vm.scheduler.cluster_state.evacuate(frozenset())
            leader.vm.scheduler.reschedule()
            await cluster.until_state(A, JobState.COMPLETED)

        self.play(body)

    def test_the_evacuation_is_shown_in_metrics(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.evacuate(FAR)
            await asyncio.sleep(UPDATE_S)
            leader = cluster.leader
            assert leader is not None
            self.assertEqual(leader.metrics.view().counters["evacuated_halls"], 1)

        self.play(body)
