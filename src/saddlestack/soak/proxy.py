"""A loopback proxy whose connections can be delayed, silenced, cut one way or reset."""

from __future__ import annotations

import asyncio
import enum

READ_SIZE = 64 * 1024


class ConnectionFault(enum.StrEnum):
    """What a proxy does to its connections."""

    NONE = "none"
    SILENT = "silent"
    ONE_WAY = "one_way"
    RESET = "reset"
    STALE = "stale"
    DELAY = "delay"


class Proxy:
    """Passes connections on to one target, as far as its trouble lets it.

    Silenced bytes are held until the trouble ends; new connections then hang as well. Connections
    that are open when they go stale swallow everything from then on; later ones work.

    :ivar accepted: connections that were accepted so far.
    """

    def __init__(self, address: str, target_address: str, target_port: int) -> None:
        self._address = address
        self._target = (target_address, target_port)
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._stale: set[asyncio.StreamWriter] = set()
        self._passing = asyncio.Event()
        self._passing.set()
        self.trouble = ConnectionFault.NONE
        self.delay_s = 0.0
        self.port = 0
        self.accepted = 0

    @property
    def open_at_target(self) -> int:
        """Connections to the target that it has not closed."""
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

    def set_fault(self, trouble: ConnectionFault, delay_s: float = 0.0) -> None:
        """Begin a trouble, or end it with :attr:`ConnectionFault.NONE`."""
        self.trouble = trouble
        self.delay_s = delay_s
        if trouble in {ConnectionFault.SILENT, ConnectionFault.ONE_WAY}:
            self._passing.clear()
        else:
            self._passing.set()
        if trouble is ConnectionFault.RESET:
            self._reset_all()
        if trouble is ConnectionFault.STALE:
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
        if self.trouble is ConnectionFault.RESET:
            writer.transport.abort()
            return
        try:
            there, back = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, back}
        self._writers |= ends
        try:
            async with asyncio.TaskGroup() as group:
                group.create_task(self._pass(reader, back, answers=False))
                group.create_task(self._pass(there, writer, answers=True))
        except* (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers -= ends
            self._stale -= ends
            for end in ends:
                end.transport.abort()

    async def _pass(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, *, answers: bool
    ) -> None:
        while True:
            data = await reader.read(READ_SIZE)
            if not data:
                raise ConnectionResetError
            await self._hold_up(answers)
            if writer in self._stale:
                continue
            writer.write(data)
            await writer.drain()

    async def _hold_up(self, answers: bool) -> None:
        if self.trouble is ConnectionFault.DELAY:
            await asyncio.sleep(self.delay_s)
        held = self.trouble is ConnectionFault.SILENT or (
            self.trouble is ConnectionFault.ONE_WAY and answers
        )
        if held:
            await self._passing.wait()
