"""Tests of the command ``explain``."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from saddlestack.cli.explain import causes, related_lines
from saddlestack.cli.loglines import LogLine, read
from saddlestack.cli.main import main
from saddlestack.policy.cluster.reasons import WaitReason

JOB = "00000000000000aa"
LINES = {
    "one.log": [
        {"time": "1", "vm": "one", "event": "accepted", "job": JOB},
        {"time": "4", "vm": "one", "event": "elected"},
        {"time": "9", "vm": "one", "event": "elected"},
        {"time": "5", "vm": "one", "event": "not_written", "job": JOB, "reason": "reset"},
    ],
    "two.log": [
        {"time": "2", "vm": "two", "event": "start", "task": f"{JOB}.0.0.1", "run": 1},
        {
            "time": "3",
            "vm": "two",
            "event": "stop",
            "task": f"{JOB}.0.0.1",
            "run": 1,
            "reason": "preempted",
            "cause": "other",
        },
        {
            "time": "6",
            "vm": "two",
            "event": "ended",
            "task": f"{JOB}.0.0.1",
            "run": 2,
            "how": "lapsed",
        },
        {"time": "6", "vm": "two", "event": "start", "task": "00000000000000ab.0.0.1", "run": 1},
    ],
}


class ExplainTest(unittest.TestCase):
    def files(self) -> list[Path]:
        folder = Path(tempfile.mkdtemp())
        self.addCleanup(folder.rmdir)
        files = []
        for name, lines in LINES.items():
            file = folder / name
            file.write_text("not a log line\n" + "\n".join(json.dumps(line) for line in lines))
            self.addCleanup(file.unlink)
            files.append(file)
        return files

    def test_lines_of_all_vms_in_order_with_their_context(self) -> None:
        lines = related_lines(JOB, read(self.files()))
        self.assertEqual([line.time for line in lines], ["1", "2", "3", "4", "5", "6"])

    def test_causes(self) -> None:
        found = causes(JOB, related_lines(JOB, read(self.files())))
        self.assertEqual(len(found), 3)
        self.assertIn("gave its room to job other", found[0])
        self.assertIn("refused", found[1])
        self.assertIn("ended lapsed", found[2])

    def test_a_hall_that_was_evacuated_during_the_job_is_named(self) -> None:
        entries = [
            ("0.1", "evacuation", "back-before", "begun"),
            ("0.2", "evacuation", "back-before", "taken_back"),
            ("0.5", "evacuation", "emptied", "begun"),
            ("1", "accepted", "", ""),
            ("4", "evacuation", "emptied", "taken_back"),
            ("6", "job", "", "completed"),
        ]
        lines = [
            LogLine(time=time, event=event, data_hall=hall, state=state, job=JOB * (not hall))
            for time, event, hall, state in entries
        ]
        found = causes(JOB, related_lines(JOB, lines))
        self.assertEqual(len(found), 2)
        self.assertIn("emptied was evacuated at 0.5", found[0])
        self.assertIn("emptied was back at 4", found[1])

    def test_a_lease_wait_and_the_proof_of_its_end_are_described(self) -> None:
        task = f"{JOB}.0.0.1"
        lines = [
            LogLine(time="1", event="start", task=task, run=1, worker="w1"),
            LogLine(time="2", event="lease_wait", worker="w1", left_s=10.7),
            LogLine(time="2", event="lease_wait", worker="w2", left_s=10.7),
            LogLine(time="3", event="run_over", task=task, run=1, worker="w1", proof="replaced"),
            LogLine(time="4", event="start", task=task, run=2, worker="w3"),
            LogLine(time="5", event="lease_wait", worker="w1", left_s=10.7),
            LogLine(time="6", event="ended", task=task, run=2, worker="w3", how="done"),
            LogLine(time="7", event="lease_wait", worker="w3", left_s=10.7),
        ]
        entries = related_lines(JOB, lines)
        self.assertEqual([line.time for line in entries], ["1", "2", "3", "4", "6"])
        waits, over = causes(JOB, entries)
        self.assertIn("w1 did not answer at 2", waits)
        self.assertIn("10.7 s at most", waits)
        self.assertIn("run 1 counted as over on w1: replaced", over)

    def test_a_wait_is_described_with_its_reason_and_end(self) -> None:
        reason = WaitReason.QUARANTINE
        waits = {
            "job": JOB,
            "reason": reason.value,
            "tasks": 4,
            "ends": reason.ends,
        }
        lines = [
            LogLine(time="1", event="accepted", job=JOB),
            LogLine(time="2", event="waits", stood_s=1.0, ends_s=3.5, **waits),
            LogLine(time="4", event="stands_still", stood_s=3.0, **waits),
            LogLine(time="5", event="waits", job="00000000000000ab", reason="no_room"),
        ]
        waited, stood = causes(JOB, related_lines(JOB, lines))
        self.assertIn("at 2 nothing of it had run for 1.0 s: ", waited)
        self.assertIn(reason.awaited, waited)
        self.assertIn("(quarantine; 4 tasks)", waited)
        self.assertIn(f"ends with {reason.ends}, 3.5 s later at most", waited)
        self.assertIn("for 3.0 s beside a free pool", stood)
        self.assertTrue(stood.endswith(reason.ends))

    def test_a_late_check_of_the_leader_is_described(self) -> None:
        for late_s in (0.4, 6.3):
            line = LogLine(event="stands_still", job=JOB, reason="reserved", late_s=late_s)
            [stood] = causes(JOB, related_lines(JOB, [line]))
            self.assertEqual("the leader itself had come to nothing" in stood, late_s > 1.0)

    def test_an_unknown_reason_of_another_release_is_printed_as_it_is(self) -> None:
        lines = [LogLine(time="2", event="waits", job=JOB, reason="tides", ends="the ebb")]
        [waited] = causes(JOB, related_lines(JOB, lines))
        self.assertIn("does not know (tides; 0 tasks); ends with the ebb", waited)

    def slow_run(self, *speeds: LogLine) -> list[str]:
        """Explain a job with one run from 10 s to 15 s on a worker."""
        fields = {"task": f"{JOB}.0.0.1", "run": 1, "worker": "w1"}
        lines = [
            LogLine(at_s=10.0, time="10", event="start", **fields),
            *speeds,
            LogLine(at_s=15.0, time="15", event="ended", how="done", **fields),
        ]
        lines.sort(key=lambda line: line.at_s)
        return causes(JOB, related_lines(JOB, lines), lines)

    def speed(self, at_s: float, factor: float) -> LogLine:
        return LogLine(
            at_s=at_s,
            time=f"{at_s:g}",
            event="worker_speed",
            worker="w1",
            factor=factor,
            confidence=0.75,
        )

    def test_a_slow_worker_is_described_with_its_factor_and_confidence(self) -> None:
        [slow] = self.slow_run(self.speed(4.0, 2.44))
        self.assertIn("w1 was slow: work takes 2.44 times as long there", slow)
        self.assertIn("(confidence 0.75, logged at 4, known to the leader at the start)", slow)
        self.assertIn(f"{JOB}.0.0.1 run 1 ran there", slow)

    def test_a_worker_is_slow_above_the_limit_only(self) -> None:
        for factor, count in ((1.0, 0), (1.5, 0), (1.5625, 1)):
            self.assertEqual(len(self.slow_run(self.speed(4.0, factor))), count, factor)
        self.assertEqual(self.slow_run(), [])

    def test_whether_the_leader_knew_of_a_slow_worker_at_the_start(self) -> None:
        """Guards against blame of a placement for what was learned only from the run itself."""
        elected = LogLine(at_s=8.0, event="elected")
        inherited = LogLine(at_s=8.5, event="speeds_inherited", workers=3)
        nothing = LogLine(at_s=8.5, event="speeds_inherited")
        late = LogLine(at_s=10.5, event="speeds_inherited", workers=3)
        early, during, after = (self.speed(at_s, 2.44) for at_s in (4.0, 12.0, 16.0))
        for lines, known in (
            ([early], True),
            ([during], False),
            ([after], False),
            ([early, elected], False),
            ([early, elected, nothing], False),
            ([early, elected, late], False),
            ([early, elected, inherited], True),
            ([elected, self.speed(9.0, 2.44)], True),
            ([self.speed(4.0, 1.0), during], False),
        ):
            with self.subTest(lines=lines):
                [slow] = self.slow_run(*lines)
                self.assertEqual("not known to the leader" not in slow, known)

    def test_a_start_that_a_slow_worker_refused_is_no_run_there(self) -> None:
        fields = {"task": f"{JOB}.0.0.2", "run": 1, "worker": "w1"}
        lines = [
            self.speed(0.0, 2.44),
            LogLine(at_s=1.0, event="start", **fields),
            LogLine(at_s=1.1, event="start_refused", reason="room", **fields),
        ]
        [refused] = causes(JOB, related_lines(JOB, lines), lines)
        self.assertIn("refused", refused)

    def test_speeds_of_workers_that_run_the_job_are_listed_with_its_lines(self) -> None:
        lines = [
            LogLine(time="1", event="start", task=f"{JOB}.0.0.1", run=1, worker="w1"),
            LogLine(time="2", event="worker_speed", worker="w1", factor=2.44),
            LogLine(time="2", event="worker_speed", worker="w2", factor=2.44),
            LogLine(time="3", event="ended", task=f"{JOB}.0.0.1", run=1, worker="w1", how="done"),
            LogLine(time="4", event="worker_speed", worker="w1", factor=1.0),
        ]
        self.assertEqual([line.time for line in related_lines(JOB, lines)], ["1", "2", "3"])

    def test_a_line_in_the_format_of_the_leader_is_parsed(self) -> None:
        row = {
            "event": "stands_still",
            "job": JOB,
            "reason": "near_data",
            "stood_s": 3.0,
            "tasks": 1,
            "ends": "room",
            "ends_s": None,
        }
        file = Path(tempfile.mkdtemp()) / "log"
        self.addCleanup(file.parent.rmdir)
        file.write_text(json.dumps(row))
        self.addCleanup(file.unlink)
        [line] = read([file])
        self.assertEqual((line.reason, line.stood_s, line.ends_s), ("near_data", 3.0, None))

    def test_command(self) -> None:
        files = [str(file) for file in self.files()]
        result = CliRunner().invoke(main, ["explain", JOB, *files])
        self.assertEqual(result.exit_code, 0)
        self.assertIn("gave its room", result.output)
        self.assertEqual(CliRunner().invoke(main, ["explain", "nobody", *files]).exit_code, 1)


if __name__ == "__main__":
    unittest.main()
