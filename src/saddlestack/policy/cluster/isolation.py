"""Tasks that may crash their workers are started alone, so that one run tells and harms no other.

A worker that is taken for one is closed to other work until the run has shown to be sound, which
takes a few times as long as it had lived before the crash, or has ended. A bounded share of a
service's workers serves so at a time; where none is empty the one that empties soonest is kept.
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
"""One of so many workers of a service may serve for isolated runs at a time, and at least one;
those that such a run fills keep no room from others, and do not count..."""
IDLE_SHARE = 3
"""...and one of so many while the pool is mostly free."""
MAX_WAIT_S = 8.0
"""So long a suspect waits for an empty worker..."""
IDLE_POOL_MAX_WAIT_S = 2.0
"""...and so long while the pool is mostly free, where no accepted work may stand for 3 s."""
KEPT_S = 10.0
"""A worker is kept for so long until it is empty."""


@dataclass(frozen=True, slots=True)
class IsolatedPlacement:
    """What is to be started alone.

    :param places: a worker for each of the tasks; empty where there is none yet.
    :param alone: nothing may join them there.
    :param keeps: whether the tasks are to wait; else they go where others do.
    """

    places: Sequence[Worker] = ()
    alone: bool = True
    must_wait: bool = True


@dataclass(frozen=True, slots=True)
class IsolationPool:
    """The workers of a service, as far as they matter here.

    :param workers: so many.
    :param idle: they are mostly free.
    :param keeps: one may be kept for a suspect until it is empty; not where a start needs leave,
        which is given for single workers.
    """

    service: str
    workers: int
    idle: bool
    may_reserve: bool


class Isolation:
    """Workers that serve, or are kept, for isolated runs.

    :param crashes: tells which tasks may crash their workers.
    """

    def __init__(self, crashes: CrashTracker) -> None:
        self._crashes = crashes
        self._serving: dict[Worker, float] = {}
        self._waits_since: dict[Task, float] = {}

    def refresh(self, now: float) -> None:
        """Open the workers whose runs have shown to be sound, or that were kept in vain."""
        for worker, since_s in list(self._serving.items()):
            if not self._is_needed(worker, since_s, now):
                self._open(worker)
        for task in [each for each in self._waits_since if not _is_waiting(each)]:
            del self._waits_since[task]

    def _is_needed(self, worker: Worker, since_s: float, now: float) -> bool:
        isolated = [run for run in worker.runs.values() if run.isolated]
        if isolated:
            return any(self._crashes.may_crash(run, now) for run in isolated)
        return bool(self._waits_since) and worker.is_available and now - since_s < KEPT_S

    def _open(self, worker: Worker) -> None:
        worker.isolating = False
        for run in worker.runs.values():
            run.isolated = False
        del self._serving[worker]

    def suspects(self, step: StepState) -> list[Task]:
        """The tasks of a step that are to be started alone; of a gang all."""
        if not self._crashes.may_have_suspects(step):
            return []
        if step.step.gang:
            return step.tasks if any(map(self._crashes.is_suspect, step.tasks)) else []
        return [task for task in step.tasks if is_waiting(task) and self._crashes.is_suspect(task)]

    def is_counted(self, run: Run) -> bool:
        """Whether a run is of a task that may be started few times more."""
        return self._crashes.may_have_suspects(run.task.step) and self._crashes.is_counted(run.task)

    def is_waited_for(self, step: StepState) -> bool:
        """Whether a step has tasks that wait to be started alone."""
        return any(task.step is step for task in self._waits_since)

    def find(
        self, tasks: Sequence[Task], eligible: Sequence[Worker], pool: IsolationPool, now: float
    ) -> IsolatedPlacement:
        """Where a task, or a whole gang, may be started alone.

        :param eligible: workers that take the step's work; those that are kept are added, and those
            with room that is reserved for others are left out.
        """
        first = tasks[0]
        step = first.step
        since_s = self._waits_since.setdefault(first, now)
        serving = [worker for worker in self._serving if worker.record.service == pool.service]
        kept = [
            worker for worker in serving if pool.may_reserve and self._may_use(worker, step, now)
        ]
        kept = _on_other_machines(tasks, kept)
        most = math.ceil(pool.workers / (IDLE_SHARE if pool.idle else ISOLATION_SHARE))
        left = most - sum(1 for worker in serving if not _is_filled(worker))
        eligible = _on_other_machines(
            tasks, [each for each in eligible if each.reserved == Resources()]
        )
        empty = [worker for worker in eligible if not worker.runs]
        likely = any(map(self._crashes.is_likely, tasks))
        if likely and self._is_running(step):
            return IsolatedPlacement()
        found = self._places(tasks, [*kept, *empty], len(kept) + max(0, left))
        if found:
            return self._take(first, found, now)
        if now - since_s > (IDLE_POOL_MAX_WAIT_S if pool.idle else MAX_WAIT_S):
            found = self._least_at_stake(tasks, eligible, now)
            if found and left > 0:
                return self._take(first, found, now)
            if found and not likely:
                self._waits_since.pop(first, None)
                return IsolatedPlacement(found, alone=False)
            return IsolatedPlacement(must_wait=likely)
        if left > 0 and not kept and pool.may_reserve:
            self._keep(step, eligible, now)
        return IsolatedPlacement()

    def _may_use(self, worker: Worker, step: StepState, now: float) -> bool:
        empty = not worker.runs and worker.accepts_isolated(now) and not worker.suspected
        proven = not step.needs_proven_worker or now >= worker.probation_s
        return empty and proven and worker.matches(step.step)

    def _is_running(self, step: StepState) -> bool:
        """Whether a run of the step's job is isolated: of likely culprits one is at a time."""
        return any(run.isolated for run in step.occurrence.job.runs())

    def _places(self, tasks: Sequence[Task], workers: Sequence[Worker], most: int) -> list[Worker]:
        """A place for each task on no more workers than that."""
        step = tasks[0].step
        if not step.step.gang:
            fitting = [worker for worker in workers if worker.copies(step, worker.free) > 0]
            return next(([each] for each in fitting if most > 0 or _fills(step, each)), [])
        found = ListedPlaces(step, workers).choose_gang() or []
        return found if len(set(found)) <= max(most, _least_workers(step, workers)) else []

    def _least_at_stake(
        self, tasks: Sequence[Task], eligible: Sequence[Worker], now: float
    ) -> list[Worker]:
        """Where the least work of others would be lost, apart from other suspects."""
        step = tasks[0].step
        eligible = [worker for worker in eligible if not self._has_suspect(worker, now)]
        if step.step.gang:
            return ListedPlaces(step, eligible).choose_gang() or []
        fitting = [worker for worker in eligible if worker.copies(step, worker.free) > 0]
        return sorted(fitting, key=lambda worker: _at_stake_s(worker, now))[:1]

    def _has_suspect(self, worker: Worker, now: float) -> bool:
        return any(
            self._crashes.may_have_suspects(run.task.step) and self._crashes.may_crash(run, now)
            for run in worker.runs.values()
        )

    def _take(self, first: Task, places: Sequence[Worker], now: float) -> IsolatedPlacement:
        self._waits_since.pop(first, None)
        for worker in places:
            worker.isolating = True
            self._serving[worker] = now
        return IsolatedPlacement(places)

    def _keep(self, step: StepState, eligible: Sequence[Worker], now: float) -> None:
        """Close the worker that is empty soonest to other work."""
        soonest = min(
            (worker for worker in eligible if worker.max_copies(step.step) > 0),
            key=lambda worker: _empties_s(worker, now),
            default=None,
        )
        if soonest is not None and _empties_s(soonest, now) < KEPT_S:
            soonest.isolating = True
            self._serving[soonest] = now


def _is_waiting(task: Task) -> bool:
    return task.step.occurrence.open and is_waiting(task)


def _on_other_machines(tasks: Sequence[Task], workers: Sequence[Worker]) -> list[Worker]:
    """Workers on machines that did not crash under some tasks; all where there are no others.

    A crash on another machine tells more of a task.
    """
    others = [
        worker for worker in workers if not any(worker.machine in task.crashed_on for task in tasks)
    ]
    return others or list(workers)


def _least_workers(step: StepState, workers: Sequence[Worker]) -> int:
    """Workers that a gang needs at least: its isolation takes no fewer."""
    most = max((worker.max_copies(step.step) for worker in workers), default=0)
    return math.ceil(step.step.count / most) if most else 0


def _fills(step: StepState, worker: Worker) -> bool:
    """Whether a task of a step leaves nothing of a worker to others of its kind."""
    capacity = worker.record.capacity
    wanted = step.step.room
    if capacity.accelerators:
        return wanted.accelerators >= capacity.accelerators
    return wanted.cpu >= capacity.cpu


def _is_filled(worker: Worker) -> bool:
    return any(run.isolated and _fills(run.task.step, worker) for run in worker.runs.values())


def _empties_s(worker: Worker, now: float) -> float:
    """When a worker is empty if nothing is added, as far as estimates tell."""
    return max((_left_s(run, now) for run in worker.runs.values()), default=0.0)


def _left_s(run: Run, now: float) -> float:
    return math.inf if run.task.step.step.long_running else remaining_s(run, now)


def _at_stake_s(worker: Worker, now: float) -> float:
    """Seconds of work, times accelerators, that would be lost with a worker."""
    return sum(
        max(0.0, now - run.assigned_s) * max(1, run.allocation.accelerators)
        for run in worker.runs.values()
    )
