"""Tests of the soak's invariants: each one kept and violated by records of workers and clients."""

from __future__ import annotations

import random
import unittest
from dataclasses import replace

from saddlestack.soak.invariants import (
    CAPACITY_LAG_S,
    ClientJob,
    Invariant,
    InvariantTimes,
    Violation,
    check_invariants,
)
from saddlestack.work import JobRequest, JobState, Resources, Step
from tests.soak_records import JOB, RecordBuilder, task_name

TIMES = InvariantTimes(drain_s=3.0, cancel_s=4.0)
ALLOCATION = Resources(1000, 1024, 1)


def request(*steps: Step) -> JobRequest:
    return JobRequest(payload="{}", steps=steps or (Step(count=1, needs=ALLOCATION),))


def client_job(**changes: object) -> ClientJob:
    """Create a job whose outcome is not checked."""
    job = ClientJob(JOB, request(), accepted=False, refused=False)
    return replace(job, **changes)  # type: ignore[arg-type]


def violated(
    builder: RecordBuilder,
    job: ClientJob | None = None,
    *,
    is_undisturbed: bool = True,
    is_fault_free: bool = False,
) -> list[Invariant]:
    found = check_invariants(
        builder.records,
        [job or client_job()],
        TIMES,
        lambda fence, at_s: is_undisturbed,
        is_fault_free=lambda at_s: is_fault_free,
    )
    return [violation.invariant for violation in found]


class OneRunTest(unittest.TestCase):
    def setUp(self) -> None:
        self.builder = RecordBuilder()
        self.builder.worker("a")
        self.builder.worker("b")

    def test_two_runs_at_once(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.begin("b", 2.0, run=2)
        self.assertEqual(violated(self.builder), [Invariant.ONE_RUN])

    def test_stopping_run_counts_until_its_end(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.stop("a", 1.5)
        self.builder.begin("b", 2.0, run=2)
        self.builder.end("a", 2.1, "stopped")
        self.assertEqual(violated(self.builder), [Invariant.ONE_RUN])

    def test_one_after_the_other(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.end("a", 2.0, "lapsed")
        self.builder.begin("b", 2.0, run=2)
        self.assertEqual(violated(self.builder), [])

    def test_run_ends_with_its_crashed_worker(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.end_incarnation("a", 1.5, crashed=True)
        self.builder.begin("b", 2.0, run=2)
        self.assertEqual(violated(self.builder), [])

    def test_later_crash_does_not_excuse(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.begin("b", 2.0, run=2)
        self.builder.end_incarnation("a", 2.5, crashed=True)
        self.assertEqual(violated(self.builder), [Invariant.ONE_RUN])

    def test_a_late_order_counts(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.begin("b", 2.0, run=2, late=True)
        self.assertEqual(violated(self.builder), [Invariant.ONE_RUN])

    def test_order_of_records_does_not_matter(self) -> None:
        self.builder.begin("b", 2.0, run=2)
        self.builder.begin("a", 1.0)
        self.builder.end("a", 3.0)
        self.assertEqual(violated(self.builder), [Invariant.ONE_RUN])

    def test_speculative_copies_are_allowed(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.begin("b", 2.0, run=2)
        job = client_job(request=request(Step(count=1, needs=ALLOCATION, speculative=True)))
        self.assertEqual(violated(self.builder, job), [])


class OnceDoneTest(unittest.TestCase):
    def setUp(self) -> None:
        self.builder = RecordBuilder()
        self.builder.worker("a")
        self.builder.worker("b")
        self.builder.begin("a", 1.0)

    def test_start_after_an_acknowledged_end(self) -> None:
        self.builder.end("a", 2.0, acknowledged_s=2.1)
        self.builder.begin("b", 3.0, run=2)
        self.assertEqual(violated(self.builder), [Invariant.ONCE_DONE])

    def test_start_before_the_end_is_acknowledged(self) -> None:
        self.builder.end("a", 2.0, acknowledged_s=4.0)
        self.builder.begin("b", 3.0, run=2)
        self.assertEqual(violated(self.builder), [Invariant.ONCE_DONE])

    def test_end_that_is_never_acknowledged(self) -> None:
        self.builder.end("a", 2.0)
        self.builder.begin("b", 3.0, run=2)
        self.assertEqual(violated(self.builder), [])

    def test_end_acknowledged_after_the_lease_expired(self) -> None:
        self.builder.end("a", 2.0, acknowledged_s=9.0, lease_expired=True)
        self.builder.begin("b", 3.0, run=2)
        self.assertEqual(violated(self.builder), [])

    def test_other_ends(self) -> None:
        for how in ("failed", "stopped", "lapsed", "broken", "alone"):
            with self.subTest(how):
                builder = RecordBuilder(list(self.builder.records))
                builder.end("a", 2.0, how, acknowledged_s=2.1)
                builder.begin("b", 3.0, run=2)
                self.assertEqual(violated(builder, client_job(attempts=2)), [])

    def test_end_of_one_member_ends_its_gang(self) -> None:
        builder = RecordBuilder()
        builder.worker("a")
        builder.worker("b")
        for worker, index in (("a", 0), ("b", 1)):
            builder.begin(worker, 1.0, index=index, gang=2)
            builder.begin_work(worker, 1.0, index=index)
        builder.end("a", 2.0, index=0, acknowledged_s=2.1)
        builder.end("b", 2.0, index=1)
        builder.begin("b", 3.0, index=1, run=2, gang=2)
        self.assertEqual(violated(builder), [Invariant.ONCE_DONE])


class GangTest(unittest.TestCase):
    def test_gang_that_works_without_all_members(self) -> None:
        builder = RecordBuilder()
        builder.worker("a")
        builder.begin("a", 1.0, gang=2)
        builder.begin_work("a", 1.1)
        self.assertEqual(violated(builder), [Invariant.WHOLE_GANG])

    def test_gang_that_does_not_assemble(self) -> None:
        builder = RecordBuilder()
        builder.worker("a")
        builder.begin("a", 1.0, gang=2)
        builder.end("a", 5.0, "alone")
        self.assertEqual(violated(builder, is_fault_free=True), [Invariant.GANG_ASSEMBLED])
        self.assertEqual(violated(builder, is_fault_free=False), [])
        self.assertEqual(violated(builder, client_job(cancel_sent=True), is_fault_free=True), [])


class WorkerTest(unittest.TestCase):
    def test_a_start_after_the_announced_end(self) -> None:
        for at_s, expected in ((3.9, []), (4.1, [Invariant.DRAIN])):
            with self.subTest(at_s):
                builder = RecordBuilder()
                builder.worker("a")
                builder.announce("a", 1.0)
                builder.begin("a", at_s)
                self.assertEqual(violated(builder), expected)
                self.assertEqual(violated(builder, is_undisturbed=False), [])

    def test_late_order_on_a_draining_worker_is_allowed(self) -> None:
        builder = RecordBuilder()
        builder.worker("a")
        builder.announce("a", 1.0)
        builder.begin("a", 5.0, late=True)
        self.assertEqual(violated(builder), [])

    def test_overcommitted_worker(self) -> None:
        builder = RecordBuilder()
        builder.worker("a", accelerators=4)
        builder.begin("a", 1.0, index=0, accelerators=3)
        builder.stop("a", 1.5)
        builder.begin("a", 2.0, index=1, accelerators=2)
        builder.end("a", 2.1, "stopped", index=0)
        builder.begin("a", 3.0, index=2, accelerators=2)
        self.assertEqual(violated(builder), [Invariant.CAPACITY])


class StartTest(unittest.TestCase):
    def setUp(self) -> None:
        self.builder = RecordBuilder()
        self.builder.worker("a")
        self.builder.begin("a", 10.0)

    def test_a_refused_job_that_ran(self) -> None:
        self.assertEqual(violated(self.builder, client_job(refused=True)), [Invariant.REFUSED])

    def test_start_of_an_unknown_job(self) -> None:
        self.assertEqual(violated(self.builder, client_job(job_id="b" * 16)), [Invariant.UNKNOWN])

    def test_a_start_after_a_cancel(self) -> None:
        for cancelled_s, expected in ((5.9, [Invariant.CANCELLED]), (6.1, [])):
            with self.subTest(cancelled_s):
                job = client_job(cancel_sent=True, cancelled_s=cancelled_s)
                self.assertEqual(violated(self.builder, job), expected)
                self.assertEqual(violated(self.builder, job, is_undisturbed=False), [])

    def test_start_before_prerequisites_are_done(self) -> None:
        steps = (Step(count=1, needs=ALLOCATION), Step(count=1, needs=ALLOCATION, after=(0,)))
        for done_s, expected in ((10.4, []), (10.6, [Invariant.ORDER])):
            with self.subTest(done_s):
                builder = RecordBuilder(list(self.builder.records))
                builder.end("a", done_s)
                builder.begin("a", 10.5, step=1)
                self.assertEqual(violated(builder, client_job(request=request(*steps))), expected)

    def test_a_start_after_all_attempts_failed(self) -> None:
        self.builder.end("a", 11.0, "failed", acknowledged_s=11.1)
        self.builder.begin("a", 12.0, run=2)
        self.assertEqual(violated(self.builder, client_job(attempts=1)), [Invariant.ATTEMPTS])
        self.assertEqual(violated(self.builder, client_job(attempts=2)), [])


class OutcomeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.builder = RecordBuilder()
        self.builder.worker("a")
        self.builder.begin("a", 1.0)

    def violated_by(self, state: JobState | None, **changes: object) -> list[Invariant]:
        job = client_job(accepted=True, state=state, **changes)
        return violated(self.builder, job)

    def test_job_without_final_state(self) -> None:
        for state in (None, JobState.QUEUED, JobState.RUNNING):
            self.assertEqual(self.violated_by(state), [Invariant.FINISHED])

    def test_job_published_as_completed(self) -> None:
        self.assertEqual(self.violated_by(JobState.COMPLETED), [Invariant.COMPLETED])
        self.builder.end("a", 2.0)
        self.assertEqual(self.violated_by(JobState.COMPLETED), [])

    def test_job_published_as_failed(self) -> None:
        self.assertEqual(self.violated_by(JobState.FAILED), [Invariant.FAILED])
        self.builder.end("a", 2.0, "failed")
        self.assertEqual(self.violated_by(JobState.FAILED), [])
        self.assertEqual(self.violated_by(JobState.FAILED, attempts=2), [Invariant.FAILED])

    def test_job_published_as_cancelled(self) -> None:
        self.assertEqual(self.violated_by(JobState.CANCELLED), [Invariant.NOT_CANCELLED])
        self.assertEqual(self.violated_by(JobState.CANCELLED, cancel_sent=True), [])


class GuaranteeTest(unittest.TestCase):
    def test_urgent_job_that_waits_within_its_guarantee(self) -> None:
        job = client_job(
            accepted=True,
            state=JobState.RUNNING,
            account="depots",
            urgent=True,
            submitted_s=1.0,
            accepted_s=1.1,
        )
        for guaranteed, expected in (({"depots": 1}, 1), ({"depots": 0}, 0), ({}, 0)):
            found = check_invariants(
                [], [job], TIMES, is_fault_free=lambda at_s: True, guaranteed=guaranteed
            )
            missed = [each for each in found if each.invariant is Invariant.RECLAIM]
            self.assertEqual(len(missed), expected, guaranteed)


class TextTest(unittest.TestCase):
    def test_text_describes_both_runs(self) -> None:
        builder = RecordBuilder()
        builder.worker("i-1")
        builder.worker("i-2")
        builder.begin("i-1", 101.0, fence=7)
        builder.begin("i-2", 102.5, run=2, fence=8)
        builder.stop("i-2", 103.0, run=2)
        builder.end("i-2", 103.2, "stopped", run=2, acknowledged_s=103.4)
        (violation,) = check_invariants(builder.records, [client_job()], TIMES)
        self.assertIsInstance(violation, Violation)
        self.assertEqual(
            violation.text({7: "vm-7", 8: "vm-8", 2: "vm-2"}.__getitem__, 100.0),
            "+2.500 two runs at once: 00000000000000aa"
            " [00000000000000aa.0.0.0 run 2 on i-2 (hall-1, r1-1) from vm-8, order +2.500"
            " late false, start +2.500 stop +3.000 by vm-2 end +3.200 stopped noted +3.400]"
            " while [00000000000000aa.0.0.0 run 1 on i-1 (hall-1, r1-1) from vm-7, order +1.000"
            " late false, start +1.000 stop none end none running noted no]",
        )


class SeededTest(unittest.TestCase):
    def test_concurrent_runs_match_a_plain_count(self) -> None:
        """Random runs of one task, against a plain count at each start."""
        for seed in range(200):
            rng = random.Random(seed)
            builder = RecordBuilder()
            spans = []
            for number in range(1, 5):
                worker = f"w{number}"
                builder.worker(worker)
                began_s = rng.randrange(20) + number / 10
                ended_s = began_s + rng.randrange(1, 8)
                crashed = rng.random() < 0.3
                builder.begin(worker, began_s, run=number)
                if crashed:
                    builder.end_incarnation(worker, ended_s, crashed=True)
                else:
                    builder.end(worker, ended_s, "lapsed", run=number)
                spans.append((began_s, ended_s))
            expected = sum(
                1
                for first in spans
                for second in spans
                if first is not second and first[0] <= second[0] < first[1]
            )
            found = violated(builder)
            self.assertEqual(found, [Invariant.ONE_RUN] * expected, f"seed {seed}")


if __name__ == "__main__":
    unittest.main()


class CrashesTest(unittest.TestCase):
    """A task that crashes its workers, and how often it may start."""

    def builder(self, crashes: int, *, later: int = 0, by_task: bool = True) -> RecordBuilder:
        builder = RecordBuilder()
        for number in range(crashes + later):
            worker = f"w{number}"
            builder.worker(worker)
            builder.begin(worker, 1.0 + number, run=number + 1)
            if number < crashes:
                builder.crash(worker, 1.1 + number, by=task_name() if by_task else "")
            else:
                builder.end(worker, 1.2 + number, "stopped", run=number + 1)
        return builder

    def test_three_starts_after_three_crashes_are_too_many(self) -> None:
        self.assertEqual(violated(self.builder(3, later=3)), [Invariant.CRASHES])
        self.assertEqual(violated(self.builder(6)), [Invariant.CRASHES])

    def test_two_more_are_not(self) -> None:
        self.assertEqual(violated(self.builder(3, later=2)), [])
        self.assertEqual(violated(self.builder(5)), [])

    def test_workers_that_crash_by_themselves_do_not_count(self) -> None:
        self.assertEqual(violated(self.builder(8, by_task=False)), [])

    def test_job_may_fail_once_two_workers_have_crashed_under_a_task(self) -> None:
        failed = client_job(accepted=True, state=JobState.FAILED)
        self.assertEqual(violated(self.builder(2), failed), [])
        self.assertEqual(violated(self.builder(1), failed), [Invariant.FAILED])


class ReducedCapacityTest(unittest.TestCase):
    def builder(self, ordered_s: float) -> RecordBuilder:
        builder = RecordBuilder()
        builder.worker("a")
        builder.resize("a", 10.0, 2)
        builder.begin("a", ordered_s, accelerators=4)
        return builder

    def test_start_beyond_a_reduced_capacity_is_a_violation_after_the_lag(self) -> None:
        self.assertEqual(violated(self.builder(10.0 + CAPACITY_LAG_S - 0.1)), [])
        self.assertEqual(violated(self.builder(10.0 + CAPACITY_LAG_S + 0.1)), [Invariant.CAPACITY])
        self.assertEqual(violated(self.builder(30.0), is_undisturbed=False), [])

    def test_restored_capacity_may_be_used(self) -> None:
        builder = RecordBuilder()
        builder.worker("a")
        builder.resize("a", 10.0, 2)
        builder.resize("a", 20.0, 8)
        builder.begin("a", 20.1, accelerators=8)
        self.assertEqual(violated(builder), [])

    def test_runs_from_before_the_reduction_are_allowed(self) -> None:
        builder = RecordBuilder()
        builder.worker("a")
        builder.begin("a", 1.0, accelerators=6)
        builder.resize("a", 10.0, 2)
        self.assertEqual(violated(builder), [])
