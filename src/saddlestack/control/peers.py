"""Questions to the leader, over an authenticated stream between daemons."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import TypeVar

import msgspec

from saddlestack.codec import from_msgpack
from saddlestack.control.context import EntryContext
from saddlestack.control.leadership import LeaderRecord
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.kernel.service import Service
from saddlestack.wire.messages import Beat
from saddlestack.wire.streams import FrameStream, Handshake, LinkLost, PeerLink, PeerName
from saddlestack.work import JobState

log = logging.getLogger("saddlestack.peers")

T = TypeVar("T")

NAME = "peers"
CONNECT_TIMEOUT_S = 0.5
CALL_TIMEOUT_S = 0.6
STATE = "state"
PENDING = "pending"


class StateQuestion(msgspec.Struct, frozen=True):
    """Asks for the state of a job of an account."""

    job_id: str
    account: str


class StateAnswer(msgspec.Struct, frozen=True):
    """A job's state; ``None`` where the leader does not know the job."""

    state: JobState | None


class PendingQuestion(msgspec.Struct, frozen=True):
    """Asks how many jobs of a queue have not begun."""

    queue: str


class PendingAnswer(msgspec.Struct, frozen=True):
    """How many jobs of a queue have not begun."""

    count: int


class NoLeader(Exception):
    """There is no leader, or it did not answer."""


class LeaderDesk:
    """What the leader answers; empty while this VM does not lead."""

    def state(self, question: StateQuestion) -> StateAnswer:
        """A job's state.

        :raises SaddlestackError: this VM does not lead.
        """
        raise SaddlestackError(ErrorKind.CELL_UNAVAILABLE, "not the leader")

    def pending(self, question: PendingQuestion) -> PendingAnswer:
        """How many jobs have not begun.

        :raises SaddlestackError: this VM does not lead.
        """
        raise SaddlestackError(ErrorKind.CELL_UNAVAILABLE, "not the leader")


class Peers(Service):
    """Serves the leader's answers, and asks the leader.

    :param desk: the answers of this VM while it leads.
    """

    def __init__(self, context: EntryContext, desk: Callable[[], LeaderDesk]) -> None:
        super().__init__(NAME, context.clock)
        self._context = context
        self._desk = desk
        self._server: asyncio.Server | None = None
        self._leader: LeaderRecord | None = None
        self._link: PeerLink | None = None
        self._dialling = asyncio.Lock()
        self._accepted: set[PeerLink] = set()
        self._secret = ""

    async def start(self) -> None:
        """Listen for other daemons."""
        address = self._context.settings.peer_address
        self._server = await asyncio.start_server(self._accept, address.address, address.port)

    async def stop(self) -> None:
        """Close all streams."""
        if self._server is not None:
            self._server.close()
        self._drop_link()
        for link in list(self._accepted):
            link.close()
        await super().stop()

    def leader_is(self, record: LeaderRecord | None) -> None:
        """Ask this leader from now on."""
        self._leader = record
        self._drop_link()
        if record is not None and record.vm == self._context.settings.vm:
            self._secret = record.secret

    async def state(self, question: StateQuestion) -> StateAnswer:
        """Ask the leader for a job's state.

        :raises NoLeader: it did not answer.
        """
        if self._leads():
            return self._local(lambda desk: desk.state(question))
        return await self._ask(STATE, question, StateAnswer)

    async def pending(self, question: PendingQuestion) -> PendingAnswer:
        """Ask the leader how many jobs of a queue have not begun.

        :raises NoLeader: it did not answer.
        """
        if self._leads():
            return self._local(lambda desk: desk.pending(question))
        return await self._ask(PENDING, question, PendingAnswer)

    def _leads(self) -> bool:
        return self._leader is not None and self._leader.vm == self._context.settings.vm

    def _local(self, ask: Callable[[LeaderDesk], T]) -> T:
        try:
            return ask(self._desk())
        except SaddlestackError as error:
            raise NoLeader(str(error)) from error

    async def _ask(self, method: str, question: object, kind: type[T]) -> T:
        link = await self._to_leader()
        try:
            return await link.call(method, question, kind, CALL_TIMEOUT_S)
        except LinkLost as error:
            self._drop_link()
            raise NoLeader(str(error)) from error
        except SaddlestackError as error:
            raise NoLeader(str(error)) from error

    async def _to_leader(self) -> PeerLink:
        async with self._dialling:
            if self._link is not None and not self._link.closed:
                return self._link
            leader = self._leader
            if leader is None:
                raise NoLeader("nobody leads")
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    self._link = await self._dial(leader)
            except (OSError, EOFError, TimeoutError, SaddlestackError) as error:
                raise NoLeader(f"{leader.vm}: {type(error).__name__}") from error
            return self._link

    async def _dial(self, leader: LeaderRecord) -> PeerLink:
        reader, writer = await self._context.dialer.open(
            leader.address, leader.port, CONNECT_TIMEOUT_S
        )
        stream = FrameStream(reader, writer)
        try:
            peer = await Handshake(self._me(), leader.secret).dial(stream)
        except BaseException:
            stream.close()
            raise
        link = PeerLink(peer, stream, self._serve, _ignore_beat)
        self.tasks.spawn(link.run())
        return link

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.tasks.spawn(self._welcome(FrameStream(reader, writer)))

    async def _welcome(self, stream: FrameStream) -> None:
        try:
            peer = await Handshake(self._me(), self._secret).accept(stream)
        except (OSError, EOFError, TimeoutError, SaddlestackError):
            stream.close()
            return
        link = PeerLink(peer, stream, self._serve, _ignore_beat)
        self._accepted.add(link)
        try:
            await link.run()
        finally:
            self._accepted.discard(link)

    async def _serve(self, method: str, body: msgspec.Raw) -> object:
        desk = self._desk()
        if method == STATE:
            return desk.state(from_msgpack(bytes(body), StateQuestion))
        if method == PENDING:
            return desk.pending(from_msgpack(bytes(body), PendingQuestion))
        raise SaddlestackError(ErrorKind.NOT_FOUND, f"no method {method}")

    def _me(self) -> PeerName:
        settings = self._context.settings
        return PeerName(settings.vm, settings.data_hall, self._context.incarnation)

    def _drop_link(self) -> None:
        if self._link is not None:
            self._link.close()
            self._link = None


def _ignore_beat(link: PeerLink, beat: Beat) -> None:
    """Streams to the leader carry no heartbeats."""
