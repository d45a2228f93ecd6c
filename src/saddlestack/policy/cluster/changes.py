"""Changes that events cause: records to write, and orders and questions to send."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

from saddlestack.policy.cluster.crash_findings import CrashFinding
from saddlestack.policy.cluster.jobs import Job, Run, StepState
from saddlestack.policy.cluster.pacing import Pace
from saddlestack.policy.cluster.records import OccurrenceRecord
from saddlestack.work import JobState, TaskName


@dataclass(frozen=True, slots=True)
class Start:
    """A run to be started once its record is in the store.

    :param payload: the payload of its job.
    :param saved: checkpoint to resume from, or empty.
    :param ticket: the adviser's ticket for the worker, or empty.
    """

    run: Run
    payload: str
    saved: str
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """A request to the adviser: which of these workers may run the step.

    :param workers: ids of the workers.
    """

    step: StepState
    workers: tuple[str, ...]


class StopReason(enum.StrEnum):
    """Why a run is stopped."""

    CANCELLED = "cancelled"
    JOB_FAILED = "job_failed"
    GANG_BROKEN = "gang_broken"
    PREEMPTED = "preempted"
    WORKER_LEAVES = "worker_leaves"
    STUCK = "stuck"
    SLOW_WORKER = "slow_worker"
    NOT_OURS = "not_ours"


@dataclass(frozen=True, slots=True)
class Stop:
    """A run to be stopped.

    :param number: number of the run.
    :param cause: id of the job that it is preempted for, or empty.
    """

    worker_id: str
    task: TaskName
    number: int
    reason: StopReason
    cause: str = ""


@dataclass(slots=True)
class JobChanges:
    """Changes of one job, which depend only on the writes of its own records.

    :param records: records of its occurrences to be written, by key.
    :param starts: starts to be ordered after the records are written.
    :param state_updates: its state, to be published after the records are written.
    """

    job_id: str
    records: dict[str, OccurrenceRecord] = field(default_factory=dict)
    starts: list[Start] = field(default_factory=list)
    state_updates: list[tuple[Job, JobState]] = field(default_factory=list)


@dataclass(slots=True)
class Changes:
    """All changes since the last call of :meth:`ClusterState.take_changes`.

    :param records: records of occurrences to be written, by key.
    :param starts: starts to be ordered after the records are written.
    :param stops: stops to be ordered at once.
    :param paces: paces to be ordered at once.
    :param advice_requests: requests to the adviser.
    :param state_updates: jobs and their states, to be published after the records are written.
    :param slow_restarts: number of gangs that are restarted because a worker was slow.
    :param findings: on tasks under which workers crashed, to be logged.
    """

    records: dict[str, OccurrenceRecord] = field(default_factory=dict)
    starts: list[Start] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    paces: list[Pace] = field(default_factory=list)
    advice_requests: list[AdviceRequest] = field(default_factory=list)
    state_updates: list[tuple[Job, JobState]] = field(default_factory=list)
    findings: list[CrashFinding] = field(default_factory=list)
    slow_restarts: int = 0

    def by_job(self) -> list[JobChanges]:
        """The records, and what depends on their writes, grouped by job."""
        found: dict[str, JobChanges] = {}

        def of(job_id: str) -> JobChanges:
            if job_id not in found:
                found[job_id] = JobChanges(job_id)
            return found[job_id]

        for key, record in self.records.items():
            of(key.rpartition(".")[0]).records[key] = record
        for start in self.starts:
            of(start.run.task.name.job_id).starts.append(start)
        for job, state in self.state_updates:
            of(job.job_id).state_updates.append((job, state))
        return list(found.values())
