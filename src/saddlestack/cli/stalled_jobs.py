"""Jobs that stalled although the pool was mostly free, from the logs of all VMs of one day.

:mod:`saddlestack.policy.stall` defines what counts as a stall. What the logs lack is filled in as
:mod:`saddlestack.cli.loggedpool` describes, and by these rules:

- A run counts from the order to start it to the line that ends it, even if its worker never
  answered. A stall that goes on after a start without effect is therefore found only once a line
  reports that this start is over.
- The earliest step of a job that is not done counts as allowed to run, whatever it waits for.
- Jobs that are due later, and constraints on labels or racks, are not in the logs.
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
"""The default number of accelerators of each worker."""
STALL_EVENT = "stands_still"
"""The event by which a leader reports that a job is stalled."""
RESUME_MARGIN_S = 0.5
"""Runs that start less than this before a job resumes count as started together with it."""
_FINAL = frozenset(state.value for state in FINAL_STATES)
_CLOSING = frozenset({"cancelled", "forgotten"})
_DONE = "done"
_BROKEN = "broken"
"""How the other members of a gang end when one has failed or was stopped."""


@dataclass(frozen=True, slots=True)
class LoggedStall:
    """A job that was stalled.

    :param since_s: when it began to wait.
    :param until_s: when it resumed, or when the free capacity was gone.
    :param usage: usage of the pool when the job became stalled.
    :param other_starts: number of runs of other jobs that were started before it resumed.
    :param last_event: the last event of the job before the stall: its acceptance, a start, or how a
        run ended.
    :param reasons: reasons that leaders reported during the stall.
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
        """Duration of the stall in seconds."""
        return self.until_s - self.since_s


@dataclass(frozen=True, slots=True)
class StallReport:
    """All stalls found in the logs.

    :param stalls: the stalls that were found.
    :param accepted: number of accepted jobs.
    :param incarnations: number of incarnations of workers in the logs.
    :param worker_capacity: the estimated capacity of each worker.
    :param missing_starts: number of runs that ended without a start in the logs. Lines are then
        missing, and jobs may seem stalled although a task ran.
    :param reported: the lines by which leaders reported stalled jobs.
    """

    stalls: tuple[LoggedStall, ...]
    accepted: int
    incarnations: int
    worker_capacity: Resources
    missing_starts: int
    reported: tuple[LogLine, ...]


@dataclass(slots=True)
class _Job:
    """State of an accepted job.

    :param done: indexes of the tasks that are done, by step.
    """

    steps: list[LoggedStep | None]
    last_event: str = "accepted"
    is_over: bool = False
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
    """Find stalled jobs.

    :param lines: log lines of all VMs, in order of time.
    :param accelerators: accelerators of each worker.
    """
    needs = task_needs(lines)
    capacity = estimate_worker_capacity(lines, needs, accelerators)
    spans = worker_spans(lines)
    reader = _Reader(LoggedPool(needs), capacity, spans)
    reader.read(lines)
    reported = tuple(line for line in lines if line.event == STALL_EVENT)
    return StallReport(
        stalls=tuple(_with_context(each, lines, reported) for each in reader.stalls),
        accepted=len(reader.jobs),
        incarnations=len(spans),
        worker_capacity=capacity,
        missing_starts=reader.missing_starts,
        reported=reported,
    )


def _with_context(
    stall: LoggedStall, lines: Sequence[LogLine], reported: Sequence[LogLine]
) -> LoggedStall:
    """Add the starts of other jobs during a stall, and the reasons that leaders reported."""
    other_starts = sum(
        1
        for line in lines
        if line.event == START
        and stall.since_s < line.at_s < stall.until_s - RESUME_MARGIN_S
        and not line.task.startswith(f"{stall.job_id}.")
    )
    reasons = Counter(
        line.reason
        for line in reported
        if line.job == stall.job_id and stall.since_s <= line.at_s <= stall.until_s
    )
    return replace(stall, other_starts=other_starts, reasons=tuple(reasons))


class _Reader:
    """Finds stalls in log lines in order of time."""

    def __init__(self, pool: LoggedPool, capacity: Resources, spans: dict[str, WorkerSpan]) -> None:
        self.jobs: dict[str, _Job] = {}
        self.stalls: list[LoggedStall] = []
        self.missing_starts = 0
        self._pool = pool
        self._capacity = capacity
        self._arrivals = [(span.first_s, name) for name, span in spans.items()]
        self._departures = [(span.last_s, name) for name, span in spans.items()]
        heapq.heapify(self._arrivals)
        heapq.heapify(self._departures)
        self._started: set[tuple[str, int]] = set()
        self._detector = StallDetector()
        self._stalled: set[str] = set()
        self._idle: set[str] = set()
        self._open_stalls: dict[str, LoggedStall] = {}

    def read(self, lines: Sequence[LogLine]) -> None:
        """Process all lines."""
        for line in lines:
            self._update_stalls(line.at_s)
            changed = self._move_workers(line.at_s)
            if self._apply(line) or changed:
                self._stalled = set(self._stalled_now())
                self._update_stalls(line.at_s)
        if lines:
            self._close([*self._open_stalls], lines[-1].at_s)

    def _move_workers(self, at_s: float) -> bool:
        """Add and remove workers up to a time; whether any changed."""
        changed = False
        while self._arrivals and self._arrivals[0][0] <= at_s:
            self._pool.present.add(heapq.heappop(self._arrivals)[1])
            changed = True
        while self._departures and self._departures[0][0] < at_s:
            self._pool.present.discard(heapq.heappop(self._departures)[1])
            changed = True
        return changed

    def _apply(self, line: LogLine) -> bool:
        """Apply a line; whether it may change which jobs are stalled."""
        if line.event == "accepted":
            if line.job not in self.jobs:
                self.jobs[line.job] = _Job([parse_logged_step(text) for text in line.steps])
            self._update_idle(line.job)
        elif line.event == START:
            self._start(line)
        elif line.event in RUN_ENDS:
            self._end(line)
        elif line.event in _CLOSING or line.state in _FINAL:
            self._finish_job(line)
        else:
            return False
        return True

    def _start(self, line: LogLine) -> None:
        job_id = job_id_of(line)
        self._pool.apply(line)
        self._started.add((line.task, line.run))
        if job_id in self.jobs:
            self.jobs[job_id].last_event = "a start"
            self._update_idle(job_id)

    def _end(self, line: LogLine) -> None:
        job_id = job_id_of(line)
        job = self.jobs.get(job_id)
        self._pool.apply(line)
        if line.event == "ended" and (line.task, line.run) not in self._started:
            self._started.add((line.task, line.run))
            self.missing_starts += 1
        if job is None:
            return
        if line.how == _DONE:
            name = TaskName.parse(line.task)
            job.done[name.step].add(name.index)
        if line.how != _BROKEN or not job.last_event.startswith("ended"):
            job.last_event = " ".join(part for part in (line.event, line.how, line.proof) if part)
        self._update_idle(job_id)

    def _finish_job(self, line: LogLine) -> None:
        job = self.jobs.get(line.job)
        if job is None:
            return
        job.is_over = True
        self._pool.apply(line)
        self._update_idle(line.job)

    def _update_idle(self, job_id: str) -> None:
        """Update whether a job waits while none of its tasks runs."""
        job = self.jobs[job_id]
        if job.is_over or self._pool.has_running_tasks(job_id) or job.next_step is None:
            self._idle.discard(job_id)
        else:
            self._idle.add(job_id)

    def _stalled_now(self) -> Iterator[str]:
        if not self._pool.usage(self._capacity.accelerators).is_mostly_free:
            return
        for job_id in self._idle:
            step = self.jobs[job_id].next_step
            if step is not None and self._pool.has_free_capacity_for(step, self._capacity):
                yield job_id

    def _update_stalls(self, at_s: float) -> None:
        """Open stalls of jobs that have waited for too long; close those of jobs that resumed."""
        self._close([job_id for job_id in self._open_stalls if job_id not in self._stalled], at_s)
        for each in self._detector.update(self._stalled, at_s):
            usage = self._pool.usage(self._capacity.accelerators)
            last_event = self.jobs[each.job_id].last_event
            self._open_stalls[each.job_id] = LoggedStall(
                each.job_id, each.since_s, math.inf, usage, 0, last_event, ()
            )

    def _close(self, jobs: Sequence[str], at_s: float) -> None:
        for job_id in jobs:
            self.stalls.append(replace(self._open_stalls.pop(job_id), until_s=at_s))
