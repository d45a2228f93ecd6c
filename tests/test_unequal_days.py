"""Simulated workers of unequal speed, uneven demand, and short days with both.

Guards against workers whose progress hides their speed, against demand without waves, and against
work that runs twice or stalls where workers are unequal and clients compete.
"""

from __future__ import annotations

import random
import statistics
import unittest
import unittest.mock

import msgspec

from saddlestack.control.settings import Scheduling
from saddlestack.interfaces.workers import EndKind, StartOrder, WorkerReport
from saddlestack.work import Resources, Step, TaskName
from tests.simulation.day import Verdict, day_of
from tests.simulation.deployment import Shape
from tests.simulation.hard_history import HardLoadHistory
from tests.simulation.hard_load import OBJECTIVES, WAVE_S, Demand, HardLoad
from tests.simulation.jobs import JobKinds
from tests.simulation.loops import Timeline
from tests.simulation.slow_gangs import SlowGangs
from tests.simulation.speeds import Machines, Speeds
from tests.simulation.standstills import PoolView
from tests.simulation.workers import (
    STRAGGLER_LENGTH,
    Plan,
    SimRun,
    SimWorker,
    Workers,
    length_of,
)

FACTOR = 2.4
UNEQUAL = HardLoad(Speeds(0.33, FACTOR))
CROWDED = HardLoad(Speeds(0.33, FACTOR), crowds=True)
ALL_PARTS = Scheduling(worker_speeds=True, gang_priority=True, demand_forecast=True)
SECONDS = 6.0
LEARNT = ((3, 36.0), (11, 30.0))
"""Seeds and seconds of days with avoidable urgent gangs on slow workers if speeds are ignored."""
FAULTS = ["crash", "drain", "lease_lost", "reborn", "restart"]


class SpeedsTest(unittest.TestCase):
    """Two workers, of which the second takes longer for the same work."""

    def setUp(self) -> None:
        self.timeline = Timeline()
        self.addCleanup(self.timeline.close)
        self.world = self.timeline.loop("world", random.Random(0))
        self.workers = Workers(self.world, random.Random(1), 0.5)
        self.workers.gangs_wait = True
        self.machines = Machines(
            Speeds(drift_per_s=0.0), self.workers, self.world, random.Random(1), []
        )
        self.machines.begin()
        self.fast, self.slow = (self.workers.add("r1-1", "hall-1") for _ in range(2))
        self.machines.set_factor(self.slow, FACTOR)

    def start(self, worker: SimWorker, plan: Plan, index: int = 0) -> SimRun:
        task = TaskName("a" * 16, 0, 0, index)
        payload = msgspec.json.encode(plan).decode()
        deadline_ms = self.workers.clock_ms(worker) + 10_000
        order = StartOrder(str(task), 1, payload, "", deadline_ms, 1)
        self.assertIsNone(self.workers.start(worker, order, "vm", 0.0).refusal)
        return self.workers.begun[-1]

    def percent(self, worker: SimWorker) -> int:
        """The progress of a worker's only run, as it reports it."""
        reports: list[WorkerReport] = []
        self.workers.hold(worker, 1, None, 0, 0.0, reports.append)
        return reports[0].running[0].percent

    def test_progress_follows_the_speed_of_the_worker(self) -> None:
        runs = [self.start(self.fast, Plan(2.0, 1)), self.start(self.slow, Plan(2.0, 1), 1)]
        self.timeline.run(1.0)
        self.assertEqual((self.percent(self.fast), self.percent(self.slow)), (50, 20))
        self.timeline.run(6.0)
        self.assertEqual([run.ended_s for run in runs], [2.0, 2.0 * FACTOR])

    def test_members_of_a_gang_progress_alone_and_end_with_the_slowest(self) -> None:
        plan = Plan(2.0, 1, gang=2)
        runs = [self.start(self.fast, plan), self.start(self.slow, plan, 1)]
        self.timeline.run(1.0)
        self.assertEqual((self.percent(self.fast), self.percent(self.slow)), (50, 20))
        self.timeline.run(4.0)
        self.assertEqual((self.percent(self.fast), self.percent(self.slow)), (99, 83))
        self.timeline.run(6.0)
        self.assertEqual([run.ended_s for run in runs], [2.0 * FACTOR] * 2)
        self.assertEqual({run.how for run in runs}, {EndKind.DONE})

    def test_a_gang_ends_at_once_where_a_member_fails(self) -> None:
        runs = [
            self.start(self.fast, Plan(2.0, 1, gang=2, failures=1)),
            self.start(self.slow, Plan(2.0, 1, gang=2), 1),
        ]
        self.timeline.run(6.0)
        self.assertEqual([run.ended_s for run in runs], [2.0, 2.0])
        self.assertEqual([run.how for run in runs], [EndKind.FAILED, EndKind.BROKEN])

    def test_a_worker_that_turns_slow_delays_only_the_work_left(self) -> None:
        run = self.start(self.fast, Plan(2.0, 1))
        self.timeline.run(1.0)
        self.machines.set_factor(self.fast, FACTOR)
        self.assertEqual(self.percent(self.fast), 50)
        self.timeline.run(2.0)
        self.assertEqual(self.percent(self.fast), 70)
        self.machines.set_factor(self.fast, 1.0)
        self.timeline.run(6.0)
        self.assertAlmostEqual(run.ended_s or 0.0, 2.0 + 1.0 - 1.0 / FACTOR)

    def test_a_member_that_waits_for_its_gang_keeps_its_progress(self) -> None:
        plan = Plan(1.0, 1, gang=2)
        runs = [self.start(self.fast, plan), self.start(self.slow, plan, 1)]
        self.timeline.run(1.5)
        self.machines.set_factor(self.fast, FACTOR)
        self.assertEqual(self.percent(self.fast), 99)
        self.timeline.run(6.0)
        self.assertEqual([run.ended_s for run in runs], [FACTOR] * 2)

    def test_a_worker_that_returns_keeps_the_factor_of_its_machine(self) -> None:
        self.workers.end(self.slow)
        again = self.workers.add("r1-1", "hall-1", self.slow.address)
        self.assertEqual((again.time_factor, self.fast.time_factor), (FACTOR, 1.0))

    def test_a_share_of_the_machines_is_slow(self) -> None:
        speeds = Speeds(0.3, FACTOR, 0.0)
        machines = Machines(speeds, self.workers, self.world, random.Random(1), [])
        drawn = [machines.factor_of(f"m:{number}") for number in range(1000)]
        self.assertAlmostEqual(drawn.count(FACTOR) / 1000, 0.3, delta=0.05)
        self.assertEqual(set(drawn), {1.0, FACTOR})

    def test_machines_turn_slow_and_recover(self) -> None:
        speeds = Speeds(0.5, FACTOR, 1.0)
        Machines(speeds, self.workers, self.world, random.Random(1), []).begin()
        self.timeline.run(40.0)
        changes = [factor for _, factor in self.fast.factors]
        self.assertIn(FACTOR, changes)
        self.assertIn(1.0, changes[changes.index(FACTOR) :])

    def test_tasks_differ_in_length_and_few_are_stragglers(self) -> None:
        lengths = [length_of(TaskName("a" * 16, 0, 0, index)) for index in range(5000)]
        usual = [length for length in lengths if length < STRAGGLER_LENGTH]
        self.assertAlmostEqual(statistics.median(usual), 1.0, delta=0.02)
        self.assertTrue(0.15 < statistics.stdev(usual) < 0.3)
        self.assertAlmostEqual(1 - len(usual) / len(lengths), 0.01, delta=0.005)

    def test_free_capacity_of_slow_workers_counts_for_stalls(self) -> None:
        """A preference for fast workers is no reason to stall."""
        pool = PoolView([self.slow], [self.slow])
        step = Step(count=1, needs=Resources(500, 512, 4))
        self.assertTrue(pool.has_free_capacity(step))


class DemandTest(unittest.TestCase):
    def setUp(self) -> None:
        self.demand = Demand(Shape(workers=20), seed=1)

    def test_demand_comes_in_waves(self) -> None:
        at_s, tops, others = 0.0, 0, 0
        while at_s < 100 * WAVE_S:
            at_s += self.demand.next_s(at_s)
            if at_s % WAVE_S < WAVE_S / 2:
                tops += 1
            else:
                others += 1
        self.assertGreater(tops, 2 * others)

    def test_a_crowd_wants_the_whole_pool_and_has_jobs_of_all_priorities(self) -> None:
        crowds = [self.demand.crowd() for _ in range(20)]
        for crowd in crowds:
            steps = [job.request.steps[0] for _, job in crowd]
            wanted = sum(step.count * step.needs.accelerators for step in steps)
            self.assertGreaterEqual(wanted, 20 * 8)
        self.assertEqual({job.queue for crowd in crowds for _, job in crowd}, set(OBJECTIVES))
        self.assertEqual(len({job.account for crowd in crowds for _, job in crowd}), 2)

    def test_gangs_fit_the_pool(self) -> None:
        for _ in range(500):
            step = self.demand.job().request.steps[0]
            if step.gang:
                self.assertLessEqual(step.count * step.needs.accelerators, 20 * 8 / 4)


class UnequalDaysTest(unittest.TestCase):
    def assert_unbroken(self, verdict: Verdict) -> None:
        self.assertEqual(verdict.broken, [])
        self.assertEqual(verdict.unfinished, [])
        self.assertGreater(verdict.starts, 0)

    def test_days_with_unequal_workers_violate_no_invariant(self) -> None:
        for scheduling in (Scheduling(), ALL_PARTS):
            with self.subTest(scheduling=scheduling):
                day = day_of(33, SECONDS, calm=True, hard=UNEQUAL, scheduling=scheduling)
                self.assert_unbroken(day.play())

    def test_days_with_crowds_violate_no_invariant(self) -> None:
        for scheduling in (Scheduling(), ALL_PARTS):
            with self.subTest(scheduling=scheduling):
                day = day_of(22, SECONDS, calm=True, hard=CROWDED, scheduling=scheduling)
                self.assert_unbroken(day.play())

    def test_days_with_unequal_workers_and_faults_violate_no_invariant(self) -> None:
        for scheduling in (Scheduling(), ALL_PARTS):
            with self.subTest(scheduling=scheduling):
                day = day_of(23, SECONDS, FAULTS, hard=CROWDED, scheduling=scheduling)
                verdict = day.play()
                self.assertEqual(verdict.broken, [])
                self.assertGreater(verdict.starts, 0)

    def test_urgent_gangs_avoid_slow_workers(self) -> None:
        for seed, seconds in LEARNT:
            with self.subTest(seed=seed):
                day = day_of(seed, seconds, calm=True, hard=UNEQUAL, scheduling=ALL_PARTS)
                verdict = day.play()
                self.assert_unbroken(verdict)
                self.assertGreater(verdict.slow_gangs.starts, 0)

    def test_avoidable_slow_gangs_break_only_days_with_worker_speeds(self) -> None:
        found = SlowGangs(1, 1, ["on a slow worker"])
        with unittest.mock.patch.object(HardLoadHistory, "slow_gangs", lambda *_: found):
            for scheduling, broken in ((Scheduling(), []), (ALL_PARTS, found.avoidable)):
                with self.subTest(scheduling=scheduling):
                    day = day_of(24, 1.0, calm=True, hard=UNEQUAL, scheduling=scheduling)
                    self.assertEqual(day.play().broken, broken)

    def test_days_with_faults_are_not_judged_for_slow_gangs(self) -> None:
        found = SlowGangs(1, 1, ["on a slow worker"])
        with unittest.mock.patch.object(HardLoadHistory, "slow_gangs", lambda *_: found):
            for only, kinds in ((["history"], JobKinds()), ([], JobKinds(failing=0.3))):
                with self.subTest(only=only):
                    day = day_of(
                        24, 1.0, only, calm=True, kinds=kinds, hard=UNEQUAL, scheduling=ALL_PARTS
                    )
                    self.assertEqual(day.play().broken, [])

    def test_the_share_in_time_counts_jobs_that_are_done_within_their_objective(self) -> None:
        job = Demand(Shape(workers=20), seed=1).job()
        step = msgspec.structs.replace(job.request.steps[0], count=1, gang=False)
        plan = Plan(2.0, 1)
        payload = msgspec.json.encode(plan).decode()
        jobs = {
            "a" * 16: (
                "urgent",
                msgspec.structs.replace(job.request, payload=payload, steps=(step,)),
            )
        }
        worker = SimWorker("i-1", "a:1", "r1-1", "hall-1", 8, 1.0, 0.0)
        run = SimRun(TaskName("a" * 16, 0, 0, 0), 1, worker, plan, "vm", 1, 10.0, 10.0)
        run.how = EndKind.DONE
        stretch, target_ms = OBJECTIVES["urgent"]
        objective_s = stretch * 2.0 + target_ms / 1000
        for ended_s, in_time in ((objective_s - 0.1, 1), (objective_s + 0.1, 0)):
            with self.subTest(ended_s=ended_s):
                run.ended_s = 10.0 + ended_s
                history = HardLoadHistory(jobs, {"a" * 16: 10.0}, {}, [run])
                self.assertEqual(history.in_time()["urgent"], (in_time, 1))
        cancelled = HardLoadHistory(jobs, {"a" * 16: 10.0}, {"a" * 16: 11.0}, [run])
        self.assertEqual(cancelled.in_time()["urgent"], (0, 0))

    def test_a_seed_repeats_the_same_day(self) -> None:
        first, second = (day_of(24, 3.0, calm=True, hard=CROWDED).play() for _ in range(2))
        self.assertEqual(
            (first.starts, first.events, first.in_time),
            (second.starts, second.events, second.in_time),
        )

    def test_the_parts_that_are_named_reach_the_settings_of_the_vms(self) -> None:
        day = day_of(26, 1.0, calm=True, scheduling=ALL_PARTS)
        day.play()
        entries = [vm.entry for vm in day.site.vms.values() if vm.entry is not None]
        self.assertTrue(entries)
        for entry in entries:
            self.assertEqual(entry.settings.scheduling, ALL_PARTS)


if __name__ == "__main__":
    unittest.main()
