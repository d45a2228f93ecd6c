"""Copies of the configuration that VMs get from each other.

A copy is compressed: over a slow link it takes a fraction of the time of an answer of the store.
Asking for the version first keeps VMs from sending each other documents that they have. The idea is
that of one watch for many: "Node-level Traffic Reuse Capability".
"""

from __future__ import annotations

import asyncio
import zlib
from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from saddlestack.control.configuration import Configuration
from saddlestack.control.context import EntryContext
from saddlestack.control.membership import Membership
from saddlestack.control.peers import Peers, PeerUnavailable
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.store import Item

VMS_PER_HALL = 3
"""Number of VMs queried in each data hall, all at the same time."""
VERSION_TIMEOUT_S = 0.4
COPY_TIMEOUT_S = 1.0
COMPRESSION_LEVEL = 1
MAX_COPY_BYTES = 512 * 1024
"""Largest compressed document that is passed on: it holds up other answers on the same stream."""
MAX_DOCUMENT_BYTES = 16 * 1024 * 1024
"""Limit for a document that a copy expands to, far above the largest value of the store."""


class ConfigurationVersionQuestion(msgspec.Struct, frozen=True):
    """Asks a VM which version of the configuration it has in force."""


class ConfigurationVersionAnswer(msgspec.Struct, frozen=True):
    """The version in force; 0 if there is none.

    :param age_s: age that the configuration has at most.
    """

    version: int
    age_s: float


class ConfigurationCopyQuestion(msgspec.Struct, frozen=True):
    """Asks a VM for the configuration that it has in force."""


class ConfigurationCopyAnswer(msgspec.Struct, frozen=True):
    """The document in force, compressed; empty if there is none, or it is too large.

    :param revision: revision of the document in the store.
    :param age_s: age that the document has at most.
    """

    document: bytes
    revision: int
    age_s: float


@dataclass(frozen=True, slots=True)
class _Found:
    """A VM's answer.

    :param as_of_s: when its configuration is known to have been current.
    """

    vm: str
    version: int
    as_of_s: float


class ConfigurationCopies:
    """Gets the configuration from other VMs, and gives them the one in force here."""

    def __init__(
        self,
        context: EntryContext,
        configuration: Configuration,
        peers: Peers,
        membership: Membership,
    ) -> None:
        self._clock = context.clock
        self._metrics = context.metrics
        self._key = context.documents.locations.configuration_key
        self._configuration = configuration
        self._peers = peers
        self._membership = membership
        self._compressed: tuple[int, bytes] = (0, b"")
        self._updating: asyncio.Task[None] | None = None
        peers.serve(ConfigurationVersionQuestion, self._answer_version)
        peers.serve(ConfigurationCopyQuestion, self._answer_copy)

    async def update(self) -> None:
        """Asks some VMs of each data hall, and applies the newest configuration that one has.

        Concurrent callers share one update.
        """
        if self._updating is None or self._updating.done():
            self._updating = asyncio.create_task(self._update())
        await asyncio.shield(self._updating)

    async def _update(self) -> None:
        halls = self._membership.sample_by_hall(VMS_PER_HALL)
        asked = [
            asyncio.create_task(self._query(member.vm)) for vms in halls.values() for member in vms
        ]
        try:
            async with asyncio.timeout(VERSION_TIMEOUT_S):
                newer = await self._first_newer(asked)
        except TimeoutError:
            newer = None
        finally:
            for call in asked:
                call.cancel()
            await asyncio.gather(*asked, return_exceptions=True)
        if newer is None:
            self._confirm(call.result() for call in asked if not call.cancelled())
        else:
            await self._fetch(newer)

    async def _first_newer(self, asked: Iterable[asyncio.Task[_Found | None]]) -> _Found | None:
        """Waits for the first answer that names a newer version than the one in force here."""
        for answer in asyncio.as_completed(asked):
            found = await answer
            if found is not None and found.version > self._configuration.version:
                return found
        return None

    def _confirm(self, answers: Iterable[_Found | None]) -> None:
        """Uses what other VMs know of the version in force here."""
        for found in answers:
            if found is not None and found.version == self._configuration.version:
                self._configuration.confirm(found.as_of_s)

    async def _query(self, vm: str) -> _Found | None:
        sent_s = self._clock.now()
        try:
            answer = await self._peers.ask(
                vm, ConfigurationVersionQuestion(), ConfigurationVersionAnswer
            )
        except (PeerUnavailable, SaddlestackError):
            return None
        return _Found(vm, answer.version, sent_s - answer.age_s)

    async def _fetch(self, newer: _Found) -> None:
        sent_s = self._clock.now()
        try:
            answer = await self._peers.ask(
                newer.vm,
                ConfigurationCopyQuestion(),
                ConfigurationCopyAnswer,
                timeout_s=COPY_TIMEOUT_S,
            )
        except (PeerUnavailable, SaddlestackError):
            return
        document = _expand(answer.document)
        if document:
            self._metrics.count("configuration_copies")
            item = Item(self._key, document, answer.revision)
            self._configuration.receive(item, sent_s - answer.age_s)

    async def _answer_version(
        self, question: ConfigurationVersionQuestion
    ) -> ConfigurationVersionAnswer:
        return ConfigurationVersionAnswer(self._configuration.version, self._configuration.age_s())

    async def _answer_copy(self, question: ConfigurationCopyQuestion) -> ConfigurationCopyAnswer:
        item = self._configuration.document
        if self._compressed[0] != item.revision:
            self._compressed = (item.revision, zlib.compress(item.value, COMPRESSION_LEVEL))
        document = self._compressed[1]
        if len(document) > MAX_COPY_BYTES:
            document = b""
        return ConfigurationCopyAnswer(document, item.revision, self._configuration.age_s())


def _expand(compressed: bytes) -> bytes:
    """Returns a document; empty if it was not sent, or cannot be expanded."""
    expander = zlib.decompressobj()
    try:
        document = expander.decompress(compressed, MAX_DOCUMENT_BYTES)
    except zlib.error:
        return b""
    return document if expander.eof else b""
