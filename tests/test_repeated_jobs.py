"""Jobs that run several times: what they cost, and that each time runs once when it is due."""

from __future__ import annotations

import asyncio
import random
import unittest
import unittest.mock

from saddlestack.control.leaderrpc import LeaderRpc, LeaderUnavailable
from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster import waiting
from saddlestack.policy.cluster.diagnosis import Diagnosis
from saddlestack.policy.cluster.records import OccurrenceRecord
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.waiting import MAX_TASKS_OPENED_PER_ROUND
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import MAX_TASKS_OF_JOB, AcceptedJob, JobRequest, JobState
from tests.call_counts import count_calls, quiet_context
from tests.test_cluster_state import NORMAL, URGENT, ClusterCase, record, step
from tests.test_pool import PoolTest

HOUR_MS = 3_600_000
YEAR_OF_HOURS = 8_760
JOB = "00000000000000aa"
MAX_READS = 6
"""The job, its progress and its cancel, and calls of others meanwhile."""
FEW = 6


class CostTest(ClusterCase):
    """What a leader does for a job does not grow with the times that are yet to come.

    A job that was to run hourly for a year stopped the scheduler: each new leader spent seconds in
    one turn of its event loop on the 8,760 times of it, and lost its lease.
    """

    def calls(self, times: int, priority: int) -> dict[str, int]:
        """Count the function calls of each thing that a leader does while nothing is due."""
        self.setUp()
        self.workers()
        job = ""

        def add() -> None:
            nonlocal job
            job = self.add(step(1), priority=priority, times=times, interval_ms=HOUR_MS)

        state = self.cluster_state
        diagnosis = Diagnosis(state)
        context = quiet_context(2.0)
        calls = {"add": count_calls(add)}
        calls["first round"] = count_calls(lambda: self.plan(0.0))
        calls["end"] = count_calls(lambda: self.end(job, EndKind.DONE))
        calls["round"] = count_calls(lambda: self.plan(1.0))
        calls["pending"] = count_calls(lambda: state.pending("q"))
        calls["expired"] = count_calls(lambda: state.expired_jobs(2.0, 0.0))
        calls["diagnosis"] = count_calls(lambda: diagnosis.scan(context))
        calls["cancel"] = count_calls(lambda: state.cancel(job))
        calls["last round"] = count_calls(lambda: self.plan(3.0))
        return calls

    def test_a_job_costs_the_same_however_often_it_is_to_run(self) -> None:
        for priority in (URGENT, NORMAL):
            with self.subTest(priority=priority):
                self.assertEqual(self.calls(YEAR_OF_HOURS, priority), self.calls(FEW, priority))


class TimesTest(ClusterCase):
    def setUp(self) -> None:
        super().setUp()
        self.workers(racks=2, each=2)
        self.started: list[int] = []

    def play(self, now: float, wall_ms: float) -> None:
        """Run planning rounds until nothing is left to do, and end all runs."""
        has_more = True
        while has_more:
            has_more = self.cluster_state.plan(now, wall_ms)
            for start in self.cluster_state.take_changes().starts:
                self.cluster_state.run_started(start.run, now)
                self.started.append(start.run.task.name.occurrence)
                self.end_run(start.run.task, EndKind.DONE, now)
                has_more = True

    def test_each_time_starts_once_when_it_is_due(self) -> None:
        job = self.add(step(1), times=FEW, interval_ms=HOUR_MS)
        for number in range(FEW):
            self.assertEqual(self.started, list(range(number)))
            self.play(float(number), number * HOUR_MS)
            self.assertEqual(self.started, list(range(number + 1)))
            self.play(number + 0.5, (number + 1) * HOUR_MS - 1)
        self.assertEqual(self.started, list(range(FEW)))
        self.assertIs(self.state(job), JobState.COMPLETED)

    def test_times_that_are_all_due_are_opened_in_several_rounds(self) -> None:
        job = self.add(step(1), times=MAX_TASKS_OF_JOB)
        self.assertTrue(self.cluster_state.plan(0.0, 1.0))
        opened = self.cluster_state.jobs[job].occurrences
        self.assertEqual(len(opened), MAX_TASKS_OPENED_PER_ROUND)

    @unittest.mock.patch.object(waiting, "MAX_TASKS_OPENED_PER_ROUND", 20)
    def test_times_that_are_all_due_run_in_order(self) -> None:
        job = self.add(step(1), times=100)
        self.play(0.0, 1.0)
        self.assertEqual(self.started, list(range(100)))
        self.assertIs(self.state(job), JobState.COMPLETED)

    def test_times_that_are_over_are_not_kept(self) -> None:
        job = self.add(step(1), times=FEW, interval_ms=HOUR_MS)
        self.play(0.0, FEW / 2 * HOUR_MS)
        self.assertGreater(len(self.started), 1)
        self.assertEqual(self.cluster_state.jobs[job].occurrences, [])

    def test_each_time_runs_once_across_leaders(self) -> None:
        """Each leader reads what is in the store; any time may have failed, or not have begun."""
        for seed in range(50):
            with self.subTest(seed=seed):
                self.check_leaders(random.Random(seed))

    def check_leaders(self, rng: random.Random) -> None:
        self.setUp()
        job = self.add(step(2), times=FEW, interval_ms=HOUR_MS, attempts=100)
        accepted = self.cluster_state.jobs[job].accepted
        records: dict[int, OccurrenceRecord] = {}
        done: list[str] = []
        for tenth in range(10 * (FEW + 2)):
            now, wall_ms = float(tenth), HOUR_MS * tenth / 10
            self.cluster_state.plan(now, wall_ms)
            for worker in list(self.cluster_state.workers.values()):
                for run in list(worker.runs.values()):
                    self.assertLessEqual(accepted.request.due_ms(run.task.name.occurrence), wall_ms)
                    how = rng.choice([EndKind.DONE, EndKind.FAILED, None])
                    if how is EndKind.DONE:
                        done.append(str(run.task.name))
                    if how is not None:
                        self.end_run(run.task, how, now)
            for key, kept in self.cluster_state.take_changes().records.items():
                records[int(key.rpartition(".")[2])] = kept
            if rng.random() < 0.3:
                self.lead_again(accepted, records)
        wanted = [f"{job}.{number}.0.{index}" for number in range(FEW) for index in range(2)]
        self.assertEqual(sorted(done), wanted)
        self.assertIs(self.state(job), JobState.COMPLETED)

    def lead_again(self, accepted: AcceptedJob, records: dict[int, OccurrenceRecord]) -> None:
        """Replace the cluster state by that of a new leader."""
        self.cluster_state = ClusterState()
        for name in ("w11", "w12", "w21", "w22"):
            self.cluster_state.set_worker(record(name), 0.0)
        self.cluster_state.add_job(accepted, records)


class StateWithoutLeaderTest(PoolTest):
    """The state of a job is read from the store while there is no leader."""

    def test_it_takes_few_reads_however_often_the_job_runs(self) -> None:
        """Each time was read on its own, which took longer than the client waits."""

        async def body(cluster: PoolCluster) -> None:
            once = job(1, work_s=0.2)
            clock = cluster.members["entry-1"].vm.context.clock
            first_ms = round(clock.wall() * 1000)
            request = JobRequest(
                payload=once.payload,
                steps=once.steps,
                times=YEAR_OF_HOURS,
                first_at_ms=first_ms,
                interval_ms=HOUR_MS,
            )
            await cluster.submit(JOB, request)
            await cluster.until(lambda: len(cluster.worker_pool.history) > 0)
            await asyncio.sleep(1.0)
            no_leader = LeaderUnavailable("no leader is known")
            for name in cluster.members:
                before = cluster.store.reads
                with unittest.mock.patch.object(LeaderRpc, "state", side_effect=no_leader):
                    state = await cluster.state(JOB, at=name)
                self.assertIs(state, JobState.RUNNING)
                self.assertLessEqual(cluster.store.reads - before, MAX_READS)
            cut_off = next(name for name in cluster.members if name != cluster.leader_name)
            cluster.member(cut_off).view.faults.silent = True
            with unittest.mock.patch.object(LeaderRpc, "state", side_effect=no_leader):
                self.assertIs(await cluster.state(JOB, at=cut_off), JobState.RUNNING)

        self.play(body)


if __name__ == "__main__":
    unittest.main()
