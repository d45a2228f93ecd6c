"""Resources that are reserved while runs stop, and work that would stall beside them.

Guards against short work that waits for as long as runs take to stop although the pool is mostly
free, as users saw it.
"""

from __future__ import annotations

import unittest
from collections.abc import Iterable

import msgspec

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.changes import Changes, StopReason
from saddlestack.policy.cluster.feasibility import pools_by_service
from saddlestack.policy.cluster.lending import DEFAULT_STOP_S, LOAN_GRACE_S
from saddlestack.policy.cluster.reservations import STOP_OVERDUE_S
from saddlestack.policy.cluster.wait_limits import LENDING_WAIT_S
from saddlestack.work import Step
from tests.test_cluster_state import BULK, NORMAL, PATIENT, SERVICE, ClusterCase, step

SUBMITTED_S = 2 * PATIENT
"""When the urgent gang is submitted."""
LENDABLE_S = SUBMITTED_S + LENDING_WAIT_S
"""When work that was submitted with it may first borrow."""
WORKER_ACCELERATORS = 8
"""Accelerators of a worker."""


def with_estimate(needs: Step, seconds: float) -> Step:
    """A step with an estimate for its tasks; 0 seconds for no estimate."""
    return msgspec.structs.replace(needs, estimate_ms=round(seconds * 1000))


def jobs_of(changes: Changes) -> list[str]:
    return [start.run.task.name.job_id for start in changes.starts]


class LendingCase(ClusterCase):
    """Twelve workers, four of them in use. An urgent gang needs nine, so one run is preempted."""

    def setUp(self) -> None:
        super().setUp()
        self.workers(racks=4, each=3)
        self.held = [self.add(step(1, WORKER_ACCELERATORS), priority=BULK) for _ in range(4)]
        for now in (0.0, PATIENT):
            self.plan(now)
        self.gang = self.add(with_estimate(step(9, WORKER_ACCELERATORS, gang=True), 20.0))
        stops = self.plan(SUBMITTED_S).stops
        self.assertEqual(len(stops), 1)
        self.stopping = stops[0].task.job_id

    def add_waiting(self, needs: Step) -> str:
        """Add work of lower priority that waits since the gang was submitted."""
        job = self.add(needs, priority=NORMAL)
        self.assertEqual(jobs_of(self.plan(SUBMITTED_S)), [])
        return job

    def finish_stop(self, now: float) -> Changes:
        self.end(self.stopping, EndKind.STOPPED, now)
        return self.plan(now)

    def assert_stopped(self, changes: Changes, jobs: Iterable[str]) -> None:
        preempted = [(stop.task.job_id, stop.reason) for stop in changes.stops]
        self.assertEqual(preempted, [(job, StopReason.PREEMPTED) for job in jobs])


class LendingTest(LendingCase):
    def test_short_work_borrows_before_it_stalls(self) -> None:
        job = self.add_waiting(with_estimate(step(1), 1.0))
        self.assertEqual(jobs_of(self.plan(LENDABLE_S - 0.1)), [])
        self.assertEqual(self.cluster_state.planner.next_loan_s, LENDABLE_S)
        self.assertEqual(jobs_of(self.plan(LENDABLE_S)), [job])

    def test_idle_reserved_capacity_is_reported(self) -> None:
        pool = pools_by_service(self.cluster_state.workers.values(), SUBMITTED_S)[SERVICE]
        self.assertEqual(pool.reserved_idle, 8 * WORKER_ACCELERATORS)
        self.add_waiting(with_estimate(step(1, 3), 1.0))
        self.plan(LENDABLE_S)
        pool = pools_by_service(self.cluster_state.workers.values(), LENDABLE_S)[SERVICE]
        self.assertEqual(pool.reserved_idle, 8 * WORKER_ACCELERATORS - 3)

    def test_a_gang_borrows_whole(self) -> None:
        job = self.add_waiting(with_estimate(step(4, 4, gang=True), 1.0))
        self.assertEqual(jobs_of(self.plan(LENDABLE_S)), [job] * 4)

    def test_work_that_is_expected_to_outlast_the_stops_does_not_borrow(self) -> None:
        left_s = DEFAULT_STOP_S - LENDING_WAIT_S + LOAN_GRACE_S
        self.add_waiting(with_estimate(step(1), left_s + 0.01))
        self.add_waiting(step(1, long_running=True))
        self.assertEqual(jobs_of(self.plan(LENDABLE_S)), [])
        fits = self.add_waiting(with_estimate(step(1), left_s - 0.01))
        self.assertEqual(jobs_of(self.plan(LENDABLE_S)), [fits])

    def test_work_of_unknown_length_counts_as_short_until_a_run_shows_otherwise(self) -> None:
        first = self.add_waiting(with_estimate(step(1), 0.0))
        self.assertEqual(jobs_of(self.plan(LENDABLE_S)), [first])
        self.add(with_estimate(step(1), 0.0), priority=NORMAL)
        self.plan(LENDABLE_S)
        later_s = LENDABLE_S + LENDING_WAIT_S
        self.assertGreater(
            later_s - LENDABLE_S, SUBMITTED_S + DEFAULT_STOP_S - later_s + LOAN_GRACE_S
        )
        self.assertEqual(jobs_of(self.plan(later_s)), [])

    def test_runs_of_a_queue_predict_how_long_its_work_takes(self) -> None:
        first = self.add_waiting(with_estimate(step(1), 0.0))
        self.assertEqual(jobs_of(self.plan(LENDABLE_S)), [first])
        second = self.add(with_estimate(step(1), 0.0), priority=NORMAL)
        self.plan(LENDABLE_S)
        self.end(first, EndKind.DONE, LENDABLE_S + 0.2)
        later_s = LENDABLE_S + LENDING_WAIT_S
        self.assertEqual(jobs_of(self.plan(later_s)), [second])

    def test_shorter_stops_shorten_loans(self) -> None:
        """By the time of the second gang, stops are known to take 2 s."""
        self.assertEqual(jobs_of(self.finish_stop(SUBMITTED_S + 2.0)), [self.gang] * 9)
        self.end(self.gang, EndKind.DONE, SUBMITTED_S + 3.0)
        self.held.append(self.add(step(1, WORKER_ACCELERATORS), priority=BULK))
        self.plan(SUBMITTED_S + PATIENT)
        self.plan(SUBMITTED_S + 2 * PATIENT)
        self.add(step(10, WORKER_ACCELERATORS, gang=True))
        again_s = SUBMITTED_S + 2 * PATIENT + 1.0
        self.assertGreater(len(self.plan(again_s).stops), 0)
        self.add(with_estimate(step(1), 1.0), priority=NORMAL)
        self.plan(again_s)
        self.assertEqual(jobs_of(self.plan(again_s + LENDING_WAIT_S)), [])


class LoanReclaimTest(LendingCase):
    def test_the_gang_starts_once_the_borrower_has_ended(self) -> None:
        job = self.add_waiting(with_estimate(step(1), 1.0))
        self.plan(LENDABLE_S)
        self.assertEqual(jobs_of(self.finish_stop(LENDABLE_S + 0.5)), [])
        self.end(job, EndKind.DONE, LENDABLE_S + 1.0)
        self.assertEqual(jobs_of(self.plan(LENDABLE_S + 1.0)), [self.gang] * 9)

    def test_a_borrower_that_outlasts_the_stops_by_as_long_as_they_took_is_preempted(self) -> None:
        job = self.add_waiting(with_estimate(step(1), 1.0))
        self.plan(LENDABLE_S)
        took_s = LENDING_WAIT_S + 0.5
        self.assert_stopped(self.finish_stop(SUBMITTED_S + took_s), [])
        self.assert_stopped(self.plan(SUBMITTED_S + 2 * took_s - 0.1), [])
        self.assert_stopped(self.plan(SUBMITTED_S + 2 * took_s), [job])

    def test_work_that_may_run_only_once_is_not_preempted_for_its_loan(self) -> None:
        self.add_waiting(with_estimate(step(1, once=True), 1.0))
        self.plan(LENDABLE_S)
        self.finish_stop(LENDABLE_S + 0.5)
        late_s = SUBMITTED_S + 2 * STOP_OVERDUE_S
        self.assertNotIn("once", [stop.reason for stop in self.plan(late_s).stops])
        self.assertTrue(all(stop.task.job_id in self.held for stop in self.plan(late_s).stops))

    def test_other_urgent_work_preempts_a_borrower_like_any_run(self) -> None:
        job = self.add_waiting(with_estimate(step(1), 1.0))
        self.plan(LENDABLE_S)
        self.cluster_state.cancel(self.gang)
        self.add(step(12, WORKER_ACCELERATORS, gang=True))
        stopped = {stop.task.job_id for stop in self.plan(LENDABLE_S + 0.1).stops}
        self.assertIn(job, stopped)


class LendingLimitsTest(LendingCase):
    """A stream of short work starves no gang, even if its estimates are wrong."""

    def lend(self, seconds: float, now: float) -> list[str]:
        """Jobs that borrow at a time at which they have waited for long enough."""
        self.add(with_estimate(step(1), seconds), priority=NORMAL)
        self.plan(now - LENDING_WAIT_S)
        return jobs_of(self.plan(now))

    def test_nothing_is_lent_while_only_borrowers_hold_the_reservation(self) -> None:
        self.add_waiting(with_estimate(step(1), 1.0))
        self.plan(LENDABLE_S)
        self.add(with_estimate(step(1), 0.1), priority=NORMAL)
        self.plan(LENDABLE_S)
        self.finish_stop(LENDABLE_S + 0.1)
        self.assertEqual(jobs_of(self.plan(LENDABLE_S + LENDING_WAIT_S)), [])

    def test_only_work_known_to_be_short_borrows_while_a_borrower_stops(self) -> None:
        job = self.add_waiting(with_estimate(step(1), 1.0))
        self.plan(LENDABLE_S)
        self.finish_stop(LENDABLE_S)
        back_s = SUBMITTED_S + 2 * LENDING_WAIT_S
        self.assert_stopped(self.plan(back_s), [job])
        self.add(with_estimate(step(1), 0.0), priority=NORMAL)
        short = self.add(with_estimate(step(1), 0.1), priority=NORMAL)
        self.plan(back_s)
        self.assertEqual(jobs_of(self.plan(back_s + LENDING_WAIT_S)), [short])

    def test_nothing_is_lent_by_a_step_that_was_delayed_twice(self) -> None:
        job = self.add_waiting(with_estimate(step(1), 1.0))
        self.plan(LENDABLE_S)
        self.finish_stop(LENDABLE_S)
        now = SUBMITTED_S + 2 * LENDING_WAIT_S
        self.assert_stopped(self.plan(now), [job])
        short = self.add(with_estimate(step(1), 0.1), priority=NORMAL)
        self.plan(now)
        now += LENDING_WAIT_S
        self.assertEqual(jobs_of(self.plan(now)), [short])
        self.end(job, EndKind.STOPPED, now)
        self.plan(now)
        now += now - SUBMITTED_S
        self.assertIn(short, [stop.task.job_id for stop in self.plan(now).stops])
        self.add(with_estimate(step(1), 0.1), priority=NORMAL)
        self.plan(now)
        self.assertEqual(jobs_of(self.plan(now + LENDING_WAIT_S)), [])


if __name__ == "__main__":
    unittest.main()
