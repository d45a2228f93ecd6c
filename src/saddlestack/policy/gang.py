"""Gangs and the scheduling decisions about them."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from saddlestack.errors import ErrorKind
from saddlestack.models import JobClass, JobSpec, JobState, Part
from saddlestack.policy.guarantees import Charge
from saddlestack.policy.packing import Shares

CLASS_RANK = {JobClass.URGENT: 0, JobClass.NORMAL: 1, JobClass.BULK: 2}


class Gang:
    """A waiting or running job of a cell.

    :ivar rank: class rank, 0 (urgent) to 2 (bulk).
    :ivar order: position in the order of submission, used to break ties.
    :ivar progress: seconds of work saved by a checkpoint.
    :ivar moved: when it was last moved.
    :ivar next_move: the earliest time for the next attempt to move others for it.
    :ivar pinned: whether the gang can't be reclaimed where it runs.
    """

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
        """Accelerator-seconds of work done since the last start."""
        return (now - self.started) * self.spec.accelerators

    def loss(self, now: float) -> float:
        """Accelerator-seconds of work lost if the gang is stopped now."""
        return 0.0 if self.spec.checkpoint else self.work(now) + self.progress


class ReclaimMethod(enum.StrEnum):
    """How a gang is stopped when it is reclaimed."""

    CHECKPOINT = "checkpoint"
    STOP = "stop"


@dataclass(frozen=True, slots=True)
class Start:
    """Start every part of a gang.

    :param progress: seconds of work saved by a checkpoint.
    :param resumed: whether the gang resumes from a checkpoint.
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
    """Stop a whole running gang; the job returns to the queue.

    :param lost: accelerator-seconds of work lost.
    :param moved: whether the gang is only moved, to free contiguous capacity.
    """

    job_id: str
    attempt: int
    method: ReclaimMethod
    lost: float
    moved: bool = False


@dataclass(frozen=True, slots=True)
class Expire:
    """Drop a waiting job whose deadline passed before it started."""

    job_id: str


Decision = Start | Reclaim | Expire


@dataclass(frozen=True, slots=True)
class Refusal:
    """Why a job was not accepted. A refused job did not run."""

    kind: ErrorKind
    message: str
    retry_after: float | None = None


@dataclass(frozen=True, slots=True)
class Loss:
    """The outcome for a gang that lost a worker.

    :param state: queued again, or unknown for run-once jobs.
    :param lost: accelerator-seconds of work lost.
    """

    job_id: str
    attempt: int
    state: JobState
    lost: float
