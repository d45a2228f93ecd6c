"""Tests whether unanswered calls make a worker or its whole hall suspect."""

from __future__ import annotations

import unittest

from saddlestack.policy.suspicion import CORRELATION_WINDOW_S, Suspicion

HALL = "north"


class SuspicionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspicion = Suspicion()

    def test_calls_to_one_worker_do_not_make_the_hall_suspect(self) -> None:
        for number in range(5):
            self.assertFalse(self.suspicion.record_unanswered(HALL, "w1", number / 10))

    def test_calls_to_two_workers_at_once_make_the_hall_suspect(self) -> None:
        self.assertFalse(self.suspicion.record_unanswered(HALL, "w1", 1.0))
        self.assertTrue(self.suspicion.record_unanswered(HALL, "w2", 1.0 + CORRELATION_WINDOW_S))

    def test_calls_to_workers_of_two_halls_do_not(self) -> None:
        self.assertFalse(self.suspicion.record_unanswered(HALL, "w1", 1.0))
        self.assertFalse(self.suspicion.record_unanswered("south", "w2", 1.0))

    def test_calls_to_two_workers_far_apart_in_time_do_not(self) -> None:
        self.assertFalse(self.suspicion.record_unanswered(HALL, "w1", 1.0))
        self.assertFalse(self.suspicion.record_unanswered(HALL, "w2", 1.1 + CORRELATION_WINDOW_S))


if __name__ == "__main__":
    unittest.main()
