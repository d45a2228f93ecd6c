"""A stream of typed messages over TCP: msgpack frames with a length prefix."""

from __future__ import annotations

import asyncio
import contextlib
import struct
from typing import Any

import msgspec

_LENGTH = struct.Struct(">I")


class MessageStream:
    """Reads messages of one union of types and writes messages of any type.

    :param kind: the union of all types that may arrive.
    """

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, kind: Any):
        self._reader = reader
        self._writer = writer
        self._decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(kind)
        self._encoder = msgspec.msgpack.Encoder()

    async def read(self) -> Any:
        """Read the next message.

        :raises asyncio.IncompleteReadError: if the stream ended.
        """
        (size,) = _LENGTH.unpack(await self._reader.readexactly(_LENGTH.size))
        return self._decoder.decode(await self._reader.readexactly(size))

    def write(self, message: msgspec.Struct) -> None:
        """Queue a message; it is dropped if the stream is closing."""
        if self._writer.is_closing():
            return
        data = self._encoder.encode(message)
        self._writer.write(_LENGTH.pack(len(data)) + data)

    def close(self) -> None:
        """Close the stream."""
        with contextlib.suppress(OSError):
            self._writer.close()
