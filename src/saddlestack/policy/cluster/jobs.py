"""Jobs, occurrences, steps, tasks and runs as the leader holds them in memory.

Times are in seconds on the monotonic clock of the cluster state unless stated otherwise.
"""

from __future__ import annotations

import math
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from saddlestack.policy.cluster.advice import StepAdvice
from saddlestack.policy.cluster.records import (
    FailureCause,
    OccurrenceRecord,
    OccurrenceStatus,
    StepRecord,
    TaskRecord,
    TaskStatus,
)
from saddlestack.policy.cluster.shapes import StepShapes
from saddlestack.work import FINAL_STATES, AcceptedJob, JobState, Resources, Step, TaskName

TOP_PRIORITY = 0
"""The most urgent priority. Jobs of it may preempt others."""
WORKING_PERCENT = 100
"""Progress that a long-running task reports while it works."""
ACCELERATOR_CORES = 8
"""Cores that an accelerator counts as where amounts of work are compared."""


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task on one incarnation of a worker.

    :param allocation: the resources that it holds.
    :param assigned_s: when it was assigned.
    :param inherited: an earlier leader assigned it, and its outcome is not yet known.
    :param ordered_s: when its start order was first sent to the worker, or ``None`` if none was
        sent, or each was refused.
    :param started_s: when the worker confirmed its start, or ``None``.
    :param isolated: no other run may join it on its worker, since it may crash the worker.
    :param stopping: whether a stop was ordered.
    :param lent_by: steps that have reserved the resources which it borrows; it is preempted for
        them.
    :param awaited_s: since when other work has waited for it to end, or ``None``.
    :param ends_by_s: when it was expected to have ended by itself as work first waited for that, or
        ``None``.
    :param time_factor: time factor of its worker at its assignment; 1 if that is unknown.
    :param above_limit: its worker was known to be slower than the speed limit of its step.
    :param never_began: the worker is known never to have begun it.
    :param saved: the latest checkpoint that the worker reported.
    :param percent: progress that the worker reported; a long-running task reports 100 while it
        works.
    :param reported_s: when progress was last reported.
    :param progressed_s: when the current ``percent`` was first reported; ``None`` before any
        report.
    :param figure: over the last half second, the tail latency of a serving task in milliseconds,
        else the processor use in thousandths of a core.
    :param pace: the share of full speed in percent that it was last ordered to work at.
    :param address: where the worker incarnation was reached when it was given the run, or has
        answered since; empty if neither is known.
    """

    task: Task
    number: int
    worker_id: str
    allocation: Resources
    assigned_s: float
    inherited: bool = False
    ordered_s: float | None = None
    started_s: float | None = None
    isolated: bool = False
    stopping: bool = False
    lent_by: frozenset[StepState] = frozenset()
    awaited_s: float | None = None
    ends_by_s: float | None = None
    time_factor: float = 1.0
    above_limit: bool = False
    never_began: bool = False
    saved: str = ""
    percent: int = 0
    reported_s: float = 0.0
    progressed_s: float | None = None
    figure: float = 0.0
    pace: int = 100
    address: str = ""


@dataclass(slots=True, eq=False)
class Task:
    """One task of one occurrence.

    :param avoid: ids of workers on which it failed.
    :param crashed_on: machines whose workers crashed under it in this leader's term.
    :param preemptions: how often it was stopped for the sake of others in this leader's term.
    """

    name: TaskName
    step: StepState
    record: TaskRecord
    run: Run | None = None
    avoid: set[str] = field(default_factory=set)
    crashed_on: set[str] = field(default_factory=set)
    preemptions: int = 0

    @property
    def status(self) -> TaskStatus:
        """Status of the task in its record."""
        return self.record.status

    def set_run(self, run: Run) -> None:
        """Set its present run, which is or may be on some worker. It must have none."""
        self.run = run
        self.step.occurrence.count_run(1)

    def clear_run(self) -> None:
        """Clear its present run, which is over."""
        self.run = None
        self.step.occurrence.count_run(-1)


@dataclass(slots=True, eq=False)
class StepState:
    """One step of one occurrence.

    :param done: number of tasks that are done.
    :param has_avoided_workers: whether a task failed on some worker and avoids it.
    :param shapes: the numbers of its shapes, once they were computed.
    :param moves: how often it was restarted elsewhere because it had stalled.
    :param failed_work_s: seconds of work, on a usual worker, of the gang's runs that failed after
        they had done some.
    :param slow_restarts: how often it was restarted elsewhere because a worker was slow.
    :param no_restart_room_s: when there was last no room for such a restart.
    :param waiting_since_s: when one of its tasks first waited to be started, or ``None``.
    :param stalled_since_s: since when it has had tasks to start of which none has begun, or
        ``None``.
    :param preempts_since_s: since when resources have been reserved for it, or ``None``. Not reset
        when one reservation follows another, only when a task of it is assigned.
    :param times_delayed: how often since then runs that had borrowed its reserved resources had to
        be preempted.
    :param preemptions: how often runs of it were stopped for the sake of others in this leader's
        term; the stop of a gang counts once.
    :param awaited_healthy: whether it waited for healthy workers on its last attempt.
    :param advice: the adviser's answers for it.
    """

    step: Step
    number: int
    occurrence: Occurrence
    record: StepRecord
    tasks: list[Task]
    done: int = 0
    has_avoided_workers: bool = False
    shapes: StepShapes | None = None
    moves: int = 0
    failed_work_s: float = 0.0
    slow_restarts: int = 0
    no_restart_room_s: float = -math.inf
    waiting_since_s: float | None = None
    stalled_since_s: float | None = None
    preempts_since_s: float | None = None
    times_delayed: int = 0
    preemptions: int = 0
    awaited_healthy: bool = False
    advice: StepAdvice = field(default_factory=StepAdvice)

    @property
    def key(self) -> str:
        """Unique name of this step of this occurrence."""
        return f"{self.occurrence.key}.{self.number}"

    @property
    def at_once(self) -> int:
        """Number of tasks that have to start together."""
        return self.step.count if self.step.gang else 1

    def waited_s(self, now: float) -> float:
        """Seconds since one of its tasks first waited to be started."""
        return 0.0 if self.waiting_since_s is None else now - self.waiting_since_s

    def stalled_s(self, now: float) -> float:
        """Seconds for which it has had tasks to start of which none has begun."""
        return 0.0 if self.stalled_since_s is None else now - self.stalled_since_s

    @property
    def disruption_budget(self) -> int | None:
        """Number of tasks that may be preempted now; ``None`` for no limit."""
        if not self.step.may_miss:
            return None
        away = sum(1 for task in self.tasks if not _at_work(task.run))
        return max(0, self.step.may_miss - away)

    @property
    def failures(self) -> int:
        """Number of failed runs of the gang, or of the task with the most of them."""
        if self.step.gang:
            return self.record.gang_failures
        return max(task.record.failures for task in self.tasks)

    @property
    def on_last_attempt(self) -> bool:
        """Whether it has failed before and its next failure fails the job."""
        if self.step.long_running or not self.failures:
            return False
        return self.failures + 1 >= self.occurrence.job.accepted.attempts

    @property
    def needs_proven_worker(self) -> bool:
        """Whether it must not run on workers on probation."""
        top = self.occurrence.job.priority == TOP_PRIORITY
        return self.step.gang or top or self.on_last_attempt

    @property
    def next_failure_is_final(self) -> bool:
        """Whether its next failure fails the job, even if it is its first one."""
        if self.step.long_running:
            return False
        return self.step.once or self.failures + 1 >= self.occurrence.job.accepted.attempts

    @property
    def finished(self) -> bool:
        """Whether all its tasks are done."""
        return self.done == len(self.tasks)

    @property
    def next_run(self) -> int:
        """Number of the gang's next run."""
        return max(task.record.run for task in self.tasks) + 1


@dataclass(slots=True, eq=False)
class Occurrence:
    """One execution of all steps of a job.

    :param due_ms: milliseconds since 1970 before which nothing may start; 0 means at once.
    :param cause: why it failed, a :class:`FailureCause`; empty if it has not, or if unknown.
    :param run_count: number of its runs that are, or may be, on some worker.
    :param begun: whether a worker has begun one of its runs, as far as is known.
    """

    job: Job
    number: int
    due_ms: int
    status: OccurrenceStatus
    steps: list[StepState]
    cause: str = ""
    run_count: int = 0
    begun: bool = False

    @property
    def key(self) -> str:
        """Name of the occurrence in the store."""
        return f"{self.job.job_id}.{self.number}"

    @property
    def open(self) -> bool:
        """Whether it has work left, and its job has neither failed nor been cancelled."""
        return self.status is OccurrenceStatus.OPEN and not (self.job.failed or self.job.cancelled)

    @property
    def is_settled(self) -> bool:
        """Whether it is done and none of its runs is left."""
        return self.status is OccurrenceStatus.DONE and not self.run_count

    def count_run(self, change: int) -> None:
        """Count a run that begins (1) or is over (-1)."""
        self.run_count += change
        self.job.run_count += change

    def complete(self) -> None:
        """Note that all its steps are done."""
        self.status = OccurrenceStatus.DONE
        self.job.done_occurrences += 1

    def fail(self, cause: FailureCause) -> None:
        """Note that it has failed, and so its job."""
        self.status = OccurrenceStatus.FAILED
        self.cause = cause.value
        self.job.failed = True

    def to_record(self) -> OccurrenceRecord:
        """The record to be written to the store."""
        if self.status is not OccurrenceStatus.OPEN:
            return OccurrenceRecord(self.status, cause=self.cause)
        steps = [step.record for step in self.steps]
        return OccurrenceRecord(self.status, steps, self._addresses(), begun=self.begun)

    def _addresses(self) -> dict[str, str]:
        """Addresses of the workers that hold its runs, by worker id."""
        return {
            task.run.worker_id: task.run.address
            for step in self.steps
            for task in step.tasks
            if task.run is not None and task.run.address
        }


@dataclass(slots=True, eq=False)
class Job:
    """An accepted job.

    An occurrence is opened when it falls due. It is dropped once it is settled, unless it is the
    only one, since a job may have thousands of them.

    :param occurrences: those that have been opened and not dropped, by number.
    :param opened_count: how many occurrences have been opened. The next one has this number.
    :param done_occurrences: how many occurrences are done.
    :param done_tasks: number of tasks that are done, without occurrences of earlier terms.
    :param run_count: number of its runs that are, or may be, on some worker.
    :param failed: whether one of its occurrences has failed. None of them starts anything more.
    :param begun: whether one of its occurrences has begun.
    :param published_state: its state according to the records in the store. Clients see this one.
    :param over_since_s: since when it is known to be over, or ``None``.
    """

    accepted: AcceptedJob
    occurrences: list[Occurrence] = field(default_factory=list)
    opened_count: int = 0
    done_occurrences: int = 0
    done_tasks: int = 0
    run_count: int = 0
    failed: bool = False
    cancelled: bool = False
    begun: bool = False
    published_state: JobState = JobState.QUEUED
    over_since_s: float | None = None

    @property
    def job_id(self) -> str:
        """Id of the job."""
        return self.accepted.job_id

    @property
    def priority(self) -> int:
        """Priority of the job; 0 is the most urgent and may preempt others."""
        return self.accepted.priority

    @property
    def cause(self) -> str:
        """Why it failed, a :class:`FailureCause`; empty if it has not, or if unknown."""
        return next((each.cause for each in self.occurrences if each.cause), "")

    @property
    def state(self) -> JobState:
        """Its current state, including changes that are not yet in the store."""
        if self.failed:
            return JobState.FAILED
        if self.done_occurrences == self.accepted.request.occurrences:
            return JobState.COMPLETED
        if self.cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if self.begun else JobState.QUEUED

    @property
    def over(self) -> bool:
        """Whether nothing of it is to start any more."""
        return self.state in FINAL_STATES

    @property
    def settled(self) -> bool:
        """Whether it is published as over and none of its runs is left."""
        return self.published_state in FINAL_STATES and not self.run_count

    @property
    def next_due_ms(self) -> int | None:
        """When the next occurrence is to be opened, in ms since 1970; ``None`` if none is left."""
        if self.over or self.opened_count == self.accepted.request.occurrences:
            return None
        return self.accepted.request.due_ms(self.opened_count)

    def open_next(self) -> Occurrence:
        """Open the next occurrence."""
        occurrence = _occurrence(self, self.opened_count, None)
        self.occurrences.append(occurrence)
        self.opened_count += 1
        return occurrence

    def drop_settled(self, occurrence: Occurrence) -> None:
        """Drop an occurrence if it is settled and not the only one of the job."""
        is_only = self.accepted.request.occurrences == 1
        if occurrence.is_settled and not is_only and occurrence in self.occurrences:
            self.occurrences.remove(occurrence)

    def runs(self) -> Iterator[Run]:
        """Its runs that are, or may be, on some worker."""
        if not self.run_count:
            return
        for occurrence in self.occurrences:
            for step in occurrence.steps:
                for task in step.tasks:
                    if task.run is not None:
                        yield task.run

    @property
    def accelerators(self) -> int:
        """Accelerators that the first step of an occurrence takes at once; 0 if it is over."""
        if self.over:
            return 0
        first = self.accepted.request.steps[0]
        return first.count * first.needs.accelerators


def new_job(accepted: AcceptedJob, records: Mapping[int, OccurrenceRecord]) -> Job:
    """Build a job from its request and its progress in the store.

    :param records: by number of the occurrence; those without a record have not begun.
    """
    job = Job(accepted)
    job.opened_count = max(records, default=-1) + 1
    for number in range(job.opened_count):
        record = records.get(number)
        if record is not None and record.status is OccurrenceStatus.DONE:
            job.done_occurrences += 1
        else:
            job.occurrences.append(_occurrence(job, number, record))
    if not accepted.request.times and not job.opened_count:
        job.open_next()
    job.done_tasks = sum(step.done for each in job.occurrences for step in each.steps)
    job.failed = any(each.status is OccurrenceStatus.FAILED for each in job.occurrences)
    job.begun = any(record.may_have_begun for record in records.values())
    job.published_state = job.state
    return job


def _occurrence(job: Job, number: int, record: OccurrenceRecord | None) -> Occurrence:
    status = OccurrenceStatus.OPEN if record is None else record.status
    due_ms = job.accepted.request.due_ms(number)
    cause = "" if record is None else record.cause
    occurrence = Occurrence(job, number, due_ms, status, [], cause)
    occurrence.begun = record is not None and record.may_have_begun
    for index, step in enumerate(job.accepted.request.steps):
        kept = record.steps[index] if record is not None and record.steps else None
        occurrence.steps.append(_step(occurrence, index, step, kept))
    return occurrence


def _step(occurrence: Occurrence, number: int, step: Step, kept: StepRecord | None) -> StepState:
    record = kept or StepRecord([TaskRecord() for _ in range(step.count)])
    state = StepState(step, number, occurrence, record, [])
    for index, task_record in enumerate(record.tasks):
        name = TaskName(occurrence.job.job_id, occurrence.number, number, index)
        state.tasks.append(Task(name, state, task_record))
    state.done = sum(1 for task in state.tasks if task.status is TaskStatus.DONE)
    return state


def _at_work(run: Run | None) -> bool:
    return run is not None and not run.stopping and run.percent >= WORKING_PERCENT


def weight(resources: Resources) -> float:
    """Resources as a number of cores, with accelerators converted."""
    return resources.cpu / 1000 + resources.accelerators * ACCELERATOR_CORES
