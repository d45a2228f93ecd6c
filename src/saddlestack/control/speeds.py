"""Keeps the speeds of workers in the store for the next leader, and reports them.

The data is advisory: a write that is not answered is abandoned, and a record that cannot be read is
skipped. Its workers then count as unknown.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable, Sequence

from saddlestack.control import keys, speedcodec
from saddlestack.control.context import EntryContext
from saddlestack.control.invalidrecords import InvalidRecords
from saddlestack.control.speedlog import WINDOW_S, SpeedLog
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.store import (
    Conflict,
    Item,
    LeaseExpired,
    Put,
    StoreUnavailable,
    Transaction,
    WriteInDoubt,
)
from saddlestack.policy.cluster.speed_records import SpeedRow
from saddlestack.policy.cluster.speeds import SpeedTracker
from saddlestack.services.metrics import Metrics

log = logging.getLogger("saddlestack.speeds")

MAX_PARTITIONS_PER_WRITE = 15
"""Partitions in a transaction, which has at most 32 entries and 0.3 MB over a slow link."""
READ_RETRY_S = 0.2
WRITE_TIMEOUT_S = 2.0
"""How long a write may take before it is abandoned, longer than a call of the store."""


def register_gauges(
    metrics: Metrics, known: Callable[[], int] = lambda: 0, slow: Callable[[], int] = lambda: 0
) -> None:
    """Register the gauges; without arguments they read 0, as on a VM that does not lead."""
    metrics.gauge("workers_speed_known", known)
    metrics.gauge("workers_slow", slow)


class SpeedStore:
    """Reads the speeds that earlier leaders have written, and writes those that change.

    :param fence: revision of the leader key in this term.
    :param interval_s: minimum time between two writes.
    :param on_inherited: called when speeds were taken over.
    """

    def __init__(
        self,
        context: EntryContext,
        tracker: SpeedTracker,
        fence: int,
        interval_s: float,
        on_inherited: Callable[[], None],
    ) -> None:
        self._context = context
        self._clock = context.clock
        self._tracker = tracker
        self._guard = ((keys.LEADER, fence),)
        self._interval_s = interval_s
        self._on_inherited = on_inherited
        self._invalid_records = InvalidRecords(context.metrics, "speeds")
        self._log = SpeedLog()
        self._count = 1
        self._changed: set[int] = set()
        self._stored: set[int] = set()

    def start(self) -> None:
        """Register gauges and counters."""
        register_gauges(
            self._context.metrics,
            lambda: self._tracker.known_workers,
            lambda: self._tracker.slow_workers,
        )
        for counter in ("speed_writes", "speed_writes_lost"):
            self._context.metrics.count(counter, 0)

    def close(self) -> None:
        """Reset the gauges, since the term is over."""
        register_gauges(self._context.metrics)

    async def load(self) -> None:
        """Take over what earlier leaders have written; retries until the store answers."""
        while True:
            try:
                listing = await self._context.store.list(keys.SPEEDS)
                break
            except StoreUnavailable:
                await self._context.health.wait_for_recovery(READ_RETRY_S)
        rows = [row for item in listing.items for row in self._decode(item)]
        count = self._tracker.inherit(_newest(rows), self._clock.now())
        if self._stored:
            self._count = 1 << max(self._stored).bit_length()
        if not count:
            return
        log.info(
            "speeds of workers taken over", extra={"event": "speeds_inherited", "workers": count}
        )
        self._on_inherited()

    def _decode(self, item: Item) -> list[SpeedRow]:
        partition = keys.speeds_partition_of(item.key)
        if partition is not None:
            self._stored.add(partition)
        try:
            wall_ms = self._clock.wall() * speedcodec.MS_PER_S
            return speedcodec.decode(item, wall_ms, self._tracker.half_life_s)
        except SaddlestackError as error:
            self._invalid_records.report(item.key, str(error))
            return []

    def take_changes(self) -> None:
        """Log the changes of level, and note which partitions have to be written."""
        changes = self._tracker.take_changed()
        if not changes:
            return
        self._log.log_changes(changes, self._clock.now())
        for change in changes:
            if change.machine:
                self._changed.add(speedcodec.partition_of(change.machine, self._count))

    async def run(self) -> None:
        """Write changed partitions until cancelled, or until another VM leads."""
        next_write_s = self._clock.now() + self._interval_s
        while True:
            await asyncio.sleep(min(WINDOW_S, max(0.0, next_write_s - self._clock.now())))
            self._log.flush(self._clock.now())
            if self._clock.now() < next_write_s:
                continue
            next_write_s = self._clock.now() + self._interval_s
            if not await self._write_some():
                return

    async def _write_some(self) -> bool:
        """Write some of the changed partitions, or else remove unused ones.

        :return: whether this VM still leads, as far as is known.
        """
        self._repartition()
        chosen = sorted(self._changed)[:MAX_PARTITIONS_PER_WRITE]
        unused: list[int] = []
        if not chosen:
            unused = sorted(each for each in self._stored if each >= self._count)
            unused = unused[:MAX_PARTITIONS_PER_WRITE]
        if not chosen and not unused:
            return True
        self._changed.difference_update(chosen)
        transaction = Transaction(
            expect=self._guard,
            puts=self._puts(chosen),
            deletes=tuple(keys.speeds_key(each) for each in unused),
        )
        return await self._transact(transaction, chosen, unused)

    def _repartition(self) -> None:
        """Write everything anew where the number of machines calls for another partitioning.

        Partitions that are no longer used are removed after that, so that nothing is lost between.
        """
        count = speedcodec.partition_count(self._tracker.machine_count)
        if count == self._count:
            return
        self._count = count
        if self._changed or self._stored:
            self._changed = set(range(count))

    def _puts(self, chosen: Sequence[int]) -> tuple[Put, ...]:
        rows: dict[int, list[SpeedRow]] = {partition: [] for partition in chosen}
        if not rows:
            return ()
        now = self._clock.now()
        for row in self._tracker.snapshot(
            now, lambda machine: speedcodec.partition_of(machine, self._count) in rows
        ):
            rows[speedcodec.partition_of(row.machine, self._count)].append(row)
        saved_ms = self._clock.wall() * speedcodec.MS_PER_S
        return tuple(
            Put(keys.speeds_key(partition), speedcodec.encode(found, saved_ms))
            for partition, found in rows.items()
        )

    async def _transact(
        self, transaction: Transaction, written: Sequence[int], removed: Sequence[int]
    ) -> bool:
        """Send a write; if it is not answered, its partitions go with the next one."""
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                outcome = await self._context.store.transact(transaction)
        except (StoreUnavailable, WriteInDoubt, LeaseExpired, TimeoutError):
            self._context.metrics.count("speed_writes_lost")
            self._changed.update(each for each in written if each < self._count)
            self._stored.update(written)
            return True
        if isinstance(outcome, Conflict):
            return False
        self._context.metrics.count("speed_writes")
        self._stored.update(written)
        self._stored.difference_update(removed)
        return True


def _newest(rows: Sequence[SpeedRow]) -> list[SpeedRow]:
    """The newest row of each machine: while partitions change, a machine may be in two of them."""
    found: dict[str, SpeedRow] = {}
    for row in rows:
        other = found.get(row.machine)
        if other is None or row.age_s < other.age_s:
            found[row.machine] = row
    return list(found.values())
