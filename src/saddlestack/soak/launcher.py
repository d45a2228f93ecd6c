"""Starts an entry VM whose connections a soak can cut, address by address, and which it suspends.

Run as a script beside any version of the package: ``launcher.py SETTINGS CUTS SLEPT``. ``CUTS`` is
a file of addresses, one a line, that nothing passes to or from while they stand there. ``SLEPT`` is
one of the seconds for which the process has been suspended: its event loop's clock leaves them out,
as ``CLOCK_MONOTONIC`` does on a machine that was. The program is unchanged but for the class that
opens its connections, and its event loop.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from pathlib import Path
from unittest.mock import patch

from saddlestack.cli.entry import main
from saddlestack.control import entry
from saddlestack.wire.dialer import CONNECT_TIMEOUT_S, Dialer, Reader, Writer

LOOK_S = 0.1
"""The file of cuts is looked at this often."""
HELD_S = 0.05
"""Held bytes are looked after this often."""


class CuttableDialer(Dialer):
    """Opens connections over which nothing passes while their address is cut.

    What is written meanwhile passes afterwards, as TCP sends it again.
    """

    def __init__(self, file: Path) -> None:
        self._file = file
        self._changed_ns = 0
        self._cut: frozenset[str] = frozenset()
        self._following = asyncio.get_running_loop().create_task(self._follow())

    def is_cut(self, address: str) -> bool:
        """Whether nothing passes to an address."""
        return address in self._cut

    async def open(
        self, address: str, port: int, timeout: float = CONNECT_TIMEOUT_S
    ) -> tuple[Reader, Writer]:
        """Connect; to an address that is cut, no answer comes in time."""
        async with asyncio.timeout(timeout):
            await self.until_passes(address)
            reader, writer = await super().open(address, port, timeout)
            return _CutReader(self, address, reader), _CutWriter(self, address, writer)

    async def until_passes(self, address: str) -> None:
        """Wait until an address is not cut."""
        while self.is_cut(address):
            await asyncio.sleep(HELD_S)

    async def _follow(self) -> None:
        while True:
            changed_ns = self._file.stat().st_mtime_ns
            if changed_ns != self._changed_ns:
                self._changed_ns = changed_ns
                self._cut = frozenset(self._file.read_text(encoding="utf-8").split())
            await asyncio.sleep(LOOK_S)


class _CutReader:
    """Hands out nothing while the other side is cut."""

    def __init__(self, dialer: CuttableDialer, address: str, reader: Reader) -> None:
        self._dialer = dialer
        self._address = address
        self._reader = reader

    async def read(self, size: int) -> bytes:
        data = await self._reader.read(size)
        await self._dialer.until_passes(self._address)
        return data

    async def readexactly(self, size: int) -> bytes:
        data = await self._reader.readexactly(size)
        await self._dialer.until_passes(self._address)
        return data


class _CutWriter:
    """Holds what is written while the other side is cut."""

    def __init__(self, dialer: CuttableDialer, address: str, writer: Writer) -> None:
        self._dialer = dialer
        self._address = address
        self._writer = writer
        self._held: list[bytes] = []
        self._passing: asyncio.Task[None] | None = None

    def write(self, data: bytes) -> None:
        if not self._held and not self._dialer.is_cut(self._address):
            self._writer.write(data)
            return
        self._held.append(data)
        if self._passing is None:
            self._passing = asyncio.get_running_loop().create_task(self._pass())

    async def drain(self) -> None:
        if not self._held:
            await self._writer.drain()

    def close(self) -> None:
        self._held.clear()
        self._writer.close()

    async def _pass(self) -> None:
        await self._dialer.until_passes(self._address)
        held, self._held, self._passing = self._held, [], None
        for data in held:
            self._writer.write(data)


class SuspendedLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock leaves out the time for which its process was suspended."""

    slept_s = 0.0

    def time(self) -> float:
        """Seconds on the steady clock, less the time of suspensions."""
        return super().time() - self.slept_s


class SuspendedPolicy(asyncio.DefaultEventLoopPolicy):
    """Makes such loops, and tells them when the process goes on."""

    def __init__(self, file: Path) -> None:
        super().__init__()
        self._file = file
        signal.signal(signal.SIGCONT, self._go_on)

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """A loop that leaves suspensions out."""
        return SuspendedLoop()

    def _go_on(self, number: int, frame: object) -> None:
        SuspendedLoop.slept_s = float(self._file.read_text(encoding="utf-8"))


if __name__ == "__main__":
    cuts = Path(sys.argv[2])
    asyncio.set_event_loop_policy(SuspendedPolicy(Path(sys.argv[3])))
    with patch.object(entry, "Dialer", lambda: CuttableDialer(cuts)):
        main(Path(sys.argv[1]))
