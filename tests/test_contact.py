"""What a leader may take a worker's clock, and the age of its record, to be."""

from __future__ import annotations

import math
import unittest

from saddlestack.control.contact import WorkerClock

SLOWEST = 0.98


class WorkerClockTest(unittest.TestCase):
    """Asked at 10.0 s, the answer is heard at 10.5 s and says 1,000 ms."""

    def clock(self) -> WorkerClock:
        clock = WorkerClock(0, 0.0)
        clock.hear(1000, 10.0, 10.5)
        return clock

    def test_a_clock_that_runs_slow_says_no_less_than_the_earliest(self) -> None:
        for rested_s in (0.0, 30.0, 300.0, 3600.0):
            slow_ms = 1000 + rested_s * 1000 * SLOWEST
            self.assertLessEqual(self.clock().earliest(10.5 + rested_s), round(slow_ms))

    def test_a_clock_that_runs_true_says_no_more_than_the_latest(self) -> None:
        self.assertGreaterEqual(self.clock().latest(10.5 + 3.0), 1000 + 500 + 3000)

    def test_an_answer_that_was_passed_by_a_later_one_changes_nothing(self) -> None:
        clock = self.clock()
        clock.hear(900, 9.9, 10.6)
        self.assertEqual((clock.clock_ms, clock.heard_s), (1000, 10.5))
        self.assertEqual(clock.latest(11.0), 2000)

    def test_a_quick_answer_tells_more_than_a_slow_one(self) -> None:
        clock = self.clock()
        clock.hear(1500, 10.5, 10.501)
        self.assertEqual(clock.latest(11.0), 2000)
        clock.hear(4000, 11.0, 13.0)
        self.assertEqual(clock.latest(13.0), 4000)

    def test_before_an_answer_nothing_is_known_of_the_latest(self) -> None:
        """A record tells what the clock said some heartbeats ago."""
        self.assertEqual(WorkerClock(0, 0.0).latest(1.0), math.inf)
