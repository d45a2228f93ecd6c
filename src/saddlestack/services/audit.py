"""The audit trail: every change and refusal, with author and time, in the platform's store.

Accepted changes are also part of the configuration's own history. It is written by the same
compare-and-swap, so that no change lacks its record. Records are appended to pages of bounded
size by group commit.
"""

from __future__ import annotations

import logging

from saddlestack.codec import from_json, to_json
from saddlestack.kernel.service import Service
from saddlestack.models import AuditRecord, Document, Model
from saddlestack.platform.store import StoreClient
from saddlestack.services import names
from saddlestack.services.context import Context
from saddlestack.services.groupcommit import GroupCommit, WriterStamp

log = logging.getLogger("saddlestack.audit")

PAGES = 8
PAGE_RECORDS = 1000


class AuditPage(Model, frozen=True):
    """The stored form of one page."""

    writer: str
    sequence: int
    records: tuple[AuditRecord, ...]


class Audit(Service):
    """Appends records, and reads them together with the configuration's history."""

    def __init__(self, context: Context) -> None:
        super().__init__(names.AUDIT, context.clock)
        self._store = context.registry.get(names.STORE, StoreClient)
        self._writer = f"{context.vm}#{context.incarnation}"
        self._records: dict[str, AuditRecord] = {}
        self._stored_records: dict[str, AuditRecord] = {}
        self._commit = GroupCommit(
            self._store,
            f"audit/{self._page(context.vm)}",
            self._writer,
            context.rng,
            build=self._build,
            merge=self._merge,
            read_stamp=self._read_stamp,
            committed=self._committed,
        )

    async def stop(self) -> None:
        """Stop; records that are not yet written are dropped."""
        await self._commit.close()
        await super().stop()

    def add(self, record: AuditRecord) -> None:
        """Log a record and schedule it to be written."""
        log.info(
            "audit",
            extra={
                "event": "audit",
                "who": record.who,
                "plan": record.plan,
                "outcome": record.outcome,
                "revision": record.revision,
            },
        )
        self._records[record.record] = record
        self._commit.commit()

    async def read(self, document: Document, limit: int) -> tuple[AuditRecord, ...]:
        """The latest records, newest first.

        :raises StoreUnavailable: the store did not answer.
        """
        found = {record.record: record for record in document.history}
        for entry in await self._store.range("audit/"):
            for record in from_json(entry.value, AuditPage).records:
                found[record.record] = record
        found.update(self._records)
        ordered = sorted(found.values(), key=lambda record: -record.at)
        return tuple(ordered[:limit])

    def _page(self, vm: str) -> int:
        return sum(vm.encode()) % PAGES

    def _build(self, sequence: int) -> bytes:
        merged = {**self._stored_records, **self._records}
        latest = sorted(merged.values(), key=lambda record: record.at)[-PAGE_RECORDS:]
        self._stored_records = {record.record: record for record in latest}
        return to_json(AuditPage(writer=self._writer, sequence=sequence, records=tuple(latest)))

    def _merge(self, value: bytes) -> None:
        page = from_json(value, AuditPage)
        self._stored_records = {record.record: record for record in page.records}

    def _committed(self) -> None:
        for record in self._stored_records:
            self._records.pop(record, None)

    def _read_stamp(self, value: bytes) -> WriterStamp:
        page = from_json(value, AuditPage)
        return WriterStamp(page.writer, page.sequence)
