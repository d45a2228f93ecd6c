"""Candidate workers for a step by label, approval, data locality and workers kept for gangs."""

from __future__ import annotations

from collections.abc import Callable

from saddlestack.policy.cluster.backfill import Backfill
from saddlestack.policy.cluster.fits import FitCache, FitKey
from saddlestack.policy.cluster.index import CapacityIndex, ServiceCapacity
from saddlestack.policy.cluster.jobs import StepState, Task
from saddlestack.policy.cluster.kept_workers import KeptWorkers
from saddlestack.policy.cluster.placement import whole_racks
from saddlestack.policy.cluster.places import IndexedPlaces, IsKept, ListedPlaces, Places
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.wait_limits import NEAR_DATA_WAIT_S
from saddlestack.policy.cluster.workers import Worker


class Candidates:
    """Looks up the candidate workers of each step in a round.

    :param is_open: returns whether a task is to be started and need not be isolated.
    """

    def __init__(
        self,
        cluster_state: PlannerContext,
        index: CapacityIndex,
        backfill: Backfill,
        kept_workers: KeptWorkers,
        is_open: Callable[[Task], bool],
    ) -> None:
        self._cluster_state = cluster_state
        self._index = index
        self._fits = FitCache(index)
        self._backfill = backfill
        self._kept_workers = kept_workers
        self._is_open = is_open

    def service_capacity(self, step: StepState) -> ServiceCapacity:
        """Capacity of the service that a step runs on."""
        return self._index.service(self._cluster_state.service_of(step.occurrence.job))

    def places(self, step: StepState, now: float) -> Places:
        """The workers that a step may run on."""
        if step.step.per_worker or self._cluster_state.is_advised(step.occurrence.job):
            return ListedPlaces(step, self.listed(step, now))
        fit = self.fit(step)
        kept = self.kept(step)
        near = self._near_data(step, fit, kept, now)
        if near is not None:
            return ListedPlaces(step, near)
        return IndexedPlaces(step, self._fits.of(fit), kept)

    def all_places(self, step: StepState, now: float) -> Places:
        """The workers that a step may run on if its preferences are ignored."""
        fit = self.fit(step)
        if self._cluster_state.is_advised(step.occurrence.job):
            return ListedPlaces(step, self.with_approval(step, self.eligible(fit, now), now))
        if step.step.per_worker:
            return ListedPlaces(step, self.eligible(fit, now))
        return IndexedPlaces(step, self._fits.of(fit), None, spread=True)

    def copies(self, step: StepState) -> int:
        """Number of tasks like those of a step that fit now, on all workers together."""
        return self._fits.of(self.fit(step)).total

    def fit(self, step: StepState) -> FitKey:
        """The requirements that a step shares with all others that fit on the same workers."""
        return FitKey(
            service=self._cluster_state.service_of(step.occurrence.job),
            room=step.step.allocation,
            label=step.step.label,
            proven=step.needs_proven_worker,
        )

    def listed(self, step: StepState, now: float) -> list[Worker]:
        """List the workers that a step may run on. This checks each worker of the service."""
        kept = self.kept(step)
        eligible = self.eligible(self.fit(step), now)
        eligible = [worker for worker in eligible if kept is None or not kept(worker)]
        if self._cluster_state.is_advised(step.occurrence.job):
            eligible = self.with_approval(step, eligible, now)
        if not step.step.data_rack or not prefers_near(step, now):
            return eligible
        return [
            worker for worker in eligible if worker.record.rack == step.step.data_rack
        ] or eligible

    def _near_data(
        self, step: StepState, fit: FitKey, kept: IsKept | None, now: float
    ) -> list[Worker] | None:
        """The workers near a step's data; ``None`` if it does not wait for them."""
        if not step.step.data_rack or not prefers_near(step, now):
            return None
        rack = self.service_capacity(step).rack(step.step.data_rack)
        if rack is None:
            return None
        eligible = [worker for worker in rack.eligible if fit.allows(worker, now)]
        if sum(worker.max_copies(step.step) for worker in eligible) < step.at_once:
            return None
        return [worker for worker in eligible if kept is None or not kept(worker)]

    def eligible(self, fit: FitKey, now: float) -> list[Worker]:
        """Workers that accept tasks with these requirements, regardless of preferences."""
        racks = self._index.service(fit.service).racks
        return [w for rack in racks for w in rack.eligible if fit.allows(w, now)]

    def with_approval(self, step: StepState, eligible: list[Worker], now: float) -> list[Worker]:
        """The workers approved for a step. If it does not fit there, requests advice on more.

        Which racks could hold a gang that needs a single rack is decided by all eligible workers,
        approved or not.
        """
        advice = step.advice
        allowed = [w for w in eligible if advice.ticket(w.worker_id, now) is not None]
        if step.step.gang and step.step.same_rack and whole_racks(step, eligible):
            allowed = whole_racks(step, allowed)
        if not advice.asking and not self._fits_on(step, allowed):
            unknown = advice.unknown(eligible, now)
            if unknown:
                self._cluster_state.request_advice(step, unknown)
        return allowed

    def _fits_on(self, step: StepState, workers: list[Worker]) -> bool:
        """Whether all waiting tasks of a step fit on these workers."""
        if step.step.gang:
            return ListedPlaces(step, workers).choose_gang() is not None
        fitting = sum(worker.copies(step, worker.free) for worker in workers)
        return fitting >= sum(1 for task in step.tasks if self._is_open(task))

    def kept(self, step: StepState) -> IsKept | None:
        """Test for workers that are kept for gangs that go before a step.

        ``None`` if none are kept from the step. An idle pool keeps none, and long-running steps
        may use all.
        """
        by_priority = self._kept_by_priority(step)
        held_back = self.held_back(step)
        if by_priority is None or held_back is None:
            return by_priority or held_back
        first, second = by_priority, held_back
        return lambda worker: first(worker) or second(worker)

    def held_back(self, step: StepState) -> IsKept | None:
        """Test for workers that are kept from a step for normal gangs by their slack, as above."""
        if step.step.long_running or not self._kept_workers.is_any_kept:
            return None
        is_idle = not self.service_capacity(step).open.is_half_used
        return self._kept_workers.test(step, is_idle=is_idle)

    def _kept_by_priority(self, step: StepState) -> IsKept | None:
        priority = step.occurrence.job.priority
        if step.step.long_running or not self._backfill.keeps_from(priority):
            return None
        if not self.service_capacity(step).open.is_half_used:
            return None
        return lambda worker: self._backfill.is_kept(worker, priority)


def prefers_near(step: StepState, now: float) -> bool:
    """Whether a step, if it has data, still waits for workers near it."""
    return step.waited_s(now) < NEAR_DATA_WAIT_S
