"""Workers that leave: which of their runs are stopped before they do.

That one has left is known from nothing that it announced, nor from its record: it may serve on for
seconds after either. What is still there is over with its lease, 6.6 s where leases last 6 s.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.progress import remaining_s
from saddlestack.policy.cluster.workers import Worker

SAVE_MARGIN_S = 1.2
"""A run that saves its progress works on until this long before the worker leaves: the stop, on
which it saves, and its answer have to fit in."""
END_MARGIN_S = 0.5
"""A run that has nothing to save is left alone if it ends this long before the worker may leave, or
within this time from now. A notice is heard up to 0.3 s late, an end after 0.01 s."""

Members = Callable[[Run], Sequence[Run]]
"""All runs that work together with a run, itself among them. A gang ends with its last member: one
that has done its own part waits, and looks as if it were about to end."""


def runs_to_stop(workers: Iterable[Worker], members: Members, now: float) -> list[Run]:
    """Runs to be stopped since their worker leaves before they end.

    One that saves nothing is stopped as soon as that is clear, so that it begins again elsewhere;
    one that saves its progress uses the time that is left.

    :param members: all runs that work, and end, together with a run.
    """
    found: list[Run] = []
    for worker in workers:
        if worker.leaves_s is None:
            continue
        left = worker.leaves_s - now
        found += [run for run in worker.runs.values() if _is_to_stop(run, members, left, now)]
    return found


def _is_to_stop(run: Run, members: Members, left: float, now: float) -> bool:
    if run.stopping:
        return False
    step = run.task.step.step
    if step.long_running:
        return left < SAVE_MARGIN_S
    remaining = max(remaining_s(member, now) for member in members(run))
    if remaining <= max(left - END_MARGIN_S, END_MARGIN_S):
        return False
    return not step.checkpoint or left < SAVE_MARGIN_S
