"""Where a step's tasks fit now, where they would fit soonest, and what to search for victims."""

from __future__ import annotations

import math
from collections.abc import Callable, Container, Iterable, Iterator, Sequence
from typing import Protocol

from saddlestack.policy.cluster.fits import FitCapacity
from saddlestack.policy.cluster.index import Rack
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.placement import (
    Copies,
    domains,
    fill_one_hall,
    place_gang,
    place_task,
    soonest,
)
from saddlestack.policy.cluster.releasable import ReleasableRack
from saddlestack.policy.cluster.speed_rank import SpeedRank
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

MAX_RACKS_SEARCHED = 32
"""Racks that are searched for runs to preempt. Covers a pool of 640 workers with 20 in each rack,
and bounds the search in larger ones."""
MAX_WORKERS_SEARCHED = 160
"""Workers that are searched for runs to preempt if the tasks may be in several racks. More are
searched only if the tasks need them."""

IsKept = Callable[[Worker], bool]
"""Returns whether a worker is kept for other work."""


class WorkerChoice(Protocol):
    """Chooses workers for a step's tasks among those where they fit now."""

    def choose_gang(self) -> list[Worker] | None:
        """Choose a worker for each task of a gang; ``None`` if it does not fit completely."""
        ...

    def choose_worker(self, avoid: set[str]) -> Worker | None:
        """Choose the worker for one task; ``None`` if it does not fit.

        :param avoid: ids of workers on which it failed. They are used only if no other worker could
            hold the task, even if empty.
        """
        ...


class Places(WorkerChoice, Protocol):
    """Workers for a step's tasks, including those where they do not fit yet."""

    def soonest(self) -> Sequence[Worker]:
        """Choose workers where a gang fits once all work of lower priority there has ended.

        Empty if it does not fit even then.
        """
        ...

    def domains(self, wanted: int) -> Iterable[Sequence[Worker]]:
        """Groups of workers to search for runs to preempt.

        :param wanted: number of tasks that have to fit in one group.
        """
        ...


class ListedPlaces:
    """A list of workers, each of which is checked. For short lists and what no index covers.

    :param rank: order of the workers by speed; ``None`` for none.
    """

    def __init__(
        self, step: StepState, workers: Sequence[Worker], rank: SpeedRank | None = None
    ) -> None:
        self._step = step
        self._workers = workers
        self._rank = rank

    def choose_gang(self) -> list[Worker] | None:
        """Choose listed workers for all tasks of a gang; ``None`` if it does not fit completely."""
        return place_gang(self._step, self._workers, _free_copies(self._step), self._rank)

    def choose_worker(self, avoid: set[str]) -> Worker | None:
        """Choose a listed worker for one task, as :meth:`WorkerChoice.choose_worker` does."""
        fresh = [worker for worker in self._workers if worker.worker_id not in avoid]
        others = any(worker.max_copies(self._step.step) > 0 for worker in fresh)
        workers = fresh if others else self._workers
        return place_task(self._step, workers, _free_copies(self._step), self._rank)

    def soonest(self) -> Sequence[Worker]:
        """Choose listed workers where a gang fits once the work of lower priority has ended."""
        return soonest(self._step, self._workers)

    def domains(self, wanted: int) -> Iterable[Sequence[Worker]]:
        """Groups of the listed workers to search for runs to preempt, the best first."""
        return domains(self._step, self._workers)


class IndexedPlaces:
    """All workers of a service, searched by the index of their capacity.

    A gang that needs a single rack is spread over racks only if no rack could ever hold it. Workers
    that are kept for other work count for this, since they are kept only for a time.

    :param kept: test for workers that are kept from the step; ``None`` if none are.
    :param spread: whether a gang that needs a single rack may use several.
    :param rank: order of the workers by speed; ``None`` for none.
    :param whole: capacity that decides whether a rack could ever hold the gang, if ``fits`` covers
        only workers of some speeds. Otherwise the gang would be spread over racks for their sake.
    """

    def __init__(
        self,
        step: StepState,
        fits: FitCapacity,
        kept: IsKept | None,
        *,
        spread: bool = False,
        rank: SpeedRank | None = None,
        whole: FitCapacity | None = None,
    ) -> None:
        self._step = step
        self._fits = fits
        self._kept = kept
        self._service_capacity = fits.service_capacity
        wants_rack = step.step.same_rack and not spread
        self._in_rack = wants_rack and (whole or fits).most >= step.step.count
        self._rank = rank

    @property
    def may_fit(self) -> bool:
        """Whether the tasks fit now if no worker is kept from the step."""
        wanted = self._step.at_once
        if self._in_rack:
            return next(self._fits.holding(wanted), None) is not None
        return self._fits.total >= wanted

    def choose_gang(self) -> list[Worker] | None:
        """Choose a worker for each task of a gang; ``None`` if it does not fit completely.

        In a single rack, the one near its data is preferred, then the one with the least free.
        """
        if not self._in_rack:
            return self._choose_any_racks()
        for rack in self._near():
            places = self._choose_in(rack)
            if places is not None:
                return places
        eligible = list(self._fits.holding(self._step.step.count))
        eligible.sort(key=lambda rack: (self._free(rack), rack.number))
        for rack in eligible:
            places = self._choose_in(rack)
            if places is not None:
                return places
        return None

    def _choose_in(self, rack: Rack) -> list[Worker] | None:
        workers = self._accepting(rack)
        return place_gang(self._step, workers, _free_copies(self._step), self._rank)

    def choose_worker(self, avoid: set[str]) -> Worker | None:
        """Choose a worker for one task: in the rack near its data, or else the fullest that fits.

        Avoided workers are used as in :meth:`WorkerChoice.choose_worker`.
        """
        found = self._find_worker(avoid)
        if found is None and avoid and not self._has_alternative(avoid):
            return self._find_worker(set())
        return found

    def _find_worker(self, avoid: set[str]) -> Worker | None:
        for rack in self._near():
            fresh = [w for w in self._accepting(rack) if w.worker_id not in avoid]
            worker = place_task(self._step, fresh, _free_copies(self._step), self._rank)
            if worker is not None:
                return worker
        others = (w for w in self._tightest() if w.worker_id not in avoid)
        return next(others, None)

    def soonest(self) -> Sequence[Worker]:
        """Choose workers where a gang fits once all work of lower priority there has ended.

        If a single rack is needed, the one near its data is preferred, then the least such work.
        """
        priority = self._step.occurrence.job.priority
        if not self._in_rack:
            return self._soonest_any_racks(priority)
        wanted = self._step.step.count
        near = {rack.number for rack in self._near()}
        best: tuple[bool, float] | None = None
        workers: Sequence[Worker] = ()
        for number, fit in enumerate(self._fits.racks):
            if fit.most < wanted:
                continue
            releasable = self._releasable(self._service_capacity.racks[number], priority, wanted)
            needed = None if releasable is None else releasable.workers_needed(wanted)
            if releasable is None or needed is None:
                continue
            key = (number not in near, releasable.weights[needed - 1])
            if best is None or key < best:
                best, workers = key, [each.worker for each in releasable.workers[:needed]]
        return workers

    def domains(self, wanted: int) -> Iterable[Sequence[Worker]]:
        """Groups of workers to search for runs to preempt.

        Groups with the least work of lower priority come first. Returns at most
        :data:`MAX_RACKS_SEARCHED` racks, or :data:`MAX_WORKERS_SEARCHED` workers unless the tasks
        need more.
        """
        if not self._in_rack:
            return [self._least_lower_work(wanted)]
        near = {rack.number for rack in self._near()}
        racks = [rack for rack in self._service_capacity.racks if self._could_hold(rack)]
        racks.sort(
            key=lambda rack: (rack.number not in near, self._releasable_weight(rack, wanted))
        )
        return [self._accepting(rack) for rack in racks[:MAX_RACKS_SEARCHED]]

    def _releasable_weight(self, rack: Rack, wanted: int) -> float:
        """Cores of lower-priority work that has to end so that the wanted tasks fit in a rack."""
        releasable = self._releasable(rack, self._step.occurrence.job.priority, wanted)
        needed = None if releasable is None else releasable.workers_needed(wanted)
        if releasable is None or needed is None:
            return math.inf
        return releasable.weights[needed - 1]

    def _least_lower_work(self, wanted: int) -> list[Worker]:
        """The workers with the least lower-priority work to preempt for each task.

        If all lower-priority work is not enough, work of the same priority counts as well.
        """
        priority = self._step.occurrence.job.priority
        for level in (priority, priority - 1):
            chosen: list[Worker] = []
            missing = wanted
            for each in self._fits.soonest(level):
                if missing <= 0 and len(chosen) >= MAX_WORKERS_SEARCHED:
                    break
                chosen.append(each.worker)
                missing -= each.copies
            if missing <= 0:
                break
        return chosen

    def _near(self) -> list[Rack]:
        """The rack near the step's data, or no rack."""
        rack = (
            self._service_capacity.rack(self._step.step.data_rack)
            if self._step.step.data_rack
            else None
        )
        return [] if rack is None else [rack]

    def _accepting(self, rack: Rack) -> list[Worker]:
        workers = self._fits.workers(rack)
        if self._kept is None:
            return workers
        return [worker for worker in workers if not self._kept(worker)]

    def _free(self, rack: Rack) -> int:
        """Free accelerators of a rack on workers that the step may use."""
        if self._kept is None:
            return self._fits.racks[rack.number].free
        return sum(worker.free.accelerators for worker in self._accepting(rack))

    def _could_hold(self, rack: Rack) -> bool:
        return self._fits.racks[rack.number].most >= self._step.step.count

    def _tightest(self) -> Iterator[Worker]:
        """Workers on which a task fits, the fullest first."""
        request = self._step.step.allocation
        for worker in self._service_capacity.tightest_first(
            request.accelerators, request.cpu, self._rank
        ):
            if self._kept is not None and self._kept(worker):
                continue
            if self._fits.allows(worker) and worker.count_fitting(request, worker.free) > 0:
                yield worker

    def _choose_any_racks(self) -> list[Worker] | None:
        wanted = self._step.step.count
        if self._fits.total < wanted:
            return None
        request = self._step.step.allocation
        eligible = (
            (worker, worker.count_fitting(request, worker.free)) for worker in self._tightest()
        )
        return fill_one_hall(eligible, wanted)

    def _has_alternative(self, avoid: set[str]) -> bool:
        """Whether a worker that is not avoided could hold a task if it were empty."""
        return any(
            worker.worker_id not in avoid and worker.max_copies(self._step.step) > 0
            for rack in self._service_capacity.racks
            for worker in self._accepting(rack)
        )

    def _releasable(self, rack: Rack, priority: int, wanted: int) -> ReleasableRack | None:
        """What fits in a rack once lower priorities have ended; ``None`` if it is too little.

        Whether it is enough is checked before workers are left out that are kept from the step.
        """
        releasable = self._fits.releasable(rack, priority)
        if not releasable.holds(wanted):
            return None
        if self._kept is None:
            return releasable
        left = [each for each in releasable.workers if not self._kept(each.worker)]
        if len(left) == len(releasable.workers):
            return releasable
        return ReleasableRack.of_ordered(left)

    def _soonest_any_racks(self, priority: int) -> Sequence[Worker]:
        missing = self._step.step.count
        if self._fits.releasable_copies(priority) < missing:
            return ()
        chosen: list[Worker] = []
        for each in self._fits.soonest(priority):
            if self._kept is not None and self._kept(each.worker):
                continue
            chosen.append(each.worker)
            missing -= each.copies
            if missing <= 0:
                return chosen
        return ()


class FirstPlaces:
    """Several sets of workers that are tried in order, each built only when it is reached.

    :param options: build the sets that are tried first.
    :param last: the set that includes all others.
    """

    def __init__(self, options: Sequence[Callable[[], IndexedPlaces]], last: IndexedPlaces) -> None:
        self._options = options
        self._last = last

    def choose_gang(self) -> list[Worker] | None:
        """Choose workers in the first set that holds the gang; ``None`` if none does."""
        if not self._last.may_fit:
            return None
        for option in self._options:
            chosen = option().choose_gang()
            if chosen is not None:
                return chosen
        return self._last.choose_gang()

    def choose_worker(self, avoid: set[str]) -> Worker | None:
        """Choose a worker in the first set that has one, as :meth:`WorkerChoice.choose_worker`."""
        for option in self._options:
            worker = option().choose_worker(avoid)
            if worker is not None:
                return worker
        return self._last.choose_worker(avoid)

    def soonest(self) -> Sequence[Worker]:
        """Choose workers of the last set where a gang fits once lower priorities have ended."""
        return self._last.soonest()

    def domains(self, wanted: int) -> Iterable[Sequence[Worker]]:
        """Groups of workers of the last set to search for runs to preempt."""
        return self._last.domains(wanted)


class LastResortPlaces:
    """Workers for work that would stall, regardless of recent failures on them.

    Workers in quarantine come last, and before them those with failures. Among equals, workers
    without reservations come first, then those that have already lent reserved resources.

    :param lenders: ids of the workers that may lend what is reserved there.
    """

    def __init__(
        self, step: StepState, workers: Iterable[Worker], now: float, lenders: Container[str]
    ) -> None:
        self._step = step
        found = [
            (worker, worker.free_copies(step, reserved=worker.worker_id in lenders))
            for worker in workers
        ]
        eligible = [(worker, copies) for worker, copies in found if copies > 0]
        self._eligible = sorted(eligible, key=lambda pair: _preference_order(pair[0], now))

    @property
    def copies(self) -> int:
        """Number of the step's tasks that fit."""
        return sum(copies for _, copies in self._eligible)

    def choose_gang(self) -> list[Worker] | None:
        """Choose a worker for each task of a gang, which may be spread over racks."""
        return fill_one_hall(self._eligible, self._step.step.count)

    def choose_worker(self, avoid: set[str]) -> Worker | None:
        """Choose the first eligible worker that is not avoided, or else the first eligible one."""
        workers = [worker for worker, _ in self._eligible]
        fresh = [worker for worker in workers if worker.worker_id not in avoid]
        return next(iter(fresh or workers), None)


def _preference_order(worker: Worker, now: float) -> tuple[bool, int, bool, bool]:
    """Sort key of workers for work that would stall, the best first."""
    reserved = worker.reserved != Resources()
    return worker.quarantine_s > now, worker.strikes, reserved, not worker.is_overbooked


def _free_copies(step: StepState) -> Copies:
    return lambda worker: worker.copies(step, worker.free)
