"""Work that would stall: rooms it may go to that its preferences kept it from so far."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from saddlestack.policy.cluster.candidates import Candidates
from saddlestack.policy.cluster.jobs import Job, StepState
from saddlestack.policy.cluster.lending import Lending
from saddlestack.policy.cluster.places import LastResortPlaces, WorkerChoice
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.reservations import Reservations
from saddlestack.policy.cluster.wait_limits import (
    has_room_for,
    loans_allowed_from_s,
    may_drop_preferences,
)
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

TRUSTED_A_ROUND = 20
"""So many steps that would stall may look at all workers in a round: 16 ms for 3,000 workers."""


@dataclass(frozen=True, slots=True)
class _Kind:
    """What steps that stall have to share so that where one fits nowhere, the other does not.

    :param count: tasks that have to start at once.
    :param next_failure_is_final: whether their next failure is their jobs' last.
    :param lenders: ids of the workers that may lend them reserved room.
    """

    service: str
    room: Resources
    count: int
    label: str
    next_failure_is_final: bool
    lenders: frozenset[str]


class StalledPlacement:
    """Finds room for work that has waited for too long beside a pool that is mostly free."""

    def __init__(
        self,
        cluster_state: PlannerContext,
        candidates: Candidates,
        reservations: Reservations,
        lending: Lending,
    ) -> None:
        self._cluster_state = cluster_state
        self._candidates = candidates
        self._reservations = reservations
        self._lending = lending
        self._trusted = 0
        self._borrows_s: float | None = None
        self._at_work: dict[str, bool] = {}
        self._nowhere: set[_Kind] = set()

    @property
    def next_loan_s(self) -> float | None:
        """When work that waits may next be lent reserved room, on the board's clock."""
        return self._borrows_s

    def begin(self) -> None:
        """Begin a round."""
        self._trusted = 0
        self._borrows_s = None
        self._at_work.clear()
        self._nowhere.clear()

    def note_released(self) -> None:
        """Room has been given back in this round: what fitted nowhere may fit now."""
        self._nowhere.clear()

    def note_started(self, job_id: str) -> None:
        """A run of a job has been assigned in this round."""
        self._at_work[job_id] = True

    def choices(self, step: StepState, now: float) -> Iterator[WorkerChoice]:
        """Rooms to be tried in turn for a step, none where it does not stall.

        First the workers that others may go to as well, then any that answer, whatever failed there
        lately. The second looks at each worker, so it is done for few steps in a round, and once
        for those of a kind.
        """
        if not may_drop_preferences(self._candidates.service_capacity(step), step.stalled_s(now)):
            return
        self._note_borrowing(step, now)
        lenders = self._lenders(step, now)
        kind = self._kind(step, lenders)
        if kind in self._nowhere or self._is_at_work(step.occurrence.job):
            return
        if has_room_for(self._candidates.copies(step), step.at_once):
            yield self._candidates.all_places(step, now)
        if self._trusted >= TRUSTED_A_ROUND:
            return
        self._trusted += 1
        room = self._any_places(step, lenders, now)
        if has_room_for(room.copies, step.at_once):
            yield room
        if kind is not None:
            self._nowhere.add(kind)

    def _note_borrowing(self, step: StepState, now: float) -> None:
        """Note when a step that stalls soon may be lent reserved room."""
        due_s = loans_allowed_from_s(step)
        if not self._reservations or due_s <= now:
            return
        if self._borrows_s is None or due_s < self._borrows_s:
            self._borrows_s = due_s

    def _lenders(self, step: StepState, now: float) -> frozenset[str]:
        """The ids of workers that may lend a step what is reserved there."""
        if now < loans_allowed_from_s(step):
            return frozenset()
        return self._lending.lenders(step, self._reservations, now)

    def _kind(self, step: StepState, lenders: frozenset[str]) -> _Kind | None:
        """What decides whether a step fits anywhere; ``None`` where more does."""
        if step.step.per_worker or self._cluster_state.is_advised(step.occurrence.job):
            return None
        return _Kind(
            self._cluster_state.service_of(step.occurrence.job),
            step.step.allocation,
            step.at_once,
            step.step.label,
            step.next_failure_is_final,
            lenders,
        )

    def _is_at_work(self, job: Job) -> bool:
        """Whether a run of a job is on a worker that answers; looked up once a round."""
        known = self._at_work.get(job.job_id)
        if known is None:
            known = any(self._cluster_state.is_worker_reachable(run) for run in job.runs())
            self._at_work[job.job_id] = known
        return known

    def _any_places(self, step: StepState, lenders: frozenset[str], now: float) -> LastResortPlaces:
        """All workers that answer; where leave is needed, those that have it."""
        answering = list(self._answering(step, now))
        if not self._cluster_state.is_advised(step.occurrence.job):
            return LastResortPlaces(step, answering, now, lenders)
        advice = step.advice
        allowed = [w for w in answering if advice.ticket(w.worker_id, now) is not None]
        room = LastResortPlaces(step, allowed, now, lenders)
        unknown = advice.unknown(answering, now)
        if unknown and not advice.asking and not has_room_for(room.copies, step.at_once):
            self._cluster_state.request_advice(step, unknown)
        return room

    def _answering(self, step: StepState, now: float) -> Iterator[Worker]:
        """Workers that take part and answer, whatever failed there lately.

        A job whose next failure is its last still keeps off those in quarantine; those that have
        just turned an order away would do so again.
        """
        for rack in self._candidates.service_capacity(step).racks:
            for worker in rack.workers:
                if not worker.is_available or not worker.matches(step.step) or now < worker.busy_s:
                    continue
                if worker.isolating:
                    continue
                if not step.next_failure_is_final or now >= worker.quarantine_s:
                    yield worker
