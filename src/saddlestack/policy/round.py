"""A scheduling round over the waiting gangs of a cell."""

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

MAX_RESERVATIONS = 2
MIN_MOVE_INTERVAL_S = 120.0
MOVE_ATTEMPT_INTERVAL_S = 10.0
RECLAIM_WAIT_FACTOR = 0.5
"""A gang beyond its guarantee waits this share of its expected running time before it reclaims."""


class Round:
    """Places the waiting gangs of a cell, in order, by start, reclaim, move or reservation.

    :param cell: the cell to schedule.
    :param carried_over: reservations of earlier rounds with the spare accelerators of each;
        replaced by those of this round when it ends.
    """

    def __init__(
        self, cell: CellView, now: float, carried_over: list[tuple[Reservation, int]]
    ) -> None:
        self._cell = cell
        self._carried_over = carried_over
        self._resources = cell.resources
        self._now = now
        self._decisions: list[Decision] = []
        self._failed_sizes: dict[tuple[str, bool], int] = {}
        self._reservations = [reservation for reservation, _ in carried_over]
        self._spare = {reservation.job_id: spare for reservation, spare in carried_over}
        self._ends: list[tuple[float, Gang]] | None = None

    def run(self, gangs: list[Gang]) -> list[Decision]:
        """Schedule the gangs, then the gangs that were reclaimed for them."""
        self._expire()
        self._schedule([gang for gang in gangs if gang.job_id in self._cell.waiting])
        reclaimed = [d.job_id for d in self._decisions if isinstance(d, Reclaim)]
        requeued = [self._cell.waiting[j] for j in reclaimed if j in self._cell.waiting]
        if requeued:
            self._schedule(requeued)
        self._carried_over[:] = [(each, self._spare[each.job_id]) for each in self._reservations]
        return self._decisions

    def _schedule(self, gangs: list[Gang]) -> None:
        """Try to start gangs in queue order; blocked ones may get a reservation."""
        order = QueueOrder(
            self._cell.estimator,
            dict(self._cell.borrowed),
            sum(self._resources.total),
            self._now,
        )
        for gang in order.sort(gangs):
            if gang.job_id in self._cell.waiting and not self._try_start(gang):
                self._reserve_or_move(gang)

    def _expire(self) -> None:
        now = self._now
        expired = [
            gang
            for gang in self._cell.waiting.values()
            if gang.deadline is not None and gang.deadline <= now
        ]
        for gang in expired:
            del self._cell.waiting[gang.job_id]
            self._decisions.append(Expire(gang.job_id))

    def _try_start(self, gang: Gang) -> bool:
        charge = self._cell.guarantees.charge_for(gang.spec)
        if charge is not None and self._try_guaranteed(gang, charge):
            return True
        if self._try_borrowed(gang):
            return True
        if self._reclaim_as_borrower(gang):
            return True
        return gang.rank == 0 and self._reclaim_own(gang)

    def _try_guaranteed(self, gang: Gang, charge: Charge) -> bool:
        key = (f"{gang.spec.account} {gang.spec.adjacent}", gang.rank == 0)
        if gang.spec.accelerators >= self._failed_sizes.get(key, 1 << 30):
            return False
        guarantees = self._cell.guarantees
        shape = guarantees.shape_for(charge, gang.spec)
        limit = guarantees.limits(charge)
        if len(charge) > 1:
            limit = _limit_to(guarantees.at_witnesses(charge), len(limit))
            shape = gang.spec.shape
        usable = list(map(min, self._resources.free, limit))
        shares = self._find_placement(shape, usable)
        if shares is None and len(charge) == 1 and charge[0][0].domain is None:
            shares = self._cell.place_free(shape)
        if shares is not None and guarantees.admit(charge, shares):
            self._start(gang, shares, charge)
            return True
        if self._reclaim_guaranteed(gang, shape, charge, limit):
            return True
        self._failed_sizes[key] = gang.spec.accelerators
        return False

    def _reclaim_guaranteed(
        self, gang: Gang, shape: Shape, charge: Charge, limit: Sequence[int]
    ) -> bool:
        """Reclaim where it is cheapest, otherwise on the witnesses, which always works."""
        kept = _limit_to(self._cell.guarantees.at_witnesses(charge, whole=True), len(limit))
        for allowed in (limit, kept):
            plan = self._find_cheapest(shape, lambda other: not other.pinned, allowed, 0)
            if plan is not None and self._cell.guarantees.admit(charge, plan.shares):
                self._evict_victims(plan)
                self._start(gang, plan.shares, charge)
                return True
        return False

    def _is_worth_the_loss(self, gang: Gang, plan: ReclaimPlan) -> bool:
        """Whether a gang has waited at least as many accelerator-seconds as reclaiming loses.

        Urgent gangs reclaim at any cost.
        """
        if gang.rank == 0:
            return True
        waited = (self._now - gang.submitted) * gang.spec.accelerators
        return plan.lost <= waited

    def _try_borrowed(self, gang: Gang) -> bool:
        key = (gang.spec.adjacent.value, gang.spec.reclaimable)
        if gang.spec.accelerators >= self._failed_sizes.get(key, 1 << 30):
            return False
        if self._cell.place_free(gang.spec.shape) is None:
            self._failed_sizes[key] = gang.spec.accelerators
            return False
        if not gang.spec.reclaimable:
            return self._try_pinned(gang)
        shares = self._place_beside_reservations(gang, self._resources.free)
        if shares is None:
            return False
        self._start(gang, shares, None)
        return True

    def _try_pinned(self, gang: Gang) -> bool:
        """Start a gang that is not reclaimable on borrowed capacity beside every guarantee."""
        spare = list(map(min, self._resources.free, self._cell.guarantees.limits(())))
        for usable in (spare, self._resources.free):
            shares = self._place_beside_reservations(gang, usable)
            if shares is not None and self._cell.guarantees.admit(None, shares):
                self._start(gang, shares, None)
                return True
        return False

    def _place_beside_reservations(self, gang: Gang, usable: Sequence[int]) -> Shares | None:
        """Find free capacity whose use delays no gang that has a reservation.

        A checkpointing gang of a lower class delays no reservation, as it can be reclaimed
        without loss.
        """
        shape = gang.spec.shape
        end = self._now + self._cell.estimator.expected(gang.spec) - gang.progress
        blocking = [
            reservation
            for reservation in self._reservations
            if end > reservation.start
            and not (gang.spec.checkpoint and gang.rank > reservation.rank)
        ]
        if not blocking:
            return self._find_placement(shape, usable)
        kept = frozenset().union(*(reservation.workers for reservation in blocking))
        outside = [0 if w in kept else free for w, free in enumerate(usable)]
        shares = self._find_placement(shape, outside)
        if shares is not None:
            return shares
        if any(self._spare[reservation.job_id] < shape.accelerators for reservation in blocking):
            return None
        for reservation in blocking:
            self._spare[reservation.job_id] -= shape.accelerators
        return self._find_placement(shape, usable)

    def _reclaim_as_borrower(self, gang: Gang) -> bool:
        """Reclaim from lower classes: at once for urgent gangs, otherwise if it is worth it."""
        if not self._has_waited_long_enough(gang):
            return False
        key = (f"reclaim {gang.spec.adjacent} {gang.rank}", gang.spec.reclaimable)
        if gang.spec.accelerators >= self._failed_sizes.get(key, 1 << 30):
            return False
        limit = self._resources.total
        if not gang.spec.reclaimable:
            limit = self._cell.guarantees.limits(())
        plan = self._find_cheapest(
            gang.spec.shape,
            lambda other: not other.pinned and other.rank > gang.rank,
            limit,
            gang.rank + 1,
        )
        if plan is None:
            self._failed_sizes[key] = gang.spec.accelerators
            return False
        if not self._is_worth_the_loss(gang, plan):
            return False
        if not gang.spec.reclaimable and not self._cell.guarantees.admit(None, plan.shares):
            return False
        self._evict_victims(plan)
        self._start(gang, plan.shares, None)
        return True

    def _has_waited_long_enough(self, gang: Gang) -> bool:
        """Whether a gang may reclaim beyond its guarantee: urgent ones at once, others later."""
        expected = self._cell.estimator.expected(gang.spec)
        return gang.rank == 0 or self._now - gang.submitted >= RECLAIM_WAIT_FACTOR * expected

    def _reclaim_own(self, gang: Gang) -> bool:
        """Reclaim a guarantee from lower classes of the same account, for an urgent gang."""
        victims = self._find_own_victims(gang)
        if victims is None:
            return False
        for victim in victims:
            self._decisions.append(self._cell.evict(victim, self._now))
        self._failed_sizes.clear()
        charge = self._cell.guarantees.charge_for(gang.spec)
        return charge is not None and self._try_guaranteed(gang, charge)

    def _find_own_victims(self, gang: Gang) -> list[Gang] | None:
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

    def _reserve_or_move(self, gang: Gang) -> None:
        if len(self._reservations) >= MAX_RESERVATIONS:
            return
        if self._reservations and gang.spec.accelerators <= 1:
            return
        if self._try_moving(gang):
            return
        reservation = reserve(gang, self._resources, self._running_by_end(), self._now)
        if reservation is not None:
            self._reservations.append(reservation)
            self._spare[reservation.job_id] = self._spare_at(reservation, gang)

    def _spare_at(self, reservation: Reservation, gang: Gang) -> int:
        free = sum(self._resources.free[w] for w in reservation.workers)
        for end, other in self._running_by_end():
            if end > reservation.start:
                break
            free += sum(count for w, count in other.shares if w in reservation.workers)
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
        """Free contiguous capacity by moving checkpointing borrowers elsewhere."""
        if not gang.spec.reclaimable or sum(self._resources.free) < gang.spec.accelerators:
            return False
        if self._now < gang.next_move:
            return False
        gang.next_move = self._now + MOVE_ATTEMPT_INTERVAL_S
        plan = self._find_cheapest(gang.spec.shape, self._is_movable, self._resources.total, 0)
        if plan is None or not plan.victims:
            return False
        size = sum(victim.spec.accelerators for victim in plan.victims)
        if size > gang.spec.accelerators:
            return False
        return self._move_all(gang, plan)

    def _is_movable(self, gang: Gang) -> bool:
        rested = self._now - max(gang.moved, gang.started) >= MIN_MOVE_INTERVAL_S
        return not gang.pinned and gang.spec.checkpoint and rested

    def _move_all(self, gang: Gang, plan: ReclaimPlan) -> bool:
        before = [(v, v.shares, v.charge, v.progress) for v in plan.victims]
        reclaims = [self._cell.evict(victim, self._now, moved=True) for victim in plan.victims]
        usable = list(self._resources.free)
        for worker, count in plan.shares:
            usable[worker] -= count
        places = self._find_places(plan.victims, usable)
        if places is None:
            for victim, shares, charge, progress in before:
                self._cell.undo_evict(victim, shares, charge, progress)
            return False
        self._decisions.extend(reclaims)
        self._start(gang, plan.shares, None)
        for victim, place in zip(plan.victims, places, strict=True):
            self._start(victim, place, None)
        return True

    def _find_places(self, gangs: Iterable[Gang], usable: list[int]) -> list[Shares] | None:
        places: list[Shares] = []
        for gang in gangs:
            place = self._find_placement(gang.spec.shape, usable)
            if place is None:
                return None
            for worker, count in place:
                usable[worker] -= count
            places.append(place)
        return places

    def _find_placement(self, shape: Shape, usable: Sequence[int]) -> Shares | None:
        return find_placement(shape, usable, self._resources.racks, scatter=self._cell.scatter)

    def _find_cheapest(
        self,
        shape: Shape,
        takeable: Callable[[Gang], bool],
        limit: Sequence[int],
        least_rank: int,
    ) -> ReclaimPlan | None:
        """The cheapest plan that reclaims takeable gangs of class rank ``least_rank`` or more."""
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

    def _evict_victims(self, plan: ReclaimPlan) -> None:
        for victim in plan.victims:
            self._decisions.append(self._cell.evict(victim, self._now))

    def _start(self, gang: Gang, shares: Shares, charge: Charge | None) -> None:
        self._decisions.append(self._cell.start(gang, shares, charge, self._now))
        self._ends = None


def _limit_to(shares: Shares | None, size: int) -> list[int]:
    """Per-worker limits that allow exactly the given shares."""
    limit = [0] * size
    for worker, count in shares or ():
        limit[worker] = count
    return limit
