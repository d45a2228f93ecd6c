"""What a record says now, or a moment that has passed, is not the state of a life or a term."""

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
from tests.test_second_run import SLOW, SecondRunCase, TroubledCluster
from tests.test_session import HOLD_S as SESSION_HOLD_S
from tests.test_session import FakeOrders, Scene, SessionCase, SingleWorkerOwner

HEARD_S = 1.0
STALL_S = 5.0


class StalledClock(Clock):
    """A clock of a process that stood still for some seconds between two lines."""

    stalled_s = 0.0

    def now(self) -> float:
        return super().now() + self.stalled_s


class NotingOrders(FakeOrders):
    """Notes the deadlines of starts; the worker's clock goes on while the leader stands still."""

    clock: StalledClock
    start_deadlines: list[int]

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        self.start_deadlines.append(order.deadline_ms)
        return await FakeOrders.start(self, order, timeout_s)

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float, timeout_s: float
    ) -> WorkerReport:
        report = await FakeOrders.hold(self, fence, deadline_ms, seen, wait_s, timeout_s)
        return replace(report, clock_ms=round(self.clock.now() * 1000))


class StallTest(SessionCase):
    def test_a_start_brings_no_lease_from_later_than_the_term_was_asked(self) -> None:
        """A leader stands still right after it asked whether its term may still grant leases.

        ``_send_now`` takes the time of the lease after that question: the lease then lasts by the
        stall longer than a successor counts. ``_hold`` takes it before.
        """

        async def body(scene: Scene) -> None:
            orders = NotingOrders()
            orders.clock = clock = StalledClock()
            orders.start_deadlines = []
            asked: list[float] = []

            def may_grant(owner: object) -> bool:
                asked.append(clock.now())
                clock.stalled_s += STALL_S
                return True

            await scene.session.close()
            session = WorkerSession(scene.session.worker, orders, scene.owner, clock, scene.leases)
            with unittest.mock.patch.object(SingleWorkerOwner, "may_grant", property(may_grant)):
                # No look runs beside it, which would ask as well.
                session.start(scene.plan().starts[0])
                await asyncio.sleep(0.1)
            await session.close()
            self.assertEqual((len(asked), len(orders.start_deadlines)), (1, 1))
            self.assertLessEqual(orders.start_deadlines[0], (asked[0] + SESSION_HOLD_S) * 1000 + 10)

        self.play(body)


class StartThatNeverLeftTest(SessionCase):
    def test_a_start_that_never_left_waits_for_no_lease(self) -> None:
        """The worker tells no clock, so that no start leaves; a new term counts it for a lease."""

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


class FalseClockAfterRestTest(SecondRunCase):
    def test_a_late_start_by_a_false_record_after_a_long_rest(self) -> None:
        """The clock was told 300 s ago and runs 2 % slow; a record claims all that it might say."""

        def clock_ms(worker_pool: WorkerPool, worker: PoolWorker) -> int:
            now = asyncio.get_running_loop().time()
            return CLOCK_START_MS + round(now * SLOW * 1000)

        def extend(worker_pool: WorkerPool, worker: PoolWorker, deadline_ms: int) -> None:
            now = asyncio.get_running_loop().time()
            until = (deadline_ms - CLOCK_START_MS) / 1000 / SLOW
            longest = now + worker_pool.times.hold_s / SLOW
            worker.lease_until = max(worker.lease_until, min(until, longest))

        async def body(cluster: TroubledCluster) -> None:
            await cluster.submit(B, job(1, accelerators=8))
            await cluster.until_state(B, JobState.COMPLETED)
            worker = cluster.worker_of(B)
            await asyncio.sleep(300.0)
            EntryCase().rewrite(
                cluster, worker, clock_ms=cluster.worker_pool.clock_ms(worker) + 3_600_000
            )
            await asyncio.sleep(HEARD_S)
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
    def test_a_notice_of_another_writer_ends_with_the_workers_own_record(self) -> None:
        """``leaves_s`` is kept after the worker says that it is ready: work is stopped for ever."""

        async def body(cluster: PoolCluster) -> None:
            worker = next(iter(cluster.worker_pool.workers.values()))
            self.rewrite(cluster, worker, state="draining", remaining_ms=100)
            await asyncio.sleep(HEARD_S)
            cluster.worker_pool.record(worker)
            await asyncio.sleep(HEARD_S)
            await cluster.submit(A, job(1, work_s=3.0))
            await asyncio.sleep(10.0)
            self.assertEqual(cluster.worker_pool.starts_of(A), 1)
            await cluster.until_state(A, JobState.COMPLETED)

        self.play(body, racks=1, workers=1)


class HeartbeatInAWaveTest(EntryCase):
    def test_what_runs_on_a_machine_of_a_wave_is_saved_before_it_goes_down(self) -> None:
        """The worker writes its record every 1.5 s, ready as it is; ``note`` clears ``leaves_s``.

        Upkeep sets that time once, when it chooses the machine. Without it nothing is stopped: what
        saves its progress is killed with the machine, and begins again from its last report.
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
        """Where an assignment names no address, that of the record is asked, and its 421 believed.

        Nothing tells that the life that was given the run ever was at that address.
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


class NoWayThereTest(EntryCase):
    def test_a_life_that_nobody_can_ask_any_more_is_waited_for_until_its_lease_has_lapsed(
        self,
    ) -> None:
        """Holds as it is. It does not rest on what is refused where records are read."""

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
    def test_a_busy_answer_at_that_address_is_not_this_lifes(self) -> None:
        """The life at the false address is unhealthy for a while: it answers 503, then 421.

        A busy answer counts as one of the life that is meant, since its record is listed; the 421
        after it is believed.
        """
        reach = PoolWorkerOrders._reach
        busy_s = 3.0

        async def busy_at_first(orders: PoolWorkerOrders, timeout_s: float) -> None:
            foreign = orders.address != orders.worker.address
            if foreign:
                began = seen.setdefault("began", asyncio.get_running_loop().time())
                if asyncio.get_running_loop().time() < began + busy_s:
                    raise WorkerBusy("answered 503")
            await reach(orders, timeout_s)

        seen: dict[str, float] = {}
        with unittest.mock.patch.object(PoolWorkerOrders, "_reach", busy_at_first):
            self.test_a_record_of_another_writer_gives_no_address_to_an_inherited_run()
        self.assertTrue(seen)


class RemovedMemberTest(EntryCase):
    def test_a_vm_whose_record_was_removed_is_listed_again(self) -> None:
        """It may go on leading and renewing while a VM that has just started finds no record of it.

        ``is_listed`` goes by the lease of the record, which holds on without the record.
        """

        async def body(cluster: PoolCluster) -> None:
            key = f"saddlestack/members/{cluster.leader_name}"
            cluster.store.remove(key)
            await asyncio.sleep(10.0)
            self.assertIn(key, [item.key for item in cluster.store.keys("saddlestack/members/")])

        self.play(body)


class RemovedLeaderTest(SecondRunCase):
    def test_a_leader_whose_record_was_removed_counts_as_one_that_may_renew(self) -> None:
        """Its record goes 13 s before it loses the store; the next leader asks everybody else.

        As ``test_a_leader_that_is_not_listed_counts_as_one_that_may_renew``, but the record is
        removed while the leader leads.
        """

        async def body(cluster: TroubledCluster) -> None:
            old = cluster.leader_name
            cluster.store.remove(f"saddlestack/members/{old}")
            await asyncio.sleep(13.0)
            self.assertEqual(cluster.leader_name, old)
            await cluster.submit(A, job(1, work_s=90.0, accelerators=8), at=old)
            await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 1)
            cluster.cut_from_all_but(old, cluster.worker_of(A))
            cluster.member(old).view.faults.silent = True
            await asyncio.sleep(25.0)

        self.play(body)


class RelistedTest(unittest.TestCase):
    def test_a_record_that_waits_for_its_service_and_goes_names_no_worker(self) -> None:
        """It went while the store forgot its history: no change told of it, the listing did.

        ``replace`` looks for what is gone among the workers and the refused records alone.
        """
        floor_record = PlatformDocuments().worker(Item("servers/w", encoded(), 1))
        cluster_state = ClusterState()
        context = unittest.mock.Mock(documents=PlatformDocuments(), metrics=unittest.mock.Mock())
        context.clock.now.return_value = 1.0
        workers = WorkerList(context, cluster_state, unittest.mock.Mock())
        workers.replace([Item("servers/w", encoded(), 1)])
        workers.replace([])
        workers.add_services([floor_record.service])
        self.assertEqual(list(cluster_state.workers), [])


if __name__ == "__main__":
    unittest.main()
