"""Room for the restart of a running gang that a slow worker makes late."""

from __future__ import annotations

from collections.abc import Sequence

from saddlestack.policy.cluster.candidates import Candidates
from saddlestack.policy.cluster.index import CapacityIndex
from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.placement import domains
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.preemption import Preemptor
from saddlestack.policy.cluster.reservations import Reservations
from saddlestack.policy.cluster.slow_restarts import RestartRoom, SlowGang
from saddlestack.policy.cluster.step_preemption import StepPreemption
from saddlestack.policy.cluster.victims import Harm, harm_of


class GangRestarts:
    """Finds and reserves the workers for restarts of slow gangs."""

    def __init__(
        self,
        cluster_state: PlannerContext,
        index: CapacityIndex,
        candidates: Candidates,
        reservations: Reservations,
        preemption: StepPreemption,
    ) -> None:
        self._cluster_state = cluster_state
        self._index = index
        self._candidates = candidates
        self._reservations = reservations
        self._preemption = preemption

    def places(
        self, step: StepState, members: Sequence[Run], slow_gang: SlowGang, now: float
    ) -> RestartRoom | None:
        """Where a running gang fits after its stop; ``None`` if it must not be stopped.

        The room is free now, held by the gang itself, or else held by bulk work that is stopped
        together with the gang. There is no restart of a gang whose starts are limited or need
        approval.
        """
        if self._cluster_state.is_advised(step.occurrence.job) or self._reservations.of(step):
            return None
        if any(self._preemption.must_continue(run) for run in members):
            return None
        with self._index.without_refresh():
            places = self._candidates.restart_places(step, members, slow_gang, now)
            if places is not None:
                return RestartRoom(places, [])
            workers = self._candidates.restart_workers(step, slow_gang, now)
        own = set(members)

        def may_stop(run: Run) -> bool:
            is_bulk = harm_of(run) is Harm.BULK
            return run in own or (is_bulk and self._preemption.is_stoppable(run, now))

        # Stopping the gang's own runs loses nothing more than the restart itself does.
        preemptor = Preemptor(self._cluster_state.members, may_stop, own.__contains__, now)
        found = preemptor.cheapest(step, step.step.count, domains(step, workers))
        if found is None:
            return None
        return RestartRoom(found.places, [run for run in found.victims if run not in own])

    def reserve(self, step: StepState, room: RestartRoom, now: float) -> None:
        """Reserve workers for a gang until its runs and those in its way have stopped."""
        for run in room.victims:
            self._cluster_state.preempt(run, step.occurrence.job)
        self._reservations.reserve(step, room.places, now)
