"""The store as clients' calls need it: directly, or through a VM that reaches it.

Reads of one key, and creations of a key that is absent. Both may be repeated, so they may go
both ways at once.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

import msgspec

from saddlestack.control.context import EntryContext
from saddlestack.control.peers import Peers, PeerUnavailable
from saddlestack.control.relays import Relays
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.interfaces.store import (
    Committed,
    Item,
    Put,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)

log = logging.getLogger("saddlestack.access")

HEDGE_S = 0.3
"""A call that the store has not answered by then goes through another VM as well."""
RETRY_S = 0.1
BALANCED_S = 1.0
"""The balancer asks each second whether a VM is ready and sends no more to it after two misses. A
caller that comes back at once is sent on from then on; before, it may meet VMs that are cut off
as well, and a caller comes back a few times only."""


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
    :param elsewhere: callers do better at once at a VM of another hall.
    """

    def __init__(self, reason: str, doubt: bool, *, elsewhere: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.doubt = doubt
        self.elsewhere = elsewhere


Direct = Callable[[], Awaitable[KeyAnswer]]
"""A call on this VM's own way to the store."""
Relayed = Callable[[str], Awaitable[KeyAnswer]]
"""The same call through another VM, by its name."""


@dataclass(slots=True)
class _Attempt:
    """What is known of the tries so far.

    :param sent: the present try has sent something that may be done, also if it is cut short.
    :param doubt: an earlier one has, and was not answered.
    """

    reason: str = "the store does not answer"
    sent: bool = False
    doubt: bool = False


class StoreAccess:
    """Reads and creates keys for clients' calls."""

    def __init__(self, context: EntryContext, peers: Peers, relays: Relays) -> None:
        self._context = context
        self._peers = peers
        self._relays = relays
        self._health = context.health
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

    async def _either(self, direct: Direct, relayed: Relayed, until: float) -> KeyAnswer:
        """Go both ways, again and again, until one is answered or time is up."""
        attempt = _Attempt()
        try:
            async with asyncio.timeout(max(0.0, until - self._context.clock.now())):
                while True:
                    answer = await self._try(direct, relayed, attempt)
                    if answer is not None:
                        return answer
                    await self._health.wait_for_recovery(RETRY_S)
        except TimeoutError:
            raise OutOfReach(attempt.reason, attempt.doubt) from None

    async def _try(self, direct: Direct, relayed: Relayed, attempt: _Attempt) -> KeyAnswer | None:
        """Go both ways once; ``None`` where neither was answered.

        :raises OutOfReach: this VM is cut off; the caller does better to go to another one.
        """
        own = asyncio.ensure_future(direct()) if self._health.is_available else None
        try:
            attempt.sent = own is not None
            if own is None or not await self._succeeds(own):
                answer = await self._relay(relayed, attempt, own is None)
                if answer is not None or own is None:
                    return answer
            return await own
        except StoreUnavailable as error:
            attempt.sent = False
            attempt.reason = str(error)
        except WriteInDoubt as error:
            attempt.reason = str(error)
        finally:
            attempt.doubt = attempt.doubt or attempt.sent
            await _abandon(own)
        return None

    async def _succeeds(self, own: asyncio.Future[KeyAnswer]) -> bool:
        """Whether a call is answered well before another way has to be tried."""
        await asyncio.wait({own}, timeout=HEDGE_S)
        if not own.done():
            self._health.probe_now()
            return False
        return own.exception() is None

    async def _relay(self, relayed: Relayed, attempt: _Attempt, only: bool) -> KeyAnswer | None:
        """Go through another VM that the store answers, if there is one.

        :param only: there is no other way.
        :raises OutOfReach: there is no other way, and this VM is cut off.
        """
        found = await self._relays.find()
        if found.vm is None:
            if found.cut_off and only:
                raise OutOfReach(
                    "cut off from the store and the other halls",
                    attempt.doubt,
                    elsewhere=self._health.outage_s > BALANCED_S,
                )
            return None
        sent, attempt.sent = attempt.sent, True
        try:
            return await relayed(found.vm)
        except PeerUnavailable as error:
            attempt.doubt = attempt.doubt or error.sent
            reason = str(error)
        except SaddlestackError as error:
            attempt.doubt = attempt.doubt or error.kind is not ErrorKind.STORE_UNAVAILABLE
            reason = str(error)
        attempt.sent = sent
        log.info(
            "relay failed",
            extra={"event": "relay_failed", "peer": found.vm, "reason": reason},
        )
        return None

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
        return await self._for_peer(lambda: self._read(question.key))

    async def _create_for_peer(self, question: CreateQuestion) -> KeyAnswer:
        return await self._for_peer(lambda: self._create(question.key, question.value))

    async def _for_peer(self, call: Callable[[], Awaitable[KeyAnswer]]) -> KeyAnswer:
        if not self._health.is_available:
            raise SaddlestackError(ErrorKind.STORE_UNAVAILABLE, "the store does not answer here")
        own = asyncio.ensure_future(call())
        try:
            await self._succeeds(own)
            return await own
        except StoreUnavailable as error:
            raise SaddlestackError(ErrorKind.STORE_UNAVAILABLE, str(error)) from error
        except WriteInDoubt as error:
            raise SaddlestackError(ErrorKind.OUTCOME_UNKNOWN, str(error)) from error


async def _abandon(own: asyncio.Future[KeyAnswer] | None) -> None:
    """End a call whose answer is not needed any more; it may be repeated at any time."""
    if own is None:
        return
    own.cancel()
    with contextlib.suppress(asyncio.CancelledError, StoreUnavailable, WriteInDoubt):
        await own
