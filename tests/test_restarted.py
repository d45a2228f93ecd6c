"""Workers that start again under the id that they had, knowing nothing of before.

Seen: a gang that had ended as done was started again, on the same worker, three times; and the
worker had been told that it may forget those ends. How: the worker had told its leader of nine ends
and started again under its id. Its ends were counted from 1 again. The leader, for which it was the
same worker, passed over all ends up to number 9 as heard long ago, told the worker to forget them,
and took runs that a report lists neither as running nor as ended for such as never began. Cause:
what is kept of a worker outlived the life that it was kept of. Proved by the leader's log
(``run_absent`` right after ends that only the platform saw, on workers that had started again and
on no others) and by the first test here, which is clean where the worker does not start again.

Seen on another deployment, on the same day of workers that start again: accepted jobs whose second
step did not begin at the end of a day though most of the workers stood idle. The platform had seen
all of their first step end; the leader had passed over some of those ends and ran the tasks again.
The second test here fails as that record tells.
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
"""More than the life after it has."""
STEP_WORK_S = 2.5
SOON_S = 0.5
"""What may follow from an end has begun by then."""
LATE_S = 5.0
"""So late a worker carries an order out."""
HEARD_S = 2.0
"""Within this a leader has heard of a worker's record."""


class RestartCase(PoolTest):
    """Workers that may tell when they were born, and start again under their id."""

    def played(
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

    async def late_start(self, cluster: PoolCluster) -> PoolWorker:
        """A worker that has left the start of a task unanswered, and will carry it out late."""
        await asyncio.sleep(HEARD_S)
        for worker in list(cluster.worker_pool.workers.values()):
            worker.late_orders, worker.late_s = 1, LATE_S
        await cluster.submit(SECOND, job(1, work_s=2 * LATE_S, accelerators=8))
        await asyncio.sleep(0.2)
        return next(each for each in cluster.worker_pool.workers.values() if not each.late_orders)

    async def rested(self, cluster: PoolCluster) -> PoolWorker:
        """A worker that has told of some ends, and has nothing to do."""
        await cluster.submit(FIRST, job(ENDS_BEFORE, work_s=0.5))
        await cluster.until_state(FIRST, JobState.COMPLETED)
        await asyncio.sleep(HEARD_S)
        return cluster.worker_pool.latest_incarnation(cluster.worker_pool.history[0].worker)

    async def at_work(self, cluster: PoolCluster, *, work_s: float = 3.0) -> PoolWorker:
        """The worker of a task that has begun."""
        await cluster.submit(SECOND, job(1, work_s=work_s))
        await cluster.until(lambda: cluster.worker_pool.starts_of(SECOND) == 1)
        await asyncio.sleep(0.2)
        return cluster.worker_pool.latest_incarnation(cluster.worker_pool.history[-1].worker)


class EndsTest(RestartCase):
    def test_the_ends_of_another_life_are_heard(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.rested(cluster)
            cluster.worker_pool.restart(worker)
            await asyncio.sleep(HEARD_S)
            await cluster.submit(SECOND, job(4, work_s=2.5, gang=True))
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 4)

        self.played(body)

    def test_a_step_begins_once_the_one_before_has_ended_on_another_life(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.rested(cluster)
            cluster.worker_pool.restart(worker)
            await asyncio.sleep(HEARD_S)
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

        self.played(body)

    def test_a_task_is_done_once_where_no_worker_starts_again(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.rested(cluster)
            await cluster.submit(SECOND, job(4, work_s=2.5, gang=True))
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 4)

        self.played(body)

    def test_a_start_right_after_the_restart_is_counted_once(self) -> None:
        """Nobody has heard of the new life yet when it is given work."""

        async def body(cluster: PoolCluster) -> None:
            worker = await self.rested(cluster)
            cluster.worker_pool.restart(worker, recorded=False)
            await cluster.submit(SECOND, job(4, work_s=0.5))
            await asyncio.sleep(1.0)
            cluster.worker_pool.record(cluster.worker_pool.latest_incarnation(worker.worker_id))
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.ends_of(SECOND, EndKind.DONE), 4)

        self.played(body)

    def test_a_life_that_lives_on_is_heard_whatever_its_record_tells(self) -> None:
        """Another writer names a birth that never was, and the worker writes its own again."""

        async def body(cluster: PoolCluster) -> None:
            worker = await self.at_work(cluster)
            born, worker.born = worker.born, worker.born + 1
            cluster.worker_pool.record(worker)
            worker.born = born
            await asyncio.sleep(HEARD_S)
            cluster.worker_pool.record(worker)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)

        self.played(body)


class ForeignRecordTest(RestartCase):
    """Another writer changes what a worker's record tells of its birth; the worker runs on."""

    def at_work_through(self, *, reports_start_time: bool, born: int) -> None:
        """Work goes on, and more is done, through a record that tells of another birth."""

        async def body(cluster: PoolCluster) -> None:
            worker = await self.at_work(cluster, work_s=4.0)
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

        self.played(body, reports_start_time=reports_start_time)

    def test_a_birth_where_the_worker_tells_none(self) -> None:
        self.at_work_through(reports_start_time=False, born=1_700)

    def test_no_birth_where_the_worker_tells_one(self) -> None:
        self.at_work_through(reports_start_time=True, born=0)

    def test_a_birth_that_a_new_leader_reads_where_the_worker_tells_none(self) -> None:
        """Seen in a soak: its work counted as the false life's, and its own ends as nobody's.

        The leader of then acknowledged them without a record, and the next one ran the work again.
        """

        async def body(cluster: PoolCluster) -> None:
            worker = await self.at_work(cluster, work_s=3.0)
            worker.born = 1_700
            cluster.worker_pool.record(worker)
            worker.born = 0
            await cluster.kill(cluster.leader_name)
            await cluster.until(lambda: cluster.leader is not None)
            await asyncio.sleep(0.5)
            cluster.worker_pool.record(worker)
            await asyncio.sleep(HEARD_S)
            await cluster.kill(cluster.leader_name)
            await cluster.until(lambda: cluster.leader is not None)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)

        self.played(body, entries=4, reports_start_time=False)

    def test_another_birth(self) -> None:
        self.at_work_through(reports_start_time=True, born=1_700)


class WorkTest(RestartCase):
    def test_what_a_life_ran_begins_again_once(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.at_work(cluster)
            cluster.worker_pool.restart(worker)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 2)

        self.played(body)

    def test_it_begins_again_once_where_the_worker_restarts_again_and_again(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.rested(cluster)
            worker = await self.at_work(cluster)
            for _ in range(3):
                worker = cluster.worker_pool.restart(worker)
                await asyncio.sleep(1.3)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.ends_of(SECOND, EndKind.DONE), 1)

        self.played(body)

    def test_an_order_that_one_life_left_unanswered_is_refused_by_the_next(self) -> None:
        """The task is at work elsewhere by the time that the worker would carry the order out."""

        async def body(cluster: PoolCluster) -> None:
            late = await self.late_start(cluster)
            cluster.worker_pool.restart(late)
            await cluster.until(lambda: cluster.worker_pool.starts_of(SECOND) == 1)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)

        self.played(body, workers=2)

    def test_an_order_of_an_earlier_leader_is_refused_by_the_next_life(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            late = await self.late_start(cluster)
            await cluster.kill(cluster.leader_name)
            cluster.worker_pool.expire_record(late)
            life = cluster.worker_pool.restart(late, recorded=False)
            for worker in list(cluster.worker_pool.workers.values()):
                worker.late_orders = 0
            await cluster.until(lambda: cluster.worker_pool.starts_of(SECOND) == 1)
            cluster.worker_pool.record(life)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)

        self.played(body, workers=2, entries=3)

    def test_a_record_that_was_gone_meanwhile_is_another_lifes(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            late = await self.late_start(cluster)
            cluster.worker_pool.expire_record(late)
            life = cluster.worker_pool.restart(late, recorded=False)
            await asyncio.sleep(HEARD_S)
            cluster.worker_pool.record(life)
            await cluster.until(lambda: cluster.worker_pool.starts_of(SECOND) == 1)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)

        self.played(body, workers=2)

    def test_a_new_leader_knows_which_life_was_given_the_work(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.rested(cluster)
            worker = await self.at_work(cluster)
            await cluster.kill(cluster.leader_name)
            cluster.worker_pool.restart(worker)
            await cluster.until(lambda: cluster.leader is not None)
            await cluster.until_state(SECOND, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 2)

        self.played(body, entries=3)

    def test_a_life_that_nobody_hears_of_again_holds_its_work_until_the_lease(self) -> None:
        """The worker is cut off; a record names another life, and only its own word would count."""

        async def body(cluster: PoolCluster) -> None:
            worker = await self.at_work(cluster, work_s=60.0)
            worker.unreachable = True
            born, worker.born = worker.born, worker.born + 1
            cluster.worker_pool.record(worker)
            worker.born = born
            cluster.worker_pool.add(worker.rack, worker.data_hall)
            await asyncio.sleep(cluster.times.hold_s)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 1)
            await cluster.until(lambda: cluster.worker_pool.starts_of(SECOND) == 2)

        self.played(body)
