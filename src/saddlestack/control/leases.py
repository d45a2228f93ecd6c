"""How long the leases may last that were granted to the workers: one account for a whole term.

What runs on a worker that nobody hears of is over once every lease is that was ever granted there.
The account is the term's, by life of a worker: sessions with a life are made anew, and records of
it change or go, while a lease that was granted holds on.
"""

from __future__ import annotations

from saddlestack.control.leadership import LEASE_S, RENEWING_S

CLOCK_DRIFT = 1 / 0.98
"""What lasts a second by a worker's clock may last so long by ours: it may run 2 % slow."""
LAPSE_SLACK_S = 0.5
"""A worker that stood still, or is slow, ends what it runs up to 0.3 s late."""


class Leases:
    """The leases that may hold in one term. Times are seconds on this VM's clock.

    :param hold_s: the longest lease that workers take, by their clocks.
    :param began_s: when the term began.
    :ivar longest_s: after so long a lease that leaves now has lapsed for sure.
    :ivar inherited_until: when leases that earlier leaders granted have lapsed for sure.
    """

    def __init__(self, hold_s: float, began_s: float) -> None:
        self.longest_s = hold_s * CLOCK_DRIFT + LAPSE_SLACK_S
        self._granted_until: dict[str, float] = {}
        self.inherited_until = began_s + LEASE_S + RENEWING_S + self.longest_s

    def renewed_until(self, moment: float) -> None:
        """No earlier leader has renewed a lease after some moment."""
        self.inherited_until = min(self.inherited_until, moment + self.longest_s)

    def granted(self, worker_id: str, now: float) -> None:
        """A lease leaves for a worker; it may be carried out late, but lasts no longer for that."""
        until = now + self.longest_s
        self._granted_until[worker_id] = max(until, self._granted_until.get(worker_id, until))

    def lasts_until(self, worker_id: str) -> float:
        """When every lease that was ever granted to a worker has lapsed for sure."""
        return max(self._granted_until.get(worker_id, 0.0), self.inherited_until)

    def left_s(self, worker_id: str, now: float) -> float:
        """Seconds until then; 0 where they have lapsed."""
        return max(0.0, self.lasts_until(worker_id) - now)
