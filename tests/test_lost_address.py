"""Workers whose records lose their address, in one long and steady term.

What was seen: on real processes two runs of one task at once, both ordered by the VM that led all
the time, several such pairs at the same moment, on workers of several data halls. The runs that
are told whole ended `stopped` on a stop, `broken` without one of their own, and `done`, and their
ends were noted: the leader was in contact with their workers.

How it came about here: another writer put records without an address in the place of the workers'
own. A life without an address counted as one that nobody can ask, whose runs are over once the
leases that earlier leaders granted are. In a term older than that, it was at once, at each round
of 0.5 s: the tasks began elsewhere, while the leader went on looking at these workers over its
open connections, took their runs for unknown and stopped them, broke their gangs, or heard them
end.

What shows it: the same three ends, without a stop, a cut or another leader, as soon as the
records change; with the addresses kept each task runs once.
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
    def test_of_whole_gangs_and_single_tasks_nothing_begins_twice(self) -> None:
        """All workers of a gang, and one of a single task, are struck at the same moment."""

        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(INHERITED_S)
            gang = job(3, work_s=2 * HOLD_S, accelerators=WHOLE, gang=True)
            await cluster.submit(A, gang)
            await cluster.submit(B, job(1, work_s=2 * HOLD_S, accelerators=WHOLE))
            floor = cluster.floor
            await cluster.until(lambda: floor.starts_of(A) == 3 and floor.starts_of(B) == 1)
            await asyncio.sleep(1.0)
            for run in list(floor.history):
                self.rewrite(cluster, floor.workers[run.worker], address="")
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(floor.violations, [])
            self.assertEqual([run.ended for run in floor.history], [None] * 4)
            for job_id in (A, B):
                await cluster.until_state(job_id, JobState.COMPLETED, 3 * HOLD_S)
                self.assertEqual(floor.ends_of(job_id, EndKind.DONE), floor.starts_of(job_id))

        self.play(body, workers=5)


if __name__ == "__main__":
    unittest.main()
