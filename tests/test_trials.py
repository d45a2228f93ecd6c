"""The trials: the edits of each variant match the sources, and days are compared in pairs."""

from __future__ import annotations

import shutil
import tempfile
import unittest
from pathlib import Path

import click
from benchmarks.trials import Report, compare, parse_numbers
from benchmarks.variants import VARIANTS, Edit, EditMissing, Variant, apply

PACKAGE = Path(__file__).resolve().parent.parent / "src" / "saddlestack"


class VariantsTest(unittest.TestCase):
    def test_each_variant_matches_the_sources_and_the_result_compiles(self) -> None:
        for variant in VARIANTS:
            with self.subTest(variant=variant.name), tempfile.TemporaryDirectory() as folder:
                for edit in variant.edits:
                    target = Path(folder) / edit.file
                    target.parent.mkdir(parents=True, exist_ok=True)
                    shutil.copy(PACKAGE / edit.file, target)
                apply(variant, Path(folder))
                for edit in variant.edits:
                    compile((Path(folder) / edit.file).read_text(), edit.file, "exec")

    def test_an_edit_that_does_not_match_raises(self) -> None:
        variant = Variant("none", "", (Edit("errors.py", "no such text", ""),))
        with tempfile.TemporaryDirectory() as folder:
            shutil.copy(PACKAGE / "errors.py", Path(folder) / "errors.py")
            with self.assertRaises(EditMissing):
                apply(variant, Path(folder))


class ComparisonTest(unittest.TestCase):
    def test_only_days_with_a_score_in_both_are_compared(self) -> None:
        present = {"a": Report(0.8), "b": Report(0.6), "c": Report(0.1), "d": Report(None)}
        without = {"a": Report(0.7), "b": Report(0.6, {"TWICE": 1}), "d": Report(0.9)}
        comparison = compare(present, without)
        self.assertEqual((comparison.days, comparison.broken), (2, 1))
        self.assertAlmostEqual(comparison.present, 0.7)
        self.assertAlmostEqual(comparison.gain, 0.05)
        self.assertAlmostEqual(comparison.error, 0.05)

    def test_comparison_without_days(self) -> None:
        self.assertEqual(compare({}, {}).days, 0)

    def test_parse_numbers(self) -> None:
        self.assertEqual(parse_numbers("1-3,7"), [1, 2, 3, 7])
        with self.assertRaises(click.BadParameter):
            parse_numbers("x")
