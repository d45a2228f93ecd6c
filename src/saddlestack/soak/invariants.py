"""The judge of a soak: which promises did not hold, from what workers and clients saw alone."""

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
"""Nothing of a job starts so long after its cancel was acknowledged. From the platform's bounds."""
RECLAIM_S = 3.4
"""An urgent job for which its account owns enough has begun so long after its acceptance. From the
platform's bounds."""
HUB_LAG_S = 2.0
"""The hub of gangs hears so late at most that a member has ended: on a crowded machine its event
loop was up to 1.6 s late. A member that ended by less before its gang was whole was present."""

IsUndisturbed = Callable[[int, float], bool]
"""Whether the VM that held a fencing token was undisturbed up to some time."""
VmOf = Callable[[int], str]
"""The VM that held a fencing token."""


CAPACITY_LAG_S = 4.0
"""A room that has shrunk counts from then on: a heartbeat, and what VMs may take to hear of it."""
CRASHES = 3
"""Once so many workers have crashed under a task that crashes them..."""
MAX_MORE_STARTS = 3
"""...it is not started so often more."""
MIN_CRASHES_TO_FAIL = 2
"""A task may be given up once so many workers have crashed under it."""


class Invariant(enum.StrEnum):
    """A promise that did not hold."""

    ONE_RUN = "two runs at once"
    ONCE_DONE = "a start after an end that was noted"
    WHOLE_GANG = "a gang worked without all of its members"
    GANG_TOGETHER = "a member of a gang waited in vain"
    DRAIN = "a start on a worker that had announced its end"
    ROOM = "more than a worker's accelerators"
    REFUSED = "a refused job ran"
    CANCELLED = "a start after a cancel"
    RECLAIM = "an urgent job waited for what its account owns"
    ORDER = "a start before the steps that it needs were done"
    ATTEMPTS = "a start after all attempts had failed"
    CRASHES = "a task that crashes its workers was started three times more after three crashes"
    UNKNOWN = "a start of what no client handed in"
    KEPT = "an accepted job is not over"
    STANDS_STILL = "a job stood still beside a free pool"
    COMPLETED = "a job is shown as completed and is not done"
    FAILED = "a job is shown as failed without cause"
    NOT_CANCELLED = "a job is shown as cancelled that nobody cancelled"


@dataclass(frozen=True, slots=True)
class ClientJob:
    """What a client knows of its job.

    :param accepted: one of its tries was answered with success.
    :param refused: all of its tries were refused.
    :param cancel_sent: the client asked for its cancelling...
    :param cancelled_s: ...and this is when that was acknowledged, on the monotonic clock.
    :param state: what it was told last, after the soak had settled.
    :param attempts: failed runs after which a task fails the job.
    :param account: of its client...
    :param urgent: ...which owns accelerators for jobs of this kind.
    :param submitted_s: when the client sent it first...
    :param accepted_s: ...and when that was answered with success.
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
    """Times that promises speak of, in seconds."""

    drain_s: float
    cancel_s: float = CANCEL_S
    reclaim_s: float = RECLAIM_S


@dataclass(frozen=True, slots=True)
class Violation:
    """A promise that did not hold.

    :param runs: the runs that show it.
    :param detail: what else there is to say.
    """

    promise: Invariant
    at_s: float
    job_id: str
    runs: tuple[RunRecord, ...] = ()
    detail: str = ""

    def text(self, vm_of: VmOf, start_s: float) -> str:
        """A line that tells of it: both runs, who ordered each, and what became of them.

        :param start_s: when the soak began; all times are told from then on.
        """
        runs = " while ".join(f"[{_told(run, vm_of, start_s)}]" for run in self.runs)
        parts = [f"{_time(self.at_s, start_s)} {self.promise.value}:", self.job_id, runs]
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
    """All promises that did not hold, in the order of time.

    :param is_undisturbed: promises with a time bound hold for orders of VMs in touch only.
    :param is_fault_free: whether no fault was near some time: a gang's members then meet.
    :param guaranteed: accelerators that each client account owns.
    """
    return InvariantChecker(
        RunHistory.of(records), jobs, times, is_undisturbed, is_fault_free, guaranteed or {}
    ).check_invariants()


class InvariantChecker:
    """Looks at the account of all runs, and at what clients were told."""

    def __init__(
        self,
        book: RunHistory,
        jobs: Sequence[ClientJob],
        times: InvariantTimes,
        is_undisturbed: IsUndisturbed,
        is_fault_free: Callable[[float], bool],
        guaranteed: Mapping[str, int],
    ) -> None:
        self._book = book
        self._guaranteed = guaranteed
        self._runs = book.runs
        self._tasks = book.by_task()
        self._steps = book.by_step()
        self._jobs = {job.job_id: job for job in jobs}
        self._times = times
        self._in_touch = is_undisturbed
        self._calm = is_fault_free
        self._done = _done_tasks(book.runs)

    def check_invariants(self) -> list[Violation]:
        """All promises that did not hold."""
        found = itertools.chain(
            self._two_runs(),
            self._starts_after_done(),
            self._gangs(),
            self._draining(),
            self._room(),
            self._starts(),
            self._attempts(),
            self._crashes(),
            self._reclaims(),
            self._outcomes(),
        )
        return sorted(found, key=lambda broken: broken.at_s)

    # Runs of one task

    def _two_runs(self) -> Iterator[Violation]:
        """Runs on workers that are up; whether a VM reaches them does not matter."""
        for task, runs in self._tasks.items():
            if self._is_speculative(task):
                continue
            for first, second in itertools.combinations(runs, 2):
                if second.began_s < first.effective_end_s:
                    yield _broken(Invariant.ONE_RUN, second, first)

    def _starts_after_done(self) -> Iterator[Violation]:
        """An end counts that was noted then or later; of a gang, one member's is for all."""
        for runs in self._steps.values():
            ends = [run for run in runs if run.is_done and run.is_acknowledged]
            for run in runs if ends else ():
                if self._is_speculative(run.task):
                    continue
                done = _first_done(ends, run, shared=bool(run.gang))
                if done is not None and run.began_s > done.ended_s:
                    yield _broken(Invariant.ONCE_DONE, run, done)

    def _is_speculative(self, task: TaskName) -> bool:
        job = self._jobs.get(task.job_id)
        return job is not None and job.request.steps[task.step].speculative

    # Gangs

    def _gangs(self) -> Iterator[Violation]:
        gangs: dict[tuple[StepKey, int], list[RunRecord]] = defaultdict(list)
        for run in self._runs:
            if run.gang:
                gangs[(run.step, run.number)].append(run)
        for members in gangs.values():
            yield from self._gang(members)

    def _gang(self, members: list[RunRecord]) -> Iterator[Violation]:
        for run in members:
            if run.work_began_s is not None:
                present = _present_at(members, run.work_began_s)
                if present < run.gang:
                    detail = f"{present} of {run.gang} members were present"
                    yield _broken(Invariant.WHOLE_GANG, run, detail=detail)
            if run.how is EndKind.ALONE and self._should_have_met(run):
                yield _broken(Invariant.GANG_TOGETHER, run)

    def _should_have_met(self, run: RunRecord) -> bool:
        job = self._jobs.get(run.task.job_id)
        cancelled = job is not None and job.cancel_sent
        return not cancelled and not run.late and self._calm(run.ended_s)

    # Workers

    def _draining(self) -> Iterator[Violation]:
        for run in self._runs:
            late_s = run.ordered_s - run.incarnation.announced_s - self._times.drain_s
            if late_s > 0 and not run.late and self._in_touch(run.fence, run.ordered_s):
                yield _broken(Invariant.DRAIN, run, detail=f"{late_s:.3f} s too late")

    def _room(self) -> Iterator[Violation]:
        """What is being stopped takes room until its end."""
        workers: dict[str, list[RunRecord]] = defaultdict(list)
        for run in self._runs:
            workers[run.incarnation.worker].append(run)
        for runs in workers.values():
            yield from _too_many(runs, self._in_touch)

    # Single starts

    def _starts(self) -> Iterator[Violation]:
        for run in self._runs:
            job = self._jobs.get(run.task.job_id)
            if job is None:
                yield _broken(Invariant.UNKNOWN, run)
                continue
            if job.refused:
                yield _broken(Invariant.REFUSED, run)
            if self._is_after_cancel(run, job):
                yield _broken(Invariant.CANCELLED, run, detail="after its acknowledgement")
            if not self._may_begin(run, job):
                yield _broken(Invariant.ORDER, run)

    def _is_after_cancel(self, run: RunRecord, job: ClientJob) -> bool:
        if job.cancelled_s is None or run.late:
            return False
        bound_s = job.cancelled_s + self._times.cancel_s
        return run.ordered_s > bound_s and self._in_touch(run.fence, run.ordered_s)

    def _may_begin(self, run: RunRecord, job: ClientJob) -> bool:
        """Whether all tasks of the steps that it needs were done when it began."""
        job_id, occurrence, step = run.step
        for needed in job.request.steps[step].after:
            done = self._done.get((job_id, occurrence, needed), {})
            before = sum(1 for ended_s in done.values() if ended_s <= run.began_s)
            if before < _least_done(job, needed):
                return False
        return True

    def _attempts(self) -> Iterator[Violation]:
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
                    yield _broken(Invariant.ATTEMPTS, run, detail=f"{len(failed)} failed")

    def _crashes(self) -> Iterator[Violation]:
        """A task that crashes its workers is started few times more."""
        crashed: dict[str, list[float]] = defaultdict(list)
        for incarnation in self._book.incarnations.values():
            if incarnation.crashed_by:
                crashed[incarnation.crashed_by].append(incarnation.ended_s)
        for task, times in crashed.items():
            if len(times) < CRASHES:
                continue
            third_s = sorted(times)[CRASHES - 1]
            runs = self._tasks.get(TaskName.parse(task), [])
            later = [run for run in runs if run.began_s > third_s and not run.late]
            for run in later[MAX_MORE_STARTS - 1 :]:
                yield _broken(Invariant.CRASHES, run, detail=f"{len(times)} crashes")

    def _may_be_given_up(self, job: ClientJob) -> bool:
        """Whether two workers, or more, have crashed under a task of a job."""
        for task, runs in self._tasks.items():
            if task.job_id != job.job_id:
                continue
            if sum(1 for run in runs if _is_lost(run)) >= MIN_CRASHES_TO_FAIL:
                return True
        return False

    # Guarantees

    def _reclaims(self) -> Iterator[Violation]:
        urgent = [_urgent(job) for job in self._jobs.values() if job.urgent]
        reclaim_s = self._times.reclaim_s
        for missed in missed_reclaims(self._book, urgent, self._guaranteed, reclaim_s, self._calm):
            job = missed.job
            detail = (
                f"{missed.begun} of {job.request.steps[0].count} tasks had begun, {job.account}"
                f" needed {missed.needed} of {self._guaranteed[job.account]} accelerators"
            )
            yield Violation(Invariant.RECLAIM, missed.bound_s, job.job_id, (), detail)

    # What clients were told

    def _outcomes(self) -> Iterator[Violation]:
        for job in self._jobs.values():
            if job.accepted:
                promise, detail = self._outcome(job)
                if promise is not None:
                    yield Violation(promise, math.inf, job.job_id, (), detail)

    def _outcome(self, job: ClientJob) -> tuple[Invariant | None, str]:
        """Which promise about an accepted job's state is broken, and how."""
        if job.state is JobState.COMPLETED:
            missing = self._undone(job)
            return (Invariant.COMPLETED, f"{missing} tasks are not done") if missing else (None, "")
        if job.state is JobState.FAILED:
            allowed = self._has_failed(job) or self._may_be_given_up(job)
            return (None, "") if allowed else (Invariant.FAILED, "")
        if job.state is JobState.CANCELLED:
            return (None, "") if job.cancel_sent else (Invariant.NOT_CANCELLED, "")
        state = "unknown" if job.state is None else job.state.value
        return Invariant.KEPT, f"its state is {state}, {self._undone(job)} tasks are not done"

    def _undone(self, job: ClientJob) -> int:
        missing = 0
        for number, step in enumerate(job.request.steps):
            done = self._done.get((job.job_id, 0, number), {})
            if len(done) < _least_done(job, number):
                missing += step.count - len(done)
        return missing

    def _has_failed(self, job: ClientJob) -> bool:
        """Whether a task, or a gang, has failed as often as it may."""
        failed: dict[object, int] = defaultdict(int)
        for number, step in enumerate(job.request.steps):
            for run in self._steps.get((job.job_id, 0, number), []):
                if run.how is EndKind.FAILED:
                    failed[run.step if step.gang else run.task] += 1
        return max(failed.values(), default=0) >= job.attempts


def _is_lost(run: RunRecord) -> bool:
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
    """When the tasks of each step were done first."""
    found: dict[StepKey, dict[int, float]] = defaultdict(dict)
    for run in runs:
        if run.is_done:
            step = found[run.step]
            step[run.task.index] = min(run.ended_s, step.get(run.task.index, math.inf))
    return found


def _least_done(job: ClientJob, step: int) -> int:
    """Ends as done that make a step done: of a gang, one stands for all."""
    return 1 if job.request.steps[step].gang else job.request.steps[step].count


def _first_done(ends: list[RunRecord], run: RunRecord, *, shared: bool) -> RunRecord | None:
    """The first end as done that ends a run's task too."""
    mine = [end for end in ends if shared or end.task == run.task]
    return min(mine, key=lambda end: end.ended_s, default=None)


def _present_at(members: list[RunRecord], at_s: float) -> int:
    """Tasks of a gang that were present at some time."""
    return len(
        {
            member.task
            for member in members
            if member.began_s <= at_s and member.effective_end_s > at_s - HUB_LAG_S
        }
    )


def _too_many(runs: list[RunRecord], is_undisturbed: IsUndisturbed) -> Iterator[Violation]:
    """Starts that take a worker past its room.

    Where that has shrunk, orders count of VMs in touch that were not carried out late.
    """
    taken = 0
    ends: list[tuple[float, int]] = []
    for run in sorted(runs, key=lambda run: run.began_s):
        while ends and ends[0][0] <= run.began_s:
            taken -= heapq.heappop(ends)[1]
        taken += run.accelerators
        heapq.heappush(ends, (run.effective_end_s, run.accelerators))
        room = run.incarnation.max_accelerators_at(run.ordered_s, CAPACITY_LAG_S)
        judged = not run.incarnation.resized or (
            not run.late and is_undisturbed(run.fence, run.ordered_s)
        )
        if taken > room and judged:
            detail = f"{taken} of {room} accelerators are taken"
            yield _broken(Invariant.ROOM, run, detail=detail)


def _broken(promise: Invariant, *runs: RunRecord, detail: str = "") -> Violation:
    return Violation(promise, runs[0].began_s, runs[0].task.job_id, runs, detail)


def _told(run: RunRecord, vm_of: VmOf, start_s: float) -> str:
    """One run, from its order to the acknowledgement of its end."""
    incarnation = run.incarnation
    how = "running" if run.how is None else run.how.value
    if run.how is None and incarnation.ended_s < math.inf:
        how = (
            "with its worker, which crashed"
            if incarnation.crashed
            else "with its worker, which left"
        )
    noted = "no" if run.acknowledged_s is None else _time(run.acknowledged_s, start_s)
    if run.lapsed:
        noted += " after the lease had lapsed"
    return (
        f"{run.task} run {run.number} on {incarnation.worker}"
        f" ({incarnation.hall}, {incarnation.rack})"
        f" from {vm_of(run.fence)}, order {_time(run.ordered_s, start_s)}"
        f" late {str(run.late).lower()}, start {_time(run.began_s, start_s)}"
        f" stop {_stop(run, vm_of, start_s)}"
        f" end {_time(run.effective_end_s, start_s)} {how} noted {noted}"
    )


def _stop(run: RunRecord, vm_of: VmOf, start_s: float) -> str:
    if run.stop is None:
        return "none"
    late = " late" if run.stop.late else ""
    return f"{_time(run.stop.at_s, start_s)}{late} by {vm_of(run.stop.fence)}"


def _time(at_s: float, start_s: float) -> str:
    return "none" if at_s == math.inf else f"{at_s - start_s:+.3f}"
