"""Tests of the command ``why``: causes of missed objectives and costs of stops, from log lines."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

import click
from click.testing import CliRunner

from saddlestack.cli.loglines import LogLine, read
from saddlestack.cli.main import main
from saddlestack.cli.missed_objectives import (
    Cause,
    MissedObjective,
    find_missed_objectives,
    job_sizes,
)
from saddlestack.cli.stops import SAVE_INTERVAL_S, describe, stop_costs
from saddlestack.cli.why import Worth, worth_by_priority
from saddlestack.cli.workerspeeds import LEARNING_S

JOB = "00000000000000aa"
OTHER = "00000000000000bb"
TASK = f"{JOB}.0.0.0"


def line(at_s: float, event: str, **fields: Any) -> LogLine:
    return LogLine(event=event, at_s=at_s, **fields)


def accepted(at_s: float, job: str = JOB) -> LogLine:
    return line(at_s, "accepted", job=job, stretch=1.5, target_ms=250.0)


def start(at_s: float, run: int = 1) -> LogLine:
    return line(at_s, "start", task=TASK, run=run)


def end(at_s: float, run: int = 1, how: str = "done") -> LogLine:
    return line(at_s, "ended", task=TASK, run=run, how=how)


def completed(at_s: float) -> LogLine:
    return line(at_s, "job", job=JOB, state="completed")


class MissedObjectivesTest(unittest.TestCase):
    def only(self, *lines: LogLine) -> MissedObjective:
        found = find_missed_objectives(lines)
        self.assertEqual(len(found), 1, found)
        return found[0]

    def test_a_job_within_its_objective_is_not_listed(self) -> None:
        self.assertEqual(
            find_missed_objectives([accepted(0), start(0.1), end(2.1), completed(2.2)]), []
        )

    def test_lateness_counts_from_the_first_submission_relative_to_the_jobs_own_work(self) -> None:
        refusal = line(0.0, "not_written", job=JOB)
        missed = self.only(refusal, accepted(3.0), start(3.0), end(5.0), completed(5.0))
        self.assertIs(missed.cause, Cause.STORE)
        self.assertAlmostEqual(missed.late_s or 0.0, 5.0 - (1.5 * 2.0 + 0.25))

    def test_waiting_for_capacity_for_stops_and_for_a_leader(self) -> None:
        tail = (start(4.0), end(5.0), completed(5.0))
        self.assertIs(self.only(accepted(0.0), *tail).cause, Cause.CAPACITY)
        stop = line(0.1, "stop", task=f"{OTHER}.0.0.0", cause=JOB, reason="preempted")
        self.assertIs(self.only(accepted(0.0), stop, *tail).cause, Cause.STOPS)
        gap = (line(0.0, "deposed"), line(3.9, "scheduling"))
        self.assertIs(self.only(accepted(0.0), *gap, *tail).cause, Cause.LEADER)

    def test_late_lines_about_earlier_leaders_count_as_no_time_without_a_leader(self) -> None:
        led = (line(0.0, "deposed", fence=0), line(0.05, "scheduling", fence=7))
        tail = (start(4.0), end(5.0), completed(5.0), line(5.5, "scheduling", fence=9))
        for late in (
            (line(0.2, "leader", leader=None), line(0.21, "leader", leader="two", revision=7)),
            (line(0.2, "deposed", fence=5),),
            (line(0.2, "leader", leader="two", revision=7),),
        ):
            with self.subTest(late=late):
                self.assertIs(self.only(*led, accepted(0.1), *late, *tail).cause, Cause.CAPACITY)
        lost = line(0.2, "deposed", fence=7)
        self.assertIs(self.only(*led, accepted(0.1), lost, *tail).cause, Cause.LEADER)

    def test_runs_that_did_not_succeed(self) -> None:
        tail = (start(4.0, 2), end(5.0, 2), completed(5.0))
        for cause, lines in (
            (Cause.FAILED, [end(3.9, how="failed")]),
            (Cause.UNREACHABLE_WORKER, [end(3.9, how="lapsed")]),
            (Cause.UNREACHABLE_WORKER, []),
            (
                Cause.PREEMPTED,
                [line(1.0, "stop", task=TASK, run=1, reason="preempted"), end(1.2, how="stopped")],
            ),
            (
                Cause.DRAINED_WORKER,
                [line(1.0, "stop", task=TASK, run=1, reason="worker_leaves"), end(2.0, how="done")],
            ),
            (Cause.RESTARTED, [end(3.9, how="broken")]),
        ):
            with self.subTest(cause=cause):
                missed = self.only(accepted(0.0), start(0.0), *lines, *tail)
                self.assertIs(missed.cause, cause)

    def test_saved_work_counts_as_work(self) -> None:
        first = accepted(0.0)
        runs = (start(0.0), end(4.0, how="stopped"), start(4.1, 2), end(5.1, 2), completed(5.1))
        self.assertEqual(len(find_missed_objectives([first, *runs])), 1)
        first.steps = ("1x1acc/1cpu/1mb 1ms saves",)
        self.assertEqual(find_missed_objectives([first, *runs]), [])

    def test_an_end_that_is_published_late(self) -> None:
        missed = self.only(accepted(0.0), start(0.0), end(1.0), completed(4.0))
        self.assertIs(missed.cause, Cause.LATE_END)

    def test_jobs_that_are_not_done(self) -> None:
        failed = line(2.0, "job", job=JOB, state="failed")
        self.assertIs(self.only(accepted(0.0), start(0.0), failed).cause, Cause.ATTEMPTS)
        self.assertIs(self.only(accepted(0.0), start(0.0)).cause, Cause.UNFINISHED)
        self.assertIs(self.only(line(0.0, "not_written", job=JOB)).cause, Cause.STORE)
        doubt = line(0.0, "not_written", job=JOB, doubt=True)
        self.assertIs(self.only(doubt).cause, Cause.DOUBT)

    def test_cancelled_jobs_are_left_out(self) -> None:
        self.assertEqual(
            find_missed_objectives([accepted(0.0), line(9.0, "cancelled", job=JOB)]), []
        )


def speed(at_s: float, factor: float, worker: str = "slow", **fields: Any) -> LogLine:
    return line(at_s, "worker_speed", worker=worker, factor=factor, **fields)


def run_of(
    task: str, worker: str, began_s: float, ended_s: float, run: int = 1, how: str = "done"
) -> list[LogLine]:
    """Return the start and the end of a run."""
    fields = {"task": task, "worker": worker, "run": run}
    return [
        line(began_s, "start", **fields),
        line(ended_s, "ended", how=how, **fields),
    ]


def name(index: int, step: int = 0) -> str:
    return f"{JOB}.0.{step}.{index}"


def missed_by(*lines: LogLine) -> list[MissedObjective]:
    return find_missed_objectives(sorted(lines, key=lambda each: each.at_s))


class SlowWorkersTest(unittest.TestCase):
    """Unequal workers: work that took long only since its worker was slow.

    A failure here hides late previews from operators, since such a job looks as long as its work.
    """

    RUN = (accepted(0.0), *run_of(TASK, "slow", 0.0, 5.0), completed(5.0))

    def only(self, *lines: LogLine) -> MissedObjective:
        found = missed_by(*lines)
        self.assertEqual(len(found), 1, found)
        return found[0]

    def gang(self, *workers: str, marks: str = "gang") -> LogLine:
        first = accepted(0.0)
        first.steps = (f"{len(workers)}x8acc/1000cpu/1mb 2000ms {marks}",)
        return first

    def test_work_on_a_slow_worker_is_late_by_the_time_of_a_usual_worker(self) -> None:
        self.assertEqual(missed_by(*self.RUN), [])
        missed = self.only(*self.RUN, speed(-9.0, 2.5))
        self.assertIs(missed.cause, Cause.SLOW_WORKER)
        self.assertAlmostEqual(missed.late_s or 0.0, 5.0 - (1.5 * 2.0 + 0.25))

    def test_a_factor_up_to_the_limit_does_not_explain_a_delay(self) -> None:
        for factor, cause in ((1.5, Cause.UNEXPLAINED), (1.5625, Cause.SLOW_WORKER)):
            with self.subTest(factor=factor):
                late = (*self.RUN[:-1], completed(5.0 + 0.05))
                tight = accepted(0.0)
                tight.stretch, tight.target_ms = 1.0, 0.0
                missed = self.only(tight, *late[1:], speed(-9.0, factor))
                self.assertIs(missed.cause, cause)

    def test_the_longest_delay_is_the_cause(self) -> None:
        for waited_s, cause in ((2.9, Cause.SLOW_WORKER), (3.1, Cause.CAPACITY)):
            with self.subTest(waited_s=waited_s):
                runs = run_of(TASK, "slow", waited_s, waited_s + 5.0)
                missed = self.only(
                    accepted(0.0), *runs, completed(waited_s + 5.0), speed(-9.0, 2.5)
                )
                self.assertIs(missed.cause, cause)

    def test_the_latest_line_before_the_end_of_the_run_counts(self) -> None:
        for factors, late in (((1.0, 2.5, 1.0), True), ((2.5, 1.0, 2.5), False)):
            with self.subTest(factors=factors):
                lines = [speed(at, each) for at, each in zip((-2, 4.9, 5.1), factors, strict=True)]
                self.assertEqual(bool(missed_by(*self.RUN, *lines)), late)

    def test_what_the_leader_learns_soon_after_the_run_counts(self) -> None:
        for after_s, late in ((LEARNING_S - 0.1, True), (LEARNING_S + 0.1, False)):
            with self.subTest(after_s=after_s):
                self.assertEqual(bool(missed_by(*self.RUN, speed(5.0 + after_s, 2.5))), late)
        first, second = speed(5.1, 1.0), speed(5.2, 2.5)
        self.assertEqual(missed_by(*self.RUN, first, second), [])

    def test_a_line_stays_valid_under_the_next_leader(self) -> None:
        takeover = (line(-1.0, "elected", fence=9), line(-0.9, "speeds_inherited", workers=1))
        self.assertIs(self.only(*self.RUN, speed(-9.0, 2.5), *takeover).cause, Cause.SLOW_WORKER)

    def test_other_workers_and_damaged_factors_change_nothing(self) -> None:
        for other in (speed(-1.0, 2.5, "other"), speed(-1.0, 0.0), speed(-1.0, -2.0)):
            with self.subTest(line=other):
                self.assertEqual(missed_by(*self.RUN, other), [])

    def test_the_slowest_member_holds_up_the_whole_gang(self) -> None:
        workers = ("fast", "slow", "unknown")
        runs = [
            each
            for index, worker in enumerate(workers)
            for each in run_of(name(index), worker, 0.0, 5.0)
        ]
        speeds = (speed(-9.0, 0.8, "fast"), speed(-9.0, 2.5))
        missed = self.only(self.gang(*workers), *runs, completed(5.0), *speeds)
        self.assertIs(missed.cause, Cause.SLOW_WORKER)
        self.assertAlmostEqual(missed.late_s or 0.0, 5.0 - (1.5 * 2.0 + 0.25))

    def test_a_slow_member_whose_end_was_never_logged_holds_up_the_gang(self) -> None:
        """A leader that is killed may have heard of an end that no log tells."""
        runs = (*run_of(name(0), "fast", 0.0, 5.0), *run_of(name(1), "slow", 0.0, 5.0)[:1])
        missed = self.only(self.gang("fast", "slow"), *runs, completed(5.0), speed(-9.0, 2.5))
        self.assertIs(missed.cause, Cause.SLOW_WORKER)

    def test_a_gang_run_that_ended_as_it_began_has_no_work(self) -> None:
        runs = [
            *run_of(name(0), "slow", 3.0, 3.0),
            *run_of(name(1), "slow", 3.0, 3.0),
        ]
        missed = self.only(self.gang("slow", "slow"), *runs, completed(3.0), speed(-9.0, 2.5))
        self.assertIs(missed.cause, Cause.CAPACITY)

    def test_tasks_outside_gangs_are_judged_one_by_one(self) -> None:
        runs = (*run_of(name(0), "fast", 0.0, 4.0), *run_of(name(1), "slow", 0.0, 8.0))
        missed = self.only(
            self.gang("fast", "slow", marks=""), *runs, completed(8.0), speed(-9.0, 2.5)
        )
        self.assertIs(missed.cause, Cause.SLOW_WORKER)
        self.assertAlmostEqual(missed.late_s or 0.0, 8.0 - (1.5 * 4.0 + 0.25))

    def test_a_member_of_an_earlier_attempt_does_not_hold_up_the_gang(self) -> None:
        first = [
            *run_of(name(0), "slow", 0.0, 0.5, how="stopped"),
            *run_of(name(1), "fast", 0.0, 0.5, how="stopped"),
        ]
        second = [
            *run_of(name(0), "fast", 0.6, 5.6, run=2),
            *run_of(name(1), "other", 0.6, 5.6, run=2),
        ]
        gang = self.gang("slow", "fast")
        self.assertEqual(missed_by(gang, *first, *second, completed(5.6), speed(-9.0, 2.5)), [])

    def test_saved_work_of_each_attempt_counts_by_its_own_worker(self) -> None:
        runs = (
            *run_of(TASK, "slow", 0.0, 5.0, how="stopped"),
            *run_of(TASK, "fast", 5.0, 6.0, run=2),
        )
        missed = self.only(self.gang("one", marks="saves"), *runs, completed(6.0), speed(-9.0, 2.5))
        self.assertAlmostEqual(missed.late_s or 0.0, 6.0 - (1.5 * 3.0 + 0.25))

    def test_a_restart_on_other_workers_counts_as_slow_worker(self) -> None:
        stop = line(3.0, "stop", task=TASK, run=1, worker="slow", reason="slow_worker")
        runs = (
            *run_of(TASK, "slow", 0.0, 3.2, how="stopped"),
            *run_of(TASK, "fast", 3.3, 5.3, run=2),
        )
        missed = self.only(accepted(0.0), stop, *runs, completed(5.3), speed(-9.0, 2.5))
        self.assertIs(missed.cause, Cause.SLOW_WORKER)
        costs = stop_costs(
            sorted([self.gang("one", marks=""), stop, *runs], key=lambda each: each.at_s)
        )
        self.assertEqual(costs.reasons["slow_worker"].runs, 1)
        self.assertAlmostEqual(costs.reasons["slow_worker"].lost_core_s, 3.0 * 65.0)
        self.assertIn("195 core-seconds  slow_worker", "\n".join(describe(costs)))


class FasterWorkerWaitsTest(unittest.TestCase):
    """Unequal workers: urgent work that waits, for up to 2 s, until a fast worker is free."""

    def cause(self, *lines: LogLine) -> Cause:
        [missed] = missed_by(accepted(0.0), *lines)
        return missed.cause

    def waits(self, at_s: float, stood_s: float, reason: str = "faster_worker") -> LogLine:
        return line(at_s, "waits", job=JOB, stood_s=stood_s, reason=reason)

    def test_a_wait_for_a_faster_worker_before_the_first_start(self) -> None:
        tail = (*run_of(TASK, "fast", 2.0, 3.0), completed(3.0))
        self.assertIs(self.cause(self.waits(1.1, 1.1), *tail), Cause.FASTER_WORKER)
        self.assertIs(self.cause(self.waits(1.1, 1.1, "gang_first"), *tail), Cause.CAPACITY)

    def test_the_reason_that_held_for_more_than_half_of_the_wait_counts(self) -> None:
        tail = (*run_of(TASK, "fast", 4.0, 5.0), completed(5.0))
        for changed_s, cause in ((1.9, Cause.FASTER_WORKER), (2.1, Cause.CAPACITY)):
            with self.subTest(changed_s=changed_s):
                reasons = (self.waits(1.1, 1.1, "no_room"), self.waits(changed_s, changed_s))
                self.assertIs(self.cause(*reasons, *tail), cause)

    def test_a_wait_of_a_later_step_counts(self) -> None:
        tail = (*run_of(name(0, step=1), "fast", 3.0, 4.0), completed(4.0))
        first = run_of(TASK, "fast", 0.0, 0.5)
        self.assertIs(self.cause(*first, self.waits(1.6, 1.1), *tail), Cause.FASTER_WORKER)


class SizesTest(unittest.TestCase):
    def test_size_has_a_fixed_part_and_a_part_that_grows_with_work(self) -> None:
        small, large = accepted(0.0), accepted(0.0, OTHER)
        small.steps = ("1x1acc/0cpu/1mb 1000ms",)
        large.steps = ("3x1acc/0cpu/1mb 1000ms gang",)
        found = job_sizes([small, large])
        self.assertAlmostEqual(found[JOB], 0.3 + 0.7 * 0.5)
        self.assertAlmostEqual(found[OTHER], 0.3 + 0.7 * 1.5)

    def test_a_job_without_steps_has_size_one(self) -> None:
        self.assertEqual(job_sizes([accepted(0.0)]), {JOB: 1.0})

    def test_worth_in_time_and_late(self) -> None:
        worth = worth_by_priority(["0=4,0.8", "2=1"])
        self.assertEqual(worth, {0: Worth(4.0, 0.8), 2: Worth(1.0, 0.0)})
        late = MissedObjective(JOB, "q", 0, 0.0, 1.0, Cause.CAPACITY, size=2.0)
        self.assertAlmostEqual(worth[0].lost_worth(late), 2.0 * 3.2)
        late.late_s = None
        self.assertAlmostEqual(worth[0].lost_worth(late), 8.0)

    def test_invalid_worth_is_rejected(self) -> None:
        for text in ("0", "x=1", "0=one", "0=1,two"):
            with self.subTest(text=text), self.assertRaises(click.BadParameter):
                worth_by_priority([text])


class StopsTest(unittest.TestCase):
    def stop(self, at_s: float, run: int = 1, reason: str = "preempted") -> LogLine:
        cause = OTHER if reason == "preempted" else None
        return line(at_s, "stop", task=TASK, run=run, reason=reason, cause=cause, worker="w1")

    def job(self, *marks: str) -> LogLine:
        first = accepted(0.0)
        first.steps = (" ".join(["1x2acc/4000cpu/1mb 9000ms", *marks]),)
        return first

    def test_lost_work_by_reason_and_by_preemptor(self) -> None:
        again = (start(5.0, 2), self.stop(6.0, 2, reason="worker_leaves"))
        found = stop_costs([self.job(), start(0.0), self.stop(3.0), *again])
        self.assertEqual(found.starts, 2)
        self.assertAlmostEqual(found.reasons["preempted"].lost_core_s, 3.0 * 20.0)
        self.assertAlmostEqual(found.reasons["worker_leaves"].lost_core_s, 1.0 * 20.0)
        self.assertAlmostEqual(found.preemptors[OTHER].lost_core_s, 60.0)

    def test_saved_work_is_not_lost(self) -> None:
        found = stop_costs([self.job("saves"), start(0.0), self.stop(9.0)])
        self.assertAlmostEqual(found.reasons["preempted"].lost_core_s, SAVE_INTERVAL_S * 20.0)

    def test_whether_freed_workers_were_used_by_the_preemptor(self) -> None:
        made = [self.job(), start(0.0), self.stop(3.0)]
        self.assertEqual([asker.job_id for asker in stop_costs(made).unused], [OTHER])
        there = line(3.5, "start", task=f"{OTHER}.0.0.0", run=1, worker="w1")
        elsewhere = line(3.4, "start", task=f"{OTHER}.0.0.1", run=1, worker="w2")
        found = stop_costs([*made, elsewhere, there])
        self.assertEqual(found.unused, [])
        self.assertAlmostEqual(found.preemptors[OTHER].time_to_use_s or 0.0, 0.5)

    def test_tasks_and_preemptors_that_occur_twice(self) -> None:
        made = [self.job(), start(0.0), self.stop(3.0), start(4.0, 2), self.stop(5.0, 2)]
        text = "\n".join(describe(stop_costs(made)))
        self.assertIn("2 stops of 2 starts", text)
        self.assertIn("1 of them asked more than once", text)
        self.assertIn("1 of 1 preempted tasks were preempted more than once", text)


class CommandTest(unittest.TestCase):
    def test_a_slow_worker_is_read_from_a_line_in_the_format_of_the_leader(self) -> None:
        speed_fields = {
            "worker": "w1/17",
            "machine": "m1",
            "factor": 2.44,
            "confidence": 0.8,
            "evidence": 5,
            "age_s": 0.2,
        }
        rows = [
            {"event": "accepted", "job": JOB, "stretch": 1.5, "target_ms": 300},
            {"event": "start", "task": TASK, "run": 1, "worker": "w1/17"},
            {"event": "worker_speed", **speed_fields},
            {"event": "ended", "task": TASK, "run": 1, "worker": "w1/17", "how": "done"},
            {"event": "job", "job": JOB, "state": "completed"},
        ]
        texts = [
            f"{at} vm {json.dumps(row)}"
            for at, row in zip((0.0, 0.0, 4.0, 5.0, 5.0), rows, strict=True)
        ]
        without_speeds = [text for text in texts if "worker_speed" not in text]
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "day.log"
            for kept, found in ((texts, ["ran on a slow worker"]), (without_speeds, [])):
                file.write_text("\n".join(kept))
                result = CliRunner().invoke(main, ["why", str(file)])
                self.assertEqual(result.exit_code, 0, result.output)
                causes = [row.partition("1.0  ")[2] for row in result.output.splitlines()[1:]]
                self.assertEqual(causes, found)

    def test_sums_and_each_job(self) -> None:
        rows = [
            {"event": "accepted", "job": JOB, "stretch": 1.5, "target_ms": 250},
            {"event": "start", "task": TASK, "run": 1},
            {"event": "ended", "task": TASK, "run": 1, "how": "done"},
            {"event": "job", "job": JOB, "state": "completed"},
        ]
        times = (0.0, 4.0, 5.0, 5.0)
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "day.log"
            text = [f"{at:.4f} vm {json.dumps(row)}" for at, row in zip(times, rows, strict=True)]
            file.write_text("\n".join(["no log line", *text]))
            self.assertEqual([each.at_s for each in read([file])], list(times))
            result = CliRunner().invoke(main, ["why", "--each", str(file)])
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn(f"day     0.000 {JOB} 0   3.25 s late: waited for room", result.output)
        self.assertRegex(result.output, r"0 +1 +0 +1\.0  waited for room")
