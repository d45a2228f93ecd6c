"""Normal gangs in crowds of urgent and bulk work: what is kept and stopped for them."""

from __future__ import annotations

import math
import random
import unittest.mock
from collections import Counter
from collections.abc import Callable

from saddlestack.interfaces.workers import EndedTask, EndKind, RunningTask
from saddlestack.policy.cluster.diagnosis import Diagnosis
from saddlestack.policy.cluster.gang_preemption import (
    MAX_STOPPED_TASKS,
    MAX_TASK_PREEMPTIONS,
    PREEMPTION_SLACK_S,
)
from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.kept_workers import (
    EQUAL_HELD_S,
    LONGEST_HELD_S,
    LOWER_HELD_S,
    KeptWorkers,
    soonest_by_ends,
)
from saddlestack.policy.cluster.lending import USUAL_STOP_S
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.reservations import RESERVATION_TIMEOUT_S
from saddlestack.policy.cluster.slack import Slack
from saddlestack.policy.cluster.victims import MAX_REPORT_AGE_S
from saddlestack.policy.cluster.wait_limits import IDLE_POOL_WAIT_S
from saddlestack.work import Step
from tests.test_cluster_state import BULK, NORMAL, SERVICE, URGENT, record
from tests.test_diagnosis import diagnosis_context
from tests.test_slack import MOMENT_S, ROUND_S, ContentionCase, wall_ms, work


class CrowdCase(ContentionCase):
    """A pool whose runs end by the clock, planned every half second."""

    def setUp(self) -> None:
        super().setUp()
        self.done_s: dict[StepState, float] = {}

    def is_late(self, step: StepState) -> bool:
        """Whether a job of one step was not done within its objective."""
        accepted = step.occurrence.job.accepted
        limit_ms = accepted.stretch * step.step.estimate_ms + accepted.target_ms
        done_s = self.done_s.get(step, math.inf)
        return wall_ms(done_s) - accepted.accepted_ms > limit_ms

    def run_of(self, step: StepState) -> Run:
        run = step.tasks[0].run
        assert run is not None
        return run

    def started_at(self, step: StepState) -> float | None:
        """When the last start of a step was confirmed; ``None`` if it does not run."""
        runs = [task.run for task in step.tasks]
        return None if runs[0] is None else runs[0].started_s

    def job_of(self, step: StepState) -> str:
        return step.occurrence.job.job_id

    def report(self, step: StepState, percent: int, now: float) -> None:
        """Have the workers of a step report its progress."""
        for task in step.tasks:
            if task.run is not None:
                row = RunningTask(str(task.name), task.run.number, "", percent)
                self.cluster_state.worker_reported(task.run.worker_id, [row], now)

    def finish(self, run: Run, now: float, how: EndKind = EndKind.DONE) -> None:
        end = EndedTask(1, str(run.task.name), run.number, how, "")
        self.cluster_state.run_ended(run.worker_id, end, now)
        if run.task.step.finished:
            self.done_s.setdefault(run.task.step, now)

    def advance(self, now: float, stop_s: float = 0.2) -> None:
        """End the runs that are done or stopped by a time."""
        for worker in list(self.cluster_state.workers.values()):
            for run in list(worker.runs.values()):
                work_s = run.task.step.step.estimate_ms / 1000
                if run.stopping:
                    if now - self.stop_ordered.setdefault(run, now) >= stop_s:
                        self.finish(run, now, EndKind.STOPPED)
                elif run.started_s is not None and now - run.started_s >= work_s:
                    self.finish(run, now)

    def play(self, until_s: float, submit: Callable[[float], None], begin_s: float = 0.0) -> None:
        """Plan every half second, with new work before each round."""
        self.stop_ordered: dict[Run, float] = {}
        number = 0
        while (now := begin_s + number * ROUND_S) <= until_s:
            self.advance(now)
            submit(now)
            self.round(now)
            for stop in self.changes.stops:
                task = next(
                    run
                    for run in self.cluster_state.workers[stop.worker_id].runs.values()
                    if (run.task.name, run.number) == (stop.task, stop.number)
                )
                self.stop_ordered[task] = now
            number += 1


class KeptWorkersTest(CrowdCase):
    """Narrow work took each gap, so that a gang never found its workers free together."""

    def two_racks(self) -> tuple[StepState, StepState]:
        """Two racks full of bulk work; the work of the second one ends a little later."""
        self.workers(racks=2, each=2)
        first = [self.occupy(work(8, 1, 20.0), name) for name in ("w11", "w12")]
        second = [self.occupy(work(8, 1, 20.0), name) for name in ("w21", "w22")]
        return first[0], second[0]

    def gang(self, now: float = 0.0, **more: object) -> StepState:
        gang = work(2, 8, gang=True, same_rack=True)
        return self.submit(gang, priority=NORMAL, now=now, **more)  # type: ignore[arg-type]

    def kept_from(self, step: StepState) -> set[str]:
        kept = self.cluster_state.planner.waits.kept_from(step)
        workers = self.cluster_state.workers.values()
        return {w.worker_id for w in workers if kept is not None and kept(w)}

    def test_the_same_workers_are_kept_while_work_elsewhere_ends(self) -> None:
        """An end on the other rack made that one fit sooner, and narrow work filled the first."""
        _, second = self.two_racks()
        self.gang()
        bulk = self.submit(work(1, 1))
        self.round(0.0)
        self.assertEqual(self.kept_from(bulk), {"w11", "w12"})
        self.report(second, 50, 1.0)
        self.finish(self.run_of(second), 1.0)
        self.round(1.0)
        self.assertEqual(self.kept_from(bulk), {"w11", "w12"})

    def test_off_they_change_with_each_end(self) -> None:
        self.use(enabled=False)
        _, second = self.two_racks()
        self.gang()
        bulk = self.submit(work(8, 8))
        self.round(0.0)
        self.assertEqual(self.kept_from(bulk), {"w11", "w12"})
        self.finish(self.run_of(second), 1.0)
        self.round(1.0)
        self.assertEqual(self.kept_from(bulk), {"w21", "w22"})

    def progress(self, first_percent: int, second_percent: int) -> set[str]:
        """Workers kept after progress on both racks, of which the second has one run less."""
        _, second = self.two_racks()
        self.gang()
        bulk = self.submit(work(8, 8))
        self.round(0.0)
        for each in self.cluster_state.jobs.values():
            step = each.occurrences[0].steps[0]
            run = step.tasks[0].run
            if run is not None:
                on_first = run.worker_id.startswith("w1")
                self.report(step, first_percent if on_first else second_percent, 5.0)
        self.finish(self.run_of(second), 5.0)
        self.round(5.0)
        return self.kept_from(bulk)

    def test_others_replace_them_only_if_available_within_half_the_time(self) -> None:
        self.assertEqual(self.progress(50, 60), {"w11", "w12"})
        self.use(enabled=True)
        self.assertEqual(self.progress(50, 70), {"w21", "w22"})

    def test_unusable_workers_are_replaced(self) -> None:
        self.two_racks()
        self.gang()
        bulk = self.submit(work(1, 1))
        self.round(0.0)
        self.cluster_state.workers["w11"].suspected = True
        self.round(0.5)
        self.assertEqual(self.kept_from(bulk), {"w21", "w22"})

    def test_a_cancelled_gang_frees_them_in_the_same_round(self) -> None:
        first, _ = self.two_racks()
        gang = self.gang()
        bulk = self.submit(work(1, 1))
        self.finish(self.run_of(first), 0.0)
        self.assertEqual(self.round(0.5), [])
        self.cluster_state.cancel(self.job_of(gang))
        self.assertEqual(self.round(0.6), [self.job_of(bulk)])

    def test_normal_work_is_held_back_too_and_the_reason_names_the_gang(self) -> None:
        first, _ = self.two_racks()
        self.gang()
        self.round(0.0)
        self.finish(self.run_of(first), 0.5)
        narrow = self.submit(work(1, 1), priority=NORMAL, now=0.5)
        bulk = self.submit(work(1, 1), now=0.5)
        self.assertEqual(self.round(0.5), [])
        waits = (
            Diagnosis(self.cluster_state).scan(diagnosis_context(0.5, wall_ms=wall_ms(0.5))).waits
        )
        reasons = {wait.job_id: wait.reason for wait in waits}
        self.assertEqual(reasons[self.job_of(narrow)], WaitReason.GANG_FIRST)
        self.assertEqual(reasons[self.job_of(bulk)], WaitReason.GANG_FIRST)

    def test_urgent_work_is_not_held_back(self) -> None:
        first, _ = self.two_racks()
        self.gang()
        self.round(0.0)
        self.finish(self.run_of(first), 0.5)
        urgent = self.submit(work(1, 1, 2.0), priority=URGENT, now=0.5)
        self.assertEqual(self.round(0.5), [self.job_of(urgent)])

    def test_the_gang_whose_slack_ends_first_comes_first(self) -> None:
        self.workers(racks=1, each=2)
        for name in ("w11", "w12"):
            self.occupy(work(8, 1, 20.0), name)
        loose = self.gang()
        self.round(0.0)
        tight = self.submit(work(2, 8, 1.0, gang=True, same_rack=True), priority=NORMAL, now=0.5)
        self.round(0.5)
        self.round(1.0)
        self.assertEqual(self.kept_from(tight), set())
        self.assertEqual(self.kept_from(loose), {"w11", "w12"})

    def test_an_older_step_of_the_same_priority_is_held_back_for_a_time_only(self) -> None:
        first, _ = self.two_racks()
        self.cluster_state.workers["w21"].suspected = True
        older = self.submit(work(1, 2), priority=NORMAL, now=0.0)
        self.gang(now=0.1)
        self.round(0.1)
        self.finish(self.run_of(first), 0.5)
        self.finish(first.tasks[1].run, 0.5)  # type: ignore[arg-type]
        self.assertEqual(self.round(0.1 + EQUAL_HELD_S), [])
        self.assertEqual(self.round(0.1 + EQUAL_HELD_S + MOMENT_S), [self.job_of(older)])

    def bulk_is_held_back(self, gang_accepted_s: float, waited_s: float) -> bool:
        """Whether bulk work that has waited for a time is held back for a gang."""
        self.use(enabled=True)
        first, _ = self.two_racks()
        self.cluster_state.workers["w21"].suspected = True
        bulk = self.submit(work(1, 1))
        bulk.waiting_since_s = 0.0
        for task in first.tasks:
            task.preemptions = MAX_TASK_PREEMPTIONS
        self.finish(self.run_of(first), 0.5)
        self.gang(now=gang_accepted_s)
        started = self.round(waited_s - MOMENT_S / 2) + self.round(waited_s)
        return self.job_of(bulk) not in started

    def test_bulk_work_is_held_back_for_a_time_only(self) -> None:
        for limit_s, gang_age_s in ((LOWER_HELD_S, 0.0), (LONGEST_HELD_S, 10.0)):
            accepted_s = limit_s - gang_age_s
            self.assertTrue(self.bulk_is_held_back(accepted_s, limit_s))
            self.assertFalse(self.bulk_is_held_back(accepted_s, limit_s + MOMENT_S))

    def test_a_gang_short_of_slack_holds_bulk_work_back_for_longer(self) -> None:
        """A backlog of bulk work took the room back that had just been made for a gang."""
        limit_s = LOWER_HELD_S + MOMENT_S
        self.assertFalse(self.bulk_is_held_back(limit_s - 6.9, limit_s))
        self.assertTrue(self.bulk_is_held_back(limit_s - 7.1, limit_s))

    def test_beside_an_idle_pool_work_is_held_back_only_for_gangs_short_of_slack(self) -> None:
        """The kept workers themselves made the pool look idle, and bulk work filled them."""
        for now, expected in ((7.0, 1), (7.0 + MOMENT_S, 0)):
            self.use(enabled=True)
            self.workers(racks=1, each=4)
            self.occupy(work(7, 1, 60.0), "w11")
            self.submit(work(4, 8, gang=True, same_rack=True), priority=NORMAL)
            self.round(0.0)
            self.submit(work(1, 1), now=now)
            self.assertEqual(len(self.round(now)), expected)

    def test_nothing_stalls_for_it_beside_an_idle_pool(self) -> None:
        self.workers(racks=1, each=4)
        self.occupy(work(7, 1, 60.0, once=True), "w11")
        self.submit(work(4, 8, gang=True, same_rack=True), priority=NORMAL)
        self.round(0.0)
        bulk = self.submit(work(1, 1), now=8.0)
        self.assertEqual(self.round(8.0), [])
        self.assertEqual(self.round(8.0 + IDLE_POOL_WAIT_S), [])
        self.assertEqual(self.round(8.0 + IDLE_POOL_WAIT_S + MOMENT_S), [self.job_of(bulk)])


class WorkInTheWayTest(CrowdCase):
    """A gang of a whole rack waited without end where each rack held other normal work."""

    def first_start_s(self, *, enabled: bool) -> float | None:
        """When a gang of a rack starts beside a stream of narrow normal work."""
        self.use(enabled=enabled)
        self.workers(racks=2, each=2)
        gang = work(4, 4, gang=True, same_rack=True)
        found: list[StepState] = []

        def submit(now: float) -> None:
            self.submit(work(2, 2, 4.0), priority=NORMAL, now=now)
            if now == 6.0:
                found.append(self.submit(gang, priority=NORMAL, now=now))

        self.play(60.0, submit)
        done_s = self.done_s.get(found[0])
        return None if done_s is None else done_s - 6.0 - 6.0

    def test_a_gang_short_of_slack_waits_for_the_work_that_ends_soonest(self) -> None:
        self.assertIsNone(self.first_start_s(enabled=False))
        start_s = self.first_start_s(enabled=True)
        assert start_s is not None
        self.assertLessEqual(start_s, 13.0)

    def test_a_gang_with_slack_left_does_not(self) -> None:
        for now, expected in ((7.0, 0), (7.0 + MOMENT_S, 2)):
            self.use(enabled=True)
            self.workers(racks=1, each=2)
            for name in ("w11", "w12"):
                self.occupy(work(7, 1, 60.0), name, priority=NORMAL)
            self.submit(work(2, 8, gang=True, same_rack=True), priority=NORMAL)
            narrow = self.submit(work(1, 1), now=now)
            narrow.waiting_since_s = now
            kept = self.cluster_state.planner.waits.kept_from
            self.assertEqual(self.round(now) == [], bool(expected))
            workers = self.cluster_state.workers.values()
            test = kept(narrow)
            self.assertEqual(sum(test is not None and test(w) for w in workers), expected)

    def test_the_workers_that_are_free_soonest_are_chosen(self) -> None:
        self.workers(each=3)
        self.occupy(work(1, 8, 9.0), "w11")
        self.occupy(work(2, 4, 4.0), "w12")
        self.occupy(work(1, 8, 6.0), "w13")
        gang = self.submit(work(2, 8, gang=True), priority=NORMAL)
        workers = list(self.cluster_state.workers.values())
        end_s, chosen = soonest_by_ends(gang, workers, 1.0)
        self.assertEqual(end_s, 5.0)
        self.assertEqual([worker.worker_id for worker in chosen], ["w12", "w13"])
        self.assertEqual(soonest_by_ends(gang, workers[:1], 1.0), (math.inf, ()))


DUE_S = 3 * 6.0 + 1.0 - 6.0 - PREEMPTION_SLACK_S
"""When the slack of a normal gang of 6 s is no longer above the limit for preemption."""


class GangPreemptionTest(CrowdCase):
    """Gangs were late by up to 29 s behind bulk work that could wait."""

    def gang(self, count: int = 2, accelerators: int = 8, now: float = 0.0) -> StepState:
        return self.submit(
            work(count, accelerators, gang=True, same_rack=True), priority=NORMAL, now=now
        )

    def full_rack(self, workers: int, job: Step, number: int = 1) -> list[StepState]:
        """A rack that is full of one kind of bulk work, and its running steps."""
        made = [record(f"w{number}{each}", rack=f"r{number}") for each in range(1, workers + 1)]
        for each in made:
            self.cluster_state.set_worker(each, 0.0)
        return [self.occupy(job, each.worker_id) for each in made]

    def stopped(self, now: float) -> list[str]:
        """Jobs whose runs are stopped in a round, one id for each run."""
        self.round(now)
        return sorted(stop.task.job_id for stop in self.changes.stops)

    def test_bulk_work_is_stopped_once_slack_runs_out(self) -> None:
        for enabled, expected in ((True, 16), (False, 0)):
            self.use(enabled=enabled)
            self.full_rack(2, work(8, 1, 60.0))
            gang = self.gang()
            self.assertEqual(self.stopped(0.0), [])
            self.assertEqual(self.stopped(DUE_S), [])
            self.assertEqual(len(self.stopped(DUE_S + MOMENT_S)), expected)
            counts = self.cluster_state.planner.take_counts()
            self.assertEqual(counts["gang_preemptions"], expected)
            self.assertIsNone(self.started_at(gang))

    def test_the_gang_starts_on_the_room_and_bulk_work_does_not_take_it_back(self) -> None:
        fillers = self.full_rack(2, work(8, 1, 60.0))
        gang = self.gang()
        self.play(DUE_S + 2, lambda now: None)
        self.assertEqual(self.started_at(gang), DUE_S + 1)
        self.assertEqual([step.preemptions for step in fillers], [8, 8])
        self.assertEqual(fillers[0].tasks[0].preemptions, 1)

    def test_no_work_of_the_same_or_a_higher_priority_is_stopped(self) -> None:
        self.workers(each=2)
        self.occupy(work(8, 1, 60.0), "w11", priority=NORMAL)
        self.occupy(work(8, 1, 60.0), "w12", priority=URGENT)
        self.gang()
        self.stopped(0.0)
        self.assertEqual(self.stopped(DUE_S + 1), [])

    def test_at_most_64_tasks_are_stopped_for_one_gang(self) -> None:
        for workers, expected in ((8, MAX_STOPPED_TASKS), (9, 0)):
            self.use(enabled=True)
            self.full_rack(workers, work(8, 1, 60.0))
            self.gang(workers)
            self.stopped(0.0)
            self.assertEqual(len(self.stopped(DUE_S + 1)), expected)

    def test_one_gang_at_a_time(self) -> None:
        self.full_rack(2, work(8, 1, 60.0), number=1)
        self.full_rack(2, work(8, 1, 60.0), number=2)
        gangs = [self.gang(), self.gang()]
        self.round(0.0)
        self.round(1.0)
        self.assertEqual(len(self.stopped(DUE_S + 0.5)), 16)
        self.assertEqual(self.stopped(DUE_S + 0.6), [])
        self.play(DUE_S + 4, lambda now: None, begin_s=DUE_S + 1)
        starts = [self.started_at(gang) or 0 for gang in gangs]
        self.assertEqual(len(set(starts)), 2, starts)
        self.assertLessEqual(max(starts), DUE_S + 3)

    def test_a_stop_that_does_not_come_blocks_other_gangs_for_a_time_only(self) -> None:
        """A worker that does not answer would otherwise end the help for every gang."""
        self.full_rack(2, work(8, 1, 60.0), number=1)
        self.full_rack(2, work(8, 1, 60.0), number=2)
        self.gang()
        self.gang(now=2.0)
        self.round(2.0)
        self.round(3.0)
        self.assertEqual(len(self.stopped(DUE_S + 0.5)), 16)
        self.assertEqual(self.stopped(DUE_S + 0.5 + RESERVATION_TIMEOUT_S), [])
        late_s = DUE_S + 0.5 + RESERVATION_TIMEOUT_S + MOMENT_S
        self.assertEqual(len(self.stopped(late_s)), 16)

    def test_a_task_is_not_stopped_a_third_time(self) -> None:
        for preemptions, expected in ((1, 8), (2, 0)):
            self.use(enabled=True)
            filler = self.full_rack(1, work(8, 1, 60.0))[0]
            for task in filler.tasks:
                task.preemptions = preemptions
            self.gang(1)
            self.stopped(0.0)
            self.assertEqual(len(self.stopped(DUE_S + 1)), expected)

    def test_a_task_that_ends_sooner_than_a_stop_is_spared(self) -> None:
        """12.6 s of work at 97 percent end within 0.39 s, at 96 percent within 0.53 s."""
        for percent, expected in ((97, 0), (96, 8)):
            self.assertEqual(self.stopped_at(percent, DUE_S + 1.1), expected)

    def test_a_task_that_ends_while_the_gang_can_wait_is_spared(self) -> None:
        """1.49 s of slack, 0.5 s less for the start: at 93 percent 0.87 s are left, at 92 1.0 s."""
        for percent, expected in ((93, 0), (92, 8)):
            self.assertEqual(self.stopped_at(percent, DUE_S + MOMENT_S), expected)

    def stopped_at(self, percent: int, now: float) -> int:
        """Bulk tasks of a worker, as far as reported, that are stopped for a gang."""
        self.use(enabled=True)
        filler = self.full_rack(1, work(8, 1, 60.0))[0]
        self.gang(1)
        self.stopped(0.0)
        self.report(filler, percent, now)
        return len(self.stopped(now))

    def test_a_task_that_does_not_end_as_expected_is_stopped_in_time(self) -> None:
        filler = self.full_rack(1, work(8, 1, 60.0))[0]
        self.gang(1)
        self.stopped(0.0)
        self.report(filler, 93, DUE_S + MOMENT_S)
        self.assertEqual(self.stopped(DUE_S + MOMENT_S), [])
        self.report(filler, 93, DUE_S + 1)
        self.assertEqual(len(self.stopped(DUE_S + 1)), 8)

    def test_free_room_counts_and_only_the_difference_is_stopped(self) -> None:
        """All narrow work on the kept workers was stopped, also beside room that had been freed."""
        self.workers(each=2)
        self.occupy(work(3, 1, 60.0), "w11")
        self.occupy(work(8, 1, 60.0), "w12")
        self.gang(3, 4)
        self.stopped(0.0)
        self.assertEqual(len(self.stopped(DUE_S + 1)), 3 + 4)

    def test_the_rack_where_least_is_lost_is_taken_instead_of_the_kept_one(self) -> None:
        """The work on the kept workers had run for long by the time it was stopped."""
        old = self.full_rack(1, work(8, 1, 60.0), number=1)[0]
        young = self.full_rack(1, work(8, 1, 60.0), number=2)[0]
        self.gang(1)
        self.stopped(0.0)
        for task in young.tasks:
            assert task.run is not None
            task.run.started_s = DUE_S - 3
        self.assertEqual(set(self.stopped(DUE_S + 1)), {self.job_of(young)})
        self.assertIsNotNone(old.tasks[0].run)

    def cleared_rack(self) -> StepState:
        """A gang that a worker of one rack is being cleared for."""
        self.full_rack(1, work(8, 1, 60.0))
        gang = self.gang(1)
        self.stopped(0.0)
        self.assertEqual(len(self.stopped(DUE_S + 1)), 8)
        return gang

    def stop_ends(self, now: float) -> None:
        """End the stops of all runs."""
        for worker in self.cluster_state.workers.values():
            for run in list(worker.runs.values()):
                if run.stopping:
                    self.finish(run, now, EndKind.STOPPED)

    def test_a_gang_with_less_slack_does_not_take_the_room(self) -> None:
        """Gangs in turn took the room of each other, and more work was stopped for each."""
        gang = self.cleared_rack()
        now = DUE_S + 1.4
        tight = self.submit(work(1, 4, gang=True), priority=NORMAL, now=now - 13.0)
        tight.waiting_since_s = now - 13.0
        self.stop_ends(now)
        self.assertEqual(self.round(now), [self.job_of(gang)])
        self.assertIsNone(tight.tasks[0].run)

    def test_the_room_is_kept_for_a_time_only(self) -> None:
        """A gang that can't start would otherwise keep the workers from all other gangs."""
        for late_s, expected in ((0.0, 0), (MOMENT_S, 1)):
            self.use(enabled=True)
            self.cleared_rack()
            now = DUE_S + 1 + RESERVATION_TIMEOUT_S + late_s
            tight = self.submit(work(1, 4, gang=True), priority=NORMAL, now=now - 16.0)
            held = self.cluster_state.workers["w11"]
            for run in list(held.runs.values())[:6]:
                self.finish(run, now, EndKind.STOPPED)
            started = self.round(now)
            self.assertEqual(started.count(self.job_of(tight)), expected)

    def test_urgent_work_takes_other_workers_first(self) -> None:
        self.cleared_rack()
        now = DUE_S + 1.4
        self.cluster_state.set_worker(record("w21", rack="r2"), now)
        self.stop_ends(now)
        urgent = self.submit(work(1, 4, 2.0), priority=URGENT, now=now)
        self.round(now)
        self.assertEqual(self.run_of(urgent).worker_id, "w21")

    def test_urgent_work_takes_the_room_if_there_is_no_other(self) -> None:
        gang = self.cleared_rack()
        now = DUE_S + 1.4
        self.stop_ends(now)
        urgent = self.submit(work(1, 4, 2.0), priority=URGENT, now=now)
        self.assertEqual(self.round(now), [self.job_of(urgent)])
        self.assertIsNone(gang.tasks[0].run)

    def test_the_room_is_not_that_of_a_gang_with_more_slack_any_more(self) -> None:
        """Until the next round the workers counted as kept for the gang that was found first."""
        self.workers(each=2)
        loose, gang = self.gang(1), self.gang(1)
        kept = KeptWorkers(Slack(), lambda job: SERVICE)
        workers = list(self.cluster_state.workers.values())
        kept.begin_round(0.0)
        kept.clear_room(loose, workers, -1.0)
        kept.clear_room(gang, workers[:1], 1.0)
        self.assertEqual([kept.is_others(each, loose) for each in workers], [True, False])
        self.assertEqual((kept.cleared(gang), kept.cleared(loose)), ((workers[0],), ()))

    def test_room_that_normal_work_is_about_to_leave_is_kept_too(self) -> None:
        """The workers were given up in the next round, and other gangs took what was freed."""
        self.workers(each=1)
        ending = self.occupy(work(1, 4, 13.0), "w11", priority=NORMAL)
        self.occupy(work(4, 1, 60.0), "w11")
        gang = self.gang(1)
        self.stopped(0.0)
        self.report(ending, 98, DUE_S + 1)
        self.assertEqual(len(self.stopped(DUE_S + 1)), 4)
        now = DUE_S + 1.2
        self.stop_ends(now)
        tight = self.submit(work(1, 4, gang=True), priority=NORMAL, now=now - 13.0)
        tight.waiting_since_s = now - 13.0
        self.assertEqual(self.round(now), [])
        self.finish(self.run_of(ending), now + 0.1)
        self.assertEqual(self.round(now + 0.1), [self.job_of(gang)])

    def test_the_gang_starts_on_its_room_and_leaves_other_workers_free(self) -> None:
        gang = self.cleared_rack()
        now = DUE_S + 1.4
        self.cluster_state.set_worker(record("w21", rack="r2"), now)
        self.stop_ends(now)
        self.round(now)
        self.assertEqual(self.run_of(gang).worker_id, "w11")

    def test_work_that_may_run_only_once_is_not_stopped(self) -> None:
        self.full_rack(1, work(8, 1, 60.0, once=True))
        self.gang(1)
        self.stopped(0.0)
        self.assertEqual(self.stopped(DUE_S + 1), [])

    def test_the_run_that_loses_least_is_stopped_first(self) -> None:
        self.workers(each=1)
        self.occupy(work(1, 4, 30.0), "w11", now=7.6)
        young = self.occupy(work(1, 4, 30.0), "w11", now=9.0)
        self.gang(1, 4)
        self.stopped(0.0)
        self.assertEqual(self.stopped(11.6), [self.job_of(young)])

    def test_the_loss_counts_double_where_the_stop_makes_the_job_late(self) -> None:
        """Bulk work with an objective until 16 s would be done at 15 s, or at 18 s if stopped."""
        self.workers(each=1)
        old = self.occupy(work(1, 4), "w11", now=7.6)
        tight = self.occupy(work(1, 4), "w11", now=9.0, accepted_s=-5.0)
        self.gang(1, 4)
        self.stopped(0.0)
        self.assertEqual(self.stopped(11.6), [self.job_of(old)])
        self.assertIsNotNone(tight.tasks[0].run)

    def test_nothing_is_stopped_for_a_gang_that_would_be_late_anyway(self) -> None:
        for accepted_s, expected in ((-13.0, 8), (-13.0 - MOMENT_S, 0), (-58.0, 0)):
            self.use(enabled=True)
            self.full_rack(1, work(8, 1, 90.0))
            self.gang(1, now=accepted_s)
            self.assertEqual(len(self.stopped(0.0)), expected)

    def late_gangs(self, *, enabled: bool) -> int:
        """Gangs of half a rack that are late beside a stream of long bulk work."""
        self.use(enabled=enabled)
        self.workers(racks=2, each=4)
        gangs: list[StepState] = []

        def submit(now: float) -> None:
            self.submit(work(6, 1, 16.0), now=now, account="bulk")
            if now >= 8 and now % 4 == 0:
                gangs.append(self.gang(2, 8, now))

        self.play(60.0, submit)
        limit_ms = wall_ms(40)
        due = [gang for gang in gangs if gang.occurrence.job.accepted.accepted_ms <= limit_ms]
        self.assertEqual(len(due), 9)
        return sum(self.is_late(gang) for gang in due)

    def test_a_stream_of_bulk_work_makes_no_normal_gang_late(self) -> None:
        """Each gap used to go to the narrow tasks; normal gangs were late by up to 29 s."""
        self.assertGreaterEqual(self.late_gangs(enabled=False), 6)
        self.assertEqual(self.late_gangs(enabled=True), 0)

    def test_every_task_of_a_crowd_is_done_in_the_end(self) -> None:
        """Stops and kept workers must delay bulk work for a time only."""
        self.workers(racks=2, each=2)
        steps: list[StepState] = []

        def submit(now: float) -> None:
            if now < 40:
                steps.append(self.submit(work(4, 1, 5.0), now=now))
            if now < 40 and now % 5 == 0:
                steps.append(self.gang(2, 8, now))
            if now < 40 and now % 7 == 0:
                steps.append(self.submit(work(2, 4, 2.0, gang=True), priority=URGENT, now=now))

        self.play(220.0, submit)
        self.assertEqual([step for step in steps if not step.finished], [])


class VictimsOfUrgentWorkTest(CrowdCase):
    """843 tasks of gangs were stopped for urgent work on a day, 208 of them more than once."""

    def crowd(self, *jobs: Step, priority: int = NORMAL, enabled: bool = True) -> list[StepState]:
        """One rack with a worker for each job; all work began at the same time."""
        self.use(enabled=enabled)
        self.workers(each=len(jobs))
        return [
            self.occupy(job, f"w1{number}", priority=BULK if not job.gang else priority)
            for number, job in enumerate(jobs, start=1)
        ]

    def stopped_for(self, job: Step, now: float = 5.0) -> set[str]:
        self.submit(job, priority=URGENT, now=now)
        self.round(now)
        return {stop.task.job_id for stop in self.changes.stops}

    def test_bulk_work_is_stopped_before_gangs(self) -> None:
        """The gang has just begun, so that its stop would lose less than that of the bulk work."""
        for enabled in (True, False):
            self.crowd(work(1, 8, 60.0), enabled=enabled)
            self.cluster_state.set_worker(record("w12"), 0.0)
            gang = self.occupy(work(1, 8, 60.0, gang=True), "w12", priority=NORMAL, now=30.0)
            stopped = self.stopped_for(work(1, 8, 2.0), now=40.0)
            self.assertEqual(self.job_of(gang) in stopped, not enabled)
            self.assertEqual(len(stopped), 1)

    def test_a_gang_is_stopped_where_bulk_work_gives_no_room(self) -> None:
        bulk, gang = self.crowd(work(4, 1, 60.0), work(2, 4, 60.0, gang=True))
        self.occupy(work(1, 4, 60.0, once=True), "w11")
        self.assertEqual(self.stopped_for(work(1, 8, 2.0)), {self.job_of(gang)})
        self.assertIsNotNone(bulk.tasks[0].run)

    def test_a_gang_that_was_stopped_before_is_the_last_resort(self) -> None:
        gang = work(2, 4, 60.0, gang=True)
        first, second = self.crowd(gang, gang)
        first.preemptions = 1
        self.assertEqual(self.stopped_for(work(1, 8, 2.0)), {self.job_of(second)})
        self.assertEqual(self.stopped_for(work(1, 8, 2.0)), {self.job_of(first)})

    def test_a_gang_on_its_last_attempt_is_the_last_resort(self) -> None:
        gang = work(2, 4, 60.0, gang=True)
        first, second = self.crowd(gang, gang)
        first.record.gang_failures = 2
        self.assertTrue(first.on_last_attempt)
        self.assertEqual(self.stopped_for(work(1, 8, 2.0)), {self.job_of(second)})
        self.assertEqual(self.stopped_for(work(1, 8, 2.0)), {self.job_of(first)})

    def test_off_the_loss_alone_decides(self) -> None:
        gang = work(2, 4, 60.0, gang=True)
        first, _ = self.crowd(gang, gang, enabled=False)
        first.preemptions = 1
        self.assertEqual(self.stopped_for(work(1, 8, 2.0)), {self.job_of(first)})

    def test_the_stop_of_a_gang_counts_once(self) -> None:
        gang = self.crowd(work(2, 4, 60.0, gang=True))[0]
        self.stopped_for(work(1, 8, 2.0))
        self.round(5.5)
        self.assertEqual(gang.preemptions, 1)

    def test_a_place_near_the_data_is_worth_the_stop_of_a_gang(self) -> None:
        """Urgent work far from its data takes three times as long."""
        self.workers(racks=2, each=1)
        self.occupy(work(1, 8, 60.0), "w11")
        gang = self.occupy(work(2, 4, 60.0, gang=True), "w21", priority=NORMAL)
        stopped = self.stopped_for(work(1, 8, 2.0, data_rack="r2"))
        self.assertEqual(stopped, {self.job_of(gang)})

    def test_urgent_work_waits_no_longer_for_it(self) -> None:
        """In a crowd of gangs, bulk and urgent work, each urgent job starts as soon as before."""
        waits: dict[bool, list[float]] = {}
        for enabled in (False, True):
            self.use(enabled=enabled)
            self.workers(racks=3, each=4)
            urgent: list[StepState] = []

            def submit(now: float, urgent: list[StepState] = urgent) -> None:
                self.submit(work(5, 1, 6.0), now=now, account="bulk")
                if now % 4 == 0:
                    self.submit(work(6, 4, gang=True), priority=NORMAL, now=now)
                if now % 3 == 0:
                    gang = work(2, 8, 2.0, gang=True, same_rack=True)
                    urgent.append(self.submit(gang, priority=URGENT, now=now))

            self.play(60.0, submit)
            done = [self.done_s[step] for step in urgent[:18]]
            accepted = [step.occurrence.job.accepted.accepted_ms for step in urgent[:18]]
            waits[enabled] = [
                round(wall_ms(end_s) - at_ms) / 1000
                for end_s, at_ms in zip(done, accepted, strict=True)
            ]
        self.assertLessEqual(max(waits[True]), max(waits[False]))
        self.assertLessEqual(sum(waits[True]), sum(waits[False]))


class SparedVictimsTest(CrowdCase):
    """Of 52 jobs that preempted others, 25 never started on the room that was freed."""

    def crowd(self, *percents: int, now: float = 10.0, **more: object) -> list[StepState]:
        """A worker full of bulk work of 20 s for each progress, which is reported at a time."""
        self.workers(each=len(percents))
        steps = []
        for number, percent in enumerate(percents, start=1):
            steps.append(self.occupy(work(1, 8, 20.0, **more), f"w1{number}"))
            self.report(steps[-1], percent, now)
        return steps

    def preempt(self, now: float = 10.0) -> tuple[StepState, list[str]]:
        step = self.submit(work(1, 8, 2.0), priority=URGENT, now=now)
        return step, self.stopped(now)

    def stopped(self, now: float) -> list[str]:
        self.round(now)
        return [stop.task.job_id for stop in self.changes.stops]

    def spared(self) -> int:
        return self.cluster_state.planner.take_counts()["preemptions_spared"]

    def test_a_run_that_ends_within_the_time_of_a_stop_is_spared(self) -> None:
        """After 10 s at 97 percent it has 0.31 s left, at 96 percent 0.42 s; a stop takes 0.4 s."""
        for percent, expected in ((97, 0), (96, 1)):
            self.use(enabled=True)
            self.crowd(percent)
            self.assertEqual(len(self.preempt()[1]), expected)
        self.use(enabled=False)
        self.crowd(97)
        self.assertEqual(len(self.preempt()[1]), 1)

    def test_the_step_starts_as_soon_as_the_run_has_ended(self) -> None:
        (bulk,) = self.crowd(97)
        urgent, _ = self.preempt()
        self.submit(work(8, 1), now=10.0)
        self.finish(self.run_of(bulk), 10.3)
        self.assertEqual(self.round(10.3)[0], self.job_of(urgent))
        self.assertEqual(self.spared(), 1)

    def test_a_run_that_does_not_end_as_expected_is_stopped(self) -> None:
        """Urgent work must not wait for a straggler that reports 97 percent for seconds."""
        (bulk,) = self.crowd(97)
        self.preempt()
        due_s = self.cluster_state.planner.next_loan_s
        assert due_s is not None
        self.assertAlmostEqual(due_s, 10.0 + USUAL_STOP_S)
        self.assertEqual(self.stopped(due_s - MOMENT_S), [])
        self.assertEqual(self.stopped(due_s), [self.job_of(bulk)])
        self.assertEqual(self.spared(), 0)

    def test_a_run_that_must_continue_by_then_is_not_stopped(self) -> None:
        """A crash elsewhere limits the starts of a task while its stop is put off."""
        self.crowd(97, 50)
        self.preempt()
        isolation = self.cluster_state.planner._isolation
        due_s = 10.0 + USUAL_STOP_S
        limited = {self.run_of(step) for step in self.bulk_near_end()}
        with unittest.mock.patch.object(isolation, "has_limited_starts", limited.__contains__):
            stopped = self.stopped(due_s)
        self.assertEqual(len(stopped), 1)
        self.assertNotIn(stopped[0], {run.task.name.job_id for run in limited})

    def bulk_near_end(self) -> list[StepState]:
        """The steps whose only run is about to end."""
        runs = [run for w in self.cluster_state.workers.values() for run in w.runs.values()]
        return [run.task.step for run in runs if run.percent == 97]

    def test_a_stop_that_is_overdue_asks_for_no_round(self) -> None:
        """A due time in the past made the scheduler plan without pause beside a silent worker."""
        (bulk,) = self.crowd(97)
        self.preempt()
        self.cluster_state.workers[self.run_of(bulk).worker_id].suspected = True
        self.assertEqual(self.stopped(10.0 + USUAL_STOP_S), [])
        self.assertIsNone(self.cluster_state.planner.next_loan_s)

    def test_it_is_waited_for_only_once(self) -> None:
        (bulk,) = self.crowd(97)
        first, _ = self.preempt()
        self.cluster_state.cancel(self.job_of(first))
        self.report(bulk, 98, 10.0 + USUAL_STOP_S)
        self.assertEqual(self.preempt(10.0 + USUAL_STOP_S)[1], [self.job_of(bulk)])

    def test_a_cancelled_job_spares_its_victims(self) -> None:
        self.crowd(97)
        urgent, _ = self.preempt()
        self.cluster_state.cancel(self.job_of(urgent))
        self.assertEqual(self.stopped(10.5), [])
        self.assertEqual(self.spared(), 1)

    def test_a_job_that_fits_elsewhere_by_now_spares_its_victims(self) -> None:
        self.crowd(97, 50)
        urgent, _ = self.preempt()
        self.cluster_state.set_worker(record("w99"), 10.1)
        self.assertEqual(self.round(10.1), [self.job_of(urgent)])
        self.assertEqual(self.stopped(10.5), [])
        self.assertEqual(self.spared(), 1)

    def test_the_others_are_stopped_at_once(self) -> None:
        self.workers(each=1)
        soon = self.occupy(work(1, 4, 20.0), "w11")
        later = self.occupy(work(1, 4, 20.0), "w11")
        self.report(soon, 97, 10.0)
        self.report(later, 50, 10.0)
        self.assertEqual(self.preempt()[1], [self.job_of(later)])

    def test_a_gang_ends_with_its_slowest_member(self) -> None:
        self.workers(each=2)
        gang = self.submit(work(2, 8, 20.0, gang=True), priority=BULK)
        for number, task in enumerate(gang.tasks, start=1):
            self.cluster_state.assign(task, self.cluster_state.workers[f"w1{number}"], 1, 0.0)
            assert task.run is not None
            self.cluster_state.run_started(task.run, 0.0)
            row = RunningTask(str(task.name), 1, "", 99 if number == 1 else 90)
            self.cluster_state.worker_reported(f"w1{number}", [row], 10.0)
        self.assertEqual(len(self.preempt()[1]), 2)

    def test_old_or_no_news_spares_nothing(self) -> None:
        self.crowd(97, now=10.0)
        self.assertEqual(len(self.preempt(10.0 + MAX_REPORT_AGE_S + MOMENT_S)[1]), 1)
        self.use(enabled=True)
        self.crowd(2)
        self.assertEqual(len(self.preempt(30.0)[1]), 1)

    def test_work_that_never_ends_is_not_waited_for(self) -> None:
        """A long-running task reports 100 percent while it works."""
        self.crowd(100, long_running=True)
        self.assertEqual(len(self.preempt()[1]), 1)


class RandomCrowdTest(CrowdCase):
    """Seeded crowds of all priorities: what nothing may break, and what the option is for."""

    SEEDS = range(6)
    CROWD_S = 45.0

    def crowd(
        self, seed: int, *, enabled: bool, urgent_share: float = 0.2
    ) -> dict[int, list[StepState]]:
        """Play a crowd that asks for more than there is, until nothing is left to do."""
        self.use(enabled=enabled)
        self.workers(racks=3, each=4)
        self.stopped_for: Counter[StepState] = Counter()
        rng = random.Random(seed)
        steps: dict[int, list[StepState]] = {URGENT: [], NORMAL: [], BULK: []}

        def submit(now: float) -> None:
            self.check()
            if now >= self.CROWD_S:
                return
            bulk = work(rng.choice((2, 5, 8, 20)), 1, rng.uniform(5, 8), once=rng.random() < 0.1)
            steps[BULK].append(self.submit(bulk, now=now, account=rng.choice("ab")))
            if rng.random() < 0.15:
                one_rack = rng.random() < 0.6
                gang = work(rng.choice((3, 6, 8)), 4, gang=True, same_rack=one_rack)
                steps[NORMAL].append(self.submit(gang, priority=NORMAL, now=now))
            if rng.random() < urgent_share:
                one_rack = rng.random() < 0.8
                gang = work(rng.choice((1, 2, 4)), 8, 2.0, gang=True, same_rack=one_rack)
                steps[URGENT].append(self.submit(gang, priority=URGENT, now=now))

        self.play(320.0, submit)
        return steps

    def round(self, now: float) -> list[str]:
        """Run a round and check what it stops."""
        started = super().round(now)
        self.check_stops()
        return started

    def check(self) -> None:
        """Check the invariants after a round."""
        for worker in self.cluster_state.workers.values():
            self.assertTrue(worker.used.fits(worker.record.capacity))
            for run in worker.runs.values():
                step = run.task.step
                self.assertFalse(run.stopping and step.step.once, run.task.name)
                if step.step.gang and not run.stopping:
                    self.assertTrue(all(t.run and not t.run.stopping for t in step.tasks))

    def test_nothing_breaks_and_everything_is_done(self) -> None:
        for seed in self.SEEDS:
            steps = self.crowd(seed, enabled=True)
            left = [step for each in steps.values() for step in each if not step.finished]
            self.assertEqual(left, [], seed)

    def test_no_more_is_stopped_at_once_than_the_gang_needs(self) -> None:
        """More would be work that is lost for nothing."""
        stopped = 0
        for seed in self.SEEDS:
            self.crowd(seed, enabled=True)
            stopped += sum(self.stopped_for.values())
        self.assertGreater(stopped, 0)

    def test_beside_no_urgent_work_no_more_is_stopped_in_all_than_the_gang_needs(self) -> None:
        """Other gangs took the room that was made for a gang, and more was stopped for it."""
        stopped = 0
        for seed in self.SEEDS:
            self.crowd(seed, enabled=True, urgent_share=0.0)
            stopped += sum(self.stopped_for.values())
            for step, accelerators in self.stopped_for.items():
                self.assertLessEqual(
                    accelerators, _needed(step), (seed, step.occurrence.job.job_id)
                )
        self.assertGreater(stopped, 0)

    def check_stops(self) -> None:
        """Check the accelerators that a round frees for each normal gang."""
        held: Counter[StepState] = Counter()
        for stop in self.changes.stops:
            job = self.cluster_state.jobs.get(stop.cause)
            if job is not None and job.priority == NORMAL:
                runs = self.cluster_state.workers[stop.worker_id].runs.values()
                names = {(run.task.name, run.number): run for run in runs}
                freed = names[stop.task, stop.number].allocation.accelerators
                held[job.occurrences[0].steps[0]] += freed
        for step, accelerators in held.items():
            self.assertLessEqual(accelerators, _needed(step))
        self.stopped_for.update(held)

    def test_fewer_gangs_are_late_and_no_urgent_job(self) -> None:
        late: dict[bool, Counter[int]] = {False: Counter(), True: Counter()}
        for enabled, counts in late.items():
            for seed in self.SEEDS:
                for priority, each in self.crowd(seed, enabled=enabled).items():
                    counts[priority] += sum(self.is_late(step) for step in each)
        self.assertLessEqual(late[True][URGENT], late[False][URGENT])
        self.assertLessEqual(late[True][NORMAL], late[False][NORMAL] // 2)


def _needed(step: StepState) -> int:
    """Accelerators that a gang needs."""
    return step.step.count * step.step.needs.accelerators
