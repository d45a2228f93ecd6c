"""Decides which runs on draining workers are stopped before the workers leave.

Neither the announced time nor the removal of its record proves that a worker has left, since it may
serve for seconds after either. Runs that are still there end with the worker's lease, after 6.6 s
if leases last 6 s.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.progress import remaining_s
from saddlestack.policy.cluster.workers import Worker

SAVE_MARGIN_S = 1.2
"""A run with a checkpoint is stopped this long before its worker leaves. The stop, at which the run
saves its progress, and the answer to it have to fit into that time."""
END_MARGIN_S = 0.5
"""A run without a checkpoint is not stopped if it is expected to end this long before the worker
may leave, or within this time from now. A notice arrives up to 0.3 s late, and an end is reported
after 0.01 s."""

GangMembers = Callable[[Run], Sequence[Run]]
"""Returns all runs that work together with a run, including itself. A gang ends with its last
member: one that has finished its own part waits, although it seems to be about to end."""


def runs_to_stop(workers: Iterable[Worker], members: GangMembers, now: float) -> list[Run]:
    """Runs that have to be stopped since their worker leaves before they end.

    A run without a checkpoint is stopped as soon as that is clear, so that it can start again
    elsewhere. A run with a checkpoint uses the time that is left.

    :param workers: the workers to check; those that do not leave are skipped.
    :param members: returns all runs that work, and end, together with a run.
    """
    found: list[Run] = []
    for worker in workers:
        if worker.leaves_s is None:
            continue
        left_s = worker.leaves_s - now
        found += [run for run in worker.runs.values() if _has_to_stop(run, members, left_s, now)]
    return found


def _has_to_stop(run: Run, members: GangMembers, left_s: float, now: float) -> bool:
    if run.stopping:
        return False
    step = run.task.step.step
    if step.long_running:
        return left_s < SAVE_MARGIN_S
    remaining_run_s = max(remaining_s(member, now) for member in members(run))
    if remaining_run_s <= max(left_s - END_MARGIN_S, END_MARGIN_S):
        return False
    return not step.checkpoint or left_s < SAVE_MARGIN_S
