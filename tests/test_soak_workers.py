"""Machines with a soak's workers: faults of calls, incarnations, and records."""

from __future__ import annotations

import asyncio
import random
import unittest
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import msgspec

from saddlestack.interfaces.workers import (
    EndKind,
    StartOrder,
    WorkerBusy,
    WorkerReplaced,
    WorkerReport,
    WorkerUnreachable,
)
from saddlestack.platform.documents import PlatformDocuments
from saddlestack.platform.orders import HttpWorkerOrders
from saddlestack.soak.heartbeats import WorkerRecords
from saddlestack.soak.machine import HostContext, Machine
from saddlestack.soak.messages import (
    AnswerErrors,
    CallKind,
    Crash,
    CutDirection,
    CutFromStore,
    CutFromVms,
    CutOff,
    DelayOrders,
    ErrorAnswer,
    GangMessage,
    Hang,
    Heal,
    Leave,
    LifeAnnounced,
    LifeEnded,
    LoseAnswers,
    Record,
    RunBegan,
    TaskFault,
    TroubleTasks,
)
from saddlestack.standins.pool.documents import SERVICE
from saddlestack.standins.pool.store import StoreState
from saddlestack.standins.pool.workers import TaskPlan, payload
from saddlestack.wire.http import HttpClient
from tests.soak_support import TIMES, machine, now, task, virtually

TIMEOUT_S = 0.5
ALL = ("m0",)
RECORD_WAIT_S = 0.1


@dataclass
class Site:
    """One machine, the store, and a VM's connection to the current incarnation."""

    store: StoreState = field(default_factory=StoreState)
    messages: list[Record | GangMessage] = field(default_factory=list)
    fence: int = 1
    orders: HttpWorkerOrders = None  # type: ignore[assignment]

    async def start(self) -> None:
        self.records = WorkerRecords(self.store, TIMES.heartbeat_s)
        await self.records.start()
        self.client = HttpClient("127.0.0.1", self.records.port)
        context = HostContext(TIMES, SERVICE, self.client, self.messages.append, lambda: None)
        self.machine = Machine(machine(0), context, random.Random(1))
        await self.machine.start()
        await asyncio.sleep(RECORD_WAIT_S)
        self.connect()

    async def stop(self) -> None:
        self.orders.close()
        await self.machine.stop()
        self.client.close()
        await self.records.stop()

    def connect(self) -> HttpWorkerOrders:
        """Connect to the current incarnation."""
        assert self.machine.incarnation is not None
        if self.orders is not None:
            self.orders.close()
        address, _, port = self.machine.address.rpartition(":")
        self.orders = HttpWorkerOrders(self.machine.incarnation.worker_id, address, int(port))
        return self.orders

    async def start_run(self, index: int = 0, number: int = 1, work_s: float = 100.0) -> None:
        """Start a run."""
        assert self.machine.incarnation is not None
        deadline_ms = self.machine.incarnation.clock_ms() + 6000
        plan = payload(TaskPlan(work_s))
        order = StartOrder(task(index), number, plan, "", deadline_ms, self.fence)
        await self.orders.start(order, TIMEOUT_S)

    async def poll(self, renew_ms: int | None = None, seen: int = 0) -> WorkerReport:
        """Poll the worker, and renew its lease if ``renew_ms`` is given."""
        deadline_ms = None
        if renew_ms is not None and self.machine.incarnation is not None:
            deadline_ms = self.machine.incarnation.clock_ms() + renew_ms
        return await self.orders.hold(self.fence, deadline_ms, seen, 0.0, TIMEOUT_S)

    async def stop_run(self, index: int = 0, number: int = 1) -> None:
        """Stop a run."""
        await self.orders.stop(task(index), number, self.fence, TIMEOUT_S)

    def begun_runs(self) -> list[RunBegan]:
        """Runs that have begun."""
        return [each for each in self.messages if isinstance(each, RunBegan)]

    def listed_workers(self) -> list[str]:
        """Workers that are listed in the store."""
        return [item.key.removeprefix("servers/") for item in self.store.keys("servers/")]


class SiteTest(unittest.TestCase):
    def run_at_site(self, body: Callable[[Site], Awaitable[None]]) -> None:
        async def main() -> None:
            site = Site()
            await site.start()
            try:
                await body(site)
            finally:
                await site.stop()

        virtually(main)


class CallFaultTest(SiteTest):
    def test_late_starts_are_carried_out_later(self) -> None:
        """The delay is below the lease, since a start after its deadline is refused."""

        async def body(site: Site) -> None:
            delay = DelayOrders(
                machines=ALL, seconds=2.0, calls=(CallKind.START,), least_s=2.0, longest_s=4.0
            )
            site.machine.apply(delay)
            sent = now()
            with self.assertRaises(WorkerUnreachable):
                await site.start_run()
            await site.poll(6000)
            self.assertEqual(site.begun_runs(), [])
            await asyncio.sleep(4.0)
            (run,) = site.begun_runs()
            self.assertTrue(run.late)
            self.assertAlmostEqual(run.ordered_s, sent, places=1)
            self.assertTrue(2.0 <= run.at_s - sent <= 4.2)

        self.run_at_site(body)

    def test_late_stops_and_late_renewals_are_separate(self) -> None:
        async def renewals(site: Site) -> None:
            await site.start_run()
            delay = DelayOrders(
                machines=ALL, seconds=1.0, calls=(CallKind.LOOK,), least_s=2.0, longest_s=3.0
            )
            site.machine.apply(delay)
            with self.assertRaises(WorkerUnreachable):
                await site.poll(9000)
            await asyncio.sleep(7.0)
            self.assertEqual(len((await site.poll()).running), 1, "the late renewal counted")

        async def stops(site: Site) -> None:
            await site.start_run()
            delay = DelayOrders(
                machines=ALL, seconds=1.0, calls=(CallKind.STOP,), least_s=2.0, longest_s=3.0
            )
            site.machine.apply(delay)
            with self.assertRaises(WorkerUnreachable):
                await site.stop_run()
            self.assertEqual(len((await site.poll(6000)).running), 1)
            await asyncio.sleep(4.5)
            (end,) = (await site.poll()).ended
            self.assertIs(end.how, EndKind.STOPPED)

        self.run_at_site(renewals)
        self.run_at_site(stops)

    def test_calls_with_lost_answers_are_carried_out(self) -> None:
        for reset_share in (0.0, 1.0):
            with self.subTest(reset_share):

                async def body(site: Site, reset_share: float = reset_share) -> None:
                    site.machine.apply(
                        LoseAnswers(machines=ALL, seconds=1.0, reset_share=reset_share)
                    )
                    began = now()
                    with self.assertRaises(WorkerUnreachable):
                        await site.start_run()
                    self.assertEqual(now() - began < TIMEOUT_S / 2, reset_share == 1.0)
                    self.assertEqual([run.late for run in site.begun_runs()], [False])
                    await asyncio.sleep(1.0)
                    self.assertEqual(len((await site.poll()).running), 1)

                self.run_at_site(body)

    def test_a_hanging_worker_carries_out_no_calls(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(Hang(machines=ALL, seconds=1.0))
            with self.assertRaises(WorkerUnreachable):
                await site.start_run()
            await asyncio.sleep(20.0)
            self.assertEqual(site.begun_runs(), [])
            await site.poll()

        self.run_at_site(body)

    def test_a_worker_that_answers_errors_carries_out_no_calls(self) -> None:
        errors = {
            ErrorAnswer.UNAVAILABLE: WorkerBusy,
            ErrorAnswer.INTERNAL: WorkerUnreachable,
            ErrorAnswer.RESET: WorkerUnreachable,
        }
        for answer, error in errors.items():
            with self.subTest(answer):

                async def body(
                    site: Site,
                    answer: ErrorAnswer = answer,
                    error: type[Exception] = error,
                ) -> None:
                    site.machine.apply(AnswerErrors(machines=ALL, seconds=1.0, answer=answer))
                    began = now()
                    with self.assertRaises(error):
                        await site.start_run()
                    self.assertLess(now() - began, TIMEOUT_S / 2, "at once")
                    await asyncio.sleep(1.0)
                    self.assertEqual((await site.poll()).running, ())

                self.run_at_site(body)

    def test_a_fault_affects_a_random_share_of_calls(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(AnswerErrors(machines=ALL, seconds=100.0, share=0.4))
            busy = 0
            for _ in range(200):
                try:
                    await site.poll()
                except WorkerBusy:
                    busy += 1
            self.assertTrue(50 <= busy <= 110, busy)

        self.run_at_site(body)


class CutTest(SiteTest):
    def test_held_calls_are_delivered_after_a_cut(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(CutFromVms(machines=ALL, seconds=3.0))
            sent = now()
            with self.assertRaises(WorkerUnreachable):
                await site.start_run()
            self.assertEqual(site.begun_runs(), [])
            await asyncio.sleep(3.0)
            (run,) = site.begun_runs()
            self.assertTrue(run.late)
            self.assertAlmostEqual(run.at_s - sent, 3.0, places=1)

        self.run_at_site(body)

    def test_a_cut_of_answers_does_not_hold_orders(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(CutFromVms(machines=ALL, seconds=3.0, way=CutDirection.ANSWERS))
            with self.assertRaises(WorkerUnreachable):
                await site.start_run()
            self.assertEqual([run.late for run in site.begun_runs()], [False])

        self.run_at_site(body)

    def test_a_cut_from_one_leader_does_not_affect_another(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(CutFromVms(machines=ALL, seconds=3.0, fences=(1,)))
            with self.assertRaises(WorkerUnreachable):
                await site.poll()
            site.fence = 2
            await site.poll()

        self.run_at_site(body)

    def test_a_partitioned_worker_keeps_running_while_its_record_expires(self) -> None:
        async def body(site: Site) -> None:
            await site.start_run(work_s=4.0)
            site.machine.apply(CutOff(machines=ALL, seconds=8.0))
            with self.assertRaises(WorkerUnreachable):
                await site.poll()
            await asyncio.sleep(3 * TIMES.heartbeat_s + 1.0)
            self.assertEqual(site.listed_workers(), [])
            self.assertEqual(len(site.begun_runs()), 1)
            await asyncio.sleep(5.0)
            self.assertEqual([end.how for end in (await site.poll()).ended], [EndKind.DONE])
            self.assertEqual(site.listed_workers(), ["i-m0-1"])

        self.run_at_site(body)

    def test_a_new_incarnation_at_the_same_address_after_a_crash_during_a_cut(self) -> None:
        async def body(site: Site) -> None:
            await site.start_run()
            address = site.machine.address
            site.machine.apply(CutFromVms(machines=ALL, seconds=5.0))
            site.machine.apply(Crash(machines=ALL, silent=True, back_s=2.0))
            with self.assertRaises(WorkerUnreachable):
                await site.poll()
            await asyncio.sleep(6.0)
            self.assertEqual(site.machine.address, address)
            with self.assertRaises(WorkerReplaced):
                await site.poll()
            site.connect()
            self.assertEqual((await site.poll()).running, ())
            self.assertIn("i-m0-2", site.listed_workers())

        self.run_at_site(body)


class IncarnationTest(SiteTest):
    def test_a_crashed_worker_refuses_connections_and_its_record_expires(self) -> None:
        async def body(site: Site) -> None:
            await site.start_run()
            site.machine.apply(Crash(machines=ALL, back_s=None))
            await asyncio.sleep(0.2)
            began = now()
            with self.assertRaises(WorkerUnreachable):
                await site.poll()
            self.assertLess(now() - began, TIMEOUT_S / 2)
            self.assertEqual(site.listed_workers(), ["i-m0-1"])
            await asyncio.sleep(3 * TIMES.heartbeat_s + 0.2)
            self.assertEqual(site.listed_workers(), [])

        self.run_at_site(body)

    def test_a_crash_that_removes_the_record(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(Crash(machines=ALL, removed=True, back_s=None))
            await asyncio.sleep(0.2)
            self.assertEqual(site.listed_workers(), [])

        self.run_at_site(body)

    def test_an_announced_shutdown(self) -> None:
        async def body(site: Site) -> None:
            await site.start_run()
            site.machine.apply(Leave(machines=ALL, notice_s=3.0, linger_s=2.0, back_s=None))
            await asyncio.sleep(0.2)
            (item,) = site.store.keys("servers/")
            record = PlatformDocuments().worker(item)
            self.assertTrue(record.draining)
            self.assertIsNotNone(record.remaining_ms)
            self.assertTrue(2700 <= (record.remaining_ms or 0) <= 3000, record)
            await asyncio.sleep(4.5)
            self.assertEqual(len((await site.poll(6000)).running), 1, "it serves on")
            await asyncio.sleep(0.6)
            with self.assertRaises(WorkerUnreachable):
                await site.poll()
            self.assertEqual(site.listed_workers(), [], "the record goes when it has ended")
            ended = [each for each in site.messages if isinstance(each, LifeEnded)]
            announced = [each for each in site.messages if isinstance(each, LifeAnnounced)]
            self.assertEqual([each.crashed for each in ended], [False])
            self.assertAlmostEqual(ended[0].at_s - announced[0].at_s, 5.0, places=1)

        self.run_at_site(body)

    def test_an_announced_shutdown_that_removes_the_record_first(self) -> None:
        async def body(site: Site) -> None:
            leave = Leave(machines=ALL, notice_s=2.0, linger_s=2.0, record_first=True, back_s=None)
            site.machine.apply(leave)
            await asyncio.sleep(2.5)
            self.assertEqual(site.listed_workers(), [])
            await site.poll()
            await asyncio.sleep(2.0)
            with self.assertRaises(WorkerUnreachable):
                await site.poll()

        self.run_at_site(body)

    def test_an_unannounced_shutdown(self) -> None:
        async def body(site: Site) -> None:
            leave = Leave(machines=ALL, announced=False, notice_s=3.0, linger_s=1.0, back_s=0.5)
            site.machine.apply(leave)
            await asyncio.sleep(3.8)
            self.assertEqual(site.listed_workers(), [])
            await site.poll()
            await asyncio.sleep(0.4)
            with self.assertRaises(WorkerUnreachable):
                await site.poll()
            await asyncio.sleep(0.6)
            self.assertEqual(site.listed_workers(), ["i-m0-2"])
            with self.assertRaises(WorkerReplaced):
                await site.poll()

        self.run_at_site(body)

    def test_the_notice_counts_from_when_the_store_accepts_the_announcement(self) -> None:
        async def body(site: Site) -> None:
            site.records.is_unavailable = True
            site.machine.apply(Leave(machines=ALL, notice_s=1.0, back_s=None))
            await asyncio.sleep(5.0)
            await site.poll()
            site.records.is_unavailable = False
            await asyncio.sleep(3.0)
            with self.assertRaises(WorkerUnreachable):
                await site.poll()

        self.run_at_site(body)

    def test_healing_restarts_a_worker_and_ends_faults(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(Hang(machines=ALL, seconds=1000.0))
            site.machine.apply(CutFromVms(machines=ALL, seconds=1000.0))
            site.machine.apply(Crash(machines=ALL, back_s=None))
            await asyncio.sleep(1.0)
            site.machine.apply(Heal(machines=ALL))
            await asyncio.sleep(0.5)
            site.connect()
            self.assertEqual((await site.poll()).running, ())

        self.run_at_site(body)

    def test_failing_and_stuck_tasks(self) -> None:
        async def body(site: Site) -> None:
            failing = TroubleTasks(machines=ALL, seconds=2.0, how=TaskFault.FAIL)
            site.machine.apply(failing)
            await asyncio.sleep(0.1)
            await site.start_run()
            await asyncio.sleep(0.2)
            (end,) = (await site.poll()).ended
            self.assertIs(end.how, EndKind.FAILED)
            await asyncio.sleep(2.0)
            await site.start_run(number=2, work_s=1.0)
            await asyncio.sleep(1.2)
            (end,) = (await site.poll(seen=1)).ended
            self.assertIs(end.how, EndKind.DONE)
            stuck = TroubleTasks(machines=ALL, seconds=3.0, how=TaskFault.STUCK)
            site.machine.apply(stuck)
            await asyncio.sleep(0.1)
            await site.start_run(number=3, work_s=1.0)
            await asyncio.sleep(2.5)
            self.assertEqual(len((await site.poll(seen=2)).running), 1)
            await asyncio.sleep(1.7)
            self.assertEqual([end.how for end in (await site.poll()).ended], [EndKind.DONE])

        self.run_at_site(body)


class RecordTest(SiteTest):
    def test_a_record_is_written_about_every_heartbeat(self) -> None:
        async def body(site: Site) -> None:
            seqs = set()
            clocks = set()
            for _ in range(60):
                (item,) = site.store.keys("servers/")
                fields = msgspec.json.decode(item.value)
                seqs.add(fields["seq"])
                clocks.add(fields["clock-ms"])
                await asyncio.sleep(0.5)
            self.assertTrue(19 <= len(seqs) <= 22, seqs)
            self.assertEqual(len(clocks), len(seqs))

        self.run_at_site(body)

    def test_a_record_expires_while_its_worker_is_cut_from_the_store_and_serves(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(CutFromStore(machines=ALL, seconds=8.0))
            await asyncio.sleep(7.0)
            self.assertEqual(site.listed_workers(), [])
            await site.poll()
            await asyncio.sleep(3.0)
            self.assertEqual(site.listed_workers(), ["i-m0-1"])

        self.run_at_site(body)

    def test_an_incarnation_that_begins_during_a_cut_from_the_store_is_listed_after_it(
        self,
    ) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(CutFromStore(machines=ALL, seconds=6.0))
            site.machine.apply(Crash(machines=ALL, back_s=1.0))
            await asyncio.sleep(5.5)
            self.assertEqual(site.listed_workers(), [])
            await asyncio.sleep(2.0)
            self.assertEqual(site.listed_workers(), ["i-m0-2"])

        self.run_at_site(body)

    def test_records_are_listed_again_within_two_seconds_of_the_stores_return(self) -> None:
        async def body(site: Site) -> None:
            site.records.is_unavailable = True
            site.records.expire_while_unavailable = True
            await asyncio.sleep(10.0)
            self.assertEqual(site.listed_workers(), [])
            site.records.is_unavailable = False
            await asyncio.sleep(2.0)
            self.assertEqual(site.listed_workers(), ["i-m0-1"])

        self.run_at_site(body)

    def test_records_do_not_expire_while_the_store_refuses_writes(self) -> None:
        async def body(site: Site) -> None:
            site.records.is_unavailable = True
            await asyncio.sleep(10.0)
            self.assertEqual(site.listed_workers(), ["i-m0-1"])

        self.run_at_site(body)

    def test_a_write_that_changes_only_the_sequence_number_is_no_change(self) -> None:
        async def body() -> None:
            store = StoreState()
            records = WorkerRecords(store, TIMES.heartbeat_s)
            entry = b'{"state":"%s","seq":%d}'
            revisions = []
            for state, seq in ((b"ready", 1), (b"ready", 2), (b"draining", 3)):
                records.write("servers/i-1", entry % (state, seq))
                revisions.append(store.item("servers/i-1").revision)
            self.assertEqual(revisions[0], revisions[1])
            self.assertGreater(revisions[2], revisions[1])

        virtually(body)


if __name__ == "__main__":
    unittest.main()
