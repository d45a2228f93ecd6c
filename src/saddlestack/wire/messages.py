"""Messages between daemons, encoded as msgpack."""

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
    """The dialing side identifies itself and proves that it knows the shared key."""

    vm: str
    data_hall: str
    incarnation: int
    nonce: bytes
    proof: bytes


class Welcome(Frame, tag="we"):
    """The accepting side identifies itself and proves that it knows the shared key."""

    vm: str
    data_hall: str
    incarnation: int
    proof: bytes


class CellBeat(msgspec.Struct, array_like=True):
    """Summary of a cell that its owner sends in each heartbeat.

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
    """A heartbeat: configuration revision, whether the VM is leaving, the cells it schedules.

    :param hall: all cells of the sender's hall; only in some heartbeats to other halls.
    """

    revision: int
    leaving: bool = False
    cells: tuple[CellBeat, ...] = ()
    hall: tuple[OwnedCell, ...] | None = None


class Call(Frame, tag="c"):
    """A request that calls a method of the other daemon."""

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
    """Submit a job to the scheduler of a cell."""

    cell: str
    spec: JobSpec
    claimed: bool


class JobQuery(msgspec.Struct):
    """Read a job from the scheduler of a cell, waiting up to ``wait_s`` for its final state."""

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
    """Request the configuration if it is newer than a revision."""

    after: int


class DocumentReply(msgspec.Struct):
    """The configuration, or ``None`` if there is no newer one."""

    document: Document | None


class CellStatusRequest(msgspec.Struct):
    """Request the state of a cell from its owner."""

    cell: str


class AccountFormable(msgspec.Struct):
    """Whether an account's guarantee can be formed in a cell now."""

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
    """Ask the VM that writes a claim's bucket to claim a request ID for a cell."""

    job_id: str
    cell: str
    patient: bool


class ClaimReply(msgspec.Struct):
    """The cell that holds the claim."""

    cell: str
