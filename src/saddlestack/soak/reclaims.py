"""Finds urgent jobs that did not get the accelerators of their account's guarantee in time."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from saddlestack.soak.runs import RunHistory, RunRecord
from saddlestack.work import JobRequest


@dataclass(frozen=True, slots=True)
class UrgentJob:
    """A job of priority 0, which its account's guarantee covers.

    :param submitted_s: when its client first submitted it.
    :param accepted_s: when a submission succeeded; ``None`` if none did.
    :param over: whether its client received a final state.
    """

    job_id: str
    account: str
    request: JobRequest
    submitted_s: float
    accepted_s: float | None
    cancel_sent: bool
    over: bool

    @property
    def needs(self) -> int:
        """The accelerators that its steps need if all of them run."""
        return sum(step.count * step.needs.accelerators for step in self.request.steps)


@dataclass(frozen=True, slots=True)
class MissedReclaim:
    """An urgent job that waited although its account's guarantee sufficed.

    :param bound_s: the deadline for all tasks of its first step to begin.
    :param begun: tasks of its first step that had begun by then.
    :param needed: accelerators that the account's urgent jobs needed.
    """

    job: UrgentJob
    bound_s: float
    begun: int
    needed: int


def missed_reclaims(
    history: RunHistory,
    jobs: Sequence[UrgentJob],
    guaranteed: Mapping[str, int],
    reclaim_s: float,
    is_fault_free: Callable[[float], bool],
) -> Iterator[MissedReclaim]:
    """Find jobs that had not begun in time although their account's guarantee covered its jobs.

    :param guaranteed: the accelerators that each account is guaranteed.
    :param reclaim_s: the maximum time from a job's acceptance until all tasks of its first step
        have begun.
    :param is_fault_free: whether no fault was near a time.
    """
    runs = _runs_by_job(history.runs, jobs)
    end_s = {job.job_id: _job_end_s(job, runs[job.job_id]) for job in jobs}
    for job in jobs:
        if job.accepted_s is None or job.cancel_sent:
            continue
        bound_s = job.accepted_s + reclaim_s
        if not (is_fault_free(job.accepted_s) and is_fault_free(bound_s)):
            continue
        begun = _count_begun(runs[job.job_id], bound_s)
        needed = _needed_accelerators(job, jobs, end_s, bound_s)
        if begun < job.request.steps[0].count and needed <= guaranteed.get(job.account, 0):
            yield MissedReclaim(job, bound_s, begun, needed)


def _runs_by_job(
    runs: Iterable[RunRecord], jobs: Sequence[UrgentJob]
) -> dict[str, list[RunRecord]]:
    found: dict[str, list[RunRecord]] = {job.job_id: [] for job in jobs}
    for run in runs:
        if run.task.job_id in found:
            found[run.task.job_id].append(run)
    return found


def _count_begun(runs: Iterable[RunRecord], by_s: float) -> int:
    return len({run.task for run in runs if run.task.step == 0 and run.began_s <= by_s})


def _needed_accelerators(
    job: UrgentJob, jobs: Sequence[UrgentJob], end_s: Mapping[str, float], bound_s: float
) -> int:
    """The accelerators that the account's urgent jobs needed while the job waited."""
    assert job.accepted_s is not None
    return sum(
        other.needs
        for other in jobs
        if other.account == job.account
        and other.submitted_s <= bound_s
        and end_s[other.job_id] >= job.accepted_s
    )


def _job_end_s(job: UrgentJob, runs: Sequence[RunRecord]) -> float:
    """When a job ended: with its last run; infinite if it is not over or never ran."""
    if not job.over:
        return math.inf
    return max((run.effective_end_s for run in runs), default=math.inf)
