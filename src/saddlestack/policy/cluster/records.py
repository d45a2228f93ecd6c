"""Stored progress of a job: one record for each occurrence.

A record is written before it takes effect: an assignment before the start order is sent to the
worker, an end before it is acknowledged or published.
"""

from __future__ import annotations

import enum
import math

import msgspec


class TaskStatus(enum.IntEnum):
    """Status of a task. Only an ``ASSIGNED`` task may be running on some worker."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2


class OccurrenceStatus(enum.IntEnum):
    """Status of one occurrence of a job. The last two are final."""

    OPEN = 0
    DONE = 1
    FAILED = 2


class FailureCause(enum.StrEnum):
    """Why a job failed."""

    ATTEMPTS = "attempts"
    """A task or a gang has used up its attempts."""
    ONCE = "once"
    """A task that may run only once was lost after it may have begun."""
    CRASHES = "crashes"
    """A task crashed its workers."""

    @property
    def sentence(self) -> str:
        """Explanation for the client."""
        return _SENTENCES[self]


_SENTENCES = {
    FailureCause.ATTEMPTS: "a task of it has failed as often as it may",
    FailureCause.ONCE: "a task that runs only once was lost after it may have begun",
    FailureCause.CRASHES: "workers crashed under a task of it, again and again",
}


class TaskRecord(msgspec.Struct, array_like=True):
    """Progress of one task.

    :param run: number of its latest run; 0 if it never ran.
    :param worker: id of the worker incarnation that was given that run.
    :param failures: number of failed runs.
    :param saved: checkpoint to resume from, or empty.
    """

    status: TaskStatus = TaskStatus.WAITING
    run: int = 0
    worker: str = ""
    failures: int = 0
    saved: str = ""


class UnconfirmedCrash(msgspec.Struct, array_like=True, frozen=True):
    """A counted crash that only missing answers show. The worker may have been cut off instead.

    :param worker: id of the worker incarnation.
    :param log_odds: what the crash added to the log odds of the task.
    :param machine: the machine that it ran on; empty if unknown.
    :param address: where it was called; empty if unknown.
    """

    worker: str
    log_odds: float = 0.0
    machine: str = ""
    address: str = ""


class CrashRecord(msgspec.Struct, array_like=True):
    """Evidence from crashes of workers that a task causes them.

    :param crashes: number of counted crashes of workers that ran it, unconfirmed ones included.
    :param log_odds: natural logarithm of the odds that it crashes its workers.
    :param span_s: the longest time from a start of it to such a crash, in seconds.
    :param later_starts: number of starts since the crash from which on starts are counted.
    :param unconfirmed: the counted crashes that may yet turn out to be none, oldest first.
    """

    crashes: int = 0
    log_odds: float = 0.0
    span_s: float = 0.0
    later_starts: int = 0
    unconfirmed: tuple[UnconfirmedCrash, ...] = ()

    @property
    def confirmed_crashes(self) -> int:
        """Number of counted crashes without the unconfirmed ones."""
        return max(0, self.crashes - len(self.unconfirmed))

    @property
    def confirmed_log_odds(self) -> float:
        """Log odds without what unconfirmed crashes added."""
        return self.log_odds - sum(crash.log_odds for crash in self.unconfirmed)

    @property
    def odds(self) -> float:
        """Odds that it crashes its workers."""
        return math.exp(clamp_log_odds(self.log_odds))


MAX_LOG_ODDS = 50.0
"""Bound for log odds of either sign. Larger values carry no more information, and from 710 on the
odds overflow a float."""


def clamp_log_odds(log_odds: float) -> float:
    """Limit log odds to :data:`MAX_LOG_ODDS` in either direction."""
    return max(-MAX_LOG_ODDS, min(MAX_LOG_ODDS, log_odds))


class StepRecord(msgspec.Struct, array_like=True):
    """Progress of one step.

    :param gang_failures: number of runs of the gang in which a member failed.
    :param failed_run: number of the latest such run.
    :param crashes: evidence on tasks under which workers crashed, by index of the task.
    """

    tasks: list[TaskRecord]
    gang_failures: int = 0
    failed_run: int = 0
    crashes: dict[int, CrashRecord] = {}


class OccurrenceRecord(msgspec.Struct, array_like=True):
    """Progress of one occurrence. Final ones hold no steps.

    :param addresses: addresses of the worker incarnations that hold its runs, by id. A worker's own
        record may lapse, and a new leader has to poll the worker for the outcome of the runs.
        Stored per worker rather than per task, since many tasks of a wide step run on one worker.
    :param cause: a :class:`FailureCause`; empty if it has not failed or no cause was stored.
    :param begun: whether a worker has begun one of its runs. An assignment does not show that: the
        worker may refuse it. ``None`` in records of earlier versions.
    """

    status: OccurrenceStatus
    steps: list[StepRecord] = []
    addresses: dict[str, str] = {}
    cause: str = ""
    begun: bool | None = None

    @property
    def may_have_begun(self) -> bool:
        """Whether a worker has begun one of its runs, or may have, if the record does not say."""
        if self.status is not OccurrenceStatus.OPEN:
            return True
        if self.begun is not None:
            return self.begun
        return any(task.run for step in self.steps for task in step.tasks)
