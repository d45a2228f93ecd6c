"""A worker's record, changed by another writer, contains the address of another incarnation.

Guards against tasks of one worker that are started a second time elsewhere, without a stop, while
their first runs go on and end normally. It happened when all fields of a record were valid, but the
address was that of another worker. The first session that was opened after that, here by the next
term, connected to that address, where another incarnation answered. This answer was taken as proof
that the worker was over, although it had never been reached at that address. The log shows it
(``run_over`` with ``replaced`` at that address), and the test passes if the record keeps its
address.
"""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass

import msgspec

from saddlestack.interfaces.workers import WorkerOrders, WorkerRecord, WorkerReplaced
from saddlestack.standins.loop import run
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.orders import PoolWorkerOrders
from saddlestack.standins.pool.workers import PoolWorker

JOB = "00000000000000aa"


@dataclass(slots=True)
class AddressedOrders(PoolWorkerOrders):
    """Orders to the address in a record, whichever incarnation is there."""

    address: str = ""

    async def _reach(self, timeout_s: float) -> None:
        await PoolWorkerOrders._reach(self, timeout_s)
        if self.address != self.worker.address:
            raise WorkerReplaced


class AddressedCluster(PoolCluster):
    """A small deployment whose workers are reached at the addresses in their records."""

    def _orders(self, name: str, record: WorkerRecord) -> WorkerOrders:
        worker = self.worker_pool.workers[record.worker_id]
        return AddressedOrders(
            self.worker_pool, worker, lambda: self._is_connected(name), address=record.address
        )

    def rewrite(self, worker: PoolWorker, address: str) -> None:
        """Changes the address in a worker's record, as another writer would."""
        key = f"servers/{worker.worker_id}"
        record = msgspec.json.decode(self.store.item(key).value)
        self.store.put(key, msgspec.json.encode(record | {"address": address}))


class ForeignAddressTest(unittest.TestCase):
    def test_another_incarnation_at_an_unused_address_does_not_end_a_worker(self) -> None:
        self.assertEqual(self.violations(foreign=True), [])

    def test_nothing_runs_twice_where_the_address_stays(self) -> None:
        self.assertEqual(self.violations(foreign=False), [])

    def violations(self, *, foreign: bool) -> list[str]:
        """Returns violations when a running worker's record gets another incarnation's address."""
        cluster = AddressedCluster(entries=2, racks=1, workers=2)

        async def main() -> None:
            await cluster.start()
            await cluster.submit(JOB, job(1, work_s=60.0))
            await cluster.until(lambda: cluster.worker_pool.starts_of(JOB) == 1)
            await asyncio.sleep(1.0)
            worker = cluster.worker_pool.workers[cluster.worker_pool.history[0].worker]
            other = next(
                each for each in cluster.worker_pool.workers.values() if each is not worker
            )
            cluster.rewrite(worker, other.address if foreign else worker.address)
            await cluster.kill(cluster.leader_name)
            await asyncio.sleep(5.0)
            await cluster.until(lambda: cluster.leader is not None)
            await asyncio.sleep(5.0)
            await cluster.stop()

        run(main())
        return cluster.worker_pool.violations


if __name__ == "__main__":
    unittest.main()
