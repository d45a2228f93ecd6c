"""Throttles filler work that shares a worker with serving work.

A serving task reports the tail latency of its answers. While one on a worker exceeds its target,
all filler runs there are slowed down at once. They are sped up again in steps once all tail
latencies have stayed well below their targets for a while.
"""

from __future__ import annotations

from dataclasses import dataclass

from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.workers import Worker

FULL_PERCENT = 100
FIRST_CUT_PERCENT = 30
CALM_SHARE = 0.75
"""A tail latency counts as calm below this share of its target."""
CALM_DURATION_S = 2.5
RAISE_PERCENT = 20


@dataclass(frozen=True, slots=True)
class Pace:
    """An order to a run to work at a percentage of its full speed."""

    run: Run
    percent: int


def adjust_pace(worker: Worker, now: float) -> list[Pace]:
    """Set the paces of the filler runs on a worker from its latest report; returns the changes."""
    serving = [run for run in worker.runs.values() if _is_serving(run)]
    fillers = [run for run in worker.runs.values() if run.task.step.step.fills]
    if not serving or not fillers:
        return _restore_full_pace(fillers)
    if any(run.figure > run.task.step.step.target_ms for run in serving):
        worker.calm_since_s = None
        return [_set_pace(run, _reduced_pace(run.pace)) for run in fillers if run.pace]
    if any(run.figure > CALM_SHARE * run.task.step.step.target_ms for run in serving):
        worker.calm_since_s = None
        return []
    if worker.calm_since_s is None:
        worker.calm_since_s = now
    if now - worker.calm_since_s < CALM_DURATION_S:
        return []
    worker.calm_since_s = now
    return [
        _set_pace(run, min(FULL_PERCENT, run.pace + RAISE_PERCENT))
        for run in fillers
        if run.pace < FULL_PERCENT
    ]


def needs_latency_polls(worker: Worker) -> bool:
    """Whether a worker runs both serving and filler work, so that it has to be polled often."""
    runs = worker.runs.values()
    return any(_is_serving(run) for run in runs) and any(run.task.step.step.fills for run in runs)


def _is_serving(run: Run) -> bool:
    return run.task.step.step.target_ms > 0


def _reduced_pace(percent: int) -> int:
    return FIRST_CUT_PERCENT if percent > FIRST_CUT_PERCENT else 0


def _restore_full_pace(fillers: list[Run]) -> list[Pace]:
    return [_set_pace(run, FULL_PERCENT) for run in fillers if run.pace < FULL_PERCENT]


def _set_pace(run: Run, percent: int) -> Pace:
    run.pace = percent
    return Pace(run, percent)
