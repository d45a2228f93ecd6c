"""Computes when each step of a job could run, from what workers and clients recorded."""

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
    """An accepted job as its client knows it. Times are on the monotonic clock.

    :param accepted_s: when the client received the acceptance.
    :param attempts: failed runs after which a task fails the job.
    :param closed_s: when the client received a final state or sent a cancel; infinite if neither
        happened.
    """

    job_id: str
    request: JobRequest
    accepted_s: float
    attempts: int
    closed_s: float = math.inf


@dataclass(frozen=True, slots=True)
class RunnablePeriod:
    """A step of one occurrence of a job, from when it may run until it no longer has to."""

    job_id: str
    step: Step
    began_s: float
    ended_s: float


def runnable_periods(
    accepted: AcceptedRequest, runs: Sequence[RunRecord], epoch_s: float
) -> list[RunnablePeriod]:
    """Return the runnable periods of all steps of a job.

    A done run counts only if a VM acknowledged its end; otherwise the task has to run again. The
    end of the last work on a worker is acknowledged with the next order, which may be after its
    lease has expired.

    :param runs: all runs of the job.
    :param epoch_s: the Unix epoch on the monotonic clock.
    """
    done = _done_times(accepted.request, runs)
    over_s = min(accepted.closed_s, _failure_time(accepted, runs))
    found = []
    for occurrence in range(accepted.request.occurrences):
        due_ms = accepted.request.due_ms(occurrence)
        due_s = epoch_s + due_ms / 1000 if due_ms else accepted.accepted_s
        for number, step in enumerate(accepted.request.steps):
            needed_s = [done.get((occurrence, each), math.inf) for each in step.after]
            began_s = max(accepted.accepted_s, due_s, *needed_s)
            ended_s = min(over_s, done.get((occurrence, number), math.inf))
            if began_s < ended_s:
                found.append(RunnablePeriod(accepted.job_id, step, began_s, ended_s))
    return found


def _done_times(request: JobRequest, runs: Iterable[RunRecord]) -> Mapping[tuple[int, int], float]:
    """When each step was done; for a gang, one end stands for all."""
    ends: dict[tuple[int, int], dict[int, float]] = defaultdict(dict)
    for run in runs:
        if run.is_done and run.acknowledged_s is not None:
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


def _failure_time(accepted: AcceptedRequest, runs: Iterable[RunRecord]) -> float:
    """When a task or a gang had used up its attempts; infinite if none had."""
    failed: dict[object, dict[int, float]] = defaultdict(dict)
    for run in runs:
        if run.how is EndKind.FAILED and run.is_acknowledged:
            is_gang = accepted.request.steps[run.task.step].gang
            ends = failed[run.step if is_gang else run.task]
            ends[run.number] = min(run.ended_s, ends.get(run.number, math.inf))
    attempts = accepted.attempts
    return min(
        (sorted(ends.values())[attempts - 1] for ends in failed.values() if len(ends) >= attempts),
        default=math.inf,
    )
