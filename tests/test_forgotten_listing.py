"""A listing that is read before a job is removed, and applied after that.

Guards against a job that ended long ago but runs again as a whole. The store no longer has its
history, so the leader reads all requests again. While the answer is on its way, the leader removes
an expired job from the store and from its cluster state. The answer still contains the job, which
is then taken for a new one without progress. The watch that follows reports the removal, which is
ignored. The test passes if the answer is not late.
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
    """A connection to the store on which listings of the requests may be delayed."""

    late_s = 0.0

    async def list(self, prefix: str) -> Listing:
        """Returns all keys under a prefix, as they were some time ago."""
        listing = await StoreView.list(self, prefix)
        if prefix == REQUESTS:
            await asyncio.sleep(type(self).late_s)
        return listing


class ForgottenListingTest(unittest.TestCase):
    def test_a_job_removed_during_a_listing_runs_once(self) -> None:
        self.assertEqual(self.starts(late_s=2.0), 1)

    def test_a_removed_job_runs_once_where_listings_are_fast(self) -> None:
        self.assertEqual(self.starts(late_s=0.0), 1)

    def starts(self, *, late_s: float) -> int:
        """Returns how often a job runs that the leader removes while it reads all requests
        again."""

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
            return cluster.worker_pool.starts_of(JOB)

        with unittest.mock.patch.object(cluster_module, "StoreView", LateView):
            return run(main())


if __name__ == "__main__":
    unittest.main()
