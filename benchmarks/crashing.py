"""Plays simulated days with tasks that crash their workers, under two crash rules.

    PYTHONHASHSEED=0 python -m benchmarks.crashing 88400 50
    PYTHONHASHSEED=0 python -m benchmarks.crashing 88500 50 --only crash,reborn

The rules are the one in use and one that counts crashes. For each it prints the days on which a
task was started three times more after three crashes, the crashes, the runs of other jobs that died
in them, the jobs that were given up without having crashed a worker, and the median time from the
first crash under a task until its job was shown as failed. Times are virtual, so the same seeds
give the same results.
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

NOTICE_DELAY_S = 2.5
"""Assumed delay until the end of a worker is noticed."""


class SoloCrashCount:
    """A crash rule that counts the crashes of workers that ran nothing but the task or its gang.

    It gives a task up after :data:`MIN_CRASHES` of them, two, or after too many later starts.
    ``log_odds`` holds their number.
    """

    prior_log_odds = 0.0

    def update(self, exposures: Sequence[CrashExposure]) -> list[CrashRecord]:
        """See :meth:`CrashRule.update`."""
        is_alone = len({id(each.gang) if each.gang else id(each) for each in exposures}) == 1
        return [
            CrashRecord(
                each.record.crashes + 1,
                each.record.log_odds + is_alone,
                max(each.record.span_s, each.lifetime.min_s + NOTICE_DELAY_S),
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

    def awaits_confirmation(self, record: CrashRecord) -> bool:
        """See :meth:`CrashRule.awaits_confirmation`."""
        return False


RULES: dict[str, CrashRule] = {"odds": CrashOdds(), "counts": SoloCrashCount()}


@dataclass
class RuleResults:
    """Results of days under one rule.

    :param collateral_runs: runs of other jobs that died in crashes.
    :param wrongly_given_up: jobs that were given up although none of their tasks crashed a worker.
    :param detection_delays_s: of each job, from its first crash until it was shown as failed.
    """

    days: int = 0
    broken: int = 0
    jobs: int = 0
    crashing: int = 0
    crashes: int = 0
    collateral_runs: int = 0
    wrongly_given_up: int = 0
    detection_delays_s: list[float] = field(default_factory=list)

    def add(self, day: Day) -> None:
        """Play a day and add its results."""
        failed_shown_s: dict[str, float] = {}
        given_up: set[str] = set()
        _watch(day, failed_shown_s, given_up)
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
        self.collateral_runs += day.site.workers.died_beside
        self.wrongly_given_up += len(given_up - set(first))
        self.detection_delays_s += [
            failed_shown_s[job] - at_s for job, at_s in first.items() if job in failed_shown_s
        ]

    def __str__(self) -> str:
        median_s = statistics.median(self.detection_delays_s) if self.detection_delays_s else 0.0
        return (
            f"{self.broken} of {self.days} days broken, {self.jobs} jobs, {self.crashing} crash"
            f" workers ({self.crashes} crashes), {self.collateral_runs} runs of others died,"
            f" {self.wrongly_given_up} jobs wrongly given up, {len(self.detection_delays_s)} found"
            f" after {median_s:.1f} s in the median"
        )


def _watch(day: Day, failed_shown_s: dict[str, float], given_up: set[str]) -> None:
    """Record when the leader of the time first shows each job as failed for crashes."""

    def check() -> None:
        leader = day.site.latest_leader
        scheduler = None if leader is None or leader.entry is None else leader.entry.scheduler
        if scheduler is not None:
            for job_id, job in scheduler.cluster_state.jobs.items():
                if job.published_state is JobState.FAILED and job.cause == FailureCause.CRASHES:
                    failed_shown_s.setdefault(job_id, day.site.world.time())
                    given_up.add(job_id)
        day.site.world.call_later(0.25, check)

    day.site.world.call_soon(check)


def main() -> None:
    """Play the days under both rules and print the results."""
    parser = argparse.ArgumentParser()
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument("--only", default="", help="kinds of faults, separated by commas")
    parser.add_argument(
        "--share", type=float, default=0.1, help="share of jobs with a crashing task"
    )
    options = parser.parse_args()
    only = [kind for kind in options.only.split(",") if kind]
    kinds = JobKinds(crashing=options.share)
    for name, rule in RULES.items():
        results = RuleResults()
        with unittest.mock.patch.object(crashes, "CRASH_RULE", rule):
            for seed in range(options.first, options.first + options.count):
                results.add(day_of(seed, options.seconds, only, calm=not only, kinds=kinds))
        print(f"{name}: {results}", flush=True)


if __name__ == "__main__":
    main()
