"""HTTP/1.1 with h11: a small server and a client with a connection pool."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import math
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from urllib.parse import parse_qs, unquote, urlsplit

import h11

from saddlestack.codec import from_json, to_json
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.kernel.service import TaskGroup
from saddlestack.kernel.transfers import report_received
from saddlestack.models import ErrorBody
from saddlestack.wire.dialer import Dialer, Reader, Writer

log = logging.getLogger("saddlestack.http")

MAX_BODY = 2 * 1024 * 1024
MAX_HEADERS = 16 * 1024
READ_SIZE = 64 * 1024
HEADER_TIMEOUT_S = 10.0
IDLE_TIMEOUT_S = 75.0
MAX_CONNECTIONS = 4096
MAX_IDLE_CONNECTIONS = 64
WRITE_TIMEOUT_S = 10.0
"""A client that reads nothing of a response for this long is considered gone. It is as long as a
client may take to send its headers."""


@dataclass(slots=True)
class Request:
    """A request as a handler sees it."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes

    @property
    def bearer(self) -> str | None:
        """The bearer token, or ``None``."""
        scheme, _, token = self.headers.get("authorization", "").partition(" ")
        return token.strip() if scheme.lower() == "bearer" and token else None

    def number(self, name: str, default: float, *, maximum: float) -> float:
        """A number of seconds or items from the query, bounded.

        :raises SaddlestackError: not a number from 0 to ``maximum``.
        """
        text = self.query.get(name)
        if text is None:
            return default
        try:
            value = float(text)
        except ValueError:
            value = -1.0
        if not 0 <= value <= maximum:
            raise SaddlestackError(
                ErrorKind.INVALID,
                f"expected 0 to {maximum:g}, got {text!r}",
                where=f"query: {name}",
            )
        return value


@dataclass(slots=True)
class Response:
    """A response: status, body and additional headers."""

    status: int = 200
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)
    content_type: str = "application/json"


Handler = Callable[[Request], Awaitable[Response]]


def json_response(value: object, status: int = 200) -> Response:
    """Build a response with a model encoded as JSON.

    :rtype: Response
    """
    return Response(status, to_json(value))


def error_response(error: SaddlestackError) -> Response:
    """Build the response for an error, with the status of its kind.

    :rtype: Response
    """
    rule = error.rule
    body = ErrorBody(
        error=error.kind.value,
        message=error.message,
        retryable=rule.retryable,
        ran=rule.ran.value,
        retry_after=error.retry_after,
        where=error.where,
    )
    response = json_response(body, rule.status)
    if error.retry_after is not None:
        response.headers["retry-after"] = str(math.ceil(error.retry_after))
    return response


class HttpServer:
    """Serves requests on one address; each connection is a task of its own.

    :param max_body: maximum size of a request's body, in bytes.
    :param max_connections: connections beyond this are closed at once.
    """

    def __init__(
        self,
        handler: Handler,
        *,
        max_body: int = MAX_BODY,
        max_connections: int = MAX_CONNECTIONS,
    ) -> None:
        self._handler = handler
        self._max_body = max_body
        self._max_connections = max_connections
        self._server: asyncio.Server | None = None
        self._tasks = TaskGroup("http")
        self._writers: set[asyncio.StreamWriter] = set()
        self._active_requests = 0
        self._closing = False
        self.port = 0

    async def start(self, address: str, port: int) -> None:
        """Listen; port 0 selects a free port, which :attr:`port` then holds."""
        self._server = await asyncio.start_server(self._accept, address, port, backlog=1024)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def active_requests(self) -> int:
        """Number of requests in progress."""
        return self._active_requests

    async def drain(self) -> None:
        """Accept no new connections and wait until every request in progress is answered."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        while self._active_requests:
            await asyncio.sleep(0.02)

    async def stop(self) -> None:
        """Close all sockets and cancel all requests."""
        self.abort()
        await self._tasks.cancel()

    def abort(self) -> None:
        """Close all sockets immediately, as if the process had died."""
        self._closing = True
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if len(self._writers) >= self._max_connections or self._closing:
            writer.transport.abort()
            return
        self._writers.add(writer)
        self._tasks.spawn(self._serve(reader, writer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEADERS)
        try:
            while await self._exchange(connection, reader, writer):
                connection.start_next_cycle()
        except (OSError, TimeoutError, h11.ProtocolError):
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(Exception):
                writer.close()

    async def _exchange(
        self,
        connection: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        try:
            request = await self._read(connection, reader)
        except SaddlestackError as error:
            await self._answer(connection, writer, error_response(error), last=True)
            return False
        except h11.RemoteProtocolError as error:
            await self._reject(connection, writer, error)
            return False
        if request is None:
            return False
        self._active_requests += 1
        try:
            response = await self._call(request)
            await self._answer(connection, writer, response, last=self._closing)
        finally:
            self._active_requests -= 1
        return connection.our_state is h11.DONE and connection.their_state is h11.DONE

    async def _call(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except SaddlestackError as error:
            return error_response(error)
        except Exception:
            log.exception("request failed", extra={"event": "request_failed"})
            return error_response(
                SaddlestackError(ErrorKind.INTERNAL, "the request failed inside saddlestack")
            )

    async def _read(
        self, connection: h11.Connection, reader: asyncio.StreamReader
    ) -> Request | None:
        head: h11.Request | None = None
        body = bytearray()
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                timeout = IDLE_TIMEOUT_S if head is None else HEADER_TIMEOUT_S
                async with asyncio.timeout(timeout):
                    connection.receive_data(await reader.read(READ_SIZE))
            elif isinstance(event, h11.Request):
                head = event
            elif isinstance(event, h11.Data):
                body += event.data
                if len(body) > self._max_body:
                    raise SaddlestackError(
                        ErrorKind.TOO_LARGE, f"the body is over {self._max_body} bytes"
                    )
            elif isinstance(event, h11.EndOfMessage) and head is not None:
                return _build_request(head, bytes(body))
            else:
                return None

    async def _reject(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        error: h11.RemoteProtocolError,
    ) -> None:
        if connection.our_state not in {h11.IDLE, h11.SEND_RESPONSE}:
            return
        kind = ErrorKind.TOO_LARGE if error.error_status_hint == 431 else ErrorKind.MALFORMED
        response = error_response(SaddlestackError(kind, f"not an HTTP request: {error}"))
        await self._answer(connection, writer, response, last=True)

    async def _answer(
        self,
        connection: h11.Connection,
        writer: asyncio.StreamWriter,
        response: Response,
        *,
        last: bool,
    ) -> None:
        headers = [("content-length", str(len(response.body)))]
        if response.body:
            headers.append(("content-type", response.content_type))
        headers.extend(response.headers.items())
        if last:
            headers.append(("connection", "close"))
        data = connection.send(h11.Response(status_code=response.status, headers=headers)) or b""
        data += connection.send(h11.Data(data=response.body)) or b""
        data += connection.send(h11.EndOfMessage()) or b""
        writer.write(data)
        async with asyncio.timeout(WRITE_TIMEOUT_S):
            await writer.drain()


def _build_request(head: h11.Request, body: bytes) -> Request:
    target = urlsplit(head.target.decode("ascii"))
    query = {name: values[-1] for name, values in parse_qs(target.query).items()}
    headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
    return Request(head.method.decode(), unquote(target.path), query, headers, body)


@dataclass(frozen=True, slots=True)
class ConnectionCheck:
    """First request on each new connection, which verifies the server's identity.

    A connection ends with the server's process, so the result holds for the whole connection.

    :param check: called with the response; if it raises, the caller's request is not sent.
    """

    method: str
    path: str
    body: object
    check: Callable[[Response], None]


class NotSent(Exception):
    """No byte of the request was sent, so it was not run; the connection check may have been."""


class AnswerLost(Exception):
    """The request may have arrived; its response did not, or is incomplete."""


class HttpClient:
    """A client for one server, with a pool of idle connections.

    Open connections may become unresponsive for good while new ones work. A call that is not
    answered, or that its caller cancels, therefore closes all idle connections on which nothing was
    received since it was sent: the failure then costs the timeout of one call, not one timeout per
    idle connection.

    :param token: bearer token, or ``None``.
    :param max_idle: maximum number of idle connections.
    :ivar bytes: bytes sent and received.
    """

    def __init__(
        self,
        address: str,
        port: int,
        *,
        dialer: Dialer | None = None,
        token: str | None = None,
        max_idle: int = MAX_IDLE_CONNECTIONS,
    ) -> None:
        self.address = address
        self.port = port
        self._dialer = dialer or Dialer()
        self._token = token
        self._max_idle = max_idle
        self.bytes = 0
        self._idle: list[_Connection] = []
        self._open: set[_Connection] = set()

    async def request(
        self,
        method: str,
        path: str,
        body: object = None,
        *,
        timeout: float,
        headers: Sequence[tuple[str, str]] = (),
        host: str | None = None,
        connection_check: ConnectionCheck | None = None,
    ) -> Response:
        """Send a request and read the whole answer.

        :param body: a model, sent as JSON, or ``None``.
        :param timeout: seconds for the whole exchange, including the connection check.
        :param headers: additional headers.
        :param host: value of the ``Host`` header, if it is not the address.
        :param connection_check: sent before the request on a connection that is not checked yet.
        :raises NotSent: nothing was sent, or only the connection check.
        :raises AnswerLost: no response arrived, or an incomplete one.
        """
        connection = await self._connect(timeout)
        sent = _now()
        sending = answered = False
        try:
            async with asyncio.timeout(timeout):
                if connection_check is not None and not connection.checked:
                    await self._check_connection(connection, connection_check, headers, host)
                sending = True
                response = await connection.exchange(
                    self._encode(method, path, body, headers, host)
                )
            self.bytes += connection.take_byte_count()
            answered = True
        except (OSError, TimeoutError, h11.ProtocolError) as error:
            reason = f"{method} {path}: {type(error).__name__}"
            raise (AnswerLost(reason) if sending else NotSent(reason)) from error
        finally:
            self._release(connection)
            if not answered:
                self._drop_unresponsive(sent)
        return response

    def reconnect(self) -> None:
        """Close idle connections, so that later requests open new ones."""
        self._drop_unresponsive(math.inf)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self._open):
            connection.close()
        self._open.clear()
        self._idle.clear()

    async def _connect(self, timeout: float) -> _Connection:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_usable:
                return connection
            self._open.discard(connection)
        try:
            reader, writer = await self._dialer.open(self.address, self.port, min(timeout, 2.0))
        except OSError as error:
            raise NotSent(f"{self.address}:{self.port}: {type(error).__name__}") from error
        connection = _Connection(reader, writer)
        self._open.add(connection)
        return connection

    async def _check_connection(
        self,
        connection: _Connection,
        connection_check: ConnectionCheck,
        headers: Sequence[tuple[str, str]],
        host: str | None,
    ) -> None:
        message = self._encode(
            connection_check.method, connection_check.path, connection_check.body, headers, host
        )
        connection_check.check(await connection.exchange(message))
        if not connection.ready:
            raise ConnectionResetError("closed after the connection check")
        connection.checked = True

    def _drop_unresponsive(self, since: float) -> None:
        """Close the idle connections on which nothing was received after ``since``."""
        for connection in [each for each in self._idle if each.last_received_s <= since]:
            self._idle.remove(connection)
            self._open.discard(connection)
            connection.close()

    def _release(self, connection: _Connection) -> None:
        if connection.ready and len(self._idle) < self._max_idle:
            self._idle.append(connection)
            return
        connection.close()
        self._open.discard(connection)

    def _encode(
        self,
        method: str,
        path: str,
        body: object,
        extra_headers: Sequence[tuple[str, str]],
        host: str | None,
    ) -> tuple[h11.Request, bytes]:
        data = b"" if body is None else to_json(body)
        host_header = host or f"{self.address}:{self.port}"
        headers = [("host", host_header), ("content-length", str(len(data)))]
        if body is not None:
            headers.append(("content-type", "application/json"))
        if self._token is not None:
            headers.append(("authorization", f"Bearer {self._token}"))
        headers.extend(extra_headers)
        return h11.Request(method=method, target=path, headers=headers), data


class _Connection:
    """One connection of a client.

    :ivar ready: whether another request can be sent.
    :ivar checked: whether the connection check has passed.
    :ivar last_received_s: time of the last complete response, or of the connection's start.
    """

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self._reader = reader
        self._writer = writer
        self._h11 = h11.Connection(h11.CLIENT)
        self._bytes = 0
        self.ready = False
        self.checked = False
        self.last_received_s = _now()

    @property
    def is_usable(self) -> bool:
        """Whether the server has not closed the connection."""
        at_eof = getattr(self._reader, "at_eof", None)
        return not (at_eof is not None and at_eof())

    def take_byte_count(self) -> int:
        """Bytes sent and received since the last call."""
        counted, self._bytes = self._bytes, 0
        return counted

    async def exchange(self, message: tuple[h11.Request, bytes]) -> Response:
        self.ready = False
        head, body = message
        data = self._h11.send(head) or b""
        if body:
            data += self._h11.send(h11.Data(data=body)) or b""
        data += self._h11.send(h11.EndOfMessage()) or b""
        self._bytes += len(data)
        self._writer.write(data)
        await self._writer.drain()
        response = await self._read()
        if self._h11.our_state is h11.DONE and self._h11.their_state is h11.DONE:
            self._h11.start_next_cycle()
            self.ready = True
            self.last_received_s = _now()
        return response

    async def _read(self) -> Response:
        response = Response()
        chunks: list[bytes] = []
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                chunk = await self._reader.read(READ_SIZE)
                self._bytes += len(chunk)
                if chunk:
                    report_received(len(chunk))
                self._h11.receive_data(chunk)
            elif isinstance(event, h11.Response):
                response.status = event.status_code
                response.headers = {k.decode(): v.decode("latin-1") for k, v in event.headers}
            elif isinstance(event, h11.Data):
                chunks.append(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                response.body = b"".join(chunks)
                return response
            else:
                raise ConnectionResetError("closed before the response was complete")

    def close(self) -> None:
        with contextlib.suppress(Exception):
            self._writer.close()


def _now() -> float:
    return asyncio.get_running_loop().time()


def error_from_response(response: Response) -> SaddlestackError:
    """Decode the error in a response.

    :rtype: SaddlestackError
    """
    try:
        body = from_json(response.body, ErrorBody)
        kind = ErrorKind(body.error)
    except (SaddlestackError, ValueError):
        return SaddlestackError(ErrorKind.INTERNAL, f"answered {response.status}")
    return SaddlestackError(kind, body.message, retry_after=body.retry_after, where=body.where)
