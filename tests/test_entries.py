"""Workers' records that are changed by another writer: what may happen to runs and to new work.

A record may lose its address, become undecodable, or contain another address, while its incarnation
goes on working. None of these shows that the incarnation has ended, and none names a worker that
may be used.
"""

from __future__ import annotations

import asyncio
import logging
import unittest
from collections.abc import Callable

import msgspec

from saddlestack.interfaces.workers import EndKind
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.documents import pool_document
from saddlestack.standins.pool.workers import PoolWorker
from saddlestack.work import JobState
from tests.malformed import encoded, worker_records
from tests.test_inherited import HOLD_S, INHERITED_S, SOON_S, A, B, InheritedCase

RECORD_DELAY_S = 1.0
"""Time within which a leader has received a change of a record."""
LONGEST_LINE = 400


class EntryCase(InheritedCase):
    def write(self, cluster: PoolCluster, worker: PoolWorker, value: bytes) -> None:
        """Writes bytes to a worker's record, as another writer would."""
        cluster.store.put(f"servers/{worker.worker_id}", value)

    def rewrite(self, cluster: PoolCluster, worker: PoolWorker, **fields: object) -> None:
        """Changes fields of a worker's record, as another writer would; ``None`` removes one."""
        record = msgspec.json.decode(cluster.store.item(f"servers/{worker.worker_id}").value)
        for name, value in fields.items():
            record[name.replace("_", "-")] = value
        kept = {name: value for name, value in record.items() if value is not None}
        self.write(cluster, worker, msgspec.json.encode(kept))

    def counted(self, cluster: PoolCluster, name: str) -> int:
        """Returns a counter of the current leader."""
        leader = cluster.leader
        assert leader is not None
        return leader.metrics.view().counters.get(name, 0)

    def known(self, cluster: PoolCluster) -> set[str]:
        """Returns the ids of workers that the leader may give work to."""
        leader = cluster.leader
        assert leader is not None and leader.scheduler is not None
        cluster_state = leader.scheduler.cluster_state
        return {
            worker.worker_id for worker in cluster_state.workers.values() if worker.is_schedulable
        }


class MalformedTest(EntryCase):
    """Records under ids that no worker has."""

    def test_malformed_records_add_no_worker(self) -> None:
        rows = worker_records()

        async def body(cluster: PoolCluster) -> None:
            for number, value in enumerate(rows.values()):
                cluster.store.put(f"servers/bad-{number}", value)
            await asyncio.sleep(RECORD_DELAY_S)
            self.assertEqual(self.known(cluster), set(cluster.worker_pool.workers))
            self.assertEqual(self.counted(cluster, "worker_records_refused"), len(rows))
            # More than the valid workers can run at once, so the others would be used if accepted.
            await cluster.submit(A, job(64))
            await cluster.until_state(A, JobState.COMPLETED)
            self.assertLessEqual(cluster.contacted_workers, set(cluster.worker_pool.workers))
            # The feed continues.
            late = cluster.worker_pool.add("r1-1", "hall-1")
            await asyncio.sleep(RECORD_DELAY_S)
            self.assertIn(late.worker_id, self.known(cluster))

        self.play(body)

    def test_a_leader_that_starts_with_malformed_records_schedules(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            for number, value in enumerate(worker_records().values()):
                cluster.store.put(f"servers/bad-{number}", value)
            await cluster.kill(cluster.leader_name)
            await cluster.until(lambda: cluster.leader is not None, 5.0)
            self.assertEqual(self.known(cluster), set(cluster.worker_pool.workers))
            await cluster.submit(A, job(4))
            await cluster.until_state(A, JobState.COMPLETED)

        self.play(body)

    def test_their_workers_are_not_polled_when_a_hall_is_suspected(self) -> None:
        """All workers of a data hall are polled if two of them don't answer."""

        async def body(cluster: PoolCluster) -> None:
            cluster.store.put("servers/bad-1", encoded(service="nobodys"))
            cluster.store.put("servers/bad-2", encoded(capacity={"cpu": 0, "mem-mb": 1}))
            await cluster.submit(A, job(32, work_s=5.0))
            await cluster.until(lambda: cluster.worker_pool.starts_of(A) == 32)
            for worker in cluster.worker_pool.workers.values():
                worker.unreachable = worker.data_hall == "hall-1"
            await asyncio.sleep(5.0)
            self.assertLessEqual(cluster.contacted_workers, set(cluster.worker_pool.workers))

        self.play(body)

    def test_each_is_logged_once_and_in_a_short_line(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            long_key = "servers/" + "x" * 190
            with self.assertLogs("saddlestack", logging.ERROR) as caught:
                for beat in range(20):
                    cluster.store.put("servers/bad", encoded(state="dead", seq=beat))
                    cluster.store.put("servers/cut", encoded(seq=10 ** (beat % 10))[:-1])
                    cluster.store.put(long_key, encoded(zone="z" * 300, seq=beat))
                    await asyncio.sleep(0.5)
            refused = [line for line in caught.records if "worker_records" in str(vars(line))]
            self.assertEqual(len(refused), 3)
            for line in refused:
                fields = vars(line)
                self.assertEqual(fields["event"], "record_refused")
                self.assertLess(len(fields["key"] + fields["reason"]), LONGEST_LINE)
            self.assertGreaterEqual(self.counted(cluster, "worker_records_refused"), 30)

        self.play(body, entries=1)

    def test_a_service_is_used_once_a_configuration_names_it(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = cluster.worker_pool.add("r1-1", "hall-1")
            self.rewrite(cluster, worker, service="nobodys")
            await asyncio.sleep(RECORD_DELAY_S)
            self.assertNotIn(worker.worker_id, self.known(cluster))
            cluster.version += 1
            document = msgspec.json.decode(pool_document(cluster.version, attempts=3, guaranteed=0))
            document["services"].append({"name": "nobodys"})
            cluster.store.put("op/config", msgspec.json.encode(document))
            await asyncio.sleep(2 * RECORD_DELAY_S)
            self.assertIn(worker.worker_id, self.known(cluster))

        self.play(body)


Change = Callable[[EntryCase, PoolCluster, PoolWorker], None]
"""Changes a worker's record, as another writer would."""

CHANGES: dict[str, Change] = {
    "no address": lambda case, cluster, worker: case.rewrite(cluster, worker, address=""),
    "address missing": lambda case, cluster, worker: case.rewrite(cluster, worker, address=None),
    "senseless address": lambda case, cluster, worker: case.rewrite(
        cluster, worker, address="127.0.0.1:99999"
    ),
    "nobody's address": lambda case, cluster, worker: case.rewrite(
        cluster, worker, address="127.0.0.1:7"
    ),
    "another incarnation's address": lambda case, cluster, worker: case.rewrite(
        cluster, worker, address=other_address(cluster, worker)
    ),
    "unknown state": lambda case, cluster, worker: case.rewrite(cluster, worker, state="dead"),
    "unknown state and a time": lambda case, cluster, worker: case.rewrite(
        cluster, worker, state="dead", remaining_ms=0
    ),
    "unknown service": lambda case, cluster, worker: case.rewrite(
        cluster, worker, service="nobodys"
    ),
    "no capacity": lambda case, cluster, worker: case.rewrite(cluster, worker, capacity=None),
    "negative capacity": lambda case, cluster, worker: case.rewrite(
        cluster, worker, capacity={"cpu": -1, "mem-mb": -1, "gpu": -1}
    ),
    "empty": lambda case, cluster, worker: case.write(cluster, worker, b""),
    "no JSON": lambda case, cluster, worker: case.write(cluster, worker, b"\xff\x00{"),
    "nested": lambda case, cluster, worker: case.write(cluster, worker, b'{"x":' + b"[" * 100_000),
}


def other_address(cluster: PoolCluster, worker: PoolWorker) -> str:
    """Returns the address of another incarnation."""
    others = cluster.worker_pool.workers.values()
    return next(other.address for other in others if other is not worker)


class RunningTest(EntryCase):
    """A record becomes invalid while its incarnation has runs."""

    def assert_run_continues(
        self,
        change: Change,
        *,
        terms: int = 1,
        accelerators: int = 8,
        after: Callable[[PoolCluster, PoolWorker], None] | None = None,
    ) -> None:
        """Checks that a run ends once, where it was started, after its worker's record was changed.

        It lasts for three leases.

        :param terms: number of leaders during the test.
        :param after: called a second after the change.
        """

        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(INHERITED_S)
            request = job(1, work_s=3 * HOLD_S, accelerators=accelerators)
            worker = await self.run_on(cluster, request)
            await asyncio.sleep(1.0)
            change(self, cluster, worker)
            for _ in range(terms - 1):
                await asyncio.sleep(RECORD_DELAY_S)
                await cluster.kill(cluster.leader_name)
                await cluster.until(lambda: cluster.leader is not None, 5.0)
            await asyncio.sleep(RECORD_DELAY_S)
            if after is not None:
                after(cluster, worker)
            worker_pool = cluster.worker_pool
            await cluster.until(
                lambda: worker_pool.starts_of(A) > 1 or worker_pool.ends_of(A, EndKind.DONE) == 1,
                4 * HOLD_S,
            )
            self.assertEqual(worker_pool.violations, [])
            self.assertEqual(worker_pool.starts_of(A), 1)
            await cluster.until_state(A, JobState.COMPLETED)

        self.play(body, entries=terms + 1)

    def test_runs_continue_without_an_address(self) -> None:
        self.assert_run_continues(CHANGES["no address"])

    def test_runs_continue_with_any_record(self) -> None:
        for name, change in CHANGES.items():
            with self.subTest(name):
                self.assert_run_continues(change)

    def test_runs_continue_under_the_next_leader(self) -> None:
        for name, change in CHANGES.items():
            with self.subTest(name):
                self.assert_run_continues(change, terms=2)

    def test_runs_continue_if_the_record_is_then_removed(self) -> None:
        """The removal of the record proves nothing, since its worker did not write it last."""

        def remove(cluster: PoolCluster, worker: PoolWorker) -> None:
            cluster.worker_pool.expire_record(worker)

        for name, change in CHANGES.items():
            with self.subTest(name):
                self.assert_run_continues(change, after=remove)

    def test_runs_continue_if_the_worker_is_cut_off_and_the_record_removed(self) -> None:
        """The worker is unreachable for some seconds, and is back before its lease has expired."""

        def remove(cluster: PoolCluster, worker: PoolWorker) -> None:
            worker.unreachable = True
            cluster.worker_pool.expire_record(worker)
            loop = asyncio.get_running_loop()
            loop.call_later(4.0, lambda: setattr(worker, "unreachable", False))

        for name, change in CHANGES.items():
            with self.subTest(name):
                self.assert_run_continues(change, after=remove)

    def test_an_announced_end_is_not_proved_by_another_writer(self) -> None:
        """A worker announces its end, is cut off and goes on; another writer changes its record."""
        for name, change in CHANGES.items():

            async def body(cluster: PoolCluster, change: Change = change) -> None:
                await asyncio.sleep(INHERITED_S)
                worker = await self.run_on(cluster, job(1, work_s=3 * HOLD_S, accelerators=8))
                await asyncio.sleep(1.0)
                worker.unreachable = True
                cluster.worker_pool.record(worker, remaining_ms=100)
                await asyncio.sleep(RECORD_DELAY_S)
                change(self, cluster, worker)
                await asyncio.sleep(RECORD_DELAY_S)
                cluster.worker_pool.expire_record(worker)
                await asyncio.sleep(4.0)
                self.assertEqual(cluster.worker_pool.starts_of(A), 1)

            with self.subTest(name):
                self.play(body)

    def test_nothing_is_started_there_until_a_valid_record_is_back(self) -> None:
        for name, change in CHANGES.items():

            async def body(cluster: PoolCluster, change: Change = change) -> None:
                worker = await self.run_on(cluster, job(1, work_s=HOLD_S))
                sound = cluster.store.item(f"servers/{worker.worker_id}").value
                change(self, cluster, worker)
                await asyncio.sleep(RECORD_DELAY_S)
                self.assertNotIn(worker.worker_id, self.known(cluster))
                await cluster.submit(B, job(24, work_s=1.0))
                await cluster.until_state(B, JobState.COMPLETED)
                later = cluster.worker_pool.history[1:]
                self.assertNotIn(worker.worker_id, [run.worker for run in later])
                self.write(cluster, worker, sound)
                await asyncio.sleep(RECORD_DELAY_S)
                self.assertIn(worker.worker_id, self.known(cluster))
                await cluster.until_state(A, JobState.COMPLETED)
                self.assertEqual(cluster.worker_pool.starts_of(A), 1)

            with self.subTest(name):
                self.play(body)

    def test_cancelled_runs_stop_there(self) -> None:
        for name, change in CHANGES.items():

            async def body(cluster: PoolCluster, change: Change = change) -> None:
                worker = await self.run_on(cluster, job(1, work_s=3 * HOLD_S))
                change(self, cluster, worker)
                await asyncio.sleep(RECORD_DELAY_S)
                await cluster.cancel(A)
                await cluster.until(
                    lambda: cluster.worker_pool.ends_of(A, EndKind.STOPPED) == 1, SOON_S
                )

            with self.subTest(name):
                self.play(body)

    def test_a_crashed_worker_is_waited_for_until_its_lease_has_expired(self) -> None:
        """A proof still ends the runs of the worker: nothing is held forever."""
        for name, change in CHANGES.items():

            async def body(cluster: PoolCluster, change: Change = change) -> None:
                await asyncio.sleep(INHERITED_S)
                worker = await self.run_on(cluster, job(1, work_s=3 * HOLD_S, accelerators=8))
                await asyncio.sleep(1.0)
                change(self, cluster, worker)
                await asyncio.sleep(RECORD_DELAY_S)
                cluster.worker_pool.crash(worker)
                waited = await self.time_until_starts(cluster, 2)
                self.assertGreater(waited, HOLD_S - RECORD_DELAY_S - 2.0)
                self.assertLess(waited, INHERITED_S)

            with self.subTest(name):
                self.play(body)


class UpkeepTest(EntryCase):
    def order(self, cluster: PoolCluster, machine: str) -> None:
        wave = {"wave": 1, "machines": [machine], "deadline-s": 30, "max-tasks": 1}
        cluster.store.put("op/wave/1", msgspec.json.encode(wave))

    async def assert_upkeep_after_runs(self, cluster: PoolCluster, machine: str) -> None:
        """Checks that a machine has its upkeep when its runs have ended."""
        self.order(cluster, machine)
        await cluster.until_state(A, JobState.COMPLETED)
        self.assertEqual(cluster.worker_pool.starts_of(A), 1)
        await cluster.until(lambda: (machine, 1) in cluster.machines.done)

    def test_upkeep_waits_for_runs_with_any_record(self) -> None:
        for name, change in CHANGES.items():

            async def body(cluster: PoolCluster, change: Change = change) -> None:
                worker = await self.run_on(cluster, job(1, work_s=8.0))
                change(self, cluster, worker)
                await asyncio.sleep(RECORD_DELAY_S)
                await self.assert_upkeep_after_runs(cluster, worker.machine)

            with self.subTest(name):
                self.play(body)

    def test_another_record_that_names_its_machine_changes_nothing(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            worker = await self.run_on(cluster, job(1, work_s=8.0))
            cluster.store.put("servers/zz", encoded(machine=worker.machine))
            await asyncio.sleep(RECORD_DELAY_S)
            await self.assert_upkeep_after_runs(cluster, worker.machine)

        self.play(body)


class MovedTest(EntryCase):
    def test_an_idle_worker_is_reached_where_its_record_says_now(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await cluster.submit(A, job(8))
            await cluster.until_state(A, JobState.COMPLETED)
            for number, worker in enumerate(cluster.worker_pool.workers.values()):
                worker.address = f"127.0.0.2:{9000 + number}"
                cluster.worker_pool.record(worker)
            await asyncio.sleep(RECORD_DELAY_S)
            await cluster.submit(B, job(8))
            await cluster.until_state(B, JobState.COMPLETED, SOON_S)
            self.assertEqual(cluster.worker_pool.starts_of(B), 8)

        self.play(body)


class ClaimedClockTest(EntryCase):
    """A valid record may still contain a clock that differs from its worker's."""

    def test_a_clock_far_ahead_causes_no_endless_polls(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            for worker in cluster.worker_pool.workers.values():
                self.rewrite(cluster, worker, clock_ms=10**12)
            await asyncio.sleep(RECORD_DELAY_S)
            await cluster.submit(A, job(1, work_s=45.0))
            await asyncio.sleep(35.0)
            before = cluster.worker_pool.polls
            await asyncio.sleep(5.0)
            self.assertLess(cluster.worker_pool.polls - before, 20)
            await cluster.until_state(A, JobState.COMPLETED)
            self.assertEqual(cluster.worker_pool.starts_of(A), 1)

        self.play(body)


if __name__ == "__main__":
    unittest.main()
