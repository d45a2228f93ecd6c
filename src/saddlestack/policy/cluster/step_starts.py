"""Starts of a step, whole or task by task, on workers that were found for it."""

from __future__ import annotations

from saddlestack.policy.cluster.candidates import Candidates
from saddlestack.policy.cluster.gang_priority import GangPriority
from saddlestack.policy.cluster.headroom_gate import HeadroomGate
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.open_tasks import OpenTasks
from saddlestack.policy.cluster.places import ListedPlaces, Places, WorkerChoice
from saddlestack.policy.cluster.shapes import FailedShapes
from saddlestack.policy.cluster.step_preemption import StepPreemption
from saddlestack.policy.cluster.task_starts import TaskStarts


class StepStarts:
    """Starts steps where they fit, and records the shapes of those that do not."""

    def __init__(
        self,
        candidates: Candidates,
        starts: TaskStarts,
        preemption: StepPreemption,
        headroom: HeadroomGate,
        gang_priority: GangPriority,
        failed_shapes: FailedShapes,
        open_tasks: OpenTasks,
    ) -> None:
        self._candidates = candidates
        self._starts = starts
        self._preemption = preemption
        self._headroom = headroom
        self._gang_priority = gang_priority
        self._failed_shapes = failed_shapes
        self._open_tasks = open_tasks

    def place_on(self, step: StepState, shape: int | None, places: Places, now: float) -> bool:
        """Start a gang, or the tasks of another step one by one, within the headroom.

        :param shape: recorded as failed if it does not fit.
        :return: whether all tasks that wait have started.
        """
        if step.step.gang:
            return self._place_gang(step, shape, places, now)
        return self._place_tasks(step, shape, places, now)

    def place_first(self, step: StepState, choice: WorkerChoice, now: float) -> bool:
        """Place a gang, or one task of a step without a gang."""
        if step.step.gang:
            chosen = choice.choose_gang()
            if chosen is None:
                return False
            self._preemption.release(step)
            self._starts.assign_gang(step, chosen, now)
            return True
        for task in self._open_tasks.of(step):
            worker = choice.choose_worker(task.avoid)
            if worker is not None:
                self._starts.assign_next(task, worker, now)
                return True
        return False

    def place_on_cleared(self, step: StepState, now: float) -> bool:
        """Start a gang on the workers that room was made on for it, if it fits there by now.

        Others that it fits on are left to urgent work.
        """
        cleared = self._gang_priority.cleared(step)
        chosen = ListedPlaces(step, cleared).choose_gang() if cleared else None
        if chosen is None or not self._headroom.allows(step, chosen, now):
            return False
        if not self._candidates.has_approval(step, chosen, now):
            return False
        self._preemption.release(step)
        self._starts.assign_gang(step, chosen, now)
        return True

    def place_on_reserved(self, step: StepState, now: float) -> bool:
        """Start tasks whose reserved resources are free; ``True`` if all that wait have started."""
        places = self._preemption.take_reserved(step, now)
        if places is None:
            return False
        if step.step.gang:
            self._starts.assign_gang(step, places, now)
            return True
        waiting = list(self._open_tasks.of(step))
        for task, worker in zip(waiting, places, strict=False):
            self._starts.assign_next(task, worker, now)
        return len(waiting) <= len(places)

    def _place_gang(self, step: StepState, shape: int | None, places: Places, now: float) -> bool:
        chosen = places.choose_gang()
        if chosen is None:
            self._failed_shapes.note_full(shape)
            return False
        if not self._headroom.allows(step, chosen, now):
            self._failed_shapes.note_headroom_closed(shape, step.waited_s(now))
            return False
        self._preemption.release(step)
        self._starts.assign_gang(step, chosen, now)
        return True

    def _place_tasks(self, step: StepState, shape: int | None, places: Places, now: float) -> bool:
        """Place tasks one by one. A task that avoids all free workers does not block the others."""
        left = False
        for task in self._open_tasks.of(step):
            worker = places.choose_worker(task.avoid)
            if worker is None and task.avoid:
                left = True
                continue
            if worker is None:
                self._failed_shapes.note_full(shape)
                return False
            if not self._headroom.allows(step, [worker], now):
                self._failed_shapes.note_headroom_closed(shape, step.waited_s(now))
                return False
            self._starts.assign_next(task, worker, now)
        if left:
            return False
        self._preemption.release(step)
        return True
