"""Finds accepted jobs that stood still beside a free pool, by what workers and clients saw.

One sweep over the beginnings and ends of lives, runs, turns and troubles in order of time. What
counts as room enough, and as too long, is told by :mod:`saddlestack.policy.stall`.
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
"""Runs that begin less than this before a job goes on begin with it, not beside it."""


@dataclass(frozen=True, slots=True)
class ExcludedPeriod:
    """A time in which the room of some machines does not count as free."""

    machines: frozenset[str]
    began_s: float
    ended_s: float


@dataclass(frozen=True, slots=True)
class StallPeriod:
    """A job that stood still for too long.

    :param until_s: when it went on, or the room was gone.
    :param pool: what was held of the pool when it had stood for too long.
    :param beside: runs of other jobs that began meanwhile, before the moment in which it went on.
    """

    job_id: str
    since_s: float
    until_s: float
    pool: PoolUsage
    beside: int = 0


@dataclass(frozen=True, slots=True)
class SoakHistory:
    """Everything in which jobs may stand still.

    :param works: jobs that were accepted.
    :param requests: of all jobs that clients handed in.
    :param room: processors and memory of each worker; its life tells of its accelerators.
    :param epoch_s: 1970 on the monotonic clock.
    :param until_s: when the look ends.
    """

    book: RunHistory
    works: Sequence[AcceptedRequest]
    requests: Mapping[str, JobRequest]
    room: Resources
    epoch_s: float
    until_s: float


def find_stalls(history: SoakHistory, excluded: Sequence[ExcludedPeriod] = ()) -> list[StallPeriod]:
    """Jobs that stood still, in the order in which they had stood for too long.

    Workers that have announced their end are no room; they count in the pool until they end.

    :param excluded: machines whose room does not count for some time.
    """
    return _Sweep(history, excluded).found()


@dataclass(slots=True)
class _Worker:
    """The room of one life of a worker.

    :param free: what runs leave of its room.
    :param closed: reasons why that does not count: it leaves, or its machine is in trouble.
    """

    free: Resources
    closed: int = 0


@dataclass(slots=True)
class _Pool:
    """The workers that live, and what is held of them."""

    workers: dict[str, _Worker] = field(default_factory=dict)
    total: int = 0
    used: int = 0

    @property
    def use(self) -> PoolUsage:
        return PoolUsage(self.used, self.total)

    def has_capacity_for(self, turn: RunnablePeriod) -> bool:
        """Whether a step that waits fits in twice over."""
        use = self.use
        step = turn.step
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
    """Goes through all that happened once, in order of time."""

    def __init__(self, history: SoakHistory, excluded: Sequence[ExcludedPeriod]) -> None:
        self._scene = history
        self._troubles = excluded
        self._pool = _Pool()
        self._watch = StallDetector()
        self._turns: dict[str, list[RunnablePeriod]] = defaultdict(list)
        self._running: Counter[str] = Counter()
        self._idle: set[str] = set()
        self._standing: set[str] = set()
        self._open: dict[str, StallPeriod] = {}
        self._found: list[StallPeriod] = []
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def found(self) -> list[StallPeriod]:
        """All standstills."""
        self._note_lives()
        self._note_runs()
        self._note_turns()
        self._events.sort(key=lambda event: event[:2])
        for at_s, changes in _by_time(self._events):
            self._look(at_s)
            for change in changes:
                change()
            self._standing = set(self._standing_now())
            self._look(at_s)
        self._look(self._scene.until_s)
        self._close([*self._open], self._scene.until_s)
        return [self._with_beside(each) for each in self._found]

    def _at(self, at_s: float, change: Callable[[], None]) -> None:
        if at_s <= self._scene.until_s:
            self._events.append((at_s, len(self._events), change))

    # What happens

    def _note_lives(self) -> None:
        by_machine: dict[str, list[ExcludedPeriod]] = defaultdict(list)
        for trouble in self._troubles:
            for machine in trouble.machines:
                by_machine[machine].append(trouble)
        for incarnation in self._scene.book.incarnations.values():
            room = self._scene.room
            worker = _Worker(Resources(room.cpu, room.memory_mb, incarnation.accelerators))
            self._at(incarnation.began_s, partial(self._join, incarnation.worker, worker))
            self._at(incarnation.announced_s, partial(_close_room, worker, 1))
            self._at(
                incarnation.ended_s,
                partial(self._leave, incarnation.worker, incarnation.accelerators),
            )
            for trouble in by_machine[incarnation.machine]:
                self._at(trouble.began_s, partial(_close_room, worker, 1))
                self._at(trouble.ended_s, partial(_close_room, worker, -1))

    def _note_runs(self) -> None:
        for run in self._scene.book.runs:
            self._at(run.began_s, partial(self._run, run, 1))
            self._at(run.effective_end_s, partial(self._run, run, -1))

    def _note_turns(self) -> None:
        runs: dict[str, list[RunRecord]] = defaultdict(list)
        for run in self._scene.book.runs:
            runs[run.task.job_id].append(run)
        for work in self._scene.works:
            for turn in runnable_periods(work, runs[work.job_id], self._scene.epoch_s):
                self._at(turn.began_s, partial(self._open_turn, turn))
                self._at(turn.ended_s, partial(self._close_turn, turn))

    # Changes

    def _join(self, name: str, worker: _Worker) -> None:
        self._pool.workers[name] = worker
        self._pool.total += worker.free.accelerators

    def _leave(self, name: str, accelerators: int) -> None:
        del self._pool.workers[name]
        self._pool.total -= accelerators

    def _run(self, run: RunRecord, change: int) -> None:
        """A run begins, or is over; it may end together with its worker."""
        needs = self._needs(run)
        worker = self._pool.workers.get(run.incarnation.worker)
        if worker is not None:
            worker.free = worker.free - needs if change > 0 else worker.free + needs
        self._pool.used += change * run.accelerators
        job_id = run.task.job_id
        self._running[job_id] += change
        self._sort_job(job_id)

    def _needs(self, run: RunRecord) -> Resources:
        request = self._scene.requests.get(run.task.job_id)
        if request is None:
            return Resources(0, 0, run.accelerators)
        room = request.steps[run.task.step].allocation
        return Resources(room.cpu, room.memory_mb, run.accelerators)

    def _open_turn(self, turn: RunnablePeriod) -> None:
        self._turns[turn.job_id].append(turn)
        self._sort_job(turn.job_id)

    def _close_turn(self, turn: RunnablePeriod) -> None:
        self._turns[turn.job_id].remove(turn)
        self._sort_job(turn.job_id)

    def _sort_job(self, job_id: str) -> None:
        """Keep which jobs wait with nothing running."""
        if self._turns.get(job_id) and not self._running[job_id]:
            self._idle.add(job_id)
        else:
            self._idle.discard(job_id)

    # Standing still

    def _standing_now(self) -> Iterator[str]:
        if not self._pool.use.is_mostly_free:
            return
        for job_id in self._idle:
            if any(self._pool.has_capacity_for(turn) for turn in self._turns[job_id]):
                yield job_id

    def _look(self, at_s: float) -> None:
        """Note who has stood for too long by now, and who stands no more."""
        self._close([job_id for job_id in self._open if job_id not in self._standing], at_s)
        for each in self._watch.update(self._standing, at_s):
            self._open[each.job_id] = StallPeriod(
                each.job_id, each.since_s, math.inf, self._pool.use
            )

    def _close(self, jobs: Iterable[str], at_s: float) -> None:
        for job_id in jobs:
            self._found.append(replace(self._open.pop(job_id), until_s=at_s))

    def _with_beside(self, stall: StallPeriod) -> StallPeriod:
        before_s = stall.until_s - BESIDE_MARGIN_S
        beside = sum(
            1
            for run in self._scene.book.runs
            if stall.since_s < run.began_s < before_s and run.task.job_id != stall.job_id
        )
        return replace(stall, beside=beside)


def _close_room(worker: _Worker, change: int) -> None:
    worker.closed += change


def _by_time(
    events: Sequence[tuple[float, int, Callable[[], None]]],
) -> Iterator[tuple[float, list[Callable[[], None]]]]:
    """The changes of each moment, moments in order."""
    place = 0
    while place < len(events):
        at_s = events[place][0]
        changes = []
        while place < len(events) and events[place][0] == at_s:
            changes.append(events[place][2])
            place += 1
        yield at_s, changes
