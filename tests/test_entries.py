"""Records of workers that come from another writer: what runs there meanwhile, and what may follow.

A record may lose its address, turn into bytes that nobody can read, or name another address, while
the life that it is of works on. None of these tells that the life has ended.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable

import msgspec

from saddlestack.interfaces.workers import EndKind
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.workers import FloorWorker
from saddlestack.work import JobState
from tests.test_inherited import A, B, HOLD_S, INHERITED_S, InheritedCase


class EntryCase(InheritedCase):
    def write(self, cluster: PoolCluster, worker: FloorWorker, value: bytes) -> None:
        """Another writer puts bytes into a worker's record."""
        cluster.store.put(f"servers/{worker.worker_id}", value)

    def rewrite(self, cluster: PoolCluster, worker: FloorWorker, **fields: object) -> None:
        """Another writer changes fields of a worker's record; ``None`` removes one."""
        record = msgspec.json.decode(cluster.store.item(f"servers/{worker.worker_id}").value)
        for name, value in fields.items():
            record[name.replace("_", "-")] = value
        kept = {name: value for name, value in record.items() if value is not None}
        self.write(cluster, worker, msgspec.json.encode(kept))


Change = Callable[[EntryCase, PoolCluster, FloorWorker], None]
"""What another writer does to a worker's record."""


class RunningTest(EntryCase):
    """A record turns bad on a life that runs something."""

    def assert_runs_on(self, change: Change) -> None:
        """What ran before a change of its worker's record ends there, once, after three leases."""

        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(INHERITED_S)
            worker = await self.run_on(cluster, job(1, work_s=3 * HOLD_S))
            await asyncio.sleep(1.0)
            change(self, cluster, worker)
            floor = cluster.floor
            await cluster.until(
                lambda: floor.starts_of(A) > 1 or floor.ends_of(A, EndKind.DONE) == 1, 4 * HOLD_S
            )
            self.assertEqual(floor.violations, [])
            self.assertEqual(floor.starts_of(A), 1)
            await cluster.until_state(A, JobState.COMPLETED)

        self.play(body)

    def test_without_an_address_what_runs_goes_on(self) -> None:
        self.assert_runs_on(lambda case, cluster, worker: case.rewrite(cluster, worker, address=""))


if __name__ == "__main__":
    unittest.main()
