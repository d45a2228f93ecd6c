"""What the planner needs of the board: jobs' standing, workers, and ways to decide."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from saddlestack.policy.cluster.jobs import Job, Run, StepState, Task
from saddlestack.policy.cluster.workers import Worker


class PlannerContext(Protocol):
    """The board as its planner sees it."""

    def guaranteed(self, account: str) -> int:
        """Accelerators that an account owns for jobs of priority 0."""
        ...

    def service_of(self, job: Job) -> str:
        """The service whose workers run a job's tasks."""
        ...

    def is_advised(self, job: Job) -> bool:
        """Whether a start of a job's tasks needs the adviser's leave."""
        ...

    def request_advice(self, step: StepState, workers: tuple[str, ...]) -> None:
        """Have the adviser asked which of some workers may run a step."""
        ...

    def assign(self, task: Task, worker: Worker, number: int, now: float) -> None:
        """Give a run of a task to a worker."""
        ...

    def preempt(self, run: Run, job: Job) -> None:
        """Stop a run, and its gang, for a job that may take the room back."""
        ...

    def is_worker_reachable(self, run: Run) -> bool:
        """Whether a run is on a worker that answers."""
        ...

    def members(self, run: Run) -> Sequence[Run]:
        """The runs that stop together with a run."""
        ...
