"""Membership: which entry VMs are alive, from heartbeats on peer streams.

Within a data hall every VM links to every other. To each other hall it keeps a few links,
enough to receive the state of that hall's cells. A VM that sends nothing is suspected and later
declared dead; one whose stream broke and that refuses a new one is declared dead sooner. A
higher incarnation under the same name replaces the earlier one.
"""

from __future__ import annotations

import asyncio
import enum
import hashlib
import logging
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.kernel.service import Service
from saddlestack.services import names
from saddlestack.services.context import Context
from saddlestack.services.rpc import Rpc
from saddlestack.settings import Peer
from saddlestack.wire.messages import Beat, CellBeat, OwnedCell
from saddlestack.wire.streams import FrameStream, Handshake, LinkLost, PeerIdentity, PeerLink

log = logging.getLogger("saddlestack.membership")

T = TypeVar("T")

BEAT_S = 1.0
HALL_BEAT_S = 3.0
SUMMARY_DELAY_S = 0.25
"""Delay before a changed cell summary is sent; summaries may change many times a second."""
SUSPECT_S = 2.5
DEAD_S = 4.0
BROKEN_DEAD_S = 1.2
REDIAL_S = 0.3
REDIAL_DEAD_S = 2.0
LINKS_PER_HALL = 2
CALL_TIMEOUT_S = 5.0


class Health(enum.StrEnum):
    """Health of another VM as derived from its heartbeats."""

    UNKNOWN = "unknown"
    ALIVE = "alive"
    SUSPECT = "suspect"
    DEAD = "dead"


@dataclass(slots=True)
class Member:
    """Another entry VM as seen by this one.

    :param heard: when it last sent a heartbeat or connected.
    :param broken: when its link broke or a connection was refused; cleared on contact.
    :param known_since: when it was first listed or connected.
    :param hall: cells of its hall, as last announced to other halls.
    """

    name: str
    data_hall: str
    address: str
    port: int
    incarnation: int = 0
    health: Health = Health.UNKNOWN
    heard: float = float("-inf")
    broken: float | None = None
    known_since: float = 0.0
    leaving: bool = False
    revision: int = 0
    cells: tuple[CellBeat, ...] = ()
    hall: tuple[OwnedCell, ...] = ()
    link: PeerLink | None = field(default=None, repr=False)


def _owned(beat: Beat) -> tuple[tuple[str, int], ...]:
    return tuple((cell.cell, cell.term) for cell in beat.cells)


def rendezvous(key: str, candidates: list[str]) -> list[str]:
    """Order candidates for a key by rendezvous hashing.

    Removing a candidate does not change the order of the others.

    :rtype: list[str]
    """
    return sorted(candidates, key=lambda name: hashlib.blake2b(f"{key}\0{name}".encode()).digest())


class Membership(Service):
    """Links to other entry VMs, their health and the cells that they announce."""

    def __init__(self, context: Context) -> None:
        super().__init__(names.MEMBERSHIP, context.clock)
        self._context = context
        self._me = PeerIdentity(context.vm, context.data_hall, context.incarnation)
        self._handshake = Handshake(self._me, context.settings.peer_key)
        self._rpc = context.registry.get(names.RPC, Rpc)
        self._members: dict[str, Member] = {}
        self._dialling: set[str] = set()
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._own = Beat(revision=0)
        self._wake = asyncio.Event()
        self.changed = asyncio.Event()
        self.port = 0
        self._closed_bytes = 0
        self._far_peers: set[str] = set()
        self._far_peers_count = -1
        self._hall_beat_sent_at = float("-inf")
        self._is_beat_pending = False

    async def start(self) -> None:
        """Listen for peers and start sending heartbeats."""
        peer = self._context.settings.peer
        self._server = await asyncio.start_server(self._accept, peer.address, peer.port)
        self.port = self._server.sockets[0].getsockname()[1]
        for known in self._context.settings.peers:
            self.add_peer(known)
        self.tasks.spawn(self._beat_forever())

    async def stop(self) -> None:
        """Close every link."""
        self.abort()
        await super().stop()

    def abort(self) -> None:
        """Close all sockets at once, as when the process dies."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        for member in self._members.values():
            if member.link is not None:
                member.link.close()

    def add_peer(self, peer: Peer) -> None:
        """Add another entry VM, or update its address."""
        if peer.name == self._me.vm:
            return
        member = self._members.get(peer.name)
        if member is None:
            member = Member(peer.name, peer.data_hall, peer.address, peer.port)
            member.known_since = self.clock.now()
            self._members[peer.name] = member
        member.address, member.port = peer.address, peer.port

    def remove_unlisted(self, listed: set[str]) -> None:
        """Remove members that are not alive and that the VM list no longer contains."""
        for name, member in list(self._members.items()):
            gone = member.health is Health.DEAD or self._is_unmonitored(member)
            if gone and name not in listed:
                del self._members[name]
                self._far_peers_count = -1

    def announce(self, beat: Beat) -> None:
        """Set the content of the next heartbeats, and send one early if it changed.

        A new revision, draining state or set of owned cells is sent at once; other changes are
        sent within ``SUMMARY_DELAY_S``.
        """
        if beat == self._own:
            return
        urgent = (beat.revision, beat.leaving, _owned(beat)) != (
            self._own.revision,
            self._own.leaving,
            _owned(self._own),
        )
        self._own = beat
        if urgent:
            self._wake.set()
        elif not self._is_beat_pending:
            self._is_beat_pending = True
            asyncio.get_running_loop().call_later(SUMMARY_DELAY_S, self._wake.set)

    @property
    def bytes(self) -> int:
        """Bytes sent to other daemons and received from them."""
        links = [m.link for m in self._members.values() if m.link is not None]
        now = sum(link.stream.bytes_in + link.stream.bytes_out for link in links)
        return self._closed_bytes + now

    @property
    def members(self) -> list[Member]:
        """All other known entry VMs."""
        return list(self._members.values())

    def alive(self, data_hall: str | None = None) -> list[str]:
        """Names of the live VMs of one hall or of all halls, including this VM.

        VMs of other halls that this VM keeps no link to count as alive.
        """
        vm_names = [
            member.name
            for member in self._members.values()
            if (member.health in {Health.ALIVE, Health.SUSPECT} or self._is_unmonitored(member))
            and (data_hall is None or member.data_hall == data_hall)
        ]
        if data_hall is None or data_hall == self._me.data_hall:
            vm_names.append(self._me.vm)
        return sorted(vm_names)

    def candidates(self) -> list[str]:
        """Live VMs of this hall that may own cells: those that are not draining."""
        leaving = {member.name for member in self._members.values() if member.leaving}
        if self._own.leaving:
            leaving.add(self._me.vm)
        return [name for name in self.alive(self._me.data_hall) if name not in leaving]

    def settled(self) -> bool:
        """Whether the health of every known VM of this hall has been determined."""
        return all(
            member.health is not Health.UNKNOWN
            for member in self._members.values()
            if member.data_hall == self._me.data_hall
        )

    def member(self, name: str) -> Member | None:
        """A known VM by name."""
        return self._members.get(name)

    def owner(self, cell: str) -> OwnedCell | None:
        """The owner of a cell with the highest term that a VM not known dead announces."""
        return next((owner for owner in self.cells() if owner.beat.cell == cell), None)

    def cells(self) -> list[OwnedCell]:
        """The owner of every announced cell, by its own heartbeat or by its hall's."""
        best: dict[str, OwnedCell] = {}
        for owner in self._announced():
            known = best.get(owner.beat.cell)
            if known is None or (owner.beat.term, owner.vm) > (known.beat.term, known.vm):
                best[owner.beat.cell] = owner
        return [best[cell] for cell in sorted(best)]

    def _announced(self) -> Iterator[OwnedCell]:
        for beat in self._own.cells:
            yield OwnedCell(self._me.vm, beat)
        for member in self._members.values():
            if member.health is Health.DEAD:
                continue
            for beat in member.cells:
                yield OwnedCell(member.name, beat)
            for owner in member.hall if member.data_hall != self._me.data_hall else ():
                owner_vm = self._members.get(owner.vm)
                if owner_vm is None or owner_vm.health is not Health.DEAD:
                    yield owner

    def _hall_cells(self) -> tuple[OwnedCell, ...]:
        """All cells of this hall, for announcements to other halls."""
        near = {m.name for m in self._members.values() if m.data_hall == self._me.data_hall}
        near.add(self._me.vm)
        return tuple(owner for owner in self.cells() if owner.vm in near)

    async def call(
        self, vm: str, method: str, body: object, reply: type[T], timeout: float = CALL_TIMEOUT_S
    ) -> T:
        """Call an RPC method of a VM, this one included.

        :raises SaddlestackError: the error that the method raised.
        :raises LinkLost: no response; the call may have been carried out.
        """
        if vm == self._me.vm:
            try:
                async with asyncio.timeout(timeout):
                    answer = await self._rpc.local(method, body)
            except TimeoutError as error:
                raise LinkLost(f"{method} to {vm}: TimeoutError") from error
            if not isinstance(answer, reply):
                raise SaddlestackError(ErrorKind.INTERNAL, f"{method} returned an unexpected type")
            return answer
        member = self._members.get(vm)
        if member is None:
            raise LinkLost(f"VM {vm} is not known")
        if member.link is None or member.link.closed:
            await self._dial(member)
        if member.link is None:
            raise LinkLost(f"no link to {vm}")
        return await member.link.call(method, body, reply, timeout)

    def _wants_link(self, member: Member) -> bool:
        if member.data_hall == self._me.data_hall:
            return True
        if len(self._members) != self._far_peers_count:
            self._far_peers_count = len(self._members)
            self._far_peers = self._far_links()
        return member.name in self._far_peers

    def _far_links(self) -> set[str]:
        """VMs to link to by rendezvous order, ``LINKS_PER_HALL`` in each other hall."""
        halls: dict[str, list[str]] = {}
        for member in self._members.values():
            halls.setdefault(member.data_hall, []).append(member.name)
        return {
            name
            for vm_names in halls.values()
            for name in rendezvous(self._me.vm, vm_names)[:LINKS_PER_HALL]
        }

    async def _beat_forever(self) -> None:
        while True:
            self._restore_links()
            self._update_health()
            try:
                async with asyncio.timeout(BEAT_S):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._is_beat_pending = False
            self._wake.clear()
            self._beat_all()

    def _beat_all(self) -> None:
        now = self.clock.now()
        far = self._own
        if now - self._hall_beat_sent_at >= HALL_BEAT_S:
            self._hall_beat_sent_at = now
            far = msgspec.structs.replace(self._own, hall=self._hall_cells())
        for member in self._members.values():
            if member.link is not None:
                near = member.data_hall == self._me.data_hall
                member.link.send_heartbeat(self._own if near else far)

    def _restore_links(self) -> None:
        for member in self._members.values():
            linked = member.link is not None and not member.link.closed
            if not linked and self._wants_link(member) and member.name not in self._dialling:
                self.tasks.spawn(self._redial(member))

    async def _redial(self, member: Member) -> None:
        """Dial a member until it is linked.

        The VM with the lower name dials first; the other waits, to avoid two links.
        """
        self._dialling.add(member.name)
        try:
            if self._me.vm > member.name and member.health is Health.UNKNOWN:
                await self.clock.sleep(REDIAL_S)
            while self._members.get(member.name) is member:
                if member.link is not None and not member.link.closed:
                    return
                await self._dial(member)
                if member.link is not None and not member.link.closed:
                    return
                dead = member.health is Health.DEAD
                await self.clock.sleep(REDIAL_DEAD_S if dead else REDIAL_S)
                self._update_health()
        finally:
            self._dialling.discard(member.name)

    async def _dial(self, member: Member) -> None:
        try:
            reader, writer = await self._context.dialer.open(member.address, member.port)
        except OSError:
            self._mark_broken(member)
            return
        stream = FrameStream(reader, writer)
        try:
            peer = await self._handshake.dial(stream)
        except (OSError, EOFError, SaddlestackError) as error:
            stream.close()
            self._mark_broken(member)
            log.warning(
                "handshake failed",
                extra={"event": "handshake_failed", "peer": member.name, "reason": str(error)},
            )
            return
        if peer.vm != member.name:
            stream.close()
            return
        self._attach(peer, stream, None)

    def _mark_broken(self, member: Member) -> None:
        if member.broken is None:
            member.broken = self.clock.now()

    def _accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._writers.add(writer)
        self.tasks.spawn(self._serve(reader, writer))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        stream = FrameStream(reader, writer)
        try:
            peer = await self._handshake.accept(stream)
        except (OSError, EOFError, TimeoutError, SaddlestackError) as error:
            log.warning("peer refused", extra={"event": "peer_refused", "reason": str(error)})
            stream.close()
            self._writers.discard(writer)
            return
        link = self._attach(peer, stream, writer)
        if link is None:
            stream.close()

    def _attach(
        self, peer: PeerIdentity, stream: FrameStream, writer: asyncio.StreamWriter | None
    ) -> PeerLink | None:
        member = self._members.get(peer.vm)
        if member is None:
            member = Member(peer.vm, peer.data_hall, "", 0)
            member.known_since = self.clock.now()
            self._members[peer.vm] = member
        if peer.incarnation < member.incarnation:
            return None
        if peer.incarnation > member.incarnation:
            member.cells = ()
            member.hall = ()
            member.leaving = False
        member.incarnation = peer.incarnation
        link = PeerLink(peer, stream, self._rpc.serve, self._handle_beat)
        member.link = link
        self._mark_alive(member)
        link.send_heartbeat(self._own)
        self.tasks.spawn(self._run_link(member, link, writer))
        return link

    async def _run_link(
        self, member: Member, link: PeerLink, writer: asyncio.StreamWriter | None
    ) -> None:
        try:
            await link.run()
        finally:
            if writer is not None:
                self._writers.discard(writer)
        if member.link is link:
            self._closed_bytes += link.stream.bytes_in + link.stream.bytes_out
            member.link = None
            if member.broken is None:
                member.broken = self.clock.now()
            self._restore_links()

    def _handle_beat(self, link: PeerLink, beat: Beat) -> None:
        member = self._members.get(link.peer.vm)
        if member is None or member.incarnation != link.peer.incarnation:
            return
        changed = (member.revision, member.leaving, member.cells) != (
            beat.revision,
            beat.leaving,
            beat.cells,
        )
        member.revision = max(beat.revision, 0)
        member.leaving = beat.leaving
        member.cells = beat.cells
        if beat.hall is not None:
            member.hall = beat.hall
        self._mark_alive(member)
        if changed:
            self.changed.set()

    def _mark_alive(self, member: Member) -> None:
        member.heard = self.clock.now()
        member.broken = None
        if member.health is not Health.ALIVE:
            self._set_health(member, Health.ALIVE)

    def _is_unmonitored(self, member: Member) -> bool:
        """Whether no heartbeats are expected: the VM is in another hall and needs no link."""
        linked = member.link is not None and not member.link.closed
        far = member.data_hall != self._me.data_hall
        return far and not linked and not self._wants_link(member)

    def _update_health(self) -> None:
        now = self.clock.now()
        for member in self._members.values():
            if self._is_unmonitored(member):
                member.health = Health.UNKNOWN
                continue
            if member.health is Health.DEAD:
                continue
            since = max(member.heard, member.known_since)
            silent = now - since
            broken = member.broken is not None and now - member.broken >= BROKEN_DEAD_S
            if silent >= DEAD_S or (broken and silent >= BROKEN_DEAD_S):
                self._set_health(member, Health.DEAD)
            elif silent >= SUSPECT_S and member.health is Health.ALIVE:
                self._set_health(member, Health.SUSPECT)

    def _set_health(self, member: Member, health: Health) -> None:
        member.health = health
        log.info(
            "member health",
            extra={
                "event": "member_health",
                "peer": member.name,
                "health": health.value,
                "incarnation": member.incarnation,
            },
        )
        self.changed.set()
