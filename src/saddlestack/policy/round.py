"""One round of decisions over the queue of a cell."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from saddlestack.models import (
    Shape,
)
from saddlestack.policy.cellview import CellView
from saddlestack.policy.gang import (
    Decision,
    Expire,
    Gang,
    Reclaim,
)
from saddlestack.policy.guarantees import Charge
from saddlestack.policy.packing import Shares
from saddlestack.policy.placement import find_placement
from saddlestack.policy.queue import QueueOrder, Reservation, reserve
from saddlestack.policy.reclaim import Reclaimer, ReclaimPlan

RESERVATIONS = 2
MOVE_INTERVAL_S = 120.0
TRY_MOVING_S = 10.0
PATIENCE = 0.5
"""How long work beyond its guarantee waits, in running times, before it reclaims."""


class Round:
    """One round of decisions over the queue of a cell."""

    def __init__(self, cell: CellView, now: float, held: list[tuple[Reservation, int]]) -> None:
        self._cell = cell
        self._held = held
        self._resources = cell.resources
        self._now = now
        self._decisions: list[Decision] = []
        self._too_large: dict[tuple[str, bool], int] = {}
        self._reservations = [reservation for reservation, _ in held]
        self._spare = {reservation.job_id: spare for reservation, spare in held}
        self._ends: list[tuple[float, Gang]] | None = None

    def run(self, gangs: list[Gang]) -> list[Decision]:
        """Consider the gangs, then those that they took room from."""
        self._expire()
        self._consider([gang for gang in gangs if gang.job_id in self._cell.waiting])
        taken_back = [d.job_id for d in self._decisions if isinstance(d, Reclaim)]
        again = [self._cell.waiting[j] for j in taken_back if j in self._cell.waiting]
        if again:
            self._consider(again)
        self._held[:] = [(held, self._spare[held.job_id]) for held in self._reservations]
        return self._decisions

    def _consider(self, gangs: list[Gang]) -> None:
        """Try gangs in order; those that stay blocked may get a reservation."""
        order = QueueOrder(
            self._cell.estimator,
            dict(self._cell.borrowed),
            sum(self._resources.total),
            self._now,
        )
        for gang in order.sort(gangs):
            if gang.job_id in self._cell.waiting and not self._try(gang):
                self._block(gang)

    def _expire(self) -> None:
        now = self._now
        late = [
            gang
            for gang in self._cell.waiting.values()
            if gang.deadline is not None and gang.deadline <= now
        ]
        for gang in late:
            del self._cell.waiting[gang.job_id]
            self._decisions.append(Expire(gang.job_id))

    def _try(self, gang: Gang) -> bool:
        charge = self._cell.guarantees.charge_for(gang.spec)
        if charge is not None and self._try_guaranteed(gang, charge):
            return True
        if self._try_borrowed(gang):
            return True
        if self._reclaim_as_borrower(gang):
            return True
        return gang.rank == 0 and self._reclaim_own(gang)

    # Within the guarantee

    def _try_guaranteed(self, gang: Gang, charge: Charge) -> bool:
        key = (f"{gang.spec.account} {gang.spec.adjacent}", gang.rank == 0)
        if gang.spec.accelerators >= self._too_large.get(key, 1 << 30):
            return False
        guarantees = self._cell.guarantees
        shape = guarantees.shape_for(charge, gang.spec)
        limit = guarantees.limits(charge)
        if len(charge) > 1:
            limit = _only(guarantees.at_witnesses(charge), len(limit))
            shape = gang.spec.shape
        usable = list(map(min, self._resources.free, limit))
        shares = self._find(shape, usable)
        if shares is None and len(charge) == 1 and charge[0][0].domain is None:
            shares = self._cell.place_free(shape)
        if shares is not None and guarantees.admit(charge, shares):
            self._start(gang, shares, charge)
            return True
        if self._reclaim_within(gang, shape, charge, limit):
            return True
        self._too_large[key] = gang.spec.accelerators
        return False

    def _reclaim_within(
        self, gang: Gang, shape: Shape, charge: Charge, limit: Sequence[int]
    ) -> bool:
        """Take room back where it is cheapest, else where it is kept: that always works."""
        kept = _only(self._cell.guarantees.at_witnesses(charge, whole=True), len(limit))
        for allowed in (limit, kept):
            found = self._cheapest(shape, lambda other: not other.pinned, allowed, 0)
            if found is not None and self._cell.guarantees.admit(charge, found.shares):
                self._evict_all(found)
                self._start(gang, found.shares, charge)
                return True
        return False

    def _worth(self, gang: Gang, found: ReclaimPlan) -> bool:
        """Beyond a guarantee, work that is not urgent waits as long as stopping would cost."""
        if gang.rank == 0:
            return True
        waited = (self._now - gang.submitted) * gang.spec.accelerators
        return found.lost <= waited

    # In borrowed room

    def _try_borrowed(self, gang: Gang) -> bool:
        key = (gang.spec.adjacent.value, gang.spec.reclaimable)
        if gang.spec.accelerators >= self._too_large.get(key, 1 << 30):
            return False
        if self._cell.place_free(gang.spec.shape) is None:
            self._too_large[key] = gang.spec.accelerators
            return False
        if not gang.spec.reclaimable:
            return self._try_pinned(gang)
        shares = self._place_beside_reservations(gang, self._resources.free)
        if shares is None:
            return False
        self._start(gang, shares, None)
        return True

    def _try_pinned(self, gang: Gang) -> bool:
        """Borrowed room for work that can't be taken back: beside every guarantee."""
        spare = list(map(min, self._resources.free, self._cell.guarantees.limits(())))
        for usable in (spare, self._resources.free):
            shares = self._place_beside_reservations(gang, usable)
            if shares is not None and self._cell.guarantees.admit(None, shares):
                self._start(gang, shares, None)
                return True
        return False

    def _place_beside_reservations(self, gang: Gang, usable: Sequence[int]) -> Shares | None:
        """Free room that delays no reserved gang: what it can checkpoint does not delay it."""
        shape = gang.spec.shape
        end = self._now + self._cell.estimator.expected(gang.spec) - gang.progress
        blocking = [
            held
            for held in self._reservations
            if end > held.start and not (gang.spec.checkpoint and gang.rank > held.rank)
        ]
        if not blocking:
            return self._find(shape, usable)
        kept = frozenset().union(*(held.workers for held in blocking))
        outside = [0 if w in kept else free for w, free in enumerate(usable)]
        shares = self._find(shape, outside)
        if shares is not None:
            return shares
        if any(self._spare[held.job_id] < shape.accelerators for held in blocking):
            return None
        for held in blocking:
            self._spare[held.job_id] -= shape.accelerators
        return self._find(shape, usable)

    def _reclaim_as_borrower(self, gang: Gang) -> bool:
        """Take borrowed room from lesser classes: at once for urgent work, else if it pays."""
        if not self._patient(gang):
            return False
        key = (f"reclaim {gang.spec.adjacent} {gang.rank}", gang.spec.reclaimable)
        if gang.spec.accelerators >= self._too_large.get(key, 1 << 30):
            return False
        limit = self._resources.total
        if not gang.spec.reclaimable:
            limit = self._cell.guarantees.limits(())
        found = self._cheapest(
            gang.spec.shape,
            lambda other: not other.pinned and other.rank > gang.rank,
            limit,
            gang.rank + 1,
        )
        if found is None:
            self._too_large[key] = gang.spec.accelerators
            return False
        if not self._worth(gang, found):
            return False
        if not gang.spec.reclaimable and not self._cell.guarantees.admit(None, found.shares):
            return False
        self._evict_all(found)
        self._start(gang, found.shares, None)
        return True

    def _patient(self, gang: Gang) -> bool:
        """Beyond its guarantee, work that is not urgent waits a while before it takes room."""
        expected = self._cell.estimator.expected(gang.spec)
        return gang.rank == 0 or self._now - gang.submitted >= PATIENCE * expected

    def _reclaim_own(self, gang: Gang) -> bool:
        """Urgent work may displace its own account's lesser work from its guarantee."""
        victims = self._own_victims(gang)
        if victims is None:
            return False
        for victim in victims:
            self._decisions.append(self._cell.evict(victim, self._now))
        self._too_large.clear()
        charge = self._cell.guarantees.charge_for(gang.spec)
        return charge is not None and self._try_guaranteed(gang, charge)

    def _own_victims(self, gang: Gang) -> list[Gang] | None:
        best: tuple[float, list[Gang]] | None = None
        for unit in self._cell.guarantees.of(gang.spec.account):
            if unit.shape.accelerators < gang.spec.accelerators:
                continue
            users = [self._cell.running[job_id] for job_id in sorted(unit.users)]
            if not all(user.rank > gang.rank and user.spec.reclaimable for user in users):
                continue
            lost = sum(user.loss(self._now) for user in users)
            if users and (best is None or lost < best[0]):
                best = (lost, users)
        return None if best is None else best[1]

    # Blocked gangs

    def _block(self, gang: Gang) -> None:
        if len(self._reservations) >= RESERVATIONS:
            return
        if self._reservations and gang.spec.accelerators <= 1:
            return
        if self._try_moving(gang):
            return
        held = reserve(gang, self._resources, self._running_by_end(), self._now)
        if held is not None:
            self._reservations.append(held)
            self._spare[held.job_id] = self._spare_at(held, gang)

    def _spare_at(self, held: Reservation, gang: Gang) -> int:
        free = sum(self._resources.free[w] for w in held.workers)
        for end, other in self._running_by_end():
            if end > held.start:
                break
            free += sum(count for w, count in other.shares if w in held.workers)
        return free - gang.spec.accelerators

    def _running_by_end(self) -> list[tuple[float, Gang]]:
        if self._ends is None:
            expected = self._cell.estimator.expected
            self._ends = sorted(
                (
                    (gang.started + expected(gang.spec) - gang.progress, gang)
                    for gang in self._cell.running.values()
                ),
                key=lambda pair: pair[0],
            )
        return self._ends

    def _try_moving(self, gang: Gang) -> bool:
        """Make contiguous room by moving checkpointable borrowers to other free room."""
        if not gang.spec.reclaimable or sum(self._resources.free) < gang.spec.accelerators:
            return False
        if self._now < gang.next_move:
            return False
        gang.next_move = self._now + TRY_MOVING_S
        found = self._cheapest(gang.spec.shape, self._movable, self._resources.total, 0)
        if found is None or not found.victims:
            return False
        size = sum(victim.spec.accelerators for victim in found.victims)
        if size > gang.spec.accelerators:
            return False
        return self._move_all(gang, found)

    def _movable(self, gang: Gang) -> bool:
        rested = self._now - max(gang.moved, gang.started) >= MOVE_INTERVAL_S
        return not gang.pinned and gang.spec.checkpoint and rested

    def _move_all(self, gang: Gang, found: ReclaimPlan) -> bool:
        before = [(v, v.shares, v.charge, v.progress) for v in found.victims]
        reclaims = [self._cell.evict(victim, self._now, moved=True) for victim in found.victims]
        usable = list(self._resources.free)
        for worker, count in found.shares:
            usable[worker] -= count
        places = self._places_for(found.victims, usable)
        if places is None:
            for victim, shares, charge, progress in before:
                self._cell.undo_evict(victim, shares, charge, progress)
            return False
        self._decisions.extend(reclaims)
        self._start(gang, found.shares, None)
        for victim, place in zip(found.victims, places, strict=True):
            self._start(victim, place, None)
        return True

    def _places_for(self, gangs: Iterable[Gang], usable: list[int]) -> list[Shares] | None:
        places: list[Shares] = []
        for gang in gangs:
            place = self._find(gang.spec.shape, usable)
            if place is None:
                return None
            for worker, count in place:
                usable[worker] -= count
            places.append(place)
        return places

    # Shared steps

    def _find(self, shape: Shape, usable: Sequence[int]) -> Shares | None:
        return find_placement(shape, usable, self._resources.racks, scatter=self._cell.scatter)

    def _cheapest(
        self,
        shape: Shape,
        takeable: Callable[[Gang], bool],
        limit: Sequence[int],
        least_rank: int,
    ) -> ReclaimPlan | None:
        """The cheapest takeover from gangs of a class rank or lesser ones."""
        resources = self._resources
        lent = [sum(counts) for counts in zip(*self._cell.lent[least_rank:], strict=True)]
        if not lent:
            return None
        reachable = [
            min(most, total - held + count) if is_open else 0
            for most, total, held, count, is_open in zip(
                limit, resources.total, resources.held, lent, resources.opened, strict=True
            )
        ]
        gangs_on = self._cell.gangs_on()
        search = Reclaimer(resources, gangs_on, takeable, limit, reachable, self._now)
        return search.cheapest(shape)

    def _evict_all(self, found: ReclaimPlan) -> None:
        for victim in found.victims:
            self._decisions.append(self._cell.evict(victim, self._now))

    def _start(self, gang: Gang, shares: Shares, charge: Charge | None) -> None:
        self._decisions.append(self._cell.start(gang, shares, charge, self._now))
        self._ends = None


def _only(shares: Shares | None, size: int) -> list[int]:
    """Limits that allow just the given shares."""
    limit = [0] * size
    for worker, count in shares or ():
        limit[worker] = count
    return limit
