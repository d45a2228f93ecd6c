"""Checks the invariants of a soak by what workers and clients recorded, and nothing else."""

from __future__ import annotations

import enum
import heapq
import itertools
import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from saddlestack.interfaces.workers import EndKind
from saddlestack.soak.messages import Record
from saddlestack.soak.reclaims import UrgentJob, missed_reclaims
from saddlestack.soak.runs import RunHistory, RunRecord, StepKey
from saddlestack.work import FINAL_STATES, JobRequest, JobState, TaskName

CANCEL_S = 4.0
"""No task of a job starts later than this after its cancel was acknowledged. Follows from the
platform's time bounds."""
RECLAIM_S = 3.4
"""An urgent job within its account's guarantee has begun within this time after its acceptance.
Follows from the platform's time bounds."""
HUB_LAG_S = 2.0
"""Maximum delay until the gang hub learns that a member has ended: on a crowded machine its event
loop was up to 1.6 s late. A member that ended less than this before its gang was complete counts as
present."""

IsUndisturbed = Callable[[int, float], bool]
"""Whether the VM that held a fencing token was undisturbed up to a time."""
VmOf = Callable[[int], str]
"""The VM that held a fencing token."""

CAPACITY_LAG_S = 4.0
"""A reduced capacity counts after this time: a heartbeat, plus the time until VMs receive it."""
CRASHES = 3
"""Crashes of workers by one task after which its further starts are limited."""
EXTRA_STARTS_LIMIT = 3
"""A task with :data:`CRASHES` crashes must be started fewer times than this afterwards."""
MIN_CRASHES_TO_FAIL = 2
"""A job may fail once this many workers have crashed while they ran one of its tasks."""


class Invariant(enum.StrEnum):
    """The invariants that are checked; the values describe their violations."""

    ONE_RUN = "two runs at once"
    ONCE_DONE = "a start after an end that was noted"
    WHOLE_GANG = "a gang worked without all of its members"
    GANG_ASSEMBLED = "a member of a gang waited in vain"
    DRAIN = "a start on a worker that had announced its end"
    CAPACITY = "more than a worker's accelerators"
    REFUSED = "a refused job ran"
    CANCELLED = "a start after a cancel"
    RECLAIM = "an urgent job waited for what its account owns"
    ORDER = "a start before the steps that it needs were done"
    ATTEMPTS = "a start after all attempts had failed"
    CRASHES = "a task that crashes its workers was started three times more after three crashes"
    UNKNOWN = "a start of what no client handed in"
    FINISHED = "an accepted job is not over"
    STALL = "a job stood still beside a free pool"
    COMPLETED = "a job is shown as completed and is not done"
    FAILED = "a job is shown as failed without cause"
    CONFIGURATION = "a call was handled by a configuration that was not in force"
    NOT_CANCELLED = "a job is shown as cancelled that nobody cancelled"


@dataclass(frozen=True, slots=True)
class ClientJob:
    """A job as its client knows it. Times are on the monotonic clock.

    :param accepted: one of its submissions succeeded.
    :param refused: all of its submissions were refused.
    :param cancel_sent: the client sent a cancel.
    :param cancelled_s: when the cancel was acknowledged.
    :param state: the last state that the client received, after the soak had settled.
    :param attempts: failed runs after which a task fails the job.
    :param account: the client account that submitted it.
    :param urgent: the account's guarantee covers jobs of this kind.
    :param submitted_s: when the client first submitted it.
    :param accepted_s: when a submission succeeded.
    """

    job_id: str
    request: JobRequest
    accepted: bool
    refused: bool
    cancel_sent: bool = False
    cancelled_s: float | None = None
    state: JobState | None = None
    attempts: int = 1
    account: str = ""
    urgent: bool = False
    submitted_s: float = 0.0
    accepted_s: float | None = None


@dataclass(frozen=True, slots=True)
class InvariantTimes:
    """Time bounds of the invariants, in seconds.

    :param drain_s: time after a draining worker announced its end in which it may get starts.
    :param cancel_s: see :data:`CANCEL_S`.
    :param reclaim_s: see :data:`RECLAIM_S`.
    """

    drain_s: float
    cancel_s: float = CANCEL_S
    reclaim_s: float = RECLAIM_S


@dataclass(frozen=True, slots=True)
class Violation:
    """A violation of an invariant.

    :param at_s: when it happened; infinite for a wrong outcome of a job.
    :param runs: the runs that show it.
    :param detail: further details for the report.
    """

    invariant: Invariant
    at_s: float
    job_id: str
    runs: tuple[RunRecord, ...] = ()
    detail: str = ""

    def text(self, vm_of: VmOf, start_s: float) -> str:
        """Describe the violation in one line: its runs, which VM ordered each, and how they ended.

        :param start_s: when the soak began; all times are relative to it.
        """
        runs = " while ".join(f"[{_describe(run, vm_of, start_s)}]" for run in self.runs)
        parts = [f"{_time(self.at_s, start_s)} {self.invariant.value}:", self.job_id, runs]
        return " ".join(part for part in (*parts, self.detail) if part)


def check_invariants(
    records: Iterable[Record],
    jobs: Sequence[ClientJob],
    times: InvariantTimes,
    is_undisturbed: IsUndisturbed = lambda fence, at_s: True,
    *,
    is_fault_free: Callable[[float], bool] = lambda at_s: False,
    guaranteed: Mapping[str, int] | None = None,
) -> list[Violation]:
    """Find all violations, in order of time.

    :param is_undisturbed: invariants with a time bound hold only for orders of undisturbed VMs.
    :param is_fault_free: whether no fault was near a time: a gang's members then assemble.
    :param guaranteed: the accelerators that each client account is guaranteed.
    """
    return InvariantChecker(
        RunHistory.of(records), jobs, times, is_undisturbed, is_fault_free, guaranteed or {}
    ).check_invariants()


class InvariantChecker:
    """Checks the history of all runs and the states that clients received."""

    def __init__(
        self,
        history: RunHistory,
        jobs: Sequence[ClientJob],
        times: InvariantTimes,
        is_undisturbed: IsUndisturbed,
        is_fault_free: Callable[[float], bool],
        guaranteed: Mapping[str, int],
    ) -> None:
        self._history = history
        self._guaranteed = guaranteed
        self._runs = history.runs
        self._tasks = history.by_task()
        self._steps = history.by_step()
        self._jobs = {job.job_id: job for job in jobs}
        self._times = times
        self._is_undisturbed = is_undisturbed
        self._is_fault_free = is_fault_free
        self._done = _done_tasks(history.runs)

    def check_invariants(self) -> list[Violation]:
        """Find all violations, in order of time."""
        found = itertools.chain(
            self._concurrent_runs(),
            self._starts_after_done(),
            self._gang_violations(),
            self._late_starts_on_draining(),
            self._overcommits(),
            self._invalid_starts(),
            self._starts_after_failure(),
            self._starts_after_crashes(),
            self._missed_reclaims(),
            self._wrong_outcomes(),
        )
        return sorted(found, key=lambda violation: violation.at_s)

    # Runs of one task

    def _concurrent_runs(self) -> Iterator[Violation]:
        """Find runs of one task at once on live workers, whether or not VMs can reach those."""
        for task, runs in self._tasks.items():
            if self._is_speculative(task):
                continue
            for first, second in itertools.combinations(runs, 2):
                if second.began_s < first.effective_end_s:
                    yield _violation(Invariant.ONE_RUN, second, first)

    def _starts_after_done(self) -> Iterator[Violation]:
        """Find starts of done tasks.

        An end counts even if it was acknowledged after the start. For a gang, the end of one member
        counts for all.
        """
        for runs in self._steps.values():
            ends = [run for run in runs if run.is_done and run.is_acknowledged]
            for run in runs if ends else ():
                if self._is_speculative(run.task):
                    continue
                done = _first_done_end(ends, run, shared=bool(run.gang))
                if done is not None and run.began_s > done.ended_s:
                    yield _violation(Invariant.ONCE_DONE, run, done)

    def _is_speculative(self, task: TaskName) -> bool:
        job = self._jobs.get(task.job_id)
        return job is not None and job.request.steps[task.step].speculative

    # Gangs

    def _gang_violations(self) -> Iterator[Violation]:
        gangs: dict[tuple[StepKey, int], list[RunRecord]] = defaultdict(list)
        for run in self._runs:
            if run.gang:
                gangs[(run.step, run.number)].append(run)
        for members in gangs.values():
            yield from self._violations_of_gang(members)

    def _violations_of_gang(self, members: list[RunRecord]) -> Iterator[Violation]:
        for run in members:
            if run.work_began_s is not None:
                present = _present_at(members, run.work_began_s)
                if present < run.gang:
                    detail = f"{present} of {run.gang} members were present"
                    yield _violation(Invariant.WHOLE_GANG, run, detail=detail)
            if run.how is EndKind.ALONE and self._should_have_assembled(run):
                yield _violation(Invariant.GANG_ASSEMBLED, run)

    def _should_have_assembled(self, run: RunRecord) -> bool:
        job = self._jobs.get(run.task.job_id)
        cancelled = job is not None and job.cancel_sent
        return not cancelled and not run.late and self._is_fault_free(run.ended_s)

    # Workers

    def _late_starts_on_draining(self) -> Iterator[Violation]:
        for run in self._runs:
            late_s = run.ordered_s - run.incarnation.announced_s - self._times.drain_s
            if late_s > 0 and not run.late and self._is_undisturbed(run.fence, run.ordered_s):
                yield _violation(Invariant.DRAIN, run, detail=f"{late_s:.3f} s too late")

    def _overcommits(self) -> Iterator[Violation]:
        """Find overcommitted workers; a run that is being stopped holds capacity until its end."""
        workers: dict[str, list[RunRecord]] = defaultdict(list)
        for run in self._runs:
            workers[run.incarnation.worker].append(run)
        for runs in workers.values():
            yield from _overcommitted_starts(runs, self._is_undisturbed)

    # Starts

    def _invalid_starts(self) -> Iterator[Violation]:
        for run in self._runs:
            job = self._jobs.get(run.task.job_id)
            if job is None:
                yield _violation(Invariant.UNKNOWN, run)
                continue
            if job.refused:
                yield _violation(Invariant.REFUSED, run)
            if self._is_after_cancel(run, job):
                yield _violation(Invariant.CANCELLED, run, detail="after its acknowledgement")
            if not self._prerequisites_are_done(run, job):
                yield _violation(Invariant.ORDER, run)

    def _is_after_cancel(self, run: RunRecord, job: ClientJob) -> bool:
        if job.cancelled_s is None or run.late:
            return False
        bound_s = job.cancelled_s + self._times.cancel_s
        return run.ordered_s > bound_s and self._is_undisturbed(run.fence, run.ordered_s)

    def _prerequisites_are_done(self, run: RunRecord, job: ClientJob) -> bool:
        """Whether all tasks of the steps that a run depends on were done when it began."""
        job_id, occurrence, step = run.step
        for needed in job.request.steps[step].after:
            done = self._done.get((job_id, occurrence, needed), {})
            before = sum(1 for ended_s in done.values() if ended_s <= run.began_s)
            if before < _required_ends(job, needed):
                return False
        return True

    def _starts_after_failure(self) -> Iterator[Violation]:
        for task, runs in self._tasks.items():
            job = self._jobs.get(task.job_id)
            if job is None or job.request.steps[task.step].long_running:
                continue
            failed = sorted(
                run.ended_s for run in runs if run.how is EndKind.FAILED and run.is_acknowledged
            )
            if len(failed) < job.attempts:
                continue
            for run in runs:
                if run.began_s > failed[job.attempts - 1]:
                    yield _violation(Invariant.ATTEMPTS, run, detail=f"{len(failed)} failed")

    def _starts_after_crashes(self) -> Iterator[Violation]:
        """Find tasks that were started too often after they had crashed their workers."""
        crashed: dict[str, list[float]] = defaultdict(list)
        for incarnation in self._history.incarnations.values():
            if incarnation.crashed_by:
                crashed[incarnation.crashed_by].append(incarnation.ended_s)
        for task, times in crashed.items():
            if len(times) < CRASHES:
                continue
            third_s = sorted(times)[CRASHES - 1]
            runs = self._tasks.get(TaskName.parse(task), [])
            later = [run for run in runs if run.began_s > third_s and not run.late]
            for run in later[EXTRA_STARTS_LIMIT - 1 :]:
                yield _violation(Invariant.CRASHES, run, detail=f"{len(times)} crashes")

    def _may_fail_by_crashes(self, job: ClientJob) -> bool:
        """Whether enough workers have crashed under one task of a job for the job to fail."""
        for task, runs in self._tasks.items():
            if task.job_id != job.job_id:
                continue
            if sum(1 for run in runs if _lost_in_crash(run)) >= MIN_CRASHES_TO_FAIL:
                return True
        return False

    # Guarantees

    def _missed_reclaims(self) -> Iterator[Violation]:
        urgent = [_urgent(job) for job in self._jobs.values() if job.urgent]
        reclaim_s = self._times.reclaim_s
        for missed in missed_reclaims(
            self._history, urgent, self._guaranteed, reclaim_s, self._is_fault_free
        ):
            job = missed.job
            detail = (
                f"{missed.begun} of {job.request.steps[0].count} tasks had begun, {job.account}"
                f" needed {missed.needed} of {self._guaranteed[job.account]} accelerators"
            )
            yield Violation(Invariant.RECLAIM, missed.bound_s, job.job_id, (), detail)

    # Outcomes of jobs

    def _wrong_outcomes(self) -> Iterator[Violation]:
        for job in self._jobs.values():
            if job.accepted:
                invariant, detail = self._check_outcome(job)
                if invariant is not None:
                    yield Violation(invariant, math.inf, job.job_id, (), detail)

    def _check_outcome(self, job: ClientJob) -> tuple[Invariant | None, str]:
        """Return the invariant that the state of an accepted job violates, if any, and how."""
        if job.state is JobState.COMPLETED:
            missing = self._count_undone(job)
            return (Invariant.COMPLETED, f"{missing} tasks are not done") if missing else (None, "")
        if job.state is JobState.FAILED:
            allowed = self._has_failed(job) or self._may_fail_by_crashes(job)
            return (None, "") if allowed else (Invariant.FAILED, "")
        if job.state is JobState.CANCELLED:
            return (None, "") if job.cancel_sent else (Invariant.NOT_CANCELLED, "")
        state = "unknown" if job.state is None else job.state.value
        return (
            Invariant.FINISHED,
            f"its state is {state}, {self._count_undone(job)} tasks are not done",
        )

    def _count_undone(self, job: ClientJob) -> int:
        missing = 0
        for number, step in enumerate(job.request.steps):
            done = self._done.get((job.job_id, 0, number), {})
            if len(done) < _required_ends(job, number):
                missing += step.count - len(done)
        return missing

    def _has_failed(self, job: ClientJob) -> bool:
        """Whether a task or a gang of a job has used up its attempts."""
        failed: dict[object, int] = defaultdict(int)
        for number, step in enumerate(job.request.steps):
            for run in self._steps.get((job.job_id, 0, number), []):
                if run.how is EndKind.FAILED:
                    failed[run.step if step.gang else run.task] += 1
        return max(failed.values(), default=0) >= job.attempts


def _lost_in_crash(run: RunRecord) -> bool:
    """Whether a run was lost with a worker that crashed."""
    return run.incarnation.crashed and run.incarnation.ended_s < run.ended_s


def _urgent(job: ClientJob) -> UrgentJob:
    return UrgentJob(
        job.job_id,
        job.account,
        job.request,
        job.submitted_s,
        job.accepted_s,
        job.cancel_sent,
        job.state in FINAL_STATES,
    )


def _done_tasks(runs: Iterable[RunRecord]) -> dict[StepKey, dict[int, float]]:
    """The first time at which each task of each step was done."""
    found: dict[StepKey, dict[int, float]] = defaultdict(dict)
    for run in runs:
        if run.is_done:
            step = found[run.step]
            step[run.task.index] = min(run.ended_s, step.get(run.task.index, math.inf))
    return found


def _required_ends(job: ClientJob, step: int) -> int:
    """Done tasks that make a step done: for a gang, one stands for all."""
    return 1 if job.request.steps[step].gang else job.request.steps[step].count


def _first_done_end(ends: list[RunRecord], run: RunRecord, *, shared: bool) -> RunRecord | None:
    """The first run that completed the task of a run, or its whole gang if shared."""
    matching = [end for end in ends if shared or end.task == run.task]
    return min(matching, key=lambda end: end.ended_s, default=None)


def _present_at(members: list[RunRecord], at_s: float) -> int:
    """The number of tasks of a gang that were present at a time."""
    return len(
        {
            member.task
            for member in members
            if member.began_s <= at_s and member.effective_end_s > at_s - HUB_LAG_S
        }
    )


def _overcommitted_starts(
    runs: list[RunRecord], is_undisturbed: IsUndisturbed
) -> Iterator[Violation]:
    """Find starts that exceed a worker's capacity.

    On a worker whose capacity has changed, only orders of undisturbed VMs that were not carried out
    late count.
    """
    used = 0
    ends: list[tuple[float, int]] = []
    for run in sorted(runs, key=lambda run: run.began_s):
        while ends and ends[0][0] <= run.began_s:
            used -= heapq.heappop(ends)[1]
        used += run.accelerators
        heapq.heappush(ends, (run.effective_end_s, run.accelerators))
        capacity = run.incarnation.max_accelerators_at(run.ordered_s, CAPACITY_LAG_S)
        is_checked = not run.incarnation.resized or (
            not run.late and is_undisturbed(run.fence, run.ordered_s)
        )
        if used > capacity and is_checked:
            detail = f"{used} of {capacity} accelerators are taken"
            yield _violation(Invariant.CAPACITY, run, detail=detail)


def _violation(invariant: Invariant, *runs: RunRecord, detail: str = "") -> Violation:
    return Violation(invariant, runs[0].began_s, runs[0].task.job_id, runs, detail)


def _describe(run: RunRecord, vm_of: VmOf, start_s: float) -> str:
    """Describe a run, from its order to the acknowledgement of its end."""
    incarnation = run.incarnation
    how = "running" if run.how is None else run.how.value
    if run.how is None and incarnation.ended_s < math.inf:
        how = (
            "with its worker, which crashed"
            if incarnation.crashed
            else "with its worker, which left"
        )
    acknowledged = "no" if run.acknowledged_s is None else _time(run.acknowledged_s, start_s)
    if run.lease_expired:
        acknowledged += " after the lease had lapsed"
    return (
        f"{run.task} run {run.number} on {incarnation.worker}"
        f" ({incarnation.hall}, {incarnation.rack})"
        f" from {vm_of(run.fence)}, order {_time(run.ordered_s, start_s)}"
        f" late {str(run.late).lower()}, start {_time(run.began_s, start_s)}"
        f" stop {_stop(run, vm_of, start_s)}"
        f" end {_time(run.effective_end_s, start_s)} {how} noted {acknowledged}"
    )


def _stop(run: RunRecord, vm_of: VmOf, start_s: float) -> str:
    if run.stop is None:
        return "none"
    late = " late" if run.stop.late else ""
    return f"{_time(run.stop.at_s, start_s)}{late} by {vm_of(run.stop.fence)}"


def _time(at_s: float, start_s: float) -> str:
    return "none" if at_s == math.inf else f"{at_s - start_s:+.3f}"
