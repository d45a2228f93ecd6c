"""A small HTTP/1.1 server and client with JSON bodies."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from urllib.parse import parse_qs, urlsplit

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 412: "Precondition Failed"}


class Request:
    """One request."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        parts = urlsplit(target)
        self.method = method
        self.path = parts.path
        self.query = {name: values[-1] for name, values in parse_qs(parts.query).items()}
        self.headers = headers
        self.body = json.loads(body) if body else {}


class Drop(Exception):
    """The connection is reset instead of an answer."""


class Silence(Exception):
    """Nothing more is said on the connection."""


Answer = tuple[int, object]
Handler = Callable[[Request], Awaitable[Answer]]


async def _read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]] | None:
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


class Server:
    """Serves a handler on one address."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def start(self, address: str, port: int) -> int:
        """Listen; returns the port."""
        self._server = await asyncio.start_server(self._accept, address, port)
        return int(self._server.sockets[0].getsockname()[1])

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for writer in list(self._writers):
            writer.transport.abort()

    def stop(self) -> None:
        """Close the listener and all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        self.reset_connections()
        for task in list(self._tasks):
            task.cancel()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.get_running_loop().create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        try:
            while (head := await _read_head(reader)) is not None:
                first, headers = head
                method, target, _ = first.split(" ", 2)
                body = await reader.readexactly(int(headers.get("content-length", "0")))
                try:
                    status, value = await self._handler(Request(method, target, headers, body))
                except Silence:
                    await asyncio.sleep(3600)
                    return
                data = b"" if value is None else json.dumps(value).encode()
                writer.write(
                    f"HTTP/1.1 {status} {REASONS.get(status, 'Answer')}\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        except (Drop, ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()


async def call(
    address: str,
    port: int,
    method: str,
    path: str,
    *,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, object]:
    """Make one call on a new connection; status 0 means that no answer came."""
    data = b"" if body is None else json.dumps(body).encode()
    fields = {"Host": f"{address}:{port}", "Content-Type": "application/json", **(headers or {})}
    lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    text = f"{method} {path} HTTP/1.1\r\n{lines}Content-Length: {len(data)}\r\n\r\n"
    writer: asyncio.StreamWriter | None = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(address, port)
            writer.write(text.encode() + data)
            head = await _read_head(reader)
            if head is None:
                return 0, "closed"
            answer = await reader.readexactly(int(head[1].get("content-length", "0")))
        value = None
        if answer:
            with contextlib.suppress(ValueError):
                value = json.loads(answer)
        return int(head[0].split(" ")[1]), value
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
        return 0, type(error).__name__
    finally:
        if writer is not None:
            writer.transport.abort()
