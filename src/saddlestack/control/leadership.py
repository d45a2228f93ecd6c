"""Which VM schedules: a key of the store with a lease, whose revision is the fencing token."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from saddlestack.codec import from_json, to_json
from saddlestack.control.context import EntryContext
from saddlestack.control.invalidrecords import InvalidRecords
from saddlestack.control.keys import LEADER
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.store import (
    Committed,
    HistoryGone,
    Item,
    LeaseExpired,
    Put,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)
from saddlestack.kernel.service import Service
from saddlestack.models import Model

log = logging.getLogger("saddlestack.leadership")

NAME = "leadership"
LEASE_S = 1.0
"""The shortest lease that the platforms grant; nobody leads for so long after a leader is lost."""
RENEW_INTERVAL_S = 0.25
"""Between renewals; three may be lost."""
RENEW_RETRY_S = 0.15
WATCH_S = 3.0
CAMPAIGN_S = 0.15
HANDICAP_S = 0.5
"""So much longer waits a VM that can hardly lead before it takes a free leader key."""
RETRY_S = 0.4
RENEWAL_GRACE_S = 4.5
"""For so long after its lease a leader without the store still renews what runs: with leases of
10 s, work outlasts an outage of 15 s. A successor that does not reach a worker counts this time."""

SUSPENSION_S = 0.1
"""Shorter suspensions end before anybody else can lead; the two clocks drift by less than that."""


class LeaderRecord(Model, frozen=True):
    """Who leads.

    :param lease: the lease that the record hangs on.
    """

    vm: str
    incarnation: int
    lease: int


@dataclass(frozen=True, slots=True)
class Term:
    """One leadership of this VM.

    :param fence: the revision that created the leader key; higher terms have higher ones.
    """

    fence: int
    record: LeaderRecord


class LeadershipListener(Protocol):
    """What is told of leaderships."""

    async def elected(self, term: Term) -> None:
        """This VM leads now."""
        ...

    async def deposed(self) -> None:
        """This VM no longer leads."""
        ...


class Leadership(Service):
    """Follows the leader key, takes it where it is free, and keeps it.

    :param may_lead: whether the others would know of this VM for as long as it may renew leases.
    """

    def __init__(
        self, context: EntryContext, listener: LeadershipListener, may_lead: Callable[[], bool]
    ) -> None:
        super().__init__(NAME, context.clock)
        self._context = context
        self._listener = listener
        self._may_lead = may_lead
        self._held: LeaderRecord | None = None
        self._leaving = False
        self._revision = 0
        self._unreadable: int | None = None
        self._unreadable_s = 0.0
        self._invalid_records = InvalidRecords(context.metrics, "leader")
        self.leader: LeaderRecord | None = None
        self.term: Term | None = None
        self._lasts_s = LEASE_S
        self._valid_s = 0.0
        self._suspended_s = 0.0

    def grants_until(self, term: Term) -> float:
        """Until when a term may grant workers' leases: its successor counts no longer.

        Asked right before each grant, since a VM that stood still goes on before it learns that
        its term is over.

        :return: a time on this VM's clock.
        """
        return self._valid_s + RENEWAL_GRACE_S if self.term is term else -math.inf

    def is_confirmed(self, term: Term) -> bool:
        """Whether a term may answer for what has happened.

        A VM that was suspended goes on as if nothing had been, with its timers late by that time:
        it may have been followed by another, and finds out with its next renewal.
        """
        slept_s = self.clock.suspended_s() - self._suspended_s
        return slept_s < SUSPENSION_S and self.clock.now() <= self.grants_until(term)

    async def start(self) -> None:
        """Begin to follow the leader key."""
        self.tasks.spawn(self._run())

    async def resign(self) -> None:
        """Give the leadership up for good, so that another VM takes it at once."""
        self._leaving = True
        term = self.term
        if term is None:
            return
        await self._depose("resigned")
        try:
            await self._context.store.end_lease(term.record.lease)
        except (StoreUnavailable, LeaseExpired) as error:
            log.warning(
                "lease could not be ended",
                extra={"event": "resign_failed", "reason": type(error).__name__},
            )

    async def end_term(self, term: Term) -> None:
        """End a term that was found to be over."""
        if self.term is term:
            await self._depose("found displaced")

    async def _run(self) -> None:
        while True:
            try:
                listing = await self._context.store.list(LEADER)
                present = [item for item in listing.items if item.key == LEADER]
                await self._observe(present[0] if present else Item(LEADER, b"", 0))
                await self._follow(listing.revision)
            except (HistoryGone, StoreUnavailable):
                await self._context.health.wait_for_recovery(
                    self._context.rng.uniform(RETRY_S / 4, RETRY_S)
                )

    async def _follow(self, revision: int) -> None:
        store = self._context.store
        while True:
            free = self._free_revision is not None and not self._leaving
            wait = self._campaign_wait_s() if free else WATCH_S
            changes = await store.watch(LEADER, revision, wait)
            revision = max(revision, changes.revision)
            for item in changes.items:
                if item.key == LEADER:
                    await self._observe(item)
            waited = (free or not self._weakness) and self._may_lead()
            present = self._free_revision
            if present is not None and waited and not self._leaving:
                await self._campaign(present)

    @property
    def _free_revision(self) -> int | None:
        """The revision of a leader key that may be taken, 0 where there is none.

        ``None`` where somebody leads. A key that names nobody is replaced once it has stood for as
        long as a leader's lease: it may hang on no lease, and nobody could lead ever after. Who led
        before loses the leadership to a later term, as after every other loss.
        """
        if self.term is not None:
            return None
        if self._unreadable is None:
            return 0 if self.leader is None else None
        return self._unreadable if self.clock.now() - self._unreadable_s >= LEASE_S else None

    def _campaign_wait_s(self) -> float:
        """Chance keeps VMs apart; those with a slow processor or link let others go first."""
        return self._context.rng.uniform(0.0, CAMPAIGN_S) + HANDICAP_S * self._weakness

    @property
    def _weakness(self) -> float:
        """0 where this VM can well lead, up to 1 where it hardly can."""
        return max(0.0, 1.0 - self._context.settings.strength)

    async def _observe(self, item: Item) -> None:
        try:
            record = _read(item)
        except SaddlestackError as error:
            self._observe_unreadable(item, error)
            return
        self._unreadable = None
        self._revision = item.revision
        if record == self.leader:
            return
        self.leader = record
        log.info(
            "leader changed",
            extra={
                "event": "leader",
                "leader": record.vm if record else None,
                "revision": item.revision,
            },
        )
        if self.term is not None and record != self.term.record:
            await self._depose("displaced")
        if record is not None and record == self._held and self.term is None:
            await self._begin(Term(item.revision, record))

    def _observe_unreadable(self, item: Item, error: SaddlestackError) -> None:
        """The leader key cannot be read: it tells of no term, neither that one begins nor ends.

        A term whose key was replaced learns it from its next write.
        """
        self._invalid_records.report(item.key, str(error))
        if item.revision not in {self._revision, self._unreadable}:
            self._unreadable = item.revision
            self._unreadable_s = self.clock.now()

    async def _campaign(self, present: int) -> None:
        """Take the leader key.

        :param present: its revision; 0 where there is none.
        """
        store = self._context.store
        sent = self.clock.now()
        self._suspended_s = self.clock.suspended_s()
        lease, self._lasts_s = await store.grant_lease(LEASE_S)
        record = LeaderRecord(
            vm=self._context.settings.vm, incarnation=self._context.incarnation, lease=lease
        )
        self._held = record
        self._valid_s = sent + self._lasts_s
        transaction = Transaction(
            expect=((LEADER, present),), puts=(Put(LEADER, to_json(record), lease),)
        )
        try:
            outcome = await store.transact(transaction)
        except WriteInDoubt:
            item = await store.get(LEADER)
            await self._observe(item)
            return
        except LeaseExpired:
            return
        if isinstance(outcome, Committed):
            await self._observe(Item(LEADER, to_json(record), outcome.revision))
        else:
            await self._observe(outcome.items[0])

    async def _begin(self, term: Term) -> None:
        self.term = term
        log.info("elected", extra={"event": "elected", "fence": term.fence})
        self.tasks.spawn(self._keep(term))
        await self._listener.elected(term)

    async def _keep(self, term: Term) -> None:
        """Renew the lease until the term is over."""
        while self.term is term:
            sent = self.clock.now()
            suspended_s = self.clock.suspended_s()
            try:
                await self._context.store.renew_lease(term.record.lease)
            except LeaseExpired:
                await self._depose("lease over")
                return
            except StoreUnavailable:
                if self.clock.now() > self.grants_until(term):
                    await self._depose("store lost")
                    return
                await self._context.health.wait_for_recovery(RENEW_RETRY_S)
                continue
            self._valid_s = sent + self._lasts_s
            self._suspended_s = suspended_s
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def _depose(self, reason: str) -> None:
        if self.term is None:
            return
        log.warning(
            "no longer leader",
            extra={"event": "deposed", "reason": reason, "fence": self.term.fence},
        )
        self.term = None
        self._held = None
        if self.leader is not None and self.leader.vm == self._context.settings.vm:
            self.leader = None
        await self._listener.deposed()


def _read(item: Item) -> LeaderRecord | None:
    """Who leads, or ``None`` where nobody does.

    :raises SaddlestackError: the key is there and cannot be read.
    """
    return from_json(item.value, LeaderRecord, item.key) if item.revision else None
