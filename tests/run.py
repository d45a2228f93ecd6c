"""Runs every test with unittest and ends with a line `N passed, N failed`.

Tests that are listed in ``KNOWN-RED.txt`` are printed and not run.
"""

import sys
import unittest
from pathlib import Path

from tests import known_red

ROOT = Path(__file__).resolve().parent.parent
LIST = ROOT / "KNOWN-RED.txt"


def main() -> int:
    suite = unittest.defaultTestLoader.discover(
        str(ROOT / "tests"), pattern="test_*.py", top_level_dir=str(ROOT)
    )
    listed = known_red.read(LIST)
    selected = known_red.exclude(suite, listed)
    result = unittest.TextTestRunner(stream=sys.stdout, verbosity=1).run(selected)
    for each in listed:
        print(f"known red, not run: {each}")
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed", flush=True)
    return 1 if failed or not result.testsRun else 0


if __name__ == "__main__":
    raise SystemExit(main())
