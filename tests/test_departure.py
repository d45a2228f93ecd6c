"""Workers that leave as they announced: what they still run is over with its lease, not before."""

from __future__ import annotations

import asyncio
import unittest

from saddlestack.control.leases import CLOCK_DRIFT, LAPSE_SLACK_S
from saddlestack.interfaces.workers import RunningTask
from saddlestack.policy.cluster.draining import SAVE_MARGIN_S
from saddlestack.policy.cluster.records import TaskStatus
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import JobState
from tests.test_board import record
from tests.test_inherited import HOLD_S as POOL_HOLD_S
from tests.test_inherited import INHERITED_S
from tests.test_pool import PoolTest
from tests.test_session import HOLD_S, TASK, Scene, SessionCase

A = "00000000000000aa"
NOTICE_S = 2.0
LOOKED_S = 1.5
"""Three looks of 0.3 s and more."""
WAIT_S = 2.0
"""A look waits so long for an end, and the last lease is up to so much older than its answer; the
stand-in answers one that waits already, and the next one grants a last lease."""
READING_S = 1.0


class UnlistedTest(SessionCase):
    """A worker that announced its end removes its record."""

    def run_on_leaving(self, scene: Scene) -> None:
        """The task runs on a worker that leaves in two seconds."""
        scene.assign()
        scene.list_run()
        leaving = record("w11", draining=True, remaining_ms=2000)
        scene.cluster_state.set_worker(leaving, asyncio.get_running_loop().time())

    def test_its_work_waits_again_once_its_lease_has_lapsed(self) -> None:
        async def body(scene: Scene) -> None:
            self.run_on_leaving(scene)
            await asyncio.sleep(NOTICE_S)
            scene.orders.is_unreachable = True
            scene.cluster_state.unlist_worker("w11")
            await asyncio.sleep(HOLD_S - WAIT_S)
            self.assertIs(scene.status, TaskStatus.ASSIGNED)
            await asyncio.sleep(WAIT_S + HOLD_S * (CLOCK_DRIFT - 1) + LAPSE_SLACK_S + READING_S)
            self.assertIs(scene.status, TaskStatus.WAITING)

        self.play(body)

    def test_one_that_answers_keeps_its_work(self) -> None:
        async def body(scene: Scene) -> None:
            self.run_on_leaving(scene)
            await asyncio.sleep(NOTICE_S)
            scene.cluster_state.unlist_worker("w11")
            await asyncio.sleep(3 * HOLD_S)
            self.assertIs(scene.status, TaskStatus.ASSIGNED)

        self.play(body)

    def test_what_it_still_tells_of_counts(self) -> None:
        async def body(scene: Scene) -> None:
            self.run_on_leaving(scene)
            await asyncio.sleep(NOTICE_S)
            scene.orders.running = (RunningTask(TASK, 1, "", 90),)
            scene.cluster_state.unlist_worker("w11")
            await asyncio.sleep(LOOKED_S)
            self.assertEqual(
                scene.session.worker.runs[next(iter(scene.session.worker.runs))].percent, 90
            )

        self.play(body)


class PoolDepartureTest(PoolTest):
    def test_work_that_left_with_its_worker_starts_again_when_its_lease_has_lapsed(self) -> None:
        """The stop that was to save its work did not reach it any more.

        To start it at once, since its worker had announced its end, removed its record and answered
        none of three looks, cannot be told from a worker that serves on, and was worth nothing: on
        five days of troubles with 41 VMs and 176 workers 0.708 of what is owed with and without it.
        """

        async def body(cluster: PoolCluster) -> None:
            loop = asyncio.get_running_loop()
            await asyncio.sleep(INHERITED_S)
            await cluster.submit(A, job(1, work_s=6.0, checkpoint=True))
            await cluster.until(lambda: cluster.floor.starts_of(A) == 1)
            worker = cluster.floor.workers[cluster.floor.history[0].worker]
            cluster.floor.record(worker, remaining_ms=2000)
            await asyncio.sleep(NOTICE_S - SAVE_MARGIN_S - 0.1)
            worker.unreachable = True
            silent_s = loop.time()
            await asyncio.sleep(SAVE_MARGIN_S + 0.1)
            cluster.floor.crash(worker, recorded=False)
            await cluster.until(lambda: cluster.floor.starts_of(A) == 2)
            longest_s = POOL_HOLD_S * CLOCK_DRIFT + LAPSE_SLACK_S
            self.assertGreater(loop.time() - silent_s, POOL_HOLD_S - WAIT_S)
            self.assertLess(loop.time() - silent_s, WAIT_S + longest_s + READING_S)
            await cluster.until_state(A, JobState.COMPLETED)

        self.play(body)


if __name__ == "__main__":
    unittest.main()
