"""Whether a job has begun, as a later leader and a VM without a leader read it from the store.

Guards against this failure: workers refused the starts of some jobs, or had yet to answer them. The
leader gave these jobs as pending. After a change of leader they counted as begun, since a record of
an assignment was taken for a start, and clients saw ``running`` for work that nobody had begun.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Mapping
from functools import partial

import msgspec

from saddlestack.codec import from_msgpack, to_msgpack
from saddlestack.interfaces.workers import EndedTask, EndKind
from saddlestack.policy.cluster.changes import Changes, Start
from saddlestack.policy.cluster.incarnation_end import IncarnationEnd
from saddlestack.policy.cluster.records import (
    OccurrenceRecord,
    OccurrenceStatus,
    StepRecord,
    TaskRecord,
    TaskStatus,
)
from saddlestack.policy.cluster.state import BEGUN_RECORD_DELAY_S, ClusterState
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import JobState
from tests.test_cluster_state import ClusterCase, step
from tests.test_inherited import HOLD_S, InheritedCase

QUEUE = "normal"
JOBS = [f"{number:016x}" for number in range(1, 5)]
SETTLED_S = BEGUN_RECORD_DELAY_S + 1.0
"""Time within which orders are answered, and it is recorded that jobs have begun."""
LAPSED_S = 3 * HOLD_S
"""Time after which every lease has lapsed, those of earlier leaders included."""


class OlderRecord(msgspec.Struct, array_like=True):
    """The record of an occurrence as earlier versions wrote it, and read it."""

    status: OccurrenceStatus
    steps: list[StepRecord] = []
    addresses: dict[str, str] = {}
    cause: str = ""


class StoredCase(ClusterCase):
    """A leader whose records a later one reads, at any moment."""

    def setUp(self) -> None:
        super().setUp()
        self.records: dict[str, bytes] = {}

    def decide(self, now: float) -> Changes:
        """Run a round after a tick, and write its records; starts are not confirmed."""
        self.cluster_state.record_begun(now + BEGUN_RECORD_DELAY_S)
        self.cluster_state.plan(now, 0.0)
        changes = self.cluster_state.take_changes()
        self.records |= {key: to_msgpack(each) for key, each in changes.records.items()}
        return changes

    def start(self, now: float = 0.0) -> Start:
        """Assign the only task that waits."""
        (start,) = self.decide(now).starts
        return start

    def successor(self, job_id: str) -> ClusterState:
        """The state of a later leader, that has read what is in the store."""
        accepted = self.cluster_state.jobs[job_id].accepted
        stored: Mapping[int, OccurrenceRecord] = {
            int(key.rpartition(".")[2]): from_msgpack(value, OccurrenceRecord)
            for key, value in self.records.items()
        }
        found = ClusterState()
        for worker in self.cluster_state.workers.values():
            found.set_worker(worker.record, 0.0)
        found.add_job(accepted, stored)
        return found

    def assert_pending(self, state: ClusterState, job_id: str, *, pending: bool) -> None:
        expected = JobState.QUEUED if pending else JobState.RUNNING
        self.assertIs(state.jobs[job_id].state, expected)
        self.assertIs(state.jobs[job_id].published_state, expected)
        self.assertEqual(state.pending("q"), int(pending))


class LaterLeaderTest(StoredCase):
    def test_an_assigned_run_has_not_begun(self) -> None:
        self.workers()
        job_id = self.add(step(1))
        self.start()
        self.assert_pending(self.successor(job_id), job_id, pending=True)

    def test_a_refused_run_has_not_begun(self) -> None:
        self.workers()
        job_id = self.add(step(1))
        for now in (0.0, 2.0):
            self.cluster_state.run_not_started(self.start(now).run)
        self.cluster_state.workers["w11"].busy_s = self.cluster_state.workers["w12"].busy_s = 9.0
        self.decide(2.0)
        self.assert_pending(self.successor(job_id), job_id, pending=True)

    def test_an_inherited_run_that_its_worker_does_not_have_has_not_begun(self) -> None:
        self.workers()
        job_id = self.add(step(1))
        self.start()
        later = self.successor(job_id)
        (run,) = later.jobs[job_id].runs()
        later.run_not_started(run)
        self.assertIs(later.jobs[job_id].state, JobState.QUEUED)

    def test_an_inherited_run_that_its_worker_reports_has_begun(self) -> None:
        self.workers()
        job_id = self.add(step(1))
        self.start()
        later = self.successor(job_id)
        (run,) = later.jobs[job_id].runs()
        later.run_started(run, 1.0)
        self.assertIs(later.jobs[job_id].state, JobState.RUNNING)
        later.record_begun(1.0 + BEGUN_RECORD_DELAY_S)
        (written,) = later.take_changes().records.values()
        self.assertTrue(written.begun)

    def test_a_run_that_began_has_begun(self) -> None:
        self.workers()
        job_id = self.add(step(1))
        self.cluster_state.run_started(self.start().run, 0.1)
        self.decide(0.1)
        self.assert_pending(self.successor(job_id), job_id, pending=False)

    def test_work_that_began_is_not_pending_again_once_its_worker_is_lost(self) -> None:
        self.workers()
        job_id = self.add(step(1))
        start = self.start()
        self.cluster_state.run_started(start.run, 0.1)
        self.decide(0.1)
        before = self.successor(job_id)
        for state in (self.cluster_state, before):
            state.worker_ended(start.run.worker_id, IncarnationEnd(0.2, 0.4))
            self.assertIs(state.jobs[job_id].state, JobState.RUNNING)
        for worker in self.cluster_state.workers.values():
            worker.busy_s = 9.0
        self.decide(0.5)
        self.assert_pending(self.successor(job_id), job_id, pending=False)

    def test_a_run_whose_start_was_not_confirmed_began_if_its_end_is_reported(self) -> None:
        """The answer to its start was lost, and it ended before the next report."""
        for how in (EndKind.FAILED, EndKind.STOPPED, EndKind.LAPSED):
            with self.subTest(how=how):
                self.setUp()
                self.workers()
                job_id = self.add(step(1))
                run = self.start().run
                end = EndedTask(1, str(run.task.name), run.number, how, "")
                self.cluster_state.run_ended(run.worker_id, end, 0.5)
                self.assertIs(self.state(job_id), JobState.RUNNING)
                for worker in self.cluster_state.workers.values():
                    worker.busy_s = 9.0
                self.decide(0.5)
                self.assert_pending(self.successor(job_id), job_id, pending=False)

    def test_a_step_that_is_done_has_begun(self) -> None:
        self.workers()
        job_id = self.add(step(1), step(1, after=(0,)))
        run = self.start().run
        end = EndedTask(1, str(run.task.name), run.number, EndKind.DONE, "")
        self.cluster_state.run_ended(run.worker_id, end, 0.5)
        self.decide(0.5)
        self.assert_pending(self.successor(job_id), job_id, pending=False)

    def test_a_repeated_job_has_begun_once_one_of_its_times_has(self) -> None:
        self.workers()
        job_id = self.add(step(1), times=3, interval_ms=1)
        self.cluster_state.plan(0.0, 10.0)
        changes = self.cluster_state.take_changes()
        self.records |= {key: to_msgpack(each) for key, each in changes.records.items()}
        self.assertEqual(len(changes.starts), 3)
        self.assertIs(self.successor(job_id).jobs[job_id].state, JobState.QUEUED)
        self.cluster_state.run_started(changes.starts[1].run, 0.1)
        self.decide(0.1)
        self.assertIs(self.successor(job_id).jobs[job_id].state, JobState.RUNNING)


class WriteTest(StoredCase):
    """When it is written that a job has begun, and what clients see until then."""

    def rounds(self, *times_s: float) -> list[int]:
        """The numbers of records that rounds write at some times."""
        counts = []
        for now in times_s:
            self.cluster_state.record_begun(now)
            self.cluster_state.plan(now, 0.0)
            counts.append(len(self.cluster_state.take_changes().records))
        return counts

    def test_it_is_written_once_for_each_job(self) -> None:
        self.workers()
        self.add(step(4))
        self.cluster_state.plan(0.0, 0.0)
        for start in self.cluster_state.take_changes().starts:
            self.cluster_state.run_started(start.run, 0.0)
        written = self.rounds(0.5, BEGUN_RECORD_DELAY_S, 2 * BEGUN_RECORD_DELAY_S)
        self.assertEqual(written, [0, 1, 0])

    def test_no_write_of_its_own_follows_another_one(self) -> None:
        self.workers()
        job_id = self.add(step(2))
        self.cluster_state.plan(0.0, 0.0)
        for start in self.cluster_state.take_changes().starts:
            self.cluster_state.run_started(start.run, 0.0)
        self.end_run(
            self.cluster_state.jobs[job_id].occurrences[0].steps[0].tasks[0], EndKind.DONE, 0.4
        )
        self.assertEqual(self.rounds(0.5, 2 * BEGUN_RECORD_DELAY_S), [1, 0])

    def test_clients_see_that_a_job_has_begun_only_once_that_is_stored(self) -> None:
        self.workers()
        job_id = self.add(step(1))
        self.cluster_state.run_started(self.start().run, 0.1)
        self.assertEqual(self.cluster_state.pending("q"), 1)
        (changes,) = self.decide(0.1).by_job()
        self.assertEqual([state for _, state in changes.state_updates], [JobState.RUNNING])
        self.assertEqual([each.begun for each in changes.records.values()], [True])
        self.cluster_state.jobs[job_id].published_state = JobState.RUNNING
        self.assertEqual(self.cluster_state.pending("q"), 0)


class OtherVersionTest(unittest.TestCase):
    """Records of versions that do not note whether a job has begun."""

    def older(self, status: TaskStatus, run: int) -> OccurrenceRecord:
        task = TaskRecord(status, run, "w11" if run else "")
        written = to_msgpack(OlderRecord(OccurrenceStatus.OPEN, [StepRecord([task])]))
        return from_msgpack(written, OccurrenceRecord)

    def test_work_of_an_earlier_version_that_lost_its_worker_is_not_pending(self) -> None:
        for status in (TaskStatus.WAITING, TaskStatus.ASSIGNED):
            self.assertTrue(self.older(status, run=2).may_have_begun)

    def test_work_of_an_earlier_version_that_was_never_assigned_is_pending(self) -> None:
        self.assertFalse(self.older(TaskStatus.WAITING, run=0).may_have_begun)

    def test_earlier_versions_read_records_of_this_one(self) -> None:
        steps = [StepRecord([TaskRecord(TaskStatus.ASSIGNED, 1, "w11")])]
        written = OccurrenceRecord(OccurrenceStatus.OPEN, steps, {"w11": "127.0.0.1:1"}, begun=True)
        read = from_msgpack(to_msgpack(written), OlderRecord)
        self.assertEqual(read, OlderRecord(OccurrenceStatus.OPEN, steps, {"w11": "127.0.0.1:1"}))


class ChangeOfLeaderTest(InheritedCase):
    """Entry VMs on a store, and workers that answer every order with 503."""

    async def pending(self, cluster: PoolCluster) -> set[int]:
        """What each VM gives as the number of pending jobs."""
        call = cluster.call(QUEUE)
        return {await member.vm.jobs.pending(call) for member in cluster.members.values()}

    async def states(self, cluster: PoolCluster) -> set[JobState | None]:
        return {await cluster.state(job_id, at=name) for job_id in JOBS for name in cluster.members}

    async def submit_all(self, cluster: PoolCluster, *, busy: bool) -> None:
        for worker in cluster.worker_pool.workers.values():
            worker.busy = busy
        for job_id in JOBS:
            await cluster.submit(job_id, job(1, work_s=60.0, accelerators=4))
        await asyncio.sleep(SETTLED_S)

    def test_refused_jobs_stay_pending(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.submit_all(cluster, busy=True)
            self.assertEqual(await self.pending(cluster), {len(JOBS)})
            await self.fail_over(cluster)
            self.assertEqual(await self.pending(cluster), {len(JOBS)})
            self.assertEqual(await self.states(cluster), {JobState.QUEUED})

        self.play(body)

    def test_a_vm_without_a_leader_shows_refused_jobs_as_queued(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.submit_all(cluster, busy=True)
            await cluster.kill(cluster.leader_name)
            self.assertIsNone(cluster.leader)
            self.assertEqual(await self.states(cluster), {JobState.QUEUED})

        self.play(body)

    def test_jobs_that_run_are_not_pending_again(self) -> None:
        """Also if their workers are lost together with the leader."""

        async def body(cluster: PoolCluster) -> None:
            await self.submit_all(cluster, busy=False)
            self.assertEqual(await self.pending(cluster), {0})
            for worker in list(cluster.worker_pool.workers.values()):
                cluster.worker_pool.crash(worker, recorded=False)
            await cluster.kill(cluster.leader_name)
            self.assertEqual(await self.states(cluster), {JobState.RUNNING})
            await cluster.until(lambda: cluster.leader is not None)
            self.assertEqual(await self.pending(cluster), {0})
            await asyncio.sleep(LAPSED_S)
            self.assertEqual(await self.pending(cluster), {0})
            self.assertEqual(await self.states(cluster), {JobState.RUNNING})

        self.play(body)

    def test_no_later_reader_shows_less_whenever_the_leader_and_the_workers_are_lost(self) -> None:
        """Also before it is stored that the jobs have begun."""

        async def play_at(cluster: PoolCluster, after_s: float) -> None:
            for job_id in JOBS:
                await cluster.submit(job_id, job(1, work_s=60.0, accelerators=4))
            await asyncio.sleep(after_s)
            shown = {job_id: await cluster.state(job_id) for job_id in JOBS}
            (pending,) = await self.pending(cluster)
            for worker in list(cluster.worker_pool.workers.values()):
                cluster.worker_pool.crash(worker, recorded=False)
            await cluster.kill(cluster.leader_name)
            for job_id, state in shown.items():
                if state is JobState.RUNNING:
                    self.assertIs(await cluster.state(job_id), JobState.RUNNING)
            await cluster.until(lambda: cluster.leader is not None)
            self.assertLessEqual(max(await self.pending(cluster)), pending)

        for after_s in (0.1, 0.5, 1.0, 1.4, 1.6, 2.0, 2.5):
            with self.subTest(after_s=after_s):
                self.play(partial(play_at, after_s=after_s))


if __name__ == "__main__":
    unittest.main()
