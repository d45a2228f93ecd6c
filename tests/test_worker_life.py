"""One incarnation of a soak's worker: leases, fences, stops, ends, gangs, and its reports."""

from __future__ import annotations

import asyncio
import unittest

from saddlestack.interfaces.workers import EndKind, Refusal, WorkerFenced, WorkerUnreachable
from saddlestack.soak.messages import EndNoted, RunBegan, RunStopping, RunWorks
from saddlestack.standins.pool.workers import TaskPlan
from tests.soak_support import ACCELERATORS, TIMES, Workers, now, virtually

ONE_S = TaskPlan(1.0)
LONG = TaskPlan(100.0)
PAIR = TaskPlan(2.0, gang=2)


class OrdersTest(unittest.TestCase):
    def test_a_run_ends_as_done_when_its_work_is_done(self) -> None:
        async def body() -> None:
            workers = Workers()
            self.assertIsNone(workers.start(ONE_S).refusal)
            began = now()
            report = await workers.poll(wait_s=2.0)
            self.assertAlmostEqual(now() - began, 1.0, places=2)
            self.assertEqual([(end.number, end.how) for end in report.ended], [(1, EndKind.DONE)])
            self.assertEqual(report.running, ())

        virtually(body)

    def test_an_end_is_reported_until_it_is_acknowledged(self) -> None:
        async def body() -> None:
            workers = Workers()
            workers.start(ONE_S)
            await asyncio.sleep(1.5)
            for _ in range(2):
                self.assertEqual(len((await workers.poll()).ended), 1)
            self.assertEqual((await workers.poll(seen=1)).ended, ())
            noted = [each for each in workers.records if isinstance(each, EndNoted)]
            self.assertEqual([(each.run, each.lapsed) for each in noted], [(1, False)])

        virtually(body)

    def test_no_more_than_500_ends_are_listed_at_once(self) -> None:
        async def body() -> None:
            workers = Workers()
            for index in range(510):
                workers.start(TaskPlan(0.1, room=0), index=index)
            await asyncio.sleep(1.0)
            self.assertEqual(len((await workers.poll()).ended), 500)
            self.assertEqual(len((await workers.poll(seen=500)).ended), 10)

        virtually(body)

    def test_refusals(self) -> None:
        async def body() -> None:
            workers = Workers()
            self.assertIsNone(workers.start(LONG, fence=5).refusal)
            self.assertIsNone(workers.start(LONG, fence=5).refusal, "present already")
            self.assertIs(workers.start(LONG, index=1, fence=4).refusal, Refusal.FENCED)
            self.assertIs(workers.start(LONG, index=1, fence=5, hold_s=0).refusal, Refusal.LATE)
            for full in (
                TaskPlan(1.0, room=ACCELERATORS),
                TaskPlan(1.0, cpu=32_001),
                TaskPlan(1.0, memory_mb=131_073),
            ):
                self.assertIs(workers.start(full, index=1, fence=5).refusal, Refusal.CAPACITY)
            with self.assertRaises(WorkerFenced):
                workers.stop(fence=4)
            with self.assertRaises(WorkerFenced):
                await workers.poll(fence=4)
            began = [each for each in workers.records if isinstance(each, RunBegan)]
            self.assertEqual(len(began), 1)

        virtually(body)

    def test_a_run_number_not_above_that_of_an_ended_run_is_stale(self) -> None:
        async def body() -> None:
            workers = Workers()
            workers.start(ONE_S, number=3)
            await asyncio.sleep(1.5)
            for number in (1, 2, 3):
                self.assertIs(workers.start(ONE_S, number=number).refusal, Refusal.STALE)
            self.assertIsNone(workers.start(ONE_S, number=4).refusal)

        virtually(body)

    def test_a_stop_before_the_start_refuses_the_run(self) -> None:
        async def body() -> None:
            workers = Workers()
            workers.stop(number=2)
            self.assertIs(workers.start(ONE_S, number=2).refusal, Refusal.STALE)
            self.assertIsNone(workers.start(ONE_S, number=3).refusal)

        virtually(body)

    def test_a_stop_takes_at_most_the_longest_stop_time_and_saves_work(self) -> None:
        async def body() -> None:
            workers = Workers()
            workers.start(LONG)
            await asyncio.sleep(1.25)
            workers.stop()
            self.assertEqual(len((await workers.poll()).running), 1, "it takes its room until then")
            await asyncio.sleep(TIMES.stop_s + 0.01)
            (end,) = (await workers.poll()).ended
            self.assertIs(end.how, EndKind.STOPPED)
            self.assertGreater(float(end.saved), 1.25)
            stopping = [each for each in workers.records if isinstance(each, RunStopping)]
            self.assertEqual([each.run for each in stopping], [1])

        virtually(body)

    def test_a_start_resumes_from_saved_work(self) -> None:
        async def body() -> None:
            workers = Workers()
            workers.start(TaskPlan(3.0), saved="2.000")
            began = now()
            await workers.poll(wait_s=2.0)
            self.assertAlmostEqual(now() - began, TIMES.restore_s + 1.0, places=2)

        virtually(body)

    def test_the_first_runs_of_a_task_fail(self) -> None:
        async def body() -> None:
            workers = Workers()
            for number in (1, 2, 3):
                workers.start(TaskPlan(0.2, failures=2), number=number)
                await asyncio.sleep(0.5)
            self.assertEqual(workers.end_kinds(), [EndKind.FAILED, EndKind.FAILED, EndKind.DONE])

        virtually(body)

    def test_the_end_of_the_incarnation_interrupts_polls(self) -> None:
        async def body() -> None:
            workers = Workers()
            workers.start(LONG)
            poll = asyncio.create_task(workers.poll(wait_s=2.0))
            await asyncio.sleep(0.1)
            workers.incarnations[0].end(crashed=True)
            with self.assertRaises(WorkerUnreachable):
                await poll
            await asyncio.sleep(200.0)
            self.assertEqual(workers.ends(), [])

        virtually(body)


class LeaseTest(unittest.TestCase):
    def test_clocks_start_at_different_values_and_run_up_to_2_percent_slow(self) -> None:
        async def body() -> None:
            workers = Workers(20)
            before = [incarnation.clock_ms() for incarnation in workers.incarnations]
            self.assertEqual(len(set(before)), 20)
            await asyncio.sleep(100.0)
            passed = [
                incarnation.clock_ms() - ms
                for incarnation, ms in zip(workers.incarnations, before, strict=True)
            ]
            self.assertGreaterEqual(min(passed), 97_999)
            self.assertLessEqual(max(passed), 100_001)
            self.assertGreater(len(set(passed)), 10)

        virtually(body)

    def test_all_runs_end_when_the_lease_expires(self) -> None:
        async def body() -> None:
            workers = Workers()
            workers.start(LONG, hold_s=2.0)
            workers.start(LONG, index=1, hold_s=4.0)
            await asyncio.sleep(3.9)
            self.assertEqual(workers.end_kinds(), [], "it is never shortened")
            await asyncio.sleep(0.3)
            self.assertEqual(workers.end_kinds(), [EndKind.LAPSED] * 2)

        virtually(body)

    def test_a_lease_is_limited_to_the_maximum(self) -> None:
        async def body() -> None:
            workers = Workers()
            workers.start(LONG, hold_s=100.0)
            await asyncio.sleep(TIMES.lease_s * 1.03)
            self.assertEqual(workers.end_kinds(), [EndKind.LAPSED])

        virtually(body)

    def test_a_refused_start_extends_the_lease(self) -> None:
        async def body() -> None:
            workers = Workers()
            workers.start(LONG, hold_s=2.0)
            full = TaskPlan(1.0, room=ACCELERATORS)
            self.assertIs(workers.start(full, index=1, hold_s=5.0).refusal, Refusal.CAPACITY)
            await asyncio.sleep(4.0)
            self.assertEqual(workers.end_kinds(), [])

        virtually(body)

    def test_an_end_acknowledged_after_the_lease_expired_is_marked_as_lapsed(self) -> None:
        async def body() -> None:
            workers = Workers()
            workers.start(ONE_S, hold_s=2.0)
            await asyncio.sleep(5.0)
            await workers.poll(seen=1)
            noted = [each for each in workers.records if isinstance(each, EndNoted)]
            self.assertEqual([each.lapsed for each in noted], [True])

        virtually(body)


class GangTest(unittest.TestCase):
    def test_work_begins_when_all_members_are_present_and_they_end_together(self) -> None:
        async def body() -> None:
            workers = Workers(2)
            workers.start(PAIR, worker=0, index=0)
            await asyncio.sleep(1.0)
            workers.start(PAIR, worker=1, index=1)
            whole = now()
            await asyncio.sleep(1.9)
            self.assertEqual(workers.ends(), [])
            await asyncio.sleep(0.2)
            self.assertEqual(workers.end_kinds(), [EndKind.DONE] * 2)
            works = [each.at_s for each in workers.records if isinstance(each, RunWorks)]
            self.assertEqual(len(works), 2)
            self.assertAlmostEqual(min(works), whole, places=3)

        virtually(body)

    def test_a_member_waits_a_limited_time_for_the_others(self) -> None:
        async def body() -> None:
            workers = Workers(2)
            workers.start(PAIR, worker=0, index=0)
            await asyncio.sleep(TIMES.gang_wait_s - 0.1)
            self.assertEqual(workers.end_kinds(), [])
            await asyncio.sleep(0.2)
            self.assertEqual(workers.end_kinds(), [EndKind.ALONE])
            workers.start(PAIR, worker=1, index=1)
            await asyncio.sleep(TIMES.gang_wait_s + 0.1)
            self.assertEqual(workers.end_kinds(), [EndKind.ALONE] * 2)

        virtually(body)

    def test_members_with_other_run_numbers_do_not_complete_a_gang(self) -> None:
        async def body() -> None:
            workers = Workers(2)
            workers.start(PAIR, worker=0, index=0, number=1)
            workers.start(PAIR, worker=1, index=1, number=2)
            await asyncio.sleep(TIMES.gang_wait_s + 0.1)
            self.assertEqual(workers.end_kinds(), [EndKind.ALONE] * 2)

        virtually(body)

    def test_all_members_are_broken_when_one_has_ended(self) -> None:
        endings = {
            "stopped": lambda workers: workers.stop(worker=0),
            "crashed": lambda workers: workers.incarnations[0].end(crashed=True),
        }
        for name, ending in endings.items():
            with self.subTest(name):

                async def body(ending: object = ending) -> None:
                    workers = Workers(3)
                    plan = TaskPlan(50.0, gang=3)
                    for number in range(3):
                        workers.start(plan, worker=number, index=number)
                    await asyncio.sleep(1.0)
                    ending(workers)  # type: ignore[operator]
                    await asyncio.sleep(1.0)
                    end_kinds = workers.end_kinds()
                    self.assertEqual(end_kinds.count(EndKind.BROKEN), 2)
                    self.assertEqual(len(end_kinds), 3 if EndKind.STOPPED in end_kinds else 2)

                virtually(body)

    def test_all_members_are_broken_when_the_lease_of_one_expires(self) -> None:
        async def body() -> None:
            workers = Workers(2)
            plan = TaskPlan(50.0, gang=2)
            workers.start(plan, worker=0, index=0, hold_s=2.0)
            workers.start(plan, worker=1, index=1, hold_s=5.0)
            await asyncio.sleep(2.3)
            self.assertEqual(workers.end_kinds(), [EndKind.LAPSED, EndKind.BROKEN])

        virtually(body)

    def test_one_member_of_a_failing_run_fails_and_breaks_the_others(self) -> None:
        async def body() -> None:
            workers = Workers(3)
            plan = TaskPlan(1.0, failures=1, gang=3)
            for number in (1, 2):
                for worker in range(3):
                    workers.start(plan, worker=worker, index=worker, number=number)
                await asyncio.sleep(1.5)
            end_kinds = workers.end_kinds()
            self.assertEqual(
                sorted(end_kinds[:3]), [EndKind.BROKEN, EndKind.BROKEN, EndKind.FAILED]
            )
            self.assertEqual(end_kinds[3:], [EndKind.DONE] * 3)

        virtually(body)

    def test_a_gang_is_as_slow_as_its_slowest_member(self) -> None:
        async def body() -> None:
            workers = Workers(2)
            workers.start(PAIR, worker=0, index=0)
            workers.start(PAIR, worker=1, index=1)
            await asyncio.sleep(1.0)
            workers.incarnations[1].set_speed(0.5)
            await asyncio.sleep(1.9)
            self.assertEqual(workers.end_kinds(), [])
            percents = [row.percent for row in (await workers.poll()).running]
            self.assertTrue(90 <= percents[0] <= 99, percents)
            await asyncio.sleep(0.2)
            self.assertEqual(workers.end_kinds(), [EndKind.DONE] * 2)

        virtually(body)

    def test_a_gang_on_two_racks_takes_longer_where_its_plan_says_so(self) -> None:
        for others, seconds in ((1, 2.0), (3, 6.0)):
            with self.subTest(others):

                async def body(other: int = others, seconds: float = seconds) -> None:
                    workers = Workers(4)
                    plan = TaskPlan(2.0, gang=2, far_x=3.0)
                    workers.start(plan, worker=0, index=0)
                    workers.start(plan, worker=other, index=1)
                    await workers.renew_for(seconds - 0.1)
                    self.assertEqual(workers.end_kinds(), [])
                    await asyncio.sleep(0.2)
                    self.assertEqual(workers.end_kinds(), [EndKind.DONE] * 2)

                virtually(body)

    def test_a_stuck_gang_continues_afterwards(self) -> None:
        async def body() -> None:
            workers = Workers(2)
            workers.start(PAIR, worker=0, index=0)
            workers.start(PAIR, worker=1, index=1)
            await asyncio.sleep(1.0)
            workers.incarnations[1].set_speed(0.0)
            await workers.renew_for(10.0)
            self.assertEqual(workers.end_kinds(), [])
            workers.incarnations[1].set_speed(1.0)
            await asyncio.sleep(1.1)
            self.assertEqual(workers.end_kinds(), [EndKind.DONE] * 2)

        virtually(body)

    def test_a_gang_resumes_from_saved_work(self) -> None:
        async def body() -> None:
            workers = Workers(2)
            for number in range(2):
                workers.start(PAIR, worker=number, index=number, number=2, saved="1.500")
            await asyncio.sleep(TIMES.restore_s + 0.4)
            self.assertEqual(workers.end_kinds(), [])
            await asyncio.sleep(0.2)
            self.assertEqual(workers.end_kinds(), [EndKind.DONE] * 2)

        virtually(body)


class TaskFaultTest(unittest.TestCase):
    def test_tasks_that_fail_at_once(self) -> None:
        async def body() -> None:
            workers = Workers(2)
            workers.incarnations[0].fails_new_runs = True
            workers.start(LONG, index=7)
            await asyncio.sleep(0.2)
            self.assertEqual(workers.end_kinds(), [EndKind.FAILED])
            for number in range(2):
                workers.start(PAIR, worker=number, index=number)
            await asyncio.sleep(0.2)
            self.assertEqual(workers.end_kinds()[1:], [EndKind.FAILED, EndKind.BROKEN])

        virtually(body)

    def test_stuck_and_slow_tasks(self) -> None:
        async def body() -> None:
            workers = Workers()
            workers.start(TaskPlan(2.0))
            await asyncio.sleep(1.0)
            workers.incarnations[0].set_speed(0.0)
            await workers.renew_for(20.0)
            self.assertEqual(workers.end_kinds(), [])
            workers.incarnations[0].set_speed(0.5)
            await asyncio.sleep(1.9)
            self.assertEqual(workers.end_kinds(), [])
            await asyncio.sleep(0.2)
            self.assertEqual(workers.end_kinds(), [EndKind.DONE])

        virtually(body)

    def test_a_run_with_a_pace_of_zero_makes_no_progress(self) -> None:
        async def body() -> None:
            workers = Workers()
            workers.start(TaskPlan(2.0))
            workers.incarnations[0].pace("00000000000000aa.0.0.0", 1, 0, 1)
            await workers.renew_for(10.0)
            self.assertEqual(workers.end_kinds(), [])
            workers.incarnations[0].pace("00000000000000aa.0.0.0", 1, 100, 1)
            await asyncio.sleep(2.1)
            self.assertEqual(workers.end_kinds(), [EndKind.DONE])

        virtually(body)


if __name__ == "__main__":
    unittest.main()
