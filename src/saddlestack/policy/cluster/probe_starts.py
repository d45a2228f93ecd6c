"""Starts of single tasks as probes, on idle workers whose speed is to be learned."""

from __future__ import annotations

from saddlestack.policy.cluster.candidates import Candidates
from saddlestack.policy.cluster.index import ServiceCapacity
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.open_tasks import OpenTasks
from saddlestack.policy.cluster.planner_context import PlannerContext
from saddlestack.policy.cluster.probes import Probes
from saddlestack.policy.cluster.speed_limits import SpeedLimit
from saddlestack.policy.cluster.step_preemption import StepPreemption
from saddlestack.policy.cluster.task_starts import TaskStarts


class ProbeStarts:
    """Starts tasks of steps that tolerate slow workers as probes."""

    def __init__(
        self,
        cluster_state: PlannerContext,
        candidates: Candidates,
        preemption: StepPreemption,
        starts: TaskStarts,
        open_tasks: OpenTasks,
    ) -> None:
        self._cluster_state = cluster_state
        self._candidates = candidates
        self._preemption = preemption
        self._starts = starts
        self._open_tasks = open_tasks
        self._probes = Probes()

    def begin_round(self) -> None:
        """Drop the probes that have ended or whose worker is known by now."""
        self._probes.begin_round()

    def start(self, step: StepState, shape: int | None, limit: SpeedLimit, now: float) -> bool:
        """Start tasks of a step, one on each of some idle workers whose speed is to be learned.

        :return: whether the step has other tasks to start.
        """
        service_capacity = self._candidates.service_capacity(step)
        if not self._may_probe(step, shape, limit, service_capacity):
            return True
        service = self._cluster_state.service_of(step.occurrence.job)
        for task in self._open_tasks.of(step):
            idle = self._probes.candidates(service, service_capacity, now)
            worker = self._candidates.first_allowed(step, task, idle, now)
            if worker is None:
                self._probes.note_failed(shape)
                return True
            self._starts.assign_next(task, worker, now)
            self._probes.started(task, worker)
        self._preemption.release(step)
        return False

    def _may_probe(
        self,
        step: StepState,
        shape: int | None,
        limit: SpeedLimit,
        service_capacity: ServiceCapacity,
    ) -> bool:
        """Whether probes are wanted, and a step may run on workers that turn out to be slow."""
        job = step.occurrence.job
        service = self._cluster_state.service_of(job)
        if self._probes.has_failed(shape) or not self._probes.is_wanted(service, service_capacity):
            return False
        if self._preemption.has_reservation(step) or self._cluster_state.is_advised(job):
            return False
        return self._probes.tolerates_slow(step, limit, service_capacity.known_factors)
