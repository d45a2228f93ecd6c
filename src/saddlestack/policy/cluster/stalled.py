"""Placement of stalled work on workers that its preferences have excluded so far."""

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
    has_capacity_for,
    loans_allowed_from_s,
    may_drop_preferences,
)
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

MAX_FULL_SEARCHES_PER_ROUND = 20
"""Maximum number of stalled steps per round that search all workers. This number of searches
takes 16 ms with 3,000 workers."""


@dataclass(frozen=True, slots=True)
class _Kind:
    """Properties that decide whether a stalled step fits anywhere.

    Once a step fits nowhere in a round, steps of the same kind are not tried.

    :param count: tasks that have to start together.
    :param next_failure_is_final: whether the next failure is the last that their jobs may have.
    :param lenders: ids of the workers that may lend them reserved resources.
    """

    service: str
    allocation: Resources
    count: int
    label: str
    next_failure_is_final: bool
    lenders: frozenset[str]


class StalledPlacement:
    """Finds workers for steps that have waited too long while the pool is mostly free."""

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
        self._full_searches = 0
        self._next_loan_s: float | None = None
        self._running_jobs: dict[str, bool] = {}
        self._unplaceable: set[_Kind] = set()

    @property
    def next_loan_s(self) -> float | None:
        """When a waiting step may next borrow reserved resources; ``None`` for never."""
        return self._next_loan_s

    def begin(self) -> None:
        """Reset the per-round state at the start of a round."""
        self._full_searches = 0
        self._next_loan_s = None
        self._running_jobs.clear()
        self._unplaceable.clear()

    def note_released(self) -> None:
        """Note that resources were released in this round, so that steps may fit that did not."""
        self._unplaceable.clear()

    def note_started(self, job_id: str) -> None:
        """Note that a run of a job was assigned in this round."""
        self._running_jobs[job_id] = True

    def choices(self, step: StepState, now: float) -> Iterator[WorkerChoice]:
        """Yield sets of workers to try in turn for a step; none if the step is not stalled.

        The first set holds the workers that are open to any work, the second one all workers that
        answer, whatever failed there recently. The second set takes a search of every worker, so it
        is limited to a few steps in a round and to one step of each kind.
        """
        if not may_drop_preferences(self._candidates.service_capacity(step), step.stalled_s(now)):
            return
        self._note_next_loan(step, now)
        lenders = self._lenders(step, now)
        kind = self._kind(step, lenders)
        if kind in self._unplaceable or self._is_running(step.occurrence.job):
            return
        if has_capacity_for(self._candidates.copies(step), step.at_once):
            yield self._candidates.all_places(step, now)
        if self._full_searches >= MAX_FULL_SEARCHES_PER_ROUND:
            return
        self._full_searches += 1
        choice = self._last_resort_places(step, lenders, now)
        if has_capacity_for(choice.copies, step.at_once):
            yield choice
        if kind is not None:
            self._unplaceable.add(kind)

    def _note_next_loan(self, step: StepState, now: float) -> None:
        """Note when a step that is not yet allowed to borrow reserved resources will be."""
        due_s = loans_allowed_from_s(step)
        if not self._reservations or due_s <= now:
            return
        if self._next_loan_s is None or due_s < self._next_loan_s:
            self._next_loan_s = due_s

    def _lenders(self, step: StepState, now: float) -> frozenset[str]:
        """The ids of workers that may lend a step their reserved resources."""
        if now < loans_allowed_from_s(step):
            return frozenset()
        return self._lending.lenders(step, self._reservations, now)

    def _kind(self, step: StepState, lenders: frozenset[str]) -> _Kind | None:
        """The kind of a step, or ``None`` if other properties decide where it fits as well."""
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

    def _is_running(self, job: Job) -> bool:
        """Whether a run of a job is on a reachable worker; cached for the round."""
        known = self._running_jobs.get(job.job_id)
        if known is None:
            known = any(self._cluster_state.is_worker_reachable(run) for run in job.runs())
            self._running_jobs[job.job_id] = known
        return known

    def _last_resort_places(
        self, step: StepState, lenders: frozenset[str], now: float
    ) -> LastResortPlaces:
        """All workers that answer; if approval is required, only those that are approved."""
        answering = list(self._answering_workers(step, now))
        if not self._cluster_state.is_advised(step.occurrence.job):
            return LastResortPlaces(step, answering, now, lenders)
        advice = step.advice
        allowed = [w for w in answering if advice.ticket(w.worker_id, now) is not None]
        choice = LastResortPlaces(step, allowed, now, lenders)
        unknown = advice.unknown(answering, now)
        if unknown and not advice.asking and not has_capacity_for(choice.copies, step.at_once):
            self._cluster_state.request_advice(step, unknown)
        return choice

    def _answering_workers(self, step: StepState, now: float) -> Iterator[Worker]:
        """Yield schedulable workers that answer, whatever failed there recently.

        Workers that have just refused an order are excluded, since they would refuse another one.
        Quarantined workers are excluded for jobs whose next failure is their last.
        """
        for rack in self._candidates.service_capacity(step).racks:
            for worker in rack.workers:
                if not worker.is_available or not worker.matches(step.step) or now < worker.busy_s:
                    continue
                if worker.isolating:
                    continue
                if not step.next_failure_is_final or now >= worker.quarantine_s:
                    yield worker
