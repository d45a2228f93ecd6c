"""Wraps the store so that calls lost in an outage don't wait for their timeout.

When the store is available again, each call is abandoned that was sent before the heartbeat which
was answered, unless a part of its answer has arrived. Reads, watches and renewals are retried at
once. For a write, the outcome is reported as unknown, so that the caller repeats it under the same
conditions.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from saddlestack.control.health import StoreHealth
from saddlestack.interfaces.store import (
    Committed,
    Conflict,
    Item,
    Listing,
    MetadataStore,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)
from saddlestack.kernel.transfers import Transfer, receive, tracked

T = TypeVar("T")

log = logging.getLogger("saddlestack.guarded")

MAX_DOUBLINGS = 4
"""How often the time by which a watch may be late is doubled while no watch is answered."""
STALL_S = 1.0
"""Time in which nothing of an answer may arrive once it has begun: some retransmissions."""


class _CallAbandoned(Exception):
    """The store is available again, but has not answered a call that was sent before."""


class GuardedStore:
    """A :class:`saddlestack.interfaces.store.MetadataStore` that wraps another one."""

    def __init__(self, store: MetadataStore, health: StoreHealth) -> None:
        self._store = store
        self._health = health
        self._overdue_watches: dict[tuple[str, bool], int] = {}

    def reconnect(self) -> None:
        """Uses new connections from now on."""
        self._store.reconnect()

    async def get(self, key: str) -> Item:
        """Returns a key; its revision is 0 if it is absent."""
        return await self._retried(lambda: self._store.get(key))

    async def list(self, prefix: str) -> Listing:
        """Returns all keys under a prefix."""
        return await self._retried(lambda: self._store.list(prefix))

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Returns changes after a revision; removed keys have revision 0.

        Heartbeats do not show that the connection of a watch is unresponsive, so a watch is
        abandoned as soon as it is overdue. One whose answer has begun to arrive is not, as long as
        it keeps arriving. Its successor may take longer, since the store may need the time.

        :param wait_s: time for a change; a watch without any counts apart from those that wait.
        :raises StoreUnavailable: no answer in time.
        """
        key = (prefix, wait_s > 0)
        overdue_in_a_row = self._overdue_watches.pop(key, 0)
        limit_s = wait_s + self._health.overdue_after_s * 2**overdue_in_a_row
        with tracked() as transfer:
            try:
                return await self._retried(
                    lambda: receive(
                        self._store.watch(prefix, after, wait_s), begin_s=limit_s, stall_s=STALL_S
                    )
                )
            except TimeoutError:
                self._overdue_watches[key] = min(overdue_in_a_row + 1, MAX_DOUBLINGS)
                self._health.probe_now()
                log.warning(
                    "watch is overdue",
                    extra={"event": "watch_overdue", "prefix": prefix, **_progress(transfer)},
                )
                raise StoreUnavailable("the watch is overdue") from None

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Applies a transaction atomically."""
        try:
            return await self._guarded(self._store.transact(transaction))
        except _CallAbandoned as error:
            raise WriteInDoubt("sent while the store was unavailable") from error

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Grants a lease; returns it and the seconds it lasts."""
        try:
            return await self._guarded(self._store.grant_lease(ttl_s))
        except _CallAbandoned as error:
            raise StoreUnavailable("sent while the store was unavailable") from error

    async def renew_lease(self, lease: int) -> None:
        """Renews a lease; retries if the call is abandoned."""
        await self._retried(lambda: self._store.renew_lease(lease))

    async def end_lease(self, lease: int) -> None:
        """Ends a lease, and removes its keys."""
        await self._retried(lambda: self._store.end_lease(lease))

    async def _retried(self, call: Callable[[], Awaitable[T]]) -> T:
        """Makes an idempotent call, and retries it if it is abandoned."""
        while True:
            try:
                return await self._guarded(call())
            except _CallAbandoned:
                continue

    async def _guarded(self, call: Awaitable[T]) -> T:
        """Waits for the answer to a call.

        :raises _CallAbandoned: the store has answered a heartbeat that was sent later, and nothing
            of the answer to the call has arrived.
        """
        sent = self._health.clock.now()
        with tracked(self._record_received) as transfer:
            task = asyncio.ensure_future(call)
            try:
                while True:
                    recovery = self._health.recovery
                    waited_for: set[asyncio.Future[Any]] = {task, recovery}
                    await asyncio.wait(waited_for, return_when=asyncio.FIRST_COMPLETED)
                    if task.done():
                        return task.result()
                    if recovery.result() > sent and not transfer.received:
                        raise _CallAbandoned
            except (StoreUnavailable, WriteInDoubt):
                self._health.probe_now()
                raise
            finally:
                if not task.done():
                    _log_abandoned(transfer)
                task.cancel()

    def _record_received(self) -> None:
        self._health.record_received()


def _log_abandoned(transfer: Transfer) -> None:
    """Logs a call that ends after a part of its answer has arrived."""
    if transfer.received:
        log.warning(
            "answer is abandoned",
            extra={"event": "answer_abandoned", **_progress(transfer)},
        )


def _progress(transfer: Transfer) -> dict[str, float]:
    """Fields of a log line."""
    return {"received": transfer.received, "receiving_s": round(transfer.receiving_s(), 3)}
