"""The guaranteed shapes of a cell and the invariant that they can always be formed.

Each guaranteed shape is a :class:`Unit`. The part of a unit that its account does not use
has a *witness*: unpinned accelerators (free, or used by reclaimable gangs) that are reserved
for it. Witnesses never overlap, so as long as each unit has one, all unused guaranteed shapes
can be formed at the same time. Reclaimable gangs never affect the invariant. A pinned gang is
admitted only if every unit still has a witness for its unused part.

All gangs that use a unit are placed in one *domain* (a single worker for a worker-adjacent
unit, a single rack for a rack-adjacent one), and so is the unused part of the unit. Whichever
gang ends, its accelerators are therefore next to the rest of the unit, and the shape can be
formed again without moving any gang.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from saddlestack.models import ADJACENCY_ORDER, Adjacency, Assignment, JobSpec, Shape
from saddlestack.policy.packing import ShapeRequest, Shares, Space, online_budget, pack
from saddlestack.policy.resources import CellResources


class Unit:
    """One guaranteed shape of an account and how much of it is in use.

    :ivar used: accelerators of the unit that gangs are charged for.
    :ivar users: the gangs that are charged to the unit, by job id.
    :ivar domain: the workers that all users must share, or ``None`` if any will do.
    :ivar witness: the shares reserved for the unused part, or ``None`` if there are none.
    :ivar lent: the witness as it was before a gang took the whole unit.
    """

    __slots__ = ("account", "domain", "lent", "shape", "used", "users", "witness")

    def __init__(self, account: str, shape: Shape) -> None:
        self.account = account
        self.shape = shape
        self.used = 0
        self.users: set[str] = set()
        self.domain: tuple[int, ...] | None = None
        self.witness: Shares | None = None
        self.lent: Shares | None = None

    @property
    def left(self) -> int:
        """The number of unused accelerators of the unit."""
        return self.shape.accelerators - self.used

    @property
    def request(self) -> ShapeRequest:
        """A packing request for the unused part of the shape."""
        return ShapeRequest(Shape(self.left, self.shape.adjacent), self.domain)


Charge = tuple[tuple[Unit, int], ...]
"""The units a gang is charged to, with the number of accelerators of each."""

_Snapshot = list[tuple[Unit, Shares | None, tuple[int, ...] | None]]


class Guarantees:
    """All units of a cell and their witnesses.

    :ivar reserved: accelerators reserved by witnesses, by worker.
    :ivar reserved_slots: slots reserved by witnesses, by worker.
    """

    def __init__(self, resources: CellResources, assignments: Iterable[Assignment] = ()) -> None:
        self._resources = resources
        self._budget = online_budget(len(resources.total))
        self._units: dict[str, list[Unit]] = {}
        for assignment in assignments:
            unit = Unit(assignment.account, assignment.shape)
            self._units.setdefault(assignment.account, []).append(unit)
        self.reserved = [0] * len(resources.total)
        self.reserved_slots = [0] * len(resources.total)
        self.repack()

    @property
    def units(self) -> list[Unit]:
        """All units of the cell."""
        return [unit for units in self._units.values() for unit in units]

    def of(self, account: str) -> list[Unit]:
        """The units of one account."""
        return self._units.get(account, [])

    def unformable(self) -> list[Unit]:
        """Units whose unused part has no witness, because VMs are missing."""
        return [unit for unit in self.units if unit.left and unit.witness is None]

    def could_cover(self, spec: JobSpec) -> bool:
        """Whether a gang would fit the account's units if all were unused."""
        units = self.of(spec.account)
        if any(
            ADJACENCY_ORDER[unit.shape.adjacent] <= ADJACENCY_ORDER[spec.adjacent]
            and unit.shape.accelerators >= spec.accelerators
            for unit in units
        ):
            return True
        whole = sum(unit.shape.accelerators for unit in units)
        return spec.adjacent is Adjacency.HALL and whole >= spec.accelerators

    def charge_for(self, spec: JobSpec) -> Charge | None:
        """The units a gang would be charged to, or ``None`` if it has to borrow capacity."""
        units = [unit for unit in self.of(spec.account) if unit.left]
        if not units:
            return None
        single = [unit for unit in units if self._can_charge(unit, spec)]
        if single:
            best = min(single, key=lambda unit: (unit.witness is None, unit.left))
            return ((best, spec.accelerators),)
        if spec.adjacent is not Adjacency.HALL:
            return None
        return self._charge_several(units, spec.accelerators)

    def shape_for(self, charge: Charge, spec: JobSpec) -> Shape:
        """The shape to place a charged gang in, with the adjacency of its unit."""
        return Shape(spec.accelerators, charge[0][0].shape.adjacent)

    def at_witnesses(self, charge: Charge, *, whole: bool = False) -> Shares | None:
        """The placement of a charged gang on the witnesses of its units.

        :param whole: return the whole witnesses, including what exceeds the charge.
        """
        merged: dict[int, int] = {}
        for unit, charged in charge:
            count = unit.left if whole else charged
            for worker, available in unit.witness or ():
                taken = min(available, count)
                if taken:
                    merged[worker] = merged.get(worker, 0) + taken
                    count -= taken
            if count:
                return None
        return tuple(merged.items())

    def limits(self, charge: Charge) -> list[int]:
        """Accelerators that a pinned gang may use on each worker without moving other witnesses.

        :param charge: the units it is charged to; empty for a pinned gang on borrowed capacity.
        """
        limit = self._count_unreserved()
        for unit, _ in charge:
            for worker, count in unit.witness or ():
                if self._resources.open(worker):
                    limit[worker] += count
        return self._whole_domains(charge[0][0], limit) if len(charge) == 1 else limit

    def admit(self, charge: Charge | None, shares: Shares) -> bool:
        """Try to admit a pinned gang at the given shares, moving witnesses if necessary.

        If it is admitted, the caller must take the shares before any other call.

        :return: whether the gang is admitted.
        """
        if charge is None:
            return not self.unformable() and self._try_to_admit(None, shares)
        if len(charge) > 1:
            there = dict(self.at_witnesses(charge) or ())
            return there == dict(shares) and self._take_witnesses(charge)
        unit = charge[0][0]
        domain = self._domain(unit.shape.adjacent, shares)
        if domain is None or unit.domain not in {None, domain}:
            return False
        return self._try_to_admit(charge, shares)

    def occupy(self, charge: Charge, job_id: str) -> None:
        """Record the gang that uses the units of an admitted charge."""
        for unit, _ in charge:
            unit.users.add(job_id)

    def release(self, charge: Charge, job_id: str, shares: Shares) -> None:
        """Return a charge to its units, after the gang's shares were released."""
        for unit, count in charge:
            unit.used -= count
            unit.users.discard(job_id)
            if not unit.users:
                unit.domain = None
        if len(charge) == 1:
            self._extend_witness(charge[0][0], shares)
        else:
            for unit, _ in charge:
                self._restore_saved_witness(unit)
        self.restore_witnesses()

    def restore_witnesses(self) -> None:
        """Find witnesses for units that have none.

        If they do not fit beside the others, all witnesses are recomputed, unless that leaves
        more units without one.
        """
        missing = self.unformable()
        if not missing or self._place_each_in(self._space(), missing):
            return
        missing_before = len(self.unformable())
        snapshot: _Snapshot = [(unit, unit.witness, unit.domain) for unit in self.units]
        self.repack()
        if len(self.unformable()) > missing_before:
            self._restore(snapshot)

    def repack(self) -> None:
        """Recompute all witnesses, for example after a VM was lost or restored."""
        units = [unit for unit in self.units if unit.left]
        for unit in self.units:
            self._set_witness(unit, None)
        places = pack(self._space(), [unit.request for unit in units], self._budget)
        if places is None:
            self._place_each_in(self._space(), sorted(units, key=_hardest_first))
            return
        for unit, place in zip(units, places, strict=True):
            self._set_witness(unit, place)

    def _whole_domains(self, unit: Unit, limit: list[int]) -> list[int]:
        """The limits, restricted to domains that can hold the whole unused part of a unit."""
        if unit.domain is not None:
            domains: Iterable[Sequence[int]] = (unit.domain,)
        elif unit.shape.adjacent is Adjacency.WORKER:
            return [count if count >= unit.left else 0 for count in limit]
        elif unit.shape.adjacent is Adjacency.RACK:
            domains = self._resources.racks
        else:
            return limit
        allowed = [0] * len(limit)
        for domain in domains:
            if sum([limit[w] for w in domain]) >= unit.left:
                for worker in domain:
                    allowed[worker] = limit[worker]
        return allowed

    def _can_charge(self, unit: Unit, spec: JobSpec) -> bool:
        near_enough = ADJACENCY_ORDER[unit.shape.adjacent] <= ADJACENCY_ORDER[spec.adjacent]
        return near_enough and unit.left >= spec.accelerators

    def _charge_several(self, units: Sequence[Unit], wanted: int) -> Charge | None:
        """Charge a hall-wide gang that is larger than any unit to several unused units."""
        unused = [unit for unit in units if not unit.users and unit.witness is not None]
        if sum(unit.left for unit in unused) < wanted:
            return None
        charge: list[tuple[Unit, int]] = []
        for unit in sorted(unused, key=lambda unit: unit.left, reverse=True):
            charge.append((unit, unit.left))
            wanted -= unit.left
            if wanted <= 0:
                break
        return tuple(charge) if wanted == 0 else None

    def _domain(self, adjacent: Adjacency, shares: Shares) -> tuple[int, ...] | None:
        """The domain that holds all shares, or ``None`` if they span more than one."""
        workers = tuple(worker for worker, _ in shares)
        if adjacent is Adjacency.WORKER:
            return workers if len(workers) == 1 else None
        if adjacent is Adjacency.RACK:
            racks = {self._resources.rack_of[worker] for worker in workers}
            return tuple(self._resources.racks[racks.pop()]) if len(racks) == 1 else None
        return tuple(range(len(self._resources.total)))

    def _take_witnesses(self, charge: Charge) -> bool:
        for unit, count in charge:
            unit.used += count
            unit.lent = unit.witness
            self._set_witness(unit, None)
        return True

    def _restore_saved_witness(self, unit: Unit) -> None:
        """Restore the witness that a unit had before a gang took the whole of it."""
        lent, unit.lent = unit.lent, None
        self._set_witness(unit, None)
        if lent and all(self._resources.open(w) for w, _ in lent) and self._space().fits(lent):
            self._set_witness(unit, lent)

    def _try_to_admit(self, charge: Charge | None, shares: Shares) -> bool:
        snapshot: _Snapshot = [(unit, unit.witness, unit.domain) for unit in self.units]
        for unit, count in charge or ():
            unit.used += count
            unit.domain = self._domain(unit.shape.adjacent, shares)
        if self._fits_beside_witnesses(charge, shares) or self._move_witnesses_for(charge, shares):
            return True
        for unit, count in charge or ():
            unit.used -= count
        self._restore(snapshot)
        return False

    def _restore(self, snapshot: _Snapshot) -> None:
        for unit, _, _ in snapshot:
            self._set_witness(unit, None)
        for unit, witness, domain in snapshot:
            self._set_witness(unit, witness)
            unit.domain = domain

    def _fits_beside_witnesses(self, charge: Charge | None, shares: Shares) -> bool:
        """Whether the gang fits without moving the witness of any other unit."""
        for unit, _ in charge or ():
            self._set_witness(unit, None)
        space = self._space()
        if not space.fits(shares):
            return False
        space.take(shares)
        charged_units = [unit for unit, _ in charge or () if unit.left]
        return self._place_each_in(space, charged_units)

    def _move_witnesses_for(self, charge: Charge | None, shares: Shares) -> bool:
        charged = {id(unit) for unit, _ in charge or ()}
        failing = {id(unit) for unit in self.unformable()} - charged
        wanted = dict(shares)
        for unit in self.units:
            if id(unit) in charged or any(w in wanted for w, _ in unit.witness or ()):
                self._set_witness(unit, None)
        space = self._space()
        if not space.fits(shares):
            return False
        space.take(shares)
        missing = [unit for unit in self.units if unit.left and unit.witness is None]
        missing = [unit for unit in missing if id(unit) not in failing]
        if self._place_each_in(space, sorted(missing, key=_hardest_first)):
            return True
        return self._repack_around(shares, failing)

    def _repack_around(self, shares: Shares, failing: set[int]) -> bool:
        units = [unit for unit in self.units if unit.left and id(unit) not in failing]
        for unit in self.units:
            self._set_witness(unit, None)
        space = self._space()
        space.take(shares)
        places = pack(space, [unit.request for unit in units], self._budget)
        if places is None:
            return False
        for unit, place in zip(units, places, strict=True):
            self._set_witness(unit, place)
        return True

    def _place_each_in(self, space: Space, units: Iterable[Unit]) -> bool:
        all_placed = True
        for unit in units:
            place = space.best(unit.request)
            if place is None:
                all_placed = False
                continue
            space.take(place)
            self._set_witness(unit, place)
        return all_placed

    def _extend_witness(self, unit: Unit, shares: Shares) -> None:
        """Add released shares to the witness of a unit; they are in the same domain."""
        if unit.witness is None and unit.left != sum(count for _, count in shares):
            return
        merged = dict(unit.witness or ())
        self._set_witness(unit, None)
        for worker, count in shares:
            if self._resources.open(worker):
                merged[worker] = merged.get(worker, 0) + count
        if sum(merged.values()) == unit.left and self._space().fits(tuple(merged.items())):
            self._set_witness(unit, tuple(merged.items()))

    def _set_witness(self, unit: Unit, witness: Shares | None) -> None:
        for worker, count in unit.witness or ():
            self.reserved[worker] -= count
            self.reserved_slots[worker] -= 1
        for worker, count in witness or ():
            self.reserved[worker] += count
            self.reserved_slots[worker] += 1
        unit.witness = witness

    def _count_unreserved(self) -> list[int]:
        resources = self._resources
        return [
            resources.unpinned(w) - self.reserved[w]
            if resources.unpinned_slots(w) > self.reserved_slots[w]
            else 0
            for w in range(len(resources.total))
        ]

    def _space(self) -> Space:
        resources = self._resources
        workers = range(len(resources.total))
        slots = [resources.unpinned_slots(w) - self.reserved_slots[w] for w in workers]
        left = [
            total - pinned - reserved if is_open else -reserved
            for total, pinned, reserved, is_open in zip(
                resources.total, resources.pinned, self.reserved, resources.opened, strict=True
            )
        ]
        return Space(left, slots, resources.racks)


def _hardest_first(unit: Unit) -> tuple[bool, int, int]:
    return unit.domain is None, ADJACENCY_ORDER[unit.shape.adjacent], -unit.left


def largest_beside_guarantees(
    resources: CellResources, guarantees: Guarantees
) -> tuple[int, int, int]:
    """The size of the largest gang that fits the cell, by adjacency.

    The cell is taken as empty but for the shapes of all guarantees, which have to fit as well.

    :return: the sizes for one worker, one rack and one hall, in accelerators.
    """
    requests = [ShapeRequest(unit.shape) for unit in guarantees.units]
    found = [
        _largest(resources, requests, adjacent, resources.largest_possible(rank))
        for adjacent, rank in ADJACENCY_ORDER.items()
    ]
    return found[0], found[1], found[2]


def _largest(
    resources: CellResources, requests: list[ShapeRequest], adjacent: Adjacency, most: int
) -> int:
    """The largest size that packs, found by bisection."""
    if not requests:
        return most
    low = 0
    budget = online_budget(len(resources.total))
    while low < most:
        middle = (low + most + 1) // 2
        space = Space(resources.total, resources.slots, resources.racks)
        if pack(space, [*requests, ShapeRequest(Shape(middle, adjacent))], budget) is None:
            most = middle - 1
        else:
            low = middle
    return low
