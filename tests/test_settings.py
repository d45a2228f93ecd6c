import math
import tempfile
import unittest
from pathlib import Path

from click.testing import CliRunner

from saddlestack.cli.main import main
from saddlestack.codec import parse_json_with_comments
from saddlestack.control.settings import MACHINE_KEYS, EntrySettings, Scheduling, Timings
from saddlestack.control.settings import check as check_entry
from saddlestack.errors import SaddlestackError
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.settings import EXAMPLE, Settings, check, load
from saddlestack.shapes import parse_guarantee


class SettingsTest(unittest.TestCase):
    def faults(self, text: str) -> str:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "s.json"
            path.write_text(text)
            result = CliRunner().invoke(main, ["settings", "check", str(path)])
        self.assertEqual(result.exit_code, 2, result.output)
        return result.output

    def test_the_example_is_complete_and_good(self) -> None:
        printed = CliRunner().invoke(main, ["settings", "example"]).output
        settings = parse_json_with_comments(printed, Settings, "example")
        self.assertEqual(check(settings), [])
        for field in Settings.__struct_fields__:
            self.assertIn(f'"{field}"', printed)

    def test_every_fault_is_named_at_once_with_its_key(self) -> None:
        text = EXAMPLE.replace(
            '"address": "127.0.0.1", "port": 7080', '"address": "here", "port": 1'
        )
        text = text.replace("replace-this-shared-key", "short").replace(
            '"drain_s": 60', '"drain_s": 0'
        )
        output = self.faults(text)
        for key in ("http.address", "peer_key", "drain_s"):
            self.assertIn(key, output)

    def test_malformed_files_name_the_line(self) -> None:
        self.assertIn("s.json:7", self.faults(EXAMPLE.replace('"ulemiste",', '"ulemiste" oops', 1)))

    def test_unknown_and_missing_keys_are_faults(self) -> None:
        self.assertIn("colour", self.faults(EXAMPLE.replace('"vm":', '"colour": 1, "vm":', 1)))
        self.assertIn("vm", self.faults(EXAMPLE.replace('"vm": "ee-entry-01",', "", 1)))

    def test_a_wrong_type_names_its_path(self) -> None:
        self.assertIn("http.port", self.faults(EXAMPLE.replace("7080", '"7080"', 1)))

    def test_a_file_that_is_not_there_is_an_error(self) -> None:
        with self.assertRaises(SaddlestackError) as caught:
            load(Path("/nonexistent/settings.json"))
        self.assertIn("cannot be read", str(caught.exception))


class EntrySettingsTest(unittest.TestCase):
    def entry(self, **timings: float) -> EntrySettings:
        """Settings of an entry VM, some of whose times differ."""
        return EntrySettings(
            vm="a",
            data_hall="b",
            clients="127.0.0.1:1",
            readiness="127.0.0.1:2",
            peer_ports=(7000, 7010),
            store="127.0.0.1:3",
            timings=Timings(longest_hold_ms=6000, grace_s=6, status_s=120, **timings),
        )

    def test_machine_sizes_must_be_above_0(self) -> None:
        timings = Timings(longest_hold_ms=6000, grace_s=6, status_s=120)
        settings = EntrySettings(
            vm="a",
            data_hall="b",
            clients="127.0.0.1:1",
            readiness="127.0.0.1:2",
            peer_ports=(7000, 7010),
            store="127.0.0.1:3",
            timings=timings,
            cores=0,
            cpu_share=-1,
            link_mbps=0,
        )
        faults = check_entry(settings)
        self.assertEqual([fault.partition(":")[0] for fault in faults], list(MACHINE_KEYS))

    def test_scheduling_numbers_out_of_range_are_named_with_their_range(self) -> None:
        settings = EntrySettings(
            vm="a",
            data_hall="b",
            clients="127.0.0.1:1",
            readiness="127.0.0.1:2",
            peer_ports=(7000, 7010),
            store="127.0.0.1:3",
            timings=Timings(longest_hold_ms=6000, grace_s=6, status_s=120),
            scheduling=Scheduling(
                speed_memory_s=4.0, speed_write_interval_s=61.0, last_attempt_wait_s=2.1
            ),
        )
        self.assertEqual(
            check_entry(settings),
            [
                "scheduling.speed_memory_s: expected 5 to 3600, got 4",
                "scheduling.speed_write_interval_s: expected 1 to 60, got 61",
                "scheduling.last_attempt_wait_s: expected 0 to 2, got 2.1",
            ],
        )

    def test_a_bound_for_configurations_out_of_range_is_named_with_its_range(self) -> None:
        for value, shown in ((999.0, "999"), (600_001.0, "600001"), (math.nan, "nan")):
            expected = f"timings.configuration_apply_ms: expected 1000 to 600000, got {shown}"
            with self.subTest(value):
                settings = self.entry(configuration_apply_ms=value)
                self.assertEqual(check_entry(settings), [expected])

    def test_a_minimum_drain_time_out_of_range_is_named_with_its_range(self) -> None:
        for value, shown in ((-1.0, "-1"), (600_001.0, "600001"), (math.nan, "nan")):
            expected = f"timings.drain_ms: expected 0 to 600000, got {shown}"
            with self.subTest(value):
                self.assertEqual(check_entry(self.entry(drain_ms=value)), [expected])

    def test_optional_scheduling_decisions_are_off_by_default(self) -> None:
        self.assertEqual(Scheduling().options, SchedulingOptions())


class CommandLineTest(unittest.TestCase):
    def test_help_lists_every_command(self) -> None:
        output = CliRunner().invoke(main, ["--help"]).output
        for command in (
            "account",
            "audit",
            "confirm",
            "daemon",
            "demo",
            "job",
            "plan",
            "replay",
            "scenario",
            "settings",
            "standin",
            "status",
            "submit",
            "trace",
            "vm",
        ):
            self.assertRegex(output, rf"\n  {command}\s")

    def test_no_vm_that_answers_is_not_available(self) -> None:
        result = CliRunner().invoke(main, ["--vm", "127.0.0.1:1", "--token", "x", "status"])
        self.assertEqual(result.exit_code, 5)
        self.assertIn("no entry VM answered", result.output)

    def test_shapes_in_short_form(self) -> None:
        guarantee = parse_guarantee("2x16@rack")
        self.assertEqual((guarantee.count, guarantee.accelerators), (2, 16))
        for text in ("16@rack", "2x0@rack", "2x16@moon", "2x300@hall"):
            with self.assertRaises(SaddlestackError):
                parse_guarantee(text)
