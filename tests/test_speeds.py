"""What is learned of the speed of workers, for loads as they occur on workers of unequal speed."""

from __future__ import annotations

import math
import random
import sys
import time
import tracemalloc
import unittest
from dataclasses import replace

from saddlestack.interfaces.workers import EndedTask, EndKind, RunningTask
from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.speed_evidence import (
    AGREEMENT,
    CONTRADICTION,
    Evidence,
    confidence_of,
    decay,
    drop_contradicted,
    estimate,
    weight_for,
)
from saddlestack.policy.cluster.speed_gangs import EVEN_SPREAD, GangSpread
from saddlestack.policy.cluster.speed_groups import MIN_DISTANCE, two_groups
from saddlestack.policy.cluster.speed_levels import (
    HYSTERESIS_LEVELS,
    LOG_LEVEL,
    LOG_SLOW,
    SLOW_MARGIN_SHARE,
    is_clear,
    level_factor,
    next_level,
)
from saddlestack.policy.cluster.speed_records import LEAST_CONFIDENCE, SpeedRow, WorkerSpeed
from saddlestack.policy.cluster.speed_reports import FIRST_RUNS_PER_S, RUNS_PER_S
from saddlestack.policy.cluster.speed_services import (
    COMMON_SHARE,
    CONFIRMING_RUNS,
    FASTER_SHARE,
    HELD_FROM,
    MAX_CHANGES,
    MIN_COMMON,
    ServiceSpeeds,
)
from saddlestack.policy.cluster.speed_steps import (
    FIRST_PERCENT,
    FIRST_S,
    URGENT_FIRST_PERCENT,
    URGENT_FIRST_S,
    StepComparison,
)
from saddlestack.policy.cluster.speeds import NEW_INCARNATION_SHARE, SpeedTracker
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.typical_work import MAX_KEPT
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import AcceptedJob, JobRequest, Resources, Step
from tests.speed_pool import (
    BULK,
    NORMAL,
    OPTIONS,
    SERVICE,
    SLOW,
    URGENT,
    URGENT_LIMIT,
    SelectiveWorkload,
    SpeedPool,
    Workload,
    make_step,
    members,
    task_length,
    worker_record,
)

SLOW_FACTOR = 2.4
HALF_LIFE_S = OPTIONS.speed_memory_s
SPREAD_LENGTHS = (0.8, 0.9, 1.0, 1.1, 1.25)


def names(count: int, first: int = 0) -> list[str]:
    return [f"w{number}" for number in range(first, first + count)]


def wide(
    pool: SpeedPool, on: list[str], mean_s: float = 6.0, *, job_id: str = "j", **more: object
) -> list[Run]:
    """Start a bulk step with one task on each worker, of lengths that differ by a quarter."""
    lengths = [mean_s * SPREAD_LENGTHS[i % len(SPREAD_LENGTHS)] for i in range(len(on))]
    return pool.start(make_step(len(on), job_id=job_id, **more), on, lengths)


class FirstEvidenceTest(unittest.TestCase):
    """The first seconds of load decide how many urgent gangs are late."""

    def test_one_wide_bulk_step_tells_slow_workers_before_any_task_ends(self) -> None:
        slow = names(10)
        pool = SpeedPool(30, dict.fromkeys(slow, SLOW_FACTOR))
        runs = wide(pool, names(30))
        pool.play(4.0)
        self.assertTrue(all(run.task.run is run for run in runs))
        for name, worker in pool.workers.items():
            self.assertTrue(worker.speed_known, name)
            self.assertEqual(worker.time_factor > SLOW, name in slow, name)

    def test_an_urgent_gang_that_mixes_fast_and_slow_tells_them_within_a_second(self) -> None:
        slow = names(3)
        pool = SpeedPool(12, dict.fromkeys(slow, SLOW_FACTOR))
        step = make_step(12, URGENT, gang=True)
        pool.start(step, names(12), [2.3] * 12)
        pool.play(1.2)
        for name in names(12):
            self.assertEqual((pool.factor(name) or 1.0) > SLOW, name in slow, name)

    def test_three_workers_are_needed(self) -> None:
        for count, known in ((2, 0), (3, 3)):
            with self.subTest(count=count):
                pool = SpeedPool(count, {"w0": SLOW_FACTOR})
                for job in range(6):
                    wide(pool, names(count), job_id=f"j{job}")
                    pool.play(pool.now + 2.5)
                found = [name for name in pool.workers if pool.tracker.estimate(name)]
                self.assertEqual(len(found), known)

    def test_a_rate_counts_from_ten_percent_and_four_tenths_of_a_second_on(self) -> None:
        for percent, at_s, counts in (
            (FIRST_PERCENT, FIRST_S, True),
            (FIRST_PERCENT - 1, FIRST_S, False),
            (FIRST_PERCENT, FIRST_S - 0.01, False),
        ):
            with self.subTest(percent=percent, at_s=at_s):
                pool = SpeedPool(10)
                runs = wide(pool, names(10))
                for run in runs:
                    run.percent = percent
                    worker = pool.workers[run.worker_id]
                    pool.tracker.observe_progress(worker, run, members, at_s)
                pool.tracker.refresh(at_s)
                self.assertEqual(pool.tracker.estimate("w1") is not None, counts)

    def test_members_that_wait_for_the_others_and_the_common_end_are_no_evidence(self) -> None:
        pool = SpeedPool(10)
        step = make_step(10, NORMAL, gang=True)
        runs = pool.start(step, names(10), [0.5] + [30.0] * 9)
        pool.play(1.0)
        runs[0].percent = 99
        pool.tracker.observe_progress(pool.workers["w0"], runs[0], members, 1.0)
        for run in runs:
            pool.tracker.observe_end(pool.workers[run.worker_id], run, EndKind.DONE, 1.0)
        pool.tracker.refresh(2.0)
        self.assertIsNone(pool.tracker.estimate("w0"))
        self.assertIsNone(pool.tracker.estimate("w5"))

    def test_a_gang_counts_from_the_start_of_its_last_member(self) -> None:
        pool = SpeedPool(10)
        runs = pool.start(make_step(10, URGENT, gang=True), names(10), [2.0] * 10)
        runs[9].started_s = 5.0
        for run in runs:
            run.percent = 40
        for run in runs:
            pool.tracker.observe_progress(pool.workers[run.worker_id], run, members, 5.8)
        pool.tracker.refresh(5.8)
        self.assertEqual({pool.factor(name) for name in names(10)}, {1.0})

    def test_a_third_of_176_workers_is_told_from_the_rest(self) -> None:
        """With the measured workload and stragglers, from two pieces of evidence on."""
        for seed in (1, 2):
            with self.subTest(seed=seed):
                rng = random.Random(seed)
                pool = SpeedPool(176)
                slow = rng.sample(list(pool.workers), 176 // 3)
                pool.factors.update(dict.fromkeys(slow, SLOW_FACTOR))
                Workload(pool, rng).play(12.0)
                wrong, judged = pool.misjudged(at_least=2)
                self.assertGreater(judged, 80)
                self.assertEqual(pool.unknown(at_least=2), 0)
                self.assertLess(len(wrong), 0.1 * judged)


class AlikeTest(unittest.TestCase):
    """Where workers are alike, every decision has to stay as it was."""

    def test_stragglers_change_no_factor(self) -> None:
        rng = random.Random(3)
        pool = SpeedPool(60)
        Workload(pool, rng).play(15.0)
        self.assertGreater(pool.tracker.known_workers, 30)
        for worker in pool.workers.values():
            self.assertEqual((worker.time_factor, worker.speed_known), (1.0, False))
        self.assertEqual(pool.tracker.take_changed(), [])

    def test_factors_up_to_two_levels_count_as_alike(self) -> None:
        for factor, unequal in ((1.4, False), (2.2, True)):
            with self.subTest(factor=factor):
                pool = SpeedPool(30, dict.fromkeys(names(10), factor))
                for job in range(4):
                    lengths = [6.0] * 30
                    pool.start(make_step(30, job_id=f"j{job}"), names(30), lengths)
                    pool.play(pool.now + 3.0)
                factors = {worker.time_factor for worker in pool.workers.values()}
                self.assertEqual(len(factors) > 1, unequal)

    def test_services_are_compared_on_their_own(self) -> None:
        pool = SpeedPool(24, dict.fromkeys(names(12), SLOW_FACTOR))
        for name in names(12):
            worker = pool.workers[name]
            worker.record = replace(worker.record, service="other")
            pool.tracker.add_worker(worker)
        for job in range(3):
            wide(pool, names(12), job_id=f"a{job}")
            wide(pool, names(12, first=12), job_id=f"b{job}")
            pool.play(pool.now + 4.0)
        self.assertEqual({worker.time_factor for worker in pool.workers.values()}, {1.0})


class RobustnessTest(unittest.TestCase):
    def test_one_very_long_run_marks_no_worker_where_all_are_alike(self) -> None:
        """Of 100 tasks one takes more than three times as long as the others."""
        pool = SpeedPool(30)
        lengths = [6.0] * 30
        lengths[7] = 6.0 * 8
        pool.start(make_step(30), names(30), lengths)
        pool.play(30.0)
        self.assertIsNone(pool.factor("w7"))
        self.assertFalse(pool.workers["w7"].speed_known)

    def test_one_very_long_run_among_others_does_not_change_what_is_known(self) -> None:
        pool = SpeedPool(30, dict.fromkeys(names(8), SLOW_FACTOR))
        for job in range(3):
            wide(pool, names(30), job_id=f"j{job}")
            pool.play(pool.now + 4.0)
        lengths = [6.0] * 30
        lengths[20] = 6.0 * 8
        pool.start(make_step(30, job_id="long"), names(30), lengths)
        pool.play(pool.now + 20.0)
        self.assertLess(pool.workers["w20"].time_factor, SLOW)

    def test_a_single_slow_worker_is_found_from_several_runs(self) -> None:
        """One broken machine of a pool; a single run there could be long by itself."""
        pool = SpeedPool(30, {"w4": SLOW_FACTOR})
        for job in range(CONFIRMING_RUNS):
            if job == CONFIRMING_RUNS - 1:
                self.assertEqual(pool.workers["w4"].time_factor, 1.0)
            pool.start(make_step(30, job_id=f"j{job}"), names(30), [4.0] * 30)
            pool.play(pool.now + 12.0)
        self.assertGreater(pool.workers["w4"].time_factor, SLOW)
        self.assertEqual(pool.workers["w5"].time_factor, 1.0)

    def test_one_run_is_enough_where_slow_workers_are_common(self) -> None:
        for slow, workers, enough in (
            (MIN_COMMON, 20, True),
            (MIN_COMMON - 1, 20, False),
            (round(COMMON_SHARE * 50), 50, True),
            (round(COMMON_SHARE * 50) - 1, 50, False),
        ):
            with self.subTest(slow=slow, workers=workers):
                pool = SpeedPool(workers, dict.fromkeys(names(slow), SLOW_FACTOR))
                pool.start(make_step(workers), names(workers), [6.0] * workers)
                pool.play(5.0)
                found = [w for w in pool.workers.values() if w.time_factor > SLOW]
                self.assertEqual(len(found), slow if enough else 0)

    def test_a_worker_that_turns_slow_and_recovers(self) -> None:
        pool = SpeedPool(30, dict.fromkeys(names(6), SLOW_FACTOR))
        job = 0

        def steps(count: int) -> None:
            nonlocal job
            for _ in range(count):
                job += 1
                wide(pool, names(30), 3.0, job_id=f"j{job}")
                pool.play(pool.now + 9.0)

        steps(4)
        self.assertLess(pool.workers["w20"].time_factor, SLOW)
        pool.factors["w20"] = SLOW_FACTOR
        steps(2)
        self.assertGreater(pool.workers["w20"].time_factor, SLOW)
        del pool.factors["w20"]
        steps(2)
        self.assertLess(pool.workers["w20"].time_factor, SLOW)

    def test_a_level_changes_only_well_beyond_its_boundary(self) -> None:
        edge = HYSTERESIS_LEVELS * LOG_LEVEL
        self.assertEqual(next_level(edge - 0.001, 0), 0)
        self.assertEqual(next_level(edge + 0.001, 0), 1)
        self.assertEqual(next_level(0.6 * LOG_LEVEL, None), 1)
        self.assertEqual(next_level(0.3 * LOG_LEVEL, 1), 1)
        self.assertEqual(level_factor(2), 1.5625)

    def test_levels_rarely_change_while_speeds_stay_the_same(self) -> None:
        """Each change writes to the store and to the index of free capacity."""
        rng = random.Random(5)
        pool = SpeedPool(40, dict.fromkeys(names(13), SLOW_FACTOR))
        for job in range(20):
            on = names(40)
            lengths = [task_length(rng, 3.0) for _ in on]
            pool.start(make_step(40, job_id=f"j{job}"), on, lengths)
            pool.play(pool.now + 3.0)
            if job == 9:
                pool.tracker.take_changed()
        self.assertLess(len(pool.tracker.take_changed()), 40)


class EvidenceRulesTest(unittest.TestCase):
    """The estimate from pieces of evidence, with each threshold on both sides."""

    @staticmethod
    def piece(excess: float, at_s: float = 0.0, weight: float = 1.0) -> Evidence:
        return Evidence(excess, weight, 1, at_s)

    def test_one_clear_piece_decides_and_three_give_the_median(self) -> None:
        one = estimate([self.piece(0.875)], None, 0.0, HALF_LIFE_S)
        assert one is not None
        self.assertGreater(one.log_factor, 1.5 * LOG_LEVEL)
        three = [self.piece(0.0), self.piece(2.0), self.piece(0.1)]
        found = estimate(three, None, 0.0, HALF_LIFE_S)
        assert found is not None
        self.assertEqual(found.log_factor, 0.1)

    def test_evidence_decays_but_a_slow_worker_without_work_stays_slow(self) -> None:
        fresh = estimate([self.piece(0.875)], None, 0.0, HALF_LIFE_S)
        later = estimate([self.piece(0.875)], None, 3 * HALF_LIFE_S, HALF_LIFE_S)
        assert fresh is not None and later is not None
        self.assertAlmostEqual(later.log_factor, fresh.log_factor)
        self.assertAlmostEqual(later.weight, fresh.weight / 8)
        self.assertEqual(decay(HALF_LIFE_S, HALF_LIFE_S), 0.5)

    def test_two_new_pieces_replace_older_ones_that_they_contradict(self) -> None:
        for second, third, dropped in (
            (0.9, 0.9, True),
            (0.9, 0.9 - AGREEMENT - 0.01, False),
            (CONTRADICTION + 0.01, CONTRADICTION + 0.01, True),
            (CONTRADICTION - 0.01, CONTRADICTION - 0.01, False),
        ):
            with self.subTest(second=second, third=third):
                pieces = [self.piece(0.0, 0), self.piece(second, 1), self.piece(third, 2)]
                self.assertEqual(drop_contradicted(pieces, None), dropped)
                self.assertEqual(pieces[0].dropped, dropped)

    def test_evidence_too_old_for_a_float_counts_as_none(self) -> None:
        """Weights underflow to 0 after 1,100 half-lives, and the mean was divided by them."""
        now = 1_100 * HALF_LIFE_S
        old = [Evidence(0.9, 0.3, 1, 0.0)]
        self.assertIsNone(estimate(old, None, now, HALF_LIFE_S))
        prior = Evidence(0.5, 1.0, 3, now)
        found = estimate(old, prior, now, HALF_LIFE_S)
        assert found is not None
        self.assertEqual(found.log_factor, prior.excess)

    def test_a_withdrawn_piece_leaves_only_evidence_of_long_ago(self) -> None:
        """Three runs on unknown workers leave a piece that is too weak to expire with the speed."""
        pool = SpeedPool(3)
        wide(pool, names(3), job_id="before")
        pool.play(8.0)
        pool.now = 1_100 * HALF_LIFE_S
        runs = wide(pool, names(3), job_id="after")
        for run in runs:
            pool._push(pool.now + 2.0, pool.workers[run.worker_id])
        pool.play(pool.now + 3.0)
        pool.end(pool.work_of(runs[0]), EndKind.FAILED)
        pool.play(pool.now + 1.0)
        self.assertIsNone(pool.factor("w0"))

    def test_confidence_and_weight_are_inverse(self) -> None:
        for weight in (0.1, 0.5, 3.0):
            self.assertAlmostEqual(weight_for(confidence_of(weight)), weight)


def play_gang(
    pool: SpeedPool, on: list[str], lengths: list[float], until_s: float, job_id: str = "g"
) -> list[Run]:
    """Start an urgent gang, one member on each worker, and let time pass."""
    step = make_step(len(on), URGENT, gang=True, job_id=job_id)
    runs = pool.start(step, on, lengths)
    pool.play(until_s)
    return runs


class GangEvidenceTest(unittest.TestCase):
    """Members of a gang on equal workers progress alike, so a gang shows slow workers early."""

    def known_pool(self) -> SpeedPool:
        """A pool that knows 12 fast and 6 slow workers, and nothing of the other 12."""
        slow = [*names(6), *names(6, first=18)]
        pool = SpeedPool(30, dict.fromkeys(slow, SLOW_FACTOR))
        for job in range(2):
            wide(pool, names(18), job_id=f"known{job}")
            pool.play(pool.now + 5.0)
        return pool

    def test_a_gang_of_two_tells_the_slower_one_from_a_ratio_of_1_75_on(self) -> None:
        for factor, tells in ((2.0, True), (1.6, False)):
            with self.subTest(factor=factor):
                pool = SpeedPool(6, {"w1": factor})
                play_gang(pool, names(2), [4.0] * 2, 2.0)
                found = pool.factor("w1")
                self.assertEqual(pool.factor("w0") is not None, tells)
                speed = pool.tracker._workers["w1"]
                self.assertEqual(speed.known and speed.offset > math.log(SLOW), tells, found)

    def test_a_gang_of_two_tells_both_against_a_known_worker(self) -> None:
        for known in ("w2", "w8"):
            for unknown in ("w18", "w25"):
                with self.subTest(known=known, unknown=unknown):
                    pool = self.known_pool()
                    play_gang(pool, [known, unknown], [3.0] * 2, pool.now + 1.5)
                    worker = pool.workers[unknown]
                    self.assertTrue(worker.speed_known)
                    self.assertEqual(worker.time_factor > SLOW, unknown == "w18")

    def test_a_gang_of_two_alike_unknown_workers_tells_nothing(self) -> None:
        pool = self.known_pool()
        play_gang(pool, ["w18", "w19"], [3.0] * 2, pool.now + 2.0)
        self.assertIsNone(pool.factor("w18"))

    def test_an_urgent_gang_counts_from_six_percent_and_a_quarter_second_on(self) -> None:
        for percent, at_s, priority, counts in (
            (URGENT_FIRST_PERCENT, URGENT_FIRST_S, URGENT, True),
            (URGENT_FIRST_PERCENT - 1, URGENT_FIRST_S, URGENT, False),
            (URGENT_FIRST_PERCENT, URGENT_FIRST_S - 0.01, URGENT, False),
            (URGENT_FIRST_PERCENT, URGENT_FIRST_S, NORMAL, False),
            (FIRST_PERCENT, FIRST_S, NORMAL, True),
        ):
            with self.subTest(percent=percent, at_s=at_s, priority=priority):
                pool = SpeedPool(6)
                step = make_step(4, priority, gang=True)
                runs = pool.start(step, names(4), [3.0] * 4)
                for run, times in zip(runs, (1, 3, 3, 3), strict=True):
                    run.percent = percent * times
                    worker = pool.workers[run.worker_id]
                    pool.tracker.observe_progress(worker, run, members, at_s)
                pool.tracker.refresh(at_s)
                self.assertEqual(pool.tracker._workers["w0"].known, counts)

    def test_eight_against_21_percent_after_0_3_s_tell_a_slow_worker(self) -> None:
        pool = self.known_pool()
        play_gang(pool, ["w18", "w24", "w25"], [1.5] * 3, pool.now + 0.65)
        self.assertGreater(pool.workers["w18"].time_factor, SLOW)
        self.assertTrue(pool.workers["w24"].speed_known)
        self.assertLess(pool.workers["w24"].time_factor, SLOW)

    def test_uneven_gangs_mislead_no_decision_where_all_workers_are_alike(self) -> None:
        for size in (2, 3, 8):
            for seed in range(3):
                with self.subTest(size=size, seed=seed):
                    pool = self.play_uneven(size, seed, slow=[])
                    factors = {worker.time_factor for worker in pool.workers.values()}
                    self.assertEqual(factors, {1.0})

    def test_uneven_gangs_mark_few_fast_workers_where_some_are_slow(self) -> None:
        slow = names(20)
        for size, most in ((2, 0.0), (3, 0.06), (8, 0.03)):
            with self.subTest(size=size):
                marked = 0
                for seed in range(3):
                    pool = self.play_uneven(size, seed, slow)
                    fast = [w for name, w in pool.workers.items() if name not in slow]
                    marked += sum(worker.time_factor > SLOW for worker in fast)
                self.assertLessEqual(marked, most * 3 * 40)

    def play_uneven(self, size: int, seed: int, slow: list[str]) -> SpeedPool:
        rng = random.Random(seed)
        pool = SpeedPool(60, dict.fromkeys(slow, SLOW_FACTOR))
        for job in range(60):
            lengths = [task_length(rng, 2.3) for _ in range(size)]
            on = rng.sample(names(60), size)
            play_gang(pool, on, lengths, pool.now + 0.3, job_id=f"g{job}")
        return pool

    def test_the_spread_of_gangs_is_the_median_of_recent_ones(self) -> None:
        spread = GangSpread()
        self.assertTrue(spread.is_even)
        spread.add(EVEN_SPREAD + 0.01)
        self.assertTrue(spread.is_even)
        spread.add(EVEN_SPREAD + 0.01)
        self.assertFalse(spread.is_even)
        for _ in range(3):
            spread.add(EVEN_SPREAD)
        self.assertTrue(spread.is_even)

    def test_evidence_of_gangs_is_dropped_once_they_turn_out_uneven(self) -> None:
        """Otherwise early chance differences of two members would last for the half-life."""
        pool = SpeedPool(12)
        play_gang(pool, names(2), [4.0, 9.0], 2.0)
        self.assertTrue(pool.tracker._workers["w1"].known)
        for job, first in enumerate((2, 5)):
            play_gang(pool, names(3, first), [3.0, 3.6, 4.4], pool.now + 1.5, job_id=f"u{job}")
        self.assertFalse(pool.tracker._workers["w1"].known)


class GroupsTest(unittest.TestCase):
    def test_two_groups_need_a_ratio_of_1_75(self) -> None:
        for distance, found in ((MIN_DISTANCE + 0.01, True), (MIN_DISTANCE - 0.01, False)):
            values = [0.0, 0.0, 0.0, distance, distance]
            self.assertEqual(two_groups(values) is not None, found)

    def test_a_wide_spread_is_no_second_group(self) -> None:
        rng = random.Random(1)
        for deviation in (0.2, 0.4, 0.8):
            values = sorted(rng.gauss(0.0, deviation) for _ in range(60))
            self.assertIsNone(two_groups(values), deviation)

    def test_the_split_is_found_whatever_the_shares_are(self) -> None:
        rng = random.Random(2)
        for fast in (4, 20, 36):
            values = [rng.gauss(0.0, 0.1) for _ in range(fast)]
            values += [rng.gauss(0.875, 0.1) for _ in range(40 - fast)]
            found = two_groups(sorted(values))
            assert found is not None
            self.assertEqual(found.size, fast)

    def test_one_value_or_none_is_no_group(self) -> None:
        self.assertIsNone(two_groups([]))
        self.assertIsNone(two_groups([1.0]))


class SelectionTest(unittest.TestCase):
    """Bulk work is placed on known slow workers first, so the known ones are no fair sample."""

    def test_few_urgent_tasks_go_to_slow_workers_that_are_published_as_usual(self) -> None:
        """Slow workers published as usual: at most 5 percent; tasks placed there: 1 percent."""
        totals = {at_s: [0, 0, 0, 0] for at_s in (2.0, 5.0, 12.0)}
        for seed in range(1, 4):
            rng = random.Random(seed)
            pool = SpeedPool(176)
            slow = rng.sample(list(pool.workers), 176 // 3)
            pool.factors.update(dict.fromkeys(slow, SLOW_FACTOR))
            load = SelectiveWorkload(pool, rng)
            for at_s, total in totals.items():
                load.play(at_s)
                usual = [name for name in pool.workers if load.is_published_usual(name)]
                counts = (
                    load.urgent_misplaced,
                    load.urgent_on_usual,
                    sum(name in slow for name in usual),
                    len(usual),
                )
                total[:] = [a + b for a, b in zip(total, counts, strict=True)]
        if "-v" in sys.argv:
            for at_s, (tasks, of_tasks, workers, of_workers) in totals.items():
                print(f"{at_s} s: {tasks}/{of_tasks} tasks, {workers}/{of_workers} workers")
        for tasks, of_tasks, workers, of_workers in totals.values():
            self.assertLessEqual(tasks, 0.01 * of_tasks)
            self.assertLess(workers, 0.05 * of_workers)

    def play_known(self, slow: int, known: list[str], jobs: int = 2) -> SpeedPool:
        pool = SpeedPool(60, dict.fromkeys(names(slow), SLOW_FACTOR))
        for job in range(jobs):
            wide(pool, known, job_id=f"k{job}")
            pool.play(pool.now + 8.0)
        return pool

    def test_the_usual_group_stays_at_1_whichever_workers_are_known(self) -> None:
        """More than half of the known workers are slow in the second case."""
        for known in (names(30, first=10), [*names(16), *names(8, first=40)]):
            with self.subTest(known=known):
                pool = self.play_known(20, known)
                for name in known:
                    worker = pool.workers[name]
                    self.assertTrue(worker.speed_known, name)
                    if name in names(20):
                        self.assertGreater(worker.time_factor, 1.9, name)
                    else:
                        self.assertIn(worker.time_factor, (0.8, 1.0, 1.25), name)

    def test_the_slower_group_is_usual_only_if_it_is_the_majority_of_all_workers(self) -> None:
        for others, usual in ((27, -0.875), (25, 0.0)):
            with self.subTest(others=others):
                service = ServiceSpeeds()
                service.known = dict.fromkeys(range(46))  # type: ignore[arg-type]
                service.workers = 26 + others
                found = service._usual([-0.875] * 20 + [0.0] * 26)
                self.assertEqual(found, usual)

    def test_a_few_faster_workers_do_not_replace_what_is_usual(self) -> None:
        share = FASTER_SHARE * 50
        for fast, usual in ((round(share), -0.875), (round(share) - 1, 0.0)):
            with self.subTest(fast=fast):
                service = ServiceSpeeds()
                service.known = dict.fromkeys(range(50))  # type: ignore[arg-type]
                service.workers = 200
                self.assertEqual(service._usual([-0.875] * fast + [0.0] * (50 - fast)), usual)

    def test_a_known_group_far_from_what_was_usual_does_not_replace_it(self) -> None:
        """As where evidence on the fast workers has decayed, and bulk work fills slow ones."""
        for middle, workers, usual in (
            (HELD_FROM + 0.01, 60, 0.0),
            (HELD_FROM - 0.01, 60, HELD_FROM - 0.01),
            (HELD_FROM + 0.01, 35, HELD_FROM + 0.01),
        ):
            with self.subTest(middle=middle, workers=workers):
                service = ServiceSpeeds()
                service.known = dict.fromkeys(range(20))  # type: ignore[arg-type]
                service.workers = workers
                self.assertEqual(service._usual([middle] * 20), usual)

    def test_a_step_on_unknown_slow_workers_does_not_make_them_usual(self) -> None:
        pool = self.play_known(20, [*names(6), *names(18, first=40)])
        wide(pool, names(10, first=8), job_id="unknown")
        pool.play(pool.now + 10.0)
        for name in names(10, first=8):
            worker = pool.workers[name]
            self.assertFalse(worker.speed_known and worker.time_factor <= URGENT_LIMIT, name)

    def test_a_step_on_known_and_unknown_slow_workers_finds_the_unknown_ones_slow(self) -> None:
        pool = self.play_known(20, [*names(6), *names(18, first=40)])
        wide(pool, names(18), job_id="mixed")
        pool.play(pool.now + 10.0)
        slow = [name for name in names(18) if pool.workers[name].time_factor > SLOW]
        self.assertEqual(slow, names(18))


class ClearSideTest(unittest.TestCase):
    """A worker with one piece of evidence is published once its side of 1.5 is clear."""

    def test_an_estimate_near_1_5_is_not_clear(self) -> None:
        margin = 0.18
        above = LOG_SLOW + margin * SLOW_MARGIN_SHARE
        for log_factor, clear in (
            (LOG_SLOW - margin - 0.001, True),
            (LOG_SLOW - margin + 0.001, False),
            (above - 0.001, False),
            (above + 0.001, True),
        ):
            self.assertEqual(is_clear(log_factor, margin), clear, log_factor)
        self.assertTrue(is_clear(LOG_SLOW, 0.0))

    def test_one_run_of_1_5_times_the_length_is_not_published_and_a_second_one_is(self) -> None:
        pool = SpeedPool(40, dict.fromkeys(names(10), SLOW_FACTOR))
        for job in range(2):
            lengths = [5.0] * 40
            lengths[20] *= 1.5
            pool.start(make_step(40, job_id=f"j{job}"), names(40), lengths)
            pool.play(pool.now + 14.0)
            self.assertEqual(pool.workers["w20"].speed_known, job == 1)
            self.assertTrue(pool.workers["w21"].speed_known)

    def test_one_gang_member_of_1_25_times_the_length_is_published(self) -> None:
        """Evidence of even gangs is precise, so that 1.25 is not compatible with slow."""
        pool = SpeedPool(40, {**dict.fromkeys(names(10), SLOW_FACTOR), "w20": 1.25})
        play_gang(pool, names(40), [4.0] * 40, 3.0)
        self.assertEqual(pool.workers["w20"].time_factor, 1.25)
        self.assertTrue(pool.workers["w20"].speed_known)

    def test_a_worker_above_1_5_is_not_published_at_a_level_that_urgent_work_accepts(self) -> None:
        for factor, accepted in ((1.52, False), (1.45, True)):
            with self.subTest(factor=factor):
                pool = SpeedPool(40, {**dict.fromkeys(names(10), SLOW_FACTOR), "w20": factor})
                for job in range(3):
                    play_gang(pool, names(40), [4.0] * 40, pool.now + 11.0, job_id=f"g{job}")
                worker = pool.workers["w20"]
                self.assertTrue(worker.speed_known)
                self.assertEqual(worker.time_factor <= URGENT_LIMIT, accepted)


class NoEvidenceTest(unittest.TestCase):
    """Runs whose duration says nothing about their worker."""

    def known(self, pool: SpeedPool) -> list[str]:
        return [name for name in pool.workers if pool.tracker.estimate(name) is not None]

    def test_runs_that_did_not_end_well(self) -> None:
        for how in (EndKind.FAILED, EndKind.STOPPED, EndKind.LAPSED, EndKind.BROKEN):
            with self.subTest(how=how):
                pool = SpeedPool(12)
                runs = wide(pool, names(12))
                for run in runs:
                    pool.now = 3.0
                    pool.end(pool.work_of(run), how)
                pool.tracker.refresh(3.0)
                self.assertEqual(self.known(pool), [])

    def test_the_progress_of_a_run_that_fails_is_withdrawn(self) -> None:
        pool = SpeedPool(12, {"w3": SLOW_FACTOR})
        runs = wide(pool, names(12))
        pool.play(3.0)
        self.assertIn("w3", pool.tracker._workers)
        pool.end(pool.work_of(runs[3]), EndKind.FAILED)
        pool.play(6.0)
        found = pool.tracker.estimate("w3")
        self.assertTrue(found is None or found.evidence == 0)

    def test_cold_workers(self) -> None:
        pool = SpeedPool(12)
        pool.workers["w3"].cold_until_s = 10.0
        wide(pool, names(12))
        pool.play(4.0)
        self.assertNotIn("w3", self.known(pool))
        self.assertIn("w4", self.known(pool))

    def test_paced_runs(self) -> None:
        pool = SpeedPool(12)
        runs = wide(pool, names(12))
        runs[3].pace = 50
        pool.play(4.0)
        self.assertNotIn("w3", self.known(pool))

    def test_a_run_that_is_paced_later_is_withdrawn(self) -> None:
        pool = SpeedPool(12)
        runs = wide(pool, names(12))
        pool.play(1.5)
        runs[3].pace = 50
        pool.play(4.6)
        comparison = pool.tracker._reports.steps[runs[3].task.step]
        self.assertIsNone(comparison.rates[3].log_duration)

    def test_steps_that_fill_serve_or_last(self) -> None:
        for more in ({"fills": True}, {"long_running": True}, {"target_ms": 50}):
            with self.subTest(more=more):
                pool = SpeedPool(12)
                wide(pool, names(12), **more)
                pool.play(10.0)
                self.assertEqual(self.known(pool), [])
                self.assertEqual(pool.tracker._reports.steps, {})

    def test_runs_that_resumed(self) -> None:
        pool = SpeedPool(12)
        step = make_step(12, checkpoint=True)
        step.tasks[3].record.saved = "2.0"
        pool.start(step, names(12), [6.0] * 12)
        pool.play(8.0)
        self.assertNotIn("w3", self.known(pool))
        self.assertIn("w4", self.known(pool))

    def test_runs_far_from_their_data(self) -> None:
        pool = SpeedPool(20)
        wide(pool, names(20), data_rack="r1")
        pool.play(8.0)
        self.assertEqual(self.known(pool), names(10, first=10))

    def test_inherited_runs_count_by_the_progress_between_two_reports(self) -> None:
        pool = SpeedPool(12, dict.fromkeys(names(4), SLOW_FACTOR))
        runs = pool.start(make_step(12), names(12), [20.0] * 12)
        for run in runs:
            run.inherited = True
            pool.work_of(run).done_s = 0.3 * pool.work_of(run).whole_s
        pool.play(2.0)
        self.assertEqual(self.known(pool), [])
        pool.play(14.0)
        for name in names(12):
            self.assertEqual((pool.factor(name) or 0.0) > SLOW, name in names(4), name)

    def test_the_first_rates_of_a_wide_inherited_step_give_its_length(self) -> None:
        """A sample of all runs missed the few that had a rate, and the length became one second."""
        comparison = StepComparison()
        runs = SpeedPool(300).start(make_step(300), names(300), [6.0] * 300)
        for run in runs:
            speed = WorkerSpeed(Worker(worker_record(run.worker_id)), run.worker_id, SERVICE)
            rate = comparison.open_rate(run, speed, 0.0)
            if run.worker_id in ("w1", "w2", "w3"):
                comparison.set_duration(rate, 6.0)
        excesses = [piece.excess for _, piece in comparison.compare(1.0, is_unequal=False)]
        self.assertEqual(excesses, [0.0] * 3)

    def test_the_end_of_an_inherited_run_is_no_evidence(self) -> None:
        pool = SpeedPool(12)
        runs = wide(pool, names(12))
        for run in runs:
            run.inherited = True
            pool.now = 3.0
            pool.end(pool.work_of(run), EndKind.DONE)
        pool.tracker.refresh(3.0)
        self.assertEqual(self.known(pool), [])


class MachineTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pool = SpeedPool(30, dict.fromkeys(names(8), SLOW_FACTOR))
        for job in range(2):
            wide(self.pool, names(30), job_id=f"j{job}")
            self.pool.play(self.pool.now + 4.0)
        self.before = self.pool.tracker.estimate("w2")

    def replace(self, *, overlapping: bool) -> Worker:
        old = self.pool.workers["w2"]
        if not overlapping:
            self.pool.tracker.forget_worker(old)
        worker = self.pool.add("w2-b", machine="m-w2")
        if overlapping:
            self.pool.tracker.forget_worker(old)
        self.pool.play(self.pool.now + 0.3)
        return worker

    def test_a_machine_that_returns_keeps_its_factor_with_a_third_of_the_confidence(self) -> None:
        assert self.before is not None
        for overlapping in (False, True):
            with self.subTest(overlapping=overlapping):
                self.setUp()
                worker = self.replace(overlapping=overlapping)
                after = self.pool.tracker.estimate("w2-b")
                assert after is not None and self.before is not None
                self.assertEqual(after.factor, self.before.factor)
                most = self.before.confidence * NEW_INCARNATION_SHARE
                self.assertLessEqual(after.confidence, most + 0.01)
                self.assertGreater(worker.time_factor, SLOW)

    def test_a_machine_that_returns_repaired_is_found_usual(self) -> None:
        worker = self.replace(overlapping=False)
        for job in range(2):
            on = ["w2-b" if name == "w2" else name for name in names(30)]
            wide(self.pool, on, 3.0, job_id=f"k{job}")
            self.pool.play(self.pool.now + 4.0)
        self.assertLess(worker.time_factor, SLOW)

    def test_evidence_that_has_decayed_is_forgotten(self) -> None:
        confidence = self.pool.tracker.estimate("w2")
        assert confidence is not None
        self.pool.play(self.pool.now + 7 * HALF_LIFE_S, step_s=5.0)
        self.assertIsNone(self.pool.tracker.estimate("w2"))
        self.assertEqual(self.pool.workers["w2"].time_factor, 1.0)
        self.assertGreater(LEAST_CONFIDENCE, 0.0)

    def test_a_removed_worker_and_its_steps_leave_nothing_behind(self) -> None:
        pool = self.pool
        for worker in list(pool.workers.values()):
            pool.tracker.forget_worker(worker)
        for step in list(pool.tracker._reports.steps):
            pool.tracker.forget_job(step.occurrence.job.job_id)
        pool.tracker.refresh(pool.now + 20 * HALF_LIFE_S)
        self.assertEqual(pool.tracker._workers, {})
        self.assertEqual(pool.tracker._reports.steps, {})
        self.assertEqual(pool.tracker._reports.steps_of_jobs, {})
        self.assertEqual(pool.tracker._memories, {})

    def test_a_snapshot_restores_the_speeds_in_a_new_leader(self) -> None:
        rows = self.pool.tracker.snapshot(self.pool.now)
        self.assertEqual(len(rows), 30)
        heir = SpeedTracker(OPTIONS)
        workers = [Worker(worker_record(name)) for name in names(30)]
        for worker in workers[:15]:
            heir.add_worker(worker)
        self.assertEqual(heir.inherit(rows, 100.0), 30)
        for worker in workers[15:]:
            heir.add_worker(worker)
        heir.refresh(100.0)
        for worker in workers:
            slow = worker.worker_id in names(8)
            self.assertEqual(worker.time_factor > SLOW, slow, worker.worker_id)
        assert self.before is not None
        found = heir.estimate("w2")
        assert found is not None
        self.assertAlmostEqual(found.confidence, self.before.confidence, delta=0.1)

    def test_what_is_inherited_does_not_replace_own_evidence(self) -> None:
        rows = [replace(row, factor=9.0) for row in self.pool.tracker.snapshot(self.pool.now)]
        self.assertEqual(self.pool.tracker.inherit(rows, self.pool.now), 0)


class TypicalWorkTest(unittest.TestCase):
    def run_step(self, pool: SpeedPool, seconds: float, **more: object) -> None:
        step = make_step(10, job_id=f"j{pool.now}", **more)
        pool.start(step, names(10), [seconds] * 10)
        pool.play(pool.now + 3 * seconds)

    def test_the_work_on_a_usual_worker_of_ended_runs_of_the_same_queue(self) -> None:
        pool = SpeedPool(10, dict.fromkeys(names(3), SLOW_FACTOR))
        for _ in range(4):
            self.run_step(pool, 4.0)
        found = pool.tracker.typical_work_s(make_step(1))
        assert found is not None
        self.assertAlmostEqual(found, 4.0, delta=0.5)
        self.assertIsNone(pool.tracker.typical_work_s(make_step(1, queue="unseen")))

    def test_a_gang_that_waits_for_its_slowest_member_counts_as_on_usual_workers(self) -> None:
        pool = SpeedPool(10, dict.fromkeys(names(3), SLOW_FACTOR))
        for _ in range(3):
            self.run_step(pool, 4.0, gang=True)
        found = pool.tracker.typical_work_s(make_step(1))
        assert found is not None
        self.assertAlmostEqual(found, 4.0, delta=0.8)

    def test_an_estimate_is_clamped_to_three_times_the_median_of_the_queue(self) -> None:
        pool = SpeedPool(10)
        self.run_step(pool, 4.0)
        for estimate_ms, seconds in ((100, 4.0 / 3), (5000, 5.0), (90_000, 12.0), (0, None)):
            step = make_step(1, estimate_ms=estimate_ms)
            step.number = 1
            with self.subTest(estimate_ms=estimate_ms):
                found = pool.tracker.typical_work_s(step)
                if seconds is None:
                    self.assertIsNone(found)
                else:
                    assert found is not None
                    self.assertAlmostEqual(found, seconds, delta=0.3)
        self.assertGreater(MAX_KEPT, 10)


class WiringTest(unittest.TestCase):
    """The calls from the cluster state."""

    def state(self, options: SchedulingOptions | None) -> ClusterState:
        state = ClusterState(options)
        for number in range(10):
            state.set_worker(worker_record(f"w{number}"), 0.0)
        request = JobRequest(
            payload="", steps=(Step(count=80, needs=Resources(1000, 1000, 1), estimate_ms=6000),)
        )
        job = AcceptedJob(
            job_id="0" * 16,
            account="a",
            queue="q",
            service=SERVICE,
            priority=BULK,
            attempts=3,
            accepted_ms=0,
            request=request,
        )
        state.add_job(job, {})
        state.plan(100.0, 0.0)
        state.plan(200.0, 0.0)
        for start in state.take_changes().starts:
            state.run_started(start.run, 200.0)
        return state

    def report(self, state: ClusterState, now: float, slow: set[str]) -> None:
        for worker_id, worker in state.workers.items():
            percent = int((now - 200.0) * (10 if worker_id in slow else 24))
            rows = [RunningTask(str(name), number, "", percent) for name, number in worker.runs]
            state.worker_reported(worker_id, rows, now)
        state.plan(now, 0.0)

    def test_reports_set_the_factors_of_workers(self) -> None:
        state = self.state(OPTIONS)
        slow = {"w1", "w2", "w3"}
        for now in (202.0, 203.0, 203.5):
            self.report(state, now, slow)
        busy = [worker for worker in state.workers.values() if worker.runs]
        self.assertGreater(len(busy), 6)
        for worker in busy:
            self.assertEqual(worker.time_factor > SLOW, worker.worker_id in slow)

    def test_ends_lapses_and_removals_reach_the_tracker(self) -> None:
        state = self.state(OPTIONS)
        tracker = state.speeds
        assert tracker is not None
        self.report(state, 203.0, set())
        worker = next(each for each in state.workers.values() if each.runs)
        state.worker_ended(worker.worker_id)
        step = state.jobs["0" * 16].occurrences[0].steps[0]
        rates = tracker._reports.steps[step].rates.values()
        self.assertNotIn(worker.worker_id, {rate.speed.worker.worker_id for rate in rates})
        for other in list(state.workers.values()):
            for name, number in list(other.runs):
                end = EndedTask(1, str(name), number, EndKind.DONE, "")
                state.run_ended(other.worker_id, end, 205.0)
        state.unlist_worker("w9")
        self.assertNotIn("w9", tracker._workers)
        state.remove_job("0" * 16)
        self.assertEqual(tracker._reports.steps, {})

    def test_nothing_is_learned_where_the_option_is_off(self) -> None:
        state = self.state(None)
        self.report(state, 203.0, {"w1"})
        self.assertIsNone(state.speeds)
        self.assertEqual({worker.time_factor for worker in state.workers.values()}, {1.0})


class AlikeDecisionsTest(unittest.TestCase):
    def starts(self, options: SchedulingOptions | None, seed: int) -> list[tuple[str, str, int]]:
        """Play jobs with stragglers on alike workers; returns what started where, in order."""
        rng = random.Random(seed)
        state = ClusterState(options)
        for number in range(12):
            state.set_worker(worker_record(f"w{number:02}", f"r{number // 4}"), 0.0)
        ends: dict[tuple[str, int], tuple[float, float]] = {}
        started: list[tuple[str, str, int]] = []
        for tick in range(1, 240):
            now = 0.25 * tick
            if tick % 3 == 0:
                self.submit(state, rng, tick)
            for worker_id, worker in state.workers.items():
                runs = [(str(name), number) for name, number in worker.runs]
                rows = [
                    RunningTask(name, number, "", min(99, int(100 * (now - at_s) / length_s)))
                    for name, number in runs
                    for at_s, length_s in [ends[name, number]]
                ]
                state.worker_reported(worker_id, rows, now)
                for name, number in runs:
                    at_s, length_s = ends[name, number]
                    if now >= at_s + length_s:
                        end = EndedTask(1, name, number, EndKind.DONE, "")
                        state.run_ended(worker_id, end, now)
            state.plan(now, 1000 * now)
            changes = state.take_changes()
            for stop in changes.stops:
                state.run_ended(
                    stop.worker_id, EndedTask(1, str(stop.task), stop.run, EndKind.STOPPED, ""), now
                )
            for start in changes.starts:
                state.run_started(start.run, now)
                name = str(start.run.task.name)
                ends[name, start.run.number] = (now, task_length(rng, 3.0))
                started.append((name, start.run.worker_id, start.run.number))
        return started

    def submit(self, state: ClusterState, rng: random.Random, number: int) -> None:
        priority = rng.choice((URGENT, NORMAL, BULK))
        count = rng.choice((2, 5, 20))
        step = Step(count=count, needs=Resources(1000, 1000, 1), gang=priority != BULK)
        job = AcceptedJob(
            job_id=f"{number:016x}",
            account="a",
            queue=f"q{priority}",
            service=SERVICE,
            priority=priority,
            attempts=3,
            accepted_ms=number,
            request=JobRequest(payload="", steps=(step,)),
        )
        state.add_job(job, {})

    def test_the_same_work_starts_in_the_same_places_where_workers_are_alike(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                off = self.starts(None, seed)
                self.assertGreater(len(off), 200)
                self.assertEqual(self.starts(OPTIONS, seed), off)


class CostTest(unittest.TestCase):
    """The leader has about one core for 10,000 workers and 120,000 running tasks."""

    def test_steps_beyond_the_runs_per_second_are_left_out(self) -> None:
        tracker = SpeedTracker(OPTIONS)
        worker = Worker(worker_record("w"))
        width = 50
        allowed = (RUNS_PER_S + FIRST_RUNS_PER_S) // width

        def report(number: int, now: float) -> bool:
            step = make_step(width, job_id=f"j{number}")
            run = Run(step.tasks[0], 1, "w", step.step.allocation, 0.0, started_s=0.0)
            run.percent = 50
            tracker.observe_progress(worker, run, members, now)
            return not tracker._reports.steps[step].is_left_out

        taken = [report(number, 1.0) for number in range(allowed + 1)]
        self.assertEqual(taken, [True] * allowed + [False])
        self.assertTrue(report(allowed + 1, 1.1))

    def test_a_step_that_is_left_out_leaves_nothing_behind(self) -> None:
        pool = SpeedPool(6)
        runs = wide(pool, names(6), 3.0)
        step = runs[0].task.step
        pool.tracker._reports._open(step, pool.workers["w0"], 0.0).is_left_out = True
        pool.play(5.0)
        self.assertEqual(pool.tracker._reports.steps, {})
        self.assertIsNone(pool.tracker.estimate("w0"))

    def test_factors_of_many_workers_change_over_several_rounds(self) -> None:
        """The index of free capacity takes in every changed worker again."""
        count = MAX_CHANGES + 100
        pool = SpeedPool(count)
        rows = [SpeedRow(f"m-{name}", 2.44, 0.8, 3, 0.0) for name in names(100)]
        rows += [SpeedRow(f"m-{name}", 1.0, 0.8, 3, 0.0) for name in names(count - 100, first=100)]
        pool.tracker.inherit(rows, 0.0)
        for round_s, known in ((0.5, MAX_CHANGES), (0.51, count)):
            pool.tracker.refresh(round_s)
            found = [worker for worker in pool.workers.values() if worker.speed_known]
            self.assertEqual(len(found), known)

    def test_a_report_costs_microseconds_and_a_worker_some_kilobytes(self) -> None:
        workers, tasks_each, steps = 500, 12, 150
        tracker = SpeedTracker(OPTIONS)
        made = [Worker(worker_record(f"w{number}")) for number in range(workers)]
        rng = random.Random(1)
        runs: list[tuple[Worker, Run]] = []
        for number in range(steps):
            step = make_step(workers * tasks_each // steps, job_id=f"j{number}")
            for task in step.tasks:
                worker = rng.choice(made)
                run = Run(task, 1, worker.worker_id, step.step.allocation, 0.0, started_s=0.0)
                task.run = run
                runs.append((worker, run))
        speeds = [rng.uniform(0.8, 1.2) for _ in runs]
        tracemalloc.start()
        before = tracemalloc.get_traced_memory()[0]
        used_s, reports = 0.0, 0
        for worker in made:
            tracker.add_worker(worker)
        for passes in range(2):
            for tick in range(1, 9):
                now = 2.0 * tick
                began = time.process_time()
                for number, (worker, run) in enumerate(runs):
                    run.percent = min(98, int(6.0 * now * speeds[number]))
                    tracker.observe_progress(worker, run, members, now)
                    if number % 100 == 0:
                        tracker.refresh(now - 2.0 + 2.0 * number / len(runs))
                used_s += time.process_time() - began
                reports += len(runs)
            if passes == 0:
                kilobytes = (tracemalloc.get_traced_memory()[0] - before) / 1024 / workers
                tracemalloc.stop()
                used_s, reports = 0.0, 0
                tracker = SpeedTracker(OPTIONS)
                for worker in made:
                    tracker.add_worker(worker)
        microseconds = 1e6 * used_s / reports
        if "-v" in sys.argv:
            print(f"{microseconds:.2f} us per row, {kilobytes:.1f} kB per worker")
        self.assertLess(kilobytes, 20.0)
        self.assertLess(microseconds, 60.0)


if __name__ == "__main__":
    unittest.main()
