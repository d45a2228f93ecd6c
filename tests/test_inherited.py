"""What a new leader does about runs on workers that are no longer in the platform's list.

A worker crashed out of reach of the leader and started again at its address under a new id. The
leader of then heard from the new life that the old one was over, but could not write it, since the
store was silent; it was followed by another. Meanwhile the old life's record lapsed. The next
leader read the assignment, which named a worker that was in no list: it had no address to ask at,
and held the task for as long as an earlier leader might have renewed its lease, though the new life
would have told at once that nothing runs there any more.
"""

from __future__ import annotations

import asyncio

from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.workers import FloorWorker
from saddlestack.work import JobRequest, JobState
from tests.test_pool import PoolTest

A = "00000000000000aa"
SOON_S = 2.0
"""A new leader asks at once; the election is over by then."""


class InheritedTest(PoolTest):
    async def run_on(self, cluster: PoolCluster, request: JobRequest) -> FloorWorker:
        """Begin a job; returns the worker of its first run."""
        await cluster.submit(A, request)
        count = request.steps[0].count
        await cluster.until(lambda: cluster.floor.starts_of(A) == count)
        return cluster.floor.workers[cluster.floor.history[0].worker]

    def restart(self, cluster: PoolCluster, worker: FloorWorker) -> FloorWorker:
        """A worker crashes and starts again at its address under a new id."""
        cluster.floor.crash(worker)
        life = cluster.floor.add(worker.rack, worker.data_hall)
        life.address = worker.address
        cluster.floor.record(life)
        return life

    def silence_store(self, cluster: PoolCluster, *, silent: bool) -> None:
        for member in cluster.members.values():
            member.view.faults.silent = silent

    async def follow(self, cluster: PoolCluster) -> None:
        """The leader dies, the store answers again, and another VM leads."""
        await cluster.kill(cluster.leader_name)
        self.silence_store(cluster, silent=False)
        await cluster.until(lambda: cluster.leader is not None)

    async def until_freed(self, cluster: PoolCluster) -> None:
        """Wait until the present leader counts no run of the job as present."""
        leader = cluster.leader
        assert leader is not None and leader.scheduler is not None
        board = leader.scheduler.board
        tasks = board.jobs[A].occurrences[0].steps[0].tasks
        first = [task.run for task in tasks]
        await cluster.until(
            lambda: all(task.run is not run for task, run in zip(tasks, first, strict=True))
        )

    async def begun_again_after(self, cluster: PoolCluster, starts: int) -> float:
        """How long it takes until the runs of the job that began are so many."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        await cluster.until(lambda: cluster.floor.starts_of(A) == starts)
        return loop.time() - began

    async def replaced_unwritten(self, cluster: PoolCluster, request: JobRequest) -> None:
        """A leader hears that a worker was replaced, cannot write it, and is followed."""
        worker = await self.run_on(cluster, request)
        self.silence_store(cluster, silent=True)
        self.restart(cluster, worker)
        await self.until_freed(cluster)
        cluster.floor.lapse(worker)
        await self.follow(cluster)

    def test_a_new_life_at_its_address_frees_what_an_unlisted_worker_ran(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.replaced_unwritten(cluster, job(1, work_s=20.0))
            self.assertLess(await self.begun_again_after(cluster, 2), SOON_S)
            await cluster.until_state(A, JobState.COMPLETED)

        self.play(body)

    def test_a_gang_with_a_member_there_begins_again_as_soon(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.replaced_unwritten(cluster, job(2, work_s=20.0, accelerators=8, gang=True))
            self.assertLess(await self.begun_again_after(cluster, 4), SOON_S)
            await cluster.until_state(A, JobState.COMPLETED)
            self.assertEqual(cluster.floor.starts_of(A), 4)

        self.play(body, workers=3)
