"""Random days on which workers are cut off, tasks crash their workers, and leaders change.

The workers of one job are cut off again and again, soon after each start.

On each, no sound job fails, since no worker crashes but under the task that crashes its workers,
and that task has at most two starts after its third crash.
"""

from __future__ import annotations

import asyncio
import random

from saddlestack.interfaces.workers import EndKind
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.workers import PoolWorker, TaskPlan, payload
from saddlestack.work import JobRequest, JobState, Resources, Step
from tests.test_pool import PoolTest
from tests.test_silent_workers import change_leader, cut

CHASED = "00000000000000bb"
CRASHING = "00000000000000cc"
LASTING = "00000000000000dd"
SEEDS = (0, 2, 5, 8, 12)
"""On all but the first, sound jobs failed while silence alone counted as crashes."""
DAY_S = 150.0
SETTLED_S = 150.0
CRASHES = 3
MAX_LATER_STARTS = 2


class LossyDay:
    """A small deployment on which a seed decides what is cut off, and when the leader changes."""

    def __init__(self, cluster: PoolCluster, seed: int) -> None:
        self._cluster = cluster
        self._rng = random.Random(seed)
        self._cuts: list[asyncio.Task[None]] = []
        self.sound = [CHASED, *(f"{number:016x}" for number in range(1, 9))]

    async def play(self) -> None:
        """Submit all jobs, cause faults for :data:`DAY_S`, and wait until all cuts are over."""
        self._cluster.worker_pool.times.back_s = self._rng.choice((1.0, 3.0, 15.0, 40.0))
        await self._submit()
        chase = asyncio.create_task(self._chase())
        loop = asyncio.get_running_loop()
        until_s = loop.time() + DAY_S
        while loop.time() < until_s:
            await asyncio.sleep(self._rng.uniform(0.5, 8.0))
            await self._rng.choice(
                (self._cut_busy, self._cut_busy, self._cut_many, self._change_leader)
            )()
        chase.cancel()
        await asyncio.gather(*self._cuts)

    def later_starts(self) -> int:
        """Number of starts of the crashing task after its third crash."""
        pool = self._cluster.worker_pool
        crashes = pool.crashes_of(CRASHING)
        if len(crashes) < CRASHES:
            return 0
        third_s = crashes[CRASHES - 1].began
        return sum(1 for run in pool.history if run.task.job_id == CRASHING and run.began > third_s)

    async def _submit(self) -> None:
        rng = self._rng
        await self._cluster.submit(CHASED, job(rng.randint(1, 2), accelerators=8, work_s=9.0))
        for job_id in self.sound[1:]:
            width = rng.randint(1, 4)
            request = job(
                width,
                accelerators=rng.choice((2, 4, 8)),
                work_s=rng.uniform(3.0, 20.0),
                gang=rng.random() < 0.5,
            )
            await self._cluster.submit(job_id, request)
        crashes_s = rng.choice((0.05, 0.3, 1.0))
        await self._cluster.submit(
            CRASHING, job(1, accelerators=8, work_s=5.0, crashes_s=crashes_s)
        )
        lasting = Step(count=1, needs=Resources(1000, 1024, 2), estimate_ms=1000, long_running=True)
        plan = TaskPlan(5.0, room=2, lasts=True)
        request = JobRequest(payload=payload(plan), steps=(lasting,))
        await self._cluster.submit(LASTING, request)

    async def _chase(self) -> None:
        history = self._cluster.worker_pool.history
        handled = 0
        while True:
            await asyncio.sleep(self._rng.uniform(0.1, 2.0))
            started, handled = history[handled:], len(history)
            names = {run.worker for run in started if run.task.job_id == CHASED}
            workers = [self._cluster.worker_pool.workers[name] for name in sorted(names)]
            self._cut([worker for worker in workers if worker.up and not worker.unreachable])

    async def _cut_busy(self) -> None:
        self._cut([worker for worker in self._connected() if worker.runs][:1])

    async def _cut_many(self) -> None:
        workers = self._connected()
        self._cut(self._rng.sample(workers, min(3, len(workers))))

    async def _change_leader(self) -> None:
        await change_leader(self._cluster)

    def _connected(self) -> list[PoolWorker]:
        workers = list(self._cluster.worker_pool.workers.values())
        found = [worker for worker in workers if worker.up and not worker.unreachable]
        self._rng.shuffle(found)
        return found

    def _cut(self, workers: list[PoolWorker]) -> None:
        for_s = self._rng.choice((5.0, 20.0, 45.0, 90.0))
        for worker in workers:
            self._cuts.append(asyncio.create_task(cut(self._cluster, worker, for_s)))


class LossyDaysTest(PoolTest):
    # Sound jobs were shown as failed, since each worker that was cut off counted as crashed.
    def test_no_sound_job_fails_and_the_crashing_one_is_started_no_more_than_allowed(self) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.play_day(seed)

    def play_day(self, seed: int) -> None:
        async def body(cluster: PoolCluster) -> None:
            day = LossyDay(cluster, seed)
            await day.play()
            for job_id in day.sound:
                await cluster.until_state(job_id, JobState.COMPLETED, SETTLED_S)
            self.assertIs(await cluster.state(LASTING), JobState.RUNNING)
            self.assertEqual(cluster.worker_pool.ends_of(LASTING, EndKind.FAILED), 0)
            self.assertLessEqual(day.later_starts(), MAX_LATER_STARTS)
            await cluster.until_state(CRASHING, JobState.FAILED, SETTLED_S)

        self.play(body, racks=2, workers=6, seed=seed)
