"""Decisions of the cluster state, one by one and under random events."""

from __future__ import annotations

import random
import unittest
import unittest.mock
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from saddlestack.codec import from_msgpack, to_msgpack
from saddlestack.interfaces.machines import Leave, Wave
from saddlestack.interfaces.workers import EndedTask, EndKind, RunningTask, WorkerRecord
from saddlestack.policy.cluster import planner
from saddlestack.policy.cluster.advice import StepAdvice
from saddlestack.policy.cluster.changes import Changes, StopReason
from saddlestack.policy.cluster.draining import SAVE_MARGIN_S
from saddlestack.policy.cluster.jobs import Task
from saddlestack.policy.cluster.pacing import adjust_pace
from saddlestack.policy.cluster.records import OccurrenceRecord, TaskStatus
from saddlestack.policy.cluster.shapes import FailedShapes
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.workers import PROBATION_S, Worker
from saddlestack.policy.retry import backoff_delay
from saddlestack.policy.upkeep import MachineStatus, WaveState
from saddlestack.work import AcceptedJob, JobRequest, JobState, Resources, Step, TaskName

SERVICE = "pool"
URGENT, NORMAL, BULK = 0, 1, 2
PATIENT = 100.0
"""Seconds after which work of lower priority may use the headroom."""


def record(
    name: str,
    *,
    rack: str = "r1",
    accelerators: int = 8,
    draining: bool = False,
    remaining_ms: int | None = None,
    hall: str = "hall",
    cold_ms: int = 0,
) -> WorkerRecord:
    return WorkerRecord(
        worker_id=name,
        service=SERVICE,
        address="127.0.0.1:1",
        data_hall=hall,
        draining=draining,
        capacity=Resources(32_000, 64_000, accelerators),
        labels=("a", rack),
        rack=rack,
        machine=f"m-{name}",
        remaining_ms=remaining_ms,
        cold_ms=cold_ms,
    )


def step(count: int, accelerators: int = 1, **more: object) -> Step:
    needs = Resources(1000, 1000, accelerators)
    return Step(count=count, needs=needs, estimate_ms=1000, **more)  # type: ignore[arg-type]


class ClusterCase(unittest.TestCase):
    """A cluster state with workers and jobs, and helpers to cause events."""

    def setUp(self) -> None:
        self.cluster_state = ClusterState()
        self.jobs = 0

    def workers(self, racks: int = 1, each: int = 2, **more: int) -> None:
        for rack in range(1, racks + 1):
            for number in range(1, each + 1):
                made = record(f"w{rack}{number}", rack=f"r{rack}", **more)  # type: ignore[arg-type]
                self.cluster_state.set_worker(made, 0.0)

    def add(
        self,
        *steps: Step,
        priority: int = URGENT,
        account: str = "depots",
        attempts: int = 3,
        times: int = 0,
        interval_ms: int = 0,
    ) -> str:
        self.jobs += 1
        job_id = f"{self.jobs:016x}"
        accepted = AcceptedJob(
            job_id=job_id,
            account=account,
            queue="q",
            service=SERVICE,
            priority=priority,
            attempts=attempts,
            accepted_ms=self.jobs,
            request=JobRequest(payload="", steps=steps, times=times, interval_ms=interval_ms),
        )
        self.cluster_state.add_job(accepted, {})
        return job_id

    def plan(self, now: float = 0.0, wall_ms: float = 0.0) -> Changes:
        self.cluster_state.plan(now, wall_ms)
        changes = self.cluster_state.take_changes()
        for start in changes.starts:
            self.cluster_state.run_started(start.run, now)
        return changes

    def end(self, job_id: str, how: EndKind, now: float = 1.0, saved: str = "") -> None:
        for worker in list(self.cluster_state.workers.values()):
            for key, run in list(worker.runs.items()):
                if key[0].job_id == job_id:
                    end = EndedTask(1, str(key[0]), run.number, how, saved)
                    self.cluster_state.run_ended(worker.worker_id, end, now)

    def end_run(self, task: Task, how: EndKind, now: float) -> None:
        """End the present run of a task, as its worker reports it."""
        assert task.run is not None
        end = EndedTask(1, str(task.name), task.run.number, how, "")
        self.cluster_state.run_ended(task.run.worker_id, end, now)

    def state(self, job_id: str) -> JobState:
        return self.cluster_state.jobs[job_id].state


class PlanningTest(ClusterCase):
    def test_a_gang_waits_until_it_fits_whole(self) -> None:
        self.workers(each=2)
        self.add(step(1, 8))
        self.plan()
        gang = self.add(step(2, 8, gang=True))
        self.assertEqual(self.plan().starts, [])
        self.end(f"{1:016x}", EndKind.DONE)
        starts = self.plan(1.0).starts
        self.assertEqual({start.run.task.name.job_id for start in starts}, {gang})
        self.assertEqual([start.run.number for start in starts], [1, 1])

    def test_a_gang_of_one_rack_stays_on_one(self) -> None:
        self.workers(racks=3, each=2)
        self.add(step(1, 8))
        self.plan()
        self.add(step(2, 8, gang=True, same_rack=True))
        places = {start.run.worker_id[:2] for start in self.plan().starts}
        self.assertEqual(len(places), 1)

    def test_a_gang_of_one_rack_waits_for_a_rack_whose_worker_is_on_trial(self) -> None:
        self.workers(racks=1, each=2)
        self.cluster_state.set_worker(record("w21", rack="r2", accelerators=4), 0.0)
        job = self.add(step(1, 1, label="r1"))
        self.plan()
        self.end(job, EndKind.FAILED)
        self.cluster_state.cancel(job)
        self.add(step(4, 4, gang=True, same_rack=True))
        self.assertEqual(self.plan(60.0).starts, [])

    def test_work_goes_near_its_data_and_elsewhere_after_a_while(self) -> None:
        self.workers(racks=2, each=1)
        self.add(step(9, 1, data_rack="r2"), priority=URGENT)
        first = self.plan().starts
        self.assertEqual({start.run.worker_id for start in first}, {"w21"})
        self.assertEqual(len(first), 8)
        later = self.plan(10.0).starts
        self.assertEqual([start.run.worker_id for start in later], ["w11"])

    def test_labels_and_spread_are_kept(self) -> None:
        self.workers(racks=2, each=1)
        self.add(step(2, 1, label="r2"))
        self.assertEqual({s.run.worker_id for s in self.plan().starts}, {"w21"})
        self.add(step(4, 1, per_worker=1))
        self.assertEqual(sorted(s.run.worker_id for s in self.plan().starts), ["w11", "w21"])

    def test_the_run_with_the_least_lost_work_is_preempted_first(self) -> None:
        self.workers(each=2)
        old = self.add(step(1, 8), priority=BULK)
        self.plan(PATIENT)
        young = self.add(step(1, 8), priority=BULK)
        self.plan(PATIENT)
        self.plan(2 * PATIENT)
        self.assertEqual(self.state(young), JobState.RUNNING)
        self.add(step(1, 8))
        stops = self.plan(2 * PATIENT + 5).stops
        self.assertEqual(
            [(s.task.job_id, s.reason) for s in stops], [(young, StopReason.PREEMPTED)]
        )
        self.assertEqual(self.state(old), JobState.RUNNING)

    def test_a_gang_is_preempted_whole(self) -> None:
        self.workers(each=2)
        self.add(step(2, 8, gang=True), priority=BULK)
        self.plan()
        self.plan(PATIENT)
        self.add(step(1, 8))
        self.assertEqual(len(self.plan(PATIENT + 1).stops), 2)

    def test_bulk_work_avoids_the_rack_that_a_waiting_gang_needs(self) -> None:
        """Gangs once waited 35 s on loaded days while later bulk work took each free worker."""
        self.workers(racks=2, each=2)
        self.add(step(8, 1, label="r1"), priority=BULK)
        self.add(step(8, 1, label="r2"), priority=BULK)
        self.plan()
        gang = self.add(step(2, 8, gang=True, same_rack=True), priority=NORMAL)
        later = self.add(step(30, 1), priority=BULK)
        starts = self.plan().starts + self.plan(PATIENT).starts
        self.assertEqual({start.run.task.name.job_id for start in starts}, {later})
        self.assertEqual(len({start.run.worker_id for start in starts}), 1)
        self.assertEqual(len(starts), 8)
        self.end(f"{1:016x}", EndKind.DONE)
        starts = self.plan(PATIENT).starts
        self.assertEqual({start.run.task.name.job_id for start in starts[:2]}, {gang})

    def test_workers_are_kept_no_longer_than_their_gang_waits(self) -> None:
        self.workers(racks=1, each=2)
        self.add(step(8, 1), priority=BULK)
        self.plan()
        gang = self.add(step(2, 8, gang=True, same_rack=True), priority=NORMAL)
        bulk = self.add(step(8, 1), priority=BULK)
        self.plan()
        self.assertEqual(self.plan(PATIENT).starts, [])
        self.cluster_state.cancel(gang)
        starts = self.plan(PATIENT).starts
        self.assertEqual({start.run.task.name.job_id for start in starts}, {bulk})

    def test_long_running_work_is_not_held_back_for_gangs(self) -> None:
        """By the user documentation a long-running task restarts however full the service is."""
        self.workers(racks=1, each=2)
        self.add(step(8, 1), priority=BULK)
        self.plan()
        self.add(step(2, 8, gang=True, same_rack=True), priority=NORMAL)
        lasting = self.add(step(2, 1, long_running=True), priority=BULK)
        starts = self.plan().starts
        self.assertEqual({start.run.task.name.job_id for start in starts}, {lasting})

    def test_an_idle_pool_keeps_no_workers_for_gangs(self) -> None:
        """Below half use, holding work back for a gang would waste capacity."""
        self.workers(racks=1, each=4)
        self.add(step(1, 8), priority=BULK)
        self.plan(PATIENT)
        self.add(step(4, 8, gang=True, same_rack=True), priority=NORMAL)
        bulk = self.add(step(2, 1), priority=BULK)
        starts = self.plan(PATIENT).starts
        self.assertEqual({start.run.task.name.job_id for start in starts}, {bulk})

    def test_the_headroom_is_in_one_rack(self) -> None:
        """Urgent gangs once found enough empty workers on calm days, but spread over all racks."""
        self.workers(racks=3, each=8)
        for _ in range(6):
            for rack in ("r1", "r2", "r3"):
                self.add(step(1, 8, label=rack), priority=NORMAL)
        self.plan(1.0)
        empty = [worker for worker in self.cluster_state.workers.values() if not worker.runs]
        by_rack = [sum(worker.record.rack == f"r{rack}" for worker in empty) for rack in (1, 2, 3)]
        self.assertGreaterEqual(max(by_rack), 4)
        gang = self.add(step(4, 8, gang=True, same_rack=True), priority=URGENT)
        changes = self.plan(1.0)
        self.assertEqual({start.run.task.name.job_id for start in changes.starts}, {gang})
        self.assertEqual(changes.stops, [])

    def test_a_young_gang_is_not_preempted_before_single_tasks(self) -> None:
        """Wide gangs that had just begun were once preempted four times on loaded days."""
        self.workers(racks=2, each=1)
        for rack in ("r1", "r2"):
            self.add(step(4, 1, label=rack))
        loose = self.add(step(4, 1, label="r1"), priority=BULK)
        self.plan()
        gang = self.add(step(4, 1, gang=True, label="r2"), priority=NORMAL)
        self.plan(2.0)
        self.add(step(1, 4))
        stops = self.plan(3.0).stops
        self.assertEqual({stop.task.job_id for stop in stops}, {loose})
        self.assertIs(self.state(gang), JobState.RUNNING)

    def test_a_job_within_its_guarantee_preempts_one_beyond_its_own(self) -> None:
        self.workers(each=2)
        self.cluster_state.configure({"depots": 8, "others": 8}, {"q": SERVICE})
        inside = self.add(step(1, 8), account="others")
        beyond = self.add(step(1, 8), account="others")
        self.plan()
        self.add(step(1, 8))
        stops = self.plan(1.0).stops
        self.assertEqual([stop.task.job_id for stop in stops], [beyond])
        self.assertEqual(self.state(inside), JobState.RUNNING)

    def test_a_job_beyond_its_guarantee_preempts_no_equals(self) -> None:
        self.workers(each=1)
        self.cluster_state.configure({"depots": 4}, {"q": SERVICE})
        self.add(step(1, 8), account="others")
        self.plan()
        self.add(step(1, 8))
        self.assertEqual(self.plan(1.0).stops, [])

    def test_a_suspected_worker_gets_no_new_work(self) -> None:
        self.workers(each=2)
        first, second = self.cluster_state.workers["w11"], self.cluster_state.workers["w12"]
        first.suspected = True
        self.add(step(8, 1))
        self.assertEqual({s.run.worker_id for s in self.plan().starts}, {"w12"})
        second.suspected = True
        self.add(step(1, 1))
        self.assertEqual(self.plan().starts, [])
        first.suspected = second.suspected = False
        self.assertEqual(len(self.plan().starts), 1)

    def test_a_reservation_waits_for_its_suspected_worker(self) -> None:
        self.cluster_state.configure({"depots": 16}, {})
        self.workers(each=2)
        bulk = self.add(step(16, 1), priority=BULK)
        self.plan(PATIENT)
        self.add(step(2, 8, gang=True))
        stops = self.plan(PATIENT).stops
        self.assertTrue(stops)
        self.end(bulk, EndKind.STOPPED, PATIENT)
        self.cluster_state.workers["w11"].suspected = True
        self.assertEqual(self.plan(PATIENT + 0.1).starts, [])
        self.cluster_state.workers["w11"].suspected = False
        self.assertEqual(len(self.plan(PATIENT + 0.2).starts), 2)

    def test_a_reservation_is_released_when_its_worker_is_gone(self) -> None:
        self.workers(each=1)
        self.add(step(1, 8), priority=BULK)
        self.plan()
        self.plan(PATIENT)
        self.add(step(1, 8))
        self.plan(PATIENT + 1)
        self.cluster_state.unlist_worker("w11")
        self.plan(PATIENT + 2)
        self.assertEqual(self.cluster_state.workers["w11"].reserved, Resources())

    def test_failures_count_per_task_and_once_for_a_gang(self) -> None:
        self.workers(each=2)
        alone = self.add(step(1), attempts=2)
        gang = self.add(step(3, gang=True), attempts=2)
        for now in (0.0, 60.0):
            self.plan(now)
            self.end(alone, EndKind.FAILED, now)
            self.end(gang, EndKind.FAILED, now)
            expected = JobState.RUNNING if now == 0.0 else JobState.FAILED
            self.assertEqual((self.state(alone), self.state(gang)), (expected, expected))

    def test_the_end_of_one_member_completes_its_gang(self) -> None:
        self.workers(each=2)
        gang = self.add(step(2, 8, gang=True))
        run = self.plan().starts[0].run
        end = EndedTask(1, str(run.task.name), 1, EndKind.DONE, "")
        self.cluster_state.run_ended(run.worker_id, end, 1.0)
        self.assertEqual(self.state(gang), JobState.COMPLETED)
        self.assertEqual(sum(len(w.runs) for w in self.cluster_state.workers.values()), 1)

    def test_a_failing_worker_is_quarantined_then_tried_with_one_task(self) -> None:
        self.workers(each=1)
        job = self.add(step(2, 1))
        self.plan()
        self.end(job, EndKind.FAILED)
        self.assertEqual(self.plan(1.5).starts, [])
        self.assertEqual(len(self.plan(60.0).starts), 1)

    def test_a_worker_that_fails_at_once_gets_no_urgent_work_and_no_gangs(self) -> None:
        """Two workers that failed everything used up the attempts of urgent gangs on scale-2."""
        self.workers(each=1)
        first = self.add(step(1), priority=BULK)
        self.plan()
        self.end(first, EndKind.FAILED, 0.03)
        gang = self.add(step(2, gang=True), priority=NORMAL)
        urgent = self.add(step(1))
        starts = self.plan(PROBATION_S - 1.0).starts
        self.assertEqual([start.run.task.name.job_id for start in starts], [first])
        self.end(first, EndKind.DONE, PROBATION_S - 0.5)
        starts = self.plan(PROBATION_S - 0.5).starts
        self.assertEqual({start.run.task.name.job_id for start in starts}, {urgent, gang})

    def test_probation_ends_after_its_time(self) -> None:
        self.workers(each=1)
        first = self.add(step(1))
        self.plan()
        self.end(first, EndKind.FAILED, 0.03)
        self.assertEqual(self.plan(PROBATION_S - 1.0).starts, [])
        self.assertEqual(len(self.plan(PROBATION_S + 0.1).starts), 1)

    def test_a_late_failure_causes_no_probation(self) -> None:
        self.workers(each=1)
        first = self.add(step(1))
        self.plan()
        self.end(first, EndKind.FAILED, 2.0)
        self.assertEqual(len(self.plan(5.0).starts), 1)

    def test_an_unknown_run_is_stopped(self) -> None:
        self.workers(each=1)
        row = RunningTask(str(TaskName("00000000000000ff", 0, 0, 0)), 3, "", 10)
        self.cluster_state.worker_reported("w11", [row], 0.0)
        self.assertEqual(
            [s.reason for s in self.cluster_state.take_changes().stops], [StopReason.NOT_OURS]
        )

    def test_progress_counts_from_when_it_was_reported(self) -> None:
        """Reports are up to 2 s old: 50 % at 2 s means done after 4 s, even if read at 3.1 s."""
        self.workers(each=1)
        job = self.add(Step(count=1, needs=Resources(1000, 1000, 1), estimate_ms=60_000))
        self.plan()
        self.cluster_state.worker_reported("w11", [RunningTask(f"{job}.0.0.0", 1, "", 50)], 2.0)
        leaving = record("w11", draining=True, remaining_ms=2_000)
        self.cluster_state.set_worker(leaving, 3.1)
        self.assertEqual(self.plan(3.1).stops, [])
        self.cluster_state.set_worker(record("w11", draining=True, remaining_ms=1_000), 3.2)
        self.assertEqual(len(self.plan(3.2).stops), 1)

    def test_on_a_notice_a_run_with_checkpoints_goes_on_while_it_can_still_save(self) -> None:
        self.workers(each=1)
        saving = self.add(step(1, checkpoint=True), priority=NORMAL)
        other = self.add(step(1), priority=NORMAL)
        self.plan()
        rows = [RunningTask(f"{job}.0.0.0", 1, "", 10) for job in (saving, other)]
        self.cluster_state.worker_reported("w11", rows, 9.0)
        self.cluster_state.set_worker(record("w11", draining=True, remaining_ms=4000), 9.0)
        self.assertEqual([stop.task.job_id for stop in self.plan(9.0).stops], [other])
        self.assertEqual(self.plan(13.0 - SAVE_MARGIN_S - 0.1).stops, [])
        stops = self.plan(13.0 - SAVE_MARGIN_S + 0.1).stops
        self.assertEqual([stop.task.job_id for stop in stops], [saving])

    def test_on_a_notice_a_run_with_checkpoints_that_ends_in_time_goes_on(self) -> None:
        self.workers(each=1)
        job = self.add(step(1, checkpoint=True), priority=NORMAL)
        self.plan()
        self.cluster_state.worker_reported("w11", [RunningTask(f"{job}.0.0.0", 1, "", 96)], 9.6)
        self.cluster_state.set_worker(record("w11", draining=True, remaining_ms=1100), 9.6)
        self.assertEqual(self.plan(9.6).stops, [])

    def test_a_run_that_ends_before_its_worker_leaves_goes_on(self) -> None:
        """An urgent run with 1.3 s to go was once stopped on a notice of 2 s and restarted."""
        self.workers(each=1)
        ending, later = (self.add(step(1)) for _ in range(2))
        self.plan()
        rows = [
            RunningTask(f"{ending}.0.0.0", 1, "", 87),
            RunningTask(f"{later}.0.0.0", 1, "", 80),
        ]
        self.cluster_state.worker_reported("w11", rows, 8.7)
        self.cluster_state.set_worker(record("w11", draining=True, remaining_ms=2000), 8.7)
        self.assertEqual([stop.task.job_id for stop in self.plan(8.7).stops], [later])
        self.assertEqual(self.plan(10.0).stops, [])

    def test_a_gang_ends_with_its_last_member_when_a_worker_leaves(self) -> None:
        """A gang with a nearly finished member was not stopped, and was lost with the worker."""
        self.workers(each=2)
        gang = self.add(step(2, 8, gang=True))
        self.plan()
        for task, worker, percent in ((0, "w11", 99), (1, "w12", 50)):
            row = RunningTask(f"{gang}.0.0.{task}", 1, "", percent)
            self.cluster_state.worker_reported(worker, [row], 10.0)
        self.cluster_state.set_worker(record("w11", draining=True, remaining_ms=2000), 10.0)
        stopped = {stop.worker_id for stop in self.plan(10.0).stops}
        self.assertEqual(stopped, {"w11", "w12"})

    def test_a_leaving_worker_keeps_only_what_ends_in_time(self) -> None:
        self.workers(each=1)
        short = self.add(step(1), priority=NORMAL)
        long = self.add(step(1), priority=NORMAL)
        self.plan()
        now = 9.0
        self.cluster_state.worker_reported(
            "w11",
            [
                RunningTask(f"{job}.0.0.0", 1, "", percent)
                for job, percent in ((short, 90), (long, 10))
            ],
            now,
        )
        self.cluster_state.set_worker(record("w11", draining=True, remaining_ms=4000), now)
        stops = self.plan(now).stops
        self.assertEqual([stop.task.job_id for stop in stops], [long])
        self.assertIs(stops[0].reason, StopReason.WORKER_LEAVES)


class RecordTest(ClusterCase):
    def test_state_is_restored_from_its_records(self) -> None:
        self.workers(each=2)
        job = self.add(step(3, checkpoint=True), step(1, after=(0,)))
        changes = self.plan()
        kept = to_msgpack(changes.records[f"{job}.0"])
        other = ClusterState()
        other.set_worker(record("w11"), 0.0)
        accepted = self.cluster_state.jobs[job].accepted
        other.add_job(accepted, {0: from_msgpack(kept, OccurrenceRecord)})
        tasks = other.jobs[job].occurrences[0].steps[0].tasks
        self.assertTrue(all(task.status is TaskStatus.ASSIGNED for task in tasks))
        self.assertTrue(all(task.run is not None and task.run.inherited for task in tasks))
        self.assertEqual(sum(len(w.runs) for w in other.workers.values()), 3)
        other.plan(0.0, 0.0)
        self.assertEqual(other.take_changes().starts, [])


class GuaranteeTest(unittest.TestCase):
    """One round of preemption meets a guarantee, however full the pool is of others' gangs."""

    @settings(max_examples=80, deadline=None)
    @given(st.integers(0, 2**32))
    def test_one_round_of_stops_is_enough(self, seed: int) -> None:
        rng = random.Random(seed)
        case = ClusterCase()
        case.setUp()
        cluster_state = case.cluster_state
        cluster_state.configure({"depots": 64}, {"q": SERVICE})
        case.workers(racks=3, each=8)
        for _ in range(40):
            wide = rng.choice((1, 2, 4, 8, 16))
            more = {"gang": wide > 1 and rng.random() < 0.8, "same_rack": rng.random() < 0.5}
            priority = rng.choice((URGENT, NORMAL, NORMAL, BULK))
            case.add(step(wide, rng.choice((1, 2, 4, 8)), **more), priority=priority, account="x")
        for now in (0.0, PATIENT, PATIENT + 1.0):
            case.plan(now)
        each, most = rng.choice(((8, 8), (4, 16), (2, 24), (1, 32)))
        count = rng.randint(1, most)
        wanted = step(count, each, gang=count > 1, same_rack=rng.random() < 0.8)
        job = case.add(wanted, account="depots")
        changes = case.plan(PATIENT + 2.0)
        for stop in changes.stops:
            end = EndedTask(1, str(stop.task), stop.number, EndKind.STOPPED, "")
            cluster_state.run_ended(stop.worker_id, end, PATIENT + 2.9)
        changes.starts += case.plan(PATIENT + 2.9).starts
        started = [s for s in changes.starts if s.run.task.name.job_id == job]
        self.assertEqual(len(started), count)


class HasChangesTest(ClusterCase):
    def test_a_report_without_changes_needs_no_round(self) -> None:
        """When each report started a planning round, these took most of a core on a large pool."""
        self.workers(each=1)
        job = self.add(step(1, 1))
        start = self.plan().starts[0]
        self.plan()
        self.assertFalse(self.cluster_state.has_changes)
        name = str(start.run.task.name)
        self.cluster_state.worker_reported("w11", [RunningTask(name, 1, "", 40, 0)], 1.0)
        self.assertFalse(self.cluster_state.has_changes)
        self.cluster_state.worker_reported(
            "w11", [RunningTask("0" * 16 + ".0.0.0", 1, "", 40, 0)], 1.0
        )
        self.assertTrue(self.cluster_state.has_changes)
        self.plan(1.0)
        self.end(job, EndKind.DONE)
        self.assertTrue(self.cluster_state.has_changes)


class RetryAllShapes(FailedShapes):
    """Records no failed shapes, so that each one is tried again."""

    def note_full(self, shape: int | None) -> None:
        pass


class RandomEventsTest(unittest.TestCase):
    """After any events, capacity is not exceeded, no task runs twice and gangs are whole."""

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 2**32))
    def test_invariants(self, seed: int) -> None:
        rng = random.Random(seed)
        cluster_state = ClusterState()
        cluster_state.configure({"depots": 8}, {"q": SERVICE})
        done: set[TaskName] = set()
        now = 0.0
        for number in range(60):
            now += rng.uniform(0.1, 5.0)
            self.apply_random_event(cluster_state, rng, number, now, done)
            cluster_state.plan(now, now * 1000)
            changes = cluster_state.take_changes()
            for start in changes.starts:
                self.assertNotIn(start.run.task.name, done)
                worker = cluster_state.workers[start.run.worker_id]
                self.assertTrue(worker.listed and not worker.record.draining)
            self.check(cluster_state)

    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 2**32))
    def test_skipping_failed_shapes_does_not_change_the_outcome(self, seed: int) -> None:
        """A round does not try a shape again that did not fit; the outcome must be the same."""
        outcomes = []
        for retries_all in (False, True):
            rng = random.Random(seed)
            shapes = RetryAllShapes if retries_all else FailedShapes
            with unittest.mock.patch.object(planner, "FailedShapes", shapes):
                cluster_state = ClusterState()
            cluster_state.configure({"depots": 8}, {"q": SERVICE})
            now = 0.0
            outcome = []
            for number in range(60):
                now += rng.uniform(0.1, 5.0)
                self.apply_random_event(cluster_state, rng, number, now, set())
                cluster_state.plan(now, now * 1000)
                changes = cluster_state.take_changes()
                outcome.append([(str(s.run.task.name), s.run.worker_id) for s in changes.starts])
                outcome.append([(str(s.task), s.worker_id) for s in changes.stops])
            outcomes.append(outcome)
        self.assertEqual(*outcomes)

    def apply_random_event(
        self,
        cluster_state: ClusterState,
        rng: random.Random,
        number: int,
        now: float,
        done: set[TaskName],
    ) -> None:
        runs = [run for worker in cluster_state.workers.values() for run in worker.runs.values()]
        event = rng.choice(("worker", "job", "job", "end", "end", "started", "lost", "cancel"))
        if event == "worker" or not cluster_state.workers:
            name = f"w{rng.randrange(4)}"
            cluster_state.set_worker(
                record(name, rack=f"r{name[-1]}", draining=rng.random() < 0.2), now
            )
        elif event == "job":
            count = rng.randint(1, 4)
            made = step(
                count,
                rng.choice((1, 2, 8)),
                gang=count > 1 and rng.random() < 0.5,
                same_rack=rng.random() < 0.3,
                checkpoint=rng.random() < 0.3,
                data_rack=rng.choice(("", "", "r1", "r2")),
                per_worker=rng.choice((0, 0, 1)),
            )
            steps = (made, step(1, after=(0,))) if rng.random() < 0.3 else (made,)
            accepted = AcceptedJob(
                job_id=f"{number:016x}",
                account=rng.choice(("depots", "others")),
                queue="q",
                service=SERVICE,
                priority=rng.choice((URGENT, NORMAL, BULK)),
                attempts=3,
                accepted_ms=number,
                request=JobRequest(payload="", steps=steps),
            )
            cluster_state.add_job(accepted, {})
        elif event == "cancel" and cluster_state.jobs:
            cluster_state.cancel(rng.choice(list(cluster_state.jobs)))
        elif event == "lost":
            cluster_state.worker_ended(rng.choice(list(cluster_state.workers)))
        elif runs:
            run = rng.choice(runs)
            if event == "started":
                cluster_state.run_started(run, now)
                return
            how = rng.choice(list(EndKind))
            members = cluster_state.members(run) if run.task.step.step.gang else [run]
            if how is EndKind.DONE:
                done.update(member.task.name for member in members)
            end = EndedTask(number, str(run.task.name), run.number, how, "saved")
            cluster_state.run_ended(run.worker_id, end, now)

    def check(self, cluster_state: ClusterState) -> None:
        seen: set[TaskName] = set()
        for worker in cluster_state.workers.values():
            used = Resources()
            for run in worker.runs.values():
                used = used + run.allocation
                if run.task.run is run:
                    self.assertNotIn(run.task.name, seen)
                    seen.add(run.task.name)
            self.assertEqual(used, worker.used)
            self.assertTrue(used.fits(worker.record.capacity))
            self.check_placement(worker)
            self.assertTrue(Resources().fits(worker.reserved))
        for job in cluster_state.jobs.values():
            for occurrence in job.occurrences:
                for each in occurrence.steps:
                    self.check_step(each)

    def check_placement(self, worker: Worker) -> None:
        """Check that a worker may run what it runs, and no more tasks of a step than it may."""
        steps = Counter(run.task.step for run in worker.runs.values())
        for each, count in steps.items():
            self.assertTrue(worker.matches(each.step))
            if each.step.per_worker:
                self.assertLessEqual(count, each.step.per_worker, worker.worker_id)

    def check_step(self, each) -> None:  # type: ignore[no-untyped-def]
        runs = [task.run for task in each.tasks if task.run is not None]
        if each.step.gang and runs and not any(run.stopping for run in runs):
            self.assertEqual(len({run.number for run in runs}), 1)
            done = [task for task in each.tasks if task.status is TaskStatus.DONE]
            self.assertTrue(done or len(runs) == len(each.tasks))
        if runs:
            steps = each.occurrence.steps
            self.assertTrue(all(steps[earlier].finished for earlier in each.step.after))


class PacingTest(ClusterCase):
    def report(self, tail: float, now: float) -> list[int]:
        worker = self.cluster_state.workers["w11"]
        rows = [
            RunningTask(str(run.task.name), 1, "", 100, tail if run.task.step.step.target_ms else 0)
            for run in worker.runs.values()
        ]
        self.cluster_state.worker_reported("w11", rows, now)
        return [pace.percent for pace in self.cluster_state.take_changes().paces]

    def test_cut_at_once_and_raised_step_by_step(self) -> None:
        self.workers(each=1)
        self.add(step(1, long_running=True, target_ms=100))
        self.add(step(1, long_running=True, fills=True))
        self.plan()
        self.assertEqual(self.report(90.0, 1.0), [])
        self.assertEqual(self.report(120.0, 2.0), [30])
        self.assertEqual(self.report(120.0, 2.5), [0])
        self.assertEqual(self.report(120.0, 3.0), [])
        self.assertEqual(self.report(50.0, 3.5), [])
        self.assertEqual(self.report(50.0, 7.0), [20])
        self.assertEqual(self.report(90.0, 7.5), [])

    def test_a_filling_task_alone_runs_at_full_speed(self) -> None:
        self.workers(each=1)
        self.add(step(1, long_running=True, fills=True))
        run = self.plan().starts[0].run
        run.pace = 0
        self.assertEqual(
            [p.percent for p in adjust_pace(self.cluster_state.workers["w11"], 1.0)], [100]
        )


class AdviceTest(ClusterCase):
    def test_tickets_expire_and_denials_stand(self) -> None:
        self.workers(each=3)
        workers = list(self.cluster_state.workers.values())
        advice = StepAdvice()
        asked = advice.unknown(workers, 0.0)
        self.assertEqual(set(asked), {"w11", "w12", "w13"})
        advice.record_answer(asked, [Leave("w12", "t", 3.0)], 0.0)
        self.assertEqual(advice.ticket("w12", 1.0), "t")
        self.assertIsNone(advice.ticket("w12", 2.6))
        self.assertEqual(advice.unknown(workers, 2.6), ("w12",))
        advice.record_answer(("w12",), [Leave("w12", "u", 3.0)], 2.6)
        advice.discard_ticket("w12")
        self.assertIsNone(advice.ticket("w12", 2.7))


class WaveTest(ClusterCase):
    def test_no_more_machines_than_allowed_are_down_and_idle_ones_go_first(self) -> None:
        self.workers(each=4)
        self.add(step(1, 8, label="r1"))
        self.plan()
        workers = {w.record.machine: w for w in self.cluster_state.workers.values()}
        busy = next(name for name, worker in workers.items() if worker.runs)
        state = WaveState(Wave(1, tuple(workers), 60.0, 2), 0.0, 2.0)
        chosen = state.prepare(workers, 0.0)
        self.assertEqual(len(chosen), 2)
        self.assertNotIn(busy, {worker.record.machine for worker, _ in chosen})
        due = state.due(workers, 0.0)
        self.assertEqual(len(due), 2)
        self.assertEqual(state.prepare(workers, 1.0), [])
        self.assertEqual(state.due(workers, 1.0), due, "an order without answer is repeated")
        state.mark_down(due[0])
        self.assertEqual(state.prepare(workers, 1.5), [])
        lives = dict(workers)
        self.cluster_state.set_worker(record("new"), 2.0)
        lives[due[0]] = self.cluster_state.workers["new"]
        self.assertEqual(len(state.prepare(lives, 2.0)), 1)
        self.assertFalse(state.finished)
        for name in state.machines:
            state.mark_down(name)
        self.assertTrue(state.finished)

    def test_a_busy_machine_goes_down_when_its_time_has_come(self) -> None:
        self.workers(each=1)
        self.add(step(1, 8))
        self.plan()
        workers = {w.record.machine: w for w in self.cluster_state.workers.values()}
        state = WaveState(Wave(1, tuple(workers), 20.0, 1), 0.0, 2.0)
        (_, order_by) = state.prepare(workers, 0.0)[0]
        self.assertLess(order_by, 18.0)
        self.assertEqual(state.due(workers, order_by - 0.1), [])
        self.assertEqual(len(state.due(workers, order_by)), 1)
        self.assertIs(next(iter(state.machines.values())).status, MachineStatus.ORDERED)

    def test_a_worker_that_starts_again_before_its_machine_goes_down(self) -> None:
        """The new incarnation is drained again and does not count as back from the upkeep."""
        self.workers(each=1)
        self.add(step(1, 8))
        self.plan()
        workers = {w.record.machine: w for w in self.cluster_state.workers.values()}
        state = WaveState(Wave(1, tuple(workers), 20.0, 1), 0.0, 2.0)
        (before, order_by) = state.prepare(workers, 0.0)[0]
        machine = before.record.machine
        again = self.cluster_state.set_worker(record("again"), 1.0)
        self.assertEqual(state.prepare({machine: again}, 1.0), [(again, order_by)])
        self.assertEqual(state.prepare({machine: again}, 1.1), [])
        self.assertEqual(state.due({machine: again}, 1.1), [machine])
        once_more = self.cluster_state.set_worker(record("once more"), 1.2)
        self.assertEqual(state.due({machine: once_more}, 1.2), [machine])
        state.mark_down(machine)
        state.prepare({machine: once_more}, 1.3)
        self.assertIs(state.machines[machine].status, MachineStatus.DOWN)
        returned = self.cluster_state.set_worker(record("returned"), 4.0)
        state.prepare({machine: returned}, 4.0)
        self.assertIs(state.machines[machine].status, MachineStatus.DONE)


class PauseTest(unittest.TestCase):
    def test_it_doubles_up_to_the_maximum_and_is_at_least_half(self) -> None:
        rng = random.Random(1)
        for failures in range(1, 40):
            most = min(1.0, 0.1 * 2**failures)
            for _ in range(20):
                self.assertTrue(most / 2 <= backoff_delay(failures, 0.1, 1.0, rng) <= most)


if __name__ == "__main__":
    unittest.main()
