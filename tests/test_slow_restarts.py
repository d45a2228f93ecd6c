"""Restart of urgent gangs with a member on a slow worker, where that is still in time."""

from __future__ import annotations

import random
import unittest
from collections import Counter
from unittest import mock

from saddlestack.interfaces.workers import EndedTask, EndKind, RunningTask
from saddlestack.policy.cluster.changes import Changes, StopReason
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.slow_restarts import (
    MAX_RESTARTS,
    MIN_RUN_S,
    SEARCH_INTERVAL_S,
    USUAL_EVIDENCE,
)
from saddlestack.policy.cluster.speed_records import SpeedEstimate
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.work import Step
from tests import test_cluster_state
from tests.speed_support import SLOW, SpeedCase
from tests.test_cluster_state import BULK, NORMAL, URGENT, step

WORK_S = 2.3


class SlowRestartCase(SpeedCase):
    """A gang of three tasks of 2.3 s on whole workers, with an objective of 3.75 s."""

    def setUp(self) -> None:
        super().setUp()
        self.begin_pool()

    def begin_pool(self, known_work: bool = True) -> None:
        self.workers(each=5)
        if known_work:
            self.know(WORK_S)

    def begin(self, made: Step | None = None, **job: object) -> str:
        """Start a gang while no speed is known; then know that w15 is slow."""
        gang = self.submit(made or step(3, 8, gang=True), **job)  # type: ignore[arg-type]
        self.plan_at(0.0)
        self.assertEqual(self.places(gang), ["w11", "w12", "w13"])
        self.set_factors(w15=SLOW)
        self.plan_at(0.01)
        return gang

    def report(self, now: float, **durations_s: float) -> Changes:
        """Report the progress of all runs; each takes 2.3 s unless another time is given."""
        for worker in sorted(self.cluster_state.workers.values(), key=lambda w: w.worker_id):
            duration_s = durations_s.get(worker.worker_id, WORK_S)
            percent = min(99, int(100 * now / duration_s))
            rows = [
                RunningTask(str(name), number, run.saved, percent, 0.0)
                for (name, number), run in worker.runs.items()
            ]
            self.cluster_state.worker_reported(worker.worker_id, rows, now)
        return self.cluster_state.take_changes()

    def reasons(self, now: float, **durations_s: float) -> list[StopReason]:
        return [stop.reason for stop in self.report(now, **durations_s).stops]


class RateTest(SlowRestartCase):
    """The speed of the workers of the gang is unknown, and one of them takes 2.4 times as long."""

    def test_a_late_gang_is_restarted_on_other_workers(self) -> None:
        gang = self.begin()
        self.report(0.3, w12=5.6)
        changes = self.report(0.6, w12=5.6)
        self.assertEqual([stop.reason for stop in changes.stops], [StopReason.SLOW_WORKER] * 3)
        self.assertEqual(changes.slow_restarts, 1)
        self.assertEqual(self.cluster_state.take_changes().slow_restarts, 0)
        self.end(gang, EndKind.STOPPED, 0.9)
        self.plan_at(0.9)
        self.assertEqual(self.places(gang), ["w11", "w13", "w14"])

    def test_a_gang_is_restarted_once(self) -> None:
        gang = self.begin()
        self.report(0.6, w12=5.6)
        self.end(gang, EndKind.STOPPED, 0.7)
        self.plan_at(0.7)
        runs = list(self.cluster_state.jobs[gang].runs())
        self.assertEqual(len(runs), 3)
        found = self.cluster_state._slow_restarts.find(runs[0], runs, 1.3)
        self.assertIsNone(found)
        self.assertEqual(self.reasons(1.3, w11=9.0), [])

    def test_it_is_judged_from_a_minimum_time_on(self) -> None:
        for now, stops in ((MIN_RUN_S - 0.01, 0), (MIN_RUN_S + 0.01, 3)):
            with self.subTest(now=now):
                self.setUp()
                self.begin(target_ms=0.0)
                # 10 % after 0.39 s is a duration of 3.9 s, beyond the objective of 3.45 s.
                self.assertEqual(len(self.reasons(now, w12=3.9)), stops)

    def test_it_is_judged_from_a_minimum_of_progress_on(self) -> None:
        self.begin()
        self.assertEqual(self.reasons(0.32, w12=5.6), [])  # 5 percent
        self.assertEqual(len(self.reasons(0.34, w12=5.6)), 3)  # 6 percent

    def test_a_gang_that_will_be_in_time_goes_on(self) -> None:
        for duration_s, stops in ((3.6, 0), (4.0, 3)):
            with self.subTest(duration_s=duration_s):
                self.setUp()
                self.begin()
                self.assertEqual(len(self.reasons(0.75, w12=duration_s)), stops)

    def test_a_gang_that_would_be_late_after_the_restart_goes_on(self) -> None:
        """The restart takes 0.5 s for the stop, 0.1 s for the decision and 2.3 s of work."""
        for now, stops in ((0.84, 3), (0.86, 0)):
            with self.subTest(now=now):
                self.setUp()
                self.begin()
                self.assertEqual(len(self.reasons(now, w12=5.6)), stops)

    def test_a_gang_goes_on_without_free_room_within_its_limit(self) -> None:
        for held, stops in (("w15", 3), ("w14", 0)):
            with self.subTest(held=held):
                self.setUp()
                self.begin()
                other = self.submit(step(1, 8), stretch=9.0)
                self.cluster_state.workers["w15" if held == "w14" else "w14"].closing = True
                self.plan_at(0.02)
                self.assertEqual(self.places(other), [held])
                self.cluster_state.workers["w15" if held == "w14" else "w14"].closing = False
                self.plan_at(0.03)
                self.assertEqual(len(self.reasons(0.6, w12=5.6)), stops)

    def begin_beside(self, made: Step, *names: str, **job: object) -> tuple[str, str]:
        """Fill some workers with other work, then start a gang on w11, w12 and w13."""
        workers = self.cluster_state.workers
        for name, worker in workers.items():
            worker.closing = name not in names
        other = self.submit(made, stretch=9.0, **job)  # type: ignore[arg-type]
        self.plan_at(0.0)
        self.assertEqual(set(self.places(other)), set(names))
        for worker in workers.values():
            worker.closing = False
        return self.begin(), other

    def test_bulk_work_is_stopped_for_the_restart(self) -> None:
        """Bulk work fills the room that the gang needs. It stops at the same time as the gang."""
        gang, bulk = self.begin_beside(step(8), "w14", priority=BULK)
        stops = self.report(0.6, w12=5.6).stops
        reasons = {stop.task.job_id: stop.reason for stop in stops}
        self.assertEqual(reasons, {gang: StopReason.SLOW_WORKER, bulk: StopReason.PREEMPTED})
        self.assertEqual(len(stops), 3 + 8)
        self.end(gang, EndKind.STOPPED, 0.8)
        self.plan_at(0.8)
        self.assertEqual(self.places(gang), [])
        self.end(bulk, EndKind.STOPPED, 0.9)
        self.plan_at(0.9)
        self.assertEqual(self.places(gang), ["w11", "w13", "w14"])

    def test_only_as_much_bulk_work_is_stopped_as_needed(self) -> None:
        self.workers(each=6)
        gang, bulk = self.begin_beside(step(16), "w14", "w16", priority=BULK)
        stops = self.report(0.6, w12=5.6).stops
        self.assertEqual(Counter(stop.task.job_id for stop in stops), {gang: 3, bulk: 8})

    def test_room_is_searched_for_once_in_a_while(self) -> None:
        """Guards against a search for each report of each member of a wide gang."""
        self.begin_beside(step(1, 8), "w14")
        with mock.patch.object(
            self.cluster_state._planner, "restart_places", return_value=None
        ) as search:
            for now, searches in (
                (0.45, 1),
                (0.45 + SEARCH_INTERVAL_S - 0.01, 1),
                (0.45 + SEARCH_INTERVAL_S + 0.01, 2),
            ):
                self.report(now, w12=5.6)
                self.assertEqual(search.call_count, searches)

    def test_no_other_work_is_stopped_for_the_restart(self) -> None:
        for priority, made in (
            (URGENT, step(1, 8)),
            (NORMAL, step(2, 4, gang=True)),
            (BULK, step(8, once=True)),
        ):
            with self.subTest(priority=priority):
                self.setUp()
                self.begin_beside(made, "w14", priority=priority)
                self.assertEqual(self.reasons(0.6, w12=5.6), [])

    def test_a_gang_of_one_rack_is_restarted_only_within_one(self) -> None:
        self.workers(racks=2, each=3)
        made = step(3, 8, gang=True, same_rack=True)
        gang = self.submit(made)
        self.plan_at(0.0)
        rack = {name[:2] for name in self.places(gang)}
        self.assertEqual(len(rack), 1)
        slow = self.places(gang)[0]
        unused = [name for name in self.cluster_state.workers if name not in self.places(gang)]
        self.set_factors(**{unused[0]: SLOW})
        self.plan_at(0.01)
        self.report(0.3, **{slow: 5.6})
        stops = self.report(0.6, **{slow: 5.6}).stops
        self.assertEqual(len(stops), 3)
        self.end(gang, EndKind.STOPPED, 0.8)
        self.plan_at(0.8)
        self.assertEqual(len({name[:2] for name in self.places(gang)}), 1)
        self.assertNotIn(slow, self.places(gang))

    def test_a_long_task_on_a_worker_known_as_usual_is_no_reason(self) -> None:
        """Guards against restarts of stragglers, which take as long on any worker."""
        for evidence, factor, stops in (
            (USUAL_EVIDENCE, 1.0, 0),
            (USUAL_EVIDENCE, 1.25, 0),
            (USUAL_EVIDENCE - 1, 1.0, 3),
            (USUAL_EVIDENCE, 1.5625, 3),
        ):
            with self.subTest(evidence=evidence, factor=factor):
                self.setUp()
                self.begin()
                found = SpeedEstimate(factor, 0.7, evidence, 0.0)
                self.cluster_state._slow_restarts._estimate = {"w12": found}.get
                self.assertEqual(len(self.reasons(0.6, w12=5.6)), stops)

    def test_tasks_that_differ_as_on_equal_workers_are_no_reason(self) -> None:
        """All are late, since the work is longer than expected; the workers are alike."""
        self.begin()
        self.assertEqual(self.reasons(0.75, w11=4.0, w12=5.6, w13=4.0), [])

    def test_a_member_is_slow_from_a_ratio_to_the_median_member_on(self) -> None:
        """Members have equal work. Both of these are late, by their rates in whole percent."""
        for ratio, stops in ((1.7, 0), (1.8, 3)):
            with self.subTest(ratio=ratio):
                self.setUp()
                self.begin()
                self.assertEqual(len(self.reasons(0.75, w12=ratio * WORK_S)), stops)

    def test_a_gang_is_restarted_where_no_worker_is_known_as_slow(self) -> None:
        """Early in a day nothing is known yet, and early estimates are wrong."""
        for factor in (None, 1.0):
            with self.subTest(factor=factor):
                self.setUp()
                self.begin()
                self.set_factors(w12=factor, w15=factor)
                self.plan_at(0.02)
                self.assertEqual(len(self.reasons(0.6, w12=5.6)), 3)

    def test_a_gang_of_equal_members_goes_on_where_no_worker_is_known_as_slow(self) -> None:
        self.begin()
        self.set_factors(w15=1.0)
        self.plan_at(0.02)
        self.assertEqual(self.reasons(0.6, w11=5.6, w12=5.6, w13=5.6), [])

    def test_any_member_may_report_last(self) -> None:
        """The slow member reports before the others, so that its own report is not enough."""
        self.begin()
        workers = self.cluster_state.workers
        found: list[int] = []
        for name, percent in (("w12", 8), ("w11", 20), ("w13", 20)):
            rows = [
                RunningTask(str(task), number, run.saved, percent, 0.0)
                for (task, number), run in workers[name].runs.items()
            ]
            self.cluster_state.worker_reported(name, rows, 0.45)
            found.append(len(self.cluster_state.take_changes().stops))
        self.assertEqual(found, [0, 3, 0])

    def test_a_gang_is_judged_by_its_own_work(self) -> None:
        """Its work takes 3 s and that of the queue 2.3 s, for which a restart would be too late."""
        for now, stops in ((1.1, 3), (1.3, 0)):
            with self.subTest(now=now):
                self.setUp()
                self.begin()
                durations_s = {"w11": 3.0, "w12": 7.2, "w13": 3.0}
                self.assertEqual(len(self.reasons(now, **durations_s)), stops)

    def test_without_known_work_the_median_member_stands_for_it(self) -> None:
        self.know(0.0)
        self.cluster_state._work_times.work_s = None  # type: ignore[attr-defined]
        self.begin()
        self.assertEqual(len(self.reasons(0.6, w12=5.6)), 3)

    def test_progress_from_before_the_last_start_gives_no_work(self) -> None:
        """The start of a member was confirmed after the others had ended theirs: 0 s of work."""
        self.begin_pool(known_work=False)
        self.cluster_state._work_times.work_s = None  # type: ignore[attr-defined]
        gang = self.begin()
        self.report(0.3, w11=0.3, w13=0.3)
        runs = [task.run for task in self.cluster_state.jobs[gang].occurrences[0].steps[0].tasks]
        for run in runs:
            assert run is not None
            run.started_s = 0.3
        self.set_factors(w11=1.0, w12=SLOW, w13=1.0)
        self.assertEqual(self.reasons(0.8, w11=0.3, w12=5.6, w13=0.3), [])


class FactorTest(SlowRestartCase):
    """The factors of all workers of the gang become known while it runs."""

    def test_a_known_slow_worker_is_judged_by_its_factor(self) -> None:
        """Its member has not reached the minimum of progress yet; the others have."""
        self.begin()
        self.set_factors(w11=1.0, w12=SLOW, w13=1.0)
        self.assertEqual(self.reasons(0.29, w12=5.6), [])
        self.assertEqual(len(self.reasons(0.31, w12=5.6)), 3)

    def test_a_smaller_factor_is_no_reason(self) -> None:
        for factor, stops in ((1.25, 0), (1.5625, 3)):
            with self.subTest(factor=factor):
                self.setUp()
                self.begin()
                self.set_factors(w11=1.0, w12=factor, w13=1.0)
                self.assertEqual(len(self.reasons(0.7, w12=4.0)), stops)

    def begin_slow(self, **factors: float | None) -> None:
        """Start a gang on workers that become known afterwards, beside three fast ones."""
        self.workers(each=8)
        self.begin()
        self.set_factors(w14=1.0, w16=1.0, w17=1.0, w18=SLOW, **factors)
        self.plan_at(0.02)

    def test_a_gang_whose_workers_have_all_become_known_as_slow_is_restarted(self) -> None:
        """Its members progress alike, so that their rates tell nothing."""
        slow = dict.fromkeys(("w11", "w12", "w13"), 5.6)
        for factor, stops in ((SLOW, 3), (1.25, 0), (None, 0)):
            with self.subTest(factor=factor):
                self.setUp()
                self.begin_slow(w11=SLOW, w12=SLOW, w13=factor)
                self.assertEqual(len(self.reasons(0.6, **slow)), stops)

    def test_a_gang_on_workers_wrongly_known_as_slow_goes_on(self) -> None:
        self.begin_slow(w11=SLOW, w12=SLOW, w13=SLOW)
        self.assertEqual(self.reasons(0.6), [])


class UnaffectedTest(SlowRestartCase):
    """Work that is not to be stopped for this."""

    def test_it_is_off_without_the_option(self) -> None:
        self.cluster_state = ClusterState(SchedulingOptions())
        self.begin_pool()
        self.begin()
        self.assertEqual(self.reasons(0.6, w12=5.6), [])

    def test_less_urgent_gangs_go_on(self) -> None:
        self.begin(priority=NORMAL, stretch=1.5)
        self.assertEqual(self.reasons(0.6, w12=5.6), [])

    def test_work_that_runs_once_goes_on_unless_it_has_saved_a_checkpoint(self) -> None:
        for saved, stops in (("", 0), ("c1", 3)):
            with self.subTest(saved=saved):
                self.setUp()
                gang = self.begin(step(3, 8, gang=True, once=True, checkpoint=True))
                for run in self.cluster_state.jobs[gang].runs():
                    run.saved = saved
                self.assertEqual(len(self.reasons(0.6, w12=5.6)), stops)

    def test_a_gang_that_is_being_stopped_is_not_stopped_again(self) -> None:
        gang = self.begin()
        self.cluster_state.cancel(gang)
        self.cluster_state.take_changes()
        self.assertEqual(self.reasons(0.6, w12=5.6), [])

    def test_a_gang_of_an_earlier_leader_goes_on(self) -> None:
        """Failure: the leader is killed. When the runs began is unknown to the next one."""
        gang = self.begin()
        for run in self.cluster_state.jobs[gang].runs():
            run.inherited = True
        self.assertEqual(self.reasons(0.6, w12=5.6), [])

    def test_a_worker_lost_during_the_restart_only_delays_it(self) -> None:
        gang = self.begin()
        self.assertEqual(len(self.reasons(0.6, w12=5.6)), 3)
        self.cluster_state.worker_ended("w14")
        self.cluster_state.unlist_worker("w14")
        self.end(gang, EndKind.STOPPED, 0.9)
        self.plan_at(0.9)
        self.assertEqual(self.places(gang), ["w11", "w12", "w13"])


class WavesTest(unittest.TestCase):
    """Urgent gangs arrive on workers of which a third is slow, and some of these are not known."""

    SEEDS = range(20)

    def test_gangs_stay_whole_and_restart_at_most_once(self) -> None:
        """Guards against parts of a gang that run without the rest, and against lost room."""
        restarts = sum(self.run_day(seed) for seed in self.SEEDS)
        self.assertGreater(restarts, 0)

    def run_day(self, seed: int) -> int:
        """Run random events for 20 s; return the number of restarts."""
        rng = random.Random(seed)
        case = SlowRestartCase()
        case.setUp()
        case.workers(racks=2, each=4)
        slow = {name for name in case.cluster_state.workers if rng.random() < 0.35}
        restarts = 0
        for tick in range(70):
            now = tick * 0.3
            if rng.random() < 0.25:
                made = step(
                    rng.randint(2, 4),
                    rng.choice((2, 4, 8)),
                    gang=True,
                    same_rack=rng.random() < 0.5,
                )
                case.submit(made, accepted_ms=int(now * 1000))
            for name in slow:
                if rng.random() < 0.02:
                    case.set_factors(**{name: SLOW})
            self.report(case, slow, now)
            case.cluster_state.plan(now, now * 1000)
            changes = case.cluster_state.take_changes()
            for start in changes.starts:
                case.cluster_state.run_started(start.run, now)
            restarts += changes.slow_restarts
            test_cluster_state.RandomEventsTest().check(case.cluster_state)
        for job in case.cluster_state.jobs.values():
            self.assertLessEqual(job.occurrences[0].steps[0].slow_restarts, MAX_RESTARTS)
        return restarts

    def report(self, case: SlowRestartCase, slow: set[str], now: float) -> None:
        """Report the progress of all runs; end those that are done or were ordered to stop."""
        state = case.cluster_state
        for worker in list(state.workers.values()):
            duration_s = WORK_S * (SLOW if worker.worker_id in slow else 1.0)
            rows = []
            for (name, number), run in list(worker.runs.items()):
                if run.stopping:
                    end = EndedTask(1, str(name), number, EndKind.STOPPED, "")
                    state.run_ended(worker.worker_id, end, now)
                    continue
                elapsed_s = now - (run.started_s or 0.0)
                percent = min(99, int(100 * elapsed_s / duration_s))
                rows.append(RunningTask(str(name), number, "", percent, 0.0))
            state.worker_reported(worker.worker_id, rows, now)
        for job in list(state.jobs.values()):
            runs = list(job.runs())
            if runs and all(run.percent >= 99 and not run.stopping for run in runs):
                for run in runs:
                    end = EndedTask(1, str(run.task.name), run.number, EndKind.DONE, "")
                    state.run_ended(run.worker_id, end, now)


if __name__ == "__main__":
    unittest.main()
