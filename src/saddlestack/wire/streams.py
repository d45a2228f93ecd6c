"""Streams between daemons: length-prefixed msgpack frames, authenticated by a shared key."""

from __future__ import annotations

import asyncio
import contextlib
import hashlib
import hmac
import itertools
import logging
import secrets
import struct
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import TypeVar

import msgspec

from saddlestack.codec import from_msgpack, to_msgpack
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.kernel.service import TaskGroup
from saddlestack.wire.dialer import Reader, Writer
from saddlestack.wire.messages import (
    PROTOCOL,
    AnyFrame,
    Beat,
    Call,
    Challenge,
    Hello,
    Reply,
    Welcome,
)

log = logging.getLogger("saddlestack.streams")

T = TypeVar("T")

MAX_FRAME = 4 * 1024 * 1024
NONCE_SIZE = 16
HANDSHAKE_TIMEOUT_S = 3.0
MAX_CALLS = 4096
UNRESPONSIVE_AFTER_S = 0.2
"""A link on which nothing was received for this long while a call waited may never recover: it gets
no further calls until something is received. VMs answer in 1 to 3 ms, slow ones in 0.1 s, and
callers time out after 0.25 s at the earliest."""
ACCEPTED_IDLE_S = 75.0
"""An accepted link on which nothing was received for this long is closed, like idle HTTP
connections; the other side dials again when it needs one."""
_LENGTH = struct.Struct(">I")


class LinkLost(Exception):
    """No reply was received: the call may have been carried out."""


@dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identity of the VM at one end of a stream."""

    vm: str
    data_hall: str
    incarnation: int


CallHandler = Callable[[str, msgspec.Raw], Awaitable[object]]
"""Handles a call: takes its method and body, returns the model of the reply."""


class FrameStream:
    """Reads and writes single frames."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self._reader = reader
        self._writer = writer
        self.bytes_out = 0
        self.bytes_in = 0

    async def read(self) -> AnyFrame:
        """Read the next frame.

        :raises SaddlestackError: the frame is too large or malformed.
        :raises asyncio.IncompleteReadError: the stream ended.
        """
        (size,) = _LENGTH.unpack(await self._reader.readexactly(_LENGTH.size))
        if size > MAX_FRAME:
            raise SaddlestackError(ErrorKind.TOO_LARGE, f"a frame of {size} bytes")
        data = await self._reader.readexactly(size)
        self.bytes_in += size + _LENGTH.size
        frame: AnyFrame = from_msgpack(data, AnyFrame)  # type: ignore[arg-type]
        return frame

    def write(self, frame: AnyFrame) -> None:
        """Queue a frame to be sent.

        :raises SaddlestackError: the frame is too large; nothing was sent.
        """
        data = to_msgpack(frame)
        if len(data) > MAX_FRAME:
            raise SaddlestackError(ErrorKind.TOO_LARGE, f"a frame of {len(data)} bytes")
        self._writer.write(_LENGTH.pack(len(data)) + data)
        self.bytes_out += len(data) + _LENGTH.size

    async def drain(self) -> None:
        """Wait until the write buffer has room again."""
        await self._writer.drain()

    def close(self) -> None:
        """Close the stream."""
        with contextlib.suppress(Exception):
            self._writer.close()


class Handshake:
    """Proves to each side of a new stream that the other knows the shared key."""

    def __init__(self, own: PeerIdentity, key: str) -> None:
        self._own_identity = own
        self._key = key.encode()

    async def dial(self, stream: FrameStream) -> PeerIdentity:
        """Handshake as the dialing side.

        :raises SaddlestackError: the other side does not know the key or violates the protocol.
        """
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            challenge = await self._expect(stream, Challenge)
            nonce = secrets.token_bytes(NONCE_SIZE)
            proof = self._proof("dial", challenge.nonce + nonce, self._own_identity)
            stream.write(
                Hello(
                    vm=self._own_identity.vm,
                    data_hall=self._own_identity.data_hall,
                    incarnation=self._own_identity.incarnation,
                    nonce=nonce,
                    proof=proof,
                )
            )
            welcome = await self._expect(stream, Welcome)
            other = PeerIdentity(welcome.vm, welcome.data_hall, welcome.incarnation)
            self._check(welcome.proof, self._proof("accept", nonce, other))
            return other

    async def accept(self, stream: FrameStream) -> PeerIdentity:
        """Handshake as the accepting side.

        :raises SaddlestackError: the other side does not know the key or violates the protocol.
        """
        async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
            nonce = secrets.token_bytes(NONCE_SIZE)
            stream.write(Challenge(nonce=nonce))
            hello = await self._expect(stream, Hello)
            other = PeerIdentity(hello.vm, hello.data_hall, hello.incarnation)
            self._check(hello.proof, self._proof("dial", nonce + hello.nonce, other))
            stream.write(
                Welcome(
                    vm=self._own_identity.vm,
                    data_hall=self._own_identity.data_hall,
                    incarnation=self._own_identity.incarnation,
                    proof=self._proof("accept", hello.nonce, self._own_identity),
                )
            )
            return other

    async def _expect(self, stream: FrameStream, kind: type[T]) -> T:
        frame = await stream.read()
        if not isinstance(frame, kind):
            raise SaddlestackError(ErrorKind.MALFORMED, f"expected {kind.__name__}")
        if isinstance(frame, Challenge) and frame.protocol != PROTOCOL:
            raise SaddlestackError(ErrorKind.MALFORMED, f"peer protocol {frame.protocol}")
        return frame

    def _proof(self, side: str, nonce: bytes, peer: PeerIdentity) -> bytes:
        text = f"{side}\0{peer.vm}\0{peer.data_hall}\0{peer.incarnation}\0".encode()
        return hmac.new(self._key, text + nonce, hashlib.sha256).digest()

    def _check(self, proof: bytes, expected: bytes) -> None:
        if not hmac.compare_digest(proof, expected):
            raise SaddlestackError(ErrorKind.UNAUTHENTICATED, "the peer does not know the key")


class PeerLink:
    """An open stream to another daemon: heartbeats and calls, both ways.

    :param serve: handles the other side's calls.
    :param on_heartbeat: called with each heartbeat received.
    :param idle_s: seconds without a frame after which the link is closed; ``None`` for never.
    :ivar is_unresponsive: whether a call has waited and nothing was received since it was sent.
        Callers that need a link should then dial again; pending calls may still be answered.
    """

    def __init__(
        self,
        peer: PeerIdentity,
        stream: FrameStream,
        serve: CallHandler,
        on_heartbeat: Callable[[PeerLink, Beat], None],
        idle_s: float | None = None,
    ) -> None:
        self.peer = peer
        self.stream = stream
        self._serve = serve
        self._on_heartbeat = on_heartbeat
        self._tasks = TaskGroup(f"link to {peer.vm}")
        self._pending: dict[int, asyncio.Future[Reply]] = {}
        self._ids = itertools.count(1)
        self._idle_s = idle_s
        self._last_received_s = _now()
        self.is_unresponsive = False
        self.closed = False

    async def run(self) -> None:
        """Read frames until the stream ends; every pending call then fails."""
        try:
            while True:
                async with asyncio.timeout(self._idle_s):
                    frame = await self.stream.read()
                self._last_received_s = _now()
                self.is_unresponsive = False
                self._dispatch(frame)
        except (OSError, EOFError, TimeoutError, SaddlestackError) as error:
            log.info(
                "link ended",
                extra={"event": "link_ended", "peer": self.peer.vm, "reason": str(error)},
            )
        finally:
            self.close()

    def send_heartbeat(self, heartbeat: Beat) -> None:
        """Send a heartbeat."""
        if not self.closed:
            self.stream.write(heartbeat)

    async def call(self, method: str, body: object, reply: type[T], timeout: float) -> T:
        """Call a method of the other daemon.

        :raises SaddlestackError: the other daemon's answer is an error.
        :raises LinkLost: no reply was received; the call may have been carried out.
        """
        if self.closed or len(self._pending) >= MAX_CALLS:
            raise LinkLost(f"no link to {self.peer.vm}")
        number = next(self._ids)
        future: asyncio.Future[Reply] = asyncio.get_running_loop().create_future()
        self._pending[number] = future
        sent = _now()
        try:
            self.stream.write(Call(call=number, method=method, body=msgspec.Raw(to_msgpack(body))))
            async with asyncio.timeout(timeout):
                await self.stream.drain()
                answer = await future
        except (TimeoutError, OSError) as error:
            raise LinkLost(f"{method} to {self.peer.vm}: {type(error).__name__}") from error
        finally:
            self._pending.pop(number, None)
            self._update_responsiveness(sent)
        return _decode(answer, reply)

    def close(self) -> None:
        """Close the stream and fail every pending call."""
        self.closed = True
        self.stream.close()
        for future in self._pending.values():
            if not future.done():
                future.set_exception(LinkLost(f"link to {self.peer.vm} ended"))
        self._pending.clear()

    def _update_responsiveness(self, sent: float) -> None:
        """Update ``is_unresponsive`` after a call.

        An unresponsive link is closed once it has no pending calls.
        """
        self.is_unresponsive = (
            self._last_received_s <= sent and _now() - sent >= UNRESPONSIVE_AFTER_S
        )
        if self.is_unresponsive and not self._pending:
            self.close()

    def _dispatch(self, frame: AnyFrame) -> None:
        if isinstance(frame, Beat):
            self._on_heartbeat(self, frame)
        elif isinstance(frame, Call):
            self._tasks.spawn(self._answer(frame))
        elif isinstance(frame, Reply):
            future = self._pending.get(frame.call)
            if future is not None and not future.done():
                future.set_result(frame)
        else:
            raise SaddlestackError(ErrorKind.MALFORMED, "a handshake frame on an open stream")

    async def _answer(self, call: Call) -> None:
        if len(self._tasks) > MAX_CALLS:
            reply = Reply(call=call.call, error=ErrorKind.QUEUE_FULL.value, retry_after=1.0)
        else:
            reply = await self._reply(call)
        if not self.closed:
            self.stream.write(reply)
            with contextlib.suppress(OSError):
                await self.stream.drain()

    async def _reply(self, call: Call) -> Reply:
        try:
            result = await self._serve(call.method, call.body)
            return Reply(call=call.call, body=msgspec.Raw(to_msgpack(result)))
        except SaddlestackError as error:
            return Reply(
                call=call.call,
                error=error.kind.value,
                message=error.message,
                retry_after=error.retry_after,
            )
        except Exception:
            log.exception("call failed", extra={"event": "call_failed", "method": call.method})
            return Reply(call=call.call, error=ErrorKind.INTERNAL.value, message="call failed")


def _now() -> float:
    return asyncio.get_running_loop().time()


def _decode(answer: Reply, kind: type[T]) -> T:
    if answer.error is not None:
        raise SaddlestackError(
            ErrorKind(answer.error), answer.message, retry_after=answer.retry_after
        )
    return from_msgpack(bytes(answer.body), kind)
