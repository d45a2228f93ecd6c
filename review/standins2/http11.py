"""A small HTTP/1.1 server and client on asyncio, with JSON bodies."""

from __future__ import annotations

import asyncio
import contextlib
import json
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Request:
    """A request; header names are in lower case."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def json(self) -> dict:
        return json.loads(self.body) if self.body else {}


Answer = tuple[int, object]
Handler = Callable[[Request], Awaitable[Answer | None]]
"""Returns the status and the body of the answer; ``None`` closes the connection."""


async def _read_message(reader: asyncio.StreamReader) -> tuple[str, dict[str, str], bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    headers = {}
    for line in head[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return head[0], headers, body


class Server:
    """Serves a handler on one loopback address."""

    def __init__(self, handler: Handler, host: str, port: int = 0) -> None:
        self._handler = handler
        self.host = host
        self.port = port
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    @property
    def address(self) -> str:
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, self.host, self.port)
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self) -> None:
        """Close the server and all its connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while True:
                start, headers, body = await _read_message(reader)
                method, target, _ = start.split(" ")
                url = urlsplit(target)
                request = Request(method, url.path, dict(parse_qsl(url.query)), headers, body)
                answer = await self._handler(request)
                if answer is None:
                    return
                data = b"" if answer[1] is None else json.dumps(answer[1]).encode()
                head = f"HTTP/1.1 {answer[0]} X\r\ncontent-length: {len(data)}\r\n"
                writer.write(f"{head}content-type: application/json\r\n\r\n".encode() + data)
                await writer.drain()
        except (asyncio.IncompleteReadError, OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(Exception):
                writer.close()


@dataclass
class Reply:
    """A client's view of an answer; status 0 if there was none."""

    status: int
    body: dict = field(default_factory=dict)


async def call(
    address: str,
    method: str,
    path: str,
    body: object = None,
    headers: dict[str, str] | None = None,
    timeout: float = 3.0,
) -> Reply:
    """Make one call on a connection of its own."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    fields = {"host": address, "content-length": str(len(data)), **(headers or {})}
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f"{method} {path} HTTP/1.1", *(f"{k}: {v}" for k, v in fields.items())]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + data)
            start, _, answer = await _read_message(reader)
            content = json.loads(answer) if answer else {}
            return Reply(int(start.split(" ")[1]), content if isinstance(content, dict) else {})
    except (OSError, EOFError, TimeoutError, ValueError):
        return Reply(0)
    finally:
        if writer is not None:
            writer.close()


def free_port(host: str) -> int:
    """A port of a loopback address that is free now."""
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]
