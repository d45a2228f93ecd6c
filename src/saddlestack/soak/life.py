"""One life of a stand-in's worker: its orders, and the runs that they begin and end.

Nothing is polled: each run, and the lease, has a timer of its own. What happens is told to an
observer, and what concerns gangs to their hub.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from saddlestack.interfaces.workers import (
    EndKind,
    Refusal,
    RunningTask,
    StartOrder,
    StartReply,
    WorkerFenced,
    WorkerReport,
    WorkerUnreachable,
)
from saddlestack.soak.ends import EndList
from saddlestack.soak.lease import Lease, SteadyClock
from saddlestack.soak.messages import (
    EndNoted,
    GangEnded,
    GangMessage,
    GangMoved,
    LifeBegan,
    LifeEnded,
    LifeResized,
    MachineSettings,
    MemberGone,
    MemberPaced,
    MemberPresent,
    Record,
    RunBegan,
    RunEnded,
    RunStopping,
    RunWorks,
)
from saddlestack.soak.progress import Progress
from saddlestack.soak.shape import ShapeTimes
from saddlestack.standins.pool.workers import TaskPlan
from saddlestack.work import Resources, TaskName

FAIL_S = 0.05
"""A task that fails at once does so after this time."""
LEAST_STOP_SHARE = 0.2
"""A stop takes from this share of the longest time for a stop to all of it."""
FULL_PACE = 100

Notify = Callable[[Record | GangMessage], None]
RunKey = tuple[TaskName, int]


@dataclass(frozen=True, slots=True)
class Arrival:
    """How an order came to be carried out.

    :param at_s: when it arrived.
    :param late: it was left unanswered and is carried out later.
    """

    at_s: float
    late: bool = False


@dataclass(slots=True)
class Run:
    """A run that is present.

    :param timer: fires at its next change: its end, its stop, or when it has waited too long.
    :param works: whether it works; members of a gang wait until the gang is whole.
    :param fails: it fails as soon as it works.
    """

    name: TaskName
    number: int
    plan: TaskPlan
    progress: Progress
    timer: asyncio.TimerHandle | None = None
    stopping: bool = False
    works: bool = True
    fails: bool = False
    pace: int = FULL_PACE

    @property
    def step(self) -> str:
        """The step that its gang is of."""
        return step_of(self.name)

    def cancel_timer(self) -> None:
        """Nothing changes by itself from now on."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class WorkerIncarnation:
    """One life of a worker, from the moment that it is made.

    :param worker_id: the name of the life.
    :param notify: told of all that happens.
    :ivar on_crash: called with a task that crashes the worker.
    :ivar speed: seconds of work a second.
    :ivar fails_new_runs: tasks that start now fail at once.
    :ivar accelerators: those that it has at present.
    :ivar enforces_capacity: whether it refuses what does not fit.
    :ivar has_ended: whether the life has ended.
    """

    def __init__(
        self,
        worker_id: str,
        machine: MachineSettings,
        times: ShapeTimes,
        rng: random.Random,
        notify: Notify,
    ) -> None:
        self._rng = rng
        self._tell = notify
        self._clock = SteadyClock(rng)
        self._lease = Lease(self._clock, times.lease_s, self._kill_all)
        self._ends = EndList()
        self._gangs: dict[tuple[str, int], dict[RunKey, Run]] = {}
        self._highest: dict[TaskName, int] = {}
        self._fence = 0
        self.worker_id = worker_id
        self.machine = machine
        self.times = times
        self.runs: dict[RunKey, Run] = {}
        self.on_crash: Callable[[TaskName], None] = _ignored
        self.speed = 1.0
        self.fails_new_runs = False
        self.accelerators = machine.accelerators
        self._told_accelerators = machine.accelerators
        self.enforces_capacity = True
        self.has_ended = False
        notify(
            LifeBegan(
                worker_id, machine.name, machine.hall, machine.rack, machine.accelerators, _now()
            )
        )

    def end(self, *, crashed: bool, by: str = "") -> None:
        """The life is over, and all that runs there.

        :param by: the task that crashed it, or empty.
        """
        self.has_ended = True
        runs = list(self.runs.values())
        self.runs.clear()
        self._gangs.clear()
        for run in runs:
            run.cancel_timer()
            if run.plan.gang:
                self._leave_hub(run)
        self._lease.cancel()
        self._ends.wake()
        self._tell(LifeEnded(self.worker_id, _now(), crashed, by))

    def clock_ms(self) -> int:
        """Its steady clock."""
        return int(self._clock.ms())

    # Orders

    def start(self, order: StartOrder, arrival: Arrival) -> StartReply:
        """Start a run."""
        refusal = self._lease_refusal(order)
        if refusal is None and not self._is_present(order):
            refusal = self._run_refusal(order)
            if refusal is None:
                self._begin_run(order, arrival)
        return StartReply(self.clock_ms(), refusal)

    def _lease_refusal(self, order: StartOrder) -> Refusal | None:
        """Why an order is not acted on; otherwise it extends the lease."""
        self._lease.check()
        if order.fence < self._fence:
            return Refusal.FENCED
        self._fence = order.fence
        if order.deadline_ms <= self._clock.ms():
            return Refusal.LATE
        self._lease.extend(order.deadline_ms)
        return None

    def _is_present(self, order: StartOrder) -> bool:
        return (TaskName.parse(order.task), order.run) in self.runs

    def _run_refusal(self, order: StartOrder) -> Refusal | None:
        if order.run <= self._highest.get(TaskName.parse(order.task), 0):
            return Refusal.STALE
        if self.enforces_capacity and not _needs(_plan(order)).fits(self._free):
            return Refusal.CAPACITY
        return None

    def _begin_run(self, order: StartOrder, arrival: Arrival) -> None:
        name = TaskName.parse(order.task)
        plan = _plan(order)
        work_s = math.inf if plan.lasts else plan.work_s
        progress = Progress(work_s, float(order.saved or 0.0))
        run = Run(name, order.run, plan, progress, fails=self.fails_new_runs)
        self.runs[(name, order.run)] = run
        self._tell(
            RunBegan(
                self.worker_id,
                order.task,
                order.run,
                order.fence,
                arrival.at_s,
                _now(),
                arrival.late,
                plan.room,
                plan.gang,
            )
        )
        if plan.crashes(name):
            asyncio.get_running_loop().call_later(plan.crashes_s, self._crash_under, run)
        if plan.gang:
            self._wait_for_gang(run, restored=bool(order.saved))
        else:
            self._work(run, _now() + (self.times.restore_s if order.saved else 0.0))

    def _crash_under(self, run: Run) -> None:
        """A run crashes the worker, unless it is over or being stopped."""
        if self.runs.get((run.name, run.number)) is run and not run.stopping:
            self.on_crash(run.name)

    def stop(self, task: str, number: int, fence: int, arrival: Arrival) -> None:
        """Stop a run; one that is not there yet will be refused when it comes.

        :raises WorkerFenced: a higher token was seen.
        """
        self._lease.check()
        self._check_fence(fence)
        name = TaskName.parse(task)
        self._highest[name] = max(self._highest.get(name, 0), number)
        run = self.runs.get((name, number))
        if run is None or run.stopping:
            return
        run.stopping = True
        stop_s = self.times.stop_s * self._rng.uniform(LEAST_STOP_SHARE, 1.0)
        self._tell(
            RunStopping(self.worker_id, task, number, fence, arrival.at_s, _now(), arrival.late)
        )
        self._arm(run, _now() + stop_s, EndKind.STOPPED)

    def pace(self, task: str, number: int, percent: int, fence: int) -> None:
        """Let a run work at a share of its speed.

        :raises WorkerFenced: a higher token was seen.
        """
        self._lease.check()
        self._check_fence(fence)
        run = self.runs.get((TaskName.parse(task), number))
        if run is not None:
            run.pace = percent
            self._set_rate(run)

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float
    ) -> WorkerReport:
        """Renew the lease, forget ends, and report.

        :raises WorkerFenced: a higher token was seen.
        :raises WorkerUnreachable: the life ended meanwhile.
        """
        self._lease.check()
        self._check_fence(fence)
        self._forget_ends(seen)
        if deadline_ms is not None:
            self._lease.extend(deadline_ms)
        await self._ends.wait(wait_s)
        if self.has_ended:
            raise WorkerUnreachable("the worker is gone")
        now = _now()
        running = tuple(self._row(run, now) for run in self.runs.values())
        return WorkerReport(self.clock_ms(), running, self._ends.rows())

    # Troubles

    def set_speed(self, speed: float) -> None:
        """Work at another speed from now on."""
        self.speed = speed
        for run in self.runs.values():
            self._set_rate(run)

    def resize(self, accelerators: int) -> None:
        """Have other room from now on, and guard it no longer."""
        grows = accelerators > self.accelerators
        self.accelerators = accelerators
        self.enforces_capacity = False
        if grows:
            self._tell_room()

    def on_record_written(self, accelerators: int) -> None:
        """The store has taken a record that tells of so much room."""
        if accelerators == self.accelerators != self._told_accelerators:
            self._tell_room()

    def _tell_room(self) -> None:
        self._told_accelerators = self.accelerators
        self._tell(LifeResized(self.worker_id, _now(), self.accelerators))

    # Gangs

    def gang_moved(self, moved: GangMoved) -> None:
        """A gang is whole, or works at another rate."""
        for run in self._members(moved):
            if run.stopping:
                continue
            if not run.works:
                run.works = True
                run.cancel_timer()
                self._tell(RunWorks(self.worker_id, str(run.name), run.number, moved.whole_s))
                if run.fails:
                    self._arm(run, _now() + FAIL_S, EndKind.FAILED)
            run.progress = Progress(run.progress.work_s, moved.done_s, moved.rate, moved.at_s)

    def gang_ended(self, ended: GangEnded) -> None:
        """A gang that was whole is over."""
        self._lease.check()
        for run in self._members(ended):
            failed = ended.failed == str(run.name)
            self._finish(run, EndKind.FAILED if failed else EndKind(ended.how))

    def _members(self, message: GangMoved | GangEnded) -> list[Run]:
        """The runs here that a message is about."""
        runs = self._gangs.get((message.step, message.run), {}).values()
        return [run for run in runs if (self.worker_id, str(run.name)) in message.members]

    def _wait_for_gang(self, run: Run, *, restored: bool) -> None:
        run.works = False
        self._gangs.setdefault((run.step, run.number), {})[(run.name, run.number)] = run
        self._arm(run, _now() + self.times.gang_wait_s, EndKind.ALONE)
        self._tell(
            MemberPresent(
                self.worker_id,
                run.step,
                run.number,
                str(run.name),
                run.plan.gang,
                run.progress.work_s,
                run.progress.done_s,
                self.times.restore_s if restored else 0.0,
                run.plan.failures,
                self._rate(run),
                self.machine.rack,
                run.plan.far_x,
            )
        )

    def _check_fence(self, fence: int) -> None:
        if fence < self._fence:
            raise WorkerFenced
        self._fence = fence

    # Work and ends

    @property
    def _free(self) -> Resources:
        where = self.machine
        free = Resources(where.cpu, where.memory_mb, self.accelerators)
        for run in self.runs.values():
            free -= _needs(run.plan)
        return free

    def _rate(self, run: Run) -> float:
        return self.speed * run.pace / FULL_PACE

    def _work(self, run: Run, at_s: float) -> None:
        """Let a run that works alone go on at its present rate."""
        run.progress.go_on(self._rate(run), at_s)
        if run.fails:
            self._arm(run, _now() + FAIL_S, EndKind.FAILED)
            return
        how = EndKind.FAILED if run.number <= run.plan.failures else EndKind.DONE
        self._arm(run, run.progress.ends_s, how)

    def _set_rate(self, run: Run) -> None:
        if run.stopping:
            return
        if run.plan.gang:
            self._tell(
                MemberPaced(self.worker_id, run.step, run.number, str(run.name), self._rate(run))
            )
        elif run.works:
            self._work(run, _now())

    def _arm(self, run: Run, at_s: float, how: EndKind) -> None:
        """Have a run end at some time, unless something else comes first."""
        run.cancel_timer()
        if at_s < math.inf:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_at(at_s, self._due, run, how)

    def _due(self, run: Run, how: EndKind) -> None:
        """A run's time has come; a lease that is over meanwhile goes first."""
        if not self._lease.check():
            self._end_run(run, how)

    def _end_run(self, run: Run, how: EndKind) -> None:
        """A run ends by itself: its gang has to hear of it."""
        self._finish(run, how)
        if run.plan.gang:
            self._leave_hub(run)

    def _leave_hub(self, run: Run) -> None:
        self._tell(MemberGone(self.worker_id, run.step, run.number, str(run.name)))

    def _kill_all(self) -> None:
        """The lease is over."""
        while self.runs:
            self._end_run(next(iter(self.runs.values())), EndKind.LAPSED)

    def _finish(self, run: Run, how: EndKind) -> None:
        now = _now()
        run.cancel_timer()
        del self.runs[(run.name, run.number)]
        if run.plan.gang:
            self._leave_gang(run)
        self._highest[run.name] = max(self._highest.get(run.name, 0), run.number)
        saved = self._saved(run, now, exact=how is EndKind.STOPPED)
        self._tell(RunEnded(self.worker_id, str(run.name), run.number, how.value, now))
        self._ends.add(str(run.name), run.number, how, saved, now)

    def _leave_gang(self, run: Run) -> None:
        members = self._gangs.get((run.step, run.number), {})
        members.pop((run.name, run.number), None)
        if not members:
            self._gangs.pop((run.step, run.number), None)

    def _forget_ends(self, seen: int) -> None:
        """Ends up to a number were acknowledged."""
        now = _now()
        for end in self._ends.forget(seen):
            lapsed = self._lease.lapsed_s >= end.at_s
            row = end.row
            self._tell(EndNoted(self.worker_id, row.task, row.run, self._fence, now, lapsed))

    # Reports

    def _row(self, run: Run, now: float) -> RunningTask:
        percent = FULL_PACE if run.plan.lasts else self._percent(run, now)
        return RunningTask(str(run.name), run.number, self._saved(run, now), percent)

    def _percent(self, run: Run, now: float) -> int:
        return int(100 * run.progress.at(now) / run.plan.work_s)

    def _saved(self, run: Run, now: float, *, exact: bool = False) -> str:
        """The work saved: whole checkpoints, or all of it upon a stop; empty for none."""
        done_s = run.progress.at(now)
        if not exact:
            done_s -= done_s % self.times.checkpoint_s
        return f"{done_s:.3f}" if done_s > 0 else ""


def _ignored(task: TaskName) -> None:
    """Nobody looks after the worker's machine."""


def step_of(task: TaskName) -> str:
    """The step that a task is of, as gangs are named by it."""
    return f"{task.job_id}.{task.occurrence}.{task.step}"


def _plan(order: StartOrder) -> TaskPlan:
    return msgspec.json.decode(order.payload, type=TaskPlan)


def _needs(plan: TaskPlan) -> Resources:
    return Resources(plan.cpu, plan.memory_mb, plan.room)


def _now() -> float:
    return asyncio.get_running_loop().time()
