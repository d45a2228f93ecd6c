"""Steps on their last attempt that wait for healthy workers while several workers are faulty.

Faulty workers that are not detected yet are always free, since they fail what they start at once.
A step with one attempt left would go there whenever the healthy workers are busy, and its job would
fail. It waits for a bounded time instead, since room on healthy workers becomes free, and workers
prove to be healthy as soon as a run makes progress there.
"""

from __future__ import annotations

import math
from collections.abc import Collection

from saddlestack.policy.cluster.jobs import TOP_PRIORITY, StepState
from saddlestack.policy.cluster.speed_limits import ENTITLED_WAIT_S
from saddlestack.policy.cluster.waiting import is_waiting
from saddlestack.policy.cluster.worker_preferences import Preference, WorkerPreferences
from saddlestack.policy.cluster.workers import Worker

MAX_PRIORITY = TOP_PRIORITY + 1
"""Urgent and normal work waits. Bulk work is worth the least, and there is the most of it."""


class LastAttempts:
    """Decides which steps wait for healthy workers, and for how long.

    :param max_wait_s: maximum wait in seconds; with 0 no step waits.
    :param worker_preferences: knows which workers are healthy.
    """

    def __init__(self, max_wait_s: float, worker_preferences: WorkerPreferences) -> None:
        self._max_wait_s = max_wait_s
        self._worker_preferences = worker_preferences
        self._entitled: Collection[str] = frozenset()
        self._next_end_s: float | None = None
        self._waited = 0

    @property
    def next_end_s(self) -> float | None:
        """When the first of the waits of the last round ends; ``None`` if no step waits."""
        return self._next_end_s

    def begin_round(self, entitled: Collection[str]) -> None:
        """Set what the waits of a planning round depend on.

        :param entitled: ids of top-priority jobs that are within their account's guarantee.
        """
        self._entitled = entitled
        self._next_end_s = None

    def awaits_healthy(self, step: StepState, now: float) -> bool:
        """Whether a step may be placed on healthy workers only."""
        if not self._max_wait_s or step.occurrence.job.priority > MAX_PRIORITY:
            return False
        if not _is_last_attempt_waiting(step):
            return False
        return now < self.until_s(step) and self._worker_preferences.has_several_faulty(now)

    def until_s(self, step: StepState) -> float:
        """When a step may be placed on any worker again, on the monotonic clock.

        In the past for a step that does not stall.
        """
        if step.stalled_since_s is None:
            return -math.inf
        is_entitled = step.occurrence.job.job_id in self._entitled
        limit_s = ENTITLED_WAIT_S if is_entitled else math.inf
        return step.stalled_since_s + min(self._max_wait_s, limit_s)

    def healthy(self, now: float) -> Preference:
        """Test for workers that have proved to be healthy since others turned faulty."""

        def has_proved_healthy(worker: Worker) -> bool:
            return self._worker_preferences.has_proved_healthy(worker, now)

        return has_proved_healthy

    def note_waiting(self, step: StepState) -> None:
        """Record that a step waits because it did not fit on healthy workers."""
        end_s = self.until_s(step)
        if self._next_end_s is None or end_s < self._next_end_s:
            self._next_end_s = end_s
        if not step.awaited_healthy:
            step.awaited_healthy = True
            self._waited += 1

    def take_waited(self) -> int:
        """Return the number of steps that have begun to wait since the last call."""
        waited, self._waited = self._waited, 0
        return waited


def _is_last_attempt_waiting(step: StepState) -> bool:
    """Whether a gang, or a waiting task of another step, has one attempt left."""
    if not step.on_last_attempt:
        return False
    if step.step.gang:
        return True
    attempts = step.occurrence.job.accepted.attempts
    return any(is_waiting(task) and task.record.failures + 1 >= attempts for task in step.tasks)
