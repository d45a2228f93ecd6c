"""The latest crashes of workers, with the evidence that each of them added to tasks."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field

from saddlestack.policy.cluster.incarnation_end import IncarnationEnd, may_coincide
from saddlestack.policy.cluster.jobs import Run, Task
from saddlestack.policy.cluster.workers import Worker

MAX_CRASHES = 64
"""Maximum number of crashes, the latest ones, whose evidence can still be reverted."""
CORRELATED_LOSS_SHARE = 0.75
"""Minimum share of the busy workers of a rack in a correlated loss."""
MIN_CORRELATED_LOSSES = 3
"""Minimum number of workers in a correlated loss."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """The evidence that a crash added to one task."""

    task: Task
    crashes: int
    log_odds: float


@dataclass(slots=True)
class Crash:
    """One crash, with what is needed to revert it.

    :param jobs: ids of the jobs that ran on the worker.
    :param runs: number of runs on the worker.
    :param unexplained: the probability that no task caused it.
    """

    worker_id: str
    service: str
    rack: str
    end: IncarnationEnd
    jobs: frozenset[str]
    runs: int
    evidence: list[Evidence] = field(default_factory=list)
    unexplained: float = 0.0


class LatestCrashes:
    """The crashes whose evidence can still be reverted, oldest first.

    :param workers: all workers by id.
    """

    def __init__(self, workers: Mapping[str, Worker]) -> None:
        self._workers = workers
        self._crashes: deque[Crash] = deque(maxlen=MAX_CRASHES)
        self._worker_ids: set[str] = set()

    def __iter__(self) -> Iterator[Crash]:
        return iter(self._crashes)

    def add(self, crash: Crash) -> None:
        """Add a crash; the oldest one is dropped if there are too many."""
        self._crashes.append(crash)
        self._worker_ids = {each.worker_id for each in self._crashes}

    def take(self, worker_id: str) -> list[Crash]:
        """Remove the crashes of a worker, and return them."""
        if worker_id not in self._worker_ids:
            return []
        self._worker_ids.discard(worker_id)
        found = [crash for crash in self._crashes if crash.worker_id == worker_id]
        for crash in found:
            self._crashes.remove(crash)
        return found

    def lost_together(self, worker: Worker, end: IncarnationEnd) -> list[frozenset[str]]:
        """The jobs of each other worker of the rack that was lost at the same time.

        Empty if the loss is not large enough to count as correlated.
        """
        rack = worker.record.rack
        lost_workers = {
            crash.worker_id: crash.jobs
            for crash in self._crashes
            if crash.rack == rack and may_coincide(crash.end, end)
        }
        others = [
            other
            for other in self._workers.values()
            if other is not worker and other.record.rack == rack and other.runs
        ]
        for other in others:
            if other.unreachable_since_s is None:
                continue
            if may_coincide(IncarnationEnd(other.last_answer_s, other.unreachable_since_s), end):
                lost_workers[other.worker_id] = job_ids(other.runs.values())
        busy = len(lost_workers) + sum(1 for other in others if other.worker_id not in lost_workers)
        least = max(MIN_CORRELATED_LOSSES, CORRELATED_LOSS_SHARE * (busy + 1))
        return list(lost_workers.values()) if len(lost_workers) + 1 >= least else []


def job_ids(runs: Iterable[Run]) -> frozenset[str]:
    """The ids of the jobs of some runs."""
    return frozenset(run.task.name.job_id for run in runs)
