"""Runs that stand still or go slowly, and what becomes of them."""

from __future__ import annotations

import unittest

from saddlestack.interfaces.workers import EndKind, RunningTask
from saddlestack.policy.cluster.changes import Changes, StopReason
from saddlestack.policy.cluster.progress import (
    MAX_MOVES,
    MIN_STALL_S,
    RESUME_GRACE_S,
    needs_progress_polls,
)
from saddlestack.policy.cluster.worker_preferences import FAULTY_WINDOW_S
from saddlestack.work import Step
from tests.test_board import BULK, URGENT, ClusterCase, step

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
        """Each worker tells how far its runs are; workers not named tell 50 %."""
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

    def test_an_urgent_gang_with_a_member_that_stands_still_begins_again_elsewhere(self) -> None:
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

    def test_estimates_say_nothing_about_how_fast_a_run_should_be(self) -> None:
        """Found on a calm day: work of 1.8 s was guessed to take 0.2 s, and stopped twice."""
        job = self.begin(step(1, 8))
        (slower,) = self.placed(job)
        for now in range(1, 60):
            self.assertEqual(self.report(now * 0.3, {slower: now}).stops, [])

    def test_silence_is_not_standing_still(self) -> None:
        """Found behind a cut: the first report after it told the same progress as the last."""
        job = self.begin(step(1, 8))
        (worker,) = self.placed(job)
        self.assertEqual(self.report(5.0, {worker: 0}).stops, [])
        self.assertEqual(self.report(5.3, {worker: 0}).stops, [])

    def test_members_that_are_not_all_there_do_not_work_yet(self) -> None:
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

    def test_a_member_that_is_done_with_its_part_waits_for_the_others(self) -> None:
        gang = self.begin(step(2, 8, gang=True))
        first, second = self.placed(gang)
        for now, percent in ((0.5, 60), (1.5, 70), (2.0, 80), (2.5, 90)):
            self.assertEqual(self.report(now, {first: 100, second: percent}).stops, [])

    def test_it_waits_as_long_as_the_work_is_worth_that_a_stop_loses(self) -> None:
        job = self.begin(step(1, 8))
        (bad,) = self.placed(job)
        self.assertEqual(self.report(2.0, {bad: 40}).stops, [])
        self.assertEqual(self.report(3.9, {bad: 40}).stops, [])
        self.assertEqual(len(self.report(4.1, {bad: 40}).stops), 1)

    def test_other_work_is_left_alone(self) -> None:
        job = self.begin(step(1, 8), priority=BULK)
        (bad,) = self.placed(job)
        for now in (1.0, 5.0, 20.0):
            self.assertEqual(self.report(now, {bad: 0}).stops, [])

    def test_a_run_that_resumes_may_take_longer_to_move(self) -> None:
        job = self.begin(step(1, 8, checkpoint=True))
        self.cluster_state.jobs[job].occurrences[0].steps[0].tasks[0].record.saved = "saved"
        (worker,) = self.placed(job)
        self.assertEqual(self.report(0.3, {worker: 0}).stops, [])
        limit_s = 0.3 + MIN_STALL_S + RESUME_GRACE_S
        self.assertEqual(self.report(limit_s - 0.1, {worker: 0}).stops, [])
        self.assertEqual(len(self.report(limit_s + 0.1, {worker: 0}).stops), 1)

    def test_lasting_work_makes_no_progress_to_be_judged(self) -> None:
        job = self.begin(step(1, 8, long_running=True))
        (worker,) = self.placed(job)
        self.report(1.0, {worker: 10})
        self.assertEqual(self.report(60.0, {worker: 10}).stops, [])

    def test_a_step_is_moved_no_more_often_than_the_bound(self) -> None:
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

    def test_workers_with_urgent_work_are_looked_at_often(self) -> None:
        bulk = self.begin(step(1, 8), priority=BULK)
        self.assertFalse(needs_progress_polls(self.cluster_state.workers[self.placed(bulk)[0]]))
        urgent = self.begin(step(1, 8))
        self.assertTrue(needs_progress_polls(self.cluster_state.workers[self.placed(urgent)[0]]))
        self.end(urgent, EndKind.DONE)
        self.assertFalse(
            any(needs_progress_polls(worker) for worker in self.cluster_state.workers.values())
        )


class CautionTest(ClusterCase):
    """Workers that fail all that they start are free, and take both tries of a job."""

    def prove(self, worker_id: str, now: float) -> None:
        self.cluster_state.workers[worker_id].record_success(now)

    def fail(self, job_id: str, now: float) -> None:
        self.end(job_id, EndKind.FAILED, now=now)

    def place(self, now: float, **more: int) -> tuple[str, str]:
        job_id = self.add(step(1, 1), **more)
        (start,) = [s for s in self.plan(now).starts if s.run.task.name.job_id == job_id]
        return job_id, start.run.worker_id

    def test_the_last_try_goes_where_work_has_ended_well(self) -> None:
        self.workers(each=4)
        job_id, _ = self.place(0.0, attempts=2)
        self.fail(job_id, 1.0)
        self.prove("w14", 1.0)
        (start,) = self.plan(1.1).starts
        self.assertEqual(start.run.worker_id, "w14")

    def test_a_first_try_goes_where_it_fits_best(self) -> None:
        self.workers(each=4)
        self.prove("w14", 0.0)
        self.assertNotEqual(self.place(0.1)[1], "w14")

    def wave(self) -> None:
        """Two workers fail what they start at once."""
        self.workers(each=6)
        for worker_id in ("w11", "w12"):
            job_id = self.add(step(1, 8), attempts=9)
            (start,) = self.plan(0.0).starts
            self.assertEqual(start.run.worker_id, worker_id)
            self.fail(job_id, 0.1)
            self.cluster_state.cancel(job_id)

    def test_while_workers_fail_at_once_urgent_work_goes_where_work_has_ended_well(self) -> None:
        self.wave()
        self.prove("w16", 0.1)
        self.assertEqual(self.place(0.2)[1], "w16")

    def test_where_a_gang_stood_still_its_healthy_workers_are_used_again(self) -> None:
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

    def test_progress_before_the_first_was_noticed_proves_nothing(self) -> None:
        self.workers(each=6)
        self.prove("w16", 1.0)
        for _ in range(2):
            job_id = self.add(step(1, 8), attempts=9)
            self.plan(3.0)
            self.fail(job_id, 3.1)
            self.cluster_state.cancel(job_id)
        self.assertNotEqual(self.place(3.2)[1], "w16")

    def test_other_work_does_not_care_for_them(self) -> None:
        self.wave()
        self.prove("w16", 0.1)
        self.assertNotEqual(self.place(0.2, priority=BULK)[1], "w16")

    def test_some_time_after_them_it_goes_where_it_fits_best(self) -> None:
        self.wave()
        self.prove("w16", 5.0)
        self.assertNotEqual(self.place(0.1 + FAULTY_WINDOW_S + 0.1)[1], "w16")

    def test_a_gang_of_one_rack_is_not_spread_over_racks_for_it(self) -> None:
        self.workers(racks=2, each=3)
        job_id = self.add(step(2, 8, gang=True, same_rack=True), attempts=2)
        self.plan(0.0)
        self.fail(job_id, 1.0)
        for worker in self.cluster_state.workers.values():
            worker.quarantine_s = worker.probation_s = 0.0
            worker.strikes = 0
        self.prove("w13", 4.0)
        self.prove("w23", 4.0)
        racks = {s.run.worker_id[:2] for s in self.plan(4.0).starts}
        self.assertEqual(len(racks), 1)

    def test_where_it_fits_nowhere_proved_it_goes_elsewhere(self) -> None:
        self.workers(each=3)
        job_id = self.add(step(2, 8, gang=True), attempts=2)
        self.plan(0.0)
        self.end(job_id, EndKind.FAILED, now=1.0)
        for worker in self.cluster_state.workers.values():
            worker.quarantine_s = worker.probation_s = 0.0
            worker.strikes = 0
        self.prove("w13", 1.0)
        self.assertEqual(len(self.plan(4.0).starts), 2)


if __name__ == "__main__":
    unittest.main()
