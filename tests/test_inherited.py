"""What a new leader does about runs on workers that are no longer listed by the platform.

Guards against this failure: a worker crashed while the leader could not reach it, and started again
at its address under a new id. The leader learned from the new incarnation that the old one was
over, but could not write that, since the store did not answer; then another leader took over.
Meanwhile the old incarnation's record lapsed. The new leader read an assignment to a worker that
was not listed and so had no address. It held the task for as long as an earlier leader might have
renewed the lease, although the new incarnation would have reported at once that nothing runs there.
"""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from saddlestack.codec import from_msgpack, to_msgpack
from saddlestack.control.leadership import LEASE_S, RENEWAL_GRACE_S
from saddlestack.control.leases import CLOCK_DRIFT, LAPSE_SLACK_S
from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.records import (
    OccurrenceRecord,
    OccurrenceStatus,
    StepRecord,
    TaskRecord,
    TaskStatus,
)
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.workers import PoolWorker, TaskPlan, payload
from saddlestack.work import JobRequest, JobState
from tests.test_pool import PoolTest

A = "00000000000000aa"
B = "00000000000000bb"
SOON_S = 2.0
"""A new leader polls at once; the election is over by then."""
HOLD_S = 10.0
INHERITED_S = LEASE_S + RENEWAL_GRACE_S + HOLD_S * CLOCK_DRIFT + LAPSE_SLACK_S
"""How long a lease of an earlier leader may last, counted from the start of the next term."""
READING_S = 1.0
"""Time within which a new leader has read the store."""


class InheritedCase(PoolTest):
    async def run_on(self, cluster: PoolCluster, request: JobRequest) -> PoolWorker:
        """Start a job; returns the worker of its first run."""
        await cluster.submit(A, request)
        count = request.steps[0].count
        await cluster.until(lambda: cluster.worker_pool.starts_of(A) == count)
        return cluster.worker_pool.workers[cluster.worker_pool.history[0].worker]

    def restart(self, cluster: PoolCluster, worker: PoolWorker) -> PoolWorker:
        """Crash a worker and start it again at its address under a new id."""
        cluster.worker_pool.crash(worker)
        incarnation = cluster.worker_pool.add(worker.rack, worker.data_hall)
        incarnation.address = worker.address
        cluster.worker_pool.record(incarnation)
        return incarnation

    def silence_store(self, cluster: PoolCluster, *, silent: bool) -> None:
        for member in cluster.members.values():
            member.view.faults.silent = silent

    async def fail_over(self, cluster: PoolCluster) -> None:
        """Kill the leader, let the store answer again, and wait until another VM leads."""
        await cluster.kill(cluster.leader_name)
        self.silence_store(cluster, silent=False)
        await cluster.until(lambda: cluster.leader is not None)

    async def until_runs_freed(self, cluster: PoolCluster) -> None:
        """Wait until the present leader has freed all present runs of the job."""
        leader = cluster.leader
        assert leader is not None and leader.scheduler is not None
        cluster_state = leader.scheduler.cluster_state
        tasks = cluster_state.jobs[A].occurrences[0].steps[0].tasks
        first = [task.run for task in tasks]
        await cluster.until(
            lambda: all(task.run is not run for task, run in zip(tasks, first, strict=True))
        )

    async def time_until_starts(self, cluster: PoolCluster, starts: int) -> float:
        """How long it takes until the job has started this many runs in all."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        await cluster.until(lambda: cluster.worker_pool.starts_of(A) == starts)
        return loop.time() - began


class InheritedTest(InheritedCase):
    async def replace_unrecorded(self, cluster: PoolCluster, request: JobRequest) -> None:
        """A leader learns that a worker was replaced, cannot write it, and fails."""
        worker = await self.run_on(cluster, request)
        self.silence_store(cluster, silent=True)
        self.restart(cluster, worker)
        await self.until_runs_freed(cluster)
        cluster.worker_pool.expire_record(worker)
        await self.fail_over(cluster)

    def test_a_new_incarnation_at_its_address_frees_runs_of_an_unlisted_worker(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.replace_unrecorded(cluster, job(1, work_s=20.0))
            self.assertLess(await self.time_until_starts(cluster, 2), SOON_S)
            await cluster.until_state(A, JobState.COMPLETED)

        self.play(body)

    def test_a_gang_with_a_member_there_restarts_as_soon(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.replace_unrecorded(cluster, job(2, work_s=20.0, accelerators=8, gang=True))
            self.assertLess(await self.time_until_starts(cluster, 4), SOON_S)
            await cluster.until_state(A, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(A), 4)

        self.play(body, workers=3)

    async def unlisted(self, cluster: PoolCluster, request: JobRequest) -> PoolWorker:
        """Fail over while the record of the worker of the first run has lapsed."""
        worker = await self.run_on(cluster, request)
        cluster.worker_pool.expire_record(worker)
        await self.fail_over(cluster)
        return worker

    async def assert_waits_for_the_lease(self, cluster: PoolCluster) -> None:
        waited = await self.time_until_starts(cluster, 2)
        self.assertGreater(waited, INHERITED_S - READING_S)
        self.assertLess(waited, INHERITED_S + READING_S)

    def test_an_unlisted_incarnation_that_reports_its_runs_keeps_them(self) -> None:
        """Its record lapsed; its lease of 10 s is renewed for as long as it works."""

        async def body(cluster: PoolCluster) -> None:
            await self.unlisted(cluster, job(2, work_s=3 * HOLD_S, accelerators=1))
            await cluster.until_state(A, JobState.COMPLETED, 4 * HOLD_S)
            self.assertEqual(cluster.worker_pool.starts_of(A), 2)

        self.play(body)

    def test_an_unlisted_incarnation_gets_no_new_work(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.unlisted(cluster, job(1, work_s=HOLD_S))
            await cluster.submit(B, job(31, work_s=1.0))
            await cluster.until_state(B, JobState.COMPLETED)
            self.assertNotIn(worker.worker_id, [r.worker for r in cluster.worker_pool.history[1:]])

        self.play(body)

    def test_an_incarnation_without_runs_frees_its_task_at_once(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=20.0))
            cluster.worker_pool.expire_record(worker)
            worker.runs.clear()
            await self.fail_over(cluster)
            self.assertLess(await self.time_until_starts(cluster, 2), SOON_S)

        self.play(body)

    def test_an_end_reported_by_an_unlisted_worker_counts(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=1.0))
            worker.unreachable = True
            await cluster.until(lambda: cluster.worker_pool.ends_of(A, EndKind.DONE) == 1)
            cluster.worker_pool.expire_record(worker)
            await cluster.kill(cluster.leader_name)
            worker.unreachable = False
            await cluster.until_state(A, JobState.COMPLETED, 5.0)
            self.assertEqual(cluster.worker_pool.starts_of(A), 1)

        self.play(body)

    def test_a_stop_reaches_an_unlisted_incarnation(self) -> None:
        """A job is cancelled while its worker's record is missing."""

        async def body(cluster: PoolCluster) -> None:
            await self.unlisted(cluster, job(2, work_s=2 * HOLD_S))
            self.assertTrue(await cluster.cancel(A))
            await cluster.until(
                lambda: cluster.worker_pool.ends_of(A, EndKind.STOPPED) == 2, SOON_S
            )
            await cluster.until_state(A, JobState.CANCELLED, SOON_S)

        self.play(body)

    def test_long_running_work_of_a_replaced_worker_restarts_as_soon(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            once = job(1)
            step = msgspec.structs.replace(once.steps[0], long_running=True)
            lasting = JobRequest(payload=payload(TaskPlan(lasts=True)), steps=(step,))
            await self.replace_unrecorded(cluster, lasting)
            self.assertLess(await self.time_until_starts(cluster, 2), SOON_S)

        self.play(body)

    def test_in_an_evacuated_hall_runs_of_an_unlisted_incarnation_continue(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(2, work_s=2 * HOLD_S))
            cluster.evacuate(worker.data_hall)
            cluster.worker_pool.expire_record(worker)
            await self.fail_over(cluster)
            await cluster.until_state(A, JobState.COMPLETED, 4 * HOLD_S)
            self.assertEqual(cluster.worker_pool.starts_of(A), 2)

        self.play(body)

    def test_each_of_many_unlisted_incarnations_is_polled(self) -> None:
        """Some were replaced, some do not answer, some are alive."""

        async def body(cluster: PoolCluster) -> None:
            await self.run_on(cluster, job(6, work_s=15.0, accelerators=8))
            used = [cluster.worker_pool.workers[run.worker] for run in cluster.worker_pool.history]
            for worker in used[:2]:
                self.restart(cluster, worker)
            for worker in used[2:4]:
                worker.unreachable = True
                cluster.worker_pool.crash(worker)
            for worker in used:
                cluster.worker_pool.expire_record(worker)
            await self.fail_over(cluster)
            self.assertLess(await self.time_until_starts(cluster, 8), SOON_S)
            await asyncio.sleep(INHERITED_S - SOON_S - READING_S)
            self.assertEqual(cluster.worker_pool.starts_of(A), 8)
            await cluster.until_state(A, JobState.COMPLETED, 4 * HOLD_S)
            self.assertEqual(cluster.worker_pool.starts_of(A), 10)

        self.play(body, workers=6)

    def test_a_worker_whose_record_comes_back_is_used_normally(self) -> None:
        """On a partitioned worker the record returns first, and the answers later."""

        async def body(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=HOLD_S))
            worker.unreachable = True
            cluster.worker_pool.expire_record(worker)
            await self.fail_over(cluster)
            await asyncio.sleep(1.0)
            cluster.worker_pool.record(worker)
            await asyncio.sleep(1.0)
            worker.unreachable = False
            await cluster.submit(B, job(31, work_s=1.0), queue="urgent")
            await cluster.until_state(B, JobState.COMPLETED)
            await cluster.until_state(A, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(A), 1)
            self.assertIn(worker.worker_id, [r.worker for r in cluster.worker_pool.history[1:]])

        self.play(body)

    def test_no_answer_at_its_address_proves_nothing(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=20.0))
            worker.unreachable = True
            cluster.worker_pool.crash(worker)
            cluster.worker_pool.expire_record(worker)
            await self.fail_over(cluster)
            await self.assert_waits_for_the_lease(cluster)

        self.play(body)

    def test_a_connection_refused_at_its_address_proves_nothing(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=20.0))
            cluster.worker_pool.crash(worker)
            cluster.worker_pool.expire_record(worker)
            await self.fail_over(cluster)
            await self.assert_waits_for_the_lease(cluster)

        self.play(body)

    def test_a_busy_answer_at_its_address_proves_nothing(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=60.0))
            worker.busy = True
            cluster.worker_pool.expire_record(worker)
            await self.fail_over(cluster)
            await self.assert_waits_for_the_lease(cluster)

        self.play(body)

    def test_a_partitioned_worker_that_answers_later_frees_its_task_then(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=20.0))
            worker.unreachable = True
            self.restart(cluster, worker)
            cluster.worker_pool.expire_record(worker)
            await self.fail_over(cluster)
            await asyncio.sleep(5.0)
            self.assertEqual(cluster.worker_pool.starts_of(A), 1)
            worker.unreachable = False
            self.assertLess(await self.time_until_starts(cluster, 2), SOON_S)

        self.play(body)

    def test_no_session_is_left_with_an_incarnation_that_is_over(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=20.0))
            cluster.worker_pool.crash(worker)
            cluster.worker_pool.expire_record(worker)
            await self.fail_over(cluster)
            leader = cluster.leader
            assert leader is not None and leader.scheduler is not None
            sessions = leader.scheduler._sessions
            self.assertIn(worker.worker_id, sessions)
            await self.time_until_starts(cluster, 2)
            await cluster.until(lambda: worker.worker_id not in sessions, 1.0)

        self.play(body)


class LogTest(InheritedCase):
    """What is logged about runs that an earlier leader started."""

    async def lines(self, cluster: PoolCluster) -> list[dict[str, object]]:
        """What a new leader logs until the task runs again."""
        with self.assertLogs("saddlestack.endings", "INFO") as caught:
            await self.fail_over(cluster)
            await self.time_until_starts(cluster, 2)
        return [vars(line) for line in caught.records]

    def test_the_wait_for_a_lease_and_its_end_are_logged(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=20.0))
            cluster.worker_pool.crash(worker)
            cluster.worker_pool.expire_record(worker)
            wait, over = await self.lines(cluster)
            self.assertEqual((wait["event"], over["event"]), ("lease_wait", "run_over"))
            self.assertEqual(wait["worker"], worker.worker_id)
            self.assertAlmostEqual(float(str(wait["left_s"])), INHERITED_S, delta=READING_S)
            self.assertEqual((over["proof"], over["inherited"]), ("lapsed", True))
            self.assertAlmostEqual(float(str(over["age_s"])), INHERITED_S, delta=READING_S)

        self.play(body)

    def test_another_incarnation_and_an_absent_run_are_logged_as_proof(self) -> None:
        async def replaced(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=20.0))
            worker.unreachable = True
            self.restart(cluster, worker)
            cluster.worker_pool.expire_record(worker)
            worker.unreachable = False
            over = (await self.lines(cluster))[-1]
            self.assertEqual((over["task"], over["run"]), (f"{A}.0.0.0", 1))
            self.assertEqual((over["proof"], over["age_s"]), ("replaced", 0.0))

        async def absent(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=20.0))
            cluster.worker_pool.expire_record(worker)
            worker.runs.clear()
            over = (await self.lines(cluster))[-1]
            self.assertEqual((over["proof"], over["inherited"]), ("absent", True))
            self.assertLess(float(str(over["age_s"])), 1.0)

        self.play(replaced)
        self.play(absent)


class OlderRecord(msgspec.Struct, array_like=True):
    """The record of an occurrence as earlier versions wrote it, and read it."""

    status: OccurrenceStatus
    steps: list[StepRecord]


class RecordTest(unittest.TestCase):
    LIFE = "i-82a983281e"
    ADDRESS = "127.123.104.203:41873"

    def steps(self, tasks: int) -> list[StepRecord]:
        return [StepRecord([TaskRecord(TaskStatus.ASSIGNED, 1, self.LIFE) for _ in range(tasks)])]

    def record(self, tasks: int) -> OccurrenceRecord:
        addresses = {self.LIFE: self.ADDRESS}
        return OccurrenceRecord(OccurrenceStatus.OPEN, self.steps(tasks), addresses)

    def test_records_without_addresses_are_read(self) -> None:
        older = to_msgpack(OlderRecord(OccurrenceStatus.OPEN, self.steps(2)))
        read = from_msgpack(older, OccurrenceRecord)
        self.assertEqual(read, OccurrenceRecord(OccurrenceStatus.OPEN, self.steps(2), {}))

    def test_earlier_versions_read_records_with_addresses(self) -> None:
        read = from_msgpack(to_msgpack(self.record(2)), OlderRecord)
        self.assertEqual(read, OlderRecord(OccurrenceStatus.OPEN, self.steps(2)))

    def test_an_address_is_kept_once_a_worker_however_many_tasks_run_there(self) -> None:
        for tasks in (1, 1000):
            without = to_msgpack(OccurrenceRecord(OccurrenceStatus.OPEN, self.steps(tasks)))
            with_address = to_msgpack(self.record(tasks))
            most = len(self.LIFE) + len(self.ADDRESS) + 2
            self.assertLessEqual(len(with_address) - len(without), most)


if __name__ == "__main__":
    unittest.main()
