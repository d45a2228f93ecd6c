"""Properties of runs that decide whether and when they are stopped for the sake of other work."""

from __future__ import annotations

from collections.abc import Sequence

from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.progress import MIN_PERCENT, remaining_s

MAX_REPORT_AGE_S = 3.0
"""Progress that was reported longer ago does not tell when a run ends. Workers are polled at least
every 2 s."""


def count_preemption(members: Sequence[Run]) -> None:
    """Count the stop of some runs that stop together, unless it was ordered before.

    :param members: the runs of a gang, or one run.
    """
    fresh = [run for run in members if not run.stopping]
    for run in fresh:
        run.task.preemptions += 1
    if fresh:
        fresh[0].task.step.preemptions += 1


def ends_within(members: Sequence[Run], seconds: float, now: float) -> bool:
    """Whether runs that stop together are about to end by themselves, by their own progress.

    Estimates alone do not count, since they are off by a factor of up to ten.
    """
    return all(_ends_within(run, seconds, now) for run in members)


def _ends_within(run: Run, seconds: float, now: float) -> bool:
    if run.task.step.step.long_running or run.percent < MIN_PERCENT:
        return False
    return now - run.reported_s <= MAX_REPORT_AGE_S and remaining_s(run, now) <= seconds
