"""A worker's entry that another writer has changed names the address of another life.

Seen: several tasks of one worker ran a second time elsewhere at one moment, without a stop; their
first runs ended as ever. How: an entry came with every field sound, and the address of another
worker. The first session made after that, here of the next term, asked that address, and was told
that another life answers there. Cause: that answer counts as proof that the worker is over, also
where it has never been reached at that address. Proved by the log (``run_over`` with ``replaced``
at that address) and by this test, which is clean where the entry keeps its address.
"""

from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass

import msgspec

from saddlestack.interfaces.workers import WorkerOrders, WorkerRecord, WorkerReplaced
from saddlestack.standins.loop import run
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.orders import FloorOrders
from saddlestack.standins.pool.workers import FloorWorker

JOB = "00000000000000aa"


@dataclass(slots=True)
class AddressedOrders(FloorOrders):
    """The way to the address that an entry names, whichever life is there."""

    address: str = ""

    async def _reach(self, timeout_s: float) -> None:
        await FloorOrders._reach(self, timeout_s)
        if self.address != self.worker.address:
            raise WorkerReplaced


class AddressedCluster(PoolCluster):
    """A small deployment whose workers are reached where their entries say."""

    def _orders(self, name: str, record: WorkerRecord) -> WorkerOrders:
        worker = self.floor.workers[record.worker_id]
        return AddressedOrders(
            self.floor, worker, lambda: self._passes(name), address=record.address
        )

    def rewrite(self, worker: FloorWorker, address: str) -> None:
        """Another writer changes the address in a worker's entry."""
        key = f"servers/{worker.worker_id}"
        record = msgspec.json.decode(self.store.item(key).value)
        self.store.put(key, msgspec.json.encode(record | {"address": address}))


class ForeignAddressTest(unittest.TestCase):
    def test_another_life_at_an_address_never_used_does_not_end_a_worker(self) -> None:
        self.assertEqual(self.violations(foreign=True), [])

    def test_nothing_runs_twice_where_the_address_stays(self) -> None:
        self.assertEqual(self.violations(foreign=False), [])

    def violations(self, *, foreign: bool) -> list[str]:
        """What is broken where a worker that runs a task is named at another life's address."""
        cluster = AddressedCluster(entries=2, racks=1, workers=2)

        async def main() -> None:
            await cluster.start()
            await cluster.submit(JOB, job(1, work_s=60.0))
            await cluster.until(lambda: cluster.floor.starts_of(JOB) == 1)
            await asyncio.sleep(1.0)
            worker = cluster.floor.workers[cluster.floor.history[0].worker]
            other = next(each for each in cluster.floor.workers.values() if each is not worker)
            cluster.rewrite(worker, other.address if foreign else worker.address)
            await cluster.kill(cluster.leader_name)
            await asyncio.sleep(5.0)
            await cluster.until(lambda: cluster.leader is not None)
            await asyncio.sleep(5.0)
            await cluster.stop()

        run(main())
        return cluster.floor.violations


if __name__ == "__main__":
    unittest.main()
