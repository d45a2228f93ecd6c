"""Machines with a soak's workers: what becomes of calls in trouble, lives, and their records."""

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
TOLD_S = 0.1


@dataclass
class Site:
    """One machine, the store, and a VM's way to the present life."""

    store: StoreState = field(default_factory=StoreState)
    told: list[Record | GangMessage] = field(default_factory=list)
    fence: int = 1
    orders: HttpWorkerOrders = None  # type: ignore[assignment]

    async def start(self) -> None:
        self.records = WorkerRecords(self.store, TIMES.heartbeat_s)
        await self.records.start()
        self.client = HttpClient("127.0.0.1", self.records.port)
        surroundings = HostContext(TIMES, SERVICE, self.client, self.told.append, lambda: None)
        self.machine = Machine(machine(0), surroundings, random.Random(1))
        await self.machine.start()
        await asyncio.sleep(TOLD_S)
        self.dial()

    async def stop(self) -> None:
        self.orders.close()
        await self.machine.stop()
        self.client.close()
        await self.records.stop()

    def dial(self) -> HttpWorkerOrders:
        """A way to the life that is present."""
        assert self.machine.incarnation is not None
        if self.orders is not None:
            self.orders.close()
        address, _, port = self.machine.address.rpartition(":")
        self.orders = HttpWorkerOrders(self.machine.incarnation.worker_id, address, int(port))
        return self.orders

    async def begin(self, index: int = 0, number: int = 1, work_s: float = 100.0) -> None:
        """Start a run."""
        assert self.machine.incarnation is not None
        deadline_ms = self.machine.incarnation.clock_ms() + 6000
        plan = payload(TaskPlan(work_s))
        order = StartOrder(task(index), number, plan, "", deadline_ms, self.fence)
        await self.orders.start(order, TIMEOUT_S)

    async def look(self, renew_ms: int | None = None, seen: int = 0) -> WorkerReport:
        """Look, and renew."""
        deadline_ms = None
        if renew_ms is not None and self.machine.incarnation is not None:
            deadline_ms = self.machine.incarnation.clock_ms() + renew_ms
        return await self.orders.hold(self.fence, deadline_ms, seen, 0.0, TIMEOUT_S)

    async def stop_run(self, index: int = 0, number: int = 1) -> None:
        """Stop a run."""
        await self.orders.stop(task(index), number, self.fence, TIMEOUT_S)

    def begun(self) -> list[RunBegan]:
        """Runs that began."""
        return [each for each in self.told if isinstance(each, RunBegan)]

    def recorded(self) -> list[str]:
        """Workers in the store."""
        return [item.key.removeprefix("servers/") for item in self.store.keys("servers/")]


class SiteTest(unittest.TestCase):
    def at_site(self, body: Callable[[Site], Awaitable[None]]) -> None:
        async def main() -> None:
            site = Site()
            await site.start()
            try:
                await body(site)
            finally:
                await site.stop()

        virtually(main)


class CallTroubleTest(SiteTest):
    def test_late_starts_are_carried_out_later(self) -> None:
        """The delay stays below the lease: a start that comes after its deadline begins nothing."""

        async def body(site: Site) -> None:
            delay = DelayOrders(
                machines=ALL, seconds=2.0, calls=(CallKind.START,), least_s=2.0, longest_s=4.0
            )
            site.machine.apply(delay)
            sent = now()
            with self.assertRaises(WorkerUnreachable):
                await site.begin()
            await site.look(6000)
            self.assertEqual(site.begun(), [])
            await asyncio.sleep(4.0)
            (run,) = site.begun()
            self.assertTrue(run.late)
            self.assertAlmostEqual(run.ordered_s, sent, places=1)
            self.assertTrue(2.0 <= run.at_s - sent <= 4.2)

        self.at_site(body)

    def test_late_stops_and_late_renewals_each_alone(self) -> None:
        async def renewals(site: Site) -> None:
            await site.begin()
            delay = DelayOrders(
                machines=ALL, seconds=1.0, calls=(CallKind.LOOK,), least_s=2.0, longest_s=3.0
            )
            site.machine.apply(delay)
            with self.assertRaises(WorkerUnreachable):
                await site.look(9000)
            await asyncio.sleep(7.0)
            self.assertEqual(len((await site.look()).running), 1, "the late renewal counted")

        async def stops(site: Site) -> None:
            await site.begin()
            delay = DelayOrders(
                machines=ALL, seconds=1.0, calls=(CallKind.STOP,), least_s=2.0, longest_s=3.0
            )
            site.machine.apply(delay)
            with self.assertRaises(WorkerUnreachable):
                await site.stop_run()
            self.assertEqual(len((await site.look(6000)).running), 1)
            await asyncio.sleep(4.5)
            (end,) = (await site.look()).ended
            self.assertIs(end.how, EndKind.STOPPED)

        self.at_site(renewals)
        self.at_site(stops)

    def test_answers_that_are_lost(self) -> None:
        for reset_share in (0.0, 1.0):
            with self.subTest(reset_share):

                async def body(site: Site, reset_share: float = reset_share) -> None:
                    site.machine.apply(
                        LoseAnswers(machines=ALL, seconds=1.0, reset_share=reset_share)
                    )
                    began = now()
                    with self.assertRaises(WorkerUnreachable):
                        await site.begin()
                    self.assertEqual(now() - began < TIMEOUT_S / 2, reset_share == 1.0)
                    self.assertEqual([run.late for run in site.begun()], [False])
                    await asyncio.sleep(1.0)
                    self.assertEqual(len((await site.look()).running), 1)

                self.at_site(body)

    def test_a_worker_that_hangs_does_nothing(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(Hang(machines=ALL, seconds=1.0))
            with self.assertRaises(WorkerUnreachable):
                await site.begin()
            await asyncio.sleep(20.0)
            self.assertEqual(site.begun(), [])
            await site.look()

        self.at_site(body)

    def test_a_worker_that_answers_errors_does_nothing(self) -> None:
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
                        await site.begin()
                    self.assertLess(now() - began, TIMEOUT_S / 2, "at once")
                    await asyncio.sleep(1.0)
                    self.assertEqual((await site.look()).running, ())

                self.at_site(body)

    def test_a_share_of_calls_is_drawn_by_chance(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(AnswerErrors(machines=ALL, seconds=100.0, share=0.4))
            busy = 0
            for _ in range(200):
                try:
                    await site.look()
                except WorkerBusy:
                    busy += 1
            self.assertTrue(50 <= busy <= 110, busy)

        self.at_site(body)


class CutTest(SiteTest):
    def test_what_a_cut_holds_back_passes_afterwards(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(CutFromVms(machines=ALL, seconds=3.0))
            sent = now()
            with self.assertRaises(WorkerUnreachable):
                await site.begin()
            self.assertEqual(site.begun(), [])
            await asyncio.sleep(3.0)
            (run,) = site.begun()
            self.assertTrue(run.late)
            self.assertAlmostEqual(run.at_s - sent, 3.0, places=1)

        self.at_site(body)

    def test_a_cut_of_answers_lets_orders_through(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(CutFromVms(machines=ALL, seconds=3.0, way=CutDirection.ANSWERS))
            with self.assertRaises(WorkerUnreachable):
                await site.begin()
            self.assertEqual([run.late for run in site.begun()], [False])

        self.at_site(body)

    def test_a_cut_from_one_leader(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(CutFromVms(machines=ALL, seconds=3.0, fences=(1,)))
            with self.assertRaises(WorkerUnreachable):
                await site.look()
            site.fence = 2
            await site.look()

        self.at_site(body)

    def test_a_worker_that_is_cut_off_runs_on_while_its_record_lapses(self) -> None:
        async def body(site: Site) -> None:
            await site.begin(work_s=4.0)
            site.machine.apply(CutOff(machines=ALL, seconds=8.0))
            with self.assertRaises(WorkerUnreachable):
                await site.look()
            await asyncio.sleep(3 * TIMES.heartbeat_s + 1.0)
            self.assertEqual(site.recorded(), [])
            self.assertEqual(len(site.begun()), 1)
            await asyncio.sleep(5.0)
            self.assertEqual([end.how for end in (await site.look()).ended], [EndKind.DONE])
            self.assertEqual(site.recorded(), ["i-m0-1"])

        self.at_site(body)

    def test_a_crash_behind_a_cut_and_a_new_life_at_the_same_address(self) -> None:
        async def body(site: Site) -> None:
            await site.begin()
            address = site.machine.address
            site.machine.apply(CutFromVms(machines=ALL, seconds=5.0))
            site.machine.apply(Crash(machines=ALL, silent=True, back_s=2.0))
            with self.assertRaises(WorkerUnreachable):
                await site.look()
            await asyncio.sleep(6.0)
            self.assertEqual(site.machine.address, address)
            with self.assertRaises(WorkerReplaced):
                await site.look()
            site.dial()
            self.assertEqual((await site.look()).running, ())
            self.assertIn("i-m0-2", site.recorded())

        self.at_site(body)


class LifeTest(SiteTest):
    def test_a_crash_refuses_connections_and_its_record_lapses(self) -> None:
        async def body(site: Site) -> None:
            await site.begin()
            site.machine.apply(Crash(machines=ALL, back_s=None))
            await asyncio.sleep(0.2)
            began = now()
            with self.assertRaises(WorkerUnreachable):
                await site.look()
            self.assertLess(now() - began, TIMEOUT_S / 2)
            self.assertEqual(site.recorded(), ["i-m0-1"])
            await asyncio.sleep(3 * TIMES.heartbeat_s + 0.2)
            self.assertEqual(site.recorded(), [])

        self.at_site(body)

    def test_a_crash_that_takes_the_record_along(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(Crash(machines=ALL, removed=True, back_s=None))
            await asyncio.sleep(0.2)
            self.assertEqual(site.recorded(), [])

        self.at_site(body)

    def test_an_announced_end(self) -> None:
        async def body(site: Site) -> None:
            await site.begin()
            site.machine.apply(Leave(machines=ALL, notice_s=3.0, linger_s=2.0, back_s=None))
            await asyncio.sleep(0.2)
            (item,) = site.store.keys("servers/")
            record = PlatformDocuments().worker(item)
            self.assertTrue(record.draining)
            self.assertIsNotNone(record.remaining_ms)
            self.assertTrue(2700 <= (record.remaining_ms or 0) <= 3000, record)
            await asyncio.sleep(4.5)
            self.assertEqual(len((await site.look(6000)).running), 1, "it serves on")
            await asyncio.sleep(0.6)
            with self.assertRaises(WorkerUnreachable):
                await site.look()
            self.assertEqual(site.recorded(), [], "the record goes when it has ended")
            ended = [each for each in site.told if isinstance(each, LifeEnded)]
            announced = [each for each in site.told if isinstance(each, LifeAnnounced)]
            self.assertEqual([each.crashed for each in ended], [False])
            self.assertAlmostEqual(ended[0].at_s - announced[0].at_s, 5.0, places=1)

        self.at_site(body)

    def test_an_announced_end_whose_record_goes_first(self) -> None:
        async def body(site: Site) -> None:
            leave = Leave(machines=ALL, notice_s=2.0, linger_s=2.0, record_first=True, back_s=None)
            site.machine.apply(leave)
            await asyncio.sleep(2.5)
            self.assertEqual(site.recorded(), [])
            await site.look()
            await asyncio.sleep(2.0)
            with self.assertRaises(WorkerUnreachable):
                await site.look()

        self.at_site(body)

    def test_an_end_that_is_not_announced(self) -> None:
        async def body(site: Site) -> None:
            leave = Leave(machines=ALL, announced=False, notice_s=3.0, linger_s=1.0, back_s=0.5)
            site.machine.apply(leave)
            await asyncio.sleep(3.8)
            self.assertEqual(site.recorded(), [])
            await site.look()
            await asyncio.sleep(0.4)
            with self.assertRaises(WorkerUnreachable):
                await site.look()
            await asyncio.sleep(0.6)
            self.assertEqual(site.recorded(), ["i-m0-2"])
            with self.assertRaises(WorkerReplaced):
                await site.look()

        self.at_site(body)

    def test_an_announcement_counts_from_when_the_store_takes_it(self) -> None:
        async def body(site: Site) -> None:
            site.records.is_unavailable = True
            site.machine.apply(Leave(machines=ALL, notice_s=1.0, back_s=None))
            await asyncio.sleep(5.0)
            await site.look()
            site.records.is_unavailable = False
            await asyncio.sleep(3.0)
            with self.assertRaises(WorkerUnreachable):
                await site.look()

        self.at_site(body)

    def test_healing_brings_a_worker_back_and_ends_troubles(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(Hang(machines=ALL, seconds=1000.0))
            site.machine.apply(CutFromVms(machines=ALL, seconds=1000.0))
            site.machine.apply(Crash(machines=ALL, back_s=None))
            await asyncio.sleep(1.0)
            site.machine.apply(Heal(machines=ALL))
            await asyncio.sleep(0.5)
            site.dial()
            self.assertEqual((await site.look()).running, ())

        self.at_site(body)

    def test_tasks_in_trouble(self) -> None:
        async def body(site: Site) -> None:
            trouble = TroubleTasks(machines=ALL, seconds=2.0, how=TaskFault.FAIL)
            site.machine.apply(trouble)
            await asyncio.sleep(0.1)
            await site.begin()
            await asyncio.sleep(0.2)
            (end,) = (await site.look()).ended
            self.assertIs(end.how, EndKind.FAILED)
            await asyncio.sleep(2.0)
            await site.begin(number=2, work_s=1.0)
            await asyncio.sleep(1.2)
            (end,) = (await site.look(seen=1)).ended
            self.assertIs(end.how, EndKind.DONE)
            standing = TroubleTasks(machines=ALL, seconds=3.0, how=TaskFault.STUCK)
            site.machine.apply(standing)
            await asyncio.sleep(0.1)
            await site.begin(number=3, work_s=1.0)
            await asyncio.sleep(2.5)
            self.assertEqual(len((await site.look(seen=2)).running), 1)
            await asyncio.sleep(1.7)
            self.assertEqual([end.how for end in (await site.look()).ended], [EndKind.DONE])

        self.at_site(body)


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

        self.at_site(body)

    def test_a_record_lapses_while_its_worker_is_cut_from_the_store_and_serves(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(CutFromStore(machines=ALL, seconds=8.0))
            await asyncio.sleep(7.0)
            self.assertEqual(site.recorded(), [])
            await site.look()
            await asyncio.sleep(3.0)
            self.assertEqual(site.recorded(), ["i-m0-1"])

        self.at_site(body)

    def test_a_new_life_behind_a_cut_from_the_store_is_not_recorded_before_it_ends(self) -> None:
        async def body(site: Site) -> None:
            site.machine.apply(CutFromStore(machines=ALL, seconds=6.0))
            site.machine.apply(Crash(machines=ALL, back_s=1.0))
            await asyncio.sleep(5.5)
            self.assertEqual(site.recorded(), [])
            await asyncio.sleep(2.0)
            self.assertEqual(site.recorded(), ["i-m0-2"])

        self.at_site(body)

    def test_records_are_back_within_two_seconds_of_the_stores_return(self) -> None:
        async def body(site: Site) -> None:
            site.records.is_unavailable = True
            site.records.expire_while_unavailable = True
            await asyncio.sleep(10.0)
            self.assertEqual(site.recorded(), [])
            site.records.is_unavailable = False
            await asyncio.sleep(2.0)
            self.assertEqual(site.recorded(), ["i-m0-1"])

        self.at_site(body)

    def test_records_wait_while_nobody_is_heard(self) -> None:
        async def body(site: Site) -> None:
            site.records.is_unavailable = True
            await asyncio.sleep(10.0)
            self.assertEqual(site.recorded(), ["i-m0-1"])

        self.at_site(body)

    def test_a_write_that_changes_the_number_alone_is_no_change(self) -> None:
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
