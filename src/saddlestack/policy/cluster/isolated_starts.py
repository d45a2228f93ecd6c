"""Starts of tasks that may crash their workers, on workers where they run alone."""

from __future__ import annotations

from collections.abc import Sequence

from saddlestack.policy.cluster.candidates import Candidates
from saddlestack.policy.cluster.isolation import IsolatedPlacement, Isolation, IsolationPool
from saddlestack.policy.cluster.jobs import StepState, Task
from saddlestack.policy.cluster.open_tasks import OpenTasks
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.step_preemption import StepPreemption
from saddlestack.policy.cluster.task_starts import TaskStarts
from saddlestack.policy.cluster.wait_limits import is_idle
from saddlestack.policy.cluster.workers import Worker

MAX_ISOLATED_PER_ROUND = 20
"""Tasks or gangs that are to be isolated for which a round searches all workers. If more wait, the
next round goes on with those that were not searched for."""


class IsolatedStarts:
    """Starts the suspects of each step in isolation, for a bounded number of searches in a round.

    :param open_tasks: told which tasks of the step are not to be started like any others.
    """

    def __init__(
        self,
        cluster_state: PlannerContext,
        candidates: Candidates,
        isolation: Isolation,
        preemption: StepPreemption,
        starts: TaskStarts,
        open_tasks: OpenTasks,
    ) -> None:
        self._cluster_state = cluster_state
        self._candidates = candidates
        self._isolation = isolation
        self._preemption = preemption
        self._starts = starts
        self._open_tasks = open_tasks
        self._first_searched = 0
        self._seen = 0
        self._placed = 0

    def begin_round(self) -> None:
        """Choose the tasks or gangs to search for in this round, by their position."""
        searched = min(self._seen - self._first_searched, MAX_ISOLATED_PER_ROUND)
        self._first_searched += searched - self._placed
        if self._first_searched >= self._seen - self._placed:
            self._first_searched = 0
        self._seen = 0
        self._placed = 0

    def start(self, step: StepState, now: float) -> bool:
        """Start tasks of a step that may crash their workers in isolation.

        Tasks with unconfirmed crashes that have used up their starts are not started at all.

        :return: whether the step has other tasks to start.
        """
        self._open_tasks.clear()
        held = self._isolation.held_tasks(step, now)
        suspects = [task for task in self._isolation.suspects(step) if task not in held]
        if not held and not suspects:
            return True
        self._preemption.release(step)
        self._open_tasks.isolate([*held, *suspects])
        if suspects:
            self._start_isolated(step, suspects, now)
        return any(map(self._open_tasks.is_open, step.tasks))

    def _start_isolated(self, step: StepState, suspects: Sequence[Task], now: float) -> None:
        pool = self._service_pool(step)
        eligible: list[Worker] | None = None
        for tasks in [suspects] if step.step.gang else [[task] for task in suspects]:
            self._isolation.note_waiting(tasks, now)
            if not self._is_turn_of_next():
                continue
            if eligible is None:
                eligible = self._eligible(step, len(suspects), now)
            found = self._isolation.find(tasks, eligible, pool, now)
            if found.places:
                self._placed += 1
                self._assign(tasks, found, now)
                eligible = [worker for worker in eligible if not worker.isolating]
            elif not found.must_wait:
                self._open_tasks.reopen(tasks)

    def _is_turn_of_next(self) -> bool:
        """Whether this round searches for the next task or gang; counts it."""
        position = self._seen - self._first_searched
        self._seen += 1
        return 0 <= position < MAX_ISOLATED_PER_ROUND

    def _service_pool(self, step: StepState) -> IsolationPool:
        service_capacity = self._candidates.service_capacity(step)
        job = step.occurrence.job
        return IsolationPool(
            self._cluster_state.service_of(job),
            service_capacity.count,
            is_idle(service_capacity),
            not self._cluster_state.is_advised(job),
        )

    def _eligible(self, step: StepState, wanted: int, now: float) -> list[Worker]:
        """Workers that may run a step's tasks, regardless of the step's preferences.

        :param wanted: number of tasks to be isolated, none of which counts as one to start.
        """
        eligible = self._candidates.eligible(self._candidates.fit(step), now)
        if self._cluster_state.is_advised(step.occurrence.job):
            eligible = self._candidates.with_approval(step, eligible, now, wanted)
        return eligible

    def _assign(self, tasks: Sequence[Task], found: IsolatedPlacement, now: float) -> None:
        number = max(task.record.run for task in tasks) + 1
        for task, worker in zip(tasks, found.places, strict=True):
            self._starts.assign(task, worker, number, now)
            if task.run is not None:
                task.run.isolated = found.alone
