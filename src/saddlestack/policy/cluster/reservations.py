"""Reservations: room kept for work until the runs that hold it have stopped.

While those runs stop, the free part of a reservation may be lent to other work. A run that was lent
room and outlasts the stops may delay the reservation's step by as much again as the stops did; then
it is stopped as well.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

RESERVATION_TIMEOUT_S = 2.5
"""A reservation that could not be used by then is given up and searched anew."""
STOP_OVERDUE_S = 10.0
"""Room whose run has not stopped by then, since it was first waited for, is looked for elsewhere.
Twice as long as runs take to stop: to stop others in place of one that is about to end wastes their
work."""


@dataclass(slots=True)
class Reservation:
    """Room on some workers, a task's worth for each time that a worker is named."""

    step: StepState
    places: list[Worker]
    expires_s: float

    @property
    def _workers(self) -> Iterable[Worker]:
        """Each of the workers once, in the order of the places."""
        return dict.fromkeys(self.places)

    @property
    def is_free(self) -> bool:
        """Whether all that held the room has stopped."""
        return all(self._has_room(worker, worker.used) for worker in self._workers)

    @property
    def awaits_stops(self) -> bool:
        """Whether runs hold the room that were not lent it."""
        return not all(self._has_room(worker, self._own(worker)) for worker in self._workers)

    @property
    def stopping(self) -> Iterator[Run]:
        """Runs that hold the room and are being stopped."""
        for worker in self._workers:
            if not self._has_room(worker, worker.used):
                yield from (run for run in worker.runs.values() if run.stopping)

    @property
    def borrowers(self) -> Iterator[Run]:
        """Runs that were lent room on the workers, and are not being stopped."""
        for worker in self._workers:
            for run in worker.runs.values():
                if self.step in run.lent_by and not run.stopping:
                    yield run

    def _own(self, worker: Worker) -> Resources:
        """Room that runs of a worker hold which were not lent it by the step."""
        held = Resources()
        for run in worker.runs.values():
            if self.step not in run.lent_by:
                held = held + run.allocation
        return held

    @property
    def is_suspected(self) -> bool:
        """Whether one of the workers may be out of reach."""
        return any(worker.suspected for worker in self.places)

    def _has_room(self, worker: Worker, used: Resources) -> bool:
        if worker.is_overcommitted:
            return False
        free = worker.record.capacity - used
        return self.step.step.allocation.copies_in(free) >= self.places.count(worker)


class Reservations:
    """All reservations of a pool, one a step."""

    def __init__(self) -> None:
        self._held: dict[int, Reservation] = {}

    def of(self, step: StepState) -> Reservation | None:
        """A step's reservation, if it has one."""
        return self._held.get(id(step))

    def lenders(self, worker: Worker) -> frozenset[StepState]:
        """Steps for which room on a worker is reserved."""
        return frozenset(held.step for held in self._held.values() if worker in held.places)

    def reserve(self, step: StepState, places: list[Worker], now: float) -> Reservation:
        """Keep room on some workers from anything else."""
        if step.preempts_since_s is None:
            step.preempts_since_s = now
        for worker in places:
            worker.reserved = worker.reserved + step.step.allocation
            _note_awaited(worker, now)
        held = self._held[id(step)] = Reservation(step, places, now + RESERVATION_TIMEOUT_S)
        return held

    def release(self, step: StepState) -> bool:
        """Give a step's reservation up; whether there was one."""
        held = self._held.pop(id(step), None)
        if held is None:
            return False
        for worker in held.places:
            worker.reserved = worker.reserved - step.step.allocation
        return True

    def __len__(self) -> int:
        return len(self._held)

    def __iter__(self) -> Iterator[Reservation]:
        return iter(self._held.values())

    def release_expired(self, now: float) -> None:
        """Give up what cannot be used, or has not been for too long."""
        for held in list(self._held.values()):
            usable = all(worker.accepts_work(now) for worker in held.places)
            if not usable or now > held.expires_s or not held.step.occurrence.open:
                self.release(held.step)


def is_overdue(run: Run, now: float) -> bool:
    """Whether the room of a run that is to stop has been waited for in vain."""
    return run.awaited_s is not None and now - run.awaited_s > STOP_OVERDUE_S


def is_loan_due(run: Run, step: StepState, now: float) -> bool:
    """Whether a run has delayed the step that its room was lent from for long enough.

    It goes on for as long as the step had to wait for the stops: work that is about to end then
    loses nothing, and the wait at most doubles before the run is stopped too.
    """
    if run.awaited_s is None:
        return False
    since_s = run.awaited_s if step.preempts_since_s is None else step.preempts_since_s
    return now - run.awaited_s >= run.awaited_s - since_s


def _note_awaited(worker: Worker, now: float) -> None:
    """Note since when what is to stop on a worker has been waited for."""
    for run in worker.runs.values():
        if run.stopping and run.awaited_s is None:
            run.awaited_s = now
