"""What clients may ask of an entry VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from saddlestack.interfaces.documents import Queue
from saddlestack.work import AcceptedJob, JobRequest, JobState


@dataclass(frozen=True, slots=True)
class ClientCall:
    """Who calls and about which queue.

    :param deadline_s: seconds until the client stops waiting.
    """

    queue: Queue
    account: str
    deadline_s: float


class JobService(Protocol):
    """What clients may ask. Every call may raise :class:`SaddlestackError`."""

    async def submit(self, call: ClientCall, job_id: str, request: JobRequest) -> AcceptedJob:
        """Accept a job, or find it accepted."""
        ...

    async def accepted(self, call: ClientCall, job_id: str) -> AcceptedJob | None:
        """A job as it was accepted; ``None`` where no such job exists."""
        ...

    async def state(self, call: ClientCall, job_id: str) -> JobState | None:
        """A job's state; ``None`` where no such job exists."""
        ...

    async def waits(self, call: ClientCall, job_id: str) -> str | None:
        """What a job waits for, or why it failed; ``None`` where it runs, or that is not known."""
        ...

    async def cancel(self, call: ClientCall, job_id: str) -> bool:
        """Cancel a job; ``False`` where no such job exists."""
        ...

    async def clear(self, call: ClientCall, job_id: str) -> int:
        """Hold the tasks of a job to be sound, though workers crashed under them.

        :return: so many of them were suspects.
        """
        ...

    async def pending(self, call: ClientCall) -> int:
        """Accepted jobs of a queue none of whose tasks has begun."""
        ...
