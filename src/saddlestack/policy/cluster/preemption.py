"""Chooses which runs to preempt, so that the least work is lost. Gangs are only stopped whole."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from saddlestack.policy.cluster.jobs import Run, StepState, weight
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

CHECKPOINT_LOSS_S = 1.0
"""Maximum seconds of work that a run counts as losing when it is stopped, if it has saved a
checkpoint."""
GANG_REQUEUE_LOSS_S = 4.0
"""Seconds of work that each run of a gang counts as losing in addition when it is stopped, since a
gang waits until resources for all of its members are free again."""
STOP_COST_CORE_S = 1.0
"""Core-seconds that every stop counts as losing, so that fewer runs are stopped."""

MAX_LOSS_FACTOR = 2.0
"""A search of a domain ends once its loss exceeds that of the best domain so far by this factor.
Unneeded groups are dropped at the end of a search, but they make up less than that."""
MAX_WORSE_DOMAINS = 8
"""The search ends after this many domains in a row that are no better than the best one. This
bounds the cost of a round in pools of many racks."""
NOTHING = Resources()


@dataclass(frozen=True, slots=True)
class Preemption:
    """Workers for the tasks of a step, and the runs that have to stop first.

    :param places: a worker for each task.
    :param victims: the runs to stop.
    :param lost: core-seconds of work that the stops lose.
    """

    places: list[Worker]
    victims: list[Run]
    lost: float


@dataclass(frozen=True, slots=True, eq=False)
class _Group:
    """Runs that stop together.

    :param lost: core-seconds of work that all of them lose.
    :param allocations: the resources that they hold, by worker.
    """

    runs: Sequence[Run]
    lost: float
    allocations: Mapping[str, Resources]

    @property
    def step(self) -> StepState:
        """The step of the runs."""
        return self.runs[0].task.step


@dataclass(frozen=True, slots=True)
class _Option:
    """Groups whose stop lets at least one more task fit on some worker.

    :param gain: number of additional tasks that fit, over all workers of the search.
    """

    groups: list[_Group]
    lost: float
    gain: int

    def loss_per_task(self, missing: int) -> float:
        """Core-seconds lost per additional task, of which no more than ``missing`` count."""
        return self.lost / min(self.gain, missing)


class Preemptor:
    """Searches for the cheapest set of runs to stop.

    :param members: returns all runs that stop together with a run.
    :param may_stop: whether a run may be stopped for the preempting work.
    :param is_loan_ending: whether a run is stopped soon anyway, since it borrows its resources from
        the preempting work.
    """

    def __init__(
        self,
        members: Callable[[Run], Sequence[Run]],
        may_stop: Callable[[Run], bool],
        is_loan_ending: Callable[[Run], bool],
        now: float,
    ) -> None:
        self._members = members
        self._may_stop = may_stop
        self._gives_back = is_loan_ending
        self._now = now
        self._groups: dict[StepState | Run, _Group | None] = {}

    def cheapest(
        self, step: StepState, wanted: int, domains: Iterable[Sequence[Worker]]
    ) -> Preemption | None:
        """The cheapest preemption after which ``wanted`` tasks of a step fit, or ``None``.

        :param domains: groups of workers, the most promising first. All tasks go to one of them.
        """
        best: Preemption | None = None
        near = step.step.data_rack
        best_key: tuple[bool, float] | None = None
        worse = 0
        for domain in domains:
            if worse >= MAX_WORSE_DOMAINS:
                break
            limit = math.inf if best is None else best.lost * MAX_LOSS_FACTOR
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
        """The runs that stop with a run, or ``None`` if one of them must not be stopped."""
        step = run.task.step
        key: StepState | Run = step if step.step.gang else run
        if key not in self._groups:
            self._groups[key] = self._group(run)
        return self._groups[key]

    def _group(self, run: Run) -> _Group | None:
        members = self._members(run)
        if not all(self._may_stop(member) for member in members):
            return None
        allocations: dict[str, Resources] = {}
        for member in members:
            allocations[member.worker_id] = (
                allocations.get(member.worker_id, NOTHING) + member.allocation
            )
        return _Group(members, sum(self.loss(member) for member in members), allocations)

    def loss(self, run: Run) -> float:
        """Core-seconds of work that are lost if a run stops now, as on a usual worker."""
        if run.stopping or self._gives_back(run):
            return 0.0
        since = run.started_s if run.started_s is not None else run.assigned_s
        lost = max(0.0, self._now - since) / run.time_factor
        if run.task.step.step.checkpoint and run.saved:
            lost = min(lost, CHECKPOINT_LOSS_S)
        if run.task.step.step.gang:
            lost += GANG_REQUEUE_LOSS_S
        return lost * weight(run.allocation) + STOP_COST_CORE_S


class _Search:
    """Greedy search of one domain: adds groups until enough tasks fit, then drops unneeded ones."""

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

        :param limit: core-seconds of loss at which the search ends without a result.
        """
        lost = 0.0
        while (missing := wanted - self._total) > 0:
            option = self._best_option(missing)
            if option is None:
                return None
            lost += option.lost
            if lost > limit:
                return None
            for group in option.groups:
                self._choose(group)
        self._drop_unneeded(wanted)
        return self._result(wanted)

    @property
    def _total(self) -> int:
        return sum(self._copies.values())

    def _best_option(self, missing: int) -> _Option | None:
        best: _Option | None = None
        for worker_id in self._domain:
            if worker_id not in self._options:
                self._options[worker_id] = self._cheapest_option(self._domain[worker_id])
            option = self._options[worker_id]
            if option is None:
                continue
            if best is None or option.loss_per_task(missing) < best.loss_per_task(missing):
                best = option
        return best

    def _choose(self, group: _Group) -> None:
        self._chosen[group] = None
        self._update_freed(group, Resources.__add__)

    def _update_freed(
        self, group: _Group, operation: Callable[[Resources, Resources], Resources]
    ) -> None:
        """Add the resources of a group to those that are freed, or subtract them again."""
        for worker_id, resources in group.allocations.items():
            worker = self._domain.get(worker_id)
            if worker is None:
                continue
            freed = operation(self._freed.get(worker_id, NOTHING), resources)
            self._freed[worker_id] = freed
            self._copies[worker_id] = worker.copies(self._step, worker.free + freed)
            self._options.pop(worker_id, None)

    def _cheapest_option(self, worker: Worker) -> _Option | None:
        """The cheapest groups whose stop lets one more task fit on a worker."""
        groups = self._groups_on(worker)
        free = self._available(worker)
        single = next(
            (
                group
                for group in groups
                if self._fits_one_more(worker, free + group.allocations[worker.worker_id])
            ),
            None,
        )
        chain = self._cheapest_chain(worker, groups)
        found = [
            _Option(each, sum(group.lost for group in each), self._gain(each))
            for each in ([single] if single is not None else [], chain)
            if each
        ]
        return min(found, key=lambda option: option.lost / option.gain, default=None)

    def _groups_on(self, worker: Worker) -> list[_Group]:
        """The groups on a worker that may be stopped and are not chosen yet, the cheapest first."""
        groups: dict[_Group, None] = {}
        for run in worker.runs.values():
            group = self._owner.group(run)
            if group is not None and group not in self._chosen and self._may_add(group, []):
                groups[group] = None
        return sorted(groups, key=lambda group: group.lost)

    def _cheapest_chain(self, worker: Worker, groups: Sequence[_Group]) -> list[_Group]:
        """The cheapest groups in order until a task fits, without those that prove unnecessary."""
        chain: list[_Group] = []
        resources = self._available(worker)
        for group in groups:
            if not self._may_add(group, chain):
                continue
            chain.append(group)
            resources = resources + group.allocations[worker.worker_id]
            if self._fits_one_more(worker, resources):
                break
        else:
            return []
        for group in sorted(chain, key=lambda group: -group.lost):
            less = resources - group.allocations[worker.worker_id]
            if self._fits_one_more(worker, less):
                chain.remove(group)
                resources = less
        return chain

    def _available(self, worker: Worker) -> Resources:
        """The free resources of a worker, including those that were freed so far."""
        return worker.free + self._freed.get(worker.worker_id, NOTHING)

    def _fits_one_more(self, worker: Worker, resources: Resources) -> bool:
        """Whether one more task fits on a worker than so far, given its free resources."""
        return worker.copies(self._step, resources) > self._copies[worker.worker_id]

    def _gain(self, groups: Sequence[_Group]) -> int:
        """The number of additional tasks that fit on all workers once some groups have stopped."""
        allocations: dict[str, Resources] = {}
        for group in groups:
            for worker_id, resources in group.allocations.items():
                allocations[worker_id] = allocations.get(worker_id, NOTHING) + resources
        gain = 0
        for worker_id, freed in allocations.items():
            worker = self._domain.get(worker_id)
            if worker is not None:
                copies = worker.copies(self._step, self._available(worker) + freed)
                gain += copies - self._copies[worker_id]
        return gain

    def _drop_unneeded(self, wanted: int) -> None:
        """Drop groups without which enough tasks still fit, the most expensive first."""
        for group in sorted(self._chosen, key=lambda group: -group.lost):
            self._update_freed(group, Resources.__sub__)
            if self._total >= wanted:
                del self._chosen[group]
                continue
            self._update_freed(group, Resources.__add__)

    def _result(self, wanted: int) -> Preemption:
        places: list[Worker] = []
        order = sorted(self._domain, key=lambda worker_id: worker_id in self._freed)
        for worker_id in order:
            count = min(self._copies[worker_id], wanted - len(places))
            places += [self._domain[worker_id]] * count
        victims = [run for group in self._chosen for run in group.runs]
        return Preemption(places, victims, sum(group.lost for group in self._chosen))

    def _may_add(self, group: _Group, others: Sequence[_Group]) -> bool:
        """Whether a group may stop together with others that may; only budgets limit that."""
        return not group.step.step.may_miss or self._within_disruption_budgets([*others, group])

    def _within_disruption_budgets(self, groups: Sequence[_Group]) -> bool:
        """Whether the stop of more groups stays within the disruption budgets of all steps."""
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
