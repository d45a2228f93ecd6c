"""How long the tasks of a step work on a usual worker, from ended runs of the same queue."""

from __future__ import annotations

import math
from collections import deque

from saddlestack.policy.cluster.jobs import StepState

MAX_KEPT = 32
"""Ended runs kept per queue and step number, the latest ones."""
ESTIMATE_RANGE = 3.0
"""An estimate counts within this factor of the median of its queue: it may be off by ten."""


class _Durations:
    """The logarithms of recent durations, and their median."""

    __slots__ = ("_kept", "_median")

    def __init__(self) -> None:
        self._kept: deque[float] = deque(maxlen=MAX_KEPT)
        self._median: float | None = None

    def add(self, log_duration: float) -> None:
        self._kept.append(log_duration)
        self._median = None

    @property
    def median_s(self) -> float:
        """The median in seconds."""
        if self._median is None:
            order = sorted(self._kept)
            self._median = math.exp(order[len(order) // 2])
        return self._median


class TypicalWork:
    """Durations of ended runs on a usual worker, by queue and step number."""

    def __init__(self) -> None:
        self._steps: dict[tuple[str, int], _Durations] = {}
        self._queues: dict[str, _Durations] = {}

    def add(self, step: StepState, log_duration: float) -> None:
        """Add an ended run.

        :param log_duration: logarithm of its seconds, divided by the factor of its worker.
        """
        queue = step.occurrence.job.accepted.queue
        found = self._steps.get((queue, step.number))
        if found is None:
            found = self._steps[queue, step.number] = _Durations()
            self._queues.setdefault(queue, _Durations())
        found.add(log_duration)
        self._queues[queue].add(log_duration)

    def seconds(self, step: StepState) -> float | None:
        """Seconds of work of a task of a step, or ``None`` if unknown."""
        queue = step.occurrence.job.accepted.queue
        found = self._steps.get((queue, step.number))
        if found is not None:
            return found.median_s
        whole = self._queues.get(queue)
        if whole is None or not step.step.estimate_ms:
            return None
        estimate_s = step.step.estimate_ms / 1000
        median_s = whole.median_s
        return min(max(estimate_s, median_s / ESTIMATE_RANGE), median_s * ESTIMATE_RANGE)
