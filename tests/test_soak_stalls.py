"""Jobs that stand still beside a free pool: which are found, and what explains them."""

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
LATE_S = 100.0
REACH_S = TIMES.lease_s + RECOVERY_SLACK_S
LED = Term(1, "vm-1", -50.0)


def work(*steps: Step, accepted_s: float = 1.0, attempts: int = 1) -> AcceptedRequest:
    request = JobRequest(payload="{}", steps=steps or (Step(count=2, needs=ONE),))
    return AcceptedRequest(JOB, request, accepted_s, attempts)


def history(builder: RecordBuilder, *works: AcceptedRequest, until_s: float = END_S) -> SoakHistory:
    found = works or (work(),)
    requests = {each.job_id: each.request for each in found}
    return SoakHistory(RunHistory.of(builder.records), found, requests, CAPACITY, 0.0, until_s)


class StoryTest(unittest.TestCase):
    """Four workers of eight accelerators, and what one job of two tasks waits for."""

    def setUp(self) -> None:
        self.builder = RecordBuilder()
        for worker in "abcd":
            self.builder.worker(worker, machine=f"m-{worker}")

    def done(self, began_s: float, ended_s: float, *, tasks: int = 2) -> None:
        for index in range(tasks):
            self.builder.begin("a", began_s, index=index)
            self.builder.end("a", ended_s, index=index, acknowledged_s=ended_s)

    def fill(self, workers: str, began_s: float, ended_s: float, room: int = 8) -> None:
        """Another job holds some workers."""
        for index, worker in enumerate(workers):
            self.builder.begin(worker, began_s, index=index, room=room, job=OTHER)
            self.builder.end(worker, ended_s, index=index, acknowledged_s=ended_s, job=OTHER)


class FoundTest(StoryTest):
    def found(
        self, *works: AcceptedRequest, excluded: tuple[ExcludedPeriod, ...] = ()
    ) -> list[StallPeriod]:
        return find_stalls(history(self.builder, *works), excluded)

    def test_a_job_that_starts_at_once_stands_never(self) -> None:
        self.done(1.0, 5.0)
        self.assertEqual(self.found(), [])

    def test_a_job_that_stands_beside_a_free_pool(self) -> None:
        self.fill("bbb", 2.0, 6.0, room=2)
        self.builder.begin("c", 5.4, job=OTHER, index=5)
        self.done(5.5, 9.0)
        self.assertEqual(self.found(), [StallPeriod(JOB, 1.0, 5.5, PoolUsage(6, 32), 3)])

    def test_nearly_too_long_is_none(self) -> None:
        self.done(1.0 + STALL_S - 0.01, 9.0)
        self.assertEqual(self.found(), [])

    def test_a_job_that_never_starts_stands_to_the_end(self) -> None:
        self.assertEqual(self.found(), [StallPeriod(JOB, 1.0, END_S, PoolUsage(0, 32))])

    def test_it_stands_again_between_two_runs(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.end("a", 3.0, "failed", acknowledged_s=3.0)
        self.done_again(7.0, 8.0)
        self.assertEqual(
            self.found(work(attempts=4)), [StallPeriod(JOB, 3.0, 7.0, PoolUsage(0, 32))]
        )

    def done_again(self, began_s: float, ended_s: float) -> None:
        for index in range(2):
            self.builder.begin("b", began_s, index=index, run=2)
            self.builder.end("b", ended_s, index=index, run=2, acknowledged_s=ended_s)

    def test_an_end_that_nobody_noted_does_not_count(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.end("a", 3.0)
        self.builder.begin("a", 1.0, index=1)
        self.builder.end("a", 3.0, index=1)
        self.done_again(7.0, 8.0)
        self.assertEqual([(each.since_s, each.until_s) for each in self.found()], [(3.0, 7.0)])

    def test_a_pool_that_is_half_used_is_none(self) -> None:
        self.fill("ab", 0.5, 30.0)
        self.assertEqual([each.since_s for each in self.found()], [30.0])
        self.builder.worker("e", 25.0)
        self.assertEqual([each.since_s for each in self.found()], [25.0])

    def test_room_for_less_than_twice_is_none(self) -> None:
        wide = Step(count=13, needs=ONE, gang=True)
        self.fill("a", 0.5, 30.0)
        self.assertEqual([each.since_s for each in self.found(work(wide))], [30.0])
        wide = replace_count(wide, 12)
        self.assertEqual([each.since_s for each in self.found(work(wide))], [1.0])

    def test_processors_memory_and_the_most_a_worker_count(self) -> None:
        for step in (
            Step(count=1, needs=Resources(32_001, 1, 1)),
            Step(count=1, needs=Resources(1, 65_537, 1)),
            Step(count=3, needs=ONE, gang=True, per_worker=1),
        ):
            self.assertEqual(self.found(work(step)), [])

    def test_workers_that_leave_are_no_room(self) -> None:
        for worker in "abc":
            self.builder.announce(worker, 0.5)
        big = Step(count=1, needs=Resources(1000, 1024, 8))
        self.assertEqual(self.found(work(big)), [])
        self.assertEqual(len(self.found()), 1)

    def test_room_in_trouble_is_left_out(self) -> None:
        excluded = (ExcludedPeriod(frozenset({"m-a", "m-b", "m-c", "m-d"}), 0.5, 20.0),)
        self.assertEqual([each.since_s for each in self.found(excluded=excluded)], [20.0])

    def test_runs_end_with_their_worker(self) -> None:
        self.builder.begin("a", 1.0)
        self.builder.gone("a", 4.0, crashed=True)
        self.done_again(8.0, 9.0)
        self.assertEqual(self.found(), [StallPeriod(JOB, 4.0, 8.0, PoolUsage(0, 24))])


class TurnTest(StoryTest):
    def spans(self, one: AcceptedRequest) -> list[tuple[float, float]]:
        found = runnable_periods(one, RunHistory.of(self.builder.records).runs, epoch_s=-1000.0)
        return [(turn.began_s, turn.ended_s) for turn in found]

    def test_a_step_waits_for_those_before_it(self) -> None:
        steps = (Step(count=2, needs=ONE), Step(count=1, needs=ONE, after=(0,)))
        self.assertEqual(self.spans(work(*steps)), [(1.0, math.inf)])
        self.done(1.0, 20.0)
        self.assertEqual(self.spans(work(*steps)), [(1.0, 20.0), (20.0, math.inf)])
        found = find_stalls(history(self.builder, work(*steps)))
        self.assertEqual([each.since_s for each in found], [20.0])

    def test_each_time_of_a_job_is_waited_for(self) -> None:
        request = JobRequest(
            payload="{}",
            steps=(Step(count=1, needs=ONE),),
            times=2,
            first_at_ms=1_010_000,
            interval_ms=10_000,
        )
        timed = AcceptedRequest(JOB, request, 1.0, 1)
        self.assertEqual(self.spans(timed), [(10.0, math.inf), (20.0, math.inf)])

    def test_a_gang_is_done_with_one_member_s_end(self) -> None:
        gang = Step(count=2, needs=ONE, gang=True)
        self.done(1.0, 4.0, tasks=1)
        self.assertEqual(self.spans(work(gang)), [(1.0, 4.0)])
        self.assertEqual(self.spans(work()), [(1.0, math.inf)])

    def test_a_job_that_failed_as_often_as_it_may_is_over(self) -> None:
        for run, ended_s in ((1, 3.0), (2, 6.0)):
            self.builder.begin("a", ended_s - 1.0, run=run)
            self.builder.end("a", ended_s, "failed", run=run, acknowledged_s=ended_s)
        self.assertEqual(self.spans(work(attempts=2)), [(1.0, 6.0)])
        self.assertEqual(self.spans(work(attempts=3)), [(1.0, math.inf)])

    def test_what_a_client_was_told_ends_a_job(self) -> None:
        self.assertEqual(self.spans(replace(work(), closed_s=5.0)), [(1.0, 5.0)])
        self.assertEqual(self.spans(replace(work(), closed_s=0.5)), [])


class ExcuseTest(StoryTest):
    """A job that stands from 100 s to 106 s in an undisturbed pool, but for one fault."""

    def judged(
        self,
        *faults: Fault,
        terms: tuple[Term, ...] = (LED,),
        ordered_starts: tuple[OrderedStart, ...] = (),
        until_s: float = 106.0,
    ) -> ClassifiedStall:
        whole = history(self.builder, work(accepted_s=LATE_S), until_s=until_s)
        (stall,) = find_stalls(whole)
        halls = {"vm-1": "hall-1", "vm-2": "hall-2"}
        return StallClassifier(whole, faults, terms, halls, TIMES).classify(stall, ordered_starts)

    def test_nothing_explains_a_standstill_in_the_calm(self) -> None:
        self.assertEqual(self.judged().causes, ())

    def test_what_befell_others_explains_nothing(self) -> None:
        for fault in (
            Fault(FaultKind.VM_KILL, 1.0, 99.0, 101.0, on="vm-2"),
            Fault(FaultKind.HALL_KILL, 1.0, 99.0, 101.0, on="hall-2"),
            Fault(FaultKind.STORE_SHARE_AWAY, 1.0, 99.0, 101.0, on="vm-2 vm-3"),
            Fault(FaultKind.WORKER_CRASH, 1.0, 99.0, 99.0, on="m-d"),
        ):
            self.assertEqual(self.judged(fault).causes, (), fault)

    def test_a_fault_of_the_leader_explains(self) -> None:
        for fault in (
            Fault(FaultKind.LEADER_FREEZE, 1.0, 99.0, 101.0, on="vm-1"),
            Fault(FaultKind.HALL_KILL, 1.0, 99.0, 101.0, on="hall-1"),
            Fault(FaultKind.STORE_SHARE_AWAY, 1.0, 99.0, 101.0, on="vm-2 vm-1"),
        ):
            self.assertEqual(self.judged(fault).causes, (StallCause.LEADER,), fault)

    def test_a_change_of_leader_explains(self) -> None:
        terms = (Term(1, "vm-1", 0.0, 98.0), Term(2, "vm-2", 99.0))
        self.assertEqual(self.judged(terms=terms).causes, (StallCause.LEADER,))
        later = (Term(1, "vm-1", 0.0, 98.0 - REACH_S), Term(2, "vm-2", 99.0 - REACH_S))
        self.assertEqual(self.judged(terms=later).causes, ())

    def test_what_stops_a_leader_explains_nothing_once_others_start(self) -> None:
        stopped = (
            Fault(FaultKind.LEADER_FREEZE, 1.0, 99.0, 99.5, on="vm-1"),
            Fault(FaultKind.STORE_AWAY, 1.0, 99.0, 99.5),
            Fault(FaultKind.ALL_KILL, 1.0, 99.0, 99.5, on="all"),
        )
        terms = (Term(1, "vm-1", 0.0, 98.0), Term(2, "vm-2", 99.0))
        self.fill("a", 102.5, 103.0, room=1)
        for fault in stopped:
            self.assertEqual(len(self.judged(fault).causes), 1, fault)
        self.assertEqual(self.judged(terms=terms).causes, (StallCause.LEADER,))
        self.fill("b", 100.2, 100.4, room=1)
        for fault in stopped:
            self.assertEqual(self.judged(fault).causes, (), fault)
        self.assertEqual(self.judged(terms=terms).causes, ())
        cut = Fault(FaultKind.HALL_CUT, 1.0, 99.0, 99.5, on="hall-1")
        self.assertIn(StallCause.ALL, self.judged(cut).causes)

    def test_a_fault_of_a_former_leader_reaches_no_further_than_its_term(self) -> None:
        terms = (Term(1, "vm-1", 0.0, 95.0), Term(2, "vm-2", 95.1))
        self.fill("a", 95.2, 95.4, room=1)
        frozen = Fault(FaultKind.LEADER_FREEZE, 1.0, 94.0, 104.0, on="vm-1")
        self.assertEqual(self.judged(frozen, terms=terms).causes, ())

    def test_a_fault_of_all_explains(self) -> None:
        for kind in (FaultKind.STORE_AWAY, FaultKind.ALL_KILL, FaultKind.HALL_CUT):
            self.assertEqual(self.judged(Fault(kind, 1.0, 99.0, 101.0)).causes, (StallCause.ALL,))

    def test_a_fault_reaches_one_lease_and_some_more(self) -> None:
        ended_s = LATE_S + STALL_S - REACH_S
        near = Fault(FaultKind.STORE_AWAY, 1.0, 80.0, ended_s + 0.1)
        self.assertEqual(self.judged(near).causes, (StallCause.ALL,))
        far = Fault(FaultKind.STORE_AWAY, 1.0, 80.0, ended_s - 0.1)
        self.assertEqual(self.judged(far).causes, ())

    def test_a_fault_that_came_too_late_explains_nothing(self) -> None:
        late = Fault(FaultKind.STORE_AWAY, 1.0, LATE_S + STALL_S, 105.0)
        self.assertEqual(self.judged(late).causes, ())
        early = replace_began(late, LATE_S + STALL_S - 0.1)
        self.assertEqual(self.judged(early).causes, (StallCause.ALL,))

    def test_a_fault_of_a_worker_that_it_was_on_explains(self) -> None:
        self.builder.begin("a", 95.0)
        self.builder.end("a", 99.5, "lapsed", acknowledged_s=99.6)
        fault = Fault(FaultKind.WORKER_HANG, 3.0, 98.0, 98.0, on="m-a")
        self.assertEqual(self.judged(fault).causes, (StallCause.WORKERS,))
        self.assertEqual(self.judged(replace_on(fault, "m-b")).causes, ())

    def test_a_start_that_was_ordered_to_a_worker_in_trouble_explains(self) -> None:
        fault = Fault(FaultKind.WORKER_HANG, 3.0, 98.0, 98.0, on="m-a")
        ordered = OrderedStart(100.1, "a")
        self.assertEqual(
            self.judged(fault, ordered_starts=(ordered,)).causes, (StallCause.WORKERS,)
        )
        after = OrderedStart(105.9, "a")
        self.assertEqual(self.judged(fault, ordered_starts=(after,)).causes, ())

    def test_room_on_workers_in_trouble_alone_explains(self) -> None:
        fault = Fault(FaultKind.WORKER_LAPSE, 3.0, 98.0, 98.0, on="m-a m-b m-c m-d")
        self.assertEqual(self.judged(fault).causes, (StallCause.EXCLUDED_WORKERS,))
        some = replace_on(fault, "m-a m-b m-c")
        self.assertEqual(self.judged(some).causes, ())

    def test_a_job_that_fails_by_itself_explains_nothing(self) -> None:
        self.fill("abcd", 90.0, 99.9, room=4)
        self.assertEqual(self.judged().causes, ())

    def test_gaps(self) -> None:
        whole = Span(0.0, 10.0)
        self.assertEqual(longest_gap_s(whole, []), 10.0)
        others = [Span(6.0, 7.0), Span(-1.0, 2.0), Span(1.0, 3.0), Span(9.0, 20.0)]
        self.assertEqual(longest_gap_s(whole, others), 3.0)
        self.assertEqual(longest_gap_s(whole, [Span(-5.0, 50.0)]), 0.0)
        self.assertEqual(longest_gap_s(whole, [Span(20.0, 50.0)]), 10.0)


class OrderTest(unittest.TestCase):
    def test_starts_are_found_in_logs(self) -> None:
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
