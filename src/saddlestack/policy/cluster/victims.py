"""Properties of runs that decide whether and when they are stopped for the sake of other work."""

from __future__ import annotations

import enum
from collections.abc import Callable, Sequence

from saddlestack.policy.cluster.jobs import TOP_PRIORITY, Run, StepState
from saddlestack.policy.cluster.preemption import Preemption
from saddlestack.policy.cluster.progress import MIN_PERCENT, remaining_s
from saddlestack.policy.cluster.slack import NORMAL_PRIORITY

MAX_REPORT_AGE_S = 3.0
"""Progress that was reported longer ago does not tell when a run ends. Workers are polled at least
every 2 s."""


MayStop = Callable[[Run], bool]
"""Returns whether a run may be stopped."""
Members = Callable[[Run], Sequence[Run]]
"""Returns the runs that stop together with a run."""


class Harm(enum.IntEnum):
    """How much harm a stop does, apart from the work that it loses; less harm is preferred."""

    BULK = 0
    """Narrow or bulk work, which finds room again soon."""
    GANG = 1
    """A gang, which waits for many workers again, or urgent work."""
    LAST_RESORT = 2
    """A gang that was stopped for others before, or whose next failure fails its job."""


def harm_of(run: Run) -> Harm:
    """How much harm the stop of a run does."""
    step = run.task.step
    if run.stopping:
        return Harm.BULK
    if step.step.gang and (step.preemptions or step.on_last_attempt):
        return Harm.LAST_RESORT
    priority = step.occurrence.job.priority
    if priority == TOP_PRIORITY or (step.step.gang and priority <= NORMAL_PRIORITY):
        return Harm.GANG
    return Harm.BULK


def least_harmful(
    search: Callable[[MayStop], Preemption | None], may_stop: MayStop, step: StepState
) -> Preemption | None:
    """Search for the preemption that does the least harm, and among these for the cheapest.

    More harm is accepted for a place near the step's data, since work elsewhere takes up to three
    times as long.

    :param search: returns the cheapest preemption if only certain runs may be stopped.
    :param step: the step that room is searched for.
    """
    found = search(may_stop)
    if found is None:
        return None
    most = max((harm_of(run) for run in found.victims), default=Harm.BULK)
    for limit in Harm:
        if limit >= most:
            break
        milder = search(_limited(may_stop, limit))
        if milder is not None and _is_far(milder, step) <= _is_far(found, step):
            return milder
    return found


def _limited(may_stop: MayStop, limit: Harm) -> MayStop:
    return lambda run: harm_of(run) <= limit and may_stop(run)


def _is_far(found: Preemption, step: StepState) -> bool:
    near = step.step.data_rack
    return bool(near) and any(worker.record.rack != near for worker in found.places)


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


def is_reclaimable(run: Run) -> bool:
    """Whether a run can be preempted to return a loan, regardless of its step's other runs."""
    return not loses_work_if_stopped(run) and not run.task.step.step.may_miss


def loses_work_if_stopped(run: Run) -> bool:
    """Whether a run may not be repeated and has no checkpoint, so that stopping loses its work."""
    step = run.task.step.step
    return step.once and not (step.checkpoint and run.saved)
