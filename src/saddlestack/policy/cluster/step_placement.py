"""Placement of one step: a sequence of attempts, from the workers it prefers to preemption."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass

from saddlestack.policy.cluster.candidates import Candidates
from saddlestack.policy.cluster.gang_keeping import GangKeeping
from saddlestack.policy.cluster.gang_priority import GangPriority
from saddlestack.policy.cluster.healthy_placement import HealthyPlacement
from saddlestack.policy.cluster.isolated_starts import IsolatedStarts
from saddlestack.policy.cluster.jobs import TOP_PRIORITY, StepState
from saddlestack.policy.cluster.placement import whole_racks
from saddlestack.policy.cluster.places import ListedPlaces, Places
from saddlestack.policy.cluster.probe_starts import ProbeStarts
from saddlestack.policy.cluster.shapes import FailedShapes
from saddlestack.policy.cluster.speed_limits import SpeedLimit
from saddlestack.policy.cluster.stalled import StalledPlacement
from saddlestack.policy.cluster.step_preemption import StepPreemption
from saddlestack.policy.cluster.step_shapes import StepShapeNumbers
from saddlestack.policy.cluster.step_starts import StepStarts
from saddlestack.policy.cluster.waiting import WaitingSteps, may_start
from saddlestack.policy.cluster.worker_preferences import WorkerPreferences


@dataclass(frozen=True, slots=True)
class _Request:
    """A step to be placed, and what decides which attempts are made.

    :param entitled: ids of top-priority jobs that are within their account's guarantee.
    :param any_speed: number of the step's shape at any speed.
    :param shape: number of its shape within its speed limit.
    :param limit: its speed limit, if it prefers workers for their speed.
    :param full: whether its shape has failed in this round before.
    """

    step: StepState
    entitled: Collection[str]
    now: float
    any_speed: int | None
    shape: int | None
    limit: SpeedLimit | None
    full: bool

    @property
    def is_top(self) -> bool:
        """Whether the step has top priority."""
        return self.step.occurrence.job.priority == TOP_PRIORITY

    @property
    def restricting_limit(self) -> SpeedLimit | None:
        """The speed limit, if it excludes workers."""
        return self.limit if self.limit is not None and self.limit.restricts else None


class StepPlacement:
    """Places the steps of a round one by one."""

    def __init__(
        self,
        waiting: WaitingSteps,
        candidates: Candidates,
        worker_preferences: WorkerPreferences,
        gang_priority: GangPriority,
        failed_shapes: FailedShapes,
        shapes: StepShapeNumbers,
        stalled: StalledPlacement,
        preemption: StepPreemption,
        starts: StepStarts,
        isolated: IsolatedStarts,
        probes: ProbeStarts,
        healthy: HealthyPlacement,
        keeping: GangKeeping,
    ) -> None:
        self._waiting = waiting
        self._candidates = candidates
        self._worker_preferences = worker_preferences
        self._gang_priority = gang_priority
        self._failed_shapes = failed_shapes
        self._shapes = shapes
        self._stalled = stalled
        self._preemption = preemption
        self._starts = starts
        self._isolated = isolated
        self._probes = probes
        self._healthy = healthy
        self._keeping = keeping

    def place(self, step: StepState, entitled: Collection[str], now: float) -> None:
        """Start a step's tasks where they fit, or make room for them as far as the step may.

        :param entitled: ids of top-priority jobs that are within their account's guarantee.
        """
        request = self._request(step, entitled, now)
        if not may_start(step):
            self._waiting.remove(step)
        elif self._isolated.start(step, now):
            self._place_open_tasks(request)

    def _request(self, step: StepState, entitled: Collection[str], now: float) -> _Request:
        is_top = step.occurrence.job.priority == TOP_PRIORITY
        needs = self._shapes.at_any_speed(step, now)
        any_speed = self._gang_priority.shape(step, needs)
        limit = None
        if is_top or any_speed not in self._failed_shapes.full:
            limit = self._candidates.speed_limit(step, now)
        shape = any_speed
        if limit is not None:
            shape = self._gang_priority.shape(step, self._shapes.limited(needs, limit))
        full = shape in self._failed_shapes.full
        return _Request(step, entitled, now, any_speed, shape, limit, full)

    def _place_open_tasks(self, request: _Request) -> None:
        """Try the attempts in turn until one of them has started all tasks that wait."""
        step, now = request.step, request.now
        if self._healthy.is_required(step, now):
            self._healthy.place(step, request.any_speed, now)
            return
        if self._starts.place_on_cleared(step, now) or self._place_as_probes(request):
            return
        if self._is_known_to_fail(request):
            if not self._place_without_preferences(request):
                self._keeping.keep(step, request.any_speed, now)
            return
        if self._starts.place_on_reserved(step, now) or self._place_on_preferred(request):
            return
        places = self._candidates.places(step, now)
        if self._place_on(request, places) or self._place_without_preferences(request):
            return
        self._make_room(request, places)

    # Attempts. Each returns whether no other attempt is to follow.

    def _place_as_probes(self, request: _Request) -> bool:
        if request.limit is None or request.is_top:
            return False
        return not self._probes.start(request.step, request.any_speed, request.limit, request.now)

    def _is_known_to_fail(self, request: _Request) -> bool:
        """Whether the step need not be tried, since one of its shape has failed in this round.

        Urgent work is tried anyway, since it may stop other work.
        """
        if request.is_top:
            return False
        waited_s = request.step.waited_s(request.now)
        return request.full or self._failed_shapes.is_headroom_closed(request.shape, waited_s)

    def _place_on_preferred(self, request: _Request) -> bool:
        """Place a step on preferred workers only, if there are such and it fits there."""
        if request.full:
            return False
        step, now = request.step, request.now
        for preferred in self._worker_preferences.preferences(step, now):
            listed = self._candidates.listed(step, now)
            eligible = self._candidates.within_limit(step, listed, now)
            chosen = [worker for worker in eligible if preferred(worker)]
            if step.step.gang and step.step.same_rack:
                chosen = whole_racks(step, chosen)
            if chosen and self._starts.place_on(step, None, ListedPlaces(step, chosen), now):
                return True
        return False

    def _place_on(self, request: _Request, places: Places) -> bool:
        """Place a step on any workers that it may run on."""
        limit = request.restricting_limit
        if limit is not None:
            return self._place_limited(request, limit, places)
        step, shape = request.step, request.shape
        if not request.full and self._starts.place_on(step, shape, places, request.now):
            return True
        if shape in self._failed_shapes.full:
            self._failed_shapes.note_full(request.any_speed)
        return False

    def _place_limited(self, request: _Request, limit: SpeedLimit, places: Places) -> bool:
        """Place a step with a speed limit: within it, after preemptions, or at last above it."""
        step, now = request.step, request.now
        may_exceed = limit.relaxed and not request.is_top
        if self._place_within_limit(request, None if may_exceed else request.shape, places):
            return True
        if not self._preemption.has_reservation(step):
            if request.is_top:
                own_work = self._candidates.core_seconds(step)
                self._preemption.preempt(step, places, (), now, max_loss=own_work)
                if self._preemption.has_reservation(step):
                    return True
            if limit.relaxed:
                above = self._candidates.places_above_limit(step, limit, now)
                noted = None if request.is_top else request.shape
                if self._starts.place_on(step, noted, above, now):
                    return True
        if may_exceed and request.shape in self._failed_shapes.full:
            self._failed_shapes.note_full(request.any_speed)
        return False

    def _place_within_limit(self, request: _Request, noted: int | None, places: Places) -> bool:
        """Place a step within its speed limit.

        :param noted: the shape to record as failed if it does not fit.
        """
        if request.shape in self._failed_shapes.full:
            return False
        return self._starts.place_on(request.step, noted, places, request.now)

    def _place_without_preferences(self, request: _Request) -> bool:
        """Place work of a job that would stall although the pool is mostly free.

        Data locality, a single rack, the headroom, workers kept for gangs and recent failures on
        workers are ignored. Of a step without a gang one task is placed, so that the others can
        still get better places.
        """
        step, now = request.step, request.now
        choices = self._stalled.choices(step, now)
        return any(self._starts.place_first(step, choice, now) for choice in choices)

    def _make_room(self, request: _Request, places: Places) -> None:
        """Keep workers for a gang, or stop other work for an urgent step."""
        step, now = request.step, request.now
        limit = request.restricting_limit
        if not request.is_top:
            self._keeping.keep(step, request.any_speed, now)
        elif self._preemption.has_reservation(step):
            return
        elif limit is None:
            self._preemption.preempt(step, places, request.entitled, now)
        elif limit.relaxed:
            above = self._candidates.places_above_limit(step, limit, now)
            self._preemption.preempt(step, above, request.entitled, now)
