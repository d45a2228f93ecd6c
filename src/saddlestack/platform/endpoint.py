"""Client of an endpoint: leases, commands and the state of its tasks.

An endpoint grants its lease to one (holder, term) at a time and takes commands from that
holder only. See ``docs/interfaces.md`` for the protocol.
"""

from __future__ import annotations

import enum
import hashlib

import msgspec

from saddlestack.codec import from_json
from saddlestack.models import JobSpec
from saddlestack.wire.dialer import Dialer
from saddlestack.wire.http import HttpClient, error_from_response


class TaskState(enum.StrEnum):
    """The state of one part of a gang at its endpoint."""

    PREPARED = "prepared"
    RUNNING = "running"
    DONE = "done"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    CANCELLED = "cancelled"


class TaskStatus(msgspec.Struct, omit_defaults=True):
    """State of one part of a gang, as its endpoint reports it.

    :param started: whether it ever ran in this attempt.
    :param progress: seconds of work done.
    :param spec: the job, in full listings only.
    """

    job: str
    attempt: int
    state: TaskState
    accelerators: int
    started: bool
    progress: float = 0.0
    output: str = ""
    length: int = 0
    digest: str = ""
    spec: JobSpec | None = None
    parts: tuple[str, ...] = ()


class SyncBody(msgspec.Struct, omit_defaults=True):
    """Requests or renews the lease and long-polls for changes.

    :param after: sequence number of the last change received; -1 requests all tasks.
    :param wait_s: seconds the endpoint may wait for a change before it answers.
    """

    holder: str
    term: int
    lease_s: float
    revision: int
    after: int = -1
    incarnation: int = 0
    wait_s: float = 0.0


class SyncReply(msgspec.Struct, omit_defaults=True):
    """Changes at the endpoint since the last sync.

    :param full: whether ``tasks`` holds all tasks rather than the changed ones.
    """

    incarnation: int
    sequence: int
    term: int
    leaving: bool = False
    full: bool = False
    tasks: tuple[TaskStatus, ...] = ()


class Op(enum.StrEnum):
    """Operation of a command on a part of a gang."""

    PREPARE = "prepare"
    START = "start"
    RUN = "run"
    CANCEL = "cancel"
    STOP = "stop"
    CHECKPOINT = "checkpoint"
    THROTTLE = "throttle"
    ACK = "ack"


class Command(msgspec.Struct, omit_defaults=True):
    """One command for one part of a gang.

    :param progress: seconds of work that the checkpoint holds.
    :param resume: continue from a checkpoint instead of starting over.
    """

    op: Op
    job: str
    attempt: int
    accelerators: int = 0
    progress: float = 0.0
    resume: bool = False
    leader: bool = False
    parts: tuple[str, ...] = ()
    spec: JobSpec | None = None


class CommandsBody(msgspec.Struct):
    """Commands to run in order, under one lease."""

    holder: str
    term: int
    revision: int
    commands: tuple[Command, ...]


class CommandResult(msgspec.Struct, omit_defaults=True):
    """Result of a command.

    :param ok: whether it was carried out, now or by an earlier delivery.
    :param error: the error kind if it was not.
    :param started: whether the part ever ran in this attempt.
    """

    ok: bool
    error: str = ""
    started: bool = False
    progress: float = 0.0


class CommandsReply(msgspec.Struct):
    """A result for each command, in order."""

    results: tuple[CommandResult, ...]


def output_digest(job: str, attempt: int, output: str) -> str:
    """Digest that verifies that an output is complete and belongs to this attempt.

    :rtype: str
    """
    return hashlib.sha256(f"{job}\0{attempt}\0{output}".encode()).hexdigest()


class EndpointClient:
    """Client of one endpoint, over persistent connections."""

    def __init__(self, address: str, port: int, *, dialer: Dialer | None = None) -> None:
        self._http = HttpClient(address, port, dialer=dialer, max_idle=4)

    async def sync(self, body: SyncBody, timeout: float) -> SyncReply:
        """Take or renew the lease and receive changes.

        :raises SaddlestackError: refused: a higher term, another holder, an older revision.
        :raises NotSent: the request was not sent.
        :raises AnswerLost: the request may have arrived.
        """
        response = await self._http.request("POST", "/v1/sync", body, timeout=timeout)
        if response.status != 200:
            raise error_from_response(response)
        return from_json(response.body, SyncReply)

    async def command(self, body: CommandsBody, timeout: float) -> CommandsReply:
        """Send commands.

        :raises SaddlestackError: all refused: a higher term, another holder, no lease.
        :raises NotSent: the request was not sent.
        :raises AnswerLost: the request may have arrived.
        """
        response = await self._http.request("POST", "/v1/commands", body, timeout=timeout)
        if response.status != 200:
            raise error_from_response(response)
        return from_json(response.body, CommandsReply)

    @property
    def bytes(self) -> int:
        """Bytes sent and received."""
        return self._http.bytes

    def close(self) -> None:
        """Close all connections."""
        self._http.close()
