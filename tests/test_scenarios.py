import unittest
from pathlib import Path

from saddlestack.errors import SaddlestackError
from saddlestack.standins.chaos import Chaos
from saddlestack.standins.loop import run
from saddlestack.standins.scenario.play import Scenario, parse, read
from tests import support as support

FILES = sorted((Path(__file__).parent.parent / "scenarios").glob("*.scenario"))
CHAOS_SEEDS = (1, 5, 6, 12)
"""Seeds that found faults: a nonexistent gang, a second start, a livelock, an older attempt."""
CHAOS_SECONDS = 60.0


class ScenarioFilesTest(unittest.TestCase):
    def test_every_scenario_holds(self) -> None:
        self.assertGreaterEqual(len(FILES), 20)
        for path in FILES:
            with self.subTest(scenario=path.name):
                outcome = run(Scenario(path.name, read(path)).play())
                broken = [b for promise in outcome.promises for b in promise.breaches]
                self.assertEqual((outcome.failures, broken), ([], []))


class ChaosTest(unittest.TestCase):
    def test_promises_hold_under_mixed_faults(self) -> None:
        for seed in CHAOS_SEEDS:
            with self.subTest(seed=seed):
                outcome = run(Chaos(seed, CHAOS_SECONDS).play())
                broken = [b for promise in outcome.promises for b in promise.breaches]
                self.assertEqual((outcome.failures, broken), ([], []))


class LanguageTest(unittest.TestCase):
    def test_unknown_verbs_name_file_and_line(self) -> None:
        with self.assertRaises(SaddlestackError) as caught:
            parse("start ulemiste\n\nexplode all\n", "x.scenario")
        self.assertEqual(caught.exception.where, "x.scenario:3")

    def test_an_open_quote_is_an_error_with_its_line(self) -> None:
        with self.assertRaises(SaddlestackError) as caught:
            parse('account "depots\n', "x.scenario")
        self.assertEqual(caught.exception.where, "x.scenario:1")

    def test_a_missing_word_names_its_line(self) -> None:
        lines = parse("start ulemiste entries=1\naccount depots\nsubmit depots r-1\n", "x")
        with self.assertRaises(SaddlestackError) as caught:
            run(Scenario("x", lines).play())
        self.assertEqual(caught.exception.where, "x:3")

    def test_an_expectation_that_does_not_hold_fails_the_scenario(self) -> None:
        text = "start ulemiste entries=1\naccount depots\nconfigure\nexpect revision 7 within=1\n"
        outcome = run(Scenario("x", parse(text, "x")).play())
        self.assertFalse(outcome.held)
        self.assertIn("x:4", outcome.failures[0])

    def test_a_broken_promise_fails_the_scenario(self) -> None:
        text = "start ulemiste entries=1\naccount depots\nconfigure\nsubmit depots r-1 1 run_once\n"
        scenario = Scenario("x", parse(text + "expect done depots/r-1\n", "x"))
        check_invariants = scenario._check_invariants

        def check_duplicated_history() -> list[object]:
            for endpoint in scenario.cluster.endpoints.values():
                endpoint.history.extend(list(endpoint.history))
            return list(check_invariants())

        scenario._check_invariants = check_duplicated_history  # type: ignore[method-assign, assignment]
        outcome = run(scenario.play())
        self.assertFalse(outcome.held)
