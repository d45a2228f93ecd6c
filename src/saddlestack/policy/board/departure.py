"""Workers that leave: which runs leave before them, and when one is known to have left."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from saddlestack.policy.board.jobs import Run
from saddlestack.policy.board.progress import remaining_s
from saddlestack.policy.board.workers import Worker

SAVE_MARGIN_S = 1.2
"""A run that saves its progress works on until this long before the worker leaves: the stop, on
which it saves, and its answer have to fit in."""
END_MARGIN_S = 0.5
"""A run that has nothing to save is left alone if it ends this long before the worker may leave, or
within this time from now. A notice is heard up to 0.3 s late, an end after 0.01 s."""

LAPSE_HEARTBEATS = 3.0
"""A record lapses so many of its worker's heartbeats after it was last written. It may also lapse
while the store is away: its absence speaks only where the store has answered for as long."""
REMOVED_HEARTBEATS = 2.0
"""A record that goes within so many heartbeats after it was last written has been removed by its
worker. A worker may be cut off from the store alone, and answer us while its record lapses: its
answers say nothing. What is written is heard of up to 0.3 s late, so a heartbeat may be missed."""
ANNOUNCED_SLACK_S = 0.5
"""A notice is heard up to 0.3 s late, the end of its worker's record as well."""

Members = Callable[[Run], Sequence[Run]]
"""All runs that work together with a run, itself among them. A gang ends with its last member: one
that has done its own part waits, and looks as if it were about to end."""


def has_left(
    worker: Worker, now: float, *, record_age_s: float, heartbeat_s: float, steady_s: float
) -> bool:
    """Whether a worker whose record has just gone has ended, as it had announced.

    What ran there is then over at once. Otherwise it counts as running until its lease has lapsed
    for sure, 10.7 s: on a day with two notices to a seventh of the workers an urgent gang of seven
    stood still for 9.5 s.

    :param record_age_s: how long before its record was last written, by the worker's clock.
    :param heartbeat_s: between its heartbeats to the store; 0 where that is not known.
    :param steady_s: since when the store has answered without a break.
    """
    announced = worker.leaves_s is not None and now >= worker.leaves_s - ANNOUNCED_SLACK_S
    # A worker's own record is never from the future: such a one proves nothing.
    removed = 0.0 <= record_age_s <= REMOVED_HEARTBEATS * heartbeat_s
    trusted = now - steady_s >= LAPSE_HEARTBEATS * heartbeat_s
    return announced and removed and trusted


def leaving(workers: Iterable[Worker], members: Members, now: float) -> list[Run]:
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
