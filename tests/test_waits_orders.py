"""A run whose order meets no answer waits no longer than something may still come of it.

Seen by users: a job stands still for 3 s and more though a task of it could run. Until a run that
was given to a worker is known to be there or to be over, its task waits; each test here plays one
way in which that was known late, or never.
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
from tests.test_board import SERVICE
from tests.test_pool import A, B, PoolTest
from tests.test_session import HOLD_S, Fault, Scene, SessionCase

FOREVER = 1000
"""More orders than leave within a test."""
ANSWER_S = 0.1
WIDE = f"{2:016x}"


class SilentWorkerTest(SessionCase):
    """A worker falls silent while starts for it wait for their turn, two at once.

    Each of them left all the same, three times, and was in doubt from then on: the last of eight
    began a lease of its own after 7 s. Of those that have not left nothing can come.
    """

    def test_starts_that_have_not_left_are_given_back(self) -> None:
        async def body(scene: Scene) -> None:
            step = Step(count=6, needs=Resources(1000, 1000, 1), estimate_ms=1000)
            wide = AcceptedJob(
                job_id=WIDE,
                account="depots",
                queue="q",
                service=SERVICE,
                priority=1,
                attempts=3,
                accepted_ms=2,
                request=JobRequest(payload="", steps=(step,)),
            )
            scene.session.suspect()
            await asyncio.sleep(ANSWER_S)  # the worker has told its clock
            scene.cluster_state.add_job(wide, {})
            starts = scene.plan().starts
            self.assertEqual(len(starts), 7)
            scene.orders.dark = True
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
    """A start whose connection could not be opened has not left.

    It counted as in doubt, as one whose answer was lost: its task waited for the worker's lease.
    """

    def test_its_task_is_free_once_it_was_tried(self) -> None:
        async def body(scene: Scene) -> None:
            scene.orders.start_faults = [WorkerNotReached] * MAX_START_TRIES
            scene.orders.stop_faults = [WorkerNotReached] * FOREVER
            scene.assign()
            await asyncio.sleep(MAX_START_TRIES * ORDER_TIMEOUT_S + ANSWER_S)
            self.assertIs(scene.status, TaskStatus.WAITING)
            self.assertEqual(scene.orders.stops, [])

        self.play(body)

    def test_one_that_left_before_is_in_doubt_still(self) -> None:
        async def body(scene: Scene) -> None:
            scene.orders.start_faults = [WorkerUnreachable, WorkerNotReached, WorkerNotReached]
            scene.orders.stop_faults = [WorkerNotReached] * FOREVER
            scene.assign()
            await asyncio.sleep(MAX_START_TRIES * ORDER_TIMEOUT_S + ANSWER_S)
            self.assertIs(scene.status, TaskStatus.ASSIGNED)
            self.assertTrue(scene.orders.stops)

        self.play(body)


class DeadWorkerTest(PoolTest):
    def test_work_given_to_a_process_that_has_gone_begins_elsewhere(self) -> None:
        """Its record is there until it lapses, and its machine refuses connections."""

        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(A, job(32, work_s=0.5))
            await cluster.until_state(A, JobState.COMPLETED)
            worker = next(iter(cluster.floor.workers.values()))
            cluster.floor.crash(worker)
            await cluster.submit(B, job(24, work_s=0.5))
            await cluster.until_state(B, JobState.COMPLETED, 4.0)

        self.play(body)


class RestedWorkerTest(SessionCase):
    """A worker that runs nothing is not looked at: that it has gone shows with the next order.

    That order was a start, in doubt from then on: its task waited for the lease that it brought.
    A question before it, where the worker was not heard of lately, costs 1 to 3 ms.
    """

    def test_a_start_for_a_worker_that_fell_silent_while_it_rested_never_leaves(self) -> None:
        async def body(scene: Scene) -> None:
            scene.session.suspect()
            await asyncio.sleep(10.0)  # it has told its clock, and rests
            scene.orders.dark = True
            scene.assign()
            await asyncio.sleep(2 * ORDER_TIMEOUT_S + ANSWER_S)
            self.assertEqual(scene.orders.starts, 0)
            self.assertIs(scene.status, TaskStatus.WAITING)
            self.assertFalse(scene.session.worker.reachable)

        self.play(body)

    def test_one_that_was_heard_lately_is_not_asked(self) -> None:
        async def body(scene: Scene) -> None:
            scene.session.suspect()
            await asyncio.sleep(ANSWER_S)
            looks = len(scene.orders.seen)
            start = scene.plan().starts[0]
            asked: list[int] = []
            order = scene.orders.start

            async def noted(*arguments: Any) -> StartReply:
                asked.append(len(scene.orders.seen) - looks)
                return await order(*arguments)

            with unittest.mock.patch.object(scene.orders, "start", noted):
                scene.session.start(start)
                await asyncio.sleep(ANSWER_S)
            self.assertLessEqual(asked[0], 1)  # the look that its session makes anyway

        self.play(body)


class HangingOrdersTest(SessionCase):
    """A worker answers looks, and neither starts nor stops.

    The looks went on renewing its lease, so that it never lapsed; no report was believed while the
    order was open; and since looks were answered, the silence of the orders did not count.
    """

    def longest_s(self) -> float:
        """Until nothing can come of the last start any more, and a look has told so."""
        tries_s = MAX_START_TRIES * ORDER_TIMEOUT_S
        late_s = max(Leases(HOLD_S, 0.0).lapse_after_s, MAX_ORDER_DELAY_S)
        return tries_s + late_s + ORDER_TIMEOUT_S + RETRY_S + LONG_POLL_S + 1.0

    def play_fault(self, fault: Fault) -> None:
        async def body(scene: Scene) -> None:
            scene.orders.start_faults = [WorkerUnreachable] * MAX_START_TRIES
            scene.orders.stop_faults = [fault] * FOREVER
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

    def test_so_it_is_where_stops_are_turned_away(self) -> None:
        self.play_fault(WorkerBusy)

    def test_a_run_that_is_there_after_all_goes_on(self) -> None:
        async def body(scene: Scene) -> None:
            scene.orders.start_faults = [WorkerUnreachable] * MAX_START_TRIES
            scene.orders.stop_faults = [WorkerUnreachable] * FOREVER
            scene.assign()
            scene.is_there()
            await asyncio.sleep(self.longest_s())
            self.assertIs(scene.status, TaskStatus.ASSIGNED)
            self.assertIsNotNone(next(iter(scene.session.worker.runs.values())).started_s)

        self.play(body)


class UnforeseenTest(SessionCase):
    """An order fails in a way that nobody had thought of: its task ended, and was noted as lost.

    Its run stayed in hand, so that no report about it was believed any more.
    """

    def test_a_start_is_in_doubt_and_its_task_free_once_its_stop_is_answered(self) -> None:
        async def body(scene: Scene) -> None:
            scene.orders.start_faults = [KeyError]
            scene.assign()
            await asyncio.sleep(1.0)
            self.assertEqual(len(scene.orders.stops), 1)
            self.assertIs(scene.status, TaskStatus.WAITING)

        self.play(body)

    def test_a_stop_is_given_again(self) -> None:
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
