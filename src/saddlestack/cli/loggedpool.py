"""The pool as log lines show it: which workers there were, and what runs hold of them.

The logs tell neither the workers that there are nor their room. A life of a worker counts from the
first line that names it to the last one, or to the end of the day where no line tells of any worker
that went or was silent. How many accelerators each has is told from outside. Of
processors and memory it is taken to have the most that half of the workers held at one time: where
no worker was ever full, standstills for which only more would be room enough are not found.
"""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from saddlestack.cli.loglines import LogLine
from saddlestack.cli.steps import LoggedStep, parse_logged_step
from saddlestack.policy.stall import FREE_CAPACITY_FACTOR, PoolUsage, has_free_capacity
from saddlestack.work import Resources, TaskName

START = "start"
WORKER_LOSS_EVENTS = frozenset({"lease_wait", "worker_replaced", "worker_silent"})
"""Events that tell of workers that went, or were silent."""
WORKER_LOSS_PROOFS = frozenset({"replaced", "lapsed"})
"""Proofs of a run that counts as over that tell so too."""
RUN_ENDS = frozenset({"ended", "run_over", "run_absent", "start_refused"})
LEAVES = "worker_leaves"
"""The reason of a stop on a worker that has announced its end."""
_NOTHING = Resources()
_COMPLETED = "completed"
_FORGOTTEN = "forgotten"


@dataclass(frozen=True, slots=True)
class LoggedRun:
    """A run that a task has."""

    number: int
    worker: str


@dataclass(frozen=True, slots=True)
class WorkerSpan:
    """From when to when lines named a life of a worker."""

    first_s: float
    last_s: float


@dataclass(slots=True)
class LoggedPool:
    """What is held of each worker.

    A leader that is killed takes ends with it that nobody tells again: a run is also over where its
    task has a later one, and where its job is completed or forgotten.

    :param needs: of a task, by job and step.
    :ivar runs: the present run of each task, by job.
    """

    needs: Mapping[tuple[str, int], Resources]
    held: dict[str, Resources] = field(default_factory=dict)
    runs: dict[str, dict[str, LoggedRun]] = field(default_factory=dict)
    present: set[str] = field(default_factory=set)

    def take(self, line: LogLine) -> None:
        """A run begins, or is over."""
        if line.event == START:
            self._end(line.task)
            self.runs.setdefault(job_id_of(line), {})[line.task] = LoggedRun(line.run, line.worker)
            self.held[line.worker] = self.held.get(line.worker, _NOTHING) + self._needs(line.task)
        elif line.event in RUN_ENDS:
            run = self.runs.get(job_id_of(line), {}).get(line.task)
            if run is not None and run.number == line.run:
                self._end(line.task)
        elif line.state == _COMPLETED or line.event == _FORGOTTEN:
            for task in list(self.runs.get(line.job, {})):
                self._end(task)

    def has_running_tasks(self, job_id: str) -> bool:
        """Whether something of a job runs."""
        return bool(self.runs.get(job_id))

    def _end(self, task: str) -> None:
        """The run of a task is over, where it has one."""
        run = self.runs.get(task.partition(".")[0], {}).pop(task, None)
        if run is not None:
            self.held[run.worker] -= self._needs(task)

    def use(self, accelerators: int) -> PoolUsage:
        """What is held of the workers that are there.

        :param accelerators: of each worker.
        """
        used = sum(min(held.accelerators, accelerators) for held in self.held.values())
        return PoolUsage(used, len(self.present) * accelerators)

    def has_free_capacity_for(self, step: LoggedStep, room: Resources) -> bool:
        """Whether a step that waits fits in twice over.

        :param room: of each worker.
        """
        wanted = step.count if step.gang else 1
        copies = 0
        for worker in self.present:
            copies += step.needs.copies_in(room - self.held.get(worker, _NOTHING))
            if copies >= FREE_CAPACITY_FACTOR * wanted:
                break
        return has_free_capacity(self.use(room.accelerators), copies, wanted)

    def _needs(self, task: str) -> Resources:
        name = TaskName.parse(task)
        return self.needs.get((name.job_id, name.step), _NOTHING)


def job_id_of(line: LogLine) -> str:
    """The job of the task that a line names."""
    return line.task.partition(".")[0]


def task_needs(lines: Iterable[LogLine]) -> dict[tuple[str, int], Resources]:
    """What a task takes, by job and step."""
    found: dict[tuple[str, int], Resources] = {}
    for line in lines:
        if line.event == "accepted":
            for number, text in enumerate(line.steps):
                step = parse_logged_step(text)
                if step is not None:
                    found[line.job, number] = step.needs
    return found


def worker_spans(lines: Sequence[LogLine]) -> dict[str, WorkerSpan]:
    """The lives of workers that ran something, lines in order of time."""
    found: dict[str, WorkerSpan] = {}
    for line in lines:
        if not line.worker:
            continue
        known = found.get(line.worker)
        if known is not None:
            found[line.worker] = WorkerSpan(known.first_s, line.at_s)
        elif line.event == START:
            found[line.worker] = WorkerSpan(line.at_s, line.at_s)
    if any(_tells_of_going(line) for line in lines):
        return found
    return {name: WorkerSpan(seen.first_s, lines[-1].at_s) for name, seen in found.items()}


def _tells_of_going(line: LogLine) -> bool:
    return (
        line.event in WORKER_LOSS_EVENTS
        or line.proof in WORKER_LOSS_PROOFS
        or line.reason == LEAVES
    )


def estimate_worker_capacity(
    lines: Iterable[LogLine], needs: Mapping[tuple[str, int], Resources], accelerators: int
) -> Resources:
    """The room of a worker, as far as it was used: the most that half of the workers held at once.

    Not the most of all: some seem to hold more than they have, where no line told of an end.

    :param accelerators: of each worker; moments with more than these do not count.
    """
    pool = LoggedPool(needs)
    most: dict[str, Resources] = {}
    for line in lines:
        pool.take(line)
        if line.event == START:
            held = pool.held[line.worker]
            if held.accelerators <= accelerators:
                before = most.get(line.worker, _NOTHING)
                cpu, memory_mb = max(before.cpu, held.cpu), max(before.memory_mb, held.memory_mb)
                most[line.worker] = Resources(cpu, memory_mb, accelerators)
    if not most:
        return Resources(0, 0, accelerators)
    return Resources(
        statistics.median_high(each.cpu for each in most.values()),
        statistics.median_high(each.memory_mb for each in most.values()),
        accelerators,
    )
