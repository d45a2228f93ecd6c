"""Writes what a scheduler decides: several transactions at a time, a job's own one after the other.

A store that is slow, or that loses an answer, holds up the jobs of that transaction alone; what is
decided meanwhile for one of them waits behind it, and nobody waits for that.
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
"""A store that answers in 0.3 s takes some 25 transactions a second this way; more wait together.
"""

BYTES_A_WRITE = 300_000
"""Records of several jobs share a transaction up to this size, 0.3 s at 10 Mbit/s."""
TRIES_TOGETHER = 2
"""A transaction of several jobs that was not answered so often is given up, and each job written on
its own: one of their records may be such that it is never answered."""

Then = Callable[[], None]
"""What follows once records are in the store."""


@dataclass(frozen=True, slots=True)
class JobRecords:
    """What was decided for one job at once.

    :param records: of its occurrences, by key; none where something is to follow alone.
    :param then: called when the records, and all earlier ones of the job, are in the store.
    """

    job_id: str
    records: Mapping[str, bytes]
    then: Then


@dataclass(slots=True, eq=False)
class _Entry:
    """What is to be written of one job together: of each record the latest alone."""

    job_id: str
    records: dict[str, bytes] = field(default_factory=dict)
    follows: list[Then] = field(default_factory=list)
    done: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def size(self) -> int:
        """Bytes of its records."""
        return sum(len(value) for value in self.records.values())

    def add(self, decided: JobRecords) -> None:
        """Have more written with it."""
        self.records.update(decided.records)
        self.follows.append(decided.then)


class CommitQueue:
    """The records of one term on their way to the store.

    A job's records are written in the order in which they were decided: while some are under way,
    later ones wait, each in place of the one before it under its key. So the store never holds an
    older state of a job over a newer one, and nothing follows before what it follows from is there.

    :param on_failed: called with a reason when nothing more can be written.
    """

    def __init__(
        self, context: EntryContext, journal: Journal, on_failed: Callable[[str], None]
    ) -> None:
        self._context = context
        self._journal = journal
        self._on_failed = on_failed
        self._tasks = TaskGroup("commits")
        self._waiting: dict[str, _Entry] = {}
        self._writing: dict[str, _Entry] = {}
        self._alone: deque[_Entry] = deque()
        self._writes = 0
        self._taken = 0
        self._advanced = asyncio.Event()

    def put(self, mark: int, decided: Iterable[JobRecords]) -> None:
        """Have records written; returns at once.

        :param mark: what was known when they were decided; rises.
        """
        for each in decided:
            self._queue(each)
        self._taken = mark
        self._advanced.set()
        self._advanced = asyncio.Event()
        self._write_more()

    async def written(self, mark: int, jobs: Iterable[str]) -> None:
        """Wait until the store has all that was known of some jobs up to a mark."""
        while self._taken < mark:
            await self._advanced.wait()
        for entry in [entry for job_id in jobs for entry in self._entries(job_id)]:
            await entry.done.wait()

    async def stop(self) -> None:
        """Give up what is under way."""
        await self._tasks.cancel()

    def _queue(self, decided: JobRecords) -> None:
        job_id = decided.job_id
        entry = self._waiting.get(job_id)
        if entry is None:
            if not decided.records and job_id not in self._writing:
                decided.then()
                return
            entry = self._waiting[job_id] = _Entry(job_id)
        entry.add(decided)

    def _entries(self, job_id: str) -> list[_Entry]:
        """What of a job is not in the store yet."""
        found = (self._writing.get(job_id), self._waiting.get(job_id))
        return [entry for entry in found if entry is not None]

    def _write_more(self) -> None:
        """Begin as many transactions as may be under way."""
        while self._writes < MAX_CONCURRENT_WRITES:
            batch = self._next_batch()
            if not batch:
                return
            self._writes += 1
            self._tasks.spawn(self._write(batch))

    def _next_batch(self) -> list[_Entry]:
        """The jobs that have waited longest, as many as fit into one transaction.

        One that has more records than that, or larger ones, is written alone.
        """
        if self._alone:
            return [self._alone.popleft()]
        batch: list[_Entry] = []
        count = size = 0
        for entry in self._waiting.values():
            if entry.job_id in self._writing:
                continue
            count += len(entry.records)
            size += entry.size
            if batch and (count > MAX_RECORDS_PER_WRITE or size > BYTES_A_WRITE):
                break
            batch.append(entry)
        for entry in batch:
            self._writing[entry.job_id] = self._waiting.pop(entry.job_id)
        return batch

    async def _write(self, batch: Sequence[_Entry]) -> None:
        records = {key: value for entry in batch for key, value in entry.records.items()}
        began = self._context.clock.now()
        try:
            await self._journal.commit(records, TRIES_TOGETHER if len(batch) > 1 else math.inf)
            self._context.metrics.time("commit", self._context.clock.now() - began)
            self._finish(batch)
        except RetriesExhausted:
            self._alone += batch
            self._writes -= 1
            self._write_more()
        except LeadershipLost:
            self._on_failed("the store has another leader")
        except Exception:
            log.exception("commit failed", extra={"event": "commit_failed"})
            self._on_failed("a commit failed")

    def _finish(self, batch: Sequence[_Entry]) -> None:
        for entry in batch:
            for then in entry.follows:
                then()
            del self._writing[entry.job_id]
            entry.done.set()
        self._writes -= 1
        self._write_more()
