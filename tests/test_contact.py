"""The leader's lower bound of a worker's clock."""

from __future__ import annotations

import unittest

from saddlestack.control.contact import WorkerClock

SLOWEST = 0.98


class WorkerClockTest(unittest.TestCase):
    """The worker's answer, received at 10.5 s, contains a clock of 1,000 ms."""

    def clock(self) -> WorkerClock:
        clock = WorkerClock()
        clock.update(1000, 10.5)
        return clock

    def test_a_slow_clock_shows_no_less_than_the_lower_bound(self) -> None:
        for idle_s in (0.0, 30.0, 300.0, 3600.0):
            slow_ms = 1000 + idle_s * 1000 * SLOWEST
            self.assertLessEqual(self.clock().earliest(10.5 + idle_s), round(slow_ms))

    def test_an_answer_overtaken_by_a_later_one_is_ignored(self) -> None:
        clock = self.clock()
        clock.update(900, 10.6)
        self.assertEqual((clock.clock_ms, clock.updated_s), (1000, 10.5))

    def test_a_later_answer_counts(self) -> None:
        clock = self.clock()
        clock.update(1500, 11.0)
        self.assertEqual(clock.earliest(11.0), 1500)

    def test_before_an_answer_nothing_is_known(self) -> None:
        self.assertFalse(WorkerClock().is_known)
        self.assertTrue(self.clock().is_known)


if __name__ == "__main__":
    unittest.main()
