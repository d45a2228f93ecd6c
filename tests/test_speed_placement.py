"""Placement on workers of unequal speed: limits of steps, order of workers, waits, preemptions."""

from __future__ import annotations

import math
import random
import unittest
import unittest.mock
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from saddlestack.interfaces.workers import EndedTask, EndKind
from saddlestack.policy.cluster import planner
from saddlestack.policy.cluster.changes import StopReason
from saddlestack.policy.cluster.diagnosis import Diagnosis
from saddlestack.policy.cluster.fits import FitCache, FitKey
from saddlestack.policy.cluster.index import MAX_URGENT_FACTOR, CapacityIndex
from saddlestack.policy.cluster.jobs import Run, weight
from saddlestack.policy.cluster.lending import Lending
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.preemption import STOP_COST_CORE_S, Preemptor
from saddlestack.policy.cluster.progress import STUCK_SHARE, is_stuck, remaining_s
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.reservations import Reservation
from saddlestack.policy.cluster.shapes import FailedShapes
from saddlestack.policy.cluster.speed_limits import (
    DECISION_MARGIN_S,
    ENTITLED_WAIT_S,
    SpeedLimits,
    UnknownWorkTimes,
)
from saddlestack.policy.cluster.speed_rank import fast_first, known_factor, level_below, slow_first
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.wait_limits import HEADROOM_WAIT_S, IDLE_POOL_WAIT_S
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources, Step, TaskName
from tests import test_cluster_state
from tests.speed_support import SLOW, USING_SPEEDS, FixedWorkTimes, SpeedCase
from tests.test_cluster_state import (
    BULK,
    NORMAL,
    PATIENT,
    SERVICE,
    URGENT,
    RetryAllShapes,
    record,
    step,
)
from tests.test_diagnosis import diagnosis_context

EVENTS = test_cluster_state.RandomEventsTest()
LEVELS = (0.8, 1.0, 1.25, 1.5625, SLOW)


class _Source:
    def __init__(self, work_s: float | None) -> None:
        self.work_times = UnknownWorkTimes() if work_s is None else FixedWorkTimes(work_s)


class LimitTest(SpeedCase):
    """The limit of a step, by its objective, its work and the time that has passed."""

    def limit(
        self, work_s: float | None, now: float = 0.0, *more: object, **job: object
    ) -> tuple[float, bool]:
        """The limit of a new job's first step, and whether it prefers slow workers."""
        job_id = self.submit(*(more or (step(1),)), **job)  # type: ignore[arg-type]
        limits = SpeedLimits(_Source(work_s))
        made = self.cluster_state.jobs[job_id].occurrences[0].steps[0]
        found = limits.limit(made, (1.0, 10.0), now)
        return round(found.max_factor, 4), found.prefers_slow

    def test_levels_are_rounded_down(self) -> None:
        self.assertAlmostEqual(level_below(1.5), 1.25)
        self.assertAlmostEqual(level_below(1.5625), 1.5625)
        self.assertAlmostEqual(level_below(1.56), 1.5625)
        self.assertAlmostEqual(level_below(1.54), 1.25)
        self.assertAlmostEqual(level_below(3.0), 1.25**4)
        self.assertAlmostEqual(level_below(0.9), 0.8)

    def test_without_known_work_the_limit_is_the_stretch(self) -> None:
        self.assertEqual(self.limit(None), (1.25, False))
        self.assertEqual(self.limit(None, priority=BULK), (2.4414, True))

    def test_the_limit_shrinks_while_the_step_waits(self) -> None:
        # 2.3 s of work have to be done within 3.75 s, of which 0.1 s are needed for the decision.
        self.assertEqual(self.limit(2.3), (1.5625, False))
        self.assertEqual(self.limit(2.3, 0.05), (1.5625, False))
        self.assertEqual(self.limit(2.3, 0.2), (1.25, False))

    def test_a_run_that_failed_by_itself_belongs_to_the_work(self) -> None:
        """Otherwise a gang that has failed late counts as lost and is retried on slow workers."""
        job_id = self.submit(step(1, gang=True))
        made = self.cluster_state.jobs[job_id].occurrences[0].steps[0]
        limits = SpeedLimits(_Source(2.0))
        for failed_s, prefers_slow in ((0.0, True), (1.5, False)):
            made.failed_work_s = failed_s
            found = limits.limit(made, (1.0, 10.0), now=1.6)
            self.assertEqual(found.prefers_slow, prefers_slow)

    def test_the_work_of_a_failed_gang_counts_once_for_all_members(self) -> None:
        """An early failure is its worker's fault and adds nothing."""
        self.workers(each=2)
        job_id = self.submit(step(2, 8, gang=True))
        made = self.cluster_state.jobs[job_id].occurrences[0].steps[0]
        self.plan_at(0.0)
        self.end(job_id, EndKind.FAILED, 0.1)
        self.assertEqual(made.failed_work_s, 0.0)
        self.plan_at(30.0)
        self.end(job_id, EndKind.FAILED, 31.5)
        self.assertAlmostEqual(made.failed_work_s, 1.5)

    def test_the_limit_is_at_least_the_smallest_one(self) -> None:
        self.assertEqual(self.limit(2.3, 1.3), (1.25, False))

    def test_a_step_that_is_late_on_any_worker_takes_slow_ones_first(self) -> None:
        in_time_s = 0.5 * 2.3 + 0.3 - DECISION_MARGIN_S
        self.assertEqual(self.limit(2.3, in_time_s - 0.01), (1.25, False))
        self.assertEqual(self.limit(2.3, in_time_s + 0.01), (math.inf, True))

    def test_a_faster_worker_than_usual_may_still_be_in_time(self) -> None:
        job_id = self.submit(step(1))
        made = self.cluster_state.jobs[job_id].occurrences[0].steps[0]
        limits = SpeedLimits(_Source(2.3))
        self.assertTrue(limits.limit(made, (0.8, 10.0), 1.5).restricts)
        self.assertFalse(limits.limit(made, (1.0, 10.0), 1.5).restricts)

    def test_a_limit_that_no_known_worker_exceeds_is_none(self) -> None:
        job_id = self.submit(step(1))
        made = self.cluster_state.jobs[job_id].occurrences[0].steps[0]
        limits = SpeedLimits(_Source(None))
        self.assertFalse(limits.limit(made, (1.0, 1.25), 0.0).restricts)
        self.assertTrue(limits.limit(made, (1.0, 1.5625), 0.0).restricts)

    def test_a_long_running_step_has_no_limit(self) -> None:
        self.assertEqual(self.limit(2.0, 0.0, step(1, long_running=True)), (math.inf, False))

    def test_a_step_before_others_shares_the_objective_with_them(self) -> None:
        """Two steps of 2 s have 6.3 s: both have to run at less than 1.55."""
        steps = (step(1), step(1, after=(0,)))
        self.assertEqual(self.limit(2.0, 0.0, *steps), (1.5625, False))
        self.assertEqual(self.limit(2.0, 0.2, *steps), (1.25, False))


class UrgentTest(SpeedCase):
    """Urgent gangs of a few tasks arrive while a third of the workers is 2.4 times as slow."""

    def test_an_urgent_gang_takes_fast_workers_beside_fuller_slow_ones(self) -> None:
        self.workers(each=3)
        self.set_factors(w11=SLOW, w12=1.0, w13=1.0)
        self.submit(step(1, 4), priority=BULK)
        self.plan_at(0.0)
        gang = self.submit(step(2, 4, gang=True))
        self.plan_at(0.1)
        self.assertNotIn("w11", self.places(gang))
        self.assertEqual(len(self.places(gang)), 2)

    def test_the_limit_is_checked_on_both_sides(self) -> None:
        for factor, stretch, allowed in (
            (1.25, 1.5, True),
            (1.5625, 1.5, False),
            (1.5625, 1.6, True),
        ):
            with self.subTest(factor=factor, stretch=stretch):
                self.setUp()
                self.fill_fast()
                self.set_factors(w12=factor)
                gang = self.submit(step(1, 8, gang=True), stretch=stretch)
                self.plan_at(0.1)
                self.assertEqual(self.places(gang), ["w12"] if allowed else [])

    def test_known_workers_come_before_unknown_ones(self) -> None:
        self.workers(each=3)
        self.set_factors(w11=SLOW, w12=None, w13=1.0)
        for made in (step(1, 2, gang=True), step(1, 2)):
            job = self.submit(made)
            self.plan_at(0.0)
            self.assertEqual(self.places(job), ["w13"])
        wide = self.submit(step(2, 6, gang=True))
        self.plan_at(0.0)
        self.assertEqual(self.places(wide), [])
        both = self.submit(step(2, 4, gang=True))
        self.plan_at(0.0)
        self.assertEqual(self.places(both), ["w12", "w13"])

    def test_bulk_work_on_a_fast_worker_is_preempted_beside_a_free_slow_one(self) -> None:
        self.workers(each=2)
        bulk = self.submit(step(8, 1), priority=BULK)
        self.plan_at(0.0)
        self.assertEqual(set(self.places(bulk)), {"w11"})
        self.set_factors(w11=1.0, w12=SLOW)
        gang = self.submit(step(1, 8, gang=True))
        self.assertEqual(set(self.plan_at(0.1)), {bulk})
        self.assertEqual(self.places(gang), [])
        self.end(bulk, EndKind.STOPPED, 0.4)
        self.plan_at(0.4)
        self.assertEqual(self.places(gang), ["w11"])
        self.assertEqual(set(self.places(bulk)), {"w12"})

    def test_stops_for_speed_lose_no_more_than_the_work_of_the_urgent_step(self) -> None:
        """Wide gangs were stopped, and late, for urgent jobs of a fraction of their work."""
        for elapsed_s, is_stopped in ((1.9, True), (2.1, False)):
            self.setUp()
            self.know(2.0)
            self.workers(each=2)
            held = self.submit(step(1, 8), priority=BULK)
            self.plan_at(0.0)
            self.set_factors(w11=1.0, w12=SLOW)
            accepted_ms = int(elapsed_s * 1000)
            gang = self.submit(step(1, 8, gang=True), accepted_ms=accepted_ms)
            self.assertEqual(self.plan_at(elapsed_s), [held] if is_stopped else [])
            self.assertEqual(self.places(gang), [])

    def fill_fast(self, **job: object) -> str:
        """Fill w11 with urgent work, and know that only w12 is slow."""
        self.workers(each=2)
        held = self.submit(step(1, 8), **job)  # type: ignore[arg-type]
        self.plan_at(0.0)
        self.assertEqual(self.places(held), ["w11"])
        self.set_factors(w11=1.0, w12=SLOW)
        return held

    def first_start(self, job: str) -> float:
        """When a job starts, with a round each 0.25 s; no run may be stopped before that."""
        for tick in range(20):
            now = tick * 0.25
            self.assertEqual(self.plan_at(now), [])
            if self.places(job):
                return now
        return math.inf

    def test_without_bulk_work_to_preempt_it_waits_and_then_takes_a_slow_worker(self) -> None:
        self.fill_fast()
        gang = self.submit(step(1, 8, gang=True))
        self.assertEqual(self.first_start(gang), IDLE_POOL_WAIT_S)
        self.assertEqual(self.places(gang), ["w12"])
        self.assertTrue(all(run.above_limit for run in self.cluster_state.jobs[gang].runs()))

    def test_work_within_a_guarantee_waits_for_a_shorter_time(self) -> None:
        self.cluster_state.configure({"depots": 8}, {})
        self.fill_fast(account="others")
        gang = self.submit(step(1, 8, gang=True))
        self.assertEqual(self.first_start(gang), ENTITLED_WAIT_S)

    def test_it_waits_only_while_a_usual_worker_would_be_in_time(self) -> None:
        self.fill_fast()
        self.know(1.0)
        gang = self.submit(step(1, 8, gang=True))
        in_time_s = 0.5 * 1.0 + 0.3 - DECISION_MARGIN_S
        self.assertEqual(self.first_start(gang), 0.75)
        self.assertTrue(0.5 < in_time_s <= 0.75)
        self.assertEqual(self.places(gang), ["w12"])

    def test_a_step_that_no_worker_holds_within_its_limit_starts_at_once(self) -> None:
        self.workers(each=2)
        self.set_factors(w11=1.0, w12=SLOW)
        gang = self.submit(step(2, 8, gang=True))
        self.plan_at(0.0)
        self.assertEqual(self.places(gang), ["w11", "w12"])

    def test_the_least_slow_worker_above_the_limit_is_taken(self) -> None:
        self.workers(each=3)
        self.set_factors(w11=SLOW, w12=1.5625, w13=SLOW)
        gang = self.submit(step(1, 8, gang=True))
        self.plan_at(0.0)
        self.assertEqual(self.places(gang), ["w12"])

    def test_a_late_gang_leaves_the_fast_workers_to_others(self) -> None:
        self.workers(each=2)
        self.set_factors(w11=1.0, w12=SLOW)
        self.know(1.0)
        late = self.submit(step(1, 8, gang=True))
        in_time = self.submit(step(1, 8, gang=True), accepted_ms=5_000)
        self.plan_at(5.0)
        self.assertEqual((self.places(late), self.places(in_time)), (["w12"], ["w11"]))

    def test_a_shape_that_does_not_fit_within_one_limit_is_tried_with_others(self) -> None:
        """Guards against steps of a larger limit that are skipped after one of a smaller limit."""
        self.fill_fast()
        tight = self.submit(step(1, 8, gang=True))
        loose = self.submit(step(1, 8, gang=True), stretch=3.0)
        self.plan_at(0.1)
        self.assertEqual((self.places(tight), self.places(loose)), ([], ["w12"]))

    def test_a_waiting_step_is_diagnosed(self) -> None:
        self.fill_fast()
        gang = self.submit(step(1, 8, gang=True))
        self.plan_at(0.1)
        [wait] = Diagnosis(self.cluster_state).scan(diagnosis_context(0.2)).waits
        self.assertEqual((wait.job_id, wait.reason), (gang, WaitReason.FASTER_WORKER))
        self.assertAlmostEqual(wait.until_s or 0.0, 0.1 + IDLE_POOL_WAIT_S)

    def test_a_worker_that_recovers_is_used_at_once(self) -> None:
        self.fill_fast()
        gang = self.submit(step(1, 8, gang=True))
        self.plan_at(0.1)
        self.assertEqual(self.places(gang), [])
        self.set_factors(w12=1.0)
        self.plan_at(0.2)
        self.assertEqual(self.places(gang), ["w12"])

    def test_a_wrong_factor_only_moves_work_elsewhere(self) -> None:
        """With every worker wrongly known as slow, urgent work still starts at once."""
        self.workers(each=2)
        self.set_factors(w11=SLOW, w12=SLOW)
        gang = self.submit(step(2, 8, gang=True))
        self.plan_at(0.0)
        self.assertEqual(self.places(gang), ["w11", "w12"])


class RackTest(SpeedCase):
    """Urgent gangs want a single rack, of which some have slow workers."""

    def setUp(self) -> None:
        super().setUp()
        self.workers(racks=2, each=2)
        self.set_factors(w11=SLOW, w12=1.0, w21=1.0, w22=1.0)

    def gang(self, **job: object) -> str:
        return self.submit(step(2, 8, gang=True, same_rack=True), **job)  # type: ignore[arg-type]

    def test_a_gang_takes_the_rack_without_slow_workers(self) -> None:
        gang = self.gang()
        self.plan_at(0.0)
        self.assertEqual(self.places(gang), ["w21", "w22"])

    def test_then_it_preempts_bulk_work_in_that_rack(self) -> None:
        bulk = self.submit(step(16, 1, data_rack="r2"), priority=BULK)
        self.plan_at(0.0)
        self.assertEqual(set(self.places(bulk)), {"w21", "w22"})
        gang = self.gang()
        self.assertEqual(set(self.plan_at(0.1)), {bulk})
        self.end(bulk, EndKind.STOPPED, 0.3)
        self.plan_at(0.3)
        self.assertEqual(self.places(gang), ["w21", "w22"])

    def test_at_last_it_takes_the_rack_with_a_slow_worker_whole(self) -> None:
        """Guards against a gang that is spread over racks for the sake of fast workers."""
        first = self.gang()
        self.plan_at(0.0)
        self.assertEqual(self.places(first), ["w21", "w22"])
        second = self.gang()
        self.plan_at(0.0)
        self.plan_at(IDLE_POOL_WAIT_S - 0.1)
        self.assertEqual(self.places(second), [])
        self.plan_at(IDLE_POOL_WAIT_S)
        self.assertEqual(self.places(second), ["w11", "w12"])

    def test_with_slow_workers_in_each_rack_it_is_not_spread(self) -> None:
        self.set_factors(w21=SLOW)
        gang = self.gang()
        self.plan_at(0.0)
        self.assertIn(self.places(gang), (["w11", "w12"], ["w21", "w22"]))


class BulkTest(SpeedCase):
    """Bulk tasks tolerate a factor of 3 and fill the pool together with urgent gangs."""

    def test_bulk_work_takes_slow_workers_then_unknown_then_fast_ones(self) -> None:
        """The unknown worker has just started, so that it is not probed first."""
        self.workers(each=3)
        self.cluster_state.workers["w12"].cold_until_s = 1e6
        self.set_factors(w11=1.0, w12=None, w13=SLOW)
        found = []
        for number in range(1, 4):
            job = self.submit(step(8, 1), priority=BULK)
            self.plan_at(number * PATIENT)
            self.plan_at(number * PATIENT + HEADROOM_WAIT_S + 0.1)
            found.append(set(self.places(job)))
        self.assertEqual(found, [{"w13"}, {"w12"}, {"w11"}])

    def test_the_fullest_comes_first_among_workers_of_a_speed(self) -> None:
        self.workers(each=4)
        self.submit(step(1, 3), priority=BULK)
        self.plan_at(0.0)
        [fullest] = [w for w in self.cluster_state.workers.values() if w.runs]
        self.set_factors(w11=SLOW, w12=SLOW, w13=SLOW, w14=SLOW)
        job = self.submit(step(5, 1), priority=BULK)
        self.plan_at(0.1)
        self.assertEqual(set(self.places(job)), {fullest.worker_id})

    def test_a_worker_counts_as_slow_from_above_the_smallest_limit(self) -> None:
        self.assertEqual([slow_first(each) for each in (1.0, 1.25, 1.5625)], [2, 2, 0])
        self.assertEqual([fast_first(each) for each in (1.0, 1.25, 1.5625)], [0, 0, 2])

    def test_bulk_work_waits_for_faster_workers_than_those_above_its_limit(self) -> None:
        self.workers(each=2)
        self.submit(step(1, 8))
        self.plan_at(0.0)
        self.set_factors(w11=1.0, w12=4.0)
        bulk = self.submit(step(1, 1), priority=BULK)
        self.plan_at(0.0)
        self.plan_at(IDLE_POOL_WAIT_S - 0.1)
        self.assertEqual(self.places(bulk), [])
        self.plan_at(IDLE_POOL_WAIT_S)
        self.assertEqual(self.places(bulk), ["w12"])

    def test_work_past_its_wait_takes_slow_workers_where_the_headroom_is_closed(self) -> None:
        """Guards against bulk work that is kept from slow workers while it waits for headroom."""
        self.workers(each=4)
        self.submit(step(16, 1), priority=NORMAL)
        self.plan_at(0.0)
        self.set_factors(w11=1.0, w12=1.0, w13=1.0, w14=4.0)
        bulk = self.submit(step(1, 1), priority=BULK)
        for now in (0.0, 1.0, IDLE_POOL_WAIT_S):
            self.plan_at(now)
        self.assertEqual(self.places(bulk), ["w14"])

    def test_a_normal_gang_is_placed_on_workers_of_similar_speed(self) -> None:
        self.workers(each=4)
        self.set_factors(w11=SLOW, w12=1.0, w13=1.0, w14=SLOW)
        for same_rack in (False, True):
            job = self.submit(
                step(2, 6, gang=True, same_rack=same_rack), priority=NORMAL, target_ms=1000
            )
            self.plan_at(PATIENT)
            self.assertIn(self.places(job), (["w11", "w14"], ["w12", "w13"]))
        mixed = self.submit(step(4, 2, gang=True), priority=NORMAL)
        self.plan_at(PATIENT)
        self.assertEqual(self.places(mixed), ["w11", "w12", "w13", "w14"])

    def test_long_running_work_takes_slow_workers_first(self) -> None:
        self.workers(each=2)
        self.set_factors(w11=1.0, w12=SLOW)
        job = self.submit(step(1, 1, long_running=True), priority=NORMAL)
        self.plan_at(0.0)
        self.assertEqual(self.places(job), ["w12"])

    def test_work_near_its_data_takes_the_slow_workers_of_that_rack_first(self) -> None:
        self.workers(racks=2, each=2)
        self.set_factors(w11=1.0, w12=SLOW, w21=SLOW, w22=1.0)
        job = self.submit(step(1, 1, data_rack="r1"), priority=BULK)
        self.plan_at(0.0)
        self.assertEqual(self.places(job), ["w12"])

    def test_work_goes_near_its_data_where_all_workers_are_above_its_limit(self) -> None:
        """Work far from its data takes up to three times as long, so it does not leave them."""
        self.workers(racks=2, each=2)
        self.set_factors(w11=4.0, w12=4.0, w21=1.0, w22=1.0)
        job = self.submit(step(1, 1, data_rack="r1"), priority=BULK)
        self.plan_at(0.0)
        self.assertIn(self.places(job), (["w11"], ["w12"]))

    def test_work_with_a_limit_of_tasks_per_worker_takes_slow_workers_first(self) -> None:
        self.workers(each=2)
        self.set_factors(w11=1.0, w12=SLOW)
        job = self.submit(step(1, 1, per_worker=1), priority=BULK)
        self.plan_at(0.0)
        self.assertEqual(self.places(job), ["w12"])


class HeadroomTest(SpeedCase):
    """Bulk work fills the pool up to the empty workers that are kept for urgent work."""

    def kept(self, factor: float) -> bool:
        """Whether the last empty worker, of a given factor, is kept from bulk work."""
        self.setUp()
        self.workers(each=4)
        self.submit(step(24, 1))
        self.plan_at(PATIENT)
        [empty] = [w for w in self.cluster_state.workers.values() if not w.runs]
        self.set_factors(**{empty.worker_id: factor})
        job = self.submit(step(1, 1), priority=BULK, stretch=10.0)
        self.plan_at(PATIENT)
        return not self.places(job)

    def test_an_empty_worker_that_urgent_work_can_use_is_kept(self) -> None:
        self.assertTrue(self.kept(1.0))
        self.assertTrue(self.kept(MAX_URGENT_FACTOR))

    def test_an_empty_slow_worker_is_open_to_bulk_work(self) -> None:
        self.assertFalse(self.kept(MAX_URGENT_FACTOR * 1.25))

    def test_empty_slow_workers_do_not_count(self) -> None:
        """Guards against a headroom that consists of slow workers while bulk fills fast ones."""
        self.workers(each=4)
        self.submit(step(16, 1))
        self.plan_at(PATIENT)
        empty = [w.worker_id for w in self.cluster_state.workers.values() if not w.runs]
        used = [w.worker_id for w in self.cluster_state.workers.values() if w.runs]
        self.set_factors(**{empty[0]: SLOW, empty[1]: 1.0}, **dict.fromkeys(used, 1.0))
        slow = self.submit(step(8, 1), priority=BULK)
        fast = self.submit(step(1, 1), priority=BULK)
        self.plan_at(PATIENT)
        self.assertEqual((set(self.places(slow)), self.places(fast)), ({empty[0]}, []))


class IdlePoolTest(SpeedCase):
    """No job stalls for its preference while the pool is mostly free."""

    @settings(max_examples=40, deadline=None)
    @given(st.integers(0, 2**32))
    def test_every_job_that_fits_starts_within_the_limit_of_waits(self, seed: int) -> None:
        self.setUp()
        rng = random.Random(seed)
        self.workers(racks=3, each=4)
        for worker in self.cluster_state.workers.values():
            self.set_factors(**{worker.worker_id: rng.choice((None, *LEVELS, 4.0))})
        jobs = []
        for _ in range(4):
            made = step(
                rng.choice((1, 2)),
                rng.choice((1, 2, 4)),
                gang=rng.random() < 0.6,
                same_rack=rng.random() < 0.5,
                data_rack=rng.choice(("", "", "r1")),
                per_worker=rng.choice((0, 0, 1)),
            )
            jobs.append(self.submit(made, priority=rng.choice((URGENT, NORMAL, BULK))))
        for tick in range(6):
            self.plan_at(tick * 0.5)
        for job in jobs:
            self.assertTrue(self.places(job), job)


class RemainingTimeTest(SpeedCase):
    """Runs on slow workers last longer: their end, their loss and their room are judged by that."""

    def setUp(self) -> None:
        super().setUp()
        self.workers(each=2)
        self.set_factors(w11=1.0, w12=SLOW)

    def run_on(self, name: str, made: Step, **job: object) -> Run:
        """Start one task on a worker at time 0."""
        other = self.cluster_state.workers["w11" if name == "w12" else "w12"]
        other.closing = True
        job_id = self.submit(made, stretch=9.0, **job)  # type: ignore[arg-type]
        self.plan_at(0.0)
        other.closing = False
        [run] = self.cluster_state.jobs[job_id].runs()
        self.assertEqual(run.worker_id, name)
        return run

    def test_an_estimate_is_scaled_by_the_factor_of_the_worker(self) -> None:
        fast = self.run_on("w11", step(1))
        slow = self.run_on("w12", step(1))
        # Whether a worker is slow is relative to the workers that are available.
        self.assertAlmostEqual(remaining_s(fast, 0.4), 0.6)
        self.assertAlmostEqual(remaining_s(slow, 0.4), SLOW - 0.4)

    def test_progress_counts_as_it_is(self) -> None:
        slow = self.run_on("w12", step(1))
        slow.percent, slow.reported_s = 20, 0.4
        self.assertAlmostEqual(remaining_s(slow, 0.4), 1.6)

    def test_the_loss_of_a_victim_is_the_work_that_it_has_done(self) -> None:
        fast = self.run_on("w11", step(1), priority=BULK)
        slow = self.run_on("w12", step(1), priority=BULK)
        preemptor = Preemptor(lambda run: [run], lambda run: True, lambda run: False, 2.0)
        lost = [preemptor.loss(run) - STOP_COST_CORE_S for run in (fast, slow)]
        self.assertAlmostEqual(lost[0], 2.0 * weight(fast.allocation))
        self.assertAlmostEqual(lost[1], 2.0 / SLOW * weight(fast.allocation))

    def test_a_run_on_a_slow_worker_is_given_longer_before_it_is_stuck(self) -> None:
        made = Step(count=1, needs=step(1).needs, estimate_ms=8000)
        limit_s = STUCK_SHARE * 8.0
        for name, factor in (("w11", 1.0), ("w12", SLOW)):
            run = self.run_on(name, made)
            run.progressed_s = 0.0
            self.assertFalse(is_stuck(run, [run], limit_s * factor - 0.01))
            self.assertTrue(is_stuck(run, [run], limit_s * factor + 0.01))

    def test_work_borrows_only_where_it_ends_before_the_stops(self) -> None:
        """Stops of 2 s are expected: work of 1 s may borrow a fast worker, not a slow one."""
        stopping = self.run_on("w11", step(1), priority=BULK)
        self.cluster_state.stop_run(stopping, StopReason.PREEMPTED)
        urgent = self.submit(step(1, 8))
        owner = self.cluster_state.jobs[urgent].occurrences[0].steps[0]
        borrower = self.cluster_state.jobs[self.submit(step(1))].occurrences[0].steps[0]
        workers = self.cluster_state.workers
        lent = {}
        for name, factor in (("w11", 1.0), ("w12", SLOW)):
            lending = Lending(lambda worker, factor=factor: factor)  # type: ignore[misc]
            stopping.awaited_s = -2.0
            lending.note_stopped(stopping, 0.0)
            stopping.awaited_s = 0.0
            held = Reservation(owner, [workers["w11"]], 5.0)
            lent[name] = lending.lenders(borrower, [held], 0.0)
        self.assertEqual(lent, {"w11": {"w11"}, "w12": frozenset()})

    def test_without_the_option_factors_do_not_count(self) -> None:
        self.cluster_state = ClusterState()
        self.workers(each=2)
        self.set_factors(w11=1.0, w12=SLOW)
        self.assertEqual(self.run_on("w12", step(1)).time_factor, 1.0)


class WavesTest(SpeedCase):
    """Waves of bulk tasks and urgent gangs on a pool of which a third is 2.4 times as slow."""

    @settings(max_examples=25, deadline=None)
    @given(st.integers(0, 2**32))
    def test_urgent_gangs_are_on_fast_workers_while_these_have_room(self, seed: int) -> None:
        self.setUp()
        rng = random.Random(seed)
        self.workers(racks=3, each=4)
        for number, name in enumerate(sorted(self.cluster_state.workers)):
            self.set_factors(**{name: SLOW if number % 3 == 0 else 1.0})
        self.know(2.3)
        gangs: list[str] = []
        bulk_s: dict[bool, int] = {False: 0, True: 0}
        for tick in range(80):
            now = tick * 0.25
            self.end_some(rng, now)
            if tick % 16 < 8:
                made = step(rng.randint(4, 12))
                self.submit(made, priority=BULK, target_ms=3000, accepted_ms=int(now * 1000))
            if rng.random() < 0.3:
                gang = step(rng.randint(1, 4), rng.choice((2, 4, 8)), gang=True)
                gangs.append(self.submit(gang, accepted_ms=int(now * 1000)))
            waiting = [gang for gang in gangs if not self.places(gang)]
            free = self.free_on_fast()
            self.plan_at(now)
            if len(waiting) == 1 and any(map(self.is_slow, self.places(waiting[0]))):
                [made] = self.cluster_state.jobs[waiting[0]].accepted.request.steps
                self.assertLess(sum(each // made.needs.accelerators for each in free), made.count)
            for worker in self.cluster_state.workers.values():
                lower = worker.lower_priority_usage(URGENT).accelerators
                bulk_s[worker.time_factor > 1.0] += lower
        self.assertGreater(bulk_s[True] / 4, bulk_s[False] / 8)

    def is_slow(self, name: str) -> bool:
        return self.cluster_state.workers[name].time_factor > 1.0

    def free_on_fast(self) -> list[int]:
        workers = self.cluster_state.workers.values()
        return [w.free.accelerators for w in workers if w.time_factor == 1.0]

    def end_some(self, rng: random.Random, now: float) -> None:
        """End the runs that are being stopped, and some others."""
        for worker in list(self.cluster_state.workers.values()):
            for (name, number), run in list(worker.runs.items()):
                done = rng.random() < 0.1 / worker.time_factor
                if run.stopping or done:
                    how = EndKind.STOPPED if run.stopping else EndKind.DONE
                    end = EndedTask(1, str(name), number, how, "")
                    self.cluster_state.run_ended(worker.worker_id, end, now)


class CountsTest(unittest.TestCase):
    """Counts by speed are derived from those of all workers, and must equal a count of each."""

    @settings(max_examples=40, deadline=None)
    @given(st.integers(0, 2**32))
    def test_counts_within_bounds_of_speed_are_those_of_the_workers(self, seed: int) -> None:
        rng = random.Random(seed)
        index = CapacityIndex(uses_speeds=True)
        workers = [Worker(record(f"w{n}", rack=f"r{n % 3}")) for n in range(9)]
        for worker in workers:
            index.add(worker)
        cache = FitCache(index)
        room = Resources(1000, 1000, 2)
        fit = FitKey(SERVICE, room, "", proven=False)
        keys = [
            fit,
            replace(fit, max_factor=1.25),
            replace(fit, max_factor=SLOW, above=1.25),
            replace(fit, max_factor=1.5625, known=True),
        ]
        for number in range(12):
            worker = rng.choice(workers)
            if number and rng.random() < 0.7:
                worker.speed_known = rng.random() < 0.7
                worker.time_factor = rng.choice(LEVELS)
            worker.used = Resources(0, 0, rng.randrange(9))
            if rng.random() < 0.1:
                cache = FitCache(index)
            elif rng.random() < 0.2:
                cache._known.pop(fit, None)
            index.begin_round(float(number))
            for key in rng.sample(keys, 2):
                found = cache.of(key)
                allowed = [w for w in workers if key.allows_speed(known_factor(w))]
                self.assertEqual([w for w in workers if found.allows(w)], allowed)
                copies = sum(room.copies_in(w.free) for w in allowed)
                self.assertEqual(found.total, copies)
                self.assertEqual(found.total_most, 4 * len(allowed))
                for rack in found.service_capacity.racks:
                    counted = [w for w in allowed if w.record.rack == rack.name]
                    fits = found.racks[rack.number]
                    self.assertEqual(fits.free, sum(w.free.accelerators for w in counted))
                    releasable = found.releasable(rack, URGENT).workers
                    held = [w for w in counted if room.copies_in(w.free)]
                    self.assertCountEqual([each.worker for each in releasable], held)

    @settings(max_examples=40, deadline=None)
    @given(st.integers(0, 2**32))
    def test_workers_are_read_in_the_order_of_rank_then_of_free_capacity(self, seed: int) -> None:
        rng = random.Random(seed)
        index = CapacityIndex(uses_speeds=True)
        workers = [Worker(record(f"w{n}", rack=f"r{n % 3}")) for n in range(9)]
        for worker in workers:
            worker.speed_known = rng.random() < 0.7
            worker.time_factor = rng.choice(LEVELS) if worker.speed_known else 1.0
            worker.used = Resources(rng.randrange(3), 0, rng.randrange(9))
            index.add(worker)
        index.begin_round(0.0)
        capacity = index.service(SERVICE)
        wanted = [w for w in workers if w.free.accelerators >= 2]

        def tightness(worker: Worker) -> tuple[int, int]:
            return worker.free.accelerators, worker.free.cpu

        self.assertEqual(list(capacity.tightest_first(2, 1)), sorted(wanted, key=tightness))
        for rank in (slow_first, fast_first):
            expected = sorted(wanted, key=lambda w: (rank(known_factor(w)), tightness(w)))
            self.assertEqual(list(capacity.tightest_first(2, 1, rank)), expected)


class EqualWorkersTest(unittest.TestCase):
    """With equal workers all decisions are the same as without speeds."""

    def outcome(
        self, seed: int, options: SchedulingOptions, *, known: bool, slow: bool = False
    ) -> list[object]:
        rng = random.Random(seed)
        speeds = random.Random(seed)
        cluster_state = ClusterState(options)
        cluster_state.configure({"depots": 8}, {"q": SERVICE})
        now = 0.0
        outcome: list[object] = []
        for number in range(60):
            now += rng.uniform(0.1, 5.0)
            EVENTS.apply_random_event(cluster_state, rng, number, now, set())
            for worker in cluster_state.workers.values():
                worker.speed_known = known and speeds.random() < 0.5
                worker.time_factor = SLOW if slow and worker.speed_known else 1.0
            cluster_state.plan(now, now * 1000)
            changes = cluster_state.take_changes()
            outcome.append([(str(s.run.task.name), s.run.worker_id) for s in changes.starts])
            outcome.append([(str(s.task), s.worker_id, s.reason) for s in changes.stops])
        return outcome

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 2**32))
    def test_known_speeds_of_equal_workers_change_nothing(self, seed: int) -> None:
        off = self.outcome(seed, SchedulingOptions(), known=False)
        self.assertEqual(self.outcome(seed, USING_SPEEDS, known=True), off)

    @settings(max_examples=30, deadline=None)
    @given(st.integers(0, 2**32))
    def test_without_the_option_factors_change_nothing(self, seed: int) -> None:
        off = self.outcome(seed, SchedulingOptions(), known=False)
        self.assertEqual(self.outcome(seed, SchedulingOptions(), known=True, slow=True), off)


class UnequalEventsTest(unittest.TestCase):
    """Random events with workers of unequal and changing speed."""

    def set_random_speed(self, cluster_state: ClusterState, rng: random.Random) -> None:
        for worker in cluster_state.workers.values():
            if rng.random() < 0.3:
                worker.speed_known = rng.random() < 0.7
                worker.time_factor = rng.choice(LEVELS) if worker.speed_known else 1.0

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 2**32))
    def test_invariants(self, seed: int) -> None:
        rng = random.Random(seed)
        cluster_state = ClusterState(USING_SPEEDS)
        cluster_state.configure({"depots": 8}, {"q": SERVICE})
        done: set[TaskName] = set()
        now = 0.0
        for number in range(60):
            now += rng.uniform(0.1, 2.0)
            EVENTS.apply_random_event(cluster_state, rng, number, now, done)
            self.set_random_speed(cluster_state, rng)
            cluster_state.plan(now, now * 1000)
            for start in cluster_state.take_changes().starts:
                self.assertNotIn(start.run.task.name, done)
            EVENTS.check(cluster_state)

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 2**32))
    def test_skipping_failed_shapes_does_not_change_the_outcome(self, seed: int) -> None:
        outcomes = []
        for retries_all in (False, True):
            rng = random.Random(seed)
            shapes = RetryAllShapes if retries_all else FailedShapes
            with unittest.mock.patch.object(planner, "FailedShapes", shapes):
                cluster_state = ClusterState(USING_SPEEDS)
            cluster_state.configure({"depots": 8}, {"q": SERVICE})
            now = 0.0
            outcome: list[object] = []
            for number in range(60):
                now += rng.uniform(0.1, 2.0)
                EVENTS.apply_random_event(cluster_state, rng, number, now, set())
                self.set_random_speed(cluster_state, rng)
                cluster_state.plan(now, now * 1000)
                changes = cluster_state.take_changes()
                outcome.append([(str(s.run.task.name), s.run.worker_id) for s in changes.starts])
                outcome.append([(str(s.task), s.worker_id) for s in changes.stops])
            outcomes.append(outcome)
        self.assertEqual(*outcomes)


if __name__ == "__main__":
    unittest.main()
