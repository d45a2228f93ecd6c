"""Simulated days on which work on its last attempt stalled although the pool was mostly free."""

from __future__ import annotations

import unittest

from tests.simulation.day import day_of
from tests.simulation.jobs import JobKinds


class LastTryDaysTest(unittest.TestCase):
    def test_a_last_try_beside_workers_in_quarantine_does_not_stall(self) -> None:
        day = day_of(97639, 30.0, calm=True, kinds=JobKinds(failing=0.3))
        self.assertEqual(day.play().broken, [])


if __name__ == "__main__":
    unittest.main()
