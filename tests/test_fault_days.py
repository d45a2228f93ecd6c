"""Simulated days of tasks that crash workers, of shrinking workers and of suspended VMs.

Each check is shown to fail on a planted fault. The days of suspended VMs guard against a leader
that is suspended for some seconds and on resuming reports jobs as running that its successor has
published as completed. The event loop's clock and timers do not count a suspension, so a leader
that computes its term and deadlines with them takes its term for valid until the next renewal,
unless it checks whether it was suspended. The last test of those days leaves that check out.
"""

from __future__ import annotations

import dataclasses
import unittest
import unittest.mock

from saddlestack.control.leadership import Leadership, Term
from saddlestack.interfaces.workers import WorkerRecord
from saddlestack.kernel.clock import Clock, SystemClock
from saddlestack.policy.cluster.crash_rule import CrashOdds
from saddlestack.policy.cluster.records import CrashRecord
from saddlestack.policy.cluster.workers import Worker
from saddlestack.standins.loop import run
from tests.simulation.day import Day, day_of
from tests.simulation.jobs import JobKinds

SECONDS = 12.0
CRASHING = JobKinds(crashing=0.3)


def crashing_day(seed: int) -> Day:
    return day_of(seed, SECONDS, calm=True, kinds=CRASHING)


class CrashingDayTest(unittest.TestCase):
    def test_no_task_is_started_three_more_times_after_three_crashes(self) -> None:
        for seed in (89000, 89002):
            day = crashing_day(seed)
            self.assertEqual(day.play().broken, [])
            self.assertTrue(day.site.workers.crashed)

    def test_the_check_finds_crashing_tasks_that_are_never_given_up(self) -> None:
        def never_culprit(rule: CrashOdds, record: CrashRecord) -> bool:
            return False

        with unittest.mock.patch.object(CrashOdds, "is_culprit", never_culprit):
            broken = crashing_day(89000).play().broken
        self.assertIn("after 3 crashes", broken[0])


class ShrinkingDayTest(unittest.TestCase):
    def test_no_start_exceeds_a_capacity_that_has_shrunk(self) -> None:
        for seed in (89100, 89101):
            self.assertEqual(day_of(seed, SECONDS, ("shrink",)).play().broken, [])

    def test_the_check_finds_starts_on_outdated_capacity(self) -> None:
        original = Worker.update_record

        def update_keeping_capacity(worker: Worker, record: WorkerRecord, now: float) -> None:
            kept = dataclasses.replace(record, capacity=worker.record.capacity)
            original(worker, kept, now)

        with unittest.mock.patch.object(Worker, "update_record", update_keeping_capacity):
            broken = day_of(89101, SECONDS, ("shrink",)).play().broken
        self.assertIn("over the room", broken[0])


class SuspendedDayTest(unittest.TestCase):
    SEEDS = (89201, 89203)

    def test_a_resumed_vm_reports_no_completed_job_as_running(self) -> None:
        for seed in self.SEEDS:
            day = day_of(seed, SECONDS, ("suspend",))
            self.assertEqual(day.play().broken, [])
            self.assertTrue(day.told.asked)

    def test_the_check_finds_a_leader_that_ignores_its_suspension(self) -> None:
        def always_confirmed(leadership: Leadership, term: Term) -> bool:
            return True

        with unittest.mock.patch.object(Leadership, "is_confirmed", always_confirmed):
            broken = day_of(self.SEEDS[0], SECONDS, ("suspend",)).play().broken
        self.assertTrue(any("after a suspension" in text for text in broken), broken)


class SystemClockTest(unittest.TestCase):
    def test_it_is_monotonic_and_runs_at_the_rate_of_the_event_loop(self) -> None:
        async def main() -> None:
            clock = SystemClock()
            first, first_suspended_s = clock.now(), clock.suspended_s()
            self.assertGreaterEqual(clock.now(), first)
            self.assertAlmostEqual(clock.suspended_s(), first_suspended_s, delta=0.05)
            self.assertEqual(Clock().suspended_s(), 0.0)

        run(main(), real_time=True)
