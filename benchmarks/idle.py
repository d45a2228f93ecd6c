"""Plays simulated days and prints, per wait reason, the longest wait and the idle accelerators.

It shows which reasons keep jobs waiting for long although accelerators are idle::

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

SAMPLE_INTERVAL_S = 0.5
NO_REASON = "no reason reported"
"""The reason of a job that no scan of the leader has covered yet."""
_REASON = re.compile(r"\((\w+)\)")


@dataclass
class Figures:
    """Results of days, by wait reason.

    :param samples: number of waiting jobs, added up over all samples.
    :param longest_s: the longest time that one job waited for the reason without a break.
    :param idle_s: accelerator-seconds that were free and that waiting jobs requested.
    """

    days: int = 0
    broken: int = 0
    samples: Counter[str] = field(default_factory=Counter)
    longest_s: dict[str, float] = field(default_factory=dict)
    idle_s: Counter[str] = field(default_factory=Counter)

    def add(self, reason: str, waited_s: float) -> None:
        """Add one job that waits in a sample."""
        self.samples[reason] += 1
        self.longest_s[reason] = max(waited_s, self.longest_s.get(reason, 0.0))

    def __str__(self) -> str:
        rows = [f"{self.days} days, {self.broken} broken", "| reason | samples | longest | idle |"]
        for reason, samples in self.samples.most_common():
            longest_s = self.longest_s[reason]
            rows.append(f"| {reason} | {samples} | {longest_s:.1f} s | {self.idle_s[reason]:.0f} |")
        return "\n".join(rows)


class IdleMonitor:
    """Samples the waiting jobs and idle accelerators of a day at regular intervals.

    It runs on a loop of its own, so that it does not change the course of the day.
    """

    def __init__(self, day: days.Day, figures: Figures) -> None:
        self._day = day
        self._figures = figures
        self._loop = day.site.timeline.loop("idle", random.Random(0))
        self._since: dict[tuple[str, str], float] = {}

    def begin(self) -> None:
        """Start sampling."""
        self._loop.call_later(SAMPLE_INTERVAL_S, self._sample)

    def _sample(self) -> None:
        self._loop.call_later(SAMPLE_INTERVAL_S, self._sample)
        waiting = self._wait_reasons()
        requested: Counter[str] = Counter()
        now = self._loop.time()
        for job_id, reason in waiting.items():
            began_s = self._since.get((job_id, reason), now)
            self._figures.add(reason, now - began_s)
            requested[reason] += self._requested_accelerators(job_id)
        self._since = {key: self._since.get(key, now) for key in waiting.items()}
        idle = self._idle_accelerators()
        for reason, accelerators in requested.items():
            self._figures.idle_s[reason] += round(min(idle, accelerators) * SAMPLE_INTERVAL_S)

    def _wait_reasons(self) -> dict[str, str]:
        """Return the wait reason of each unfinished job without runs."""
        site = self._day.site
        leader = site.latest_leader
        if leader is None or leader.entry is None or leader.entry.scheduler is None:
            return {}
        scheduler = leader.entry.scheduler
        alive = [worker for worker in site.workers.lives.values() if worker.up]
        running = {run.task.job_id for worker in alive for run in worker.runs.values()}
        reasons: dict[str, str] = {}
        for job_id in sorted(site.acknowledged & self._day.jobs.keys() - running):
            state = scheduler.state(job_id)
            if state is None or state in FINAL_STATES:
                continue
            match = _REASON.search(scheduler.waits.of(job_id) or "")
            reasons[job_id] = match.group(1) if match else NO_REASON
        return reasons

    def _requested_accelerators(self, job_id: str) -> int:
        """Return the number of accelerators that the first step of a job needs."""
        step = self._day.jobs[job_id][1].steps[0]
        return step.count * step.needs.accelerators

    def _idle_accelerators(self) -> int:
        workers = self._day.site.workers.lives.values()
        return sum(worker.free for worker in workers if worker.up)


def _options() -> argparse.Namespace:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--calm", action="store_true", help="no faults other than those of --only")
    parser.add_argument("--only", default="", help="kinds of faults, separated by commas")
    parser.add_argument("--failing", type=float, default=0.0, help="share of jobs that fail once")
    parser.add_argument(
        "--crashing", type=float, default=0.0, help="share of jobs that crash workers"
    )
    parser.add_argument("--stop", type=float, help="maximum duration of a stop in seconds")
    return parser.parse_args()


def main() -> None:
    """Play days and print the results."""
    options = _options()
    figures = Figures()
    kinds = JobKinds(failing=options.failing, crashing=options.crashing)
    only = [kind for kind in options.only.split(",") if kind]
    for seed in range(options.first, options.first + options.count):
        with unittest.mock.patch.object(days, "Shape", _shape(options.stop)):
            day = days.day_of(seed, options.seconds, only, calm=options.calm, kinds=kinds)
        IdleMonitor(day, figures).begin()
        verdict = day.play()
        figures.days += 1
        figures.broken += bool(verdict.broken)
        for text in verdict.broken[:3]:
            print(f"seed {seed}: {text}", flush=True)
    print(figures)


def _shape(stop_s: float | None) -> object:
    """Return the factory of deployment shapes, with the given maximum duration of a stop."""
    if stop_s is None:
        return Shape
    return lambda **more: Shape(**{**more, "stop_s": stop_s})


if __name__ == "__main__":
    main()
