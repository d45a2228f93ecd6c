"""A small pool whose workers have known speeds, for tests of what is learned about them.

Runs progress by their own length and the factor of their worker, and are reported as workers do: a
worker at each end of a run there, otherwise every 2 s, and every 0.3 s where urgent work runs.
"""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field

from saddlestack.interfaces.workers import EndKind, WorkerRecord
from saddlestack.policy.cluster.jobs import Run, StepState, new_job
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.records import TaskStatus
from saddlestack.policy.cluster.speeds import SpeedTracker
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import AcceptedJob, JobRequest, Resources, Step

URGENT, NORMAL, BULK = 0, 1, 2
SERVICE = "pool"
ACCELERATORS = 8
WORKERS_PER_RACK = 10
POLL_S = 2.0
URGENT_POLL_S = 0.3
SLOW = 1.5
"""Factor above which a worker is slow for urgent work."""
URGENT_LIMIT = 1.5625
"""Highest published factor of workers that urgent work is placed on."""
OPTIONS = SchedulingOptions(worker_speeds=True)


def worker_record(name: str, rack: str = "r1", machine: str = "", cold_ms: int = 0) -> WorkerRecord:
    return WorkerRecord(
        worker_id=name,
        service=SERVICE,
        address=f"10.0.0.1:{name}",
        data_hall="hall",
        draining=False,
        capacity=Resources(32_000, 64_000, ACCELERATORS),
        labels=(),
        rack=rack,
        machine=machine or f"m-{name}",
        cold_ms=cold_ms,
    )


def make_step(
    count: int, priority: int = BULK, *, job_id: str = "j", queue: str = "q", **more: object
) -> StepState:
    step = Step(count=count, needs=Resources(1000, 1000, 1), **more)  # type: ignore[arg-type]
    accepted = AcceptedJob(
        job_id=job_id,
        account="a",
        queue=queue,
        service=SERVICE,
        priority=priority,
        attempts=3,
        accepted_ms=0,
        request=JobRequest(payload="", steps=(step,)),
    )
    return new_job(accepted, {}).occurrences[0].steps[0]


def members(run: Run) -> Sequence[Run]:
    step = run.task.step
    if not step.step.gang:
        return [run]
    return [task.run for task in step.tasks if task.run is not None]


@dataclass(eq=False)
class Work:
    """A run and the work that it has left, in seconds on a usual worker."""

    run: Run
    worker: Worker
    whole_s: float
    done_s: float = 0.0
    at_s: float = 0.0


@dataclass
class SpeedPool:
    """Workers with true factors, and the tracker that learns them."""

    count: int
    factors: dict[str, float] = field(default_factory=dict)
    tracker: SpeedTracker = field(default_factory=lambda: SpeedTracker(OPTIONS))

    def __post_init__(self) -> None:
        self.now = 0.0
        self.workers: dict[str, Worker] = {}
        self.works: dict[Worker, list[Work]] = {}
        self._polls: list[tuple[float, int, Worker]] = []
        self._order = 0
        for number in range(self.count):
            self.add(f"w{number}", f"r{number // WORKERS_PER_RACK}")

    def add(self, name: str, rack: str = "r0", machine: str = "") -> Worker:
        worker = Worker(worker_record(name, rack, machine))
        self.workers[name] = worker
        self.works[worker] = []
        self.tracker.add_worker(worker)
        self._push(self.now + (len(self.workers) % 20) / 10, worker)
        return worker

    def _push(self, at_s: float, worker: Worker) -> None:
        self._order += 1
        heapq.heappush(self._polls, (at_s, self._order, worker))

    def start(
        self, step: StepState, names: Sequence[str], lengths: Sequence[float], number: int = 1
    ) -> list[Run]:
        """Start the tasks of a step, one on each of the named workers."""
        runs = []
        for task, name, length in zip(step.tasks, names, lengths, strict=True):
            worker = self.workers[name]
            run = Run(task, number, name, step.step.allocation, self.now)
            run.started_s = self.now
            task.run = run
            task.record.status = TaskStatus.ASSIGNED
            worker.add(run)
            self.works[worker].append(Work(run, worker, length, at_s=self.now))
            runs.append(run)
            if step.occurrence.job.priority == URGENT:
                self._push(self.now + URGENT_POLL_S, worker)
        return runs

    def play(self, until_s: float, step_s: float = 0.05) -> None:
        """Let time pass, with polls and ends."""
        while self.now < until_s:
            self.now = min(until_s, self.now + step_s)
            self.advance()
            while self._polls and self._polls[0][0] <= self.now:
                _, _, worker = heapq.heappop(self._polls)
                if self.workers.get(worker.worker_id) is worker:
                    self.poll(worker)
                    urgent = any(_priority(each) == URGENT for each in self.works[worker])
                    self._push(self.now + (URGENT_POLL_S if urgent else POLL_S), worker)
            self.tracker.refresh(self.now)

    def advance(self) -> None:
        ended: list[Work] = []
        for worker, works in self.works.items():
            factor = self.factors.get(worker.worker_id, 1.0)
            for work in works:
                work.done_s += (self.now - work.at_s) / factor
                work.at_s = self.now
                if work.done_s >= work.whole_s:
                    ended.append(work)
        for work in ended:
            gang = work.run.task.step.step.gang
            if not gang or self._gang_is_done(work.run):
                self.end(work, EndKind.DONE)

    def _gang_is_done(self, run: Run) -> bool:
        works = (each for worker in self.works.values() for each in worker)
        return all(
            each.done_s >= each.whole_s for each in works if each.run.task.step is run.task.step
        )

    def poll(self, worker: Worker) -> None:
        for work in self.works[worker]:
            percent = min(99, int(100 * work.done_s / work.whole_s))
            work.run.percent = percent
            work.run.reported_s = self.now
            self.tracker.observe_progress(worker, work.run, members, self.now)

    def end(self, work: Work, how: EndKind) -> None:
        run, worker = work.run, work.worker
        self.works[worker].remove(work)
        worker.remove(run.task.name, run.number)
        run.task.run = None
        if how is EndKind.DONE:
            run.task.record.status = TaskStatus.DONE
            run.task.step.done += 1
        self.poll(worker)
        self.tracker.observe_end(worker, run, how, self.now)

    def work_of(self, run: Run) -> Work:
        worker = self.workers[run.worker_id]
        return next(work for work in self.works[worker] if work.run is run)

    def factor(self, name: str) -> float | None:
        """The learned factor of a worker; ``None`` if it is not known."""
        found = self.tracker.estimate(name)
        return None if found is None else found.factor

    def misjudged(self, at_least: int = 1) -> tuple[list[str], int]:
        """Workers on the wrong side of 1.5, and how many have enough evidence."""
        wrong, judged = [], 0
        for name in self.workers:
            found = self.tracker.estimate(name)
            if found is None or found.evidence < at_least:
                continue
            judged += 1
            if (found.factor > SLOW) != (self.factors.get(name, 1.0) > SLOW):
                wrong.append(name)
        return wrong, judged

    def unknown(self, at_least: int) -> int:
        """Workers with enough evidence whose speed is not known all the same."""
        speeds = self.tracker._workers.values()
        return sum(1 for each in speeds if each.evidence >= at_least and each.level is None)


def _priority(work: Work) -> int:
    return work.run.task.step.occurrence.job.priority


def task_length(rng: random.Random, mean_s: float, spread: float = 0.22) -> float:
    """The length of one task of a step: a spread, and stragglers as measured."""
    chance = rng.random()
    if chance < 0.001:
        return mean_s * rng.uniform(4.0, 9.0)
    if chance < 0.01:
        return mean_s * rng.uniform(3.3, 4.0)
    return mean_s * math.exp(rng.gauss(0.0, spread))


@dataclass
class Workload:
    """Jobs of the three priorities, of the sizes and rates that keep the pool mostly used."""

    pool: SpeedPool
    rng: random.Random
    share_used: float = 0.75
    jobs: int = 0

    def play(self, until_s: float) -> None:
        while self.pool.now < until_s:
            while self._used() < self.share_used:
                self._submit()
            self.pool.play(self.pool.now + 0.25)

    def _used(self) -> float:
        held = sum(len(works) for works in self.pool.works.values())
        return held / (ACCELERATORS * len(self.pool.workers))

    def _submit(self) -> None:
        rng = self.rng
        self.jobs += 1
        job_id = f"{self.jobs:016x}"
        kind = rng.choices(("urgent", "normal", "bulk"), (6, 2, 2))[0]
        if kind == "urgent":
            count = min(32, max(1, round(rng.expovariate(1 / 5))))
            step = make_step(count, URGENT, job_id=job_id, queue=kind, gang=True, same_rack=True)
            mean_s = rng.uniform(2.1, 2.5)
        elif kind == "normal":
            count = min(78, max(1, round(rng.expovariate(1 / 13))))
            step = make_step(count, NORMAL, job_id=job_id, queue=kind, gang=True)
            mean_s = rng.uniform(5.8, 6.8)
        else:
            count = max(1, round(rng.gauss(39, 12)))
            step = make_step(count, BULK, job_id=job_id, queue=kind)
            mean_s = rng.uniform(5.2, 7.6)
        names = self._places(count)
        if names:
            lengths = [task_length(rng, mean_s) for _ in names]
            self.pool.start(step, names, lengths)

    def _places(self, count: int) -> list[str]:
        """Fullest workers first, at random among equals; empty if there is no room."""
        workers = list(self.pool.workers.values())
        self.rng.shuffle(workers)
        workers.sort(key=lambda worker: -len(self.pool.works[worker]))
        names: list[str] = []
        for worker in workers:
            free = ACCELERATORS - len(self.pool.works[worker])
            names += [worker.worker_id] * min(free, count - len(names))
            if len(names) == count:
                return names
        return []


@dataclass
class SelectiveWorkload(Workload):
    """The same, placed by what is published: bulk on known slow workers, urgent work elsewhere.

    The members of a gang have equal work.

    :ivar urgent_on_usual: urgent tasks that were placed on workers published as usual.
    :ivar urgent_misplaced: those of them whose worker is slow.
    """

    urgent_on_usual: int = 0
    urgent_misplaced: int = 0

    def _submit(self) -> None:
        rng = self.rng
        self.jobs += 1
        job_id = f"{self.jobs:016x}"
        kind = rng.choices(("urgent", "normal", "bulk"), (6, 2, 2))[0]
        gang = kind != "bulk"
        if kind == "urgent":
            count, mean_s = min(32, max(1, round(rng.expovariate(1 / 5)))), rng.uniform(2.1, 2.5)
        elif kind == "normal":
            count, mean_s = min(78, max(1, round(rng.expovariate(1 / 13)))), rng.uniform(5.8, 6.8)
        else:
            count, mean_s = max(1, round(rng.gauss(39, 12))), rng.uniform(5.2, 7.6)
        priority = {"urgent": URGENT, "normal": NORMAL, "bulk": BULK}[kind]
        names = self._selected(count, urgent=kind == "urgent")
        if not names:
            return
        step = make_step(count, priority, job_id=job_id, queue=kind, gang=gang)
        lengths = [mean_s if gang else task_length(rng, mean_s) for _ in names]
        self.pool.start(step, names, lengths)
        if kind == "urgent":
            usual = [name for name in names if self.is_published_usual(name)]
            self.urgent_on_usual += len(usual)
            self.urgent_misplaced += sum(self.pool.factors.get(each, 1.0) > SLOW for each in usual)

    def is_published_usual(self, name: str) -> bool:
        """Whether the worker is known as one that urgent work may use."""
        worker = self.pool.workers[name]
        return worker.speed_known and worker.time_factor <= URGENT_LIMIT

    def _selected(self, count: int, *, urgent: bool) -> list[str]:
        workers = list(self.pool.workers.values())
        self.rng.shuffle(workers)

        def rank(worker: Worker) -> tuple[int, int]:
            usual = self.is_published_usual(worker.worker_id)
            group = 1 if not worker.speed_known else (0 if usual is urgent else 2)
            return group, -len(self.pool.works[worker])

        names: list[str] = []
        for worker in sorted(workers, key=rank):
            free = ACCELERATORS - len(self.pool.works[worker])
            names += [worker.worker_id] * min(free, count - len(names))
            if len(names) == count:
                return names
        return []
