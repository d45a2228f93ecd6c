"""Leader election: which VM holds the leader key after faults of the store."""

from __future__ import annotations

import asyncio

import msgspec

from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.work import JobState
from tests.test_pool import A, B, PoolTest

TAKEOVER_S = 4.0


def fences(cluster: PoolCluster) -> dict[str, int]:
    """Returns the fencing token of each VM that considers itself the leader."""
    return {
        name: member.vm.leadership.term.fence
        for name, member in cluster.members.items()
        if member.vm.leadership.term is not None
    }


class LeadershipTest(PoolTest):
    def test_a_slow_vm_lets_others_campaign_first(self) -> None:
        """Guards against a leader behind a link of 10 Mbit/s, which read the state for 2.2 s."""
        for seed in range(1, 6):

            async def body(cluster: PoolCluster) -> None:
                for name in ("entry-1", "entry-2", "entry-3"):
                    context = cluster.members[name].vm.context
                    context.settings = msgspec.structs.replace(context.settings, link_mbps=10.0)
                if cluster.leader_name == "entry-4":
                    await cluster.kill("entry-3")
                else:
                    await cluster.kill(cluster.leader_name)
                    await cluster.until(lambda: cluster.leader is not None)
                self.assertEqual(cluster.leader_name, "entry-4")
                await cluster.kill("entry-4")
                await cluster.until(lambda: cluster.leader is not None, TAKEOVER_S)

            with self.subTest(seed=seed):
                self.play(body, entries=4, seed=seed)

    def test_an_election_whose_answers_are_lost_ends_with_one_leader(self) -> None:
        for late_s in (0.0, 0.5, 2.0):

            async def body(cluster: PoolCluster, late_s: float = late_s) -> None:
                await cluster.submit(A, job(2))
                await cluster.kill(cluster.leader_name)
                for member in cluster.members.values():
                    member.view.faults.lose_answers = 1
                    member.view.faults.late_s = late_s
                await asyncio.sleep(2 * TAKEOVER_S)
                self.assertEqual(len(fences(cluster)), 1)
                await cluster.submit(B, job(2))
                await cluster.until_state(A, JobState.COMPLETED)
                await cluster.until_state(B, JobState.COMPLETED)

            with self.subTest(late_s=late_s):
                self.play(body, entries=4)

    def test_a_term_that_ends_as_it_begins_leaves_nothing_behind(self) -> None:
        """The end of such a term failed, and the VM followed the leader key no more."""

        async def body(cluster: PoolCluster) -> None:
            vm = cluster.members[cluster.leader_name].vm
            term = vm.leadership.term
            assert term is not None
            await vm.deposed()
            listeners = len(vm.configuration._listeners)
            await vm.elected(term)
            await vm.deposed()
            self.assertEqual(len(vm.configuration._listeners), listeners)

        self.play(body, entries=2)

    def test_a_short_store_outage_changes_no_leader(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            before = fences(cluster)
            faults = cluster.member(cluster.leader_name).view.faults
            faults.silent = True
            await asyncio.sleep(0.3)
            faults.silent = False
            await asyncio.sleep(TAKEOVER_S)
            self.assertEqual(fences(cluster), before)

        self.play(body)

    def test_a_leader_that_was_cut_off_steps_down_when_it_sees_its_successor(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            old = cluster.leader_name
            fence = fences(cluster)[old]
            faults = cluster.member(old).view.faults
            faults.silent = True
            await asyncio.sleep(TAKEOVER_S)
            successors = {name for name in fences(cluster) if name != old}
            self.assertEqual(len(successors), 1)
            faults.silent = False
            await asyncio.sleep(TAKEOVER_S)
            self.assertEqual(set(fences(cluster)), successors)
            self.assertGreater(fences(cluster)[successors.pop()], fence)

        self.play(body)

    def test_each_term_has_a_higher_token_than_the_last(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            seen: list[int] = []
            for _ in range(3):
                name = cluster.leader_name
                seen.append(fences(cluster)[name])
                await cluster.kill(name)
                await cluster.until(lambda: cluster.leader is not None, TAKEOVER_S)
                await cluster.add_entry(name)
            seen.append(fences(cluster)[cluster.leader_name])
            self.assertEqual(seen, sorted(set(seen)))

        self.play(body)

    def test_after_a_store_that_refused_all_vms_there_is_one_leader(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            fence = max(fences(cluster).values())
            for member in cluster.members.values():
                member.view.faults.refusing = True
            await asyncio.sleep(6.0)
            for member in cluster.members.values():
                member.view.faults.refusing = False
            await asyncio.sleep(TAKEOVER_S)
            self.assertEqual(len(fences(cluster)), 1)
            self.assertGreaterEqual(max(fences(cluster).values()), fence)

        self.play(body)
