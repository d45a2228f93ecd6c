"""The part of the cluster state that the planner uses."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from saddlestack.policy.cluster.jobs import Job, Run, StepState, Task
from saddlestack.policy.cluster.speed_limits import WorkTimes
from saddlestack.policy.cluster.workers import Worker


class PlannerContext(Protocol):
    """Queries and decisions that the planner passes to the cluster state."""

    @property
    def work_times(self) -> WorkTimes:
        """Source of the expected duration of work."""
        ...

    def guaranteed(self, account: str) -> int:
        """Accelerators that are guaranteed to an account for jobs of priority 0."""
        ...

    def service_of(self, job: Job) -> str:
        """The service whose workers run a job's tasks."""
        ...

    def is_advised(self, job: Job) -> bool:
        """Whether starts of a job's tasks need the adviser's approval."""
        ...

    def request_advice(self, step: StepState, workers: tuple[str, ...]) -> None:
        """Queue a request to the adviser: which of these workers may run the step."""
        ...

    def assign(self, task: Task, worker: Worker, number: int, now: float) -> None:
        """Assign a new run of a task to a worker.

        :param number: number of the run.
        """
        ...

    def preempt(self, run: Run, job: Job) -> None:
        """Preempt a run, and its gang, for a job that may reclaim the resources."""
        ...

    def is_worker_reachable(self, run: Run) -> bool:
        """Whether a run's worker is reachable."""
        ...

    def members(self, run: Run) -> Sequence[Run]:
        """The runs that stop together with a run: those of its gang, or it alone."""
        ...
