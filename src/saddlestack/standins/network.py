"""A simulated network: partitions between data halls, and links of limited bandwidth.

A partition delays connections and data until it heals; it raises no connection errors.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable

from saddlestack.wire.dialer import CONNECT_TIMEOUT_S, Dialer, Reader, Writer

PLATFORM = "platform"
CLIENTS = "clients"
LINK_CHUNK = 16 * 1024
"""Bytes that a link carries of one connection before it carries those of others."""
LINK_WINDOW = 512 * 1024
"""Bytes of one connection that may wait for a link: the receive window of a long transfer."""


class Network:
    """Tracks which places can reach each other: data halls, the platform and the clients."""

    def __init__(self) -> None:
        self._cut: set[frozenset[str]] = set()
        self._changed = asyncio.Event()
        self._places: dict[str, str] = {}

    def assign(self, address: str, place: str) -> None:
        """Assign an address to a place."""
        self._places[address] = place

    def location_of(self, address: str) -> str:
        """The place of an address; unassigned addresses belong to the clients."""
        return self._places.get(address, CLIENTS)

    def cut(self, one: str, other: str) -> None:
        """Partition two places."""
        self._cut.add(frozenset((one, other)))
        self._notify()

    def heal(self, one: str | None = None, other: str | None = None) -> None:
        """End the partition of two places, or all partitions by default."""
        if one is None or other is None:
            self._cut.clear()
        else:
            self._cut.discard(frozenset((one, other)))
        self._notify()

    def is_connected(self, one: str, other: str) -> bool:
        """Whether two places are not partitioned."""
        return frozenset((one, other)) not in self._cut

    async def wait_until_connected(self, one: str, other: str) -> None:
        """Wait until two places are not partitioned."""
        while not self.is_connected(one, other):
            await self._changed.wait()

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()


class CuttableDialer(Dialer):
    """Opens connections from one place over a :class:`Network`."""

    def __init__(self, network: Network, place: str) -> None:
        self._network = network
        self._place = place

    async def open(
        self, address: str, port: int, timeout: float = CONNECT_TIMEOUT_S
    ) -> tuple[Reader, Writer]:
        """Connect, or time out if the two places stay partitioned.

        :raises OSError: refused, unreachable or timed out.
        """
        remote = self._network.location_of(address)
        async with asyncio.timeout(timeout):
            await self._network.wait_until_connected(self._place, remote)
            reader, writer = await asyncio.open_connection(address, port)
        return (
            _CuttableReader(reader, self._network, self._place, remote),
            _CuttableWriter(writer, self._network, self._place, remote),
        )


class _CuttableReader:
    def __init__(
        self, reader: asyncio.StreamReader, network: Network, local: str, remote: str
    ) -> None:
        self._reader = reader
        self._network = network
        self._ends = (local, remote)

    async def read(self, size: int) -> bytes:
        data = await self._reader.read(size)
        await self._network.wait_until_connected(*self._ends)
        return data

    async def readexactly(self, size: int) -> bytes:
        data = await self._reader.readexactly(size)
        await self._network.wait_until_connected(*self._ends)
        return data

    def at_eof(self) -> bool:
        return self._reader.at_eof()


class _CuttableWriter:
    def __init__(
        self, writer: asyncio.StreamWriter, network: Network, local: str, remote: str
    ) -> None:
        self._writer = writer
        self._network = network
        self._ends = (local, remote)
        self._buffered: list[bytes] = []
        self._flusher: asyncio.Task[None] | None = None

    def write(self, data: bytes) -> None:
        if self._network.is_connected(*self._ends) and not self._buffered:
            self._writer.write(data)
            return
        self._buffered.append(data)
        if self._flusher is None:
            self._flusher = asyncio.get_running_loop().create_task(self._flush())

    async def drain(self) -> None:
        if not self._buffered:
            await self._writer.drain()

    def close(self) -> None:
        self._buffered.clear()
        if self._flusher is not None:
            self._flusher.cancel()
        self._writer.close()

    async def _flush(self) -> None:
        await self._network.wait_until_connected(*self._ends)
        buffered, self._buffered = self._buffered, []
        self._flusher = None
        for data in buffered:
            self._writer.write(data)


class Link:
    """A link of limited bandwidth, which its connections share in the order of their data.

    :param bytes_per_s: bandwidth.
    :ivar carried: bytes carried so far.
    """

    def __init__(self, bytes_per_s: float) -> None:
        self._bytes_per_s = bytes_per_s
        self._free_s = 0.0
        self.carried = 0

    def queue(self, size: int) -> float:
        """Queue some bytes behind all others; return when they have passed the link."""
        now = asyncio.get_running_loop().time()
        self._free_s = max(now, self._free_s) + size / self._bytes_per_s
        self.carried += size
        return self._free_s


class LinkDialer(Dialer):
    """Opens connections whose incoming data passes a :class:`Link`."""

    def __init__(self, link: Link) -> None:
        self._link = link

    async def open(
        self, address: str, port: int, timeout: float = CONNECT_TIMEOUT_S
    ) -> tuple[Reader, Writer]:
        """Connect.

        :raises OSError: refused, unreachable or timed out.
        """
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(address, port)
        delayed = asyncio.StreamReader()
        pump = asyncio.get_running_loop().create_task(_pump(reader, delayed, self._link))
        return delayed, _LinkWriter(writer, pump)


class _LinkWriter:
    def __init__(self, writer: asyncio.StreamWriter, pump: asyncio.Task[None]) -> None:
        self._writer = writer
        self._pump = pump

    def write(self, data: bytes) -> None:
        self._writer.write(data)

    async def drain(self) -> None:
        await self._writer.drain()

    def close(self) -> None:
        self._pump.cancel()
        self._writer.close()


class LinkQueue:
    """What one connection has under way on a link, up to its window.

    :param deliver: called with each chunk of data once it has passed the link.
    """

    def __init__(self, link: Link, deliver: Callable[[bytes], None]) -> None:
        self._link = link
        self._deliver = deliver
        self._under_way: deque[float] = deque()

    async def send(self, data: bytes) -> None:
        """Queue data, and wait while the window is full."""
        loop = asyncio.get_running_loop()
        for first in range(0, len(data), LINK_CHUNK):
            chunk = data[first : first + LINK_CHUNK]
            arrives_s = self._link.queue(len(chunk))
            loop.call_at(arrives_s, self._deliver, chunk)
            self._under_way.append(arrives_s)
            if len(self._under_way) * LINK_CHUNK >= LINK_WINDOW:
                await asyncio.sleep(self._under_way.popleft() - loop.time())

    async def drain(self) -> None:
        """Wait until everything has passed the link."""
        if self._under_way:
            await asyncio.sleep(self._under_way[-1] - asyncio.get_running_loop().time())


async def _pump(reader: asyncio.StreamReader, delayed: asyncio.StreamReader, link: Link) -> None:
    """Pass on the data of a connection as it arrives over a link."""
    queue = LinkQueue(link, delayed.feed_data)
    while data := await reader.read(LINK_CHUNK):
        await queue.send(data)
    await queue.drain()
    delayed.feed_eof()
