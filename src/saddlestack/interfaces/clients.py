"""The calls that clients may make to an entry VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from saddlestack.interfaces.documents import Queue
from saddlestack.work import AcceptedJob, JobRequest, JobState


@dataclass(frozen=True, slots=True)
class Caller:
    """Who makes a call about a job.

    :param account: client account of the caller's key; empty without a key, as open queues allow.
    :param queue: name of the called queue; ``None`` if the call names none.
    """

    account: str
    queue: str | None


@dataclass(frozen=True, slots=True)
class ClientCall:
    """The caller of a request and the queue that it is for.

    :param deadline_s: seconds until the client stops waiting.
    :param names_queue: whether the caller named the queue. Otherwise a job may be on any queue.
    """

    queue: Queue
    account: str
    deadline_s: float
    names_queue: bool = True

    @property
    def caller(self) -> Caller:
        """Who makes the call."""
        return Caller(self.account, self.queue.name if self.names_queue else None)


class JobService(Protocol):
    """Operations on jobs for clients. Each may raise :class:`SaddlestackError`."""

    async def submit(self, call: ClientCall, job_id: str, request: JobRequest) -> AcceptedJob:
        """Accepts a job, or returns it if it was accepted before."""
        ...

    async def accepted(self, call: ClientCall, job_id: str) -> AcceptedJob | None:
        """Returns a job as it was accepted; ``None`` if there is no such job."""
        ...

    async def state(self, call: ClientCall, job_id: str) -> JobState | None:
        """Returns a job's state; ``None`` if there is no such job."""
        ...

    async def waits(self, call: ClientCall, job_id: str) -> str | None:
        """Returns what a job waits for, or why it failed.

        ``None`` if the job runs, or if the reason is not known.
        """
        ...

    async def cancel(self, call: ClientCall, job_id: str) -> bool:
        """Cancels a job; ``False`` if there is no such job."""
        ...

    async def clear(self, call: ClientCall, job_id: str) -> int:
        """Clears the tasks of a job of the suspicion that they crash workers.

        :return: the number of tasks that were suspects.
        """
        ...

    async def pending(self, call: ClientCall) -> int:
        """Returns the number of accepted jobs of a queue of which no task has started."""
        ...
