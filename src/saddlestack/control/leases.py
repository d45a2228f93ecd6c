"""How long the leases may last that were granted to the workers: one account for a whole term.

What runs on a worker that nobody hears of is over once every lease is that was ever granted there.
The account is the term's, by life of a worker: sessions with a life are made anew, and records of
it change or go, while a lease that was granted holds on.
"""

from __future__ import annotations

from saddlestack.control.leadership import LEASE_S, RENEWAL_GRACE_S

CLOCK_DRIFT = 1 / 0.98
"""What lasts a second by a worker's clock may last so long by ours: it may run 2 % slow."""
LAPSE_SLACK_S = 0.5
"""A worker that stood still, or is slow, ends what it runs up to 0.3 s late."""


class Leases:
    """The leases that may hold in one term. Times are seconds on this VM's clock.

    :param max_lease_s: the longest lease that workers take, by their clocks.
    :param began_s: when the term began.
    :ivar lapse_after_s: after so long a lease that leaves now has lapsed for sure.
    :ivar inherited_until: when leases that earlier leaders granted have lapsed for sure.
    """

    def __init__(self, max_lease_s: float, began_s: float) -> None:
        self.lapse_after_s = max_lease_s * CLOCK_DRIFT + LAPSE_SLACK_S
        self._granted_until: dict[str, float] = {}
        self.inherited_until = began_s + LEASE_S + RENEWAL_GRACE_S + self.lapse_after_s

    def limit_inherited(self, moment: float) -> None:
        """No earlier leader has renewed a lease after some moment."""
        self.inherited_until = min(self.inherited_until, moment + self.lapse_after_s)

    def record_grant(self, worker_id: str, now: float) -> None:
        """A lease leaves for a worker; it may be carried out late, but lasts no longer for that."""
        until = now + self.lapse_after_s
        self._granted_until[worker_id] = max(until, self._granted_until.get(worker_id, until))

    def expires_at(self, worker_id: str) -> float:
        """When every lease that was ever granted to a worker has lapsed for sure."""
        return max(self._granted_until.get(worker_id, 0.0), self.inherited_until)

    def remaining_s(self, worker_id: str, now: float) -> float:
        """Seconds until then; 0 where they have lapsed."""
        return max(0.0, self.expires_at(worker_id) - now)
