"""The work that waits: which steps may start, since when they wait, and in which order."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from sortedcontainers import SortedKeyList

from saddlestack.policy.cluster.jobs import TOP_PRIORITY, Job, Occurrence, StepState, Task
from saddlestack.policy.cluster.records import TaskStatus

_Order = tuple[int, int]
"""Priority, and when the job was accepted; of equals the one that came first goes first."""

Guaranteed = Callable[[str], int]
"""Accelerators that a client account owns for jobs of top priority."""


class WaitingSteps:
    """Steps some of whose tasks may wait, in order; what runs or is over costs nothing here."""

    def __init__(self) -> None:
        self._steps: SortedKeyList[StepState, _Order] = SortedKeyList(key=_order)
        self._known: set[StepState] = set()
        self._fresh: list[StepState] = []
        self._due: list[tuple[int, int, Occurrence]] = []
        self._top: dict[str, Job] = {}
        self._count = 0

    def add(self, job: Job) -> None:
        """A job with work left."""
        if job.over:
            return
        if job.priority == TOP_PRIORITY:
            self._top[job.job_id] = job
        for occurrence in job.occurrences:
            if not occurrence.open:
                continue
            if occurrence.due_ms:
                self._count += 1
                heapq.heappush(self._due, (occurrence.due_ms, self._count, occurrence))
            else:
                self._open(occurrence)

    def requeue(self, step: StepState, *, ran: bool) -> None:
        """A task of a step waits again.

        :param ran: whether its run may have begun; else the step has waited all the while.
        """
        if ran:
            step.stalled_since_s = None
        self._add(step)
        if step in self._known:
            self._fresh.append(step)

    def remove(self, step: StepState) -> None:
        """No task of a step waits any more, or none may start."""
        if step in self._known:
            self._known.discard(step)
            self._steps.remove(step)

    def step_finished(self, step: StepState) -> None:
        """All tasks of a step are done: steps that waited for it may start."""
        for later in step.occurrence.steps:
            if step.number in later.step.after:
                self._add(later)

    def in_order(self, now: float, wall_ms: float, entitled: set[str]) -> list[StepState]:
        """Steps that may have tasks to start, those that go first first.

        :param entitled: jobs of top priority that lie within their account's guarantee.
        """
        while self._due and self._due[0][0] <= wall_ms:
            self._open(heapq.heappop(self._due)[2])
        for step in self._fresh:
            if step.stalled_since_s is None:
                step.stalled_since_s = now
            if step.waiting_since_s is None:
                step.waiting_since_s = now
        self._fresh.clear()
        top = self._steps.bisect_key_left((TOP_PRIORITY + 1, 0))
        urgent = sorted(
            self._steps[:top], key=lambda step: step.occurrence.job.job_id not in entitled
        )
        return urgent + self._steps[top:]

    def entitled(self, guaranteed: Guaranteed) -> set[str]:
        """Jobs of top priority that lie within their account's guarantee."""
        for job_id in [job_id for job_id, job in self._top.items() if job.over]:
            del self._top[job_id]
        found: set[str] = set()
        left: dict[str, int] = {}
        for job in sorted(self._top.values(), key=lambda job: job.accepted.accepted_ms):
            account = job.accepted.account
            room = left.get(account)
            if room is None:
                room = guaranteed(account)
            left[account] = room - job.accelerators
            if left[account] >= 0:
                found.add(job.job_id)
        return found

    def _open(self, occurrence: Occurrence) -> None:
        if occurrence.open:
            for step in occurrence.steps:
                self._add(step)

    def _add(self, step: StepState) -> None:
        if step not in self._known and may_start(step):
            self._known.add(step)
            self._steps.add(step)
            self._fresh.append(step)


def is_waiting(task: Task) -> bool:
    """Whether a task is to be started."""
    return task.status is TaskStatus.WAITING and task.run is None


def may_start(step: StepState) -> bool:
    """Whether tasks of a step are to be started, and may be now."""
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
