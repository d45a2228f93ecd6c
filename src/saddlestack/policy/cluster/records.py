"""What the store keeps of a job's progress: one record for each occurrence.

A record is written before anything follows from it: an assignment before the worker hears
of it, an end before it is acknowledged or shown.
"""

from __future__ import annotations

import enum
import math

import msgspec


class TaskStatus(enum.IntEnum):
    """Where a task stands. Only ``ASSIGNED`` may be running somewhere."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2


class OccurrenceStatus(enum.IntEnum):
    """Where one occurrence of a job stands. The last two are final."""

    OPEN = 0
    DONE = 1
    FAILED = 2


class FailureCause(enum.StrEnum):
    """Why a job failed."""

    ATTEMPTS = "attempts"
    """A task, or a gang, has failed as often as it may."""
    ONCE = "once"
    """A task that runs only once may have begun, and was lost."""
    CRASHES = "crashes"
    """A task crashes its workers."""

    @property
    def sentence(self) -> str:
        """What its caller is told."""
        return _SENTENCES[self]


_SENTENCES = {
    FailureCause.ATTEMPTS: "a task of it has failed as often as it may",
    FailureCause.ONCE: "a task that runs only once was lost after it may have begun",
    FailureCause.CRASHES: "workers crashed under a task of it, again and again",
}


class TaskRecord(msgspec.Struct, array_like=True):
    """Progress of one task.

    :param run: number of its latest run; 0 where it never ran.
    :param worker: life of the worker that the run was given to.
    :param failures: runs that ended as failed.
    :param saved: checkpoint to resume from, or empty.
    """

    status: TaskStatus = TaskStatus.WAITING
    run: int = 0
    worker: str = ""
    failures: int = 0
    saved: str = ""


class CrashRecord(msgspec.Struct, array_like=True):
    """What crashes of workers tell of a task.

    :param crashes: workers that crashed under it and count.
    :param log_odds: natural logarithm of how much likelier it crashes its workers than not.
    :param span_s: the longest time from a start of it to such a crash, in seconds.
    :param later_starts: starts since the crash from which on they are counted.
    """

    crashes: int = 0
    log_odds: float = 0.0
    span_s: float = 0.0
    later_starts: int = 0

    @property
    def odds(self) -> float:
        """How much likelier it crashes its workers than not."""
        return math.exp(clamp_log_odds(self.log_odds))


MAX_LOG_ODDS = 50.0
"""Beyond this, either way, the odds say no more; beyond 709 they are too large for a float."""


def clamp_log_odds(log_odds: float) -> float:
    """Log odds within what says anything."""
    return max(-MAX_LOG_ODDS, min(MAX_LOG_ODDS, log_odds))


class StepRecord(msgspec.Struct, array_like=True):
    """Progress of one step.

    :param gang_failures: runs of the gang in which a member failed.
    :param failed_run: the latest such run.
    :param crashes: of tasks under which workers crashed, by index.
    """

    tasks: list[TaskRecord]
    gang_failures: int = 0
    failed_run: int = 0
    crashes: dict[int, CrashRecord] = {}


class OccurrenceRecord(msgspec.Struct, array_like=True):
    """Progress of one occurrence; final ones keep no steps.

    :param addresses: where the lives of workers are reached that were given its runs, by id. Their
        own records may lapse, and a new leader is to ask there what became of the runs. Once a
        life rather than once a task: many tasks of a wide step run on one worker.
    :param cause: a :class:`FailureCause`; empty where it has not failed, or none was kept.
    """

    status: OccurrenceStatus
    steps: list[StepRecord] = []
    addresses: dict[str, str] = {}
    cause: str = ""
