"""Faults by which a task could run twice at once: a leader counts a run as over that continues.

The worker pool detects this: it is a violation to start a task that still runs on another
worker that is up.
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
"""A worker's record expires this many of its heartbeats after it was last written."""
SLOW = 0.98
"""The rate of a worker's clock, which may run 2 % slow."""


@dataclass
class InjectedFaults:
    """Faults that the stand-ins do not support.

    :param paused: paused VMs, each with the event that resumes it. Calls that were under way then
        time out, and the VM continues with what follows them.
    :param cut: pairs of a VM and a worker that can't reach each other.
    :param resets: workers that reset each new call at once.
    :param on_start: called before each start is sent; ``True`` if the request is to be lost.
    """

    paused: dict[str, asyncio.Event] = field(default_factory=dict)
    cut: set[tuple[str, str]] = field(default_factory=set)
    resets: set[str] = field(default_factory=set)
    on_start: Callable[[str, StartOrder], bool] | None = None

    def pause(self, vm: str) -> None:
        """Pause a VM."""
        self.paused[vm] = asyncio.Event()

    def resume(self, vm: str) -> None:
        """Resume a VM."""
        self.paused.pop(vm).set()

    async def wait_while_paused(self, vm: str) -> bool:
        """Wait while a VM is paused; whether it was."""
        event = self.paused.get(vm)
        if event is None:
            return False
        await event.wait()
        return True


class FaultyOrders:
    """Calls from one VM to one worker, with injected faults."""

    def __init__(self, injected_faults: InjectedFaults, vm: str, inner: PoolWorkerOrders) -> None:
        self._injected_faults = injected_faults
        self._vm = vm
        self._inner = inner

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        """Start a run."""
        on_start = self._injected_faults.on_start
        if on_start is not None and on_start(self._vm, order):
            if not await self._injected_faults.wait_while_paused(self._vm):
                await asyncio.sleep(timeout_s)
            raise WorkerUnreachable("lost")
        return await self._call_with_faults(timeout_s, lambda: self._inner.start(order, timeout_s))

    async def stop(self, task: str, run: int, fence: int, timeout_s: float) -> None:
        """Stop a run."""
        await self._call_with_faults(
            timeout_s, lambda: self._inner.stop(task, run, fence, timeout_s)
        )

    async def pace(self, task: str, run: int, percent: int, fence: int, timeout_s: float) -> None:
        """Set the speed of a run in percent."""
        await self._call_with_faults(
            timeout_s, lambda: self._inner.pace(task, run, percent, fence, timeout_s)
        )

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float, timeout_s: float
    ) -> WorkerReport:
        """Renew the lease, acknowledge ends and poll the worker."""
        return await self._call_with_faults(
            timeout_s, lambda: self._inner.hold(fence, deadline_ms, seen, wait_s, timeout_s)
        )

    def close(self) -> None:
        """Do nothing, since no connection is kept."""

    async def _call_with_faults(self, timeout_s: float, call: Callable[[], Awaitable[T]]) -> T:
        await self._injected_faults.wait_while_paused(self._vm)
        worker_id = self._inner.worker.worker_id
        if worker_id in self._injected_faults.resets:
            raise WorkerUnreachable("reset")
        if (self._vm, worker_id) in self._injected_faults.cut:
            await asyncio.sleep(timeout_s)
            raise WorkerUnreachable("no answer")
        answer = await call()
        if await self._injected_faults.wait_while_paused(self._vm):
            raise WorkerUnreachable("timed out")
        if (self._vm, worker_id) in self._injected_faults.cut:
            await asyncio.sleep(timeout_s)
            raise WorkerUnreachable("the answer is lost")
        return answer


class PausableStoreView(StoreView):
    """A VM's view of the store; the VM may be paused."""

    injected_faults: InjectedFaults
    vm: str = ""

    async def get(self, key: str) -> Item:
        """Read a key."""
        return await self._call_with_faults(lambda: StoreView.get(self, key))

    async def list(self, prefix: str) -> Listing:
        """List all keys under a prefix."""
        return await self._call_with_faults(lambda: StoreView.list(self, prefix))

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Wait for changes after a revision."""
        return await self._call_with_faults(lambda: StoreView.watch(self, prefix, after, wait_s))

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Commit a transaction."""
        try:
            return await self._call_with_faults(lambda: StoreView.transact(self, transaction))
        except StoreUnavailable as error:
            raise WriteInDoubt(str(error)) from error

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Grant a new lease."""
        return await self._call_with_faults(lambda: StoreView.grant_lease(self, ttl_s))

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        await self._call_with_faults(lambda: StoreView.renew_lease(self, lease))

    async def _call_with_faults(self, call: Callable[[], Awaitable[T]]) -> T:
        await self.injected_faults.wait_while_paused(self.vm)
        answer = await call()
        if await self.injected_faults.wait_while_paused(self.vm):
            raise StoreUnavailable("timed out")
        return answer


class FaultyCluster(PoolCluster):
    """A small deployment with faults that the stand-ins do not support."""

    injected_faults: InjectedFaults

    def _orders(self, name: str, record: WorkerRecord) -> FaultyOrders:
        inner = PoolCluster._orders(self, name, record)
        assert isinstance(inner, PoolWorkerOrders)
        return FaultyOrders(self.injected_faults, name, inner)

    def others(self, vm: str) -> list[str]:
        """Return all VMs but one."""
        return [name for name in self.members if name != vm]

    def isolate_except(self, vm: str, worker: PoolWorker) -> None:
        """Cut a worker off from all VMs but one."""
        self.injected_faults.cut |= {(name, worker.worker_id) for name in self.others(vm)}

    def worker_of(self, job_id: str) -> PoolWorker:
        """Return the worker on which the latest run of a job began."""
        runs = [each for each in self.worker_pool.history if each.task.job_id == job_id]
        return self.worker_pool.workers[runs[-1].worker]


class SecondRunCase(unittest.TestCase):
    """Runs a small deployment with faults; no task may run twice at once."""

    def play(
        self,
        body: Callable[[FaultyCluster], Awaitable[None]],
        *,
        workers: int = 2,
        stop_s: float = 0.5,
    ) -> None:
        async def main() -> None:
            injected_faults = InjectedFaults()
            cluster = FaultyCluster(entries=3, racks=1, workers=workers)
            cluster.times.stop_s = stop_s
            cluster.injected_faults = injected_faults
            numbers = iter(range(1, 100))

            def view(state: object) -> PausableStoreView:
                made = PausableStoreView(cluster.store)
                made.injected_faults, made.vm = injected_faults, f"entry-{next(numbers)}"
                return made

            with unittest.mock.patch.object(cluster_module, "StoreView", view):
                await cluster.start()
            try:
                await body(cluster)
            finally:
                for vm in list(injected_faults.paused):
                    injected_faults.resume(vm)
                await cluster.stop()
            self.assertEqual(cluster.worker_pool.violations, [])

        run(main())


class PausedLeaderTest(SecondRunCase):
    def test_a_resumed_leader_renews_no_lease_that_its_successor_counts_as_over(self) -> None:
        """A leader checks the age of its term before it renews a worker's lease.

        One worker is reachable by the leader alone. The leader renews its lease and is paused for
        9.8 s. The others elect a new leader after 1 s. It does not reach the worker and waits for
        1 s, the 4.5 s for which a leader without the store renews, and the longest lease: 16.2 s.
        The old leader resumes before the worker's lease of 10 s is over and renews it within 3 ms,
        before it learns from the store that its term is over. Without the check the run lasted
        until 19.8 s, and the new leader started the next one at 17 to 18 s.
        """

        async def body(cluster: FaultyCluster) -> None:
            await cluster.submit(A, job(1, work_s=90.0, accelerators=8))
            await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 1)
            await asyncio.sleep(5.0)
            old, worker = cluster.leader_name, cluster.worker_of(A)
            cluster.isolate_except(old, worker)
            clock = asyncio.get_running_loop()
            while worker.lease_until - clock.time() < 9.99:
                await asyncio.sleep(0.002)
            cluster.injected_faults.pause(old)
            await asyncio.sleep(9.8)
            cluster.injected_faults.resume(old)
            await asyncio.sleep(15.0)

        self.play(body)

    def test_a_resumed_leader_starts_no_run_that_its_successor_counts_as_over(self) -> None:
        """A leader checks the age of its term before it sends a start again.

        One worker is reachable by the leader alone. A start is in the store, its first order is
        lost, and the leader is paused for 25 s. The next leader does not reach the worker, counts
        every lease as over after 17 s and starts the task elsewhere. The old leader resumes, finds
        that the order timed out and, without the check, sends it again at once. The worker has seen
        no later fencing token, and the order brings a lease of 10 s from then on.
        """

        async def body(cluster: FaultyCluster) -> None:
            old = cluster.leader_name
            worker = next(iter(cluster.worker_pool.workers.values()))
            cluster.isolate_except(old, worker)
            sent: list[str] = []

            def lose_the_first(vm: str, order: StartOrder) -> bool:
                sent.append(vm)
                if len(sent) == 1:
                    cluster.injected_faults.pause(old)
                return len(sent) == 1

            cluster.injected_faults.on_start = lose_the_first
            await cluster.submit(A, job(1, work_s=90.0, accelerators=8), at=cluster.others(old)[0])
            await cluster.until(lambda: bool(sent))
            cluster.worker_pool.add(worker.rack, worker.data_hall)
            await asyncio.sleep(25.0)
            self.assertEqual(cluster.worker_pool.starts_of(A), 1)
            cluster.injected_faults.resume(old)
            await asyncio.sleep(3.0)

        self.play(body, workers=1)


class UnlistedLeaderTest(SecondRunCase):
    def test_a_leader_that_is_not_listed_counts_as_one_that_may_renew(self) -> None:
        """A VM leads only once it is listed, since only listed VMs are asked whether they renew.

        The store is unresponsive for 12 s and its leases expire, including those of the members'
        records. Once it is back, a VM leads within 0.2 s. A member's record is written again only
        when its VM next renews it, up to 3 s later. Before that, the leader started a task on a
        worker that only it could reach, and was then cut off from the store. It renewed for 4.5 s
        after its lease. The next leader asked all VMs that it knew, learned that none renewed, and
        waited for one lease from then on. It may have just started, so that it knows of no earlier
        record: the test clears this knowledge.
        """

        async def body(cluster: FaultyCluster) -> None:
            for member in cluster.members.values():
                member.view.faults.silent = True
            await asyncio.sleep(12.0)
            for member in cluster.members.values():
                member.view.faults.silent = False
            await cluster.until(lambda: cluster.leader is not None)
            old = cluster.leader_name
            await cluster.submit(A, job(1, work_s=90.0, accelerators=8), at=old)
            await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 1)
            cluster.isolate_except(old, cluster.worker_of(A))
            cluster.member(old).view.faults.silent = True
            listed = [item.key for item in cluster.store.keys("saddlestack/members/")]
            self.assertIn(f"saddlestack/members/{old}", listed)
            for name in cluster.others(old):
                cluster.members[name].vm.membership._gone.clear()
            await asyncio.sleep(25.0)

        self.play(body)


class LeavingWorkerTest(SecondRunCase):
    def check_leaving_worker(
        self,
        lost: Callable[[FaultyCluster, PoolWorker], None],
        record_lasts_s: float = LAPSE_HEARTBEATS * HEARTBEAT_S,
    ) -> None:
        """A worker that leaves late and is cut off from the store is unreachable for a moment.

        Its notice is its last heartbeat to the store; its record expires three heartbeats later.

        :param lost: makes the worker unreachable.
        :param record_lasts_s: time from its notice until its record is gone, in seconds.
        """

        async def body(cluster: FaultyCluster) -> None:
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
            cluster.injected_faults.resets.clear()
            cluster.injected_faults.cut.clear()
            await asyncio.sleep(8.0)

        self.play(body)

    def test_a_worker_that_resets_calls_has_not_left(self) -> None:
        """Polls that are reset, or answered with an error, take no time and prove nothing.

        Whether a worker removed its record follows from the record's age. It once followed from the
        time since the worker's last answer.

        A worker announces its end in 2 s and keeps serving for longer, as it may; the stop of its
        run is not answered. It is cut off from the store alone, so its record expires while it
        answers the VMs, as if it had removed the record. Then it resets each call for a moment.
        With the old rule its run counted as over at once and started elsewhere, while it continued.
        """

        def lost(cluster: FaultyCluster, worker: PoolWorker) -> None:
            cluster.injected_faults.resets.add(worker.worker_id)

        self.check_leaving_worker(lost)

    def test_a_worker_unreachable_for_a_second_has_not_left(self) -> None:
        """The same holds if the network path to the worker is lost for 1.5 s."""

        def lost(cluster: FaultyCluster, worker: PoolWorker) -> None:
            cluster.isolate_except("", worker)

        self.check_leaving_worker(lost)

    def test_a_worker_that_removed_its_record_may_keep_serving(self) -> None:
        """A missing record does not prove that a worker has ended.

        Workers keep serving for seconds after the end that they announced, and some remove their
        record before they end. One that had done both counted as gone once three polls of 0.3 s
        were lost, and its run started elsewhere while it continued. No period without an answer
        distinguishes such a worker from one that has ended, so its runs are over with its lease.
        """

        def lost(cluster: FaultyCluster, worker: PoolWorker) -> None:
            cluster.isolate_except("", worker)

        self.check_leaving_worker(lost, record_lasts_s=NOTICE_S + 0.2)


class SlowClockTest(SecondRunCase):
    def test_a_late_start_after_a_long_idle_time_lasts_no_longer_than_its_counted_lease(
        self,
    ) -> None:
        """Deadlines use the earliest time that the worker's clock may show.

        A lease is counted from its order, but with a clock reading of long ago it lasted longer.

        Workers' clocks run 2 % slow. A worker is idle for 300 s and not polled, so the leader
        assumes its clock to be 6 s ahead of what it is. A start is not answered and carried out 5 s
        later. It lasts for the longest lease from then on, 15.2 s from its order: the worker's own
        limit counts from the order's arrival, and the deadline is 16 s ahead. The worker is
        unreachable; the leader waits 10.7 s from its last attempt and starts the task elsewhere.
        """

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


class RemovedJobTest(SecondRunCase):
    def test_a_job_with_many_occurrences_is_removed_whole_or_not_at_all(self) -> None:
        """Records of a job are removed in parts, so the job's own record goes with the first part.

        It once went with the last. A job with 40 occurrences is completed and due for removal. The
        leader removes the records of the first 31 occurrences and dies before the second part. The
        next leader found the job but no progress of these occurrences, and ran them again.
        """

        async def body(cluster: FaultyCluster) -> None:
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
    def test_a_full_report_of_ends_proves_nothing_about_other_runs(self) -> None:
        """A worker lists at most 500 ends at once, so such a report does not count as complete.

        The store is slow, so no end is acknowledged. A run ends as done after 500 others: it is
        neither among the running runs nor among the ends that fit. With the report taken as
        complete, the run counted as never begun and started again; its end was recorded later.
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
