"""Whether urgent jobs got what their client accounts own, in time."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from saddlestack.soak.runs import RunHistory, RunRecord
from saddlestack.work import JobRequest


@dataclass(frozen=True, slots=True)
class UrgentJob:
    """A job of priority 0 of an account.

    :param submitted_s: when its client first sent it...
    :param accepted_s: ...and when that was answered with success; ``None`` where it was not.
    :param over: whether it was told to be completed, failed or cancelled.
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
        """Accelerators that its steps need, if all are at work."""
        return sum(step.count * step.needs.accelerators for step in self.request.steps)


@dataclass(frozen=True, slots=True)
class MissedReclaim:
    """An urgent job that waited for what its account owns.

    :param bound_s: when all tasks of its first step should have begun.
    :param begun: tasks of its first step that had begun by then.
    :param needed: accelerators that the account's urgent jobs needed.
    """

    job: UrgentJob
    bound_s: float
    begun: int
    needed: int


def missed_reclaims(
    book: RunHistory,
    jobs: Sequence[UrgentJob],
    guaranteed: Mapping[str, int],
    reclaim_s: float,
    is_fault_free: Callable[[float], bool],
) -> Iterator[MissedReclaim]:
    """Jobs that had not begun in time though their account owns as much as its jobs needed.

    :param guaranteed: accelerators that each account owns.
    :param reclaim_s: from a job's acceptance to the beginning of all tasks of its first step.
    :param is_fault_free: whether no fault was near some time.
    """
    runs = _runs_of(book.runs, jobs)
    effective_end_s = {job.job_id: _over_s(job, runs[job.job_id]) for job in jobs}
    for job in jobs:
        if job.accepted_s is None or job.cancel_sent:
            continue
        bound_s = job.accepted_s + reclaim_s
        if not (is_fault_free(job.accepted_s) and is_fault_free(bound_s)):
            continue
        begun = _begun(runs[job.job_id], bound_s)
        needed = _needed(job, jobs, effective_end_s, bound_s)
        if begun < job.request.steps[0].count and needed <= guaranteed.get(job.account, 0):
            yield MissedReclaim(job, bound_s, begun, needed)


def _runs_of(runs: Iterable[RunRecord], jobs: Sequence[UrgentJob]) -> dict[str, list[RunRecord]]:
    found: dict[str, list[RunRecord]] = {job.job_id: [] for job in jobs}
    for run in runs:
        if run.task.job_id in found:
            found[run.task.job_id].append(run)
    return found


def _begun(runs: Iterable[RunRecord], by_s: float) -> int:
    return len({run.task for run in runs if run.task.step == 0 and run.began_s <= by_s})


def _needed(
    job: UrgentJob, jobs: Sequence[UrgentJob], effective_end_s: Mapping[str, float], bound_s: float
) -> int:
    """What the account's urgent jobs needed that were there while the job waited."""
    assert job.accepted_s is not None
    return sum(
        other.needs
        for other in jobs
        if other.account == job.account
        and other.submitted_s <= bound_s
        and effective_end_s[other.job_id] >= job.accepted_s
    )


def _over_s(job: UrgentJob, runs: Sequence[RunRecord]) -> float:
    """When a job was over: with its last run, or not at all."""
    if not job.over:
        return math.inf
    return max((run.effective_end_s for run in runs), default=math.inf)
