"""Plays seeded days by hand: ``PYTHONHASHSEED=0 python -m tests.simulation FIRST COUNT``."""

from __future__ import annotations

import argparse
import gc
import time
from pathlib import Path

from tests.simulation.day import Verdict, day_of


def _show(verdict: Verdict, took_s: float, whole: bool) -> None:
    events = " ".join(f"{name}={count}" for name, count in sorted(verdict.events.items()))
    print(
        f"seed {verdict.seed}: {verdict.jobs} jobs, {verdict.starts} starts, "
        f"{len(verdict.broken)} broken, {len(verdict.unfinished)} unfinished, "
        f"{took_s:.1f} s {events}",
        flush=True,
    )
    for text in verdict.broken if whole else verdict.broken[:3]:
        print("   ", text, flush=True)
    if whole:
        print("\n".join(verdict.lines), flush=True)


def main() -> None:
    """Play days."""
    parser = argparse.ArgumentParser()
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int, nargs="?", default=1)
    parser.add_argument("--seconds", type=float, default=45.0)
    parser.add_argument("--only", default="", help="kinds of trouble, with commas")
    parser.add_argument("--by-the-pages", action="store_true", help="no record goes early")
    parser.add_argument("--found", type=Path, help="a file that broken days are added to")
    options = parser.parse_args()
    only = [kind for kind in options.only.split(",") if kind]
    for seed in range(options.first, options.first + options.count):
        began = time.process_time()
        early = not options.by_the_pages
        verdict = day_of(seed, options.seconds, only, removes_early=early).play()
        took_s = time.process_time() - began
        _show(verdict, took_s, whole=options.count == 1)
        if verdict.broken and options.found is not None:
            with options.found.open("a") as file:
                file.write("\n".join([f"seed {seed}", *verdict.broken, *verdict.lines, "", ""]))
        if seed % 10 == 0:
            gc.collect()


if __name__ == "__main__":
    main()
