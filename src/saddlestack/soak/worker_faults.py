"""Faults of workers: commands to the processes that simulate them."""

from __future__ import annotations

import asyncio
import random

from saddlestack.soak.faults import Fault, FaultAction
from saddlestack.soak.hosts import WorkerHosts
from saddlestack.soak.messages import (
    AnswerErrors,
    CallKind,
    Command,
    Crash,
    CutDirection,
    CutFromStore,
    CutFromVms,
    CutOff,
    DelayOrders,
    ErrorAnswer,
    Hang,
    Heal,
    Leave,
    LoseAnswers,
    RecordCorruption,
    Resize,
    RewriteRecord,
    TaskFault,
    TroubleTasks,
)
from saddlestack.soak.shape import FaultKind, ShapeTimes

SMALL_SHARE = (0.02, 0.08)
LARGE_SHARE = (0.05, 0.2)
CALL_SHARE = (0.2, 1.0)
MIN_ORDER_DELAY_S = (1.0, 4.0)
MAX_ORDER_DELAY_S = (4.0, 14.0)
RESTART_DELAY_S = (0.3, 4.0)
QUICK_RESTART_S = (0.0, 0.5)
"""A worker that restarts this quickly is back before the leader notices that it was gone."""
FULL_CUT_SHARE = 0.5


class WorkerFaults:
    """Injects faults of workers."""

    def __init__(self, hosts: WorkerHosts, times: ShapeTimes) -> None:
        self._hosts = hosts
        self._times = times

    @property
    def actions(self) -> dict[FaultKind, FaultAction]:
        """The action that injects each kind of fault."""
        return {
            FaultKind.WORKER_LATE_ORDERS: self._late_orders,
            FaultKind.WORKER_LOST_ANSWERS: self._lost_answers,
            FaultKind.WORKER_DRAIN: self._drain,
            FaultKind.WORKER_SHORT_NOTICE: self._short_notice,
            FaultKind.WORKER_LEAVES: self._leave,
            FaultKind.WORKER_LAPSE: self._lapse,
            FaultKind.WORKER_CRASH: self._crash,
            FaultKind.WORKER_CRASH_CUT: self._crash_cut,
            FaultKind.WORKER_RESTART: self._restart,
            FaultKind.WORKER_SHRINKS: self._shrink,
            FaultKind.WORKER_REWRITTEN: self._rewrite,
            FaultKind.WORKER_HANG: self._hang,
            FaultKind.WORKER_ERRORS: self._errors,
            FaultKind.WORKER_TASKS: self._tasks,
            FaultKind.WORKER_FAILS: self._fail_tasks,
            FaultKind.WORKER_STORE_CUT: self._cut_from_store,
            FaultKind.WORKER_VMS_CUT: self._cut_from_vms,
        }

    async def heal(self) -> None:
        """End all faults, and restart workers that are gone."""
        await self._hosts.send(Heal(machines=tuple(each.name for each in self._hosts.machines)))

    async def _late_orders(self, fault: Fault, rng: random.Random) -> None:
        command = DelayOrders(
            machines=self._draw_machines(LARGE_SHARE, rng),
            seconds=fault.seconds,
            calls=_draw_call_kinds(rng),
            share=rng.uniform(*CALL_SHARE),
            least_s=rng.uniform(*MIN_ORDER_DELAY_S),
            longest_s=rng.uniform(*MAX_ORDER_DELAY_S),
        )
        await self._send(fault, command)

    async def _lost_answers(self, fault: Fault, rng: random.Random) -> None:
        command = LoseAnswers(
            machines=self._draw_machines(LARGE_SHARE, rng),
            seconds=fault.seconds,
            calls=_draw_call_kinds(rng),
            share=rng.uniform(*CALL_SHARE),
        )
        await self._send(fault, command)

    async def _drain(self, fault: Fault, rng: random.Random) -> None:
        command = Leave(
            machines=self._draw_machines(LARGE_SHARE, rng),
            notice_s=self._times.drain_s,
            linger_s=self._linger_s(rng),
            back_s=rng.uniform(*RESTART_DELAY_S),
        )
        await self._send(fault, command)

    async def _short_notice(self, fault: Fault, rng: random.Random) -> None:
        command = Leave(
            machines=self._draw_machines(LARGE_SHARE, rng),
            notice_s=self._times.notice_s,
            linger_s=self._linger_s(rng) if rng.random() < 0.5 else 0.0,
            back_s=rng.uniform(*RESTART_DELAY_S),
        )
        await self._send(fault, command)

    async def _leave(self, fault: Fault, rng: random.Random) -> None:
        """Shut workers down without notice; some still serve after their record is removed."""
        command = Leave(
            machines=self._draw_machines(SMALL_SHARE, rng),
            announced=False,
            notice_s=0.0,
            linger_s=self._linger_s(rng) if rng.random() < 0.5 else 0.0,
            back_s=rng.uniform(*RESTART_DELAY_S),
        )
        await self._send(fault, command)

    async def _lapse(self, fault: Fault, rng: random.Random) -> None:
        """Cut workers from the store until their records expire; they continue to serve."""
        seconds = 3 * self._times.heartbeat_s + fault.seconds
        command = CutFromStore(machines=self._draw_machines(SMALL_SHARE, rng), seconds=seconds)
        await self._send(fault, command)

    async def _cut_from_store(self, fault: Fault, rng: random.Random) -> None:
        command = CutFromStore(
            machines=self._draw_machines(LARGE_SHARE, rng), seconds=fault.seconds
        )
        await self._send(fault, command)

    async def _crash(self, fault: Fault, rng: random.Random) -> None:
        command = Crash(
            machines=self._draw_machines(SMALL_SHARE, rng),
            removed=rng.random() < 0.5,
            back_s=rng.uniform(*RESTART_DELAY_S),
        )
        await self._send(fault, command)

    async def _restart(self, fault: Fault, rng: random.Random) -> None:
        """Restart workers, mostly at once, and sometimes twice."""
        machines = self._draw_machines(LARGE_SHARE, rng)
        back_s = QUICK_RESTART_S if rng.random() < 0.7 else RESTART_DELAY_S
        for _ in range(rng.choice((1, 1, 2))):
            crash = Crash(
                machines=machines, removed=rng.random() < 0.2, back_s=rng.uniform(*back_s)
            )
            await self._send(fault, crash)
            await asyncio.sleep(rng.uniform(0.5, 2.0))

    async def _shrink(self, fault: Fault, rng: random.Random) -> None:
        """Reduce workers' accelerators for a while; meanwhile they do not enforce capacity."""
        machines = self._draw_machines(LARGE_SHARE, rng)
        full = self._hosts.machines[0].accelerators
        shrunk = Resize(machines=machines, accelerators=rng.randint(1, max(1, full - 1)))
        await self._send(fault, shrunk)
        await asyncio.sleep(fault.seconds)
        await self._send(fault, Resize(machines=machines, accelerators=full))

    async def _rewrite(self, fault: Fault, rng: random.Random) -> None:
        """Corrupt some workers' records, once or repeatedly."""
        machines = self._draw_machines(LARGE_SHARE, rng)
        for _ in range(rng.choice((1, 2, 4))):
            how = rng.choice(list(RecordCorruption))
            await self._send(fault, RewriteRecord(machines=machines, how=how))
            await asyncio.sleep(rng.uniform(0.1, 1.0))

    async def _crash_cut(self, fault: Fault, rng: random.Random) -> None:
        """Crash workers while they are cut from the VMs, which cannot observe when it happens."""
        machines = self._draw_machines(SMALL_SHARE, rng)
        await self._send(fault, CutFromVms(machines=machines, seconds=fault.seconds))
        await asyncio.sleep(fault.seconds * rng.random())
        back_s = rng.uniform(*RESTART_DELAY_S)
        await self._send(fault, Crash(machines=machines, silent=True, back_s=back_s))

    async def _hang(self, fault: Fault, rng: random.Random) -> None:
        command = Hang(
            machines=self._draw_machines(LARGE_SHARE, rng),
            seconds=fault.seconds,
            share=rng.uniform(*CALL_SHARE),
        )
        await self._send(fault, command)

    async def _errors(self, fault: Fault, rng: random.Random) -> None:
        command = AnswerErrors(
            machines=self._draw_machines(SMALL_SHARE, rng),
            seconds=fault.seconds,
            answer=rng.choice(list(ErrorAnswer)),
            share=rng.uniform(*CALL_SHARE),
        )
        await self._send(fault, command)

    async def _tasks(self, fault: Fault, rng: random.Random) -> None:
        """Make tasks stuck or slow."""
        command = TroubleTasks(
            machines=self._draw_machines(SMALL_SHARE, rng),
            seconds=fault.seconds,
            how=rng.choice((TaskFault.STUCK, TaskFault.SLOW)),
        )
        await self._send(fault, command)

    async def _fail_tasks(self, fault: Fault, rng: random.Random) -> None:
        """Let all runs fail that start at some workers."""
        command = TroubleTasks(
            machines=self._draw_machines(SMALL_SHARE, rng),
            seconds=fault.seconds,
            how=TaskFault.FAIL,
        )
        await self._send(fault, command)

    async def _cut_from_vms(self, fault: Fault, rng: random.Random) -> None:
        """Cut workers from the VMs, and about half of the times from the store, too.

        The workers keep running.
        """
        machines = self._draw_machines(LARGE_SHARE, rng)
        command: Command = CutFromVms(
            machines=machines, seconds=fault.seconds, way=rng.choice(list(CutDirection))
        )
        if rng.random() < FULL_CUT_SHARE:
            command = CutOff(machines=machines, seconds=fault.seconds)
        await self._send(fault, command)

    async def _send(self, fault: Fault, command: Command) -> None:
        fault.on = " ".join(command.machines)
        fault.detail = f"{fault.detail} {_describe(command)}".strip()
        await self._hosts.send(command)

    def _draw_machines(self, share: tuple[float, float], rng: random.Random) -> tuple[str, ...]:
        names = [machine.name for machine in self._hosts.machines]
        return tuple(sorted(rng.sample(names, max(1, round(rng.uniform(*share) * len(names))))))

    def _linger_s(self, rng: random.Random) -> float:
        return rng.uniform(0.0, self._times.linger_s)


def _draw_call_kinds(rng: random.Random) -> tuple[CallKind, ...]:
    """Draw all kinds of calls, or one of them."""
    if rng.random() < 0.5:
        return tuple(CallKind)
    return (rng.choice(list(CallKind)),)


def _describe(command: Command) -> str:
    """Describe a command without the names of its machines."""
    fields = (
        f"{name}={getattr(command, name)}"
        for name in command.__struct_fields__
        if name != "machines"
    )
    return f"{type(command).__name__}({', '.join(fields)})"
