"""The end of a worker's life: when it may have been, and for how long its runs had been there."""

from __future__ import annotations

from dataclasses import dataclass

from saddlestack.policy.cluster.crash_rule import Lived
from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.workers import Worker

UNKNOWN_AGE_S = 10.0
"""A run that an earlier leader started may be older than this leader knows by so much."""
EARLY_S = 1.0
"""An announced end comes no earlier than so long before the time that was announced."""


@dataclass(frozen=True, slots=True)
class IncarnationEnd:
    """What is known of the end of a worker's life that its worker had not announced.

    :param last_answer_s: when it last answered; ``-inf`` for never in this term.
    :param noticed_s: when it was first noticed that it does not answer.
    :param unheard: only its silence tells of the end, for longer than any lease of it lasts.
    """

    last_answer_s: float
    noticed_s: float
    unheard: bool = False


def is_announced(worker: Worker, end: IncarnationEnd) -> bool:
    """Whether a life ended as it had been told that it would."""
    if worker.closing:
        return True
    return worker.leaves_s is not None and end.noticed_s >= worker.leaves_s - EARLY_S


def overlap(first: IncarnationEnd, second: IncarnationEnd) -> bool:
    """Whether two lives may have ended at the same moment."""
    return max(first.last_answer_s, second.last_answer_s) <= min(first.noticed_s, second.noticed_s)


def may_have_begun(run: Run) -> bool:
    """Whether the worker may have carried out a run's start; one that is being stopped counts."""
    return run.inherited or run.ordered_s is not None or run.started_s is not None


def lived(run: Run, end: IncarnationEnd) -> Lived:
    """How long a run was at its worker when that crashed, as far as is known."""
    ordered_s = run.ordered_s if run.ordered_s is not None else run.started_s
    if ordered_s is None:
        return Lived(0.0, UNKNOWN_AGE_S)
    known_s = ordered_s if run.started_s is None else run.started_s
    least_s = max(0.0, end.last_answer_s - known_s)
    most_s = max(least_s, end.noticed_s - ordered_s)
    if run.inherited:
        return Lived(least_s, most_s + UNKNOWN_AGE_S)
    window_s = end.noticed_s - max(end.last_answer_s, ordered_s - UNKNOWN_AGE_S)
    return Lived(least_s, most_s, window_s, confirmed=run.started_s is not None)
