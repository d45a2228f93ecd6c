"""Runs seeded days from the command line.

Usage: ``PYTHONHASHSEED=0 python -m tests.simulation FIRST COUNT``.
"""

from __future__ import annotations

import argparse
import gc
import time
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

from saddlestack.errors import SaddlestackError
from saddlestack.soak.shape import SCHEDULING_PARTS, scheduling_with
from tests.simulation.day import Verdict, day_of
from tests.simulation.hard_load import HardLoad
from tests.simulation.jobs import KINDS, JobKinds
from tests.simulation.speeds import Speeds


@dataclass(slots=True)
class Summary:
    """Totals over all days.

    :param still: days with a stall that no rule explains.
    :param gangs: judged starts of urgent gangs, those on slow workers, and the avoidable ones.
    """

    days: int = 0
    broken: int = 0
    still: int = 0
    standstills: int = 0
    explained: int = 0
    longest_s: float = 0.0
    gangs: Counter[str] = field(default_factory=Counter)
    in_time: Counter[str] = field(default_factory=Counter)
    done: Counter[str] = field(default_factory=Counter)

    def add(self, verdict: Verdict) -> None:
        """Add the verdict on one day."""
        found = verdict.standstills
        self.days += 1
        self.broken += bool(verdict.broken)
        self.still += bool(found.unexplained)
        self.standstills += len(found.unexplained)
        self.explained += sum(found.explained.values())
        self.longest_s = max(self.longest_s, found.longest_s)
        slow = verdict.slow_gangs
        self.gangs.update(judged=slow.starts, slow=slow.on_slow, avoidable=len(slow.avoidable))
        for queue, (in_time, done) in verdict.in_time.items():
            self.in_time[queue] += in_time
            self.done[queue] += done

    def __str__(self) -> str:
        return (
            f"{self.days} days, {self.broken} broken, {self.still} with a standstill"
            f" ({self.standstills} standstills, the longest {self.longest_s:.1f} s),"
            f" {self.explained} explained{self._hard_load()}"
        )

    def _hard_load(self) -> str:
        """What is reported of days of hard load only."""
        if not self.done:
            return ""
        shares = ", ".join(
            f"{queue} {self.in_time[queue]} of {done}" for queue, done in sorted(self.done.items())
        )
        gangs = ", ".join(f"{count} {name}" for name, count in self.gangs.items())
        return f"; in time: {shares}; urgent gangs on slow workers: {gangs}"


def _show(verdict: Verdict, took_s: float, whole: bool) -> None:
    events = " ".join(f"{name}={count}" for name, count in sorted(verdict.events.items()))
    found = verdict.standstills
    explained = ", ".join(f"{rule} {count}" for rule, count in sorted(found.explained.items()))
    print(
        f"seed {verdict.seed}: {verdict.jobs} jobs, {verdict.starts} starts, "
        f"{len(verdict.broken)} broken, {len(verdict.unfinished)} unfinished, "
        f"{len(found.unexplained)} stood still (explained: {explained or 'none'}), "
        f"{took_s:.1f} s {events}",
        flush=True,
    )
    for text in verdict.broken if whole else verdict.broken[:3]:
        print("   ", text, flush=True)
    if whole:
        print("\n".join(verdict.lines), flush=True)


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser()
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int, nargs="?", default=1)
    parser.add_argument("--seconds", type=float, default=45.0)
    parser.add_argument("--only", default="", help="kinds of trouble, with commas")
    parser.add_argument("--calm", action="store_true", help="no trouble but that of --only")
    parser.add_argument(
        "--jobs", default="", help=f"kinds of jobs, with commas: {', '.join(KINDS)}"
    )
    parser.add_argument("--failing", type=float, default=0.0, help="share of jobs that fail once")
    parser.add_argument(
        "--crashing", type=float, default=0.0, help="share of jobs with a task that crashes workers"
    )
    parser.add_argument("--unequal", type=float, default=0.0, help="share of slow workers")
    parser.add_argument("--factor", type=float, default=2.4, help="time factor of slow workers")
    parser.add_argument("--drift", type=float, default=0.05, help="changes of speed per second")
    parser.add_argument("--crowd", action="store_true", help="crowds of jobs of all priorities")
    parser.add_argument("--options", default="", help=f"with commas: {', '.join(SCHEDULING_PARTS)}")
    parser.add_argument("--by-the-pages", action="store_true", help="no record goes early")
    parser.add_argument("--found", type=Path, help="a file that broken days are added to")
    return parser.parse_args()


def _hard_load(options: argparse.Namespace) -> HardLoad | None:
    """The hard load that the options ask for; ``None`` for the usual jobs."""
    if not options.unequal and not options.crowd:
        return None
    if not 0 <= options.unequal <= 1 or options.factor < 1 or options.drift < 0:
        raise SystemExit("expected a share from 0 to 1, a factor from 1 and a drift from 0")
    return HardLoad(Speeds(options.unequal, options.factor, options.drift), options.crowd)


def main() -> None:
    """Run the days that the options select."""
    options = _options()
    only = [kind for kind in options.only.split(",") if kind]
    named = frozenset(kind for kind in options.jobs.split(",") if kind)
    if not named <= set(KINDS):
        raise SystemExit(f"no such kinds of jobs: {', '.join(sorted(named - set(KINDS)))}")
    try:
        scheduling = scheduling_with(options.options)
    except SaddlestackError as error:
        raise SystemExit(str(error)) from None
    kinds = JobKinds(named, options.failing, options.crashing)
    summary = Summary()
    for seed in range(options.first, options.first + options.count):
        began = time.process_time()
        day = day_of(
            seed,
            options.seconds,
            only,
            removes_early=not options.by_the_pages,
            calm=options.calm,
            kinds=kinds,
            hard=_hard_load(options),
            scheduling=scheduling,
        )
        verdict = day.play()
        took_s = time.process_time() - began
        summary.add(verdict)
        _show(verdict, took_s, whole=options.count == 1)
        if verdict.broken and options.found is not None:
            with options.found.open("a") as file:
                file.write("\n".join([f"seed {seed}", *verdict.broken, *verdict.lines, "", ""]))
        if seed % 10 == 0:
            gc.collect()
    print(summary, flush=True)


if __name__ == "__main__":
    main()
