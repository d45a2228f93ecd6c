"""Opens TCP connections. A class of its own, so that tests can replace it by a faulty network."""

from __future__ import annotations

import asyncio
from typing import Protocol

CONNECT_TIMEOUT_S = 2.0


class Reader(Protocol):
    """The reading side of a connection."""

    async def read(self, size: int) -> bytes:
        """Read up to ``size`` bytes; empty at the end of the stream."""
        ...

    async def readexactly(self, size: int) -> bytes:
        """Read exactly ``size`` bytes.

        :raises asyncio.IncompleteReadError: the stream ended before.
        """
        ...


class Writer(Protocol):
    """The writing side of a connection."""

    def write(self, data: bytes) -> None:
        """Queue bytes to be sent."""
        ...

    async def drain(self) -> None:
        """Wait until the write buffer has room again."""
        ...

    def close(self) -> None:
        """Close the connection."""
        ...


class Dialer:
    """Opens TCP connections to IP addresses."""

    async def open(
        self, address: str, port: int, timeout: float = CONNECT_TIMEOUT_S
    ) -> tuple[Reader, Writer]:
        """Open a connection.

        :raises OSError: refused, unreachable or timed out.
        """
        async with asyncio.timeout(timeout):
            return await asyncio.open_connection(address, port)
