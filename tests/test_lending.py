"""Room that is reserved while runs stop for it, and work that would stall beside it.

Seen by users: short work waited for as long as runs took to stop, beside a mostly free pool.
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
from tests.test_board import BULK, NORMAL, PATIENT, SERVICE, ClusterCase, step

ASKED_S = 2 * PATIENT
"""The urgent gang is handed in then."""
LENT_S = ASKED_S + LENDING_WAIT_S
"""Work that was handed in with it may be lent room from then on."""
WHOLE = 8
"""Accelerators of a worker."""


def lasting(needs: Step, seconds: float) -> Step:
    """A step whose tasks are estimated to run for so long; 0 for no estimate."""
    return msgspec.structs.replace(needs, estimate_ms=round(seconds * 1000))


def jobs_of(changes: Changes) -> list[str]:
    return [start.run.task.name.job_id for start in changes.starts]


class LendingCase(ClusterCase):
    """Twelve workers, four of them held; an urgent gang needs nine, so that one run has to stop."""

    def setUp(self) -> None:
        super().setUp()
        self.workers(racks=4, each=3)
        self.held = [self.add(step(1, WHOLE), priority=BULK) for _ in range(4)]
        for now in (0.0, PATIENT):
            self.plan(now)
        self.gang = self.add(lasting(step(9, WHOLE, gang=True), 20.0))
        stops = self.plan(ASKED_S).stops
        self.assertEqual(len(stops), 1)
        self.stopping = stops[0].task.job_id

    def beside(self, needs: Step) -> str:
        """Work of lower priority that waits from the gang's hand-in on."""
        job = self.add(needs, priority=NORMAL)
        self.assertEqual(jobs_of(self.plan(ASKED_S)), [])
        return job

    def stops_are_through(self, now: float) -> Changes:
        self.end(self.stopping, EndKind.STOPPED, now)
        return self.plan(now)

    def assert_stopped(self, changes: Changes, jobs: Iterable[str]) -> None:
        told = [(stop.task.job_id, stop.reason) for stop in changes.stops]
        self.assertEqual(told, [(job, StopReason.PREEMPTED) for job in jobs])


class LentTest(LendingCase):
    def test_short_work_is_lent_room_before_it_stalls(self) -> None:
        job = self.beside(lasting(step(1), 1.0))
        self.assertEqual(jobs_of(self.plan(LENT_S - 0.1)), [])
        self.assertEqual(self.cluster_state.planner.next_loan_s, LENT_S)
        self.assertEqual(jobs_of(self.plan(LENT_S)), [job])

    def test_idle_reserved_room_is_told(self) -> None:
        pool = pools_by_service(self.cluster_state.workers.values(), ASKED_S)[SERVICE]
        self.assertEqual(pool.reserved_idle, 8 * WHOLE)
        self.beside(lasting(step(1, 3), 1.0))
        self.plan(LENT_S)
        pool = pools_by_service(self.cluster_state.workers.values(), LENT_S)[SERVICE]
        self.assertEqual(pool.reserved_idle, 8 * WHOLE - 3)

    def test_a_gang_is_lent_room_whole(self) -> None:
        job = self.beside(lasting(step(4, 4, gang=True), 1.0))
        self.assertEqual(jobs_of(self.plan(LENT_S)), [job] * 4)

    def test_work_that_is_expected_to_outlast_the_stops_is_lent_none(self) -> None:
        left_s = DEFAULT_STOP_S - LENDING_WAIT_S + LOAN_GRACE_S
        self.beside(lasting(step(1), left_s + 0.01))
        self.beside(step(1, long_running=True))
        self.assertEqual(jobs_of(self.plan(LENT_S)), [])
        fits = self.beside(lasting(step(1), left_s - 0.01))
        self.assertEqual(jobs_of(self.plan(LENT_S)), [fits])

    def test_work_of_unknown_length_counts_as_short_until_a_run_shows_otherwise(self) -> None:
        first = self.beside(lasting(step(1), 0.0))
        self.assertEqual(jobs_of(self.plan(LENT_S)), [first])
        self.add(lasting(step(1), 0.0), priority=NORMAL)
        self.plan(LENT_S)
        later_s = LENT_S + LENDING_WAIT_S
        self.assertGreater(later_s - LENT_S, ASKED_S + DEFAULT_STOP_S - later_s + LOAN_GRACE_S)
        self.assertEqual(jobs_of(self.plan(later_s)), [])

    def test_runs_of_a_queue_tell_how_long_its_work_takes(self) -> None:
        first = self.beside(lasting(step(1), 0.0))
        self.assertEqual(jobs_of(self.plan(LENT_S)), [first])
        second = self.add(lasting(step(1), 0.0), priority=NORMAL)
        self.plan(LENT_S)
        self.end(first, EndKind.DONE, LENT_S + 0.2)
        later_s = LENT_S + LENDING_WAIT_S
        self.assertEqual(jobs_of(self.plan(later_s)), [second])

    def test_stops_that_took_less_shorten_what_is_lent(self) -> None:
        """Another gang asks later: stops are known to take 2 s by then."""
        self.assertEqual(jobs_of(self.stops_are_through(ASKED_S + 2.0)), [self.gang] * 9)
        self.end(self.gang, EndKind.DONE, ASKED_S + 3.0)
        self.held.append(self.add(step(1, WHOLE), priority=BULK))
        self.plan(ASKED_S + PATIENT)
        self.plan(ASKED_S + 2 * PATIENT)
        self.add(step(10, WHOLE, gang=True))
        again_s = ASKED_S + 2 * PATIENT + 1.0
        self.assertGreater(len(self.plan(again_s).stops), 0)
        self.add(lasting(step(1), 1.0), priority=NORMAL)
        self.plan(again_s)
        self.assertEqual(jobs_of(self.plan(again_s + LENDING_WAIT_S)), [])


class TakenBackTest(LendingCase):
    def test_the_gang_starts_once_what_was_lent_has_ended(self) -> None:
        job = self.beside(lasting(step(1), 1.0))
        self.plan(LENT_S)
        self.assertEqual(jobs_of(self.stops_are_through(LENT_S + 0.5)), [])
        self.end(job, EndKind.DONE, LENT_S + 1.0)
        self.assertEqual(jobs_of(self.plan(LENT_S + 1.0)), [self.gang] * 9)

    def test_a_run_that_outlasts_the_stops_by_as_long_as_they_took_is_stopped(self) -> None:
        job = self.beside(lasting(step(1), 1.0))
        self.plan(LENT_S)
        took_s = LENDING_WAIT_S + 0.5
        self.assert_stopped(self.stops_are_through(ASKED_S + took_s), [])
        self.assert_stopped(self.plan(ASKED_S + 2 * took_s - 0.1), [])
        self.assert_stopped(self.plan(ASKED_S + 2 * took_s), [job])

    def test_work_that_may_run_once_is_not_stopped_for_what_it_was_lent(self) -> None:
        self.beside(lasting(step(1, once=True), 1.0))
        self.plan(LENT_S)
        self.stops_are_through(LENT_S + 0.5)
        late_s = ASKED_S + 2 * STOP_OVERDUE_S
        self.assertNotIn("once", [stop.reason for stop in self.plan(late_s).stops])
        self.assertTrue(all(stop.task.job_id in self.held for stop in self.plan(late_s).stops))

    def test_other_urgent_work_stops_a_run_that_was_lent_room_as_any_other(self) -> None:
        job = self.beside(lasting(step(1), 1.0))
        self.plan(LENT_S)
        self.cluster_state.cancel(self.gang)
        self.add(step(12, WHOLE, gang=True))
        stopped = {stop.task.job_id for stop in self.plan(LENT_S + 0.1).stops}
        self.assertIn(job, stopped)


class BoundTest(LendingCase):
    """A stream of short work starves no gang, even where its estimates are wrong."""

    def lend(self, seconds: float, now: float) -> list[str]:
        """What is lent to work that has waited for long enough by then."""
        self.add(lasting(step(1), seconds), priority=NORMAL)
        self.plan(now - LENDING_WAIT_S)
        return jobs_of(self.plan(now))

    def test_nothing_is_lent_while_only_lent_runs_hold_the_room(self) -> None:
        self.beside(lasting(step(1), 1.0))
        self.plan(LENT_S)
        self.add(lasting(step(1), 0.1), priority=NORMAL)
        self.plan(LENT_S)
        self.stops_are_through(LENT_S + 0.1)
        self.assertEqual(jobs_of(self.plan(LENT_S + LENDING_WAIT_S)), [])

    def test_short_work_is_lent_room_while_a_lent_run_stops_and_unknown_work_is_not(self) -> None:
        job = self.beside(lasting(step(1), 1.0))
        self.plan(LENT_S)
        self.stops_are_through(LENT_S)
        back_s = ASKED_S + 2 * LENDING_WAIT_S
        self.assert_stopped(self.plan(back_s), [job])
        self.add(lasting(step(1), 0.0), priority=NORMAL)
        short = self.add(lasting(step(1), 0.1), priority=NORMAL)
        self.plan(back_s)
        self.assertEqual(jobs_of(self.plan(back_s + LENDING_WAIT_S)), [short])

    def test_nothing_is_lent_by_a_step_that_was_delayed_twice(self) -> None:
        job = self.beside(lasting(step(1), 1.0))
        self.plan(LENT_S)
        self.stops_are_through(LENT_S)
        now = ASKED_S + 2 * LENDING_WAIT_S
        self.assert_stopped(self.plan(now), [job])
        short = self.add(lasting(step(1), 0.1), priority=NORMAL)
        self.plan(now)
        now += LENDING_WAIT_S
        self.assertEqual(jobs_of(self.plan(now)), [short])
        self.end(job, EndKind.STOPPED, now)
        self.plan(now)
        now += now - ASKED_S
        self.assertIn(short, [stop.task.job_id for stop in self.plan(now).stops])
        self.add(lasting(step(1), 0.1), priority=NORMAL)
        self.plan(now)
        self.assertEqual(jobs_of(self.plan(now + LENDING_WAIT_S)), [])


if __name__ == "__main__":
    unittest.main()
