"""The list of entry VMs and their addresses, kept in the store under leases."""

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
"""A failed renewal is retried within this time, or as soon as the store is available again.

Not more often, since all VMs retry at once when the store fails for all of them.
"""
GONE_RETENTION_S = 12.0
"""How long a VM whose record is gone counts as one that may still renew workers' leases.

A VM that reaches the store has written its record again after 3.5 s (:data:`RENEW_INTERVAL_S`, a
call of 1 s, :data:`RETRY_S`). One that doesn't stops leading 1 s after that, and renewing after
5.5 s.
"""
MAX_RENEWAL_AGE_S = RENEW_INTERVAL_S + 2.0
"""A VM may take the leadership only if it renewed its record within this time, so two renewals may
have failed since.

The record then lasts for 6 s more, while a leader without the store renews workers' leases for 5.5
s. So a VM that has just started also finds the record and can query the VM.
"""
SECRET_BYTES = 16


class Member(Model, frozen=True):
    """One incarnation of an entry VM.

    :param secret: key that authenticates streams to it.
    """

    vm: str
    data_hall: str
    incarnation: int
    address: str
    port: int
    secret: str


class Membership(Service):
    """Registers this VM in the store and follows the records of the others.

    The latest known records are kept while the store is unavailable.
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
        self._renewed_s = -math.inf
        self._gone: dict[str, tuple[Member, float]] = {}
        self._invalid: set[str] = set()
        self._invalid_removed_s = -math.inf
        self._invalid_records = InvalidRecords(context.metrics, "member")
        self._must_register = False
        self._feed = Feed(context, MEMBERS, self._replace, self._change, name="members")

    @property
    def loaded(self) -> asyncio.Event:
        """Set once all records have been read from the store."""
        return self._feed.loaded

    @property
    def is_listed(self) -> bool:
        """Whether other VMs find this VM listed for as long as it may renew workers' leases."""
        return self.clock.now() - self._renewed_s <= MAX_RENEWAL_AGE_S

    @property
    def is_complete(self) -> bool:
        """Whether every VM that may renew workers' leases is known.

        An invalid record belongs to a VM that can't be queried. It counts for some time after it
        was removed as well.
        """
        recently = self._invalid_removed_s >= self.clock.now() - GONE_RETENTION_S
        return not self._invalid and not recently

    async def start(self) -> None:
        """Starts to register this VM and to follow the others."""
        self.tasks.spawn(self._feed.run())
        self.tasks.spawn(self._register())

    def member(self, vm: str) -> Member | None:
        """Returns the latest incarnation of a VM, also shortly after its record was removed."""
        if vm == self.local.vm:
            return self.local
        return self._members.get(vm) or self._recently_removed().get(vm)

    def others(self) -> list[Member]:
        """Returns all other VMs, in random order."""
        others = [member for member in self._members.values() if member.vm != self.local.vm]
        self._context.rng.shuffle(others)
        return others

    def possible_renewers(self) -> list[Member]:
        """Returns all other VMs that may renew workers' leases, also some whose record is gone."""
        gone = [member for vm, member in self._recently_removed().items() if vm != self.local.vm]
        return self.others() + gone

    def _recently_removed(self) -> dict[str, Member]:
        """VMs whose record was removed within :data:`GONE_RETENTION_S` and not written again."""
        since = self.clock.now() - GONE_RETENTION_S
        return {vm: member for vm, (member, gone_s) in self._gone.items() if gone_s >= since}

    def sample_by_hall(self, per_hall: int) -> dict[str, list[Member]]:
        """Returns some other VMs of each data hall, chosen at random.

        :param per_hall: maximum number of VMs per hall.
        """
        halls: dict[str, list[Member]] = {}
        for member in self.others():
            halls.setdefault(member.data_hall, []).append(member)
        return {hall: members[:per_hall] for hall, members in halls.items()}

    async def _register(self) -> None:
        while True:
            try:
                sent = self.clock.now()
                lease, _ = await self._context.store.grant_lease(LEASE_S)
                put = Put(member_key(self.local.vm), to_json(self.local), lease)
                await self._context.store.transact(Transaction(puts=(put,)))
                self._must_register = False
                self._renewed_s = sent
                await self._keep(lease)
            except (StoreUnavailable, WriteInDoubt, LeaseExpired):
                await self._context.health.wait_for_recovery(
                    self._context.rng.uniform(RETRY_S / 2, RETRY_S)
                )

    async def _keep(self, lease: int) -> None:
        while True:
            # Renew at once after a store outage: the lease may have expired meanwhile.
            await self._context.health.wait_for_recovery(RENEW_INTERVAL_S)
            if self._must_register:
                return
            await self._renew(lease)

    async def _renew(self, lease: int) -> None:
        """Renews the lease of the record, and retries soon if that fails.

        If a renewal were skipped, the record could expire while this VM may still renew workers'
        leases.
        """
        while True:
            sent = self.clock.now()
            try:
                await self._context.store.renew_lease(lease)
                self._renewed_s = sent
                return
            except StoreUnavailable:
                wait_s = self._context.rng.uniform(RENEW_RETRY_S / 2, RENEW_RETRY_S)
                await self._context.health.wait_for_recovery(wait_s)

    def _replace(self, items: tuple[Item, ...]) -> None:
        listed = {item.key.removeprefix(MEMBERS) for item in items if item.revision}
        for vm in sorted((self._members.keys() | self._invalid) - listed):
            self._remove(vm)
        self._change(items)

    def _remove(self, vm: str) -> None:
        if vm == self.local.vm:
            self._must_register = True
        if vm in self._invalid:
            self._invalid.discard(vm)
            self._invalid_removed_s = self.clock.now()
        member = self._members.pop(vm, None)
        if member is not None:
            self._gone[vm] = (member, self.clock.now())

    def _change(self, items: tuple[Item, ...]) -> None:
        self._update(items)
        self._context.health.set_vm_count(len(self._members))

    def _update(self, items: tuple[Item, ...]) -> None:
        for item in items:
            vm = item.key.removeprefix(MEMBERS)
            if not item.revision:
                self._remove(vm)
                continue
            try:
                self._members[vm] = _decode_member(vm, item)
            except SaddlestackError as error:
                self._reject(vm, item, error)
                continue
            self._invalid.discard(vm)
            self._gone.pop(vm, None)

    def _reject(self, vm: str, item: Item, error: SaddlestackError) -> None:
        """Keeps the previous valid record of a VM, if there is one."""
        self._invalid_records.report(item.key, str(error))
        if vm == self.local.vm:
            self._must_register = True
        elif vm not in self._members:
            self._invalid.add(vm)


def _decode_member(vm: str, item: Item) -> Member:
    """Decodes and checks a VM's record.

    :raises SaddlestackError: the record is invalid, or that of another VM.
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
