"""The project's own days for the users' benchmark; each one fits any deployment."""

from __future__ import annotations

import tomllib
import unittest
from pathlib import Path

from benchmarks.days import generate

DAYS_DIR = Path(__file__).resolve().parent.parent / "deploy" / "days"
PLACEHOLDERS = {"class": "@c0", "service": "@s0", "zone": "@z0"}
"""Placeholders for the first request class, service and data hall of a deployment."""
SHORTEST_S = 30.0
"""Lower bound for a day without a length, which takes the longer one of its deployment."""


class DaysTest(unittest.TestCase):
    def test_no_day_refers_to_one_deployment(self) -> None:
        files = sorted(DAYS_DIR.glob("*.toml"))
        self.assertTrue(files)
        for path in files:
            day = tomllib.loads(path.read_text())
            with self.subTest(path.name):
                self.assertEqual(day["name"], path.stem)
                for fault in [*day.get("plan", ()), *day["faults"]]:
                    self.assertLess(fault["at"], day.get("length_s", SHORTEST_S))
                    self.assertLessEqual(fault.get("count", 0), 1)
                    for field, placeholder in PLACEHOLDERS.items():
                        self.assertEqual(fault.get(field, placeholder), placeholder)

    def test_generated_days_match_the_generator(self) -> None:
        for name, text in generate.days().items():
            with self.subTest(name):
                self.assertEqual((DAYS_DIR / f"{name}.toml").read_text(), text)


if __name__ == "__main__":
    unittest.main()
