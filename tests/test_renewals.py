"""How long a new leader waits for leases that earlier leaders may still renew."""

from __future__ import annotations

import asyncio

from saddlestack.control.entry import EntryVm
from saddlestack.control.keys import MEMBERS, member_key
from saddlestack.control.leadership import LEASE_S, RENEWAL_GRACE_S
from saddlestack.control.leases import CLOCK_DRIFT, LAPSE_SLACK_S
from saddlestack.control.membership import GONE_RETENTION_S, RENEW_INTERVAL_S, RETRY_S
from saddlestack.control.membership import LEASE_S as MEMBER_LEASE_S
from saddlestack.control.renewals import MAX_CONCURRENT_QUERIES, RenewingAnswer, RenewingQuestion
from saddlestack.control.scheduler import MAX_RENEWAL_CHECKS, RENEWAL_CHECK_INTERVAL_S
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.store import CALL_TIMEOUT_S
from saddlestack.work import JobState
from tests.test_pool import PoolTest

A = "00000000000000aa"
HOLD_S = 10.0
LAPSED_S = HOLD_S * CLOCK_DRIFT + LAPSE_SLACK_S
"""After this time a lease that is not renewed has certainly expired."""
TAKEOVER_S = 3.0
"""Time within which a killed pool has a new leader that has queried all other VMs."""
MAX_RENEWING_S = LEASE_S + RENEWAL_GRACE_S + CALL_TIMEOUT_S
"""How long a leader may renew leases after it has lost the store."""


class RenewalsTest(PoolTest):
    async def crash_a_worker(self, cluster: PoolCluster) -> None:
        """Runs a task on a worker that then crashes."""
        await cluster.submit(A, job(1, work_s=3.0))
        await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 1)
        cluster.worker_pool.crash(
            cluster.worker_pool.workers[cluster.worker_pool.history[0].worker]
        )

    async def begun_again_after(self, cluster: PoolCluster, timeout_s: float) -> float:
        """Returns how long it takes until the lost task runs again."""
        loop = asyncio.get_running_loop()
        began = loop.time()
        await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 2, timeout_s)
        return loop.time() - began

    def test_after_all_were_killed_a_lost_task_waits_for_one_lease(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.crash_a_worker(cluster)
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
            await self.crash_a_worker(cluster)
            await cluster.kill(cluster.leader_name)
            await cluster.until(lambda: cluster.leader is not None)
            waited = await self.begun_again_after(cluster, 60.0)
            self.assertGreater(waited, LEASE_S + RENEWAL_GRACE_S + LAPSED_S - 1.0)

        self.play(body)

    def test_no_vm_is_queried_while_every_worker_answers(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(A, job(4, work_s=12.0))
            await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 4)
            await cluster.kill(cluster.leader_name)
            await cluster.until(lambda: cluster.leader is not None)
            leader = cluster.leader
            assert leader is not None
            leader.renewals.queried = 0
            await asyncio.sleep(MAX_RENEWAL_CHECKS * RENEWAL_CHECK_INTERVAL_S + 1.0)
            self.assertEqual(leader.renewals.queried, 0)

        self.play(body)

    def test_few_vms_are_queried_at_once_and_none_after_one_without_an_answer(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(1.0)
            leader = cluster.leader
            assert leader is not None
            others = [name for name in cluster.members if name != cluster.leader_name]
            for name in others[: len(others) - MAX_CONCURRENT_QUERIES + 1]:
                await cluster.kill(name)
            leader.renewals.queried = 0
            self.assertFalse(await leader.renewals.are_over())
            self.assertLessEqual(leader.renewals.queried, MAX_CONCURRENT_QUERIES)

        self.play(body, entries=MAX_CONCURRENT_QUERIES + 6)

    def test_a_vm_that_renews_answers_so(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            leader = cluster.leader
            assert leader is not None
            others = [m.vm for m in cluster.members.values() if m.vm is not leader]
            await asyncio.sleep(1.0)
            self.assertFalse(await others[0].renewals.are_over())
            self.assertTrue(await leader.renewals.are_over())

        self.play(body)

    def test_a_vm_that_renews_without_the_store_is_still_listed(self) -> None:
        """A call to renew its own lease takes a second to fail."""
        self.assertLess(LEASE_S + RENEWAL_GRACE_S + 1.2, MEMBER_LEASE_S - RENEW_INTERVAL_S)


class EarlierLeaderTest(PoolTest):
    """A leader that has lost the store may renew leases, and its successor checks whether it
    does."""

    async def superseded_leader(self, cluster: PoolCluster) -> tuple[EntryVm, EntryVm]:
        """Returns a leader that renews leases without the store, and its successor."""
        await asyncio.sleep(1.0)
        old = cluster.member(cluster.leader_name)
        others = [each.vm for each in cluster.members.values() if each is not old]
        old.view.faults.silent = True
        await cluster.until(lambda: any(vm.scheduler is not None for vm in others))
        self.assertIsNotNone(old.vm.scheduler)
        return old.vm, next(vm for vm in others if vm.scheduler is not None)

    def freeze(self, vm: EntryVm) -> None:
        """Makes a VM accept connections, as its operating system does, but never answer on them."""

        async def never(question: RenewingQuestion) -> RenewingAnswer:
            await asyncio.Event().wait()
            return RenewingAnswer(False)

        vm.peers.serve(RenewingQuestion, never)

    async def are_ever_over(self, vm: EntryVm, seconds: float) -> bool:
        """Returns whether a VM finds, at any time within some seconds, that no other VM renews."""
        loop = asyncio.get_running_loop()
        until = loop.time() + seconds
        while loop.time() < until:
            if await vm.renewals.are_over():
                return True
            await asyncio.sleep(0.1)
        return False

    def test_one_that_answers_counts_until_it_renews_no_more(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            old, new = await self.superseded_leader(cluster)
            while old.scheduler is not None:
                over = await new.renewals.are_over()
                self.assertFalse(over and old.scheduler is not None)
                await asyncio.sleep(0.1)
            self.assertTrue(await new.renewals.are_over())

        self.play(body)

    def test_one_that_is_paused_or_unreachable_counts(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            old, new = await self.superseded_leader(cluster)
            self.freeze(old)
            self.assertFalse(await self.are_ever_over(new, MAX_RENEWING_S))

        self.play(body)

    def test_one_that_is_no_longer_listed_is_queried_as_well(self) -> None:
        """The lease of its record expired during the store outage, and it can't register again."""

        async def body(cluster: PoolCluster) -> None:
            old, new = await self.superseded_leader(cluster)
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
            old, new = await self.superseded_leader(cluster)
            self.freeze(old)
            cluster.store.remove(member_key(old.settings.vm))
            await asyncio.sleep(0.1)
            self.assertFalse(await self.are_ever_over(new, MAX_RENEWING_S))

        self.play(body)

    def test_if_all_records_expired_every_vm_may_renew(
        self,
    ) -> None:
        """All leases expired during a store outage."""

        async def body(cluster: PoolCluster) -> None:
            old, new = await self.superseded_leader(cluster)
            self.freeze(old)
            for item in cluster.store.keys(MEMBERS):
                cluster.store.remove(item.key)
            await asyncio.sleep(0.1)
            self.assertFalse(await self.are_ever_over(new, MAX_RENEWING_S))

        self.play(body)

    def test_one_whose_record_was_removed_long_ago_is_not_queried(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            old, new = await self.superseded_leader(cluster)
            self.freeze(old)
            cluster.store.remove(member_key(old.settings.vm))
            await asyncio.sleep(GONE_RETENTION_S + 0.5)
            self.assertTrue(await new.renewals.are_over())

        self.play(body)

    def test_only_vms_that_do_not_register_again_count_as_gone(self) -> None:
        """All leases in the store expired; all VMs but the earlier leader reach the store again."""

        async def body(cluster: PoolCluster) -> None:
            old, new = await self.superseded_leader(cluster)
            for item in cluster.store.keys(MEMBERS):
                cluster.store.remove(item.key)
            await cluster.until(lambda: old.scheduler is None)
            self.assertTrue(await new.renewals.are_over())

        self.play(body)

    def test_a_removed_record_is_retained_while_its_vm_may_renew(self) -> None:
        """The last call of each kind takes a second to fail."""
        rewritten_s = RENEW_INTERVAL_S + CALL_TIMEOUT_S + RETRY_S
        self.assertLess(rewritten_s + MAX_RENEWING_S, GONE_RETENTION_S)

    def test_the_record_of_a_vm_that_missed_a_renewal_outlives_its_renewals(self) -> None:
        """One renewal of its record fails; a second later it loses the store for good."""

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
            await asyncio.sleep(MAX_RENEWING_S)
            self.assertTrue(cluster.store.item(member_key(name)).revision)

        self.play(body)
