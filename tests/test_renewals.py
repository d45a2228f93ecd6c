"""How long a new leader counts with leases that earlier ones may still renew."""

from __future__ import annotations

import asyncio

from saddlestack.control.entry import EntryVm
from saddlestack.control.keys import MEMBERS, member_key
from saddlestack.control.leadership import LEASE_S, RENEWAL_GRACE_S
from saddlestack.control.leases import CLOCK_DRIFT, LAPSE_SLACK_S
from saddlestack.control.membership import GONE_RETENTION_S, RENEW_INTERVAL_S, RETRY_S
from saddlestack.control.membership import LEASE_S as MEMBER_LEASE_S
from saddlestack.control.renewals import ASKED_AT_ONCE, RenewingAnswer, RenewingQuestion
from saddlestack.control.scheduler import MAX_RENEWAL_CHECKS, RENEWAL_CHECK_INTERVAL_S
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.store import CALL_TIMEOUT_S
from saddlestack.work import JobState
from tests.test_pool import PoolTest

A = "00000000000000aa"
HOLD_S = 10.0
LAPSED_S = HOLD_S * CLOCK_DRIFT + LAPSE_SLACK_S
"""After this a lease that nobody renews is over for sure."""
TAKEOVER_S = 3.0
"""Within this a killed pool has a leader again that has asked all others."""
RENEWS_S = LEASE_S + RENEWAL_GRACE_S + CALL_TIMEOUT_S
"""For so long a leader may renew after it has lost the store."""


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
            self.assertGreater(waited, LEASE_S + RENEWAL_GRACE_S + LAPSED_S - 1.0)

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
            await asyncio.sleep(MAX_RENEWAL_CHECKS * RENEWAL_CHECK_INTERVAL_S + 1.0)
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
        self.assertLess(LEASE_S + RENEWAL_GRACE_S + 1.2, MEMBER_LEASE_S - RENEW_INTERVAL_S)


class EarlierLeaderTest(PoolTest):
    """A leader that has lost the store goes on renewing; the next one asks whether it does."""

    async def deposed(self, cluster: PoolCluster) -> tuple[EntryVm, EntryVm]:
        """A leader that renews without the store, and the one that has followed it."""
        await asyncio.sleep(1.0)
        old = cluster.member(cluster.leader_name)
        others = [each.vm for each in cluster.members.values() if each is not old]
        old.view.faults.silent = True
        await cluster.until(lambda: any(vm.scheduler is not None for vm in others))
        self.assertIsNotNone(old.vm.scheduler)
        return old.vm, next(vm for vm in others if vm.scheduler is not None)

    def freeze(self, vm: EntryVm) -> None:
        """A VM takes connections, as its kernel does, and answers nothing on them."""

        async def never(question: RenewingQuestion) -> RenewingAnswer:
            await asyncio.Event().wait()
            return RenewingAnswer(False)

        vm.peers.serve(RenewingQuestion, never)

    async def ever_over(self, vm: EntryVm, seconds: float) -> bool:
        """Whether a VM finds at any moment of some seconds that nobody else renews."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            if await vm.renewals.are_over():
                return True
            await asyncio.sleep(0.1)
        return False

    def test_one_that_answers_counts_until_it_renews_no_more(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            old, new = await self.deposed(cluster)
            while old.scheduler is not None:
                over = await new.renewals.are_over()
                self.assertFalse(over and old.scheduler is not None)
                await asyncio.sleep(0.1)
            self.assertTrue(await new.renewals.are_over())

        self.play(body)

    def test_one_that_is_paused_or_out_of_reach_counts(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            old, new = await self.deposed(cluster)
            self.freeze(old)
            self.assertFalse(await self.ever_over(new, RENEWS_S))

        self.play(body)

    def test_one_that_is_no_longer_listed_is_asked_as_well(self) -> None:
        """The lease of its record ran out while the store was away, and it cannot write another."""

        async def body(cluster: PoolCluster) -> None:
            old, new = await self.deposed(cluster)
            cluster.store.remove(member_key(old.settings.vm))
            await asyncio.sleep(0.1)
            while old.scheduler is not None:
                over = await new.renewals.are_over()
                self.assertFalse(over and old.scheduler is not None)
                await asyncio.sleep(0.1)
            self.assertTrue(await new.renewals.are_over())

        self.play(body)

    def test_one_that_is_neither_listed_nor_answers_counts(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            old, new = await self.deposed(cluster)
            self.freeze(old)
            cluster.store.remove(member_key(old.settings.vm))
            await asyncio.sleep(0.1)
            self.assertFalse(await self.ever_over(new, RENEWS_S))

        self.play(body)

    def test_where_every_record_has_lapsed_nobody_is_taken_for_one_that_renews_nothing(
        self,
    ) -> None:
        """The store was away, and every lease ran out in it."""

        async def body(cluster: PoolCluster) -> None:
            old, new = await self.deposed(cluster)
            self.freeze(old)
            for item in cluster.store.keys(MEMBERS):
                cluster.store.remove(item.key)
            await asyncio.sleep(0.1)
            self.assertFalse(await self.ever_over(new, RENEWS_S))

        self.play(body)

    def test_one_whose_record_went_long_ago_is_not_asked(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            old, new = await self.deposed(cluster)
            self.freeze(old)
            cluster.store.remove(member_key(old.settings.vm))
            await asyncio.sleep(GONE_RETENTION_S + 0.5)
            self.assertTrue(await new.renewals.are_over())

        self.play(body)

    def test_records_that_are_written_again_leave_only_those_that_are_not(self) -> None:
        """Every lease ran out in the store; all but the earlier leader reach it."""

        async def body(cluster: PoolCluster) -> None:
            old, new = await self.deposed(cluster)
            for item in cluster.store.keys(MEMBERS):
                cluster.store.remove(item.key)
            await cluster.until(lambda: old.scheduler is None)
            self.assertTrue(await new.renewals.are_over())

        self.play(body)

    def test_a_record_is_known_as_gone_for_as_long_as_its_vm_may_renew(self) -> None:
        """The last call of each kind takes a second to fail."""
        rewritten_s = RENEW_INTERVAL_S + CALL_TIMEOUT_S + RETRY_S
        self.assertLess(rewritten_s + RENEWS_S, GONE_RETENTION_S)

    def test_the_record_of_a_vm_that_missed_a_renewal_outlives_its_renewing(self) -> None:
        """One renewal of its record is refused; a second later it loses the store for good."""

        async def body(cluster: PoolCluster) -> None:
            name = next(name for name in cluster.members if name != cluster.leader_name)
            faults = cluster.member(name).view.faults
            lease = cluster.store._leases[cluster.store._keys[member_key(name)].lease]
            until = lease.until
            await cluster.until(lambda: lease.until > until)
            await asyncio.sleep(RENEW_INTERVAL_S - 0.2)
            faults.refusing = True
            await asyncio.sleep(0.4)
            faults.refusing = False
            await asyncio.sleep(1.0)
            faults.silent = True
            await asyncio.sleep(RENEWS_S)
            self.assertTrue(cluster.store.item(member_key(name)).revision)

        self.play(body)
