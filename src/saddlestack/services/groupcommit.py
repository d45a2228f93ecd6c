"""Group commit: changes collected for a short time are written as one value of one key.

A stored value carries its writer and the writer's sequence number. A write without a response
is resolved by reading the key back and comparing both before the next write.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from saddlestack.kernel.service import TaskGroup
from saddlestack.platform.store import (
    Entry,
    StoreClient,
    StoreUnavailable,
    VersionConflict,
    WriteInDoubt,
)
from saddlestack.policy.retry import retry_delay

log = logging.getLogger("saddlestack.store")

GATHER_S = 0.03
INTERVAL_S = 0.4
"""Least time between the starts of two writes of one key; the first change waits GATHER_S."""


class Fenced(Exception):
    """A writer with a higher term has written the key, or the commit is closed.

    This writer must not write any more.
    """


@dataclass(slots=True)
class WriterStamp:
    """The writer and sequence number that a stored value carries."""

    writer: str
    sequence: int


@dataclass(slots=True)
class _Round:
    waiting: list[asyncio.Future[None]] = field(default_factory=list)


class GroupCommit:
    """Writes one key; changes made during a write go into the next one.

    :param build: returns the value to write, given the sequence number to put into it.
    :param merge: merges a value that another writer has stored; raises :class:`Fenced` if that
        writer has taken over.
    :param read_stamp: extracts writer and sequence from a value.
    :param committed: called when the value built last is in the store.
    :param gather_s: seconds for which changes are collected.
    """

    def __init__(
        self,
        store: StoreClient,
        key: str,
        writer: str,
        rng: random.Random,
        *,
        build: Callable[[int], bytes],
        merge: Callable[[bytes], None],
        read_stamp: Callable[[bytes], WriterStamp],
        committed: Callable[[], None] | None = None,
        gather_s: float = GATHER_S,
    ) -> None:
        self.key = key
        self.version = 0
        self._store = store
        self._writer = writer
        self._rng = rng
        self._build = build
        self._merge = merge
        self._read_stamp = read_stamp
        self._committed = committed
        self._gather_s = gather_s
        self._round = _Round()
        self._sequence = 0
        self._tasks = TaskGroup(f"commit {key}")
        self._running = False
        self._next_round = 0.0
        self.fenced: Fenced | None = None

    def loaded(self, entry: Entry) -> None:
        """Set the version that the next write expects from an entry that was read."""
        self.version = entry.version

    def commit(self) -> asyncio.Future[None]:
        """Schedule a write of the value that ``build`` returns.

        :return: done when a value with every change made so far is in the store; fails
            with :class:`Fenced`.
        """
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        future.add_done_callback(_retrieve)
        if self.fenced is not None:
            future.set_exception(self.fenced)
            return future
        self._round.waiting.append(future)
        if not self._running:
            self._running = True
            self._tasks.spawn(self._run())
        return future

    @property
    def pending(self) -> bool:
        """Whether a change is not yet known to be in the store."""
        return self._running

    async def close(self) -> None:
        """Stop writing; changes not yet written are dropped and their futures fail."""
        await self._tasks.cancel()
        self._fail(Fenced("closed"))

    async def _run(self) -> None:
        try:
            while self._round.waiting:
                await asyncio.sleep(max(self._gather_s, self._next_round - self._now()))
                self._next_round = self._now() + INTERVAL_S
                await self._write_round()
        except Fenced as error:
            self._fail(error)
        finally:
            self._running = False

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    async def _write_round(self) -> None:
        current, self._round = self._round, _Round()
        try:
            await self._write()
        except Fenced:
            self._round.waiting = current.waiting + self._round.waiting
            raise
        if self._committed is not None:
            self._committed()
        for future in current.waiting:
            if not future.done():
                future.set_result(None)

    async def _write(self) -> None:
        attempt = 0
        while True:
            self._sequence += 1
            value = self._build(self._sequence)
            try:
                self.version = await self._store.swap(self.key, value, self.version)
                return
            except VersionConflict:
                if await self._resolve_write(self._store.get):
                    return
            except WriteInDoubt:
                await self._back_off(attempt)
                if await self._resolve_write(self._read_until_answered):
                    return
            except StoreUnavailable:
                await self._back_off(attempt)
            attempt += 1

    async def _resolve_write(self, read: Callable[[str], Awaitable[Entry]]) -> bool:
        """Read the key back and return whether it holds the value just written."""
        try:
            entry = await read(self.key)
        except StoreUnavailable:
            return False
        if entry.version == self.version:
            return False
        if entry.version:
            stamp = self._read_stamp(entry.value)
            if (stamp.writer, stamp.sequence) == (self._writer, self._sequence):
                self.version = entry.version
                return True
            if stamp.writer != self._writer:
                self._merge(entry.value)
        self.version = entry.version
        return False

    async def _read_until_answered(self, key: str) -> Entry:
        attempt = 0
        while True:
            try:
                return await self._store.get(key)
            except StoreUnavailable:
                await self._back_off(attempt)
                attempt += 1

    async def _back_off(self, attempt: int) -> None:
        await asyncio.sleep(retry_delay(attempt, self._rng) + self._gather_s)

    def _fail(self, error: Fenced) -> None:
        self.fenced = error
        for future in self._round.waiting:
            if not future.done():
                future.set_exception(error)
        self._round.waiting.clear()


def _retrieve(future: asyncio.Future[None]) -> None:
    """Mark a failure as retrieved: many callers check the outcome only later."""
    if not future.cancelled():
        future.exception()
