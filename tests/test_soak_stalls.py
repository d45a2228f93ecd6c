"""Tests of stalls beside a free pool: how they are found and which causes explain them."""

from __future__ import annotations

import math
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from saddlestack.policy.stall import STALL_S, PoolUsage
from saddlestack.soak.faults import Fault
from saddlestack.soak.logsearch import ordered_starts_of
from saddlestack.soak.platform import Term
from saddlestack.soak.runnable_periods import AcceptedRequest, runnable_periods
from saddlestack.soak.runs import RunHistory
from saddlestack.soak.shape import FaultKind
from saddlestack.soak.stall_causes import (
    RECOVERY_SLACK_S,
    ClassifiedStall,
    OrderedStart,
    Span,
    StallCause,
    StallClassifier,
    longest_gap_s,
)
from saddlestack.soak.stalls import ExcludedPeriod, SoakHistory, StallPeriod, find_stalls
from saddlestack.work import JobRequest, Resources, Step
from tests.soak_records import JOB, RecordBuilder
from tests.soak_support import TIMES

OTHER = "00000000000000bb"
ONE = Resources(1000, 1024, 1)
CAPACITY = Resources(32_000, 65_536, 8)
END_S = 60.0
ACCEPTED_S = 100.0
RECOVERY_S = TIMES.lease_s + RECOVERY_SLACK_S
LEADER_TERM = Term(1, "vm-1", -50.0)


def accepted(*steps: Step, accepted_s: float = 1.0, attempts: int = 1) -> AcceptedRequest:
    request = JobRequest(payload="{}", steps=steps or (Step(count=2, needs=ONE),))
    return AcceptedRequest(JOB, request, accepted_s, attempts)


def make_history(
    builder: RecordBuilder, *requests_accepted: AcceptedRequest, until_s: float = END_S
) -> SoakHistory:
    found = requests_accepted or (accepted(),)
    requests = {each.job_id: each.request for each in found}
    return SoakHistory(RunHistory.of(builder.records), found, requests, CAPACITY, 0.0, until_s)


class FourWorkersTest(unittest.TestCase):
    """Four workers of eight accelerators, and one job of two tasks that waits."""

    def setUp(self) -> None:
        self.builder = RecordBuilder()
        for worker in "abcd":
            self.builder.worker(worker, machine=f"m-{worker}")

    def add_done_runs(self, began_s: float, ended_s: float, *, tasks: int = 2) -> None:
        for index in range(tasks):
            self.builder.begin("a", began_s, index=index)
            self.builder.end("a", ended_s, index=index, acknowledged_s=ended_s)

    def use_workers(
        self, workers: str, began_s: float, ended_s: float, accelerators: int = 8
    ) -> None:
        """Let another job use some workers."""
        for index, worker in enumerate(workers):
            self.builder.begin(worker, began_s, index=index, accelerators=accelerators, job=OTHER)
            self.builder.end(worker, ended_s, index=index, acknowledged_s=ended_s, job=OTHER)


class FindStallsTest(FourWorkersTest):
    def found(
        self, *requests_accepted: AcceptedRequest, excluded: tuple[ExcludedPeriod, ...] = ()
    ) -> list[StallPeriod]:
        return find_stalls(make_history(self.builder, *requests_accepted), excluded)

    def test_job_that_starts_at_once_is_not_stalled(self) -> None:
        self.add_done_runs(1.0, 5.0)
        self.assertEqual(self.found(), [])

    def test_job_stalled_beside_a_free_pool(self) -> None:
        self.use_workers("bbb", 2.0, 6.0, accelerators=2)
        self.builder.begin("c", 5.4, job=OTHER, index=5)
        self.add_done_runs(5.5, 9.0)
        self.assertEqual(self.found(), [StallPeriod(JOB, 1.0, 5.5, PoolUsage(6, 32), 3)])

    def test_wait_below_the_limit_is_no_stall(self) -> None:
        self.add_done_runs(1.0 + STALL_S - 0.01, 9.0)
        self.assertEqual(self.found(), [])

    def test_job_that_never_starts_is_stalled_to_the_end(self) -> None:
        self.assertEqual(self.found(), [StallPeriod(JOB, 1.0, END_S, PoolUsage(0, 32))])

    def test_job_stalls_again_between_two_runs(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.end("a", 3.0, "failed", acknowledged_s=3.0)
        self.add_second_runs(7.0, 8.0)
        self.assertEqual(
            self.found(accepted(attempts=4)), [StallPeriod(JOB, 3.0, 7.0, PoolUsage(0, 32))]
        )

    def add_second_runs(self, began_s: float, ended_s: float) -> None:
        for index in range(2):
            self.builder.begin("b", began_s, index=index, run=2)
            self.builder.end("b", ended_s, index=index, run=2, acknowledged_s=ended_s)

    def test_unacknowledged_end_does_not_count(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.end("a", 3.0)
        self.builder.begin("a", 1.0, index=1)
        self.builder.end("a", 3.0, index=1)
        self.add_second_runs(7.0, 8.0)
        self.assertEqual([(each.since_s, each.until_s) for each in self.found()], [(3.0, 7.0)])

    def test_an_end_that_is_acknowledged_after_the_lease_expired_counts(self) -> None:
        """Soak of the configuration shape, seed 2: a completed job counted as stalled for 3.9 s."""
        for index in range(2):
            self.builder.begin("a", 1.0, index=index)
            self.builder.end("a", 3.0, index=index, acknowledged_s=7.0, lease_expired=True)
        self.assertEqual(self.found(), [])

    def test_no_stall_in_a_half_used_pool(self) -> None:
        self.use_workers("ab", 0.5, 30.0)
        self.assertEqual([each.since_s for each in self.found()], [30.0])
        self.builder.worker("e", 25.0)
        self.assertEqual([each.since_s for each in self.found()], [25.0])

    def test_no_stall_without_capacity_for_two_copies(self) -> None:
        wide = Step(count=13, needs=ONE, gang=True)
        self.use_workers("a", 0.5, 30.0)
        self.assertEqual([each.since_s for each in self.found(accepted(wide))], [30.0])
        wide = replace_count(wide, 12)
        self.assertEqual([each.since_s for each in self.found(accepted(wide))], [1.0])

    def test_cpu_memory_and_limit_per_worker_count(self) -> None:
        for step in (
            Step(count=1, needs=Resources(32_001, 1, 1)),
            Step(count=1, needs=Resources(1, 65_537, 1)),
            Step(count=3, needs=ONE, gang=True, per_worker=1),
        ):
            self.assertEqual(self.found(accepted(step)), [])

    def test_draining_workers_have_no_free_capacity(self) -> None:
        for worker in "abc":
            self.builder.announce(worker, 0.5)
        big = Step(count=1, needs=Resources(1000, 1024, 8))
        self.assertEqual(self.found(accepted(big)), [])
        self.assertEqual(len(self.found()), 1)

    def test_excluded_capacity_does_not_count(self) -> None:
        excluded = (ExcludedPeriod(frozenset({"m-a", "m-b", "m-c", "m-d"}), 0.5, 20.0),)
        self.assertEqual([each.since_s for each in self.found(excluded=excluded)], [20.0])

    def test_runs_end_with_their_worker(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.end_incarnation("a", 4.0, crashed=True)
        self.add_second_runs(8.0, 9.0)
        self.assertEqual(self.found(), [StallPeriod(JOB, 4.0, 8.0, PoolUsage(0, 24))])


class RunnablePeriodTest(FourWorkersTest):
    def spans(self, one: AcceptedRequest) -> list[tuple[float, float]]:
        found = runnable_periods(one, RunHistory.of(self.builder.records).runs, epoch_s=-1000.0)
        return [(turn.began_s, turn.ended_s) for turn in found]

    def test_step_waits_for_its_prerequisites(self) -> None:
        steps = (Step(count=2, needs=ONE), Step(count=1, needs=ONE, after=(0,)))
        self.assertEqual(self.spans(accepted(*steps)), [(1.0, math.inf)])
        self.add_done_runs(1.0, 20.0)
        self.assertEqual(self.spans(accepted(*steps)), [(1.0, 20.0), (20.0, math.inf)])
        found = find_stalls(make_history(self.builder, accepted(*steps)))
        self.assertEqual([each.since_s for each in found], [20.0])

    def test_each_occurrence_starts_at_its_time(self) -> None:
        request = JobRequest(
            payload="{}",
            steps=(Step(count=1, needs=ONE),),
            times=2,
            first_at_ms=1_010_000,
            interval_ms=10_000,
        )
        timed = AcceptedRequest(JOB, request, 1.0, 1)
        self.assertEqual(self.spans(timed), [(10.0, math.inf), (20.0, math.inf)])

    def test_gang_is_done_with_the_end_of_one_member(self) -> None:
        gang = Step(count=2, needs=ONE, gang=True)
        self.add_done_runs(1.0, 4.0, tasks=1)
        self.assertEqual(self.spans(accepted(gang)), [(1.0, 4.0)])
        self.assertEqual(self.spans(accepted()), [(1.0, math.inf)])

    def test_job_without_attempts_left_is_over(self) -> None:
        for run, ended_s in ((1, 3.0), (2, 6.0)):
            self.builder.begin("a", ended_s - 1.0, run=run)
            self.builder.end("a", ended_s, "failed", run=run, acknowledged_s=ended_s)
        self.assertEqual(self.spans(accepted(attempts=2)), [(1.0, 6.0)])
        self.assertEqual(self.spans(accepted(attempts=3)), [(1.0, math.inf)])

    def test_state_received_by_the_client_ends_a_job(self) -> None:
        self.assertEqual(self.spans(replace(accepted(), closed_s=5.0)), [(1.0, 5.0)])
        self.assertEqual(self.spans(replace(accepted(), closed_s=0.5)), [])


class StallCauseTest(FourWorkersTest):
    """A job that is stalled from 100 s to 106 s, with at most one fault nearby."""

    def classified(
        self,
        *faults: Fault,
        terms: tuple[Term, ...] = (LEADER_TERM,),
        ordered_starts: tuple[OrderedStart, ...] = (),
        until_s: float = 106.0,
    ) -> ClassifiedStall:
        stalled_history = make_history(
            self.builder, accepted(accepted_s=ACCEPTED_S), until_s=until_s
        )
        (stall,) = find_stalls(stalled_history)
        halls = {"vm-1": "hall-1", "vm-2": "hall-2"}
        return StallClassifier(stalled_history, faults, terms, halls, TIMES).classify(
            stall, ordered_starts
        )

    def test_stall_without_faults_has_no_cause(self) -> None:
        self.assertEqual(self.classified().causes, ())

    def test_faults_of_others_are_no_cause(self) -> None:
        for fault in (
            Fault(FaultKind.VM_KILL, 1.0, 99.0, 101.0, on="vm-2"),
            Fault(FaultKind.HALL_KILL, 1.0, 99.0, 101.0, on="hall-2"),
            Fault(FaultKind.STORE_SHARE_AWAY, 1.0, 99.0, 101.0, on="vm-2 vm-3"),
            Fault(FaultKind.WORKER_CRASH, 1.0, 99.0, 99.0, on="m-d"),
        ):
            self.assertEqual(self.classified(fault).causes, (), fault)

    def test_fault_of_the_leader_is_a_cause(self) -> None:
        for fault in (
            Fault(FaultKind.LEADER_FREEZE, 1.0, 99.0, 101.0, on="vm-1"),
            Fault(FaultKind.HALL_KILL, 1.0, 99.0, 101.0, on="hall-1"),
            Fault(FaultKind.STORE_SHARE_AWAY, 1.0, 99.0, 101.0, on="vm-2 vm-1"),
        ):
            self.assertEqual(self.classified(fault).causes, (StallCause.LEADER,), fault)

    def test_change_of_leader_is_a_cause(self) -> None:
        terms = (Term(1, "vm-1", 0.0, 98.0), Term(2, "vm-2", 99.0))
        self.assertEqual(self.classified(terms=terms).causes, (StallCause.LEADER,))
        later = (Term(1, "vm-1", 0.0, 98.0 - RECOVERY_S), Term(2, "vm-2", 99.0 - RECOVERY_S))
        self.assertEqual(self.classified(terms=later).causes, ())

    def test_stop_of_the_leader_is_no_cause_once_others_start(self) -> None:
        stopped = (
            Fault(FaultKind.LEADER_FREEZE, 1.0, 99.0, 99.5, on="vm-1"),
            Fault(FaultKind.STORE_AWAY, 1.0, 99.0, 99.5),
            Fault(FaultKind.ALL_KILL, 1.0, 99.0, 99.5, on="all"),
        )
        terms = (Term(1, "vm-1", 0.0, 98.0), Term(2, "vm-2", 99.0))
        self.use_workers("a", 102.5, 103.0, accelerators=1)
        for fault in stopped:
            self.assertEqual(len(self.classified(fault).causes), 1, fault)
        self.assertEqual(self.classified(terms=terms).causes, (StallCause.LEADER,))
        self.use_workers("b", 100.2, 100.4, accelerators=1)
        for fault in stopped:
            self.assertEqual(self.classified(fault).causes, (), fault)
        self.assertEqual(self.classified(terms=terms).causes, ())
        cut = Fault(FaultKind.HALL_CUT, 1.0, 99.0, 99.5, on="hall-1")
        self.assertIn(StallCause.ALL, self.classified(cut).causes)

    def test_fault_of_a_former_leader_ends_with_its_term(self) -> None:
        terms = (Term(1, "vm-1", 0.0, 95.0), Term(2, "vm-2", 95.1))
        self.use_workers("a", 95.2, 95.4, accelerators=1)
        frozen = Fault(FaultKind.LEADER_FREEZE, 1.0, 94.0, 104.0, on="vm-1")
        self.assertEqual(self.classified(frozen, terms=terms).causes, ())

    def test_fault_of_all_vms_is_a_cause(self) -> None:
        for kind in (FaultKind.STORE_AWAY, FaultKind.ALL_KILL, FaultKind.HALL_CUT):
            self.assertEqual(
                self.classified(Fault(kind, 1.0, 99.0, 101.0)).causes, (StallCause.ALL,)
            )

    def test_fault_affects_one_lease_and_the_slack(self) -> None:
        ended_s = ACCEPTED_S + STALL_S - RECOVERY_S
        near = Fault(FaultKind.STORE_AWAY, 1.0, 80.0, ended_s + 0.1)
        self.assertEqual(self.classified(near).causes, (StallCause.ALL,))
        far = Fault(FaultKind.STORE_AWAY, 1.0, 80.0, ended_s - 0.1)
        self.assertEqual(self.classified(far).causes, ())

    def test_fault_that_began_too_late_is_no_cause(self) -> None:
        late = Fault(FaultKind.STORE_AWAY, 1.0, ACCEPTED_S + STALL_S, 105.0)
        self.assertEqual(self.classified(late).causes, ())
        early = replace_began(late, ACCEPTED_S + STALL_S - 0.1)
        self.assertEqual(self.classified(early).causes, (StallCause.ALL,))

    def test_fault_of_the_job_s_worker_is_a_cause(self) -> None:
        self.builder.begin("a", 95.0)
        self.builder.end("a", 99.5, "lapsed", acknowledged_s=99.6)
        fault = Fault(FaultKind.WORKER_HANG, 3.0, 98.0, 98.0, on="m-a")
        self.assertEqual(self.classified(fault).causes, (StallCause.WORKERS,))
        self.assertEqual(self.classified(replace_on(fault, "m-b")).causes, ())

    def test_start_ordered_on_a_faulty_worker_is_a_cause(self) -> None:
        fault = Fault(FaultKind.WORKER_HANG, 3.0, 98.0, 98.0, on="m-a")
        ordered = OrderedStart(100.1, "a")
        self.assertEqual(
            self.classified(fault, ordered_starts=(ordered,)).causes, (StallCause.WORKERS,)
        )
        after = OrderedStart(105.9, "a")
        self.assertEqual(self.classified(fault, ordered_starts=(after,)).causes, ())

    def test_free_capacity_on_faulty_workers_alone_is_a_cause(self) -> None:
        fault = Fault(FaultKind.WORKER_LAPSE, 3.0, 98.0, 98.0, on="m-a m-b m-c m-d")
        self.assertEqual(self.classified(fault).causes, (StallCause.EXCLUDED_WORKERS,))
        some = replace_on(fault, "m-a m-b m-c")
        self.assertEqual(self.classified(some).causes, ())

    def test_failing_job_is_no_cause(self) -> None:
        self.use_workers("abcd", 90.0, 99.9, accelerators=4)
        self.assertEqual(self.classified().causes, ())

    def test_gaps(self) -> None:
        span = Span(0.0, 10.0)
        self.assertEqual(longest_gap_s(span, []), 10.0)
        others = [Span(6.0, 7.0), Span(-1.0, 2.0), Span(1.0, 3.0), Span(9.0, 20.0)]
        self.assertEqual(longest_gap_s(span, others), 3.0)
        self.assertEqual(longest_gap_s(span, [Span(-5.0, 50.0)]), 0.0)
        self.assertEqual(longest_gap_s(span, [Span(20.0, 50.0)]), 10.0)


class OrderedStartsTest(unittest.TestCase):
    def test_ordered_starts_are_found_in_logs(self) -> None:
        lines = [
            '{"time": "1970-01-02 00:00:01,500", "event": "start", "task": "x1.0.0.0", '
            '"worker": "w1"}',
            '{"time": "1970-01-02 00:00:02,000", "event": "stop", "task": "x1.0.0.0"}',
            '{"time": "1970-01-02 00:00:03,000", "event": "start", "task": "x1.0.0',
        ]
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "a.log"
            log.write_text("\n".join(lines) + "\n")
            found = ordered_starts_of([log], {"x1"}, epoch_s=10.0, most=10)
        self.assertEqual([order.worker for order in found["x1"]], ["w1"])
        self.assertAlmostEqual(found["x1"][0].at_s % 60.0, 11.5)


def replace_count(step: Step, count: int) -> Step:
    return Step(count=count, needs=step.needs, gang=step.gang)


def replace_began(fault: Fault, began_s: float) -> Fault:
    return Fault(fault.kind, fault.seconds, began_s, fault.ended_s, fault.on)


def replace_on(fault: Fault, on: str) -> Fault:
    return Fault(fault.kind, fault.seconds, fault.began_s, fault.ended_s, on)
