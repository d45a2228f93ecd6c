"""What the runs that ended so far show about the speed of each worker.

Only runs whose length says something are used, and only clear findings count, so that a scheduler
with another way to estimate cannot know less.
"""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from saddlestack.interfaces.workers import EndKind
from tests.simulation.workers import SimRun, SimWorker

PIECES = 3
"""Number of the latest pieces of evidence on a worker that have to agree. With fewer, a scheduler
may still take the worker for a usual one."""
WORKERS = 3
"""Number of workers on which the runs of a step are compared."""
SLOW_FROM = 1.75
"""Relative length from which a step shows a worker as slow. Level 1.95, the first one that urgent
work of two seconds does not tolerate, begins at 1.747."""
USUAL_TO = 1.4
"""Relative length up to which a step shows a worker as usual. Up to 1.398, its level is at most
1.25, which any limit allows."""
REPORT_S = 0.5
"""A scheduler knows of an end after this time at the latest, on a day without faults."""


@dataclass(frozen=True, slots=True)
class Piece:
    """What the runs of one step show about one worker.

    :param ratio: how much longer they took than on the usual workers.
    """

    at_s: float
    worker: SimWorker
    ratio: float


class Evidence:
    """All pieces of evidence of a day.

    :param runs: all runs of the day.
    """

    def __init__(self, runs: Iterable[SimRun]) -> None:
        steps: dict[tuple[str, int, int], list[SimRun]] = defaultdict(list)
        for run in runs:
            if _tells_speed(run):
                task = run.task
                steps[(task.job_id, task.occurrence, task.step)].append(run)
        found = [piece for step in steps.values() for piece in _pieces(step)]
        self._pieces: dict[SimWorker, list[Piece]] = defaultdict(list)
        for piece in sorted(found, key=lambda piece: piece.at_s):
            self._pieces[piece.worker].append(piece)

    def shows_slow(self, worker: SimWorker, at_s: float) -> bool:
        """Whether a worker is slow, and is known to be so at a time."""
        latest = self._latest(worker, at_s)
        is_slow = worker.factor_at(at_s) >= SLOW_FROM
        return is_slow and len(latest) == PIECES and min(latest) >= SLOW_FROM

    def shows_usual(self, worker: SimWorker, at_s: float) -> bool:
        """Whether a worker has always been a usual one, and is known to be so at a time."""
        latest = self._latest(worker, at_s)
        always = all(factor == 1 for since_s, factor in worker.factors if since_s <= at_s)
        return always and len(latest) == PIECES and max(latest) < USUAL_TO

    def _latest(self, worker: SimWorker, at_s: float) -> list[float]:
        """The ratios of the latest pieces that are known, since the worker has its factor."""
        since_s = worker.factor_since_s(at_s)
        known = [
            piece.ratio
            for piece in self._pieces[worker]
            if since_s <= piece.at_s <= at_s - REPORT_S
        ]
        return known[-PIECES:]


def _tells_speed(run: SimRun) -> bool:
    """Whether the length of a run tells the speed of its worker."""
    if run.how is not EndKind.DONE or run.plan.lasts or run.resumed:
        return False
    worker = run.worker
    since_s = worker.factor_since_s(run.ended_s or 0.0)
    return since_s <= run.began_s and run.plan.near in ("", worker.rack)


def _pieces(step: list[SimRun]) -> Iterable[Piece]:
    """The evidence of one step: on each worker, relative to the median of the usual workers."""
    by_worker: dict[SimWorker, list[SimRun]] = defaultdict(list)
    for run in step:
        by_worker[run.worker].append(run)
    usual = [worker for worker in by_worker if worker.factor_at(by_worker[worker][0].began_s) == 1]
    if len(by_worker) < WORKERS or len(usual) * 2 <= len(by_worker):
        return
    length_s = statistics.median(_length_s(by_worker[worker]) for worker in usual)
    compared_s = statistics.median(_ended_s(by_worker[worker]) for worker in usual)
    for worker, runs in by_worker.items():
        yield Piece(max(compared_s, _ended_s(runs)), worker, _length_s(runs) / length_s)


def _ended_s(runs: list[SimRun]) -> float:
    return max(run.ended_s or 0.0 for run in runs)


def _length_s(runs: list[SimRun]) -> float:
    return statistics.mean(_worked_s(run) for run in runs)


def _worked_s(run: SimRun) -> float:
    """How long a run worked: a member of a gang until it began to wait for the others."""
    ended_s = run.ended_s if run.waits_s is None else run.waits_s
    assert ended_s is not None and run.work_began_s is not None
    return ended_s - run.work_began_s
