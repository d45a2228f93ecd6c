"""Plays simulated days with workers that fail all their runs and jobs that fail on all workers.

Compares rules that attribute failures to workers or to jobs::

    PYTHONHASHSEED=0 PYTHONPATH=src:. python -m benchmarks.faulty 91000 40 --failing 0.3
"""

from __future__ import annotations

import argparse
import random
import statistics
import unittest.mock
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from dataclasses import dataclass, field

import msgspec
from tests.simulation import day as days
from tests.simulation import deployment
from tests.simulation.workers import Plan, SimRun, SimWorker, Workers

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster import fault_attribution
from saddlestack.policy.stall import StallDetector
from saddlestack.work import JobRequest, JobState

CHECK_INTERVAL_S = 0.5
FAILS_AFTER_S = 0.02
"""Time from the start of a run until it fails, for runs that fail early."""
FAULT_DURATIONS_S = (4.0, 10.0, 25.0)
"""Durations of worker faults."""


class DistinctJobs:
    """Counts distinct jobs that failed on a worker in a row, without those that fail everywhere.

    One job is sufficient if it failed on no other worker, or if its run failed early or got stuck.
    """

    MAX_FAILED_ELSEWHERE = 2
    """A job that failed on more other workers than this is no evidence against any of them."""
    MIN_JOBS = 2

    def is_at_fault(self, evidence: Sequence[fault_attribution.JobEvidence]) -> bool:
        """See :meth:`saddlestack.policy.cluster.fault_attribution.FaultRule.is_at_fault`."""
        credible = [each for each in evidence if each.failed_elsewhere <= self.MAX_FAILED_ELSEWHERE]
        return len(credible) >= self.MIN_JOBS or any(self._is_sufficient(each) for each in credible)

    def _is_sufficient(self, evidence: fault_attribution.JobEvidence) -> bool:
        return (
            evidence.kind is not fault_attribution.FailureKind.LATE
            or evidence.failed_elsewhere == 0
        )


RULES: dict[str, fault_attribution.FaultRule] = {
    "jobs": DistinctJobs(),
    "ratio": fault_attribution.LikelihoodRatio(),
}


class FaultyWorkers(Workers):
    """Workers of which some fail all their runs for some seconds.

    :ivar early: when the fault ends, by incarnation, of those that fail runs at once.
    :ivar late: the same of those that fail runs at the end of their work.
    """

    def __init__(self, *args: object) -> None:
        super().__init__(*args)  # type: ignore[arg-type]
        self.early: dict[str, float] = {}
        self.late: dict[str, float] = {}

    def _work(self, run: SimRun) -> None:
        super()._work(run)
        if self._world.time() < self.early.get(run.worker.life, 0.0):
            self._world.call_later(FAILS_AFTER_S, self._fail, run)

    def _see_done(self, run: SimRun) -> None:
        if self._world.time() < self.late.get(run.worker.life, 0.0):
            self._fail(run)
        else:
            super()._see_done(run)

    def _fail(self, run: SimRun) -> None:
        if not run.stopping and run.ended_s is None:
            self._finish(run, EndKind.FAILED)


@dataclass
class Figures:
    """Results of days.

    :param stalls: number of jobs that stalled.
    :param longest_s: the longest time for which a job met the conditions of a stall.
    :param failed_s: seconds that failed runs had worked.
    :param completion_s: of each completed job, from its acceptance to its end.
    """

    days: int = 0
    days_with_stalls: int = 0
    stalls: int = 0
    longest_s: float = 0.0
    broken: int = 0
    unfinished: int = 0
    completed: int = 0
    failed_jobs: int = 0
    failed_runs: int = 0
    failed_s: float = 0.0
    completion_s: list[float] = field(default_factory=list)

    def __str__(self) -> str:
        mean = statistics.fmean(self.completion_s) if self.completion_s else 0.0
        return (
            f"{self.days} days: {self.days_with_stalls} with a stall ({self.stalls} jobs, longest"
            f" {self.longest_s:.1f} s), {self.completed} jobs done, {self.failed_jobs} failed,"
            f" {self.unfinished} unfinished, {self.failed_runs} runs failed"
            f" ({self.failed_s:.0f} s of work), mean {mean:.2f} s to done, {self.broken} broken"
        )


class StallMonitor:
    """Checks a day for stalled jobs at regular intervals."""

    def __init__(self, day: days.Day, figures: Figures) -> None:
        self._day = day
        self._figures = figures
        self._stall_detector = StallDetector()
        self._accepted_s: dict[str, float] = {}
        self._ended: set[str] = set()
        self._stall_count = 0

    def check(self) -> None:
        """Check all unfinished jobs, and schedule the next check."""
        site = self._day.site
        site.world.call_later(CHECK_INTERVAL_S, self.check)
        vm = site.leader
        if vm is None or vm.entry is None or vm.entry.scheduler is None:
            return
        now = site.world.time()
        waiting = []
        for job_id in sorted(site.acknowledged & self._day.jobs.keys() - self._ended):
            began_s = self._accepted_s.setdefault(job_id, now)
            state = vm.entry.scheduler.state(job_id)
            if state in (None, JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED):
                self._record_end(job_id, state, now - began_s)
            elif self._meets_stall_conditions(job_id):
                waiting.append(job_id)
        self._stall_count += len(self._stall_detector.update(waiting, now))
        for job_id in waiting:
            since_s = self._stall_detector.since(job_id)
            waited_s = 0.0 if since_s is None else now - since_s
            self._figures.longest_s = max(self._figures.longest_s, waited_s)

    def end(self, verdict: days.Verdict) -> None:
        """Add the results of the finished day."""
        figures = self._figures
        figures.days += 1
        figures.stalls += self._stall_count
        figures.days_with_stalls += bool(self._stall_count)
        figures.broken += len(verdict.broken)
        figures.unfinished += len(verdict.unfinished)
        for runs in self._day.site.workers.history.values():
            failed = [run for run in runs if run.how is EndKind.FAILED]
            figures.failed_runs += len(failed)
            figures.failed_s += sum(
                (run.ended_s or 0.0) - (run.work_began_s or 0.0) for run in failed
            )

    def _record_end(self, job_id: str, state: JobState | None, completion_s: float) -> None:
        self._ended.add(job_id)
        request = self._day.jobs[job_id][1]
        if state is JobState.COMPLETED:
            self._figures.completed += 1
            if not request.times:
                self._figures.completion_s.append(completion_s)
        elif state is JobState.FAILED:
            self._figures.failed_jobs += 1

    def _meets_stall_conditions(self, job_id: str) -> bool:
        workers = [each for each in self._day.site.workers.lives.values() if each.up]
        total = sum(each.room for each in workers)
        if sum(each.free for each in workers) * 2 <= total:
            return False
        request = self._day.jobs[job_id][1]
        step = request.steps[0]
        if request.times or step.same_rack or _runs(workers, job_id):
            return False
        needs = step.needs.accelerators
        return sum(each.free // needs for each in workers) >= 2 * (step.count if step.gang else 1)


def _runs(workers: list[SimWorker], job_id: str) -> bool:
    return any(run.task.job_id == job_id for each in workers for run in each.runs.values())


@contextmanager
def failing_jobs(once: float, always: float, early: float) -> Iterator[None]:
    """Make more jobs fail by their own fault.

    :param once: share of jobs of which each task fails once, at its end.
    :param always: share of jobs whose tasks always fail, at their end.
    :param early: share of jobs whose tasks always fail, after :data:`FAILS_AFTER_S`.
    """
    original_job = days._job

    def job(rng: random.Random, now_ms: int) -> tuple[str, JobRequest]:
        queue, request = original_job(rng, now_ms)
        plan = msgspec.json.decode(request.payload, type=Plan)
        kind = rng.random()
        if not plan.lasts and not plan.failures:
            if kind < once:
                plan = msgspec.structs.replace(plan, failures=1)
            elif kind < once + always:
                plan = msgspec.structs.replace(plan, failures=99)
            elif kind < once + always + early:
                plan = msgspec.structs.replace(plan, failures=99, work_s=FAILS_AFTER_S)
        return queue, msgspec.structs.replace(request, payload=msgspec.json.encode(plan).decode())

    with unittest.mock.patch.object(days, "_job", job):
        yield


class WorkerFaults:
    """Makes workers of a day faulty, each for one of :data:`FAULT_DURATIONS_S`.

    :param share: share of the workers that become faulty together.
    :param kinds: attributes of :class:`FaultyWorkers` to choose from.
    """

    def __init__(self, day: days.Day, share: float, kinds: tuple[str, ...]) -> None:
        self._site = day.site
        self._rng = random.Random(day.seed * 7 + 2)
        self._share = share
        self._kinds = kinds
        self._until_s = day.ends_s

    def begin(self) -> None:
        """Make some workers faulty together, and schedule the next fault some seconds later."""
        now = self._site.world.time()
        if now > self._until_s:
            return
        workers = self._site.workers
        assert isinstance(workers, FaultyWorkers)
        lives = [each.life for each in workers.lives.values() if each.up]
        faulty_until_s = getattr(workers, self._rng.choice(self._kinds))
        for life in self._rng.sample(lives, max(1, round(self._share * len(lives)))):
            faulty_until_s[life] = now + self._rng.choice(FAULT_DURATIONS_S)
        self._site.world.call_later(self._rng.uniform(5.0, 12.0), self.begin)


def main() -> None:
    """Play days and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("first", type=int)
    parser.add_argument("count", type=int)
    parser.add_argument("--seconds", type=float, default=30.0)
    parser.add_argument(
        "--failing", type=float, default=0.0, help="share of jobs of which each task fails once"
    )
    parser.add_argument(
        "--hopeless", type=float, default=0.0, help="share of jobs that always fail late"
    )
    parser.add_argument(
        "--broken", type=float, default=0.0, help="share of jobs that always fail early"
    )
    parser.add_argument(
        "--faulty", type=float, default=0.0, help="share of workers that become faulty together"
    )
    parser.add_argument(
        "--workers", type=int, default=0, help="number of workers, 8 to 24 by default"
    )
    parser.add_argument(
        "--kinds", nargs="+", default=["early", "late"], help="kinds of worker faults"
    )
    parser.add_argument(
        "--rule", choices=RULES, default="", help="fault rule, the one in use by default"
    )
    options = parser.parse_args()
    if options.rule:
        fault_attribution.FAULT_RULE = RULES[options.rule]
    figures = Figures()
    for seed in range(options.first, options.first + options.count):
        with (
            unittest.mock.patch.object(deployment, "Workers", FaultyWorkers),
            failing_jobs(options.failing, options.hopeless, options.broken),
        ):
            play(seed, figures, options)
    print(figures)


def play(seed: int, figures: Figures, options: argparse.Namespace) -> None:
    """Play one day with no faults other than those of this benchmark."""
    day = days.day_of(seed, options.seconds)
    day.flavour.rates.clear()
    if options.workers:
        day.flavour.jobs_per_s *= options.workers / day.shape.workers
        day.shape.workers = options.workers
    monitor = StallMonitor(day, figures)
    day.site.world.call_later(1.0, monitor.check)
    if options.faulty:
        faults = WorkerFaults(day, options.faulty, tuple(options.kinds))
        day.site.world.call_later(days.FIRST_S, faults.begin)
    monitor.end(day.play())


if __name__ == "__main__":
    main()
