"""Which runs to stop for work that may take room back: least work lost, whole gangs only."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from saddlestack.policy.board.jobs import Run, StepState, weight
from saddlestack.policy.board.placement import domains
from saddlestack.policy.board.workers import Worker
from saddlestack.work import Resources


@dataclass(frozen=True, slots=True)
class Preemption:
    """A place for a step's tasks, and the runs that have to stop first.

    :param lost: core-seconds thrown away.
    """

    places: list[Worker]
    victims: list[Run]
    lost: float


class Preemptor:
    """Searches the cheapest set of runs to stop.

    :param members: all runs that stop together with a run.
    :param may_stop: whether a run may be stopped for the work in question.
    """

    def __init__(
        self,
        members: Callable[[Run], Sequence[Run]],
        may_stop: Callable[[Run], bool],
        now: float,
    ) -> None:
        self._members = members
        self._may_stop = may_stop
        self._now = now

    def cheapest(
        self, step: StepState, wanted: int, workers: Sequence[Worker]
    ) -> Preemption | None:
        """The cheapest preemption that makes room for ``wanted`` tasks of a step."""
        best: Preemption | None = None
        near = step.step.data_rack
        best_key: tuple[bool, float] | None = None
        for domain in domains(step, workers):
            found = self._within(step, wanted, domain)
            if found is None:
                continue
            far = bool(near) and found.places[0].record.rack != near
            key = (far, found.lost)
            if best_key is None or key < best_key:
                best, best_key = found, key
        return best

    def _within(self, step: StepState, wanted: int, domain: Sequence[Worker]) -> Preemption | None:
        search = _Search(self, step, domain)
        while search.total < wanted:
            if not search.widen():
                return None
        return search.result(wanted)

    def group(self, run: Run) -> Sequence[Run] | None:
        """The runs that stop with a run, or ``None`` where one of them must not."""
        members = self._members(run)
        if all(self._may_stop(member) for member in members):
            return members
        return None

    def loss(self, run: Run) -> float:
        """Core-seconds thrown away if the run stops now."""
        if run.stopping:
            return 0.0
        since = run.started_s if run.started_s is not None else run.assigned_s
        lost = max(0.0, self._now - since)
        if run.task.step.step.checkpoint and run.saved:
            lost = min(lost, CHECKPOINT_LOSS_S)
        if run.task.step.step.gang:
            lost += REQUEUE_S
        return lost * weight(run.room) + TOUCH_COST


CHECKPOINT_LOSS_S = 1.0
"""Seconds of work that are lost at most where a run saves its progress."""
REQUEUE_S = 4.0
"""Seconds of work that a gang is held to lose besides, since it waits for whole room again."""
TOUCH_COST = 1.0
"""Core-seconds that any stop is held to cost, so that fewer runs are touched."""


class _Search:
    """Grows a set of victims until enough tasks fit."""

    def __init__(self, owner: Preemptor, step: StepState, domain: Sequence[Worker]) -> None:
        self._owner = owner
        self._step = step
        self._domain = domain
        self._victims: dict[int, Run] = {}
        self._freed: dict[str, Resources] = {}
        self._lost = 0.0
        self.total = sum(self._copies(worker) for worker in domain)

    def widen(self) -> bool:
        """Add the victims of the cheapest next task; ``False`` where there are none."""
        best: tuple[float, list[Run]] | None = None
        for worker in self._domain:
            option = self._next(worker)
            if option is not None and (best is None or option[0] < best[0]):
                best = option
        if best is None:
            return False
        self._lost += best[0]
        for run in best[1]:
            self._victims[id(run)] = run
            freed = self._freed.get(run.worker_id, Resources())
            self._freed[run.worker_id] = freed + run.room
        self.total = sum(self._copies(worker) for worker in self._domain)
        return True

    def result(self, wanted: int) -> Preemption:
        """The place and victims found."""
        places: list[Worker] = []
        order = sorted(self._domain, key=lambda worker: worker.worker_id in self._freed)
        for worker in order:
            places += [worker] * min(self._copies(worker), wanted - len(places))
        return Preemption(places, list(self._victims.values()), self._lost)

    def _taken(self) -> dict[int, int]:
        """Victims so far, by step."""
        taken: dict[int, int] = {}
        for run in self._victims.values():
            step = id(run.task.step)
            taken[step] = taken.get(step, 0) + 1
        return taken

    def _copies(self, worker: Worker) -> int:
        freed = self._freed.get(worker.worker_id, Resources())
        return worker.copies(self._step, worker.free + freed)

    def _next(self, worker: Worker) -> tuple[float, list[Run]] | None:
        """The cheapest runs to stop so that one more task fits on a worker."""
        before = self._copies(worker)
        room = worker.free + self._freed.get(worker.worker_id, Resources())
        groups: list[tuple[float, Sequence[Run]]] = []
        taken = self._taken()
        seen: set[int] = set()
        for run in worker.runs.values():
            if id(run) in self._victims or id(run) in seen:
                continue
            members = self._owner.group(run)
            if members is None or not _spared(members, taken):
                continue
            seen.update(id(member) for member in members)
            fresh = [member for member in members if id(member) not in self._victims]
            groups.append((sum(self._owner.loss(member) for member in fresh), fresh))
        groups.sort(key=lambda group: group[0])
        chosen: list[Run] = []
        cost = 0.0
        for group_cost, members in groups:
            if not _spared(members, _count(chosen, taken)):
                continue
            chosen += members
            cost += group_cost
            for member in members:
                if member.worker_id == worker.worker_id:
                    room = room + member.room
            if worker.copies(self._step, room) > before:
                return cost, chosen
        return None


def _spared(members: Sequence[Run], taken: dict[int, int]) -> bool:
    """Whether a step can miss these runs beside the victims it has to give already."""
    step = members[0].task.step
    limit = step.may_stop
    return limit is None or taken.get(id(step), 0) + len(members) <= limit


def _count(chosen: Sequence[Run], taken: dict[int, int]) -> dict[int, int]:
    counted = dict(taken)
    for run in chosen:
        step = id(run.task.step)
        counted[step] = counted.get(step, 0) + 1
    return counted
