"""A gang as the decisions see it, and the decisions taken about gangs."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from saddlestack.errors import ErrorKind
from saddlestack.models import JobClass, JobSpec, JobState, Part
from saddlestack.policy.guarantees import Charge
from saddlestack.policy.packing import Shares

CLASS_RANK = {JobClass.URGENT: 0, JobClass.NORMAL: 1, JobClass.BULK: 2}


class Gang:
    """A job in a cell, waiting or running."""

    __slots__ = (
        "attempt",
        "charge",
        "deadline",
        "moved",
        "next_move",
        "order",
        "pinned",
        "progress",
        "rank",
        "resumed",
        "shares",
        "spec",
        "started",
        "state",
        "submitted",
    )

    def __init__(self, spec: JobSpec, submitted: float, order: int) -> None:
        self.spec = spec
        self.rank = CLASS_RANK[spec.job_class]
        self.submitted = submitted
        self.order = order
        self.state = JobState.QUEUED
        self.attempt = 0
        self.started = 0.0
        self.moved = float("-inf")
        self.next_move = float("-inf")
        self.deadline: float | None = None
        self.progress = 0.0
        self.resumed = False
        self.shares: Shares = ()
        self.charge: Charge | None = None
        self.pinned = False

    @property
    def job_id(self) -> str:
        """The job's name: account and request id."""
        return self.spec.job_id

    def work(self, now: float) -> float:
        """Accelerator-seconds done since the last start."""
        return (now - self.started) * self.spec.accelerators

    def loss(self, now: float) -> float:
        """Accelerator-seconds thrown away by stopping the gang now."""
        return 0.0 if self.spec.checkpoint else self.work(now) + self.progress


class ReclaimMethod(enum.StrEnum):
    """How room is taken back."""

    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Start:
    """Start every part of a gang.

    :param progress: seconds of work done before, from a checkpoint.
    :param resumed: whether it goes on from a checkpoint rather than begins.
    :param guaranteed: whether the gang runs within its account's guarantee.
    """

    job_id: str
    attempt: int
    parts: tuple[Part, ...]
    progress: float
    guaranteed: bool
    resumed: bool = False


@dataclass(frozen=True, slots=True)
class Reclaim:
    """Take a whole running gang's room back; the job returns to the queue.

    :param lost: accelerator-seconds thrown away.
    :param moved: whether it is only moved to make contiguous room.
    """

    job_id: str
    attempt: int
    method: ReclaimMethod
    lost: float
    moved: bool = False


@dataclass(frozen=True, slots=True)
class Expire:
    """Give up a waiting job: its deadline passed before it started."""

    job_id: str


Decision = Start | Reclaim | Expire


@dataclass(frozen=True, slots=True)
class Refusal:
    """A job that was not taken in, and so truly did not run."""

    kind: ErrorKind
    message: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Loss:
    """What became of a gang that lost a worker.

    :param state: queued again, or unknown for run-once work.
    :param lost: accelerator-seconds thrown away.
    """

    job_id: str
    attempt: int
    state: JobState
    lost: float
