"""How long a new leader counts with leases that earlier ones may still renew."""

from __future__ import annotations

import asyncio

from saddlestack.control.contact import CLOCK_DRIFT, LAPSE_SLACK_S
from saddlestack.control.leadership import LEASE_S, RENEWING_S
from saddlestack.control.membership import KEEP_S
from saddlestack.control.membership import LEASE_S as MEMBER_LEASE_S
from saddlestack.control.renewals import ASKED_AT_ONCE
from saddlestack.control.scheduler import RENEWALS_ASKED, RENEWALS_GAP_S
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import JobState
from tests.test_pool import PoolTest

A = "00000000000000aa"
HOLD_S = 10.0
LAPSED_S = HOLD_S * CLOCK_DRIFT + LAPSE_SLACK_S
"""After this a lease that nobody renews is over for sure."""
TAKEOVER_S = 3.0
"""Within this a killed pool has a leader again that has asked all others."""


class RenewalsTest(PoolTest):
    async def lose_a_worker(self, cluster: PoolCluster) -> None:
        """A task runs on a worker that dies without a word."""
        await cluster.submit(A, job(1, work_s=3.0))
        await cluster.until(lambda: cluster.floor.starts_of(A) == 1)
        cluster.floor.crash(cluster.floor.workers[cluster.floor.history[0].worker])

    async def begun_again_after(self, cluster: PoolCluster, most_s: float) -> float:
        """How long it takes until the lost task runs again."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        await cluster.until(lambda: cluster.floor.starts_of(A) == 2, most_s)
        return loop.time() - began

    def test_after_all_were_killed_a_lost_task_waits_for_one_lease(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.lose_a_worker(cluster)
            names = list(cluster.members)
            for name in names:
                await cluster.kill(name)
            for name in names:
                await cluster.add_entry(name)
            await self.begun_again_after(cluster, LAPSED_S + TAKEOVER_S)
            await cluster.until_state(A, JobState.COMPLETED)

        self.play(body)

    def test_while_a_vm_does_not_answer_it_may_renew(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.lose_a_worker(cluster)
            await cluster.kill(cluster.leader_name)
            await cluster.until(lambda: cluster.leader is not None)
            waited = await self.begun_again_after(cluster, 60.0)
            self.assertGreater(waited, LEASE_S + RENEWING_S + LAPSED_S - 1.0)

        self.play(body)

    def test_nobody_is_asked_while_every_worker_answers(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(A, job(4, work_s=12.0))
            await cluster.until(lambda: cluster.floor.starts_of(A) == 4)
            await cluster.kill(cluster.leader_name)
            await cluster.until(lambda: cluster.leader is not None)
            leader = cluster.leader
            assert leader is not None
            leader.renewals.asked = 0
            await asyncio.sleep(RENEWALS_ASKED * RENEWALS_GAP_S + 1.0)
            self.assertEqual(leader.renewals.asked, 0)

        self.play(body)

    def test_few_are_asked_at_once_and_none_after_one_that_does_not_answer(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(1.0)
            leader = cluster.leader
            assert leader is not None
            others = [name for name in cluster.members if name != cluster.leader_name]
            for name in others[: len(others) - ASKED_AT_ONCE + 1]:
                await cluster.kill(name)
            leader.renewals.asked = 0
            self.assertFalse(await leader.renewals.are_over())
            self.assertLessEqual(leader.renewals.asked, ASKED_AT_ONCE)

        self.play(body, entries=ASKED_AT_ONCE + 6)

    def test_a_vm_that_renews_says_so(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            leader = cluster.leader
            assert leader is not None
            others = [m.vm for m in cluster.members.values() if m.vm is not leader]
            await asyncio.sleep(1.0)
            self.assertFalse(await others[0].renewals.are_over())
            self.assertTrue(await leader.renewals.are_over())

        self.play(body)

    def test_a_vm_that_renews_without_the_store_is_still_known_to_the_others(self) -> None:
        """Its call for a renewal of its own lease takes a second to fail."""
        self.assertLess(LEASE_S + RENEWING_S + 1.2, MEMBER_LEASE_S - KEEP_S)
