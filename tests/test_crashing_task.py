"""A task that crashes each worker that starts it is given up early and harms no other work.

A run that is lost with its worker ends as lapsed, and only failed runs count as attempts. Without
a count of crashes, the leader started such a task on another worker 6 ms after the next incarnation
at the crashed worker's address had reported, some 3.4 s after the crash. Two tasks that crashed
their workers within 10 ms were started 33 and 25 times on a day of two minutes. No task may have
three starts after its third crash.
"""

from __future__ import annotations

import asyncio

from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import JobState
from tests.test_pool import PoolTest

CRASHING = "00000000000000aa"
SOUND = "00000000000000bb"
AT_ONCE_S = 0.01
"""Time after which a started task crashes its worker."""
MOST_STARTS = 5
"""Two more starts are allowed after a task has crashed three workers."""
LONG_S = 60.0
"""Long enough for twice as many crashes."""


class CrashingTaskTest(PoolTest):
    def test_it_is_given_up_within_the_allowed_starts(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(CRASHING, job(1, accelerators=8, crashes_s=AT_ONCE_S))
            await asyncio.sleep(LONG_S)
            self.assertLessEqual(cluster.worker_pool.starts_of(CRASHING), MOST_STARTS)
            self.assertIs(await cluster.state(CRASHING), JobState.FAILED)

        self.play(body, racks=2, workers=4)

    def test_it_is_given_up_if_the_leader_is_lost_after_each_crash(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(CRASHING, job(1, accelerators=8, crashes_s=AT_ONCE_S))
            for number in range(8):
                crash_count = number + 1
                try:
                    await cluster.until(
                        lambda n=crash_count: len(cluster.worker_pool.crashed) >= n, 15.0
                    )  # type: ignore[misc]
                except TimeoutError:
                    break
                name = cluster.leader_name
                await cluster.kill(name)
                await cluster.add_entry(name)
                await cluster.until(lambda: cluster.leader is not None)
            self.assertLessEqual(cluster.worker_pool.starts_of(CRASHING), MOST_STARTS)
            await cluster.until_state(CRASHING, JobState.FAILED)

        self.play(body, racks=2, workers=4)

    def test_other_work_on_its_workers_is_not_lost_repeatedly(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(SOUND, job(12, work_s=6.0))
            await cluster.submit(CRASHING, job(1, crashes_s=AT_ONCE_S))
            await cluster.until_state(SOUND, JobState.COMPLETED, LONG_S)
            await cluster.until_state(CRASHING, JobState.FAILED, LONG_S)
            max_lost = 8
            self.assertLessEqual(len(cluster.worker_pool.lost_with_worker), max_lost)

        self.play(body, racks=1, workers=4)
