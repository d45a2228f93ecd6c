"""Which workers may run a step of an advised queue, as far as the adviser has told."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Protocol

from saddlestack.interfaces.machines import Leave
from saddlestack.work import Resources

WORKERS_A_CALL = 30
MARGIN_S = 0.5
"""A ticket is used only while it is valid for at least this long."""


class Candidate(Protocol):
    """A worker that may be asked about."""

    @property
    def worker_id(self) -> str:
        """Its life's name."""
        ...

    @property
    def free(self) -> Resources:
        """Room that nothing holds."""
        ...


@dataclass(slots=True)
class _Ticket:
    text: str
    until_s: float


@dataclass(slots=True)
class StepAdvice:
    """The adviser's answers about one step.

    :param asking: a call is under way.
    """

    asking: bool = False
    _tickets: dict[str, _Ticket] = field(default_factory=dict)
    _denied: set[str] = field(default_factory=set)

    def ticket(self, worker_id: str, now: float) -> str | None:
        """The valid ticket for a worker, if there is one."""
        ticket = self._tickets.get(worker_id)
        if ticket is None or ticket.until_s < now + MARGIN_S:
            return None
        return ticket.text

    def unknown(self, workers: Iterable[Candidate], now: float) -> tuple[str, ...]:
        """Workers to ask about next: known good ones first, then the most free."""
        open_questions = [
            worker
            for worker in workers
            if worker.worker_id not in self._denied and self.ticket(worker.worker_id, now) is None
        ]
        open_questions.sort(
            key=lambda worker: (
                worker.worker_id not in self._tickets,
                -worker.free.accelerators,
                -worker.free.cpu,
            )
        )
        return tuple(worker.worker_id for worker in open_questions[:WORKERS_A_CALL])

    def record_answer(self, asked: Iterable[str], leaves: Iterable[Leave], now: float) -> None:
        """Note an answer; which workers are good for a step does not change."""
        good = {leave.worker_id: leave for leave in leaves}
        for worker_id in asked:
            leave = good.get(worker_id)
            if leave is None:
                self._denied.add(worker_id)
            else:
                self._tickets[worker_id] = _Ticket(leave.ticket, now + leave.valid_s)

    def discard_ticket(self, worker_id: str) -> None:
        """A worker did not take its ticket: it has to be asked for anew."""
        self._tickets.pop(worker_id, None)
