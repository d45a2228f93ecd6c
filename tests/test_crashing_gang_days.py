"""Simulated days with gangs that have a task that crashes each worker that starts it."""

from __future__ import annotations

import unittest

from tests.simulation.day import day_of
from tests.simulation.jobs import JobKinds


class CrashingGangDaysTest(unittest.TestCase):
    def test_a_gang_is_given_up_in_time_where_workers_also_crash_on_their_own(self) -> None:
        day = day_of(97836, 30.0, ["crash", "reborn"], kinds=JobKinds(crashing=0.1))
        self.assertEqual(day.play().broken, [])


if __name__ == "__main__":
    unittest.main()
