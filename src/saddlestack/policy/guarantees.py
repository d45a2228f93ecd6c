"""The guaranteed shapes of a cell and the invariant that they can always be formed.

Each guaranteed shape is a :class:`Unit`. The part of a unit that its account does not use
has a *witness*: workers whose unpinned room (free, or held by gangs that can be taken back)
is set aside for it. Witnesses never overlap, so as long as each unit has one, all unused
guaranteed shapes can be formed at the same time. Gangs that can be taken back never touch
the invariant; a pinned gang is admitted only with witnesses for every unit left over.

Gangs that use the same unit lie in one *domain* (a worker for a unit adjacent on a worker, a
rack for one on a rack), and so does the rest of the unit. Whatever ends, the unit's room is
back where the rest of it is, and the shape can be formed again without moving anything.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from saddlestack.models import ADJACENCY_ORDER, Adjacency, Assignment, JobSpec, Shape
from saddlestack.policy.packing import ShapeRequest, Shares, Space, online_budget, pack
from saddlestack.policy.resources import CellResources


class Unit:
    """One guaranteed shape of an account and what the account uses of it."""

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
        """Accelerators of the unit that are not in use."""
        return self.shape.accelerators - self.used

    @property
    def request(self) -> ShapeRequest:
        """The part of the shape that is not in use, and where it has to lie."""
        return ShapeRequest(Shape(self.left, self.shape.adjacent), self.domain)


Charge = tuple[tuple[Unit, int], ...]
"""Which units a gang is charged to, and with how many accelerators."""

_Before = list[tuple[Unit, Shares | None, tuple[int, ...] | None]]


class Guarantees:
    """All units of a cell and their witnesses."""

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
        """Every unit of the cell."""
        return [unit for units in self._units.values() for unit in units]

    def of(self, account: str) -> list[Unit]:
        """The units of one account."""
        return self._units.get(account, [])

    def unformable(self) -> list[Unit]:
        """Units whose unused part has no witness: VMs are missing."""
        return [unit for unit in self.units if unit.left and unit.witness is None]

    def could_cover(self, spec: JobSpec) -> bool:
        """Whether the account's units, all unused, would cover a gang."""
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
        """The account's units a gang would be charged to, or ``None`` for borrowed room."""
        units = [unit for unit in self.of(spec.account) if unit.left]
        if not units:
            return None
        single = [unit for unit in units if self._covers(unit, spec)]
        if single:
            best = min(single, key=lambda unit: (unit.witness is None, unit.left))
            return ((best, spec.accelerators),)
        if spec.adjacent is not Adjacency.HALL:
            return None
        return self._spread(units, spec.accelerators)

    def shape_for(self, charge: Charge, spec: JobSpec) -> Shape:
        """The shape in which a charged gang is placed: as narrow as its unit."""
        return Shape(spec.accelerators, charge[0][0].shape.adjacent)

    def at_witnesses(self, charge: Charge, *, whole: bool = False) -> Shares | None:
        """The place of a gang charged to several units: on the witnesses of each.

        :param whole: all room of the witnesses, also beyond what is charged.
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
        """Accelerators a pinned gang may take on each worker with no other witness moved.

        :param charge: the units it is charged to; none for pinned work in borrowed room.
        """
        limit = self._spare()
        for unit, _ in charge:
            for worker, count in unit.witness or ():
                if self._resources.open(worker):
                    limit[worker] += count
        return self._whole_domains(charge[0][0], limit) if len(charge) == 1 else limit

    def admit(self, charge: Charge | None, shares: Shares) -> bool:
        """Whether a pinned gang may stand there; moves witnesses so that it can.

        The caller takes the room at once when the answer is true.
        """
        if charge is None:
            return not self.unformable() and self._try(None, shares)
        if len(charge) > 1:
            there = dict(self.at_witnesses(charge) or ())
            return there == dict(shares) and self._take_witnesses(charge)
        unit = charge[0][0]
        domain = self._domain(unit.shape.adjacent, shares)
        if domain is None or unit.domain not in {None, domain}:
            return False
        return self._try(charge, shares)

    def occupy(self, charge: Charge, job_id: str) -> None:
        """Note which gang uses the units of an admitted charge."""
        for unit, _ in charge:
            unit.users.add(job_id)

    def release(self, charge: Charge, job_id: str, shares: Shares) -> None:
        """Return a charge; call it after the gang's room was given back."""
        for unit, count in charge:
            unit.used -= count
            unit.users.discard(job_id)
            if not unit.users:
                unit.domain = None
        if len(charge) == 1:
            self._extend(charge[0][0], shares)
        else:
            for unit, _ in charge:
                self._take_lent_back(unit)
        self.restore_witnesses()

    def restore_witnesses(self) -> None:
        """Find witnesses for the units that have none."""
        missing = self.unformable()
        if not missing or self._place_each_in(self._space(), missing):
            return
        still = len(self.unformable())
        before: _Before = [(unit, unit.witness, unit.domain) for unit in self.units]
        self.repack()
        if len(self.unformable()) > still:
            self._restore(before)

    def repack(self) -> None:
        """Find all witnesses anew, as after a VM was lost or came back."""
        units = [unit for unit in self.units if unit.left]
        for unit in self.units:
            self._set_witness(unit, None)
        places = pack(self._space(), [unit.request for unit in units], self._budget)
        if places is None:
            self._place_each_in(self._space(), sorted(units, key=_hardest_first))
            return
        for unit, place in zip(units, places, strict=True):
            self._set_witness(unit, place)

    # Charges

    def _whole_domains(self, unit: Unit, limit: list[int]) -> list[int]:
        """The limits where all that is left of a unit would fit into one domain."""
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

    def _covers(self, unit: Unit, spec: JobSpec) -> bool:
        near_enough = ADJACENCY_ORDER[unit.shape.adjacent] <= ADJACENCY_ORDER[spec.adjacent]
        return near_enough and unit.left >= spec.accelerators

    def _spread(self, units: Sequence[Unit], wanted: int) -> Charge | None:
        """Whole unused units for a hall-wide gang larger than any of them."""
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
        """The workers that gangs of one unit have to share, or ``None`` where too wide."""
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

    def _take_lent_back(self, unit: Unit) -> None:
        """A unit that a spread gang used whole has its old witness again."""
        lent, unit.lent = unit.lent, None
        self._set_witness(unit, None)
        if lent and all(self._resources.open(w) for w, _ in lent) and self._space().fits(lent):
            self._set_witness(unit, lent)

    # Witnesses

    def _try(self, charge: Charge | None, shares: Shares) -> bool:
        before: _Before = [(unit, unit.witness, unit.domain) for unit in self.units]
        for unit, count in charge or ():
            unit.used += count
            unit.domain = self._domain(unit.shape.adjacent, shares)
        if self._fits_beside(charge, shares) or self._make_way(charge, shares):
            return True
        for unit, count in charge or ():
            unit.used -= count
        self._restore(before)
        return False

    def _restore(self, before: _Before) -> None:
        for unit, _, _ in before:
            self._set_witness(unit, None)
        for unit, witness, domain in before:
            self._set_witness(unit, witness)
            unit.domain = domain

    def _fits_beside(self, charge: Charge | None, shares: Shares) -> bool:
        """Whether the gang stands beside every other unit's witness as it is."""
        for unit, _ in charge or ():
            self._set_witness(unit, None)
        space = self._space()
        if not space.fits(shares):
            return False
        space.take(shares)
        own = [unit for unit, _ in charge or () if unit.left]
        return self._place_each_in(space, own)

    def _make_way(self, charge: Charge | None, shares: Shares) -> bool:
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

    def _extend(self, unit: Unit, shares: Shares) -> None:
        """Add room that came back to a unit's witness; it lies in the same domain."""
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

    def _spare(self) -> list[int]:
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
    """The largest gang that fits the empty cell beside every guarantee, by adjacency.

    :return: adjacent on a worker, on a rack, in the hall.
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
    """The largest size that packs, by halving."""
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
