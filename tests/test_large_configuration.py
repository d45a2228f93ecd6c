"""A large configuration is in force in time over narrow links.

Guards against transfers that are abandoned although they deliver, and that are repeated or made
twice at once, so that none of them ends: calls were then handled by an older configuration for
many seconds after a change was confirmed.
"""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable

from saddlestack.platform.kv import KvStore
from saddlestack.standins.loop import run
from saddlestack.standins.network import Link, LinkDialer
from saddlestack.standins.pool.cluster import PoolCluster
from saddlestack.standins.pool.documents import idle_queues
from saddlestack.standins.pool.store import StoreFaults
from saddlestack.wire.dialer import Dialer, Reader, Writer

APPLY_S = 2.0
"""The platform's bound for a confirmed configuration to be in force."""
NARROW_BYTES_S = 1_250_000.0
"""10 Mbit/s, the slowest link of a deployment."""
TRICKLE_BYTES_S = 60_000.0
"""A connection that loses most of its packets."""
WIDE_BYTES_S = 25_000_000.0
MAX_DOCUMENT = 1_048_576
"""Largest value of the platform's store, in bytes; an answer has it in base64."""
BASE64_FACTOR = 4 / 3
LARGE = 4100
"""Number of queues; a document of some 550 KB."""
HUGE = 7300
"""Number of queues; a document of nearly :data:`MAX_DOCUMENT`."""
STEP_S = 0.01
GIVEN_UP_S = 30.0
SETTLED_S = 6.0
CONFIGURATION_PREFIX = "op/"
NARROW = ("entry-2", "entry-3", "entry-4")

Body = Callable[[PoolCluster], Awaitable[None]]


def play(body: Body, *, links: dict[str, float], seed: int = 1) -> None:
    """Runs a coroutine against a started cluster, on a virtual clock."""

    async def main() -> None:
        cluster = PoolCluster(entries=len(links), seed=seed, links=links)
        await cluster.start()
        try:
            await asyncio.sleep(SETTLED_S + random.Random(seed).uniform(0.0, APPLY_S))
            await body(cluster)
        finally:
            await cluster.stop()

    run(main())


def mixed_links() -> dict[str, float]:
    """One VM with a wide link, and others with narrow ones."""
    return {"entry-1": WIDE_BYTES_S, **dict.fromkeys(NARROW, NARROW_BYTES_S)}


def narrow_links() -> dict[str, float]:
    """All VMs have narrow links."""
    return dict.fromkeys(("entry-1", *NARROW), NARROW_BYTES_S)


def answer_bytes(cluster: PoolCluster) -> float:
    """Returns the size of an answer that has the document."""
    return len(cluster.store.item("op/config").value) * BASE64_FACTOR


def is_in_force(cluster: PoolCluster, name: str) -> bool:
    """Whether a VM has the newest configuration in force."""
    current = cluster.member(name).vm.configuration.current
    return current is not None and current.version == cluster.version


async def seconds_until_in_force(cluster: PoolCluster) -> float:
    """Returns how long it takes until all VMs have the newest configuration in force."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while loop.time() < start_s + GIVEN_UP_S:
        if all(is_in_force(cluster, name) for name in cluster.members):
            break
        await asyncio.sleep(STEP_S)
    return loop.time() - start_s


class TricklingDialer(Dialer):
    """Opens connections each of which delivers hardly anything."""

    async def open(self, address: str, port: int, timeout: float = 2.0) -> tuple[Reader, Writer]:
        return await LinkDialer(Link(TRICKLE_BYTES_S)).open(address, port, timeout)


class ChangeTest(unittest.TestCase):
    """A large configuration changes, and no answer is lost."""

    def assert_in_force_in_time(
        self, links: dict[str, float], count: int, seed: int, changes: int = 1
    ) -> None:
        async def body(cluster: PoolCluster) -> None:
            for _ in range(changes):
                cluster.configure(more_queues=idle_queues(count))
                self.assertLess(await seconds_until_in_force(cluster), APPLY_S)
                self.assertLess(len(cluster.store.item("op/config").value), MAX_DOCUMENT)

        with self.subTest(seed=seed):
            play(body, links=links, seed=seed)

    # Watches were abandoned in the middle of a large answer, again and again: 12 s and more.
    def test_a_change_is_in_force_in_time_over_narrow_links(self) -> None:
        for seed in range(1, 5):
            self.assert_in_force_in_time(mixed_links(), LARGE, seed)

    # The same where no VM has the document before the others.
    def test_a_change_is_in_force_in_time_where_all_links_are_narrow(self) -> None:
        for seed in range(1, 5):
            self.assert_in_force_in_time(narrow_links(), LARGE, seed)

    # The largest document that the store takes never came into force over a narrow link.
    def test_the_largest_document_is_in_force_in_time(self) -> None:
        for seed in range(1, 5):
            self.assert_in_force_in_time(narrow_links(), HUGE, seed)

    def test_changes_that_follow_each_other_are_in_force_in_time(self) -> None:
        for seed in range(1, 4):
            self.assert_in_force_in_time(mixed_links(), LARGE, seed, changes=4)

    # Abandoned reads of the document and repeated watches took the link from each other.
    def test_a_vm_receives_a_change_about_once(self) -> None:
        for seed in range(1, 5):

            async def body(cluster: PoolCluster) -> None:
                before = {name: _carried(cluster, name) for name in cluster.members}
                cluster.configure(more_queues=idle_queues(LARGE))
                await seconds_until_in_force(cluster)
                await asyncio.sleep(APPLY_S)
                for name in cluster.members:
                    received = _carried(cluster, name) - before[name]
                    self.assertLess(received, 1.5 * answer_bytes(cluster), name)

            with self.subTest(seed=seed):
                play(body, links=mixed_links(), seed=seed)

    # Heartbeats wait behind a large answer. The store then counted as lost, and the transfer was
    # abandoned when it was back.
    def test_the_store_counts_as_available_while_it_delivers(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.configure(more_queues=idle_queues(HUGE))
            late_s = 0.0
            while not all(is_in_force(cluster, name) for name in cluster.members):
                for name, member in cluster.members.items():
                    self.assertTrue(member.vm.health.is_available, name)
                await asyncio.sleep(STEP_S)
                late_s += STEP_S
                self.assertLess(late_s, GIVEN_UP_S)

        for seed in range(1, 4):
            with self.subTest(seed=seed):
                play(body, links=narrow_links(), seed=seed)


class SeriesTest(unittest.TestCase):
    """Changes follow each other faster than a narrow link carries the documents."""

    async def assert_each_in_force_in_time(self, cluster: PoolCluster) -> None:
        """Checks that all VMs apply each version, or a later one, within its bound."""
        loop = asyncio.get_running_loop()
        written_s: dict[int, float] = {}
        for _ in range(5):
            cluster.configure(more_queues=idle_queues(HUGE))
            written_s[cluster.version] = loop.time()
            await asyncio.sleep(0.6)
        while not all(is_in_force(cluster, name) for name in cluster.members):
            for name, member in cluster.members.items():
                due = [v for v, at_s in written_s.items() if loop.time() - at_s > APPLY_S]
                self.assertGreaterEqual(member.vm.configuration.version, max(due, default=0), name)
            await asyncio.sleep(STEP_S)
        self.assertLess(loop.time() - written_s[cluster.version], APPLY_S)

    # A watch brings each version in turn, so that a VM fell behind by more with each of them.
    def test_a_vm_does_not_receive_versions_that_are_replaced_already(self) -> None:
        for seed in range(1, 4):
            with self.subTest(seed=seed):
                play(self.assert_each_in_force_in_time, links=mixed_links(), seed=seed)

    # A refused document was read once more beside the watch that brought the next version.
    def test_a_version_that_follows_a_refused_document_is_in_force_in_time(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.configure(more_queues=idle_queues(HUGE))
            await seconds_until_in_force(cluster)
            await asyncio.sleep(SETTLED_S)
            cluster.store.put("op/config", cluster.store.item("op/config").value[:-1])
            await asyncio.sleep(0.1)
            cluster.configure(more_queues=idle_queues(HUGE))
            self.assertLess(await seconds_until_in_force(cluster), APPLY_S)

        play(body, links=mixed_links())


class LeaderTest(unittest.TestCase):
    """The leader's own link is narrow, and large configurations follow each other."""

    # Renewals wait behind a large answer as heartbeats do.
    def test_a_leader_keeps_its_term_while_it_receives_a_large_document(self) -> None:
        for seed in range(1, 4):

            async def body(cluster: PoolCluster) -> None:
                name = cluster.leader_name
                scheduler = cluster.member(name).vm.scheduler
                for _ in range(6):
                    cluster.configure(more_queues=idle_queues(HUGE))
                    await asyncio.sleep(1.2)
                self.assertEqual(cluster.leader_name, name)
                self.assertIs(cluster.member(name).vm.scheduler, scheduler)

            with self.subTest(seed=seed):
                play(body, links=narrow_links(), seed=seed)


class LostAnswerTest(unittest.TestCase):
    """The answer that has a large configuration is lost, or its connection goes silent."""

    # A second transfer over the narrow link took longer than what was left of the bound.
    def test_a_lost_answer_to_a_watch_does_not_hold_a_change_back(self) -> None:
        for seed in range(1, 5):

            async def body(cluster: PoolCluster, seed: int = seed) -> None:
                faults = self._faults(cluster, NARROW[seed % len(NARROW)])
                faults.lost_watches = frozenset({CONFIGURATION_PREFIX})
                cluster.configure(more_queues=idle_queues(LARGE))
                await asyncio.sleep(0.05)
                faults.lost_watches = frozenset()
                self.assertLess(0.05 + await seconds_until_in_force(cluster), APPLY_S)

            with self.subTest(seed=seed):
                play(body, links=mixed_links(), seed=seed)

    # A listing was abandoned after 0.5, 1, 2 and 4 s, each of them a transfer for nothing.
    def test_a_large_listing_is_received_once(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.configure(more_queues=idle_queues(HUGE))
            await seconds_until_in_force(cluster)
            before = {name: _carried(cluster, name) for name in NARROW}
            cluster.evacuate("hall-9")
            cluster.store.forget_history()
            await asyncio.sleep(SETTLED_S)
            for name in NARROW:
                received = _carried(cluster, name) - before[name]
                self.assertLess(received, 1.5 * answer_bytes(cluster), name)

        play(body, links=mixed_links())

    # The second read of a document that was refused ended after 0.6 s, and began again and again.
    def test_a_large_document_that_is_refused_is_read_once_more(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.configure(more_queues=idle_queues(HUGE))
            await seconds_until_in_force(cluster)
            await asyncio.sleep(SETTLED_S)
            before = {name: _carried(cluster, name) for name in NARROW}
            cluster.store.put("op/config", cluster.store.item("op/config").value[:-1])
            await asyncio.sleep(SETTLED_S)
            for name in NARROW:
                received = _carried(cluster, name) - before[name]
                self.assertLess(received, 2.5 * answer_bytes(cluster), name)

        play(body, links=narrow_links())

    # A large document did not fit into the time of a call to another VM, and never came into force.
    def test_a_vm_that_the_store_turns_away_gets_the_largest_document(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            self._faults(cluster, "entry-3").refusing = True
            await asyncio.sleep(SETTLED_S)
            for _ in range(3):
                cluster.configure(more_queues=idle_queues(HUGE))
                self.assertLess(await seconds_until_in_force(cluster), APPLY_S)
                await asyncio.sleep(0.3)

        play(body, links=mixed_links())

    # A connection that delivered hardly anything was waited for, since it had not gone silent.
    def test_an_answer_that_hardly_arrives_does_not_hold_a_change_back(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            store = cluster.member("entry-2").vm.health._store
            assert isinstance(store, KvStore)
            store._http._dialer = TricklingDialer()
            store.close()
            await asyncio.sleep(SETTLED_S)
            cluster.configure(more_queues=idle_queues(LARGE))
            self.assertLess(await seconds_until_in_force(cluster), APPLY_S)
            self.assertTrue(cluster.member("entry-2").vm.health.is_available)

        play(body, links=mixed_links())

    def _faults(self, cluster: PoolCluster, name: str) -> StoreFaults:
        return cluster.member(name).view.faults


def _carried(cluster: PoolCluster, name: str) -> int:
    link = cluster.member(name).link
    assert link is not None
    return link.carried


if __name__ == "__main__":
    unittest.main()
