"""Who is charged with a failed run: the worker where it failed, or the job whose run it was.

Workers that fail all that they start have to be found at the first or second failure, since they
are always free. Jobs fail as well, everywhere, and a wide one must not put a pool out of service.
What tells them apart is what the job did on other workers, and what other jobs did on this one.
"""

from __future__ import annotations

import enum
import math
from collections.abc import Iterator, Sequence
from dataclasses import dataclass
from itertools import islice
from typing import Protocol

from saddlestack.policy.cluster.jobs import Job, Run, Task
from saddlestack.policy.cluster.workers import EARLY_FAILURE_S, Worker

JOBS_KEPT = 8
"""Jobs that are remembered as failed on a worker since a run last ended well there, the latest."""
WORKERS_KEPT = 32
"""Workers that are remembered as those where a job failed. More make no difference: by then
its failures tell of none."""
RUNS_SEEN = 64
"""Tasks of a job that are looked at for runs that live on. So many excuse early failures on 18
workers; a job of 3,000 tasks that fail at once costs 0.2 million looks rather than 9 million."""


class FailureKind(enum.Enum):
    """How a run failed.

    ``EARLY`` is before it can have done any work, ``STUCK`` that it no longer made progress.
    """

    EARLY = "early"
    LATE = "late"
    STUCK = "stuck"


@dataclass(frozen=True, slots=True)
class JobEvidence:
    """What one job that failed on a worker tells of that worker.

    :param kind: how it failed there.
    :param failed_elsewhere: other workers on which it failed as well.
    :param succeeded_elsewhere: runs of it that got further elsewhere than the one that failed.
    """

    kind: FailureKind
    failed_elsewhere: int
    succeeded_elsewhere: int


class FaultRule(Protocol):
    """Decides whether a worker is at fault."""

    def is_at_fault(self, evidence: Sequence[JobEvidence]) -> bool:
        """Whether a worker is at fault, rather than the jobs that failed there.

        :param evidence: of each job that failed there since a run last ended well there.
        """
        ...


class LikelihoodRatio:
    """Weighs how much likelier the failures are on a worker that fails all than on a sound one.

    On a sound worker a run of a job fails as often as that job's other runs do elsewhere; where few
    are known, as often as runs of any job.
    """

    FAILS_ALL = 0.95
    """How often a run fails on a worker that fails all: it may be well again meanwhile."""
    EARLY_SHARE = 0.01
    """Runs that fail early on sound workers."""
    FAULTY_MET = 2.0
    """A job may have met so many workers that fail all at once..."""
    FAULTY_SHARE = 0.2
    """...and this share of those that it ran on besides. What it failed beyond is its own: where
    none of its runs lives on, three workers may be at fault for its early failures, not four."""
    LATE_SHARE = 0.05
    """Runs that fail late on sound workers: 3 % of jobs do so for good, up to 5 % of tasks once."""
    JOB_RUNS = 1
    """What is known of jobs at large weighs as much as so many runs of the job elsewhere. At 1
    neither of two workers is at fault where a job failed late, unless 18 of its runs ended well."""
    NEEDED = 18.0
    """So much likelier has it to be. A late failure of a job of which nothing else is known makes
    it 19 times; once it failed elsewhere too, 1.8 times."""

    def is_at_fault(self, evidence: Sequence[JobEvidence]) -> bool:
        """See :meth:`FaultRule.is_at_fault`."""
        weight = sum(math.log(self._ratio(each)) for each in evidence)
        return weight >= math.log(self.NEEDED)

    def _ratio(self, evidence: JobEvidence) -> float:
        failed: float = evidence.failed_elsewhere
        share = self.LATE_SHARE
        if evidence.kind is not FailureKind.LATE:
            met = failed + evidence.succeeded_elsewhere
            failed = max(0.0, failed - self.FAULTY_MET - self.FAULTY_SHARE * met)
            share = self.EARLY_SHARE
        known = failed + evidence.succeeded_elsewhere
        expected = (share * self.JOB_RUNS + failed) / (self.JOB_RUNS + known)
        return max(1.0, self.FAILS_ALL / expected)


FAULT_RULE: FaultRule = LikelihoodRatio()
"""The one in use."""


class JobFailures:
    """Where a job failed, as far as this leader saw it.

    :param inherited: its failures in the records, which do not tell where.
    """

    def __init__(self, inherited: int = 0) -> None:
        self.inherited = inherited
        self.workers: dict[str, FailureKind] = {}

    def fails_anywhere(self, worker_id: str) -> bool:
        """Whether it failed on so many other workers that one more tells nothing."""
        return worker_id not in self.workers and len(self.workers) >= WORKERS_KEPT

    def note(self, worker_id: str, kind: FailureKind) -> bool:
        """It failed on a worker.

        :return: whether it has not failed there in that way before.
        """
        is_new = self.workers.get(worker_id) is not kind
        self.workers[worker_id] = kind
        return is_new

    def elsewhere(self, worker_id: str, kind: FailureKind) -> int:
        """Other workers on which it failed in the same way.

        Each failure of an earlier term counts as one.
        """
        same = sum(1 for each, how in self.workers.items() if how is kind and each != worker_id)
        return same + self.inherited


@dataclass(frozen=True, slots=True)
class _Failure:
    """The latest failure of a job on a worker."""

    job: Job
    kind: FailureKind


class FaultAttribution:
    """Charges workers with failures, and takes a charge back that turns out to be the job's.

    A new leader knows nothing of workers: they may be well by now, and those that are not are found
    again at their first or second failure. It knows from the records which jobs have failed.

    :param rule: decides for each worker.
    """

    def __init__(self, workers: dict[str, Worker], rule: FaultRule | None = None) -> None:
        self._workers = workers
        self._rule = rule or FAULT_RULE
        self._on_worker: dict[str, dict[str, _Failure]] = {}
        self._of_job: dict[str, JobFailures] = {}

    def inherit(self, job: Job) -> None:
        """A job with the failures that its records have of earlier terms."""
        failures = sum(task.record.failures for task in _tasks(job))
        if failures:
            self._of_job[job.job_id] = JobFailures(failures)

    def failed(self, worker: Worker, run: Run, kind: FailureKind, now: float) -> bool:
        """A run failed on a worker, which is charged with it if it is at fault.

        :return: whether it is.
        """
        job = run.task.step.occurrence.job
        failures = self._of_job.setdefault(job.job_id, JobFailures())
        if failures.fails_anywhere(worker.worker_id):
            return False
        is_new = failures.note(worker.worker_id, kind)
        self._note(worker.worker_id, _Failure(job, kind))
        if is_new:
            self._clear_others(worker, failures, now)
        at_fault = self._is_at_fault(worker.worker_id, now)
        if at_fault:
            worker.record_failure(now, early=kind is not FailureKind.LATE)
        return at_fault

    def ended_well(self, worker_id: str) -> None:
        """A run ended well on a worker: what failed there before tells nothing of it now."""
        self._on_worker.pop(worker_id, None)

    def forget_worker(self, worker_id: str) -> None:
        """A life of a worker that is known no longer."""
        self._on_worker.pop(worker_id, None)

    def forget_job(self, job_id: str) -> None:
        """A job that is known no longer."""
        failures = self._of_job.pop(job_id, None)
        if failures is not None:
            for worker_id in failures.workers:
                self._on_worker.get(worker_id, {}).pop(job_id, None)

    def _note(self, worker_id: str, failure: _Failure) -> None:
        failed = self._on_worker.setdefault(worker_id, {})
        failed.pop(failure.job.job_id, None)
        failed[failure.job.job_id] = failure
        if len(failed) > JOBS_KEPT:
            del failed[next(iter(failed))]

    def _clear_others(self, worker: Worker, failures: JobFailures, now: float) -> None:
        """Take back what workers were charged with if it is now known to be a job's fault."""
        for worker_id in failures.workers:
            other = self._workers.get(worker_id)
            if other is None or other is worker or not other.strikes:
                continue
            if not self._is_at_fault(worker_id, now):
                other.clear_failures()

    def _is_at_fault(self, worker_id: str, now: float) -> bool:
        failed = self._on_worker.get(worker_id, {})
        evidence = [self._evidence(worker_id, each, now) for each in failed.values()]
        return self._rule.is_at_fault(evidence)

    def _evidence(self, worker_id: str, failure: _Failure, now: float) -> JobEvidence:
        job = failure.job
        elsewhere = self._of_job[job.job_id].elsewhere(worker_id, failure.kind)
        well = _done(job)
        if failure.kind is not FailureKind.LATE:
            well += _outlived(job, worker_id, now)
        return JobEvidence(failure.kind, elsewhere, well)


def _done(job: Job) -> int:
    """Tasks of a job that have ended well."""
    return sum(step.done for occurrence in job.occurrences for step in occurrence.steps)


def _outlived(job: Job, worker_id: str, now: float) -> int:
    """Runs of a job on other workers that no longer can fail early."""
    tasks = islice(_tasks(job), RUNS_SEEN)
    runs = (task.run for task in tasks if task.run is not None)
    return sum(1 for run in runs if run.worker_id != worker_id and _is_past_early(run, now))


def _tasks(job: Job) -> Iterator[Task]:
    for occurrence in job.occurrences:
        for step in occurrence.steps:
            yield from step.tasks


def _is_past_early(run: Run, now: float) -> bool:
    return run.started_s is not None and now - run.started_s > EARLY_FAILURE_S
