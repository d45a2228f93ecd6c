"""What a client account asks to be run: jobs of steps, steps of tasks.

The model is the product's own. A platform's adapter translates what clients send into a
:class:`JobRequest`; the scheduler keeps it as an :class:`AcceptedJob`. Memory is in MB,
processors in thousandths of a core, times in milliseconds.
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
    """Room on a worker.

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

    def fits(self, room: Resources) -> bool:
        """Whether this much fits into some room."""
        return (
            self.cpu <= room.cpu
            and self.memory_mb <= room.memory_mb
            and self.accelerators <= room.accelerators
        )

    def copies_in(self, room: Resources) -> int:
        """How many times this fits into some room; a large number where it is empty."""
        copies = MAX_TASKS_OF_JOB
        if self.cpu and (fit := room.cpu // self.cpu) < copies:
            copies = fit
        if self.memory_mb and (fit := room.memory_mb // self.memory_mb) < copies:
            copies = fit
        if self.accelerators and (fit := room.accelerators // self.accelerators) < copies:
            copies = fit
        return copies if copies > 0 else 0


class Step(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A number of alike tasks.

    :param needs: room that each task takes.
    :param estimate_ms: a rough guess of how long a task runs.
    :param after: numbers of earlier steps that must be done first.
    :param gang: the tasks run all together or not at all.
    :param same_rack: the tasks run much slower on more than one rack.
    :param label: a label that the worker must have.
    :param data_rack: the rack near the data; tasks run much slower elsewhere.
    :param per_worker: tasks of the step on one worker at most; 0 means any number.
    :param checkpoint: tasks save their progress and can resume from it.
    :param speculative: copies of a task may run side by side.
    :param long_running: tasks run until the job is cancelled.
    :param image: tasks of the same image behave alike.
    :param target_ms: tail latency that a serving task should stay below.
    :param fills: the tasks take processor time that others leave unused.
    :param may_miss: tasks of a long-running step that may be away through us at once.
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
        """What a task takes of a worker's room."""
        if not self.fills:
            return self.needs
        return Resources(0, self.needs.memory_mb, self.needs.accelerators)


class JobRequest(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job as a client hands it in.

    :param payload: opaque text, handed to every task.
    :param times: how often the steps run; 0 means once and at once.
    :param first_at_ms: when the first time is due, milliseconds since 1970.
    :param interval_ms: from one time to the next.
    """

    payload: str
    steps: tuple[Step, ...]
    times: int = 0
    first_at_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """How many times the steps run."""
        return max(1, self.times)

    def due_ms(self, occurrence: int) -> int:
        """When an occurrence is due, milliseconds since 1970; 0 means at once."""
        if not self.times:
            return 0
        return self.first_at_ms + occurrence * self.interval_ms


class AcceptedJob(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """A job that was accepted, as the store keeps it.

    :param account: the client account, or empty where the queue is open to all.
    :param accepted_ms: wall time of the acceptance, milliseconds since 1970.
    :param attempts: failed runs after which a task fails its job.
    :param stretch: the objective is this many times the longest chain of work...
    :param target_ms: ...plus this.
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
    """Names one task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    def __str__(self) -> str:
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.index}"

    @classmethod
    def parse(cls, text: str) -> TaskName:
        """The name that a text spells.

        :raises ValueError: it spells none.
        """
        job_id, occurrence, step, index = text.split(".")
        return cls(job_id, int(occurrence), int(step), int(index))


def faults_of(request: JobRequest) -> list[str]:
    """Every fault of a job request: its place and what was expected.

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
        faults.append(f"steps[{number}]: expected room of 0 or more")
    if min(step.estimate_ms, step.per_worker, step.target_ms, step.may_miss) < 0:
        faults.append(f"steps[{number}]: expected numbers of 0 or more")
    for earlier in step.after:
        if not 0 <= earlier < number:
            faults.append(f"steps[{number}].after: expected earlier steps, got {earlier}")
    return faults
