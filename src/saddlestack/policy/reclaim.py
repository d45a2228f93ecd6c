"""Chooses the gangs to reclaim for another one, at the least cost."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

from saddlestack.models import Shape
from saddlestack.policy.gang import Gang
from saddlestack.policy.packing import Shares, fill
from saddlestack.policy.placement import domains
from saddlestack.policy.resources import CellResources


@dataclass(frozen=True, slots=True)
class ReclaimPlan:
    """A placement for a gang and the gangs to reclaim for it.

    :param lost: accelerator-seconds of work lost.
    """

    shares: Shares
    victims: tuple[Gang, ...]
    lost: float


class Reclaimer:
    """Searches for the cheapest reclaim plan for a shape. Gangs are always reclaimed whole.

    :param gangs_on: the gangs that run on each worker.
    :param takeable: whether a gang may be reclaimed for this request.
    :param limit: accelerators that the request may use on each worker, free or not.
    :param reachable: an upper bound on what can be free on each worker after reclaiming.
    """

    def __init__(
        self,
        resources: CellResources,
        gangs_on: Sequence[Mapping[str, Gang]],
        takeable: Callable[[Gang], bool],
        limit: Sequence[int],
        reachable: Sequence[int],
        now: float,
    ) -> None:
        self._resources = resources
        self._gangs_on = gangs_on
        self._takeable = takeable
        self._limit = limit
        self._reachable = reachable
        self._now = now

    def cheapest(self, shape: Shape) -> ReclaimPlan | None:
        """The plan with the fewest urgent victims, then least work lost, then fewest victims.

        :rtype: ReclaimPlan | None
        """
        reachable = self._reachable
        best: ReclaimPlan | None = None
        best_cost = (0, 0.0, 0)
        for workers in domains(shape, self._resources.racks):
            if sum([reachable[w] for w in workers]) < shape.accelerators:
                continue
            found = self._plan_within(workers, shape.accelerators)
            if found is None:
                continue
            urgent = sum(1 for gang in found.victims if gang.rank == 0)
            cost = (urgent, found.lost, len(found.victims))
            if best is None or cost < best_cost:
                best, best_cost = found, cost
                if cost <= (0, 0.0, 1):
                    break
        return best

    def _plan_within(self, workers: Sequence[int], wanted: int) -> ReclaimPlan | None:
        candidates = self._find_candidates(workers)
        victims = self._choose_victims(workers, candidates, wanted)
        if victims is None:
            return None
        victims = self._drop_unneeded(workers, victims, wanted)
        usable = self._usable_without(workers, victims)
        shares = fill(workers, usable, wanted)
        if shares is None:
            return None
        lost = sum(gang.loss(self._now) for gang in victims)
        return ReclaimPlan(shares, tuple(victims), lost)

    def _find_candidates(self, workers: Sequence[int]) -> list[Gang]:
        found: dict[str, Gang] = {}
        for worker in workers:
            for job_id, gang in self._gangs_on[worker].items():
                if job_id not in found and self._takeable(gang):
                    found[job_id] = gang
        domain = set(workers)
        return sorted(found.values(), key=lambda gang: self._reclaim_cost(gang, domain))

    def _reclaim_cost(self, gang: Gang, domain: set[int]) -> tuple[bool, float, int, int]:
        gained = sum(count for worker, count in gang.shares if worker in domain)
        return gang.rank == 0, gang.loss(self._now) / gained, -gang.rank, -gained

    def _choose_victims(
        self, workers: Sequence[int], candidates: Iterable[Gang], wanted: int
    ) -> list[Gang] | None:
        victims: list[Gang] = []
        if sum(self._usable_without(workers, victims)) >= wanted:
            return victims
        for gang in candidates:
            victims.append(gang)
            if sum(self._usable_without(workers, victims)) >= wanted:
                return victims
        return None

    def _drop_unneeded(
        self, workers: Sequence[int], victims: list[Gang], wanted: int
    ) -> list[Gang]:
        kept = list(victims)
        for gang in sorted(victims, key=lambda gang: -gang.loss(self._now)):
            fewer = [other for other in kept if other is not gang]
            if sum(self._usable_without(workers, fewer)) >= wanted:
                kept = fewer
        return kept

    def _usable_without(self, workers: Sequence[int], victims: Iterable[Gang]) -> list[int]:
        resources = self._resources
        freed: dict[int, int] = {}
        slots: dict[int, int] = {}
        for gang in victims:
            for worker, count in gang.shares:
                freed[worker] = freed.get(worker, 0) + count
                slots[worker] = slots.get(worker, 0) + 1
        usable = []
        for worker in workers:
            free = resources.total[worker] - resources.held[worker] + freed.get(worker, 0)
            has_slot = resources.held_slots[worker] - slots.get(worker, 0) < resources.slots[worker]
            available = free if resources.open(worker) and has_slot else 0
            usable.append(min(available, self._limit[worker]))
        return usable
