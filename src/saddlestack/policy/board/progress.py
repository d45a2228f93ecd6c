"""How long runs still take, and which stand still or go so slowly that they had better begin anew.

A worker may answer every call while what runs on it does not move, or at a sixth of its speed. Only
the progress that it reports tells.
"""

from __future__ import annotations

from collections.abc import Sequence

from saddlestack.policy.board.jobs import Run, StepState
from saddlestack.policy.board.waiting import TOP_PRIORITY
from saddlestack.policy.board.workers import Worker

LEAST_PERCENT = 3
"""Progress below this says nothing about how long a run still takes."""
LEAST_STILL_S = 0.6
"""Nothing is judged sooner: two looks of :data:`LOOK_S` have to agree..."""
STILL_SHARE = 0.15
"""...nor before this share of the estimate, in which a sound worker does several percent."""
RESUMING_S = 1.0
"""A run that resumes from a checkpoint takes up to this long before it moves."""
SLOW = 2.0
"""Urgent work moves where it would take this many times its estimate from now on; estimates are
guesses, and sound workers differ by a third."""
RESTART_S = 0.5
"""What a stop and another start take."""
NEARLY_DONE_PERCENT = 99
"""Members of a gang end together: one that is done with its own part waits there."""
MOST_MOVES = 2
"""So often a step is begun again for this: an estimate may be wrong, and then each move is lost."""
LOOK_S = 0.3
"""How often a worker is looked at on which urgent work runs."""


def remaining_s(run: Run, now: float) -> float:
    """Seconds that a run still takes, as far as its progress and its estimate tell."""
    since = run.started_s if run.started_s is not None else run.assigned_s
    if run.percent >= LEAST_PERCENT:
        done_s = max(0.0, run.reported_s - since)
        left_s = done_s * (100 - run.percent) / run.percent
        return max(0.0, left_s - (now - run.reported_s))
    return max(0.0, run.task.step.step.estimate_ms / 1000 - (now - since))


def needs_looks(worker: Worker) -> bool:
    """Whether urgent work runs on a worker, so that its progress is asked for often."""
    held = worker.held.get(TOP_PRIORITY)
    return held is not None and any(_is_urgent(run) for run in worker.runs.values())


def is_stuck(run: Run, members: Sequence[Run], now: float) -> bool:
    """Whether a run had better be stopped and begun again elsewhere.

    :param members: all runs that work together, this one among them.
    """
    step = run.task.step
    if step.step.long_running or run.stopping or run.percent >= NEARLY_DONE_PERCENT:
        return False
    if step.moves >= MOST_MOVES:
        return False
    begun_s = _begun_s(members)
    if begun_s is None:
        return False
    worked_s = now - begun_s - (RESUMING_S if run.task.record.saved else 0.0)
    if worked_s < LEAST_STILL_S:
        return False
    if _is_urgent(run) and _is_slow(run, worked_s):
        return True
    return _is_still(run, begun_s, now)


def _is_urgent(run: Run) -> bool:
    step = run.task.step
    return step.occurrence.job.priority == TOP_PRIORITY and not step.step.long_running


def _begun_s(members: Sequence[Run]) -> float | None:
    """When the last member was there, so that all could work; ``None`` before that."""
    begun_s = 0.0
    for member in members:
        if member.started_s is None:
            return None
        begun_s = max(begun_s, member.started_s)
    return begun_s


def _is_slow(run: Run, worked_s: float) -> bool:
    """Whether it would end much sooner elsewhere, at the speed that it has shown."""
    step = run.task.step
    if _is_far(step):
        return False
    left_s = worked_s * (100 - run.percent) / max(run.percent, 0.5)
    return left_s > SLOW * step.step.estimate_ms / 1000 + RESTART_S


def _is_far(step: StepState) -> bool:
    """Whether its tasks work slowly for lying far from their data, or from each other."""
    racks = {task.run.rack for task in step.tasks if task.run is not None}
    if step.step.data_rack and racks != {step.step.data_rack}:
        return True
    return step.step.same_rack and len(racks) > 1


def _is_still(run: Run, begun_s: float, now: float) -> bool:
    """Whether it has not moved for as long as the work is worth that a stop would lose.

    To wait that long loses at most twice what the better of the two choices would have lost.
    """
    moved_s = max(begun_s, run.moved_s)
    still_s = now - moved_s
    patience_s = max(LEAST_STILL_S, STILL_SHARE * run.task.step.step.estimate_ms / 1000)
    if run.task.record.saved:
        patience_s += RESUMING_S
    return still_s >= max(patience_s, moved_s - begun_s)
