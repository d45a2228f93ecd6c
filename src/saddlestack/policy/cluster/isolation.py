"""Runs suspects, tasks that may crash their workers, alone: a crash then harms no other run.

A crash of a worker with a single run is also the strongest evidence about its task.

The worker of an isolated run takes no other work until the run has ended, or has survived for a few
times as long as it did before the crash. Only a bounded share of a service's workers is used for
isolated runs at a time. If no worker is empty, the one that will be empty soonest is kept free.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from saddlestack.policy.cluster.crashes import CrashTracker
from saddlestack.policy.cluster.jobs import Run, StepState, Task
from saddlestack.policy.cluster.places import ListedPlaces
from saddlestack.policy.cluster.progress import remaining_s
from saddlestack.policy.cluster.waiting import is_waiting
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

ISOLATION_SHARE = 8
"""One in this many workers of a service, and at least one, may be used for isolated runs at a time.
Workers that an isolated run fills do not count, since they withhold no capacity from others."""
IDLE_POOL_ISOLATION_SHARE = 3
"""The same while the pool is mostly free."""
MAX_WAIT_S = 8.0
"""Maximum wait of a suspect for an empty worker."""
IDLE_POOL_MAX_WAIT_S = 2.0
"""The same while the pool is mostly free, since no accepted work may stall for 3 s then, and for
lasting work, which may not stall in a pool in use either."""
KEEP_TIMEOUT_S = 10.0
"""Maximum time for which a worker is kept until it is empty."""


@dataclass(frozen=True, slots=True)
class IsolatedPlacement:
    """Where tasks are started alone.

    :param places: a worker for each of the tasks; empty if there is none yet.
    :param alone: whether other work is kept from these workers.
    :param must_wait: whether the tasks have to wait; otherwise they are placed like any others.
    """

    places: Sequence[Worker] = ()
    alone: bool = True
    must_wait: bool = True


@dataclass(frozen=True, slots=True)
class IsolationPool:
    """Properties of a service's pool that decide about isolation.

    :param workers: number of workers.
    :param idle: whether the pool is mostly free.
    :param may_reserve: whether a worker may be kept for a suspect until it is empty. Not if starts
        need approval, which is given for single workers.
    """

    service: str
    workers: int
    idle: bool
    may_reserve: bool


class Isolation:
    """Keeps the workers that are used, or kept, for isolated runs.

    :param crashes: decides which tasks may crash their workers.
    """

    def __init__(self, crashes: CrashTracker) -> None:
        self._crashes = crashes
        self._closed_workers: dict[Worker, float] = {}
        self._waiting_since: dict[Task, float] = {}

    def refresh(self, now: float) -> None:
        """Reopen the workers that are no longer needed for isolated runs."""
        for worker, began_s in list(self._closed_workers.items()):
            if not self._is_needed(worker, began_s, now):
                self._reopen(worker)
        for task in [each for each in self._waiting_since if not _is_waiting(each)]:
            del self._waiting_since[task]

    def _is_needed(self, worker: Worker, began_s: float, now: float) -> bool:
        isolated = [run for run in worker.runs.values() if run.isolated]
        if isolated:
            return any(self._crashes.may_crash(run, now) for run in isolated)
        return bool(self._waiting_since) and worker.is_available and now - began_s < KEEP_TIMEOUT_S

    def _reopen(self, worker: Worker) -> None:
        worker.isolating = False
        for run in worker.runs.values():
            run.isolated = False
        del self._closed_workers[worker]

    def suspects(self, step: StepState) -> list[Task]:
        """The tasks of a step that have to be started alone; all tasks for a gang."""
        if not self._crashes.may_have_suspects(step):
            return []
        if step.step.gang:
            return step.tasks if any(map(self._crashes.is_suspect, step.tasks)) else []
        return [task for task in step.tasks if is_waiting(task) and self._crashes.is_suspect(task)]

    def held_tasks(self, step: StepState, now: float) -> list[Task]:
        """The tasks of a step that wait for unconfirmed crashes to be decided; all for a gang."""
        if not self._crashes.may_have_suspects(step):
            return []
        held = [
            task for task in step.tasks if is_waiting(task) and self._crashes.is_held(task, now)
        ]
        return step.tasks if held and step.step.gang else held

    def held_until(self, step: StepState, now: float) -> float | None:
        """When all held tasks of a step are started at the latest; ``None`` if none is held."""
        if not self._crashes.may_have_suspects(step):
            return None
        ends = [self._crashes.held_until(task, now) for task in step.tasks if is_waiting(task)]
        return max((end for end in ends if end is not None and end > now), default=None)

    def has_limited_starts(self, run: Run) -> bool:
        """Whether the task of a run may be started only a few more times."""
        return self._crashes.may_have_suspects(run.task.step) and self._crashes.has_limited_starts(
            run.task
        )

    def has_waiting_tasks(self, step: StepState) -> bool:
        """Whether a step has tasks that wait to be started alone."""
        return any(task.step is step for task in self._waiting_since)

    def note_waiting(self, tasks: Sequence[Task], now: float) -> None:
        """Note that a task, or a whole gang, waits to be started alone."""
        self._waiting_since.setdefault(tasks[0], now)

    def find(
        self, tasks: Sequence[Task], eligible: Sequence[Worker], pool: IsolationPool, now: float
    ) -> IsolatedPlacement:
        """Find workers on which a task, or a whole gang, can be started alone.

        :param eligible: workers that accept the step's work. Workers that are kept for isolated
            runs are added, and workers with reserved resources are ignored.
        """
        first = tasks[0]
        step = first.step
        began_s = self._waiting_since.setdefault(first, now)
        closed = [
            worker for worker in self._closed_workers if worker.record.service == pool.service
        ]
        kept = [worker for worker in closed if pool.may_reserve and _may_use(worker, step, now)]
        most = math.ceil(
            pool.workers / (IDLE_POOL_ISOLATION_SHARE if pool.idle else ISOLATION_SHARE)
        )
        left = most - sum(1 for worker in closed if not _is_filled(worker))
        eligible = [each for each in eligible if each.reserved == Resources()]
        others = _on_other_machines(tasks, eligible) or eligible
        overdue = now - began_s > _max_wait_s(step, pool)
        if any(map(self._crashes.is_likely, tasks)) and self._awaits_others(step, overdue, now):
            return IsolatedPlacement()
        found = self._choose_empty(tasks, _on_other_machines(tasks, kept) or kept, others, left)
        if found:
            return self._isolate(first, found, now)
        if overdue:
            return self._place_overdue(tasks, [*kept, *eligible], left, now)
        if left > 0 and not any(not worker.runs for worker in kept) and pool.may_reserve:
            self._keep_soonest_empty(step, others, now)
        return IsolatedPlacement()

    def _place_overdue(
        self, tasks: Sequence[Task], workers: Sequence[Worker], left: int, now: float
    ) -> IsolatedPlacement:
        """Place tasks that have waited for the maximum time where they put the least work at risk.

        Machines that have crashed under them are used if no other one has room, since it is unknown
        whether any other one ever will. Likely culprits may exceed the share of workers for
        isolated runs, since those may last, but of each job one after the other.

        :param workers: eligible workers, and those that are kept for isolated runs.
        :param left: number of further workers that may be used for isolated runs.
        """
        first = tasks[0]
        likely = any(map(self._crashes.is_likely, tasks))
        beyond_share = likely and not self._has_unproven_runs(first.step, now)
        others = _on_other_machines(tasks, workers)
        found = self._least_work_at_risk(tasks, others, now) or self._least_work_at_risk(
            tasks, workers, now
        )
        if found and (left > 0 or beyond_share or all(worker.isolating for worker in found)):
            return self._isolate(first, found, now)
        if found and not likely:
            self._waiting_since.pop(first, None)
            return IsolatedPlacement(found, alone=False)
        return IsolatedPlacement(must_wait=likely)

    def _awaits_others(self, step: StepState, overdue: bool, now: float) -> bool:
        """Whether likely culprits of a step wait for isolated runs of their job.

        They run one at a time, until each run has outlived the crashes of its step. Overdue tasks
        of lasting work do not wait, since each of them is to be at work.
        """
        if overdue and step.step.long_running:
            return False
        return self._has_unproven_runs(step, now)

    def _has_unproven_runs(self, step: StepState, now: float) -> bool:
        """Whether the step's job has isolated runs that have not outlived its crashes."""
        runs = step.occurrence.job.runs()
        return any(run.isolated and not self._crashes.has_outlived(run, now) for run in runs)

    def _choose_empty(
        self, tasks: Sequence[Task], kept: Sequence[Worker], others: Sequence[Worker], left: int
    ) -> list[Worker]:
        """An empty worker for each task; empty if there is none, or too few may be used.

        :param kept: workers that are kept for isolated runs.
        :param left: number of workers that may be used besides these.
        """
        step = tasks[0].step
        kept = [worker for worker in kept if not worker.runs]
        workers = [*kept, *(worker for worker in others if not worker.runs)]
        most = len(kept) + max(0, left)
        if not step.step.gang:
            fitting = [worker for worker in workers if worker.copies(step, worker.free) > 0]
            return next(([each] for each in fitting if most > 0 or _fills(step, each)), [])
        found = ListedPlaces(step, workers).choose_gang() or []
        return found if len(set(found)) <= max(most, _least_workers(step, workers)) else []

    def _least_work_at_risk(
        self, tasks: Sequence[Task], eligible: Sequence[Worker], now: float
    ) -> list[Worker]:
        """Workers where a crash would lose the least work of others, without other suspects."""
        step = tasks[0].step
        eligible = [worker for worker in eligible if not self._has_suspect(worker, now)]
        if step.step.gang:
            return ListedPlaces(step, eligible).choose_gang() or []
        fitting = [worker for worker in eligible if worker.copies(step, worker.free) > 0]
        return sorted(fitting, key=lambda worker: _work_at_risk(worker, now))[:1]

    def _has_suspect(self, worker: Worker, now: float) -> bool:
        return any(
            self._crashes.may_have_suspects(run.task.step) and self._crashes.may_crash(run, now)
            for run in worker.runs.values()
        )

    def _isolate(self, first: Task, places: Sequence[Worker], now: float) -> IsolatedPlacement:
        self._waiting_since.pop(first, None)
        for worker in places:
            worker.isolating = True
            self._closed_workers[worker] = now
        return IsolatedPlacement(places)

    def _keep_soonest_empty(self, step: StepState, eligible: Sequence[Worker], now: float) -> None:
        """Keep other work from the worker that will be empty soonest."""
        soonest_empty = min(
            (worker for worker in eligible if worker.max_copies(step.step) > 0),
            key=lambda worker: _until_empty_s(worker, now),
            default=None,
        )
        if soonest_empty is not None and _until_empty_s(soonest_empty, now) < KEEP_TIMEOUT_S:
            soonest_empty.isolating = True
            self._closed_workers[soonest_empty] = now


def _max_wait_s(step: StepState, pool: IsolationPool) -> float:
    """Maximum wait of a step's suspects for an empty worker."""
    return IDLE_POOL_MAX_WAIT_S if pool.idle or step.step.long_running else MAX_WAIT_S


def _may_use(worker: Worker, step: StepState, now: float) -> bool:
    """Whether a worker that is kept for isolated runs is free for one of a step."""
    if any(run.isolated for run in worker.runs.values()) or worker.suspected:
        return False
    proven = not step.needs_proven_worker or now >= worker.probation_s
    return worker.accepts_isolated(now) and proven and worker.matches(step.step)


def _is_waiting(task: Task) -> bool:
    return task.step.occurrence.open and is_waiting(task)


def _on_other_machines(tasks: Sequence[Task], workers: Sequence[Worker]) -> list[Worker]:
    """Workers on machines that have not crashed under any of some tasks.

    A crash on another machine is stronger evidence about a task.
    """
    return [
        worker for worker in workers if not any(worker.machine in task.crashed_on for task in tasks)
    ]


def _least_workers(step: StepState, workers: Sequence[Worker]) -> int:
    """The minimum number of workers that a gang needs, and so its isolation."""
    most = max((worker.max_copies(step.step) for worker in workers), default=0)
    return math.ceil(step.step.count / most) if most else 0


def _fills(step: StepState, worker: Worker) -> bool:
    """Whether a task of a step takes all accelerators, or else all CPUs, of a worker."""
    capacity = worker.record.capacity
    wanted = step.step.allocation
    if capacity.accelerators:
        return wanted.accelerators >= capacity.accelerators
    return wanted.cpu >= capacity.cpu


def _is_filled(worker: Worker) -> bool:
    return any(run.isolated and _fills(run.task.step, worker) for run in worker.runs.values())


def _until_empty_s(worker: Worker, now: float) -> float:
    """Estimated seconds until a worker is empty if nothing else starts there."""
    return max((_remaining_s(run, now) for run in worker.runs.values()), default=0.0)


def _remaining_s(run: Run, now: float) -> float:
    return math.inf if run.task.step.step.long_running else remaining_s(run, now)


def _work_at_risk(worker: Worker, now: float) -> float:
    """Accelerator-seconds of work that would be lost with a worker."""
    return sum(
        max(0.0, now - run.assigned_s) * max(1, run.allocation.accelerators)
        for run in worker.runs.values()
    )
