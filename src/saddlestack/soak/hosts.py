"""Starts and controls the processes that simulate a soak's workers."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import os
import sys
from collections.abc import Callable
from pathlib import Path

import msgspec

from saddlestack.soak.gangs import GangHub
from saddlestack.soak.messages import (
    Command,
    FromHost,
    GangEnded,
    GangMessage,
    GangMoved,
    HostHello,
    HostLoad,
    HostReady,
    HostSettings,
    LifeBegan,
    LifeEnded,
    MachineSettings,
    Record,
)
from saddlestack.soak.shape import SoakShape, WorkerKind
from saddlestack.soak.stream import MessageStream
from saddlestack.standins.pool.documents import SERVICE
from saddlestack.standins.ports import LOOPBACK

START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 3.0
"""A host that is still running this long after its stream was closed is killed."""


class WorkerHosts:
    """All workers of a soak, distributed over several processes.

    :param store_address: where workers write their records.
    :param folder: folder for settings and logs.
    :param on_record: called with each record as it arrives.
    :ivar records: all events reported by workers, in the order of arrival.
    :ivar loads: load reports of the hosts.
    :ivar incarnations: current incarnations, by their names.
    """

    def __init__(
        self,
        shape: SoakShape,
        store_address: str,
        folder: Path,
        *,
        seed: int = 1,
        on_record: Callable[[Record], None] | None = None,
    ) -> None:
        self._shape = shape
        self._store = store_address
        self._folder = folder
        self._seed = seed
        self._on_record = on_record
        self.machines = machines_of(shape)
        self._host_by_machine = {
            machine.name: number % shape.worker_hosts
            for number, machine in enumerate(self.machines)
        }
        self._hub = GangHub(self._send_to)
        self._server: asyncio.Server | None = None
        self._streams: dict[int, MessageStream] = {}
        self._read_tasks: set[asyncio.Task[None]] = set()
        self._processes: list[asyncio.subprocess.Process] = []
        self._ready: dict[int, asyncio.Event] = {
            number: asyncio.Event() for number in range(shape.worker_hosts)
        }
        self.records: list[Record] = []
        self.loads: list[HostLoad] = []
        self.incarnations: dict[str, LifeBegan] = {}

    async def start(self) -> None:
        """Start all processes, and wait until their workers serve.

        :raises TimeoutError: the workers do not serve in time.
        """
        self._server = await asyncio.start_server(self._accept, LOOPBACK, 0)
        port = int(self._server.sockets[0].getsockname()[1])
        for number in range(self._shape.worker_hosts):
            self._processes.append(await self._start_host(number, port))
        async with asyncio.timeout(START_TIMEOUT_S):
            for ready in self._ready.values():
                await ready.wait()

    async def stop(self) -> None:
        """Stop all processes."""
        self.close_streams()
        if self._server is not None:
            self._server.close()
        for process in self._processes:
            await _stop_process(process)
        for task in self._read_tasks:
            task.cancel()
        await asyncio.gather(*self._read_tasks, return_exceptions=True)

    def close_streams(self) -> None:
        """Close all streams, upon which the processes end by themselves."""
        for stream in self._streams.values():
            stream.close()

    async def send(self, command: Command) -> None:
        """Send a command to the hosts of the machines that it names."""
        for number, stream in self._streams.items():
            names = tuple(
                name for name in command.machines if self._host_by_machine[name] == number
            )
            if names:
                stream.write(msgspec.structs.replace(command, machines=names))

    @property
    def alive(self) -> bool:
        """Whether all processes are running."""
        return all(process.returncode is None for process in self._processes)

    async def _start_host(self, number: int, port: int) -> asyncio.subprocess.Process:
        machines = tuple(
            each for each in self.machines if self._host_by_machine[each.name] == number
        )
        settings = HostSettings(
            number, port, self._store, SERVICE, self._seed, self._shape.times, machines
        )
        path = self._folder / f"host-{number}.json"
        path.write_bytes(msgspec.json.encode(settings))
        with (self._folder / f"host-{number}.log").open("ab") as log:
            return await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "saddlestack.soak.host",
                str(path),
                stdout=log,
                stderr=log,
            )

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = MessageStream(reader, writer, FromHost)
        task = asyncio.get_running_loop().create_task(self._read(stream))
        self._read_tasks.add(task)
        task.add_done_callback(self._read_tasks.discard)

    async def _read(self, stream: MessageStream) -> None:
        """Read a host's messages until its stream ends; the first one identifies the host."""
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            hello = await stream.read()
            assert isinstance(hello, HostHello)
            self._streams[hello.host] = stream
            while True:
                self._receive(hello.host, await stream.read())

    def _receive(self, host: int, message: HostReady | HostLoad | GangMessage | Record) -> None:
        if isinstance(message, HostReady):
            self._ready[host].set()
        elif isinstance(message, HostLoad):
            self.loads.append(message)
        elif isinstance(message, GangMessage):
            self._hub.receive(host, message)
        else:
            self._record(message)

    def _record(self, record: Record) -> None:
        self.records.append(record)
        if isinstance(record, LifeBegan):
            self.incarnations[record.worker] = record
        elif isinstance(record, LifeEnded):
            self.incarnations.pop(record.worker, None)
        if self._on_record is not None:
            self._on_record(record)

    def _send_to(self, host: int, message: GangMoved | GangEnded) -> None:
        stream = self._streams.get(host)
        if stream is not None:
            stream.write(message)


def machines_of(shape: SoakShape) -> list[MachineSettings]:
    """Return the machines of a shape, each with a loopback address of its own.

    Addresses depend on the process id, so that concurrent soaks do not collide.
    """
    first = os.getpid() % 62 + 64
    machines = []
    numbers = itertools.count(1)
    for place, hall in enumerate(shape.halls, start=1):
        for index in range(hall.workers):
            number = next(numbers)
            machines.append(
                MachineSettings(
                    name=f"m{number:03d}",
                    address=f"127.{first}.{number // 250}.{number % 250 + 1}",
                    hall=hall.name,
                    rack=f"r{place}-{index // shape.worker.rack + 1}",
                    accelerators=shape.worker.accelerators,
                    cpu=shape.worker.cpu,
                    memory_mb=shape.worker.memory_mb,
                    births=_is_in_share(number, shape.worker.births_share),
                    time_factor=_time_factor(number, shape.worker),
                )
            )
    return machines


def _time_factor(number: int, worker: WorkerKind) -> float:
    return worker.slow_factor if _is_in_share(number, worker.slow_share) else 1.0


def _is_in_share(number: int, share: float) -> bool:
    """Whether the machine with a number, from 1, is in an evenly spread share of all."""
    return int(number * share) > int((number - 1) * share)


async def _stop_process(process: asyncio.subprocess.Process) -> None:
    try:
        async with asyncio.timeout(STOP_TIMEOUT_S):
            await process.wait()
    except TimeoutError:
        process.kill()
        await process.wait()
