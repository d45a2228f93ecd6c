"""Leader election: a store key under a lease. Its revision is the fencing token."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from saddlestack.codec import from_json, to_json
from saddlestack.control.context import EntryContext
from saddlestack.control.feed import LIST_TIMEOUT_S, list_within
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
"""Lifetime of the leader's lease, the shortest that the platforms grant.

After a leader is lost, there is no leader for this long.
"""
RENEW_INTERVAL_S = 0.25
"""Between renewals, so three of them may fail."""
RENEW_RETRY_S = 0.15
WATCH_TIMEOUT_S = 3.0
MAX_CAMPAIGN_DELAY_S = 0.15
MAX_HANDICAP_S = 0.5
"""Extra delay, at most, before a VM with a slow processor or link takes a free leader key."""
RETRY_S = 0.4
RENEWAL_GRACE_S = 4.5
"""How long a leader without the store renews workers' leases after its own lease has expired.

With worker leases of 10 s, running work survives a store outage of 15 s. A successor adds this time
for workers that it doesn't reach.
"""

MIN_SUSPENSION_S = 0.1
"""Suspensions of the machine that are shorter than this are ignored.

They end before another VM can take over, and the two clocks drift apart by less than this.
"""


class LeaderRecord(Model, frozen=True):
    """Value of the leader key.

    :param vm: name of the leading VM.
    :param lease: lease that the key is attached to.
    """

    vm: str
    incarnation: int
    lease: int


@dataclass(frozen=True, slots=True)
class Term:
    """One leadership of this VM.

    :param fence: revision at which the leader key was created; a later term has a higher one.
    """

    fence: int
    record: LeaderRecord


class LeadershipListener(Protocol):
    """Notified when this VM gains or loses the leadership."""

    async def elected(self, term: Term) -> None:
        """Called when this VM becomes the leader."""
        ...

    async def deposed(self) -> None:
        """Called when this VM is no longer the leader."""
        ...


class Leadership(Service):
    """Watches the leader key, takes it when it is free, and renews its lease.

    :param may_lead: returns whether the other VMs would find this VM listed for as long as it may
        renew workers' leases.
    """

    def __init__(
        self, context: EntryContext, listener: LeadershipListener, may_lead: Callable[[], bool]
    ) -> None:
        super().__init__(NAME, context.clock)
        self._context = context
        self._listener = listener
        self._may_lead = may_lead
        self._own_record: LeaderRecord | None = None
        self._resigning = False
        self._revision = 0
        self._invalid_revision: int | None = None
        self._invalid_since_s = 0.0
        self._invalid_records = InvalidRecords(context.metrics, "leader")
        self.leader: LeaderRecord | None = None
        self.term: Term | None = None
        self._lease_s = LEASE_S
        self._lease_expires_s = 0.0
        self._suspended_at_renewal_s = 0.0

    def grants_until(self, term: Term) -> float:
        """Returns until when a term may grant leases to workers.

        Its successor takes leases into account that were granted up to then.

        Check this right before each grant: a VM that was paused resumes before it learns that its
        term is over.

        :return: a time on this VM's clock, ``-inf`` if the term is over.
        """
        return self._lease_expires_s + RENEWAL_GRACE_S if self.term is term else -math.inf

    def is_confirmed(self, term: Term) -> bool:
        """Returns whether a term may answer queries about what has happened.

        A VM that was suspended resumes with its timers late by that time. Another VM may have taken
        over meanwhile, which this one learns only from its next renewal.
        """
        new_suspension_s = self.clock.suspended_s() - self._suspended_at_renewal_s
        return new_suspension_s < MIN_SUSPENSION_S and self.clock.now() <= self.grants_until(term)

    async def start(self) -> None:
        """Starts to watch the leader key."""
        self.tasks.spawn(self._run())

    async def resign(self) -> None:
        """Gives up the leadership for good, so that another VM can take it at once."""
        self._resigning = True
        term = self.term
        if term is None:
            return
        await self._depose("resigned")
        try:
            await self._context.store.end_lease(term.record.lease)
        except (StoreUnavailable, LeaseExpired) as error:
            log.warning(
                "leader lease could not be ended",
                extra={"event": "resign_failed", "reason": type(error).__name__},
            )

    async def end_term(self, term: Term) -> None:
        """Ends a term that has been superseded."""
        if self.term is term:
            await self._depose("found displaced")

    async def _run(self) -> None:
        store = self._context.store
        failures = 0
        while True:
            try:
                listing = await list_within(store, LEADER, LIST_TIMEOUT_S, failures)
                failures = 0
                present = [item for item in listing.items if item.key == LEADER]
                await self._observe(present[0] if present else Item(LEADER, b"", 0))
                await self._watch(listing.revision)
            except (HistoryGone, StoreUnavailable):
                failures += 1
                await self._context.health.wait_for_recovery(
                    self._context.rng.uniform(RETRY_S / 4, RETRY_S)
                )

    async def _watch(self, revision: int) -> None:
        store = self._context.store
        while True:
            free = self._free_revision is not None and not self._resigning
            wait = self._campaign_delay_s() if free else WATCH_TIMEOUT_S
            changes = await store.watch(LEADER, revision, wait)
            revision = max(revision, changes.revision)
            for item in changes.items:
                if item.key == LEADER:
                    await self._observe(item)
            may_campaign = (free or not self._handicap) and self._may_lead()
            present = self._free_revision
            if present is not None and may_campaign and not self._resigning:
                await self._campaign(present)

    @property
    def _free_revision(self) -> int | None:
        """The revision at which the leader key may be taken, 0 if there is no key.

        ``None`` while there is a leader. A key whose value is invalid is replaced after the time of
        a leader's lease: it may have no lease, and then no VM could become leader again. A former
        leader is superseded by a later term, as after any other loss.
        """
        if self.term is not None:
            return None
        if self._invalid_revision is None:
            return 0 if self.leader is None else None
        return (
            self._invalid_revision if self.clock.now() - self._invalid_since_s >= LEASE_S else None
        )

    def _campaign_delay_s(self) -> float:
        """Returns a random delay, so that VMs don't campaign all at once.

        VMs with a slow processor or link wait longer.
        """
        return (
            self._context.rng.uniform(0.0, MAX_CAMPAIGN_DELAY_S) + MAX_HANDICAP_S * self._handicap
        )

    @property
    def _handicap(self) -> float:
        """0 if this VM is well able to lead, up to 1 if it is hardly able to."""
        return max(0.0, 1.0 - self._context.settings.strength)

    async def _observe(self, item: Item) -> None:
        try:
            record = _read(item)
        except SaddlestackError as error:
            self._observe_invalid(item, error)
            return
        self._invalid_revision = None
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
        if record is not None and record == self._own_record and self.term is None:
            await self._begin(Term(item.revision, record))

    def _observe_invalid(self, item: Item, error: SaddlestackError) -> None:
        """Handles an invalid leader key: it neither begins nor ends a term.

        A leader whose key was replaced learns so from its next write.
        """
        self._invalid_records.report(item.key, str(error))
        if item.revision not in {self._revision, self._invalid_revision}:
            self._invalid_revision = item.revision
            self._invalid_since_s = self.clock.now()

    async def _campaign(self, present: int) -> None:
        """Tries to take the leader key.

        :param present: revision of the key; 0 if there is none.
        """
        store = self._context.store
        sent = self.clock.now()
        self._suspended_at_renewal_s = self.clock.suspended_s()
        lease, self._lease_s = await store.grant_lease(LEASE_S)
        record = LeaderRecord(
            vm=self._context.settings.vm, incarnation=self._context.incarnation, lease=lease
        )
        self._own_record = record
        self._lease_expires_s = sent + self._lease_s
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
        self.tasks.spawn(self._renew_lease(term))
        await self._listener.elected(term)

    async def _renew_lease(self, term: Term) -> None:
        """Renews the lease until the term ends."""
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
            self._lease_expires_s = sent + self._lease_s
            self._suspended_at_renewal_s = suspended_s
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def _depose(self, reason: str) -> None:
        if self.term is None:
            return
        log.warning(
            "no longer leader",
            extra={"event": "deposed", "reason": reason, "fence": self.term.fence},
        )
        self.term = None
        self._own_record = None
        if self.leader is not None and self.leader.vm == self._context.settings.vm:
            self.leader = None
        await self._listener.deposed()


def _read(item: Item) -> LeaderRecord | None:
    """Returns the current leader, or ``None`` if there is none.

    :raises SaddlestackError: the key exists, but its value is invalid.
    """
    return from_json(item.value, LeaderRecord, item.key) if item.revision else None
