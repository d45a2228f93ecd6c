"""Candidate workers for a step by label, approval, data locality and workers kept for gangs."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import replace
from functools import partial

from saddlestack.policy.cluster.backfill import Backfill
from saddlestack.policy.cluster.fits import FitCache, FitKey
from saddlestack.policy.cluster.index import CapacityIndex, ServiceCapacity
from saddlestack.policy.cluster.jobs import TOP_PRIORITY, Run, StepState, Task
from saddlestack.policy.cluster.kept_workers import KeptWorkers
from saddlestack.policy.cluster.placement import place_gang, whole_racks
from saddlestack.policy.cluster.places import (
    FirstPlaces,
    IndexedPlaces,
    IsKept,
    ListedPlaces,
    Places,
)
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.slow_restarts import SlowGang
from saddlestack.policy.cluster.speed_limits import FAST_FIRST, SpeedLimit, SpeedLimits
from saddlestack.policy.cluster.speed_rank import (
    MIN_LIMIT,
    SpeedRank,
    exceeds,
    fast_first,
    slow_first,
)
from saddlestack.policy.cluster.wait_limits import NEAR_DATA_WAIT_S
from saddlestack.policy.cluster.worker_preferences import Preference
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

MAX_LEVELS_ABOVE = 3
"""Levels above its limit that a step tries one by one before it takes workers of any speed. Each
costs a count of the racks that have changed."""


class Candidates:
    """Looks up the candidate workers of each step in a round.

    :param speed_limits: computes the speed limits of steps.
    :param is_open: returns whether a task is to be started and need not be isolated.
    """

    def __init__(
        self,
        cluster_state: PlannerContext,
        index: CapacityIndex,
        backfill: Backfill,
        kept_workers: KeptWorkers,
        speed_limits: SpeedLimits,
        is_open: Callable[[Task], bool],
    ) -> None:
        self._cluster_state = cluster_state
        self._index = index
        self._fits = FitCache(index)
        self._backfill = backfill
        self._kept_workers = kept_workers
        self._speed_limits = speed_limits
        self._is_open = is_open
        self._limits: dict[StepState, SpeedLimit | None] = {}
        self._limits_s = math.nan

    def begin_round(self) -> None:
        """Forget the speed limits of the last round."""
        self._limits.clear()

    def service_capacity(self, step: StepState) -> ServiceCapacity:
        """Capacity of the service that a step runs on."""
        return self._index.service(self._cluster_state.service_of(step.occurrence.job))

    def places(self, step: StepState, now: float) -> Places:
        """The workers that a step may run on."""
        limit = self.speed_limit(step, now)
        rank = None if limit is None else limit.rank
        if step.step.per_worker or self._cluster_state.is_advised(step.occurrence.job):
            return ListedPlaces(step, self._within(step, self.listed(step, now), limit), rank)
        fit = self.fit(step)
        kept = self.kept(step)
        near = self._near_data(step, fit, kept, now)
        if near is not None:
            return ListedPlaces(step, self._near_within(step, near, limit), rank)
        if limit is not None:
            return self._places_within(step, fit, limit, kept)
        last = IndexedPlaces(step, self._fits.of(fit), kept)
        spared = self._spared_by(step)
        if spared is None:
            return last
        return FirstPlaces([partial(IndexedPlaces, step, self._fits.of(fit), spared)], last)

    def places_above_limit(self, step: StepState, limit: SpeedLimit, now: float) -> Places:
        """The workers that a step may run on regardless of its limit, the least slow preferred.

        Workers below the level of the slowest one are used last, since a gang would hold them up.
        """
        if step.step.per_worker or self._cluster_state.is_advised(step.occurrence.job):
            return ListedPlaces(step, self.listed(step, now), limit.rank)
        factors = self.service_capacity(step).known_factors
        above = [each for each in factors if exceeds(each, limit.max_factor)]
        fit, kept = self.fit(step), self.kept(step)
        keys = [fit.within(each) for each in above[:MAX_LEVELS_ABOVE]]
        return FirstPlaces(
            [partial(self._ranked, step, key, fit, kept, slow_first) for key in keys],
            self._ranked(step, fit, fit, kept, slow_first),
        )

    def core_seconds(self, step: StepState) -> float:
        """Core-seconds of work of a step on usual workers; infinite if its work is not known."""
        return self._speed_limits.core_seconds(step)

    def speed_limit(self, step: StepState, now: float) -> SpeedLimit | None:
        """The speed limit of a step; ``None`` if it prefers no worker for its speed.

        A step that could not start within its limit even in an empty pool need not wait for it.
        """
        if not self._index.uses_speeds:
            return None
        if now != self._limits_s:
            self._limits.clear()
            self._limits_s = now
        if step not in self._limits:
            self._limits[step] = self._speed_limit(step, now)
        return self._limits[step]

    def _speed_limit(self, step: StepState, now: float) -> SpeedLimit | None:
        service_capacity = self.service_capacity(step)
        if not service_capacity.has_slow_workers:
            return None
        limit = self._speed_limits.limit(step, service_capacity.known_factors, now)
        if limit.restricts:
            if limit.relaxed or self._could_start_within(step, limit):
                return limit
            return replace(limit, relaxed=True)
        return limit if limit.prefers_slow else None

    def restart_places(
        self, step: StepState, members: Sequence[Run], slow_gang: SlowGang, now: float
    ) -> list[Worker] | None:
        """Workers on which a gang fits if its present runs stop; ``None`` if it does not.

        :param members: its present runs.
        """
        held: dict[str, Resources] = {}
        for run in members:
            held[run.worker_id] = held.get(run.worker_id, Resources()) + run.allocation
        allowed = self.restart_workers(step, slow_gang, now)

        def copies(worker: Worker) -> int:
            own = held.get(worker.worker_id, Resources())
            return worker.copies(step, worker.free + own)

        return place_gang(step, allowed, copies, fast_first)

    def restart_workers(self, step: StepState, slow_gang: SlowGang, now: float) -> list[Worker]:
        """The workers on which a slow gang may start again, whether or not they have room."""
        eligible = self.eligible(self.fit(step), now)
        limit = SpeedLimit(slow_gang.max_factor, fast_first)
        allowed = self._within(step, eligible, limit)
        allowed = [worker for worker in allowed if worker.worker_id not in slow_gang.slow]
        if step.step.same_rack and whole_racks(step, eligible):
            return whole_racks(step, allowed)
        return allowed

    def _could_start_within(self, step: StepState, limit: SpeedLimit) -> bool:
        fit = self.fit(step)
        whole = self._fits.of(fit)
        fits = self._fits.of(fit.within(limit.max_factor))
        if step.step.gang and step.step.same_rack and whole.most >= step.at_once:
            return fits.most >= step.at_once
        return fits.total_most >= step.at_once

    def _places_within(
        self, step: StepState, fit: FitKey, limit: SpeedLimit, kept: IsKept | None
    ) -> Places:
        """The workers within a step's limit, in the order of their speed.

        A gang is placed on workers of similar speed if possible: it is held up by the slowest one.
        """
        within = fit.within(limit.max_factor)
        last = self._ranked(step, within, fit, kept, limit.rank)
        if not step.step.gang:
            return last
        if limit.prefers_slow:
            keys = [fit.within(limit.max_factor, above=MIN_LIMIT), fit.within(MIN_LIMIT)]
        elif self.service_capacity(step).has_unknown_speeds:
            keys = [fit.within(limit.max_factor, known=True)]
        else:
            keys = []
        alike = [partial(self._ranked, step, key, fit, kept, limit.rank) for key in keys]
        spared = self._spared_by(step)
        if spared is not None:
            keys.append(within)
            alike = [partial(self._ranked, step, key, fit, spared, limit.rank) for key in keys]
        return FirstPlaces(alike, last)

    def _ranked(
        self, step: StepState, key: FitKey, fit: FitKey, kept: IsKept | None, rank: SpeedRank
    ) -> IndexedPlaces:
        """Workers of some speeds; all others decide as well whether a gang needs one rack."""
        whole = self._fits.of(fit)
        fits = whole if key == fit else self._fits.of(key)
        return IndexedPlaces(step, fits, kept, rank=rank, whole=whole)

    def first_allowed(
        self, step: StepState, task: Task, workers: Iterable[Worker], now: float
    ) -> Worker | None:
        """The first of some workers on which a task fits and may run; ``None`` if there is none."""
        fit, kept = self.fit(step), self.kept(step)
        for worker in workers:
            if worker.worker_id in task.avoid or not fit.allows(worker, now):
                continue
            if worker.copies(step, worker.free) > 0 and not (kept and kept(worker)):
                return worker
        return None

    def within_limit(self, step: StepState, workers: list[Worker], now: float) -> list[Worker]:
        """Those of some workers that are within a step's limit."""
        return self._within(step, workers, self.speed_limit(step, now))

    def _within(
        self, step: StepState, workers: list[Worker], limit: SpeedLimit | None
    ) -> list[Worker]:
        """Those of some workers that are within a limit.

        None if a gang would have to be spread over several racks for the limit.
        """
        if limit is None or not limit.restricts:
            return workers
        allowed = [worker for worker in workers if limit.allows(worker)]
        if step.step.gang and step.step.same_rack and whole_racks(step, workers):
            return whole_racks(step, allowed)
        return allowed

    def _near_within(
        self, step: StepState, near: list[Worker], limit: SpeedLimit | None
    ) -> list[Worker]:
        """The workers near a step's data that are within its limit.

        All of them if these could never hold it, since work far from its data takes longer still.
        """
        allowed = self._within(step, near, limit)
        if sum(worker.max_copies(step.step) for worker in allowed) < step.at_once:
            return near
        return allowed

    def all_places(self, step: StepState, now: float) -> Places:
        """The workers that a step may run on if its preferences are ignored."""
        fit = self.fit(step)
        limit = self.speed_limit(step, now)
        rank = None
        if limit is not None:
            rank = fast_first if limit.restricts else limit.rank
        if self._cluster_state.is_advised(step.occurrence.job):
            approved = self.with_approval(step, self.eligible(fit, now), now)
            return ListedPlaces(step, approved, rank)
        if step.step.per_worker:
            return ListedPlaces(step, self.eligible(fit, now), rank)
        return IndexedPlaces(step, self._fits.of(fit), None, spread=True, rank=rank)

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

    def preferred_places(self, step: StepState, preferred: Preference, now: float) -> ListedPlaces:
        """The preferred ones of the workers that a step may run on, within its speed limit.

        A gang that needs a single rack keeps to racks whose preferred workers could hold it, unless
        no rack could hold it.
        """
        listed = self.listed(step, now)
        if sum(worker.max_copies(step.step) for worker in listed) < step.at_once:
            listed = self._open_to(step, now)
        limit = self.speed_limit(step, now)
        if limit is not None and limit.relaxed:
            limit = FAST_FIRST
        chosen = [worker for worker in self._within(step, listed, limit) if preferred(worker)]
        if step.step.gang and step.step.same_rack and whole_racks(step, listed):
            chosen = whole_racks(step, chosen)
        return ListedPlaces(step, chosen, None if limit is None else limit.rank)

    def listed(self, step: StepState, now: float) -> list[Worker]:
        """List the workers that a step may run on. This checks each worker of the service."""
        eligible = self._open_to(step, now)
        if not step.step.data_rack or not prefers_near(step, now):
            return eligible
        return [
            worker for worker in eligible if worker.record.rack == step.step.data_rack
        ] or eligible

    def _open_to(self, step: StepState, now: float) -> list[Worker]:
        """The workers that a step may run on, near its data or not."""
        kept = self.kept(step)
        eligible = self.eligible(self.fit(step), now)
        eligible = [worker for worker in eligible if kept is None or not kept(worker)]
        if self._cluster_state.is_advised(step.occurrence.job):
            eligible = self.with_approval(step, eligible, now)
        return eligible

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

    def with_approval(
        self, step: StepState, eligible: list[Worker], now: float, wanted: int | None = None
    ) -> list[Worker]:
        """The workers approved for a step. If it does not fit there, requests advice on more.

        Which racks could hold a gang that needs a single rack is decided by all eligible workers,
        approved or not.

        :param wanted: number of tasks that have to fit, unless the step is a gang; by default those
            that may be started like any others.
        """
        advice = step.advice
        allowed = [w for w in eligible if advice.ticket(w.worker_id, now) is not None]
        if step.step.gang and step.step.same_rack and whole_racks(step, eligible):
            allowed = whole_racks(step, allowed)
        if not advice.asking and not self._fits_on(step, allowed, wanted):
            unknown = advice.unknown(eligible, now)
            if unknown:
                self._cluster_state.request_advice(step, unknown)
        return allowed

    def has_approval(self, step: StepState, workers: Sequence[Worker], now: float) -> bool:
        """Whether a step may start on all of some workers; if not, requests the missing advice."""
        advice = step.advice
        if not self._cluster_state.is_advised(step.occurrence.job):
            return True
        if all(advice.ticket(worker.worker_id, now) is not None for worker in workers):
            return True
        unknown = () if advice.asking else advice.unknown(dict.fromkeys(workers), now)
        if unknown:
            self._cluster_state.request_advice(step, unknown)
        return False

    def _fits_on(self, step: StepState, workers: list[Worker], wanted: int | None) -> bool:
        """Whether some tasks of a step, or the whole gang, fit on these workers."""
        if step.step.gang:
            return ListedPlaces(step, workers).choose_gang() is not None
        fitting = sum(worker.copies(step, worker.free) for worker in workers)
        if wanted is None:
            wanted = sum(1 for task in step.tasks if self._is_open(task))
        return fitting >= wanted

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

    def _spared_by(self, step: StepState) -> IsKept | None:
        """Test for workers that room is being made on for a gang, which urgent work takes last."""
        is_top = step.occurrence.job.priority == TOP_PRIORITY
        return self._kept_workers.cleared_test if is_top else None

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
