"""Whether a failed run failed early, and the work that its gang has lost."""

from __future__ import annotations

from saddlestack.policy.cluster.failed_runs import count_failed_work, failure_kind
from saddlestack.policy.cluster.fault_attribution import FailureKind
from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.workers import EARLY_FAILURE_S, EARLY_FAILURE_SHARE
from saddlestack.work import Step
from tests.test_cluster_state import ClusterCase, step


class FailedRunsTest(ClusterCase):
    def run_of(self, made: Step) -> Run:
        """The first run of a step, started at 0 s; the estimate of its tasks is 1 s."""
        self.setUp()
        self.workers()
        job = self.add(made)
        self.plan()
        run = self.cluster_state.jobs[job].occurrences[0].steps[0].tasks[0].run
        assert run is not None
        return run

    def test_a_failure_is_early_up_to_a_share_of_the_estimate(self) -> None:
        run = self.run_of(step(1))
        limit_s = min(EARLY_FAILURE_S, EARLY_FAILURE_SHARE)
        self.assertIs(failure_kind(run, limit_s - 0.01), FailureKind.EARLY)
        self.assertIs(failure_kind(run, limit_s + 0.01), FailureKind.LATE)

    def test_a_start_that_is_not_confirmed_counts_from_its_assignment(self) -> None:
        run = self.run_of(step(1))
        run.started_s, run.assigned_s = None, 5.0
        self.assertIs(failure_kind(run, 5.01), FailureKind.EARLY)

    def test_the_work_of_a_gang_is_counted_once_and_on_a_usual_worker(self) -> None:
        run = self.run_of(step(2, gang=True))
        run.time_factor = 2.0
        made = run.task.step
        count_failed_work(run, FailureKind.EARLY, 3.0)
        self.assertEqual(made.failed_work_s, 0.0)
        count_failed_work(run, FailureKind.LATE, 3.0)
        self.assertEqual(made.failed_work_s, 1.5)
        made.record.failed_run = run.number
        count_failed_work(run, FailureKind.LATE, 3.0)
        self.assertEqual(made.failed_work_s, 1.5)
