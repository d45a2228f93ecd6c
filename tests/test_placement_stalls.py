"""Tests that work does not stall waiting for a better placement while others are free.

Accepted jobs had no task running for seconds while less than half of the pool was in use and other
jobs started. A step waited up to 8 s for a placement near its data, whatever was free elsewhere; a
gang waited even if that rack could never hold it. The wait was limited by time alone, not by the
free capacity elsewhere. The tests below cover this on a cluster state without other problems.
"""

from __future__ import annotations

import unittest

from saddlestack.policy.stall import STALL_S
from tests.test_cluster_state import BULK, NORMAL, URGENT, ClusterCase, record, step

TICK_S = 0.5
"""The maximum interval between two rounds of a leader."""


class StillStepsTest(ClusterCase):
    def started_within(self, job_id: str, until_s: float) -> bool:
        """Whether a task of a job starts by ``until_s``, with a scheduling round each tick."""
        now = 0.0
        while now <= until_s:
            if any(start.run.task.name.job_id == job_id for start in self.plan(now).starts):
                return True
            now += TICK_S
        return False

    def test_tasks_whose_near_rack_is_full_go_elsewhere_in_a_free_pool(self) -> None:
        for priority in (URGENT, NORMAL, BULK):
            with self.subTest(priority=priority):
                self.setUp()
                self.workers(racks=4, each=2)
                self.add(step(2, 8, label="r1"))
                self.plan()
                job = self.add(step(4, 1, data_rack="r1"), priority=priority)
                self.assertTrue(self.started_within(job, STALL_S - TICK_S))

    def test_a_gang_that_its_near_rack_never_holds_goes_elsewhere_at_once(self) -> None:
        for priority in (URGENT, NORMAL, BULK):
            with self.subTest(priority=priority):
                self.setUp()
                self.workers(racks=4, each=2)
                job = self.add(step(3, 8, gang=True, data_rack="r1"), priority=priority)
                self.assertTrue(self.started_within(job, 0.0))

    def test_a_gang_whose_near_rack_is_full_goes_elsewhere_in_a_free_pool(self) -> None:
        self.workers(racks=4, each=2)
        self.add(step(2, 8, label="r1"))
        self.plan()
        job = self.add(step(2, 4, gang=True, data_rack="r1"), priority=NORMAL)
        self.assertTrue(self.started_within(job, STALL_S - TICK_S))

    def test_a_gang_of_one_rack_is_spread_where_no_rack_is_free_and_the_pool_is(self) -> None:
        self.workers(racks=4, each=2)
        for rack in range(1, 5):
            self.add(step(1, 1, label=f"r{rack}"))
        self.plan()
        job = self.add(step(2, 8, gang=True, same_rack=True), priority=NORMAL)
        self.assertTrue(self.started_within(job, STALL_S - TICK_S))

    def test_bulk_work_opens_workers_kept_for_a_gang_while_a_hall_is_evacuated(self) -> None:
        """Halls that are being evacuated count as free capacity of the pool."""
        self.workers(racks=2, each=2)
        for name in ("w31", "w32", "w33", "w34", "w35", "w36"):
            self.cluster_state.set_worker(record(name, rack="r3", hall="other"), 0.0)
        self.add(step(4, 4), priority=BULK)
        self.plan()
        self.cluster_state.evacuate(frozenset({"other"}))
        self.add(step(3, 8, gang=True), priority=NORMAL)
        job = self.add(step(4, 1), priority=BULK)
        self.assertTrue(self.started_within(job, STALL_S - TICK_S))

    def test_workers_on_trial_do_not_delay_a_gang_in_a_free_pool(self) -> None:
        for same_rack in (True, False):
            with self.subTest(same_rack=same_rack):
                self.setUp()
                self.workers(racks=4, each=2)
                for worker in self.cluster_state.workers.values():
                    worker.strikes = 1
                    worker.trial_s = 60.0
                    worker.probation_s = 60.0
                gang = step(9, 2, gang=True, same_rack=same_rack)
                job = self.add(gang, priority=NORMAL)
                self.assertTrue(self.started_within(job, STALL_S - TICK_S))

    def test_workers_in_quarantine_do_not_delay_work_for_long_in_a_free_pool(self) -> None:
        self.workers(racks=2, each=2)
        for worker in self.cluster_state.workers.values():
            worker.strikes = 3
            worker.quarantine_s = 60.0
        job = self.add(step(4, 2), priority=BULK)
        self.assertTrue(self.started_within(job, STALL_S - TICK_S))

    def last_attempt(self, *, quarantine_s: float) -> str:
        """Add a job on its last attempt, with only workers on which work has failed."""
        self.workers(racks=2, each=2)
        for worker in self.cluster_state.workers.values():
            worker.strikes = 3
            worker.quarantine_s = quarantine_s
            worker.probation_s = 60.0
            worker.trial_s = 60.0
        job = self.add(step(1, 2), priority=BULK, attempts=2)
        self.cluster_state.jobs[job].occurrences[0].steps[0].tasks[0].record.failures = 1
        return job

    def test_a_last_attempt_does_not_start_on_a_worker_in_quarantine(self) -> None:
        self.assertFalse(self.started_within(self.last_attempt(quarantine_s=60.0), 59.0))

    def test_a_last_attempt_does_not_wait_for_probation_in_a_free_pool(self) -> None:
        self.assertTrue(self.started_within(self.last_attempt(quarantine_s=0.0), STALL_S - TICK_S))

    def test_healthy_workers_are_preferred_to_those_in_quarantine(self) -> None:
        self.workers(racks=2, each=4)
        for name in ("w11", "w12", "w13", "w14", "w21", "w22"):
            self.cluster_state.workers[name].strikes = 1
            self.cluster_state.workers[name].quarantine_s = 60.0
        job = self.add(step(3, 8, gang=True), priority=NORMAL)
        self.assertTrue(self.started_within(job, STALL_S - TICK_S))
        tasks = self.cluster_state.jobs[job].occurrences[0].steps[0].tasks
        self.assertLessEqual({"w23", "w24"}, {task.record.worker for task in tasks})

    def test_unreachable_workers_do_not_count_as_used(self) -> None:
        self.workers(racks=4, each=2)
        self.add(step(4, 8))
        self.plan()
        for worker in self.cluster_state.workers.values():
            worker.reachable = not worker.runs
        self.cluster_state.set_worker(record("w19", rack="r1", accelerators=1), 0.0)
        self.add(step(1, 1, label="r1"))
        self.plan()
        job = self.add(step(1, 1, data_rack="r1"), priority=NORMAL)
        self.assertTrue(self.started_within(job, STALL_S - TICK_S))

    def test_a_gang_behind_a_similar_one_that_has_waited_less_is_spread_as_well(self) -> None:
        """The first gang was stopped and requeued, so it has been stalled for less time."""
        self.workers(racks=6, each=2)
        for rack in range(1, 7):
            self.add(step(1, 1, label=f"r{rack}"))
        self.plan()
        first = self.add(step(2, 8, gang=True, same_rack=True), priority=NORMAL)
        second = self.add(step(2, 8, gang=True, same_rack=True), priority=NORMAL)
        self.plan(0.0)
        self.cluster_state.jobs[first].occurrences[0].steps[0].stalled_since_s = 2.0
        self.assertTrue(self.started_within(second, STALL_S - TICK_S))

    def test_tasks_that_never_ran_start_before_one_that_avoids_the_free_workers(self) -> None:
        self.workers(racks=1, each=4)
        self.add(step(1, 8))
        self.plan()
        job = self.add(step(2, 8), priority=BULK)
        tasks = self.cluster_state.jobs[job].occurrences[0].steps[0].tasks
        tasks[0].avoid |= {"w12", "w13", "w14"}
        tasks[0].step.has_avoided_workers = True
        started = [start.run.task.name.index for start in self.plan(1.0).starts]
        self.assertEqual(started, [1])


if __name__ == "__main__":
    unittest.main()
