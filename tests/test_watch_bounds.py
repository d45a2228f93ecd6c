"""What a VM follows in the store is late by a bounded time if one answer to a watch is lost.

Each case changes one thing while the answer that would tell a VM of it is lost, and heartbeats are
answered. Guards against watches that are waited for although nothing will arrive.
"""

from __future__ import annotations

import asyncio
import unittest
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, cast

import msgspec

from saddlestack.control.configuration import WATCH_SHARE
from saddlestack.control.entry import EntryVm
from saddlestack.control.feed import FIRST_RETRY_S, WATCH_TIMEOUT_S
from saddlestack.control.guarded import GuardedStore
from saddlestack.control.health import MIN_OVERDUE_S
from saddlestack.control.keys import LEADER, MEMBERS, REQUESTS
from saddlestack.control.leadership import MAX_CAMPAIGN_DELAY_S, RETRY_S
from saddlestack.control.scheduler import REQUESTS_WAIT_S, WORKER_FEED_GAP_S, WORKER_WATCH_WAIT_S
from saddlestack.interfaces.store import Listing, StoreUnavailable
from saddlestack.standins.loop import VirtualClock, run
from saddlestack.standins.pool.cluster import PoolCluster, job

SETTLED_S = 4.3
ANSWER_S = 0.1
"""Two calls to the store, and the interval in which a condition is checked."""
UPKEEP_S = 0.6
"""Until the status of a new wave is written: a tick, a read and a write."""
LOST_S = 0.05
A = "00000000000000aa"
NEW_VM = "entry-9"


@dataclass(frozen=True, slots=True)
class Case:
    """A thing that is followed.

    :param wait_s: timeout of its watch.
    :param more_s: time that the change itself takes, in addition to the answers.
    """

    prefix: str
    wait_s: float
    change: Callable[[PoolCluster], object]
    is_seen: Callable[[PoolCluster, EntryVm], bool]
    more_s: float = 0.0

    @property
    def bound_s(self) -> float:
        """The watch, the time after which it is overdue, a pause and the next answer."""
        return self.wait_s + MIN_OVERDUE_S + FIRST_RETRY_S + ANSWER_S + self.more_s


def _has_configuration(cluster: PoolCluster, vm: EntryVm) -> bool:
    current = vm.configuration.current
    return current is not None and current.version == cluster.version


def _put_wave(cluster: PoolCluster) -> None:
    machine = next(iter(cluster.worker_pool.workers.values())).machine
    wave = {"wave": 8, "machines": [machine], "deadline-s": 10, "max-tasks": 1}
    cluster.store.put("op/wave/8", msgspec.json.encode(wave))


def _put_member(cluster: PoolCluster) -> None:
    name, member = next(iter(cluster.members.items()))
    record = cluster.store.item(f"{MEMBERS}{name}").value.replace(name.encode(), NEW_VM.encode())
    assert member.vm.settings.vm == name
    cluster.store.put(f"{MEMBERS}{NEW_VM}", record)


def _submit(cluster: PoolCluster) -> None:
    for member in cluster.members.values():
        member.vm.jobs._leader_rpc.notify = lambda item: None  # type: ignore[method-assign]
    asyncio.get_running_loop().create_task(cluster.submit(A, job(1), at="entry-1"))


def _knows_job(cluster: PoolCluster, vm: EntryVm) -> bool:
    return vm.scheduler is not None and A in vm.scheduler.cluster_state.jobs


def _has_new_worker(cluster: PoolCluster, vm: EntryVm) -> bool:
    return vm.scheduler is not None and len(vm.scheduler.cluster_state.workers) == 5


def _knows_new_leader(cluster: PoolCluster, vm: EntryVm) -> bool:
    leader = vm.leadership.leader
    return leader is not None and leader.vm == cluster.leader_name


CASES = {
    "configuration": Case(
        "op/", WATCH_SHARE * 2.0, lambda cluster: cluster.configure(), _has_configuration
    ),
    "workers": Case(
        "servers/",
        WORKER_WATCH_WAIT_S,
        lambda cluster: cluster.worker_pool.add("r1-1", "hall-1"),
        _has_new_worker,
        WORKER_FEED_GAP_S,
    ),
    "requests": Case(REQUESTS, REQUESTS_WAIT_S, _submit, _knows_job, ANSWER_S),
    "evacuations": Case(
        "op/evacuate/",
        WATCH_TIMEOUT_S,
        lambda cluster: cluster.evacuate("hall-1"),
        lambda cluster, vm: vm.metrics.view().counters.get("evacuated_halls") == 1,
    ),
    "waves": Case(
        "op/wave/",
        WATCH_TIMEOUT_S,
        _put_wave,
        lambda cluster, vm: bool(cluster.store.item("status/wave/8").revision),
        UPKEEP_S,
    ),
    "members": Case(
        MEMBERS,
        WATCH_TIMEOUT_S,
        _put_member,
        lambda cluster, vm: vm.membership.member(NEW_VM) is not None,
    ),
}


async def seconds_until(holds: Callable[[], bool]) -> float:
    """Returns how long it takes until a condition holds."""
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    async with asyncio.timeout(60.0):
        while not holds():
            await asyncio.sleep(0.01)
    return loop.time() - start_s


class WatchBoundsTest(unittest.TestCase):
    def lateness_s(self, case: Case, after_s: float) -> float:
        """Returns how long the leader takes to see a change whose answer is lost."""

        async def main() -> float:
            cluster = PoolCluster()
            await cluster.start()
            try:
                await asyncio.sleep(after_s)
                vm = cluster.member(cluster.leader_name).vm
                faults = cluster.member(cluster.leader_name).view.faults
                faults.lost_watches = frozenset({case.prefix})
                case.change(cluster)
                await asyncio.sleep(LOST_S)
                faults.lost_watches = frozenset()
                late_s = await seconds_until(lambda: case.is_seen(cluster, vm))
                self.assertTrue(vm.health.is_available)
                return LOST_S + late_s
            finally:
                await cluster.stop()

        return run(main())

    def test_a_lost_answer_delays_a_change_by_a_bounded_time(self) -> None:
        for name, case in CASES.items():
            for after_s in (SETTLED_S, SETTLED_S + 0.9, SETTLED_S + 1.8, SETTLED_S + 2.7):
                with self.subTest(name, after_s=after_s):
                    self.assertLess(self.lateness_s(case, after_s), case.bound_s)

    def test_a_lost_answer_delays_a_new_leader_by_a_bounded_time(self) -> None:
        async def body(after_s: float) -> float:
            cluster = PoolCluster()
            await cluster.start()
            try:
                await asyncio.sleep(after_s)
                name = next(name for name in cluster.members if name != cluster.leader_name)
                faults = cluster.member(name).view.faults
                faults.lost_watches = frozenset({LEADER})
                former = cluster.leader_name
                await cluster.kill(former)
                cluster.store.remove(LEADER)
                await asyncio.sleep(LOST_S)
                faults.lost_watches = frozenset()
                vm = cluster.member(name).vm
                return LOST_S + await seconds_until(
                    lambda: cluster.leader is not None and _knows_new_leader(cluster, vm)
                )
            finally:
                await cluster.stop()

        bound_s = WATCH_TIMEOUT_S + MIN_OVERDUE_S + RETRY_S + ANSWER_S + MAX_CAMPAIGN_DELAY_S
        for after_s in (SETTLED_S, SETTLED_S + 0.9, SETTLED_S + 1.8, SETTLED_S + 2.7):
            with self.subTest(after_s=after_s):
                self.assertLess(run(body(after_s)), bound_s)


class LostOnceStore:
    """A store that never answers the first watch, and answers each later one after its wait."""

    def __init__(self) -> None:
        self.watches = 0

    async def watch(self, prefix: str, after: int, wait_s: float) -> Listing:
        self.watches += 1
        await asyncio.sleep(3600.0 if self.watches == 1 else wait_s)
        return Listing((), after)


class FakeHealth:
    """Tells once that the store is available again."""

    def __init__(self) -> None:
        self.clock = VirtualClock()
        self.overdue_after_s = MIN_OVERDUE_S
        self.recovery: asyncio.Future[float] = asyncio.get_running_loop().create_future()

    def recover(self) -> None:
        recovery, self.recovery = self.recovery, asyncio.get_running_loop().create_future()
        recovery.set_result(self.clock.now())

    def probe_now(self) -> None:
        return None


class RepeatedWatchTest(unittest.TestCase):
    # A watch that was sent again after an outage had only the rest of the first one's time.
    def test_a_watch_that_is_repeated_after_an_outage_has_its_whole_time(self) -> None:
        async def main() -> None:
            health, store = FakeHealth(), LostOnceStore()
            guarded = GuardedStore(cast(Any, store), cast(Any, health))
            asyncio.get_running_loop().call_later(0.9, health.recover)
            found = await guarded.watch("op/", 7, 1.0)
            self.assertEqual((found.revision, store.watches), (7, 2))
            self.assertAlmostEqual(health.clock.now(), 1.9, places=2)

        run(main())

    def test_a_watch_without_an_answer_has_twice_the_time_the_next_time(self) -> None:
        async def main() -> None:
            health, store = FakeHealth(), LostOnceStore()
            guarded = GuardedStore(cast(Any, store), cast(Any, health))
            for limit_s in (1.25, 1.5, 2.0, 3.0, 5.0, 5.0):
                store.watches = 0
                start_s = health.clock.now()
                with self.assertRaises(StoreUnavailable):
                    await guarded.watch("op/", 7, 1.0)
                self.assertAlmostEqual(health.clock.now() - start_s, limit_s, places=2)
            await guarded.watch("op/", 7, 1.0)
            store.watches = 0
            start_s = health.clock.now()
            with self.assertRaises(StoreUnavailable):
                await guarded.watch("op/", 7, 1.0)
            self.assertAlmostEqual(health.clock.now() - start_s, 1.25, places=2)

        run(main())


if __name__ == "__main__":
    unittest.main()
