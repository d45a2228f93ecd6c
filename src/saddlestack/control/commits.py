"""Queues a scheduler's records and writes them in concurrent transactions, in order for each job.

A slow store or a lost answer delays only the jobs of that transaction. Later decisions about them
queue up behind it, without blocking the scheduler.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections import deque
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from saddlestack.control.context import EntryContext
from saddlestack.control.journal import (
    MAX_RECORDS_PER_WRITE,
    Journal,
    LeadershipLost,
    RetriesExhausted,
)
from saddlestack.kernel.service import TaskGroup

log = logging.getLogger("saddlestack.commits")

MAX_CONCURRENT_WRITES = 8
"""A store that answers in 0.3 s takes about 25 transactions a second this way; further jobs wait
and share transactions."""

MAX_BYTES_PER_WRITE = 300_000
"""Records of several jobs share a transaction up to this size, which takes 0.3 s at 10 Mbit/s."""
MAX_BATCH_TRIES = 2
"""How often a transaction of several jobs is tried before each job is written on its own: one of
their records may be the cause that the transaction is never answered."""

OnWritten = Callable[[], None]
"""A callback for when records are in the store."""


@dataclass(frozen=True, slots=True)
class JobRecords:
    """The records of one job from one scheduling round.

    :param records: of its occurrences, by key; empty if there is only a callback.
    :param on_written: called when the records, and all earlier ones of the job, are in the store.
    """

    job_id: str
    records: Mapping[str, bytes]
    on_written: OnWritten


@dataclass(slots=True, eq=False)
class _Entry:
    """The pending records of one job, only the latest version of each, and their callbacks."""

    job_id: str
    records: dict[str, bytes] = field(default_factory=dict)
    callbacks: list[OnWritten] = field(default_factory=list)
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def size(self) -> int:
        """The size of the records, in bytes."""
        return sum(len(value) for value in self.records.values())

    def add(self, decisions: JobRecords) -> None:
        """Merge in the records and the callback of a later round."""
        self.records.update(decisions.records)
        self.callbacks.append(decisions.on_written)


class CommitQueue:
    """The write queue of one term.

    A job's records are written in the order of the decisions: while some are in flight, later ones
    are queued, and replace queued ones with the same key. So an older state of a job never
    overwrites a newer one, and no callback runs before the records it depends on are in the store.

    :param on_failed: called with a reason when nothing more can be written.
    """

    def __init__(
        self, context: EntryContext, journal: Journal, on_failed: Callable[[str], None]
    ) -> None:
        self._context = context
        self._journal = journal
        self._on_failed = on_failed
        self._tasks = TaskGroup("commits")
        self._queued: dict[str, _Entry] = {}
        self._writing: dict[str, _Entry] = {}
        self._single_writes: deque[_Entry] = deque()
        self._write_count = 0
        self._queued_version = 0
        self._version_queued = asyncio.Event()

    def put(self, version: int, decisions: Iterable[JobRecords]) -> None:
        """Queue records for writing; does not wait.

        :param version: version of the scheduler's state behind the decisions; increases.
        """
        for each in decisions:
            self._queue(each)
        self._queued_version = version
        self._version_queued.set()
        self._version_queued = asyncio.Event()
        self._start_writes()

    async def written(self, version: int, jobs: Iterable[str]) -> None:
        """Wait until all records of some jobs up to a version are in the store."""
        while self._queued_version < version:
            await self._version_queued.wait()
        for entry in [entry for job_id in jobs for entry in self._entries(job_id)]:
            await entry.done.wait()

    async def stop(self) -> None:
        """Cancel the writes in flight. One that was sent may still be applied by the store."""
        await self._tasks.cancel()

    def _queue(self, decisions: JobRecords) -> None:
        job_id = decisions.job_id
        entry = self._queued.get(job_id)
        if entry is None:
            if not decisions.records and job_id not in self._writing:
                decisions.on_written()
                return
            entry = self._queued[job_id] = _Entry(job_id)
        entry.add(decisions)

    def _entries(self, job_id: str) -> list[_Entry]:
        """The entries of a job that are not in the store yet."""
        found = (self._writing.get(job_id), self._queued.get(job_id))
        return [entry for entry in found if entry is not None]

    def _start_writes(self) -> None:
        """Start transactions up to the limit on concurrent writes."""
        while self._write_count < MAX_CONCURRENT_WRITES:
            batch = self._next_batch()
            if not batch:
                return
            self._write_count += 1
            self._tasks.spawn(self._write(batch))

    def _next_batch(self) -> list[_Entry]:
        """The jobs that have waited longest, as many as fit into one transaction.

        A job whose records exceed the limits is written alone.
        """
        if self._single_writes:
            return [self._single_writes.popleft()]
        batch: list[_Entry] = []
        count = size = 0
        for entry in self._queued.values():
            if entry.job_id in self._writing:
                continue
            count += len(entry.records)
            size += entry.size
            if batch and (count > MAX_RECORDS_PER_WRITE or size > MAX_BYTES_PER_WRITE):
                break
            batch.append(entry)
        for entry in batch:
            self._writing[entry.job_id] = self._queued.pop(entry.job_id)
        return batch

    async def _write(self, batch: Sequence[_Entry]) -> None:
        records = {key: value for entry in batch for key, value in entry.records.items()}
        began = self._context.clock.now()
        try:
            await self._journal.commit(records, MAX_BATCH_TRIES if len(batch) > 1 else math.inf)
            self._context.metrics.time("commit", self._context.clock.now() - began)
            self._complete(batch)
        except RetriesExhausted:
            self._single_writes += batch
            self._write_count -= 1
            self._start_writes()
        except LeadershipLost:
            self._on_failed("the store has another leader")
        except Exception:
            log.exception("commit failed", extra={"event": "commit_failed"})
            self._on_failed("a commit failed")

    def _complete(self, batch: Sequence[_Entry]) -> None:
        for entry in batch:
            for on_written in entry.callbacks:
                on_written()
            del self._writing[entry.job_id]
            entry.done.set()
        self._write_count -= 1
        self._start_writes()
