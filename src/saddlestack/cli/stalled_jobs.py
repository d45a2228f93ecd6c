"""Jobs that stood still beside a free pool, from the logs of all VMs of one day.

What counts is told by :mod:`saddlestack.policy.stall`; what the logs do not tell is taken as
:mod:`saddlestack.cli.loggedpool` says, and:

- a run counts from the order to start it to the line that ends it, also where its worker never
  answered: a standstill before a start without effect is over shows only with the next one;
- of a job's steps the earliest that is not done counts: it may run whatever it waits for;
- jobs that are due later, and wishes for a label or a rack, are not told.
"""

from __future__ import annotations

import heapq
import math
from collections import Counter, defaultdict
from collections.abc import Iterator, Sequence
from dataclasses import dataclass, field, replace

from saddlestack.cli.loggedpool import (
    RUN_ENDS,
    START,
    LoggedPool,
    WorkerSpan,
    estimate_worker_capacity,
    job_id_of,
    task_needs,
    worker_spans,
)
from saddlestack.cli.loglines import LogLine
from saddlestack.cli.steps import LoggedStep, parse_logged_step
from saddlestack.policy.stall import PoolUsage, StallDetector
from saddlestack.work import FINAL_STATES, Resources, TaskName

ACCELERATORS = 8
"""Of each worker, where nothing else is told."""
TOLD = "stands_still"
"""The event by which a leader tells that a job stands still."""
BESIDE_MARGIN_S = 0.5
"""Runs that start less than this before a job goes on start with it, not beside it."""
_FINAL = frozenset(state.value for state in FINAL_STATES)
_CLOSING = frozenset({"cancelled", "forgotten"})
_DONE = "done"
_BROKEN = "broken"
"""How the members of a gang end beside the one that failed, or was stopped."""


@dataclass(frozen=True, slots=True)
class LoggedStall:
    """A job that stood still.

    :param until_s: when it went on, or the room was gone.
    :param usage: what was held of the pool when it had stood for too long.
    :param other_starts: runs of other jobs that were started meanwhile, before it went on.
    :param last_event: what the last line about the job before told: how a run had ended, or its
        acceptance.
    :param reasons: what leaders told about it meanwhile.
    """

    job_id: str
    since_s: float
    until_s: float
    usage: PoolUsage
    other_starts: int
    last_event: str
    reasons: tuple[str, ...]

    @property
    def duration_s(self) -> float:
        """For how long."""
        return self.until_s - self.since_s


@dataclass(frozen=True, slots=True)
class StallReport:
    """All that the logs tell of jobs that stood still.

    :param accepted: jobs that were accepted.
    :param incarnations: lives of workers that were seen.
    :param worker_capacity: that each of them was taken to have.
    :param missing_starts: runs that ended without a start in the logs: lines are missing, and
        jobs of which something ran may seem to have stood still.
    :param reported: the lines by which leaders told that jobs stand still.
    """

    stalls: tuple[LoggedStall, ...]
    accepted: int
    incarnations: int
    worker_capacity: Resources
    missing_starts: int
    reported: tuple[LogLine, ...]


@dataclass(slots=True)
class _Job:
    """What is known of a job that was accepted."""

    steps: list[LoggedStep | None]
    last: str = "accepted"
    over: bool = False
    done: dict[int, set[int]] = field(default_factory=lambda: defaultdict(set))

    @property
    def next_step(self) -> LoggedStep | None:
        """The earliest step that is not done."""
        for number, step in enumerate(self.steps):
            if step is None:
                return None
            if len(self.done[number]) < (1 if step.gang else step.count):
                return step
        return None


def find_stalls(lines: Sequence[LogLine], accelerators: int = ACCELERATORS) -> StallReport:
    """Find jobs that stood still.

    :param lines: of all VMs, in order of time.
    :param accelerators: of each worker.
    """
    needs = task_needs(lines)
    room = estimate_worker_capacity(lines, needs, accelerators)
    workers = worker_spans(lines)
    reader = _Reader(LoggedPool(needs), room, workers)
    reader.read(lines)
    told = tuple(line for line in lines if line.event == TOLD)
    return StallReport(
        stalls=tuple(_with_rest(each, lines, told) for each in reader.found),
        accepted=len(reader.jobs),
        incarnations=len(workers),
        worker_capacity=room,
        missing_starts=reader.missing_starts,
        reported=told,
    )


def _with_rest(
    stood: LoggedStall, lines: Sequence[LogLine], told: Sequence[LogLine]
) -> LoggedStall:
    """What happened beside a standstill, and what leaders told of it."""
    beside = sum(
        1
        for line in lines
        if line.event == START
        and stood.since_s < line.at_s < stood.until_s - BESIDE_MARGIN_S
        and not line.task.startswith(f"{stood.job_id}.")
    )
    reasons = Counter(
        line.reason
        for line in told
        if line.job == stood.job_id and stood.since_s <= line.at_s <= stood.until_s
    )
    return replace(stood, other_starts=beside, reasons=tuple(reasons))


class _Reader:
    """Goes through log lines once, in order of time."""

    def __init__(self, pool: LoggedPool, room: Resources, workers: dict[str, WorkerSpan]) -> None:
        self.jobs: dict[str, _Job] = {}
        self.found: list[LoggedStall] = []
        self.missing_starts = 0
        self._pool = pool
        self._room = room
        self._comings = [(seen.first_s, name) for name, seen in workers.items()]
        self._goings = [(seen.last_s, name) for name, seen in workers.items()]
        heapq.heapify(self._comings)
        heapq.heapify(self._goings)
        self._started: set[tuple[str, int]] = set()
        self._watch = StallDetector()
        self._standing: set[str] = set()
        self._idle: set[str] = set()
        self._open: dict[str, LoggedStall] = {}

    def read(self, lines: Sequence[LogLine]) -> None:
        """Read all lines."""
        for line in lines:
            self._look(line.at_s)
            changed = self._move_workers(line.at_s)
            if self._take(line) or changed:
                self._standing = set(self._standing_now())
                self._look(line.at_s)
        if lines:
            self._close([*self._open], lines[-1].at_s)

    def _move_workers(self, at_s: float) -> bool:
        """Let workers come and go; whether any did."""
        changed = False
        while self._comings and self._comings[0][0] <= at_s:
            self._pool.present.add(heapq.heappop(self._comings)[1])
            changed = True
        while self._goings and self._goings[0][0] < at_s:
            self._pool.present.discard(heapq.heappop(self._goings)[1])
            changed = True
        return changed

    # Lines

    def _take(self, line: LogLine) -> bool:
        """Take a line in; whether it may change who stands still."""
        if line.event == "accepted":
            if line.job not in self.jobs:
                self.jobs[line.job] = _Job([parse_logged_step(text) for text in line.steps])
            self._sort(line.job)
        elif line.event == START:
            self._start(line)
        elif line.event in RUN_ENDS:
            self._end(line)
        elif line.event in _CLOSING or line.state in _FINAL:
            self._over(line)
        else:
            return False
        return True

    def _start(self, line: LogLine) -> None:
        job_id = job_id_of(line)
        self._pool.take(line)
        self._started.add((line.task, line.run))
        if job_id in self.jobs:
            self.jobs[job_id].last = "a start"
            self._sort(job_id)

    def _end(self, line: LogLine) -> None:
        job_id = job_id_of(line)
        job = self.jobs.get(job_id)
        self._pool.take(line)
        if line.event == "ended" and (line.task, line.run) not in self._started:
            self._started.add((line.task, line.run))
            self.missing_starts += 1
        if job is None:
            return
        if line.how == _DONE:
            name = TaskName.parse(line.task)
            job.done[name.step].add(name.index)
        if line.how != _BROKEN or not job.last.startswith("ended"):
            job.last = " ".join(part for part in (line.event, line.how, line.proof) if part)
        self._sort(job_id)

    def _over(self, line: LogLine) -> None:
        job = self.jobs.get(line.job)
        if job is None:
            return
        job.over = True
        self._pool.take(line)
        self._sort(line.job)

    def _sort(self, job_id: str) -> None:
        """Keep which jobs wait with nothing running."""
        job = self.jobs[job_id]
        if job.over or self._pool.has_running_tasks(job_id) or job.next_step is None:
            self._idle.discard(job_id)
        else:
            self._idle.add(job_id)

    # Standing still

    def _standing_now(self) -> Iterator[str]:
        if not self._pool.use(self._room.accelerators).is_mostly_free:
            return
        for job_id in self._idle:
            step = self.jobs[job_id].next_step
            if step is not None and self._pool.has_free_capacity_for(step, self._room):
                yield job_id

    def _look(self, at_s: float) -> None:
        """Note who has stood for too long by now, and who stands no more."""
        self._close([job_id for job_id in self._open if job_id not in self._standing], at_s)
        for each in self._watch.update(self._standing, at_s):
            use = self._pool.use(self._room.accelerators)
            last = self.jobs[each.job_id].last
            self._open[each.job_id] = LoggedStall(
                each.job_id, each.since_s, math.inf, use, 0, last, ()
            )

    def _close(self, jobs: Sequence[str], at_s: float) -> None:
        for job_id in jobs:
            self.found.append(replace(self._open.pop(job_id), until_s=at_s))
