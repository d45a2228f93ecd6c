"""Simulated days, by the reasons for which jobs wait: the longest wait, and what idles meanwhile.

A reason that keeps jobs waiting for long beside idle accelerators shows here first::

    PYTHONHASHSEED=0 PYTHONPATH=src:. python -m benchmarks.idle 97000 10 --failing 0.3
    PYTHONHASHSEED=0 PYTHONPATH=src:. python -m benchmarks.idle 97000 10 --calm --stop 5
"""

from __future__ import annotations

import argparse
import random
import re
import unittest.mock
from collections import Counter
from dataclasses import dataclass, field

from tests.simulation import day as days
from tests.simulation.deployment import Shape
from tests.simulation.jobs import JobKinds

from saddlestack.work import FINAL_STATES

LOOK_S = 0.5
NOT_SHOWN = "nothing told"
"""The reason of a job that the leader has not looked at."""
_REASON = re.compile(r"\((\w+)\)")


@dataclass
class Figures:
    """What looks at days have found, by reason.

    :param looks: jobs that waited, counted at each look.
    :param longest_s: the longest that one job waited for one reason without a break.
    :param idle_s: accelerator-seconds that were free and that waiting jobs asked for.
    """

    days: int = 0
    broken: int = 0
    looks: Counter[str] = field(default_factory=Counter)
    longest_s: dict[str, float] = field(default_factory=dict)
    idle_s: Counter[str] = field(default_factory=Counter)

    def add(self, reason: str, waited_s: float) -> None:
        """Count a job that waits at a look."""
        self.looks[reason] += 1
        self.longest_s[reason] = max(waited_s, self.longest_s.get(reason, 0.0))

    def __str__(self) -> str:
        rows = [f"{self.days} days, {self.broken} broken", "| reason | looks | longest | idle |"]
        for reason, looks in self.looks.most_common():
            longest_s = self.longest_s[reason]
            rows.append(f"| {reason} | {looks} | {longest_s:.1f} s | {self.idle_s[reason]:.0f} |")
        return "\n".join(rows)


class Watch:
    """Looks at a day each half second, on a loop of its own so that the day stays as it is."""

    def __init__(self, day: days.Day, figures: Figures) -> None:
        self._day = day
        self._figures = figures
        self._loop = day.site.timeline.loop("idle", random.Random(0))
        self._since: dict[tuple[str, str], float] = {}

    def begin(self) -> None:
        """Look from now on."""
        self._loop.call_later(LOOK_S, self._look)

    def _look(self) -> None:
        self._loop.call_later(LOOK_S, self._look)
        waiting = self._waiting()
        asked: Counter[str] = Counter()
        now = self._loop.time()
        for job_id, reason in waiting.items():
            began_s = self._since.get((job_id, reason), now)
            self._figures.add(reason, now - began_s)
            asked[reason] += self._asks(job_id)
        self._since = {key: self._since.get(key, now) for key in waiting.items()}
        idle = self._idle()
        for reason, accelerators in asked.items():
            self._figures.idle_s[reason] += round(min(idle, accelerators) * LOOK_S)

    def _waiting(self) -> dict[str, str]:
        """The reasons of jobs of which nothing runs."""
        site = self._day.site
        leader = site.latest_leader
        if leader is None or leader.entry is None or leader.entry.scheduler is None:
            return {}
        scheduler = leader.entry.scheduler
        alive = [worker for worker in site.workers.lives.values() if worker.up]
        running = {run.task.job_id for worker in alive for run in worker.runs.values()}
        found: dict[str, str] = {}
        for job_id in sorted(site.acknowledged & self._day.jobs.keys() - running):
            state = scheduler.state(job_id)
            if state is None or state in FINAL_STATES:
                continue
            told = _REASON.search(scheduler.waits.explain(job_id) or "")
            found[job_id] = told.group(1) if told else NOT_SHOWN
        return found

    def _asks(self, job_id: str) -> int:
        """Accelerators that a job's first step takes."""
        step = self._day.jobs[job_id][1].steps[0]
        return step.count * step.needs.accelerators

    def _idle(self) -> int:
        workers = self._day.site.workers.lives.values()
        return sum(worker.free for worker in workers if worker.up)


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--calm", action="store_true", help="no trouble but that of --only")
    parser.add_argument("--only", default="", help="kinds of trouble, with commas")
    parser.add_argument("--failing", type=float, default=0.0, help="share of jobs that fail once")
    parser.add_argument("--crashing", type=float, default=0.0, help="share that crash workers")
    parser.add_argument("--stop", type=float, help="the longest that a stop takes, in seconds")
    return parser.parse_args()


def main() -> None:
    """Play days and print what was found."""
    options = _options()
    figures = Figures()
    kinds = JobKinds(failing=options.failing, crashing=options.crashing)
    only = [kind for kind in options.only.split(",") if kind]
    for seed in range(options.first, options.first + options.count):
        with unittest.mock.patch.object(days, "Shape", _shape(options.stop)):
            day = days.day_of(seed, options.seconds, only, calm=options.calm, kinds=kinds)
        Watch(day, figures).begin()
        verdict = day.play()
        figures.days += 1
        figures.broken += bool(verdict.broken)
        for text in verdict.broken[:3]:
            print(f"seed {seed}: {text}", flush=True)
    print(figures)


def _shape(stop_s: float | None) -> object:
    """Makes the shapes of days, with the stops that were asked for."""
    if stop_s is None:
        return Shape
    return lambda **more: Shape(**{**more, "stop_s": stop_s})


if __name__ == "__main__":
    main()
