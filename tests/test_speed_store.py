"""Worker speeds in the store: what the next leader knows, and what lost or foreign records do."""

from __future__ import annotations

import asyncio
import unittest
import unittest.mock
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any, cast

import msgspec

from saddlestack.codec import to_msgpack
from saddlestack.control import keys, speedcodec
from saddlestack.control.settings import Scheduling
from saddlestack.control.speedlog import MAX_LINES_PER_S, SpeedLog
from saddlestack.control.speeds import MAX_PARTITIONS_PER_WRITE, SpeedStore
from saddlestack.errors import SaddlestackError
from saddlestack.interfaces.store import Item
from saddlestack.policy.cluster.speed_records import SpeedChange, SpeedRow
from saddlestack.policy.cluster.speeds import SpeedTracker
from saddlestack.policy.cluster.workers import Worker
from saddlestack.standins.loop import VirtualClock, run
from saddlestack.standins.pool import cluster as pool_cluster
from saddlestack.standins.pool.cluster import PoolCluster
from saddlestack.standins.pool.store import StoreState, StoreView
from tests.speed_pool import OPTIONS, SLOW, worker_record
from tests.support import bare_context
from tests.test_pool import PoolTest

INTERVAL_S = 2.0
KEPT_S = 60.0
WALL_MS = 1_000_000.0


class Health:
    """A store's health that does not wait."""

    async def wait_for_recovery(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)


@dataclass
class Leader:
    """The speeds of one leader, over a store that all leaders share."""

    state: StoreState
    machines: int
    on_inherited: Callable[[], None] = lambda: None

    def __post_init__(self) -> None:
        self.view = StoreView(self.state)
        self.clock = VirtualClock()
        self.context = bare_context(self.clock, store=self.view, health=cast(Any, Health()))
        self.tracker = SpeedTracker(OPTIONS)
        self.workers = [Worker(worker_record(f"w{number}")) for number in range(self.machines)]
        for worker in self.workers:
            self.tracker.add_worker(worker)
        fence = self.state.put(keys.LEADER, b"leader")
        self.store = SpeedStore(
            self.context, self.tracker, fence, INTERVAL_S, lambda: self.on_inherited()
        )
        self.store.start()

    def learn(self, factor: Callable[[int], float]) -> None:
        """Learn the factors of all workers, by their number."""
        rows = [
            SpeedRow(worker.machine, factor(number), 0.8, 3, 0.0)
            for number, worker in enumerate(self.workers)
        ]
        self.tracker.inherit(rows, self.clock.now())
        self.settle()

    def settle(self) -> None:
        for _ in range(self.machines // 100 + 2):
            self.tracker.refresh(self.clock.now())
        self.store.take_changes()

    def count(self, counter: str) -> int:
        return self.context.metrics.view().counters.get(counter, 0)

    def slow(self) -> set[str]:
        return {worker.worker_id for worker in self.workers if worker.time_factor > SLOW}

    def stored(self) -> dict[str, Item]:
        return {item.key: item for item in self.state.keys(keys.SPEEDS)}


def a_third(number: int) -> float:
    return 2.44 if number % 3 == 0 else 1.0


class StoreCase(unittest.TestCase):
    def play(self, body: Callable[[StoreState], Awaitable[None]]) -> None:
        async def main() -> None:
            await body(StoreState())

        run(main())

    async def write(self, leader: Leader, seconds: float) -> asyncio.Task[None]:
        task = asyncio.get_running_loop().create_task(leader.store.run())
        await asyncio.sleep(seconds)
        return task


class LeaderChangeTest(StoreCase):
    def test_the_next_leader_knows_what_was_last_written(self) -> None:
        async def body(state: StoreState) -> None:
            first = Leader(state, 30)
            first.learn(a_third)
            await self.write(first, INTERVAL_S + 0.1)
            told = []
            second = Leader(state, 30, lambda: told.append(True))
            await second.store.load()
            second.settle()
            self.assertEqual(second.slow(), first.slow())
            self.assertEqual(len(second.slow()), 10)
            self.assertEqual(told, [True])

        self.play(body)

    def test_a_stable_level_is_still_known_long_after_its_write(self) -> None:
        """A partition is written when a level changes; a slow worker may stay slow for hours."""

        async def body(state: StoreState) -> None:
            first = Leader(state, 30)
            first.learn(a_third)
            await self.write(first, INTERVAL_S + 0.1)
            await asyncio.sleep(3600.0)
            second = Leader(state, 30)
            await second.store.load()
            second.settle()
            self.assertEqual(len(second.slow()), 10)

        self.play(body)

    def test_a_leader_that_was_displaced_writes_nothing(self) -> None:
        async def body(state: StoreState) -> None:
            first = Leader(state, 30)
            first.learn(a_third)
            state.put(keys.LEADER, b"another")
            task = await self.write(first, 3 * INTERVAL_S)
            self.assertTrue(task.done())
            self.assertEqual(first.stored(), {})
            self.assertEqual(first.count("speed_writes"), 0)

        self.play(body)


class LostWriteTest(StoreCase):
    def test_the_partitions_of_a_write_without_answer_go_with_the_next_one(self) -> None:
        async def body(state: StoreState) -> None:
            leader = Leader(state, 30)
            leader.view.faults.lose_answers = 1
            leader.view.faults.late_s = 100.0
            leader.learn(a_third)
            await self.write(leader, INTERVAL_S + 1.5)
            self.assertEqual(leader.stored(), {})
            self.assertEqual(leader.count("speed_writes_lost"), 1)
            await asyncio.sleep(INTERVAL_S + 0.5)
            self.assertEqual(set(leader.stored()), {keys.speeds_key(0)})
            self.assertEqual(leader.count("speed_writes"), 1)

        self.play(body)

    def test_learning_goes_on_while_the_store_does_not_answer(self) -> None:
        for silent in (True, False):

            async def body(state: StoreState, silent: bool = silent) -> None:
                leader = Leader(state, 30)
                leader.view.faults.silent = silent
                leader.view.faults.refusing = not silent
                leader.learn(a_third)
                await self.write(leader, 20.0)
                self.assertEqual(leader.stored(), {})
                self.assertEqual(len(leader.slow()), 10)
                self.assertGreater(leader.count("speed_writes_lost"), 3)
                leader.view.faults.silent = leader.view.faults.refusing = False
                await asyncio.sleep(2 * INTERVAL_S + 0.5)
                self.assertEqual(len(leader.stored()), 1)

            with self.subTest(silent=silent):
                self.play(body)

    def test_a_new_leader_reads_again_until_the_store_answers(self) -> None:
        async def body(state: StoreState) -> None:
            first = Leader(state, 30)
            first.learn(a_third)
            await self.write(first, INTERVAL_S + 0.1)
            second = Leader(state, 30)
            second.view.faults.refusing = True
            load = asyncio.get_running_loop().create_task(second.store.load())
            await asyncio.sleep(5.0)
            self.assertFalse(load.done())
            second.view.faults.refusing = False
            await asyncio.sleep(1.0)
            second.settle()
            self.assertEqual(len(second.slow()), 10)

        self.play(body)


class PartitionTest(StoreCase):
    def test_the_number_of_partitions_is_the_smallest_power_of_two(self) -> None:
        for machines, count in (
            (0, 1),
            (512, 1),
            (513, 2),
            (1024, 2),
            (1025, 4),
            (10_000, 32),
        ):
            self.assertEqual(speedcodec.partition_count(machines), count, machines)

    def test_the_hash_of_a_machine_is_stable(self) -> None:
        """Another release, or another process, has to find a machine where it was written."""
        self.assertEqual(
            [speedcodec.partition_of(f"machine-{number}", 32) for number in range(6)],
            [8, 1, 17, 25, 14, 26],
        )

    def test_one_transaction_writes_at_most_fifteen_partitions_and_one_per_interval(self) -> None:
        async def body(state: StoreState) -> None:
            leader = Leader(state, 10_000)
            leader.learn(a_third)
            writes = state.writes
            await self.write(leader, INTERVAL_S + 0.1)
            self.assertEqual(len(leader.stored()), MAX_PARTITIONS_PER_WRITE)
            self.assertEqual(state.writes, writes + 1)
            await asyncio.sleep(2 * INTERVAL_S)
            self.assertEqual(len(leader.stored()), 32)
            self.assertEqual(state.writes, writes + 3)
            largest = max(len(item.value) for item in leader.stored().values())
            self.assertLess(largest, 100_000)

        self.play(body)

    def test_only_partitions_with_a_changed_level_are_written(self) -> None:
        async def body(state: StoreState) -> None:
            leader = Leader(state, 1_000)
            leader.learn(a_third)
            await self.write(leader, INTERVAL_S + 0.1)
            before = {key: item.revision for key, item in leader.stored().items()}
            self.assertEqual(len(before), 2)
            worker = leader.workers[0]
            leader.tracker.forget_worker(worker)
            leader.tracker._memories.clear()
            leader.tracker.add_worker(worker)
            worker.time_factor, worker.speed_known = 1.0, False
            leader.tracker.inherit([SpeedRow(worker.machine, 4.0, 0.8, 1, 0.0)], 0.0)
            leader.settle()
            await asyncio.sleep(INTERVAL_S + 0.5)
            after = {key: item.revision for key, item in leader.stored().items()}
            changed = {key for key in after if after[key] != before[key]}
            partition = speedcodec.partition_of(worker.machine, 2)
            self.assertEqual(changed, {keys.speeds_key(partition)})

        self.play(body)

    def test_nothing_is_written_while_nothing_changes(self) -> None:
        async def body(state: StoreState) -> None:
            leader = Leader(state, 30)
            writes = state.writes
            await self.write(leader, 10 * INTERVAL_S)
            self.assertEqual(state.writes, writes)

        self.play(body)

    def test_partitions_that_are_no_longer_used_are_removed_after_the_others(self) -> None:
        async def body(state: StoreState) -> None:
            first = Leader(state, 1_500)
            first.learn(a_third)
            await self.write(first, INTERVAL_S + 0.1)
            self.assertEqual(len(first.stored()), 4)
            second = Leader(state, 400)
            await second.store.load()
            second.tracker._memories.clear()
            second.settle()
            await self.write(second, INTERVAL_S + 0.1)
            self.assertEqual(len(second.stored()), 4)
            await asyncio.sleep(INTERVAL_S + 0.1)
            self.assertEqual(set(second.stored()), {keys.speeds_key(0)})
            third = Leader(state, 400)
            await third.store.load()
            third.settle()
            self.assertEqual(third.slow(), second.slow())
            self.assertEqual(len(third.slow()), 134)

        self.play(body)


class RecordTest(StoreCase):
    """Records that cannot be used: their workers count as unknown."""

    def record(self, **more: object) -> bytes:
        machine = next(
            f"m{number}" for number in range(100) if speedcodec.partition_of(f"m{number}", 2) == 1
        )
        rows = [[machine, 244, 80, 3, 0]]
        fields = {"version": speedcodec.VERSION, "saved_ms": round(WALL_MS), "rows": rows}
        return to_msgpack(fields | more)

    def decode(self, value: bytes, key: str = keys.speeds_key(1)) -> list[SpeedRow]:
        return speedcodec.decode(Item(key, value, 1), WALL_MS, KEPT_S)

    def test_a_record_is_read_as_it_was_written(self) -> None:
        row = SpeedRow("m", 2.44, 0.67, 4, 12.0)
        partition = speedcodec.partition_of("m", 4)
        value = speedcodec.encode([row], WALL_MS)
        item = Item(keys.speeds_key(partition), value, 1)
        self.assertEqual(speedcodec.decode(item, WALL_MS, KEPT_S), [row])
        self.assertEqual(speedcodec.decode(item, WALL_MS + 5000, KEPT_S)[0].age_s, 17.0)
        self.assertEqual(speedcodec.decode(item, WALL_MS - 5000, KEPT_S)[0].age_s, 12.0)
        self.assertEqual(speedcodec.decode(item, WALL_MS + 9e9, KEPT_S)[0].age_s, 12.0 + KEPT_S)

    def test_records_that_are_unreadable_or_of_another_version_or_writer_are_refused(self) -> None:
        self.assertEqual(len(self.decode(self.record())), 1)
        for value in (
            b"",
            b"{}",
            b"\xff\x00garbage",
            self.record(version=speedcodec.VERSION + 1),
            self.record(rows=[["m", 0, 80, 3, 0]]),
            self.record(rows=[["m", 244, 101, 3, 0]]),
            self.record(rows=[["m", 244, 80, 3, -1]]),
            self.record(rows=[["", 244, 80, 3, 0]]),
            self.record(rows=5),
            self.record(writer="else"),
            self.record()[:-3],
        ):
            with self.subTest(value=value), self.assertRaises(SaddlestackError):
                self.decode(value)

    def test_a_machine_of_another_partition_shows_another_writer(self) -> None:
        with self.assertRaises(SaddlestackError):
            self.decode(self.record(), keys.speeds_key(2))

    def test_only_numbers_of_partitions_are_keys(self) -> None:
        for text, partition in (("0", 0), ("31", 31), ("01", None), ("x", None), ("", None)):
            self.assertEqual(keys.speeds_partition_of(keys.SPEEDS + text), partition)
        self.assertIsNone(keys.speeds_partition_of(keys.SPEEDS + "9" * 5000))
        self.assertIsNone(keys.speeds_partition_of(keys.SPEEDS + "²"))

    def test_an_unreadable_record_is_counted_and_the_others_are_used(self) -> None:
        async def body(state: StoreState) -> None:
            first = Leader(state, 1_000)
            first.learn(a_third)
            await self.write(first, INTERVAL_S + 0.1)
            state.put(keys.speeds_key(1), b"garbage")
            state.put(keys.SPEEDS + "note", b"garbage")
            second = Leader(state, 1_000)
            with self.assertLogs("saddlestack.refusals", "ERROR") as logs:
                await second.store.load()
            second.settle()
            self.assertEqual(len(logs.output), 2)
            self.assertEqual(second.count("speeds_records_refused"), 2)
            kept = {
                worker.worker_id
                for worker in second.workers
                if speedcodec.partition_of(worker.machine, 2) == 0
            }
            self.assertEqual(second.slow(), first.slow() & kept)
            self.assertGreater(len(second.slow()), 100)

        self.play(body)

    def test_the_newest_of_two_rows_of_a_machine_counts(self) -> None:
        """While the number of partitions changes, a machine may be in two of them."""

        async def body(state: StoreState) -> None:
            leader = Leader(state, 4)
            machine = leader.workers[0].machine
            old, new = SpeedRow(machine, 4.0, 0.8, 3, 30.0), SpeedRow(machine, 1.0, 0.8, 3, 1.0)
            wall_ms = leader.clock.wall() * 1000
            wide = speedcodec.partition_of(machine, 64)
            narrow = speedcodec.partition_of(machine, 1)
            self.assertNotEqual(wide, narrow)
            state.put(keys.speeds_key(wide), speedcodec.encode([new], wall_ms))
            state.put(keys.speeds_key(narrow), speedcodec.encode([old], wall_ms))
            await leader.store.load()
            leader.settle()
            found = leader.tracker.estimate(leader.workers[0].worker_id)
            assert found is not None
            self.assertEqual(found.factor, 1.0)

        self.play(body)


class LogTest(unittest.TestCase):
    def change(self, number: int, factor: float = 1.0) -> SpeedChange:
        return SpeedChange(f"w{number}", f"m{number}", factor, 0.667, 2, 0.04)

    def lines(self, log: SpeedLog, count: int, now: float, slow: int = 0) -> list[dict[str, Any]]:
        changes = [self.change(each) for each in range(count - slow)]
        changes += [self.change(1000 + each, 2.44) for each in range(slow)]
        with self.assertLogs("saddlestack.speeds", "INFO") as logs:
            log.log_changes(changes, now)
        return [record.__dict__ for record in logs.records]

    def test_a_line_has_the_fields_that_operators_read(self) -> None:
        line = self.lines(SpeedLog(), 1, 10.0)[0]
        found = {key: line[key] for key in ("event", "worker", "machine", "factor", "confidence")}
        self.assertEqual(
            found,
            {
                "event": "worker_speed",
                "worker": "w0",
                "machine": "m0",
                "factor": 1.0,
                "confidence": 0.67,
            },
        )
        self.assertEqual((line["evidence"], line["age_s"]), (2, 0.0))

    def test_at_most_twenty_lines_per_second_with_the_slow_workers_first(self) -> None:
        log = SpeedLog()
        lines = self.lines(log, 2 * MAX_LINES_PER_S, 10.0, slow=5)
        self.assertEqual(len(lines), MAX_LINES_PER_S)
        self.assertEqual([line["factor"] for line in lines[:5]], [2.44] * 5)
        log.log_changes([self.change(1)], 10.5)
        lines = self.lines(log, 1, 11.0)
        self.assertEqual(lines[0]["event"], "worker_speeds_left_out")
        self.assertEqual(lines[0]["lines"], MAX_LINES_PER_S + 1)
        self.assertEqual(len(lines), 2)

    def test_the_limit_is_not_reached_by_twenty_lines(self) -> None:
        log = SpeedLog()
        self.assertEqual(len(self.lines(log, MAX_LINES_PER_S, 10.0)), MAX_LINES_PER_S)
        with self.assertNoLogs("saddlestack.speeds", "INFO"):
            log.flush(12.0)


class EntryVmTest(PoolTest):
    """Complete entry VMs, of which one leads."""

    def play_with(self, body: Callable[[PoolCluster], Awaitable[None]], *, on: bool = True) -> None:
        settings = pool_cluster._settings

        def with_speeds(*arguments: Any) -> Any:
            return msgspec.structs.replace(
                settings(*arguments), scheduling=Scheduling(worker_speeds=on)
            )

        with unittest.mock.patch.object(pool_cluster, "_settings", with_speeds):
            self.play(body)

    def learn(self, cluster: PoolCluster) -> str:
        """Let the leader learn that one of its workers is slow; returns the machine."""
        assert cluster.leader is not None and cluster.leader.scheduler is not None
        scheduler = cluster.leader.scheduler
        tracker = scheduler.cluster_state.speeds
        assert tracker is not None
        machines = sorted(worker.machine for worker in scheduler.cluster_state.workers.values())
        rows = [
            SpeedRow(machine, 2.44 if machine == machines[0] else 1.0, 0.8, 3, 0.0)
            for machine in machines
        ]
        tracker.inherit(rows, scheduler._clock.now())
        scheduler.reschedule()
        return machines[0]

    def factors(self, cluster: PoolCluster) -> dict[str, float]:
        assert cluster.leader is not None and cluster.leader.scheduler is not None
        workers = cluster.leader.scheduler.cluster_state.workers.values()
        return {worker.machine: worker.time_factor for worker in workers}

    def test_a_new_leader_decides_with_the_speeds_a_second_after_it_has_loaded(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            slow = self.learn(cluster)
            await asyncio.sleep(4.0)
            self.assertGreater(self.factors(cluster)[slow], SLOW)
            metrics = cluster.leader.context.metrics  # type: ignore[union-attr]
            counters = metrics.view().counters
            self.assertEqual(counters["workers_slow"], 1)
            self.assertEqual(counters["workers_speed_known"], 4)
            self.assertEqual(counters["speed_writes"], 1)
            await cluster.kill(cluster.leader_name)
            await cluster.until(lambda: cluster.leader is not None)
            await asyncio.sleep(1.0)
            self.assertGreater(self.factors(cluster)[slow], SLOW)

        self.play_with(body)

    def test_gauges_are_reset_at_the_end_of_a_term(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            self.learn(cluster)
            await asyncio.sleep(1.0)
            leader = cluster.leader
            assert leader is not None
            await cluster.kill(cluster.leader_name)
            self.assertEqual(leader.context.metrics.view().counters["workers_slow"], 0)

        self.play_with(body)

    def test_nothing_is_read_or_written_where_the_option_is_off(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(5.0)
            self.assertEqual(list(cluster.store.keys(keys.SPEEDS)), [])
            leader = cluster.leader
            assert leader is not None
            self.assertNotIn("speed_writes", leader.context.metrics.view().counters)

        self.play_with(body, on=False)


if __name__ == "__main__":
    unittest.main()
