"""The jobs that the store has, as the leader of one term reads, keeps and forgets them.

A job of which something cannot be read is left as it is for the whole term: neither is it known
what of it is done, nor does a record that is repaired meanwhile tell what was done since.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable

from saddlestack.control import jobcodec, keys
from saddlestack.control.context import EntryContext
from saddlestack.control.invalidrecords import InvalidRecords
from saddlestack.control.journal import Journal
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.store import Item, StoreUnavailable
from saddlestack.policy.cluster.records import OccurrenceRecord
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.work import AcceptedJob

log = logging.getLogger("saddlestack.requests")

LOAD_RETRY_S = 0.2
FORGOTTEN_A_TICK = 5
MOST_FORGOTTEN = 5_000
"""Jobs whose removal is remembered, 0.5 MB: at 5 a tick of 0.5 s those of 500 s, longer than any
listing is under way."""


class StoredJobs:
    """Clients' requests and the progress of jobs, between the store and a board."""

    def __init__(
        self, context: EntryContext, cluster_state: ClusterState, journal: Journal
    ) -> None:
        self._context = context
        self._cluster_state = cluster_state
        self._journal = journal
        self._invalid_records = InvalidRecords(context.metrics, "job")
        self._records: dict[str, dict[int, OccurrenceRecord]] = {}
        self._left_alone: set[str] = set()
        self._revisions: dict[str, int] = {}
        self._forgotten: dict[str, int] = {}
        self._begun = False

    async def load(self) -> None:
        """Read the progress of all jobs, which earlier leaders have written."""
        while True:
            try:
                listing = await self._context.store.list(keys.PROGRESS)
                break
            except StoreUnavailable:
                await self._context.health.wait_for_recovery(LOAD_RETRY_S)
        for item in listing.items:
            self._journal.known(item)
            self._load(item)

    def _load(self, item: Item) -> None:
        name = item.key.removeprefix(keys.PROGRESS)
        try:
            job_id, number = keys.occurrence_of(item.key)
        except ValueError:
            self._invalid_records.report(item.key, "expected JOB.NUMBER")
            return
        try:
            self._records.setdefault(job_id, {})[number] = jobcodec.decode_occurrence(
                name, item.value
            )
        except SaddlestackError as error:
            self._invalid_records.report(item.key, str(error))
            self._left_alone.add(job_id)

    def begin(self) -> None:
        """All that was there is read: a job that comes from now on has no progress yet."""
        self._begun = True

    def take(self, items: Iterable[Item]) -> set[str]:
        """Take over requests that were written; the services whose workers they ask for."""
        cancelled: list[str] = []
        services: set[str] = set()
        for item in items:
            if not item.revision:
                continue
            job_id = keys.job_of(item.key)
            if job_id is not None:
                accepted = self._accept(job_id, item)
                if accepted is not None:
                    services.add(accepted.service)
                continue
            job_id = keys.cancelled_job_of(item.key)
            if job_id is not None:
                cancelled.append(job_id)
        for job_id in cancelled:
            self._cluster_state.cancel(job_id)
        return services

    def _accept(self, job_id: str, item: Item) -> AcceptedJob | None:
        if job_id in self._left_alone or item.revision <= self._forgotten.get(job_id, 0):
            return None
        records = {} if self._begun else self._records.get(job_id, {})
        try:
            accepted = jobcodec.decode_job(job_id, item.value)
            jobcodec.check_progress(accepted, records)
        except SaddlestackError as error:
            self._invalid_records.report(item.key, str(error))
            if job_id not in self._cluster_state.jobs:
                self._left_alone.add(job_id)
            return None
        self._cluster_state.add_job(accepted, records)
        self._revisions[job_id] = max(item.revision, self._revisions.get(job_id, 0))
        return accepted

    async def remove_expired(self) -> None:
        """Remove jobs from the store that nobody has to be told of any more."""
        retention_s = self._context.settings.timings.retention_s
        expired = self._cluster_state.expired_jobs(self._context.clock.now(), retention_s)
        for job in expired[:FORGOTTEN_A_TICK]:
            # The job goes first: without its progress it would run again under a new leader.
            job_keys = (keys.job_key(job.job_id), keys.cancel_key(job.job_id))
            records = [keys.progress_key(each.key) for each in job.occurrences]
            if not await self._journal.remove([*job_keys, *records]):
                return
            self._forget(job.job_id)
            log.info("forgotten", extra={"event": "forgotten", "job": job.job_id})

    def _forget(self, job_id: str) -> None:
        """A job has been removed; a listing that is under way may still hold it.

        Taken over after that, it would be a new job without progress, and run again whole.
        """
        self._cluster_state.remove_job(job_id)
        self._forgotten[job_id] = self._revisions.pop(job_id, 0)
        while len(self._forgotten) > MOST_FORGOTTEN:
            del self._forgotten[next(iter(self._forgotten))]

    async def remove_leftovers(self) -> None:
        """Remove progress of jobs that an earlier leader did not forget whole."""
        known = self._cluster_state.jobs.keys() | self._left_alone
        for job_id in [job_id for job_id in self._records if job_id not in known]:
            if job_id in self._cluster_state.jobs:
                continue  # handed in again meanwhile
            names = [keys.progress_key(f"{job_id}.{number}") for number in self._records[job_id]]
            if await self._journal.remove(names):
                log.info("forgotten", extra={"event": "forgotten", "job": job_id})
