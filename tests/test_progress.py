"""Detection of stuck runs, and the preference for healthy workers that follows from it."""

from __future__ import annotations

import unittest

from saddlestack.interfaces.workers import EndKind, RunningTask
from saddlestack.policy.cluster.changes import Changes, StopReason
from saddlestack.policy.cluster.progress import (
    MAX_MOVES,
    MIN_STUCK_S,
    RESUME_GRACE_S,
    needs_progress_polls,
)
from saddlestack.policy.cluster.worker_preferences import FAULTY_WINDOW_S
from saddlestack.work import Step
from tests.test_cluster_state import BULK, URGENT, ClusterCase, step

ESTIMATE_S = 1.0


class ProgressTest(ClusterCase):
    def setUp(self) -> None:
        super().setUp()
        self.workers(each=4)

    def begin(self, made: Step, priority: int = URGENT) -> str:
        job_id = self.add(made, priority=priority)
        self.plan(0.0)
        return job_id

    def report(self, now: float, percents: dict[str, int]) -> Changes:
        """Report the progress of all runs on each worker: 50 % unless another value is given."""
        for worker in list(self.cluster_state.workers.values()):
            percent = percents.get(worker.worker_id, 50)
            rows = [
                RunningTask(str(name), number, run.saved, percent, 0.0)
                for (name, number), run in worker.runs.items()
            ]
            self.cluster_state.worker_reported(worker.worker_id, rows, now)
        return self.cluster_state.take_changes()

    def placed(self, job_id: str) -> list[str]:
        tasks = self.cluster_state.jobs[job_id].occurrences[0].steps[0].tasks
        return [task.run.worker_id for task in tasks if task.run is not None]

    def test_an_urgent_gang_with_a_stuck_member_restarts_elsewhere(self) -> None:
        gang = self.begin(step(2, 8, gang=True))
        bad, good = self.placed(gang)
        self.assertEqual(self.report(0.3, {bad: 0}).stops, [])
        self.assertEqual(self.report(0.6, {bad: 0}).stops, [])
        stops = self.report(1.0, {bad: 0}).stops
        self.assertEqual({stop.reason for stop in stops}, {StopReason.STUCK})
        self.assertEqual({stop.worker_id for stop in stops}, {bad, good})
        self.end(gang, EndKind.STOPPED, now=1.3)
        self.plan(1.4)
        self.assertNotIn(bad, self.placed(gang))
        self.assertEqual(len(self.placed(gang)), 2)

    def test_estimates_do_not_decide_whether_a_run_is_stuck(self) -> None:
        """Guards against stops of slow runs: work of 1.8 s with an estimate of 0.2 s was stopped
        twice on a day without faults.
        """
        job = self.begin(step(1, 8))
        (slower,) = self.placed(job)
        for now in range(1, 60):
            self.assertEqual(self.report(now * 0.3, {slower: now}).stops, [])

    def test_missing_reports_do_not_make_a_run_stuck(self) -> None:
        """Guards against stops after a partition: the first report after it shows the same progress
        as the last one before it.
        """
        job = self.begin(step(1, 8))
        (worker,) = self.placed(job)
        self.assertEqual(self.report(5.0, {worker: 0}).stops, [])
        self.assertEqual(self.report(5.3, {worker: 0}).stops, [])

    def test_a_gang_is_not_stuck_before_all_members_have_started(self) -> None:
        gang = self.add(step(2, 8, gang=True))
        self.cluster_state.plan(0.0, 0.0)
        starts = self.cluster_state.take_changes().starts
        self.cluster_state.run_started(starts[0].run, 0.0)
        first = starts[0].run.worker_id
        for now in (0.3, 2.0):
            self.assertEqual(self.report(now, {first: 0}).stops, [])
        self.cluster_state.run_started(starts[1].run, 2.0)
        self.assertEqual(self.report(2.5, dict.fromkeys(self.placed(gang), 0)).stops, [])
        self.assertEqual(len(self.report(2.7, {first: 0}).stops), 2)

    def test_a_member_that_has_finished_its_part_is_not_stuck(self) -> None:
        gang = self.begin(step(2, 8, gang=True))
        first, second = self.placed(gang)
        for now, percent in ((0.5, 60), (1.5, 70), (2.0, 80), (2.5, 90)):
            self.assertEqual(self.report(now, {first: 100, second: percent}).stops, [])

    def test_a_stuck_run_is_stopped_after_as_long_as_it_has_worked(self) -> None:
        job = self.begin(step(1, 8))
        (bad,) = self.placed(job)
        self.assertEqual(self.report(2.0, {bad: 40}).stops, [])
        self.assertEqual(self.report(3.9, {bad: 40}).stops, [])
        self.assertEqual(len(self.report(4.1, {bad: 40}).stops), 1)

    def test_work_that_is_not_urgent_is_not_stopped(self) -> None:
        job = self.begin(step(1, 8), priority=BULK)
        (bad,) = self.placed(job)
        for now in (1.0, 5.0, 20.0):
            self.assertEqual(self.report(now, {bad: 0}).stops, [])

    def test_a_run_that_resumes_may_take_longer_to_make_progress(self) -> None:
        job = self.begin(step(1, 8, checkpoint=True))
        self.cluster_state.jobs[job].occurrences[0].steps[0].tasks[0].record.saved = "saved"
        (worker,) = self.placed(job)
        self.assertEqual(self.report(0.3, {worker: 0}).stops, [])
        limit_s = 0.3 + MIN_STUCK_S + RESUME_GRACE_S
        self.assertEqual(self.report(limit_s - 0.1, {worker: 0}).stops, [])
        self.assertEqual(len(self.report(limit_s + 0.1, {worker: 0}).stops), 1)

    def test_long_running_work_is_never_stuck(self) -> None:
        job = self.begin(step(1, 8, long_running=True))
        (worker,) = self.placed(job)
        self.report(1.0, {worker: 10})
        self.assertEqual(self.report(60.0, {worker: 10}).stops, [])

    def test_the_restarts_of_a_step_are_limited(self) -> None:
        job = self.begin(step(1, 8))
        for number in range(MAX_MOVES + 1):
            began = 10.0 * number
            self.plan(began)
            (worker,) = self.placed(job)
            self.report(began + 1.0, {worker: 0})
            stops = self.report(began + 5.0, {worker: 0}).stops
            self.assertEqual(len(stops), 1 if number < MAX_MOVES else 0)
            if stops:
                self.end(job, EndKind.STOPPED, now=began + 6.0)

    def test_workers_with_urgent_work_are_polled_often(self) -> None:
        bulk = self.begin(step(1, 8), priority=BULK)
        self.assertFalse(needs_progress_polls(self.cluster_state.workers[self.placed(bulk)[0]]))
        urgent = self.begin(step(1, 8))
        self.assertTrue(needs_progress_polls(self.cluster_state.workers[self.placed(urgent)[0]]))
        self.end(urgent, EndKind.DONE)
        self.assertFalse(
            any(needs_progress_polls(worker) for worker in self.cluster_state.workers.values())
        )


class WorkerPreferencesTest(ClusterCase):
    """Preference for healthy workers. Workers that fail every run are always free, so without it
    they would get both attempts of a job.
    """

    def record_success(self, worker_id: str, now: float) -> None:
        self.cluster_state.workers[worker_id].record_success(now)

    def fail(self, job_id: str, now: float) -> None:
        self.end(job_id, EndKind.FAILED, now=now)

    def place(self, now: float, **more: int) -> tuple[str, str]:
        job_id = self.add(step(1, 1), **more)
        (start,) = [s for s in self.plan(now).starts if s.run.task.name.job_id == job_id]
        return job_id, start.run.worker_id

    def test_the_last_attempt_goes_to_a_healthy_worker(self) -> None:
        self.workers(each=4)
        job_id, _ = self.place(0.0, attempts=2)
        self.fail(job_id, 1.0)
        self.record_success("w14", 1.0)
        (start,) = self.plan(1.1).starts
        self.assertEqual(start.run.worker_id, "w14")

    def test_a_first_attempt_goes_where_it_fits_best(self) -> None:
        self.workers(each=4)
        self.record_success("w14", 0.0)
        self.assertNotEqual(self.place(0.1)[1], "w14")

    def make_two_workers_faulty(self) -> None:
        """Let two workers fail a run early."""
        self.workers(each=6)
        for worker_id in ("w11", "w12"):
            job_id = self.add(step(1, 8), attempts=9)
            (start,) = self.plan(0.0).starts
            self.assertEqual(start.run.worker_id, worker_id)
            self.fail(job_id, 0.1)
            self.cluster_state.cancel(job_id)

    def test_while_workers_are_faulty_urgent_work_goes_to_a_healthy_worker(self) -> None:
        self.make_two_workers_faulty()
        self.record_success("w16", 0.1)
        self.assertEqual(self.place(0.2)[1], "w16")

    def test_healthy_workers_of_a_stuck_gang_are_used_again(self) -> None:
        self.workers(each=8)
        gangs = [self.add(step(2, 8, gang=True)) for _ in range(2)]
        self.plan(0.0)
        bad = [self.cluster_state.jobs[g].occurrences[0].steps[0].tasks[0].run for g in gangs]
        names = {run.worker_id for run in bad if run is not None}
        for now in (0.3, 1.0):
            for worker in list(self.cluster_state.workers.values()):
                percent = 0 if worker.worker_id in names else round(now * 50)
                rows = [
                    RunningTask(str(name), number, "", percent, 0.0) for name, number in worker.runs
                ]
                self.cluster_state.worker_reported(worker.worker_id, rows, now)
        for gang in gangs:
            self.end(gang, EndKind.STOPPED, now=1.2)
        placed = {s.run.worker_id for s in self.plan(1.3).starts[:2]}
        self.assertEqual(placed, {"w12", "w14"})

    def test_progress_before_the_first_detection_is_no_evidence(self) -> None:
        self.workers(each=6)
        self.record_success("w16", 1.0)
        for _ in range(2):
            job_id = self.add(step(1, 8), attempts=9)
            self.plan(3.0)
            self.fail(job_id, 3.1)
            self.cluster_state.cancel(job_id)
        self.assertNotEqual(self.place(3.2)[1], "w16")

    def test_work_that_is_not_urgent_prefers_no_worker(self) -> None:
        self.make_two_workers_faulty()
        self.record_success("w16", 0.1)
        self.assertNotEqual(self.place(0.2, priority=BULK)[1], "w16")

    def test_the_preference_ends_some_time_after_the_last_detection(self) -> None:
        self.make_two_workers_faulty()
        self.record_success("w16", 5.0)
        self.assertNotEqual(self.place(0.1 + FAULTY_WINDOW_S + 0.1)[1], "w16")

    def test_a_gang_of_one_rack_is_not_spread_over_racks_for_it(self) -> None:
        self.workers(racks=2, each=3)
        job_id = self.add(step(2, 8, gang=True, same_rack=True), attempts=2)
        self.plan(0.0)
        self.fail(job_id, 1.0)
        for worker in self.cluster_state.workers.values():
            worker.quarantine_s = worker.probation_s = 0.0
            worker.strikes = 0
        self.record_success("w13", 4.0)
        self.record_success("w23", 4.0)
        racks = {s.run.worker_id[:2] for s in self.plan(4.0).starts}
        self.assertEqual(len(racks), 1)

    def test_work_that_fits_no_healthy_worker_goes_elsewhere(self) -> None:
        self.workers(each=3)
        job_id = self.add(step(2, 8, gang=True), attempts=2)
        self.plan(0.0)
        self.end(job_id, EndKind.FAILED, now=1.0)
        for worker in self.cluster_state.workers.values():
            worker.quarantine_s = worker.probation_s = 0.0
            worker.strikes = 0
        self.record_success("w13", 1.0)
        self.assertEqual(len(self.plan(4.0).starts), 2)


if __name__ == "__main__":
    unittest.main()
