"""A confirmed configuration is in force in time, whatever happens to single answers of the store.

Guards against calls that are handled as only an older configuration allows: an added queue that is
unknown, a removed key that is still accepted.
"""

from __future__ import annotations

import asyncio
import dataclasses
import logging
import math
import random
import unittest
from collections.abc import Awaitable, Callable

from saddlestack.control.configuration import WATCH_SHARE
from saddlestack.control.keys import LEADER
from saddlestack.interfaces.documents import PoolConfiguration
from saddlestack.interfaces.store import Item
from saddlestack.standins.loop import run
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.documents import KEY, QUEUES
from saddlestack.standins.pool.store import StoreFaults
from saddlestack.wire.http import HttpClient, Response
from saddlestack.work import JobState

HOST_HEADER = "jobs.example"
CALL_S = 3.0
APPLY_S = 2.0
"""The platform's bound for a confirmed configuration to be in force."""
JOB = "00000000000000aa"
SECOND_KEY = "a-second-key"
GIVEN_UP_S = 30.0
LONG_OUTAGE_S = 1500.0
CONFIGURATION_PREFIX = "op/"
SETTLED_S = 4.0
PAUSED_S = 2.2
MAX_QUIET_AGE_S = 2 * WATCH_SHARE * APPLY_S + 0.1
"""A watch that returned a change shows no more than that nothing was missing when it was sent."""

Body = Callable[[PoolCluster], Awaitable[None]]


def play(body: Body, *, entries: int = 3, seed: int = 1) -> None:
    """Runs a coroutine against a started cluster, on a virtual clock."""

    async def main() -> None:
        cluster = PoolCluster(entries=entries, seed=seed)
        await cluster.start()
        try:
            await body(cluster)
        finally:
            await cluster.stop()

    run(main())


async def get(cluster: PoolCluster, name: str, path: str, key: str = KEY) -> Response:
    """Sends a client's call to one VM."""
    client = HttpClient("127.0.0.1", cluster.member(name).vm.clients.port)
    headers = (("saddlestack-credential", key),)
    try:
        return await client.request("GET", path, timeout=CALL_S, headers=headers, host=HOST_HEADER)
    finally:
        client.close()


def gauges(cluster: PoolCluster, name: str) -> dict[str, int]:
    """Returns the counters and gauges of one VM."""
    return cluster.member(name).vm.metrics.view().counters


async def seconds_until_in_force(cluster: PoolCluster, name: str) -> float:
    """Returns how long it takes until a VM has the newest configuration in force."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    while loop.time() < start_s + GIVEN_UP_S:
        current = cluster.member(name).vm.configuration.current
        if current is not None and current.version == cluster.version:
            break
        await asyncio.sleep(0.01)
    return loop.time() - start_s


class LostAnswerTest(unittest.TestCase):
    """The calls that follow the configuration lose an answer, while heartbeats are answered."""

    def assert_in_force_in_time(
        self, seed: int, lose: Callable[[StoreFaults], None], *, forget: bool = False
    ) -> None:
        async def body(cluster: PoolCluster) -> None:
            name = f"entry-{seed % 3 + 1}"
            faults = cluster.member(name).view.faults
            await asyncio.sleep(random.Random(seed).uniform(4.0, 8.0))
            lose(faults)
            if forget:
                cluster.evacuate("hall-9")
                cluster.store.forget_history()
                await asyncio.sleep(0.15)
            cluster.configure()
            await asyncio.sleep(0.05)
            faults.lost_watches = frozenset()
            late_s = 0.05 + await seconds_until_in_force(cluster, name)
            self.assertLess(late_s, APPLY_S)
            self.assertTrue(cluster.member(name).vm.health.is_available)

        with self.subTest(seed=seed):
            play(body, seed=seed)

    # An added queue was unknown for up to 4 s where one answer to a watch was lost.
    def test_a_lost_answer_to_a_watch_does_not_hold_a_configuration_back(self) -> None:
        def lose(faults: StoreFaults) -> None:
            faults.lost_watches = frozenset({CONFIGURATION_PREFIX})

        for seed in range(1, 13):
            self.assert_in_force_in_time(seed, lose)

    # A VM that had to read everything again waited 3 s for one lost answer to that.
    def test_a_lost_answer_to_a_listing_does_not_hold_a_configuration_back(self) -> None:
        def lose(faults: StoreFaults) -> None:
            faults.lost_lists = {CONFIGURATION_PREFIX: 1}

        for seed in range(1, 13):
            self.assert_in_force_in_time(seed, lose, forget=True)

    def test_a_listing_that_takes_long_is_read_in_the_end(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            member = cluster.member("entry-1")
            member.view.faults.slow_lists = {CONFIGURATION_PREFIX: 2.0}
            cluster.evacuate("hall-9")
            cluster.store.forget_history()
            await asyncio.sleep(0.2)
            cluster.configure()
            self.assertLess(await seconds_until_in_force(cluster, "entry-1"), GIVEN_UP_S)

        play(body)

    # The time for a listing was doubled without a limit, which overflows after 1,024 failures.
    def test_a_configuration_is_in_force_soon_after_a_long_outage(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            for member in cluster.members.values():
                member.view.faults.refusing = True
            cluster.evacuate("hall-9")
            cluster.store.forget_history()
            await asyncio.sleep(LONG_OUTAGE_S)
            cluster.configure()
            for member in cluster.members.values():
                member.view.faults.refusing = False
            self.assertLess(await seconds_until_in_force(cluster, "entry-1"), APPLY_S)
            await cluster.until(lambda: cluster.leader is not None)

        play(body)

    # A new leader started nothing for 3 s where one answer to its first listings was lost.
    def test_a_lost_answer_to_a_listing_does_not_hold_a_new_leader_back(self) -> None:
        for prefix in ("op/evacuate/", LEADER):

            async def body(cluster: PoolCluster, prefix: str = prefix) -> None:
                for member in cluster.members.values():
                    member.view.faults.lost_lists = {prefix: 1}
                cluster.store.put(LEADER, b"")
                cluster.store.forget_history()
                await cluster.kill(cluster.leader_name)
                start_s = asyncio.get_running_loop().time()
                cluster.store.remove(LEADER)
                await cluster.until(lambda: cluster.leader is not None)
                self.assertLess(asyncio.get_running_loop().time() - start_s, APPLY_S)

            with self.subTest(prefix):
                play(body)


class UnreachableStoreTest(unittest.TestCase):
    """A VM does not reach the store, while other VMs may."""

    # A VM that the store turned away served removed keys and refused added queues for as long as
    # that lasted, though it reached VMs that had the new configuration.
    def test_a_vm_that_the_store_turns_away_gets_the_configuration_through_others(self) -> None:
        for fault in ("silent", "refusing"):

            async def body(cluster: PoolCluster, fault: str = fault) -> None:
                cluster.configure(more_keys=[SECOND_KEY])
                await asyncio.sleep(SETTLED_S)
                setattr(cluster.member("entry-2").view.faults, fault, True)
                for version in range(4):
                    queue = f"queue-{version}"
                    await asyncio.sleep(0.9)
                    cluster.configure(more_queues=[queue])
                    self.assertLess(await seconds_until_in_force(cluster, "entry-2"), APPLY_S)
                    found = await get(cluster, "entry-2", f"/{queue}/")
                    self.assertEqual(found.status, 200)
                    removed = await get(cluster, "entry-2", f"/{queue}/", key=SECOND_KEY)
                    self.assertEqual(removed.status, 401)
                    unknown = await get(cluster, "entry-2", "/no-queue/")
                    self.assertEqual(unknown.status, 404)

            with self.subTest(fault):
                play(body)

    # «No such queue» is definite: a client does not come back. It was answered from a
    # configuration of any age.
    def test_a_refusal_that_may_be_out_of_date_is_unavailable_instead(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            for member in cluster.members.values():
                member.view.faults.silent = True
            await asyncio.sleep(SETTLED_S)
            for path, key in (("/no-queue/", KEY), (f"/{QUEUES[0][0]}/", "no-key")):
                found = await get(cluster, "entry-1", path, key)
                self.assertEqual(found.status, 503)
                self.assertEqual(found.headers["retry-after"], "1")
            for member in cluster.members.values():
                member.view.faults.silent = False
            await asyncio.sleep(APPLY_S)
            self.assertEqual((await get(cluster, "entry-1", "/no-queue/")).status, 404)

        play(body)

    def test_a_refusal_is_confirmed_by_a_read_before_it_is_sent(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(SETTLED_S)
            member = cluster.member("entry-1")
            member.vm.configuration._feed._current_as_of_s = -math.inf
            reads = cluster.store.reads
            self.assertEqual((await get(cluster, "entry-1", "/no-queue/")).status, 404)
            self.assertGreater(cluster.store.reads, reads)

        play(body)

    def test_a_call_that_is_refused_by_an_old_version_is_handled_by_the_new_one(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(SETTLED_S)
            member = cluster.member("entry-1")
            member.view.faults.lost_watches = frozenset({CONFIGURATION_PREFIX})
            member.vm.configuration._feed._current_as_of_s = -math.inf
            cluster.configure(more_queues=["added"])
            self.assertEqual((await get(cluster, "entry-1", "/added/")).status, 200)

        play(body)


class PauseTest(unittest.TestCase):
    # A VM that was paused while the configuration changed handled some calls by the new version
    # and, after these, others by the old one.

    def test_a_call_after_a_pause_is_not_handled_by_an_older_version(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.change_during_pause(cluster)
            self.assertEqual((await get(cluster, "entry-1", "/removed/")).status, 404)

        play(body)

    def test_a_vm_that_was_paused_during_an_outage_still_handles_calls(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.change_during_pause(cluster)
            for member in cluster.members.values():
                member.view.faults.silent = True
            for _ in range(2):
                self.assertEqual((await get(cluster, "entry-1", "/removed/")).status, 200)

        play(body)

    def test_calls_without_a_pause_are_not_confirmed(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(SETTLED_S)
            before = gauges(cluster, "entry-1").get("configuration_reads", 0)
            for _ in range(20):
                await get(cluster, "entry-1", f"/{QUEUES[0][0]}/")
                await asyncio.sleep(0.3)
            self.assertEqual(gauges(cluster, "entry-1").get("configuration_reads", 0), before)

        play(body)

    async def change_during_pause(self, cluster: PoolCluster) -> None:
        """Remove a queue while the clock of one VM passes, and nothing reaches the VM."""
        cluster.configure(more_queues=["removed"])
        await asyncio.sleep(SETTLED_S)
        member = cluster.member("entry-1")
        member.view.faults.lost_watches = frozenset({CONFIGURATION_PREFIX})
        cluster.configure()
        clock = member.vm.configuration.clock
        before_s = clock.now
        clock.now = lambda: before_s() + PAUSED_S  # type: ignore[method-assign]


class MixedAnswerTest(unittest.TestCase):
    """A configuration comes in one answer with other documents, or damaged."""

    def test_unreadable_documents_in_the_same_answer_do_not_hold_it_back(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(SETTLED_S)
            cluster.store.put("op/wave/3", b"{")
            cluster.store.put("op/evacuate/hall-9", b"\xff")
            cluster.configure()
            cluster.store.put("op/unknown", b"\x00")
            for name in cluster.members:
                self.assertLess(await seconds_until_in_force(cluster, name), 0.1)

        play(body)

    # A value that was damaged in one answer counted as an invalid document, and the VM kept the
    # older configuration until the next change.
    def test_a_value_that_is_damaged_in_one_answer_is_read_again(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(SETTLED_S)
            configuration = cluster.member("entry-1").vm.configuration
            real_receive = configuration._receive

            def receive_damaged(items: tuple[Item, ...]) -> None:
                cut = (dataclasses.replace(item, value=item.value[:-3]) for item in items)
                real_receive(tuple(cut))

            configuration._feed._on_change = receive_damaged
            cluster.configure()
            await asyncio.sleep(0.05)
            configuration._feed._on_change = real_receive
            self.assertLess(await seconds_until_in_force(cluster, "entry-1"), APPLY_S)

        play(body)

    def test_an_invalid_document_is_not_read_again_and_again(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.store.put("op/config", b"{")
            await asyncio.sleep(60.0)
            for name in cluster.members:
                self.assertEqual(gauges(cluster, name)["configuration_reads"], 1)

        play(body)

    def test_a_job_of_a_queue_that_its_leader_does_not_know_yet_is_run(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(SETTLED_S)
            leader = cluster.member(cluster.leader_name)
            other = next(name for name in cluster.members if name != cluster.leader_name)
            leader.view.faults.lost_watches = frozenset({CONFIGURATION_PREFIX})
            cluster.configure(more_queues=["added"])
            await seconds_until_in_force(cluster, other)
            call = dataclasses.replace(
                cluster.call("normal"),
                queue=dataclasses.replace(cluster.call("normal").queue, name="added"),
            )
            await cluster.member(other).vm.jobs.submit(call, JOB, job(1))
            await cluster.until_state(JOB, JobState.COMPLETED)
            leader.view.faults.lost_watches = frozenset()

        play(body)


class FailingListenerTest(unittest.TestCase):
    # A service that could not apply a configuration kept the ones after it from being told of it:
    # the version counted as in force, so it was not told to anybody again.
    def test_a_failing_listener_does_not_keep_others_from_a_configuration(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            configuration = cluster.member("entry-1").vm.configuration
            told: list[int] = []

            def fail(current: PoolConfiguration) -> None:
                if current.version > 1:
                    raise RuntimeError("a defect")

            configuration.add_listener(fail)
            configuration.add_listener(lambda current: told.append(current.version))
            cluster.configure()
            await asyncio.sleep(SETTLED_S)
            cluster.configure()
            await asyncio.sleep(SETTLED_S)
            self.assertEqual(told, [1, 2, 3])
            found = gauges(cluster, "entry-1")
            self.assertEqual(found["configuration_listener_failures"], 2)
            self.assertNotIn("feed_failures", found)

        play(body)


class ObservabilityTest(unittest.TestCase):
    def test_gauges_show_the_version_and_the_age(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.configure()
            await asyncio.sleep(SETTLED_S)
            for name in cluster.members:
                found = gauges(cluster, name)
                self.assertEqual(found["configuration_version"], cluster.version)
                self.assertLess(found["configuration_age_ms"], MAX_QUIET_AGE_S * 1000)
                self.assertIn("members_age_ms", found)
            for feed in ("workers", "requests", "evacuations", "waves"):
                self.assertIn(f"{feed}_age_ms", gauges(cluster, cluster.leader_name))
            name = cluster.leader_name
            for member in cluster.members.values():
                member.view.faults.silent = True
            before = gauges(cluster, name)["configuration_age_ms"]
            await asyncio.sleep(SETTLED_S)
            self.assertGreaterEqual(gauges(cluster, name)["configuration_age_ms"], before + 3_900)

        play(body)

    def test_a_refused_call_is_logged_with_the_version_and_its_age(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            queue = QUEUES[0][0]
            with self.assertLogs("saddlestack.calls", logging.INFO) as caught:
                self.assertEqual((await get(cluster, "entry-1", "/no-queue/")).status, 404)
                refused = await get(cluster, "entry-1", f"/{queue}/", key="no-key")
                self.assertEqual(refused.status, 401)
            for record, status in zip(caught.records, (404, 401), strict=True):
                found = vars(record)
                self.assertEqual((found["event"], found["status"]), ("call_refused", status))
                self.assertEqual(found["version"], cluster.version)
                self.assertLess(found["age_s"], MAX_QUIET_AGE_S)
                self.assertNotIn("no-key", str(found))

        play(body)

    def test_a_watch_without_an_answer_is_logged_while_heartbeats_are_answered(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            member = cluster.member("entry-1")
            await asyncio.sleep(SETTLED_S)
            with self.assertLogs("saddlestack", logging.WARNING) as caught:
                member.view.faults.lost_watches = frozenset({"op/"})
                await asyncio.sleep(SETTLED_S)
            overdue = [
                record for record in caught.records if vars(record).get("event") == "watch_overdue"
            ]
            self.assertEqual({vars(record)["prefix"] for record in overdue}, {"op/"})
            self.assertTrue(member.vm.health.is_available)

        play(body)


if __name__ == "__main__":
    unittest.main()
