"""Workers that leave as they announced: their runs are over at once, and never too soon."""

from __future__ import annotations

import asyncio
import math
import unittest

from saddlestack.interfaces.workers import RunningTask
from saddlestack.policy.board.departure import (
    ANNOUNCED_SLACK_S,
    LAPSE_HEARTBEATS,
    REMOVED_HEARTBEATS,
    SAVE_MARGIN_S,
    has_left,
)
from saddlestack.policy.board.records import TaskStatus
from saddlestack.policy.board.workers import Worker
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import JobState
from tests.test_board import record
from tests.test_pool import PoolTest
from tests.test_session import TASK, Scene, SessionCase

A = "00000000000000aa"
HEARTBEAT_S = 1.5
NOTICE_S = 2.0
CONFIRMED_S = 1.5
"""Three looks of 0.3 s, and what the store and the leader take to tell each other."""


class HasLeftTest(unittest.TestCase):
    """A notice at 8 s of an end at 10 s; the record goes at 10.2 s."""

    def left(self, **changes: float) -> bool:
        worker = Worker(record("w"))
        worker.note(record("w", draining=True, remaining_ms=2000), 8.0)
        given = {"now": 10.2, "record_age_s": 0.4, "heartbeat_s": HEARTBEAT_S, "steady_s": 0.0}
        return has_left(worker, **(given | changes))

    def test_a_worker_whose_record_goes_right_after_it_was_written_has_left(self) -> None:
        self.assertTrue(self.left())

    def test_one_whose_record_may_have_lapsed_may_run_on(self) -> None:
        self.assertFalse(self.left(record_age_s=LAPSE_HEARTBEATS * HEARTBEAT_S))
        self.assertFalse(self.left(record_age_s=REMOVED_HEARTBEATS * HEARTBEAT_S + 0.1))

    def test_a_record_from_the_future_is_not_its_own(self) -> None:
        self.assertFalse(self.left(record_age_s=-0.1))

    def test_one_that_never_answered_may_run_on(self) -> None:
        self.assertFalse(self.left(record_age_s=math.inf))

    def test_before_its_time_it_may_run_on(self) -> None:
        self.assertFalse(self.left(now=10.0 - ANNOUNCED_SLACK_S - 0.1))

    def test_without_a_notice_it_may_run_on(self) -> None:
        self.assertFalse(
            has_left(
                Worker(record("w")), 10.2, record_age_s=0.4, heartbeat_s=HEARTBEAT_S, steady_s=0.0
            )
        )

    def test_records_say_nothing_right_after_an_outage_of_the_store(self) -> None:
        self.assertFalse(self.left(steady_s=10.2 - LAPSE_HEARTBEATS * HEARTBEAT_S + 0.1))

    def test_where_heartbeats_are_not_known_nothing_is_concluded(self) -> None:
        self.assertFalse(self.left(heartbeat_s=0.0))


class ConfirmedTest(SessionCase):
    def run_on_leaving(self, scene: Scene) -> None:
        """The task runs on a worker that leaves in two seconds."""
        scene.assign()
        scene.is_there()
        leaving = record("w11", draining=True, remaining_ms=2000)
        scene.board.set_worker(leaving, asyncio.get_running_loop().time())

    def test_its_work_waits_again_once_it_does_not_answer(self) -> None:
        async def body(scene: Scene) -> None:
            self.run_on_leaving(scene)
            await asyncio.sleep(NOTICE_S)
            scene.orders.dark = True
            await asyncio.sleep(0.2)
            scene.board.unlist_worker("w11")
            scene.session.unlisted()
            await asyncio.sleep(CONFIRMED_S)
            self.assertIs(scene.status, TaskStatus.WAITING)

        self.play(body)

    def test_one_that_answers_keeps_its_work(self) -> None:
        async def body(scene: Scene) -> None:
            self.run_on_leaving(scene)
            await asyncio.sleep(NOTICE_S)
            scene.board.unlist_worker("w11")
            scene.session.unlisted()
            await asyncio.sleep(CONFIRMED_S)
            self.assertIs(scene.status, TaskStatus.ASSIGNED)

        self.play(body)

    def test_one_that_went_silent_long_before_keeps_its_work(self) -> None:
        async def body(scene: Scene) -> None:
            self.run_on_leaving(scene)
            scene.orders.dark = True
            await asyncio.sleep(REMOVED_HEARTBEATS * HEARTBEAT_S + 0.5)
            scene.board.unlist_worker("w11")
            scene.session.unlisted()
            await asyncio.sleep(CONFIRMED_S)
            self.assertIs(scene.status, TaskStatus.ASSIGNED)

        self.play(body)

    def test_what_it_still_tells_of_counts(self) -> None:
        async def body(scene: Scene) -> None:
            self.run_on_leaving(scene)
            await asyncio.sleep(NOTICE_S)
            scene.orders.running = (RunningTask(TASK, 1, "", 90),)
            scene.board.unlist_worker("w11")
            scene.session.unlisted()
            await asyncio.sleep(CONFIRMED_S)
            self.assertEqual(
                scene.session.worker.runs[next(iter(scene.session.worker.runs))].percent, 90
            )

        self.play(body)


class PoolDepartureTest(PoolTest):
    def test_work_of_a_worker_that_left_starts_again_long_before_its_lease_lapses(self) -> None:
        """The stop that was to save its work did not reach it any more."""

        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(LAPSE_HEARTBEATS * HEARTBEAT_S)
            await cluster.submit(A, job(1, work_s=6.0, checkpoint=True))
            await cluster.until(lambda: cluster.floor.starts_of(A) == 1)
            worker = cluster.floor.workers[cluster.floor.history[0].worker]
            cluster.floor.record(worker, remaining_ms=2000)
            await asyncio.sleep(NOTICE_S - SAVE_MARGIN_S - 0.1)
            worker.unreachable = True
            await asyncio.sleep(SAVE_MARGIN_S + 0.1)
            cluster.floor.crash(worker, recorded=False)
            await cluster.until(lambda: cluster.floor.starts_of(A) == 2, 3.0)
            await cluster.until_state(A, JobState.COMPLETED)

        self.play(body)
