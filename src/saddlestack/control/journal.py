"""Writes the leader's records, on condition that it still leads and that no record has changed."""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Mapping, Sequence

from saddlestack.control.context import EntryContext
from saddlestack.control.invalidrecords import InvalidRecords
from saddlestack.control.keys import LEADER
from saddlestack.interfaces.store import (
    Committed,
    Conflict,
    Item,
    LeaseExpired,
    Put,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)
from saddlestack.policy.retry import backoff_delay

log = logging.getLogger("saddlestack.journal")

MAX_RECORDS_PER_WRITE = 15
"""A transaction has at most 32 entries: the leadership condition, and two for each record."""
MAX_KEYS_PER_REMOVAL = 31
FIRST_RETRY_S = 0.03
LONGEST_RETRY_S = 0.5
MAX_DOUBLINGS = 4
MAX_TRY_S = 4.0
"""Each try waits twice as long for its answer as the one before, up to this. The first waits as
long as a heartbeat of the store may take..."""
LINK_BYTES_S = 1_000_000
"""...and each waits longer by the time its records take to send at 10 Mbit/s, the slowest link of a
VM, less the overhead of base64: a record of 10,000 tasks has 0.4 MB."""


class LeadershipLost(Exception):
    """Another leader has taken over, so that nothing more can be written."""


class RetriesExhausted(Exception):
    """A write was not answered within the allowed tries; it may still be applied."""


class Journal:
    """Writes the records of one term.

    A write that was not answered may still be applied while its conditions hold. It is repeated
    under the same conditions until one of the two is known to have been applied, so an older
    write can never follow a newer one.

    :param fence: revision of the leader key in this term.
    """

    def __init__(self, context: EntryContext, fence: int) -> None:
        self._context = context
        self._fence = fence
        self._revisions: dict[str, int] = {}
        self._invalid_records = InvalidRecords(context.metrics, "progress")

    def note_revision(self, item: Item) -> None:
        """Keep the revision of a record that was read, since the next write of it expects it."""
        self._revisions[item.key] = item.revision

    async def commit(self, records: Mapping[str, bytes], tries: float = math.inf) -> None:
        """Write records, by key; returns when all are in the store.

        After :exc:`RetriesExhausted` the records may be committed again, together or in parts: of
        two writes that expect the same revisions the store applies at most one.

        :param tries: how often each transaction is tried.
        :raises LeadershipLost: another leader has taken over.
        :raises RetriesExhausted: none of the tries was answered.
        """
        keys = list(records)
        for start in range(0, len(keys), MAX_RECORDS_PER_WRITE):
            part = {key: records[key] for key in keys[start : start + MAX_RECORDS_PER_WRITE]}
            await self._write(part, tries)

    async def remove(self, names: Sequence[str]) -> bool:
        """Remove keys; ``False`` if that failed and has to be tried again later."""
        guard = ((LEADER, self._fence),)
        for start in range(0, len(names), MAX_KEYS_PER_REMOVAL):
            part = tuple(names[start : start + MAX_KEYS_PER_REMOVAL])
            try:
                outcome = await self._context.store.transact(Transaction(guard, deletes=part))
            except (StoreUnavailable, WriteInDoubt, LeaseExpired):
                return False
            if isinstance(outcome, Conflict):
                return False
            for key in part:
                self._revisions.pop(key, None)
        return True

    async def _write(self, records: Mapping[str, bytes], tries: float) -> None:
        transaction = self._transaction(records)
        sending_s = sum(len(value) for value in records.values()) / LINK_BYTES_S
        failures = 0
        while True:
            try:
                async with asyncio.timeout(self._try_timeout_s(failures) + sending_s):
                    outcome = await self._context.store.transact(transaction)
            except LeaseExpired as error:
                raise LeadershipLost from error
            except (StoreUnavailable, WriteInDoubt, TimeoutError) as error:
                failures += 1
                if failures == 1:
                    log.warning(
                        "write to the store was not answered",
                        extra={"event": "journal_waits", "reason": type(error).__name__},
                    )
                if failures >= tries:
                    raise RetriesExhausted from error
                await self._context.health.wait_for_recovery(
                    backoff_delay(failures, FIRST_RETRY_S, LONGEST_RETRY_S, self._context.rng)
                )
                continue
            if isinstance(outcome, Committed):
                for key in records:
                    self._revisions[key] = outcome.revision
                return
            if self._resolve_conflict(outcome, records):
                return
            transaction = self._transaction(records)

    def _try_timeout_s(self, failures: int) -> float:
        """Timeout of a try, to which the time for sending its records is added.

        Starts at the time after which a heartbeat of the store is overdue, and doubles with each
        of the first :data:`MAX_DOUBLINGS` failures, up to :data:`MAX_TRY_S`.
        """
        doubled = self._context.health.overdue_after_s * float(2 ** min(failures, MAX_DOUBLINGS))
        return min(MAX_TRY_S, doubled)

    def _transaction(self, records: Mapping[str, bytes]) -> Transaction:
        guard = ((LEADER, self._fence),)
        expected = tuple((key, self._revisions.get(key, 0)) for key in records)
        puts = tuple(Put(key, value) for key, value in records.items())
        return Transaction(expect=guard + expected, puts=puts)

    def _resolve_conflict(self, conflict: Conflict, records: Mapping[str, bytes]) -> bool:
        """Whether a conflict means that an earlier try of the same write was applied.

        Otherwise another writer, which does not lead, has changed a record. Only the leader knows
        its true content, so the record is overwritten at its present revision; no earlier try can
        be applied any more, since it expects the former revision.

        :raises LeadershipLost: another VM leads.
        """
        present = {item.key: item for item in conflict.items}
        leader = present.get(LEADER)
        if leader is None or leader.revision != self._fence:
            raise LeadershipLost
        is_done = True
        for key, value in records.items():
            item = present.get(key, Item(key, b"", 0))
            self._revisions[key] = item.revision
            if not item.revision or item.value != value:
                is_done = False
                self._invalid_records.report(key, "changed by another writer")
        return is_done
