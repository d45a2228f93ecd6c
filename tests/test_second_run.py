"""Ways in which a task could run twice at once: a leader takes a run for over that goes on.

The floor tells: a start of a task that runs on another worker that is up is a broken promise.
"""

from __future__ import annotations

import asyncio
import unittest
import unittest.mock
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import TypeVar

from saddlestack.interfaces.store import (
    Committed,
    Conflict,
    Item,
    Listing,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)
from saddlestack.interfaces.workers import (
    EndedTask,
    EndKind,
    StartOrder,
    StartReply,
    WorkerRecord,
    WorkerReport,
    WorkerUnreachable,
)
from saddlestack.platform.orders import MAX_ENDS_PER_REPORT
from saddlestack.policy.cluster.records import TaskStatus
from saddlestack.standins.loop import WALL_EPOCH_S, run
from saddlestack.standins.pool import cluster as cluster_module
from saddlestack.standins.pool.cluster import RETENTION_S, PoolCluster, job
from saddlestack.standins.pool.orders import PoolWorkerOrders
from saddlestack.standins.pool.store import StoreView
from saddlestack.standins.pool.workers import CLOCK_START_MS, PoolWorker, WorkerPool
from saddlestack.work import JobRequest, JobState
from tests.test_session import HEARTBEAT_S, TASK, Scene, SessionCase

T = TypeVar("T")

A = "00000000000000aa"
B = "00000000000000bb"
NOTICE_S = 2.0
LAPSE_HEARTBEATS = 3.0
"""A worker's record lapses so many of its heartbeats after it was last written."""
SLOW = 0.98
"""Workers' clocks may run 2 % slow."""


@dataclass
class Trouble:
    """Faults that the stand-ins do not have.

    :param frozen: VMs that stand still, and what ends that: calls under way then are over their
        time, and what they would have done next is done.
    :param cut: pairs of a VM and a worker between which nothing passes.
    :param resets: workers that end each new call at once.
    :param on_start: told of each start before it leaves; ``True`` where its request gets lost.
    """

    frozen: dict[str, asyncio.Event] = field(default_factory=dict)
    cut: set[tuple[str, str]] = field(default_factory=set)
    resets: set[str] = field(default_factory=set)
    on_start: Callable[[str, StartOrder], bool] | None = None

    def freeze(self, vm: str) -> None:
        """Have a VM stand still."""
        self.frozen[vm] = asyncio.Event()

    def thaw(self, vm: str) -> None:
        """Let a VM go on."""
        self.frozen.pop(vm).set()

    async def thawed(self, vm: str) -> bool:
        """Wait while a VM stands still; whether it did."""
        event = self.frozen.get(vm)
        if event is None:
            return False
        await event.wait()
        return True


class TroubledOrders:
    """One VM's way to one worker, through all of this trouble."""

    def __init__(self, trouble: Trouble, vm: str, inner: PoolWorkerOrders) -> None:
        self._trouble = trouble
        self._vm = vm
        self._inner = inner

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        """Start a run."""
        on_start = self._trouble.on_start
        if on_start is not None and on_start(self._vm, order):
            if not await self._trouble.thawed(self._vm):
                await asyncio.sleep(timeout_s)
            raise WorkerUnreachable("lost")
        return await self._through(timeout_s, lambda: self._inner.start(order, timeout_s))

    async def stop(self, task: str, run: int, fence: int, timeout_s: float) -> None:
        """Stop a run."""
        await self._through(timeout_s, lambda: self._inner.stop(task, run, fence, timeout_s))

    async def pace(self, task: str, run: int, percent: int, fence: int, timeout_s: float) -> None:
        """Let a run work at a share of its speed."""
        await self._through(
            timeout_s, lambda: self._inner.pace(task, run, percent, fence, timeout_s)
        )

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float, timeout_s: float
    ) -> WorkerReport:
        """Renew the lease, acknowledge ends, and look."""
        return await self._through(
            timeout_s, lambda: self._inner.hold(fence, deadline_ms, seen, wait_s, timeout_s)
        )

    def close(self) -> None:
        """Nothing is kept open."""

    async def _through(self, timeout_s: float, call: Callable[[], Awaitable[T]]) -> T:
        await self._trouble.thawed(self._vm)
        worker_id = self._inner.worker.worker_id
        if worker_id in self._trouble.resets:
            raise WorkerUnreachable("reset")
        if (self._vm, worker_id) in self._trouble.cut:
            await asyncio.sleep(timeout_s)
            raise WorkerUnreachable("silence")
        answer = await call()
        if await self._trouble.thawed(self._vm):
            raise WorkerUnreachable("over its time")
        if (self._vm, worker_id) in self._trouble.cut:
            await asyncio.sleep(timeout_s)
            raise WorkerUnreachable("the answer is lost")
        return answer


class FreezingView(StoreView):
    """A VM's way to the store; the VM may stand still."""

    trouble: Trouble
    vm: str = ""

    async def get(self, key: str) -> Item:
        """A key."""
        return await self._through(lambda: StoreView.get(self, key))

    async def list(self, prefix: str) -> Listing:
        """All keys under a prefix."""
        return await self._through(lambda: StoreView.list(self, prefix))

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Changes after a revision."""
        return await self._through(lambda: StoreView.watch(self, prefix, after, wait_s))

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Make changes all together."""
        try:
            return await self._through(lambda: StoreView.transact(self, transaction))
        except StoreUnavailable as error:
            raise WriteInDoubt(str(error)) from error

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """A new lease."""
        return await self._through(lambda: StoreView.grant_lease(self, ttl_s))

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        await self._through(lambda: StoreView.renew_lease(self, lease))

    async def _through(self, call: Callable[[], Awaitable[T]]) -> T:
        await self.trouble.thawed(self.vm)
        answer = await call()
        if await self.trouble.thawed(self.vm):
            raise StoreUnavailable("over its time")
        return answer


class TroubledCluster(PoolCluster):
    """A small deployment with more trouble than the stand-ins have."""

    trouble: Trouble

    def _orders(self, name: str, record: WorkerRecord) -> TroubledOrders:
        inner = PoolCluster._orders(self, name, record)
        assert isinstance(inner, PoolWorkerOrders)
        return TroubledOrders(self.trouble, name, inner)

    def others(self, vm: str) -> list[str]:
        """All VMs but one."""
        return [name for name in self.members if name != vm]

    def cut_from_all_but(self, vm: str, worker: PoolWorker) -> None:
        """No VM but one reaches a worker."""
        self.trouble.cut |= {(name, worker.worker_id) for name in self.others(vm)}

    def worker_of(self, job_id: str) -> PoolWorker:
        """Where the latest run of a job began."""
        runs = [each for each in self.worker_pool.history if each.task.job_id == job_id]
        return self.worker_pool.workers[runs[-1].worker]


class SecondRunCase(unittest.TestCase):
    """Plays a small deployment through trouble; no task may run twice at once."""

    def play(
        self,
        body: Callable[[TroubledCluster], Awaitable[None]],
        *,
        workers: int = 2,
        stop_s: float = 0.5,
    ) -> None:
        async def main() -> None:
            trouble = Trouble()
            cluster = TroubledCluster(entries=3, racks=1, workers=workers)
            cluster.times.stop_s = stop_s
            cluster.trouble = trouble
            numbers = iter(range(1, 100))

            def view(state: object) -> FreezingView:
                made = FreezingView(cluster.store)
                made.trouble, made.vm = trouble, f"entry-{next(numbers)}"
                return made

            with unittest.mock.patch.object(cluster_module, "StoreView", view):
                await cluster.start()
            try:
                await body(cluster)
            finally:
                for vm in list(trouble.frozen):
                    trouble.thaw(vm)
                await cluster.stop()
            self.assertEqual(cluster.worker_pool.violations, [])

        run(main())


class FrozenLeaderTest(SecondRunCase):
    def test_a_leader_that_thaws_renews_nothing_that_its_successor_counts_as_over(self) -> None:
        """Nothing checked how old the term is when a lease is renewed; now the leader does.

        One worker is reached by the leader alone. The leader renews its lease and stands still for
        9.8 s. The others elect a new one after 1 s, which does not reach the worker and counts
        1 s, the 4.5 s for which a leader without the store renews, and the longest lease: 16.2 s.
        The old leader goes on before the worker's lease of 10 s is over, and renews it within 3 ms,
        sooner than the store tells that its term is over. The run then lasted until 19.8 s, the new
        leader started the next one at 17 to 18 s.
        """

        async def body(cluster: TroubledCluster) -> None:
            await cluster.submit(A, job(1, work_s=90.0, accelerators=8))
            await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 1)
            await asyncio.sleep(5.0)
            old, worker = cluster.leader_name, cluster.worker_of(A)
            cluster.cut_from_all_but(old, worker)
            clock = asyncio.get_running_loop()
            while worker.lease_until - clock.time() < 9.99:
                await asyncio.sleep(0.002)
            cluster.trouble.freeze(old)
            await asyncio.sleep(9.8)
            cluster.trouble.thaw(old)
            await asyncio.sleep(15.0)

        self.play(body)

    def test_a_leader_that_thaws_starts_nothing_that_its_successor_counts_as_over(self) -> None:
        """Nothing checked how old the term is when a start is sent again; now the leader does.

        One worker is reached by the leader alone. A start is in the store, its first order gets
        lost, and the leader stands still for 25 s. The next leader does not reach the worker,
        counts every lease as over after 17 s and starts the task elsewhere. The old one goes on,
        finds the order over its time and sends it again, at once; the worker has seen no later
        fencing token, and the order brings a lease of 10 s from now.
        """

        async def body(cluster: TroubledCluster) -> None:
            old = cluster.leader_name
            worker = next(iter(cluster.worker_pool.workers.values()))
            cluster.cut_from_all_but(old, worker)
            sent: list[str] = []

            def lose_the_first(vm: str, order: StartOrder) -> bool:
                sent.append(vm)
                if len(sent) == 1:
                    cluster.trouble.freeze(old)
                return len(sent) == 1

            cluster.trouble.on_start = lose_the_first
            await cluster.submit(A, job(1, work_s=90.0, accelerators=8), at=cluster.others(old)[0])
            await cluster.until(lambda: bool(sent))
            cluster.worker_pool.add(worker.rack, worker.data_hall)
            await asyncio.sleep(25.0)
            self.assertEqual(cluster.worker_pool.starts_of(A), 1)
            cluster.trouble.thaw(old)
            await asyncio.sleep(3.0)

        self.play(body, workers=1)


class UnlistedLeaderTest(SecondRunCase):
    def test_a_leader_that_is_not_listed_counts_as_one_that_may_renew(self) -> None:
        """Only VMs that are listed now are asked whether they renew.

        The store was silent for 12 s and its leases ran out, those of the members' entries among
        them. Once it was back somebody led within 0.2 s; an entry was written anew only when its VM
        next renewed it, up to 3 s later. Before that the leader started a task on a worker which
        only it reached, and was cut off from the store. It renewed for 4.5 s after its lease; the
        next leader asked all VMs that it knew, heard that nobody renewed, and counted one lease
        from then. Now a VM leads only once it is listed. The next leader may have just started: it
        knows of no entry that went before.
        """

        async def body(cluster: TroubledCluster) -> None:
            for member in cluster.members.values():
                member.view.faults.silent = True
            await asyncio.sleep(12.0)
            for member in cluster.members.values():
                member.view.faults.silent = False
            await cluster.until(lambda: cluster.leader is not None)
            old = cluster.leader_name
            await cluster.submit(A, job(1, work_s=90.0, accelerators=8), at=old)
            await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 1)
            cluster.cut_from_all_but(old, cluster.worker_of(A))
            cluster.member(old).view.faults.silent = True
            listed = [item.key for item in cluster.store.keys("saddlestack/members/")]
            self.assertIn(f"saddlestack/members/{old}", listed)
            for name in cluster.others(old):
                cluster.members[name].vm.membership._gone.clear()
            await asyncio.sleep(25.0)

        self.play(body)


class LeavingWorkerTest(SecondRunCase):
    def leave(
        self,
        lost: Callable[[TroubledCluster, PoolWorker], None],
        record_lasts_s: float = LAPSE_HEARTBEATS * HEARTBEAT_S,
    ) -> None:
        """A worker that is late to leave, and cut off from the store, is not heard for a moment.

        Its last heartbeat to the store is its notice; its record lapses three heartbeats later.

        :param lost: what keeps it from being heard.
        :param record_lasts_s: from its notice on.
        """

        async def body(cluster: TroubledCluster) -> None:
            await cluster.submit(A, job(1, work_s=90.0, accelerators=8))
            await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 1)
            await asyncio.sleep(6.0)
            worker = cluster.worker_of(A)
            worker.lost_stops, worker.late_s = 100, 60.0
            cluster.worker_pool.record(worker, remaining_ms=round(NOTICE_S * 1000))
            await asyncio.sleep(record_lasts_s - 0.2)
            lost(cluster, worker)
            await asyncio.sleep(0.3)
            cluster.worker_pool.expire_record(worker)
            await asyncio.sleep(1.3)
            cluster.trouble.resets.clear()
            cluster.trouble.cut.clear()
            await asyncio.sleep(8.0)

        self.play(body)

    def test_a_worker_that_resets_calls_has_not_left(self) -> None:
        """Looks that are reset, or answered with an error, take no time and prove nothing.

        The time since the worker's last answer told whether it had removed its record; now the
        record's age does.

        A worker announces its end in 2 s and serves on for longer, as it may; the stop of its run
        is not answered. It is cut off from the store alone, so its record lapses while it answers
        the VMs: it looked as if it had removed it. Then it resets each call for a moment. Its
        run counted as over at once and started elsewhere, while it went on.
        """

        def lost(cluster: TroubledCluster, worker: PoolWorker) -> None:
            cluster.trouble.resets.add(worker.worker_id)

        self.leave(lost)

    def test_a_worker_out_of_reach_for_a_second_has_not_left(self) -> None:
        """The same where the path to it is lost for 1.5 s."""

        def lost(cluster: TroubledCluster, worker: PoolWorker) -> None:
            cluster.cut_from_all_but("", worker)

        self.leave(lost)

    def test_a_worker_that_removed_its_record_may_serve_on(self) -> None:
        """A worker's record tells where to find it, not that it has ended.

        Workers serve on for seconds after the end that they announced, and some remove their record
        before they end. One that had done both counted as gone once three looks of 0.3 s were lost:
        its run started elsewhere while it went on. No moment of silence tells such a worker from
        one that has ended; what ran there is over with its lease.
        """

        def lost(cluster: TroubledCluster, worker: PoolWorker) -> None:
            cluster.cut_from_all_but("", worker)

        self.leave(lost, record_lasts_s=NOTICE_S + 0.2)


class SlowClockTest(SecondRunCase):
    def test_a_late_start_after_a_long_rest_lasts_no_longer_than_it_is_counted(self) -> None:
        """A lease is counted from its order; a clock read long ago let it last longer.

        Deadlines now go by the earliest that the clock may say.

        Workers' clocks run 2 % slow. A worker had nothing to do for 300 s and was not looked at, so
        the leader takes its clock to be 6 s further than it is. A start is not answered and carried
        out 5 s later; it lasts for the longest lease from then, 15.2 s from its order, since the
        worker's own limit counts from when it comes and the deadline lies 16 s ahead. The worker is
        out of reach; the leader counts 10.7 s from its last try, and starts the task elsewhere.
        """

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


class ForgottenJobTest(SecondRunCase):
    def test_a_job_of_many_times_is_forgotten_whole_or_not_at_all(self) -> None:
        """Its records are removed in parts; the job itself went with the last, now with the first.

        A job of 40 times is completed and due to be forgotten. The leader removes the records of
        the first 31 times and dies before the second part. The next one finds the job, and no
        progress of these times: it runs them again.
        """

        async def body(cluster: TroubledCluster) -> None:
            once = job(1, work_s=0.2)
            request = JobRequest(
                payload=once.payload,
                steps=once.steps,
                times=40,
                first_at_ms=round(WALL_EPOCH_S * 1000),
                interval_ms=100,
            )
            await cluster.submit(A, request)
            await cluster.until_state(A, JobState.COMPLETED, 60.0)
            self.assertEqual(cluster.worker_pool.starts_of(A), 40)
            prefix = f"saddlestack/progress/{A}."
            await asyncio.sleep(RETENTION_S - 5.0)
            async with asyncio.timeout(10.0):
                while len(cluster.store.keys(prefix)) == 40:
                    await asyncio.sleep(0.001)
            self.assertNotEqual(cluster.store.keys(prefix), [])
            await cluster.kill(cluster.leader_name)
            await asyncio.sleep(20.0)
            self.assertEqual(cluster.worker_pool.starts_of(A), 40)
            self.assertEqual(cluster.store.keys(prefix), [])

        self.play(body)


class FullReportTest(SessionCase):
    def test_a_report_with_as_many_ends_as_fit_tells_nothing_of_others(self) -> None:
        """A worker lists 500 ends at once; such a report is no longer taken for whole.

        The store is slow, so no end is acknowledged. A run ends done after 500 others: it is
        neither among the running nor among the ends that fit. It counts as never begun and starts
        again, and its end is taken note of later.
        """

        async def body(scene: Scene) -> None:
            scene.owner.stored.clear()
            scene.assign()
            scene.list_run()
            await asyncio.sleep(0.5)
            others = tuple(
                EndedTask(number, f"{number + 1:016x}.0.0.0", 1, EndKind.DONE, "")
                for number in range(1, MAX_ENDS_PER_REPORT + 1)
            )
            own = EndedTask(MAX_ENDS_PER_REPORT + 1, TASK, 1, EndKind.DONE, "")
            scene.orders.ended = (*others, own)
            scene.orders.running = ()
            await asyncio.sleep(6.0)
            self.assertIsNot(scene.status, TaskStatus.WAITING)
            scene.owner.stored.set()
            await asyncio.sleep(6.0)
            self.assertIs(scene.status, TaskStatus.DONE)

        self.play(body)
