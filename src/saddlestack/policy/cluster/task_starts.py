"""Starts of single tasks and of whole gangs on workers that were chosen for them."""

from __future__ import annotations

from saddlestack.policy.cluster.candidates import Candidates
from saddlestack.policy.cluster.index import CapacityIndex
from saddlestack.policy.cluster.jobs import StepState, Task
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.reservations import Reservations
from saddlestack.policy.cluster.speed_rank import exceeds, known_factor
from saddlestack.policy.cluster.stalled import StalledPlacement
from saddlestack.policy.cluster.step_preemption import StepPreemption
from saddlestack.policy.cluster.victims import is_reclaimable
from saddlestack.policy.cluster.workers import Worker


class TaskStarts:
    """Assigns tasks to workers, and counts the starts of a round."""

    def __init__(
        self,
        cluster_state: PlannerContext,
        index: CapacityIndex,
        candidates: Candidates,
        reservations: Reservations,
        preemption: StepPreemption,
        stalled: StalledPlacement,
    ) -> None:
        self._cluster_state = cluster_state
        self._index = index
        self._candidates = candidates
        self._reservations = reservations
        self._preemption = preemption
        self._stalled = stalled
        self._count = 0

    @property
    def count(self) -> int:
        """Number of starts in this round."""
        return self._count

    def begin_round(self) -> None:
        """Reset the number of starts."""
        self._count = 0

    def assign_next(self, task: Task, worker: Worker, now: float) -> None:
        """Assign the next run of a task to a worker."""
        self.assign(task, worker, task.record.run + 1, now)

    def assign(self, task: Task, worker: Worker, number: int, now: float) -> None:
        """Assign a new run of a task to a worker.

        :param number: number of the run.
        """
        self._count += 1
        self._stalled.note_started(task.name.job_id)
        is_above_limit = self._is_above_limit(task.step, worker, now)
        self._cluster_state.assign(task, worker, number, now)
        self._preemption.task_started(task.step, worker)
        task.step.preempts_since_s = None
        task.step.times_delayed = 0
        if task.run is not None and worker.is_overbooked and is_reclaimable(task.run):
            task.run.lent_by = self._reservations.lenders(worker)
        if task.run is not None:
            task.run.above_limit = is_above_limit
            task.run.time_factor = self._index.time_factor(worker)

    def assign_gang(self, step: StepState, places: list[Worker], now: float) -> None:
        """Assign a gang to workers, one for each task."""
        number = step.next_run
        for task, worker in zip(step.tasks, places, strict=True):
            self.assign(task, worker, number, now)
        runs = [task.run for task in step.tasks if task.run is not None]
        lenders = frozenset[StepState]().union(*(run.lent_by for run in runs))
        for run in runs:
            run.lent_by = lenders

    def _is_above_limit(self, step: StepState, worker: Worker, now: float) -> bool:
        """Whether a worker is known to be slower than the speed limit of a step."""
        if not exceeds(known_factor(worker), 1.0):
            return False
        limit = self._candidates.speed_limit(step, now)
        return limit is not None and not limit.allows(worker)
