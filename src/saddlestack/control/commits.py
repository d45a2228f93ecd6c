"""Writes what a scheduler decides: several transactions at a time, a job's own one after the other.

A store that is slow, or that loses an answer, holds up the jobs of that transaction alone; what is
decided meanwhile for one of them waits behind it, and nobody waits for that.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from saddlestack.control.context import EntryContext
from saddlestack.control.journal import RECORDS_A_WRITE, Displaced, Journal
from saddlestack.kernel.service import TaskGroup

log = logging.getLogger("saddlestack.commits")

WRITES_AT_ONCE = 8
"""A store that answers in 0.3 s takes some 25 transactions a second this way; more wait together.
"""

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

    def add(self, decided: JobRecords) -> None:
        """Have more written with it."""
        self.records.update(decided.records)
        self.follows.append(decided.then)


class Commits:
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
        while self._writes < WRITES_AT_ONCE:
            batch = self._next_batch()
            if not batch:
                return
            for entry in batch:
                self._writing[entry.job_id] = self._waiting.pop(entry.job_id)
            self._writes += 1
            self._tasks.spawn(self._write(batch))

    def _next_batch(self) -> list[_Entry]:
        """The jobs that have waited longest, as many as fit into one transaction.

        One that has more records than that is written alone.
        """
        batch: list[_Entry] = []
        size = 0
        for entry in self._waiting.values():
            if entry.job_id in self._writing:
                continue
            size += len(entry.records)
            if batch and size > RECORDS_A_WRITE:
                break
            batch.append(entry)
        return batch

    async def _write(self, batch: Sequence[_Entry]) -> None:
        records = {key: value for entry in batch for key, value in entry.records.items()}
        began = self._context.clock.now()
        try:
            await self._journal.commit(records)
            self._context.metrics.time("commit", self._context.clock.now() - began)
            self._finish(batch)
        except Displaced:
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
