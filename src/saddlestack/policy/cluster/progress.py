"""How long runs still take, and which urgent ones stand still and had better begin anew.

A worker may answer every call while what runs on it does not move; only the progress that it
reports tells. How fast a run should be is not judged: estimates are off by up to ten times, and to
go by them stopped sound urgent work on a calm day.
"""

from __future__ import annotations

from collections.abc import Sequence

from saddlestack.policy.cluster.jobs import TOP_PRIORITY, Run
from saddlestack.policy.cluster.workers import Worker

LEAST_PERCENT = 3
"""Progress below this says nothing about how long a run still takes."""
MIN_STALL_S = 0.6
"""Reports at least this far apart have to agree: three looks of :data:`PROGRESS_POLL_S`..."""
STILL_SHARE = 0.15
"""...or this share of the estimate apart, in which a sound worker does several percent."""
RESUMING_S = 1.0
"""A run that resumes from a checkpoint takes up to this long before it moves."""
NEARLY_DONE_PERCENT = 99
"""Members of a gang end together: one that is done with its own part waits there."""
MAX_MOVES = 2
"""So often a step is begun again for this: an estimate may be wrong, and then each move is lost."""
PROGRESS_POLL_S = 0.3
"""How often a worker is looked at on which urgent work runs."""


def remaining_s(run: Run, now: float) -> float:
    """Seconds that a run still takes, as far as its progress and its estimate tell."""
    since = run.started_s if run.started_s is not None else run.assigned_s
    if run.percent >= LEAST_PERCENT:
        done_s = max(0.0, run.reported_s - since)
        left_s = done_s * (100 - run.percent) / run.percent
        return max(0.0, left_s - (now - run.reported_s))
    return max(0.0, run.task.step.step.estimate_ms / 1000 - (now - since))


def needs_progress_polls(worker: Worker) -> bool:
    """Whether urgent work runs on a worker, so that its progress is asked for often."""
    held = worker.held.get(TOP_PRIORITY)
    return held is not None and any(_is_urgent(run) for run in worker.runs.values())


def is_stuck(run: Run, members: Sequence[Run], now: float) -> bool:
    """Whether an urgent run had better be stopped and begun again elsewhere.

    It has not moved for as long as the work is worth that a stop would lose: to wait that long
    loses at most twice what the better of the two choices would have lost.

    :param members: all runs that work together, this one among them.
    """
    step = run.task.step
    if not _is_urgent(run) or run.stopping or run.percent >= NEARLY_DONE_PERCENT:
        return False
    begun_s = _begun_s(members)
    if begun_s is None or run.progressed_s is None or step.moves >= MAX_MOVES:
        return False
    since_s = max(begun_s, run.progressed_s)
    patience_s = max(MIN_STALL_S, STILL_SHARE * step.step.estimate_ms / 1000)
    if run.task.record.saved:
        patience_s += RESUMING_S
    return now - since_s >= max(patience_s, since_s - begun_s)


def _is_urgent(run: Run) -> bool:
    step = run.task.step
    return step.occurrence.job.priority == TOP_PRIORITY and not step.step.long_running


def _begun_s(members: Sequence[Run]) -> float | None:
    """When the last member was there, so that all could work; ``None`` before that."""
    begun_s = 0.0
    for member in members:
        if member.started_s is None:
            return None
        begun_s = max(begun_s, member.started_s)
    return begun_s
