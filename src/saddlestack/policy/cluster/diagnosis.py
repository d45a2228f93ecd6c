"""Finds out why no task of a job runs: the state of its runs, or what keeps its tasks from workers.

The diagnosis only reads the cluster state. It runs on the leader's tick, so the cost of a scan is
bounded: the jobs that have waited longest are examined first.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice

from saddlestack.policy.cluster.feasibility import (
    Feasibility,
    FeasibilityCheck,
    ServicePool,
    pools_by_service,
)
from saddlestack.policy.cluster.jobs import Job, Occurrence, Run, StepState
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.speed_limits import SpeedLimit
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.wait_limits import (
    IDLE_POOL_WAIT_S,
    NEAR_DATA_WAIT_S,
)
from saddlestack.policy.cluster.waiting import may_start
from saddlestack.policy.stall import has_free_capacity
from saddlestack.work import FINAL_STATES, Resources

MAX_JOBS_PER_SCAN = 128
"""Maximum number of jobs whose steps are examined in a scan."""
MAX_WORKERS_PER_SCAN = 3_000
"""Number of examined workers after which a scan examines no more. A pool counts once for each kind
of step. With both limits the median scan takes 30 ms of a core with 3,000 workers and 10,000
waiting jobs, and 13 ms with 176 workers and 1,000 waiting jobs (`benchmarks.waits`). If nothing
waits, a scan only iterates over the runs: 1.1 ms with 3,000 workers and 5,300 runs."""
PREFERENCES = frozenset(
    {
        WaitReason.BACKFILL,
        WaitReason.GANG_FIRST,
        WaitReason.FASTER_WORKER,
        WaitReason.HEADROOM,
        WaitReason.HEALTHY_WORKER,
        WaitReason.NEAR_DATA,
        WaitReason.ONE_RACK,
        WaitReason.PROBATION,
        WaitReason.QUARANTINE,
        WaitReason.TRIAL,
    }
)
"""Constraints that a stalled job drops after a time limit while its pool is mostly free. Quarantine
is dropped only if the job's next failure is not its last."""
ROUND_OVERDUE_S = 0.1
"""A scheduling round that is due starts within milliseconds unless it is held up. It counts as held
up after this time."""


@dataclass(frozen=True, slots=True)
class DiagnosisContext:
    """State of the leader beside its cluster state. Times are seconds on the scheduler's clock.

    :param wall_ms: wall time in milliseconds since 1970.
    :param planned_s: when the last scheduling round started.
    :param round_full: whether that round reached its limit of starts.
    :param round_due: whether the next round would start now.
    :param is_writing: whether records of a job are being written.
    :param lease_until_s: when all leases of a worker have expired.
    """

    now: float
    wall_ms: float
    planned_s: float
    round_full: bool
    round_due: bool
    is_writing: Callable[[str], bool]
    lease_until_s: Callable[[str], float]


@dataclass(frozen=True, slots=True)
class Wait:
    """A job of which no task runs.

    :param since_s: the scan that first found it waiting.
    :param tasks: number of tasks that wait for this reason.
    :param later_tasks: number of tasks that wait for an earlier step.
    :param until_s: when the wait ends or another reason applies, if a time is known.
    :param could_start: whether a task of it may run, twice the resources it needs are free and the
        pool is mostly free.
    """

    job_id: str
    reason: WaitReason
    since_s: float
    tasks: int = 0
    later_tasks: int = 0
    until_s: float | None = None
    could_start: bool = False


@dataclass(frozen=True, slots=True)
class WaitReport:
    """The result of a scan.

    :param waits: the waits of the jobs that have waited longest.
    :param left_out: number of waiting jobs that were not examined.
    """

    waits: list[Wait]
    left_out: int


@dataclass(frozen=True, slots=True)
class _StepKind:
    """Properties of a step that decide the result of its feasibility check."""

    service: str
    allocation: Resources
    count: int
    gang: bool
    same_rack: bool
    label: str
    near: str
    priority: int
    long_running: bool
    needs_proven_worker: bool
    kept_rank: int
    limit: SpeedLimit | None
    awaits_healthy: bool


@dataclass(slots=True)
class _RunsByState:
    """Assigned runs, by state and job; of a job that works, those before its first working run.

    :param working: ids of the jobs with a confirmed run on a reachable worker.
    :param unreachable: runs on unreachable workers, by job.
    :param stopping: runs that are being stopped, by job.
    :param unconfirmed: runs whose start is not confirmed, by job.
    """

    working: set[str] = field(default_factory=set)
    unreachable: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    stopping: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    unconfirmed: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))

    def add(self, run: Run, *, is_reachable: bool) -> None:
        """Add a run.

        :param is_reachable: whether its worker is reachable.
        """
        job_id = run.task.name.job_id
        if not is_reachable:
            self.unreachable[job_id].append(run)
        elif run.stopping:
            self.stopping[job_id].append(run)
        elif run.started_s is None:
            self.unconfirmed[job_id].append(run)
        else:
            self.working.add(job_id)

    def of(self, job_id: str) -> list[Run]:
        """The assigned runs of a job that has no working run."""
        return [
            run
            for runs in (self.unreachable, self.stopping, self.unconfirmed)
            for run in runs.get(job_id, ())
        ]


class Diagnosis:
    """Scans a cluster state from time to time, and keeps how long each job has been waiting."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state
        self._waiting_since: dict[str, float] = {}

    def scan(self, context: DiagnosisContext) -> WaitReport:
        """Find the jobs of which no task runs, the longest waiting first."""
        runs_by_state = _runs_by_state(self._cluster_state)
        self._update_waiting_since(runs_by_state, context.now)
        scan = _Scan(self._cluster_state, runs_by_state, context)
        longest = list(islice(self._waiting_since.items(), MAX_JOBS_PER_SCAN))
        jobs = [(self._cluster_state.jobs[job_id], since_s) for job_id, since_s in longest]
        waits = [scan.explain(job, since_s) for job, since_s in jobs if not job.over]
        return WaitReport(waits, len(self._waiting_since) - len(longest))

    def _update_waiting_since(self, runs_by_state: _RunsByState, now: float) -> None:
        """Update since when each job waits; the dict stays in the order in which waits began."""
        jobs = self._cluster_state.jobs
        working = runs_by_state.working
        for job_id in [each for each in self._waiting_since if each in working or each not in jobs]:
            del self._waiting_since[job_id]
        for job_id, job in jobs.items():
            if job.published_state in FINAL_STATES:
                self._waiting_since.pop(job_id, None)
            elif job_id not in working:
                self._waiting_since.setdefault(job_id, now)


def _runs_by_state(cluster_state: ClusterState) -> _RunsByState:
    """The runs of all jobs. One working run is enough to know that its job works."""
    found = _RunsByState()
    for job in cluster_state.jobs.values():
        for run in job.runs():
            found.add(run, is_reachable=cluster_state.is_worker_reachable(run))
            if job.job_id in found.working:
                break
    return found


class _Scan:
    """One scan of a cluster state."""

    def __init__(
        self,
        cluster_state: ClusterState,
        runs_by_state: _RunsByState,
        context: DiagnosisContext,
    ) -> None:
        self._cluster_state = cluster_state
        self._runs_by_state = runs_by_state
        self._context = context
        self._now = context.now
        self._workers_left = MAX_WORKERS_PER_SCAN
        self._pools: dict[str, ServicePool] | None = None
        self._cache: dict[_StepKind, Feasibility] = {}

    def explain(self, job: Job, since_s: float) -> Wait:
        """Explain why no task of a job runs."""
        due = [each for each in job.occurrences if each.open and self._is_due(each)]
        if not due:
            return self._waits_until_due(job, since_s)
        steps = [step for each in due for step in each.steps if not step.finished]
        ready = [step for step in steps if may_start(step)]
        later = sum(len(step.tasks) for step in steps if not _dependencies_finished(step))
        if ready:
            tasks = sum(self._count_waiting(step) for step in ready)
            return self._waits_for_capacity(job, ready[0], since_s, tasks, later)
        return self._waits_for_runs(job, since_s, later)

    def _is_due(self, occurrence: Occurrence) -> bool:
        return occurrence.due_ms <= self._context.wall_ms

    def _waits_until_due(self, job: Job, since_s: float) -> Wait:
        to_come = [each.due_ms for each in job.occurrences if each.open]
        if job.next_due_ms is not None:
            to_come.append(job.next_due_ms)
        tasks = sum(step.count for step in job.accepted.request.steps) if to_come else 0
        due_ms = min(to_come, default=0)
        until_s = self._now + (due_ms - self._context.wall_ms) / 1000
        return Wait(job.job_id, WaitReason.NOT_DUE, since_s, tasks, until_s=until_s)

    def _waits_for_runs(self, job: Job, since_s: float, later: int) -> Wait:
        """The wait of a job whose tasks are all assigned, or depend on tasks that are."""
        job_id = job.job_id
        until_s = None
        if job_id in self._runs_by_state.unreachable:
            runs = self._runs_by_state.unreachable[job_id]
            reason = WaitReason.LEASE
            until_s = max(self._context.lease_until_s(run.worker_id) for run in runs)
        elif job_id in self._runs_by_state.stopping:
            runs = self._runs_by_state.stopping[job_id]
            reason = WaitReason.STOPPING
        elif job_id in self._runs_by_state.unconfirmed:
            runs = self._runs_by_state.unconfirmed[job_id]
            reason = WaitReason.STARTING
            if self._context.is_writing(job_id) and not runs[0].inherited:
                reason = WaitReason.WRITE
        else:
            return Wait(job_id, WaitReason.EARLIER_STEP, since_s, 0, later)
        step = runs[0].task.step
        tasks = len(step.tasks) - step.done if step.step.gang else len(runs)
        return Wait(job_id, reason, since_s, tasks, later, until_s, self._could_start(step))

    def _could_start(self, step: StepState) -> bool:
        """Whether a step could start at once on other workers."""
        feasibility = self._feasibility(step)
        return feasibility is not None and self._has_capacity(step, feasibility)

    def _waits_for_capacity(
        self, job: Job, step: StepState, since_s: float, tasks: int, later: int
    ) -> Wait:
        feasibility = self._feasibility(step)
        if feasibility is None:
            return Wait(job.job_id, WaitReason.LEFT_OUT, since_s, tasks, later)
        held_until_s = self._cluster_state.planner.waits.held_until(step, self._now)
        if held_until_s is not None:
            reason = WaitReason.UNCONFIRMED_CRASH
            could_start = self._has_capacity(step, feasibility)
            return Wait(job.job_id, reason, since_s, tasks, later, held_until_s, could_start)
        if self._cluster_state.planner.waits.awaits_isolation(step):
            could_start = self._has_capacity(step, feasibility)
            return Wait(
                job.job_id, WaitReason.ISOLATION, since_s, tasks, later, could_start=could_start
            )
        reason, until_s = self._reason(step, feasibility)
        has_capacity = self._has_capacity(step, feasibility)
        if has_capacity:
            until_s = self._latest_end_s(step, reason, until_s)
        return Wait(job.job_id, reason, since_s, tasks, later, until_s, has_capacity)

    def _reason(self, step: StepState, feasibility: Feasibility) -> tuple[WaitReason, float | None]:
        """The reason of a wait, and when it ends if a time is known."""
        waiting_since_s = self._now if step.waiting_since_s is None else step.waiting_since_s
        if feasibility.reason is None:
            if self._cluster_state.planner.waits.headroom_allows(
                step, list(feasibility.places), self._now
            ):
                return self._round_reason(), None
            return WaitReason.HEADROOM, self._cluster_state.planner.waits.headroom_until(
                step, self._now
            )
        reserved_until_s = self._cluster_state.planner.waits.reserved_until(step)
        if reserved_until_s is not None:
            return WaitReason.MAKING_ROOM, reserved_until_s
        if feasibility.reason is WaitReason.NEAR_DATA:
            return WaitReason.NEAR_DATA, waiting_since_s + NEAR_DATA_WAIT_S
        if feasibility.reason is WaitReason.FASTER_WORKER:
            return WaitReason.FASTER_WORKER, self._cluster_state.planner.waits.limit_until(step)
        if feasibility.reason is WaitReason.HEALTHY_WORKER:
            return WaitReason.HEALTHY_WORKER, self._cluster_state.planner.waits.healthy_until(step)
        return feasibility.reason, feasibility.until_s

    def _latest_end_s(
        self, step: StepState, reason: WaitReason, until_s: float | None
    ) -> float | None:
        """When a wait ends at the latest. In a mostly free pool preferences are dropped sooner."""
        if reason not in PREFERENCES or step.stalled_since_s is None:
            return until_s
        if reason is WaitReason.QUARANTINE and step.next_failure_is_final:
            return until_s
        dropped_s = step.stalled_since_s + IDLE_POOL_WAIT_S
        return dropped_s if until_s is None else min(until_s, dropped_s)

    def _count_waiting(self, step: StepState) -> int:
        """Tasks of a step that are neither done nor assigned, without iterating over its tasks."""
        runs = self._runs_by_state.of(step.occurrence.job.job_id)
        assigned = sum(1 for run in runs if run.task.step is step)
        return len(step.tasks) - step.done - assigned

    def _round_reason(self) -> WaitReason:
        context = self._context
        if context.round_due and self._now - context.planned_s > ROUND_OVERDUE_S:
            return WaitReason.ROUND_HELD
        return WaitReason.ROUND_FULL if context.round_full else WaitReason.NEXT_ROUND

    def _has_capacity(self, step: StepState, feasibility: Feasibility) -> bool:
        required = step.step.count if step.step.gang else 1
        return has_free_capacity(self._pool(step).use, feasibility.copies, required)

    def _feasibility(self, step: StepState) -> Feasibility | None:
        """The feasibility of a step in its pool, cached by kind of step.

        ``None`` if this scan has already examined too many workers.
        """
        kind = self._step_kind(step)
        cached = None if kind is None else self._cache.get(kind)
        if cached is not None:
            return cached
        pool = self._pool(step)
        if self._workers_left <= 0:
            return None
        self._workers_left -= len(pool.workers)
        found = FeasibilityCheck(
            step,
            pool,
            self._cluster_state.planner.waits.kept_from(step),
            limit=self._cluster_state.planner.waits.speed_limit(step, self._now),
            near=self._cluster_state.planner.waits.waits_near_data(step, self._now),
            advised=self._cluster_state.is_advised(step.occurrence.job),
            now=self._now,
            held_back=self._cluster_state.planner.waits.held_back_from(step),
            healthy=self._cluster_state.planner.waits.awaited_healthy(step, self._now),
        ).check()
        if kind is not None:
            self._cache[kind] = found
        return found

    def _pool(self, step: StepState) -> ServicePool:
        if self._pools is None:
            self._pools = pools_by_service(self._cluster_state.workers.values(), self._now)
        service = self._cluster_state.service_of(step.occurrence.job)
        return self._pools.setdefault(service, ServicePool())

    def _step_kind(self, step: StepState) -> _StepKind | None:
        """The kind of a step; ``None`` if its feasibility depends on other properties as well."""
        job = step.occurrence.job
        if self._cluster_state.is_advised(job) or step.has_avoided_workers or step.step.per_worker:
            return None
        kept_rank = self._cluster_state.planner.waits.kept_rank(step)
        if kept_rank is None:
            return None
        needs = step.step
        near = (
            needs.data_rack
            if self._cluster_state.planner.waits.waits_near_data(step, self._now)
            else ""
        )
        return _StepKind(
            service=self._cluster_state.service_of(job),
            allocation=needs.allocation,
            count=needs.count if needs.gang else 1,
            gang=needs.gang,
            same_rack=needs.same_rack,
            label=needs.label,
            near=near,
            priority=job.priority,
            long_running=needs.long_running,
            needs_proven_worker=step.needs_proven_worker,
            kept_rank=kept_rank,
            limit=self._cluster_state.planner.waits.speed_limit(step, self._now),
            awaits_healthy=self._cluster_state.planner.waits.awaited_healthy(step, self._now)
            is not None,
        )


def _dependencies_finished(step: StepState) -> bool:
    """Whether all steps that a step depends on are finished."""
    steps = step.occurrence.steps
    return all(steps[number].finished for number in step.step.after)
