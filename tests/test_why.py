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
