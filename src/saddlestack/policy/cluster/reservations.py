"""Reservations: resources kept for a step until the runs that hold them have stopped.

While those runs stop, the free part of a reservation may be lent to other work. A borrower that
outlasts the stops may delay the reservation's step for as long again as the stops did. After that
it is preempted too.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.waiting import is_waiting
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

RESERVATION_TIMEOUT_S = 2.5
"""A reservation that was not used within this time is released, and the search is repeated."""
STOP_OVERDUE_S = 10.0
"""If a run has not stopped within this time since work first waited for its resources, others are
preempted instead. Twice as long as runs take to stop, because preempting others in place of a run
that is about to end wastes their work."""


@dataclass(slots=True)
class Reservation:
    """Resources reserved for a step on some workers.

    :param places: a worker for each task; one that is to run several tasks is listed once for each.
    :param expires_s: when the reservation expires, on the monotonic clock.
    """

    step: StepState
    places: list[Worker]
    expires_s: float

    @property
    def _workers(self) -> Iterable[Worker]:
        """The distinct workers, in the order of the places."""
        return dict.fromkeys(self.places)

    @property
    def is_free(self) -> bool:
        """Whether all reserved resources are free."""
        return all(self._fits(worker, worker.used) for worker in self._workers)

    @property
    def awaits_stops(self) -> bool:
        """Whether runs that are not borrowers still hold reserved resources."""
        return not all(self._fits(worker, self._held_by_others(worker)) for worker in self._workers)

    @property
    def stopping(self) -> Iterator[Run]:
        """Runs that are being stopped on workers whose reserved resources are not free yet."""
        for worker in self._workers:
            if not self._fits(worker, worker.used):
                yield from (run for run in worker.runs.values() if run.stopping)

    @property
    def borrowers(self) -> Iterator[Run]:
        """Runs that borrow the reserved resources and are not being stopped."""
        for worker in self._workers:
            for run in worker.runs.values():
                if self.step in run.lent_by and not run.stopping:
                    yield run

    def _held_by_others(self, worker: Worker) -> Resources:
        """Resources held by runs of a worker other than the borrowers from the step."""
        held = Resources()
        for run in worker.runs.values():
            if self.step not in run.lent_by:
                held = held + run.allocation
        return held

    @property
    def is_suspected(self) -> bool:
        """Whether one of the workers may be unreachable."""
        return any(worker.suspected for worker in self.places)

    def _fits(self, worker: Worker, used: Resources) -> bool:
        if worker.is_overcommitted:
            return False
        free = worker.record.capacity - used
        copies = worker.within_limit(self.step, self.step.step.allocation.copies_in(free))
        return copies >= self.places.count(worker)

    def surplus_place(self, worker: Worker) -> Worker | None:
        """A place that its step does not need now that a task of it has started on a worker.

        It is on that worker if the step's limit of tasks per worker allows no more there.
        """
        count = self.places.count(worker)
        if worker.within_limit(self.step, count) < count:
            return worker
        waiting = sum(1 for task in self.step.tasks if is_waiting(task))
        return self.places[-1] if len(self.places) > waiting else None


class Reservations:
    """All reservations of a cluster, at most one for each step."""

    def __init__(self) -> None:
        self._held: dict[int, Reservation] = {}

    def of(self, step: StepState) -> Reservation | None:
        """The step's reservation, or ``None``."""
        return self._held.get(id(step))

    def lenders(self, worker: Worker) -> frozenset[StepState]:
        """Steps that have reserved resources on a worker."""
        return frozenset(held.step for held in self._held.values() if worker in held.places)

    def reserve(self, step: StepState, places: list[Worker], now: float) -> Reservation:
        """Reserve resources on workers for a step.

        :param places: a worker for each task.
        """
        if step.preempts_since_s is None:
            step.preempts_since_s = now
        for worker in places:
            worker.reserved = worker.reserved + step.step.allocation
            _note_awaited(worker, now)
        held = self._held[id(step)] = Reservation(step, places, now + RESERVATION_TIMEOUT_S)
        return held

    def release(self, step: StepState) -> bool:
        """Release the step's reservation.

        :return: whether it had one.
        """
        held = self._held.pop(id(step), None)
        if held is None:
            return False
        for worker in held.places:
            worker.reserved = worker.reserved - step.step.allocation
        return True

    def release_surplus(self, step: StepState, worker: Worker) -> bool:
        """Release the place that a step needs no more since a task of it has started on a worker.

        :return: whether there was one.
        """
        held = self.of(step)
        place = None if held is None else held.surplus_place(worker)
        if held is None or place is None:
            return False
        held.places.remove(place)
        place.reserved = place.reserved - step.step.allocation
        if not held.places:
            del self._held[id(step)]
        return True

    def __len__(self) -> int:
        return len(self._held)

    def __iter__(self) -> Iterator[Reservation]:
        return iter(self._held.values())

    def release_expired(self, now: float) -> None:
        """Release reservations that have expired or can no longer be used."""
        for held in list(self._held.values()):
            usable = all(worker.accepts_work(now) for worker in held.places)
            if not usable or now > held.expires_s or not held.step.occurrence.open:
                self.release(held.step)


def is_overdue(run: Run, now: float) -> bool:
    """Whether other work has waited for a run to end for longer than :data:`STOP_OVERDUE_S`."""
    return run.awaited_s is not None and now - run.awaited_s > STOP_OVERDUE_S


def is_loan_due(run: Run, step: StepState, now: float) -> bool:
    """Whether a borrower has delayed the lending step for long enough to be preempted.

    A borrower may go on for as long as the step has waited for the stops: work that is about to end
    loses nothing, and the step's wait at most doubles before the borrower is preempted.
    """
    if run.awaited_s is None:
        return False
    since_s = run.awaited_s if step.preempts_since_s is None else step.preempts_since_s
    return now - run.awaited_s >= run.awaited_s - since_s


def _note_awaited(worker: Worker, now: float) -> None:
    """Record since when other work has waited for the stopping runs of a worker."""
    for run in worker.runs.values():
        if run.stopping and run.awaited_s is None:
            run.awaited_s = now
