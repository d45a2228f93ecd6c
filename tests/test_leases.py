"""What a term counts of the leases that workers may hold."""

from __future__ import annotations

import asyncio
import unittest

from saddlestack.control.leadership import LEASE_S, RENEWAL_GRACE_S
from saddlestack.control.leases import CLOCK_DRIFT, LAPSE_SLACK_S, Leases
from saddlestack.policy.cluster.records import TaskStatus
from tests.test_session import HOLD_S, Scene, SessionCase

LONGEST_S = HOLD_S * CLOCK_DRIFT + LAPSE_SLACK_S
BEGAN_S = 100.0
INHERITED_S = LEASE_S + RENEWAL_GRACE_S + LONGEST_S
SILENT_S = 2.6
"""Two looks without answer, the first of which waits for an end."""
LATE_S = BEGAN_S + 50.0
"""Nothing that an earlier leader granted holds any more."""


class LeasesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leases = Leases(HOLD_S, BEGAN_S)

    def test_a_life_that_got_none_in_this_term_may_hold_an_earlier_one(self) -> None:
        self.assertEqual(self.leases.expires_at("w"), BEGAN_S + INHERITED_S)
        self.assertEqual(self.leases.remaining_s("w", LATE_S), 0.0)

    def test_a_lease_lasts_by_a_slow_clock_and_a_worker_that_ends_late(self) -> None:
        self.leases.record_grant("w", LATE_S)
        self.assertAlmostEqual(self.leases.remaining_s("w", LATE_S + 1.0), LONGEST_S - 1.0)
        self.assertEqual(self.leases.remaining_s("other", LATE_S + 1.0), 0.0)

    def test_one_that_leaves_late_shortens_none(self) -> None:
        self.leases.record_grant("w", LATE_S + 2.0)
        self.leases.record_grant("w", LATE_S)
        self.assertEqual(self.leases.expires_at("w"), LATE_S + 2.0 + LONGEST_S)

    def test_where_nobody_renews_what_is_inherited_lapses_sooner_and_own_leases_do_not(
        self,
    ) -> None:
        self.leases.record_grant("w", BEGAN_S + 2.0)
        self.leases.limit_inherited(BEGAN_S + 1.0)
        self.leases.limit_inherited(BEGAN_S + 3.0)
        self.assertEqual(self.leases.expires_at("other"), BEGAN_S + 1.0 + LONGEST_S)
        self.assertEqual(self.leases.expires_at("w"), BEGAN_S + 2.0 + LONGEST_S)


class SessionMadeAnewTest(SessionCase):
    def test_a_session_made_anew_counts_what_the_one_before_granted(self) -> None:
        """Its worker falls silent: the run is over with its lease, not with the first session."""

        async def body(scene: Scene) -> None:
            scene.assign()
            scene.list_run()
            await asyncio.sleep(1.0)
            scene.orders.is_unreachable = True
            await asyncio.sleep(SILENT_S)
            self.assertFalse(scene.session.worker.reachable)
            await scene.session.close()
            again = scene.new_session()
            await asyncio.sleep(HOLD_S / 4)
            self.assertIs(scene.status, TaskStatus.ASSIGNED)
            await asyncio.sleep(LONGEST_S)
            self.assertIs(scene.status, TaskStatus.WAITING)
            await again.close()

        self.play(body)


if __name__ == "__main__":
    unittest.main()
