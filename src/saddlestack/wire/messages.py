"""The messages between daemons, msgpack on the wire."""

from __future__ import annotations

import msgspec

from saddlestack.models import Document, JobSpec, JobView

PROTOCOL = 1


class Frame(msgspec.Struct, tag_field="k", forbid_unknown_fields=False, kw_only=True):
    """Base of all frames on a peer stream."""


class Challenge(Frame, tag="ch"):
    """First frame of the accepting side."""

    nonce: bytes
    protocol: int = PROTOCOL


class Hello(Frame, tag="he"):
    """The dialling side names itself and proves that it knows the shared key."""

    vm: str
    data_hall: str
    incarnation: int
    nonce: bytes
    proof: bytes


class Welcome(Frame, tag="we"):
    """The accepting side names itself and proves the same."""

    vm: str
    data_hall: str
    incarnation: int
    proof: bytes


class CellBeat(msgspec.Struct, array_like=True):
    """What an owner says of a cell in each heartbeat.

    ``largest``, ``free`` and ``queued`` are as in
    :class:`saddlestack.policy.router.CellSummary`.
    """

    cell: str
    term: int
    largest: tuple[int, int, int]
    pinnable: tuple[int, int, int]
    free: tuple[int, int, int]
    queued: tuple[int, int, int]
    lent: tuple[int, int, int]
    capacity: int


class OwnedCell(msgspec.Struct, array_like=True):
    """A cell and the VM that schedules it."""

    vm: str
    beat: CellBeat


class Beat(Frame, tag="b", omit_defaults=True):
    """A heartbeat: configuration revision, whether the VM leaves, the cells it schedules.

    :param hall: towards other halls, now and then: all cells of the sender's hall.
    """

    revision: int
    leaving: bool = False
    cells: tuple[CellBeat, ...] = ()
    hall: tuple[OwnedCell, ...] | None = None


class Call(Frame, tag="c"):
    """A request to a method of the other daemon."""

    call: int
    method: str
    body: msgspec.Raw


class Reply(Frame, tag="r"):
    """The answer to a call; ``error`` is an error kind."""

    call: int
    body: msgspec.Raw = msgspec.Raw(b"\xc0")
    error: str | None = None
    message: str = ""
    retry_after: float | None = None


AnyFrame = Challenge | Hello | Welcome | Beat | Call | Reply


class Submit(msgspec.Struct):
    """Give a job to the scheduler of a cell."""

    cell: str
    spec: JobSpec
    claimed: bool


class JobQuery(msgspec.Struct):
    """Ask the scheduler of a cell for a job, waiting until it is final or time is up."""

    cell: str
    job_id: str
    wait_s: float


class CancelJob(msgspec.Struct):
    """Cancel a job."""

    cell: str
    job_id: str


class ListJobs(msgspec.Struct):
    """List an account's jobs in a cell, newest first."""

    cell: str
    account: str | None
    limit: int


class JobList(msgspec.Struct):
    """The answer to :class:`ListJobs`."""

    jobs: tuple[JobView, ...]


class PullDocument(msgspec.Struct):
    """Ask for the configuration if it is newer than a revision."""

    after: int


class DocumentReply(msgspec.Struct):
    """The configuration, or nothing newer."""

    document: Document | None


class CellStatusRequest(msgspec.Struct):
    """Ask an owner for the state of a cell."""

    cell: str


class AccountFormable(msgspec.Struct):
    """Whether an account's guarantee is formable in a cell now."""

    account: str
    units: int
    used: int
    formable: bool


class CellStatus(msgspec.Struct):
    """The state of a cell, for operators."""

    cell: str
    owner: str
    term: int
    interim: bool
    workers_up: int
    workers: int
    free: int
    capacity: int
    running: int
    queued: dict[str, int]
    guarantees: tuple[AccountFormable, ...]
    workers_down: tuple[str, ...] = ()


class ClaimRequest(msgspec.Struct):
    """Ask the VM that writes a claim's bucket to claim a request id for a cell."""

    job_id: str
    cell: str
    patient: bool


class ClaimReply(msgspec.Struct):
    """The cell that has the claim."""

    cell: str
