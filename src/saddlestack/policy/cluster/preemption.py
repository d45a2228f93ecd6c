"""Which runs to stop for work that may take room back: least work lost, whole gangs only."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from saddlestack.policy.cluster.jobs import Run, StepState, weight
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

CHECKPOINT_LOSS_S = 1.0
"""Seconds of work that are lost at most where a run saves its progress."""
REQUEUE_S = 4.0
"""Seconds of work that a gang is held to lose besides, since it waits for whole room again."""
TOUCH_COST = 1.0
"""Core-seconds that any stop is held to cost, so that fewer runs are touched."""

DEARER = 2.0
"""A search is given up once it loses this many times what the best one so far loses: of what was
chosen needlessly less is left out again."""
WORSE_IN_A_ROW = 8
"""After so many groups of workers in a row that are no better, the search ends: it bounds what a
round costs in pools of many racks."""
NOTHING = Resources()


@dataclass(frozen=True, slots=True)
class Preemption:
    """A place for a step's tasks, and the runs that have to stop first.

    :param lost: core-seconds thrown away.
    """

    places: list[Worker]
    victims: list[Run]
    lost: float


@dataclass(frozen=True, slots=True, eq=False)
class _Group:
    """Runs that stop together.

    :param lost: core-seconds that all of them lose.
    :param rooms: what they hold, by worker.
    """

    runs: Sequence[Run]
    lost: float
    rooms: Mapping[str, Resources]

    @property
    def step(self) -> StepState:
        """The step that they are of."""
        return self.runs[0].task.step


@dataclass(frozen=True, slots=True)
class _Option:
    """Groups that make room for one more task on some worker.

    :param gain: tasks that fit more, on all workers of the search.
    """

    groups: list[_Group]
    lost: float
    gain: int

    def price(self, missing: int) -> float:
        """Core-seconds lost for each task that is still missing."""
        return self.lost / min(self.gain, missing)


class Preemptor:
    """Searches the cheapest set of runs to stop.

    :param members: all runs that stop together with a run.
    :param may_stop: whether a run may be stopped for the work in question.
    :param gives_back: whether a run ends soon anyway, since that work has lent it its room.
    """

    def __init__(
        self,
        members: Callable[[Run], Sequence[Run]],
        may_stop: Callable[[Run], bool],
        gives_back: Callable[[Run], bool],
        now: float,
    ) -> None:
        self._members = members
        self._may_stop = may_stop
        self._gives_back = gives_back
        self._now = now
        self._groups: dict[StepState | Run, _Group | None] = {}

    def cheapest(
        self, step: StepState, wanted: int, domains: Iterable[Sequence[Worker]]
    ) -> Preemption | None:
        """The cheapest preemption that makes room for ``wanted`` tasks of a step.

        :param domains: groups of workers, the most promising first; the tasks go to one of them.
        """
        best: Preemption | None = None
        near = step.step.data_rack
        best_key: tuple[bool, float] | None = None
        worse = 0
        for domain in domains:
            if worse >= WORSE_IN_A_ROW:
                break
            limit = math.inf if best is None else best.lost * DEARER
            found = _Search(self, step, domain).cheapest(wanted, limit)
            if found is None:
                worse += best is not None
                continue
            far = bool(near) and found.places[0].record.rack != near
            key = (far, found.lost)
            if best_key is None or key < best_key:
                best, best_key = found, key
                worse = 0
            else:
                worse += 1
        return best

    def group(self, run: Run) -> _Group | None:
        """The runs that stop with a run, or ``None`` where one of them must not."""
        step = run.task.step
        key: StepState | Run = step if step.step.gang else run
        if key not in self._groups:
            self._groups[key] = self._group(run)
        return self._groups[key]

    def _group(self, run: Run) -> _Group | None:
        members = self._members(run)
        if not all(self._may_stop(member) for member in members):
            return None
        rooms: dict[str, Resources] = {}
        for member in members:
            rooms[member.worker_id] = rooms.get(member.worker_id, NOTHING) + member.allocation
        return _Group(members, sum(self.loss(member) for member in members), rooms)

    def loss(self, run: Run) -> float:
        """Core-seconds thrown away if the run stops now."""
        if run.stopping or self._gives_back(run):
            return 0.0
        since = run.started_s if run.started_s is not None else run.assigned_s
        lost = max(0.0, self._now - since)
        if run.task.step.step.checkpoint and run.saved:
            lost = min(lost, CHECKPOINT_LOSS_S)
        if run.task.step.step.gang:
            lost += REQUEUE_S
        return lost * weight(run.allocation) + TOUCH_COST


class _Search:
    """Grows a set of groups until enough tasks fit, then leaves out what is not needed."""

    def __init__(self, owner: Preemptor, step: StepState, domain: Sequence[Worker]) -> None:
        self._owner = owner
        self._step = step
        self._domain = {worker.worker_id: worker for worker in domain}
        self._freed: dict[str, Resources] = {}
        self._copies = {worker.worker_id: worker.copies(step, worker.free) for worker in domain}
        self._chosen: dict[_Group, None] = {}
        self._options: dict[str, _Option | None] = {}

    def cheapest(self, wanted: int, limit: float) -> Preemption | None:
        """The cheapest set that was found, or ``None``.

        :param limit: core-seconds beyond which the search is given up.
        """
        lost = 0.0
        while (missing := wanted - self._total) > 0:
            option = self._best(missing)
            if option is None:
                return None
            lost += option.lost
            if lost > limit:
                return None
            for group in option.groups:
                self._choose(group)
        self._spare_needless(wanted)
        return self._result(wanted)

    @property
    def _total(self) -> int:
        return sum(self._copies.values())

    def _best(self, missing: int) -> _Option | None:
        best: _Option | None = None
        for worker_id in self._domain:
            if worker_id not in self._options:
                self._options[worker_id] = self._option(self._domain[worker_id])
            option = self._options[worker_id]
            if option is None:
                continue
            if best is None or option.price(missing) < best.price(missing):
                best = option
        return best

    def _choose(self, group: _Group) -> None:
        self._chosen[group] = None
        self._free(group, Resources.__add__)

    def _free(self, group: _Group, change: Callable[[Resources, Resources], Resources]) -> None:
        """Add the room of a group to what is freed, or take it away again."""
        for worker_id, room in group.rooms.items():
            worker = self._domain.get(worker_id)
            if worker is None:
                continue
            freed = change(self._freed.get(worker_id, NOTHING), room)
            self._freed[worker_id] = freed
            self._copies[worker_id] = worker.copies(self._step, worker.free + freed)
            self._options.pop(worker_id, None)

    def _option(self, worker: Worker) -> _Option | None:
        """The cheapest groups to stop so that one more task fits on a worker."""
        groups = self._groups_on(worker)
        free = self._room(worker)
        alone = next(
            (
                group
                for group in groups
                if self._is_enough(worker, free + group.rooms[worker.worker_id])
            ),
            None,
        )
        chain = self._chain(worker, groups)
        found = [
            _Option(each, sum(group.lost for group in each), self._gain(each))
            for each in ([alone] if alone is not None else [], chain)
            if each
        ]
        return min(found, key=lambda option: option.lost / option.gain, default=None)

    def _groups_on(self, worker: Worker) -> list[_Group]:
        """What may stop on a worker and is not to be stopped already, the cheapest first."""
        groups: dict[_Group, None] = {}
        for run in worker.runs.values():
            group = self._owner.group(run)
            if group is not None and group not in self._chosen and self._spared([group]):
                groups[group] = None
        return sorted(groups, key=lambda group: group.lost)

    def _chain(self, worker: Worker, groups: Sequence[_Group]) -> list[_Group]:
        """The cheapest groups one after the other, without those that proved needless."""
        chain: list[_Group] = []
        room = self._room(worker)
        for group in groups:
            if not self._spared([*chain, group]):
                continue
            chain.append(group)
            room = room + group.rooms[worker.worker_id]
            if self._is_enough(worker, room):
                break
        else:
            return []
        for group in sorted(chain, key=lambda group: -group.lost):
            less = room - group.rooms[worker.worker_id]
            if self._is_enough(worker, less):
                chain.remove(group)
                room = less
        return chain

    def _room(self, worker: Worker) -> Resources:
        """Free room of a worker, with what was freed so far."""
        return worker.free + self._freed.get(worker.worker_id, NOTHING)

    def _is_enough(self, worker: Worker, room: Resources) -> bool:
        """Whether one more task fits on a worker in some room of it."""
        return worker.copies(self._step, room) > self._copies[worker.worker_id]

    def _gain(self, groups: Sequence[_Group]) -> int:
        """Tasks that fit more on all workers once some groups have stopped."""
        rooms: dict[str, Resources] = {}
        for group in groups:
            for worker_id, room in group.rooms.items():
                rooms[worker_id] = rooms.get(worker_id, NOTHING) + room
        gain = 0
        for worker_id, freed in rooms.items():
            worker = self._domain.get(worker_id)
            if worker is not None:
                copies = worker.copies(self._step, self._room(worker) + freed)
                gain += copies - self._copies[worker_id]
        return gain

    def _spare_needless(self, wanted: int) -> None:
        """Leave out groups without which enough tasks fit, the dearest first."""
        for group in sorted(self._chosen, key=lambda group: -group.lost):
            self._free(group, Resources.__sub__)
            if self._total >= wanted:
                del self._chosen[group]
                continue
            self._free(group, Resources.__add__)

    def _result(self, wanted: int) -> Preemption:
        places: list[Worker] = []
        order = sorted(self._domain, key=lambda worker_id: worker_id in self._freed)
        for worker_id in order:
            count = min(self._copies[worker_id], wanted - len(places))
            places += [self._domain[worker_id]] * count
        victims = [run for group in self._chosen for run in group.runs]
        return Preemption(places, victims, sum(group.lost for group in self._chosen))

    def _spared(self, groups: Sequence[_Group]) -> bool:
        """Whether all steps can miss the runs of some groups beside those chosen already."""
        limited = [group for group in groups if group.step.step.may_miss]
        if not limited:
            return True
        taken: dict[StepState, int] = {}
        for group in (*self._chosen, *groups):
            taken[group.step] = taken.get(group.step, 0) + len(group.runs)
        return all(
            group.step.disruption_budget is None
            or taken[group.step] <= group.step.disruption_budget
            for group in limited
        )
