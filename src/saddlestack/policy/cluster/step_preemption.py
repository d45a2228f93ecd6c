"""Stops of other work for a step, and the resources that are reserved for it meanwhile.

A reservation holds the resources until the preempted runs have stopped. Its free part may be lent,
and the stops of runs that are about to end by themselves may be deferred.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Collection, Sequence

from saddlestack.policy.cluster.candidates import Candidates
from saddlestack.policy.cluster.deferred_stops import DeferredStops
from saddlestack.policy.cluster.gang_priority import GangPriority
from saddlestack.policy.cluster.isolation import Isolation
from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.lending import Lending
from saddlestack.policy.cluster.open_tasks import OpenTasks
from saddlestack.policy.cluster.places import Places
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.preemption import Preemption, Preemptor
from saddlestack.policy.cluster.reservations import (
    Reservation,
    Reservations,
    is_loan_due,
    is_overdue,
)
from saddlestack.policy.cluster.shapes import FailedShapes
from saddlestack.policy.cluster.stalled import StalledPlacement
from saddlestack.policy.cluster.victims import MayStop, loses_work_if_stopped
from saddlestack.policy.cluster.workers import Worker


class StepPreemption:
    """Preempts runs for steps, and holds the resources that this frees until the steps start."""

    def __init__(
        self,
        cluster_state: PlannerContext,
        candidates: Candidates,
        reservations: Reservations,
        lending: Lending,
        gang_priority: GangPriority,
        isolation: Isolation,
        stalled: StalledPlacement,
        failed_shapes: FailedShapes,
        open_tasks: OpenTasks,
    ) -> None:
        self._cluster_state = cluster_state
        self._candidates = candidates
        self._reservations = reservations
        self._lending = lending
        self._gang_priority = gang_priority
        self._isolation = isolation
        self._stalled = stalled
        self._failed_shapes = failed_shapes
        self._open_tasks = open_tasks
        self._deferred = DeferredStops(cluster_state.members, cluster_state.is_worker_reachable)
        self._counts: Counter[str] = Counter()

    def begin_round(self, now: float) -> None:
        """Release the reservations that have expired, and spare the victims that they awaited."""
        self._reservations.release_expired(now)
        self._deferred.release_all_but(self.has_reservation)

    def next_stop_s(self, now: float) -> float | None:
        """When the next deferred stop is due; ``None`` if none was deferred."""
        return self._deferred.next_due_s(now)

    def take_counts(self) -> Counter[str]:
        """Return what to add to the counters of the metrics since the last call, by name."""
        counts, self._counts = self._counts, Counter[str]()
        counts["preemptions_spared"] = self._deferred.take_spared()
        return counts

    def is_stoppable(self, run: Run, now: float) -> bool:
        """Whether a run may be stopped for the sake of others at all."""
        return not is_overdue(run, now) and not self.must_continue(run)

    def must_continue(self, run: Run) -> bool:
        """Whether a run is isolated, or may not be started again as often as any other."""
        return loses_work_if_stopped(run) or run.isolated or self._isolation.has_limited_starts(run)

    # Preemption

    def preempt(
        self,
        step: StepState,
        places: Places,
        entitled: Collection[str],
        now: float,
        max_loss: float = math.inf,
    ) -> None:
        """Stop the runs whose stop is cheapest so that a step fits, and reserve their resources.

        :param places: the workers that the step may run on.
        :param entitled: ids of top-priority jobs that are within their account's guarantee.
        :param max_loss: core-seconds that the stops may lose at most.
        """
        found = self._search(step, places, self._may_stop(step, entitled, now), now)
        if found is None or found.lost > max_loss:
            return
        victims = [run for run in found.victims if step not in run.lent_by]
        for run in self._stops_at_once(step, victims, now):
            self._cluster_state.preempt(run, step.occurrence.job)
        self._reclaim_loans(self._reservations.reserve(step, found.places, now), now)

    def _may_stop(self, step: StepState, entitled: Collection[str], now: float) -> MayStop:
        """Test for runs that may be stopped for a step."""
        job = step.occurrence.job
        is_entitled = job.job_id in entitled

        def may_stop(run: Run) -> bool:
            other = run.task.step.occurrence.job
            if other is job or not self.is_stoppable(run, now):
                return False
            if run.stopping or step in run.lent_by or other.priority > job.priority:
                return True
            return is_entitled and other.job_id not in entitled

        return may_stop

    def _search(
        self, step: StepState, places: Places, may_stop: MayStop, now: float
    ) -> Preemption | None:
        """Search room for all tasks of a step that wait, or else for one if it is not a gang."""
        wanted = sum(1 for _ in self._open_tasks.of(step))
        searched = list(places.domains(wanted))

        def returns_loan(run: Run) -> bool:
            return step in run.lent_by

        def search(wanted: int) -> Preemption | None:
            def cheapest(may_stop: MayStop) -> Preemption | None:
                preemptor = Preemptor(self._cluster_state.members, may_stop, returns_loan, now)
                return preemptor.cheapest(step, wanted, searched)

            return self._gang_priority.least_harmful(cheapest, may_stop, step)

        found = search(wanted)
        if found is None and not step.step.gang:
            found = search(1)
        return found

    def _stops_at_once(self, step: StepState, victims: list[Run], now: float) -> list[Run]:
        """The victims to stop now; with the option on, those about to end have some more time."""
        if not self._gang_priority.is_enabled:
            return victims
        return self._deferred.defer(step, victims, self._lending.usual_stop_s, now)

    def preempt_for_gang(self, step: StepState, now: float) -> None:
        """Stop work of lower priority on the workers that are kept for a gang, if it is due."""
        victims = self._gang_priority.victims(
            step,
            lambda: self._candidates.places(step, now),
            lambda run: self.is_stoppable(run, now),
            now,
        )
        self._preempt_awaited(step, victims, now)
        self._counts["gang_preemptions"] += len(victims)

    def _preempt_awaited(self, step: StepState, victims: Sequence[Run], now: float) -> None:
        """Stop runs for a step, and note since when their resources are waited for."""
        for run in victims:
            self._cluster_state.preempt(run, step.occurrence.job)
            run.awaited_s = now if run.awaited_s is None else run.awaited_s

    # Reservations

    def has_reservation(self, step: StepState) -> bool:
        """Whether resources are reserved for a step."""
        return self._reservations.of(step) is not None

    def take_reserved(self, step: StepState, now: float) -> list[Worker] | None:
        """Release the reservation of a step once it is free, and return its workers.

        Until then the stops and loans that delay it are followed up, and approvals that expire
        meanwhile are requested again.

        :return: ``None`` if the step has no reservation or still has to wait for it.
        """
        held = self._reservations.of(step)
        if held is None or held.is_suspected:
            return None
        is_approved = self._candidates.has_approval(step, held.places, now)
        if not held.is_free:
            if self._stop_deferred(step, now):
                self._reclaim_loans(held, now)
            return None
        if not is_approved:
            return None
        places = held.places
        self.release(step)
        return places

    def release(self, step: StepState) -> None:
        """Release what is held for a step that starts, is finished or looks for other room."""
        self._deferred.release(step)
        self._gang_priority.release(step)
        if self._reservations.release(step):
            self._note_released()

    def task_started(self, step: StepState, worker: Worker) -> None:
        """Release what a step needs no more now that a task of it has started on a worker."""
        if self._reservations.release_surplus(step, worker):
            self._note_released()

    def _note_released(self) -> None:
        """Note that resources were released, so that steps may fit that did not in this round."""
        self._failed_shapes.clear()
        self._gang_priority.note_released()
        self._stalled.note_released()

    def _stop_deferred(self, step: StepState, now: float) -> bool:
        """Stop the victims of a step that have not ended by themselves as expected.

        :return: whether they may still be stopped; otherwise the step has to look for other room.
        """
        due = self._deferred.take_due(step, now)
        members = [each for run in due for each in self._cluster_state.members(run)]
        if not all(self.is_stoppable(each, now) for each in members):
            self.release(step)
            return False
        self._preempt_awaited(step, due, now)
        return True

    def _reclaim_loans(self, held: Reservation, now: float) -> None:
        """Preempt the borrowers of a reservation once they alone have delayed the step too long."""
        if held.awaits_stops:
            return
        for run in held.borrowers:
            if run.awaited_s is None:
                run.awaited_s = now
        due = [run for run in held.borrowers if is_loan_due(run, held.step, now)]
        for run in due:
            self._cluster_state.preempt(run, held.step.occurrence.job)
            run.awaited_s = now
        held.step.times_delayed += bool(due)
