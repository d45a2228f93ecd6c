"""Records of saddlestack itself that another writer has changed.

An unreadable record ends no term and stops no feed. Only its job is left untouched, and is never
run again by mistake.
"""

from __future__ import annotations

import asyncio
import logging
import unittest

import msgspec

from saddlestack.codec import from_msgpack, to_json, to_msgpack
from saddlestack.control import keys
from saddlestack.control.membership import Member
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.records import (
    OccurrenceRecord,
    OccurrenceStatus,
    StepRecord,
    TaskRecord,
    TaskStatus,
)
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.documents import pool_document
from saddlestack.work import JobState
from tests.malformed import configurations, unfitting_configurations, unreadable
from tests.test_inherited import HOLD_S, INHERITED_S, A, B, InheritedCase

C = "00000000000000cc"
SETTLED_S = 1.0
ELECTED_S = 6.0

UNREADABLE = {**unreadable(), "not msgpack": b"\xc1\xc1", "deep msgpack": b"\x91" * 100_000}


def progress(*steps: StepRecord) -> bytes:
    return to_msgpack(OccurrenceRecord(OccurrenceStatus.OPEN, list(steps), {}))


PROGRESS = {
    **UNREADABLE,
    "no steps": progress(),
    "too many steps": progress(StepRecord([TaskRecord()]), StepRecord([TaskRecord()])),
    "too few tasks": progress(StepRecord([])),
    "too many tasks": progress(StepRecord([TaskRecord(), TaskRecord()])),
    "a run on no worker": progress(StepRecord([TaskRecord(TaskStatus.ASSIGNED, 1, "")])),
    "a run below 0": progress(StepRecord([TaskRecord(TaskStatus.WAITING, -1)])),
}
"""Invalid progress records of a job of one task."""

MALFORMED_KEYS = (
    keys.PROGRESS,
    keys.PROGRESS + "x",
    keys.PROGRESS + A,
    keys.PROGRESS + A + ".",
    keys.PROGRESS + A + ".x",
    keys.PROGRESS + A + ".-1",
    keys.PROGRESS + A + ".1_0",
    keys.PROGRESS + A + "." + "9" * 100,
    keys.REQUESTS,
    keys.REQUESTS + "x/" + A,
    keys.REQUESTS + "job/",
    keys.REQUESTS + "job/../" + A,
    keys.REQUESTS + "cancel/",
    keys.REQUESTS + "cancel/../" + A,
    keys.LEADER + "s",
    keys.LEADER + "/x",
    keys.MEMBERS,
    keys.MEMBERS + "../x",
    "op/",
    "op/configs",
    "op/config/x",
    "op/wave/",
    "op/wave/x",
    "op/wave/-1",
    "op/evacuate/",
    "servers/",
)


class OwnRecordsCase(InheritedCase):
    async def kill_leader(self, cluster: PoolCluster) -> None:
        """Kill the leader, and wait until another VM leads."""
        await cluster.kill(cluster.leader_name)
        await cluster.until(lambda: cluster.leader is not None, ELECTED_S)

    async def assert_serves(self, cluster: PoolCluster, job_id: str = B) -> None:
        """Check that the present leader runs a job that is submitted now."""
        await cluster.submit(job_id, job(2))
        await cluster.until_state(job_id, JobState.COMPLETED)

    def fence(self, cluster: PoolCluster) -> int:
        leader = cluster.leader
        assert leader is not None and leader.scheduler is not None
        return leader.scheduler.fence


class JobRecordsTest(OwnRecordsCase):
    def test_a_job_whose_progress_cannot_be_read_is_left_as_it_is(self) -> None:
        for name, value in PROGRESS.items():

            async def body(cluster: PoolCluster, value: bytes = value) -> None:
                await self.run_on(cluster, job(1, work_s=2 * HOLD_S))
                key = keys.progress_key(f"{A}.0")
                accepted = cluster.store.item(keys.job_key(A))
                leader = cluster.leader_name
                await cluster.kill(leader)
                cluster.store.put(key, value)
                await cluster.until(lambda: cluster.leader is not None, ELECTED_S)
                await self.assert_serves(cluster)
                # Even if it is written or read again, it is unknown what is already done.
                cluster.store.put(keys.job_key(A), accepted.value)
                await asyncio.sleep(SETTLED_S)
                cluster.store.forget_history()
                await asyncio.sleep(INHERITED_S + HOLD_S)
                self.assertEqual(cluster.worker_pool.starts_of(A), 1)
                self.assertEqual(cluster.store.item(key).value, value)
                self.assertTrue(cluster.store.item(keys.job_key(A)).revision)
                await self.assert_serves(cluster, C)

            with self.subTest(name):
                self.play(body, entries=2)

    def test_a_job_that_cannot_be_read_is_left_as_it_is(self) -> None:
        values = {**UNREADABLE, "of another job": b""}
        for name, value in values.items():

            async def body(cluster: PoolCluster, name: str = name, value: bytes = value) -> None:
                await cluster.submit(C, job(1))
                await cluster.until_state(C, JobState.COMPLETED)
                if name == "of another job":
                    value = cluster.store.item(keys.job_key(C)).value
                fence = self.fence(cluster)
                cluster.store.put(keys.job_key(A), value)
                await asyncio.sleep(SETTLED_S)
                await self.assert_serves(cluster)
                self.assertEqual(self.fence(cluster), fence)
                await self.kill_leader(cluster)
                await self.assert_serves(cluster, "00000000000000dd")
                self.assertEqual(cluster.worker_pool.starts_of(A), 0)
                self.assertEqual(cluster.worker_pool.starts_of(C), 1)
                self.assertEqual(cluster.store.item(keys.job_key(A)).value, value)

            with self.subTest(name):
                self.play(body, entries=2)

    def test_progress_that_another_writer_changes_is_written_again(self) -> None:
        """The leader has the true content in memory, and writes it again."""
        for name, value in PROGRESS.items():

            async def body(cluster: PoolCluster, value: bytes = value) -> None:
                await self.run_on(cluster, job(1, work_s=2.0))
                fence = self.fence(cluster)
                key = keys.progress_key(f"{A}.0")
                await asyncio.sleep(1.0)
                cluster.store.put(key, value)
                await cluster.until_state(A, JobState.COMPLETED)
                await asyncio.sleep(SETTLED_S)
                self.assertEqual(self.fence(cluster), fence)
                self.assertEqual(cluster.worker_pool.ends_of(A, EndKind.DONE), 1)
                record = from_msgpack(cluster.store.item(key).value, OccurrenceRecord)
                self.assertIs(record.status, OccurrenceStatus.DONE)

            with self.subTest(name):
                self.play(body, entries=2)

    def test_clients_get_an_error_for_an_unreadable_job(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.store.put(keys.job_key(A), b"\xc1")
            await asyncio.sleep(SETTLED_S)
            for call in (cluster.state(A), cluster.cancel(A), cluster.submit(A, job(1))):
                with self.assertRaises(SaddlestackError) as caught:
                    await call
                self.assertIs(caught.exception.kind, ErrorKind.INTERNAL)

        self.play(body)

    def test_a_cancel_key_counts_whatever_its_value(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            await self.run_on(cluster, job(1, work_s=HOLD_S))
            cluster.store.put(keys.cancel_key(A), b"\xff\xc1")
            await cluster.until_state(A, JobState.CANCELLED)
            await self.assert_serves(cluster)

        self.play(body)


class KeysTest(OwnRecordsCase):
    def test_malformed_keys_stop_nothing(self) -> None:
        for value in (b"", b"{}", to_msgpack(OccurrenceRecord(OccurrenceStatus.OPEN, []))):

            async def body(cluster: PoolCluster, value: bytes = value) -> None:
                fence = self.fence(cluster)
                for key in MALFORMED_KEYS:
                    cluster.store.put(key, value)
                await asyncio.sleep(SETTLED_S)
                await self.assert_serves(cluster)
                self.assertEqual(self.fence(cluster), fence)
                await self.kill_leader(cluster)
                await self.assert_serves(cluster, C)
                for key in MALFORMED_KEYS:
                    cluster.store.remove(key)
                await asyncio.sleep(SETTLED_S)
                await self.assert_serves(cluster, A)

            with self.subTest(value):
                self.play(body, entries=2)


class OperatorsTest(OwnRecordsCase):
    def test_the_last_good_configuration_stays_in_force(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            for value in unreadable().values():
                cluster.store.put("op/config", value)
                await asyncio.sleep(0.1)
            await asyncio.sleep(SETTLED_S)
            await self.assert_serves(cluster)
            for member in cluster.members.values():
                current = member.vm.configuration.current
                assert current is not None
                self.assertEqual(current.version, cluster.version)
            cluster.configure()
            await asyncio.sleep(SETTLED_S)
            for member in cluster.members.values():
                current = member.vm.configuration.current
                assert current is not None
                self.assertEqual(current.version, cluster.version)

        self.play(body)

    # A document of any version was taken whole, and one of a very high version kept every later
    # valid one out.
    def test_an_invalid_configuration_of_a_high_version_keeps_no_later_one_out(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            invalid = {**configurations(), **unfitting_configurations()}
            for value in invalid.values():
                cluster.store.put("op/config", value.replace(b'"version":7', b'"version":9999'))
                await asyncio.sleep(0.1)
                for member in cluster.members.values():
                    current = member.vm.configuration.current
                    assert current is not None
                    self.assertEqual((current.version, value), (cluster.version, value))
            cluster.configure()
            await asyncio.sleep(SETTLED_S)
            for member in cluster.members.values():
                current = member.vm.configuration.current
                assert current is not None
                self.assertEqual(current.version, cluster.version)
            await self.assert_serves(cluster)

        self.play(body)

    def test_a_bad_configuration_is_logged_once(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            bad = pool_document(9, attempts=3, guaranteed=0)[:-1]
            with self.assertLogs("saddlestack", logging.ERROR) as caught:
                for _ in range(10):
                    cluster.store.put("op/config", bad)
                    await asyncio.sleep(0.2)
            refused = [x for x in caught.records if vars(x).get("event") == "record_refused"]
            self.assertEqual(len(refused), len(cluster.members))

        self.play(body)

    def test_unreadable_waves_stop_no_others(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            for number, value in enumerate(unreadable().values()):
                cluster.store.put(f"op/wave/{100 + number}", value)
            cluster.store.put(keys.wave_key(8), b"\xc1")
            names = [worker.machine for worker in cluster.worker_pool.workers.values()]
            for number, machine in ((8, names[0]), (9, names[1])):
                wave = {"wave": number, "machines": [machine], "deadline-s": 10, "max-tasks": 1}
                cluster.store.put(f"op/wave/{number}", msgspec.json.encode(wave))
            await cluster.until(lambda: b"completed" in cluster.store.item("status/wave/9").value)
            # The record of wave 8 is unreadable: its machine may have had its upkeep already.
            self.assertFalse(cluster.store.item("status/wave/8").revision)

        self.play(body)

    def test_an_evacuation_counts_whatever_its_value(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.store.put("op/evacuate/hall-1", b"\xff\xc1")
            cluster.store.put("op/evacuate/", b"{}")
            await asyncio.sleep(SETTLED_S)
            await self.assert_serves(cluster)
            halls = {
                cluster.worker_pool.workers[run.worker].data_hall
                for run in cluster.worker_pool.history
            }
            self.assertEqual(halls, {"hall-2"})

        self.play(body)


class LeaderKeyTest(OwnRecordsCase):
    def test_an_unreadable_leader_key_is_replaced(self) -> None:
        """Otherwise no VM could lead: the key exists, names no VM and expires with no lease."""
        for name, value in unreadable().items():

            async def body(cluster: PoolCluster, value: bytes = value) -> None:
                await self.run_on(cluster, job(1, work_s=HOLD_S))
                cluster.store.put(keys.LEADER, value)
                await asyncio.sleep(ELECTED_S)
                await cluster.until(lambda: cluster.leader is not None, ELECTED_S)
                await self.assert_serves(cluster)
                leaders = [m for m in cluster.members.values() if m.vm.leadership.term is not None]
                self.assertEqual(len(leaders), 1)
                await cluster.until_state(A, JobState.COMPLETED)
                self.assertEqual(cluster.worker_pool.starts_of(A), 1)

            with self.subTest(name):
                self.play(body)

    def test_an_unreadable_leader_key_causes_few_writes(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            for name in list(cluster.members)[1:]:
                await cluster.kill(name)
            await cluster.until(lambda: cluster.leader is not None, ELECTED_S)
            before = cluster.store.writes
            cluster.store.put(keys.LEADER, b"\xff")
            await asyncio.sleep(ELECTED_S)
            self.assertLess(cluster.store.writes - before, 10)

        self.play(body)

    def test_a_value_corrupted_in_transit_ends_no_term(self) -> None:
        """The same revision with an empty value, which is how invalid base64 is read."""

        async def body(cluster: PoolCluster) -> None:
            fence = self.fence(cluster)
            for member in cluster.members.values():
                item = cluster.store.item(keys.LEADER)
                await member.vm.leadership._observe(type(item)(item.key, b"", item.revision))
            await asyncio.sleep(ELECTED_S)
            self.assertEqual(self.fence(cluster), fence)
            await self.assert_serves(cluster)

        self.play(body)


class MembersTest(OwnRecordsCase):
    def member(self, **changes: object) -> bytes:
        whole = Member(
            vm="entry-9",
            data_hall="hall-1",
            incarnation=1,
            address="127.0.0.1",
            port=9,
            secret="0" * 32,
        )
        return to_json(msgspec.structs.replace(whole, **changes))

    def test_records_of_vms_that_cannot_be_used_stop_nothing(self) -> None:
        values = [
            *unreadable().values(),
            self.member(vm="entry-1"),
            self.member(address=""),
            self.member(address="worker.example"),
            self.member(port=0),
            self.member(port=99_999),
            self.member(port=-1),
        ]

        async def body(cluster: PoolCluster) -> None:
            for number, value in enumerate(values):
                cluster.store.put(keys.member_key(f"bad-{number}"), value)
            await asyncio.sleep(SETTLED_S)
            for member in cluster.members.values():
                known = {other.vm for other in member.vm.membership.others()}
                self.assertLessEqual(known, set(cluster.members))
            await self.assert_serves(cluster)

        self.play(body)

    def test_while_one_is_unreadable_renewals_may_continue(self) -> None:
        """Its VM may be an earlier leader that renews without the store, and cannot be asked."""

        async def body(cluster: PoolCluster) -> None:
            leader = cluster.leader
            assert leader is not None
            self.assertTrue(await leader.renewals.are_over())
            cluster.store.put(keys.member_key("entry-9"), b"\xff")
            await asyncio.sleep(SETTLED_S)
            self.assertFalse(await leader.renewals.are_over())
            cluster.store.remove(keys.member_key("entry-9"))
            await asyncio.sleep(SETTLED_S)
            self.assertFalse(await leader.renewals.are_over())

        self.play(body)

    def test_a_vm_writes_its_own_record_again(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            sound = cluster.store.item(keys.member_key("entry-2")).value
            cluster.store.put(keys.member_key("entry-2"), b"\xff")
            await asyncio.sleep(4.0)
            self.assertEqual(cluster.store.item(keys.member_key("entry-2")).value, sound)

        self.play(body)


if __name__ == "__main__":
    unittest.main()
