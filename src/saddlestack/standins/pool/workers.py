"""Stand-ins for the platform's workers: leases, fences, gangs, checkpoints, and faults.

:class:`WorkerPool` holds the workers, runs their tasks, records every run and lists violated
invariants. VMs send orders to the workers through :mod:`saddlestack.standins.pool.orders`.
"""

from __future__ import annotations

import asyncio
import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field
from typing import Protocol

import msgspec

from saddlestack.interfaces.incarnations import incarnation_name, worker_id_of
from saddlestack.interfaces.workers import (
    EndedTask,
    EndKind,
    Refusal,
    RunningTask,
    StartOrder,
    StartReply,
    WorkerFenced,
    WorkerReport,
    WorkerUnreachable,
)
from saddlestack.standins.loop import WALL_EPOCH_S
from saddlestack.standins.pool.store import StoreState
from saddlestack.work import Resources, TaskName

CLOCK_START_MS = 400_000
RECORD_DELAY_S = 2.5
"""Time for a changed record to reach the leader: ``contact-ms`` and one heartbeat."""
STEP_S = 0.05

_GangKey = tuple[str, int, int, int]
"""Job id, number of the occurrence, number of the step and number of the run."""


class TaskPlan(msgspec.Struct, frozen=True):
    """What the tasks of a job do, encoded as JSON in the payload of the job.

    :param work_s: duration of the work in seconds.
    :param failures: number of runs of each task that fail, at the end of their work; a gang's
        members fail together.
    :param room: accelerators that each task needs.
    :param cpu: thousandths of a core that each task needs.
    :param memory_mb: memory that each task needs. Workers of a soak refuse a task that does not
        fit.
    :param gang: number of tasks in the gang; 0 for tasks that run independently.
    :param lasts: whether the tasks run until they are stopped.
    :param tail_ms: tail latency of a serving task on an otherwise idle worker.
    :param harm_ms: tail latency that a task adds to the others on its worker at full pace.
    :param far_x: factor on the duration of a gang that spans racks, on workers of a soak.
    :param crashes_s: seconds from each start of one task until it crashes its worker; 0 for never.
    :param crashing: index of the task that crashes its workers.
    """

    work_s: float = 1.0
    failures: int = 0
    room: int = 1
    gang: int = 0
    lasts: bool = False
    tail_ms: float = 0.0
    harm_ms: float = 0.0
    cpu: int = 0
    memory_mb: int = 0
    far_x: float = 1.0
    crashes_s: float = 0.0
    crashing: int = 0

    def crashes(self, task: TaskName) -> bool:
        """Whether a task crashes its workers."""
        return self.crashes_s > 0 and task.index == self.crashing


@dataclass(slots=True)
class PoolRun:
    """A run of a task on a worker.

    :param worker: incarnation name of the worker.
    :param done_s: seconds of work done.
    :param pace: share of the full speed, in percent.
    :param ended: how it ended, or ``None`` if it has not.
    """

    task: TaskName
    number: int
    worker: str
    plan: TaskPlan
    began: float
    done_s: float = 0.0
    stopping_at: float | None = None
    pace: int = 100
    ended: EndKind | None = None
    ended_at: float = 0.0


@dataclass(slots=True)
class WorkerTimes:
    """Timings of workers, in seconds.

    :param hold_s: maximum duration of a lease.
    :param gang_s: how long a member of an incomplete gang waits for the others.
    :param stop_s: time that a run takes to stop.
    :param back_s: time until a worker that a task crashed is replaced, at the same address.
    """

    hold_s: float = 10.0
    gang_s: float = 3.0
    stop_s: float = 0.5
    back_s: float = 3.0


@dataclass(slots=True)
class PoolWorker:
    """One incarnation of a worker.

    :param born: start time in milliseconds since 1970; 0 if it is not reported.
    :param began_s: when its clock showed ``CLOCK_START_MS``.
    :param late_orders: number of starts that are carried out after ``late_s`` and not answered.
    :param lost_stops: number of stops that are carried out after ``late_s`` and not answered.
    :param fails_all: whether every run fails at the end of its work.
    :param busy: whether it answers every order with 503.
    :param highest: highest run number that was seen, by task.
    :param count: sequence number of the latest end.
    :param lease_expired_at: when its latest expired lease ended.
    :param ended_at: when runs ended, by sequence number of the end.
    :param capacity_enforced_from: from when a start beyond its capacity counts as a violation.
    """

    worker_id: str
    address: str
    accelerators: int
    rack: str
    data_hall: str
    machine: str = ""
    born: int = 0
    began_s: float = 0.0
    up: bool = True
    unreachable: bool = False
    late_orders: int = 0
    lost_stops: int = 0
    late_s: float = 0.0
    fails_all: bool = False
    busy: bool = False
    fence: int = 0
    lease_until: float = 0.0
    runs: dict[tuple[TaskName, int], PoolRun] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    highest: dict[TaskName, int] = field(default_factory=dict)
    count: int = 0
    lease_expired_at: float = -math.inf
    ended_at: dict[int, float] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    capacity_enforced_from: float = 0.0

    @property
    def incarnation(self) -> str:
        """The incarnation name."""
        return incarnation_name(self.worker_id, self.born)

    @property
    def free(self) -> int:
        """Free accelerators."""
        return self.accelerators - sum(run.plan.room for run in self.runs.values())


class TicketSource(Protocol):
    """Holds the tickets that an adviser issued."""

    @property
    def tickets(self) -> dict[str, tuple[str, str, float]]:
        """Step, worker and end of validity, by ticket."""
        ...


class WorkerPool:
    """All workers of a pool, and the record of everything that ran.

    :ivar workers: workers by incarnation name, including those that have ended.
    :ivar history: all runs, in order of their start.
    :ivar violations: descriptions of violated invariants.
    :ivar reports_start_time: whether new incarnations report their start time.
    :ivar orders: number of starts and stops received.
    :ivar polls: number of polls received.
    :ivar adviser: issuer of the tickets that starts need; ``None`` if they need none.
    :ivar resumed: task, run number and checkpoint of each run that started from a checkpoint.
    :ivar crashed: runs that crashed their workers.
    :ivar lost_with_worker: other runs that were lost in these crashes.
    """

    def __init__(self, store: StoreState, service: str, times: WorkerTimes) -> None:
        self._store = store
        self._service = service
        self.times = times
        self.workers: dict[str, PoolWorker] = {}
        self.history: list[PoolRun] = []
        self._by_task: defaultdict[TaskName, list[PoolRun]] = defaultdict(list)
        self._by_gang: defaultdict[_GangKey, list[PoolRun]] = defaultdict(list)
        self._failed: Counter[TaskName] = Counter()
        self.violations: list[str] = []
        self._worker_count = 0
        self.reports_start_time = False
        self._acknowledged_tasks: set[TaskName] = set()
        self.orders = 0
        self.polls = 0
        self.adviser: TicketSource | None = None
        self.resumed: list[tuple[TaskName, int, str]] = []
        self.crashed: list[PoolRun] = []
        self.lost_with_worker: list[PoolRun] = []

    def add(
        self, rack: str, data_hall: str, accelerators: int = 8, machine: str = ""
    ) -> PoolWorker:
        """Add a worker under a new id, and write its record to the store."""
        self._worker_count += 1
        worker = PoolWorker(
            f"i-{self._worker_count:04d}",
            f"127.0.0.1:{9000 + self._worker_count}",
            accelerators,
            rack,
            data_hall,
        )
        worker.machine = machine or f"m-{self._worker_count:04d}"
        worker.born = self._next_start_time()
        self.workers[worker.incarnation] = worker
        self.record(worker)
        return worker

    def restart(self, worker: PoolWorker, *, recorded: bool = True) -> PoolWorker:
        """Restart a worker with the same id and address, and without its previous state.

        :param recorded: whether the new incarnation writes its record.
        """
        self.crash(worker)
        successor = PoolWorker(
            worker.worker_id,
            worker.address,
            worker.accelerators,
            worker.rack,
            worker.data_hall,
            worker.machine,
            self._next_start_time(),
            _now(),
        )
        self.workers[successor.incarnation] = successor
        if recorded:
            self.record(successor)
        return successor

    def latest_incarnation(self, worker_id: str) -> PoolWorker:
        """Return the latest incarnation of a worker, by its id or any of its incarnation names."""
        incarnations = [
            each for each in self.workers.values() if each.worker_id == worker_id_of(worker_id)
        ]
        return max(incarnations, key=lambda each: each.born)

    def _next_start_time(self) -> int:
        """Return the start time of a new incarnation, distinct from all others."""
        if not self.reports_start_time:
            return 0
        latest = max((each.born for each in self.workers.values()), default=0)
        return max(latest + 1, round((WALL_EPOCH_S + _now()) * 1000))

    def record(self, worker: PoolWorker, *, remaining_ms: int | None = None) -> None:
        """Write a worker's record.

        :param remaining_ms: time until the worker leaves, if it is draining.
        """
        record = {
            "service": self._service,
            "address": worker.address,
            "zone": worker.data_hall,
            "version": "v1",
            "slots": worker.accelerators,
            "cold-left-ms": 0,
            "seq": 1,
            "state": "ready" if remaining_ms is None else "draining",
            "capacity": {"cpu": 32_000, "mem-mb": 65_536, "gpu": worker.accelerators},
            "labels": ["a", worker.rack],
            "clock-ms": self.clock_ms(worker),
            "machine": worker.machine,
        }
        if worker.born:
            record["born"] = worker.born
        if remaining_ms is not None:
            record["remaining-ms"] = remaining_ms
        self._store.put(f"servers/{worker.worker_id}", msgspec.json.encode(record))

    def crash(self, worker: PoolWorker, *, recorded: bool = True) -> None:
        """End a worker and its runs at once.

        :param recorded: whether its record stays in the store.
        """
        worker.up = False
        worker.runs.clear()
        worker.changed.set()
        if not recorded:
            self._store.remove(f"servers/{worker.worker_id}")

    def resize(self, worker: PoolWorker, accelerators: int) -> None:
        """Change the capacity of a running worker, and write its record.

        Starts may still exceed a reduced capacity until :data:`RECORD_DELAY_S` after the record
        changed.
        """
        if accelerators < worker.accelerators:
            worker.capacity_enforced_from = _now() + RECORD_DELAY_S
        worker.accelerators = accelerators
        self.record(worker)

    def expire_record(self, worker: PoolWorker) -> None:
        """Remove a worker's record, as if its lease had expired; the worker keeps running."""
        self._store.remove(f"servers/{worker.worker_id}")

    def clock_ms(self, worker: PoolWorker) -> int:
        """The monotonic clock of an incarnation, in milliseconds."""
        return CLOCK_START_MS + round((_now() - worker.began_s) * 1000)

    async def run(self) -> None:
        """Advance runs and expire leases until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            for worker in list(self.workers.values()):
                if worker.up:
                    self._advance(worker)

    def crashes_of(self, job_id: str) -> list[PoolRun]:
        """Runs of a job that crashed their workers."""
        return [run for run in self.crashed if run.task.job_id == job_id]

    def starts_of(self, job_id: str) -> int:
        """Number of runs of a job's tasks that started."""
        return sum(1 for run in self.history if run.task.job_id == job_id)

    def ends_of(self, job_id: str, how: EndKind) -> int:
        """Number of runs of a job's tasks that ended as ``how``."""
        return sum(1 for run in self.history if run.task.job_id == job_id and run.ended is how)

    def start(self, worker: PoolWorker, order: StartOrder) -> StartReply:
        """Start a run, or refuse it. A run that is already present is confirmed."""
        self.orders += 1
        name = TaskName.parse(order.task)
        clock = self.clock_ms(worker)
        if order.fence < worker.fence:
            return StartReply(clock, Refusal.FENCED)
        worker.fence = order.fence
        if order.deadline_ms <= clock:
            return StartReply(clock, Refusal.LATE)
        self._extend(worker, order.deadline_ms)
        if (name, order.run) in worker.runs:
            return StartReply(clock, None)
        if order.run <= worker.highest.get(name, 0):
            return StartReply(clock, Refusal.STALE)
        if self.adviser is not None and not self._is_ticket_valid(worker, name, order.ticket):
            return StartReply(clock, Refusal.TICKET)
        plan = msgspec.json.decode(order.payload, type=TaskPlan)
        if plan.room > worker.free:
            if _now() >= worker.capacity_enforced_from:
                self.violations.append(f"{name} exceeds the capacity of {worker.incarnation}")
            return StartReply(clock, Refusal.CAPACITY)
        self._check_start(name)
        run = PoolRun(name, order.run, worker.incarnation, plan, _now())
        if order.saved:
            run.done_s = float(order.saved)
            self.resumed.append((name, order.run, order.saved))
        worker.runs[(name, order.run)] = run
        self._record_run(run)
        return StartReply(clock, None)

    def stop(self, worker: PoolWorker, task: str, number: int, fence: int) -> None:
        """Stop a run; a run that has not arrived yet is refused when it does.

        :raises WorkerFenced: a higher token was seen.
        """
        self.orders += 1
        if fence < worker.fence:
            raise WorkerFenced
        worker.fence = fence
        name = TaskName.parse(task)
        worker.highest[name] = max(worker.highest.get(name, 0), number)
        run = worker.runs.get((name, number))
        if run is not None and run.stopping_at is None:
            run.stopping_at = _now() + self.times.stop_s

    def pace(self, worker: PoolWorker, task: str, number: int, percent: int, fence: int) -> None:
        """Set the pace of a run in percent of full speed.

        :raises WorkerFenced: a higher token was seen.
        """
        if fence < worker.fence:
            raise WorkerFenced
        run = worker.runs.get((TaskName.parse(task), number))
        if run is not None:
            run.pace = percent

    async def hold(
        self, worker: PoolWorker, fence: int, deadline_ms: int | None, seen: int, wait_s: float
    ) -> WorkerReport:
        """Renew the lease, remove acknowledged ends, and report the worker's state.

        :raises WorkerFenced: a higher token was seen.
        :raises WorkerUnreachable: the worker ended meanwhile.
        """
        self.polls += 1
        if fence < worker.fence:
            raise WorkerFenced
        worker.fence = fence
        self._check_lease(worker)
        if deadline_ms is not None:
            self._extend(worker, deadline_ms)
        for end in worker.ended:
            if end.number <= seen and end.how is EndKind.DONE:
                self._acknowledge(worker, end)
        worker.ended = [end for end in worker.ended if end.number > seen]
        if wait_s and not worker.ended:
            worker.changed.clear()
            try:
                async with asyncio.timeout(wait_s):
                    await worker.changed.wait()
            except TimeoutError:
                pass
        if not worker.up:
            raise WorkerUnreachable("gone")
        running = tuple(
            RunningTask(
                str(run.task),
                run.number,
                f"{run.done_s:.3f}",
                _percent_done(run),
                _figure(worker, run),
            )
            for run in worker.runs.values()
        )
        return WorkerReport(self.clock_ms(worker), running, tuple(worker.ended), born=worker.born)

    def _acknowledge(self, worker: PoolWorker, end: EndedTask) -> None:
        """Mark a task as done, unless the worker's lease expired before the acknowledgement.

        A leader may have started the task again by then, which cannot be undone.
        """
        if worker.lease_expired_at <= worker.ended_at[end.number]:
            self._acknowledged_tasks.add(TaskName.parse(end.task))

    def _check_lease(self, worker: PoolWorker) -> None:
        if _now() > worker.lease_until:
            worker.lease_expired_at = worker.lease_until

    def _extend(self, worker: PoolWorker, deadline_ms: int) -> None:
        self._check_lease(worker)
        deadline_s = worker.began_s + (deadline_ms - CLOCK_START_MS) / 1000
        until = min(deadline_s, _now() + self.times.hold_s)
        worker.lease_until = max(worker.lease_until, until)

    def _is_ticket_valid(self, worker: PoolWorker, name: TaskName, ticket: str) -> bool:
        assert self.adviser is not None
        step, worker_id, until = self.adviser.tickets.get(ticket, ("", "", 0.0))
        whole = f"{name.job_id}.{name.occurrence}.{name.step}"
        return step == whole and worker_id == worker.worker_id and _now() <= until

    def _check_start(self, name: TaskName) -> None:
        if name in self._acknowledged_tasks:
            self.violations.append(f"{name} starts after its end was acknowledged")
        running = {run.worker for run in self._by_task[name] if self._is_present(run)}
        self.violations += [f"{name} has two runs at once"] * len(running)

    def _record_run(self, run: PoolRun) -> None:
        """Add a started run to the history, and to the runs of its task and of its gang."""
        self.history.append(run)
        self._by_task[run.task].append(run)
        self._by_gang[_gang_key(run)].append(run)

    def _is_present(self, run: PoolRun) -> bool:
        """Whether a run is present on a worker that is up."""
        worker = self.workers[run.worker]
        return worker.up and worker.runs.get((run.task, run.number)) is run

    def _advance(self, worker: PoolWorker) -> None:
        if worker.runs and _now() > worker.lease_until:
            for run in list(worker.runs.values()):
                if run.ended is None:
                    self._end(worker, run, EndKind.LAPSED)
            return
        for run in list(worker.runs.values()):
            if (run.task, run.number) in worker.runs:
                self._advance_run(worker, run)

    def _advance_run(self, worker: PoolWorker, run: PoolRun) -> None:
        if run.stopping_at is not None:
            if _now() >= run.stopping_at:
                self._end(worker, run, EndKind.STOPPED)
            return
        if run.plan.gang and len(self._present_members(run)) < run.plan.gang:
            if _now() - run.began > self.times.gang_s:
                self._end(worker, run, EndKind.ALONE)
            return
        run.done_s += STEP_S
        if run.plan.crashes(run.task) and _now() - run.began >= run.plan.crashes_s:
            self._crash_worker(worker, run)
            return
        if run.plan.lasts or run.done_s < run.plan.work_s:
            return
        failed = worker.fails_all or self._failed[run.task] < run.plan.failures
        self._end(worker, run, EndKind.FAILED if failed else EndKind.DONE)

    def _crash_worker(self, worker: PoolWorker, run: PoolRun) -> None:
        """Crash a worker with all of its runs; it is replaced after ``back_s``."""
        self.crashed.append(run)
        self.lost_with_worker += [other for other in worker.runs.values() if other is not run]
        self.crash(worker, recorded=False)
        loop = asyncio.get_running_loop()
        loop.call_later(self.times.back_s, self._replace, worker)

    def _replace(self, old: PoolWorker) -> None:
        """Replace a worker that crashed by one with a new id at the same address."""
        successor = self.add(old.rack, old.data_hall, old.accelerators, old.machine)
        successor.address = old.address
        self.record(successor)

    def _present_members(self, run: PoolRun) -> list[tuple[PoolWorker, PoolRun]]:
        """The present members of a run's gang, sorted by worker."""
        present = [each for each in self._by_gang[_gang_key(run)] if self._is_present(each)]
        present.sort(key=lambda each: each.worker)
        return [(self.workers[each.worker], each) for each in present]

    def _end(self, worker: PoolWorker, run: PoolRun, how: EndKind) -> None:
        members = self._present_members(run) if run.plan.gang else []
        self._record_end(worker, run, how)
        whole = len(members) == run.plan.gang
        for other_worker, other in members:
            if other is not run and other.ended is None and whole:
                broken = EndKind.DONE if how is EndKind.DONE else EndKind.BROKEN
                self._record_end(other_worker, other, broken)
                if how is EndKind.FAILED:
                    self._failed[other.task] += 1

    def _record_end(self, worker: PoolWorker, run: PoolRun, how: EndKind) -> None:
        run.ended = how
        run.ended_at = _now()
        if how is EndKind.FAILED:
            self._failed[run.task] += 1
        del worker.runs[(run.task, run.number)]
        worker.highest[run.task] = max(worker.highest.get(run.task, 0), run.number)
        worker.count += 1
        worker.ended_at[worker.count] = _now()
        worker.ended.append(
            EndedTask(worker.count, str(run.task), run.number, how, f"{run.done_s:.3f}")
        )
        worker.changed.set()


def payload(plan: TaskPlan) -> str:
    """Encode a plan as the payload of a job."""
    return msgspec.json.encode(plan).decode()


def needs(accelerators: int) -> Resources:
    """Resources of a task that needs some accelerators."""
    return Resources(1000, 1024, accelerators)


def _percent_done(run: PoolRun) -> int:
    return min(100, round(100 * run.done_s / run.plan.work_s))


def _figure(worker: PoolWorker, run: PoolRun) -> float:
    if not run.plan.tail_ms:
        return 0.0
    harm = sum(other.plan.harm_ms * other.pace / 100 for other in worker.runs.values())
    return run.plan.tail_ms + harm


def _gang_key(run: PoolRun) -> _GangKey:
    task = run.task
    return task.job_id, task.occurrence, task.step, run.number


def _now() -> float:
    return asyncio.get_running_loop().time()
