"""The tasks of the step being placed that a planning round may start like any others."""

from __future__ import annotations

from collections.abc import Collection, Iterator

from saddlestack.policy.cluster.jobs import StepState, Task
from saddlestack.policy.cluster.waiting import is_waiting


class OpenTasks:
    """Tells which tasks are to be started, and need not be isolated."""

    def __init__(self) -> None:
        self._isolated: set[Task] = set()

    def clear(self) -> None:
        """Forget which tasks have to be isolated, before another step is placed."""
        self._isolated.clear()

    def isolate(self, tasks: Collection[Task]) -> None:
        """Exclude tasks of the step being placed that have to be started in isolation."""
        self._isolated.update(tasks)

    def reopen(self, tasks: Collection[Task]) -> None:
        """Allow the start of tasks that need not be isolated after all."""
        self._isolated.difference_update(tasks)

    def is_open(self, task: Task) -> bool:
        """Whether a task is to be started, and need not be isolated."""
        return is_waiting(task) and task not in self._isolated

    def of(self, step: StepState) -> Iterator[Task]:
        """Yield the tasks of a step that are to be started, and need not be isolated."""
        return filter(self.is_open, step.tasks)
