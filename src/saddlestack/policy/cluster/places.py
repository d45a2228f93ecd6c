"""Where a step's tasks may go now, and where they would fit soonest."""

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
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

MAX_RACKS_SEARCHED = 32
"""Racks that are searched for what to stop: all of a pool of 640 workers, 20 a rack, and a bound
for larger ones."""
MAX_WORKERS_SEARCHED = 160
"""Workers that are searched where the tasks may lie in several racks, and no more are needed."""

IsKept = Callable[[Worker], bool]
"""Whether a worker is kept for others."""


class WorkerChoice(Protocol):
    """Workers that a step's tasks may go to now."""

    def choose_gang(self) -> list[Worker] | None:
        """A worker for each task of a gang, or ``None`` where it does not fit whole."""
        ...

    def choose_worker(self, avoid: set[str]) -> Worker | None:
        """The worker for one task.

        :param avoid: workers on which it failed; they get it only where no other could hold it.
        """
        ...


class Places(WorkerChoice, Protocol):
    """The workers that a step's tasks may go to."""

    def soonest(self) -> Sequence[Worker]:
        """Workers where a gang fits once all work of lower priority there has ended.

        Empty where it does not fit even then.
        """
        ...

    def domains(self, wanted: int) -> Iterable[Sequence[Worker]]:
        """Groups of workers to search for what to stop, so that so many tasks fit in one."""
        ...


class ListedPlaces:
    """Some workers, each looked at: for what no index tells, and few workers."""

    def __init__(self, step: StepState, workers: Sequence[Worker]) -> None:
        self._step = step
        self._workers = workers

    def choose_gang(self) -> list[Worker] | None:
        """See :meth:`Places.choose_gang`."""
        return place_gang(self._step, self._workers, _free_copies(self._step))

    def choose_worker(self, avoid: set[str]) -> Worker | None:
        """See :meth:`Places.choose_worker`."""
        fresh = [worker for worker in self._workers if worker.worker_id not in avoid]
        others = any(worker.max_copies(self._step.step) > 0 for worker in fresh)
        return place_task(self._step, fresh if others else self._workers, _free_copies(self._step))

    def soonest(self) -> Sequence[Worker]:
        """See :meth:`Places.soonest`."""
        return soonest(self._step, self._workers)

    def domains(self, wanted: int) -> Iterable[Sequence[Worker]]:
        """See :meth:`Places.domains`."""
        return domains(self._step, self._workers)


class IndexedPlaces:
    """All workers of a service, found by the index of their room.

    A gang of one rack is spread over racks only where none could ever hold it; workers that are
    kept for others count there, since they are not kept for ever.

    :param kept: tells workers that the step has to leave to others; ``None`` where there are none.
    :param spread: a gang of one rack goes to several as well.
    """

    def __init__(
        self, step: StepState, fits: FitCapacity, kept: IsKept | None, *, spread: bool = False
    ) -> None:
        self._step = step
        self._fits = fits
        self._kept = kept
        self._service_capacity = fits.service_capacity
        wants_rack = step.step.same_rack and not spread
        self._in_rack = wants_rack and fits.most >= step.step.count

    def choose_gang(self) -> list[Worker] | None:
        """See :meth:`Places.choose_gang`."""
        if not self._in_rack:
            return self._spread()
        for rack in self._near():
            places = place_gang(self._step, self._open(rack), _free_copies(self._step))
            if places is not None:
                return places
        eligible = list(self._fits.holding(self._step.step.count))
        eligible.sort(key=lambda rack: (self._free(rack), rack.number))
        for rack in eligible:
            places = place_gang(self._step, self._open(rack), _free_copies(self._step))
            if places is not None:
                return places
        return None

    def choose_worker(self, avoid: set[str]) -> Worker | None:
        """See :meth:`Places.choose_worker`."""
        found = self._task(avoid)
        if found is None and avoid and not self._has_other(avoid):
            return self._task(set())
        return found

    def _task(self, avoid: set[str]) -> Worker | None:
        for rack in self._near():
            fresh = [w for w in self._open(rack) if w.worker_id not in avoid]
            worker = place_task(self._step, fresh, _free_copies(self._step))
            if worker is not None:
                return worker
        others = (w for w in self._tightest() if w.worker_id not in avoid)
        return next(others, None)

    def soonest(self) -> Sequence[Worker]:
        """See :meth:`Places.soonest`."""
        priority = self._step.occurrence.job.priority
        if not self._in_rack:
            return self._soonest_spread(priority)
        wanted = self._step.step.count
        near = {rack.number for rack in self._near()}
        best: tuple[bool, float] | None = None
        workers: Sequence[Worker] = ()
        for number, fit in enumerate(self._fits.racks):
            if fit.most < wanted:
                continue
            releasable = self._releasable(self._service_capacity.racks[number], priority)
            needed = releasable.workers_needed(wanted)
            if needed is None:
                continue
            key = (number not in near, releasable.weights[needed - 1])
            if best is None or key < best:
                best, workers = key, [each.worker for each in releasable.workers[:needed]]
        return workers

    def domains(self, wanted: int) -> Iterable[Sequence[Worker]]:
        """See :meth:`Places.domains`.

        Those come first where the least work of lower priority holds the room, and no more than
        :data:`MAX_RACKS_SEARCHED` racks or :data:`MAX_WORKERS_SEARCHED` workers are named.
        """
        if not self._in_rack:
            return [self._cheapest_workers(wanted)]
        near = {rack.number for rack in self._near()}
        racks = [rack for rack in self._service_capacity.racks if self._may_hold(rack)]
        racks.sort(key=lambda rack: (rack.number not in near, self._lower_weight(rack, wanted)))
        return [self._open(rack) for rack in racks[:MAX_RACKS_SEARCHED]]

    def _lower_weight(self, rack: Rack, wanted: int) -> float:
        """Cores of lower work that has to end so that so many tasks fit in a rack."""
        releasable = self._releasable(rack, self._step.occurrence.job.priority)
        needed = releasable.workers_needed(wanted)
        return math.inf if needed is None else releasable.weights[needed - 1]

    def _cheapest_workers(self, wanted: int) -> list[Worker]:
        """Workers where the least lower work a task would have to end.

        Where lower work is not enough, work of the same priority counts as well.
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
        """The rack near the step's data, if there is one."""
        rack = (
            self._service_capacity.rack(self._step.step.data_rack)
            if self._step.step.data_rack
            else None
        )
        return [] if rack is None else [rack]

    def _open(self, rack: Rack) -> list[Worker]:
        workers = self._fits.workers(rack)
        if self._kept is None:
            return workers
        return [worker for worker in workers if not self._kept(worker)]

    def _free(self, rack: Rack) -> int:
        """Accelerators that the workers of a rack have left for the step."""
        if self._kept is None:
            return self._fits.racks[rack.number].free
        return sum(worker.free.accelerators for worker in self._open(rack))

    def _may_hold(self, rack: Rack) -> bool:
        return self._fits.racks[rack.number].most >= self._step.step.count

    def _tightest(self) -> Iterator[Worker]:
        """Workers that hold one task or more, the fullest first."""
        room = self._step.step.allocation
        for worker in self._service_capacity.tightest_first(room.accelerators, room.cpu):
            if self._kept is not None and self._kept(worker):
                continue
            if self._fits.allows(worker) and worker.count_fitting(room, worker.free) > 0:
                yield worker

    def _spread(self) -> list[Worker] | None:
        wanted = self._step.step.count
        if self._fits.total < wanted:
            return None
        room = self._step.step.allocation
        eligible = (
            (worker, worker.count_fitting(room, worker.free)) for worker in self._tightest()
        )
        return fill_one_hall(eligible, wanted)

    def _has_other(self, avoid: set[str]) -> bool:
        """Whether another worker could hold a task, if it were empty."""
        return any(
            worker.worker_id not in avoid and worker.max_copies(self._step.step) > 0
            for rack in self._service_capacity.racks
            for worker in self._open(rack)
        )

    def _releasable(self, rack: Rack, priority: int) -> ReleasableRack:
        releasable = self._fits.releasable(rack, priority)
        if self._kept is None or not any(self._kept(each.worker) for each in releasable.workers):
            return releasable
        return ReleasableRack.of(each for each in releasable.workers if not self._kept(each.worker))

    def _soonest_spread(self, priority: int) -> Sequence[Worker]:
        missing = self._step.step.count
        chosen: list[Worker] = []
        for each in self._fits.soonest(priority):
            if self._kept is not None and self._kept(each.worker):
                continue
            chosen.append(each.worker)
            missing -= each.copies
            if missing <= 0:
                return chosen
        return ()


class LastResortPlaces:
    """Workers that answer, whatever failed there lately: for work that stalls.

    Those that other work may go to as well come first, those in quarantine last; among equals those
    whose room is reserved, the ones first that have lent some of it already.

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
        self._able = sorted(eligible, key=lambda pair: _last_resort(pair[0], now))

    @property
    def copies(self) -> int:
        """Tasks of the step that fit there."""
        return sum(copies for _, copies in self._able)

    def choose_gang(self) -> list[Worker] | None:
        """See :meth:`Places.choose_gang`; it goes to several racks as well."""
        return fill_one_hall(self._able, self._step.step.count)

    def choose_worker(self, avoid: set[str]) -> Worker | None:
        """See :meth:`Places.choose_worker`."""
        workers = [worker for worker, _ in self._able]
        fresh = [worker for worker in workers if worker.worker_id not in avoid]
        return next(iter(fresh or workers), None)


def _last_resort(worker: Worker, now: float) -> tuple[bool, int, bool, bool]:
    """Sorts workers for work that stalls, the best first."""
    reserved = worker.reserved != Resources()
    return worker.quarantine_s > now, worker.strikes, reserved, not worker.is_overbooked


def _free_copies(step: StepState) -> Copies:
    return lambda worker: worker.copies(step, worker.free)
