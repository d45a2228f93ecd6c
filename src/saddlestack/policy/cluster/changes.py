"""What follows from events: records to write, and orders to give."""

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
    """A run to be started, once its record is in the store."""

    run: Run
    payload: str
    saved: str
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class AdviceRequest:
    """The adviser is to be asked which of some workers may run a step."""

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
    NOT_OURS = "not_ours"


@dataclass(frozen=True, slots=True)
class Stop:
    """A run to be stopped.

    :param cause: the job that takes the room, where one does.
    """

    worker_id: str
    task: TaskName
    number: int
    reason: StopReason
    cause: str = ""


@dataclass(slots=True)
class JobChanges:
    """What has followed for one job, and waits for its records alone.

    :param records: its occurrences to be written, by key.
    :param starts: to be ordered after the records are written.
    :param state_updates: its state, which may be shown after the records are written.
    """

    job_id: str
    records: dict[str, OccurrenceRecord] = field(default_factory=dict)
    starts: list[Start] = field(default_factory=list)
    state_updates: list[tuple[Job, JobState]] = field(default_factory=list)


@dataclass(slots=True)
class Changes:
    """What has followed since the last call of :meth:`ClusterState.take_changes`.

    :param records: occurrences to be written, by key.
    :param starts: to be ordered after the records are written.
    :param stops: to be ordered at once.
    :param paces: to be ordered at once.
    :param advice_requests: to be asked of the adviser.
    :param state_updates: jobs whose state may be shown after the records are written.
    :param findings: on tasks under which workers crashed, to be told.
    """

    records: dict[str, OccurrenceRecord] = field(default_factory=dict)
    starts: list[Start] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    paces: list[Pace] = field(default_factory=list)
    advice_requests: list[AdviceRequest] = field(default_factory=list)
    state_updates: list[tuple[Job, JobState]] = field(default_factory=list)
    findings: list[CrashFinding] = field(default_factory=list)

    def by_job(self) -> list[JobChanges]:
        """What waits for records, for each job by itself."""
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
