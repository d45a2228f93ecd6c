"""Access to the store for clients' calls: directly, or relayed through a VM that reaches it.

Supports reads of one key or of all keys under a prefix, and creation of a key that is absent. All
are idempotent, so they may be sent directly and through a relay at the same time.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, TypeVar

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

HEDGE_DELAY_S = 0.3
"""A call that the store hasn't answered after this time is also sent through another VM."""
RETRY_S = 0.1
REROUTED_AFTER_S = 1.0
"""Cut off for longer than this, a VM sends its callers to another VM at once.

The load balancer checks each second whether a VM is ready, and stops routing to it after two failed
checks. A caller that retries at once is routed elsewhere from then on. Before that, it may reach
other VMs that are cut off as well, and callers retry only a few times.
"""


class ReadQuestion(msgspec.Struct, frozen=True):
    """Request to read a key on behalf of another VM."""

    key: str


class ListQuestion(msgspec.Struct, frozen=True):
    """Request to read all keys under a prefix on behalf of another VM."""

    prefix: str


class CreateQuestion(msgspec.Struct, frozen=True):
    """Request to create a key on behalf of another VM, if it is absent."""

    key: str
    value: bytes


class KeyAnswer(msgspec.Struct, frozen=True):
    """The current value of a key; ``created`` if this call has created it."""

    value: bytes
    revision: int
    created: bool = False


class ListAnswer(msgspec.Struct, frozen=True):
    """The values of all keys under a prefix, by key."""

    values: dict[str, bytes]


class StoreUnreachable(Exception):
    """The store could be reached neither directly nor through a relay.

    :param doubt: whether something may have been written nevertheless.
    :param elsewhere: whether callers should retry at once at a VM of another data hall.
    """

    def __init__(self, reason: str, doubt: bool, *, elsewhere: bool = False) -> None:
        super().__init__(reason)
        self.reason = reason
        self.doubt = doubt
        self.elsewhere = elsewhere


T = TypeVar("T")

Direct = Callable[[], Awaitable[T]]
"""A call made on this VM's own connection to the store."""
Relayed = Callable[[str], Awaitable[T]]
"""The same call, sent through the named VM."""


@dataclass(slots=True)
class _CallState:
    """State of the attempts made for one call.

    :param reason: why the latest attempt failed.
    :param sent: the current attempt has sent something that may be carried out, even if it is
        cancelled.
    :param doubt: an earlier attempt has, and got no answer.
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
        peers.serve(ListQuestion, self._list_for_peer)
        peers.serve(CreateQuestion, self._create_for_peer)

    async def get(self, key: str, until: float) -> Item:
        """Reads a key; the revision is 0 if it is absent.

        :param until: deadline, on this VM's clock.
        :raises StoreUnreachable: the store could not be reached in time.
        """
        answer = await self._call(
            lambda: self._read(key),
            lambda vm: self._peers.ask(vm, ReadQuestion(key), KeyAnswer),
            until,
        )
        return Item(key, answer.value, answer.revision)

    async def list(self, prefix: str, until: float) -> dict[str, bytes]:
        """Reads all keys under a prefix; returns their values by key.

        :param until: deadline, on this VM's clock.
        :raises StoreUnreachable: the store could not be reached in time.
        """
        answer = await self._call(
            lambda: self._list(prefix),
            lambda vm: self._peers.ask(vm, ListQuestion(prefix), ListAnswer),
            until,
        )
        return answer.values

    async def create(self, key: str, value: bytes, until: float) -> KeyAnswer:
        """Creates a key, or returns the existing one.

        :param until: deadline, on this VM's clock.
        :raises StoreUnreachable: the store could not be reached in time; ``doubt`` is whether
            the key may still be created.
        """
        return await self._call(
            lambda: self._create(key, value),
            lambda vm: self._peers.ask(vm, CreateQuestion(key, value), KeyAnswer),
            until,
        )

    async def _call(self, direct: Direct[T], relayed: Relayed[T], until: float) -> T:
        """Retries both directly and through a relay, until one is answered or time is up."""
        state = _CallState()
        try:
            async with asyncio.timeout(max(0.0, until - self._context.clock.now())):
                while True:
                    answer = await self._attempt(direct, relayed, state)
                    if answer is not None:
                        return answer
                    await self._health.wait_for_recovery(RETRY_S)
        except TimeoutError:
            raise StoreUnreachable(state.reason, state.doubt) from None

    async def _attempt(self, direct: Direct[T], relayed: Relayed[T], state: _CallState) -> T | None:
        """Makes one attempt, directly and through a relay; ``None`` if neither was answered.

        :raises StoreUnreachable: this VM is cut off, and the caller should go to another one.
        """
        direct_call = asyncio.ensure_future(direct()) if self._health.is_available else None
        try:
            state.sent = direct_call is not None
            if direct_call is None or not await self._is_answered(direct_call):
                answer = await self._call_relay(relayed, state, direct_call is None)
                if answer is not None or direct_call is None:
                    return answer
            return await direct_call
        except StoreUnavailable as error:
            state.sent = False
            state.reason = str(error)
        except WriteInDoubt as error:
            state.reason = str(error)
        finally:
            state.doubt = state.doubt or state.sent
            await _cancel(direct_call)
        return None

    async def _is_answered(self, direct_call: asyncio.Future[Any]) -> bool:
        """Returns whether a call is answered before a relay has to be tried."""
        await asyncio.wait({direct_call}, timeout=HEDGE_DELAY_S)
        if not direct_call.done():
            self._health.probe_now()
            return False
        return direct_call.exception() is None

    async def _call_relay(self, relayed: Relayed[T], state: _CallState, only: bool) -> T | None:
        """Sends a call through another VM that reaches the store, if there is one.

        :param only: no direct call is being made.
        :raises StoreUnreachable: no direct call is being made, and this VM is cut off.
        """
        relay = await self._relays.find()
        if relay.vm is None:
            if relay.cut_off and only:
                raise StoreUnreachable(
                    "cut off from the store and the other halls",
                    state.doubt,
                    elsewhere=self._health.outage_s > REROUTED_AFTER_S,
                )
            return None
        sent, state.sent = state.sent, True
        try:
            return await relayed(relay.vm)
        except PeerUnavailable as error:
            state.doubt = state.doubt or error.sent
            reason = str(error)
        except SaddlestackError as error:
            state.doubt = state.doubt or error.kind is not ErrorKind.STORE_UNAVAILABLE
            reason = str(error)
        state.sent = sent
        log.info(
            "relayed call failed",
            extra={"event": "relay_failed", "peer": relay.vm, "reason": reason},
        )
        return None

    async def _read(self, key: str) -> KeyAnswer:
        item = await self._context.store.get(key)
        return KeyAnswer(item.value, item.revision)

    async def _list(self, prefix: str) -> ListAnswer:
        listing = await self._context.store.list(prefix)
        return ListAnswer({item.key: item.value for item in listing.items})

    async def _create(self, key: str, value: bytes) -> KeyAnswer:
        transaction = Transaction(expect=((key, 0),), puts=(Put(key, value),))
        outcome = await self._context.store.transact(transaction)
        if isinstance(outcome, Committed):
            return KeyAnswer(value, outcome.revision, created=True)
        item = outcome.items[0]
        return KeyAnswer(item.value, item.revision)

    async def _read_for_peer(self, question: ReadQuestion) -> KeyAnswer:
        return await self._for_peer(lambda: self._read(question.key))

    async def _list_for_peer(self, question: ListQuestion) -> ListAnswer:
        return await self._for_peer(lambda: self._list(question.prefix))

    async def _create_for_peer(self, question: CreateQuestion) -> KeyAnswer:
        return await self._for_peer(lambda: self._create(question.key, question.value))

    async def _for_peer(self, call: Direct[T]) -> T:
        if not self._health.is_available:
            raise SaddlestackError(ErrorKind.STORE_UNAVAILABLE, "the store does not answer here")
        direct_call = asyncio.ensure_future(call())
        try:
            await self._is_answered(direct_call)
            return await direct_call
        except StoreUnavailable as error:
            raise SaddlestackError(ErrorKind.STORE_UNAVAILABLE, str(error)) from error
        except WriteInDoubt as error:
            raise SaddlestackError(ErrorKind.OUTCOME_UNKNOWN, str(error)) from error


async def _cancel(direct_call: asyncio.Future[Any] | None) -> None:
    """Cancels a call whose answer is no longer needed; the call is idempotent."""
    if direct_call is None:
        return
    direct_call.cancel()
    with contextlib.suppress(asyncio.CancelledError, StoreUnavailable, WriteInDoubt):
        await direct_call
