"""The platform's store: what the services need of it."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class StoreUnavailable(Exception):
    """The store did not take the call: nothing was done."""


class WriteInDoubt(Exception):
    """The write may have been done, or may still be done while its conditions hold."""


class HistoryGone(Exception):
    """The store forgot the changes asked for: read everything again."""


class LeaseExpired(Exception):
    """The lease has ended."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key of the store.

    :param revision: of its last change; 0 where the key is absent.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys under a prefix, and the revision from which to watch."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A key to write; with a lease, the key ends with it."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes made all together, if every expected revision holds.

    :param expect: keys and the revision each must have; 0 means absent.
    """

    expect: tuple[tuple[str, int], ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was done, as one revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """An expected revision did not hold: nothing was done.

    :param items: the expected keys as they are.
    """

    items: tuple[Item, ...]


class MetadataStore(Protocol):
    """The platform's store: linearizable reads, transactions, leases, watches."""

    def reconnect(self) -> None:
        """Use new connections from now on: the open ones may have gone silent."""
        ...

    async def get(self, key: str) -> Item:
        """A key; revision 0 where it is absent.

        :raises StoreUnavailable: no answer.
        """
        ...

    async def list(self, prefix: str) -> Listing:
        """All keys under a prefix.

        :raises StoreUnavailable: no answer.
        """
        ...

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Changes after a revision; removed keys have revision 0.

        :raises StoreUnavailable: no answer.
        :raises HistoryGone: the changes are no longer known.
        """
        ...

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Make changes all together.

        :raises StoreUnavailable: nothing was done.
        :raises WriteInDoubt: not known whether it was done.
        :raises LeaseOver: a lease named in it has ended; nothing was done.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """A new lease and the seconds it lasts.

        :raises StoreUnavailable: no answer.
        """
        ...

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseOver: it has ended.
        :raises StoreUnavailable: no answer.
        """
        ...

    async def end_lease(self, lease: int) -> None:
        """End a lease and its keys.

        :raises StoreUnavailable: no answer.
        """
        ...
