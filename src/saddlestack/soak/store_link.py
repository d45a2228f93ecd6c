"""A VM's way to the store of a soak: HTTP whose connections can be troubled one by one.

Calls are parsed by hand: with h11 and a proxy, each took ten times the processor time, and the
store of 41 VMs kept no time.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from urllib.parse import parse_qsl, urlsplit

from saddlestack.soak.store_messages import LinkFault
from saddlestack.wire.http import Request, Response

HEAD_END = b"\r\n\r\n"
REFUSALS = (503, 429)

Handler = Callable[[Request], Awaitable[Response]]


class StoreLink:
    """Serves one VM on a port of its own.

    :ivar calls: calls that were handled.
    """

    def __init__(self, handler: Handler, rng: random.Random) -> None:
        self._handler = handler
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._held: list[Callable[[], None]] = []
        self.trouble: LinkFault | None = None
        self.delay_s = 0.0
        self.port = 0
        self.calls = 0

    async def start(self, address: str) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), address, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close everything."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def set_fault(self, trouble: LinkFault | None, delay_s: float = 0.0) -> None:
        """Begin a trouble, or end it with ``None``. What was held passes once nothing is held."""
        self.trouble = trouble
        self.delay_s = delay_s
        if trouble is LinkFault.RESET:
            self._reset_all()
        if trouble is LinkFault.STALE:
            for connection in self._connections:
                connection.stale = True
        if trouble not in {LinkFault.SILENT, LinkFault.ONE_WAY}:
            held, self._held = self._held, []
            for passes in held:
                passes()

    def admit(self, connection: _Connection) -> bool:
        """Take a new connection, or none."""
        if self.trouble is LinkFault.RESET:
            return False
        self._connections.add(connection)
        return True

    def dismiss(self, connection: _Connection) -> None:
        """A connection is over."""
        self._connections.discard(connection)

    def pass_call(self, deliver: Callable[[], None]) -> None:
        """Deliver a call now, later, or once it is held no more."""
        self._pass(deliver, held=self.trouble is LinkFault.SILENT)

    def pass_answer(self, deliver: Callable[[], None]) -> None:
        """Deliver an answer now, later, or once it is held no more."""
        self._pass(deliver, held=self.trouble in {LinkFault.SILENT, LinkFault.ONE_WAY})

    async def handle(self, request: Request) -> Response:
        """Answer a call, or refuse it."""
        self.calls += 1
        if self.trouble is LinkFault.REFUSED:
            return Response(self._rng.choice(REFUSALS))
        return await self._handler(request)

    def _pass(self, deliver: Callable[[], None], *, held: bool) -> None:
        if held:
            self._held.append(deliver)
        elif self.trouble is LinkFault.DELAY:
            asyncio.get_running_loop().call_later(self.delay_s, deliver)
        else:
            deliver()

    def _reset_all(self) -> None:
        for connection in list(self._connections):
            connection.abort()


class _Connection(asyncio.Protocol):
    """One connection of the VM.

    :ivar stale: it swallows everything.
    """

    def __init__(self, way: StoreLink) -> None:
        self._way = way
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._reads: set[asyncio.Task[None]] = set()
        self._writes: set[asyncio.Task[None]] = set()
        self.stale = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._way.admit(self):
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Calls that only read end with their connection; the others are carried out."""
        self._transport = None
        self._way.dismiss(self)
        for task in self._reads:
            task.cancel()

    def data_received(self, data: bytes) -> None:
        if self.stale:
            return
        self._buffer += data
        while (request := self._next_request()) is not None:
            self._way.pass_call(lambda request=request: self._begin(request))  # type: ignore[misc]

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _next_request(self) -> Request | None:
        """The next request that has arrived whole."""
        head_size = self._buffer.find(HEAD_END)
        if head_size < 0:
            return None
        head = self._buffer[:head_size].decode("latin-1")
        first, *lines = head.split("\r\n")
        headers = dict(_header(line) for line in lines)
        body_at = head_size + len(HEAD_END)
        end = body_at + int(headers.get("content-length", 0))
        if len(self._buffer) < end:
            return None
        body = self._buffer[body_at:end]
        self._buffer = self._buffer[end:]
        method, target, _ = first.split(" ")
        parts = urlsplit(target)
        return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)

    def _begin(self, request: Request) -> None:
        if self._transport is None:
            return
        tasks = self._reads if request.method == "GET" else self._writes
        task = asyncio.get_running_loop().create_task(self._serve(request))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def _serve(self, request: Request) -> None:
        data = _encoded(await self._way.handle(request))
        self._way.pass_answer(lambda: self._write(data))

    def _write(self, data: bytes) -> None:
        if self._transport is not None and not self.stale:
            self._transport.write(data)


def _header(line: str) -> tuple[str, str]:
    name, _, value = line.partition(":")
    return name.lower(), value.strip()


def _encoded(response: Response) -> bytes:
    head = (
        f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}\r\n"
        f"content-length: {len(response.body)}\r\n"
        f"content-type: {response.content_type}\r\n\r\n"
    )
    return head.encode() + response.body
