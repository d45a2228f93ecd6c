"""Tests of replays of traces."""

import json
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner, Result

from saddlestack.cli.main import main
from saddlestack.replay.maker import RECIPES, config_of, make, to_json_lines
from saddlestack.replay.runner import Replay
from saddlestack.replay.trace import Trace
from tests import support as support

CONFIG = """{
  // One hall of two racks.
  "data_halls": [{"name": "ulemiste", "racks": [
    {"name": "ee-u", "workers": 2, "accelerators": 8, "slots": 8},
    {"name": "ee-v", "workers": 2, "accelerators": 8, "slots": 8}]}],
  "accounts": [
    {"name": "depots", "guarantees": [{"accelerators": 16, "adjacent": "rack", "count": 1}]},
    {"name": "replays", "limits": {"queued": 5}}
  ],
  "weights": {"completion": 0.7, "fragmentation": 0.3}
}"""


def submit(t: float, request: str, accelerators: int = 8, **fields: object) -> str:
    event = {
        "t": t,
        "event": "submit",
        "account": "replays",
        "request": request,
        "class": "bulk",
        "accelerators": accelerators,
        "duration": 100.0,
        **fields,
    }
    return json.dumps(event)


def expect(t: float, that: str, **fields: object) -> str:
    return json.dumps({"t": t, "event": "expect", "that": that, **fields})


class ReplayCase(unittest.TestCase):
    def replay(self, lines: list[str], *options: str, config: str = CONFIG) -> Result:
        with tempfile.TemporaryDirectory() as folder:
            trace, settings = Path(folder) / "t.jsonl", Path(folder) / "c.json"
            trace.write_text("\n".join(lines) + "\n")
            settings.write_text(config)
            arguments = ["replay", str(trace), "--config", str(settings), *options]
            return CliRunner().invoke(main, arguments)


class ContractTest(ReplayCase):
    def test_exit_code_0_if_all_expected_outcomes_hold(self) -> None:
        lines = [
            submit(0, "a", 32, adjacent="hall", checkpoint=True),
            submit(5, "big", 16, account="depots", **{"class": "urgent"}, adjacent="rack"),
            expect(5, "started_within", account="depots", request="big", seconds=8.5),
            expect(6, "running", account="depots", request="big"),
            expect(6, "guarantee_formable", account="depots", shape=0),
            expect(6, "free_at_least", accelerators=16, adjacent="rack"),
            expect(900, "finished", account="replays", request="a"),
            expect(900, "starts_at_most", account="replays", request="a", count=1),
        ]
        result = self.replay(lines, "--json", "--stable")
        self.assertEqual(result.exit_code, 0, result.output)
        body = json.loads(result.output)
        self.assertEqual(body["expectations"], {"held": 6, "failed": []})
        self.assertEqual(body["violations"], [])
        self.assertEqual((body["jobs"], body["finished"], body["reclaims"]), (2, 2, 1))
        self.assertIsNone(body["completion_s"]["normal"])
        self.assertNotIn("decisions_per_s", body)
        self.assertEqual(body["start_delay_s"]["urgent"], {"mean": 0.0, "p50": 0.0, "p99": 0.0})

    def test_exit_code_1_and_the_name_of_a_failed_outcome(self) -> None:
        lines = [submit(0, "a"), expect(50, "finished", account="replays", request="a")]
        result = self.replay(lines, "--json")
        self.assertEqual(result.exit_code, 1)
        body = json.loads(result.output)
        self.assertIn("finished replays/a: it is running", body["expectations"]["failed"][0])
        self.assertGreater(body["decisions_per_s"], 0)

    def test_the_same_input_gives_the_same_output(self) -> None:
        lines = list(to_json_lines(make("is-closing-night", 3, 0.1)))
        config = json.dumps(
            json.loads(CliRunner().invoke(main, ["trace", "config", "is-closing-night"]).output)
        )
        one = self.replay(lines, "--json", "--stable", config=config)
        other = self.replay(lines, "--json", "--stable", config=config)
        self.assertEqual(one.output, other.output)

    def test_invalid_input_names_file_line_and_field(self) -> None:
        good = submit(0, "a")
        for lines, place in (
            ([good, '{"t": 1, "event": "submit", "colour": "red"}'], "t.jsonl:2"),
            ([submit(0, "b", surprise=1)], "t.jsonl:1"),
            ([submit(5, "a"), submit(4, "b")], "t.jsonl:2: t"),
            ([submit(0, "a", estimate=0)], "t.jsonl:1: estimate"),
            ([submit(0, "a", duration=-1.0)], "t.jsonl:1: duration"),
            ([submit(0, "a", 300)], "t.jsonl:1: accelerators"),
            ([submit(0, "a", account="nobody")], "t.jsonl:1: account"),
            ([good, submit(1, "a", 4)], "t.jsonl:2: request"),
            (['{"t": 0, "event": "vm_lost", "vm": "xx-01"}'], "t.jsonl:1: vm"),
            ([good, expect(1, "finished", account="replays", request="z")], "t.jsonl:2: request"),
            ([good, expect(1, "finished", account="replays")], "t.jsonl:2: request"),
            (["not json"], "t.jsonl:1"),
            ([submit(0, "a", **{"class": "soon"})], "t.jsonl:1: class"),
        ):
            with self.subTest(place=place, lines=lines):
                result = self.replay(lines)
                self.assertEqual(result.exit_code, 2, result.output)
                self.assertIn(place, result.output)

    def test_an_invalid_configuration_names_its_key(self) -> None:
        for config, place in (
            (CONFIG.replace('"workers": 2', '"workers": 0', 1), "racks[0].workers"),
            (CONFIG.replace('"weights"', '"wights"'), "wights"),
            (CONFIG.replace('"count": 1', '"count": 9'), "accounts.depots"),
            (CONFIG.replace('"accounts": [', '"accounts": [,'), "c.json:"),
        ):
            with self.subTest(place=place):
                result = self.replay([submit(0, "a")], config=config)
                self.assertEqual(result.exit_code, 2, result.output)
                self.assertIn(place, result.output)

    def test_gangs_larger_than_any_cell_are_refused(self) -> None:
        lines = [
            submit(0, "huge", 200),
            expect(1, "refused", account="replays", request="huge", kind="shape_impossible"),
        ]
        self.assertEqual(self.replay(lines).exit_code, 0)

    def test_a_repeated_submission_is_one_job(self) -> None:
        lines = [submit(0, "a", run_once=True), submit(1, "a", run_once=True)]
        body = json.loads(self.replay(lines, "--json").output)
        self.assertEqual((body["jobs"], body["finished"]), (1, 1))

    def test_lost_run_once_work_is_unknown(self) -> None:
        lines = [
            submit(0, "a", 32, adjacent="hall"),
            submit(0, "b", 8, run_once=True, account="depots"),
            '{"t": 10, "event": "vm_lost", "vm": "ee-u-01"}',
            '{"t": 10, "event": "vm_lost", "vm": "ee-u-02"}',
            '{"t": 10, "event": "vm_lost", "vm": "ee-v-01"}',
            '{"t": 10, "event": "vm_lost", "vm": "ee-v-02"}',
            '{"t": 20, "event": "vm_back", "vm": "ee-u-01"}',
            '{"t": 20, "event": "vm_back", "vm": "ee-u-02"}',
            '{"t": 20, "event": "vm_back", "vm": "ee-v-01"}',
            '{"t": 20, "event": "vm_back", "vm": "ee-v-02"}',
            expect(500, "unknown", account="depots", request="b"),
            expect(500, "starts_at_most", account="depots", request="b", count=1),
            expect(500, "finished", account="replays", request="a"),
        ]
        self.assertEqual(self.replay(lines).exit_code, 0, self.replay(lines).output)

    def test_a_leaving_vm_gets_nothing_new(self) -> None:
        names = ("ee-u-01", "ee-u-02", "ee-v-01", "ee-v-02")
        lines = [f'{{"t": 0, "event": "vm_leaving", "vm": "{name}"}}' for name in names]
        lines += [submit(1, "a"), expect(90, "not_started", account="replays", request="a")]
        lines += [f'{{"t": 100, "event": "vm_back", "vm": "{name}"}}' for name in names]
        lines += [expect(300, "finished", account="replays", request="a")]
        self.assertEqual(self.replay(lines).exit_code, 0)

    def test_a_cancelled_job_does_not_run(self) -> None:
        lines = [
            submit(0, "hold", 32, adjacent="hall"),
            submit(1, "a"),
            '{"t": 2, "event": "cancel", "account": "replays", "request": "a"}',
            expect(900, "not_started", account="replays", request="a"),
        ]
        self.assertEqual(self.replay(lines).exit_code, 0)

    def test_baselines_start_whole_gangs_but_do_not_keep_guarantees(self) -> None:
        lines = [
            submit(0, "fill", 32, adjacent="hall"),
            submit(1, "big", 16, account="depots", adjacent="rack"),
            expect(1, "started_within", account="depots", request="big", seconds=8.5),
        ]
        for policy in ("fifo", "first-fit"):
            result = self.replay(lines, "--policy", policy, "--json")
            self.assertEqual(result.exit_code, 1)
            self.assertEqual(json.loads(result.output)["violations"], [])
        self.assertEqual(self.replay(lines).exit_code, 0)

    def test_the_report_is_one_self_contained_page(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            page = Path(folder) / "report.html"
            lines = [submit(0, "a"), expect(5, "finished", account="replays", request="a")]
            self.replay(lines, "--report", str(page))
            text = page.read_text()
        self.assertIn("it is running", text)
        self.assertIn("Fragmentation", text)
        self.assertNotIn("<script src=", text)


class TracesTest(unittest.TestCase):
    def test_the_outcomes_of_every_generated_trace_hold(self) -> None:
        for name in RECIPES:
            with self.subTest(trace=name):
                events = make(name, 2, 0.25)
                trace = Trace(list(enumerate(events, 1)))
                result = Replay(config_of(name), trace, "saddlestack").run()
                self.assertEqual(result.violations, [])
                self.assertEqual(result.expectations.failed, [])
                self.assertGreater(result.expectations.held, 50)

    def test_the_expected_outcomes_fail_under_a_baseline(self) -> None:
        failed = 0
        for name in RECIPES:
            trace = Trace(list(enumerate(make(name, 1, 1.0), 1)))
            failed += len(Replay(config_of(name), trace, "fifo").run().expectations.failed) > 0
        self.assertEqual(failed, len(RECIPES))

    def test_the_same_seed_makes_the_same_trace(self) -> None:
        for name in RECIPES:
            self.assertEqual(
                list(to_json_lines(make(name, 4, 0.1))), list(to_json_lines(make(name, 4, 0.1)))
            )
            self.assertNotEqual(
                list(to_json_lines(make(name, 4, 0.1))), list(to_json_lines(make(name, 5, 0.1)))
            )
