"""Tests of the command ``standstills``: stalled jobs, from log lines."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path
from typing import Any

from click.testing import CliRunner

from saddlestack.cli.loglines import LogLine
from saddlestack.cli.main import main
from saddlestack.cli.stalled_jobs import StallReport, find_stalls
from saddlestack.cli.standstills import describe
from saddlestack.policy.stall import STALL_S
from saddlestack.work import Resources

JOB = "00000000000000aa"
OTHER = "00000000000000bb"
WIDE = "00000000000000cc"
SMALL = "1x1acc/1000cpu/1000mb 60ms"


def line(at_s: float, event: str, **fields: Any) -> LogLine:
    return LogLine(event=event, at_s=at_s, **fields)


def accepted(at_s: float, *steps: str, job: str = JOB) -> LogLine:
    return line(at_s, "accepted", job=job, steps=steps or (SMALL,))


def name(job: str = JOB, step: int = 0, index: int = 0) -> str:
    return f"{job}.0.{step}.{index}"


def start(at_s: float, worker: str = "a", run: int = 1, task: str = name()) -> LogLine:
    return line(at_s, "start", task=task, run=run, worker=worker)


def end(at_s: float, how: str = "done", run: int = 1, task: str = name()) -> LogLine:
    return line(at_s, "ended", task=task, run=run, how=how, worker="a")


def pool(until_s: float = 100.0, workers: str = "abcd") -> list[LogLine]:
    """Create lines that name workers from time 0 to ``until_s``, with a short run on each."""
    found = [accepted(0.0, f"{len(workers)}x8acc/8000cpu/8000mb 60ms", job=OTHER)]
    for index, worker in enumerate(workers):
        task = name(OTHER, index=index)
        found.append(start(0.0, worker, task=task))
        found.append(line(0.1, "ended", task=task, run=1, how="done", worker=worker))
        found.append(line(until_s, "lease_wait", worker=worker))
    return found


def read(*lines: LogLine, pool_until_s: float = 100.0) -> StallReport:
    whole = [*pool(pool_until_s), *lines]
    return find_stalls(sorted(whole, key=lambda each: each.at_s))


def spans(*lines: LogLine, pool_until_s: float = 100.0) -> list[tuple[str, float, float]]:
    found = read(*lines, pool_until_s=pool_until_s).stalls
    return [(each.job_id, each.since_s, each.until_s) for each in found]


class FindStallsTest(unittest.TestCase):
    def test_a_job_that_starts_soon_is_not_stalled(self) -> None:
        self.assertEqual(spans(accepted(1.0), start(1.0 + STALL_S - 0.1), end(9.0)), [])

    def test_a_stall_before_the_first_start(self) -> None:
        other = [accepted(2.0, job=WIDE), start(2.1, "b", task=name(WIDE))]
        found = read(accepted(1.0), *other, start(6.0), end(9.0)).stalls
        self.assertEqual([(each.job_id, each.other_starts) for each in found], [(JOB, 1)])
        self.assertEqual((found[0].since_s, found[0].until_s), (1.0, 6.0))
        self.assertEqual((found[0].usage.used, found[0].usage.total), (1, 32))
        self.assertEqual(found[0].last_event, "accepted")

    def test_a_stall_after_a_failed_run(self) -> None:
        again = [start(9.0, run=2), end(9.5, run=2)]
        found = read(accepted(1.0), start(1.0), end(2.0, "failed"), *again).stalls
        self.assertEqual(
            [(each.since_s, each.last_event) for each in found], [(2.0, "ended failed")]
        )

    def test_the_last_event_is_the_failure_that_broke_a_gang(self) -> None:
        gang = accepted(1.0, "2x1acc/1000cpu/1000mb 60ms gang")
        starts = [start(1.0), start(1.0, task=name(index=1))]
        for ends in (
            [end(2.0, "failed"), end(2.1, "broken", task=name(index=1))],
            [end(2.0, "broken"), end(2.1, "failed", task=name(index=1))],
        ):
            self.assertEqual(
                [each.last_event for each in read(gang, *starts, *ends).stalls], ["ended failed"]
            )

    def test_runs_that_count_as_over_end_too(self) -> None:
        for event in ("run_over", "run_absent", "start_refused"):
            over = line(2.0, event, task=name(), run=1, worker="a")
            got = spans(accepted(1.0), start(1.0), over, start(9.0, run=2), end(9.5, run=2))
            self.assertEqual(got, [(JOB, 2.0, 9.0)], event)

    def test_a_job_that_is_over_is_not_stalled(self) -> None:
        for closing in (
            line(2.0, "cancelled", job=JOB),
            line(2.0, "job", job=JOB, state="completed"),
            line(2.0, "job", job=JOB, state="failed"),
            line(2.0, "forgotten", job=JOB),
        ):
            self.assertEqual(spans(accepted(1.0), closing), [], closing.event)

    def test_a_job_whose_tasks_are_all_done_is_not_stalled(self) -> None:
        self.assertEqual(spans(accepted(1.0), start(1.0), end(2.0)), [])
        two = accepted(1.0, "2x1acc/1000cpu/1000mb 60ms gang")
        second = start(1.0, task=name(index=1))
        broken = end(2.0, "broken", task=name(index=1))
        self.assertEqual(spans(two, start(1.0), second, end(2.0), broken), [])
        alone = accepted(1.0, "2x1acc/1000cpu/1000mb 60ms")
        got = spans(alone, start(1.0), second, end(2.0), broken)
        self.assertEqual(got, [(JOB, 2.0, 100.0)])

    def test_the_earliest_step_that_is_not_done_counts(self) -> None:
        big = "9x8acc/8000cpu/8000mb 60ms gang"
        self.assertEqual(spans(accepted(1.0, big, SMALL)), [])
        got = spans(accepted(1.0, SMALL, big), start(1.0), end(2.0))
        self.assertEqual(got, [])
        got = spans(accepted(1.0, SMALL, SMALL), start(1.0), end(2.0))
        self.assertEqual(got, [(JOB, 2.0, 100.0)])

    def test_no_stall_while_half_of_the_pool_is_held(self) -> None:
        wide = accepted(0.5, "2x8acc/8000cpu/8000mb 60ms", job=WIDE)
        tasks = [name(WIDE, index=index) for index in range(2)]
        held = [start(0.6, worker, task=task) for worker, task in zip("ab", tasks, strict=True)]
        over = [end(20.0, task=task) for task in tasks]
        got = spans(wide, *held, accepted(1.0), *over)
        self.assertEqual(got, [(JOB, 20.0, 100.0)])

    def test_no_stall_without_free_capacity_for_twice_the_job(self) -> None:
        for step, stands in (
            ("16x1acc/1000cpu/1000mb 60ms gang", True),
            ("17x1acc/1000cpu/1000mb 60ms gang", False),
            ("17x1acc/1000cpu/1000mb 60ms", True),
            ("1x1acc/8000cpu/1000mb 60ms", True),
            ("1x1acc/8001cpu/1000mb 60ms", False),
            ("1x1acc/1000cpu/8001mb 60ms", False),
        ):
            self.assertEqual(bool(spans(accepted(1.0, step))), stands, step)

    def test_workers_that_no_later_line_names_have_no_free_capacity(self) -> None:
        self.assertEqual(spans(accepted(1.0), line(90.0, "job", job="x"), pool_until_s=0.5), [])
        self.assertEqual(len(spans(accepted(1.0), pool_until_s=0.5 + 1.0 + STALL_S)), 1)

    def test_workers_stay_present_if_no_line_reports_a_lost_one(self) -> None:
        lines = [each for each in pool() if each.event != "lease_wait"]
        lines += [accepted(1.0), line(90.0, "job", job="x")]
        self.assertEqual(len(find_stalls(lines).stalls), 1)
        left = line(0.5, "stop", task=name(OTHER), run=1, worker="d", reason="worker_leaves")
        absent = line(0.5, "run_over", task=name(OTHER), run=1, worker="d", proof="absent")
        self.assertEqual(len(find_stalls([*lines[:-2], absent, *lines[-2:]]).stalls), 1)
        lapsed = line(0.5, "run_over", task=name(OTHER), run=1, worker="d", proof="lapsed")
        for gone in (line(0.5, "worker_silent", worker="d"), left, lapsed):
            self.assertEqual(find_stalls([*lines[:-2], gone, *lines[-2:]]).stalls, ())

    def test_a_second_acceptance_changes_nothing(self) -> None:
        self.assertEqual(spans(accepted(1.0), start(1.0), accepted(3.0), end(5.0)), [])

    def test_ends_without_a_start_are_counted(self) -> None:
        self.assertEqual(read(accepted(1.0), end(2.0, "failed")).missing_starts, 1)
        self.assertEqual(read(accepted(1.0), start(1.0), end(2.0)).missing_starts, 0)

    def test_an_end_that_a_second_leader_logs_counts_once(self) -> None:
        found = read(accepted(1.0), start(1.0), end(2.0, "failed"), end(2.5, "failed"))
        self.assertEqual(found.missing_starts, 0)
        self.assertEqual([each.since_s for each in found.stalls], [2.0])

    def test_estimated_capacity_of_a_worker(self) -> None:
        self.assertEqual(read().worker_capacity, Resources(8000, 8000, 8))
        self.assertEqual(find_stalls(pool(), accelerators=4).worker_capacity, Resources(0, 0, 4))
        self.assertEqual(
            find_stalls(pool(), accelerators=16).worker_capacity, Resources(8000, 8000, 16)
        )

    def test_unlogged_ends_count_with_the_next_run_or_the_end_of_the_job(self) -> None:
        wide = accepted(0.5, "3x8acc/8000cpu/8000mb 60ms", job=WIDE)
        tasks = [name(WIDE, index=index) for index in range(3)]
        lost = [start(0.6, worker, task=task) for worker, task in zip("abc", tasks, strict=True)]
        waits = [accepted(1.0), wide, *lost]
        self.assertEqual(spans(*waits), [])
        done = line(20.0, "job", job=WIDE, state="completed")
        self.assertEqual(spans(*waits, done), [(JOB, 20.0, 100.0)])
        again = [start(20.0, "d", run=2, task=task) for task in tasks[:2]]
        over = [end(30.0, run=2, task=task) for task in tasks[:2]]
        self.assertEqual(spans(*waits, *again, *over), [(JOB, 30.0, 100.0)])

    def test_a_worker_that_seems_to_hold_too_much_does_not_raise_the_estimate(self) -> None:
        wide = accepted(0.5, "3x2acc/9000cpu/1000mb 60ms", job=WIDE)
        starts = [start(0.6, "a", task=name(WIDE, index=index)) for index in range(3)]
        self.assertEqual(read(wide, *starts).worker_capacity, Resources(8000, 8000, 8))

    def test_reports_of_leaders_are_shown(self) -> None:
        reported = [
            line(
                4.0,
                "stands_still",
                vm="v1",
                job=JOB,
                reason="quarantine",
                stood_s=3.0,
                ends="time",
            ),
            line(5.0, "stands_still", vm="v1", job=JOB, reason="quarantine", stood_s=4.0),
            line(50.0, "stands_still", vm="v2", job=OTHER, reason="gang", stood_s=3.0),
        ]
        found = read(accepted(1.0), *reported, start(6.0), end(9.0))
        self.assertEqual([each.reasons for each in found.stalls], [("quarantine",)])
        text = "\n".join(describe(found))
        for part in (
            "1.000 00000000000000aa stood still for 5.00 s after accepted, 0 of 32 accelerators",
            f"4.000 v1 tells that {JOB} has stood still for 3.00 s: quarantine, ends with time",
            "50.000 v2 tells that 00000000000000bb has stood still for 3.00 s: gang",
            "3 times leaders told that a job stands still, 2 jobs",
            "       2  quarantine",
            "seen: 4 lives of workers, taken to have 8 accelerators, 8000 thousandths",
        ):
            self.assertIn(part, text)

    def test_no_lines_yield_no_stalls(self) -> None:
        self.assertEqual(find_stalls([]).stalls, ())


class CommandTest(unittest.TestCase):
    def test_logs_of_all_vms_as_collectors_write_them(self) -> None:
        tasks = [name(index=index) for index in range(2)]
        rows: list[dict[str, object]] = [
            {"event": "accepted", "job": JOB, "steps": ["2x1acc/1000cpu/1000mb 60ms"]},
            *({"event": "start", "task": task, "run": 1, "worker": "a"} for task in tasks),
            {"event": "ended", "task": tasks[0], "run": 1, "worker": "a", "how": "broken"},
            {"event": "ended", "task": tasks[1], "run": 1, "worker": "a", "how": "failed"},
            {"event": "lease_wait", "worker": "a"},
            {"event": "job", "job": JOB, "state": "failed"},
        ]
        times = (1.0, 1.1, 1.1, 2.0, 2.1, 9.0, 9.5)
        texts = [f"{at_s} vm-1 {json.dumps(row)}" for at_s, row in zip(times, rows, strict=True)]
        with tempfile.TemporaryDirectory() as folder:
            files = [Path(folder) / "one.log", Path(folder) / "two.log"]
            files[0].write_text("not a log line\n" + "\n".join(texts[::2]))
            files[1].write_text("\n".join(texts[1::2]))
            result = CliRunner().invoke(main, ["standstills", *map(str, files)])
            more = CliRunner().invoke(
                main, ["standstills", "--accelerators", "16", *map(str, files)]
            )
        self.assertEqual(result.exit_code, 0, result.output)
        self.assertIn(f"2.100 {JOB} stood still for 7.40 s after ended failed", result.output)
        self.assertIn("1 times a job of 1 stood still", result.output)
        self.assertIn("       1  after ended failed", result.output)
        self.assertIn("0 of 8 accelerators held", result.output)
        self.assertIn("0 of 16 accelerators held", more.output)

    def test_a_day_without_stalls(self) -> None:
        found = StallReport((), 0, 0, Resources(), 2, ())
        self.assertIn("2 runs ended whose start is not in the logs", "\n".join(describe(found)))
