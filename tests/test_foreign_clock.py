"""A worker's record, changed by another writer, contains a clock that is far ahead.

Guards against two concurrent runs of a task, both ordered by one leader, none of them stopped. All
fields of the record were valid, but the worker's clock was an hour ahead. A start was carried out
some seconds late, and its answer was lost. Its deadline was an hour ahead as well, so the worker
limited the lease to the longest one from then on, while the leader counted the longest lease from
when the order was sent. The cause was a deadline computed from the clock in the record. The test
passes if the record is correct.
"""

from __future__ import annotations

import asyncio
import unittest

import msgspec

from saddlestack.standins.loop import run
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import JobState

FIRST = "00000000000000aa"
SECOND = "00000000000000bb"
HOUR_MS = 3_600_000


class ForeignClockTest(unittest.TestCase):
    def test_a_clock_that_is_ahead_in_the_record_lengthens_no_lease(self) -> None:
        self.assertEqual(self.violations(ahead_ms=HOUR_MS), [])

    def test_nothing_runs_twice_where_the_record_is_correct(self) -> None:
        self.assertEqual(self.violations(ahead_ms=0), [])

    def violations(self, *, ahead_ms: int) -> list[str]:
        """Returns violations when a start is late on a worker whose record was changed."""
        cluster = PoolCluster(entries=2, racks=1, workers=1)

        async def main() -> None:
            await cluster.start()
            await cluster.submit(FIRST, job(1, work_s=0.5))
            await cluster.until_state(FIRST, JobState.COMPLETED)
            worker = next(iter(cluster.worker_pool.workers.values()))
            key = f"servers/{worker.worker_id}"
            record = msgspec.json.decode(cluster.store.item(key).value)
            changed = record | {"clock-ms": cluster.worker_pool.clock_ms(worker) + ahead_ms}
            cluster.store.put(key, msgspec.json.encode(changed))
            await asyncio.sleep(2.0)
            worker.late_orders, worker.late_s = 1, 8.0
            await cluster.submit(SECOND, job(1, work_s=90.0))
            await cluster.until(lambda: not worker.late_orders)
            worker.unreachable = True
            cluster.worker_pool.add(worker.rack, worker.data_hall)
            await asyncio.sleep(25.0)
            self.assertEqual(cluster.worker_pool.starts_of(SECOND), 2)
            await cluster.stop()

        run(main())
        return cluster.worker_pool.violations


if __name__ == "__main__":
    unittest.main()
