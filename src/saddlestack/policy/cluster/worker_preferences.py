"""When work had better go only to workers that have shown to be healthy, or that are warm.

Workers that fail all that they start, or on which work stands still, are noticed one by one; until
then they look like any other. Once several were noticed, others may be as faulty, and only a worker
whose runs have made progress since is known to be healthy.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator

from saddlestack.policy.cluster.jobs import TOP_PRIORITY, StepState
from saddlestack.policy.cluster.workers import Worker

FAULTY_WORKERS = 2
"""So many workers noticed as faulty within :data:`FAULTY_S` are no coincidence."""
FAULTY_S = 6.0
"""For so long after the latest of them others may be as faulty that were not noticed yet."""
HEALTHY_S = 6.0
"""A run that made progress within this time speaks for its worker while none are noticed..."""
NOTICED_S = 1.0
"""...and otherwise one that did so no longer than this before the first of them was: to notice one
takes two looks of 0.3 s at least, and 0.6 s without progress."""


Preference = Callable[[Worker], bool]
"""Whether a step would rather go to a worker."""


class WorkerPreferences:
    """Workers that were noticed as faulty in the last seconds, and those that are cold."""

    def __init__(self) -> None:
        self._faulty_s: dict[str, float] = {}
        self._cold: dict[Worker, None] = {}

    def preferences(self, step: StepState, now: float) -> Iterator[Preference]:
        """Which workers a step should go to if it fits there, the best first; none for any."""
        if self.is_due(step, now):
            yield lambda worker: self.is_healthy(worker, now)
        if step.occurrence.job.priority == TOP_PRIORITY and self._any_cold(now):
            yield lambda worker: not worker.is_cold(now)

    def note_cold(self, worker: Worker) -> None:
        """A worker is slow since it has just begun, or was given back."""
        self._cold[worker] = None

    def note_faulty(self, worker: Worker, now: float) -> None:
        """A run failed on a worker before it can have done any work, or stands still there."""
        self._forget(now)
        self._faulty_s.setdefault(worker.worker_id, now)

    def is_due(self, step: StepState, now: float) -> bool:
        """Whether a step should go to healthy workers, if it fits there.

        Urgent work while faulty workers are noticed; any work whose next failure is its last.
        """
        if step.step.long_running:
            return False
        if step.on_last_attempt:
            return True
        return step.occurrence.job.priority == TOP_PRIORITY and self._several_faulty(now)

    def is_healthy(self, worker: Worker, now: float) -> bool:
        """Whether a run has made progress, or ended well, on a worker lately."""
        since_s = now - HEALTHY_S
        if self._several_faulty(now):
            since_s = max(since_s, min(self._faulty_s.values()) - NOTICED_S)
        return worker.last_healthy_s is not None and worker.last_healthy_s > since_s

    def _any_cold(self, now: float) -> bool:
        for worker in [worker for worker in self._cold if not worker.is_cold(now)]:
            del self._cold[worker]
        return bool(self._cold)

    def _several_faulty(self, now: float) -> bool:
        self._forget(now)
        return len(self._faulty_s) >= FAULTY_WORKERS

    def _forget(self, now: float) -> None:
        """Forget all once none was noticed for a while."""
        if self._faulty_s and now - max(self._faulty_s.values()) > FAULTY_S:
            self._faulty_s.clear()
