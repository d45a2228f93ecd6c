"""When each step of a job is to be run, by what workers and clients saw."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from saddlestack.interfaces.workers import EndKind
from saddlestack.soak.runs import RunRecord
from saddlestack.work import JobRequest, Step


@dataclass(frozen=True, slots=True)
class AcceptedRequest:
    """A job that was accepted, as its client knows it. Times are of the monotonic clock.

    :param accepted_s: when its client was told.
    :param attempts: failed runs after which a task fails the job.
    :param closed_s: when its client was told that it is over, or asked for its cancelling;
        infinite where neither came.
    """

    job_id: str
    request: JobRequest
    accepted_s: float
    attempts: int
    closed_s: float = math.inf


@dataclass(frozen=True, slots=True)
class RunnablePeriod:
    """A step of one occurrence of a job, from when it may run to when it needs to no more."""

    job_id: str
    step: Step
    began_s: float
    ended_s: float


def runnable_periods(
    work: AcceptedRequest, runs: Sequence[RunRecord], epoch_s: float
) -> list[RunnablePeriod]:
    """The turns of all steps of a job.

    A run that ended as done counts where a VM has noted that: one that was never noted has to run
    again.

    :param runs: all runs of the job.
    :param epoch_s: 1970 on the monotonic clock.
    """
    done = _done_s(work.request, runs)
    effective_end_s = min(work.closed_s, _failed_s(work, runs))
    found = []
    for occurrence in range(work.request.occurrences):
        due_ms = work.request.due_ms(occurrence)
        due_s = epoch_s + due_ms / 1000 if due_ms else work.accepted_s
        for number, step in enumerate(work.request.steps):
            needed_s = [done.get((occurrence, each), math.inf) for each in step.after]
            began_s = max(work.accepted_s, due_s, *needed_s)
            ended_s = min(effective_end_s, done.get((occurrence, number), math.inf))
            if began_s < ended_s:
                found.append(RunnablePeriod(work.job_id, step, began_s, ended_s))
    return found


def _done_s(request: JobRequest, runs: Iterable[RunRecord]) -> Mapping[tuple[int, int], float]:
    """When each step was done: of a gang, one end stands for all."""
    ends: dict[tuple[int, int], dict[int, float]] = defaultdict(dict)
    for run in runs:
        if run.is_done and run.is_acknowledged:
            tasks = ends[run.task.occurrence, run.task.step]
            tasks[run.task.index] = min(run.ended_s, tasks.get(run.task.index, math.inf))
    found = {}
    for key, tasks in ends.items():
        step = request.steps[key[1]]
        if step.gang:
            found[key] = min(tasks.values())
        elif len(tasks) >= step.count:
            found[key] = max(tasks.values())
    return found


def _failed_s(work: AcceptedRequest, runs: Iterable[RunRecord]) -> float:
    """When a task, or a gang, had failed as often as it may."""
    failed: dict[object, dict[int, float]] = defaultdict(dict)
    for run in runs:
        if run.how is EndKind.FAILED and run.is_acknowledged:
            is_gang = work.request.steps[run.task.step].gang
            ends = failed[run.step if is_gang else run.task]
            ends[run.number] = min(run.ended_s, ends.get(run.number, math.inf))
    attempts = work.attempts
    return min(
        (sorted(ends.values())[attempts - 1] for ends in failed.values() if len(ends) >= attempts),
        default=math.inf,
    )
