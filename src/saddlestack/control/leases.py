"""When the leases that were granted to workers expire, tracked for a whole term.

A run on a worker that doesn't answer is over once every lease ever granted to the worker has
expired. This is tracked by term and by incarnation of a worker, because a lease outlasts sessions
that are opened again and records that change or are removed.
"""

from __future__ import annotations

from saddlestack.control.leadership import LEASE_S, RENEWAL_GRACE_S

CLOCK_DRIFT = 1 / 0.98
"""How long one second of a worker's clock may last on this VM's: it may run 2 % slow."""
LAPSE_SLACK_S = 0.5
"""A worker that was paused, or is slow, ends its runs up to 0.3 s late."""


class Leases:
    """The leases that may be valid in one term. Times are seconds on this VM's clock.

    :param max_lease_s: longest lease that workers accept, on their clocks.
    :param began_s: when the term began.
    :ivar lapse_after_s: time after which a lease that is sent now has certainly expired.
    :ivar inherited_until: when leases granted by earlier leaders have certainly expired.
    """

    def __init__(self, max_lease_s: float, began_s: float) -> None:
        self.lapse_after_s = max_lease_s * CLOCK_DRIFT + LAPSE_SLACK_S
        self._granted_until: dict[str, float] = {}
        self.inherited_until = began_s + LEASE_S + RENEWAL_GRACE_S + self.lapse_after_s

    def limit_inherited(self, moment: float) -> None:
        """Notes that no earlier leader has renewed a lease after some moment."""
        self.inherited_until = min(self.inherited_until, moment + self.lapse_after_s)

    def record_grant(self, worker_id: str, now: float) -> None:
        """Notes that a lease is sent to a worker. Late arrival doesn't extend it."""
        until = now + self.lapse_after_s
        self._granted_until[worker_id] = max(until, self._granted_until.get(worker_id, until))

    def expires_at(self, worker_id: str) -> float:
        """Returns when every lease that was ever granted to a worker has certainly expired."""
        return max(self._granted_until.get(worker_id, 0.0), self.inherited_until)

    def remaining_s(self, worker_id: str, now: float) -> float:
        """Returns the seconds until all leases of a worker have expired; 0 if they have."""
        return max(0.0, self.expires_at(worker_id) - now)
