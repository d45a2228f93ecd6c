"""Attributes a failed run either to the worker where it failed or to its job.

Workers that fail every run have to be detected at the first or second failure, since they are
always free and attract more work. Jobs fail on their own as well, on any worker, and a wide failing
job must not put a whole pool in quarantine. The two cases are distinguished by the runs of the job
on other workers and by the runs of other jobs on the same worker.
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

MAX_JOBS_PER_WORKER = 8
"""Maximum number of jobs per worker whose failures there are kept, the latest ones. They are kept
until a run succeeds on the worker."""
MAX_WORKERS_PER_JOB = 32
"""Maximum number of workers per job where it is known to have failed. More make no difference: by
then its failures are no evidence against any worker."""
MAX_TASKS_EXAMINED = 64
"""Maximum number of tasks of a job that are examined for runs that have survived. This number of
surviving runs is enough to attribute early failures to 18 workers. With the limit, a job of 3,000
tasks that all fail at once takes 0.2 million examinations rather than 9 million."""


class FailureKind(enum.Enum):
    """How a run failed.

    An ``EARLY`` failure comes before the run can have done any work. A ``STUCK`` run made no more
    progress.
    """

    EARLY = "early"
    LATE = "late"
    STUCK = "stuck"


@dataclass(frozen=True, slots=True)
class JobEvidence:
    """Evidence about a worker from one job that failed there.

    :param kind: how the job failed there.
    :param failed_elsewhere: number of other workers on which it failed in the same way.
    :param succeeded_elsewhere: number of its runs that got further than the failed one.
    """

    kind: FailureKind
    failed_elsewhere: int
    succeeded_elsewhere: int


class FaultRule(Protocol):
    """Decides whether a worker is at fault."""

    def is_at_fault(self, evidence: Sequence[JobEvidence]) -> bool:
        """Whether a worker is at fault, rather than the jobs that failed there.

        :param evidence: one item for each job that failed there since a run last succeeded there.
        """
        ...


class LikelihoodRatio:
    """Compares how likely the failures are on a worker that fails every run and on a healthy one.

    On a healthy worker, a run is expected to fail as often as the other runs of its job do
    elsewhere, or as often as the runs of all jobs if few runs of its job are known.
    """

    FAULTY_FAILURE_RATE = 0.95
    """Failure rate on a worker that fails every run; below 1, since it may have recovered."""
    EARLY_FAILURE_RATE = 0.01
    """Share of runs that fail early on healthy workers."""
    MAX_FAULTY_WORKERS = 2.0
    """A job may run on this many workers that fail every run early."""
    MAX_FAULTY_SHARE = 0.2
    """In addition, a job may run on this share of faulty workers. Early failures beyond both limits
    are attributed to the job: if none of its runs survives, three workers may be at fault for its
    early failures, but not four."""
    LATE_FAILURE_RATE = 0.05
    """Share of runs that fail late on healthy workers: 3 % of jobs always fail late, and up to 5 %
    of tasks fail once."""
    PRIOR_RUNS = 1
    """Weight of the failure rate of all jobs, as a number of runs of the job elsewhere. With 1, if
    a job failed late on two workers, neither is at fault unless 18 of the job's runs succeeded."""
    MIN_LIKELIHOOD_RATIO = 18.0
    """Minimum likelihood ratio at which a worker is at fault. A late failure of a job of which
    nothing else is known gives a ratio of 19, or 1.8 once the job has failed elsewhere as well."""

    def is_at_fault(self, evidence: Sequence[JobEvidence]) -> bool:
        """Whether the likelihood ratio of all evidence reaches :attr:`MIN_LIKELIHOOD_RATIO`."""
        weight = sum(math.log(self._ratio(each)) for each in evidence)
        return weight >= math.log(self.MIN_LIKELIHOOD_RATIO)

    def _ratio(self, evidence: JobEvidence) -> float:
        failed: float = evidence.failed_elsewhere
        share = self.LATE_FAILURE_RATE
        if evidence.kind is not FailureKind.LATE:
            met = failed + evidence.succeeded_elsewhere
            failed = max(0.0, failed - self.MAX_FAULTY_WORKERS - self.MAX_FAULTY_SHARE * met)
            share = self.EARLY_FAILURE_RATE
        known = failed + evidence.succeeded_elsewhere
        expected = (share * self.PRIOR_RUNS + failed) / (self.PRIOR_RUNS + known)
        return max(1.0, self.FAULTY_FAILURE_RATE / expected)


FAULT_RULE: FaultRule = LikelihoodRatio()
"""The rule that is used unless another one is given."""


class JobFailures:
    """The workers on which a job failed during this leader's term.

    :param inherited: number of its failures in earlier terms. Their workers are not recorded.
    """

    def __init__(self, inherited: int = 0) -> None:
        self.inherited = inherited
        self.workers: dict[str, FailureKind] = {}

    def fails_everywhere(self, worker_id: str) -> bool:
        """Whether it failed on enough other workers that one more is no evidence."""
        return worker_id not in self.workers and len(self.workers) >= MAX_WORKERS_PER_JOB

    def add(self, worker_id: str, kind: FailureKind) -> bool:
        """Record that it failed on a worker.

        :return: whether this is its first failure of that kind there.
        """
        is_new = self.workers.get(worker_id) is not kind
        self.workers[worker_id] = kind
        return is_new

    def count_elsewhere(self, worker_id: str, kind: FailureKind) -> int:
        """The number of other workers on which it failed in the same way.

        Each failure of an earlier term counts as one worker.
        """
        same = sum(1 for each, how in self.workers.items() if how is kind and each != worker_id)
        return same + self.inherited


@dataclass(frozen=True, slots=True)
class _Failure:
    """The latest failure of a job on a worker."""

    job: Job
    kind: FailureKind


class FaultAttribution:
    """Attributes failures to workers, and clears a worker if its job proves to be at fault.

    A new leader starts without failures of workers: they may have recovered, and faulty ones are
    detected again at their first or second failure. The failures of jobs are read from the records.

    :param rule: decides whether a worker is at fault.
    """

    def __init__(self, workers: dict[str, Worker], rule: FaultRule | None = None) -> None:
        self._workers = workers
        self._rule = rule or FAULT_RULE
        self._failures_by_worker: dict[str, dict[str, _Failure]] = {}
        self._failures_by_job: dict[str, JobFailures] = {}

    def inherit(self, job: Job) -> None:
        """Take over the failures of a job in earlier terms from its records."""
        failures = sum(task.record.failures for task in _tasks(job))
        if failures:
            self._failures_by_job[job.job_id] = JobFailures(failures)

    def record_failure(self, worker: Worker, run: Run, kind: FailureKind, now: float) -> bool:
        """Record a failed run, and attribute it to its worker if that is at fault.

        :return: whether the worker is at fault.
        """
        job = run.task.step.occurrence.job
        failures = self._failures_by_job.setdefault(job.job_id, JobFailures())
        if failures.fails_everywhere(worker.worker_id):
            return False
        is_new = failures.add(worker.worker_id, kind)
        self._note(worker.worker_id, _Failure(job, kind))
        if is_new:
            self._clear_other_workers(worker, failures, now)
        at_fault = self._is_at_fault(worker.worker_id, now)
        if at_fault:
            worker.record_failure(now, early=kind is not FailureKind.LATE)
        return at_fault

    def record_success(self, worker_id: str) -> None:
        """Drop the earlier failures on a worker where a run succeeded; they are no evidence now."""
        self._failures_by_worker.pop(worker_id, None)

    def forget_worker(self, worker_id: str) -> None:
        """Remove an incarnation of a worker."""
        self._failures_by_worker.pop(worker_id, None)

    def forget_job(self, job_id: str) -> None:
        """Remove the failures of a job, for all workers."""
        failures = self._failures_by_job.pop(job_id, None)
        if failures is not None:
            for worker_id in failures.workers:
                self._failures_by_worker.get(worker_id, {}).pop(job_id, None)

    def _note(self, worker_id: str, failure: _Failure) -> None:
        failed = self._failures_by_worker.setdefault(worker_id, {})
        failed.pop(failure.job.job_id, None)
        failed[failure.job.job_id] = failure
        if len(failed) > MAX_JOBS_PER_WORKER:
            del failed[next(iter(failed))]

    def _clear_other_workers(self, worker: Worker, failures: JobFailures, now: float) -> None:
        """Clear the other workers where a job failed if they are no longer at fault."""
        for worker_id in failures.workers:
            other = self._workers.get(worker_id)
            if other is None or other is worker or not other.strikes:
                continue
            if not self._is_at_fault(worker_id, now):
                other.clear_failures()

    def _is_at_fault(self, worker_id: str, now: float) -> bool:
        failed = self._failures_by_worker.get(worker_id, {})
        evidence = [self._evidence(worker_id, each, now) for each in failed.values()]
        return self._rule.is_at_fault(evidence)

    def _evidence(self, worker_id: str, failure: _Failure, now: float) -> JobEvidence:
        job = failure.job
        elsewhere = self._failures_by_job[job.job_id].count_elsewhere(worker_id, failure.kind)
        succeeded = job.done_tasks
        if failure.kind is not FailureKind.LATE:
            succeeded += _count_survivors(job, worker_id, now)
        return JobEvidence(failure.kind, elsewhere, succeeded)


def _count_survivors(job: Job, worker_id: str, now: float) -> int:
    """The number of runs of a job on other workers that can no longer fail early."""
    tasks = islice(_tasks(job), MAX_TASKS_EXAMINED)
    runs = (task.run for task in tasks if task.run is not None)
    return sum(1 for run in runs if run.worker_id != worker_id and _has_survived_start(run, now))


def _tasks(job: Job) -> Iterator[Task]:
    for occurrence in job.occurrences:
        for step in occurrence.steps:
            yield from step.tasks


def _has_survived_start(run: Run, now: float) -> bool:
    return run.started_s is not None and now - run.started_s > EARLY_FAILURE_S
