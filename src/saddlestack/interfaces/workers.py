"""The platform's workers: how they record themselves, and the orders they take."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from saddlestack.work import Resources


class WorkerUnreachable(Exception):
    """The worker did not answer; an order may have been done, or may be done later."""


class WorkerNotReached(WorkerUnreachable):
    """No connection to the worker could be opened: the order never left."""


class WorkerReplaced(Exception):
    """Another life answers at the worker's address: this one is over."""


class WorkerFenced(Exception):
    """The worker has seen a higher fencing token: we have been replaced as leader."""


class WorkerBusy(Exception):
    """The worker is unhealthy and has done nothing."""


class Refusal(enum.StrEnum):
    """Why a worker refused a start."""

    FENCED = "fenced"
    STALE = "old"
    LATE = "late"
    CAPACITY = "room"
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
    """What a worker answered: its clock, and what runs and ended there.

    :param more: there are more ends, which it tells of once these were acknowledged.
    :param born: when its life was born, in milliseconds since 1970; 0 where it does not tell.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    more: bool = False
    born: int = 0


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
    """Orders to one life of a worker; no other life is given them, also not under the same id.

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

    :param worker_id: the life's name, see :mod:`saddlestack.interfaces.incarnations`.
    :param labels: its kind, its rack and others that steps may ask for.
    :param remaining_ms: while it drains, the least time until it leaves.
    :param cold_ms: for how long it is still slow.
    """

    worker_id: str
    service: str
    address: str
    data_hall: str
    draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    rack: str
    machine: str = ""
    remaining_ms: int | None = None
    cold_ms: int = 0
