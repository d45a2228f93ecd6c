"""A task waits for an unanswered order no longer than that order may still be carried out.

Guards against jobs that are stalled for 3 s or more although a task could run. Until a run that was
assigned to a worker is known to exist or to be over, its task waits. Each test covers one case in
which that became known late, or never.
"""

from __future__ import annotations

import asyncio
import unittest
import unittest.mock
from typing import Any

from saddlestack.control.leases import Leases
from saddlestack.control.session import (
    LONG_POLL_S,
    MAX_CONCURRENT_ORDERS,
    MAX_START_TRIES,
    ORDER_TIMEOUT_S,
    RETRY_S,
)
from saddlestack.control.unanswered import MAX_ORDER_DELAY_S
from saddlestack.interfaces.workers import (
    StartReply,
    WorkerBusy,
    WorkerNotReached,
    WorkerUnreachable,
)
from saddlestack.policy.cluster.records import TaskStatus
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import AcceptedJob, JobRequest, JobState, Resources, Step
from tests.test_cluster_state import SERVICE
from tests.test_pool import A, B, PoolTest
from tests.test_session import HOLD_S, Fault, Scene, SessionCase

MANY = 1000
"""More orders than are sent within a test."""
ANSWER_S = 0.1
WIDE_JOB = f"{2:016x}"


class UnreachableWorkerTest(SessionCase):
    """A worker becomes unreachable while starts for it are queued; two are sent at once.

    Each of them was sent all the same, three times, and was in doubt from then on: the last of
    eight began a lease of its own after 7 s. Starts that were not sent cannot be carried out.
    """

    def test_tasks_of_unsent_starts_are_freed(self) -> None:
        async def body(scene: Scene) -> None:
            step = Step(count=6, needs=Resources(1000, 1000, 1), estimate_ms=1000)
            wide = AcceptedJob(
                job_id=WIDE_JOB,
                account="depots",
                queue="q",
                service=SERVICE,
                priority=1,
                attempts=3,
                accepted_ms=2,
                request=JobRequest(payload="", steps=(step,)),
            )
            scene.session.suspect()
            await asyncio.sleep(ANSWER_S)  # the worker's clock is known now
            scene.cluster_state.add_job(wide, {})
            starts = scene.plan().starts
            self.assertEqual(len(starts), 7)
            scene.orders.is_unreachable = True
            for start in starts:
                scene.session.start(start)
            await asyncio.sleep(ORDER_TIMEOUT_S + ANSWER_S)
            self.assertEqual(scene.orders.starts, MAX_CONCURRENT_ORDERS)
            statuses = [start.run.task.status for start in starts]
            self.assertEqual(
                statuses.count(TaskStatus.WAITING), len(starts) - MAX_CONCURRENT_ORDERS
            )

        self.play(body)


class NoConnectionTest(SessionCase):
    """A start for which no connection could be opened was not sent.

    It counted as in doubt, like one whose answer was lost: its task waited for the worker's lease.
    """

    def test_its_task_is_freed_after_the_tries(self) -> None:
        async def body(scene: Scene) -> None:
            scene.orders.start_faults = [WorkerNotReached] * MAX_START_TRIES
            scene.orders.stop_faults = [WorkerNotReached] * MANY
            scene.assign()
            await asyncio.sleep(MAX_START_TRIES * ORDER_TIMEOUT_S + ANSWER_S)
            self.assertIs(scene.status, TaskStatus.WAITING)
            self.assertEqual(scene.orders.stops, [])

        self.play(body)

    def test_one_that_was_sent_before_stays_in_doubt(self) -> None:
        async def body(scene: Scene) -> None:
            scene.orders.start_faults = [WorkerUnreachable, WorkerNotReached, WorkerNotReached]
            scene.orders.stop_faults = [WorkerNotReached] * MANY
            scene.assign()
            await asyncio.sleep(MAX_START_TRIES * ORDER_TIMEOUT_S + ANSWER_S)
            self.assertIs(scene.status, TaskStatus.ASSIGNED)
            self.assertTrue(scene.orders.stops)

        self.play(body)


class CrashedWorkerTest(PoolTest):
    def test_work_given_to_a_process_that_has_gone_begins_elsewhere(self) -> None:
        """Its record exists until it lapses, and its machine refuses connections."""

        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(A, job(32, work_s=0.5))
            await cluster.until_state(A, JobState.COMPLETED)
            worker = next(iter(cluster.worker_pool.workers.values()))
            cluster.worker_pool.crash(worker)
            await cluster.submit(B, job(24, work_s=0.5))
            await cluster.until_state(B, JobState.COMPLETED, 4.0)

        self.play(body)


class IdleWorkerTest(SessionCase):
    """A worker without runs is not polled, so only the next order shows that it is gone.

    That order was a start, in doubt from then on: its task waited for the lease that came with it.
    A probe before it, if the worker has not answered recently, costs 1 to 3 ms.
    """

    def test_no_start_is_sent_to_a_worker_that_became_unreachable_while_idle(self) -> None:
        async def body(scene: Scene) -> None:
            scene.session.suspect()
            await asyncio.sleep(10.0)  # its clock is known, and it is idle
            scene.orders.is_unreachable = True
            scene.assign()
            await asyncio.sleep(2 * ORDER_TIMEOUT_S + ANSWER_S)
            self.assertEqual(scene.orders.starts, 0)
            self.assertIs(scene.status, TaskStatus.WAITING)
            self.assertFalse(scene.session.worker.reachable)

        self.play(body)

    def test_a_worker_that_answered_recently_is_not_probed(self) -> None:
        async def body(scene: Scene) -> None:
            scene.session.suspect()
            await asyncio.sleep(ANSWER_S)
            polls = len(scene.orders.seen)
            start = scene.plan().starts[0]
            asked: list[int] = []
            order = scene.orders.start

            async def recorded(*arguments: Any) -> StartReply:
                asked.append(len(scene.orders.seen) - polls)
                return await order(*arguments)

            with unittest.mock.patch.object(scene.orders, "start", recorded):
                scene.session.start(start)
                await asyncio.sleep(ANSWER_S)
            self.assertLessEqual(asked[0], 1)  # the regular poll of its session

        self.play(body)


class UnansweredOrdersTest(SessionCase):
    """A worker answers polls, but neither starts nor stops.

    The polls kept renewing its lease, so that it never lapsed; no report was trusted while the
    order was open; and since polls were answered, the unanswered orders did not count.
    """

    def longest_s(self) -> float:
        """Time until the last start cannot be carried out any more, and a poll has shown it."""
        tries_s = MAX_START_TRIES * ORDER_TIMEOUT_S
        late_s = max(Leases(HOLD_S, 0.0).lapse_after_s, MAX_ORDER_DELAY_S)
        return tries_s + late_s + ORDER_TIMEOUT_S + RETRY_S + LONG_POLL_S + 1.0

    def play_fault(self, fault: Fault) -> None:
        async def body(scene: Scene) -> None:
            scene.orders.start_faults = [WorkerUnreachable] * MAX_START_TRIES
            scene.orders.stop_faults = [fault] * MANY
            scene.assign()
            await asyncio.sleep(MAX_ORDER_DELAY_S)
            self.assertIs(scene.status, TaskStatus.ASSIGNED)
            await asyncio.sleep(self.longest_s() - MAX_ORDER_DELAY_S)
            self.assertIs(scene.status, TaskStatus.WAITING)
            stops = len(scene.orders.stops)
            await asyncio.sleep(5.0)
            self.assertLessEqual(len(scene.orders.stops), stops + 1)

        self.play(body)

    def test_the_task_is_free_once_no_start_can_be_carried_out_any_more(self) -> None:
        self.play_fault(WorkerUnreachable)

    def test_the_task_is_free_although_the_worker_is_busy(self) -> None:
        self.play_fault(WorkerBusy)

    def test_a_run_that_is_reported_after_all_continues(self) -> None:
        async def body(scene: Scene) -> None:
            scene.orders.start_faults = [WorkerUnreachable] * MAX_START_TRIES
            scene.orders.stop_faults = [WorkerUnreachable] * MANY
            scene.assign()
            scene.list_run()
            await asyncio.sleep(self.longest_s())
            self.assertIs(scene.status, TaskStatus.ASSIGNED)
            self.assertIsNotNone(next(iter(scene.session.worker.runs.values())).started_s)

        self.play(body)


class UnexpectedErrorTest(SessionCase):
    """An order fails with an unexpected error, which ended the asyncio task that sends it.

    The order about the run stayed open, so that no report about it was trusted any more.
    """

    def test_a_start_is_in_doubt_and_its_task_free_once_its_stop_is_answered(self) -> None:
        async def body(scene: Scene) -> None:
            scene.orders.start_faults = [KeyError]
            scene.assign()
            await asyncio.sleep(1.0)
            self.assertEqual(len(scene.orders.stops), 1)
            self.assertIs(scene.status, TaskStatus.WAITING)

        self.play(body)

    def test_a_stop_is_repeated(self) -> None:
        async def body(scene: Scene) -> None:
            scene.orders.start_faults = [WorkerUnreachable] * MAX_START_TRIES
            scene.orders.stop_faults = [KeyError, KeyError]
            scene.assign()
            await asyncio.sleep(MAX_START_TRIES * ORDER_TIMEOUT_S + 3 * RETRY_S)
            self.assertEqual(len(scene.orders.stops), 3)
            self.assertIs(scene.status, TaskStatus.WAITING)

        self.play(body)


if __name__ == "__main__":
    unittest.main()
