"""Interface to the platform's store."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol


class StoreUnavailable(Exception):
    """The store did not accept the call: nothing was done."""


class WriteInDoubt(Exception):
    """The outcome is unknown: the write may have been done, or may be later if its conditions
    hold."""


class HistoryGone(Exception):
    """The store no longer has the requested changes: read everything again."""


class LeaseExpired(Exception):
    """The lease has expired or was ended."""


@dataclass(frozen=True, slots=True)
class Item:
    """A key of the store and its value.

    :param revision: revision of its last change; 0 if the key is absent.
    """

    key: str
    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Listing:
    """All keys under a prefix, and the revision to watch from."""

    items: tuple[Item, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Put:
    """A key to write. If it has a lease, it is removed when the lease ends."""

    key: str
    value: bytes
    lease: int = 0


@dataclass(frozen=True, slots=True)
class Transaction:
    """Changes that are applied atomically if every expected revision matches.

    :param expect: keys, and the revision that each must have; 0 means absent.
    """

    expect: tuple[tuple[str, int], ...] = ()
    puts: tuple[Put, ...] = ()
    deletes: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class Committed:
    """The transaction was applied, as one revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """An expected revision did not match: nothing was done.

    :param items: the current state of the expected keys.
    """

    items: tuple[Item, ...]


class MetadataStore(Protocol):
    """The platform's store: linearizable reads, transactions, leases, watches."""

    def reconnect(self) -> None:
        """Uses new connections from now on, since the open ones may be dead."""
        ...

    async def get(self, key: str) -> Item:
        """Returns a key; its revision is 0 if it is absent.

        :raises StoreUnavailable: no answer.
        """
        ...

    async def list(self, prefix: str) -> Listing:
        """Returns all keys under a prefix.

        :raises StoreUnavailable: no answer.
        """
        ...

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Returns changes after a revision; removed keys have revision 0.

        :raises StoreUnavailable: no answer.
        :raises HistoryGone: the store no longer has the changes.
        """
        ...

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Applies a transaction atomically.

        :raises StoreUnavailable: nothing was done.
        :raises WriteInDoubt: the outcome is unknown.
        :raises LeaseExpired: a lease that it names has ended; nothing was done.
        """
        ...

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Grants a lease; returns it and the seconds it lasts.

        :raises StoreUnavailable: no answer.
        """
        ...

    async def renew_lease(self, lease: int) -> None:
        """Renews a lease.

        :raises LeaseExpired: the lease has ended.
        :raises StoreUnavailable: no answer.
        """
        ...

    async def end_lease(self, lease: int) -> None:
        """Ends a lease, and removes its keys.

        :raises StoreUnavailable: no answer.
        """
        ...
