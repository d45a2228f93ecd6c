"""Tests of the changes of the configuration in a soak, and of the checks of their effect."""

from __future__ import annotations

import asyncio
import tempfile
import unittest
from pathlib import Path

import msgspec

from saddlestack.errors import SaddlestackError
from saddlestack.platform.documents import PlatformDocuments
from saddlestack.policy.pool_configuration import faults_of
from saddlestack.soak.configuration_checks import (
    APPLY_S,
    CONTACT_S,
    TURNED_AWAY_APPLY_S,
    ConfigurationChecker,
    check_logs,
)
from saddlestack.soak.configuration_probes import ConfigurationProbe
from saddlestack.soak.configurations import (
    ConfigurationHistory,
    ConfigurationVersion,
    invalid_documents,
)
from saddlestack.soak.faults import Fault
from saddlestack.soak.platform import configuration
from saddlestack.soak.run import SoakPlan, run
from saddlestack.soak.shape import FaultKind, check, load

SHAPE = Path(__file__).parent.parent / "deploy" / "soak" / "configuration.json"
LARGE_SHAPE = SHAPE.with_name("large-configuration.json")
BASE = frozenset({"urgent"})
KEY = "key"
VM = "hall-1-entry-1"


def history() -> ConfigurationHistory:
    """Version 1, version 4 with a queue added, confirmed at 10 s, and 5 without it, at 30 s."""
    keys = frozenset({KEY})
    return ConfigurationHistory(
        [
            ConfigurationVersion(1, BASE, keys, 0.0, 0.0),
            ConfigurationVersion(4, BASE | {"added"}, keys | {"given"}, 9.9, 10.0),
            ConfigurationVersion(5, BASE, keys, 29.9, 30.0),
        ]
    )


def probe(
    sent_s: float, status: int, *, queue: str = "added", key: str = KEY
) -> ConfigurationProbe:
    """A call that was answered at once."""
    return ConfigurationProbe(VM, queue, key, sent_s, sent_s, status)


class CheckerTest(unittest.TestCase):
    def violations(self, *probes: ConfigurationProbe, faults: tuple[Fault, ...] = ()) -> int:
        """Returns how many calls no version explains that may have been in force."""
        checker = ConfigurationChecker(history(), faults, {VM: "hall-1"})
        return len(checker.check(probes))

    def test_calls_are_handled_by_the_versions_that_may_be_in_force(self) -> None:
        for sent_s, status, expected in (
            (5.0, 404, 0),
            (5.0, 200, 1),
            (10.0 + APPLY_S, 404, 0),
            (10.1 + APPLY_S, 404, 1),
            (9.95, 200, 0),
            (29.0, 200, 0),
            (30.0 + APPLY_S, 200, 0),
            (30.1 + APPLY_S, 200, 1),
        ):
            with self.subTest(sent_s=sent_s, status=status):
                self.assertEqual(self.violations(probe(sent_s, status)), expected)

    def test_keys_that_were_given_and_taken_away(self) -> None:
        for sent_s, status, expected in ((20.0, 200, 0), (20.0, 401, 1), (40.0, 200, 1)):
            with self.subTest(sent_s=sent_s, status=status):
                call = probe(sent_s, status, queue="urgent", key="given")
                self.assertEqual(self.violations(call), expected)

    def test_a_fault_of_the_process_lifts_the_bound_until_the_vm_is_in_contact(self) -> None:
        fault = Fault(FaultKind.VM_FREEZE, 3.0, 11.0, 14.0, VM)
        self.assertEqual(self.violations(probe(13.0, 404), faults=(fault,)), 0)
        self.assertEqual(self.violations(probe(14.0 + CONTACT_S, 404), faults=(fault,)), 0)
        self.assertEqual(self.violations(probe(14.1 + CONTACT_S, 404), faults=(fault,)), 1)
        other = Fault(FaultKind.VM_FREEZE, 3.0, 11.0, 14.0, "hall-1-entry-2")
        self.assertEqual(self.violations(probe(13.0, 404), faults=(other,)), 1)

    def test_silent_connections_lift_the_bound_from_their_beginning_only(self) -> None:
        fault = Fault(FaultKind.STORE_STALE_SOME, 9.0, 10.0, 19.0, VM)
        self.assertEqual(self.violations(probe(12.9, 404), faults=(fault,)), 0)
        self.assertEqual(self.violations(probe(13.1, 404), faults=(fault,)), 1)

    def test_a_vm_that_the_store_turns_away_has_a_longer_bound(self) -> None:
        fault = Fault(FaultKind.STORE_SHARE_AWAY, 18.0, 9.0, 27.0, VM)
        self.assertEqual(
            self.violations(probe(10.0 + TURNED_AWAY_APPLY_S, 404), faults=(fault,)), 0
        )
        self.assertEqual(
            self.violations(probe(10.1 + TURNED_AWAY_APPLY_S, 404), faults=(fault,)), 1
        )

    def test_an_invalid_document_explains_no_call(self) -> None:
        self.assertEqual(self.violations(probe(20.0, 404, queue="urgent")), 1)

    def test_calls_under_a_bound_are_counted(self) -> None:
        fault = Fault(FaultKind.STORE_AWAY, 1.0, 20.0, 21.0, "")
        checker = ConfigurationChecker(history(), [fault], {VM: "hall-1"})
        checker.check([probe(15.0, 200), probe(20.5, 200)])
        self.assertEqual(checker.judged, 1)


class LogTest(unittest.TestCase):
    def violations(self, *lines: dict[str, object]) -> list[str]:
        with tempfile.TemporaryDirectory() as folder:
            log = Path(folder) / "vm.log"
            log.write_bytes(b"\n".join(msgspec.json.encode(line) for line in lines) + b'\n{"ev')
            return [each.detail for each in check_logs([log], history())]

    def test_versions_rise_within_one_process(self) -> None:
        started = {"event": "started"}
        applied = [{"event": "configuration", "version": version} for version in (1, 4, 5)]
        self.assertEqual(self.violations(started, *applied, started, *applied), [])
        self.assertEqual(
            self.violations(started, applied[1], applied[0]), ["vm took version 1 after 4"]
        )

    def test_versions_that_were_never_valid(self) -> None:
        applied = {"event": "configuration", "version": 1_000_001}
        self.assertEqual(self.violations(applied), ["vm took version 1000001 after 0"])


class DocumentsTest(unittest.TestCase):
    def test_documents_are_valid_or_invalid_as_intended(self) -> None:
        documents = PlatformDocuments()
        valid = configuration(load(SHAPE), 7, queues=["idle-1"], keys=["extra"])
        self.assertEqual(faults_of(documents.configuration(valid)), [])
        for value in invalid_documents(valid):
            with self.subTest(value), self.assertRaises((SaddlestackError, AssertionError)):
                self.assertEqual(faults_of(documents.configuration(value)), [])

    def test_errors_of_the_mix_are_named(self) -> None:
        shape = load(SHAPE)
        assert shape.configuration is not None
        mix = msgspec.structs.replace(
            shape.configuration,
            pause_s=(2.0, 1.0),
            series_pause_s=(0.0, 1.0),
            idle_queues=-1,
            invalid_share=1.5,
        )
        self.assertEqual(
            list(check(msgspec.structs.replace(shape, configuration=mix, weak_link_bytes_s=0.0))),
            [
                "configuration.pause_s: expected two times above 0, the shorter one first",
                "configuration.series_pause_s: expected two times above 0, the shorter one first",
                "configuration.idle_queues: expected 0 to 8500, got -1",
                "configuration.invalid_share: expected 0 to 1, got 1.5",
                "weak_link_bytes_s: expected 1000 to inf, got 0",
            ],
        )


class ShortSoakTest(unittest.TestCase):
    # The real processes were never given another configuration while they ran.
    def test_configurations_are_in_force_in_time_on_real_processes(self) -> None:
        report = asyncio.run(run(SoakPlan(load(SHAPE), seed=3, seconds=14.0)))
        self.assertEqual([broken.text for broken in report.broken], [], f"logs: {report.logs}")
        self.assertEqual(report.troubled, [], f"logs: {report.logs}")
        assert report.configurations is not None
        self.assertGreater(report.configurations.versions, 10)
        self.assertGreater(report.configurations.judged, 200)

    # Calls were handled by older versions where a document took most of a second to arrive.
    def test_large_configurations_are_in_force_in_time_over_narrow_links(self) -> None:
        report = asyncio.run(run(SoakPlan(load(LARGE_SHAPE), seed=1, seconds=14.0)))
        self.assertEqual([broken.text for broken in report.broken], [], f"logs: {report.logs}")
        self.assertEqual(report.troubled, [], f"logs: {report.logs}")
        assert report.configurations is not None
        self.assertGreater(report.configurations.versions, 4)
        self.assertGreater(report.configurations.judged, 200)


if __name__ == "__main__":
    unittest.main()
