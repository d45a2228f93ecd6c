"""What the services need of a platform, in the product's own words.

A platform's adapter implements these protocols; nothing else knows its names.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from saddlestack.work import AcceptedJob, JobRequest, JobState, Resources


class StoreUnavailable(Exception):
    """The store did not take the call: nothing was done."""


class WriteInDoubt(Exception):
    """The write may have been done, or may still be done while its conditions hold."""


class HistoryGone(Exception):
    """The store forgot the changes asked for: read everything again."""


class LeaseOver(Exception):
    """The lease has ended."""


class WorkerUnreachable(Exception):
    """The worker did not answer; an order may have been done, or may be done later."""


class WorkerReplaced(Exception):
    """Another life answers at the worker's address: this one is over."""


class WorkerFenced(Exception):
    """The worker has seen a higher fencing token: we have been replaced as leader."""


class WorkerBusy(Exception):
    """The worker is unhealthy and has done nothing."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key of the store.

    :param revision: of its last change; 0 where the key is absent.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys under a prefix, and the revision from which to watch."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A key to write; with a lease, the key ends with it."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes made all together, if every expected revision holds.

    :param expect: keys and the revision each must have; 0 means absent.
    """

    expect: tuple[tuple[str, int], ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was done, as one revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """An expected revision did not hold: nothing was done.

    :param items: the expected keys as they are.
    """

    items: tuple[Item, ...]


class MetadataStore(Protocol):
    """The platform's store: linearizable reads, transactions, leases, watches."""

    async def get(self, key: str) -> Item:
        """A key; revision 0 where it is absent.

        :raises StoreUnavailable: no answer.
        """
        ...

    async def list(self, prefix: str) -> Listing:
        """All keys under a prefix.

        :raises StoreUnavailable: no answer.
        """
        ...

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Changes after a revision; removed keys have revision 0.

        :raises StoreUnavailable: no answer.
        :raises HistoryGone: the changes are no longer known.
        """
        ...

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Make changes all together.

        :raises StoreUnavailable: nothing was done.
        :raises WriteInDoubt: not known whether it was done.
        :raises LeaseOver: a lease named in it has ended; nothing was done.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """A new lease and the seconds it lasts.

        :raises StoreUnavailable: no answer.
        """
        ...

    async def keep_lease(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseOver: it has ended.
        :raises StoreUnavailable: no answer.
        """
        ...

    async def end_lease(self, lease: int) -> None:
        """End a lease and its keys.

        :raises StoreUnavailable: no answer.
        """
        ...


class Refusal(enum.StrEnum):
    """Why a worker refused a start."""

    FENCED = "fenced"
    OLD = "old"
    LATE = "late"
    ROOM = "room"
    TICKET = "ticket"
    INVALID = "invalid"


class EndKind(enum.StrEnum):
    """How a run of a task ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclass(frozen=True, slots=True)
class RunningTask:
    """A run that a worker reports as present.

    :param percent: of the work done, 0 to 100; a lasting task is at work at 100.
    :param figure: of the last half second: the tail of a serving task's answers in
        milliseconds, else the processor time in use in thousandths of a core.
    """

    task: str
    run: int
    saved: str
    percent: int
    figure: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that a worker reports as over.

    :param number: rises with each end at the worker.
    """

    number: int
    task: str
    run: int
    how: EndKind
    saved: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker answered: its clock, and what runs and ended there."""

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]


@dataclass(frozen=True, slots=True)
class StartOrder:
    """One run of a task to be started.

    :param deadline_ms: until when, on the worker's clock, everything there may run.
    :param ticket: the adviser's leave, where the queue asks for one.
    """

    task: str
    run: int
    payload: str
    saved: str
    deadline_ms: int
    fence: int
    ticket: str = ""


@dataclass(frozen=True, slots=True)
class StartReply:
    """A worker's answer to a start; ``refusal`` is ``None`` where the run is there."""

    clock_ms: int | None
    refusal: Refusal | None


class WorkerOrders(Protocol):
    """Orders to one life of a worker.

    Every call raises :class:`WorkerUnreachable`, :class:`WorkerReplaced`,
    :class:`WorkerFenced` or :class:`WorkerBusy` where it was not carried out for sure.
    """

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        """Start a run."""
        ...

    async def stop(self, task: str, run: int, fence: int, timeout_s: float) -> None:
        """Stop a run; one that is not there yet will be refused when it comes."""
        ...

    async def pace(self, task: str, run: int, percent: int, fence: int, timeout_s: float) -> None:
        """Let a run work at a share of its full speed, 0 to 100."""
        ...

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float, timeout_s: float
    ) -> WorkerReport:
        """Renew the lease of what runs, acknowledge ends up to ``seen``, and look."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """One life of a worker as it records itself.

    :param labels: its kind, its rack and others that steps may ask for.
    :param clock_ms: its steady clock when it wrote the record.
    :param remaining_ms: while it drains, the least time until it leaves.
    """

    worker_id: str
    service: str
    address: str
    data_hall: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    rack: str
    clock_ms: int
    machine: str = ""
    remaining_ms: int | None = None


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the configuration.

    :param open: needs no key.
    :param advised: a start needs the adviser's leave.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    target_ms: float
    timeout_ms: float
    open: bool
    advised: bool = False


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account of the configuration.

    :param guaranteed: accelerators that it owns for jobs of priority 0.
    """

    name: str
    keys: tuple[str, ...]
    guaranteed: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """The workers of one service.

    :param admission_check: workers refuse what does not fit.
    """

    name: str
    admission_check: bool


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what clients may send."""

    body_bytes: int = 262_144


@dataclass(frozen=True, slots=True)
class PoolConfiguration:
    """The configuration in force."""

    version: int
    queues: tuple[Queue, ...]
    accounts: tuple[ClientAccount, ...]
    pools: tuple[Pool, ...]
    limits: ClientLimits = ClientLimits()


@dataclass(frozen=True, slots=True)
class Documents:
    """Where the platform keeps the operators' documents and the workers' records."""

    configuration_prefix: str
    configuration_key: str
    workers_prefix: str
    waves_prefix: str
    wave_status_prefix: str


@dataclass(frozen=True, slots=True)
class Wave:
    """The operator's order that machines have their upkeep.

    :param deadline_s: seconds from the order until all should have had it.
    :param most: machines that may be down for it at once.
    """

    wave: int
    machines: tuple[str, ...]
    deadline_s: float
    most: int


@dataclass(frozen=True, slots=True)
class Leave:
    """The adviser's leave for a step to run at one life of a worker.

    :param valid_s: for so long.
    """

    worker_id: str
    ticket: str
    valid_s: float


class Adviser(Protocol):
    """Knows which workers may run a step of an advised queue."""

    async def advise(self, step: str, workers: tuple[str, ...]) -> tuple[Leave, ...]:
        """The workers among these that may run a step.

        :raises AdviserUnavailable: no answer.
        """
        ...


class AdviserUnavailable(Exception):
    """The adviser did not answer, or has too many calls waiting."""


class UpkeepOutcome(enum.StrEnum):
    """What became of an order of upkeep."""

    BEGUN = "begun"
    BUSY = "busy"
    FENCED = "fenced"
    NOT_IN_WAVE = "not_in_wave"
    UNKNOWN_MACHINE = "unknown_machine"


class MachinesUnavailable(Exception):
    """The platform's machines interface did not answer; an order may have been done."""


class Machines(Protocol):
    """Orders to the platform about whole machines."""

    async def upkeep(self, machine: str, wave: int, holder: str, fence: int) -> UpkeepOutcome:
        """Take a machine down for its upkeep; all that runs there dies at once.

        :raises MachinesUnavailable: no answer.
        """
        ...


class DocumentReader(Protocol):
    """Reads the platform's documents into the product's models."""

    @property
    def places(self) -> Documents:
        """Where the documents are."""
        ...

    def configuration(self, value: bytes) -> PoolConfiguration:
        """The configuration that a document holds.

        :raises SaddlestackError: it holds none.
        """
        ...

    def wave(self, item: Item) -> Wave:
        """The wave of upkeep that a document orders.

        :raises SaddlestackError: it orders none.
        """
        ...

    def wave_status(self, *, completed: bool) -> bytes:
        """What tells the operator how far a wave is."""
        ...

    def worker(self, item: Item) -> WorkerRecord:
        """The worker that a record describes.

        :raises SaddlestackError: it describes none.
        """
        ...


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

    async def cancel(self, call: ClientCall, job_id: str) -> bool:
        """Cancel a job; ``False`` where no such job exists."""
        ...

    async def pending(self, call: ClientCall) -> int:
        """Accepted jobs of a queue none of whose tasks has begun."""
        ...


@dataclass(frozen=True, slots=True)
class ClientCall:
    """Who calls and about which queue.

    :param deadline_s: seconds until the client stops waiting.
    """

    queue: Queue
    account: str
    deadline_s: float
