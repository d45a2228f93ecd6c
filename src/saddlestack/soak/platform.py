"""The platform of a soak, as the soak sees it: its store in a process, and who led when."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import sys
from collections.abc import Sequence
from pathlib import Path

import msgspec

from saddlestack.codec import to_json
from saddlestack.soak.shape import SoakShape
from saddlestack.soak.store_messages import (
    BeginTrouble,
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
from saddlestack.standins.pool.documents import HOST, SERVICE
from saddlestack.standins.ports import LOOPBACK

READY_S = 20.0
END_S = 3.0
"""A store that has not ended so long after its stream was closed is killed."""


class Term(msgspec.Struct):
    """One leadership, as the store saw it.

    :param fence: the revision that created the leader key.
    :param ended_s: when the key went; ``None`` while it is there.
    """

    fence: int
    vm: str
    began_s: float
    ended_s: float | None = None


class TermHistory:
    """All terms, from the changes of the leader key."""

    def __init__(self) -> None:
        self.terms: list[Term] = []

    @property
    def current(self) -> Term | None:
        """The term of now, as far as the store has told."""
        if not self.terms or self.terms[-1].ended_s is not None:
            return None
        return self.terms[-1]

    def vm_of(self, fence: int) -> str:
        """The VM whose term has a token; empty where none has."""
        return next((term.vm for term in self.terms if term.fence == fence), "")

    def record(self, change: TermBegan | TermEnded) -> None:
        """Take in a change of the leader key."""
        if self.current is not None:
            self.current.ended_s = change.at_s
        if isinstance(change, TermBegan):
            self.terms.append(Term(change.fence, change.vm, change.at_s))


class SoakPlatform:
    """The store's process: started, told what befalls it, and heard.

    :ivar ports: of each VM's way to the store.
    :ivar records_port: where workers write their records.
    :ivar loads: what the process told of its load.
    """

    def __init__(self, shape: SoakShape, vms: Sequence[str], folder: Path, seed: int) -> None:
        self._shape = shape
        self._folder = folder
        self._seed = seed
        self.vms = tuple(vms)
        self.terms = TermHistory()
        self.ports: dict[str, int] = {}
        self.records_port = 0
        self.loads: list[StoreLoad] = []
        self._ready = asyncio.Event()
        self._held: dict[str, asyncio.Event] = {}
        self._numbers = itertools.count(1)
        self._server: asyncio.Server | None = None
        self._stream: MessageStream | None = None
        self._process: asyncio.subprocess.Process | None = None
        self._reading: set[asyncio.Task[None]] = set()

    @property
    def alive(self) -> bool:
        """Whether the store's process runs."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Start the process, and wait until it serves.

        :raises TimeoutError: it does not, in time.
        """
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        settings = StoreSettings(
            parent_port=int(self._server.sockets[0].getsockname()[1]),
            seed=self._seed,
            vms=self.vms,
            heartbeat_s=self._shape.times.heartbeat_s,
            history_s=self._shape.times.history_s,
            configuration=configuration(self._shape),
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
        async with asyncio.timeout(READY_S):
            await self._ready.wait()

    async def stop(self) -> None:
        """End the process."""
        if self._stream is not None:
            self._stream.close()
        if self._server is not None:
            self._server.close()
        if self._process is not None:
            await _end(self._process)
        for task in self._reading:
            task.cancel()
        await asyncio.gather(*self._reading, return_exceptions=True)

    def send(self, message: ToStore) -> None:
        """Tell the store something."""
        assert self._stream is not None
        self._stream.write(message)

    def begin_link_fault(self, vms: Sequence[str], trouble: LinkFault, delay_s: float = 0.0) -> int:
        """Begin a trouble of some VMs' ways, in place of what they have.

        :return: its number, which ends it.
        """
        number = next(self._numbers)
        self.send(BeginTrouble(number, tuple(vms), trouble, delay_s))
        return number

    def end_link_fault(self, number: int) -> None:
        """End a trouble where no other has taken its place."""
        self.send(EndTrouble(number))

    async def pause_at_renewal(self, vm: str, pid: int, timeout_s: float) -> bool:
        """Have a VM's process stopped at the next renewal of its leadership; whether it was."""
        held = self._held[vm] = asyncio.Event()
        self.send(HoldAtRenewal(vm, pid))
        try:
            async with asyncio.timeout(timeout_s):
                await held.wait()
        except TimeoutError:
            self.send(HoldAtRenewal(vm, 0))
        return held.is_set()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._stream = MessageStream(reader, writer, FromStore)
        task = asyncio.get_running_loop().create_task(self._read(self._stream))
        self._reading.add(task)
        task.add_done_callback(self._reading.discard)

    async def _read(self, stream: MessageStream) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            while True:
                self._take(await stream.read())

    def _take(self, message: FromStore) -> None:
        if isinstance(message, TermBegan | TermEnded):
            self.terms.record(message)
        elif isinstance(message, StoreLoad):
            self.loads.append(message)
        elif isinstance(message, VmHeld):
            self._held[message.vm].set()
        elif isinstance(message, StoreReady):
            self.ports = message.ports
            self.records_port = message.records_port
            self._ready.set()


def api_key_of(account: str) -> str:
    """The key that a client account's calls carry."""
    return f"key-of-{account}"


def configuration(shape: SoakShape) -> bytes:
    """The operators' document of a shape, as the platform's store keeps it."""
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
    tenants = [
        {
            "name": account.name,
            "api-keys": [api_key_of(account.name)],
            "guaranteed": {"gpu": account.guaranteed},
        }
        for account in shape.accounts
    ]
    services = [{"name": SERVICE, "admission-check": True}]
    return to_json({"version": 1, "routes": routes, "services": services, "tenants": tenants})


async def _end(process: asyncio.subprocess.Process) -> None:
    try:
        async with asyncio.timeout(END_S):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
