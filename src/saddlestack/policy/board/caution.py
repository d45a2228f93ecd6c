"""When work had better go only where other work gets on.

Workers that fail all that they start, or on which it stands still, are found out one by one; until
then they look like any other. Where several have shown it, the rest are still among those on which
nothing has moved since.
"""

from __future__ import annotations

from saddlestack.policy.board.jobs import StepState
from saddlestack.policy.board.waiting import TOP_PRIORITY
from saddlestack.policy.board.workers import Worker

WAVE_WORKERS = 2
"""So many workers found out within :data:`WAVE_S` are no coincidence."""
WAVE_S = 6.0
"""For so long after the latest of them others may be as bad that have not shown it yet."""
PROVED_S = 6.0
"""A run that got on within this time speaks for its worker where no others were found out..."""
NOTICED_S = 1.0
"""...and where they were, one that got on no longer than this before the first of them: to find a
worker out takes 0.3 to 1.0 s."""


class Caution:
    """Workers that were found out in the last seconds."""

    def __init__(self) -> None:
        self._found_s: dict[str, float] = {}

    def found_out(self, worker: Worker, now: float) -> None:
        """A run failed on a worker before it can have done any work, or stands still there."""
        self._forget(now)
        self._found_s.setdefault(worker.worker_id, now)

    def is_due(self, step: StepState, now: float) -> bool:
        """Whether a step should go where work gets on, if it fits there.

        Urgent work while workers are found out; any work whose next failure would be its last.
        """
        if step.step.long_running:
            return False
        if step.failures and step.failures + 1 >= step.occurrence.job.accepted.attempts:
            return True
        return step.occurrence.job.priority == TOP_PRIORITY and self._is_wave(now)

    def has_proved(self, worker: Worker, now: float) -> bool:
        """Whether a run has got on, or ended well, on a worker lately."""
        since_s = now - PROVED_S
        if self._is_wave(now):
            since_s = max(since_s, min(self._found_s.values()) - NOTICED_S)
        return worker.proved_s is not None and worker.proved_s > since_s

    def _is_wave(self, now: float) -> bool:
        self._forget(now)
        return len(self._found_s) >= WAVE_WORKERS

    def _forget(self, now: float) -> None:
        """Forget all once none was found out for a while."""
        if self._found_s and now - max(self._found_s.values()) > WAVE_S:
            self._found_s.clear()
