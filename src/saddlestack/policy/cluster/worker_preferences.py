"""Which steps prefer workers that are known to be healthy, or warm.

Workers that fail every run, or on which runs get stuck, are detected one by one and look healthy
until then. Once several were detected, others may be faulty as well, and only a worker whose runs
have made progress since is known to be healthy.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator

from saddlestack.policy.cluster.jobs import TOP_PRIORITY, StepState
from saddlestack.policy.cluster.workers import Worker

FAULTY_WORKERS = 2
"""Number of workers detected as faulty, within :data:`FAULTY_WINDOW_S`, that is no coincidence."""
FAULTY_WINDOW_S = 6.0
"""How long after the latest detection other workers may be faulty that are not detected yet."""
HEALTHY_WINDOW_S = 6.0
"""A worker is healthy if a run made progress there within this time."""
DETECTION_TIME_S = 1.0
"""While several workers are faulty, a worker is healthy only if a run made progress there after the
first detection, or at most this long before it. It takes at least two polls of 0.3 s, and 0.6 s
without progress, to detect a faulty worker."""
PROOF_MARGIN_S = 0.3
"""While several workers are faulty, a worker has proved to be healthy only by a run that started
after the first detection, or at most this long before it: runs that started before the workers
turned faulty go on there. Detection takes two failures of 0.03 s and the rounds between them."""


Preference = Callable[[Worker], bool]
"""Whether a step prefers a worker."""


class WorkerPreferences:
    """Keeps the workers that were recently detected as faulty, and those that are cold."""

    def __init__(self) -> None:
        self._faulty_since: dict[str, float] = {}
        self._cold: dict[Worker, None] = {}

    def preferences(self, step: StepState, now: float) -> Iterator[Preference]:
        """Yield the preferences of a step, the strongest first; none if it prefers no worker."""
        if self.prefers_healthy(step, now):
            yield lambda worker: self.is_healthy(worker, now)
        if step.occurrence.job.priority == TOP_PRIORITY and self._has_cold(now):
            yield lambda worker: not worker.is_cold(now)

    def add_cold(self, worker: Worker) -> None:
        """Add a worker that is slow because it has just started or returned."""
        self._cold[worker] = None

    def add_faulty(self, worker: Worker, now: float) -> None:
        """Add a worker where a run failed before it can have done any work, or is stuck."""
        self._expire(now)
        self._faulty_since.setdefault(worker.worker_id, now)

    def prefers_healthy(self, step: StepState, now: float) -> bool:
        """Whether a step prefers healthy workers.

        Urgent work does while several workers are faulty; work whose next failure is its last
        always does, unless it is long-running.
        """
        if step.step.long_running:
            return False
        if step.on_last_attempt:
            return True
        return step.occurrence.job.priority == TOP_PRIORITY and self.has_several_faulty(now)

    def is_healthy(self, worker: Worker, now: float) -> bool:
        """Whether a run has recently made progress or succeeded on a worker."""
        since_s = now - HEALTHY_WINDOW_S
        if self.has_several_faulty(now):
            since_s = max(since_s, min(self._faulty_since.values()) - DETECTION_TIME_S)
        return worker.last_healthy_s is not None and worker.last_healthy_s > since_s

    def has_proved_healthy(self, worker: Worker, now: float) -> bool:
        """Whether a worker is healthy by a run that started when others were already faulty."""
        if not self.is_healthy(worker, now) or worker.proven_start_s is None:
            return False
        since_s = min(self._faulty_since.values(), default=-math.inf) - PROOF_MARGIN_S
        return worker.proven_start_s > since_s

    def has_several_faulty(self, now: float) -> bool:
        """Whether several workers were recently detected as faulty, so that others may be."""
        self._expire(now)
        return len(self._faulty_since) >= FAULTY_WORKERS

    def _has_cold(self, now: float) -> bool:
        for worker in [worker for worker in self._cold if not worker.is_cold(now)]:
            del self._cold[worker]
        return bool(self._cold)

    def _expire(self, now: float) -> None:
        """Clear the faulty workers once none was detected for a while."""
        if self._faulty_since and now - max(self._faulty_since.values()) > FAULTY_WINDOW_S:
            self._faulty_since.clear()
