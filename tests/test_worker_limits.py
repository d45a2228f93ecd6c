"""A worker never holds more tasks of a step than the step allows, whichever way they get there."""

from __future__ import annotations

import random
import unittest
from collections import Counter

from saddlestack.interfaces.machines import Leave
from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Step
from tests.test_cluster_state import BULK, NORMAL, PATIENT, URGENT, ClusterCase, record, step

ACCELERATORS = 8
EVENTS = 80
SEEDS = 60


class LimitCase(ClusterCase):
    def check_limits(self) -> None:
        for worker in self.cluster_state.workers.values():
            steps = Counter(run.task.step for run in worker.runs.values())
            for each, count in steps.items():
                if each.step.per_worker:
                    self.assertLessEqual(count, each.step.per_worker, worker.worker_id)

    def runs(self) -> list[Run]:
        workers = self.cluster_state.workers.values()
        return [run for worker in workers for run in worker.runs.values()]

    def step_of(self, job_id: str) -> StepState:
        return self.cluster_state.jobs[job_id].occurrences[0].steps[0]

    def fill_with_bulk(self, workers: int) -> list[str]:
        """Fill all workers with one bulk task each."""
        self.workers(each=workers)
        bulk = [self.add(step(1, ACCELERATORS), priority=BULK) for _ in range(workers)]
        self.plan()
        self.plan(PATIENT)
        self.assertEqual(len(self.runs()), workers)
        return bulk


class PreemptionTest(LimitCase):
    """An urgent step with a limit of tasks per worker that other work is preempted for.

    A worker was reserved for each of its tasks. As the preempted runs stopped one after the other,
    tasks started beside the reservation of their own step; the last one then went to a reserved
    worker that held one already.
    """

    def stop_in_turn(self, urgent: Step, workers: int) -> StepState:
        """Preempt bulk work for a step; plan a round after the end of each preempted run."""
        self.fill_with_bulk(workers)
        job = self.add(urgent, priority=URGENT)
        stops = self.plan(PATIENT + 1).stops
        self.assertTrue(stops)
        for number, stop in enumerate(stops):
            now = PATIENT + 1.1 + number / 10
            self.end(stop.task.job_id, EndKind.STOPPED, now)
            self.cluster_state.cancel(stop.task.job_id)
            self.plan(now)
            self.check_limits()
        return self.step_of(job)

    def test_each_task_gets_a_worker_of_its_own(self) -> None:
        made = self.stop_in_turn(step(3, 2, per_worker=1), 6)
        places = [task.run.worker_id for task in made.tasks if task.run is not None]
        self.assertEqual(len(set(places)), 3)

    def test_a_limit_of_two_is_kept_and_used(self) -> None:
        made = self.stop_in_turn(step(6, 2, per_worker=2), 4)
        places = Counter(task.run.worker_id for task in made.tasks if task.run is not None)
        self.assertEqual(sorted(places.values()), [2, 2, 2])

    def test_a_gang_keeps_its_limit(self) -> None:
        made = self.stop_in_turn(step(3, 2, per_worker=1, gang=True), 6)
        places = [task.run.worker_id for task in made.tasks if task.run is not None]
        self.assertEqual(len(set(places)), 3)

    def test_a_leader_that_takes_over_during_the_stops_keeps_the_limit(self) -> None:
        """The store names the runs, and no reservation or pending stop."""
        for limit, count in ((1, 3), (2, 6)):
            with self.subTest(limit=limit):
                self.setUp()
                self.fill_with_bulk(6)
                urgent = self.add(step(count, 2, per_worker=limit), priority=URGENT)
                stops = self.plan(PATIENT + 1).stops
                self.end(stops[0].task.job_id, EndKind.STOPPED, PATIENT + 1.1)
                self.plan(PATIENT + 1.1)
                self.assertTrue(any(task.run for task in self.step_of(urgent).tasks))
                old = self.cluster_state.jobs
                self.cluster_state = ClusterState()
                self.workers(each=6)
                for each in old.values():
                    records = {0: each.occurrences[0].to_record()} if each.begun else {}
                    self.cluster_state.add_job(each.accepted, records)
                self.check_limits()
                for number in range(12):
                    now = PATIENT + 2 + number / 4
                    for run in self.runs():
                        if run.stopping:
                            self.end_run(run.task, EndKind.STOPPED, now)
                            break
                    self.plan(now)
                    self.check_limits()
                self.assertTrue(all(task.run for task in self.step_of(urgent).tasks))

    def test_what_is_reserved_goes_back_when_all_tasks_have_started(self) -> None:
        self.stop_in_turn(step(3, 2, per_worker=1), 6)
        for worker in self.cluster_state.workers.values():
            self.assertEqual(worker.reserved.accelerators, 0)

    def test_a_place_goes_back_when_a_task_starts_on_another_worker(self) -> None:
        """The workers that are still awaited are needed no more."""
        self.fill_with_bulk(4)
        self.add(step(2, 2, per_worker=1), priority=URGENT)
        self.assertEqual(len(self.plan(PATIENT + 1).stops), 2)
        self.cluster_state.set_worker(record("w19", rack="r1"), PATIENT + 1)
        self.assertEqual(len(self.plan(PATIENT + 1.1).starts), 1)
        reserved = [worker.reserved.accelerators for worker in self.cluster_state.workers.values()]
        self.assertEqual(sum(reserved), 2)


class ApprovalTest(LimitCase):
    """An urgent step whose starts need the adviser's approval, which expires during the stops."""

    VALID_S = 2.0

    def approve(self, now: float, *workers: str) -> None:
        """Answer the open request of each step that asks."""
        for request in self.cluster_state.take_changes().advice_requests:
            approvals = [Leave(each, "ticket", self.VALID_S) for each in workers]
            request.step.advice.record_answer(request.workers, approvals, now)
            request.step.advice.asking = False

    def test_no_task_starts_without_approval(self) -> None:
        """Tasks were started on what was reserved for them, and their workers rejected them."""
        for gang in (False, True):
            with self.subTest(gang=gang):
                self.setUp()
                self.cluster_state.configure({}, {}, ["q"])
                self.workers(each=2)
                for worker in self.cluster_state.workers.values():
                    self.occupy(worker)
                job = self.add(step(2, 8, gang=gang), priority=URGENT)
                self.cluster_state.plan(PATIENT, 0.0)
                self.approve(PATIENT, "w11", "w12")
                stops = self.plan(PATIENT).stops
                self.assertEqual(len(stops), 2)
                for stop in stops:
                    self.end(stop.task.job_id, EndKind.STOPPED, PATIENT + 1.8)
                    self.cluster_state.cancel(stop.task.job_id)
                self.cluster_state.plan(PATIENT + 1.8, 0.0)
                self.assertIsNone(self.step_of(job).tasks[0].run)
                self.approve(PATIENT + 1.9, "w11", "w12")
                starts = self.plan(PATIENT + 1.9).starts
                self.assertEqual([start.ticket for start in starts], ["ticket", "ticket"])

    def occupy(self, worker: Worker) -> None:
        """Fill a worker with bulk work."""
        job = self.add(step(1, ACCELERATORS), priority=BULK)
        self.cluster_state.assign(self.step_of(job).tasks[0], worker, 1, 0.0)
        self.cluster_state.take_changes()


class RandomLimitsTest(LimitCase):
    """Random urgent and other steps with limits, on a full pool whose runs stop one by one."""

    def test_no_worker_exceeds_a_limit(self) -> None:
        options = (
            SchedulingOptions(),
            SchedulingOptions(worker_speeds=True, gang_priority=True, demand_forecast=True),
        )
        for each in options:
            for seed in range(SEEDS):
                with self.subTest(seed=seed, options=each):
                    self.setUp()
                    self.cluster_state = ClusterState(each)
                    self.cluster_state.configure({"depots": 24}, {})
                    self.play(random.Random(seed))

    def play(self, rng: random.Random) -> None:
        self.workers(racks=2, each=3)
        now = 0.0
        for _ in range(EVENTS):
            now += rng.uniform(0.05, 0.6)
            self.cause_event(rng, now)
            self.plan(now, now * 1000)
            self.check_limits()

    def cause_event(self, rng: random.Random, now: float) -> None:
        runs = self.runs()
        stopping = [run for run in runs if run.stopping]
        event = rng.choice(("bulk", "urgent", "normal", "stop", "stop", "stop", "end", "worker"))
        if event == "stop" and stopping:
            self.end_run(rng.choice(stopping).task, EndKind.STOPPED, now)
        elif event == "end" and runs:
            how = rng.choice((EndKind.DONE, EndKind.FAILED, EndKind.LAPSED))
            self.end_run(rng.choice(runs).task, how, now)
        elif event == "worker":
            name = rng.choice(list(self.cluster_state.workers))
            worker = self.cluster_state.workers[name]
            worker.reachable = rng.random() < 0.8
            made = record(name, rack=worker.record.rack, draining=rng.random() < 0.1)
            self.cluster_state.set_worker(made, now)
        elif event in {"bulk", "urgent", "normal"}:
            priority = {"bulk": BULK, "urgent": URGENT, "normal": NORMAL}[event]
            self.add(self.random_step(rng), priority=priority, attempts=rng.choice((1, 2, 5)))

    def random_step(self, rng: random.Random) -> Step:
        count = rng.randint(1, 6)
        return step(
            count,
            rng.choice((1, 2, 4, 8)),
            gang=count > 1 and rng.random() < 0.3,
            same_rack=rng.random() < 0.2,
            data_rack=rng.choice(("", "", "r1")),
            label=rng.choice(("", "", "r2")),
            per_worker=rng.choice((0, 1, 1, 2)),
            long_running=rng.random() < 0.1,
        )


if __name__ == "__main__":
    unittest.main()
