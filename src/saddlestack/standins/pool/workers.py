"""Stand-ins for the platform's workers: leases, fences, gangs, checkpoints, and their faults.

A :class:`WorkerPool` holds the workers and what tasks do. It records every run and reports broken
promises. The way to a worker is in :mod:`saddlestack.standins.pool.orders`.
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
NEWS_S = 2.5
"""A leader has heard of a record by then: it counts from ``contact-ms`` and a heartbeat later."""
STEP_S = 0.05

_GangKey = tuple[str, int, int, int]
"""A job, one of its occurrences, a step and a run."""


class TaskPlan(msgspec.Struct, frozen=True):
    """What a task does, as the payload of its job spells it (JSON).

    :param work_s: seconds of work.
    :param failures: so many runs of each task fail, at their end.
    :param room: accelerators that each task takes...
    :param cpu: ...besides thousandths of a core...
    :param memory_mb: ...and megabytes; workers of a soak refuse what does not fit.
    :param gang: tasks of a gang; 0 where they work alone.
    :param lasts: it works until it is stopped.
    :param tail_ms: the tail of its answers' times while nothing disturbs it.
    :param harm_ms: what it adds to others' tails at full pace.
    :param far_x: a gang on more than one rack takes so many times as long, on workers of a soak.
    :param crashes_s: one task crashes its worker so many seconds after each start; 0 for none...
    :param crashing: ...and this is its index.
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
        """Whether a task is the one that crashes its workers."""
        return self.crashes_s > 0 and task.index == self.crashing


@dataclass(slots=True)
class PoolRun:
    """One run at one worker.

    :param done_s: seconds of work done.
    :param ended: how it ended, or ``None`` while it is there.
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
    """Times that workers keep to, in seconds."""

    hold_s: float = 10.0
    gang_s: float = 3.0
    stop_s: float = 0.5
    back_s: float = 3.0
    """After a crash that a task caused a new life comes, at the same address."""


@dataclass(slots=True)
class PoolWorker:
    """One life of a worker.

    :param born: in milliseconds since 1970; 0 where it does not tell.
    :param began_s: when its clock stood at ``CLOCK_START_MS``.
    :ivar lapsed_at: when its latest lease was over.
    :ivar ended_at: when runs ended, by the number of the end.
    :ivar guards_from: a start that takes it over its room breaks a promise from then on.
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
    lapsed_at: float = -math.inf
    ended_at: dict[int, float] = field(default_factory=dict)
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    guards_from: float = 0.0

    @property
    def life(self) -> str:
        """The name of this life."""
        return incarnation_name(self.worker_id, self.born)

    @property
    def free(self) -> int:
        """Accelerators that nothing holds."""
        return self.accelerators - sum(run.plan.room for run in self.runs.values())


class TicketOffice(Protocol):
    """Knows the tickets given: step, worker and until when, by ticket."""

    @property
    def tickets(self) -> dict[str, tuple[str, str, float]]:
        """All tickets."""
        ...


class WorkerPool:
    """All workers of a pool, and the account of everything that ran.

    :ivar workers: by the name of the life.
    :ivar reports_start_time: whether workers tell when they were born.
    :ivar crashed: runs that crashed their workers.
    :ivar lost_with_worker: runs that were lost to such a crash without having caused it.
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
        self._lives = 0
        self.reports_start_time = False
        self._taken_note: set[TaskName] = set()
        self.orders = 0
        self.polls = 0
        self.adviser: TicketOffice | None = None
        self.resumed: list[tuple[TaskName, int, str]] = []
        self.crashed: list[PoolRun] = []
        self.lost_with_worker: list[PoolRun] = []

    # The platform's side

    def add(
        self, rack: str, data_hall: str, accelerators: int = 8, machine: str = ""
    ) -> PoolWorker:
        """A new life of a worker, recorded in the store."""
        self._lives += 1
        worker = PoolWorker(
            f"i-{self._lives:04d}", f"127.0.0.1:{9000 + self._lives}", accelerators, rack, data_hall
        )
        worker.machine = machine or f"m-{self._lives:04d}"
        worker.born = self._birth()
        self.workers[worker.life] = worker
        self.record(worker)
        return worker

    def restart(self, worker: PoolWorker, *, recorded: bool = True) -> PoolWorker:
        """A worker starts again under its id, at its address; it knows nothing of before.

        :param recorded: it has written its record.
        """
        self.crash(worker)
        life = PoolWorker(
            worker.worker_id,
            worker.address,
            worker.accelerators,
            worker.rack,
            worker.data_hall,
            worker.machine,
            self._birth(),
            _now(),
        )
        self.workers[life.life] = life
        if recorded:
            self.record(life)
        return life

    def latest_incarnation(self, worker_id: str) -> PoolWorker:
        """The latest life of a worker, by its id or the name of any of its lives."""
        lives = [
            each for each in self.workers.values() if each.worker_id == worker_id_of(worker_id)
        ]
        return max(lives, key=lambda each: each.born)

    def _birth(self) -> int:
        """When a life is born; no two of them at once."""
        if not self.reports_start_time:
            return 0
        latest = max((each.born for each in self.workers.values()), default=0)
        return max(latest + 1, round((WALL_EPOCH_S + _now()) * 1000))

    def record(self, worker: PoolWorker, *, remaining_ms: int | None = None) -> None:
        """Write a worker's record; with ``remaining_ms`` it drains."""
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
        """A worker is gone at once; its record goes too unless ``recorded``."""
        worker.up = False
        worker.runs.clear()
        worker.changed.set()
        if not recorded:
            self._store.remove(f"servers/{worker.worker_id}")

    def resize(self, worker: PoolWorker, accelerators: int) -> None:
        """A worker's room shrinks or grows while it runs, and its record tells; it guards none.

        What was ordered up to :data:`NEWS_S` after its record changed may still take it over.
        """
        if accelerators < worker.accelerators:
            worker.guards_from = _now() + NEWS_S
        worker.accelerators = accelerators
        self.record(worker)

    def expire_record(self, worker: PoolWorker) -> None:
        """A worker's record lapses, as while the store is away; the worker runs on."""
        self._store.remove(f"servers/{worker.worker_id}")

    def clock_ms(self, worker: PoolWorker) -> int:
        """A worker's steady clock; each life has one of its own."""
        return CLOCK_START_MS + round((_now() - worker.began_s) * 1000)

    async def run(self) -> None:
        """Let work go on, gangs end, and leases lapse, until cancelled."""
        while True:
            await asyncio.sleep(STEP_S)
            for worker in list(self.workers.values()):
                if worker.up:
                    self._advance(worker)

    # Accounts

    def crashes_under(self, job_id: str) -> list[PoolRun]:
        """Runs of a job that crashed their workers."""
        return [run for run in self.crashed if run.task.job_id == job_id]

    def starts_of(self, job_id: str) -> int:
        """Runs of a job's tasks that began."""
        return sum(1 for run in self.history if run.task.job_id == job_id)

    def ends_of(self, job_id: str, how: EndKind) -> int:
        """Runs of a job's tasks that ended in a way."""
        return sum(1 for run in self.history if run.task.job_id == job_id and run.ended is how)

    # What orders do

    def start(self, worker: PoolWorker, order: StartOrder) -> StartReply:
        """Start a run."""
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
        if self.adviser is not None and not self._ticket_holds(worker, name, order.ticket):
            return StartReply(clock, Refusal.TICKET)
        plan = msgspec.json.decode(order.payload, type=TaskPlan)
        if plan.room > worker.free:
            if _now() >= worker.guards_from:
                self.violations.append(f"{name} takes {worker.life} over its room")
            return StartReply(clock, Refusal.CAPACITY)
        self._check_start(name)
        run = PoolRun(name, order.run, worker.life, plan, _now())
        if order.saved:
            run.done_s = float(order.saved)
            self.resumed.append((name, order.run, order.saved))
        worker.runs[(name, order.run)] = run
        self._note(run)
        return StartReply(clock, None)

    def stop(self, worker: PoolWorker, task: str, number: int, fence: int) -> None:
        """Stop a run."""
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
        """Let a run work at a share of its speed."""
        if fence < worker.fence:
            raise WorkerFenced
        run = worker.runs.get((TaskName.parse(task), number))
        if run is not None:
            run.pace = percent

    async def hold(
        self, worker: PoolWorker, fence: int, deadline_ms: int | None, seen: int, wait_s: float
    ) -> WorkerReport:
        """Renew the lease, forget ends, and report."""
        self.polls += 1
        if fence < worker.fence:
            raise WorkerFenced
        worker.fence = fence
        self._see_lapse(worker)
        if deadline_ms is not None:
            self._extend(worker, deadline_ms)
        for end in worker.ended:
            if end.number <= seen and end.how is EndKind.DONE:
                self._take_note(worker, end)
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
                str(run.task), run.number, f"{run.done_s:.3f}", _percent(run), _figure(worker, run)
            )
            for run in worker.runs.values()
        )
        return WorkerReport(self.clock_ms(worker), running, tuple(worker.ended), born=worker.born)

    # Work

    def _take_note(self, worker: PoolWorker, end: EndedTask) -> None:
        """An end counts for good, unless the worker's lease lapsed before it was acknowledged.

        A leader may then have had the task begun again, and cannot take that back.
        """
        if worker.lapsed_at <= worker.ended_at[end.number]:
            self._taken_note.add(TaskName.parse(end.task))

    def _see_lapse(self, worker: PoolWorker) -> None:
        if _now() > worker.lease_until:
            worker.lapsed_at = worker.lease_until

    def _extend(self, worker: PoolWorker, deadline_ms: int) -> None:
        self._see_lapse(worker)
        deadline_s = worker.began_s + (deadline_ms - CLOCK_START_MS) / 1000
        until = min(deadline_s, _now() + self.times.hold_s)
        worker.lease_until = max(worker.lease_until, until)

    def _ticket_holds(self, worker: PoolWorker, name: TaskName, ticket: str) -> bool:
        assert self.adviser is not None
        step, worker_id, until = self.adviser.tickets.get(ticket, ("", "", 0.0))
        whole = f"{name.job_id}.{name.occurrence}.{name.step}"
        return step == whole and worker_id == worker.worker_id and _now() <= until

    def _check_start(self, name: TaskName) -> None:
        if name in self._taken_note:
            self.violations.append(f"{name} starts after its end was taken note of")
        running = {run.worker for run in self._by_task[name] if self._is_present(run)}
        self.violations += [f"{name} runs twice at once"] * len(running)

    def _note(self, run: PoolRun) -> None:
        """A run begins."""
        self.history.append(run)
        self._by_task[run.task].append(run)
        self._by_gang[_gang_of(run)].append(run)

    def _is_present(self, run: PoolRun) -> bool:
        """Whether a run goes on, at a worker that is up."""
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
        if run.plan.gang and len(self._members(run)) < run.plan.gang:
            if _now() - run.began > self.times.gang_s:
                self._end(worker, run, EndKind.ALONE)
            return
        run.done_s += STEP_S
        if run.plan.crashes(run.task) and _now() - run.began >= run.plan.crashes_s:
            self._crash_under(worker, run)
            return
        if run.plan.lasts or run.done_s < run.plan.work_s:
            return
        failed = worker.fails_all or self._failed[run.task] < run.plan.failures
        self._end(worker, run, EndKind.FAILED if failed else EndKind.DONE)

    def _crash_under(self, worker: PoolWorker, run: PoolRun) -> None:
        """A run crashes its worker, with all that runs there; another life comes later."""
        self.crashed.append(run)
        self.lost_with_worker += [other for other in worker.runs.values() if other is not run]
        self.crash(worker, recorded=False)
        loop = asyncio.get_running_loop()
        loop.call_later(self.times.back_s, self._come_back, worker)

    def _come_back(self, old: PoolWorker) -> None:
        """A new life of a worker that crashed, under a new id."""
        life = self.add(old.rack, old.data_hall, old.accelerators, old.machine)
        life.address = old.address
        self.record(life)

    def _members(self, run: PoolRun) -> list[tuple[PoolWorker, PoolRun]]:
        """The members of a run's gang that are present, worker after worker."""
        present = [each for each in self._by_gang[_gang_of(run)] if self._is_present(each)]
        present.sort(key=lambda each: each.worker)
        return [(self.workers[each.worker], each) for each in present]

    def _end(self, worker: PoolWorker, run: PoolRun, how: EndKind) -> None:
        members = self._members(run) if run.plan.gang else []
        self._list_end(worker, run, how)
        whole = len(members) == run.plan.gang
        for other_worker, other in members:
            if other is not run and other.ended is None and whole:
                broken = EndKind.DONE if how is EndKind.DONE else EndKind.BROKEN
                self._list_end(other_worker, other, broken)

    def _list_end(self, worker: PoolWorker, run: PoolRun, how: EndKind) -> None:
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
    """The payload that makes tasks do so."""
    return msgspec.json.encode(plan).decode()


def needs(accelerators: int) -> Resources:
    """Room of a task with so many accelerators."""
    return Resources(1000, 1024, accelerators)


def _percent(run: PoolRun) -> int:
    return min(100, round(100 * run.done_s / run.plan.work_s))


def _figure(worker: PoolWorker, run: PoolRun) -> float:
    if not run.plan.tail_ms:
        return 0.0
    harm = sum(other.plan.harm_ms * other.pace / 100 for other in worker.runs.values())
    return run.plan.tail_ms + harm


def _gang_of(run: PoolRun) -> _GangKey:
    task = run.task
    return task.job_id, task.occurrence, task.step, run.number


def _now() -> float:
    return asyncio.get_running_loop().time()
