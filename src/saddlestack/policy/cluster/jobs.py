"""Jobs, occurrences, steps, tasks and runs as the board keeps them in memory."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from saddlestack.policy.cluster.advice import StepAdvice
from saddlestack.policy.cluster.records import (
    OccurrenceRecord,
    OccurrenceStatus,
    StepRecord,
    TaskRecord,
    TaskStatus,
)
from saddlestack.policy.cluster.shapes import StepShapes
from saddlestack.work import FINAL_STATES, AcceptedJob, JobState, Resources, Step, TaskName

TOP_PRIORITY = 0
"""Jobs of this priority go first, and may take room back."""
WORKING_PERCENT = 100
ACCELERATOR_CORES = 8
"""An accelerator counts as this many cores where work is compared."""


@dataclass(slots=True, eq=False)
class Run:
    """One run of a task at one life of a worker.

    :param inherited: an earlier leader assigned it; what became of it is not known yet.
    :param assigned_s: when it was decided, seconds on the board's clock.
    :param ordered_s: when its order first left for the worker, or ``None``.
    :param started_s: when the worker confirmed it, or ``None``.
    :param isolated: nothing else may join it at its worker while it may crash that.
    :param stopping: a stop was ordered.
    :param lent_by: steps for which the room that it fills is reserved; it is stopped for them.
    :param awaited_s: since when other work has waited for it to end, on the board's clock.
    :param never_began: it is known that the worker never began it.
    :param saved: the latest checkpoint that the worker reported.
    :param percent: of the work done, as the worker reported; a lasting task works at 100.
    :param reported_s: when it said so, on the board's clock.
    :param progressed_s: when it first did, on the board's clock; ``None`` before it said anything.
    :param figure: the worker's figure of the last half second.
    :param pace: the share of full speed that it was last ordered to work at.
    :param address: where that life of the worker was reached when it was given the run, or has
        answered since; empty where neither is known.
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

    :param avoid: workers on which it failed.
    :param crashed_on: machines whose workers crashed under it, as far as this leader saw.
    """

    name: TaskName
    step: StepState
    record: TaskRecord
    run: Run | None = None
    avoid: set[str] = field(default_factory=set)
    crashed_on: set[str] = field(default_factory=set)

    @property
    def status(self) -> TaskStatus:
        """Where it stands."""
        return self.record.status


@dataclass(slots=True, eq=False)
class StepState:
    """One step of one occurrence.

    :param has_avoided_workers: whether a task failed on some worker and avoids it.
    :param shapes: the numbers of its shapes, once they were asked for.
    :param moves: how often it was begun again elsewhere since it stood still.
    :param waiting_since_s: when one of its tasks was first to be started, on the board's clock.
    :param stalled_since_s: since when it has had tasks to start and none that began, on the same.
    :param preempts_since_s: since when room has been reserved for it, on the same; kept while one
        reservation follows another, until a task of it is assigned.
    :param times_delayed: how often since then runs that it had lent room had to be stopped.
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
    waiting_since_s: float | None = None
    stalled_since_s: float | None = None
    preempts_since_s: float | None = None
    times_delayed: int = 0
    advice: StepAdvice = field(default_factory=StepAdvice)

    @property
    def key(self) -> str:
        """Names the step of one occurrence."""
        return f"{self.occurrence.key}.{self.number}"

    @property
    def at_once(self) -> int:
        """Tasks that have to start together."""
        return self.step.count if self.step.gang else 1

    def waited_s(self, now: float) -> float:
        """For how long a task of it has waited since the first one did."""
        return 0.0 if self.waiting_since_s is None else now - self.waiting_since_s

    def stalled_s(self, now: float) -> float:
        """For how long it has had tasks to start without a break."""
        return 0.0 if self.stalled_since_s is None else now - self.stalled_since_s

    @property
    def disruption_budget(self) -> int | None:
        """Tasks that may be taken away now; ``None`` where nothing limits them."""
        if not self.step.may_miss:
            return None
        away = sum(1 for task in self.tasks if not _at_work(task.run))
        return max(0, self.step.may_miss - away)

    @property
    def failures(self) -> int:
        """Failed runs of the gang, or of the task that has most of them."""
        if self.step.gang:
            return self.record.gang_failures
        return max(task.record.failures for task in self.tasks)

    @property
    def on_last_attempt(self) -> bool:
        """Whether its job fails with its next failure."""
        if self.step.long_running or not self.failures:
            return False
        return self.failures + 1 >= self.occurrence.job.accepted.attempts

    @property
    def needs_proven_worker(self) -> bool:
        """Whether it goes to no worker that is on probation."""
        top = self.occurrence.job.priority == TOP_PRIORITY
        return self.step.gang or top or self.on_last_attempt

    @property
    def next_failure_is_final(self) -> bool:
        """Whether its job fails with its next failure, the first one included."""
        if self.step.long_running:
            return False
        return self.step.once or self.failures + 1 >= self.occurrence.job.accepted.attempts

    @property
    def finished(self) -> bool:
        """Whether every task has ended done."""
        return self.done == len(self.tasks)

    @property
    def next_run(self) -> int:
        """The number of a gang's next run."""
        return max(task.record.run for task in self.tasks) + 1


@dataclass(slots=True, eq=False)
class Occurrence:
    """One time that the steps of a job run.

    :param due_ms: wall time before which nothing may start; 0 means at once.
    :param cause: why it failed, a :class:`FailureCause`; empty where that is not known.
    """

    job: Job
    number: int
    due_ms: int
    status: OccurrenceStatus
    steps: list[StepState]
    cause: str = ""

    @property
    def key(self) -> str:
        """Names the occurrence in the store."""
        return f"{self.job.job_id}.{self.number}"

    @property
    def open(self) -> bool:
        """Whether work is left to do."""
        return self.status is OccurrenceStatus.OPEN and not self.job.cancelled

    def to_record(self) -> OccurrenceRecord:
        """What the store is to keep."""
        if self.status is not OccurrenceStatus.OPEN:
            return OccurrenceRecord(self.status, cause=self.cause)
        steps = [step.record for step in self.steps]
        return OccurrenceRecord(self.status, steps, self._addresses())

    def _addresses(self) -> dict[str, str]:
        """Where the workers are reached that were given runs of it."""
        return {
            task.run.worker_id: task.run.address
            for step in self.steps
            for task in step.tasks
            if task.run is not None and task.run.address
        }


@dataclass(slots=True, eq=False)
class Job:
    """A job that was accepted.

    :param published_state: its state as far as the store has it; what clients are told.
    :param over_since_s: since when it is known to be over, on the board's clock.
    """

    accepted: AcceptedJob
    occurrences: list[Occurrence] = field(default_factory=list)
    cancelled: bool = False
    begun: bool = False
    published_state: JobState = JobState.QUEUED
    over_since_s: float | None = None

    @property
    def job_id(self) -> str:
        """The job's name."""
        return self.accepted.job_id

    @property
    def priority(self) -> int:
        """0 goes first and may take room back."""
        return self.accepted.priority

    @property
    def failed(self) -> bool:
        """Whether one of its occurrences has failed."""
        return any(each.status is OccurrenceStatus.FAILED for each in self.occurrences)

    @property
    def cause(self) -> str:
        """Why it failed, a :class:`FailureCause`; empty where it has not, or that is not known."""
        return next((each.cause for each in self.occurrences if each.cause), "")

    @property
    def state(self) -> JobState:
        """Its state, with what is not yet in the store."""
        if self.failed:
            return JobState.FAILED
        if all(each.status is OccurrenceStatus.DONE for each in self.occurrences):
            return JobState.COMPLETED
        if self.cancelled:
            return JobState.CANCELLED
        return JobState.RUNNING if self.begun else JobState.QUEUED

    @property
    def over(self) -> bool:
        """Whether nothing more is to run."""
        return self.state in FINAL_STATES

    @property
    def settled(self) -> bool:
        """Whether it is shown as over and nothing of it is present anywhere."""
        if self.published_state not in FINAL_STATES:
            return False
        return next(self.runs(), None) is None

    def runs(self) -> Iterator[Run]:
        """Its runs that are present somewhere, or may be."""
        for occurrence in self.occurrences:
            for step in occurrence.steps:
                for task in step.tasks:
                    if task.run is not None:
                        yield task.run

    @property
    def accelerators(self) -> int:
        """Accelerators that its widest open occurrence takes at once, at most."""
        return max(
            (
                sum(s.step.count * s.step.needs.accelerators for s in each.steps[:1])
                for each in self.occurrences
                if each.open
            ),
            default=0,
        )


def new_job(accepted: AcceptedJob, records: dict[int, OccurrenceRecord]) -> Job:
    """A job with the progress that the store has of it.

    :param records: by number of the occurrence; missing ones have not begun.
    """
    job = Job(accepted)
    for number in range(accepted.request.occurrences):
        job.occurrences.append(_occurrence(job, number, records.get(number)))
    job.begun = bool(records)
    job.published_state = job.state
    return job


def _occurrence(job: Job, number: int, record: OccurrenceRecord | None) -> Occurrence:
    status = OccurrenceStatus.OPEN if record is None else record.status
    due_ms = job.accepted.request.due_ms(number)
    cause = "" if record is None else record.cause
    occurrence = Occurrence(job, number, due_ms, status, [], cause)
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


def weight(room: Resources) -> float:
    """Cores that some room stands for, accelerators included."""
    return room.cpu / 1000 + room.accelerators * ACCELERATOR_CORES
