"""A small deployment in one process over loopback: platform, data halls and daemons."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass

from saddlestack.client import AsyncClient
from saddlestack.daemon import Daemon
from saddlestack.kernel.clock import Clock
from saddlestack.models import Account, DataHall, Document, Intent, Limits, Rack, Weights
from saddlestack.platform.vms import VmEntry
from saddlestack.policy.planner import cells_of
from saddlestack.services.access import hash_token
from saddlestack.settings import Address, Operator, Settings
from saddlestack.standins import process
from saddlestack.standins.endpoint import StandinEndpoint
from saddlestack.standins.loop import VirtualClock, VirtualLoop
from saddlestack.standins.network import CLIENTS, PLATFORM, CuttableDialer, Network
from saddlestack.standins.process import Process
from saddlestack.standins.store import StandinStore
from saddlestack.standins.vms import StandinVms

PEER_KEY = "a key for stand-ins only"
OPERATOR = "liis"
OPERATOR_TOKEN = "operator-token"
SECOND_OPERATOR = "gunnar"
SECOND_TOKEN = "second-operator-token"
READY_TIMEOUT_S = 60.0
FIRST_HALL_OCTET = 10
MAX_OCTET = 250


@dataclass
class EntryVm:
    """One entry VM of the cluster.

    :param incarnation: counts the starts of a daemon under this name.
    :param alive: whether the VM was neither killed nor drained.
    """

    name: str
    data_hall: str
    address: str
    daemon: Daemon
    process: Process
    incarnation: int
    alive: bool = True


def racks(prefix: str, count: int, workers: int = 8, accelerators: int = 8) -> tuple[Rack, ...]:
    """Create identical racks, with names from a prefix.

    :rtype: tuple[Rack, ...]
    """
    names = [prefix if count == 1 else f"{prefix}{number}" for number in range(1, count + 1)]
    return tuple(
        Rack(name=name, workers=workers, accelerators=accelerators, slots=8) for name in names
    )


class Cluster:
    """Starts and stops a deployment and injects faults into it.

    :param halls: the data halls and racks; each worker is a stand-in endpoint.
    :param entries: entry VMs in each data hall.
    :param lag_s: seconds until the VM list shows a change.
    """

    def __init__(
        self,
        halls: tuple[DataHall, ...],
        *,
        entries: int = 2,
        seed: int = 1,
        lag_s: float = 1.0,
        retention_s: float = 86_400.0,
    ) -> None:
        self.halls = halls
        self.network = Network()
        self.store = StandinStore()
        self.vms = StandinVms(lag_s)
        self.endpoints: dict[str, StandinEndpoint] = {}
        self.entries: dict[str, EntryVm] = {}
        self.removed: list[EntryVm] = []
        self._entries_per_hall = entries
        self._seed = seed
        self._retention_s = retention_s
        self._addresses: dict[str, str] = {}
        self._incarnations: dict[str, int] = {}
        self._clients: list[AsyncClient] = []

    async def start(self) -> None:
        """Start the platform, the endpoints and the entry VMs."""
        process.install(asyncio.get_running_loop())
        platform = "127.0.1.1"
        self.network.assign(platform, PLATFORM)
        await self.store.start(platform, 0)
        await self.vms.start(platform, 0)
        for number, hall in enumerate(self.halls):
            await self._start_endpoints(number, hall)
        for number, hall in enumerate(self.halls):
            for i in range(1, self._entries_per_hall + 1):
                name = f"{hall.name}-entry-{i}"
                address = f"127.0.{FIRST_HALL_OCTET + number}.{i}"
                await self._start_entry(name, hall.name, address)

    async def stop(self) -> None:
        """Close all clients and stop the whole deployment."""
        for client in self._clients:
            client.close()
        for entry in list(self.entries.values()):
            if entry.alive:
                entry.process.thaw()
                await entry.daemon.stop()
        for endpoint in self.endpoints.values():
            await endpoint.stop()
        await self.store.stop()
        await self.vms.stop()
        for entry in self.removed:
            await entry.process.cancel_tasks()

    def client(self, token: str, *, hall: str | None = None, vm: str | None = None) -> AsyncClient:
        """Create a client with the addresses of the live entry VMs.

        :param hall: use only entry VMs of this data hall.
        :param vm: use only this entry VM.
        """
        addresses = [
            (entry.address, entry.daemon.http_port)
            for entry in self.live()
            if (hall is None or entry.data_hall == hall) and (vm is None or entry.name == vm)
        ]
        client = AsyncClient(
            addresses,
            token,
            dialer=CuttableDialer(self.network, CLIENTS),
            rng=random.Random(f"{self._seed} {len(self._clients)}"),
        )
        self._clients.append(client)
        return client

    def operator(self, **where: str) -> AsyncClient:
        """Create a client with the first operator's token."""
        return self.client(OPERATOR_TOKEN, **where)

    async def configure(
        self,
        accounts: tuple[Account, ...],
        weights: Weights | None = None,
        *,
        wait: float = 10.0,
    ) -> None:
        """Plan and confirm data halls and accounts, then wait until every cell has a scheduler."""
        operator = self.operator()
        intent = Intent(data_halls=self.halls, accounts=accounts, weights=weights)
        await operator.confirm(await operator.plan(intent), wait=wait)
        await self.until_ready()

    async def until_ready(self, timeout: float = READY_TIMEOUT_S) -> None:
        """Wait until every cell has a scheduler and all live VMs have its heartbeat.

        :raises TimeoutError: not all VMs had it in time.
        """
        cells = {site.plan.name for site in cells_of(self.halls)}
        async with asyncio.timeout(timeout):
            while not all(self._has_all_cells(entry, cells) for entry in self.live()):
                await asyncio.sleep(0.05)

    def _has_all_cells(self, entry: EntryVm, cells: set[str]) -> bool:
        owners = {seen.beat.cell: seen for seen in entry.daemon.membership.cells()}
        workers = {
            site.plan.name: sum(worker.accelerators for worker in site.workers)
            for site in cells_of(self.halls)
        }
        return set(owners) >= cells and all(
            owners[cell].beat.capacity == workers[cell] and self.owner(cell) is not None
            for cell in cells
        )

    def live(self) -> list[EntryVm]:
        """The entry VMs that are alive and not frozen."""
        return [e for e in self.entries.values() if e.alive and not e.process.frozen]

    def owner(self, cell: str) -> EntryVm | None:
        """The live entry VM that schedules a cell, or ``None``."""
        for entry in self.live():
            if any(s.cell == cell and s.ready for s in entry.daemon.ownership.schedulers):
                return entry
        return None

    def document(self) -> Document:
        """The latest configuration in force on any live VM."""
        documents = [entry.daemon.configuration.document for entry in self.live()]
        return max(documents, key=lambda document: document.revision)

    async def kill(self, name: str) -> None:
        """Kill an entry VM without a shutdown."""
        entry = self.entries[name]
        entry.alive = False
        entry.process.kill()
        entry.daemon.abort()
        self.vms.remove(name)
        self.removed.append(entry)

    async def restart(self, name: str) -> None:
        """Restart the daemon of a killed or drained VM under the same name."""
        old = self.entries[name]
        await self._start_entry(name, old.data_hall, old.address)

    def freeze(self, name: str) -> None:
        """Freeze an entry VM's process."""
        self.entries[name].process.freeze()

    def thaw(self, name: str) -> None:
        """Resume an entry VM's process."""
        self.entries[name].process.thaw()

    async def drain(self, name: str) -> None:
        """Drain an entry VM, then remove it from the VM list."""
        entry = self.entries[name]
        self._publish_entry(entry, leaving=True)
        work = asyncio.get_running_loop().create_task(entry.daemon.drain())
        await work
        entry.alive = False
        self.vms.remove(name)

    async def restart_endpoint(self, name: str) -> None:
        """Restart an endpoint under the same name, crashing it first if it is not lost yet."""
        endpoint = self.endpoints[name]
        if not endpoint.lost:
            endpoint.lose()
        await endpoint.restart()
        self._publish_endpoint(name)

    def _publish_endpoint(self, name: str) -> None:
        hall = next(
            site.plan.data_hall
            for site in cells_of(self.halls)
            if any(worker.name == name for worker in site.workers)
        )
        server = self.endpoints[name].server
        self.vms.put(VmEntry(name, hall, "endpoint", self._addresses[name], server.port))

    # Starting processes

    async def _start_endpoints(self, number: int, hall: DataHall) -> None:
        for i, worker in enumerate(cells_of([hall])[0].workers):
            octet, last = divmod(i, 100)
            address = f"127.0.{FIRST_HALL_OCTET + number}.{100 + last + 50 * octet}"
            self.network.assign(address, hall.name)
            endpoint = StandinEndpoint(worker.name, worker.accelerators, worker.slots)
            await endpoint.start(address, 0)
            self.endpoints[worker.name] = endpoint
            self._addresses[worker.name] = address
            self._publish_endpoint(worker.name)

    async def _start_entry(self, name: str, hall: str, address: str) -> None:
        self.network.assign(address, hall)
        incarnation = self._incarnations.get(name, 0) + 1
        self._incarnations[name] = incarnation
        new_process = Process(name)
        token = process.current.set(new_process)
        try:
            clock = VirtualClock() if _is_virtual_loop() else Clock()
            daemon = Daemon(
                self._settings(name, hall, address),
                clock=clock,
                dialer=CuttableDialer(self.network, hall),
                rng=random.Random(f"{self._seed} {name} {incarnation}"),
                incarnation=incarnation,
            )
            await asyncio.get_running_loop().create_task(daemon.start())
        finally:
            process.current.reset(token)
        entry = EntryVm(name, hall, address, daemon, new_process, incarnation)
        self.entries[name] = entry
        self._publish_entry(entry, leaving=False)

    def _publish_entry(self, entry: EntryVm, *, leaving: bool) -> None:
        self.vms.put(
            VmEntry(
                entry.name,
                entry.data_hall,
                "entry",
                entry.address,
                entry.daemon.http_port,
                entry.daemon.peer_port,
                leaving,
            )
        )

    def _settings(self, name: str, hall: str, address: str) -> Settings:
        platform = "127.0.1.1"
        return Settings(
            vm=name,
            data_hall=hall,
            http=Address(address=address, port=0),
            peer=Address(address=address, port=0),
            store=Address(address=platform, port=self.store.server.port),
            vm_list=Address(address=platform, port=self.vms.server.port),
            peer_key=PEER_KEY,
            operators=(
                Operator(name=OPERATOR, token_sha256=hash_token(OPERATOR_TOKEN)),
                Operator(name=SECOND_OPERATOR, token_sha256=hash_token(SECOND_TOKEN)),
            ),
            retention_s=self._retention_s,
        )


def _is_virtual_loop() -> bool:
    return isinstance(asyncio.get_running_loop(), VirtualLoop)


def account(name: str, *guarantees: str, queued: int = 5000) -> Account:
    """Create a client account with a single token, which is :func:`token_of` its name.

    :param guarantees: guarantees in short form, such as ``2x16@rack``.
    :rtype: Account
    """
    from saddlestack.shapes import parse_guarantee

    return Account(
        name=name,
        guarantees=tuple(parse_guarantee(text) for text in guarantees),
        limits=Limits(queued=queued, rate=5000.0, burst=20_000),
        tokens=(hash_token(token_of(name)),),
    )


def token_of(name: str) -> str:
    """Return the token of a stand-in account.

    :rtype: str
    """
    return f"token-of-{name}"
