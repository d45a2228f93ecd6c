"""The store as clients' calls need it: directly, or through a VM that reaches it.

Reads of one key, and creations of a key that is absent. Both may be repeated, so they may go
both ways at once.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from typing import TypeVar

import msgspec

from saddlestack.control.context import EntryContext
from saddlestack.control.membership import Membership
from saddlestack.control.peers import Peers, PeerUnavailable
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.interfaces import (
    Committed,
    Item,
    Put,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)

log = logging.getLogger("saddlestack.access")

T = TypeVar("T")

HEDGE_S = 0.25
"""A call that the store has not answered by then goes through another VM as well."""
RETRY_S = 0.1
RELAYS = 2


class ReadQuestion(msgspec.Struct, frozen=True):
    """Asks a VM to read a key for another."""

    key: str


class CreateQuestion(msgspec.Struct, frozen=True):
    """Asks a VM to create a key for another, if it is absent."""

    key: str
    value: bytes


class KeyAnswer(msgspec.Struct, frozen=True):
    """A key as it is; ``created`` where this call has made it."""

    value: bytes
    revision: int
    created: bool = False


class OutOfReach(Exception):
    """The store was reached in no way.

    :param doubt: whether something may have been written all the same.
    """

    def __init__(self, reason: str, doubt: bool) -> None:
        super().__init__(reason)
        self.reason = reason
        self.doubt = doubt


class StoreAccess:
    """Reads and creates keys for clients' calls.

    :param failing: whether this VM's own way to the store is known to be broken.
    """

    def __init__(
        self,
        context: EntryContext,
        peers: Peers,
        membership: Membership,
        failing: Callable[[], bool],
    ) -> None:
        self._context = context
        self._peers = peers
        self._membership = membership
        self._failing = failing
        peers.serve(ReadQuestion, self._read_for_peer)
        peers.serve(CreateQuestion, self._create_for_peer)

    async def get(self, key: str, until: float) -> Item:
        """A key; revision 0 where it is absent.

        :param until: when to give up, on the VM's clock.
        :raises OutOfReach: given up.
        """
        answer = await self._either(
            lambda: self._read(key),
            lambda vm: self._peers.ask(vm, ReadQuestion(key), KeyAnswer),
            until,
        )
        return Item(key, answer.value, answer.revision)

    async def create(self, key: str, value: bytes, until: float) -> KeyAnswer:
        """Create a key, or find it there.

        :param until: when to give up, on the VM's clock.
        :raises OutOfReach: given up; its ``doubt`` tells whether the key may come to be.
        """
        return await self._either(
            lambda: self._create(key, value),
            lambda vm: self._peers.ask(vm, CreateQuestion(key, value), KeyAnswer),
            until,
        )

    async def _either(
        self,
        direct: Callable[[], Awaitable[KeyAnswer]],
        relayed: Callable[[str], Awaitable[KeyAnswer]],
        until: float,
    ) -> KeyAnswer:
        doubt = False
        while True:
            own = asyncio.ensure_future(direct())
            try:
                await asyncio.wait({own}, timeout=0.0 if self._failing() else HEDGE_S)
                if not own.done() or own.exception() is not None:
                    answer, sent = await self._through_peers(relayed)
                    doubt = doubt or sent
                    if answer is not None:
                        return answer
                return await own
            except StoreUnavailable as error:
                reason = str(error)
            except WriteInDoubt as error:
                reason = str(error)
                doubt = True
            finally:
                own.cancel()
                with contextlib.suppress(asyncio.CancelledError, StoreUnavailable, WriteInDoubt):
                    await own
            if self._context.clock.now() + RETRY_S > until:
                raise OutOfReach(reason, doubt)
            await asyncio.sleep(RETRY_S)

    async def _through_peers(
        self, relayed: Callable[[str], Awaitable[KeyAnswer]]
    ) -> tuple[KeyAnswer | None, bool]:
        """The answer of another VM, and whether one without answer may have acted."""
        sent = False
        for member in self._membership.others()[:RELAYS]:
            try:
                return await relayed(member.vm), sent
            except PeerUnavailable as error:
                sent = sent or error.sent
                reason = str(error)
            except SaddlestackError as error:
                sent = sent or error.kind is not ErrorKind.STORE_UNAVAILABLE
                reason = str(error)
            log.info(
                "relay failed",
                extra={"event": "relay_failed", "peer": member.vm, "reason": reason},
            )
        return None, sent

    async def _read(self, key: str) -> KeyAnswer:
        item = await self._context.store.get(key)
        return KeyAnswer(item.value, item.revision)

    async def _create(self, key: str, value: bytes) -> KeyAnswer:
        transaction = Transaction(expect=((key, 0),), puts=(Put(key, value),))
        outcome = await self._context.store.transact(transaction)
        if isinstance(outcome, Committed):
            return KeyAnswer(value, outcome.revision, created=True)
        item = outcome.items[0]
        return KeyAnswer(item.value, item.revision)

    async def _read_for_peer(self, question: ReadQuestion) -> KeyAnswer:
        return await _or_error(self._read(question.key))

    async def _create_for_peer(self, question: CreateQuestion) -> KeyAnswer:
        return await _or_error(self._create(question.key, question.value))


async def _or_error(answer: Awaitable[T]) -> T:
    try:
        return await answer
    except StoreUnavailable as error:
        raise SaddlestackError(ErrorKind.STORE_UNAVAILABLE, str(error)) from error
    except WriteInDoubt as error:
        raise SaddlestackError(ErrorKind.OUTCOME_UNKNOWN, str(error)) from error
