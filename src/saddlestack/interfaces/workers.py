"""The platform's workers: their records, and the orders that they accept."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol

from saddlestack.work import Resources


class WorkerUnreachable(Exception):
    """The worker did not answer; an order may have been carried out, or may be later."""


class WorkerNotReached(WorkerUnreachable):
    """No connection to the worker could be opened: the order was not sent."""


class WorkerReplaced(Exception):
    """Another incarnation answers at the worker's address: this one is over."""


class WorkerFenced(Exception):
    """The worker has seen a higher fencing token: another VM has become the leader."""


class WorkerBusy(Exception):
    """The worker is unhealthy, and has done nothing."""


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

    :param saved: latest checkpoint.
    :param percent: share of the work that is done, 0 to 100; a long-running task that serves is at
        100.
    :param figure: over the last half second: a serving task's tail latency in milliseconds, else
        the processor time used, in thousandths of a core.
    """

    task: str
    run: int
    saved: str
    percent: int
    figure: float = 0.0


@dataclass(frozen=True, slots=True)
class EndedTask:
    """A run that a worker reports as ended.

    :param number: sequence number, which increases with each end at the worker.
    :param saved: latest checkpoint.
    """

    number: int
    task: str
    run: int
    how: EndKind
    saved: str


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's answer to a poll: its clock, its runs, and those that ended.

    :param more: there are more ends, which are reported after these were acknowledged.
    :param born: when its incarnation started, in milliseconds since 1970; 0 if it isn't reported.
    """

    clock_ms: int
    running: tuple[RunningTask, ...]
    ended: tuple[EndedTask, ...]
    more: bool = False
    born: int = 0


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start one run of a task.

    :param saved: checkpoint to resume from.
    :param deadline_ms: until when everything may run there, on the worker's clock.
    :param ticket: the adviser's approval, if the queue requires one.
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
    """A worker's answer to a start order; ``refusal`` is ``None`` if the run was started."""

    clock_ms: int | None
    refusal: Refusal | None


class WorkerOrders(Protocol):
    """Orders to one incarnation of a worker. No other accepts them, even with the same id.

    Every call raises :class:`WorkerUnreachable`, :class:`WorkerReplaced`, :class:`WorkerFenced` or
    :class:`WorkerBusy` unless it is known to have been carried out.
    """

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        """Starts a run."""
        ...

    async def stop(self, task: str, run: int, fence: int, timeout_s: float) -> None:
        """Stops a run. One that hasn't arrived yet is refused when it does."""
        ...

    async def pace(self, task: str, run: int, percent: int, fence: int, timeout_s: float) -> None:
        """Limits a run to a share of its full speed, 0 to 100."""
        ...

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float, timeout_s: float
    ) -> WorkerReport:
        """Renews the lease of all runs, acknowledges ends up to ``seen``, and polls the worker.

        :param deadline_ms: when the lease ends, on the worker's clock; ``None`` to leave it
            unchanged.
        :param wait_s: how long the worker may wait for an end before it answers.
        """
        ...

    def close(self) -> None:
        """Closes all connections."""
        ...


@dataclass(frozen=True, slots=True)
class WorkerRecord:
    """The record of one incarnation of a worker.

    :param worker_id: name of the incarnation, see :mod:`saddlestack.interfaces.incarnations`.
    :param labels: its kind, its rack, and others that steps may require.
    :param remaining_ms: while it drains, the least time until it leaves.
    :param cold_ms: remaining time of its slow start.
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
