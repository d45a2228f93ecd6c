"""Which entry VMs there are and where each is reached, kept in the store under leases."""

from __future__ import annotations

import asyncio
import ipaddress
import logging
import math
import secrets

from saddlestack.codec import from_json, to_json
from saddlestack.control.context import EntryContext
from saddlestack.control.feed import Feed
from saddlestack.control.invalidrecords import InvalidRecords
from saddlestack.control.keys import MEMBERS, member_key
from saddlestack.control.settings import MAX_PORT
from saddlestack.errors import SaddlestackError, invalid
from saddlestack.interfaces.store import (
    Item,
    LeaseExpired,
    Put,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)
from saddlestack.kernel.service import Service
from saddlestack.models import Model

log = logging.getLogger("saddlestack.membership")

NAME = "membership"
LEASE_S = 10.0
"""A VM that is cut off stays listed for at least this less :data:`RENEW_INTERVAL_S`. A leader
renews workers' leases without the store for less time than that, so a VM that renews is always
listed."""
RENEW_INTERVAL_S = 2.0
RETRY_S = 0.5
RENEW_RETRY_S = 1.0
"""A refused renewal is repeated within this, sooner once the store answers again; not more often,
since every VM does so at once where the store refuses all of them."""
GONE_RETENTION_S = 12.0
"""How long a VM whose record is gone counts as one that may still renew workers' leases.

A VM that reaches the store has written its record again after 3.5 s (:data:`RENEW_INTERVAL_S`, a
call of 1 s, :data:`RETRY_S`). One that doesn't stops leading 1 s after that, and renewing after
5.5 s.
"""
MAX_RENEWAL_AGE_S = RENEW_INTERVAL_S + 2.0
"""So old may the last renewal of a VM's record be where it takes the leadership: two that fail may
lie between. The record then lasts for 6 s more, and a leader without the store renews workers'
leases for 5.5 s: also a VM that has just started finds it listed, and asks it."""
SECRET_BYTES = 16


class Member(Model, frozen=True):
    """One life of an entry VM.

    :param secret: the key of streams to it.
    """

    vm: str
    data_hall: str
    incarnation: int
    address: str
    port: int
    secret: str


class Membership(Service):
    """Tells the others of this VM, and remembers what they told.

    What was heard last is kept while the store does not answer.
    """

    def __init__(self, context: EntryContext) -> None:
        super().__init__(NAME, context.clock)
        self._context = context
        address = context.settings.peer_address
        self.local = Member(
            vm=context.settings.vm,
            data_hall=context.settings.data_hall,
            incarnation=context.incarnation,
            address=address.address,
            port=address.port,
            secret=secrets.token_hex(SECRET_BYTES),
        )
        self._members: dict[str, Member] = {}
        self._kept_s = -math.inf
        self._gone: dict[str, tuple[Member, float]] = {}
        self._unreadable: set[str] = set()
        self._unreadable_gone_s = -math.inf
        self._invalid_records = InvalidRecords(context.metrics, "member")
        self._overwritten = False
        self._feed = Feed(context, MEMBERS, self._replace, self._change)

    @property
    def loaded(self) -> asyncio.Event:
        """Set once the store has told of the others."""
        return self._feed.loaded

    @property
    def is_listed(self) -> bool:
        """Whether the others find this VM listed for as long as it may renew workers' leases."""
        return self.clock.now() - self._kept_s <= MAX_RENEWAL_AGE_S

    @property
    def is_complete(self) -> bool:
        """Whether every VM is known that may renew workers' leases.

        A record that cannot be read is that of a VM which nobody can ask, also for a while after
        the record has gone.
        """
        lately = self._unreadable_gone_s >= self.clock.now() - GONE_RETENTION_S
        return not self._unreadable and not lately

    async def start(self) -> None:
        """Begin to tell and to follow."""
        self.tasks.spawn(self._feed.run())
        self.tasks.spawn(self._tell())

    def member(self, vm: str) -> Member | None:
        """The latest life of a VM, if it is known; its record may have gone lately."""
        if vm == self.local.vm:
            return self.local
        return self._members.get(vm) or self._lately_gone().get(vm)

    def others(self) -> list[Member]:
        """All other VMs, in an order of chance."""
        others = [member for member in self._members.values() if member.vm != self.local.vm]
        self._context.rng.shuffle(others)
        return others

    def possible_renewers(self) -> list[Member]:
        """All other VMs that may renew workers' leases: also some whose record has gone."""
        gone = [member for vm, member in self._lately_gone().items() if vm != self.local.vm]
        return self.others() + gone

    def _lately_gone(self) -> dict[str, Member]:
        """VMs whose record went within :data:`GONE_RETENTION_S` and is not back."""
        since = self.clock.now() - GONE_RETENTION_S
        return {vm: member for vm, (member, gone_s) in self._gone.items() if gone_s >= since}

    def sample_by_hall(self, most: int) -> dict[str, list[Member]]:
        """Some other VMs of each data hall, chosen by chance.

        :param most: VMs of a hall.
        """
        halls: dict[str, list[Member]] = {}
        for member in self.others():
            halls.setdefault(member.data_hall, []).append(member)
        return {hall: members[:most] for hall, members in halls.items()}

    async def _tell(self) -> None:
        while True:
            try:
                sent = self.clock.now()
                lease, _ = await self._context.store.grant_lease(LEASE_S)
                put = Put(member_key(self.local.vm), to_json(self.local), lease)
                await self._context.store.transact(Transaction(puts=(put,)))
                self._overwritten = False
                self._kept_s = sent
                await self._keep(lease)
            except (StoreUnavailable, WriteInDoubt, LeaseExpired):
                await self._context.health.wait_for_recovery(
                    self._context.rng.uniform(RETRY_S / 2, RETRY_S)
                )

    async def _keep(self, lease: int) -> None:
        while True:
            # Sooner where the store is back: its leases may have run out meanwhile.
            await self._context.health.wait_for_recovery(RENEW_INTERVAL_S)
            if self._overwritten:
                return
            await self._renew(lease)

    async def _renew(self, lease: int) -> None:
        """Renew the lease of the record, soon again where that fails.

        A renewal left out would let the record lapse while this VM may still renew workers' leases.
        """
        while True:
            sent = self.clock.now()
            try:
                await self._context.store.renew_lease(lease)
                self._kept_s = sent
                return
            except StoreUnavailable:
                wait_s = self._context.rng.uniform(RENEW_RETRY_S / 2, RENEW_RETRY_S)
                await self._context.health.wait_for_recovery(wait_s)

    def _replace(self, items: tuple[Item, ...]) -> None:
        listed = {item.key.removeprefix(MEMBERS) for item in items if item.revision}
        for vm in sorted((self._members.keys() | self._unreadable) - listed):
            self._lose(vm)
        self._change(items)

    def _lose(self, vm: str) -> None:
        if vm == self.local.vm:
            self._overwritten = True
        if vm in self._unreadable:
            self._unreadable.discard(vm)
            self._unreadable_gone_s = self.clock.now()
        member = self._members.pop(vm, None)
        if member is not None:
            self._gone[vm] = (member, self.clock.now())

    def _change(self, items: tuple[Item, ...]) -> None:
        self._note(items)
        self._context.health.set_vm_count(len(self._members))

    def _note(self, items: tuple[Item, ...]) -> None:
        for item in items:
            vm = item.key.removeprefix(MEMBERS)
            if not item.revision:
                self._lose(vm)
                continue
            try:
                self._members[vm] = _member_of(vm, item)
            except SaddlestackError as error:
                self._refuse(vm, item, error)
                continue
            self._unreadable.discard(vm)
            self._gone.pop(vm, None)

    def _refuse(self, vm: str, item: Item, error: SaddlestackError) -> None:
        """Go on with what a VM told before, if it did."""
        self._invalid_records.report(item.key, str(error))
        if vm == self.local.vm:
            self._overwritten = True
        elif vm not in self._members:
            self._unreadable.add(vm)


def _member_of(vm: str, item: Item) -> Member:
    """The VM that a record describes.

    :raises SaddlestackError: it describes none, or another one.
    """
    member = from_json(item.value, Member, item.key)
    if not vm or member.vm != vm:
        raise invalid("expected the VM of the key", f"{item.key}: vm")
    try:
        ipaddress.ip_address(member.address)
    except ValueError:
        raise invalid("expected an IP address", f"{item.key}: address") from None
    if not 1 <= member.port <= MAX_PORT:
        raise invalid(f"expected a port up to {MAX_PORT}", f"{item.key}: port")
    return member
