"""Simulated workers that follow the platform's documentation, and the history of every run."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

import msgspec

from saddlestack.interfaces.incarnations import incarnation_name
from saddlestack.interfaces.workers import (
    EndedTask,
    EndKind,
    Refusal,
    RunningTask,
    StartOrder,
    StartReply,
    WorkerFenced,
    WorkerReport,
)
from saddlestack.platform.orders import MAX_ENDS_PER_REPORT
from saddlestack.standins.loop import WALL_EPOCH_S
from saddlestack.work import TaskName
from tests.simulation.loops import SharedLoop

CLOCK_START_MS = 400_000
ALONE_S = 3.0
HOLD_S = 10.0
ROOM_NEWS_S = 4.0
"""Grace period after a worker's capacity shrank: a heartbeat, and the delay until VMs get it."""
CRASHES = 3
"""Crashes of workers by one task after which further starts of it are limited."""
STARTS_MORE = 3
"""Further starts of a crashing task that violate the limit."""
CRASHES_FROM_S = 0.05
FAR_SLOWED = 3.0
"""Factor by which work takes longer if its data is on another rack."""
LENGTH_SPREAD = 0.2
"""Standard deviation of the logarithm of a task's length: they differ by 15 to 30 percent."""
STRAGGLER_SHARE = 0.01
STRAGGLER_LENGTH = 3.5
"""One task of 100 takes more than 3.3 to 3.7 times the median of its step."""


class Plan(msgspec.Struct, frozen=True, omit_defaults=True):
    """What the tasks of a job do; the payload of the job (JSON).

    :param room: accelerators per task.
    :param gang: number of members; 0 for no gang.
    :param failures: number of runs of each task that fail by its own fault.
    :param lasts: whether the work is long-running.
    :param fails_s: time after its start at which such a run fails; 0 for the end of its work.
    :param near: the rack of its data; on others its work takes longer.
    :param crashing: index of a task of the first step of the first occurrence that crashes each
        worker that starts it; -1 for none.
    :param crashes_s: the longest time from the start of that task's work to the crash.
    :param varies: whether the tasks differ in length, see :func:`length_of`.
    """

    work_s: float
    room: int
    gang: int = 0
    failures: int = 0
    lasts: bool = False
    fails_s: float = 0.0
    near: str = ""
    crashing: int = -1
    crashes_s: float = 0.0
    varies: bool = False


def length_of(task: TaskName) -> float:
    """How long a task takes relative to the others of its step, where these differ."""
    rng = random.Random(str(task))
    if rng.random() < STRAGGLER_SHARE:
        return STRAGGLER_LENGTH
    return rng.lognormvariate(0.0, LENGTH_SPREAD)


@dataclass(slots=True, eq=False)
class SimRun:
    """One run at one worker.

    :param done_s: seconds of work done before ``counts_from_s``, also by earlier runs.
    :param noted: its end was acknowledged before the worker's lease expired.
    :param lapsed: the worker's lease expired before that: such an end is void.
    :param slowed: factor by which its work takes longer there.
    :param counts_from_s: time from which its progress counts: its work began, no longer hangs, or
        changed its speed then.
    :param work_s: seconds of work of its task.
    :param timer: fires when its work is done.
    :param waits_s: when a member of a gang had done its work and began to wait for the others.
    :param resumed: it began with the work that an earlier run had saved.
    """

    task: TaskName
    number: int
    worker: SimWorker
    plan: Plan
    vm: str
    fence: int
    ordered_s: float
    began_s: float
    work_began_s: float | None = None
    done_s: float = 0.0
    stop_s: float | None = None
    stopping: bool = False
    ended_s: float | None = None
    how: EndKind | None = None
    number_of_end: int = 0
    noted: bool = False
    lapsed: bool = False
    slowed: float = 1.0
    counts_from_s: float = 0.0
    work_s: float = 0.0
    timer: asyncio.TimerHandle | None = None
    waits_s: float | None = None
    resumed: bool = False

    def __str__(self) -> str:
        end = "-" if self.ended_s is None else f"{self.ended_s:.3f} {self.how}"
        stop = "-" if self.stop_s is None else f"{self.stop_s:.3f}"
        return (
            f"{self.task} run {self.number} on {self.worker.life} from {self.vm}"
            f" fence {self.fence}, order {self.ordered_s:.3f} start {self.began_s:.3f}"
            f" stop {stop} end {end}{' noted' if self.noted else ''}"
        )


@dataclass(slots=True, eq=False)
class SimOrder:
    """A start order that was sent to a worker.

    :param answered: whether its answer has arrived.
    """

    task: TaskName
    number: int
    worker: SimWorker
    sent_s: float
    answered: bool = False


Reply = Callable[[WorkerReport], None]


@dataclass(slots=True, eq=False)
class _PendingPoll:
    """A long poll that waits for the end of a run."""

    reply: Reply
    over: bool = False


@dataclass(slots=True, eq=False)
class SimWorker:
    """One incarnation of a worker.

    :param room: its accelerators.
    :param rate: speed of its monotonic clock.
    :param born: the start time that it reports, in milliseconds since 1970; 0 for none.
    :param grey_until: until then it fails every run that it starts, by its own fault.
    :param grey_s: time from a start to such a failure.
    :param failed_s: when a run last failed by the worker's fault.
    :param hangs_until: runs that start before make no progress until then.
    :param shares_address: whether another incarnation was up at its address at the same time.
    :param shrunk_s: when its capacity last shrank.
    :param factors: how much longer work takes there than on a usual worker, and since when.
    """

    worker_id: str
    address: str
    rack: str
    hall: str
    room: int
    rate: float
    born_s: float
    born: int = 0
    up: bool = True
    fence: int = 0
    lease_ms: float = 0.0
    runs: dict[tuple[TaskName, int], SimRun] = field(default_factory=dict)
    ended: list[EndedTask] = field(default_factory=list)
    ends: dict[int, SimRun] = field(default_factory=dict)
    highest: dict[TaskName, int] = field(default_factory=dict)
    count: int = 0
    waiting: list[_PendingPoll] = field(default_factory=list)
    grey_until: float = 0.0
    grey_s: float = 0.0
    failed_s: float = -math.inf
    hangs_until: float = 0.0
    shares_address: bool = False
    shrunk_s: float = -math.inf
    factors: list[tuple[float, float]] = field(default_factory=lambda: [(-math.inf, 1.0)])

    @property
    def time_factor(self) -> float:
        """The present time factor."""
        return self.factors[-1][1]

    def factor_at(self, at_s: float) -> float:
        """The time factor at a time."""
        return next(factor for since_s, factor in reversed(self.factors) if since_s <= at_s)

    def factor_since_s(self, at_s: float) -> float:
        """Since when the worker had its time factor of a time."""
        return next(since_s for since_s, _ in reversed(self.factors) if since_s <= at_s)

    @property
    def life(self) -> str:
        """The incarnation name."""
        return incarnation_name(self.worker_id, self.born)

    @property
    def free(self) -> int:
        """Accelerators that no run holds."""
        return self.room - sum(run.plan.room for run in self.runs.values())


class Workers:
    """All workers, the orders they carry out, and the invariants that this violates.

    :ivar lives: all incarnations, by incarnation name.
    :ivar births: whether incarnations report their start times.
    :ivar guards: whether workers refuse starts beyond their capacity.
    :ivar crashed: for each crashing task, when it crashed workers.
    :ivar died_beside: number of runs of other jobs that were lost by such crashes.
    :ivar on_crash: ends a worker that a task crashes.
    :ivar begun: all runs, in the order in which they began.
    :ivar broken: the violations found so far.
    :ivar late_gangs: whether the remaining members of a broken gang end with a delay.
    :ivar gangs_wait: whether a gang ends with its slowest member rather than its fastest.
    :ivar factor_of: the time factor of a worker that is added, by its address.
    """

    def __init__(self, world: SharedLoop, rng: random.Random, stop_s: float) -> None:
        self._world = world
        self._rng = rng
        self._stop_s = stop_s
        self.lives: dict[str, SimWorker] = {}
        self.history: dict[TaskName, list[SimRun]] = {}
        self.orders: dict[str, list[SimOrder]] = {}
        self.begun: list[SimRun] = []
        self.broken: list[str] = []
        self.slow_lists: dict[str, float] = {}
        self.late_gangs = False
        self.births = False
        self.starts = 0
        self.guards = True
        self.crashed: dict[TaskName, list[float]] = {}
        self.died_beside = 0
        self.on_crash: Callable[[SimWorker], None] = self.end
        self.gangs_wait = False
        self.factor_of: Callable[[str], float] = _usual

    def add(self, rack: str, hall: str, address: str = "", worker_id: str = "") -> SimWorker:
        """Add an incarnation of a worker.

        :param worker_id: the ID of a worker that restarts.
        """
        number = len(self.lives) + 1
        rate = self._rng.choice((1.0, 1.0, 0.98))
        worker = SimWorker(
            worker_id or f"i-{number:04d}",
            address or f"127.0.0.1:{9000 + number}",
            rack,
            hall,
            8,
            rate,
            self._world.time(),
        )
        if self.births:
            # The number distinguishes incarnations that start within one millisecond.
            worker.born = round((WALL_EPOCH_S + self._world.time()) * 1000) + number
        for other in self.lives.values():
            if other.up and other.address == worker.address:
                other.shares_address = worker.shares_address = True
        worker.factors = [(worker.born_s, self.factor_of(worker.address))]
        self.lives[worker.life] = worker
        return worker

    def present(self, worker_id: str) -> SimWorker:
        """The latest incarnation of a worker, by its ID."""
        return next(each for each in reversed(self.lives.values()) if each.worker_id == worker_id)

    def end(self, worker: SimWorker) -> None:
        """End an incarnation and all its runs."""
        worker.up = False
        for run in list(worker.runs.values()):
            run.ended_s = self._world.time()
        for run in [each for each in worker.runs.values() if each.plan.gang]:
            for member in list(self._members(run)):
                if member.work_began_s is not None:
                    self._list_end_later(member, EndKind.BROKEN)
        worker.runs.clear()
        worker.waiting.clear()

    def clock_ms(self, worker: SimWorker) -> int:
        """A worker's monotonic clock."""
        passed_s = self._world.time() - worker.born_s
        return CLOCK_START_MS + int(passed_s * worker.rate * 1000)

    def note_order(self, worker: SimWorker, order: StartOrder, sent_s: float) -> SimOrder:
        """Record that a start order is sent to a worker."""
        task = TaskName.parse(order.task)
        noted = SimOrder(task, order.run, worker, sent_s)
        self.orders.setdefault(task.job_id, []).append(noted)
        return noted

    def run_of(self, order: SimOrder) -> SimRun | None:
        """The run that an order started; ``None`` where it was not carried out."""
        runs = self.history.get(order.task, ())
        wanted = (order.number, order.worker)
        return next((run for run in runs if (run.number, run.worker) == wanted), None)

    def start(self, worker: SimWorker, order: StartOrder, vm: str, ordered_s: float) -> StartReply:
        """Start a run."""
        clock_ms = self.clock_ms(worker)
        name = TaskName.parse(order.task)
        if order.fence < worker.fence:
            return StartReply(clock_ms, Refusal.FENCED)
        worker.fence = order.fence
        if order.deadline_ms <= clock_ms:
            return StartReply(clock_ms, Refusal.LATE)
        self._extend_lease(worker, order.deadline_ms)
        if (name, order.run) in worker.runs:
            return StartReply(clock_ms, None)
        if order.run <= worker.highest.get(name, 0):
            return StartReply(clock_ms, Refusal.STALE)
        plan = msgspec.json.decode(order.payload, type=Plan)
        if plan.room > worker.free:
            if self.guards:
                return StartReply(clock_ms, Refusal.CAPACITY)
            self._check_capacity(worker, name)
        run = SimRun(name, order.run, worker, plan, vm, order.fence, ordered_s, self._world.time())
        run.done_s = float(order.saved or 0.0)
        run.resumed = bool(order.saved)
        run.work_s = plan.work_s * length_of(name) if plan.varies else plan.work_s
        self._begin(run)
        return StartReply(clock_ms, None)

    def stop(self, worker: SimWorker, task: str, number: int, fence: int) -> None:
        """Stop a run."""
        if fence < worker.fence:
            raise WorkerFenced
        worker.fence = fence
        name = TaskName.parse(task)
        worker.highest[name] = max(worker.highest.get(name, 0), number)
        run = worker.runs.get((name, number))
        if run is None or run.stopping:
            return
        run.stopping = True
        run.stop_s = self._world.time()
        took_s = self._rng.uniform(0.0, self._stop_s)
        self._world.call_later(took_s, self._finish, run, EndKind.STOPPED)

    def hold(
        self,
        worker: SimWorker,
        fence: int,
        deadline_ms: int | None,
        seen: int,
        wait_s: float,
        reply: Reply,
    ) -> None:
        """Renew the lease, drop acknowledged ends, and report, at once or with the next end."""
        if fence < worker.fence:
            raise WorkerFenced
        worker.fence = fence
        if deadline_ms is not None:
            self._extend_lease(worker, deadline_ms)
        for end in worker.ended:
            if end.number <= seen:
                run = worker.ends.pop(end.number)
                run.noted = not run.lapsed
        worker.ended = [end for end in worker.ended if end.number > seen]
        if not wait_s or worker.ended:
            reply(self._report(worker))
            return
        waiting = _PendingPoll(reply)
        worker.waiting.append(waiting)
        self._world.call_later(wait_s, self._answer, worker, waiting)

    def _answer(self, worker: SimWorker, waiting: _PendingPoll) -> None:
        if waiting.over or not worker.up:
            return
        waiting.over = True
        worker.waiting.remove(waiting)
        waiting.reply(self._report(worker))

    def _report(self, worker: SimWorker) -> WorkerReport:
        running = tuple(
            RunningTask(
                str(run.task), run.number, f"{self._work_done_s(run):.3f}", self._percent(run)
            )
            for run in worker.runs.values()
        )
        ended = tuple(worker.ended[:MAX_ENDS_PER_REPORT])
        more = len(ended) >= MAX_ENDS_PER_REPORT
        return WorkerReport(self.clock_ms(worker), running, ended, more, worker.born)

    def _extend_lease(self, worker: SimWorker, deadline_ms: float) -> None:
        clock_ms = self.clock_ms(worker)
        until = min(deadline_ms, clock_ms + HOLD_S * 1000)
        if until <= worker.lease_ms:
            return
        worker.lease_ms = until
        left_s = (until - clock_ms) / 1000 / worker.rate
        self._world.call_later(left_s + 0.002, self._check_lease, worker)

    def _check_lease(self, worker: SimWorker) -> None:
        if self.clock_ms(worker) < worker.lease_ms:
            return
        for ended in worker.ends.values():
            ended.lapsed = True
        for run in list(worker.runs.values()):
            self._finish(run, EndKind.LAPSED)

    def _check_capacity(self, worker: SimWorker, name: TaskName) -> None:
        """Record a start beyond the capacity of a worker that doesn't enforce it as a violation."""
        if self._world.time() - worker.shrunk_s > ROOM_NEWS_S:
            self.broken.append(f"over the room: [{name}] on {worker.life}")

    def resize(self, worker: SimWorker, room: int) -> None:
        """Change a worker's capacity while it runs."""
        if room < worker.room:
            worker.shrunk_s = self._world.time()
        worker.room = room

    def _begin(self, run: SimRun) -> None:
        self.starts += 1
        runs = self.history.setdefault(run.task, [])
        for other in runs:
            if other.ended_s is None and other.worker.up:
                self.broken.append(f"two runs at once: [{run}] while [{other}]")
        runs.append(run)
        self.begun.append(run)
        run.worker.runs[(run.task, run.number)] = run
        if not run.plan.gang:
            self._work(run)
            return
        members = list(self._members(run))
        if len(members) == run.plan.gang:
            for member in members:
                self._work(member)
        else:
            self._world.call_later(ALONE_S, self._check_alone, run)

    def _work(self, run: SimRun) -> None:
        now, worker = self._world.time(), run.worker
        run.work_began_s = run.counts_from_s = now
        if self._is_crashing(run):
            after_s = self._rng.uniform(CRASHES_FROM_S, run.plan.crashes_s)
            self._world.call_later(after_s, self._crash, run)
        if now < worker.grey_until:
            self._world.call_later(worker.grey_s, self._fail_here, run)
            return
        run.counts_from_s = max(now, worker.hangs_until)
        run.slowed = worker.time_factor
        if run.plan.near not in ("", worker.rack):
            run.slowed *= FAR_SLOWED
        self._await_done(run)

    def _await_done(self, run: SimRun) -> None:
        if run.plan.lasts:
            return
        left_s = max(0.01, run.work_s - run.done_s) * run.slowed
        if run.plan.fails_s and self._will_fail(run):
            left_s = min(left_s, run.plan.fails_s)
        after_s = run.counts_from_s - self._world.time() + left_s
        run.timer = self._world.call_later(after_s, self._see_done, run)

    def set_time_factor(self, worker: SimWorker, factor: float) -> None:
        """Change how long work takes at a worker, also that of its present runs."""
        now, change = self._world.time(), factor / worker.time_factor
        worker.factors.append((now, factor))
        for run in worker.runs.values():
            if run.timer is None or run.waits_s is not None or run.stopping:
                continue
            run.timer.cancel()
            run.done_s = self._work_done_s(run)
            run.counts_from_s = max(run.counts_from_s, now)
            run.slowed *= change
            self._await_done(run)

    def _is_crashing(self, run: SimRun) -> bool:
        first = run.task.step == 0 and run.task.occurrence == 0
        return first and run.task.index == run.plan.crashing

    def _crash(self, run: SimRun) -> None:
        """Let a run crash its worker."""
        worker = run.worker
        if run.ended_s is not None or run.stopping or not worker.up:
            return
        self.crashed.setdefault(run.task, []).append(self._world.time())
        job_id = run.task.job_id
        self.died_beside += sum(1 for task, _ in worker.runs if task.job_id != job_id)
        self.on_crash(worker)

    def _fail_here(self, run: SimRun) -> None:
        """Let a run fail by its worker's fault."""
        if not run.stopping and run.ended_s is None:
            run.worker.failed_s = self._world.time()
            self._finish(run, EndKind.FAILED)

    def _check_alone(self, run: SimRun) -> None:
        if run.work_began_s is None and not run.stopping:
            self._finish(run, EndKind.ALONE)

    def _see_done(self, run: SimRun) -> None:
        if run.stopping or run.ended_s is not None:
            return
        if self._will_fail(run):
            self._finish(run, EndKind.FAILED)
            return
        if self.gangs_wait and run.plan.gang:
            run.waits_s = self._world.time()
            if any(member.waits_s is None for member in self._members(run)):
                return
        self._finish(run, EndKind.DONE)

    def _will_fail(self, run: SimRun) -> bool:
        """Whether a run fails by its own fault."""
        failed = sum(1 for each in self.history[run.task] if each.how is EndKind.FAILED)
        return failed < run.plan.failures

    def _members(self, run: SimRun) -> Iterable[SimRun]:
        name = run.task
        for index in range(run.plan.gang):
            task = TaskName(name.job_id, name.occurrence, name.step, index)
            for each in self.history.get(task, []):
                if each.number == run.number and each.ended_s is None and each.worker.up:
                    yield each

    def _finish(self, run: SimRun, how: EndKind) -> None:
        """End a run and the other members of its gang.

        These may end with a delay, until which they count as running.
        """
        if run.ended_s is not None or not run.worker.up:
            return
        members = list(self._members(run)) if run.plan.gang else []
        worked = run.work_began_s is not None
        self._list_end(run, how)
        if not worked:
            return
        others = EndKind.DONE if how is EndKind.DONE else EndKind.BROKEN
        for member in members:
            if member is not run and member.ended_s is None:
                self._list_end_later(member, others)

    def _list_end_later(self, run: SimRun, how: EndKind) -> None:
        late_s = self._rng.uniform(0.0, 0.3) if self.late_gangs else 0.0
        if not late_s or how is EndKind.DONE:
            self._list_end(run, how)
        else:
            run.stopping = True
            self._world.call_later(late_s, self._list_end, run, how)

    def _list_end(self, run: SimRun, how: EndKind) -> None:
        worker = run.worker
        if run.ended_s is not None or not worker.up:
            return
        saved = f"{self._work_done_s(run):.3f}"
        run.ended_s = self._world.time()
        run.how = how
        del worker.runs[(run.task, run.number)]
        worker.highest[run.task] = max(worker.highest.get(run.task, 0), run.number)
        worker.count += 1
        worker.ended.append(EndedTask(worker.count, str(run.task), run.number, how, saved))
        worker.ends[worker.count] = run
        for waiting in list(worker.waiting):
            self._answer(worker, waiting)

    def _work_done_s(self, run: SimRun) -> float:
        if run.work_began_s is None:
            return run.done_s
        worked_s = max(0.0, self._world.time() - run.counts_from_s)
        return run.done_s + worked_s / run.slowed

    def _percent(self, run: SimRun) -> int:
        if run.plan.lasts:
            return 100
        return min(99, int(100 * self._work_done_s(run) / run.work_s))

    def judge(self) -> list[str]:
        """Return all violated invariants."""
        found = list(self.broken)
        for task, times in self.crashed.items():
            if len(times) < CRASHES:
                continue
            later = [run for run in self.history[task] if run.began_s > times[CRASHES - 1]]
            if len(later) >= STARTS_MORE:
                found.append(f"started {len(later)} times after {CRASHES} crashes: [{task} ]")
        for runs in self.history.values():
            done = [run for run in runs if run.how is EndKind.DONE and run.noted]
            for first in done:
                found += [
                    f"start after a noted end: [{run}] after [{first}]"
                    for run in runs
                    if first.ended_s is not None and run.began_s > first.ended_s
                ]
        return found


def _usual(address: str) -> float:
    """The time factor of a usual worker."""
    return 1.0
