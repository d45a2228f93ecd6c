"""Estimates the remaining time of runs, and detects urgent runs that are stuck.

A worker may answer every call although a run on it makes no progress, so only reported progress
counts. The expected speed of a run is not used: estimates are off by a factor of up to ten, and a
check against them stopped healthy urgent work on a day without faults.
"""

from __future__ import annotations

from collections.abc import Sequence

from saddlestack.policy.cluster.jobs import TOP_PRIORITY, Run
from saddlestack.policy.cluster.workers import Worker

MIN_PERCENT = 3
"""Progress below this is not used to estimate the remaining time of a run."""
MIN_STUCK_S = 0.6
"""Minimum time without progress after which a run counts as stuck: three polls, one every
:data:`PROGRESS_POLL_S`, have to agree."""
STUCK_SHARE = 0.15
"""The same as a share of the estimate on that worker, if that is longer. A healthy worker makes
several percent of progress in that time."""
RESUME_GRACE_S = 1.0
"""A run that resumes from a checkpoint takes up to this long before it makes progress."""
NEARLY_DONE_PERCENT = 99
"""From this percentage on a run never counts as stuck. Members of a gang end together, so one that
has finished its own part waits for the others at this percentage."""
MAX_MOVES = 2
"""Maximum number of times that a step is restarted because it was stuck. An estimate may be wrong,
and then each restart only loses work."""
PROGRESS_POLL_S = 0.3
"""Interval at which a worker with urgent work is polled."""


def remaining_s(run: Run, now: float) -> float:
    """Remaining seconds of a run, estimated from its progress.

    Without enough progress it is the step's estimate, scaled by the time factor of the worker.
    """
    since = run.started_s if run.started_s is not None else run.assigned_s
    if run.percent >= MIN_PERCENT:
        done_s = max(0.0, run.reported_s - since)
        left_s = done_s * (100 - run.percent) / run.percent
        return max(0.0, left_s - (now - run.reported_s))
    estimate_s = run.task.step.step.estimate_ms / 1000 * run.time_factor
    return max(0.0, estimate_s - (now - since))


def needs_progress_polls(worker: Worker) -> bool:
    """Whether urgent work runs on a worker, so that its progress has to be polled often."""
    held = worker.held.get(TOP_PRIORITY)
    return held is not None and any(_is_urgent(run) for run in worker.runs.values())


def is_stuck(run: Run, members: Sequence[Run], now: float) -> bool:
    """Whether an urgent run should be stopped and restarted elsewhere.

    This is the case once it has made no progress for as long as the work took that a stop would
    lose. Waiting that long loses at most twice as much as the better of the two choices, to stop at
    once or not at all, would have lost.

    :param members: all runs that work together with the run, including itself.
    """
    step = run.task.step
    if not _is_urgent(run) or run.stopping or run.percent >= NEARLY_DONE_PERCENT:
        return False
    began_s = gang_started_s(members)
    if began_s is None or run.progressed_s is None or step.moves >= MAX_MOVES:
        return False
    since_s = max(began_s, run.progressed_s)
    estimate_s = step.step.estimate_ms / 1000 * run.time_factor
    limit_s = max(MIN_STUCK_S, STUCK_SHARE * estimate_s)
    if run.task.record.saved:
        limit_s += RESUME_GRACE_S
    return now - since_s >= max(limit_s, since_s - began_s)


def _is_urgent(run: Run) -> bool:
    step = run.task.step
    return step.occurrence.job.priority == TOP_PRIORITY and not step.step.long_running


def gang_started_s(members: Sequence[Run]) -> float | None:
    """When the last member was started, so that all could work; ``None`` before that."""
    began_s = 0.0
    for member in members:
        if member.started_s is None:
            return None
        began_s = max(began_s, member.started_s)
    return began_s
