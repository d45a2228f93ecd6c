"""The model of a job: jobs consist of steps, steps of tasks.

The model is independent of the platform. A platform's adapter translates what clients send into a
:class:`JobRequest`; the scheduler stores it as an :class:`AcceptedJob`. Memory is in MB, processor
capacity in thousandths of a core, times are in milliseconds.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass

import msgspec

MAX_TASKS_OF_JOB = 10_000
MAX_STEPS = 256
MAX_PAYLOAD_BYTES = 4_000


class JobState(enum.StrEnum):
    """The state of a job. The last three are final."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


FINAL_STATES = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


class Resources(msgspec.Struct, frozen=True, array_like=True):
    """An amount of a worker's resources.

    :param cpu: thousandths of a core.
    :param memory_mb: megabytes.
    :param accelerators: whole accelerators.
    """

    cpu: int = 0
    memory_mb: int = 0
    accelerators: int = 0

    def __add__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu + other.cpu,
            self.memory_mb + other.memory_mb,
            self.accelerators + other.accelerators,
        )

    def __sub__(self, other: Resources) -> Resources:
        return Resources(
            self.cpu - other.cpu,
            self.memory_mb - other.memory_mb,
            self.accelerators - other.accelerators,
        )

    def fits(self, available: Resources) -> bool:
        """Whether this amount fits into the given resources."""
        return (
            self.cpu <= available.cpu
            and self.memory_mb <= available.memory_mb
            and self.accelerators <= available.accelerators
        )

    def copies_in(self, available: Resources) -> int:
        """How many times this amount fits into the given resources.

        At most ``MAX_TASKS_OF_JOB``, also if the amount is empty.
        """
        copies = MAX_TASKS_OF_JOB
        if self.cpu and (fit := available.cpu // self.cpu) < copies:
            copies = fit
        if self.memory_mb and (fit := available.memory_mb // self.memory_mb) < copies:
            copies = fit
        if self.accelerators and (fit := available.accelerators // self.accelerators) < copies:
            copies = fit
        return copies if copies > 0 else 0


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A number of identical tasks.

    :param count: the number of tasks.
    :param needs: resources of each task.
    :param estimate_ms: a rough estimate of how long a task runs.
    :param after: numbers of earlier steps that must be done first.
    :param gang: the tasks run all together or not at all.
    :param same_rack: the tasks run much slower on more than one rack.
    :param label: a label that the worker must have.
    :param data_rack: the rack near the data; tasks run much slower elsewhere.
    :param per_worker: the maximum number of tasks of the step on one worker; 0 means any number.
    :param checkpoint: tasks save their progress and can resume from it.
    :param speculative: copies of a task may run concurrently.
    :param long_running: tasks run until the job is cancelled.
    :param image: tasks of the same image behave alike.
    :param target_ms: tail latency that a serving task should stay below.
    :param fills: the tasks use processor time that others leave unused.
    :param may_miss: the maximum number of tasks of a long-running step that the scheduler may
        have stopped at once.
    :param once: a task that may have begun never starts again, except from a checkpoint.
    """

    count: int
    needs: Resources = Resources()
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    per_worker: int = 0
    checkpoint: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0
    once: bool = False

    @property
    def allocation(self) -> Resources:
        """The resources that a task reserves on its worker."""
        if not self.fills:
            return self.needs
        return Resources(0, self.needs.memory_mb, self.needs.accelerators)


class JobRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as submitted by a client.

    :param payload: opaque text that is passed to every task.
    :param times: how often the steps run; 0 means once and immediately.
    :param first_at_ms: when the first occurrence is due, milliseconds since 1970.
    :param interval_ms: the time from one occurrence to the next.
    """

    payload: str
    steps: tuple[Step, ...]
    times: int = 0
    first_at_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """The number of times that the steps run."""
        return max(1, self.times)

    def due_ms(self, occurrence: int) -> int:
        """When an occurrence is due, milliseconds since 1970; 0 means immediately."""
        if not self.times:
            return 0
        return self.first_at_ms + occurrence * self.interval_ms


class AcceptedJob(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An accepted job, as kept in the store.

    The objective for its duration is ``stretch`` times its longest chain of work plus
    ``target_ms``.

    :param account: the client account, or empty if the queue is open to all.
    :param accepted_ms: wall time of the acceptance, milliseconds since 1970.
    :param attempts: the number of failed runs of a task after which its job fails.
    :param stretch: the factor of the objective.
    :param target_ms: the constant of the objective, in milliseconds.
    """

    job_id: str
    account: str
    queue: str
    service: str
    priority: int
    attempts: int
    accepted_ms: int
    request: JobRequest
    stretch: float = 1.0
    target_ms: float = 0.0


@dataclass(frozen=True, slots=True, order=True)
class TaskName:
    """Identifies one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> TaskName:
        """Parse a task name, as formatted by ``str``.

        :raises ValueError: the text is not a task name.
        """
        job_id, occurrence, step, index = text.split(".")
        return cls(job_id, int(occurrence), int(step), int(index))


def faults_of(request: JobRequest) -> list[str]:
    """List every error in a job request, with its location and what was expected.

    :rtype: list[str]
    """
    faults: list[str] = []
    if len(request.payload.encode()) > MAX_PAYLOAD_BYTES:
        faults.append(f"spec: expected at most {MAX_PAYLOAD_BYTES} bytes")
    if not 1 <= len(request.steps) <= MAX_STEPS:
        faults.append(f"steps: expected 1 to {MAX_STEPS}, got {len(request.steps)}")
    if min(request.times, request.first_at_ms, request.interval_ms) < 0:
        faults.append("times, start and interval: expected 0 or more")
    for number, step in enumerate(request.steps):
        faults += _step_faults(number, step)
    total = sum(step.count for step in request.steps) * request.occurrences
    if total > MAX_TASKS_OF_JOB:
        faults.append(f"steps: expected at most {MAX_TASKS_OF_JOB} tasks in all, got {total}")
    return faults


def _step_faults(number: int, step: Step) -> list[str]:
    faults: list[str] = []
    if step.count < 1:
        faults.append(f"steps[{number}].count: expected 1 or more, got {step.count}")
    needs = step.needs
    if min(needs.cpu, needs.memory_mb, needs.accelerators) < 0:
        faults.append(f"steps[{number}]: expected resources of 0 or more")
    if min(step.estimate_ms, step.per_worker, step.target_ms, step.may_miss) < 0:
        faults.append(f"steps[{number}]: expected numbers of 0 or more")
    for earlier in step.after:
        if not 0 <= earlier < number:
            faults.append(f"steps[{number}].after: expected earlier steps, got {earlier}")
    return faults
