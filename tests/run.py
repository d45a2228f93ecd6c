"""Runs every test with unittest and ends with a line `N passed, N failed`.

The test modules are shared among a few processes, since all of them one after the other take longer
than CI may. Tests that are listed in ``KNOWN-RED.txt`` are printed and not run.
"""

import io
import sys
import unittest
from collections.abc import Iterable, Iterator
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path

from tests import known_red

ROOT = Path(__file__).resolve().parent.parent
LIST = ROOT / "KNOWN-RED.txt"
PROCESSES = 3
"""Processes that run tests. Some tests start up to ten processes of their own in real time."""
TAKEN_FIRST = (
    "tests.test_soak",
    "tests.test_large",
    "tests.test_unequal",
    "tests.test_speed",
    "tests.test_gang",
    "tests.test_days",
    "tests.test_crashing",
    "tests.test_fault",
    "tests.test_path",
    "tests.test_scenarios",
)
"""Prefixes of modules that take long, so that none of them is left for the end."""


@dataclass(frozen=True, slots=True)
class Outcome:
    """The result of one test module.

    :param report: what the runner printed.
    """

    module: str
    run: int
    failed: int
    skipped: int
    report: str


def main() -> int:
    """Run all tests and print their results."""
    listed = known_red.read(LIST)
    known_red.exclude(_discover(), listed)
    outcomes = list(_run_all(_modules()))
    for each in outcomes:
        if each.failed:
            print(f"{each.module}\n{each.report}")
    for red in listed:
        print(f"known red, not run: {red}")
    run = sum(each.run for each in outcomes)
    failed = sum(each.failed for each in outcomes)
    passed = run - failed - sum(each.skipped for each in outcomes)
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed or not run else 0


def _discover() -> unittest.TestSuite:
    return unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), pattern="test_*.py", top_level_dir=str(ROOT)
    )


def _modules() -> list[str]:
    """Names of all test modules, those that take long first."""
    names = sorted(f"tests.{path.stem}" for path in (ROOT / "tests").glob("test_*.py"))
    return sorted(names, key=lambda name: not name.startswith(TAKEN_FIRST))


def _run_all(modules: Iterable[str]) -> Iterator[Outcome]:
    with ProcessPoolExecutor(PROCESSES) as pool:
        for outcome in pool.map(_run_module, modules):
            print(f"{outcome.module}: {outcome.run} run, {outcome.failed} failed", flush=True)
            yield outcome


def _run_module(module: str) -> Outcome:
    """Run the tests of one module. One that cannot be loaded counts as a failed test."""
    suite = unittest.defaultTestLoader.loadTestsFromName(module)
    names = {test.id() for test in known_red.flatten(suite)}
    listed = [red for red in known_red.read(LIST) if red.test in names]
    output = io.StringIO()
    result = unittest.TextTestRunner(stream=output, verbosity=1).run(
        known_red.exclude(suite, listed)
    )
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    return Outcome(module, result.testsRun, failed, len(result.skipped), output.getvalue())


if __name__ == "__main__":
    sys.exit(main())
