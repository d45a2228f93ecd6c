"""Tests of the judge of urgent gangs on slow workers, on histories made by hand.

Guards against a judge that accepts what the scheduler has to avoid, or that asks for what it cannot
know.
"""

from __future__ import annotations

import math
import unittest
from dataclasses import dataclass, field

from saddlestack.interfaces.workers import EndKind
from saddlestack.work import Resources, Step, TaskName
from tests.simulation.evidence import PIECES, REPORT_S, SLOW_FROM, USUAL_TO, Evidence
from tests.simulation.slow_gangs import LAG_S, LATE_S, SlowGangJudge, SlowGangs, UrgentGang
from tests.simulation.workers import Plan, SimRun, SimWorker

FACTOR = 2.4
USUAL = 4
"""Number of usual workers beside the slow one; two in each of two racks."""
GANG = "a" * 16
OTHER = "b" * 16
AT_S = 20.0
"""When the gang starts."""
FROM_S = 12.0
WORK_S = 2.0
OBJECTIVE_S = 3.3
ROOM = 8


@dataclass
class History:
    """One slow worker and some usual ones, and their runs."""

    runs: list[SimRun] = field(default_factory=list)
    workers: list[SimWorker] = field(default_factory=list)
    gangs: dict[str, UrgentGang] = field(default_factory=dict)

    def __post_init__(self) -> None:
        for number in range(USUAL + 1):
            rack = f"r{number % 2 + 1}-1"
            worker = SimWorker(f"i-{number}", f"a:{number}", rack, "hall-1", ROOM, 1.0, 0.0)
            worker.factors = [(0.0, 1.0 if number else FACTOR)]
            self.workers.append(worker)

    @property
    def slow(self) -> SimWorker:
        return self.workers[0]

    def compare(self, count: int = PIECES, ends_s: float = AT_S - 4.0, **more: bool) -> None:
        """Run some steps on all workers that end up to a time."""
        for number in range(count):
            for index, worker in enumerate(self.workers):
                work_s = worker.time_factor
                task = TaskName(f"{number:016x}", 0, 0, index)
                self.run(task, worker, ends_s - work_s, ends_s, room=1, **more)

    def run(
        self,
        task: TaskName,
        worker: SimWorker,
        began_s: float,
        ended_s: float | None,
        *,
        room: int,
        gang: int = 0,
        resumed: bool = False,
    ) -> SimRun:
        plan = Plan(1.0, room, gang)
        how = None if ended_s is None else EndKind.DONE
        run = SimRun(task, 1, worker, plan, "vm", 1, began_s, began_s, began_s)
        run.ended_s, run.how, run.resumed = ended_s, how, resumed
        self.runs.append(run)
        return run

    def start_gang(
        self,
        *workers: SimWorker,
        at_s: float = AT_S,
        submitted_s: float | None = None,
        job_id: str = GANG,
        same_rack: bool = False,
        data_rack: str = "",
    ) -> None:
        """Start an urgent gang with one member on each of some workers."""
        count = len(workers)
        step = Step(
            count=count,
            needs=Resources(500, 512, ROOM),
            gang=True,
            same_rack=same_rack,
            data_rack=data_rack,
        )
        handed_in_s = at_s if submitted_s is None else submitted_s
        self.gangs[job_id] = UrgentGang(job_id, step, handed_in_s, WORK_S, OBJECTIVE_S)
        for index, worker in enumerate(workers):
            task = TaskName(job_id, 0, 0, index)
            self.run(task, worker, at_s, at_s + WORK_S, room=ROOM, gang=count)

    def judge(self) -> SlowGangs:
        return SlowGangJudge(self.runs, self.gangs, FROM_S).judge(self.workers)


class SlowGangsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = History()

    def hold(self, worker: SimWorker, began_s: float, ended_s: float | None) -> None:
        """Let other work hold all of a worker."""
        task = TaskName("c" * 16, 0, 0, len(self.history.runs))
        self.history.run(task, worker, began_s, ended_s, room=ROOM)

    def assert_judged(self, starts: int, on_slow: int, avoidable: int) -> None:
        found = self.history.judge()
        self.assertEqual(
            (found.starts, found.on_slow, len(found.avoidable)), (starts, on_slow, avoidable)
        )

    def test_a_gang_on_a_worker_known_to_be_slow_beside_room_is_avoidable(self) -> None:
        self.history.compare()
        self.history.start_gang(self.history.slow, self.history.workers[1])
        self.assert_judged(1, 1, 1)
        self.assertIn(f"[{GANG} of 2 tasks of 8", self.history.judge().avoidable[0])

    def test_a_gang_on_usual_workers_is_right(self) -> None:
        self.history.compare()
        self.history.start_gang(self.history.workers[1], self.history.workers[2])
        self.assert_judged(1, 0, 0)

    def test_a_gang_on_a_worker_that_is_not_known_is_right(self) -> None:
        self.history.compare(PIECES - 1)
        self.history.start_gang(self.history.slow, self.history.workers[1])
        self.assert_judged(1, 0, 0)

    def test_room_has_to_be_free_for_all_members(self) -> None:
        """Three usual workers are held, and the gang needs two."""
        self.history.compare()
        self.history.start_gang(self.history.slow, self.history.workers[1])
        for worker in self.history.workers[2:4]:
            self.hold(worker, AT_S - 1.0, None)
        self.assert_judged(1, 1, 1)
        self.hold(self.history.workers[4], AT_S - 1.0, None)
        self.assert_judged(1, 1, 0)

    def test_room_that_was_free_only_about_the_start_does_not_count(self) -> None:
        for began_s, ended_s, avoidable in (
            (AT_S - 3.0, AT_S - LAG_S - 0.1, 1),
            (AT_S - 3.0, AT_S - LAG_S + 0.1, 0),
            (AT_S + LAG_S + 0.1, None, 1),
            (AT_S + LAG_S - 0.1, None, 0),
        ):
            with self.subTest(began_s=began_s, ended_s=ended_s):
                self.history = History()
                self.history.compare()
                self.history.start_gang(self.history.slow, self.history.workers[1])
                for worker in self.history.workers[2:]:
                    self.hold(worker, began_s, ended_s)
                self.assert_judged(1, 1, avoidable)

    def test_a_gang_of_one_rack_needs_the_room_in_one_rack(self) -> None:
        self.history.compare()
        self.history.start_gang(self.history.slow, self.history.workers[2], same_rack=True)
        self.assert_judged(1, 1, 1)
        self.hold(self.history.workers[1], AT_S - 1.0, None)
        self.assert_judged(1, 1, 1)
        self.hold(self.history.workers[4], AT_S - 1.0, None)
        self.assert_judged(1, 1, 0)

    def test_a_gang_near_its_data_needs_the_room_there(self) -> None:
        for rack, avoidable in (("r1-1", 1), ("r9-1", 0)):
            with self.subTest(rack=rack):
                self.history = History()
                self.history.compare()
                self.history.start_gang(self.history.slow, data_rack=rack)
                self.assert_judged(1, 1, avoidable)

    def test_nothing_is_avoidable_where_half_of_the_known_workers_are_slow(self) -> None:
        """Factors are relative, so these workers may count as the usual ones."""
        for known, avoidable in ((2, 1), (1, 0)):
            with self.subTest(known=known):
                self.history = History()
                self.history.compare()
                self.history.start_gang(self.history.slow)
                for worker in self.history.workers[known + 1 :]:
                    worker.factors.append((AT_S - 1.0, FACTOR))
                self.assert_judged(1, 1, avoidable)

    def test_a_gang_that_is_late_anyway_is_not_judged(self) -> None:
        slack_s = OBJECTIVE_S - WORK_S - LATE_S
        for waited_s, starts in ((slack_s - 0.1, 1), (slack_s + 0.1, 0)):
            with self.subTest(waited_s=waited_s):
                self.history = History()
                self.history.compare()
                workers = self.history.slow, self.history.workers[1]
                self.history.start_gang(*workers, submitted_s=AT_S - waited_s)
                self.assert_judged(starts, starts, starts)

    def test_a_gang_in_the_first_seconds_is_not_judged(self) -> None:
        for at_s, starts in ((FROM_S + 0.1, 1), (FROM_S - 0.1, 0)):
            with self.subTest(at_s=at_s):
                self.history = History()
                self.history.compare(ends_s=9.0)
                self.history.start_gang(self.history.slow, self.history.workers[1], at_s=at_s)
                self.assert_judged(starts, starts, starts)

    def test_room_may_be_kept_for_another_urgent_gang_that_waits(self) -> None:
        for begins_s, starts in ((AT_S + LAG_S - 0.1, 1), (AT_S + LAG_S + 0.1, 0)):
            with self.subTest(begins_s=begins_s):
                self.history = History()
                self.history.compare()
                self.history.start_gang(self.history.slow, self.history.workers[1])
                other = self.history.workers[2]
                self.history.start_gang(other, at_s=begins_s, submitted_s=AT_S - 0.1, job_id=OTHER)
                found = self.history.judge()
                self.assertEqual(len(found.avoidable), starts)

    def test_a_cancelled_gang_does_not_wait(self) -> None:
        self.history.compare()
        self.history.start_gang(self.history.slow, self.history.workers[1])
        step = self.history.gangs[GANG].step
        for cancelled_s, avoidable in ((AT_S - 0.1, 1), (math.inf, 0)):
            with self.subTest(cancelled_s=cancelled_s):
                other = UrgentGang(OTHER, step, AT_S - 1.0, WORK_S, OBJECTIVE_S, cancelled_s)
                self.history.gangs[OTHER] = other
                self.assertEqual(len(self.history.judge().avoidable), avoidable)


class EvidenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = History()

    def shown(self, at_s: float = AT_S) -> tuple[bool, bool]:
        """Whether the slow worker is known to be slow, and a usual one to be usual."""
        evidence = Evidence(self.history.runs)
        usual = self.history.workers[1]
        return evidence.shows_slow(self.history.slow, at_s), evidence.shows_usual(usual, at_s)

    def test_evidence_counts_once_it_has_been_reported(self) -> None:
        self.history.compare(ends_s=10.0)
        self.assertEqual(self.shown(10.0 + REPORT_S + 0.1), (True, True))
        self.assertEqual(self.shown(10.0 + REPORT_S - 0.1), (False, False))

    def test_a_run_that_resumed_is_no_evidence(self) -> None:
        self.history.compare(resumed=True)
        self.assertEqual(self.shown(), (False, False))

    def test_a_step_on_two_workers_is_no_evidence(self) -> None:
        del self.history.workers[2:]
        self.history.compare()
        self.assertEqual(self.shown(), (False, False))

    def test_a_step_mostly_on_slow_workers_is_no_evidence(self) -> None:
        for worker in self.history.workers[2:]:
            worker.factors = [(0.0, FACTOR)]
        self.history.compare()
        self.assertEqual(self.shown(), (False, False))

    def test_a_difference_that_is_not_clear_shows_no_slow_worker(self) -> None:
        for factor, slow in ((SLOW_FROM + 0.05, True), (SLOW_FROM - 0.05, False)):
            with self.subTest(factor=factor):
                self.history = History()
                self.history.slow.factors = [(0.0, factor)]
                self.history.compare()
                self.assertEqual(self.shown(), (slow, True))

    def test_a_difference_that_is_not_clear_shows_no_usual_worker(self) -> None:
        for ratio, usual in ((USUAL_TO - 0.05, True), (USUAL_TO + 0.05, False)):
            with self.subTest(ratio=ratio):
                self.history = History()
                self.history.compare()
                for run in self.history.runs:
                    if run.worker is self.history.workers[1]:
                        run.work_began_s = (run.ended_s or 0.0) - ratio
                self.assertEqual(self.shown(), (True, usual))

    def test_one_straggler_does_not_show_a_slow_worker(self) -> None:
        self.history.compare()
        usual = self.history.workers[1]
        latest = next(run for run in reversed(self.history.runs) if run.worker is usual)
        latest.began_s = latest.work_began_s = (latest.ended_s or 0.0) - 3.5
        evidence = Evidence(self.history.runs)
        self.assertFalse(evidence.shows_slow(usual, AT_S))
        self.assertFalse(evidence.shows_usual(usual, AT_S))

    def test_what_was_known_before_a_change_does_not_count(self) -> None:
        self.history.compare(ends_s=10.0)
        self.history.slow.factors.append((11.0, 1.0))
        self.history.workers[1].factors.append((11.0, FACTOR))
        self.assertEqual(self.shown(), (False, False))

    def test_the_wait_for_the_rest_of_a_gang_is_no_work(self) -> None:
        for number in range(PIECES):
            for index, worker in enumerate(self.history.workers):
                task = TaskName(f"{number:016x}", 0, 0, index)
                run = self.history.run(task, worker, 7.0, 7.0 + FACTOR, room=1, gang=USUAL + 1)
                run.waits_s = 7.0 + worker.time_factor
        self.assertEqual(self.shown(), (True, True))


if __name__ == "__main__":
    unittest.main()
