"""Which runs leave a worker before it does, so that no more of their work is lost than must be."""

from __future__ import annotations

from collections.abc import Iterable

from saddlestack.policy.board.jobs import Run
from saddlestack.policy.board.progress import remaining_s
from saddlestack.policy.board.workers import Worker

SAVE_MARGIN_S = 1.2
"""A run that saves its progress works on until this long before the worker leaves: the stop, on
which it saves, and its answer have to fit in."""
END_MARGIN_S = 0.5
"""A run that has nothing to save is left alone if it ends this long before the worker may leave, or
within this time from now. A notice is heard up to 0.3 s late, an end after 0.01 s."""


def leaving(workers: Iterable[Worker], now: float) -> list[Run]:
    """Runs to be stopped since their worker leaves before they end.

    One that saves nothing is stopped as soon as that is clear, so that it begins again elsewhere;
    one that saves its progress uses the time that is left.
    """
    found: list[Run] = []
    for worker in workers:
        if worker.leaves_s is None:
            continue
        left = worker.leaves_s - now
        found += [run for run in worker.runs.values() if _is_to_stop(run, left, now)]
    return found


def _is_to_stop(run: Run, left: float, now: float) -> bool:
    if run.stopping:
        return False
    step = run.task.step.step
    if step.long_running:
        return left < SAVE_MARGIN_S
    if remaining_s(run, now) <= max(left - END_MARGIN_S, END_MARGIN_S):
        return False
    return not step.checkpoint or left < SAVE_MARGIN_S
