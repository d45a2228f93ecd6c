"""Records of workers lose their address during a long and stable term.

Guards against two concurrent runs of one task, both ordered by the VM that led all the time. It was
seen on real processes, for several tasks at the same moment, on workers of several data halls. The
runs that were fully logged ended with `stopped` after a stop, with `broken` without a stop of their
own, and with `done`, and their ends were recorded: the leader was in contact with their workers.

It happened because another writer put records without an address in place of the workers' own. An
incarnation without an address counted as one that can't be polled, whose runs are over once the
leases that earlier leaders granted have expired. In an older term, this was so at once, in each
round of 0.5 s: the tasks were started elsewhere, while the leader went on polling these workers
over its open connections. It took their runs for unknown and stopped them, broke their gangs, or
received their ends.

The test reproduces the three ends without a stop, a network fault or another leader, as soon as the
records change. If the addresses are kept, each task runs once.
"""

from __future__ import annotations

import asyncio
import unittest

from saddlestack.interfaces.workers import EndKind
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import JobState
from tests.test_entries import EntryCase
from tests.test_inherited import HOLD_S, INHERITED_S, A, B

WHOLE = 8
"""Accelerators of a worker."""
SETTLED_S = 2.0
"""Four rounds of the leader."""


class LostAddressTest(EntryCase):
    def test_gangs_and_single_tasks_start_once(self) -> None:
        """The records of all workers of a gang, and of a single task's worker, change at once."""

        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(INHERITED_S)
            gang = job(3, work_s=2 * HOLD_S, accelerators=WHOLE, gang=True)
            await cluster.submit(A, gang)
            await cluster.submit(B, job(1, work_s=2 * HOLD_S, accelerators=WHOLE))
            worker_pool = cluster.worker_pool
            await cluster.until(
                lambda: worker_pool.starts_of(A) == 3 and worker_pool.starts_of(B) == 1
            )
            await asyncio.sleep(1.0)
            for run in list(worker_pool.history):
                self.rewrite(cluster, worker_pool.workers[run.worker], address="")
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(worker_pool.violations, [])
            self.assertEqual([run.ended for run in worker_pool.history], [None] * 4)
            for job_id in (A, B):
                await cluster.until_state(job_id, JobState.COMPLETED, 3 * HOLD_S)
                self.assertEqual(
                    worker_pool.ends_of(job_id, EndKind.DONE), worker_pool.starts_of(job_id)
                )

        self.play(body, workers=5)


if __name__ == "__main__":
    unittest.main()
