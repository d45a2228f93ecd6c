"""Ownership of cells: a VM takes a cell over by raising the cell's term in the store.

Each takeover is one compare-and-swap; there is no lease to renew. A cell that no live scheduler
announces is taken over by the first live VM of the data hall in the cell's rendezvous order.
While the store is down, the cell is served from memory under the last known term, on endpoints
whose lease has expired, until its term can be raised.
"""

from __future__ import annotations

import asyncio
import logging

from saddlestack.codec import from_json, to_json
from saddlestack.kernel.service import Service
from saddlestack.models import DataHall, Document, Model
from saddlestack.platform.store import (
    StoreClient,
    StoreUnavailable,
    VersionConflict,
    WriteInDoubt,
)
from saddlestack.policy.planner import CellSite, cells_of
from saddlestack.services import names
from saddlestack.services.configuration import Configuration
from saddlestack.services.context import Context
from saddlestack.services.entries import Hooks
from saddlestack.services.groupcommit import Fenced
from saddlestack.services.inventory import Inventory
from saddlestack.services.ledger import JobRecord, Ledger
from saddlestack.services.membership import Membership, rendezvous
from saddlestack.services.scheduler import Scheduler
from saddlestack.wire.messages import Beat

log = logging.getLogger("saddlestack.ownership")

CHECK_S = 0.4
SETTLE_S = 2.0
MAX_BACKOFF_S = 2.0
HAND_OVER_S = 10.0


class Owner(Model, frozen=True):
    """The stored owner of a cell.

    :param claim: number of the takeover within the VM's incarnation; identifies a write whose
        response was lost.
    """

    cell: str
    term: int
    vm: str
    incarnation: int
    claim: int = 0


class Ownership(Service):
    """Takes over the cells of this data hall and hands them over when the VM drains."""

    def __init__(self, context: Context) -> None:
        super().__init__(names.OWNERSHIP, context.clock)
        self._context = context
        self._store = context.registry.get(names.STORE, StoreClient)
        self._membership = context.registry.get(names.MEMBERSHIP, Membership)
        self._configuration = context.registry.get(names.CONFIGURATION, Configuration)
        self._inventory = context.registry.get(names.INVENTORY, Inventory)
        self._schedulers: dict[str, Scheduler] = {}
        self._takeovers: set[str] = set()
        self._terms: dict[str, int] = {}
        self._takeover_count = 0
        self._started = 0.0
        self._sites: list[CellSite] = []
        self._sites_halls: tuple[DataHall, ...] | None = None
        self.leaving = False
        self._configuration.subscribe(self._configured)
        self._inventory.subscribe(self._inventory_changed)

    async def start(self) -> None:
        """Start the periodic check of the hall's cells."""
        self._started = self.clock.now()
        self.tasks.spawn(self._check_forever())

    async def stop(self) -> None:
        """Stop every scheduler without a handover."""
        await super().stop()
        for scheduler in list(self._schedulers.values()):
            self._remove_scheduler(scheduler)
            await scheduler.stop()

    @property
    def schedulers(self) -> list[Scheduler]:
        """The schedulers that run in this VM."""
        return list(self._schedulers.values())

    async def hand_over(self) -> None:
        """Hand over every cell, so that another VM can take it over at once."""
        self.leaving = True
        self.announce()
        for scheduler in list(self._schedulers.values()):
            await scheduler.hand_over(HAND_OVER_S)
            self._remove_scheduler(scheduler)
            await scheduler.stop()
        self.announce()

    def announce(self) -> None:
        """Publish this VM's cells with the next heartbeat."""
        self._membership.announce(
            Beat(
                revision=self._configuration.document.revision,
                leaving=self.leaving,
                cells=tuple(s.beat() for s in self._schedulers.values()),
            )
        )

    def sites(self) -> list[CellSite]:
        """The cells of this data hall."""
        halls = self._configuration.document.data_halls
        if halls is not self._sites_halls:
            self._sites_halls = halls
            hall = self._context.data_hall
            self._sites = [s for s in cells_of(halls) if s.plan.data_hall == hall]
        return self._sites

    async def _check_forever(self) -> None:
        while True:
            await asyncio.sleep(CHECK_S)
            self._record_terms()
            if self.leaving or not self._configuration.loaded.is_set():
                continue
            if self._is_starting() and not (self._inventory.listed and self._membership.settled()):
                continue
            for site in self.sites():
                self._check_cell(site)
            self.announce()

    def _is_starting(self) -> bool:
        return self.clock.now() - self._started < SETTLE_S

    def _record_terms(self) -> None:
        for member in self._membership.members:
            for beat in member.cells:
                self._terms[beat.cell] = max(self._terms.get(beat.cell, 0), beat.term)

    def _check_cell(self, site: CellSite) -> None:
        cell = site.plan.name
        if cell in self._takeovers:
            return
        own = self._schedulers.get(cell)
        if own is not None:
            if own.interim and self._store.available:
                self._begin_takeover(site)
            elif self._is_outranked(own):
                self._drop_cell(cell)
            return
        owner = self._membership.owner(cell)
        first = rendezvous(cell, self._membership.candidates())[:1]
        if owner is None and first == [self._context.vm]:
            self._begin_takeover(site)

    def _is_outranked(self, own: Scheduler) -> bool:
        owner = self._membership.owner(own.cell)
        return owner is not None and owner.vm != self._context.vm and owner.beat.term > own.term

    def _begin_takeover(self, site: CellSite) -> None:
        self._takeovers.add(site.plan.name)
        self.tasks.spawn(self._run_takeover(site))

    async def _run_takeover(self, site: CellSite) -> None:
        try:
            await self._take_over(site)
        finally:
            self._takeovers.discard(site.plan.name)

    async def _take_over(self, site: CellSite) -> None:
        cell = site.plan.name
        started_at = self.clock.now()
        try:
            term = await self._raise_term(cell)
        except (VersionConflict, Fenced):
            await asyncio.sleep(CHECK_S)
            return
        except StoreUnavailable:
            await self._serve_interim(site)
            return
        inherited = await self._end_interim(cell)
        ledger = self._ledger(cell, term)
        await self._run(site, term, ledger, inherited)
        log.info(
            "cell taken over",
            extra={
                "event": "cell_taken",
                "cell": cell,
                "term": term,
                "seconds": round(self.clock.now() - started_at, 3),
            },
        )

    async def _raise_term(self, cell: str) -> int:
        """Raise the cell's term and record this VM as its owner.

        :return: the new term.
        :raises VersionConflict: another VM changed the record first.
        :raises StoreUnavailable: the store does not answer.
        """
        key = f"cells/{cell}"
        entry = await self._store.get(key)
        term = from_json(entry.value, Owner).term if entry.version else 0
        self._takeover_count += 1
        own = Owner(
            cell=cell,
            term=max(term, self._terms.get(cell, 0)) + 1,
            vm=self._context.vm,
            incarnation=self._context.incarnation,
            claim=self._takeover_count,
        )
        try:
            await self._store.swap(key, to_json(own), entry.version)
        except WriteInDoubt:
            found = await self._store.get(key)
            if not found.version or from_json(found.value, Owner) != own:
                raise VersionConflict from None
        return own.term

    async def _serve_interim(self, site: CellSite) -> None:
        """Serve the cell from memory under the last known term while the store is down."""
        cell = site.plan.name
        term = self._terms.get(cell, 0)
        if cell in self._schedulers or not term:
            await asyncio.sleep(CHECK_S)
            return
        log.warning(
            "cell served without the store",
            extra={"event": "cell_interim", "cell": cell, "term": term},
        )
        await self._run(site, term, None, [])

    async def _end_interim(self, cell: str) -> list[JobRecord]:
        interim = self._schedulers.get(cell)
        if interim is None:
            return []
        records = interim.records()
        self._remove_scheduler(interim)
        await interim.stop()
        return records

    def _ledger(self, cell: str, term: int) -> Ledger:
        return Ledger(
            self._store,
            cell,
            term,
            f"{self._context.vm}#{self._context.incarnation}#{term}",
            self._context.rng,
            self._context.settings.retention_s,
        )

    async def _run(
        self, site: CellSite, term: int, ledger: Ledger | None, inherited: list[JobRecord]
    ) -> None:
        cell = site.plan.name
        self._terms[cell] = max(term, self._terms.get(cell, 0))
        scheduler = Scheduler(
            self._context,
            site,
            term,
            self._configuration.document,
            ledger,
            Hooks(self._drop_cell, self._verify, self.announce),
            inherited,
        )
        self._schedulers[cell] = scheduler
        self._context.registry.add(scheduler.name, scheduler)
        self._connect(scheduler)
        await scheduler.start()
        self.announce()

    def _drop_cell(self, cell: str) -> None:
        scheduler = self._schedulers.get(cell)
        if scheduler is not None:
            self._remove_scheduler(scheduler)
            self.tasks.spawn(scheduler.stop())
            self.announce()

    def _remove_scheduler(self, scheduler: Scheduler) -> None:
        if self._schedulers.get(scheduler.cell) is scheduler:
            del self._schedulers[scheduler.cell]
            self._context.registry.remove(scheduler.name)

    async def _verify(self, cell: str, term: int) -> bool:
        """Whether this VM still owns the cell, by the store or, if it is down, by heartbeats."""
        try:
            entry = await self._store.get(f"cells/{cell}")
        except StoreUnavailable:
            owner = self._membership.owner(cell)
            return owner is None or owner.vm == self._context.vm or owner.beat.term < term
        if not entry.version:
            return False
        record = from_json(entry.value, Owner)
        return (record.term, record.vm) == (term, self._context.vm)

    def _configured(self, document: Document) -> None:
        known = {site.plan.name: site for site in self.sites()}
        for scheduler in list(self._schedulers.values()):
            site = known.get(scheduler.cell)
            if site is None or site != scheduler.site:
                self._drop_cell(scheduler.cell)
            else:
                scheduler.configure(document, self._leaving_vms())
        self.announce()

    def _inventory_changed(self) -> None:
        for scheduler in self._schedulers.values():
            self._connect(scheduler)

    def _connect(self, scheduler: Scheduler) -> None:
        for vm in self._inventory.endpoints.values():
            scheduler.connect(vm.name, vm.address, vm.port)
        scheduler.configure(self._configuration.document, self._leaving_vms())

    def _leaving_vms(self) -> frozenset[str]:
        return self._inventory.leaving | frozenset(self._configuration.document.leaving)
