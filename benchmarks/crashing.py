"""Simulated days of tasks that crash their workers, under the rule in use and one that counts.

    PYTHONHASHSEED=0 python -m benchmarks.crashing 88400 50
    PYTHONHASHSEED=0 python -m benchmarks.crashing 88500 50 --only crash,reborn

A row for each rule: tasks started three times more after three crashes, crashes, runs of other jobs
that died so, sound jobs that were given up, and the median time from the first crash under a task
until its job was shown as failed. Figures of virtual time: the same seeds give the same ones.
"""

from __future__ import annotations

import argparse
import statistics
import unittest.mock
from collections.abc import Sequence
from dataclasses import dataclass, field

from tests.simulation.day import Day, day_of
from tests.simulation.jobs import JobKinds

from saddlestack.policy.cluster import crashes
from saddlestack.policy.cluster.crash_rule import (
    MAX_LATER_STARTS,
    MIN_CRASHES,
    CrashExposure,
    CrashOdds,
    CrashRule,
)
from saddlestack.policy.cluster.records import CrashRecord, FailureCause
from saddlestack.work import JobState

NOTICED_S = 2.5


class CountAlone:
    """Gives a task up once two workers have crashed under it with nothing else there.

    ``log_odds`` holds how many have.
    """

    prior_log_odds = 0.0

    def update(self, exposures: Sequence[CrashExposure]) -> list[CrashRecord]:
        """See :meth:`CrashRule.update`."""
        alone = len({id(each.gang) if each.gang else id(each) for each in exposures}) == 1
        return [
            CrashRecord(
                each.record.crashes + 1,
                each.record.log_odds + alone,
                max(each.record.span_s, each.lifetime.min_s + NOTICED_S),
                each.record.later_starts,
            )
            for each in exposures
        ]

    def survived(self, record: CrashRecord, lived_s: float) -> CrashRecord:
        """See :meth:`CrashRule.survived`."""
        return CrashRecord() if lived_s > record.span_s else record

    def is_suspect(self, record: CrashRecord) -> bool:
        """See :meth:`CrashRule.is_suspect`."""
        return record.crashes > 0

    def is_likely(self, record: CrashRecord) -> bool:
        """See :meth:`CrashRule.is_likely`."""
        return record.log_odds > 0

    def is_cleared(self, record: CrashRecord) -> bool:
        """See :meth:`CrashRule.is_cleared`."""
        return record.crashes == 0

    def is_culprit(self, record: CrashRecord) -> bool:
        """See :meth:`CrashRule.is_culprit`."""
        return record.log_odds >= MIN_CRASHES or record.later_starts >= MAX_LATER_STARTS


RULES: dict[str, CrashRule] = {"odds": CrashOdds(), "counts": CountAlone()}


@dataclass
class Row:
    """What days under one rule came to."""

    days: int = 0
    broken: int = 0
    jobs: int = 0
    crashing: int = 0
    crashes: int = 0
    beside: int = 0
    sound: int = 0
    found_s: list[float] = field(default_factory=list)

    def add(self, day: Day) -> None:
        """Play a day and count it."""
        shown: dict[str, float] = {}
        given_up: set[str] = set()
        _watch(day, shown, given_up)
        verdict = day.play()
        crashed = day.site.workers.crashed
        first: dict[str, float] = {}
        for task, times in crashed.items():
            first[task.job_id] = min(times[0], first.get(task.job_id, times[0]))
        self.days += 1
        self.broken += any("crashes" in text for text in verdict.broken)
        self.jobs += verdict.jobs
        self.crashing += len(first)
        self.crashes += sum(len(times) for times in crashed.values())
        self.beside += day.site.workers.died_beside
        self.sound += len(given_up - set(first))
        self.found_s += [shown[job] - at_s for job, at_s in first.items() if job in shown]

    def __str__(self) -> str:
        median_s = statistics.median(self.found_s) if self.found_s else 0.0
        return (
            f"{self.broken} of {self.days} days broken, {self.jobs} jobs, {self.crashing} crash"
            f" workers ({self.crashes} crashes), {self.beside} runs of others died, {self.sound}"
            f" sound jobs given up, {len(self.found_s)} found after {median_s:.1f} s in the median"
        )


def _watch(day: Day, shown: dict[str, float], given_up: set[str]) -> None:
    """Note when jobs are first shown as failed for crashes, by the leader of each moment."""

    def look() -> None:
        leader = day.site.latest_leader
        scheduler = None if leader is None or leader.entry is None else leader.entry.scheduler
        if scheduler is not None:
            for job_id, job in scheduler.cluster_state.jobs.items():
                if job.published_state is JobState.FAILED and job.cause == FailureCause.CRASHES:
                    shown.setdefault(job_id, day.site.world.time())
                    given_up.add(job_id)
        day.site.world.call_later(0.25, look)

    day.site.world.call_soon(look)


def main() -> None:
    """Play the days under both rules."""
    parser = argparse.ArgumentParser()
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--only", default="", help="kinds of trouble, with commas")
    parser.add_argument("--share", type=float, default=0.1, help="of jobs with a crashing task")
    options = parser.parse_args()
    only = [kind for kind in options.only.split(",") if kind]
    kinds = JobKinds(crashing=options.share)
    for name, rule in RULES.items():
        row = Row()
        with unittest.mock.patch.object(crashes, "CRASH_RULE", rule):
            for seed in range(options.first, options.first + options.count):
                row.add(day_of(seed, options.seconds, only, calm=not only, kinds=kinds))
        print(f"{name}: {row}", flush=True)


if __name__ == "__main__":
    main()
