"""Finds accepted jobs that stalled beside a free pool, from what workers and clients recorded.

One sweep processes the beginnings and ends of incarnations, runs, runnable periods and excluded
periods in order of time. :mod:`saddlestack.policy.stall` defines how much free capacity is enough
and when a job counts as stalled.
"""

from __future__ import annotations

import math
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import partial

from saddlestack.policy.stall import (
    FREE_CAPACITY_FACTOR,
    PoolUsage,
    StallDetector,
    has_free_capacity,
)
from saddlestack.soak.runnable_periods import AcceptedRequest, RunnablePeriod, runnable_periods
from saddlestack.soak.runs import RunHistory, RunRecord
from saddlestack.work import JobRequest, Resources

BESIDE_MARGIN_S = 0.5
"""Runs that begin less than this before the end of a stall begin with the job, not beside it."""


@dataclass(frozen=True, slots=True)
class ExcludedPeriod:
    """A period in which the free capacity of some machines does not count."""

    machines: frozenset[str]
    began_s: float
    ended_s: float


@dataclass(frozen=True, slots=True)
class StallPeriod:
    """A period in which a job was stalled.

    :param since_s: when the job began to wait.
    :param until_s: when the job continued, or the free capacity was gone.
    :param pool: the usage of the pool when the job began to count as stalled.
    :param beside: runs of other jobs that began meanwhile, before the job continued.
    """

    job_id: str
    since_s: float
    until_s: float
    pool: PoolUsage
    beside: int = 0


@dataclass(frozen=True, slots=True)
class SoakHistory:
    """What happened in a soak, as far as stalls depend on it.

    :param run_history: all runs and worker incarnations.
    :param accepted: the accepted jobs.
    :param requests: the requests of all submitted jobs, by job id.
    :param capacity: CPU and memory of each worker; accelerators are those of its incarnation.
    :param epoch_s: the Unix epoch on the monotonic clock.
    :param until_s: when the history ends.
    """

    run_history: RunHistory
    accepted: Sequence[AcceptedRequest]
    requests: Mapping[str, JobRequest]
    capacity: Resources
    epoch_s: float
    until_s: float


def find_stalls(history: SoakHistory, excluded: Sequence[ExcludedPeriod] = ()) -> list[StallPeriod]:
    """Find all stalls, in the order in which they were detected.

    Draining workers have no free capacity, but count in the pool's total until they end.

    :param excluded: periods in which the free capacity of some machines does not count.
    """
    return _Sweep(history, excluded).find()


@dataclass(slots=True)
class _Worker:
    """The capacity of one incarnation of a worker.

    :param free: the capacity that no run holds.
    :param closed: the number of reasons why it does not count: draining, or excluded periods.
    """

    free: Resources
    closed: int = 0


@dataclass(slots=True)
class _Pool:
    """The live workers and how much of them is in use."""

    workers: dict[str, _Worker] = field(default_factory=dict)
    total: int = 0
    used: int = 0

    @property
    def use(self) -> PoolUsage:
        return PoolUsage(self.used, self.total)

    def has_capacity_for(self, period: RunnablePeriod) -> bool:
        """Whether the free capacity fits a waiting step twice over."""
        use = self.use
        step = period.step
        wanted = step.count if step.gang else 1
        copies = 0
        for worker in self.workers.values():
            if worker.closed:
                continue
            fitting = step.allocation.copies_in(worker.free)
            copies += min(fitting, step.per_worker) if step.per_worker else fitting
            if copies >= FREE_CAPACITY_FACTOR * wanted:
                break
        return has_free_capacity(use, copies, wanted)


class _Sweep:
    """Processes all events of a history once, in order of time."""

    def __init__(self, history: SoakHistory, excluded: Sequence[ExcludedPeriod]) -> None:
        self._history = history
        self._excluded = excluded
        self._pool = _Pool()
        self._detector = StallDetector()
        self._runnable: dict[str, list[RunnablePeriod]] = defaultdict(list)
        self._running: Counter[str] = Counter()
        self._idle: set[str] = set()
        self._stalled: set[str] = set()
        self._open_stalls: dict[str, StallPeriod] = {}
        self._found: list[StallPeriod] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def find(self) -> list[StallPeriod]:
        """Run the sweep and return all stalls."""
        self._add_incarnations()
        self._add_runs()
        self._add_runnable_periods()
        self._events.sort(key=lambda event: event[:2])
        for at_s, changes in _by_time(self._events):
            self._update(at_s)
            for change in changes:
                change()
            self._stalled = set(self._currently_stalled())
            self._update(at_s)
        self._update(self._history.until_s)
        self._close_stalls([*self._open_stalls], self._history.until_s)
        return [self._with_runs_beside(each) for each in self._found]

    def _at(self, at_s: float, change: Callable[[], None]) -> None:
        if at_s <= self._history.until_s:
            self._events.append((at_s, len(self._events), change))

    # Events

    def _add_incarnations(self) -> None:
        by_machine: dict[str, list[ExcludedPeriod]] = defaultdict(list)
        for period in self._excluded:
            for machine in period.machines:
                by_machine[machine].append(period)
        for incarnation in self._history.run_history.incarnations.values():
            capacity = self._history.capacity
            worker = _Worker(Resources(capacity.cpu, capacity.memory_mb, incarnation.accelerators))
            self._at(incarnation.began_s, partial(self._add_worker, incarnation.worker, worker))
            self._at(incarnation.announced_s, partial(_change_closed, worker, 1))
            self._at(
                incarnation.ended_s,
                partial(self._remove_worker, incarnation.worker, incarnation.accelerators),
            )
            for period in by_machine[incarnation.machine]:
                self._at(period.began_s, partial(_change_closed, worker, 1))
                self._at(period.ended_s, partial(_change_closed, worker, -1))

    def _add_runs(self) -> None:
        for run in self._history.run_history.runs:
            self._at(run.began_s, partial(self._change_run, run, 1))
            self._at(run.effective_end_s, partial(self._change_run, run, -1))

    def _add_runnable_periods(self) -> None:
        runs: dict[str, list[RunRecord]] = defaultdict(list)
        for run in self._history.run_history.runs:
            runs[run.task.job_id].append(run)
        for work in self._history.accepted:
            for period in runnable_periods(work, runs[work.job_id], self._history.epoch_s):
                self._at(period.began_s, partial(self._open_period, period))
                self._at(period.ended_s, partial(self._close_period, period))

    # Changes

    def _add_worker(self, name: str, worker: _Worker) -> None:
        self._pool.workers[name] = worker
        self._pool.total += worker.free.accelerators

    def _remove_worker(self, name: str, accelerators: int) -> None:
        del self._pool.workers[name]
        self._pool.total -= accelerators

    def _change_run(self, run: RunRecord, change: int) -> None:
        """Begin or end a run; it may end together with its worker."""
        needs = self._allocation(run)
        worker = self._pool.workers.get(run.incarnation.worker)
        if worker is not None:
            worker.free = worker.free - needs if change > 0 else worker.free + needs
        self._pool.used += change * run.accelerators
        job_id = run.task.job_id
        self._running[job_id] += change
        self._update_idle(job_id)

    def _allocation(self, run: RunRecord) -> Resources:
        request = self._history.requests.get(run.task.job_id)
        if request is None:
            return Resources(0, 0, run.accelerators)
        capacity = request.steps[run.task.step].allocation
        return Resources(capacity.cpu, capacity.memory_mb, run.accelerators)

    def _open_period(self, period: RunnablePeriod) -> None:
        self._runnable[period.job_id].append(period)
        self._update_idle(period.job_id)

    def _close_period(self, period: RunnablePeriod) -> None:
        self._runnable[period.job_id].remove(period)
        self._update_idle(period.job_id)

    def _update_idle(self, job_id: str) -> None:
        """Update whether a job waits with no task running."""
        if self._runnable.get(job_id) and not self._running[job_id]:
            self._idle.add(job_id)
        else:
            self._idle.discard(job_id)

    # Stalls

    def _currently_stalled(self) -> Iterator[str]:
        if not self._pool.use.is_mostly_free:
            return
        for job_id in self._idle:
            if any(self._pool.has_capacity_for(period) for period in self._runnable[job_id]):
                yield job_id

    def _update(self, at_s: float) -> None:
        """Record the jobs that are stalled by now, and close the stalls that have ended."""
        self._close_stalls(
            [job_id for job_id in self._open_stalls if job_id not in self._stalled], at_s
        )
        for each in self._detector.update(self._stalled, at_s):
            self._open_stalls[each.job_id] = StallPeriod(
                each.job_id, each.since_s, math.inf, self._pool.use
            )

    def _close_stalls(self, jobs: Iterable[str], at_s: float) -> None:
        for job_id in jobs:
            self._found.append(replace(self._open_stalls.pop(job_id), until_s=at_s))

    def _with_runs_beside(self, stall: StallPeriod) -> StallPeriod:
        before_s = stall.until_s - BESIDE_MARGIN_S
        beside = sum(
            1
            for run in self._history.run_history.runs
            if stall.since_s < run.began_s < before_s and run.task.job_id != stall.job_id
        )
        return replace(stall, beside=beside)


def _change_closed(worker: _Worker, change: int) -> None:
    worker.closed += change


def _by_time(
    events: Sequence[tuple[float, int, Callable[[], None]]],
) -> Iterator[tuple[float, list[Callable[[], None]]]]:
    """Group the changes by time, in order."""
    index = 0
    while index < len(events):
        at_s = events[index][0]
        changes = []
        while index < len(events) and events[index][0] == at_s:
            changes.append(events[index][2])
            index += 1
        yield at_s, changes
