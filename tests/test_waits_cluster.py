"""Jobs that wait for an event that never comes, or for a wrong reason, in the cluster state.

Users see such a job stall for 3 s or more although a task of it could run, twice the resources that
it needs are free, and other jobs start.
"""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from saddlestack.interfaces.machines import Leave
from saddlestack.interfaces.workers import EndedTask, EndKind
from saddlestack.policy.cluster.changes import StopReason
from saddlestack.policy.cluster.records import (
    OccurrenceRecord,
    OccurrenceStatus,
    StepRecord,
    TaskRecord,
    TaskStatus,
)
from saddlestack.policy.cluster.reservations import RESERVATION_TIMEOUT_S, STOP_OVERDUE_S
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.wait_limits import IDLE_POOL_WAIT_S
from saddlestack.policy.cluster.waiting import may_start
from saddlestack.work import AcceptedJob, JobRequest, Step
from tests import test_cluster_state
from tests.test_cluster_state import (
    BULK,
    NORMAL,
    PATIENT,
    SERVICE,
    ClusterCase,
    record,
    step,
)

JOB = f"{0xAB:016x}"


def assigned() -> TaskRecord:
    return TaskRecord(TaskStatus.ASSIGNED, 1, "w11")


def waiting() -> TaskRecord:
    return TaskRecord(TaskStatus.WAITING, 1, "w12")


class RestoredTest(ClusterCase):
    """Guards against broken gangs that are not stopped after a failover.

    A leader was lost after it had written the end of a run, and before it had sent the stops that
    follow from it. The next leader read from the record that some members of the gang wait and
    others run, and stopped none of them. The gang waited until its members gave up by themselves or
    their worker's lease ended.
    """

    def restore(self, step: Step, records: dict[int, OccurrenceRecord], times: int = 0) -> None:
        request = JobRequest(payload="", steps=(step,), times=times, first_at_ms=times)
        self.cluster_state.add_job(
            AcceptedJob(
                job_id=JOB,
                account="depots",
                queue="q",
                service=SERVICE,
                priority=NORMAL,
                attempts=3,
                accepted_ms=1,
                request=request,
            ),
            records,
        )

    def stopped(self) -> list[tuple[str, StopReason]]:
        return [(stop.worker_id, stop.reason) for stop in self.plan().stops]

    def test_members_of_a_broken_gang_are_stopped(self) -> None:
        self.workers(each=2)
        tasks = [assigned(), waiting(), assigned()]
        self.restore(
            step(3, 1, gang=True),
            {0: OccurrenceRecord(OccurrenceStatus.OPEN, [StepRecord(tasks)], {})},
        )
        self.assertEqual(self.stopped(), [("w11", StopReason.GANG_BROKEN)] * 2)

    def test_members_of_a_whole_gang_and_single_tasks_continue(self) -> None:
        self.workers(each=2)
        for gang, tasks in ((True, [assigned(), assigned()]), (False, [assigned(), waiting()])):
            self.cluster_state.jobs.clear()
            self.restore(
                step(2, 1, gang=gang),
                {0: OccurrenceRecord(OccurrenceStatus.OPEN, [StepRecord(tasks)], {})},
            )
            self.assertEqual(self.stopped(), [])

    def test_remaining_runs_of_a_failed_job_are_stopped(self) -> None:
        """Without the stop it holds its resources until it ends."""
        self.workers(each=2)
        going_on = OccurrenceRecord(OccurrenceStatus.OPEN, [StepRecord([assigned()])], {})
        self.restore(
            step(1, 1), {0: OccurrenceRecord(OccurrenceStatus.FAILED), 1: going_on}, times=2
        )
        self.assertEqual(self.stopped(), [("w11", StopReason.JOB_FAILED)])


class AvoidedWorkerTest(ClusterCase):
    """Guards against tasks that never start again after a failure on the only worker that fits.

    A task that has failed on a worker waits for another one. Every other worker of the service
    counted as such, also one that could never hold the task, so the task never started again while
    the worker where it had failed was free.
    """

    def start_again(self, needs: Step) -> list[str]:
        self.workers(each=1)
        self.cluster_state.set_worker(record("small", accelerators=2), 0.0)
        job = self.add(needs, attempts=5)
        self.assertEqual([start.run.worker_id for start in self.plan().starts], ["w11"])
        self.end(job, EndKind.FAILED)
        return [start.run.worker_id for start in self.plan(PATIENT).starts]

    def test_a_worker_that_is_too_small_does_not_count(self) -> None:
        self.assertEqual(self.start_again(step(1, 8)), ["w11"])

    def test_it_does_not_count_if_each_worker_is_examined(self) -> None:
        self.assertEqual(self.start_again(step(1, 8, per_worker=1)), ["w11"])

    def test_the_task_waits_for_a_worker_that_is_large_enough(self) -> None:
        self.workers(each=2)
        first = self.add(step(1, 8), attempts=5)
        self.plan()
        second = self.add(step(1, 8))
        self.plan()
        self.end(first, EndKind.FAILED)
        self.assertEqual(self.plan(PATIENT).starts, [])
        self.end(second, EndKind.DONE)
        self.assertEqual(len(self.plan(PATIENT).starts), 1)


class HeadroomTest(ClusterCase):
    """Guards against steps that a newer step of the same shape keeps out of the headroom.

    A step that may not use the headroom excludes other steps of its shape for that round. Whether a
    step may use it depends on how long it has waited, so a new step that was tried first excluded
    another one that had waited long enough.
    """

    def test_a_new_step_does_not_exclude_one_that_has_waited(self) -> None:
        self.workers(racks=1, each=4)
        for number in range(1, 5):
            self.cluster_state.set_worker(record(f"gone{number}", rack="r2", hall="evacuated"), 0.0)
        self.cluster_state.evacuate(frozenset({"evacuated"}))
        self.add(step(2, 8))
        self.plan()
        old = self.add(step(1, 8), priority=BULK)
        self.assertEqual(self.plan(1.0).starts, [])
        self.add(step(1, 8), priority=NORMAL)
        now = 1.0 + IDLE_POOL_WAIT_S + 0.1
        starts = [start.run.task.name.job_id for start in self.plan(now).starts]
        self.assertEqual(starts, [old])


class LongRunningTest(ClusterCase):
    """Guards against long-running work that waits because workers are kept for a gang.

    Long-running work may use kept workers. It was excluded in every round by other work of the same
    shape that may not use them.
    """

    def test_long_running_work_starts_although_other_work_of_its_shape_waits(self) -> None:
        self.workers(racks=1, each=2)
        self.add(step(8, 1), priority=BULK)
        self.plan()
        self.add(step(2, 8, gang=True, same_rack=True), priority=NORMAL)
        self.add(step(2, 1), priority=BULK)
        lasting = self.add(step(2, 1, long_running=True), priority=BULK)
        starts = self.plan(PATIENT).starts
        self.assertEqual({start.run.task.name.job_id for start in starts}, {lasting})


class AdvisedGangTest(ClusterCase):
    """Guards against a one-rack gang that is spread over racks because of missing approvals.

    The approved workers had enough free resources for the gang in total, but not in one rack. No
    further approvals were requested, and the gang was spread over racks as if no rack could ever
    hold it.
    """

    def test_more_approvals_are_requested_until_the_gang_fits(self) -> None:
        self.workers(racks=20, each=2)
        self.cluster_state.configure({}, {"q": SERVICE}, ["q"])
        self.add(step(2, 8, gang=True, same_rack=True), priority=NORMAL)
        for round_s in range(5):
            changes = self.plan(float(round_s))
            if changes.starts:
                break
            for question in changes.advice_requests:
                # Approve the first worker of each rack, and the second one only in the last rack.
                good = [w for w in question.workers if w.endswith("1") or w == "w202"]
                leaves = [Leave(worker, "ticket", 60.0) for worker in good]
                question.step.advice.record_answer(question.workers, leaves, float(round_s))
                question.step.advice.asking = False
        self.assertEqual({start.run.worker_id for start in changes.starts}, {"w201", "w202"})


class ReservationTest(ClusterCase):
    """Guards against urgent work that waits forever for a run that was stopped and does not end.

    Stopping a run that is already stopping costs nothing, so the same run was chosen again whenever
    the reservation of its resources expired, and no other run was ever stopped.
    """

    def test_another_run_is_stopped_if_the_first_does_not_end(self) -> None:
        self.workers(each=2)
        for _ in range(2):
            self.add(step(1, 8), priority=BULK)
            self.plan(PATIENT)
        self.plan(2 * PATIENT)
        self.add(step(1, 8))
        stops = self.plan(2 * PATIENT).stops
        self.assertEqual(len(stops), 1)
        late_s = 2 * PATIENT + STOP_OVERDUE_S
        for now in (2 * PATIENT + RESERVATION_TIMEOUT_S + 0.1, late_s - 0.1):
            self.assertEqual(self.plan(now).stops, [])
        others = self.plan(late_s + RESERVATION_TIMEOUT_S + 0.1).stops
        self.assertEqual(len(others), 1)
        self.assertNotEqual(others[0].worker_id, stops[0].worker_id)

    def test_resources_that_become_free_late_are_used(self) -> None:
        self.workers(each=1)
        bulk = self.add(step(1, 8), priority=BULK)
        self.plan(PATIENT)
        self.plan(2 * PATIENT)
        urgent = self.add(step(1, 8))
        self.assertEqual(len(self.plan(2 * PATIENT).stops), 1)
        late_s = 2 * PATIENT + 2 * STOP_OVERDUE_S
        self.assertEqual(self.plan(late_s).stops, [])
        self.end(bulk, EndKind.STOPPED, late_s)
        starts = self.plan(late_s).starts
        self.assertEqual([start.run.task.name.job_id for start in starts], [urgent])


class AnyEventsTest(unittest.TestCase):
    """After any events, steps that may start are tried, and all jobs end once there is capacity."""

    EVENTS = test_cluster_state.RandomEventsTest("test_invariants")

    def apply_random_events(self, cluster_state: ClusterState, seed: int) -> float:
        """Apply 60 random events.

        :return: the time of the last one.
        """
        rng = random.Random(seed)
        cluster_state.configure({"depots": 8}, {"q": SERVICE})
        now = 0.0
        for number in range(60):
            now += rng.uniform(0.1, 5.0)
            self.EVENTS.apply_random_event(cluster_state, rng, number, now, set())
            cluster_state.plan(now, now * 1000)
            cluster_state.take_changes()
            self.assertEqual(self.forgotten(cluster_state), [])
        return now

    def forgotten(self, cluster_state: ClusterState) -> list[str]:
        """Steps that may start and that no scheduling round would try."""
        tried = cluster_state._planner._waiting._queued
        steps = [
            step
            for job in cluster_state.jobs.values()
            for occurrence in job.occurrences
            for step in occurrence.steps
        ]
        return [step.key for step in steps if may_start(step) and step not in tried]

    @settings(max_examples=100, deadline=None)
    @given(st.integers(0, 2**32))
    def test_steps_that_may_start_are_tried(self, seed: int) -> None:
        self.apply_random_events(ClusterState(), seed)

    @settings(max_examples=100, deadline=None)
    @given(st.integers(0, 2**32))
    def test_all_jobs_end_once_there_is_capacity(self, seed: int) -> None:
        cluster_state = ClusterState()
        now = self.apply_random_events(cluster_state, seed) + PATIENT
        for number in range(16):
            made = record(f"fresh{number}", rack=f"fresh{number // 8}")
            cluster_state.set_worker(made, now)
        for number in range(40):
            now += 1.0
            cluster_state.plan(now, now * 1000)
            cluster_state.take_changes()
            for worker in list(cluster_state.workers.values()):
                for name, run in list(worker.runs):
                    end = EndedTask(1000 + number, str(name), run, EndKind.DONE, "")
                    cluster_state.run_ended(worker.worker_id, end, now)
        left = [job.job_id for job in cluster_state.jobs.values() if not job.over]
        self.assertEqual(left, [])


if __name__ == "__main__":
    unittest.main()
