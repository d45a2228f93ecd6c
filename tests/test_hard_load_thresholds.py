"""Thresholds of the decisions under hard load, as values rather than by their names.

Other tests of these decisions use the named constants, so that they pass with any value of these.
"""

from __future__ import annotations

import math
import unittest
from unittest import mock

import msgspec

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.deferred_stops import DeferredStops
from saddlestack.policy.cluster.fair_share import FairShare
from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.speed_evidence import (
    Belief,
    Evidence,
    confidence_of,
    drop_contradicted,
    estimate,
)
from saddlestack.policy.cluster.speed_levels import nearest_level
from saddlestack.policy.cluster.speed_limits import SpeedLimits
from saddlestack.policy.cluster.speed_records import WorkerSpeed
from saddlestack.policy.cluster.speed_services import ServiceSpeeds
from saddlestack.policy.cluster.speed_steps import StepComparison
from saddlestack.policy.cluster.typical_work import TypicalWork
from saddlestack.policy.cluster.victims import ends_within
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Step
from tests.speed_pool import OPTIONS, SERVICE, SpeedPool, make_step, worker_record
from tests.speed_support import SpeedCase
from tests.test_cluster_state import step as step_of
from tests.test_slow_restarts import SlowRestartCase

HALF_LIFE_S = OPTIONS.speed_memory_s


class _WorkByNumber:
    """Work times of steps by their number, and the source of these."""

    def __init__(self, *works_s: float | None) -> None:
        self._works_s = works_s

    @property
    def work_times(self) -> _WorkByNumber:
        return self

    def typical_work_s(self, step: StepState) -> float | None:
        return self._works_s[step.number]


class LimitTest(SpeedCase):
    """Urgent steps that wait for a worker within their limit while slow ones are free."""

    def steps(self, *steps: Step) -> list[StepState]:
        return self.cluster_state.jobs[self.submit(*steps)].occurrences[0].steps

    def test_work_within_a_guarantee_waits_for_one_second_and_other_work_for_two(self) -> None:
        (made,) = self.steps(step_of(1))
        limits = SpeedLimits(_WorkByNumber(1.0))
        self.assertEqual(limits.max_wait_s(made), 2.0)
        limits.begin_round(0.0, 0.0, {made.occurrence.job.job_id})
        self.assertEqual(limits.max_wait_s(made), 1.0)

    def test_the_longest_chain_counts(self) -> None:
        """A step with a short and a long successor: the objective has to hold both."""
        made = self.steps(
            step_of(1), step_of(1, after=(0,)), step_of(1, after=(0,)), step_of(1, after=(1,))
        )
        limits = SpeedLimits(_WorkByNumber(1.0, 2.0, 4.0, 3.0))
        self.assertEqual([limits.later_work_s(each) for each in made], [5.0, 3.0, 0.0, 0.0])
        self.assertAlmostEqual(limits.objective_left_s(made[3], 0.0, 0.0), 1.5 * 6.0 + 0.3)

    def test_a_chain_with_an_unknown_part_is_unknown(self) -> None:
        made = self.steps(step_of(1), step_of(1, after=(0,)))
        limits = SpeedLimits(_WorkByNumber(1.0, None))
        self.assertIsNone(limits.later_work_s(made[0]))
        self.assertEqual(limits.largest_factor(made[0], 0.0), 1.5)


class RestartTest(SlowRestartCase):
    """An urgent gang that a slow worker makes late."""

    def test_it_is_restarted_once_only(self) -> None:
        for restarts, stops in ((0, 3), (1, 0)):
            with self.subTest(restarts=restarts):
                self.setUp()
                gang = self.begin()
                made = self.cluster_state.jobs[gang].occurrences[0].steps[0]
                made.slow_restarts = restarts
                self.assertEqual(len(self.reasons(0.6, w12=5.6)), stops)


class EvidenceTest(unittest.TestCase):
    """Pieces of evidence that differ by the spread of tasks, and by a worker that turns slow."""

    def pieces(self, *excesses: float) -> list[Evidence]:
        return [Evidence(excess, 1.0, 1, 0.0) for excess in excesses]

    def log_factor(self, *excesses: float) -> float:
        found = estimate(self.pieces(*excesses), None, 0.0, HALF_LIFE_S)
        assert found is not None
        return found.log_factor

    def test_two_pieces_agree_up_to_two_levels(self) -> None:
        self.assertTrue(drop_contradicted(self.pieces(0.0, 0.9, 0.9 + 0.44), None))
        self.assertFalse(drop_contradicted(self.pieces(0.0, 0.9, 0.9 + 0.46), None))

    def test_two_pieces_replace_what_was_known_of_the_machine(self) -> None:
        prior = Evidence(0.0, 9.0, 3, 0.0)
        self.assertTrue(drop_contradicted(self.pieces(0.9, 0.9), prior))
        self.assertTrue(prior.dropped)

    def test_one_piece_of_a_factor_of_2_4_gives_2_2(self) -> None:
        self.assertAlmostEqual(math.exp(self.log_factor(math.log(2.4))), 2.2, delta=0.03)

    def test_the_lower_of_two_middle_pieces_decides(self) -> None:
        self.assertEqual(self.log_factor(0.1, 0.2, 0.8, 0.9), 0.2)

    def test_confidence_is_one_half_at_half_the_weight_of_a_wide_step(self) -> None:
        self.assertEqual(confidence_of(0.5), 0.5)

    def test_runs_agree_up_to_two_levels(self) -> None:
        for excess, runs in ((0.44, 3), (0.46, 2)):
            found = estimate(self.pieces(0.0, 0.0, excess), None, 0.0, HALF_LIFE_S)
            assert found is not None
            self.assertEqual(found.runs, runs)

    def test_eight_pieces_are_kept(self) -> None:
        pool = SpeedPool(3)
        for number in range(12):
            pool.start(make_step(3, job_id=f"j{number}"), ["w0", "w1", "w2"], [1.0] * 3)
            pool.play(pool.now + 1.5)
        self.assertEqual({len(each.pieces) for each in pool.tracker._workers.values()}, {8})


class ServiceTest(unittest.TestCase):
    """Which workers count as slow where slow ones are rare or common."""

    def speeds(
        self, count: int, slow: int = 0, runs: int = 9, slow_factor: float = 2.4
    ) -> list[WorkerSpeed]:
        found = []
        for number in range(count):
            name = f"w{number}"
            speed = WorkerSpeed(Worker(worker_record(name)), name, SERVICE)
            factor = math.log(slow_factor) if number < slow else 0.0
            speed.belief = Belief(factor, 5.0, runs, 0.0)
            found.append(speed)
        return found

    def slow_after(self, speeds: list[WorkerSpeed]) -> int:
        service = ServiceSpeeds()
        for speed in speeds:
            service.add(speed)
        service.renew(1.0)
        return sum(speed.worker.time_factor > 1.5 for speed in speeds)

    def test_workers_up_to_two_levels_count_as_alike(self) -> None:
        for level, slow in ((2, 0), (3, 8)):
            speeds = self.speeds(20, slow=8, slow_factor=1.25**level)
            self.assertEqual(self.slow_after(speeds), slow)
            self.assertEqual(speeds[0].worker.speed_known, slow > 0)

    def test_levels_end_at_ten(self) -> None:
        """Work that takes longer than 9.3 times is an outlier."""
        self.assertEqual(nearest_level(math.log(9.0)), 10)
        self.assertEqual(nearest_level(math.log(100.0)), 10)
        self.assertEqual(nearest_level(-math.log(100.0)), -10)

    def test_a_rare_slow_worker_needs_three_runs(self) -> None:
        self.assertEqual(self.slow_after(self.speeds(40, slow=1, runs=2)), 0)
        self.assertEqual(self.slow_after(self.speeds(40, slow=1, runs=3)), 1)

    def test_three_slow_workers_and_a_tenth_are_common(self) -> None:
        for count, slow, found in ((20, 2, 0), (20, 3, 3), (30, 3, 3), (31, 3, 0)):
            with self.subTest(count=count, slow=slow):
                self.assertEqual(self.slow_after(self.speeds(count, slow, runs=1)), found)

    def test_factors_are_renewed_every_tenth_of_a_second_or_three_tenths_per_1000_workers(
        self,
    ) -> None:
        for count, pause_s in ((10, 0.1), (1_000, 0.3)):
            service = ServiceSpeeds()
            speeds = self.speeds(count)
            for speed in speeds:
                service.add(speed)
            service.renew(1.0)
            service.is_dirty = True
            service.renew(1.0 + pause_s - 0.01)
            self.assertTrue(service.is_dirty)
            service.renew(1.0 + pause_s + 0.01)
            self.assertFalse(service.is_dirty)


class StepTest(unittest.TestCase):
    """Steps of which only a few runs have a rate."""

    def weight(self, unknown: int, known: int = 0) -> float | None:
        """The weight of the evidence that a step on some workers gives; ``None`` without any."""
        count = unknown + known
        comparison = StepComparison()
        for run in SpeedPool(count).start(
            make_step(count), [f"w{number}" for number in range(count)], [6.0] * count
        ):
            speed = WorkerSpeed(Worker(worker_record(run.worker_id)), run.worker_id, SERVICE)
            speed.level = 0 if len(comparison.rates) < known else None
            comparison.set_duration(comparison.open_rate(run, speed, 0.0), 6.0)
        found = comparison.compare(1.0, is_unequal=False)
        return round(found[0][1].weight, 6) if found else None

    def test_three_known_workers_or_ten_unknown_ones_show_what_is_usual(self) -> None:
        self.assertIsNone(self.weight(2))
        self.assertEqual(self.weight(3), 0.3)
        self.assertEqual(self.weight(9), 0.9)
        self.assertEqual(self.weight(11), 1.0)
        self.assertEqual(self.weight(1, known=2), 0.8)
        self.assertEqual(self.weight(0, known=3), 1.0)

    def test_a_step_is_compared_again_after_half_of_its_workers_or_some_time(self) -> None:
        comparison = StepComparison()
        runs = SpeedPool(8).start(make_step(8), [f"w{n}" for n in range(8)], [6.0] * 8)
        rates = [
            comparison.open_rate(
                run,
                WorkerSpeed(Worker(worker_record(run.worker_id)), run.worker_id, SERVICE),
                0.0,
            )
            for run in runs
        ]
        for rate in rates:
            comparison.set_duration(rate, 6.0)
        comparison.compare(1.0, is_unequal=False)
        for rate in rates[:3]:
            comparison.set_duration(rate, 7.0)
        self.assertFalse(comparison.is_due(1.4, 0.5))
        self.assertTrue(comparison.is_due(1.5, 0.5))
        comparison.set_duration(rates[3], 7.0)
        self.assertTrue(comparison.is_due(1.4, 0.5))


class TypicalWorkThresholdTest(unittest.TestCase):
    """Estimates of clients that are off by a factor of ten."""

    def test_an_estimate_counts_within_a_factor_of_three(self) -> None:
        work = TypicalWork()
        work.add(make_step(1), math.log(6.0))
        for estimate_ms, seconds in ((1_000, 2.0), (3_000, 3.0), (15_000, 15.0), (60_000, 18.0)):
            made = make_step(1, estimate_ms=estimate_ms)
            made.number = 1
            self.assertAlmostEqual(work.seconds(made) or 0.0, seconds)

    def test_the_latest_32_runs_count(self) -> None:
        work = TypicalWork()
        for seconds in [1.0] * 40 + [2.0] * 15:
            work.add(make_step(1), math.log(seconds))
        self.assertAlmostEqual(work.seconds(make_step(1)) or 0.0, 1.0)
        work.add(make_step(1), math.log(2.0))
        self.assertAlmostEqual(work.seconds(make_step(1)) or 0.0, 2.0)


class VictimTest(unittest.TestCase):
    """Bulk work that is about to end where urgent work needs room."""

    def run_at(self, percent: int, reported_s: float) -> Run:
        (run,) = SpeedPool(1).start(make_step(1), ["w0"], [10.0])
        run.percent, run.reported_s = percent, reported_s
        return run

    def test_a_report_counts_for_three_seconds(self) -> None:
        run = self.run_at(90, 9.0)
        self.assertTrue(ends_within([run], 1.0, 12.0))
        self.assertFalse(ends_within([run], 1.0, 12.01))

    def test_a_stop_is_put_off_for_one_second_at_most(self) -> None:
        step = make_step(1, job_id="urgent")
        for stop_s, due_s in ((0.4, 9.4), (0.9, 9.9), (3.0, 10.0)):
            run = self.run_at(99, 9.0)
            deferred = DeferredStops(lambda each: [each], lambda each: True)
            self.assertEqual(deferred.defer(step, [run], stop_s, 9.0), [])
            self.assertEqual(deferred.next_due_s(9.0), due_s)
            self.assertIsNone(deferred.next_due_s(due_s))
            self.assertEqual(deferred.take_due(step, due_s - 0.01), [])
            self.assertEqual(deferred.take_due(step, due_s), [run])


class SeveralVictimsTest(unittest.TestCase):
    """A step waits for two runs that are about to end; their stops are due at different times."""

    def test_a_stop_that_is_not_due_remains_put_off(self) -> None:
        step = make_step(1, job_id="urgent")
        runs = SpeedPool(2).start(make_step(2), ["w0", "w1"], [10.0] * 2)
        deferred = DeferredStops(lambda each: [each], lambda each: True)
        for run, due_s in zip(runs, (9.2, 9.3), strict=True):
            run.ends_by_s = due_s
        self.assertEqual(deferred.defer(step, runs, 0.4, 9.0), [])
        self.assertEqual(deferred.take_due(step, 9.2), runs[:1])
        self.assertEqual(deferred.take_due(step, 9.3), runs[1:])


class OrderTest(unittest.TestCase):
    """Two accounts compete: the one that holds more has waited for longer."""

    def order(self, waited_s: float, worthless_s: float | None = None) -> list[str]:
        """Job ids in order, where the first has waited and may be past any value."""
        first, second = make_step(1, job_id="first"), make_step(1, job_id="second")
        first.waiting_since_s, second.waiting_since_s = 100.0 - waited_s, 100.0
        usage, slack = mock.Mock(), mock.Mock()
        usage.held = {first: 0 if worthless_s else 9, second: 0}.__getitem__
        slack.worthless_for_s = {first: worthless_s, second: None}.__getitem__
        share = FairShare(usage, slack, lambda: True)
        second.occurrence.job.accepted = msgspec.structs.replace(
            second.occurrence.job.accepted, account="b"
        )
        return [each.occurrence.job.job_id for each in share.in_order([first, second], 100.0)]

    def test_a_step_goes_first_after_eight_seconds(self) -> None:
        self.assertEqual(self.order(8.0), ["second", "first"])
        self.assertEqual(self.order(8.1), ["first", "second"])

    def test_a_job_past_any_value_goes_last_for_fifteen_seconds(self) -> None:
        self.assertEqual(self.order(0.0, 15.0), ["second", "first"])
        self.assertEqual(self.order(0.0, 15.1), ["first", "second"])


class EndTest(unittest.TestCase):
    """Runs that are too short to show the speed of their worker."""

    def test_a_duration_counts_from_four_tenths_of_a_second_on(self) -> None:
        for seconds, is_known in ((0.3, False), (0.5, True)):
            pool = SpeedPool(1)
            (run,) = pool.start(make_step(1), ["w0"], [9.0])
            pool.now = seconds
            pool.end(pool.work_of(run), EndKind.DONE)
            work_s = pool.tracker.typical_work_s(make_step(1))
            self.assertEqual(work_s is not None, is_known)
