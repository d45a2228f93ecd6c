"""Workers that restart under the same id and have lost their state.

The failure: a gang that had ended as done was started again on the same worker, three times. The
worker had reported nine ends and then restarted under its id, so that it counted its ends from 1
again. The leader took it for the same incarnation. It skipped all ends up to number 9 as already
received, acknowledged them to the worker, and took runs that a report lists neither as running nor
as ended as never begun. The cause was state of a worker that was kept beyond its incarnation. The
leader's log showed it (``run_absent`` right after ends that only the platform saw, only on workers
that had restarted), and the first test here, which passes if the worker does not restart.

The same fault left the second step of accepted jobs unstarted at the end of a day although most
workers were idle: the leader had skipped some ends of the first step and ran those tasks again. The
second test guards against that.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import msgspec

from saddlestack.interfaces.workers import EndKind
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.workers import PoolWorker
from saddlestack.work import JobState
from tests.test_pool import PoolTest

FIRST = "00000000000000aa"
SECOND = "00000000000000bb"
ENDS_BEFORE = 8
"""The number of ends of the first incarnation; more than the next one has."""
STEP_WORK_S = 2.5
SOON_S = 0.5
"""Time within which the work that follows an end has started."""
LATE_S = 5.0
"""The delay with which a worker carries out an order."""
RECORD_DELAY_S = 2.0
"""Time within which a leader has received a worker's record."""


class RestartCase(PoolTest):
    """Workers that may report their start time and restart under the same id."""

    def play_one_rack(
        self,
        body: Callable[[PoolCluster], Awaitable[None]],
        *,
        workers: int = 1,
        entries: int = 2,
        reports_start_time: bool = True,
    ) -> None:
        """Run a coroutine against a small deployment of one rack."""
        self.play(
            body, entries=entries, racks=1, workers=workers, reports_start_time=reports_start_time
        )

    async def unanswered_start(self, cluster: PoolCluster) -> PoolWorker:
        """Return a worker that left the start of a task unanswered and will carry it out late."""
        await asyncio.sleep(RECORD_DELAY_S)
        for worker in list(cluster.worker_pool.workers.values()):
            worker.late_orders, worker.late_s = 1, LATE_S
        await cluster.submit(SECOND, job(1, work_s=2 * LATE_S, accelerators=8))
        await asyncio.sleep(0.2)
        return next(each for each in cluster.worker_pool.workers.values() if not each.late_orders)

    async def idle_worker(self, cluster: PoolCluster) -> PoolWorker:
        """Return an idle worker that has reported some ends."""
        await cluster.submit(FIRST, job(ENDS_BEFORE, work_s=0.5))
        await cluster.until_state(FIRST, JobState.COMPLETED)
        await asyncio.sleep(RECORD_DELAY_S)
        return cluster.worker_pool.latest_incarnation(cluster.worker_pool.history[0].worker)

    async def busy_worker(self, cluster: PoolCluster, *, work_s: float = 3.0) -> PoolWorker:
        """Return the worker of a task that has begun."""
        await cluster.submit(SECOND, job(1, work_s=work_s))
        await cluster.until(lambda: cluster.worker_pool.starts_of(SECOND) == 1)
        await asyncio.sleep(0.2)
        return cluster.worker_pool.latest_incarnation(cluster.worker_pool.history[-1].worker)


class EndsTest(RestartCase):
    def test_ends_of_the_next_incarnation_are_recorded(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.idle_worker(cluster)
            cluster.worker_pool.restart(worker)
            await asyncio.sleep(RECORD_DELAY_S)
            await cluster.submit(SECOND, job(4, work_s=2.5, gang=True))
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 4)

        self.play_one_rack(body)

    def test_a_step_begins_once_the_previous_one_has_ended_on_the_next_incarnation(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.idle_worker(cluster)
            cluster.worker_pool.restart(worker)
            await asyncio.sleep(RECORD_DELAY_S)
            first = job(4, work_s=STEP_WORK_S)
            second = msgspec.structs.replace(first.steps[0], after=(0,))
            steps = (first.steps[0], second)
            await cluster.submit(SECOND, msgspec.structs.replace(first, steps=steps))
            began = asyncio.get_running_loop().time()
            await cluster.until(lambda: cluster.worker_pool.starts_of(SECOND) > 4)
            waited_s = asyncio.get_running_loop().time() - began
            self.assertLess(waited_s, STEP_WORK_S + SOON_S)
            again = [run for run in cluster.worker_pool.history if run.number > 1]
            self.assertEqual([str(run.task) for run in again], [])

        self.play_one_rack(body)

    def test_a_task_runs_once_if_no_worker_restarts(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.idle_worker(cluster)
            await cluster.submit(SECOND, job(4, work_s=2.5, gang=True))
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 4)

        self.play_one_rack(body)

    def test_a_start_right_after_the_restart_is_counted_once(self) -> None:
        """The new incarnation gets work before any leader has received its record."""

        async def body(cluster: PoolCluster) -> None:
            worker = await self.idle_worker(cluster)
            cluster.worker_pool.restart(worker, recorded=False)
            await cluster.submit(SECOND, job(4, work_s=0.5))
            await asyncio.sleep(1.0)
            cluster.worker_pool.record(cluster.worker_pool.latest_incarnation(worker.worker_id))
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.ends_of(SECOND, EndKind.DONE), 4)

        self.play_one_rack(body)

    def test_ends_of_a_live_incarnation_count_whatever_its_record_says(self) -> None:
        """Another writer records a wrong start time, and the worker writes its own again."""

        async def body(cluster: PoolCluster) -> None:
            worker = await self.busy_worker(cluster)
            born, worker.born = worker.born, worker.born + 1
            cluster.worker_pool.record(worker)
            worker.born = born
            await asyncio.sleep(RECORD_DELAY_S)
            cluster.worker_pool.record(worker)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)

        self.play_one_rack(body)


class ForeignRecordTest(RestartCase):
    """Another writer changes the start time in a worker's record; the worker keeps running."""

    def check_work_with_record(self, *, reports_start_time: bool, born: int) -> None:
        """Old and new work completes although a record shows another start time."""

        async def body(cluster: PoolCluster) -> None:
            worker = await self.busy_worker(cluster, work_s=4.0)
            true, worker.born = worker.born, born
            cluster.worker_pool.record(worker)
            worker.born = true
            await cluster.submit(FIRST, job(3, work_s=0.5))
            await asyncio.sleep(1.5)
            cluster.worker_pool.record(worker)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            await cluster.until_state(FIRST, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)
            self.assertEqual(cluster.worker_pool.starts_of(FIRST), 3)

        self.play_one_rack(body, reports_start_time=reports_start_time)

    def test_a_start_time_where_the_worker_reports_none(self) -> None:
        self.check_work_with_record(reports_start_time=False, born=1_700)

    def test_no_start_time_where_the_worker_reports_one(self) -> None:
        self.check_work_with_record(reports_start_time=True, born=0)

    def test_a_start_time_that_a_new_leader_reads_where_the_worker_reports_none(self) -> None:
        """Work of the worker must not count as that of the incarnation in the false record.

        In a soak test it did, and the worker's own ends matched no run. The leader acknowledged
        them without a record, and the next leader ran the work again.
        """

        async def body(cluster: PoolCluster) -> None:
            worker = await self.busy_worker(cluster, work_s=3.0)
            worker.born = 1_700
            cluster.worker_pool.record(worker)
            worker.born = 0
            await cluster.kill(cluster.leader_name)
            await cluster.until(lambda: cluster.leader is not None)
            await asyncio.sleep(0.5)
            cluster.worker_pool.record(worker)
            await asyncio.sleep(RECORD_DELAY_S)
            await cluster.kill(cluster.leader_name)
            await cluster.until(lambda: cluster.leader is not None)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)

        self.play_one_rack(body, entries=4, reports_start_time=False)

    def test_another_start_time(self) -> None:
        self.check_work_with_record(reports_start_time=True, born=1_700)


class WorkTest(RestartCase):
    def test_runs_of_an_ended_incarnation_restart_once(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.busy_worker(cluster)
            cluster.worker_pool.restart(worker)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 2)

        self.play_one_rack(body)

    def test_runs_end_as_done_once_if_the_worker_restarts_repeatedly(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.idle_worker(cluster)
            worker = await self.busy_worker(cluster)
            for _ in range(3):
                worker = cluster.worker_pool.restart(worker)
                await asyncio.sleep(1.3)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.ends_of(SECOND, EndKind.DONE), 1)

        self.play_one_rack(body)

    def test_an_unanswered_order_to_one_incarnation_is_refused_by_the_next(self) -> None:
        """The task already runs elsewhere when the worker would carry out the order."""

        async def body(cluster: PoolCluster) -> None:
            late = await self.unanswered_start(cluster)
            cluster.worker_pool.restart(late)
            await cluster.until(lambda: cluster.worker_pool.starts_of(SECOND) == 1)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)

        self.play_one_rack(body, workers=2)

    def test_an_order_of_an_earlier_leader_is_refused_by_the_next_incarnation(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            late = await self.unanswered_start(cluster)
            await cluster.kill(cluster.leader_name)
            cluster.worker_pool.expire_record(late)
            incarnation = cluster.worker_pool.restart(late, recorded=False)
            for worker in list(cluster.worker_pool.workers.values()):
                worker.late_orders = 0
            await cluster.until(lambda: cluster.worker_pool.starts_of(SECOND) == 1)
            cluster.worker_pool.record(incarnation)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)

        self.play_one_rack(body, workers=2, entries=3)

    # Two runs of one task: the next incarnation carries out an earlier leader's order behind a cut,
    # and the new leader takes the run for over, since the first incarnation was replaced.
    def test_an_order_of_an_earlier_leader_that_the_next_incarnation_has_begun(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            late = await self.unanswered_start(cluster)
            await cluster.kill(cluster.leader_name)
            late.unreachable = True
            incarnation = cluster.worker_pool.restart(late)
            incarnation.unreachable = True
            for worker in list(cluster.worker_pool.workers.values()):
                worker.late_orders = 0
            await cluster.until(lambda: cluster.worker_pool.starts_of(SECOND) == 1)
            late.unreachable = incarnation.unreachable = False
            await cluster.until_state(SECOND, JobState.COMPLETED)

        self.play_one_rack(body, workers=2, entries=3)

    def test_a_record_that_was_gone_belongs_to_another_incarnation(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            late = await self.unanswered_start(cluster)
            cluster.worker_pool.expire_record(late)
            incarnation = cluster.worker_pool.restart(late, recorded=False)
            await asyncio.sleep(RECORD_DELAY_S)
            cluster.worker_pool.record(incarnation)
            await cluster.until(lambda: cluster.worker_pool.starts_of(SECOND) == 1)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)

        self.play_one_rack(body, workers=2)

    def test_a_new_leader_knows_which_incarnation_got_the_work(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.idle_worker(cluster)
            worker = await self.busy_worker(cluster)
            await cluster.kill(cluster.leader_name)
            cluster.worker_pool.restart(worker)
            await cluster.until(lambda: cluster.leader is not None)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 2)

        self.play_one_rack(body, entries=3)

    def test_an_unreachable_incarnation_holds_its_work_until_the_lease_expires(self) -> None:
        """A record names another incarnation, but only that one's own answer would prove it."""

        async def body(cluster: PoolCluster) -> None:
            worker = await self.busy_worker(cluster, work_s=60.0)
            worker.unreachable = True
            born, worker.born = worker.born, worker.born + 1
            cluster.worker_pool.record(worker)
            worker.born = born
            cluster.worker_pool.add(worker.rack, worker.data_hall)
            await asyncio.sleep(cluster.times.hold_s)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)
            await cluster.until(lambda: cluster.worker_pool.starts_of(SECOND) == 2)

        self.play_one_rack(body)
