"""How fast work that fills leftovers may go beside work that serves.

A serving task tells the tail of its answers' times; while one on a worker is over its target,
everything that fills there is slowed at once, and let go again step by step when all tails
have stayed well below their targets.
"""

from __future__ import annotations

from dataclasses import dataclass

from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.workers import Worker

FULL = 100
FIRST_CUT = 30
CALM_SHARE = 0.75
"""A tail is calm below this share of its target."""
CALM_S = 2.5
RAISE_PERCENT = 20


@dataclass(frozen=True, slots=True)
class Pace:
    """A run is to work at a share of its full speed."""

    run: Run
    percent: int


def adjust_pace(worker: Worker, now: float) -> list[Pace]:
    """What follows from a worker's latest report."""
    serving = [run for run in worker.runs.values() if _serves(run)]
    filling = [run for run in worker.runs.values() if run.task.step.step.fills]
    if not serving or not filling:
        return _free(filling)
    if any(run.figure > run.task.step.step.target_ms for run in serving):
        worker.calm_since_s = None
        return [_set(run, _cut(run.pace)) for run in filling if run.pace]
    if any(run.figure > CALM_SHARE * run.task.step.step.target_ms for run in serving):
        worker.calm_since_s = None
        return []
    if worker.calm_since_s is None:
        worker.calm_since_s = now
    if now - worker.calm_since_s < CALM_S:
        return []
    worker.calm_since_s = now
    return [_set(run, min(FULL, run.pace + RAISE_PERCENT)) for run in filling if run.pace < FULL]


def needs_latency_polls(worker: Worker) -> bool:
    """Whether serving and filling work meet on a worker, so that it is looked at often."""
    runs = worker.runs.values()
    return any(_serves(run) for run in runs) and any(run.task.step.step.fills for run in runs)


def _serves(run: Run) -> bool:
    return run.task.step.step.target_ms > 0


def _cut(percent: int) -> int:
    return FIRST_CUT if percent > FIRST_CUT else 0


def _free(filling: list[Run]) -> list[Pace]:
    return [_set(run, FULL) for run in filling if run.pace < FULL]


def _set(run: Run, percent: int) -> Pace:
    run.pace = percent
    return Pace(run, percent)
