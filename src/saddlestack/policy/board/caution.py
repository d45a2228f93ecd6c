"""When work had better go only where other work has ended well lately.

Workers that fail all that they start are always free, so much goes there before each is known.
Where several have shown it, the rest are still among those that nothing has ended on.
"""

from __future__ import annotations

from saddlestack.policy.board.jobs import StepState
from saddlestack.policy.board.waiting import TOP_PRIORITY
from saddlestack.policy.board.workers import Worker

WAVE_WORKERS = 2
"""So many workers that fail at once within :data:`WAVE_S` are no coincidence."""
WAVE_S = 6.0
"""For so long after them others may fail that have not shown it yet."""
PROVED_S = 6.0
"""A run that ended well within this time speaks for its worker."""


class Caution:
    """Failures at once of the last seconds."""

    def __init__(self) -> None:
        self._failed_s: dict[str, float] = {}

    def failed_at_once(self, worker: Worker, now: float) -> None:
        """A run failed on a worker before it can have done any work."""
        self._failed_s[worker.worker_id] = now

    def is_due(self, step: StepState, now: float) -> bool:
        """Whether a step should go where work has ended well lately, if it fits there.

        Urgent work while workers fail at once; any work whose next failure would be its last.
        """
        if step.step.long_running:
            return False
        if step.failures and step.failures + 1 >= step.occurrence.job.accepted.attempts:
            return True
        return step.occurrence.job.priority == TOP_PRIORITY and self._is_wave(now)

    def _is_wave(self, now: float) -> bool:
        for worker_id in [w for w, at_s in self._failed_s.items() if now - at_s > WAVE_S]:
            del self._failed_s[worker_id]
        return len(self._failed_s) >= WAVE_WORKERS


def has_proved(worker: Worker, now: float) -> bool:
    """Whether a run has ended well on a worker lately."""
    return worker.proved_s is not None and now - worker.proved_s < PROVED_S
