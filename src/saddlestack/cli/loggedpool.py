"""The worker pool as reconstructed from log lines: its workers and their allocated resources.

The logs list neither the workers nor their capacity. A worker's incarnation counts as present from
the first line that names it to the last one, or to the end of the logs if no line reports a worker
that was lost or unreachable. The number of accelerators of a worker is a parameter. Its processors
and memory are taken to be the most that at least half of the workers held at one time. If no worker
was ever full, stalls of jobs that would fit only into more than that are not found.
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
"""Events that report workers as lost or unreachable."""
WORKER_LOSS_PROOFS = frozenset({"replaced", "lapsed"})
"""Proofs of events ``run_over`` that report a worker as lost, too."""
RUN_ENDS = frozenset({"ended", "run_over", "run_absent", "start_refused"})
WORKER_LEAVES = "worker_leaves"
"""The reason of a stop on a worker that has announced its end."""
_NOTHING = Resources()
_COMPLETED = "completed"
_FORGOTTEN = "forgotten"


@dataclass(frozen=True, slots=True)
class LoggedRun:
    """The current run of a task."""

    number: int
    worker: str


@dataclass(frozen=True, slots=True)
class WorkerSpan:
    """The time between the first and the last line that names a worker's incarnation."""

    first_s: float
    last_s: float


@dataclass(slots=True)
class LoggedPool:
    """The resources held on each worker.

    Ends that a killed leader had received may never be logged. A run therefore also counts as ended
    if its task has a later run, or if its job is completed or forgotten.

    :param needs: resources that one task takes, by job and step.
    :ivar held: resources held on each worker, by incarnation.
    :ivar runs: the current run of each task, by job.
    :ivar present: incarnations of workers that are present now.
    """

    needs: Mapping[tuple[str, int], Resources]
    held: dict[str, Resources] = field(default_factory=dict)
    runs: dict[str, dict[str, LoggedRun]] = field(default_factory=dict)
    present: set[str] = field(default_factory=set)

    def apply(self, line: LogLine) -> None:
        """Apply the start or the end of a run."""
        if line.event == START:
            self._end(line.task)
            self.runs.setdefault(job_id_of(line), {})[line.task] = LoggedRun(line.run, line.worker)
            self.held[line.worker] = self.held.get(line.worker, _NOTHING) + self._needs_of_task(
                line.task
            )
        elif line.event in RUN_ENDS:
            run = self.runs.get(job_id_of(line), {}).get(line.task)
            if run is not None and run.number == line.run:
                self._end(line.task)
        elif line.state == _COMPLETED or line.event == _FORGOTTEN:
            for task in list(self.runs.get(line.job, {})):
                self._end(task)

    def has_running_tasks(self, job_id: str) -> bool:
        """Whether any task of a job runs."""
        return bool(self.runs.get(job_id))

    def _end(self, task: str) -> None:
        """End the run of a task, if it has one."""
        run = self.runs.get(task.partition(".")[0], {}).pop(task, None)
        if run is not None:
            self.held[run.worker] -= self._needs_of_task(task)

    def usage(self, accelerators: int) -> PoolUsage:
        """Return how many accelerators of the present workers are held.

        :param accelerators: accelerators of each worker.
        """
        used = sum(min(held.accelerators, accelerators) for held in self.held.values())
        return PoolUsage(used, len(self.present) * accelerators)

    def has_free_capacity_for(self, step: LoggedStep, capacity: Resources) -> bool:
        """Whether there is free capacity for a waiting step; see :func:`has_free_capacity`.

        :param capacity: resources of each worker.
        """
        wanted = step.count if step.gang else 1
        copies = 0
        for worker in self.present:
            copies += step.needs.copies_in(capacity - self.held.get(worker, _NOTHING))
            if copies >= FREE_CAPACITY_FACTOR * wanted:
                break
        return has_free_capacity(self.usage(capacity.accelerators), copies, wanted)

    def _needs_of_task(self, task: str) -> Resources:
        name = TaskName.parse(task)
        return self.needs.get((name.job_id, name.step), _NOTHING)


def job_id_of(line: LogLine) -> str:
    """Return the id of the job whose task a line names."""
    return line.task.partition(".")[0]


def task_needs(lines: Iterable[LogLine]) -> dict[tuple[str, int], Resources]:
    """Return the resources that one task takes, by job and step."""
    found: dict[tuple[str, int], Resources] = {}
    for line in lines:
        if line.event == "accepted":
            for number, text in enumerate(line.steps):
                step = parse_logged_step(text)
                if step is not None:
                    found[line.job, number] = step.needs
    return found


def worker_spans(lines: Sequence[LogLine]) -> dict[str, WorkerSpan]:
    """Return when each worker that ran something was present, by incarnation.

    :param lines: in order of time.
    """
    found: dict[str, WorkerSpan] = {}
    for line in lines:
        if not line.worker:
            continue
        known = found.get(line.worker)
        if known is not None:
            found[line.worker] = WorkerSpan(known.first_s, line.at_s)
        elif line.event == START:
            found[line.worker] = WorkerSpan(line.at_s, line.at_s)
    if any(_reports_worker_loss(line) for line in lines):
        return found
    return {name: WorkerSpan(seen.first_s, lines[-1].at_s) for name, seen in found.items()}


def _reports_worker_loss(line: LogLine) -> bool:
    return (
        line.event in WORKER_LOSS_EVENTS
        or line.proof in WORKER_LOSS_PROOFS
        or line.reason == WORKER_LEAVES
    )


def estimate_worker_capacity(
    lines: Iterable[LogLine], needs: Mapping[tuple[str, int], Resources], accelerators: int
) -> Resources:
    """Estimate a worker's capacity: the most that at least half of the workers held at one time.

    The maximum over all workers would be too high: some seem to hold more than they have, because
    no line reports the end of a run.

    :param accelerators: accelerators of each worker; moments at which a worker seems to hold more
        do not count.
    """
    pool = LoggedPool(needs)
    max_held: dict[str, Resources] = {}
    for line in lines:
        pool.apply(line)
        if line.event == START:
            held = pool.held[line.worker]
            if held.accelerators <= accelerators:
                before = max_held.get(line.worker, _NOTHING)
                cpu, memory_mb = max(before.cpu, held.cpu), max(before.memory_mb, held.memory_mb)
                max_held[line.worker] = Resources(cpu, memory_mb, accelerators)
    if not max_held:
        return Resources(0, 0, accelerators)
    return Resources(
        statistics.median_high(each.cpu for each in max_held.values()),
        statistics.median_high(each.memory_mb for each in max_held.values()),
        accelerators,
    )
