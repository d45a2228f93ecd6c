"""A simulated network between data halls that can be partitioned.

A partition delays connections and data until it heals; it raises no connection errors.
"""

from __future__ import annotations

import asyncio

from saddlestack.wire.dialer import CONNECT_TIMEOUT_S, Dialer, Reader, Writer

PLATFORM = "platform"
CLIENTS = "clients"


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
