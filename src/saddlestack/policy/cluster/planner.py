"""Planning rounds: which waiting tasks start where, and which runs are preempted for them.

The planner builds the parts that decide, and runs the rounds. ``step_placement`` places each step,
and ``step_preemption`` stops other work for it.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.backfill import Backfill
from saddlestack.policy.cluster.candidates import Candidates
from saddlestack.policy.cluster.crashes import CrashTracker
from saddlestack.policy.cluster.demand import DemandForecast
from saddlestack.policy.cluster.fair_share import AccountUsage, FairShare
from saddlestack.policy.cluster.gang_keeping import GangKeeping
from saddlestack.policy.cluster.gang_preemption import GangPreemption
from saddlestack.policy.cluster.gang_priority import GangPriority
from saddlestack.policy.cluster.gang_restarts import GangRestarts
from saddlestack.policy.cluster.headroom_gate import HeadroomGate
from saddlestack.policy.cluster.healthy_placement import HealthyPlacement
from saddlestack.policy.cluster.index import CapacityIndex
from saddlestack.policy.cluster.isolated_starts import IsolatedStarts
from saddlestack.policy.cluster.isolation import Isolation
from saddlestack.policy.cluster.jobs import Job, Run, StepState
from saddlestack.policy.cluster.kept_workers import KeptWorkers
from saddlestack.policy.cluster.last_attempts import LastAttempts
from saddlestack.policy.cluster.lending import Lending
from saddlestack.policy.cluster.open_tasks import OpenTasks
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.probe_starts import ProbeStarts
from saddlestack.policy.cluster.reservations import Reservations
from saddlestack.policy.cluster.shapes import FailedShapes
from saddlestack.policy.cluster.slack import Slack, WorkEstimates
from saddlestack.policy.cluster.slow_restarts import RestartRoom, SlowGang
from saddlestack.policy.cluster.speed_limits import SpeedLimits
from saddlestack.policy.cluster.stalled import StalledPlacement
from saddlestack.policy.cluster.step_placement import StepPlacement
from saddlestack.policy.cluster.step_preemption import StepPreemption
from saddlestack.policy.cluster.step_shapes import StepShapeNumbers
from saddlestack.policy.cluster.step_starts import StepStarts
from saddlestack.policy.cluster.task_starts import TaskStarts
from saddlestack.policy.cluster.wait_queries import WaitQueries
from saddlestack.policy.cluster.waiting import WaitingSteps
from saddlestack.policy.cluster.worker_preferences import WorkerPreferences

MAX_STARTS_PER_ROUND = 400
"""A round begins no further step after this many starts. Deciding and ordering a start takes 0.1 to
0.15 ms of a core: without a limit, a new leader of 3,000 workers with a backlog of 11,000 tasks
blocked its process for over a second, longer than its lease. With it, a round blocks for 0.06 s, or
for 0.2 s on a third of a core."""


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
        self._demand = demand
        self._isolation = Isolation(crashes)
        self._waiting = WaitingSteps()
        self._failed_shapes = FailedShapes()
        self._open_tasks = OpenTasks()
        self.speed_limits = SpeedLimits(cluster_state)
        options = options or SchedulingOptions()
        self._last_attempts = LastAttempts(options.last_attempt_wait_s, worker_preferences)
        self._build_gang_decisions(Slack(work), usage, options)
        self._build_searches()
        self._build_starts()
        self._placement = self._build_placement()
        self.waits = self._build_queries()

    def _build_gang_decisions(
        self, slack: Slack, usage: AccountUsage | None, options: SchedulingOptions
    ) -> None:
        """Build what decides in favor of normal gangs, and on the shares of accounts."""
        cluster_state = self._cluster_state
        self._lending = Lending(self._index.time_factor)
        self._kept_workers = KeptWorkers(slack, cluster_state.service_of)
        self._gang_priority = GangPriority(
            slack,
            self._kept_workers,
            GangPreemption(slack, cluster_state.members, lambda: self._lending.usual_stop_s),
            enabled=options.gang_priority,
            min_workers=options.gang_priority_min_workers,
        )
        self._fair_share = FairShare(
            usage or AccountUsage(), slack, lambda: self._gang_priority.is_enabled
        )

    def _build_searches(self) -> None:
        """Build what finds workers for steps."""
        self._reservations = Reservations()
        self._backfill = Backfill()
        self._candidates = Candidates(
            self._cluster_state,
            self._index,
            self._backfill,
            self._kept_workers,
            self.speed_limits,
            self._open_tasks.is_open,
        )
        self._stalled = StalledPlacement(
            self._cluster_state, self._candidates, self._reservations, self._lending
        )
        self._headroom = HeadroomGate(
            self._cluster_state, self._index, self._candidates, self._gang_priority, self._demand
        )

    def _build_starts(self) -> None:
        """Build what starts tasks, and what stops others for them."""
        cluster_state, index, candidates = self._cluster_state, self._index, self._candidates
        preemption = StepPreemption(
            cluster_state,
            candidates,
            self._reservations,
            self._lending,
            self._gang_priority,
            self._isolation,
            self._stalled,
            self._failed_shapes,
            self._open_tasks,
        )
        starts = TaskStarts(
            cluster_state, index, candidates, self._reservations, preemption, self._stalled
        )
        self._starts = starts
        self._preemption = preemption
        self._isolated_starts = IsolatedStarts(
            cluster_state, candidates, self._isolation, preemption, starts, self._open_tasks
        )
        self._probe_starts = ProbeStarts(
            cluster_state, candidates, preemption, starts, self._open_tasks
        )
        self._restarts = GangRestarts(
            cluster_state, index, candidates, self._reservations, preemption
        )

    def _build_placement(self) -> StepPlacement:
        """Build what places each step."""
        shapes = StepShapeNumbers(self._cluster_state)
        starts = StepStarts(
            self._candidates,
            self._starts,
            self._preemption,
            self._headroom,
            self._gang_priority,
            self._failed_shapes,
            self._open_tasks,
        )
        keeping = GangKeeping(
            self._candidates,
            self._backfill,
            self._gang_priority,
            self._preemption,
            shapes,
            self._failed_shapes,
        )
        return StepPlacement(
            self._waiting,
            self._candidates,
            self._worker_preferences,
            self._gang_priority,
            self._failed_shapes,
            shapes,
            self._stalled,
            self._preemption,
            starts,
            self._isolated_starts,
            self._probe_starts,
            self._build_healthy_placement(starts, keeping),
            keeping,
        )

    def _build_healthy_placement(
        self, starts: StepStarts, keeping: GangKeeping
    ) -> HealthyPlacement:
        return HealthyPlacement(
            self._candidates,
            self._last_attempts,
            self._reservations,
            self._lending,
            self._preemption,
            starts,
            keeping,
        )

    def _build_queries(self) -> WaitQueries:
        return WaitQueries(
            self._index,
            self._candidates,
            self._kept_workers,
            self.speed_limits,
            self._last_attempts,
            self._reservations,
            self._headroom,
            self._isolation,
        )

    @property
    def next_loan_s(self) -> float | None:
        """When a round is due for waiting work: a loan, a stop that was put off, the end of a wait.

        On the monotonic clock.
        """
        due = (
            self._stalled.next_loan_s,
            self._preemption.next_stop_s(self._index.now),
            self._last_attempts.next_end_s,
        )
        return min((each for each in due if each is not None), default=None)

    @property
    def headroom_accelerators(self) -> int:
        """Accelerators that the forecast keeps for urgent work; 0 without a forecast."""
        return self._headroom.accelerators

    def take_counts(self) -> Counter[str]:
        """Return what to add to the counters of the metrics since the last call, by name."""
        counts = self._preemption.take_counts()
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
            self._preemption.release(step)
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
        entitled = self._begin_round(now, wall_ms)
        waiting = self._waiting.in_order(now, wall_ms, entitled)
        if self._demand is not None:
            self._demand.observe(waiting, now)
        for step in self._fair_share.in_order(waiting, now):
            if self._starts.count >= MAX_STARTS_PER_ROUND:
                return True
            self._placement.place(step, entitled, now)
        return self._waiting.has_due(wall_ms)

    def _begin_round(self, now: float, wall_ms: float) -> set[str]:
        """Reset what holds for one round only, and release what has expired.

        :return: ids of top-priority jobs that are within their account's guarantee.
        """
        self._starts.begin_round()
        self._isolated_starts.begin_round()
        self._stalled.begin()
        self._backfill.clear()
        self._probe_starts.begin_round()
        self._candidates.begin_round()
        self._failed_shapes.clear()
        self._preemption.begin_round(now)
        self._gang_priority.begin_round(now, wall_ms, self._index.worker_count)
        self._isolation.refresh(now)
        entitled = self._waiting.entitled(self._cluster_state.guaranteed)
        self.speed_limits.begin_round(now, wall_ms, entitled)
        self._last_attempts.begin_round(entitled)
        return entitled

    def restart_places(
        self, step: StepState, members: Sequence[Run], slow_gang: SlowGang, now: float
    ) -> RestartRoom | None:
        """Where a running gang fits after its stop; ``None`` if it must not be stopped."""
        return self._restarts.places(step, members, slow_gang, now)

    def reserve_for_restart(self, step: StepState, room: RestartRoom, now: float) -> None:
        """Reserve workers for a gang until its runs and those in its way have stopped."""
        self._restarts.reserve(step, room, now)
