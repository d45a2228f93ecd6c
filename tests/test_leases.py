"""Which leases a term assumes that workers may still hold."""

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
UNREACHABLE_S = 2.6
"""Two unanswered polls, the first of which waits for an end."""
LATE_S = BEGAN_S + 50.0
"""By then, all leases that earlier leaders granted have expired."""


class LeasesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leases = Leases(HOLD_S, BEGAN_S)

    def test_an_incarnation_without_a_lease_of_this_term_may_hold_an_earlier_one(self) -> None:
        self.assertEqual(self.leases.expires_at("w"), BEGAN_S + INHERITED_S)
        self.assertEqual(self.leases.remaining_s("w", LATE_S), 0.0)

    def test_a_lease_allows_for_a_slow_clock_and_a_late_end(self) -> None:
        self.leases.record_grant("w", LATE_S)
        self.assertAlmostEqual(self.leases.remaining_s("w", LATE_S + 1.0), LONGEST_S - 1.0)
        self.assertEqual(self.leases.remaining_s("other", LATE_S + 1.0), 0.0)

    def test_a_lease_sent_late_shortens_none(self) -> None:
        self.leases.record_grant("w", LATE_S + 2.0)
        self.leases.record_grant("w", LATE_S)
        self.assertEqual(self.leases.expires_at("w"), LATE_S + 2.0 + LONGEST_S)

    def test_if_nobody_renews_inherited_leases_expire_sooner_and_own_ones_do_not(
        self,
    ) -> None:
        self.leases.record_grant("w", BEGAN_S + 2.0)
        self.leases.limit_inherited(BEGAN_S + 1.0)
        self.leases.limit_inherited(BEGAN_S + 3.0)
        self.assertEqual(self.leases.expires_at("other"), BEGAN_S + 1.0 + LONGEST_S)
        self.assertEqual(self.leases.expires_at("w"), BEGAN_S + 2.0 + LONGEST_S)


class ReopenedSessionTest(SessionCase):
    def test_a_reopened_session_counts_the_leases_of_the_previous_one(self) -> None:
        """The worker becomes unreachable: its run ends with its lease, not with the first
        session."""

        async def body(scene: Scene) -> None:
            scene.assign()
            scene.list_run()
            await asyncio.sleep(1.0)
            scene.orders.is_unreachable = True
            await asyncio.sleep(UNREACHABLE_S)
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
