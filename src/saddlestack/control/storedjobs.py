"""Loads jobs from the store, applies new requests and removes expired jobs, for one term.

A job with an unreadable record is not touched for the whole term: it is unknown what is already
done, and a record that is repaired meanwhile does not say what was done since.
"""

from __future__ import annotations

import logging
from collections.abc import Sequence

from saddlestack.control import jobcodec, keys
from saddlestack.control.context import EntryContext
from saddlestack.control.invalidrecords import InvalidRecords
from saddlestack.control.journal import Journal
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.store import Item, StoreUnavailable
from saddlestack.kernel.turns import Turns
from saddlestack.policy.cluster.records import OccurrenceRecord
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.work import AcceptedJob

log = logging.getLogger("saddlestack.requests")

LOAD_RETRY_DELAY_S = 0.2
TASKS_PER_TURN = 500
"""Tasks that are read or added in one turn of the event loop. A pool may have 120,000 of them, and
adding all of those takes longer than the leader's lease lasts."""
MAX_REMOVALS_PER_TICK = 5
MAX_REMOVED_JOBS = 5_000
"""Removed jobs that are remembered, in 0.5 MB. At 5 removals per tick of 0.5 s these are the
removals of 500 s, which is longer than any listing takes."""


class StoredJobs:
    """Keeps the jobs of a scheduler in step with the requests and the progress in the store."""

    def __init__(
        self, context: EntryContext, cluster_state: ClusterState, journal: Journal
    ) -> None:
        self._context = context
        self._cluster_state = cluster_state
        self._journal = journal
        self._invalid_records = InvalidRecords(context.metrics, "job")
        self._records: dict[str, dict[int, OccurrenceRecord]] = {}
        self._unreadable_jobs: set[str] = set()
        self._revisions: dict[str, int] = {}
        self._removed_revisions: dict[str, int] = {}
        self._is_loaded = False

    async def load(self) -> None:
        """Read the progress that earlier leaders have written; retries until the store answers."""
        while True:
            try:
                listing = await self._context.store.list(keys.PROGRESS)
                break
            except StoreUnavailable:
                await self._context.health.wait_for_recovery(LOAD_RETRY_DELAY_S)
        turns = Turns(TASKS_PER_TURN)
        for item in listing.items:
            self._journal.note_revision(item)
            await turns.spend(self._load(item))

    def _load(self, item: Item) -> int:
        """Load one record; returns the number of tasks in it, or 1 if it has none."""
        name = item.key.removeprefix(keys.PROGRESS)
        try:
            job_id, number = keys.occurrence_of(item.key)
        except ValueError:
            self._invalid_records.report(item.key, "expected JOB.NUMBER")
            return 1
        try:
            record = jobcodec.decode_occurrence(name, item.value)
        except SaddlestackError as error:
            self._invalid_records.report(item.key, str(error))
            self._unreadable_jobs.add(job_id)
            return 1
        self._records.setdefault(job_id, {})[number] = record
        return max(1, sum(len(step.tasks) for step in record.steps))

    def finish_loading(self) -> None:
        """Note that everything has been read: a job that is applied after this has no progress."""
        self._is_loaded = True

    async def apply(self, items: Sequence[Item]) -> set[str]:
        """Apply requests that were written; returns the services of the accepted jobs.

        Many of them take several turns of the event loop. A job that is already cancelled is
        cancelled in the turn in which it is added, so that nothing of it starts in between.
        """
        written = [item for item in items if item.revision]
        cancelled = set(filter(None, (keys.cancelled_job_of(item.key) for item in written)))
        services: set[str] = set()
        turns = Turns(TASKS_PER_TURN)
        for item in written:
            job_id = keys.job_of(item.key)
            if job_id is None:
                continue
            accepted = await self._accept(job_id, item, turns)
            if job_id in cancelled:
                self._cluster_state.cancel(job_id)
            if accepted is not None:
                services.add(accepted.service)
                await turns.spend(sum(step.count for step in accepted.request.steps))
        for job_id in cancelled:
            self._cluster_state.cancel(job_id)
            await turns.spend()
        return services

    async def _accept(self, job_id: str, item: Item, turns: Turns) -> AcceptedJob | None:
        """Add a job, in several turns if it has much progress; ``None`` if it is not used."""
        if job_id in self._unreadable_jobs or item.revision <= self._removed_revisions.get(
            job_id, 0
        ):
            return None
        records = {} if self._is_loaded else self._records.get(job_id, {})
        try:
            accepted = jobcodec.decode_job(job_id, item.value)
            jobcodec.check_progress(accepted, records)
        except SaddlestackError as error:
            self._invalid_records.report(item.key, str(error))
            if job_id not in self._cluster_state.jobs:
                self._unreadable_jobs.add(job_id)
            return None
        await turns.spend(len(records))
        for tasks in self._cluster_state.add_job_in_parts(accepted, records):
            await turns.spend(tasks)
        self._revisions[job_id] = max(item.revision, self._revisions.get(job_id, 0))
        return accepted

    async def remove_expired(self) -> None:
        """Remove jobs from the store that ended longer ago than the retention time."""
        retention_s = self._context.settings.timings.retention_s
        expired = self._cluster_state.expired_jobs(self._context.clock.now(), retention_s)
        for job in expired[:MAX_REMOVALS_PER_TICK]:
            # The job is removed first: without its progress a new leader would run it again.
            job_keys = (keys.job_key(job.job_id), keys.cancel_key(job.job_id))
            occurrences = (f"{job.job_id}.{number}" for number in range(job.opened_count))
            if not await self._journal.remove([*job_keys, *map(keys.progress_key, occurrences)]):
                return
            self._mark_removed(job.job_id)
            log.info("job removed", extra={"event": "forgotten", "job": job.job_id})

    def _mark_removed(self, job_id: str) -> None:
        """Remember that a job has been removed, since a listing in flight may still contain it.

        Applied again, it would be a new job without progress, and all of it would run again.
        """
        self._cluster_state.remove_job(job_id)
        self._removed_revisions[job_id] = self._revisions.pop(job_id, 0)
        while len(self._removed_revisions) > MAX_REMOVED_JOBS:
            del self._removed_revisions[next(iter(self._removed_revisions))]

    async def remove_leftovers(self) -> None:
        """Remove the progress of jobs that an earlier leader has removed only in part."""
        known = self._cluster_state.jobs.keys() | self._unreadable_jobs
        for job_id in [job_id for job_id in self._records if job_id not in known]:
            if job_id in self._cluster_state.jobs:
                continue  # submitted again meanwhile
            names = [keys.progress_key(f"{job_id}.{number}") for number in self._records[job_id]]
            if await self._journal.remove(names):
                log.info("progress removed", extra={"event": "forgotten", "job": job_id})
