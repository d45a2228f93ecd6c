"""Faults of workers: commands to the processes that play them."""

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

FEW_SHARE = (0.02, 0.08)
MANY_SHARE = (0.05, 0.2)
CALL_SHARE = (0.2, 1.0)
LATE_S = (1.0, 4.0)
LATEST_S = (4.0, 14.0)
BACK_S = (0.3, 4.0)
SOON_BACK_S = (0.0, 0.5)
"""A worker that starts again at once is back before its leader has missed it."""
CUT_OFF_SHARE = 0.5


class WorkerFaults:
    """Plays what befalls workers."""

    def __init__(self, hosts: WorkerHosts, times: ShapeTimes) -> None:
        self._hosts = hosts
        self._times = times

    @property
    def actions(self) -> dict[FaultKind, FaultAction]:
        """What plays each kind."""
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
        """End all troubles, and bring back what has left."""
        await self._hosts.send(Heal(machines=tuple(each.name for each in self._hosts.machines)))

    async def _late_orders(self, fault: Fault, rng: random.Random) -> None:
        command = DelayOrders(
            machines=self._some(MANY_SHARE, rng),
            seconds=fault.seconds,
            calls=_calls(rng),
            share=rng.uniform(*CALL_SHARE),
            least_s=rng.uniform(*LATE_S),
            longest_s=rng.uniform(*LATEST_S),
        )
        await self._send(fault, command)

    async def _lost_answers(self, fault: Fault, rng: random.Random) -> None:
        command = LoseAnswers(
            machines=self._some(MANY_SHARE, rng),
            seconds=fault.seconds,
            calls=_calls(rng),
            share=rng.uniform(*CALL_SHARE),
        )
        await self._send(fault, command)

    async def _drain(self, fault: Fault, rng: random.Random) -> None:
        command = Leave(
            machines=self._some(MANY_SHARE, rng),
            notice_s=self._times.drain_s,
            linger_s=self._linger_s(rng),
            back_s=rng.uniform(*BACK_S),
        )
        await self._send(fault, command)

    async def _short_notice(self, fault: Fault, rng: random.Random) -> None:
        command = Leave(
            machines=self._some(MANY_SHARE, rng),
            notice_s=self._times.notice_s,
            linger_s=self._linger_s(rng) if rng.random() < 0.5 else 0.0,
            back_s=rng.uniform(*BACK_S),
        )
        await self._send(fault, command)

    async def _leave(self, fault: Fault, rng: random.Random) -> None:
        """Workers leave without any notice; some serve on after their record has gone."""
        command = Leave(
            machines=self._some(FEW_SHARE, rng),
            announced=False,
            notice_s=0.0,
            linger_s=self._linger_s(rng) if rng.random() < 0.5 else 0.0,
            back_s=rng.uniform(*BACK_S),
        )
        await self._send(fault, command)

    async def _lapse(self, fault: Fault, rng: random.Random) -> None:
        """Workers' records lapse, since the store does not hear them for long; they serve on."""
        seconds = 3 * self._times.heartbeat_s + fault.seconds
        command = CutFromStore(machines=self._some(FEW_SHARE, rng), seconds=seconds)
        await self._send(fault, command)

    async def _cut_from_store(self, fault: Fault, rng: random.Random) -> None:
        command = CutFromStore(machines=self._some(MANY_SHARE, rng), seconds=fault.seconds)
        await self._send(fault, command)

    async def _crash(self, fault: Fault, rng: random.Random) -> None:
        command = Crash(
            machines=self._some(FEW_SHARE, rng),
            removed=rng.random() < 0.5,
            back_s=rng.uniform(*BACK_S),
        )
        await self._send(fault, command)

    async def _restart(self, fault: Fault, rng: random.Random) -> None:
        """Workers start again, most of them at once, some of them twice."""
        machines = self._some(MANY_SHARE, rng)
        back_s = SOON_BACK_S if rng.random() < 0.7 else BACK_S
        for _ in range(rng.choice((1, 1, 2))):
            crash = Crash(
                machines=machines, removed=rng.random() < 0.2, back_s=rng.uniform(*back_s)
            )
            await self._send(fault, crash)
            await asyncio.sleep(rng.uniform(0.5, 2.0))

    async def _shrink(self, fault: Fault, rng: random.Random) -> None:
        """Workers have less room for a while, and guard none."""
        machines = self._some(MANY_SHARE, rng)
        full = self._hosts.machines[0].accelerators
        shrunk = Resize(machines=machines, accelerators=rng.randint(1, max(1, full - 1)))
        await self._send(fault, shrunk)
        await asyncio.sleep(fault.seconds)
        await self._send(fault, Resize(machines=machines, accelerators=full))

    async def _rewrite(self, fault: Fault, rng: random.Random) -> None:
        """Another writer changes some workers' records, again and again."""
        machines = self._some(MANY_SHARE, rng)
        for _ in range(rng.choice((1, 2, 4))):
            how = rng.choice(list(RecordCorruption))
            await self._send(fault, RewriteRecord(machines=machines, how=how))
            await asyncio.sleep(rng.uniform(0.1, 1.0))

    async def _crash_cut(self, fault: Fault, rng: random.Random) -> None:
        """Workers that are cut off crash meanwhile: nobody sees when."""
        machines = self._some(FEW_SHARE, rng)
        await self._send(fault, CutFromVms(machines=machines, seconds=fault.seconds))
        await asyncio.sleep(fault.seconds * rng.random())
        back_s = rng.uniform(*BACK_S)
        await self._send(fault, Crash(machines=machines, silent=True, back_s=back_s))

    async def _hang(self, fault: Fault, rng: random.Random) -> None:
        command = Hang(
            machines=self._some(MANY_SHARE, rng),
            seconds=fault.seconds,
            share=rng.uniform(*CALL_SHARE),
        )
        await self._send(fault, command)

    async def _errors(self, fault: Fault, rng: random.Random) -> None:
        command = AnswerErrors(
            machines=self._some(FEW_SHARE, rng),
            seconds=fault.seconds,
            answer=rng.choice(list(ErrorAnswer)),
            share=rng.uniform(*CALL_SHARE),
        )
        await self._send(fault, command)

    async def _tasks(self, fault: Fault, rng: random.Random) -> None:
        """Tasks stand still or are slow."""
        command = TroubleTasks(
            machines=self._some(FEW_SHARE, rng),
            seconds=fault.seconds,
            how=rng.choice((TaskFault.STUCK, TaskFault.SLOW)),
        )
        await self._send(fault, command)

    async def _fail_tasks(self, fault: Fault, rng: random.Random) -> None:
        """Workers fail all that they start."""
        command = TroubleTasks(
            machines=self._some(FEW_SHARE, rng), seconds=fault.seconds, how=TaskFault.FAIL
        )
        await self._send(fault, command)

    async def _cut_from_vms(self, fault: Fault, rng: random.Random) -> None:
        """Workers run on that the VMs do not reach; about half of them reach nobody at all."""
        machines = self._some(MANY_SHARE, rng)
        command: Command = CutFromVms(
            machines=machines, seconds=fault.seconds, way=rng.choice(list(CutDirection))
        )
        if rng.random() < CUT_OFF_SHARE:
            command = CutOff(machines=machines, seconds=fault.seconds)
        await self._send(fault, command)

    async def _send(self, fault: Fault, command: Command) -> None:
        fault.on = " ".join(command.machines)
        fault.detail = f"{fault.detail} {_without_machines(command)}".strip()
        await self._hosts.send(command)

    def _some(self, share: tuple[float, float], rng: random.Random) -> tuple[str, ...]:
        names = [machine.name for machine in self._hosts.machines]
        return tuple(sorted(rng.sample(names, max(1, round(rng.uniform(*share) * len(names))))))

    def _linger_s(self, rng: random.Random) -> float:
        return rng.uniform(0.0, self._times.linger_s)


def _calls(rng: random.Random) -> tuple[CallKind, ...]:
    """All kinds of calls, or one of them."""
    if rng.random() < 0.5:
        return tuple(CallKind)
    return (rng.choice(list(CallKind)),)


def _without_machines(command: Command) -> str:
    """What a command does, in short."""
    fields = (
        f"{name}={getattr(command, name)}"
        for name in command.__struct_fields__
        if name != "machines"
    )
    return f"{type(command).__name__}({', '.join(fields)})"
