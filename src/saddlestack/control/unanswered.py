"""Starts of which no answer is known, as a leader remembers them in its term.

Such an order may be carried out seconds later, after newer calls. A worker that starts again under
its id knows nothing of a stop that its life before answered, so the next life is told to refuse
these runs: their tasks may have begun elsewhere since, or be done.
"""

from __future__ import annotations

from saddlestack.interfaces.incarnations import worker_id_of
from saddlestack.policy.cluster.workers import RunKey

MAX_ORDER_DELAY_S = 15.0
"""An order is carried out at most 12 s after it was sent; the rest is for clocks and stalls."""


class UnansweredStarts:
    """The unanswered starts of each worker, by its id. Times are seconds on this VM's clock."""

    def __init__(self) -> None:
        self._sent: dict[str, dict[RunKey, float]] = {}

    def record_sent(self, life: str, key: RunKey, now: float) -> None:
        """A start of a run leaves for a life."""
        starts = self._sent.setdefault(worker_id_of(life), {})
        for old in [each for each, sent_s in starts.items() if now - sent_s > MAX_ORDER_DELAY_S]:
            del starts[old]
        starts[key] = now

    def record_answered(self, life: str, key: RunKey) -> None:
        """Each start of a run that was sent to a life was answered."""
        starts = self._sent.get(worker_id_of(life), {})
        starts.pop(key, None)
        if not starts:
            self._sent.pop(worker_id_of(life), None)

    def pending(self, life: str, now: float) -> list[RunKey]:
        """Runs that may still begin on any life of a worker though nobody waits for them."""
        starts = self._sent.get(worker_id_of(life), {})
        return [key for key, sent_s in starts.items() if now - sent_s <= MAX_ORDER_DELAY_S]
