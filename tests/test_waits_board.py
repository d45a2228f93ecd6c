"""On the board: what waits for an event that nobody brings about any more, or for a wrong reason.

Seen by users: a job stands still for 3 s and more though a task of it could run, room is there
twice over, and others start beside it.
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
from tests import test_board
from tests.test_board import (
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
    """A leader was lost after it had written an end, and before its stops of what goes on left.

    The next one read from the record that some members of a gang wait and others run, and ordered
    nothing: the gang waited until its members gave up by themselves, or their worker's lease ended.
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

    def test_members_of_a_whole_gang_go_on_and_so_do_tasks_of_no_gang(self) -> None:
        self.workers(each=2)
        for gang, tasks in ((True, [assigned(), assigned()]), (False, [assigned(), waiting()])):
            self.cluster_state.jobs.clear()
            self.restore(
                step(2, 1, gang=gang),
                {0: OccurrenceRecord(OccurrenceStatus.OPEN, [StepRecord(tasks)], {})},
            )
            self.assertEqual(self.stopped(), [])

    def test_what_is_left_of_a_failed_job_is_stopped(self) -> None:
        """It held its room to its end."""
        self.workers(each=2)
        going_on = OccurrenceRecord(OccurrenceStatus.OPEN, [StepRecord([assigned()])], {})
        self.restore(
            step(1, 1), {0: OccurrenceRecord(OccurrenceStatus.FAILED), 1: going_on}, times=2
        )
        self.assertEqual(self.stopped(), [("w11", StopReason.JOB_FAILED)])


class AvoidedWorkerTest(ClusterCase):
    """A task has failed on the one worker that can hold it.

    It goes elsewhere where there is another, and any other of its service counted as such, also one
    that could never hold it: the task never started again, with the worker free beside it.
    """

    def start_again(self, needs: Step) -> list[str]:
        self.workers(each=1)
        self.cluster_state.set_worker(record("small", accelerators=2), 0.0)
        job = self.add(needs, attempts=5)
        self.assertEqual([start.run.worker_id for start in self.plan().starts], ["w11"])
        self.end(job, EndKind.FAILED)
        return [start.run.worker_id for start in self.plan(PATIENT).starts]

    def test_a_worker_that_is_too_small_is_no_other(self) -> None:
        self.assertEqual(self.start_again(step(1, 8)), ["w11"])

    def test_nor_is_it_where_each_worker_is_looked_at(self) -> None:
        self.assertEqual(self.start_again(step(1, 8, per_worker=1)), ["w11"])

    def test_one_that_is_large_enough_is_waited_for(self) -> None:
        self.workers(each=2)
        first = self.add(step(1, 8), attempts=5)
        self.plan()
        second = self.add(step(1, 8))
        self.plan()
        self.end(first, EndKind.FAILED)
        self.assertEqual(self.plan(PATIENT).starts, [])
        self.end(second, EndKind.DONE)
        self.assertEqual(len(self.plan(PATIENT).starts), 1)


class ShutTest(ClusterCase):
    """The headroom is closed to a step, and with it to others of its shape in that round.

    It opens with the time that a step has waited, which differs between steps of one shape: one
    that has just come, and goes first, kept it closed to another that had waited long enough.
    """

    def test_a_step_that_has_waited_is_not_held_up_by_one_that_has_not(self) -> None:
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


class FullTest(ClusterCase):
    """A shape finds no room since workers are kept for a gang; lasting work may take those.

    It has the same shape as work that may not, and was held up by it in each round.
    """

    def test_lasting_work_starts_behind_work_of_its_shape_that_waits_for_a_gang(self) -> None:
        self.workers(racks=1, each=2)
        self.add(step(8, 1), priority=BULK)
        self.plan()
        self.add(step(2, 8, gang=True, same_rack=True), priority=NORMAL)
        self.add(step(2, 1), priority=BULK)
        lasting = self.add(step(2, 1, long_running=True), priority=BULK)
        starts = self.plan(PATIENT).starts
        self.assertEqual({start.run.task.name.job_id for start in starts}, {lasting})


class AdvisedGangTest(ClusterCase):
    """Workers with the adviser's leave have room enough for a gang, in no one rack.

    No more were asked about, since their sum was enough. The gang was spread over racks, as if no
    rack could ever hold it.
    """

    def test_more_workers_are_asked_about_until_the_gang_fits(self) -> None:
        self.workers(racks=20, each=2)
        self.cluster_state.configure({}, {"q": SERVICE}, ["q"])
        self.add(step(2, 8, gang=True, same_rack=True), priority=NORMAL)
        for round_s in range(5):
            changes = self.plan(float(round_s))
            if changes.starts:
                break
            for question in changes.advice_requests:
                # The first of each rack is good, and the second of the last alone.
                good = [w for w in question.workers if w.endswith("1") or w == "w202"]
                leaves = [Leave(worker, "ticket", 60.0) for worker in good]
                question.step.advice.record_answer(question.workers, leaves, float(round_s))
                question.step.advice.asking = False
        self.assertEqual({start.run.worker_id for start in changes.starts}, {"w201", "w202"})


class ReservationTest(ClusterCase):
    """Urgent work waits for the room of a run that is to stop, and does not end.

    A run that is stopping costs nothing more to stop, so it was chosen again each time that the
    reservation of its room had run out, and no other ever.
    """

    def test_room_that_does_not_come_free_is_looked_for_elsewhere(self) -> None:
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

    def test_room_that_comes_free_later_is_taken_all_the_same(self) -> None:
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
    """After any events what may start is tried, and where there is room for all of it it ends."""

    EVENTS = test_board.RandomEventsTest("test_invariants")

    def happen(self, cluster_state: ClusterState, seed: int) -> float:
        """Let 60 things happen; when the last of them did."""
        rng = random.Random(seed)
        cluster_state.configure({"depots": 8}, {"q": SERVICE})
        now = 0.0
        for number in range(60):
            now += rng.uniform(0.1, 5.0)
            self.EVENTS.happen(cluster_state, rng, number, now, set())
            cluster_state.plan(now, now * 1000)
            cluster_state.take_changes()
            self.assertEqual(self.forgotten(cluster_state), [])
        return now

    def forgotten(self, cluster_state: ClusterState) -> list[str]:
        """Steps that may start, and that no round would try."""
        tried = cluster_state._planner._waiting._known
        steps = [
            step
            for job in cluster_state.jobs.values()
            for occurrence in job.occurrences
            for step in occurrence.steps
        ]
        return [step.key for step in steps if may_start(step) and step not in tried]

    @settings(max_examples=100, deadline=None)
    @given(st.integers(0, 2**32))
    def test_what_may_start_is_in_the_list(self, seed: int) -> None:
        self.happen(ClusterState(), seed)

    @settings(max_examples=100, deadline=None)
    @given(st.integers(0, 2**32))
    def test_all_ends_once_there_is_room(self, seed: int) -> None:
        cluster_state = ClusterState()
        now = self.happen(cluster_state, seed) + PATIENT
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
