"""Group commit: changes gathered for a short while become one write of one key.

A value in the store names its writer and the writer's sequence number. A write that was not
answered is resolved by reading the key back and comparing both before anything follows.
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
"""Rounds of one key begin at least this far apart; a single change waits only GATHER_S."""


class Fenced(Exception):
    """Somebody with a higher term has written the key: this writer is over."""


@dataclass(slots=True)
class WriterStamp:
    """What a value in the store says of its writer."""

    writer: str
    sequence: int


@dataclass(slots=True)
class _Round:
    waiting: list[asyncio.Future[None]] = field(default_factory=list)


class GroupCommit:
    """Writes one key, gathering what arrives in the meantime.

    :param build: the value to write now, given the sequence number to put into it.
    :param merge: takes in a value that somebody else wrote; raises :class:`Fenced` where
        that ends this writer.
    :param read_stamp: reads writer and sequence out of a value.
    :param committed: told when the value built last is in the store.
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
        """Start from what the store holds."""
        self.version = entry.version

    def commit(self) -> asyncio.Future[None]:
        """Write what :func:`build` gives, soon.

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
        """End; what is not written is not written by this writer any more."""
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
                if await self._settle(self._store.get):
                    return
            except WriteInDoubt:
                await self._pause(attempt)
                if await self._settle(self._read_until_answered):
                    return
            except StoreUnavailable:
                await self._pause(attempt)
            attempt += 1

    async def _settle(self, read: Callable[[str], Awaitable[Entry]]) -> bool:
        """Read back; whether the value there is the one just written."""
        try:
            entry = await read(self.key)
        except StoreUnavailable:
            return False
        if entry.version == self.version:
            return False
        if entry.version:
            seen = self._read_stamp(entry.value)
            if (seen.writer, seen.sequence) == (self._writer, self._sequence):
                self.version = entry.version
                return True
            if seen.writer != self._writer:
                self._merge(entry.value)
        self.version = entry.version
        return False

    async def _read_until_answered(self, key: str) -> Entry:
        attempt = 0
        while True:
            try:
                return await self._store.get(key)
            except StoreUnavailable:
                await self._pause(attempt)
                attempt += 1

    async def _pause(self, attempt: int) -> None:
        await asyncio.sleep(retry_delay(attempt, self._rng) + self._gather_s)

    def _fail(self, error: Fenced) -> None:
        self.fenced = error
        for future in self._round.waiting:
            if not future.done():
                future.set_exception(error)
        self._round.waiting.clear()


def _retrieve(future: asyncio.Future[None]) -> None:
    """Mark a failure as seen: many callers only look at the store's state later."""
    if not future.cancelled():
        future.exception()
