"""Workers as the platform's pages tell of them, and the account of every run."""

from __future__ import annotations

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
"""A room that has shrunk counts from then on: a heartbeat, and what VMs may take to hear."""
CRASHES = 3
"""Once so many workers have crashed under a task..."""
STARTS_MORE = 3
"""...so many more starts of it break a promise."""
CRASHES_FROM_S = 0.05
FAR_SLOWED = 3.0
"""So many times as long takes work with data on another rack."""


class Plan(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a task does, as the payload of its job spells it (JSON).

    :param failures: so many of its runs fail by its own fault...
    :param fails_s: ...so long after they began; 0 for at their end.
    :param near: the rack of its data; on others its work takes longer.
    :param crashing: index of a task of its first step and time that crashes each worker that starts
        it, so long at most after its work began there; -1 for none.
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


@dataclass(slots=True, eq=False)
class SimRun:
    """One run at one worker.

    :param noted: its end was acknowledged, before the worker's lease lapsed.
    :param lapsed: the worker's lease lapsed before that: such an end counts for nothing.
    :param slowed: its work takes so many times as long there.
    :param hung_until: it makes no progress before.
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
    hung_until: float = 0.0

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
    """An order to start that left for a worker.

    :param answered: its answer has arrived.
    """

    task: TaskName
    number: int
    worker: SimWorker
    sent_s: float
    answered: bool = False


Reply = Callable[[WorkerReport], None]


@dataclass(slots=True, eq=False)
class _Waiting:
    """A look that waits for an end."""

    reply: Reply
    over: bool = False


@dataclass(slots=True, eq=False)
class SimWorker:
    """One life of a worker.

    :param born: what it tells of its birth, in milliseconds since 1970; 0 for nothing.
    :param grey_until: it fails all that it starts before, by its own fault...
    :param grey_s: ...so long after the start.
    :param failed_s: when a run last failed by its own fault.
    :param hangs_until: what starts before makes no progress until then.
    :param shares_address: another life was up at its address while it was.
    :param shrunk_s: when its room shrank the last time.
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
    waiting: list[_Waiting] = field(default_factory=list)
    grey_until: float = 0.0
    grey_s: float = 0.0
    failed_s: float = -math.inf
    hangs_until: float = 0.0
    shares_address: bool = False
    shrunk_s: float = -math.inf

    @property
    def life(self) -> str:
        """The name of this life."""
        return incarnation_name(self.worker_id, self.born)

    @property
    def free(self) -> int:
        """Accelerators that nothing holds."""
        return self.room - sum(run.plan.room for run in self.runs.values())


class Workers:
    """All workers, what they do on orders, and what of that breaks a promise.

    :ivar lives: by name.
    :ivar births: whether lives tell when they were born.
    :ivar guards: whether workers refuse what does not fit.
    :ivar crashed: when workers crashed under a task that crashes them.
    :ivar died_beside: runs of other jobs that were lost so.
    :ivar on_crash: ends a worker that a task crashes.
    :ivar begun: all runs, in the order in which they began.
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

    def add(self, rack: str, hall: str, address: str = "", worker_id: str = "") -> SimWorker:
        """A new life of a worker.

        :param worker_id: the id of a worker that starts again.
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
            # The number sets lives apart that are born within one millisecond.
            worker.born = round((WALL_EPOCH_S + self._world.time()) * 1000) + number
        for other in self.lives.values():
            if other.up and other.address == worker.address:
                other.shares_address = worker.shares_address = True
        self.lives[worker.life] = worker
        return worker

    def present(self, worker_id: str) -> SimWorker:
        """The latest life of a worker, by its id."""
        return next(each for each in reversed(self.lives.values()) if each.worker_id == worker_id)

    def end(self, worker: SimWorker) -> None:
        """A life is over, and all that runs there."""
        worker.up = False
        for run in list(worker.runs.values()):
            run.ended_s = self._world.time()
        for run in [each for each in worker.runs.values() if each.plan.gang]:
            for member in list(self._members(run)):
                if member.work_began_s is not None:
                    self._list_soon(member, EndKind.BROKEN)
        worker.runs.clear()
        worker.waiting.clear()

    def clock_ms(self, worker: SimWorker) -> int:
        """What a worker's steady clock says."""
        passed_s = self._world.time() - worker.born_s
        return CLOCK_START_MS + int(passed_s * worker.rate * 1000)

    # Orders

    def note_order(self, worker: SimWorker, order: StartOrder, sent_s: float) -> SimOrder:
        """An order to start leaves for a worker."""
        task = TaskName.parse(order.task)
        noted = SimOrder(task, order.run, worker, sent_s)
        self.orders.setdefault(task.job_id, []).append(noted)
        return noted

    def run_of(self, order: SimOrder) -> SimRun | None:
        """What an order has begun; ``None`` where it was not carried out."""
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
        self._extend(worker, order.deadline_ms)
        if (name, order.run) in worker.runs:
            return StartReply(clock_ms, None)
        if order.run <= worker.highest.get(name, 0):
            return StartReply(clock_ms, Refusal.STALE)
        plan = msgspec.json.decode(order.payload, type=Plan)
        if plan.room > worker.free:
            if self.guards:
                return StartReply(clock_ms, Refusal.CAPACITY)
            self._judge_room(worker, name)
        run = SimRun(name, order.run, worker, plan, vm, order.fence, ordered_s, self._world.time())
        run.done_s = float(order.saved or 0.0)
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
        """Renew the lease, forget ends, and report, at once or with the next end."""
        if fence < worker.fence:
            raise WorkerFenced
        worker.fence = fence
        if deadline_ms is not None:
            self._extend(worker, deadline_ms)
        for end in worker.ended:
            if end.number <= seen:
                run = worker.ends.pop(end.number)
                run.noted = not run.lapsed
        worker.ended = [end for end in worker.ended if end.number > seen]
        if not wait_s or worker.ended:
            reply(self._report(worker))
            return
        waiting = _Waiting(reply)
        worker.waiting.append(waiting)
        self._world.call_later(wait_s, self._answer, worker, waiting)

    def _answer(self, worker: SimWorker, waiting: _Waiting) -> None:
        if waiting.over or not worker.up:
            return
        waiting.over = True
        worker.waiting.remove(waiting)
        waiting.reply(self._report(worker))

    def _report(self, worker: SimWorker) -> WorkerReport:
        running = tuple(
            RunningTask(str(run.task), run.number, f"{self._done(run):.3f}", self._percent(run))
            for run in worker.runs.values()
        )
        ended = tuple(worker.ended[:MAX_ENDS_PER_REPORT])
        more = len(ended) >= MAX_ENDS_PER_REPORT
        return WorkerReport(self.clock_ms(worker), running, ended, more, worker.born)

    def _extend(self, worker: SimWorker, deadline_ms: float) -> None:
        clock_ms = self.clock_ms(worker)
        until = min(deadline_ms, clock_ms + HOLD_S * 1000)
        if until <= worker.lease_ms:
            return
        worker.lease_ms = until
        left_s = (until - clock_ms) / 1000 / worker.rate
        self._world.call_later(left_s + 0.002, self._see_lease, worker)

    def _see_lease(self, worker: SimWorker) -> None:
        if self.clock_ms(worker) < worker.lease_ms:
            return
        for ended in worker.ends.values():
            ended.lapsed = True
        for run in list(worker.runs.values()):
            self._finish(run, EndKind.LAPSED)

    def _judge_room(self, worker: SimWorker, name: TaskName) -> None:
        """A worker that guards nothing is taken over its room."""
        if self._world.time() - worker.shrunk_s > ROOM_NEWS_S:
            self.broken.append(f"over the room: [{name}] on {worker.life}")

    def resize(self, worker: SimWorker, room: int) -> None:
        """A worker's room shrinks or grows while it runs."""
        if room < worker.room:
            worker.shrunk_s = self._world.time()
        worker.room = room

    # Work

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
            self._world.call_later(ALONE_S, self._see_alone, run)

    def _work(self, run: SimRun) -> None:
        now, worker = self._world.time(), run.worker
        run.work_began_s = now
        if self._is_crashing(run):
            after_s = self._rng.uniform(CRASHES_FROM_S, run.plan.crashes_s)
            self._world.call_later(after_s, self._crash, run)
        if now < worker.grey_until:
            self._world.call_later(worker.grey_s, self._fail_here, run)
            return
        run.hung_until = max(now, worker.hangs_until)
        if run.plan.near not in ("", worker.rack):
            run.slowed = FAR_SLOWED
        if run.plan.lasts:
            return
        left_s = max(0.01, run.plan.work_s - run.done_s) * run.slowed
        if run.plan.fails_s and self._will_fail(run):
            left_s = min(left_s, run.plan.fails_s)
        self._world.call_later(run.hung_until - now + left_s, self._see_done, run)

    def _is_crashing(self, run: SimRun) -> bool:
        first = run.task.step == 0 and run.task.occurrence == 0
        return first and run.task.index == run.plan.crashing

    def _crash(self, run: SimRun) -> None:
        """A run crashes its worker."""
        worker = run.worker
        if run.ended_s is not None or run.stopping or not worker.up:
            return
        self.crashed.setdefault(run.task, []).append(self._world.time())
        job_id = run.task.job_id
        self.died_beside += sum(1 for task, _ in worker.runs if task.job_id != job_id)
        self.on_crash(worker)

    def _fail_here(self, run: SimRun) -> None:
        """A run fails by its worker's fault."""
        if not run.stopping and run.ended_s is None:
            run.worker.failed_s = self._world.time()
            self._finish(run, EndKind.FAILED)

    def _see_alone(self, run: SimRun) -> None:
        if run.work_began_s is None and not run.stopping:
            self._finish(run, EndKind.ALONE)

    def _see_done(self, run: SimRun) -> None:
        if run.stopping or run.ended_s is not None:
            return
        self._finish(run, EndKind.FAILED if self._will_fail(run) else EndKind.DONE)

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
        """A run is over; its end is listed soon, until which it counts as running."""
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
                self._list_soon(member, others)

    def _list_soon(self, run: SimRun, how: EndKind) -> None:
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
        saved = f"{self._done(run):.3f}"
        run.ended_s = self._world.time()
        run.how = how
        del worker.runs[(run.task, run.number)]
        worker.highest[run.task] = max(worker.highest.get(run.task, 0), run.number)
        worker.count += 1
        worker.ended.append(EndedTask(worker.count, str(run.task), run.number, how, saved))
        worker.ends[worker.count] = run
        for waiting in list(worker.waiting):
            self._answer(worker, waiting)

    def _done(self, run: SimRun) -> float:
        if run.work_began_s is None:
            return run.done_s
        worked_s = max(0.0, self._world.time() - max(run.work_began_s, run.hung_until))
        return run.done_s + worked_s / run.slowed

    def _percent(self, run: SimRun) -> int:
        if run.plan.lasts:
            return 100
        return min(99, int(100 * self._done(run) / run.plan.work_s))

    def judge(self) -> list[str]:
        """Every broken promise."""
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
