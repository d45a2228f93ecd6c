"""Job entries of a scheduler, and the messages of its mailbox."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from saddlestack.errors import SaddlestackError
from saddlestack.models import (
    Answer,
    Document,
    JobSpec,
    JobState,
    JobView,
)
from saddlestack.platform.endpoint import SyncReply
from saddlestack.services.dispatch import LaunchOutcome
from saddlestack.services.ledger import JobRecord
from saddlestack.services.link import EndpointLink


@dataclass
class JobEntry:
    """A job held by the scheduler.

    :param operation: the latest launch or stop; the next one waits for it.
    :param launching: the attempt being launched, or 0.
    :param worker_lost: a worker was lost while the gang was being launched.
    :param stop_unconfirmed: run-once work was stopped and not every part confirmed it.
    :param persisted: the latest write of the record; ``None`` while there is no ledger.
    :param done_vms: parts of the current attempt that are done, by VM.
    """

    record: JobRecord
    operation: asyncio.Task[None] | None = None
    launching: int = 0
    worker_lost: bool = False
    stop_unconfirmed: bool = False
    cancelled: bool = False
    persisted: asyncio.Future[None] | None = None
    done_vms: set[str] = field(default_factory=set)
    answer: Answer | None = None
    damaged_answers: int = 0
    failed_starts: int = 0
    waiters: list[asyncio.Future[None]] = field(default_factory=list)

    @property
    def durable(self) -> bool:
        """Whether the latest state is known to be in the store."""
        persisted = self.persisted
        return persisted is not None and persisted.done() and persisted.exception() is None

    def view(self) -> JobView:
        """The job as reported to callers."""
        return self.record.view(self.durable)


@dataclass(slots=True)
class SubmitMessage:
    """A job was submitted."""

    spec: JobSpec
    reply: asyncio.Future[JobEntry]


@dataclass(slots=True)
class CancelMessage:
    """A caller cancelled a job."""

    job_id: str
    reply: asyncio.Future[JobEntry]


@dataclass(slots=True)
class SyncMessage:
    """An endpoint answered a sync."""

    link: EndpointLink
    reply: SyncReply


@dataclass(slots=True)
class EndpointLostMessage:
    """An endpoint stopped answering."""

    link: EndpointLink


@dataclass(slots=True)
class LaunchedMessage:
    """A launch ended."""

    job_id: str
    attempt: int
    outcome: LaunchOutcome


@dataclass(slots=True)
class ReclaimedMessage:
    """A reclaim ended; ``confirmed`` if every part is known to be stopped."""

    job_id: str
    attempt: int
    vms: tuple[str, ...]
    confirmed: bool


@dataclass(slots=True)
class RequeueMessage:
    """The delay after a failed start is over."""

    job_id: str


@dataclass(slots=True)
class ResolvedMessage:
    """A job that was accepted before the takeover is resolved."""

    job_id: str
    state: JobState
    progress: float


@dataclass(slots=True)
class ConfigureMessage:
    """The configuration or the list of leaving VMs changed."""

    document: Document
    leaving: frozenset[str]


@dataclass(slots=True)
class TickMessage:
    """The periodic tick."""


Message = (
    SubmitMessage
    | CancelMessage
    | SyncMessage
    | EndpointLostMessage
    | LaunchedMessage
    | ReclaimedMessage
    | RequeueMessage
    | ResolvedMessage
    | ConfigureMessage
    | TickMessage
)


@dataclass(frozen=True, slots=True)
class Hooks:
    """Callbacks of a scheduler.

    :param on_leadership_lost: called when another VM has a higher term or the ledger is fenced.
    :param verify: returns whether this VM still owns the cell; called after a pause.
    :param announce: called when the cell's summary changed.
    """

    on_leadership_lost: Callable[[str], None]
    verify: Callable[[str, int], Awaitable[bool]]
    announce: Callable[[], None]


def answer(reply: asyncio.Future[JobEntry], entry: JobEntry) -> None:
    """Complete a request unless its caller has stopped waiting."""
    if not reply.done():
        reply.set_result(entry)


def refuse(reply: asyncio.Future[JobEntry], error: SaddlestackError) -> None:
    """Fail a request unless its caller has stopped waiting."""
    if not reply.done():
        reply.set_exception(error)
