"""Starts an entry VM that a soak can suspend, and whose connections it can cut by address.

Run as a script with any version of the package: ``launcher.py SETTINGS CUTS SLEPT``. ``CUTS`` is a
file with one address per line; no data passes to or from the listed addresses. ``SLEPT`` is a file
with the total seconds for which the process has been suspended. The event loop's clock leaves them
out, as ``CLOCK_MONOTONIC`` does on a machine that was suspended. Only the class that opens
connections and the event loop differ from the normal program.
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

CUTS_POLL_INTERVAL_S = 0.1
"""Interval at which the file of cuts is checked for changes."""
HELD_POLL_INTERVAL_S = 0.05
"""Interval at which held data is checked for delivery."""


class CuttableDialer(Dialer):
    """Opens connections that pass no data while their address is cut.

    Data written meanwhile is delivered afterwards, as TCP retransmits it.
    """

    def __init__(self, file: Path) -> None:
        self._file = file
        self._changed_ns = 0
        self._cut: frozenset[str] = frozenset()
        self._poll_task = asyncio.get_running_loop().create_task(self._poll_cuts())

    def is_cut(self, address: str) -> bool:
        """Whether an address is cut."""
        return address in self._cut

    async def open(
        self, address: str, port: int, timeout: float = CONNECT_TIMEOUT_S
    ) -> tuple[Reader, Writer]:
        """Connect to an address; times out if it stays cut."""
        async with asyncio.timeout(timeout):
            await self.wait_until_open(address)
            reader, writer = await super().open(address, port, timeout)
            return _CuttableReader(self, address, reader), _CuttableWriter(self, address, writer)

    async def wait_until_open(self, address: str) -> None:
        """Wait until an address is not cut."""
        while self.is_cut(address):
            await asyncio.sleep(HELD_POLL_INTERVAL_S)

    async def _poll_cuts(self) -> None:
        while True:
            changed_ns = self._file.stat().st_mtime_ns
            if changed_ns != self._changed_ns:
                self._changed_ns = changed_ns
                self._cut = frozenset(self._file.read_text(encoding="utf-8").split())
            await asyncio.sleep(CUTS_POLL_INTERVAL_S)


class _CuttableReader:
    """Returns no data while the peer is cut."""

    def __init__(self, dialer: CuttableDialer, address: str, reader: Reader) -> None:
        self._dialer = dialer
        self._address = address
        self._reader = reader

    async def read(self, size: int) -> bytes:
        data = await self._reader.read(size)
        await self._dialer.wait_until_open(self._address)
        return data

    async def readexactly(self, size: int) -> bytes:
        data = await self._reader.readexactly(size)
        await self._dialer.wait_until_open(self._address)
        return data


class _CuttableWriter:
    """Holds written data while the peer is cut."""

    def __init__(self, dialer: CuttableDialer, address: str, writer: Writer) -> None:
        self._dialer = dialer
        self._address = address
        self._writer = writer
        self._held: list[bytes] = []
        self._flush_task: asyncio.Task[None] | None = None

    def write(self, data: bytes) -> None:
        if not self._held and not self._dialer.is_cut(self._address):
            self._writer.write(data)
            return
        self._held.append(data)
        if self._flush_task is None:
            self._flush_task = asyncio.get_running_loop().create_task(self._flush())

    async def drain(self) -> None:
        if not self._held:
            await self._writer.drain()

    def close(self) -> None:
        self._held.clear()
        self._writer.close()

    async def _flush(self) -> None:
        await self._dialer.wait_until_open(self._address)
        held, self._held, self._flush_task = self._held, [], None
        for data in held:
            self._writer.write(data)


class SuspendAwareLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock leaves out the time for which its process was suspended."""

    suspended_s = 0.0

    def time(self) -> float:
        """Return the monotonic time in seconds, less the time of suspensions."""
        return super().time() - self.suspended_s


class SuspendAwarePolicy(asyncio.DefaultEventLoopPolicy):
    """Creates such loops, and updates them when the process receives SIGCONT."""

    def __init__(self, file: Path) -> None:
        super().__init__()
        self._file = file
        signal.signal(signal.SIGCONT, self._on_continue)

    def new_event_loop(self) -> asyncio.AbstractEventLoop:
        """Create a loop whose clock leaves out suspensions."""
        return SuspendAwareLoop()

    def _on_continue(self, number: int, frame: object) -> None:
        SuspendAwareLoop.suspended_s = float(self._file.read_text(encoding="utf-8"))


if __name__ == "__main__":
    cuts = Path(sys.argv[2])
    asyncio.set_event_loop_policy(SuspendAwarePolicy(Path(sys.argv[3])))
    with patch.object(entry, "Dialer", lambda: CuttableDialer(cuts)):
        main(Path(sys.argv[1]))
