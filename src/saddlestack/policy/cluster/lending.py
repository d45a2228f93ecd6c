"""Lending: which work may fill reserved room while the runs that hold the rest of it stop.

Lending keeps short work from stalling beside idle room. It must not hold up the step that has the
room reserved, so only work is lent room that is expected to end before the stops do. Expectations
come from estimates, else from the runs of the same queue. A queue of which no run has ended yet
counts as short until a run that was lent room shows otherwise.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from statistics import median

from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.reservations import Reservation

DEFAULT_STOP_S = 5.0
"""Runs are expected to take this long to stop until one has."""
LOAN_GRACE_S = 0.4
"""A run that was lent room may be expected to end so much later than the stops."""
MAX_DELAYS = 2
"""A step that was delayed so often by runs that it had lent room lends none any more."""
MAX_SAMPLES = 16
"""So many of the last stops, and of the last runs of a queue, are remembered."""


class Lending:
    """What is known of how long runs take, and what may be lent room by it."""

    def __init__(self) -> None:
        self._stops_s: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._runs_s: dict[str, deque[float]] = {}

    def note_stopped(self, run: Run, now: float) -> None:
        """A run has ended by an order to stop."""
        if run.awaited_s is not None:
            self._stops_s.append(now - run.awaited_s)

    def note_done(self, run: Run, now: float) -> None:
        """A run has ended well."""
        if run.started_s is not None:
            known = self._runs_s.setdefault(_queue(run.task.step), deque(maxlen=MAX_SAMPLES))
            known.append(now - run.started_s)

    def lenders(
        self, step: StepState, reservations: Iterable[Reservation], now: float
    ) -> frozenset[str]:
        """The ids of workers that may lend a step what is reserved there for others."""
        held = list(reservations)
        known_s = self._known_s(step)
        takes_s = self._seen_s(step, held, now) if known_s is None else known_s
        lending: set[str] = set()
        closed: set[str] = set()
        for each in held:
            is_open = each.step is not step and (each.awaits_stops or known_s is not None)
            fits = is_open and takes_s < self._left_s(each, now) + LOAN_GRACE_S
            (lending if fits else closed).update(worker.worker_id for worker in each.places)
        return frozenset(lending - closed)

    def _known_s(self, step: StepState) -> float | None:
        """How long a run of a step takes; ``None`` where nothing tells."""
        if step.step.long_running:
            return math.inf
        if step.step.estimate_ms:
            return step.step.estimate_ms / 1000
        return max(self._runs_s.get(_queue(step), ()), default=None)

    def _seen_s(self, step: StepState, held: Iterable[Reservation], now: float) -> float:
        """How long runs of a step's queue have taken so far that were lent room."""
        lent = (run for each in held for run in each.borrowers)
        alike = (run for run in lent if _queue(run.task.step) == _queue(step))
        return max((now - run.assigned_s for run in alike), default=0.0)

    def _left_s(self, held: Reservation, now: float) -> float:
        """For how long a reservation may lend yet: until its stops are through, within bounds."""
        if held.step.times_delayed >= MAX_DELAYS:
            return -math.inf
        return max((self._stop_left_s(run, now) for run in held.stopping), default=-math.inf)

    def _stop_left_s(self, run: Run, now: float) -> float:
        """How long a run takes to stop yet.

        That is told by the median of the stops that took longer than this one so far. One that
        takes twice as long as any before is expected to take as long again.
        """
        elapsed_s = 0.0 if run.awaited_s is None else now - run.awaited_s
        stops_s = self._stops_s or (DEFAULT_STOP_S,)
        if elapsed_s > 2 * max(stops_s):
            return elapsed_s
        longer_s = [stop_s for stop_s in stops_s if stop_s > elapsed_s]
        return median(longer_s) - elapsed_s if longer_s else 0.0


def _queue(step: StepState) -> str:
    return step.occurrence.job.accepted.queue
