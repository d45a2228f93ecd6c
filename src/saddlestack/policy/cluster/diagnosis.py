"""Why nothing of a job runs: the job's runs that are in hand, else what keeps its tasks from room.

Reads the board and changes nothing there. What a look costs is bounded, since it is taken on the
leader's tick: the jobs that have waited for the longest time are looked at first.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import islice

from saddlestack.policy.cluster.feasibility import Feasibility, FeasibilityCheck, ServicePool, pools
from saddlestack.policy.cluster.jobs import Job, Occurrence, Run, StepState
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.wait_limits import (
    HEADROOM_WAIT_S,
    IDLE_POOL_WAIT_S,
    NEAR_DATA_WAIT_S,
)
from saddlestack.policy.cluster.waiting import may_start
from saddlestack.policy.stall import has_free_capacity
from saddlestack.work import FINAL_STATES, Resources

MAX_JOBS_PER_SCAN = 128
"""Jobs whose steps are looked at..."""
MAX_WORKERS_PER_SCAN = 3_000
"""...and workers after which no more are looked at: a pool counts once for each kind of step. So
bounded a look takes 30 ms of a core in the median with 3,000 workers and 10,000 waiting jobs, 13 ms
with 176 and 1,000 (`benchmarks.waits`, 40 looks each, on a busy machine). Where nothing waits only
the runs are gone through: 1.1 ms with 3,000 workers and 5,300 runs."""
PREFERENCES = frozenset(
    {
        WaitReason.BACKFILL,
        WaitReason.HEADROOM,
        WaitReason.NEAR_DATA,
        WaitReason.ONE_RACK,
        WaitReason.PROBATION,
        WaitReason.QUARANTINE,
        WaitReason.TRIAL,
    }
)
"""What a job that stands beside a pool that is mostly free gives up in time; quarantine only where
its next failure is not its last."""
HELD_S = 0.1
"""A round of decisions that is due begins within milliseconds, or it is held up."""


@dataclass(frozen=True, slots=True)
class DiagnosisContext:
    """What the leader knows besides its board. Times are seconds on the board's clock.

    :param wall_ms: milliseconds since 1970.
    :param planned_s: when the last round of decisions began...
    :param round_full: ...and whether it was full.
    :param round_due: whether the next one would begin now.
    :param is_writing: whether records of a job are being written.
    :param lease_until_s: when every lease of a worker has lapsed.
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
    """A job of which nothing runs.

    :param since_s: since when, as far as looks tell.
    :param tasks: that wait for this reason.
    :param later_tasks: that wait for an earlier step besides.
    :param until_s: when the wait ends, or another reason takes over, where a time is known.
    :param could_start: a task of it could run, there is room for it twice over, and the pool is
        mostly free.
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
    """What a look has found.

    :param waits: of the jobs that have waited for the longest time.
    :param left_out: jobs that wait as well, and were not looked at.
    """

    waits: list[Wait]
    left_out: int


@dataclass(frozen=True, slots=True)
class _Kind:
    """What steps share that find the same in a pool."""

    service: str
    room: Resources
    count: int
    gang: bool
    same_rack: bool
    label: str
    near: str
    priority: int
    long_running: bool
    needs_proven_worker: bool


@dataclass(slots=True)
class _InHand:
    """The runs of jobs, those at work apart from those that are not.

    :param working: jobs of which something runs.
    :param lost: runs on workers that do not answer, by job.
    :param stopping: runs that are being stopped, by job.
    :param unconfirmed: runs whose start is not confirmed, by job.
    """

    working: set[str] = field(default_factory=set)
    lost: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    stopping: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))
    unconfirmed: dict[str, list[Run]] = field(default_factory=lambda: defaultdict(list))

    def add(self, run: Run, *, answers: bool) -> None:
        """Sort a run in."""
        job_id = run.task.name.job_id
        if not answers:
            self.lost[job_id].append(run)
        elif run.stopping:
            self.stopping[job_id].append(run)
        elif run.started_s is None:
            self.unconfirmed[job_id].append(run)
        else:
            self.working.add(job_id)

    def of(self, job_id: str) -> list[Run]:
        """The runs of a job of which nothing is at work."""
        return [
            run
            for runs in (self.lost, self.stopping, self.unconfirmed)
            for run in runs.get(job_id, ())
        ]


class Diagnosis:
    """Looks at a board from time to time, and keeps since when each job waits."""

    def __init__(self, cluster_state: ClusterState) -> None:
        self._cluster_state = cluster_state
        self._since: dict[str, float] = {}

    def scan(self, circumstances: DiagnosisContext) -> WaitReport:
        """The jobs of which nothing runs, those first that have waited for the longest time."""
        in_hand = _in_hand(self._cluster_state)
        self._note(in_hand, circumstances.now)
        look = _Look(self._cluster_state, in_hand, circumstances)
        longest = list(islice(self._since.items(), MAX_JOBS_PER_SCAN))
        jobs = [(self._cluster_state.jobs[job_id], since_s) for job_id, since_s in longest]
        waits = [look.at(job, since_s) for job, since_s in jobs if not job.over]
        return WaitReport(waits, len(self._since) - len(longest))

    def _note(self, in_hand: _InHand, now: float) -> None:
        """Keep since when each job waits; what waited first stays first."""
        jobs = self._cluster_state.jobs
        working = in_hand.working
        for job_id in [each for each in self._since if each in working or each not in jobs]:
            del self._since[job_id]
        for job_id, job in jobs.items():
            if job.published_state in FINAL_STATES:
                self._since.pop(job_id, None)
            elif job_id not in working:
                self._since.setdefault(job_id, now)


def _in_hand(cluster_state: ClusterState) -> _InHand:
    found = _InHand()
    for worker in cluster_state.workers.values():
        for run in worker.runs.values():
            found.add(run, answers=worker.reachable)
    return found


class _Look:
    """One look at a board."""

    def __init__(
        self, cluster_state: ClusterState, in_hand: _InHand, circumstances: DiagnosisContext
    ) -> None:
        self._cluster_state = cluster_state
        self._in_hand = in_hand
        self._circumstances = circumstances
        self._now = circumstances.now
        self._left = MAX_WORKERS_PER_SCAN
        self._pools: dict[str, ServicePool] | None = None
        self._known: dict[_Kind, Feasibility] = {}

    def at(self, job: Job, since_s: float) -> Wait:
        """Why nothing of a job runs."""
        due = [each for each in job.occurrences if each.open and self._is_due(each)]
        if not due:
            return self._not_due(job, since_s)
        steps = [step for each in due for step in each.steps if not step.finished]
        ready = [step for step in steps if may_start(step)]
        later = sum(len(step.tasks) for step in steps if not _follows_nothing(step))
        if ready:
            tasks = sum(self._waiting(step) for step in ready)
            return self._for_room(job, ready[0], since_s, tasks, later)
        return self._for_runs(job, since_s, later)

    # Time

    def _is_due(self, occurrence: Occurrence) -> bool:
        return occurrence.due_ms <= self._circumstances.wall_ms

    def _not_due(self, job: Job, since_s: float) -> Wait:
        to_come = [each for each in job.occurrences if each.open]
        tasks = sum(len(step.tasks) for each in to_come[:1] for step in each.steps)
        due_ms = min((each.due_ms for each in to_come), default=0)
        until_s = self._now + (due_ms - self._circumstances.wall_ms) / 1000
        return Wait(job.job_id, WaitReason.NOT_DUE, since_s, tasks, until_s=until_s)

    # Runs

    def _for_runs(self, job: Job, since_s: float, later: int) -> Wait:
        """A job whose tasks are all given to workers, or follow on such."""
        job_id = job.job_id
        until_s = None
        if job_id in self._in_hand.lost:
            runs = self._in_hand.lost[job_id]
            reason = WaitReason.LEASE
            until_s = max(self._circumstances.lease_until_s(run.worker_id) for run in runs)
        elif job_id in self._in_hand.stopping:
            runs = self._in_hand.stopping[job_id]
            reason = WaitReason.STOPPING
        elif job_id in self._in_hand.unconfirmed:
            runs = self._in_hand.unconfirmed[job_id]
            reason = WaitReason.STARTING
            if self._circumstances.is_writing(job_id) and not runs[0].inherited:
                reason = WaitReason.WRITE
        else:
            return Wait(job_id, WaitReason.EARLIER_STEP, since_s, 0, later)
        step = runs[0].task.step
        tasks = len(step.tasks) - step.done if step.step.gang else len(runs)
        return Wait(job_id, reason, since_s, tasks, later, until_s, self._is_beside_room(step))

    def _is_beside_room(self, step: StepState) -> bool:
        """Whether a step could run at once somewhere else."""
        survey = self._survey(step)
        return survey is not None and self._has_room(step, survey)

    # Room

    def _for_room(self, job: Job, step: StepState, since_s: float, tasks: int, later: int) -> Wait:
        survey = self._survey(step)
        if survey is None:
            return Wait(job.job_id, WaitReason.LEFT_OUT, since_s, tasks, later)
        if self._cluster_state.planner.awaits_isolation(step):
            beside = self._has_room(step, survey)
            return Wait(job.job_id, WaitReason.ISOLATION, since_s, tasks, later, could_start=beside)
        reason, until_s = self._why(step, survey)
        room = self._has_room(step, survey)
        if room:
            until_s = self._until_s(step, reason, until_s)
        return Wait(job.job_id, reason, since_s, tasks, later, until_s, room)

    def _why(self, step: StepState, survey: Feasibility) -> tuple[WaitReason, float | None]:
        """The reason, and when it ends where a time is known."""
        waiting_since_s = self._now if step.waiting_since_s is None else step.waiting_since_s
        if survey.reason is None:
            if self._cluster_state.planner.may_open(step, list(survey.places), self._now):
                return self._for_round(), None
            return WaitReason.HEADROOM, waiting_since_s + HEADROOM_WAIT_S
        reserved_until_s = self._cluster_state.planner.reserved_until(step)
        if reserved_until_s is not None:
            return WaitReason.MAKING_ROOM, reserved_until_s
        if survey.reason is WaitReason.NEAR_DATA:
            return WaitReason.NEAR_DATA, waiting_since_s + NEAR_DATA_WAIT_S
        return survey.reason, survey.until_s

    def _until_s(self, step: StepState, reason: WaitReason, until_s: float | None) -> float | None:
        """When a wait ends at the latest: beside a free pool preferences are given up sooner."""
        if reason not in PREFERENCES or step.stalled_since_s is None:
            return until_s
        if reason is WaitReason.QUARANTINE and step.next_failure_is_final:
            return until_s
        impatient_s = step.stalled_since_s + IDLE_POOL_WAIT_S
        return impatient_s if until_s is None else min(until_s, impatient_s)

    def _waiting(self, step: StepState) -> int:
        """Tasks of a step that are neither done nor given to a worker, without a look at each."""
        runs = self._in_hand.of(step.occurrence.job.job_id)
        given = sum(1 for run in runs if run.task.step is step)
        return len(step.tasks) - step.done - given

    def _for_round(self) -> WaitReason:
        circumstances = self._circumstances
        if circumstances.round_due and self._now - circumstances.planned_s > HELD_S:
            return WaitReason.ROUND_HELD
        return WaitReason.ROUND_FULL if circumstances.round_full else WaitReason.NEXT_ROUND

    def _has_room(self, step: StepState, survey: Feasibility) -> bool:
        wanted = step.step.count if step.step.gang else 1
        return has_free_capacity(self._pool(step).use, survey.copies, wanted)

    def _survey(self, step: StepState) -> Feasibility | None:
        """What a step finds in its pool; ``None`` where that would cost too much."""
        kind = self._kind(step)
        known = None if kind is None else self._known.get(kind)
        if known is not None:
            return known
        pool = self._pool(step)
        if self._left <= 0:
            return None
        self._left -= len(pool.workers)
        found = FeasibilityCheck(
            step,
            pool,
            self._cluster_state.planner.kept_from(step),
            near=self._cluster_state.planner.waits_near_data(step, self._now),
            advised=self._cluster_state.is_advised(step.occurrence.job),
            now=self._now,
        ).survey()
        if kind is not None:
            self._known[kind] = found
        return found

    def _pool(self, step: StepState) -> ServicePool:
        if self._pools is None:
            self._pools = pools(self._cluster_state.workers.values(), self._now)
        service = self._cluster_state.service_of(step.occurrence.job)
        return self._pools.setdefault(service, ServicePool())

    def _kind(self, step: StepState) -> _Kind | None:
        """What a step shares with others; ``None`` where more counts than that."""
        job = step.occurrence.job
        if self._cluster_state.is_advised(job) or step.has_avoided_workers or step.step.per_worker:
            return None
        needs = step.step
        near = (
            needs.data_rack if self._cluster_state.planner.waits_near_data(step, self._now) else ""
        )
        return _Kind(
            service=self._cluster_state.service_of(job),
            room=needs.allocation,
            count=needs.count if needs.gang else 1,
            gang=needs.gang,
            same_rack=needs.same_rack,
            label=needs.label,
            near=near,
            priority=job.priority,
            long_running=needs.long_running,
            needs_proven_worker=step.needs_proven_worker,
        )


def _follows_nothing(step: StepState) -> bool:
    """Whether every step that has to be done first is."""
    steps = step.occurrence.steps
    return all(steps[number].finished for number in step.step.after)
