"""A VM's link to the store of a soak: an HTTP server that injects faults into its connections.

HTTP is parsed here since h11 and a proxy took ten times the processor time per call, and the store
of 41 VMs could not keep up.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from urllib.parse import parse_qsl, urlsplit

from saddlestack.soak.store_messages import LinkFault
from saddlestack.standins.network import Link, LinkQueue
from saddlestack.wire.http import Request, Response

HEAD_END = b"\r\n\r\n"
REFUSAL_STATUSES = (503, 429)
STALE_SHARE = 0.5
"""Share of the connections that :attr:`LinkFault.STALE_SOME` strikes."""

Handler = Callable[[Request], Awaitable[Response]]


class StoreLink:
    """Serves one VM on a port of its own.

    :param bandwidth: link that all answers to the VM share; ``None`` if it is not limited.
    :ivar fault: the current fault, or ``None``.
    :ivar delay_s: delay of calls and answers, for :attr:`LinkFault.DELAY`.
    :ivar calls: the number of calls handled so far.
    """

    def __init__(self, handler: Handler, rng: random.Random, bandwidth: Link | None = None) -> None:
        self.bandwidth = bandwidth
        self._handler = handler
        self._rng = rng
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._held: list[Callable[[], None]] = []
        self.fault: LinkFault | None = None
        self.delay_s = 0.0
        self.port = 0
        self.calls = 0
        self._accepted = 0

    async def start(self, address: str) -> None:
        """Listen on a free port."""
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(lambda: _Connection(self), address, 0)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening, and reset the VM's open connections."""
        if self._server is not None:
            self._server.close()
        self._reset_all()

    def set_fault(self, fault: LinkFault | None, delay_s: float = 0.0) -> None:
        """Begin a fault, or end it with ``None``.

        Held calls and answers are delivered unless the new fault holds them, too.
        """
        self.fault = fault
        self.delay_s = delay_s
        if fault is LinkFault.RESET:
            self._reset_all()
        if fault is LinkFault.STALE:
            for connection in self._connections:
                connection.stale = True
        if fault is LinkFault.STALE_SOME:
            for connection in sorted(self._connections, key=lambda each: each.number):
                connection.stale = connection.stale or self._rng.random() < STALE_SHARE
        if fault not in {LinkFault.SILENT, LinkFault.ONE_WAY}:
            held, self._held = self._held, []
            for deliver in held:
                deliver()

    def accept(self, connection: _Connection) -> bool:
        """Register a new connection.

        :return: whether it is accepted.
        """
        if self.fault is LinkFault.RESET:
            return False
        self._connections.add(connection)
        self._accepted += 1
        connection.number = self._accepted
        return True

    def remove(self, connection: _Connection) -> None:
        """Remove a connection that is closed."""
        self._connections.discard(connection)

    def deliver_call(self, deliver: Callable[[], None]) -> None:
        """Deliver a call now, after the delay, or once calls are no longer held."""
        self._deliver(deliver, held=self.fault is LinkFault.SILENT)

    def deliver_answer(self, deliver: Callable[[], None]) -> None:
        """Deliver an answer now, after the delay, or once answers are no longer held."""
        self._deliver(deliver, held=self.fault in {LinkFault.SILENT, LinkFault.ONE_WAY})

    async def handle(self, request: Request) -> Response:
        """Answer a call, or refuse it."""
        self.calls += 1
        if self.fault is LinkFault.REFUSED:
            return Response(self._rng.choice(REFUSAL_STATUSES))
        return await self._handler(request)

    def _deliver(self, deliver: Callable[[], None], *, held: bool) -> None:
        if held:
            self._held.append(deliver)
        elif self.fault is LinkFault.DELAY:
            asyncio.get_running_loop().call_later(self.delay_s, deliver)
        else:
            deliver()

    def _reset_all(self) -> None:
        for connection in list(self._connections):
            connection.abort()


class _Connection(asyncio.Protocol):
    """One connection of the VM.

    :ivar number: numbers the connections of a link in the order in which they were accepted.
    :ivar stale: whether it drops all data.
    """

    def __init__(self, link: StoreLink) -> None:
        self._link = link
        self._buffer = b""
        self._transport: asyncio.Transport | None = None
        self._reads: set[asyncio.Task[None]] = set()
        self._writes: set[asyncio.Task[None]] = set()
        self._sending: asyncio.Task[None] | None = None
        self.stale = False
        self.number = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        if not self._link.accept(self):
            transport.abort()

    def connection_lost(self, error: Exception | None) -> None:
        """Cancel calls that only read; the others are still carried out."""
        self._transport = None
        self._link.remove(self)
        for task in self._reads:
            task.cancel()
        if self._sending is not None:
            self._sending.cancel()

    def data_received(self, data: bytes) -> None:
        if self.stale:
            return
        self._buffer += data
        while (request := self._parse_request()) is not None:
            self._link.deliver_call(lambda request=request: self._start_call(request))  # type: ignore[misc]

    def abort(self) -> None:
        """Reset the connection."""
        if self._transport is not None:
            self._transport.abort()

    def _parse_request(self) -> Request | None:
        """Return the next complete request, or ``None``."""
        head_size = self._buffer.find(HEAD_END)
        if head_size < 0:
            return None
        head = self._buffer[:head_size].decode("latin-1")
        request_line, *header_lines = head.split("\r\n")
        headers = dict(_parse_header(line) for line in header_lines)
        body_at = head_size + len(HEAD_END)
        end = body_at + int(headers.get("content-length", 0))
        if len(self._buffer) < end:
            return None
        body = self._buffer[body_at:end]
        self._buffer = self._buffer[end:]
        method, target, _ = request_line.split(" ")
        parts = urlsplit(target)
        return Request(method, parts.path, dict(parse_qsl(parts.query)), headers, body)

    def _start_call(self, request: Request) -> None:
        if self._transport is None:
            return
        tasks = self._reads if request.method == "GET" else self._writes
        task = asyncio.get_running_loop().create_task(self._serve(request))
        tasks.add(task)
        task.add_done_callback(tasks.discard)

    async def _serve(self, request: Request) -> None:
        data = _encode(await self._link.handle(request))
        self._link.deliver_answer(lambda: self._write(data))

    def _write(self, data: bytes) -> None:
        bandwidth = self._link.bandwidth
        if bandwidth is None:
            self._deliver(data)
            return
        send = LinkQueue(bandwidth, self._deliver).send(data)
        self._sending = asyncio.get_running_loop().create_task(send)

    def _deliver(self, data: bytes) -> None:
        if self._transport is not None and not self.stale:
            self._transport.write(data)


def _parse_header(line: str) -> tuple[str, str]:
    name, _, value = line.partition(":")
    return name.lower(), value.strip()


def _encode(response: Response) -> bytes:
    head = (
        f"HTTP/1.1 {response.status} {HTTPStatus(response.status).phrase}\r\n"
        f"content-length: {len(response.body)}\r\n"
        f"content-type: {response.content_type}\r\n\r\n"
    )
    return head.encode() + response.body
