"""Placement of steps on their last attempt, which wait for healthy workers."""

from __future__ import annotations

from saddlestack.policy.cluster.candidates import Candidates
from saddlestack.policy.cluster.gang_keeping import GangKeeping
from saddlestack.policy.cluster.jobs import TOP_PRIORITY, StepState
from saddlestack.policy.cluster.last_attempts import LastAttempts
from saddlestack.policy.cluster.lending import Lending
from saddlestack.policy.cluster.places import Places
from saddlestack.policy.cluster.reservations import Reservations
from saddlestack.policy.cluster.step_preemption import StepPreemption
from saddlestack.policy.cluster.step_starts import StepStarts


class HealthyPlacement:
    """Places steps on their last attempt on healthy workers only."""

    def __init__(
        self,
        candidates: Candidates,
        last_attempts: LastAttempts,
        reservations: Reservations,
        lending: Lending,
        preemption: StepPreemption,
        starts: StepStarts,
        keeping: GangKeeping,
    ) -> None:
        self._candidates = candidates
        self._last_attempts = last_attempts
        self._reservations = reservations
        self._lending = lending
        self._preemption = preemption
        self._starts = starts
        self._keeping = keeping

    def is_required(self, step: StepState, now: float) -> bool:
        """Whether a step may be placed on healthy workers only."""
        return self._last_attempts.awaits_healthy(step, now)

    def place(self, step: StepState, shape: int | None, now: float) -> None:
        """Place a step on its last attempt on healthy workers, or let it wait for them.

        Urgent work stops work of lower priority there, if the stops end within its wait. The
        workers where a normal gang fits soonest are kept for it.
        """
        healthy = self._last_attempts.healthy(now)
        held = self._reservations.of(step)
        if held is not None and not all(healthy(worker) for worker in held.places):
            self._preemption.release(step)
        if self._starts.place_on_reserved(step, now):
            return
        places = self._candidates.preferred_places(step, healthy, now)
        if self._starts.place_on(step, None, places, now):
            return
        self._last_attempts.note_waiting(step)
        if step.occurrence.job.priority == TOP_PRIORITY:
            self._preempt_in_time(step, places, now)
        elif step.step.gang:
            self._keeping.keep_among(step, shape, places)

    def _preempt_in_time(self, step: StepState, places: Places, now: float) -> None:
        """Stop other work on healthy workers if the stops end before the step's wait does."""
        left_s = self._last_attempts.until_s(step) - now
        if not self._preemption.has_reservation(step) and left_s >= self._lending.usual_stop_s:
            self._preemption.preempt(step, places, (), now)
