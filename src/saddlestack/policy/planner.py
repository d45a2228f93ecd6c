"""Groups racks into cells and assigns guaranteed shapes to cells in which they all pack."""

from __future__ import annotations

import functools
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.models import (
    ADJACENCY_ORDER,
    Account,
    Adjacency,
    Assignment,
    CellPlan,
    DataHall,
    Guarantee,
    Shape,
)
from saddlestack.policy.assigning import CellKind, CellSearch
from saddlestack.policy.packing import PLANNER_BUDGET, ShapeRequest, Space, pack
from saddlestack.policy.resources import CellResources, WorkerInfo, workers_of

MAX_CELL_WORKERS = 256


@dataclass(frozen=True, slots=True)
class CellSite:
    """A cell and its workers."""

    plan: CellPlan
    workers: tuple[WorkerInfo, ...]


def cells_of(halls: Iterable[DataHall]) -> list[CellSite]:
    """Group the racks of each hall, in order, into cells of at most 256 workers.

    :rtype: list[CellSite]
    """
    sites: list[CellSite] = []
    for hall in halls:
        groups: list[list[int]] = [[]]
        count = 0
        for i, rack in enumerate(hall.racks):
            if groups[-1] and count + rack.workers > MAX_CELL_WORKERS:
                groups.append([])
                count = 0
            groups[-1].append(i)
            count += rack.workers
        for number, group in enumerate(groups, 1):
            racks = [hall.racks[i] for i in group]
            name = hall.name if len(groups) == 1 else f"{hall.name}-{number}"
            plan = CellPlan(
                name=name, data_hall=hall.name, racks=tuple(rack.name for rack in racks)
            )
            sites.append(CellSite(plan, tuple(workers_of(racks))))
    return sites


def narrowest(accelerators: int, sites: Iterable[CellSite]) -> Adjacency:
    """The narrowest adjacency in which some cell can hold a gang of that size.

    :raises SaddlestackError: the gang is larger than any cell.
    """
    largest = [_largest(site.workers) for site in sites]
    for adjacency, rank in ADJACENCY_ORDER.items():
        if any(sizes[rank] >= accelerators for sizes in largest):
            return adjacency
    raise SaddlestackError(
        ErrorKind.SHAPE_IMPOSSIBLE, f"{accelerators} accelerators are more than any cell has"
    )


@functools.lru_cache(maxsize=256)
def _largest(workers: tuple[WorkerInfo, ...]) -> tuple[int, ...]:
    """The largest gang that the workers could hold if empty, by adjacency rank."""
    resources = CellResources(workers)
    return tuple(resources.largest_possible(rank) for rank in ADJACENCY_ORDER.values())


class Planner:
    """Assigns guaranteed shapes to cells.

    :param sites: the cells.
    :param spare: workers that each cell must be able to lose with its guarantees still packing.
    """

    def __init__(self, sites: Sequence[CellSite], spare: int = 0) -> None:
        self._sites = list(sites)
        self._spare = spare

    def assign(
        self, accounts: Iterable[Account], current: Iterable[Assignment] = ()
    ) -> tuple[Assignment, ...]:
        """Assign every guaranteed shape of the accounts, keeping current assignments.

        :raises SaddlestackError: a shape does not fit; names the nearest shape that would.
        """
        wanted = self._expand_guarantees(accounts)
        kept: dict[str, list[Assignment]] = {site.plan.name: [] for site in self._sites}
        pool = list(current)
        missing: list[tuple[str, Shape]] = []
        for account, shape in wanted:
            held = next((a for a in pool if a.account == account and a.shape == shape), None)
            if held is not None and held.cell in kept:
                pool.remove(held)
                kept[held.cell].append(held)
            else:
                missing.append((account, shape))
        if self._place_each(kept, missing) is None and self._all_pack(kept):
            return self._flatten(kept)
        return self._assign_from_scratch(wanted)

    def _assign_from_scratch(self, wanted: Sequence[tuple[str, Shape]]) -> tuple[Assignment, ...]:
        cells: dict[str, list[Assignment]] = {site.plan.name: [] for site in self._sites}
        refused = self._place_each(cells, wanted)
        if refused is None:
            return self._flatten(cells)
        found = self._search(wanted)
        if found is not None:
            return found
        account, shape = refused
        nearest = self._find_nearest(cells, account, shape)
        hint = f"; the nearest that would fit is {nearest}" if nearest else ""
        spare = f" with {self._spare} spare workers a cell" if self._spare else ""
        raise SaddlestackError(
            ErrorKind.GUARANTEE_UNPACKABLE,
            f"guarantee {shape} of account {account} does not fit beside the others{spare}{hint}",
            where=f"accounts.{account}",
        )

    def _search(self, wanted: Sequence[tuple[str, Shape]]) -> tuple[Assignment, ...] | None:
        """Assign the shapes by search, after a single greedy pass has failed."""
        kinds = [_cell_kind(site) for site in self._sites]
        search = CellSearch(
            kinds, lambda cell, shapes: self._fits_with_spare(self._sites[cell], shapes)
        )
        chosen = search.cells([shape for _, shape in wanted])
        if chosen is None:
            return None
        cells: dict[str, list[Assignment]] = {site.plan.name: [] for site in self._sites}
        for (account, shape), cell in zip(wanted, chosen, strict=True):
            name = self._sites[cell].plan.name
            cells[name].append(_assignment(account, name, shape))
        return self._flatten(cells)

    def _expand_guarantees(self, accounts: Iterable[Account]) -> list[tuple[str, Shape]]:
        wanted = [
            (account.name, self.shape_of(guarantee))
            for account in accounts
            for guarantee in account.guarantees
            for _ in range(guarantee.count)
        ]
        return sorted(wanted, key=lambda pair: _hardest_first(pair[1]))

    def shape_of(self, guarantee: Guarantee) -> Shape:
        """The shape of a guarantee; the adjacency defaults to the narrowest that fits."""
        adjacent = guarantee.adjacent or narrowest(guarantee.accelerators, self._sites)
        return Shape(guarantee.accelerators, adjacent)

    def _place_each(
        self, cells: dict[str, list[Assignment]], wanted: Iterable[tuple[str, Shape]]
    ) -> tuple[str, Shape] | None:
        for account, shape in wanted:
            if not self._place(cells, account, shape):
                return account, shape
        return None

    def _place(self, cells: dict[str, list[Assignment]], account: str, shape: Shape) -> bool:
        for site in sorted(self._sites, key=lambda site: self._fullness(site, cells)):
            assignments = cells[site.plan.name]
            assignments.append(_assignment(account, site.plan.name, shape))
            if self._packs(site, assignments):
                return True
            assignments.pop()
        return False

    def _fullness(self, site: CellSite, cells: Mapping[str, list[Assignment]]) -> float:
        total = sum(worker.accelerators for worker in site.workers)
        return sum(a.accelerators for a in cells[site.plan.name]) / max(total, 1)

    def _all_pack(self, cells: Mapping[str, list[Assignment]]) -> bool:
        return all(self._packs(site, cells[site.plan.name]) for site in self._sites)

    def _packs(self, site: CellSite, assignments: Sequence[Assignment]) -> bool:
        return self._fits_with_spare(site, [assignment.shape for assignment in assignments])

    def _fits_with_spare(self, site: CellSite, shapes: Sequence[Shape]) -> bool:
        """Whether a cell can form all shapes at once, even after losing its spare workers."""
        resources = CellResources(site.workers)
        requests = [ShapeRequest(shape) for shape in shapes]
        if (
            pack(Space(resources.total, resources.slots, resources.racks), requests, PLANNER_BUDGET)
            is None
        ):
            return False
        return all(
            self._packs_after_losing(resources, requests, lost)
            for lost in self._worst_losses(resources)
        )

    def _packs_after_losing(
        self, resources: CellResources, requests: Sequence[ShapeRequest], lost: Sequence[int]
    ) -> bool:
        left = [0 if w in lost else total for w, total in enumerate(resources.total)]
        return (
            pack(Space(left, resources.slots, resources.racks), requests, PLANNER_BUDGET)
            is not None
        )

    def _worst_losses(self, resources: CellResources) -> list[list[int]]:
        """For each rack, the loss of all spare workers from that rack."""
        if not self._spare:
            return []
        return [list(rack[: self._spare]) for rack in resources.racks]

    def _find_nearest(
        self, cells: dict[str, list[Assignment]], account: str, shape: Shape
    ) -> Shape | None:
        for accelerators in range(shape.accelerators, 0, -1):
            for adjacent in (shape.adjacent, Adjacency.RACK, Adjacency.HALL):
                if ADJACENCY_ORDER[adjacent] < ADJACENCY_ORDER[shape.adjacent]:
                    continue
                candidate = Shape(accelerators, adjacent)
                if self._place(cells, account, candidate):
                    return candidate
        return None

    def _flatten(self, cells: Mapping[str, list[Assignment]]) -> tuple[Assignment, ...]:
        return tuple(a for site in self._sites for a in cells[site.plan.name])


def _assignment(account: str, cell: str, shape: Shape) -> Assignment:
    return Assignment(
        account=account, cell=cell, accelerators=shape.accelerators, adjacent=shape.adjacent
    )


def _cell_kind(site: CellSite) -> CellKind:
    resources = CellResources(site.workers)
    layout = tuple(
        tuple((resources.total[worker], resources.slots[worker]) for worker in rack)
        for rack in resources.racks
    )
    return CellKind(sum(resources.total), layout)


def _hardest_first(shape: Shape) -> tuple[int, int]:
    return ADJACENCY_ORDER[shape.adjacent], -shape.accelerators
