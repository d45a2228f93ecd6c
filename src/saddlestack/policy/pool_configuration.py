"""Checks that the parts of a pool's configuration fit together."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Iterator

from saddlestack.interfaces.documents import ClientAccount, PoolConfiguration, Queue


def faults_of(configuration: PoolConfiguration) -> list[str]:
    """Return every fault of a configuration, each with what it concerns and what was expected.

    Names identify queues, accounts and services; a call selects one queue by host and path, and one
    account by its key.

    :rtype: list[str]
    """
    return [
        *_repeated_names("queue", (queue.name for queue in configuration.queues)),
        *_repeated_names("client account", (account.name for account in configuration.accounts)),
        *_repeated_names("service", (pool.name for pool in configuration.pools)),
        *_ambiguous_queues(configuration.queues),
        *_unknown_services(configuration),
        *_shared_keys(configuration.accounts),
    ]


def _repeated_names(kind: str, names: Iterable[str]) -> Iterator[str]:
    for name, count in Counter(names).items():
        if count > 1:
            yield f"{kind} {name!r}: expected one of this name, got {count}"


def _ambiguous_queues(queues: Iterable[Queue]) -> Iterator[str]:
    first: dict[tuple[str, str], str] = {}
    for queue in queues:
        other = first.setdefault((queue.host.lower(), queue.prefix), queue.name)
        if other != queue.name:
            yield f"queue {queue.name!r}: expected another host or prefix than that of {other!r}"


def _unknown_services(configuration: PoolConfiguration) -> Iterator[str]:
    known = {pool.name for pool in configuration.pools}
    for queue in configuration.queues:
        if queue.service not in known:
            yield f"queue {queue.name!r}: no service is named {queue.service!r}"


def _shared_keys(accounts: Iterable[ClientAccount]) -> Iterator[str]:
    """Name the accounts only, since keys are secret."""
    first: dict[str, str] = {}
    for account in accounts:
        others = {first.setdefault(key, account.name) for key in account.keys} - {account.name}
        for other in sorted(others):
            yield f"client account {account.name!r}: has a key of {other!r}"
