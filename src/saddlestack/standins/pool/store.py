"""A stand-in for the platform's store: transactions, leases, watches, and faults.

:class:`StoreState` is the store itself. Each VM accesses it through a :class:`StoreView`, which can
be partitioned, refuse or delay calls, or lose answers of writes that take effect at once or late.
"""

from __future__ import annotations

import asyncio
import bisect
import itertools
import math
from collections.abc import Callable
from dataclasses import dataclass, field

from saddlestack.interfaces.store import (
    Committed,
    Conflict,
    HistoryGone,
    Item,
    LeaseExpired,
    Listing,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)

ANSWER_S = 0.004
CALL_TIMEOUT_S = 1.0
LIST_TIMEOUT_S = 3.0
WATCH_SLACK_S = 1.0
SILENCE_CHECK_S = 0.1
MAX_ENTRIES = 32


@dataclass(slots=True)
class _Key:
    value: bytes
    revision: int
    lease: int


@dataclass(slots=True)
class _Lease:
    ttl_s: float
    until: float


@dataclass(frozen=True, slots=True)
class _Event:
    revision: int
    item: Item


class StoreState:
    """The keys, leases and history that all VMs share.

    :ivar observers: called on each change with its revision and the changed item.
    :ivar revision: revision of the latest transaction.
    :ivar writes: number of transactions.
    :ivar reads: number of other calls.
    """

    def __init__(self) -> None:
        self._keys: dict[str, _Key] = {}
        self._leases: dict[int, _Lease] = {}
        self._lease_ids = itertools.count(70_001)
        self._history: list[_Event] = []
        self._forgotten = 0
        self._changed: dict[str, asyncio.Event] = {}
        self._no_expiry_before = math.inf
        self.observers: list[Callable[[int, Item], None]] = []
        self.revision = 1
        self.writes = 0
        self.reads = 0

    def put(self, key: str, value: bytes) -> int:
        """Write a key, as the operator or a worker does; return its revision."""
        return self._apply((_Put(key, value, 0),), ())

    def remove(self, key: str) -> None:
        """Remove a key, as the expiry of a worker's record does."""
        if key in self._keys:
            self._apply((), (key,))

    def item(self, key: str) -> Item:
        """Return a key; its revision is 0 if it is absent."""
        self._expire()
        return self._item(key)

    def keys(self, prefix: str) -> list[Item]:
        """Return all keys under a prefix, sorted."""
        self._expire()
        return [self._item(key) for key in sorted(self._keys) if key.startswith(prefix)]

    def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction atomically.

        :raises LeaseExpired: a lease that it uses has expired or was ended.
        :raises ValueError: it has more than :data:`MAX_ENTRIES` entries.
        """
        entries = len(transaction.expect) + len(transaction.puts) + len(transaction.deletes)
        if entries > MAX_ENTRIES:
            raise ValueError(f"{entries} entries in a transaction")
        self._expire()
        self.writes += 1
        if any(self._item(key).revision != revision for key, revision in transaction.expect):
            return Conflict(tuple(self._item(key) for key, _ in transaction.expect))
        for put in transaction.puts:
            if put.lease and put.lease not in self._leases:
                raise LeaseExpired
        puts = tuple(_Put(put.key, put.value, put.lease) for put in transaction.puts)
        return Committed(self._apply(puts, transaction.deletes))

    def grant(self, ttl_s: float) -> int:
        """Create a lease and return its id."""
        lease = next(self._lease_ids)
        until = _now() + ttl_s
        self._leases[lease] = _Lease(ttl_s, until)
        self._no_expiry_before = min(self._no_expiry_before, until)
        return lease

    def keep(self, lease: int) -> None:
        """Renew a lease.

        :raises LeaseExpired: it has expired or was ended.
        """
        self._expire()
        if lease not in self._leases:
            raise LeaseExpired
        self._leases[lease].until = _now() + self._leases[lease].ttl_s

    def end(self, lease: int) -> None:
        """End a lease and remove its keys."""
        self._leases.pop(lease, None)
        removed = tuple(key for key, kept in self._keys.items() if kept.lease == lease)
        if removed:
            self._apply((), removed)

    def prolong_leases(self, seconds: float) -> None:
        """Extend all leases, as if they were suspended while the store was unavailable."""
        for lease in self._leases.values():
            lease.until += seconds

    def forget_history(self) -> None:
        """Drop the history up to now: earlier watches have to read everything again."""
        self.forget_until(self.revision)
        self._notify(*self._changed)

    def forget_until(self, revision: int) -> None:
        """Drop the history up to a revision: earlier watches have to read everything again."""
        self._forgotten = max(self._forgotten, revision)
        del self._history[: self._first_after(revision)]

    def changes(self, prefix: str, after: int) -> list[Item]:
        """Return the changes after a revision.

        :raises HistoryGone: the history does not reach back that far.
        """
        self._expire()
        if after < self._forgotten:
            raise HistoryGone(prefix)
        events = self._history[self._first_after(after) :]
        return [event.item for event in events if event.item.key.startswith(prefix)]

    async def until_changed(self, prefix: str, timeout_s: float) -> None:
        """Wait for a change under a prefix, the timeout, or the next possible expiry of a lease."""
        self._expire()
        wait = min(timeout_s, max(0.001, self._no_expiry_before - _now()))
        changed = self._changed.setdefault(prefix, asyncio.Event())
        try:
            async with asyncio.timeout(wait):
                await changed.wait()
        except TimeoutError:
            return

    def _apply(self, puts: tuple[_Put, ...], deletes: tuple[str, ...]) -> int:
        self.revision += 1
        for put in puts:
            self._keys[put.key] = _Key(put.value, self.revision, put.lease)
            self._record_change(Item(put.key, put.value, self.revision))
        for key in deletes:
            if self._keys.pop(key, None) is not None:
                self._record_change(Item(key, b"", 0))
        return self.revision

    def _item(self, key: str) -> Item:
        kept = self._keys.get(key)
        return Item(key, b"", 0) if kept is None else Item(key, kept.value, kept.revision)

    def _record_change(self, item: Item) -> None:
        self._history.append(_Event(self.revision, item))
        for observer in self.observers:
            observer(self.revision, item)
        self._notify(*(prefix for prefix in self._changed if item.key.startswith(prefix)))

    def _notify(self, *prefixes: str) -> None:
        for prefix in prefixes:
            self._changed.pop(prefix).set()

    def _first_after(self, revision: int) -> int:
        """Return the index in the history of the first change after a revision."""
        return bisect.bisect_right(self._history, revision, key=lambda event: event.revision)

    def _expire(self) -> None:
        if _now() < self._no_expiry_before:
            return
        for lease in [lease for lease, kept in self._leases.items() if kept.until <= _now()]:
            self.end(lease)
        ends = (kept.until for kept in self._leases.values())
        self._no_expiry_before = min(ends, default=math.inf)


@dataclass(frozen=True, slots=True)
class _Put:
    """A key to write."""

    key: str
    value: bytes
    lease: int


@dataclass(slots=True)
class StoreFaults:
    """Faults of one VM's connection to the store.

    :param silent: whether calls get no answer and have no effect; a watch in progress gets no
        answer either.
    :param refusing: whether calls are refused at once.
    :param slow_s: additional latency of calls.
    :param lose_answers: number of writes that are applied and not answered.
    :param late_s: delay of the writes whose answers are lost.
    :param stale: whether the VM's connections are dead until it opens new ones.
    :param lost_watches: prefixes whose watches get no answer, unlike all other calls.
    :param lost_lists: number of listings that get no answer, by prefix.
    :param slow_lists: additional latency of listings, by prefix.
    """

    silent: bool = False
    refusing: bool = False
    slow_s: float = 0.0
    lose_answers: int = 0
    late_s: float = 0.0
    stale: bool = False
    lost_watches: frozenset[str] = frozenset()
    lost_lists: dict[str, int] = field(default_factory=dict)
    slow_lists: dict[str, float] = field(default_factory=dict)

    @property
    def is_unresponsive(self) -> bool:
        """Whether calls get no answer."""
        return self.silent or self.stale


@dataclass(slots=True)
class StoreView:
    """One VM's connection to the store, a :class:`saddlestack.interfaces.store.MetadataStore`.

    :param check_s: interval at which a waiting watch checks for faults.
    :param late: writes that are applied late.
    """

    state: StoreState
    faults: StoreFaults = field(default_factory=StoreFaults)
    check_s: float = SILENCE_CHECK_S
    late: set[asyncio.Task[None]] = field(default_factory=set)

    def reconnect(self) -> None:
        """Open new connections, which ends a stale one."""
        self.faults.stale = False

    async def get(self, key: str) -> Item:
        """Return a key; its revision is 0 if it is absent."""
        await self._begin_call()
        return self.state.item(key)

    async def list(self, prefix: str) -> Listing:
        """Return all keys under a prefix."""
        await self._begin_call()
        if self.faults.lost_lists.get(prefix, 0):
            self.faults.lost_lists[prefix] -= 1
            await asyncio.sleep(LIST_TIMEOUT_S)
            raise StoreUnavailable("no answer to the listing")
        await asyncio.sleep(self.faults.slow_lists.get(prefix, 0.0))
        return Listing(tuple(self.state.keys(prefix)), self.state.revision)

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        """Return the changes after a revision, or none after ``wait_s``."""
        until = _now() + wait_s
        if not self.faults.is_unresponsive:
            await self._begin_call()
        while not self.faults.is_unresponsive and prefix not in self.faults.lost_watches:
            if self.faults.refusing:
                await self._raise_unavailable()
            items = self.state.changes(prefix, after)
            if items or _now() >= until:
                return Listing(tuple(items), self.state.revision)
            await self.state.until_changed(prefix, min(self.check_s, until - _now()))
        await asyncio.sleep(until + WATCH_SLACK_S - _now())
        raise StoreUnavailable("no answer to the watch")

    async def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply a transaction atomically."""
        if self.faults.is_unresponsive:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WriteInDoubt("silence")
        await self._wait_for_latency()
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            self._apply_late(transaction)
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WriteInDoubt("the answer was lost")
        return self.state.transact(transaction)

    async def grant_lease(self, ttl_s: float) -> tuple[int, float]:
        """Create a lease; return its id and its duration."""
        await self._begin_call()
        return self.state.grant(ttl_s), ttl_s

    async def renew_lease(self, lease: int) -> None:
        """Renew a lease."""
        await self._begin_call()
        self.state.keep(lease)

    async def end_lease(self, lease: int) -> None:
        """End a lease and remove its keys."""
        await self._begin_call()
        self.state.end(lease)

    async def _begin_call(self) -> None:
        self.state.reads += 1
        if self.faults.is_unresponsive:
            await self._raise_unavailable()
        await self._wait_for_latency()

    async def _wait_for_latency(self) -> None:
        if self.faults.refusing:
            await self._raise_unavailable()
        await asyncio.sleep(ANSWER_S + self.faults.slow_s)

    async def _raise_unavailable(self) -> None:
        await asyncio.sleep(CALL_TIMEOUT_S if self.faults.is_unresponsive else ANSWER_S)
        raise StoreUnavailable("the store is unreachable")

    def _apply_late(self, transaction: Transaction) -> None:
        task = asyncio.get_running_loop().create_task(self._transact_late(transaction))
        self.late.add(task)
        task.add_done_callback(self.late.discard)

    async def _transact_late(self, transaction: Transaction) -> None:
        await asyncio.sleep(self.faults.late_s)
        try:
            self.state.transact(transaction)
        except LeaseExpired:
            return


def _now() -> float:
    return asyncio.get_running_loop().time()
