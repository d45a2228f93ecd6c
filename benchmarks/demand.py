"""Compares the fixed headroom with the forecast, for the same jobs and with the planner alone.

Urgent gangs arrive in waves and bursts, beside normal gangs and more bulk work than fits. Rounds
follow a grid of time; nothing fails, and all workers are alike.

Usage: python -m benchmarks.demand [SEEDS] [SECONDS] [URGENT_SHARE]
"""

from __future__ import annotations

import math
import random
import statistics
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from saddlestack.interfaces.workers import EndedTask, EndKind, RunningTask, WorkerRecord
from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.work import AcceptedJob, JobRequest, Resources, Step

SERVICE = "pool"
URGENT, NORMAL, BULK = 0, 1, 2
STRETCH = (1.5, 3.0, 3.0)
TARGET_S = (0.3, 1.0, 3.0)
ACCELERATORS = 8
ROUND_S = 0.1
POLL_S = 0.5
STOP_S = 0.3
"""How long a stop takes, between the 0.2 and 0.4 s of the deployments."""
BURST_S = 6.0
BURST_EVERY_S = 25.0
NORMAL_SHARE = 0.3
BULK_SHARE = 0.6
"""Shares of the pool that normal and bulk work would use; with the urgent work more than all."""


@dataclass(frozen=True, slots=True)
class Load:
    """The demand of a day.

    :param urgent_share: mean share of the pool that urgent work would use.
    :param period_s: time from one wave to the next.
    :param swing: share by which the rate of urgent work rises above its mean, and falls below.
    :param bursts: whether its rate is doubled for 6 s at times.
    """

    urgent_share: float = 0.2
    period_s: float = 14.0
    swing: float = 0.35
    bursts: bool = True

    def rate(self, now: float) -> float:
        """The rate of urgent work relative to its mean."""
        wave = 1 + self.swing * math.sin(2 * math.pi * now / self.period_s)
        in_burst = self.bursts and now % BURST_EVERY_S >= BURST_EVERY_S - BURST_S
        return wave * (2 if in_burst else 1)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job of one step, and how long each of its tasks works."""

    at_s: float
    priority: int
    step: Step
    work_s: tuple[float, ...]


@dataclass(slots=True)
class Outcome:
    """What became of the jobs of a day.

    :param waits_s: for each urgent gang, the time from its arrival to its last start.
    :param late: urgent gangs that were done, but after their objective.
    :param done: accelerator-seconds of normal and of bulk work that is done.
    :param stopped: runs that were stopped for others.
    :param lost: accelerator-seconds of work that was stopped.
    """

    waits_s: list[float] = field(default_factory=list)
    late: int = 0
    done: dict[int, float] = field(default_factory=lambda: {NORMAL: 0.0, BULK: 0.0})
    normal_on_time: int = 0
    stopped: int = 0
    lost: float = 0.0


def arrivals(load: Load, pool: int, seconds: float, seed: int) -> list[Arrival]:
    """Draw the jobs of a day for a pool of so many accelerators."""
    rng = random.Random(seed)
    found: list[Arrival] = []
    highest = (1 + load.swing) * (2 if load.bursts else 1)
    for make, share, rate, most in (
        (_urgent, load.urgent_share, load.rate, highest),
        (_normal, NORMAL_SHARE, lambda now: 1.0, 1.0),
        (_bulk, BULK_SHARE, lambda now: 1.0, 1.0),
    ):
        samples = [_size(make(0.0, rng)) for _ in range(2000)]
        per_s = share * pool / statistics.fmean(samples)
        for at_s in _times(per_s, rate, most, seconds, rng):
            found.append(make(at_s, rng))
    return sorted(found, key=lambda each: each.at_s)


def _times(
    per_s: float, rate: Callable[[float], float], most: float, seconds: float, rng: random.Random
) -> Iterator[float]:
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(per_s * most)) < seconds:
        if rng.random() * most < rate(at_s):
            yield at_s


def _size(job: Arrival) -> float:
    return job.step.needs.accelerators * sum(job.work_s)


def _urgent(at_s: float, rng: random.Random) -> Arrival:
    count = min(32, 1 + int(rng.expovariate(1 / 4.5)))
    same_rack = rng.random() < 0.8
    accelerators = rng.choice((1, 2, 4, 8))
    if same_rack:
        count = min(count, 8 * ACCELERATORS // accelerators)
    return _job(at_s, URGENT, count, accelerators, rng.uniform(2.1, 2.5), rng, same_rack=same_rack)


def _normal(at_s: float, rng: random.Random) -> Arrival:
    count = min(64, 1 + int(rng.expovariate(1 / 12.5)))
    same_rack = rng.random() < 0.6
    accelerators = rng.choice((1, 2, 4, 8))
    if same_rack:
        count = min(count, 8 * ACCELERATORS // accelerators)
    return _job(at_s, NORMAL, count, accelerators, rng.uniform(5.8, 6.8), rng, same_rack=same_rack)


def _bulk(at_s: float, rng: random.Random) -> Arrival:
    return _job(at_s, BULK, max(1, round(rng.gauss(39, 12))), 1, rng.uniform(5.2, 7.6), rng)


def _job(
    at_s: float,
    priority: int,
    count: int,
    accelerators: int,
    work_s: float,
    rng: random.Random,
    *,
    same_rack: bool = False,
) -> Arrival:
    step = Step(
        count=count,
        needs=Resources(1000, 1000, accelerators),
        estimate_ms=round(work_s * 1000),
        gang=priority != BULK,
        same_rack=same_rack,
    )
    lengths = [work_s * math.exp(rng.gauss(0.0, 0.2)) for _ in range(count)]
    if priority != BULK:
        lengths = [work_s] * count
    return Arrival(at_s, priority, step, tuple(lengths))


class Day:
    """One day of a pool, in rounds of :data:`ROUND_S`."""

    def __init__(self, options: SchedulingOptions, racks: int, per_rack: int) -> None:
        self.state = ClusterState(options)
        self.outcome = Outcome()
        self.headrooms: list[tuple[float, int]] = []
        self._jobs: dict[str, tuple[Arrival, StepState]] = {}
        self._stops_s: dict[Run, float] = {}
        self._done: set[StepState] = set()
        for rack in range(racks):
            for number in range(per_rack):
                self.state.set_worker(_worker(f"w{rack}-{number}", f"r{rack}"), 0.0)

    def play(self, jobs: list[Arrival], seconds: float) -> Outcome:
        """Let all jobs arrive and run."""
        coming = iter(jobs)
        following = next(coming, None)
        for number in range(round(seconds / ROUND_S)):
            now = number * ROUND_S
            self._end_runs(now)
            while following is not None and following.at_s <= now:
                self._submit(following)
                following = next(coming, None)
            if number % round(POLL_S / ROUND_S) == 0:
                self._report(now)
            self._round(now)
            self.headrooms.append((now, self.state.planner.headroom_accelerators))
        self._count_unfinished(seconds)
        return self.outcome

    def _submit(self, job: Arrival) -> None:
        job_id = f"{len(self._jobs):016x}"
        accepted = AcceptedJob(
            job_id=job_id,
            account=("a", "b", "c")[len(self._jobs) % 3],
            queue="q",
            service=SERVICE,
            priority=job.priority,
            attempts=3,
            accepted_ms=round(job.at_s * 1000),
            request=JobRequest(payload="", steps=(job.step,)),
            stretch=STRETCH[job.priority],
            target_ms=TARGET_S[job.priority] * 1000,
        )
        step = self.state.add_job(accepted, {}).occurrences[0].steps[0]
        self._jobs[job_id] = (job, step)

    def _round(self, now: float) -> None:
        self.state.plan(now, now * 1000)
        changes = self.state.take_changes()
        for start in changes.starts:
            self.state.run_started(start.run, now)
        for stop in changes.stops:
            worker = self.state.workers[stop.worker_id]
            self._stops_s[worker.runs[stop.task, stop.number]] = now

    def _report(self, now: float) -> None:
        for worker in self.state.workers.values():
            rows = [
                RunningTask(str(run.task.name), run.number, "", self._percent(run, now))
                for run in worker.runs.values()
            ]
            self.state.worker_reported(worker.worker_id, rows, now)

    def _percent(self, run: Run, now: float) -> int:
        return min(99, int(100 * self._ran_s(run, now) / self._work_s(run)))

    def _ran_s(self, run: Run, now: float) -> float:
        return now - (now if run.started_s is None else run.started_s)

    def _work_s(self, run: Run) -> float:
        return self._jobs[run.task.name.job_id][0].work_s[run.task.name.index]

    def _end_runs(self, now: float) -> None:
        for worker in list(self.state.workers.values()):
            for run in list(worker.runs.values()):
                stopped_s = self._stops_s.get(run)
                if stopped_s is not None and now - stopped_s >= STOP_S - ROUND_S / 2:
                    self.outcome.stopped += 1
                    self.outcome.lost += self._ran_s(run, now) * run.allocation.accelerators
                    self._end(run, EndKind.STOPPED, now)
                elif stopped_s is None and self._ran_s(run, now) >= self._work_s(run):
                    self._end(run, EndKind.DONE, now)

    def _end(self, run: Run, how: EndKind, now: float) -> None:
        self._stops_s.pop(run, None)
        step = run.task.step
        started_s = run.started_s
        end = EndedTask(1, str(run.task.name), run.number, how, "")
        self.state.run_ended(run.worker_id, end, now)
        job, _ = self._jobs[run.task.name.job_id]
        if how is EndKind.DONE and job.priority == BULK:
            self.outcome.done[BULK] += self._work_s(run) * run.allocation.accelerators
        elif how is EndKind.DONE and step not in self._done and started_s is not None:
            self._done.add(step)
            self._gang_done(job, started_s, now)

    def _gang_done(self, job: Arrival, started_s: float, now: float) -> None:
        limit_s = STRETCH[job.priority] * job.work_s[0] + TARGET_S[job.priority]
        on_time = now - job.at_s <= limit_s
        if job.priority == URGENT:
            self.outcome.waits_s.append(started_s - job.at_s)
            self.outcome.late += not on_time
            return
        self.outcome.done[NORMAL] += _size(job)
        self.outcome.normal_on_time += on_time

    def _count_unfinished(self, seconds: float) -> None:
        for job, step in self._jobs.values():
            if job.priority != URGENT or step.finished:
                continue
            runs = [task.run for task in step.tasks if task.run is not None]
            if runs and runs[0].started_s is not None:
                self.outcome.waits_s.append(runs[0].started_s - job.at_s)
            else:
                self.outcome.waits_s.append(seconds - job.at_s)


def _worker(name: str, rack: str) -> WorkerRecord:
    return WorkerRecord(
        worker_id=name,
        service=SERVICE,
        address="127.0.0.1:1",
        data_hall="hall",
        draining=False,
        capacity=Resources(32_000, 64_000, ACCELERATORS),
        labels=(),
        rack=rack,
        machine=f"m-{name}",
    )


def compare(
    load: Load, seed: int, seconds: float, *, racks: int = 12, per_rack: int = 8, gangs: bool = True
) -> dict[bool, Outcome]:
    """Play the same jobs without and with the forecast."""
    jobs = arrivals(load, racks * per_rack * ACCELERATORS, seconds, seed)
    return {
        on: Day(SchedulingOptions(gang_priority=gangs, demand_forecast=on), racks, per_rack).play(
            jobs, seconds
        )
        for on in (False, True)
    }


def _row(outcomes: list[Outcome]) -> str:
    waits = sorted(wait for each in outcomes for wait in each.waits_s)
    count = len(waits)
    late = sum(each.late for each in outcomes)
    return (
        f"{count:5} gangs, wait mean {statistics.fmean(waits):.3f} s, "
        f"p90 {waits[int(0.9 * count)]:.2f}, p99 {waits[int(0.99 * count)]:.2f}, "
        f"at once {sum(w <= ROUND_S for w in waits) / count:.3f}, late {late:3}; done "
        f"normal {sum(each.done[NORMAL] for each in outcomes):7.0f} "
        f"({sum(each.normal_on_time for each in outcomes)} in time) "
        f"bulk {sum(each.done[BULK] for each in outcomes):7.0f}; "
        f"stopped {sum(each.stopped for each in outcomes):4}, "
        f"lost {sum(each.lost for each in outcomes):5.0f}"
    )


def main() -> None:
    """Print the comparison for several waves."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 4
    seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 60.0
    share = float(sys.argv[3]) if len(sys.argv) > 3 else 0.2
    for gangs in (False, True):
        for period_s, swing in ((11.0, 0.55), (17.0, 0.15)):
            for bursts in (False, True):
                load = Load(share, period_s, swing, bursts)
                pairs = [compare(load, seed, seconds, gangs=gangs) for seed in range(seeds)]
                print(f"gang_priority {gangs}, {period_s:.0f} s, swing {swing}, bursts {bursts}")
                for on in (False, True):
                    print("   on " if on else "  off ", _row([pair[on] for pair in pairs]))
                better = [
                    statistics.fmean(pair[False].waits_s) - statistics.fmean(pair[True].waits_s)
                    for pair in pairs
                ]
                print("  wait saved by seed:", " ".join(f"{each:+.3f}" for each in better))


if __name__ == "__main__":
    main()
