"""The end of a worker's incarnation: when it may have come, and how long its runs had lived."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from saddlestack.policy.cluster.crash_rule import RunLifetime
from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.workers import Worker

MAX_UNKNOWN_AGE_S = 10.0
"""A run that an earlier leader started may be this much older than the current leader knows."""
MAX_REMOVAL_DELAY_S = 0.8
"""The removal of a worker's record is noticed up to this much later."""
DEFAULT_DRAIN_S = 2.0
"""For how long a worker that ends as planned serves on, unless the deployment says otherwise."""
ANNOUNCED_SLACK_S = 1.0
"""An end that comes earlier than this before the announced time does not count as announced."""


@dataclass(frozen=True, slots=True)
class IncarnationEnd:
    """The time of the end of an incarnation, in seconds on the scheduler's clock.

    :param last_answer_s: when the worker last answered; ``-inf`` for never in this term.
    :param noticed_s: when it was first found unreachable.
    :param unheard: whether the end is only known from its being unreachable for longer than any of
        its leases lasts.
    """

    last_answer_s: float
    noticed_s: float
    unheard: bool = False


class EndCause(enum.Enum):
    """Why an incarnation ended, as far as its record and its answers show."""

    ANNOUNCED = enum.auto()
    """As announced by its drain notice, or by upkeep."""
    PLANNED = enum.auto()
    """As planned, without a notice: its record was removed, and it served on."""
    CRASHED = enum.auto()
    """Another incarnation answers in its place, and nothing shows that the end was planned."""
    UNKNOWN = enum.auto()
    """It does not answer. It may have crashed, or may be cut off."""


def cause_of(worker: Worker, end: IncarnationEnd, drain_s: float) -> EndCause:
    """Why an incarnation ended.

    A worker that falls silent before its record is removed may have crashed, since its record
    expires then. One that still answers has withdrawn its record, unless the store was away, when
    the records of live workers expire as well.

    :param drain_s: for how long a worker that ends as planned serves on at least.
    """
    if _is_announced(worker, end):
        return EndCause.ANNOUNCED
    if worker.withdrawn_s is not None and worker.outlived_record:
        served_s = end.noticed_s - worker.withdrawn_s
        if served_s >= drain_s - MAX_REMOVAL_DELAY_S:
            return EndCause.PLANNED
    return EndCause.UNKNOWN if end.unheard else EndCause.CRASHED


def _is_announced(worker: Worker, end: IncarnationEnd) -> bool:
    if worker.closing:
        return True
    return worker.leaves_s is not None and end.noticed_s >= worker.leaves_s - ANNOUNCED_SLACK_S


def may_coincide(first: IncarnationEnd, second: IncarnationEnd) -> bool:
    """Whether two incarnations may have ended at the same time."""
    return max(first.last_answer_s, second.last_answer_s) <= min(first.noticed_s, second.noticed_s)


def may_have_started(run: Run) -> bool:
    """Whether a worker may have started a run; a run that is being stopped counts as well."""
    return run.inherited or run.ordered_s is not None or run.started_s is not None


def lifetime_of(run: Run, end: IncarnationEnd) -> RunLifetime:
    """How long a run had been on its worker when the worker crashed, as far as is known."""
    ordered_s = run.ordered_s if run.ordered_s is not None else run.started_s
    if ordered_s is None:
        return RunLifetime(0.0, MAX_UNKNOWN_AGE_S)
    known_s = ordered_s if run.started_s is None else run.started_s
    min_s = max(0.0, end.last_answer_s - known_s)
    max_s = max(min_s, end.noticed_s - ordered_s)
    if run.inherited:
        return RunLifetime(min_s, max_s + MAX_UNKNOWN_AGE_S)
    silent_window_s = end.noticed_s - max(end.last_answer_s, ordered_s - MAX_UNKNOWN_AGE_S)
    return RunLifetime(min_s, max_s, silent_window_s, confirmed=run.started_s is not None)
