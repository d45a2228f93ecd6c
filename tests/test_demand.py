"""The headroom by the demand of urgent work: waves, bursts, valleys, silence and new leaders.

Guards against a headroom that is too small at the crest of a wave, keeps workers idle between
waves, or remembers a burst that is long over.
"""

from __future__ import annotations

import asyncio
import unittest
import unittest.mock
from collections.abc import Callable
from typing import Any

import msgspec
from benchmarks.demand import Day, Load, Outcome, arrivals

from saddlestack.control.settings import Scheduling
from saddlestack.policy.cluster import state as state_module
from saddlestack.policy.cluster.demand import PEAK_HALF_LIFE_S, PEAK_MEMORY_S, DemandForecast
from saddlestack.policy.cluster.headroom import HEADROOM_SHARE, headroom_allows
from saddlestack.policy.cluster.index import CapacityIndex, ServiceCapacity
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.standins.pool import cluster as pool_cluster
from saddlestack.standins.pool.cluster import PoolCluster
from tests.test_cluster_state import BULK, NORMAL, SERVICE, URGENT
from tests.test_gang_priority import CrowdCase
from tests.test_pool import PoolTest
from tests.test_slack import ROUND_S, work

LEAST, QUARTER, MOST = 16.0, 40.0, 64.0
"""A tenth, a quarter and 0.4 of the 160 accelerators of two racks of ten workers."""
SETTLED_S = 40.0
"""When nothing is left of the share with which a leader begins."""
URGENT_S = 2.3


class DemandCase(CrowdCase):
    """Two racks of ten workers and a leader that sizes the headroom by demand."""

    def setUp(self) -> None:
        super().setUp()
        self.workers(racks=2, each=10)

    def use(self, *, enabled: bool) -> None:
        self.cluster_state = ClusterState(SchedulingOptions(demand_forecast=enabled))
        self.jobs = 0

    @property
    def kept(self) -> int:
        return self.cluster_state.planner.headroom_accelerators

    def idle(self, begin_s: float, until_s: float) -> None:
        """Run rounds without new work."""
        self.play(until_s, lambda now: None, begin_s)

    def settle(self) -> None:
        """Let the share fade with which a leader begins."""
        self.idle(0.0, SETTLED_S)

    def urgent(self, accelerators: int, now: float, work_s: float = URGENT_S) -> StepState:
        """Submit an urgent gang of tasks with one accelerator, and run a round."""
        step = self.submit(work(accelerators, 1, work_s, gang=True), priority=URGENT, now=now)
        self.round(now)
        return step


class ForecastTest(DemandCase):
    def test_without_urgent_work_a_tenth_is_kept(self) -> None:
        """Guards against workers that stay empty all day for urgent work that never comes."""
        self.settle()
        self.assertEqual(self.kept, LEAST)

    def test_an_arrival_counts_from_above_a_tenth_to_two_fifths(self) -> None:
        """A gang of ``n`` is a rate of ``n`` in 2 s, hence ``1.5 n`` in the next 3 s."""
        for accelerators, expected in ((10, LEAST), (12, 18), (20, 30), (42, 63), (44, MOST)):
            self.setUp()
            self.settle()
            self.urgent(accelerators, SETTLED_S + ROUND_S)
            self.assertEqual(self.kept, expected, accelerators)

    def test_other_priorities_and_long_running_work_do_not_count(self) -> None:
        """Guards against a headroom kept for the work that it is kept from."""
        self.settle()
        for priority in (NORMAL, BULK):
            self.submit(work(40, 1, gang=True), priority=priority, now=SETTLED_S)
        self.submit(work(20, 1, long_running=True), priority=URGENT, now=SETTLED_S)
        self.round(SETTLED_S + ROUND_S)
        self.assertEqual(self.kept, LEAST)

    def test_what_ends_is_kept_for_the_next_gangs(self) -> None:
        """Guards against bulk work that fills at once what a gang leaves at the crest."""
        self.settle()
        begin_s = SETTLED_S + ROUND_S
        gang = self.urgent(48, begin_s, work_s=15.0)
        self.idle(begin_s + ROUND_S, begin_s + 14.5)
        self.assertEqual(self.kept, LEAST)
        for task in gang.tasks:
            if task.run is not None:
                self.finish(task.run, begin_s + 15.0)
        self.round(begin_s + 15.0)
        self.assertEqual(self.kept, round(48 * 2 ** (-ROUND_S / PEAK_HALF_LIFE_S)))

    def test_a_peak_halves_in_its_half_life_and_is_dropped(self) -> None:
        self.settle()
        begin_s = SETTLED_S + ROUND_S
        self.urgent(40, begin_s)
        self.assertEqual(self.kept, 60)
        self.idle(begin_s + ROUND_S, begin_s + PEAK_HALF_LIFE_S)
        self.assertEqual(self.kept, 30)
        demand = self.demand()._services[SERVICE]
        self.idle(begin_s + PEAK_HALF_LIFE_S + ROUND_S, begin_s + PEAK_MEMORY_S)
        self.assertAlmostEqual(demand.peak_rate.value, 20 / 2**4)
        self.idle(begin_s + PEAK_MEMORY_S + ROUND_S, begin_s + PEAK_MEMORY_S + ROUND_S)
        self.assertLess(demand.peak_rate.value, 0.01)

    def test_waiting_urgent_work_counts(self) -> None:
        """Guards against bulk work in the room for which an urgent gang has waited for long."""
        self.settle()
        for name in self.cluster_state.workers:
            self.occupy(work(1, 8, 60.0), name, priority=URGENT, now=SETTLED_S)
        self.urgent(40, SETTLED_S + ROUND_S)
        self.idle(SETTLED_S + 2 * ROUND_S, SETTLED_S + 15.0)
        self.assertEqual(self.kept, 40)

    def test_a_failed_start_is_no_second_arrival(self) -> None:
        """Guards against a crash loop of one gang that looks like a burst."""
        self.settle()
        begin_s = SETTLED_S + ROUND_S
        gang = self.urgent(20, begin_s)
        rate = self.demand()._services[SERVICE].rate
        for task in gang.tasks:
            assert task.run is not None
            self.cluster_state.run_not_started(task.run)
        self.round(begin_s)
        self.assertEqual(self.demand()._services[SERVICE].rate, rate)

    def demand(self) -> DemandForecast:
        demand = self.cluster_state._demand
        assert demand is not None
        return demand


class SilenceTest(DemandCase):
    def kept_after(self, silence_s: float) -> int:
        """What is kept by the first round after some time without any."""
        self.setUp()
        self.settle()
        self.urgent(40, SETTLED_S + ROUND_S)
        self.round(SETTLED_S + ROUND_S + silence_s)
        return self.kept

    def test_a_second_without_rounds_counts_and_no_more(self) -> None:
        """Guards against a leader that was blocked at the crest and takes it for a valley."""
        self.assertGreater(self.kept_after(0.9), self.kept_after(1.0))
        self.assertEqual(self.kept_after(1.0), self.kept_after(1.1))
        self.assertEqual(self.kept_after(1.0), self.kept_after(30.0))


class NewLeaderTest(DemandCase):
    def test_it_begins_with_a_quarter_that_fades(self) -> None:
        """Guards against a new leader that leaves nothing for a wave which it has not seen."""
        self.round(1_000.0)
        self.assertEqual(self.kept, QUARTER)
        self.idle(1_000.0 + ROUND_S, 1_000.0 + PEAK_HALF_LIFE_S)
        self.assertEqual(self.kept, QUARTER / 2)

    def test_the_urgent_jobs_that_it_reads_count_but_are_no_burst(self) -> None:
        """A leader that reads a crest of 48 accelerators has not seen them arrive at once."""
        for name in self.cluster_state.workers:
            self.occupy(work(1, 8, 60.0, long_running=True), name, priority=URGENT)
        self.urgent(48, 1_000.0)
        self.assertEqual(self.kept, 48)

    def test_runs_that_it_inherits_are_held(self) -> None:
        """Guards against a headroom for work that has its room already, or that leaks it."""
        gang = self.urgent(48, 0.0)
        records = {0: gang.occurrence.to_record()}
        accepted = gang.occurrence.job.accepted
        self.use(enabled=True)
        self.workers(racks=2, each=10)
        job = self.cluster_state.add_job(accepted, records)
        self.round(1_000.0)
        self.assertEqual(self.kept, QUARTER)
        demand = self.cluster_state._demand
        assert demand is not None
        self.assertEqual(demand._services[SERVICE].held, 48)
        for run in list(job.runs()):
            self.finish(run, 1_001.0)
        self.assertEqual(demand._services[SERVICE].held, 0)


class WaveTest(DemandCase):
    """Urgent gangs of four accelerators, at a rate that changes."""

    def kept_over(self, until_s: float, rate: Callable[[float], float]) -> dict[float, int]:
        """What is kept at each round, for a rate of arrivals in accelerators per second."""
        owed = 0.0
        found: dict[float, int] = {}

        def submit(now: float) -> None:
            nonlocal owed
            found[now] = self.kept
            owed += rate(now) * ROUND_S
            while owed >= 4:
                owed -= 4
                self.submit(work(4, 1, URGENT_S, gang=True), priority=URGENT, now=now)

        self.play(until_s, submit)
        return found

    def test_more_is_kept_at_the_crest_than_in_the_valley(self) -> None:
        """Guards against a headroom that is the same, or in opposite phase, over a wave."""
        for period_s, swing, apart in ((11.0, 0.55, 1.3), (17.0, 0.55, 1.5), (17.0, 0.15, 1.0)):
            self.setUp()
            load = Load(period_s=period_s, swing=swing, bursts=False)
            kept = self.kept_over(110.0, lambda now, load=load: 12 * load.rate(now))
            settled = {now: each for now, each in kept.items() if now >= SETTLED_S}
            crest = [each for now, each in settled.items() if 0.25 <= now / period_s % 1 < 0.5]
            valley = [each for now, each in settled.items() if now / period_s % 1 >= 0.75]
            ratio = (sum(crest) / len(crest)) / (sum(valley) / len(valley))
            self.assertGreater(ratio, apart, (period_s, swing))

    def test_a_burst_is_followed_within_a_second_or_two_and_forgotten_within_seconds(self) -> None:
        """Twice the rate for 6 s."""
        begin_s, end_s = 50.0, 56.0
        kept = self.kept_over(80.0, lambda now: 8 * (2 if begin_s <= now < end_s else 1))
        usual = max(each for now, each in kept.items() if SETTLED_S <= now <= begin_s)
        self.assertLessEqual(usual, 32)
        self.assertGreaterEqual(kept[begin_s + 1.5], usual + 8)
        self.assertGreaterEqual(kept[end_s], 1.6 * usual)
        self.assertLessEqual(kept[end_s + 6.0], usual + 2)


class ThresholdTest(DemandCase):
    """What a forecast means for a decision."""

    def capacity(self, free: int) -> ServiceCapacity:
        """The pool with so many empty workers, all in the second rack."""
        workers = list(self.cluster_state.workers.values())
        for worker in workers[: len(workers) - free]:
            self.occupy(work(1, 8, 60.0), worker.worker_id)
        index = CapacityIndex()
        for worker in workers:
            index.add(worker)
        index.begin_round(0.0)
        return index.service(SERVICE)

    def test_exactly_the_forecast_has_to_remain(self) -> None:
        """Eight empty workers, of which one is taken and 56 accelerators remain."""
        capacity = self.capacity(free=8)
        worker = next(each for each in self.cluster_state.workers.values() if not each.runs)
        self.assertTrue(headroom_allows(capacity, [worker], 0.0, 56.0))
        self.assertFalse(headroom_allows(capacity, [worker], 0.0, 56.1))

    def test_the_part_in_one_rack_stays(self) -> None:
        """Guards against a valley in which an urgent gang that needs one rack finds none."""
        capacity = self.capacity(free=4)
        worker = next(each for each in self.cluster_state.workers.values() if not each.runs)
        self.assertFalse(headroom_allows(capacity, [worker], 0.0, 0.0))

    def test_bulk_work_gets_in_the_valley_what_a_fixed_quarter_denies(self) -> None:
        for enabled, starts in ((False, 0), (True, 1)):
            self.use(enabled=enabled)
            self.workers(racks=2, each=10)
            self.settle()
            names = list(self.cluster_state.workers)
            for name in names[:14]:
                self.occupy(work(1, 8, 600.0), name, now=SETTLED_S)
            self.occupy(work(1, 8, 600.0), names[14], now=SETTLED_S)
            self.submit(work(1, 8), priority=BULK, now=SETTLED_S)
            self.assertEqual(len(self.round(SETTLED_S + ROUND_S)), starts)

    def test_bulk_work_is_kept_out_at_the_crest(self) -> None:
        for enabled, starts in ((False, 1), (True, 0)):
            self.use(enabled=enabled)
            self.workers(racks=2, each=10)
            self.settle()
            names = list(self.cluster_state.workers)
            for name in names[:9]:
                self.occupy(work(1, 8, 600.0), name, now=SETTLED_S)
            self.urgent(40, SETTLED_S + ROUND_S)
            self.submit(work(1, 8), priority=BULK, now=SETTLED_S + ROUND_S)
            self.assertEqual(len(self.round(SETTLED_S + 2 * ROUND_S)), starts)


class FixedForecast(DemandForecast):
    """Forecasts a quarter of the pool, whatever arrives."""

    def headroom(self, service: str, service_capacity: ServiceCapacity) -> float:
        return service_capacity.open.accelerators * HEADROOM_SHARE


class DayTest(unittest.TestCase):
    """Short days of waves and bursts, with the planner alone."""

    LOAD = Load(0.25, 11.0, 0.55)
    SECONDS = 12.0

    def day(self, *, enabled: bool) -> tuple[Day, Outcome]:
        jobs = arrivals(self.LOAD, 4 * 8 * 8, self.SECONDS, seed=3)
        day = Day(SchedulingOptions(gang_priority=True, demand_forecast=enabled), 4, 8)
        return day, day.play(jobs, self.SECONDS)

    def test_off_every_decision_is_that_of_a_fixed_quarter(self) -> None:
        """Guards against a hook that changes more than the size of the headroom."""
        _, off = self.day(enabled=False)
        with unittest.mock.patch.object(state_module, "DemandForecast", FixedForecast):
            _, fixed = self.day(enabled=True)
        _, forecast = self.day(enabled=True)
        self.assertEqual(off, fixed)
        self.assertNotEqual(off, forecast)

    def test_off_nothing_is_forecast(self) -> None:
        day, _ = self.day(enabled=False)
        self.assertIsNone(day.state._demand)
        self.assertEqual({kept for _, kept in day.headrooms}, {0})

    def test_the_headroom_stays_within_its_limits(self) -> None:
        day, _ = self.day(enabled=True)
        pool = 4 * 8 * 8
        self.assertLessEqual(max(kept for _, kept in day.headrooms), round(0.4 * pool))
        self.assertGreaterEqual(min(kept for _, kept in day.headrooms), round(0.1 * pool))

    def test_what_is_held_follows_every_start_and_end(self) -> None:
        """Guards against a count that drifts, which would shift the headroom for the whole term."""
        day, outcome = self.day(enabled=True)
        held = sum(
            run.allocation.accelerators
            for worker in day.state.workers.values()
            for run in worker.runs.values()
            if run.task.step.occurrence.job.priority == URGENT
        )
        assert day.state._demand is not None
        self.assertEqual(sum(each.held for each in day.state._demand._services.values()), held)
        self.assertGreater(len(outcome.waits_s), 10)


class GaugeTest(PoolTest):
    """The gauge of a leader."""

    def test_the_gauge_is_there_during_a_term(self) -> None:
        settings = pool_cluster._settings

        def with_forecast(*arguments: Any) -> Any:
            return msgspec.structs.replace(
                settings(*arguments), scheduling=Scheduling(demand_forecast=True)
            )

        async def body(cluster: PoolCluster) -> None:
            await asyncio.sleep(4.0)
            leader = cluster.leader
            assert leader is not None
            metrics = leader.context.metrics
            self.assertGreater(metrics.view().counters["headroom_accelerators"], 0)
            await cluster.kill(cluster.leader_name)
            self.assertEqual(metrics.view().counters["headroom_accelerators"], 0)

        with unittest.mock.patch.object(pool_cluster, "_settings", with_forecast):
            self.play(body)
