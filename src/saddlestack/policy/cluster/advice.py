"""The adviser's approvals: which workers may run a step of an advised queue."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from saddlestack.interfaces.machines import Leave
from saddlestack.work import Resources

MAX_WORKERS_PER_CALL = 30
TICKET_MARGIN_S = 0.5
"""A ticket is used only if it stays valid for at least this long."""


class Candidate(Protocol):
    """A worker for which approval may be requested."""

    @property
    def worker_id(self) -> str:
        """The id of its incarnation."""
        ...

    @property
    def free(self) -> Resources:
        """Its resources that no run and no reservation holds."""
        ...


@dataclass(slots=True)
class _Ticket:
    text: str
    expires_s: float


@dataclass(slots=True)
class StepAdvice:
    """The adviser's answers about one step.

    :param asking: a call to the adviser is in progress.
    """

    asking: bool = False
    _tickets: dict[str, _Ticket] = field(default_factory=dict)
    _denied: set[str] = field(default_factory=set)

    def ticket(self, worker_id: str, now: float) -> str | None:
        """The ticket for a worker, or ``None`` if there is none that is still valid."""
        ticket = self._tickets.get(worker_id)
        if ticket is None or ticket.expires_s < now + TICKET_MARGIN_S:
            return None
        return ticket.text

    def unknown(self, workers: Iterable[Candidate], now: float) -> tuple[str, ...]:
        """Ids of the workers to ask about next.

        Workers that were approved before come first, then those with the most free resources.
        """
        unanswered = [
            worker
            for worker in workers
            if worker.worker_id not in self._denied and self.ticket(worker.worker_id, now) is None
        ]
        unanswered.sort(
            key=lambda worker: (
                worker.worker_id not in self._tickets,
                -worker.free.accelerators,
                -worker.free.cpu,
            )
        )
        return tuple(worker.worker_id for worker in unanswered[:MAX_WORKERS_PER_CALL])

    def record_answer(self, asked: Iterable[str], approvals: Iterable[Leave], now: float) -> None:
        """Record an answer. Workers that were asked about and not approved are never asked about
        again, since the adviser's choice for a step does not change.
        """
        approved = {approval.worker_id: approval for approval in approvals}
        for worker_id in asked:
            approval = approved.get(worker_id)
            if approval is None:
                self._denied.add(worker_id)
            else:
                self._tickets[worker_id] = _Ticket(approval.ticket, now + approval.valid_s)

    def discard_ticket(self, worker_id: str) -> None:
        """Discard a ticket that its worker rejected, so that a new one is requested."""
        self._tickets.pop(worker_id, None)
