"""The ledger of a cell: job records in the store, in buckets, under the cell's term.

Every bucket value carries the term of its writer. A new scheduler rewrites all buckets under
its own term before it makes any decision, so that a predecessor's compare-and-swap fails. Final
records are kept as tombstones for the retention time, so that a repeated request receives the
first answer.
"""

from __future__ import annotations

import asyncio
import hashlib
import random

from saddlestack.codec import from_json, to_json
from saddlestack.models import Answer, JobSpec, JobState, JobView, Model, MutableModel, Part
from saddlestack.platform.store import MAX_VALUE, StoreClient
from saddlestack.services.groupcommit import Fenced, GroupCommit, WriterStamp

BUCKETS = 4
FULL_BYTES = int(MAX_VALUE * 0.8)
AVERAGE_RECORD_BYTES = 600


class JobRecord(MutableModel):
    """A job in the ledger.

    :param incarnations: incarnations of the endpoints of ``parts`` when the start was written;
        proof that an endpoint never started a part is valid only for the same incarnation.
    :param submitted: wall time in seconds, as are ``started`` and ``finished``.
    :param progress: seconds of work done before the current attempt.
    :param ever_started: whether any part of any attempt may have run.
    """

    spec: JobSpec
    cell: str
    state: JobState = JobState.QUEUED
    attempt: int = 0
    parts: tuple[Part, ...] = ()
    incarnations: tuple[int, ...] = ()
    submitted: float = 0.0
    started: float | None = None
    finished: float | None = None
    progress: float = 0.0
    ever_started: bool = False
    error: str | None = None
    message: str | None = None
    answer: Answer | None = None

    def view(self, durable: bool) -> JobView:
        """The job as reported to callers."""
        return JobView(
            account=self.spec.account,
            request=self.spec.request,
            state=self.state,
            job_class=self.spec.job_class,
            accelerators=self.spec.accelerators,
            attempt=self.attempt,
            durable=durable,
            cell=self.cell,
            parts=self.parts,
            submitted=self.submitted,
            started=self.started,
            finished=self.finished,
            error=self.error,
            message=self.message,
            answer=self.answer,
        )


class BucketValue(Model, frozen=True):
    """The stored form of a bucket."""

    cell: str
    term: int
    writer: str
    sequence: int
    jobs: dict[str, JobRecord]


def bucket_of(job_id: str, buckets: int) -> int:
    """The bucket number of a job, by a hash of its id.

    :rtype: int
    """
    digest = hashlib.blake2b(job_id.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") % buckets


class _Bucket:
    """The records of one bucket and the group commit that writes them."""

    def __init__(self, ledger: Ledger, number: int) -> None:
        self.jobs: dict[str, JobRecord] = {}
        self._ledger = ledger
        self.commit = GroupCommit(
            ledger.store,
            f"ledger/{ledger.cell}/{number}",
            ledger.writer,
            ledger.rng,
            build=self._build,
            merge=self._merge,
            read_stamp=self._read_stamp,
        )

    def _build(self, sequence: int) -> bytes:
        value = BucketValue(
            cell=self._ledger.cell,
            term=self._ledger.term,
            writer=self._ledger.writer,
            sequence=sequence,
            jobs=self.jobs,
        )
        return to_json(value)

    def _merge(self, value: bytes) -> None:
        other = from_json(value, BucketValue)
        if other.term > self._ledger.term:
            raise Fenced(f"term {other.term} has written {self.commit.key}")

    def _read_stamp(self, value: bytes) -> WriterStamp:
        other = from_json(value, BucketValue)
        return WriterStamp(other.writer, other.sequence)


class Ledger:
    """Job records of one cell, written under one term.

    :param writer: identifies the VM, its incarnation and the term.
    :param retention_s: seconds for which final records are kept.
    """

    def __init__(
        self,
        store: StoreClient,
        cell: str,
        term: int,
        writer: str,
        rng: random.Random,
        retention_s: float,
    ) -> None:
        self.store = store
        self.cell = cell
        self.term = term
        self.writer = writer
        self.rng = rng
        self._retention_s = retention_s
        self._buckets = [_Bucket(self, number) for number in range(BUCKETS)]

    async def open(self) -> dict[str, JobRecord]:
        """Read every bucket and rewrite it under this term.

        :return: all records.
        :raises Fenced: a higher term has written.
        :raises StoreUnavailable: the store did not answer.
        """
        entries = {entry.key: entry for entry in await self.store.range(f"ledger/{self.cell}/")}
        records: dict[str, JobRecord] = {}
        for bucket in self._buckets:
            entry = entries.get(bucket.commit.key)
            if entry is not None:
                value = from_json(entry.value, BucketValue)
                if value.term > self.term:
                    raise Fenced(f"term {value.term} has written {entry.key}")
                bucket.jobs = value.jobs
                bucket.commit.loaded(entry)
            records.update(bucket.jobs)
        await asyncio.gather(*(bucket.commit.commit() for bucket in self._buckets))
        return records

    def put(self, record: JobRecord) -> asyncio.Future[None]:
        """Add or update a record.

        :return: done when it is in the store; fails with :class:`Fenced`.
        """
        bucket = self._bucket(record.spec.job_id)
        bucket.jobs[record.spec.job_id] = record
        return bucket.commit.commit()

    def drop(self, job_id: str) -> None:
        """Remove a record; the bucket's next write removes it from the store."""
        self._bucket(job_id).jobs.pop(job_id, None)

    def full(self, job_id: str) -> bool:
        """Whether the job's bucket is too large to accept another record."""
        return len(self._bucket(job_id).jobs) * AVERAGE_RECORD_BYTES > FULL_BYTES

    def pending(self) -> bool:
        """Whether any change is not yet known to be in the store."""
        return any(bucket.commit.pending for bucket in self._buckets)

    def prune(self, wall: float) -> list[str]:
        """Remove final records older than the retention time.

        :param wall: the wall time now.
        :return: the ids of the removed jobs.
        """
        old = [
            job_id
            for bucket in self._buckets
            for job_id, record in bucket.jobs.items()
            if record.state.final and wall - (record.finished or wall) > self._retention_s
        ]
        for job_id in old:
            self.drop(job_id)
        return old

    async def close(self) -> None:
        """Stop writing."""
        for bucket in self._buckets:
            await bucket.commit.close()

    def _bucket(self, job_id: str) -> _Bucket:
        return self._buckets[bucket_of(job_id, BUCKETS)]
