"""Starts and controls the process with a soak's store, and tracks the leader terms."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
from collections.abc import Mapping, Sequence
from pathlib import Path

import msgspec

from saddlestack.codec import to_json
from saddlestack.soak.shape import SoakShape
from saddlestack.soak.store_messages import (
    BeginTrouble,
    Configure,
    Configured,
    EndTrouble,
    FromStore,
    HoldAtRenewal,
    LinkFault,
    StoreLoad,
    StoreReady,
    StoreSettings,
    TermBegan,
    TermEnded,
    ToStore,
    VmHeld,
)
from saddlestack.soak.stream import MessageStream
from saddlestack.standins.pool.documents import HOST, SERVICE, idle_queues
from saddlestack.standins.ports import LOOPBACK

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 3.0
"""A store that is still running this long after its stream was closed is killed."""


class Term(msgspec.Struct):
    """A term of a leader, from the creation to the removal of the leader key in the store.

    :param fence: the revision that created the leader key.
    :param ended_s: when the key was removed; ``None`` while it exists.
    """

    fence: int
    vm: str
    began_s: float
    ended_s: float | None = None


class TermHistory:
    """All terms, derived from the changes of the leader key."""

    def __init__(self) -> None:
        self.terms: list[Term] = []

    @property
    def current(self) -> Term | None:
        """The current term according to the store's messages; ``None`` without a leader."""
        if not self.terms or self.terms[-1].ended_s is not None:
            return None
        return self.terms[-1]

    def vm_of(self, fence: int) -> str:
        """Return the VM whose term has a fence token; empty if there is none."""
        return next((term.vm for term in self.terms if term.fence == fence), "")

    def record(self, change: TermBegan | TermEnded) -> None:
        """Record a change of the leader key."""
        if self.current is not None:
            self.current.ended_s = change.at_s
        if isinstance(change, TermBegan):
            self.terms.append(Term(change.fence, change.vm, change.at_s))


class SoakPlatform:
    """Controls the store's process: starts it, sends it faults, and receives its messages.

    :param bandwidths: bytes per second of the links of VMs whose bandwidth is limited.
    :ivar ports: the port of each VM's link to the store.
    :ivar records_port: the port to which workers write their records.
    :ivar loads: load reports of the process.
    """

    def __init__(
        self,
        shape: SoakShape,
        vms: Sequence[str],
        folder: Path,
        seed: int,
        bandwidths: Mapping[str, float],
    ) -> None:
        self._bandwidths = dict(bandwidths)
        self._shape = shape
        self._folder = folder
        self._seed = seed
        self.vms = tuple(vms)
        self.terms = TermHistory()
        self.ports: dict[str, int] = {}
        self.records_port = 0
        self.loads: list[StoreLoad] = []
        self._ready = asyncio.Event()
        self._paused: dict[str, asyncio.Event] = {}
        self._fault_numbers = itertools.count(1)
        self._document_numbers = itertools.count(1)
        self._confirmations: dict[int, asyncio.Future[float]] = {}
        self._server: asyncio.Server | None = None
        self._stream: MessageStream | None = None
        self._process: asyncio.subprocess.Process | None = None
        self._read_tasks: set[asyncio.Task[None]] = set()

    @property
    def alive(self) -> bool:
        """Whether the store's process is running."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process, and wait until it serves.

        :raises TimeoutError: it does not serve in time.
        """
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        settings = StoreSettings(
            parent_port=int(self._server.sockets[0].getsockname()[1]),
            seed=self._seed,
            vms=self.vms,
            heartbeat_s=self._shape.times.heartbeat_s,
            history_s=self._shape.times.history_s,
            configuration=configuration(self._shape),
            bandwidths=self._bandwidths,
        )
        path = self._folder / "store.json"
        path.write_bytes(msgspec.json.encode(settings))
        with (self._folder / "store.log").open("ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "saddlestack.soak.store_process",
                str(path),
                stdout=log,
                stderr=log,
            )
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._ready.wait()

    async def stop(self) -> None:
        """Stop the process."""
        if self._stream is not None:
            self._stream.close()
        if self._server is not None:
            self._server.close()
        if self._process is not None:
            await _stop_process(self._process)
        for task in self._read_tasks:
            task.cancel()
        await asyncio.gather(*self._read_tasks, return_exceptions=True)

    def send(self, message: ToStore) -> None:
        """Send a message to the store."""
        assert self._stream is not None
        self._stream.write(message)

    async def configure(self, document: bytes) -> float:
        """Write a configuration to the store; return when the store had it."""
        number = next(self._document_numbers)
        confirmed: asyncio.Future[float] = asyncio.get_running_loop().create_future()
        self._confirmations[number] = confirmed
        self.send(Configure(number, document))
        return await confirmed

    def begin_link_fault(self, vms: Sequence[str], fault: LinkFault, delay_s: float = 0.0) -> int:
        """Begin a fault of some VMs' links, in place of the faults that they have.

        :param delay_s: delay of calls and answers, for :attr:`LinkFault.DELAY`.
        :return: the number of the fault, for :meth:`end_link_fault`.
        """
        number = next(self._fault_numbers)
        self.send(BeginTrouble(number, tuple(vms), fault, delay_s))
        return number

    def end_link_fault(self, number: int) -> None:
        """End a fault on the links where no other fault has replaced it."""
        self.send(EndTrouble(number))

    async def pause_at_renewal(self, vm: str, pid: int, timeout_s: float) -> bool:
        """Have a VM's process paused at the next renewal of its leadership.

        :return: whether it was paused before the timeout.
        """
        paused = self._paused[vm] = asyncio.Event()
        self.send(HoldAtRenewal(vm, pid))
        try:
            async with asyncio.timeout(timeout_s):
                await paused.wait()
        except TimeoutError:
            self.send(HoldAtRenewal(vm, 0))
        return paused.is_set()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._stream = MessageStream(reader, writer, FromStore)
        task = asyncio.get_running_loop().create_task(self._read(self._stream))
        self._read_tasks.add(task)
        task.add_done_callback(self._read_tasks.discard)

    async def _read(self, stream: MessageStream) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                self._receive(await stream.read())

    def _receive(self, message: FromStore) -> None:
        if isinstance(message, TermBegan | TermEnded):
            self.terms.record(message)
        elif isinstance(message, StoreLoad):
            self.loads.append(message)
        elif isinstance(message, Configured):
            confirmed = self._confirmations.pop(message.number)
            if not confirmed.done():
                confirmed.set_result(message.at_s)
        elif isinstance(message, VmHeld):
            self._paused[message.vm].set()
        elif isinstance(message, StoreReady):
            self.ports = message.ports
            self.records_port = message.records_port
            self._ready.set()


def api_key_of(account: str) -> str:
    """Return the API key that a client account sends with its calls."""
    return f"key-of-{account}"


def configuration(
    shape: SoakShape, version: int = 1, *, queues: Sequence[str] = (), keys: Sequence[str] = ()
) -> bytes:
    """Return the operators' configuration of a shape, as the platform's store keeps it.

    :param queues: names of additional queues.
    :param keys: additional keys of the first account.
    """
    routes = [
        {
            "name": kind.name,
            "host": HOST,
            "path-prefix": f"/{kind.name}/",
            "service": SERVICE,
            "priority": kind.priority,
            "max-attempts": kind.attempts,
            "stretch": kind.stretch,
            "target-latency-ms": kind.target_s * 1000,
        }
        for kind in shape.kinds
    ]
    idle = 0 if shape.configuration is None else shape.configuration.idle_queues
    routes += [
        {"name": name, "host": HOST, "path-prefix": f"/{name}/", "service": SERVICE}
        for name in (*queues, *idle_queues(idle))
    ]
    tenants = [
        {
            "name": account.name,
            "api-keys": [api_key_of(account.name)],
            "guaranteed": {"gpu": account.guaranteed},
        }
        for account in shape.accounts
    ]
    tenants[0]["api-keys"] = [api_key_of(shape.accounts[0].name), *keys]
    services = [{"name": SERVICE, "admission-check": True}]
    return to_json({"version": version, "routes": routes, "services": services, "tenants": tenants})


async def _stop_process(process: asyncio.subprocess.Process) -> None:
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
