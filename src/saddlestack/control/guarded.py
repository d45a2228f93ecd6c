"""The store as services use it: calls that an outage has swallowed do not wait for their time-out.

When the store answers again, each call that was sent before the answered heartbeat is given up.
Reads, watches and renewals are sent anew at once; a write is reported to be in doubt, so that its
writer repeats it under the same conditions.
"""

from __future__ import annotations

import asyncio
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

T = TypeVar("T")


class _GivenUp(Exception):
    """The store answers again, and has not answered a call that was sent before."""


class GuardedStore:
    """A :class:`saddlestack.interfaces.store.MetadataStore` on top of another one."""

    def __init__(self, store: MetadataStore, health: StoreHealth) -> None:
        self._store = store
        self._health = health

    def reconnect(self) -> None:
        """Use new connections from now on."""
        self._store.reconnect()

    async def get(self, key: str) -> Item:
        """A key; revision 0 where it is absent."""
        return await self._repeated(lambda: self._store.get(key))

    async def list(self, prefix: str) -> Listing:
        """All keys under a prefix."""
        return await self._repeated(lambda: self._store.list(prefix))

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Changes after a revision; removed keys have revision 0."""
        return await self._repeated(lambda: self._store.watch(prefix, after, wait_s))

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Make changes all together."""
        try:
            return await self._guarded(self._store.transact(transaction))
        except _GivenUp as error:
            raise WriteInDoubt("sent while the store was lost") from error

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """A new lease and the seconds it lasts."""
        try:
            return await self._guarded(self._store.grant_lease(ttl_s))
        except _GivenUp as error:
            raise StoreUnavailable("sent while the store was lost") from error

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        await self._repeated(lambda: self._store.renew_lease(lease))

    async def end_lease(self, lease: int) -> None:
        """End a lease and its keys."""
        await self._repeated(lambda: self._store.end_lease(lease))

    async def _repeated(self, call: Callable[[], Awaitable[T]]) -> T:
        """Make a call that does no harm if it is made twice."""
        while True:
            try:
                return await self._guarded(call())
            except _GivenUp:
                continue

    async def _guarded(self, call: Awaitable[T]) -> T:
        """Wait for the answer of a call.

        :raises _GivenUp: the store has answered a heartbeat that was sent later.
        """
        sent = self._health.clock.now()
        task = asyncio.ensure_future(call)
        try:
            while True:
                recovery = self._health.recovery
                either: set[asyncio.Future[Any]] = {task, recovery}
                await asyncio.wait(either, return_when=asyncio.FIRST_COMPLETED)
                if task.done():
                    return task.result()
                if recovery.result() > sent:
                    raise _GivenUp
        except (StoreUnavailable, WriteInDoubt):
            self._health.probe_now()
            raise
        finally:
            task.cancel()
