"""Steps on their last attempt while workers fail all that they start and look healthy.

An urgent gang of 14 workers failed three times within 0.5 s, and its job with it: on its last
attempt it did not fit on healthy workers, which were busy, and went to workers of unknown health.
"""

from __future__ import annotations

import random
import unittest

from saddlestack.control.settings import SCHEDULING_RANGES, Scheduling
from saddlestack.interfaces.workers import EndedTask, EndKind
from saddlestack.policy.cluster.changes import StopReason
from saddlestack.policy.cluster.diagnosis import Diagnosis, Wait
from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.lending import USUAL_STOP_S
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.speed_limits import ENTITLED_WAIT_S
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.wait_limits import IDLE_POOL_WAIT_S
from saddlestack.policy.cluster.worker_preferences import (
    FAULTY_WINDOW_S,
    FAULTY_WORKERS,
    PROOF_MARGIN_S,
)
from saddlestack.policy.stall import STALL_S
from saddlestack.work import JobState, Step
from tests.test_cluster_state import BULK, NORMAL, PATIENT, URGENT, ClusterCase, record, step
from tests.test_diagnosis import diagnosis_context

WAIT_S = 1.5
WAVE_S = 0.1
"""When workers are detected as faulty in these tests."""
BEGIN_S = 1.0
"""When the step on its last attempt begins to stall."""
TICK_S = 0.5
"""The maximum interval between two rounds of a leader."""


class LastAttemptCase(ClusterCase):
    """A pool with room on workers of unknown health while several workers are faulty."""

    def setUp(self) -> None:
        super().setUp()
        self.use(WAIT_S)

    def use(self, wait_s: float) -> None:
        """Begin with an empty cluster state."""
        self.cluster_state = ClusterState(SchedulingOptions(last_attempt_wait_s=wait_s))
        self.diagnosis = Diagnosis(self.cluster_state)

    def pool(self, *, each: int = 4, faulty: int = FAULTY_WORKERS, racks: int = 2) -> None:
        """Workers that take work, and others that were detected as faulty."""
        self.workers(racks=racks, each=each)
        for number in range(faulty):
            name = f"x{number}"
            self.cluster_state.set_worker(record(name, rack="rx"), 0.0)
            worker = self.cluster_state.workers[name]
            worker.quarantine_s = worker.probation_s = 1e6
            self.cluster_state._worker_preferences.add_faulty(worker, WAVE_S)

    def prove(self, *names: str, now: float = BEGIN_S) -> None:
        """Let runs make progress on workers."""
        for name in names:
            worker = self.cluster_state.workers[name]
            worker.last_healthy_s = worker.proven_start_s = now

    def step_of(self, job_id: str) -> StepState:
        return self.cluster_state.jobs[job_id].occurrences[0].steps[0]

    def add_last(self, made: Step, *, failures: int = 2, **more: object) -> str:
        """Add a job that has failed before; by default its next failure is its last."""
        job_id = self.add(made, **more)  # type: ignore[arg-type]
        found = self.step_of(job_id)
        found.record.gang_failures = failures
        for task in found.tasks:
            task.record.failures = failures
        return job_id

    def gang(self, count: int = 2, **more: object) -> str:
        return self.add_last(step(count, 8, gang=True), **more)  # type: ignore[arg-type]

    def places(self, job_id: str) -> list[str]:
        runs = [task.run for task in self.step_of(job_id).tasks]
        return sorted(run.worker_id for run in runs if run is not None)

    def started_at(self, job_id: str, until_s: float = STALL_S, tick_s: float = 0.1) -> float:
        """Seconds from :data:`BEGIN_S` to the start; infinite if there is none in time."""
        for tick in range(round(until_s / tick_s) + 1):
            self.plan(BEGIN_S + tick * tick_s)
            if self.places(job_id):
                return round(tick * tick_s, 6)
        return float("inf")

    def wait_of(self, job_id: str, now: float) -> Wait:
        """What a job waits for."""
        report = self.diagnosis.scan(diagnosis_context(now))
        [wait] = [wait for wait in report.waits if wait.job_id == job_id]
        return wait

    def counted(self) -> int:
        return self.cluster_state.planner.take_counts()["last_attempts_waited"]

    def fill(self, *names: str, priority: int = BULK) -> str:
        """Fill workers with one task each, and let these make progress."""
        others = [w for w in self.cluster_state.workers.values() if w.worker_id not in names]
        kept = {worker: worker.closing for worker in others}
        for worker in others:
            worker.closing = True
        job_id = self.add(step(len(names), 8), priority=priority)
        self.plan(0.0)
        self.plan(0.0)
        for worker, closing in kept.items():
            worker.closing = closing
        self.step_of(job_id).waiting_since_s = 0.0
        self.assertEqual(self.places(job_id), sorted(names))
        self.prove(*names)
        return job_id


class WaveTest(LastAttemptCase):
    """A wave of faulty workers while a gang with one attempt left is to be started."""

    def test_a_gang_with_room_on_healthy_workers_starts_there_at_once(self) -> None:
        for priority in (URGENT, NORMAL):
            self.use(WAIT_S)
            self.pool()
            self.prove("w13", "w22")
            gang = self.gang(priority=priority)
            self.assertEqual(self.started_at(gang), 0.0)
            self.assertEqual((self.places(gang), self.counted()), (["w13", "w22"], 0))

    def test_it_waits_for_healthy_workers_while_others_are_free(self) -> None:
        """Guards against a last attempt on workers that fail all that they start."""
        for priority in (URGENT, NORMAL):
            self.use(WAIT_S)
            self.pool()
            self.prove("w13")
            gang = self.gang(priority=priority)
            self.plan(BEGIN_S)
            self.plan(BEGIN_S + 0.5)
            self.assertEqual(self.places(gang), [])
            self.prove("w22", now=BEGIN_S + 0.6)
            self.plan(BEGIN_S + 0.6)
            self.assertEqual((self.places(gang), self.counted()), (["w13", "w22"], 1))

    def test_a_worker_is_proved_by_runs_that_started_during_the_wave(self) -> None:
        """Guards against faulty workers on which runs go on that began before the wave."""
        for started_s, waits in ((-0.01, True), (0.01, False)):
            self.use(WAIT_S)
            self.pool()
            self.prove("w13", "w22")
            self.cluster_state.workers["w13"].proven_start_s = WAVE_S - PROOF_MARGIN_S + started_s
            self.assertEqual(self.started_at(self.gang()) > 0, waits)

    def test_a_run_proves_its_worker_by_progress_and_by_its_end(self) -> None:
        for at_end in (False, True):
            self.use(WAIT_S)
            self.workers(each=1)
            job = self.add(step(1, 8))
            self.plan(BEGIN_S)
            worker = self.cluster_state.workers["w11"]
            self.assertIsNone(worker.proven_start_s)
            [run] = list(worker.runs.values())
            if at_end:
                self.end(job, EndKind.DONE, BEGIN_S + 1.0)
            else:
                worker.record_progress(run, BEGIN_S + 1.0)
            self.assertEqual(worker.proven_start_s, BEGIN_S)

    def test_after_the_wait_it_starts_anywhere(self) -> None:
        for priority in (URGENT, NORMAL):
            self.use(WAIT_S)
            self.pool()
            gang = self.gang(priority=priority)
            self.plan(BEGIN_S)
            self.assertEqual(self.cluster_state.planner.next_loan_s, BEGIN_S + WAIT_S)
            self.plan(BEGIN_S + WAIT_S - 0.01)
            self.assertEqual(self.places(gang), [])
            self.plan(BEGIN_S + WAIT_S)
            self.assertEqual(len(self.places(gang)), 2)

    def test_the_longest_wait_ends_before_work_counts_as_stalled(self) -> None:
        longest_s = SCHEDULING_RANGES["last_attempt_wait_s"][1]
        self.assertEqual(longest_s, IDLE_POOL_WAIT_S)
        self.use(longest_s)
        self.pool()
        made = step(2, 4, gang=True, same_rack=True, data_rack="r1")
        for priority in (URGENT, NORMAL):
            job = self.add_last(made, priority=priority)
            self.assertLessEqual(self.started_at(job, tick_s=TICK_S), STALL_S - TICK_S)

    def test_with_the_setting_off_it_starts_at_once(self) -> None:
        self.use(0.0)
        self.pool()
        self.prove("w13")
        gang = self.gang()
        self.assertEqual(self.started_at(gang), 0.0)
        self.assertIsNone(self.cluster_state.planner.next_loan_s)
        self.assertEqual(self.counted(), 0)

    def test_it_waits_only_while_several_workers_are_faulty(self) -> None:
        for faulty, waits in ((FAULTY_WORKERS - 1, False), (FAULTY_WORKERS, True)):
            self.use(WAIT_S)
            self.pool(faulty=faulty)
            self.assertEqual(self.started_at(self.gang()) > 0, waits)

    def test_the_wave_is_over_some_time_after_the_latest_detection(self) -> None:
        for after_s, waits in ((-0.01, True), (0.01, False)):
            self.use(WAIT_S)
            self.pool()
            gang = self.gang()
            self.plan(WAVE_S + FAULTY_WINDOW_S + after_s)
            self.assertEqual(not self.places(gang), waits)

    def test_only_the_last_attempt_waits(self) -> None:
        for failures, waits in ((0, False), (1, False), (2, True)):
            self.use(WAIT_S)
            self.pool()
            gang = self.gang(failures=failures)
            self.assertEqual(self.started_at(gang) > 0, waits)

    def test_bulk_and_long_running_work_does_not_wait(self) -> None:
        self.pool()
        bulk = self.add_last(step(1, 1), priority=BULK)
        lasting = self.add_last(step(1, 1, long_running=True), priority=NORMAL)
        self.plan(BEGIN_S)
        self.assertTrue(self.places(bulk) and self.places(lasting))

    def test_tasks_wait_only_for_one_that_is_on_its_last_attempt(self) -> None:
        """Guards against steps whose other tasks wait for the rest of a wave."""
        self.pool()
        job = self.add(step(3, 1))
        tasks = self.step_of(job).tasks
        tasks[0].record.failures = 2
        self.plan(BEGIN_S)
        self.assertEqual(self.places(job), [])
        self.prove("w11")
        self.plan(BEGIN_S + 0.1)
        self.assertEqual(self.places(job), ["w11", "w11", "w11"])
        run = tasks[1].run
        assert run is not None
        self.fail_run(run, BEGIN_S + 0.5)
        self.prove(now=BEGIN_S + 0.5)
        self.cluster_state.workers["w11"].last_healthy_s = None
        self.plan(BEGIN_S + 0.6)
        self.assertEqual(len(self.places(job)), 3)

    def fail_run(self, run: Run, now: float) -> None:
        end = EndedTask(1, str(run.task.name), run.number, EndKind.FAILED, "")
        self.cluster_state.run_ended(run.worker_id, end, now)

    def test_a_gang_of_one_rack_waits_for_a_healthy_rack(self) -> None:
        self.pool()
        self.prove("w11", "w21")
        gang = self.add_last(step(2, 8, gang=True, same_rack=True))
        self.plan(BEGIN_S)
        self.assertEqual(self.places(gang), [])
        self.prove("w23", now=BEGIN_S + 0.3)
        self.plan(BEGIN_S + 0.3)
        self.assertEqual(self.places(gang), ["w21", "w23"])

    def test_a_gang_that_no_rack_ever_holds_starts_on_healthy_workers_of_several(self) -> None:
        self.pool(each=2)
        self.prove("w11", "w12", "w21")
        gang = self.add_last(step(3, 8, gang=True, same_rack=True))
        self.assertEqual(self.started_at(gang), 0.0)

    def test_it_is_diagnosed(self) -> None:
        self.pool()
        self.prove("w13")
        gang = self.gang(priority=NORMAL)
        self.plan(BEGIN_S)
        wait = self.wait_of(gang, BEGIN_S + 0.1)
        self.assertIs(wait.reason, WaitReason.HEALTHY_WORKER)
        self.assertEqual(wait.until_s, BEGIN_S + WAIT_S)
        after = self.wait_of(gang, BEGIN_S + WAIT_S)
        self.assertIsNot(after.reason, WaitReason.HEALTHY_WORKER)

    def test_a_gang_that_is_not_on_its_last_attempt_is_diagnosed_apart(self) -> None:
        """Guards against one cached diagnosis for both of them."""
        self.pool()
        last = self.gang(priority=NORMAL)
        self.plan(BEGIN_S)
        other = self.gang(priority=NORMAL, failures=1)
        self.assertIs(self.wait_of(last, BEGIN_S).reason, WaitReason.HEALTHY_WORKER)
        self.assertIsNot(self.wait_of(other, BEGIN_S).reason, WaitReason.HEALTHY_WORKER)


class EntitledTest(LastAttemptCase):
    """Urgent work within a guarantee has to start within 2.7 s."""

    def wait_s(self, wait_s: float, accelerators: int) -> float:
        self.use(wait_s)
        self.cluster_state.configure({"depots": accelerators}, {})
        self.pool()
        return self.started_at(self.gang())

    def test_work_within_a_guarantee_waits_for_less_time(self) -> None:
        self.assertEqual(self.wait_s(WAIT_S, 16), ENTITLED_WAIT_S)
        self.assertEqual(self.wait_s(WAIT_S, 15), WAIT_S)

    def test_a_shorter_setting_holds_for_it_as_well(self) -> None:
        self.assertEqual(self.wait_s(0.5, 16), 0.5)


class PreemptionTest(LastAttemptCase):
    """The healthy workers are those that are busy with work of lower priority."""

    def stops_for(self, priority: int, held_by: int = BULK, wait_s: float = WAIT_S) -> list[str]:
        """Workers on which work is stopped for a gang on its last attempt."""
        self.use(wait_s)
        self.pool(each=6)
        self.fill("w11", "w12", priority=held_by)
        gang = self.gang(priority=priority)
        stops = self.plan(BEGIN_S).stops
        self.assertEqual(self.places(gang), [])
        self.assertLessEqual({stop.reason for stop in stops}, {StopReason.PREEMPTED})
        return sorted(stop.worker_id for stop in stops)

    def test_an_urgent_gang_preempts_lower_priorities_on_healthy_workers(self) -> None:
        self.assertEqual(self.stops_for(URGENT), ["w11", "w12"])
        self.assertEqual(self.stops_for(URGENT, NORMAL), ["w11", "w12"])

    def test_it_starts_there_once_they_have_stopped(self) -> None:
        self.stops_for(URGENT)
        self.end(f"{1:016x}", EndKind.STOPPED, BEGIN_S + 0.4)
        self.plan(BEGIN_S + 0.4)
        self.assertEqual(self.places(f"{2:016x}"), ["w11", "w12"])

    def test_no_work_of_the_same_priority_is_preempted(self) -> None:
        self.assertEqual(self.stops_for(URGENT, URGENT), [])

    def test_a_normal_gang_preempts_nothing(self) -> None:
        self.assertEqual(self.stops_for(NORMAL), [])

    def test_nothing_is_preempted_that_would_stop_after_the_wait(self) -> None:
        self.assertEqual(self.stops_for(URGENT, wait_s=USUAL_STOP_S + 0.01), ["w11", "w12"])
        self.assertEqual(self.stops_for(URGENT, wait_s=USUAL_STOP_S - 0.01), [])

    def test_a_reservation_on_a_worker_that_turned_out_faulty_is_given_up(self) -> None:
        self.stops_for(URGENT)
        gang = f"{2:016x}"
        self.cluster_state.workers["w12"].last_healthy_s = None
        self.end(f"{1:016x}", EndKind.STOPPED, BEGIN_S + 0.4)
        self.cluster_state.cancel(f"{1:016x}")
        self.plan(BEGIN_S + 0.4)
        self.assertEqual(self.places(gang), [])
        self.prove("w15", now=BEGIN_S + 0.5)
        self.plan(BEGIN_S + 0.5)
        self.assertEqual(self.places(gang), ["w11", "w15"])

    def test_bulk_work_does_not_take_the_healthy_workers_of_a_normal_gang(self) -> None:
        """Guards against a wait in a busy pool in which bulk work takes each gap."""
        for waits in (True, False):
            self.use(WAIT_S)
            self.pool(each=4, racks=1)
            self.fill("w11", "w12", "w13")
            self.prove("w14")
            if waits:
                self.gang(priority=NORMAL)
            bulk = self.add(step(1, 1), priority=BULK)
            self.step_of(bulk).waiting_since_s = -PATIENT
            self.plan(BEGIN_S)
            self.assertEqual(not self.places(bulk), waits)


class SeededWavesTest(unittest.TestCase):
    """Seeded waves in which 15 percent of 54 workers fail all that they start."""

    SEEDS = range(48)

    def test_fewer_gangs_fail_with_the_wait(self) -> None:
        """Guards against a wait that ends on faulty workers, since these looked healthy."""
        failed = {
            wait_s: sum(WaveScene(seed, wait_s).gang_failed() for seed in self.SEEDS)
            for wait_s in (0.0, WAIT_S)
        }
        self.assertGreater(failed[0.0], 0)
        self.assertLess(failed[WAIT_S], failed[0.0] / 2, failed)


class WaveScene(LastAttemptCase):
    """Bulk work holds half of the pool, and an urgent gang of 14 workers arrives in the wave."""

    TICK_S = 0.05
    WAVE_S = (3.0, 9.0)
    ARRIVAL_S = (3.1, 4.5)
    END_S = 8.0
    RUN_S = 2.5
    BULK_INTERVAL_S = 0.5
    BULK_TASKS = (14, 24)
    FAULTY_SHARE = 0.15

    def __init__(self, seed: int, wait_s: float) -> None:
        super().__init__()
        self.setUp()
        self.use(wait_s)
        self.rng = random.Random(seed)
        self.workers(racks=6, each=9)
        names = sorted(self.cluster_state.workers)
        self.faulty = set(self.rng.sample(names, round(self.FAULTY_SHARE * len(names))))
        self.began_s: dict[Run, float] = {}

    def gang_failed(self) -> bool:
        """Whether the job of the gang failed."""
        arrival_s = self.rng.uniform(*self.ARRIVAL_S)
        gang = ""
        for tick in range(round(self.END_S / self.TICK_S)):
            now = tick * self.TICK_S
            self.advance(now)
            if tick % round(self.BULK_INTERVAL_S / self.TICK_S) == 0:
                count = self.rng.randint(*self.BULK_TASKS)
                self.add(step(count, 4), priority=BULK, attempts=9)
            if not gang and now >= arrival_s:
                gang = self.add(step(14, 8, gang=True))
            self.plan(now)
        return self.state(gang) is JobState.FAILED

    def advance(self, now: float) -> None:
        """Let runs fail, stop, end or make progress."""
        begin_s, end_s = self.WAVE_S
        for worker in list(self.cluster_state.workers.values()):
            for run in list(worker.runs.values()):
                if run not in self.began_s:
                    self.began_s[run] = now
                    if begin_s <= now < end_s and run.worker_id in self.faulty:
                        self.finish(run, EndKind.FAILED, now)
                elif run.stopping:
                    self.finish(run, EndKind.STOPPED, now)
                elif now - self.began_s[run] >= self.RUN_S:
                    self.finish(run, EndKind.DONE, now)
                elif run.task.step.step.gang or now % 0.5 < self.TICK_S:
                    worker.record_progress(run, now)

    def finish(self, run: Run, how: EndKind, now: float) -> None:
        end = EndedTask(1, str(run.task.name), run.number, how, "")
        self.cluster_state.run_ended(run.worker_id, end, now)


class SettingTest(unittest.TestCase):
    def test_the_setting_is_off_by_default_and_reaches_the_options(self) -> None:
        self.assertEqual(SchedulingOptions().last_attempt_wait_s, 0.0)
        options = Scheduling(last_attempt_wait_s=WAIT_S).options
        self.assertEqual(options, SchedulingOptions(last_attempt_wait_s=WAIT_S))


if __name__ == "__main__":
    unittest.main()
