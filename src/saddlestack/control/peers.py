"""Calls between entry VMs, over authenticated streams."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import msgspec

from saddlestack.codec import from_msgpack
from saddlestack.control.context import EntryContext
from saddlestack.control.membership import Member, Membership
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.kernel.service import Service
from saddlestack.wire.messages import Beat
from saddlestack.wire.streams import (
    ACCEPTED_IDLE_S,
    FrameStream,
    Handshake,
    LinkLost,
    PeerIdentity,
    PeerLink,
)

log = logging.getLogger("saddlestack.peers")

A = TypeVar("A")
T = TypeVar("T")

NAME = "peers"
CONNECT_TIMEOUT_S = 0.4
CALL_TIMEOUT_S = 0.6


class PeerUnavailable(Exception):
    """The other VM could not be reached, or did not answer.

    :param sent: whether the call may have been carried out.
    """

    def __init__(self, reason: str, *, sent: bool = False) -> None:
        super().__init__(reason)
        self.sent = sent


class Peers(Service):
    """Serves calls of other VMs, and keeps one stream to each VM that is called."""

    def __init__(self, context: EntryContext, membership: Membership) -> None:
        super().__init__(NAME, context.clock)
        self._context = context
        self._membership = membership
        self._server: asyncio.Server | None = None
        self._methods: dict[str, tuple[type[Any], Callable[[Any], Awaitable[object]]]] = {}
        self._links: dict[str, PeerLink] = {}
        self._dial_locks: dict[str, asyncio.Lock] = {}
        self._accepted: set[PeerLink] = set()

    def serve(self, question: type[A], answer: Callable[[A], Awaitable[object]]) -> None:
        """Registers the handler of one type of question."""
        self._methods[question.__name__] = (question, answer)

    async def start(self) -> None:
        """Starts to listen for other VMs."""
        address = self._context.settings.peer_address
        self._server = await asyncio.start_server(self._accept, address.address, address.port)

    async def stop(self) -> None:
        """Stops listening, and closes all streams to and from other VMs."""
        if self._server is not None:
            self._server.close()
        for link in [*self._links.values(), *self._accepted]:
            link.close()
        await super().stop()

    async def ask(
        self, vm: str, question: object, kind: type[T], *, timeout_s: float = CALL_TIMEOUT_S
    ) -> T:
        """Sends a question to a VM, which may be this one.

        :param kind: type of the answer.
        :param timeout_s: time for the answer.
        :raises SaddlestackError: the answer is an error.
        :raises PeerUnavailable: the VM could not be reached, or did not answer.
        """
        method = type(question).__name__
        if vm == self._membership.local.vm:
            answer: Any = await self._methods[method][1](question)
            return answer  # type: ignore[no-any-return]
        member = self._membership.member(vm)
        if member is None:
            raise PeerUnavailable(f"{vm} is not known")
        link = await self._link(member)
        try:
            return await link.call(method, question, kind, timeout_s)
        except LinkLost as error:
            link.close()
            raise PeerUnavailable(str(error), sent=True) from error

    async def _link(self, member: Member) -> PeerLink:
        async with self._dial_locks.setdefault(member.vm, asyncio.Lock()):
            link = self._links.get(member.vm)
            if link is not None and not link.closed and not link.is_unresponsive:
                if link.peer.incarnation == member.incarnation:
                    return link
                link.close()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    link = await self._dial(member)
            except (OSError, EOFError, TimeoutError, SaddlestackError) as error:
                raise PeerUnavailable(f"{member.vm}: {type(error).__name__}") from error
            self._links[member.vm] = link
            return link

    async def _dial(self, member: Member) -> PeerLink:
        dialer = self._context.dialer
        reader, writer = await dialer.open(member.address, member.port, CONNECT_TIMEOUT_S)
        stream = FrameStream(reader, writer)
        try:
            peer = await Handshake(self._local_name(), member.secret).dial(stream)
        except BaseException:
            stream.close()
            raise
        link = PeerLink(peer, stream, self._answer, _ignore_beat)
        self.tasks.spawn(link.run())
        return link

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tasks.spawn(self._serve_link(FrameStream(reader, writer)))

    async def _serve_link(self, stream: FrameStream) -> None:
        try:
            peer = await Handshake(self._local_name(), self._membership.local.secret).accept(stream)
        except (OSError, EOFError, TimeoutError, SaddlestackError):
            stream.close()
            return
        link = PeerLink(peer, stream, self._answer, _ignore_beat, idle_s=ACCEPTED_IDLE_S)
        self._accepted.add(link)
        try:
            await link.run()
        finally:
            self._accepted.discard(link)

    async def _answer(self, method: str, body: msgspec.Raw) -> object:
        entry = self._methods.get(method)
        if entry is None:
            raise SaddlestackError(ErrorKind.NOT_FOUND, f"no method {method}")
        kind, answer = entry
        return await answer(from_msgpack(bytes(body), kind))

    def _local_name(self) -> PeerIdentity:
        local = self._membership.local
        return PeerIdentity(local.vm, local.data_hall, local.incarnation)


def _ignore_beat(link: PeerLink, beat: Beat) -> None:
    """Ignores heartbeats: leases in the store show which entry VMs are alive."""
