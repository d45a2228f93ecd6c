"""Keeps track of the start orders of a term that were not answered.

Such an order may be carried out seconds later, after newer calls. A worker that restarts under its
id does not remember a stop that its earlier incarnation answered. So the next incarnation is made
to refuse these runs: their tasks may have started elsewhere since, or be done.
"""

from __future__ import annotations

from saddlestack.interfaces.incarnations import worker_id_of
from saddlestack.policy.cluster.workers import RunKey

MAX_ORDER_DELAY_S = 15.0
"""An order is carried out at most 12 s after it was sent; the rest is for drift and stalls."""


class UnansweredStarts:
    """The unanswered starts of each worker, by its id. Times are seconds on this VM's clock."""

    def __init__(self) -> None:
        self._starts: dict[str, dict[RunKey, float]] = {}

    def record_sent(self, incarnation: str, key: RunKey, now: float) -> None:
        """Note that a start of a run is sent to an incarnation of a worker."""
        starts = self._starts.setdefault(worker_id_of(incarnation), {})
        for expired in [
            each for each, sent_s in starts.items() if now - sent_s > MAX_ORDER_DELAY_S
        ]:
            del starts[expired]
        starts[key] = now

    def record_answered(self, incarnation: str, key: RunKey) -> None:
        """Note that every start of a run that was sent to an incarnation was answered."""
        starts = self._starts.get(worker_id_of(incarnation), {})
        starts.pop(key, None)
        if not starts:
            self._starts.pop(worker_id_of(incarnation), None)

    def pending(self, incarnation: str, now: float) -> list[RunKey]:
        """Runs whose unanswered start may still be carried out by any incarnation of a worker."""
        starts = self._starts.get(worker_id_of(incarnation), {})
        return [key for key, sent_s in starts.items() if now - sent_s <= MAX_ORDER_DELAY_S]
