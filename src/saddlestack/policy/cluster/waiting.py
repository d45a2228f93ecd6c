"""Queue of waiting steps: which steps may start, since when they wait, and their order."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from sortedcontainers import SortedKeyList

from saddlestack.policy.cluster.jobs import TOP_PRIORITY, Job, Occurrence, StepState, Task
from saddlestack.policy.cluster.records import TaskStatus

MAX_TASKS_OPENED_PER_ROUND = 1_000
"""A round opens no further occurrence after this many tasks, since thousands of occurrences may be
due at once."""

_Order = tuple[int, int]
"""Sort key: priority, then when the job was accepted. Equal steps keep their order of arrival."""

_Due = tuple[int, int, Job, Occurrence | None]
"""When an occurrence is due in milliseconds since 1970, a number that breaks ties, its job, and the
occurrence; ``None`` stands for the job's next one, which is not opened yet."""

Guaranteed = Callable[[str], int]
"""Returns the accelerators that are guaranteed to a client account for jobs of top priority."""


class WaitingSteps:
    """Ordered steps that may have waiting tasks. Steps that run or are over cost nothing here."""

    def __init__(self) -> None:
        self._steps: SortedKeyList[StepState, _Order] = SortedKeyList(key=_order)
        self._queued: set[StepState] = set()
        self._newly_queued: list[StepState] = []
        self._due: list[_Due] = []
        self._top_jobs: dict[str, Job] = {}
        self._count = 0

    def add(self, job: Job) -> None:
        """Queue the steps of a job that may start, unless the job is over."""
        if job.over:
            return
        if job.priority == TOP_PRIORITY:
            self._top_jobs[job.job_id] = job
        for occurrence in job.occurrences:
            if not occurrence.open:
                continue
            if occurrence.due_ms:
                self._await(occurrence.due_ms, job, occurrence)
            else:
                self._open(occurrence)
        self._await_next(job)

    def has_due(self, wall_ms: float) -> bool:
        """Whether occurrences that are due have yet to be opened."""
        return bool(self._due) and self._due[0][0] <= wall_ms

    def requeue(self, step: StepState, *, ran: bool) -> None:
        """Queue a step again whose task has to run again.

        :param ran: whether the task's last run may have begun; otherwise the step counts as having
            waited throughout.
        """
        if ran:
            step.stalled_since_s = None
        self._add(step)
        if step in self._queued:
            self._newly_queued.append(step)

    def remove(self, step: StepState) -> None:
        """Remove a step of which no task waits any more, or none may start."""
        if step in self._queued:
            self._queued.discard(step)
            self._steps.remove(step)

    def step_finished(self, step: StepState) -> None:
        """Queue the steps that may start now that a step is finished."""
        for later in step.occurrence.steps:
            if step.number in later.step.after:
                self._add(later)

    def in_order(self, now: float, wall_ms: float, entitled: set[str]) -> list[StepState]:
        """Steps that may have tasks to start, the first to be placed first.

        :param entitled: ids of top-priority jobs that are within their account's guarantee.
        """
        self._open_due(wall_ms)
        for step in self._newly_queued:
            if step.stalled_since_s is None:
                step.stalled_since_s = now
            if step.waiting_since_s is None:
                step.waiting_since_s = now
        self._newly_queued.clear()
        top = self._steps.bisect_key_left((TOP_PRIORITY + 1, 0))
        urgent = sorted(
            self._steps[:top], key=lambda step: step.occurrence.job.job_id not in entitled
        )
        return urgent + self._steps[top:]

    def entitled(self, guaranteed: Guaranteed) -> set[str]:
        """Ids of top-priority jobs that are within their account's guarantee."""
        for job_id in [job_id for job_id, job in self._top_jobs.items() if job.over]:
            del self._top_jobs[job_id]
        found: set[str] = set()
        left: dict[str, int] = {}
        for job in sorted(self._top_jobs.values(), key=lambda job: job.accepted.accepted_ms):
            account = job.accepted.account
            available = left.get(account)
            if available is None:
                available = guaranteed(account)
            left[account] = available - job.accelerators
            if left[account] >= 0:
                found.add(job.job_id)
        return found

    def _await(self, due_ms: int, job: Job, occurrence: Occurrence | None) -> None:
        self._count += 1
        heapq.heappush(self._due, (due_ms, self._count, job, occurrence))

    def _await_next(self, job: Job) -> None:
        """Wait until the next occurrence of a job is due, if there is one."""
        due_ms = job.next_due_ms
        if due_ms is not None:
            self._await(due_ms, job, None)

    def _open_due(self, wall_ms: float) -> None:
        """Open occurrences that are due; :meth:`has_due` tells whether some are left."""
        opened = 0
        while self.has_due(wall_ms) and opened < MAX_TASKS_OPENED_PER_ROUND:
            _, _, job, occurrence = heapq.heappop(self._due)
            if job.over:
                continue
            if occurrence is None:
                occurrence = job.open_next()
                self._await_next(job)
            self._open(occurrence)
            opened += sum(len(step.tasks) for step in occurrence.steps)

    def _open(self, occurrence: Occurrence) -> None:
        if occurrence.open:
            for step in occurrence.steps:
                self._add(step)

    def _add(self, step: StepState) -> None:
        if step not in self._queued and may_start(step):
            self._queued.add(step)
            self._steps.add(step)
            self._newly_queued.append(step)


def is_waiting(task: Task) -> bool:
    """Whether a task waits to be started."""
    return task.status is TaskStatus.WAITING and task.run is None


def may_start(step: StepState) -> bool:
    """Whether tasks of a step wait and may start now."""
    if step.finished or not step.occurrence.open:
        return False
    steps = step.occurrence.steps
    if not all(steps[number].finished for number in step.step.after):
        return False
    if step.step.gang:
        return all(is_waiting(task) for task in step.tasks)
    return any(is_waiting(task) for task in step.tasks)


def _order(step: StepState) -> _Order:
    accepted = step.occurrence.job.accepted
    return accepted.priority, accepted.accepted_ms
