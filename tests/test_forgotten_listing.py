"""A listing that was read before a job was forgotten, and is taken over after that.

Seen in the code, then here: a job that had ended long ago runs again, whole. How: the store has
forgotten its history, so the leader reads all requests again; while that answer is on its way the
leader removes a job that nobody has to be told of any more, from the store and from its board. The
answer still holds the job, which the board takes for a new one without progress. The removal is
told by the watch that follows, where it is ignored. Proved by this test, which is clean where the
answer is not late.
"""

from __future__ import annotations

import asyncio
import unittest
import unittest.mock

from saddlestack.control.keys import REQUESTS
from saddlestack.interfaces.store import Listing
from saddlestack.standins.loop import run
from saddlestack.standins.pool import cluster as cluster_module
from saddlestack.standins.pool.cluster import RETENTION_S, PoolCluster, job
from saddlestack.standins.pool.store import StoreView
from saddlestack.work import JobState

JOB = "00000000000000aa"


class LateView(StoreView):
    """A way to the store on which listings of the requests may be long on their way."""

    late_s = 0.0

    async def list(self, prefix: str) -> Listing:
        """All keys under a prefix, as they were some time ago."""
        listing = await StoreView.list(self, prefix)
        if prefix == REQUESTS:
            await asyncio.sleep(type(self).late_s)
        return listing


class ForgottenListingTest(unittest.TestCase):
    def test_a_job_that_was_forgotten_while_all_were_listed_runs_once(self) -> None:
        self.assertEqual(self.starts(late_s=2.0), 1)

    def test_a_job_that_was_forgotten_runs_once_where_listings_are_fast(self) -> None:
        self.assertEqual(self.starts(late_s=0.0), 1)

    def starts(self, *, late_s: float) -> int:
        """How often a job ran whose leader reads all requests anew as it forgets the job."""

        async def main() -> int:
            cluster = PoolCluster(entries=2, racks=1, workers=2)
            await cluster.start()
            await cluster.submit(JOB, job(1, work_s=0.2))
            await cluster.until_state(JOB, JobState.COMPLETED)
            await asyncio.sleep(RETENTION_S - 2.0)
            with unittest.mock.patch.object(LateView, "late_s", late_s):
                while cluster.store.keys(REQUESTS):
                    cluster.store.put("op/other", b"")
                    cluster.store.forget_history()
                    await asyncio.sleep(0.5)
            await asyncio.sleep(10.0)
            await cluster.stop()
            return cluster.floor.starts_of(JOB)

        with unittest.mock.patch.object(cluster_module, "StoreView", LateView):
            return run(main())


if __name__ == "__main__":
    unittest.main()
