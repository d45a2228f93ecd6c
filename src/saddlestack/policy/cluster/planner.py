"""Planning rounds: which waiting tasks start where, and which runs are preempted for them."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Sequence
from dataclasses import replace

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.backfill import Backfill
from saddlestack.policy.cluster.candidates import Candidates, prefers_near
from saddlestack.policy.cluster.crashes import CrashTracker
from saddlestack.policy.cluster.deferred_stops import DeferredStops
from saddlestack.policy.cluster.demand import DemandForecast
from saddlestack.policy.cluster.fair_share import AccountUsage, FairShare
from saddlestack.policy.cluster.gang_preemption import GangPreemption
from saddlestack.policy.cluster.gang_priority import GangPriority
from saddlestack.policy.cluster.headroom import headroom_allows
from saddlestack.policy.cluster.index import CapacityIndex, ServiceCapacity
from saddlestack.policy.cluster.isolation import IsolatedPlacement, Isolation, IsolationPool
from saddlestack.policy.cluster.jobs import TOP_PRIORITY, Job, Run, StepState, Task
from saddlestack.policy.cluster.kept_workers import KeptWorkers
from saddlestack.policy.cluster.last_attempts import LastAttempts
from saddlestack.policy.cluster.lending import Lending
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.placement import domains, whole_racks
from saddlestack.policy.cluster.places import (
    IsKept,
    ListedPlaces,
    Places,
    WorkerChoice,
)
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.preemption import Preemption, Preemptor
from saddlestack.policy.cluster.probes import Probes
from saddlestack.policy.cluster.reservations import (
    Reservation,
    Reservations,
    is_loan_due,
    is_overdue,
)
from saddlestack.policy.cluster.shapes import FailedShapes, Shape, ShapeNumbers, StepShapes
from saddlestack.policy.cluster.slack import Slack, WorkEstimates
from saddlestack.policy.cluster.slow_restarts import RestartRoom, SlowGang
from saddlestack.policy.cluster.speed_limits import SpeedLimit, SpeedLimits
from saddlestack.policy.cluster.speed_rank import exceeds, known_factor
from saddlestack.policy.cluster.stalled import StalledPlacement
from saddlestack.policy.cluster.victims import Harm, MayStop, harm_of
from saddlestack.policy.cluster.wait_limits import (
    HEADROOM_WAIT_S,
    is_idle,
)
from saddlestack.policy.cluster.waiting import WaitingSteps, is_waiting, may_start
from saddlestack.policy.cluster.worker_preferences import Preference, WorkerPreferences
from saddlestack.policy.cluster.workers import Worker

MAX_STARTS_PER_ROUND = 400
"""A round begins no further step after this many starts. Deciding and ordering a start takes 0.1 to
0.15 ms of a core: without a limit, a new leader of 3,000 workers with a backlog of 11,000 tasks
blocked its process for over a second, longer than its lease. With it, a round blocks for 0.06 s, or
for 0.2 s on a third of a core."""
MAX_ISOLATED_PER_ROUND = 20
"""Tasks or gangs that are to be isolated for which a round searches all workers."""


class Planner:
    """Assigns the waiting steps of all jobs to workers, in priority order.

    :param options: the optional decisions; none by default.
    :param usage: what each client account holds.
    :param work: how long steps work; by default what clients declare.
    :param demand: forecast of the demand of urgent work; by default the headroom is fixed.
    """

    def __init__(
        self,
        cluster_state: PlannerContext,
        index: CapacityIndex,
        worker_preferences: WorkerPreferences,
        crashes: CrashTracker,
        options: SchedulingOptions | None = None,
        usage: AccountUsage | None = None,
        work: WorkEstimates | None = None,
        demand: DemandForecast | None = None,
    ) -> None:
        self._cluster_state = cluster_state
        self._index = index
        self._worker_preferences = worker_preferences
        self._isolation = Isolation(crashes)
        self._isolated: set[Task] = set()
        self._demand = demand
        self._waiting = WaitingSteps()
        self._reservations = Reservations()
        self._lending = Lending(index.time_factor)
        self._backfill = Backfill()
        self._slack = Slack(work)
        self._kept_workers = KeptWorkers(self._slack, cluster_state.service_of)
        enabled = options is not None and options.gang_priority
        self._gang_priority = GangPriority(
            self._slack,
            self._kept_workers,
            GangPreemption(self._slack, cluster_state.members, lambda: self._lending.usual_stop_s),
            enabled=enabled,
        )
        self._fair_share = FairShare(usage or AccountUsage(), self._slack, enabled=enabled)
        self._deferred = DeferredStops(cluster_state.members, cluster_state.is_worker_reachable)
        self._counts: Counter[str] = Counter()
        self.speed_limits = SpeedLimits(cluster_state)
        self._candidates = Candidates(
            cluster_state,
            index,
            self._backfill,
            self._kept_workers,
            self.speed_limits,
            self._is_open,
        )
        max_wait_s = 0.0 if options is None else options.last_attempt_wait_s
        self._last_attempts = LastAttempts(max_wait_s, worker_preferences)
        self._probes = Probes()
        self._failed_shapes = FailedShapes()
        self._stalled = StalledPlacement(
            cluster_state, self._candidates, self._reservations, self._lending
        )
        self._shapes = ShapeNumbers()
        self._starts = 0
        self._isolation_searches = 0

    @property
    def next_loan_s(self) -> float | None:
        """When a round is due for waiting work: a loan, a stop that was put off, the end of a wait.

        On the monotonic clock.
        """
        due = (
            self._stalled.next_loan_s,
            self._deferred.next_due_s(self._index.now),
            self._last_attempts.next_end_s,
        )
        return min((each for each in due if each is not None), default=None)

    def take_counts(self) -> Counter[str]:
        """Return what to add to the counters of the metrics since the last call, by name."""
        counts, self._counts = self._counts, Counter[str]()
        counts["preemptions_spared"] = self._deferred.take_spared()
        counts["last_attempts_waited"] = self._last_attempts.take_waited()
        return counts

    def add(self, job: Job) -> None:
        """Add a job with work left."""
        self._waiting.add(job)

    def requeue(self, step: StepState, *, ran: bool) -> None:
        """Queue a step again whose task has to run again.

        :param ran: whether the task's last run may have begun.
        """
        self._waiting.requeue(step, ran=ran)

    def step_finished(self, step: StepState) -> None:
        """Release the reservation of a finished step, and queue the steps that follow it."""
        if step.finished:
            self._release(step)
            self._waiting.step_finished(step)

    def run_ended(self, run: Run, how: EndKind, now: float) -> None:
        """Record how long a run took to stop or to finish, as its worker reported it."""
        if how is EndKind.STOPPED:
            self._lending.note_stopped(run, now)
        elif how is EndKind.DONE:
            self._lending.note_done(run, now)

    def plan(self, now: float, wall_ms: float) -> bool:
        """Decide what starts and what is preempted, in priority order.

        :return: whether the round reached its limit, so that another may follow at once.
        """
        self._starts = 0
        self._isolation_searches = 0
        self._stalled.begin()
        self._backfill.clear()
        self._probes.begin_round()
        self._candidates.begin_round()
        self._failed_shapes.clear()
        self._reservations.release_expired(now)
        self._deferred.release_all_but(lambda step: self._reservations.of(step) is not None)
        self._gang_priority.begin_round(now, wall_ms)
        self._isolation.refresh(now)
        entitled = self._waiting.entitled(self._cluster_state.guaranteed)
        self.speed_limits.begin_round(now, wall_ms, entitled)
        self._last_attempts.begin_round(entitled)
        waiting = self._waiting.in_order(now, wall_ms, entitled)
        if self._demand is not None:
            self._demand.observe(waiting, now)
        for step in self._fair_share.in_order(waiting, now):
            if self._starts >= MAX_STARTS_PER_ROUND:
                return True
            self._place(step, entitled, now)
        return False

    # Restarts of slow gangs

    def restart_places(
        self, step: StepState, members: Sequence[Run], slow_gang: SlowGang, now: float
    ) -> RestartRoom | None:
        """Where a running gang fits after its stop; ``None`` if it must not be stopped.

        The room is free now, held by the gang itself, or else held by bulk work that is stopped
        together with the gang. There is no restart of a gang whose starts are limited or need
        approval.
        """
        if self._cluster_state.is_advised(step.occurrence.job) or self._reservations.of(step):
            return None
        if any(self._must_continue(run) for run in members):
            return None
        with self._index.without_refresh():
            places = self._candidates.restart_places(step, members, slow_gang, now)
            if places is not None:
                return RestartRoom(places, [])
            workers = self._candidates.restart_workers(step, slow_gang, now)
        own = set(members)

        def may_stop(run: Run) -> bool:
            return run in own or (harm_of(run) is Harm.BULK and self._is_stoppable(run, now))

        # Stopping the gang's own runs loses nothing more than the restart itself does.
        preemptor = Preemptor(self._cluster_state.members, may_stop, own.__contains__, now)
        found = preemptor.cheapest(step, step.step.count, domains(step, workers))
        if found is None:
            return None
        return RestartRoom(found.places, [run for run in found.victims if run not in own])

    def _must_continue(self, run: Run) -> bool:
        return (
            run.isolated or _loses_work_if_stopped(run) or self._isolation.has_limited_starts(run)
        )

    def reserve_for_restart(self, step: StepState, room: RestartRoom, now: float) -> None:
        """Reserve workers for a gang until its runs and those in its way have stopped."""
        for run in room.victims:
            self._cluster_state.preempt(run, step.occurrence.job)
        self._reservations.reserve(step, room.places, now)

    # Read by the diagnosis

    def kept_from(self, step: StepState) -> IsKept | None:
        """Test for workers that were kept from a step in the last round; ``None`` if none were."""
        with self._index.without_refresh():
            return self._candidates.kept(step)

    def held_back_from(self, step: StepState) -> IsKept | None:
        """Test for workers that are kept from a step for normal gangs; ``None`` if none are."""
        with self._index.without_refresh():
            return self._candidates.held_back(step)

    def kept_rank(self, step: StepState) -> int | None:
        """Number that is equal for steps from which the same workers are kept, if there are any."""
        return self._kept_workers.rank(step)

    def waits_near_data(self, step: StepState, now: float) -> bool:
        """Whether a step waits for a place near its data."""
        with self._index.without_refresh():
            return bool(step.step.data_rack) and prefers_near(step, now)

    def speed_limit(self, step: StepState, now: float) -> SpeedLimit | None:
        """The speed limit of a step that still waits for workers within it, or ``None``."""
        with self._index.without_refresh():
            limit = self._candidates.speed_limit(step, now)
        return limit if limit is not None and limit.restricts and not limit.relaxed else None

    def limit_until(self, step: StepState) -> float | None:
        """When a waiting step starts above its speed limit at the latest."""
        if step.stalled_since_s is None:
            return None
        return step.stalled_since_s + self.speed_limits.max_wait_s(step)

    def awaited_healthy(self, step: StepState, now: float) -> Preference | None:
        """Test for the workers that a step on its last attempt waits for; ``None`` if for none."""
        if not self._last_attempts.awaits_healthy(step, now):
            return None
        return self._last_attempts.healthy(now)

    def healthy_until(self, step: StepState) -> float:
        """When a step on its last attempt may be placed on any worker again."""
        return self._last_attempts.until_s(step)

    def reserved_until(self, step: StepState) -> float | None:
        """When a step's reservation expires; ``None`` if it has none."""
        reservation = self._reservations.of(step)
        return None if reservation is None else reservation.expires_s

    def headroom_until(self, step: StepState, now: float) -> float:
        """When the headroom opens to a waiting step at the latest."""
        since_s = now if step.waiting_since_s is None else step.waiting_since_s
        opens_s = self._gang_priority.headroom_opens_s(step)
        until_s = since_s + HEADROOM_WAIT_S
        return until_s if opens_s is None else min(until_s, opens_s)

    def headroom_allows(self, step: StepState, places: list[Worker], now: float) -> bool:
        """Whether the headroom left by the last round allows a step to take these workers."""
        with self._index.without_refresh():
            return self._headroom_allows(step, places, now)

    @property
    def headroom_accelerators(self) -> int:
        """Accelerators that the forecast keeps for urgent work; 0 without a forecast."""
        if self._demand is None:
            return 0
        with self._index.without_refresh():
            kept = [self._demand.headroom(*each) for each in self._index.services()]
        return round(sum(kept))

    # Placement

    def _place(self, step: StepState, entitled: set[str], now: float) -> None:
        is_top = step.occurrence.job.priority == TOP_PRIORITY
        needs = self._shape(step, now)
        any_speed = self._gang_priority.shape(step, needs)
        limit = None
        if is_top or any_speed not in self._failed_shapes.full:
            limit = self._candidates.speed_limit(step, now)
        shape = any_speed
        if limit is not None:
            shape = self._gang_priority.shape(step, self._limited_shape(needs, limit))
        full = shape in self._failed_shapes.full
        if not may_start(step):
            self._waiting.remove(step)
            return
        if not self._isolate(step, now):
            return
        if self._last_attempts.awaits_healthy(step, now):
            self._place_on_healthy(step, any_speed, now)
            return
        if self._place_on_cleared(step, now):
            return
        if limit is not None and not is_top and not self._probe(step, any_speed, limit, now):
            return
        cannot_start = full or self._failed_shapes.is_headroom_closed(shape, step.waited_s(now))
        if cannot_start and not is_top:
            if not self._place_without_preferences(step, now):
                self._keep_workers(step, any_speed, now)
            return
        if self._use_reservation(step, now):
            return
        if not full and self._place_on_preferred(step, now):
            return
        places = self._candidates.places(step, now)
        if limit is not None and limit.restricts:
            if self._place_limited(step, shape, limit, places, now):
                return
            if limit.relaxed and not is_top and shape in self._failed_shapes.full:
                self._failed_shapes.note_full(any_speed)
        elif not full and self._place_on(step, shape, places, now):
            return
        elif shape in self._failed_shapes.full:
            self._failed_shapes.note_full(any_speed)
        if self._place_without_preferences(step, now):
            return
        if not is_top:
            self._keep_workers(step, any_speed, now)
        elif self._reservations.of(step) is not None:
            return
        elif limit is None or not limit.restricts:
            self._preempt(step, places, entitled, now)
        elif limit.relaxed:
            above = self._candidates.places_above_limit(step, limit, now)
            self._preempt(step, above, entitled, now)

    # Last attempts

    def _place_on_healthy(self, step: StepState, shape: int | None, now: float) -> None:
        """Place a step on its last attempt on healthy workers, or let it wait for them.

        Urgent work stops work of lower priority there, if the stops end within its wait. The
        workers where a normal gang fits soonest are kept for it.
        """
        healthy = self._last_attempts.healthy(now)
        held = self._reservations.of(step)
        if held is not None and not all(healthy(worker) for worker in held.places):
            self._release(step)
        if self._use_reservation(step, now):
            return
        places = self._candidates.preferred_places(step, healthy, now)
        if self._place_on(step, None, places, now):
            return
        self._last_attempts.note_waiting(step)
        if step.occurrence.job.priority == TOP_PRIORITY:
            left_s = self._last_attempts.until_s(step) - now
            if self._reservations.of(step) is None and left_s >= self._lending.usual_stop_s:
                self._preempt(step, places, (), now)
        elif step.step.gang:
            self._keep_soonest(step, shape, places)

    # Speed limits

    def _place_limited(
        self, step: StepState, shape: int | None, limit: SpeedLimit, places: Places, now: float
    ) -> bool:
        """Place a step with a speed limit: within it, after preemptions, or at last above it.

        :return: whether the step has started or has got a reservation.
        """
        is_top = step.occurrence.job.priority == TOP_PRIORITY
        noted = None if limit.relaxed and not is_top else shape
        if shape not in self._failed_shapes.full and self._place_on(step, noted, places, now):
            return True
        if self._reservations.of(step) is not None:
            return False
        if is_top:
            self._preempt(step, places, (), now)
            if self._reservations.of(step) is not None:
                return True
        if not limit.relaxed:
            return False
        above = self._candidates.places_above_limit(step, limit, now)
        return self._place_on(step, None if is_top else shape, above, now)

    def _probe(self, step: StepState, shape: int | None, limit: SpeedLimit, now: float) -> bool:
        """Start tasks of a step, one on each of some idle workers whose speed is to be learned.

        :return: whether the step has other tasks to start.
        """
        service_capacity = self._candidates.service_capacity(step)
        service = self._cluster_state.service_of(step.occurrence.job)
        if self._probes.has_failed(shape) or not self._probes.is_wanted(service, service_capacity):
            return True
        if self._reservations.of(step) or self._cluster_state.is_advised(step.occurrence.job):
            return True
        if not self._probes.tolerates_slow(step, limit, service_capacity.known_factors):
            return True
        for task in step.tasks:
            if not self._is_open(task):
                continue
            idle = self._probes.candidates(service, service_capacity, now)
            worker = self._candidates.first_allowed(step, task, idle, now)
            if worker is None:
                self._probes.note_failed(shape)
                return True
            self._assign(task, worker, task.record.run + 1, now)
            self._probes.started(task, worker)
        self._release(step)
        return False

    # Isolation

    def _isolate(self, step: StepState, now: float) -> bool:
        """Start tasks of a step that may crash their workers in isolation.

        :return: whether the step has other tasks to start.
        """
        self._isolated.clear()
        suspects = self._isolation.suspects(step)
        if not suspects:
            return True
        self._release(step)
        self._isolated.update(suspects)
        pool = self._service_pool(step)
        eligible = (
            self._eligible_for_isolation(step, now)
            if self._isolation_searches < MAX_ISOLATED_PER_ROUND
            else []
        )
        for tasks in [suspects] if step.step.gang else [[task] for task in suspects]:
            self._isolation_searches += 1
            if self._isolation_searches > MAX_ISOLATED_PER_ROUND:
                break
            found = self._isolation.find(tasks, eligible, pool, now)
            if found.places:
                self._assign_isolated(tasks, found, now)
                eligible = [worker for worker in eligible if not worker.isolating]
            elif not found.must_wait:
                self._isolated.difference_update(tasks)
        return any(self._is_open(task) for task in step.tasks)

    def _service_pool(self, step: StepState) -> IsolationPool:
        service_capacity = self._candidates.service_capacity(step)
        job = step.occurrence.job
        return IsolationPool(
            self._cluster_state.service_of(job),
            service_capacity.count,
            is_idle(service_capacity),
            not self._cluster_state.is_advised(job),
        )

    def _eligible_for_isolation(self, step: StepState, now: float) -> list[Worker]:
        """Workers that may run a step's tasks, regardless of the step's preferences."""
        eligible = self._candidates.eligible(self._candidates.fit(step), now)
        if self._cluster_state.is_advised(step.occurrence.job):
            eligible = self._candidates.with_approval(step, eligible, now)
        return eligible

    def _assign_isolated(self, tasks: Sequence[Task], found: IsolatedPlacement, now: float) -> None:
        number = max(task.record.run for task in tasks) + 1
        for task, worker in zip(tasks, found.places, strict=True):
            self._assign(task, worker, number, now)
            if task.run is not None:
                task.run.isolated = found.alone

    def _is_open(self, task: Task) -> bool:
        """Whether a task is to be started, and need not be isolated."""
        return is_waiting(task) and task not in self._isolated

    def awaits_isolation(self, step: StepState) -> bool:
        """Whether tasks of a step wait for workers to run isolated on."""
        return self._isolation.has_waiting_tasks(step)

    def _keep_workers(self, step: StepState, shape: int | None, now: float) -> None:
        """Keep the workers where a gang fits soonest, for one gang of each shape."""
        if not step.step.gang or self._backfill.is_full or self._failed_shapes.is_kept(shape):
            return
        self._failed_shapes.note_kept(shape)

        def limited_shape() -> int | None:
            limit = self._candidates.speed_limit(step, now)
            return self._limited_shape(self._shape(step, now), limit)

        if self._gang_priority.keep(
            step, lambda: self._candidates.places(step, now), limited_shape
        ):
            self._preempt_for_gang(step, now)
            return
        soonest = self._candidates.places(step, now).soonest()
        self._backfill.keep(soonest, step.occurrence.job.priority)

    def _keep_soonest(self, step: StepState, shape: int | None, places: Places) -> None:
        """Keep those of some workers where a gang fits soonest, for one gang of each shape."""
        if self._backfill.is_full or self._failed_shapes.is_kept(shape):
            return
        self._failed_shapes.note_kept(shape)
        self._backfill.keep(places.soonest(), step.occurrence.job.priority)

    def _place_on_preferred(self, step: StepState, now: float) -> bool:
        """Place a step on preferred workers only, if there are such and it fits there."""
        for preferred in self._worker_preferences.preferences(step, now):
            listed = self._candidates.listed(step, now)
            eligible = self._candidates.within_limit(step, listed, now)
            chosen = [worker for worker in eligible if preferred(worker)]
            if step.step.gang and step.step.same_rack:
                chosen = whole_racks(step, chosen)
            if chosen and self._place_on(step, None, ListedPlaces(step, chosen), now):
                return True
        return False

    def _place_on_cleared(self, step: StepState, now: float) -> bool:
        """Start a gang on the workers that room was made on for it, if it fits there by now.

        Others that it fits on are left to urgent work.
        """
        cleared = self._gang_priority.cleared(step)
        chosen = ListedPlaces(step, cleared).choose_gang() if cleared else None
        if chosen is None or not self._headroom_allows(step, chosen, now):
            return False
        self._release(step)
        self._assign_gang(step, chosen, now)
        return True

    def _place_without_preferences(self, step: StepState, now: float) -> bool:
        """Place work of a job that would stall although the pool is mostly free.

        Data locality, a single rack, the headroom, workers kept for gangs and recent failures on
        workers are ignored. Of a step without a gang one task is placed, so that the others can
        still get better places.
        """
        choices = self._stalled.choices(step, now)
        return any(self._place_first(step, choice, now) for choice in choices)

    def _place_first(self, step: StepState, choice: WorkerChoice, now: float) -> bool:
        """Place a gang, or one task of a step without a gang."""
        if step.step.gang:
            chosen = choice.choose_gang()
            if chosen is None:
                return False
            self._release(step)
            self._assign_gang(step, chosen, now)
            return True
        for task in step.tasks:
            worker = choice.choose_worker(task.avoid) if self._is_open(task) else None
            if worker is not None:
                self._assign(task, worker, task.record.run + 1, now)
                return True
        return False

    def _place_on(self, step: StepState, shape: int | None, places: Places, now: float) -> bool:
        if step.step.gang:
            return self._place_gang(step, shape, places, now)
        return self._place_tasks(step, shape, places, now)

    def _limited_shape(self, shape: int | None, limit: SpeedLimit | None) -> int | None:
        """Number of a shape with a speed limit."""
        return shape if shape is None or limit is None else self._shapes.limited(shape, limit)

    def _shape(self, step: StepState, now: float) -> int | None:
        """Number of the step's shape at any speed.

        ``None`` if more than its shape decides whether it fits.
        """
        if self._cluster_state.is_advised(step.occurrence.job):
            return None
        if not step.step.gang and (step.step.per_worker or step.has_avoided_workers):
            return None
        service = self._cluster_state.service_of(step.occurrence.job)
        if step.shapes is None or step.shapes.service != service:
            step.shapes = self._step_shapes(step, service)
        return step.shapes.near if prefers_near(step, now) else step.shapes.anywhere

    def _step_shapes(self, step: StepState, service: str) -> StepShapes:
        needs = step.step
        anywhere = Shape(
            service=service,
            room=needs.allocation,
            count=needs.count if needs.gang else 1,
            same_rack=needs.gang and needs.same_rack,
            label=needs.label,
            near="",
            per_worker=needs.per_worker,
            proven=step.needs_proven_worker,
            lasting=needs.long_running,
        )
        near = replace(anywhere, near=needs.data_rack)
        return StepShapes(service, self._shapes.number(near), self._shapes.number(anywhere))

    def _place_gang(self, step: StepState, shape: int | None, places: Places, now: float) -> bool:
        chosen = places.choose_gang()
        if chosen is None:
            self._failed_shapes.note_full(shape)
            return False
        if not self._headroom_allows(step, chosen, now):
            self._failed_shapes.note_headroom_closed(shape, step.waited_s(now))
            return False
        self._release(step)
        self._assign_gang(step, chosen, now)
        return True

    def _assign_gang(self, step: StepState, places: list[Worker], now: float) -> None:
        number = step.next_run
        for task, worker in zip(step.tasks, places, strict=True):
            self._assign(task, worker, number, now)
        runs = [task.run for task in step.tasks if task.run is not None]
        lenders = frozenset[StepState]().union(*(run.lent_by for run in runs))
        for run in runs:
            run.lent_by = lenders

    def _place_tasks(self, step: StepState, shape: int | None, places: Places, now: float) -> bool:
        """Place tasks one by one. A task that avoids all free workers does not block the others."""
        left = False
        for task in step.tasks:
            if not self._is_open(task):
                continue
            worker = places.choose_worker(task.avoid)
            if worker is None and task.avoid:
                left = True
                continue
            if worker is None:
                self._failed_shapes.note_full(shape)
                return False
            if not self._headroom_allows(step, [worker], now):
                self._failed_shapes.note_headroom_closed(shape, step.waited_s(now))
                return False
            self._assign(task, worker, task.record.run + 1, now)
        if left:
            return False
        self._release(step)
        return True

    def _assign(self, task: Task, worker: Worker, number: int, now: float) -> None:
        self._starts += 1
        self._stalled.note_started(task.name.job_id)
        is_above_limit = self._is_above_limit(task.step, worker, now)
        self._cluster_state.assign(task, worker, number, now)
        task.step.preempts_since_s = None
        task.step.times_delayed = 0
        if task.run is not None and worker.is_overbooked and _is_reclaimable(task.run):
            task.run.lent_by = self._reservations.lenders(worker)
        if task.run is not None:
            task.run.above_limit = is_above_limit
            task.run.time_factor = self._index.time_factor(worker)

    def _is_above_limit(self, step: StepState, worker: Worker, now: float) -> bool:
        """Whether a worker is known to be slower than the speed limit of a step."""
        if not exceeds(known_factor(worker), 1.0):
            return False
        limit = self._candidates.speed_limit(step, now)
        return limit is not None and not limit.allows(worker)

    # Headroom

    def _headroom_allows(self, step: StepState, places: list[Worker], now: float) -> bool:
        """Whether the headroom allows a step to take these workers."""
        if step.occurrence.job.priority == TOP_PRIORITY or step.step.long_running:
            return True
        waited_s = step.waited_s(now)
        if waited_s > HEADROOM_WAIT_S or self._gang_priority.opens_headroom(step):
            return True
        service_capacity = self._candidates.service_capacity(step)
        forecast = self._forecast(step, service_capacity)
        return headroom_allows(service_capacity, places, waited_s, forecast)

    def _forecast(self, step: StepState, service_capacity: ServiceCapacity) -> float | None:
        if self._demand is None:
            return None
        service = self._cluster_state.service_of(step.occurrence.job)
        return self._demand.headroom(service, service_capacity)

    # Preemption

    def _preempt(
        self, step: StepState, places: Places, entitled: Collection[str], now: float
    ) -> None:
        job = step.occurrence.job
        is_entitled = job.job_id in entitled

        def may_stop(run: Run) -> bool:
            other = run.task.step.occurrence.job
            if other is job or not self._is_stoppable(run, now):
                return False
            if run.stopping or returns_loan(run) or other.priority > job.priority:
                return True
            return is_entitled and other.job_id not in entitled

        def returns_loan(run: Run) -> bool:
            return step in run.lent_by

        def search(wanted: int) -> Preemption | None:
            def cheapest(may_stop: MayStop) -> Preemption | None:
                preemptor = Preemptor(self._cluster_state.members, may_stop, returns_loan, now)
                return preemptor.cheapest(step, wanted, searched)

            return self._gang_priority.least_harmful(cheapest, may_stop, step)

        wanted = sum(1 for task in step.tasks if self._is_open(task))
        searched = list(places.domains(wanted))
        found = search(wanted)
        if found is None and not step.step.gang:
            found = search(1)
        if found is None:
            return
        victims = [run for run in found.victims if not returns_loan(run)]
        for run in self._stops_at_once(step, victims, now):
            self._cluster_state.preempt(run, job)
        self._reclaim_loans(self._reservations.reserve(step, found.places, now), now)

    def _stops_at_once(self, step: StepState, victims: list[Run], now: float) -> list[Run]:
        """The victims to stop now; with the option on, those about to end have some more time."""
        if not self._gang_priority.is_enabled:
            return victims
        return self._deferred.defer(step, victims, self._lending.usual_stop_s, now)

    def _stop_deferred(self, step: StepState, now: float) -> bool:
        """Stop the victims of a step that have not ended by themselves as expected.

        :return: whether they may still be stopped; otherwise the step has to look for other room.
        """
        due = self._deferred.take_due(step, now)
        members = [each for run in due for each in self._cluster_state.members(run)]
        if not all(self._is_stoppable(each, now) for each in members):
            self._release(step)
            return False
        for run in due:
            self._cluster_state.preempt(run, step.occurrence.job)
            run.awaited_s = now if run.awaited_s is None else run.awaited_s
        return True

    def _preempt_for_gang(self, step: StepState, now: float) -> None:
        """Stop work of lower priority on the workers that are kept for a gang, if it is due."""
        victims = self._gang_priority.victims(
            step,
            lambda: self._candidates.places(step, now),
            lambda run: self._is_stoppable(run, now),
            now,
        )
        for run in victims:
            self._cluster_state.preempt(run, step.occurrence.job)
            run.awaited_s = now if run.awaited_s is None else run.awaited_s
        self._counts["gang_preemptions"] += len(victims)

    def _is_stoppable(self, run: Run, now: float) -> bool:
        """Whether a run may be stopped for the sake of others at all."""
        if is_overdue(run, now) or _loses_work_if_stopped(run):
            return False
        return not run.isolated and not self._isolation.has_limited_starts(run)

    def _release(self, step: StepState) -> None:
        self._deferred.release(step)
        self._gang_priority.release(step)
        if self._reservations.release(step):
            self._failed_shapes.clear()
            self._gang_priority.note_released()
            self._stalled.note_released()

    def _reclaim_loans(self, held: Reservation, now: float) -> None:
        """Preempt the borrowers of a reservation once they alone have delayed the step too long."""
        if held.awaits_stops:
            return
        for run in held.borrowers:
            if run.awaited_s is None:
                run.awaited_s = now
        due = [run for run in held.borrowers if is_loan_due(run, held.step, now)]
        for run in due:
            self._cluster_state.preempt(run, held.step.occurrence.job)
            run.awaited_s = now
        held.step.times_delayed += bool(due)

    def _use_reservation(self, step: StepState, now: float) -> bool:
        """Start tasks whose reserved resources are free; ``True`` if all that wait have started."""
        held = self._reservations.of(step)
        if held is None or held.is_suspected:
            return False
        if not held.is_free:
            if self._stop_deferred(step, now):
                self._reclaim_loans(held, now)
            return False
        places = held.places
        self._release(step)
        if step.step.gang:
            self._assign_gang(step, places, now)
            return True
        waiting = [task for task in step.tasks if self._is_open(task)]
        for task, worker in zip(waiting, places, strict=False):
            self._assign(task, worker, task.record.run + 1, now)
        return len(waiting) <= len(places)


def _is_reclaimable(run: Run) -> bool:
    """Whether a run can be preempted to return a loan, regardless of its step's other runs."""
    return not _loses_work_if_stopped(run) and not run.task.step.step.may_miss


def _loses_work_if_stopped(run: Run) -> bool:
    """Whether a run may not be repeated and has no checkpoint, so that stopping loses its work."""
    step = run.task.step.step
    return step.once and not (step.checkpoint and run.saved)
