"""A loopback proxy that can delay, silence, cut in one direction, or reset its connections."""

from __future__ import annotations

import asyncio
import enum

READ_SIZE = 64 * 1024


class ConnectionFault(enum.StrEnum):
    """A fault of the connections of a proxy."""

    NONE = "none"
    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"
    STALE = "stale"
    DELAY = "delay"


class Proxy:
    """Forwards connections to one target, subject to the current fault.

    Silenced bytes are held until the fault ends; new connections hang as well meanwhile.
    Connections that are open when ``STALE`` begins drop all data from then on; later ones work.

    :ivar fault: the current fault.
    :ivar delay_s: delay of all data, for :attr:`ConnectionFault.DELAY`.
    :ivar accepted: the number of connections accepted so far.
    """

    def __init__(self, address: str, target_address: str, target_port: int) -> None:
        self._address = address
        self._target = (target_address, target_port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._stale: set[asyncio.StreamWriter] = set()
        self._released = asyncio.Event()
        self._released.set()
        self.fault = ConnectionFault.NONE
        self.delay_s = 0.0
        self.port = 0
        self.accepted = 0

    @property
    def open_at_target(self) -> int:
        """The number of open connections to the target."""
        return len(self._writers) // 2

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._accept, self._address, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self._reset_all()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def set_fault(self, fault: ConnectionFault, delay_s: float = 0.0) -> None:
        """Begin a fault, or end it with :attr:`ConnectionFault.NONE`."""
        self.fault = fault
        self.delay_s = delay_s
        if fault in {ConnectionFault.SILENT, ConnectionFault.ONE_WAY}:
            self._released.clear()
        else:
            self._released.set()
        if fault is ConnectionFault.RESET:
            self._reset_all()
        if fault is ConnectionFault.STALE:
            self._stale |= self._writers

    def _reset_all(self) -> None:
        for writer in list(self._writers):
            writer.transport.abort()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.accepted += 1
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.fault is ConnectionFault.RESET:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self._writers |= writers
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._forward(reader, target_writer, answers=False))
                group.create_task(self._forward(target_reader, writer, answers=True))
        except* (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers -= writers
            self._stale -= writers
            for each in writers:
                each.transport.abort()

    async def _forward(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, answers: bool
    ) -> None:
        while True:
            data = await reader.read(READ_SIZE)
            if not data:
                raise ConnectionResetError
            await self._wait_for_fault(answers)
            if writer in self._stale:
                continue
            writer.write(data)
            await writer.drain()

    async def _wait_for_fault(self, answers: bool) -> None:
        if self.fault is ConnectionFault.DELAY:
            await asyncio.sleep(self.delay_s)
        held = self.fault is ConnectionFault.SILENT or (
            self.fault is ConnectionFault.ONE_WAY and answers
        )
        if held:
            await self._released.wait()
