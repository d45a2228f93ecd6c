"""MIXED: after a change of the leader, jobs that have not begun are no longer given as pending."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins3.checks import running, wait_for  # noqa: E402
from standins3.deployment import CannotRun, Deployment, Vm, main  # noqa: E402
from standins3.workers import GPUS  # noqa: E402

FULL = "00000000000000aa"
JOBS = ["00000000000000b1", "00000000000000b2", "00000000000000b3", "00000000000000b4"]
QUEUE = "urgent"
MACHINES, UNHEALTHY = 24, 2
UNHEALTHY_S = 6.5
TRIES_S = 2.2
"""By then the leader has tried each of the jobs again, 1.5 s after the first refusals."""
VISIBLE_S = 3.0
ACCEPTED_BEFORE_S = VISIBLE_S + 2.0


async def case(trouble: bool) -> bool:
    """Two workers are unhealthy, all others full; four jobs come, and the leader is stopped."""
    async with Deployment(CASE, machines=MACHINES) as pool:
        await pool.wait_ready()
        loop = asyncio.get_running_loop()
        machines = pool.pool.machines.values()
        await hand_in(pool, FULL, MACHINES - UNHEALTHY, GPUS)
        await wait_for(
            lambda: running(machines, FULL) == MACHINES - UNHEALTHY, 20.0, "the pool is not full"
        )
        await asyncio.sleep(1.0)
        idle = [machine for machine in machines if machine.life and not machine.life.runs]
        for machine in idle:
            machine.is_unhealthy = True
        unhealthy_until_s = loop.time() + UNHEALTHY_S
        pool.record.note("worker", "unhealthy", machines=",".join(each.name for each in idle))
        accepted: dict[str, float] = {}
        for job in JOBS:
            await hand_in(pool, job, 1, GPUS // 2)
            accepted[job] = loop.time()
        await asyncio.sleep(TRIES_S)
        stopped = pool.vm(pool.leader)
        others = [vm for vm in pool.vms if vm is not stopped]
        await ask(pool, others[0], accepted)
        if trouble:
            pool.record.note("platform", "SIGTERM", vm=stopped.name)
            stopped.send(signal.SIGTERM)
        await asyncio.sleep(max(0.0, accepted[JOBS[-1]] + ACCEPTED_BEFORE_S + 0.1 - loop.time()))
        held = True
        while loop.time() < unhealthy_until_s - 0.2:
            for vm in others:
                held = await ask(pool, vm, accepted) and held
            await asyncio.sleep(0.2)
        for job in JOBS:
            await pool.state(QUEUE, job, others[0])
        for machine in idle:
            machine.is_unhealthy = False
        return held


async def hand_in(pool: Deployment, job: str, count: int, gpus: int) -> None:
    """Hand in a job of one step without dependencies."""
    step = {"count": count, "cpu": 1000, "mem-mb": 1000, "gpu": gpus, "est-ms": 60_000}
    spec = json.dumps({"ms": 60_000, "gpu": gpus})
    if not await pool.submit(QUEUE, job, {"spec": spec, "steps": [step]}):
        raise CannotRun("a job was not accepted")


async def ask(pool: Deployment, vm: Vm, accepted: dict[str, float]) -> bool:
    """Ask a VM for the pending jobs of the queue; whether MIXED holds."""
    asked_s = asyncio.get_running_loop().time()
    status, value = await vm.call("GET", f"/{QUEUE}/")
    pending = value["pending"] if status == 200 and isinstance(value, dict) else None
    begun = {str(e["task"]).partition(".")[0] for e in pool.record.events if e["who"] == "run"}
    waiting = [job for job in accepted if job not in begun]
    due = [job for job in waiting if asked_s - accepted[job] > ACCEPTED_BEFORE_S]
    pool.record.note(
        "client", "GET queue", vm=vm.name, status=status, pending=pending, not_begun=len(waiting)
    )
    if pending is None or pending >= len(due) / 2:
        return True
    pool.record.say(f"broken: {vm.name} gives {pending} as pending, but {len(due)} have not begun")
    return False


main(case)
