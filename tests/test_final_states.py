"""A job that is over starts nothing more and keeps its state, however it came to be over."""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.standins.pool.cluster import ATTEMPTS, PoolCluster, job
from saddlestack.work import JobRequest, JobState, Step
from tests.test_cluster_state import step
from tests.test_crashes import PAUSE_S, QUIET_S, SOON_S, CrashCase
from tests.test_pool import PoolTest

TIMES = 4
INTERVAL_S = 10.0
MAX_CRASHES = 40
JOB = "00000000000000aa"


class RepeatedJobTest(CrashCase):
    """Jobs that run several times, of which one time ends the job."""

    def setUp(self) -> None:
        super().setUp()
        self.workers(racks=4, each=4)

    def submit(self, *steps: Step, attempts: int = 2) -> str:
        interval_ms = round(INTERVAL_S * 1000)
        return self.add(*steps, attempts=attempts, times=TIMES, interval_ms=interval_ms)

    def starts_later(self, job_id: str) -> list[str]:
        """Plan whenever a time of the job is due; returns the tasks of it that are started."""
        started = []
        for number in range(1, TIMES + 1):
            due_s = QUIET_S + number * INTERVAL_S
            changes = self.plan(due_s, number * INTERVAL_S * 1000)
            started += [str(start.run.task.name) for start in changes.starts]
        return [name for name in started if name.startswith(job_id)]

    def fail_attempts(self, job_id: str) -> None:
        for number in range(2):
            self.plan(QUIET_S + number)
            self.end(job_id, EndKind.FAILED, QUIET_S + number + 0.5)

    def lose_only_run(self, job_id: str) -> None:
        self.plan(QUIET_S)
        self.end(job_id, EndKind.LAPSED, QUIET_S + 1)

    def crash_workers(self, job_id: str) -> None:
        for number in range(MAX_CRASHES):
            now = QUIET_S + PAUSE_S * number
            for start in self.plan(now).starts:
                self.crash(start.run.worker_id, now + SOON_S)
            if self.state(job_id) is JobState.FAILED:
                return

    def test_no_later_time_of_a_failed_job_starts(self) -> None:
        """Each later time of a failed job was started when due, also after its cancel."""
        cases: list[tuple[str, Step, Callable[[str], None]]] = [
            ("attempts", step(1), self.fail_attempts),
            ("gang", step(2, gang=True), self.fail_attempts),
            ("once", step(1, once=True), self.lose_only_run),
            ("crashes", step(1), self.crash_workers),
        ]
        for name, each, fail in cases:
            for is_cancelled in (False, True):
                with self.subTest(name, cancelled=is_cancelled):
                    self.setUp()
                    job = self.submit(each)
                    fail(job)
                    self.assertIs(self.state(job), JobState.FAILED)
                    if is_cancelled:
                        self.cluster_state.cancel(job)
                    self.assertEqual(self.starts_later(job), [])
                    self.assertIs(self.state(job), JobState.FAILED)

    def test_a_time_that_already_waits_does_not_start_after_the_failure_of_another(self) -> None:
        """It is due and waits for room when the first time fails."""
        job = self.submit(step(16, 8), attempts=1)
        self.plan(QUIET_S)
        self.plan(QUIET_S + INTERVAL_S, INTERVAL_S * 1000)
        self.end(job, EndKind.FAILED, QUIET_S + INTERVAL_S + 1)
        self.assertIs(self.state(job), JobState.FAILED)
        self.assertEqual(self.starts_later(job), [])

    def test_no_run_of_a_failed_job_starts_again_where_others_are_stopped(self) -> None:
        """Two times run at once. One fails for good; the runs of the other end in any way."""
        for how in EndKind:
            with self.subTest(how):
                self.setUp()
                job = self.submit(step(1), attempts=1)
                self.plan(QUIET_S)
                self.plan(QUIET_S + INTERVAL_S, INTERVAL_S * 1000)
                first, second = self.cluster_state.jobs[job].occurrences[:2]
                now = QUIET_S + INTERVAL_S + 1
                self.end_run(first.steps[0].tasks[0], EndKind.FAILED, now)
                stops = self.cluster_state.take_changes().stops
                self.assertEqual([stop.task.occurrence for stop in stops], [1])
                self.end_run(second.steps[0].tasks[0], how, now + 1)
                self.assertEqual(self.starts_later(job), [])
                self.assertIs(self.state(job), JobState.FAILED)

    def test_no_later_time_of_a_cancelled_job_starts(self) -> None:
        job = self.submit(step(1))
        self.plan(QUIET_S)
        self.cluster_state.cancel(job)
        self.assertEqual(self.starts_later(job), [])
        self.assertIs(self.state(job), JobState.CANCELLED)

    def test_a_cancelled_job_stays_cancelled_however_its_runs_end(self) -> None:
        """A run that was being stopped, or failed just then, turned the job into a failed one."""
        steps = {
            "task": step(1),
            "once": step(1, once=True),
            "gang": step(2, gang=True),
            "lasting": step(1, long_running=True),
        }
        for name, each in steps.items():
            for how in EndKind:
                with self.subTest(name, how=how):
                    self.setUp()
                    job = self.submit(each, attempts=1)
                    self.plan(QUIET_S)
                    self.cluster_state.cancel(job)
                    self.end(job, how, QUIET_S + 1)
                    self.assertIs(self.state(job), JobState.CANCELLED)
                    self.assertEqual(self.starts_later(job), [])

    def test_a_later_leader_stops_what_other_times_of_a_failed_job_still_run(self) -> None:
        """The leader that failed the job is lost before its stops have an effect."""
        for is_cancelled in (False, True):
            with self.subTest(cancelled=is_cancelled):
                self.setUp()
                job = self.submit(step(1), attempts=1)
                self.plan(QUIET_S)
                changes = self.plan(QUIET_S + INTERVAL_S, INTERVAL_S * 1000)
                records = {1: changes.records[f"{job}.1"]}
                first, second = self.cluster_state.jobs[job].occurrences[:2]
                self.end_run(first.steps[0].tasks[0], EndKind.FAILED, QUIET_S + INTERVAL_S + 1)
                records[0] = self.cluster_state.take_changes().records[f"{job}.0"]
                run = second.steps[0].tasks[0].run
                assert run is not None
                accepted = self.cluster_state.jobs[job].accepted
                self.cluster_state = ClusterState()
                self.workers(racks=4, each=4)
                self.cluster_state.add_job(accepted, records)
                if is_cancelled:
                    self.cluster_state.cancel(job)
                stops = self.cluster_state.take_changes().stops
                self.assertEqual(
                    [(s.task, s.worker_id) for s in stops], [(run.task.name, run.worker_id)]
                )
                self.end(job, EndKind.STOPPED, QUIET_S + INTERVAL_S + 2)
                self.assertEqual(self.starts_later(job), [])
                self.assertIs(self.state(job), JobState.FAILED)


class FailedJobTest(PoolTest):
    """A deployment with a job whose first time fails."""

    def test_no_later_time_starts_under_this_leader_or_the_next(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            first_ms = round(cluster.members["entry-1"].vm.context.clock.wall() * 1000)
            once = job(1, work_s=0.2, failures=ATTEMPTS)
            request = JobRequest(
                payload=once.payload,
                steps=once.steps,
                times=TIMES,
                first_at_ms=first_ms,
                interval_ms=round(INTERVAL_S * 1000),
            )
            await cluster.submit(JOB, request)
            await cluster.until_state(JOB, JobState.FAILED)
            self.assertEqual(cluster.worker_pool.starts_of(JOB), ATTEMPTS)
            self.assertTrue(await cluster.cancel(JOB))
            await asyncio.sleep(1.5 * INTERVAL_S)
            self.assertEqual(cluster.worker_pool.starts_of(JOB), ATTEMPTS)
            await cluster.kill(cluster.leader_name)
            await asyncio.sleep(TIMES * INTERVAL_S)
            self.assertEqual(cluster.worker_pool.starts_of(JOB), ATTEMPTS)
            self.assertIs(await cluster.state(JOB), JobState.FAILED)

        self.play(body)


if __name__ == "__main__":
    unittest.main()
