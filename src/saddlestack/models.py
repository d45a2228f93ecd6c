"""The data models that callers, operators and daemons exchange.

Every model is a :class:`msgspec.Struct`: typed, validated when decoded, and encoded as JSON
for callers and as msgpack between daemons. Times are in seconds; wall times are seconds since
the epoch.
"""

from __future__ import annotations

import enum

import msgspec

MAX_GANG = 256
MAX_NAME = 128
MAX_PAYLOAD = 64 * 1024


class JobClass(enum.StrEnum):
    """The urgency of a job."""

    URGENT = "urgent"
    NORMAL = "normal"
    BULK = "bulk"


class Adjacency(enum.StrEnum):
    """How close together the accelerators of a gang must be."""

    WORKER = "worker"
    RACK = "rack"
    HALL = "hall"


class JobState(enum.StrEnum):
    """The state of a job. The last four are final."""

    QUEUED = "queued"
    STARTING = "starting"
    RUNNING = "running"
    DONE = "done"
    NOT_RUN = "not_run"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"

    @property
    def final(self) -> bool:
        """Whether a job in this state never changes again."""
        return self in FINAL_STATES


FINAL_STATES = frozenset({JobState.DONE, JobState.NOT_RUN, JobState.CANCELLED, JobState.UNKNOWN})
ADJACENCY_ORDER = {Adjacency.WORKER: 0, Adjacency.RACK: 1, Adjacency.HALL: 2}


class Model(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Base of all immutable models; unknown fields are an error."""


class MutableModel(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Base of the few models that are modified in place."""


class Shape(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A number of accelerators and how close together they must be.

    :param accelerators: the number of accelerators, 1 to 256.
    :param adjacent: whether they must share a worker, a rack or a data hall.
    """

    accelerators: int
    adjacent: Adjacency

    def __str__(self) -> str:
        return f"{self.accelerators}@{self.adjacent}"


class Guarantee(Model, frozen=True):
    """A shape that is always available to a client account, ``count`` times."""

    accelerators: int
    adjacent: Adjacency | None = None
    count: int = 1


class Limits(Model, frozen=True):
    """Limits on the requests of one client account.

    :param queued: the maximum number of waiting jobs.
    :param rate: submissions per second.
    :param burst: submissions allowed at once beyond ``rate``.
    """

    queued: int = 1000
    rate: float = 500.0
    burst: int = 3000


class Account(Model, frozen=True):
    """A client account: its guarantees, limits and the hashes of its tokens."""

    name: str
    guarantees: tuple[Guarantee, ...] = ()
    limits: Limits = Limits()
    tokens: tuple[str, ...] = ()


class Weights(Model, frozen=True):
    """How a deployment weighs completion time against fragmentation."""

    completion: float = 0.5
    fragmentation: float = 0.5


class Rack(Model, frozen=True):
    """A rack of identical workers, named RACK-01, RACK-02 and so on."""

    name: str
    workers: int
    accelerators: int
    slots: int = 8


class DataHall(Model, frozen=True):
    """A data hall and its racks."""

    name: str
    racks: tuple[Rack, ...]


class CellPlan(Model, frozen=True):
    """A cell: whole racks of one data hall, scheduled together."""

    name: str
    data_hall: str
    racks: tuple[str, ...]


class Assignment(Model, frozen=True):
    """One guaranteed shape of an account, as assigned to a cell."""

    account: str
    cell: str
    accelerators: int
    adjacent: Adjacency

    @property
    def shape(self) -> Shape:
        """The guaranteed shape."""
        return Shape(self.accelerators, self.adjacent)


class JobSpec(Model, frozen=True):
    """A job as requested by a caller, identified by account and request.

    :param estimate: the caller's estimate of the running time in seconds.
    :param deadline: wall time after which the job must not start, or ``None``.
    :param payload: opaque data that is passed to the first task.
    """

    account: str
    request: str
    job_class: JobClass
    accelerators: int
    adjacent: Adjacency
    run_once: bool = False
    checkpoint: bool = False
    estimate: float = 60.0
    deadline: float | None = None
    payload: str = ""

    @property
    def shape(self) -> Shape:
        """The shape of the gang."""
        return Shape(self.accelerators, self.adjacent)

    @property
    def job_id(self) -> str:
        """The job id, made of account and request."""
        return f"{self.account}/{self.request}"

    @property
    def reclaimable(self) -> bool:
        """Whether the job may be stopped and started again without running its work twice."""
        return self.checkpoint or not self.run_once


class Part(msgspec.Struct, frozen=True, array_like=True):
    """The share of a gang on one worker."""

    vm: str
    accelerators: int


class Answer(Model, frozen=True):
    """The output of a finished job, with its length and digest.

    :param digest: SHA-256 of ``output``, hexadecimal.
    """

    attempt: int
    length: int
    digest: str
    output: str


class JobView(Model, frozen=True):
    """The state of a job as returned to its caller."""

    account: str
    request: str
    state: JobState
    job_class: JobClass
    accelerators: int
    attempt: int
    durable: bool
    cell: str
    parts: tuple[Part, ...] = ()
    submitted: float = 0.0
    started: float | None = None
    finished: float | None = None
    error: str | None = None
    message: str | None = None
    answer: Answer | None = None


class ErrorBody(Model, frozen=True):
    """The body of every error response."""

    error: str
    message: str
    retryable: bool
    ran: str
    retry_after: float | None = None
    where: str | None = None


class Intent(Model, frozen=True):
    """A configuration change by an operator. Fields that are not set leave the value unchanged.

    :param data_halls: the halls and racks, replacing all existing ones.
    :param accounts: client accounts to create or replace; without tokens they keep theirs.
    :param remove_accounts: client accounts to remove.
    :param drain: VMs that must receive no new work.
    :param undrain: VMs that may receive work again.
    """

    data_halls: tuple[DataHall, ...] | None = None
    accounts: tuple[Account, ...] = ()
    remove_accounts: tuple[str, ...] = ()
    weights: Weights | None = None
    spare: int | None = None
    drain: tuple[str, ...] = ()
    undrain: tuple[str, ...] = ()


class AuditRecord(Model, frozen=True):
    """An accepted or refused configuration change.

    :param record: the unique id of the record; the same record is never stored twice.
    :param at: wall time of the change.
    :param outcome: ``accepted`` or an error kind.
    """

    record: str
    at: float
    who: str
    vm: str
    plan: str
    base_revision: int
    revision: int
    changes: tuple[str, ...]
    outcome: str
    message: str = ""


class Document(Model, frozen=True):
    """The current configuration, stored as one versioned value in the platform's store.

    :param revision: incremented by each accepted change.
    :param spare: workers that each cell can lose with all guarantees still packing.
    :param leaving: VMs that receive no new work.
    :param history: the latest accepted changes, newest last.
    """

    revision: int = 0
    data_halls: tuple[DataHall, ...] = ()
    accounts: tuple[Account, ...] = ()
    weights: Weights = Weights()
    spare: int = 0
    assignments: tuple[Assignment, ...] = ()
    leaving: tuple[str, ...] = ()
    history: tuple[AuditRecord, ...] = ()

    def account(self, name: str) -> Account | None:
        """The client account of that name, or ``None``."""
        return next((account for account in self.accounts if account.name == name), None)


class Plan(Model, frozen=True):
    """The effect that confirming an intent would have. A plan itself changes nothing.

    :param plan: digest of the base revision and the intent.
    :param changes: the changes, one sentence each.
    :param reclaims: the running work that may be reclaimed, one sentence each.
    :param refusals: why the plan can't be confirmed; empty if it can.
    """

    plan: str
    base_revision: int
    intent: Intent
    changes: tuple[str, ...]
    reclaims: tuple[str, ...] = ()
    refusals: tuple[str, ...] = ()
    refusal_kind: str | None = None


class Confirmation(Model, frozen=True):
    """A confirmed plan.

    :param in_force: known VMs that have applied the revision.
    :param behind: known VMs that have not applied it yet.
    """

    revision: int
    changes: tuple[str, ...]
    in_force: tuple[str, ...] = ()
    behind: tuple[str, ...] = ()
