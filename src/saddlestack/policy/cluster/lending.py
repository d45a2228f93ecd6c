"""Lending: which work may use reserved resources until the runs that hold the rest have stopped.

Lending keeps short work from stalling beside idle resources. It must not delay the step that has
the reservation, so only work that is expected to end before the stops may borrow. Durations are
expected by the step's estimate, otherwise by earlier runs of the same queue. A queue of which no
run has ended yet counts as short until one of its borrowers runs longer.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from statistics import median

from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.reservations import Reservation
from saddlestack.policy.cluster.workers import Worker

DEFAULT_STOP_S = 5.0
"""Expected time for a run to stop, before any stop has been observed."""
USUAL_STOP_S = 0.4
"""Usual time for a run to stop, before any stop has been observed; :data:`DEFAULT_STOP_S` errs to
the long side."""
LOAN_GRACE_S = 0.4
"""A borrower may be expected to end this much later than the stops."""
MAX_DELAYS = 2
"""A step lends no more after its borrowers have delayed it this often."""
MAX_SAMPLES = 16
"""Number of latest stops, and of latest runs of each queue, that are kept as samples."""


class Lending:
    """Decides which work may borrow, by how long earlier runs and stops took.

    :param time_factor: returns how long work takes on a worker, relative to a usual one.
    """

    def __init__(self, time_factor: Callable[[Worker], float]) -> None:
        self._time_factor = time_factor
        self._stops_s: deque[float] = deque(maxlen=MAX_SAMPLES)
        self._runs_s: dict[str, deque[float]] = {}

    def note_stopped(self, run: Run, now: float) -> None:
        """Record that a run has stopped as ordered."""
        if run.awaited_s is not None:
            self._stops_s.append(now - run.awaited_s)

    @property
    def usual_stop_s(self) -> float:
        """Seconds that a stop usually takes, by those observed."""
        return median(self._stops_s) if self._stops_s else USUAL_STOP_S

    def note_done(self, run: Run, now: float) -> None:
        """Record that a run has ended successfully."""
        if run.started_s is not None:
            # In seconds of a usual worker, since the next run may be on a faster or slower one.
            samples = self._runs_s.setdefault(_queue(run.task.step), deque(maxlen=MAX_SAMPLES))
            samples.append((now - run.started_s) / run.time_factor)

    def lenders(
        self, step: StepState, reservations: Iterable[Reservation], now: float
    ) -> frozenset[str]:
        """Ids of workers on which a step may borrow what is reserved for others.

        A worker counts only if all reservations on it may lend.
        """
        held = list(reservations)
        expected_s = self._expected_run_s(step)
        run_s = self._observed_run_s(step, held, now) if expected_s is None else expected_s
        lending: set[str] = set()
        closed: set[str] = set()
        for each in held:
            is_open = each.step is not step and (each.awaits_stops or expected_s is not None)
            worker_run_s = run_s * max(map(self._time_factor, each.places))
            fits = is_open and worker_run_s < self._lendable_s(each, now) + LOAN_GRACE_S
            (lending if fits else closed).update(worker.worker_id for worker in each.places)
        return frozenset(lending - closed)

    def _expected_run_s(self, step: StepState) -> float | None:
        """Expected seconds that a run of a step takes on a usual worker; ``None`` if unknown."""
        if step.step.long_running:
            return math.inf
        if step.step.estimate_ms:
            return step.step.estimate_ms / 1000
        return max(self._runs_s.get(_queue(step), ()), default=None)

    def _observed_run_s(self, step: StepState, held: Iterable[Reservation], now: float) -> float:
        """Longest time that a current borrower of the step's queue has run so far.

        In seconds of a usual worker.
        """
        lent = (run for each in held for run in each.borrowers)
        alike = (run for run in lent if _queue(run.task.step) == _queue(step))
        return max(((now - run.assigned_s) / run.time_factor for run in alike), default=0.0)

    def _lendable_s(self, held: Reservation, now: float) -> float:
        """Seconds for which a reservation may still lend: until its last stop is expected to end.

        Negative infinity if it may not lend.
        """
        if held.step.times_delayed >= MAX_DELAYS:
            return -math.inf
        return max((self._remaining_stop_s(run, now) for run in held.stopping), default=-math.inf)

    def _remaining_stop_s(self, run: Run, now: float) -> float:
        """Seconds until a run is expected to have stopped.

        Estimated by the median of the earlier stops that took longer than this one has so far. A
        stop that has taken twice as long as any before is expected to take as long again.
        """
        elapsed_s = 0.0 if run.awaited_s is None else now - run.awaited_s
        stops_s = self._stops_s or (DEFAULT_STOP_S,)
        if elapsed_s > 2 * max(stops_s):
            return elapsed_s
        longer_s = [stop_s for stop_s in stops_s if stop_s > elapsed_s]
        return median(longer_s) - elapsed_s if longer_s else 0.0


def _queue(step: StepState) -> str:
    return step.occurrence.job.accepted.queue
