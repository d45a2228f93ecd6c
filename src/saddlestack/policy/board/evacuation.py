"""Which runs leave a worker before it does, so that no more of their work is lost than must be."""

from __future__ import annotations

from collections.abc import Iterable

from saddlestack.policy.board.jobs import Run
from saddlestack.policy.board.workers import Worker

STOP_MARGIN_S = 1.2
"""A stop is ordered at least this long before the worker leaves, so that it is heard of."""
LEAST_PERCENT = 3
"""Progress below this says nothing about how long a run still takes."""


def leaving(workers: Iterable[Worker], now: float) -> list[Run]:
    """Runs on leaving workers that would not end before the worker does."""
    found: list[Run] = []
    for worker in workers:
        if worker.leaves_s is None:
            continue
        left = worker.leaves_s - now
        found += [run for run in worker.runs.values() if _too_long(run, left, now)]
    return found


def _too_long(run: Run, left: float, now: float) -> bool:
    if run.stopping:
        return False
    return left < STOP_MARGIN_S or _remaining(run, now) > left - STOP_MARGIN_S


def _remaining(run: Run, now: float) -> float:
    """Seconds that a run still takes, as far as its progress and its estimate tell."""
    since = run.started_s if run.started_s is not None else run.assigned_s
    if run.percent >= LEAST_PERCENT:
        done_s = max(0.0, run.reported_s - since)
        left_s = done_s * (100 - run.percent) / run.percent
        return max(0.0, left_s - (now - run.reported_s))
    return max(0.0, run.task.step.step.estimate_ms / 1000 - (now - since))
