"""One incarnation of a simulated worker: the orders it receives and the runs it executes.

Nothing is polled: each run, and the lease, has a timer of its own. Every event is passed to a
callback; events that concern gangs are forwarded from there to the gang hub.
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
from saddlestack.soak.lease import Lease, WorkerClock
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

FAIL_AFTER_S = 0.05
"""Time after which a run that is set to fail at once ends."""
MIN_STOP_SHARE = 0.2
"""A stop takes between this share and all of the longest stop time."""
FULL_PACE_PERCENT = 100
WAITING_PERCENT = 99
"""Progress of a member of a gang that has done its work and waits for the others."""

Notify = Callable[[Record | GangMessage], None]
RunKey = tuple[TaskName, int]


@dataclass(frozen=True, slots=True)
class Arrival:
    """When an order arrived, and whether it is carried out late.

    :param at_s: arrival time.
    :param late: the order was left unanswered and is carried out later.
    """

    at_s: float
    late: bool = False


@dataclass(slots=True)
class Run:
    """A run that is present at the worker.

    :param timer: fires when the run ends, has stopped, or has waited too long for its gang.
    :param is_working: false for a member of a gang until the gang is complete.
    :param fails_at_once: the run fails as soon as it starts to work.
    :param pace: percent of full speed.
    """

    name: TaskName
    number: int
    plan: TaskPlan
    progress: Progress
    timer: asyncio.TimerHandle | None = None
    stopping: bool = False
    is_working: bool = True
    fails_at_once: bool = False
    pace: int = FULL_PACE_PERCENT

    @property
    def step(self) -> str:
        """The step that identifies its gang."""
        return step_of(self.name)

    def cancel_timer(self) -> None:
        """Cancel the timer, so that no change happens without an order."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class WorkerIncarnation:
    """One incarnation of a worker; it begins when the object is created.

    :param worker_id: the incarnation name.
    :param notify: called with each event.
    :ivar on_crash: called with a task that crashes the worker.
    :ivar speed: seconds of work per second.
    :ivar fails_new_runs: whether runs that start now fail at once.
    :ivar accelerators: the current number of accelerators.
    :ivar enforces_capacity: whether runs that do not fit are refused.
    :ivar has_ended: whether the incarnation has ended.
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
        self._notify = notify
        self._clock = WorkerClock(rng)
        self._lease = Lease(self._clock, times.lease_s, self._on_lease_expired)
        self._ends = EndList()
        self._gangs: dict[tuple[str, int], dict[RunKey, Run]] = {}
        self._highest_number: dict[TaskName, int] = {}
        self._fence = 0
        self.worker_id = worker_id
        self.machine = machine
        self.times = times
        self.runs: dict[RunKey, Run] = {}
        self.on_crash: Callable[[TaskName], None] = _ignore_crash
        self.speed = 1.0
        self.fails_new_runs = False
        self.accelerators = machine.accelerators
        self._reported_accelerators = machine.accelerators
        self.enforces_capacity = True
        self.has_ended = False
        notify(
            LifeBegan(
                worker_id, machine.name, machine.hall, machine.rack, machine.accelerators, _now()
            )
        )

    def end(self, *, crashed: bool, by: str = "") -> None:
        """End the incarnation and all of its runs.

        :param by: the task that crashed it, or empty.
        """
        self.has_ended = True
        runs = list(self.runs.values())
        self.runs.clear()
        self._gangs.clear()
        for run in runs:
            run.cancel_timer()
            if run.plan.gang:
                self._notify_member_gone(run)
        self._lease.cancel()
        self._ends.wake()
        self._notify(LifeEnded(self.worker_id, _now(), crashed, by))

    def clock_ms(self) -> int:
        """The worker's monotonic clock in milliseconds."""
        return int(self._clock.ms())

    def start(self, order: StartOrder, arrival: Arrival) -> StartReply:
        """Start a run, or refuse it. A run that is already present is confirmed."""
        refusal = self._check_lease(order)
        if refusal is None and not self._is_present(order):
            refusal = self._check_run(order)
            if refusal is None:
                self._begin_run(order, arrival)
        return StartReply(self.clock_ms(), refusal)

    def _check_lease(self, order: StartOrder) -> Refusal | None:
        """Extend the lease by an order, or return why the order is refused."""
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

    def _check_run(self, order: StartOrder) -> Refusal | None:
        if order.run <= self._highest_number.get(TaskName.parse(order.task), 0):
            return Refusal.STALE
        if self.enforces_capacity and not _needs(_plan(order)).fits(self._free):
            return Refusal.CAPACITY
        return None

    def _begin_run(self, order: StartOrder, arrival: Arrival) -> None:
        name = TaskName.parse(order.task)
        plan = _plan(order)
        work_s = math.inf if plan.lasts else plan.work_s
        progress = Progress(work_s, float(order.saved or 0.0))
        run = Run(name, order.run, plan, progress, fails_at_once=self.fails_new_runs)
        self.runs[(name, order.run)] = run
        self._notify(
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
            asyncio.get_running_loop().call_later(plan.crashes_s, self._crash_worker, run)
        if plan.gang:
            self._wait_for_gang(run, restored=bool(order.saved))
        else:
            self._resume_work(run, _now() + (self.times.restore_s if order.saved else 0.0))

    def _crash_worker(self, run: Run) -> None:
        """Crash the worker, unless the run has ended or is being stopped."""
        if self.runs.get((run.name, run.number)) is run and not run.stopping:
            self.on_crash(run.name)

    def stop(self, task: str, number: int, fence: int, arrival: Arrival) -> None:
        """Stop a run; a run that has not arrived yet is refused when it does.

        :raises WorkerFenced: a higher token was seen.
        """
        self._lease.check()
        self._check_fence(fence)
        name = TaskName.parse(task)
        self._highest_number[name] = max(self._highest_number.get(name, 0), number)
        run = self.runs.get((name, number))
        if run is None or run.stopping:
            return
        run.stopping = True
        stop_s = self.times.stop_s * self._rng.uniform(MIN_STOP_SHARE, 1.0)
        self._notify(
            RunStopping(self.worker_id, task, number, fence, arrival.at_s, _now(), arrival.late)
        )
        self._schedule_end(run, _now() + stop_s, EndKind.STOPPED)

    def pace(self, task: str, number: int, percent: int, fence: int) -> None:
        """Set the pace of a run in percent of full speed.

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
        """Renew the lease, drop acknowledged ends, wait for an end, and report.

        :param seen: ends up to this number are acknowledged.
        :raises WorkerFenced: a higher token was seen.
        :raises WorkerUnreachable: the incarnation ended meanwhile.
        """
        self._lease.check()
        self._check_fence(fence)
        self._acknowledge_ends(seen)
        if deadline_ms is not None:
            self._lease.extend(deadline_ms)
        await self._ends.wait(wait_s)
        if self.has_ended:
            raise WorkerUnreachable("the worker incarnation has ended")
        now = _now()
        running = tuple(self._running_task(run, now) for run in self.runs.values())
        return WorkerReport(self.clock_ms(), running, self._ends.rows())

    def set_speed(self, speed: float) -> None:
        """Set the speed of all runs, in seconds of work per second."""
        self.speed = speed
        for run in self.runs.values():
            self._set_rate(run)

    def resize(self, accelerators: int) -> None:
        """Change the number of accelerators and stop enforcing capacity."""
        has_grown = accelerators > self.accelerators
        self.accelerators = accelerators
        self.enforces_capacity = False
        if has_grown:
            self._notify_resized()

    def on_record_written(self, accelerators: int) -> None:
        """Handle that the store has accepted a record with this many accelerators."""
        if accelerators == self.accelerators != self._reported_accelerators:
            self._notify_resized()

    def _notify_resized(self) -> None:
        self._reported_accelerators = self.accelerators
        self._notify(LifeResized(self.worker_id, _now(), self.accelerators))

    def gang_moved(self, moved: GangMoved) -> None:
        """Handle that a gang became complete or that a member changed its rate."""
        runs = self._gangs.get((moved.step, moved.run), {})
        for member in moved.members:
            run = runs.get((TaskName.parse(member.task), moved.run))
            if member.worker != self.worker_id or run is None or run.stopping:
                continue
            if not run.is_working:
                run.is_working = True
                run.cancel_timer()
                self._notify(RunWorks(self.worker_id, str(run.name), run.number, moved.whole_s))
                if run.fails_at_once:
                    self._schedule_end(run, _now() + FAIL_AFTER_S, EndKind.FAILED)
            run.progress = Progress(run.progress.work_s, member.done_s, member.rate, member.at_s)

    def gang_ended(self, ended: GangEnded) -> None:
        """Handle the end of a gang that was complete."""
        self._lease.check()
        runs = self._gangs.get((ended.step, ended.run), {}).values()
        members = [run for run in runs if (self.worker_id, str(run.name)) in ended.members]
        for run in members:
            failed = ended.failed == str(run.name)
            self._finish(run, EndKind.FAILED if failed else EndKind(ended.how))

    def _wait_for_gang(self, run: Run, *, restored: bool) -> None:
        run.is_working = False
        self._gangs.setdefault((run.step, run.number), {})[(run.name, run.number)] = run
        self._schedule_end(run, _now() + self.times.gang_wait_s, EndKind.ALONE)
        self._notify(
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

    @property
    def _free(self) -> Resources:
        machine = self.machine
        free = Resources(machine.cpu, machine.memory_mb, self.accelerators)
        for run in self.runs.values():
            free -= _needs(run.plan)
        return free

    def _rate(self, run: Run) -> float:
        return self.speed * run.pace / FULL_PACE_PERCENT

    def _resume_work(self, run: Run, at_s: float) -> None:
        """Continue a run outside a gang at its current rate."""
        run.progress.set_rate(self._rate(run), at_s)
        if run.fails_at_once:
            self._schedule_end(run, _now() + FAIL_AFTER_S, EndKind.FAILED)
            return
        how = EndKind.FAILED if run.number <= run.plan.failures else EndKind.DONE
        self._schedule_end(run, run.progress.ends_s, how)

    def _set_rate(self, run: Run) -> None:
        if run.stopping:
            return
        if run.plan.gang:
            self._notify(
                MemberPaced(self.worker_id, run.step, run.number, str(run.name), self._rate(run))
            )
        elif run.is_working:
            self._resume_work(run, _now())

    def _schedule_end(self, run: Run, at_s: float, how: EndKind) -> None:
        """Schedule the end of a run, in place of what was scheduled for it."""
        run.cancel_timer()
        if at_s < math.inf:
            loop = asyncio.get_running_loop()
            run.timer = loop.call_at(at_s, self._on_timer, run, how)

    def _on_timer(self, run: Run, how: EndKind) -> None:
        """End a run whose timer fired; a lease that has expired takes precedence."""
        if not self._lease.check():
            self._end_run(run, how)

    def _end_run(self, run: Run, how: EndKind) -> None:
        """End a run on its own, and report a gang member as gone."""
        self._finish(run, how)
        if run.plan.gang:
            self._notify_member_gone(run)

    def _notify_member_gone(self, run: Run) -> None:
        self._notify(MemberGone(self.worker_id, run.step, run.number, str(run.name)))

    def _on_lease_expired(self) -> None:
        """End all runs since the lease has expired."""
        while self.runs:
            self._end_run(next(iter(self.runs.values())), EndKind.LAPSED)

    def _finish(self, run: Run, how: EndKind) -> None:
        now = _now()
        run.cancel_timer()
        del self.runs[(run.name, run.number)]
        if run.plan.gang:
            self._remove_from_gang(run)
        self._highest_number[run.name] = max(self._highest_number.get(run.name, 0), run.number)
        saved = self._checkpoint_of(run, now, exact=how is EndKind.STOPPED)
        self._notify(RunEnded(self.worker_id, str(run.name), run.number, how.value, now))
        self._ends.add(str(run.name), run.number, how, saved, now)

    def _remove_from_gang(self, run: Run) -> None:
        members = self._gangs.get((run.step, run.number), {})
        members.pop((run.name, run.number), None)
        if not members:
            self._gangs.pop((run.step, run.number), None)

    def _acknowledge_ends(self, seen: int) -> None:
        """Drop ends up to a number and report them as acknowledged."""
        now = _now()
        for end in self._ends.acknowledge(seen):
            lapsed = self._lease.expired_s >= end.at_s
            row = end.row
            self._notify(EndNoted(self.worker_id, row.task, row.run, self._fence, now, lapsed))

    def _running_task(self, run: Run, now: float) -> RunningTask:
        percent = FULL_PACE_PERCENT if run.plan.lasts else self._percent_done(run, now)
        return RunningTask(str(run.name), run.number, self._checkpoint_of(run, now), percent)

    def _percent_done(self, run: Run, now: float) -> int:
        percent = int(100 * run.progress.at(now) / run.plan.work_s)
        return min(percent, WAITING_PERCENT) if run.plan.gang else percent

    def _checkpoint_of(self, run: Run, now: float, *, exact: bool = False) -> str:
        """The saved work: whole checkpoints, or all of it (``exact``); empty for none."""
        done_s = run.progress.at(now)
        if not exact:
            done_s -= done_s % self.times.checkpoint_s
        return f"{done_s:.3f}" if done_s > 0 else ""


def _ignore_crash(task: TaskName) -> None:
    """Ignore the crash where no machine handles it."""


def step_of(task: TaskName) -> str:
    """Return the name of a task's step, which identifies its gang."""
    return f"{task.job_id}.{task.occurrence}.{task.step}"


def _plan(order: StartOrder) -> TaskPlan:
    return msgspec.json.decode(order.payload, type=TaskPlan)


def _needs(plan: TaskPlan) -> Resources:
    return Resources(plan.cpu, plan.memory_mb, plan.room)


def _now() -> float:
    return asyncio.get_running_loop().time()
