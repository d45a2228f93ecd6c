"""Whether calls without answer speak against a worker or its hall."""

from __future__ import annotations

import unittest

from saddlestack.policy.suspicion import CORRELATION_WINDOW_S, Suspicion

HALL = "north"


class SuspicionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.suspicion = Suspicion()

    def test_one_worker_however_often_speaks_for_itself(self) -> None:
        for number in range(5):
            self.assertFalse(self.suspicion.record_unanswered(HALL, "w1", number / 10))

    def test_two_workers_at_once_speak_against_the_hall(self) -> None:
        self.assertFalse(self.suspicion.record_unanswered(HALL, "w1", 1.0))
        self.assertTrue(self.suspicion.record_unanswered(HALL, "w2", 1.0 + CORRELATION_WINDOW_S))

    def test_two_workers_of_two_halls_do_not(self) -> None:
        self.assertFalse(self.suspicion.record_unanswered(HALL, "w1", 1.0))
        self.assertFalse(self.suspicion.record_unanswered("south", "w2", 1.0))

    def test_two_workers_one_long_after_the_other_do_not(self) -> None:
        self.assertFalse(self.suspicion.record_unanswered(HALL, "w1", 1.0))
        self.assertFalse(self.suspicion.record_unanswered(HALL, "w2", 1.1 + CORRELATION_WINDOW_S))


if __name__ == "__main__":
    unittest.main()
