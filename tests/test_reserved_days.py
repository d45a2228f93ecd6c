"""Simulated days on which work stalled while capacity was reserved for urgent gangs.

In a third of the jobs each task fails once, runs take up to 5 s to stop, and one reservation
followed the other. Some jobs waited for 40 s although the pool was mostly free.
"""

from __future__ import annotations

import random
import unittest
import unittest.mock

import msgspec

from saddlestack.work import JobRequest
from tests.simulation import day as days
from tests.simulation.jobs import JobKinds
from tests.simulation.loops import SharedLoop
from tests.simulation.scene import OTHER, ROOM, SceneTest, job, tasks
from tests.simulation.workers import Plan
from tests.test_stalled_work import LASTS_S, OBSERVED_S, Longest

FAILING = 0.3
SECONDS = 30.0
FIRST_TIMER_S = 1.0
TIMER_S = 0.5
STOP_S = 5.0
LONG_S = 8.0
"""Duration of work that cannot end before the stopping runs have ended."""


class ReservedDaysTest(unittest.TestCase):
    def test_a_rack_gang_beside_a_reservation_does_not_stall(self) -> None:
        self.assert_unbroken(88001)

    def test_jobs_beside_reservations_in_a_chain_do_not_stall(self) -> None:
        self.assert_unbroken(88036)

    def test_jobs_beside_reservations_do_not_stall_where_one_account_fails(self) -> None:
        kinds = JobKinds(failing=FAILING)
        self.assertEqual(days.day_of(88036, SECONDS, kinds=kinds).play().broken, [])

    def assert_unbroken(self, seed: int) -> None:
        """Run the day as it was found: with failing jobs of any account, and an extra timer."""
        with unittest.mock.patch.object(days, "_job", failing_job):
            day = days.day_of(seed, SECONDS)
            day.site.world.call_later(FIRST_TIMER_S, tick, day.site.world)
            self.assertEqual(day.play().broken, [])


class LongWorkTest(SceneTest):
    def test_long_work_beside_room_that_is_reserved_does_not_stall(self) -> None:
        """An urgent gang reserves eight idle workers and one whose run takes 5 s to stop."""
        self.site.workers._stop_s = STOP_S
        self.site.workers._rng = Longest(1)
        self.hand_in(job(tasks(4, ROOM), LASTS_S), OTHER, "bulk")
        self.after(2.0)
        self.hand_in(job(tasks(9, ROOM, gang=True), 3.0), "c" * 16, "urgent")
        self.after(0.2)
        known = msgspec.structs.replace(tasks(1), estimate_ms=round(LONG_S * 1000))
        self.hand_in(job(known, LONG_S))
        self.assertEqual(self.after(OBSERVED_S).unexplained, [])


_plain_job = days._job


def failing_job(rng: random.Random, now_ms: int) -> tuple[str, JobRequest]:
    """Draw a job; in some jobs each task fails once, by its own fault, at the end of its work."""
    queue, request = _plain_job(rng, now_ms)
    plan = msgspec.json.decode(request.payload, type=Plan)
    if not plan.failures and not plan.lasts and rng.random() < FAILING:
        plan = msgspec.structs.replace(plan, failures=1)
    payload = msgspec.json.encode(plan).decode()
    return queue, msgspec.structs.replace(request, payload=payload)


def tick(loop: SharedLoop) -> None:
    """Restart a timer that does nothing but affects the order of timers due at the same time."""
    loop.call_later(TIMER_S, tick, loop)


if __name__ == "__main__":
    unittest.main()
