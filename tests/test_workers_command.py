"""Tests of the command ``workers``: the speed of each worker, from log lines."""

from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner, Result

from saddlestack.cli.main import main
from saddlestack.cli.workers import HEADINGS


def speed(worker: str, factor: float, **fields: object) -> dict[str, object]:
    return {
        "event": "worker_speed",
        "worker": worker,
        "machine": f"machine-of-{worker}",
        "factor": factor,
        "confidence": 0.5,
        "evidence": 3,
        "age_s": 0.4,
        **fields,
    }


class WorkersCommandTest(unittest.TestCase):
    """A third of the workers is slow: operators see which, and how sure the leader is."""

    def run_command(self, *rows: dict[str, object], options: tuple[str, ...] = ()) -> Result:
        with tempfile.TemporaryDirectory() as folder:
            file = Path(folder) / "vm.log"
            texts = [f"{at_s}.0 vm {json.dumps(row)}" for at_s, row in enumerate(rows)]
            file.write_text("\n".join(["no log line", *texts]))
            return CliRunner().invoke(main, ["workers", *options, str(file)])

    def rows(self, result: Result) -> list[list[str]]:
        self.assertEqual(result.exit_code, 0, result.output)
        headings, *rows = [line.split() for line in result.output.splitlines()]
        self.assertEqual(headings, list(HEADINGS))
        return rows

    def test_one_row_for_each_worker_from_its_last_line_the_slowest_first(self) -> None:
        found = self.rows(
            self.run_command(
                speed("a", 2.44),
                speed("b/17", 1.95, time="12:00", confidence=0.875, evidence=7, age_s=31.25),
                speed("a", 1.0),
            )
        )
        self.assertEqual(
            found,
            [
                ["b/17", "machine-of-b/17", "1.95", "0.88", "7", "31.2", "12:00"],
                ["a", "machine-of-a", "1.00", "0.50", "3", "0.4"],
            ],
        )

    def test_slow_shows_only_workers_above_the_limit(self) -> None:
        rows = (speed("a", 1.0), speed("b", 1.5), speed("c", 1.5625), speed("d", 2.44))
        found = self.rows(self.run_command(*rows, options=("--slow",)))
        self.assertEqual([row[0] for row in found], ["d", "c"])
        none = self.run_command(*rows[:2], options=("--slow",))
        self.assertEqual((none.exit_code, none.output), (0, "no worker has a factor above 1.5\n"))

    def test_logs_without_speeds_are_an_error(self) -> None:
        """Guards against an empty table that reads as if no worker were slow."""
        for options in ((), ("--slow",)):
            result = self.run_command({"event": "elected"}, options=options)
            self.assertEqual(result.exit_code, 1)
            self.assertEqual(result.output, "the logs have no line worker_speed\n")

    def test_a_worker_whose_record_names_no_machine_has_a_row(self) -> None:
        """Guards against a line that is skipped since a field of it is null."""
        [row] = self.rows(self.run_command(speed("a", 2.44, machine=None)))
        self.assertEqual(row[:3], ["a", "-", "2.44"])

    def test_lines_that_were_left_out_are_told(self) -> None:
        left_out = {"event": "worker_speeds_left_out", "lines": 7}
        result = self.run_command(speed("a", 2.44), left_out, left_out)
        self.assertIn("14 lines were left out of the logs", result.output)


if __name__ == "__main__":
    unittest.main()
