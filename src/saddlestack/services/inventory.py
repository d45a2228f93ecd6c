"""The inventory of VMs, polled from the platform's VM list."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable

from saddlestack.kernel.service import Service
from saddlestack.platform.vms import VmEntry, VmList, VmListClient, VmListUnavailable
from saddlestack.services import names
from saddlestack.services.context import Context
from saddlestack.services.membership import Membership
from saddlestack.settings import Peer

log = logging.getLogger("saddlestack.inventory")

POLL_INTERVAL_S = 1.0
JITTER = 0.2

ENTRY = "entry"
ENDPOINT = "endpoint"


class Inventory(Service):
    """Holds the endpoints of this hall and passes the entry VMs of all halls to membership.

    ``listed`` is whether the list contains this VM, and so those that started before it.
    """

    def __init__(self, context: Context) -> None:
        super().__init__(names.INVENTORY, context.clock)
        self._context = context
        self._client = VmListClient(
            context.settings.vm_list.address,
            context.settings.vm_list.port,
            dialer=context.dialer,
        )
        self._version = -1
        self._listeners: list[Callable[[], None]] = []
        self.endpoints: dict[str, VmEntry] = {}
        self.leaving: frozenset[str] = frozenset()
        self.listed = False

    async def start(self) -> None:
        """Start polling the list."""
        self.tasks.spawn(self._poll_forever())

    async def stop(self) -> None:
        """Stop polling and close the client."""
        await super().stop()
        self._client.close()

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Call a listener after each change of the list."""
        self._listeners.append(listener)

    @property
    def bytes(self) -> int:
        """Bytes exchanged with the platform's VM list service since this process started."""
        return self._client.bytes

    async def _poll_forever(self) -> None:
        while True:
            try:
                listed = await self._client.read(self._context.data_hall, self._version)
            except VmListUnavailable:
                listed = None
            if listed is not None:
                self._apply(listed)
            await asyncio.sleep(POLL_INTERVAL_S * self._context.rng.uniform(1 - JITTER, 1 + JITTER))

    def _apply(self, listed: VmList) -> None:
        self._version = listed.version
        self.endpoints = {vm.name: vm for vm in listed.vms if vm.role == ENDPOINT}
        self.leaving = frozenset(vm.name for vm in listed.vms if vm.leaving)
        entries = [vm for vm in listed.vms if vm.role == ENTRY]
        self.listed = any(vm.name == self._context.vm for vm in entries)
        membership = self._context.registry.get(names.MEMBERSHIP, Membership)
        for vm in entries:
            membership.add_peer(
                Peer(name=vm.name, data_hall=vm.data_hall, address=vm.address, port=vm.peer_port)
            )
        membership.remove_unlisted({vm.name for vm in entries})
        for listener in self._listeners:
            listener()
