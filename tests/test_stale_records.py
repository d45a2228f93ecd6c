"""Outdated records and times must not be taken for the state of an incarnation or a term."""

from __future__ import annotations

import asyncio
import unittest
import unittest.mock
from dataclasses import replace

import msgspec

from saddlestack.codec import from_msgpack, to_msgpack
from saddlestack.control.leases import Leases
from saddlestack.control.listing import WorkerList
from saddlestack.control.session import WorkerSession
from saddlestack.interfaces.store import Item
from saddlestack.interfaces.workers import EndKind, StartOrder, StartReply, WorkerBusy, WorkerReport
from saddlestack.kernel.clock import Clock
from saddlestack.platform.documents import PlatformDocuments
from saddlestack.policy.cluster.records import OccurrenceRecord, TaskStatus
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.orders import PoolWorkerOrders
from saddlestack.standins.pool.workers import CLOCK_START_MS, PoolWorker, WorkerPool
from saddlestack.work import JobState
from tests.malformed import encoded
from tests.test_entries import EntryCase, other_address
from tests.test_inherited import HOLD_S, INHERITED_S, A, B
from tests.test_second_run import SLOW, FaultyCluster, SecondRunCase
from tests.test_session import HOLD_S as SESSION_HOLD_S
from tests.test_session import FakeOrders, Scene, SessionCase, SingleWorkerOwner

RECORD_DELAY_S = 1.0
SUSPENSION_S = 5.0


class SuspendedClock(Clock):
    """A clock of a process that was suspended for some seconds between two statements."""

    suspended_s = 0.0

    def now(self) -> float:
        return super().now() + self.suspended_s


class RecordingOrders(FakeOrders):
    """Records the deadlines of starts; the worker's clock runs while the leader is suspended."""

    clock: SuspendedClock
    start_deadlines: list[int]

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        self.start_deadlines.append(order.deadline_ms)
        return await FakeOrders.start(self, order, timeout_s)

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float, timeout_s: float
    ) -> WorkerReport:
        report = await FakeOrders.hold(self, fence, deadline_ms, seen, wait_s, timeout_s)
        return replace(report, clock_ms=round(self.clock.now() * 1000))


class SuspendedLeaderTest(SessionCase):
    def test_a_start_grants_no_lease_from_after_the_check_of_the_term(self) -> None:
        """A leader is suspended right after it checked that its term may still grant leases.

        If ``_send_now`` read the start time of the lease after that check, the lease would last
        longer than a successor assumes, by the duration of the suspension. ``_hold`` reads the time
        before the check.
        """

        async def body(scene: Scene) -> None:
            orders = RecordingOrders()
            orders.clock = clock = SuspendedClock()
            orders.start_deadlines = []
            check_times: list[float] = []

            def may_grant(owner: object) -> bool:
                check_times.append(clock.now())
                clock.suspended_s += SUSPENSION_S
                return True

            await scene.session.close()
            session = WorkerSession(scene.session.worker, orders, scene.owner, clock, scene.leases)
            with unittest.mock.patch.object(SingleWorkerOwner, "may_grant", property(may_grant)):
                # No poll runs at the same time, which would check as well.
                session.start(scene.plan().starts[0])
                await asyncio.sleep(0.1)
            await session.close()
            self.assertEqual((len(check_times), len(orders.start_deadlines)), (1, 1))
            self.assertLessEqual(
                orders.start_deadlines[0], (check_times[0] + SESSION_HOLD_S) * 1000 + 10
            )

        self.play(body)


class UnsentStartTest(SessionCase):
    def test_an_unsent_start_grants_no_lease(self) -> None:
        """Without the worker's clock no start is sent, so a new term must not wait for a lease."""

        async def body(scene: Scene) -> None:
            await scene.session.close()
            leases = Leases(SESSION_HOLD_S, asyncio.get_running_loop().time())
            scene.orders.is_unreachable = True
            session = WorkerSession(
                scene.session.worker, scene.orders, scene.owner, Clock(), leases
            )
            session.begin()
            session.start(scene.plan().starts[0])
            await asyncio.sleep(3.0)
            await session.close()
            self.assertEqual(scene.orders.starts, 0)
            self.assertIs(scene.status, TaskStatus.WAITING)

        self.play(body)


class FalseClockAfterIdleTimeTest(SecondRunCase):
    def test_a_late_start_by_a_false_record_after_a_long_idle_time(self) -> None:
        """The clock, reported 300 s ago, runs 2 % slow; a record claims the latest time allowed."""

        def clock_ms(worker_pool: WorkerPool, worker: PoolWorker) -> int:
            now = asyncio.get_running_loop().time()
            return CLOCK_START_MS + round(now * SLOW * 1000)

        def extend(worker_pool: WorkerPool, worker: PoolWorker, deadline_ms: int) -> None:
            now = asyncio.get_running_loop().time()
            until = (deadline_ms - CLOCK_START_MS) / 1000 / SLOW
            longest = now + worker_pool.times.hold_s / SLOW
            worker.lease_until = max(worker.lease_until, min(until, longest))

        async def body(cluster: FaultyCluster) -> None:
            await cluster.submit(B, job(1, accelerators=8))
            await cluster.until_state(B, JobState.COMPLETED)
            worker = cluster.worker_of(B)
            await asyncio.sleep(300.0)
            EntryCase().rewrite(
                cluster, worker, clock_ms=cluster.worker_pool.clock_ms(worker) + 3_600_000
            )
            await asyncio.sleep(RECORD_DELAY_S)
            worker.late_orders, worker.late_s = 1, 5.0
            await cluster.submit(A, job(1, work_s=90.0, accelerators=8))
            await cluster.until(lambda: not worker.late_orders)
            worker.unreachable = True
            cluster.worker_pool.add(worker.rack, worker.data_hall)
            await asyncio.sleep(20.0)
            self.assertGreaterEqual(cluster.worker_pool.starts_of(A), 2)

        with (
            unittest.mock.patch.object(WorkerPool, "clock_ms", clock_ms),
            unittest.mock.patch.object(WorkerPool, "_extend", extend),
        ):
            self.play(body, workers=1)


class FalseNoticeTest(EntryCase):
    def test_a_notice_of_another_writer_is_cleared_by_the_workers_own_record(self) -> None:
        """A kept ``leaves_s`` would stop all work on a worker that is ready again."""

        async def body(cluster: PoolCluster) -> None:
            worker = next(iter(cluster.worker_pool.workers.values()))
            self.rewrite(cluster, worker, state="draining", remaining_ms=100)
            await asyncio.sleep(RECORD_DELAY_S)
            cluster.worker_pool.record(worker)
            await asyncio.sleep(RECORD_DELAY_S)
            await cluster.submit(A, job(1, work_s=3.0))
            await asyncio.sleep(10.0)
            self.assertEqual(cluster.worker_pool.starts_of(A), 1)
            await cluster.until_state(A, JobState.COMPLETED)

        self.play(body, racks=1, workers=1)


class HeartbeatInAWaveTest(EntryCase):
    def test_runs_on_a_machine_of_a_wave_are_saved_before_it_goes_down(self) -> None:
        """The worker writes its record as ready every 1.5 s, which must not clear ``leaves_s``.

        Upkeep sets that time once, when it chooses the machine. Without it nothing is stopped:
        tasks that save their progress are killed with the machine and start again from their last
        report.
        """

        async def body(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=60.0, checkpoint=True))
            wave = {"wave": 1, "machines": [worker.machine], "deadline-s": 20, "max-tasks": 1}
            cluster.store.put("op/wave/1", msgspec.json.encode(wave))
            async with asyncio.timeout(40.0):
                while (worker.machine, 1) not in cluster.machines.done:
                    await asyncio.sleep(0.5)
                    if worker.up:
                        cluster.worker_pool.record(worker)
            self.assertIs(cluster.worker_pool.history[0].ended, EndKind.STOPPED)

        self.play(body)


class UnknownAddressTest(EntryCase):
    def test_a_record_of_another_writer_gives_no_address_to_an_inherited_run(self) -> None:
        """An assignment without an address must not be checked at the address in the record.

        A 421 from there proves nothing: nothing shows that the incarnation that was given the run
        was ever at that address.
        """

        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(INHERITED_S)
            worker = await self.run_on(cluster, job(1, work_s=3 * HOLD_S, accelerators=8))
            await asyncio.sleep(1.0)
            key = f"saddlestack/progress/{A}.0"
            self.assertIn(key, [item.key for item in cluster.store.keys("saddlestack/progress/")])
            await cluster.kill(cluster.leader_name)
            record = from_msgpack(cluster.store.item(key).value, OccurrenceRecord)
            record.addresses = {}
            cluster.store.put(key, to_msgpack(record))
            self.rewrite(cluster, worker, address=other_address(cluster, worker))
            await asyncio.sleep(5.0)
            self.assertEqual(cluster.worker_pool.violations, [])
            self.assertEqual(cluster.worker_pool.starts_of(A), 1)

        self.play(body)


class UnreachableIncarnationTest(EntryCase):
    def test_the_lease_of_an_unreachable_incarnation_is_waited_for(
        self,
    ) -> None:
        """This holds whichever records are rejected as invalid."""

        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(2 * INHERITED_S)
            worker = await self.run_on(cluster, job(1, work_s=90.0, accelerators=8))
            await asyncio.sleep(1.0)
            leader = cluster.leader
            assert leader is not None and leader.scheduler is not None
            known = leader.scheduler.cluster_state.workers[worker.worker_id]
            known.record = replace(known.record, address="")
            worker.unreachable = True
            await asyncio.sleep(HOLD_S / 2)
            self.assertEqual(cluster.worker_pool.starts_of(A), 1)
            await asyncio.sleep(HOLD_S)
            self.assertEqual(cluster.worker_pool.violations, [])
            self.assertEqual(cluster.worker_pool.starts_of(A), 2)

        self.play(body)


class BusyAddressTest(UnknownAddressTest):
    def test_a_busy_answer_at_that_address_is_not_of_this_incarnation(self) -> None:
        """The incarnation at the wrong address is unhealthy for a while: it answers 503, then 421.

        If the busy answer counted as one of the expected incarnation, since its record is listed,
        the 421 after it would be trusted.
        """
        reach = PoolWorkerOrders._reach
        busy_s = 3.0

        async def busy_at_first(orders: PoolWorkerOrders, timeout_s: float) -> None:
            is_other_address = orders.address != orders.worker.address
            if is_other_address:
                started_s = seen.setdefault("began", asyncio.get_running_loop().time())
                if asyncio.get_running_loop().time() < started_s + busy_s:
                    raise WorkerBusy("answered 503")
            await reach(orders, timeout_s)

        seen: dict[str, float] = {}
        with unittest.mock.patch.object(PoolWorkerOrders, "_reach", busy_at_first):
            self.test_a_record_of_another_writer_gives_no_address_to_an_inherited_run()
        self.assertTrue(seen)


class RemovedMemberTest(EntryCase):
    def test_a_vm_whose_record_was_removed_is_listed_again(self) -> None:
        """It may continue to lead and renew while a VM that has just started finds no record of it.

        ``is_listed`` depends on the lease of the record, which stays valid after the record is
        removed.
        """

        async def body(cluster: PoolCluster) -> None:
            key = f"saddlestack/members/{cluster.leader_name}"
            cluster.store.remove(key)
            await asyncio.sleep(10.0)
            self.assertIn(key, [item.key for item in cluster.store.keys("saddlestack/members/")])

        self.play(body)


class RemovedLeaderTest(SecondRunCase):
    def test_a_leader_whose_record_was_removed_may_still_renew(self) -> None:
        """Its record is removed 13 s before it loses the store; the next leader asks all other VMs.

        As ``test_a_leader_that_is_not_listed_counts_as_one_that_may_renew``, but the record is
        removed while the leader leads.
        """

        async def body(cluster: FaultyCluster) -> None:
            old = cluster.leader_name
            cluster.store.remove(f"saddlestack/members/{old}")
            await asyncio.sleep(13.0)
            self.assertEqual(cluster.leader_name, old)
            await cluster.submit(A, job(1, work_s=90.0, accelerators=8), at=old)
            await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 1)
            cluster.isolate_except(old, cluster.worker_of(A))
            cluster.member(old).view.faults.silent = True
            await asyncio.sleep(25.0)

        self.play(body)


class RelistedTest(unittest.TestCase):
    def test_a_record_removed_while_it_waits_for_its_service_adds_no_worker(self) -> None:
        """It was removed while the store lost its history, so only the listing shows the removal.

        ``replace`` must search for removed records also among those of unknown services, not only
        among the workers and the invalid records.
        """
        floor_record = PlatformDocuments().worker(Item("servers/w", encoded(), 1))
        cluster_state = ClusterState()
        context = unittest.mock.Mock(documents=PlatformDocuments(), metrics=unittest.mock.Mock())
        context.clock.now.return_value = 1.0
        context.health.available_s = 0.0
        workers = WorkerList(context, cluster_state, unittest.mock.Mock())
        workers.replace([Item("servers/w", encoded(), 1)])
        workers.replace([])
        workers.add_services([floor_record.service])
        self.assertEqual(list(cluster_state.workers), [])


if __name__ == "__main__":
    unittest.main()
