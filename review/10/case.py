"""LOST: a job whose worker crashed once is never started again, though its worker is back."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from standins3.checks import (  # noqa: E402
    CALM_S,
    Standstill,
    copies,
    free,
    is_half_free,
    running,
    runs,
    wait_for,
)
from standins3.deployment import CannotRun, Deployment, main  # noqa: E402
from standins3.workers import GPUS  # noqa: E402

RACK = "r3-1"
SERVING, JOB = "00000000000000aa", "00000000000000bb"
SERVING_GPUS, JOB_GPUS = 5, 4
WORK_MS = 11000
CRASH_AFTER_S = 1.5
DOWN_S = 4.5
WATCHED_S = 50.0


async def case(trouble: bool) -> bool:
    """Seven workers of a rack serve; a job that must run in this rack is on the eighth."""
    async with Deployment(CASE, machines=24) as pool:
        await pool.wait_ready()
        machines = pool.pool.machines.values()
        serving = {
            "count": 7,
            "cpu": 2000,
            "mem-mb": 2000,
            "gpu": SERVING_GPUS,
            "long-running": True,
            "anti-affinity": 1,
            "constraints": RACK,
        }
        spec = json.dumps({"lasts": True, "gpu": SERVING_GPUS})
        if not await pool.submit("normal", SERVING, {"spec": spec, "steps": [serving]}):
            raise CannotRun("the serving job was not accepted")
        await wait_for(lambda: running(machines, SERVING) == 7, 10.0, "nothing serves")
        await asyncio.sleep(CALM_S)

        step = {
            "count": 1,
            "cpu": 4000,
            "mem-mb": 8000,
            "gpu": JOB_GPUS,
            "est-ms": WORK_MS,
            "constraints": RACK,
        }
        spec = json.dumps({"ms": WORK_MS, "gpu": JOB_GPUS})
        if not await pool.submit("normal", JOB, {"spec": spec, "steps": [step]}):
            raise CannotRun("the job was not accepted")
        await wait_for(lambda: running(machines, JOB) == 1, 5.0, "the job did not start")
        await asyncio.sleep(CRASH_AFTER_S)
        if trouble:
            machine = next(machine for machine in machines if runs(machine, JOB))
            machine.crash()
            await asyncio.sleep(DOWN_S)
            await machine.restart()
        return await watch(pool)


async def watch(pool: Deployment) -> bool:
    """LOST: nothing of the job runs for 3 s, though it fits twice and the pool is half free."""
    loop = asyncio.get_running_loop()
    machines = pool.pool.machines.values()
    began_s = loop.time()
    asked_s, state = 0.0, ""
    standstill = Standstill(began_s)
    while loop.time() < began_s + WATCHED_S and state != "completed":
        await asyncio.sleep(0.1)
        now = loop.time()
        if now >= asked_s + 2.0:
            asked_s = now
            _, state = await pool.state("normal", JOB, pool.vms[0])
        stands = state != "completed" and not running(machines, JOB)
        has_room = copies(machines, RACK, JOB_GPUS) >= 2 and is_half_free(machines)
        standstill.note(now, stands=stands and has_room)
    pool.record.say(
        f"the job is {state}; nothing of it ran for {standstill.longest_s:.1f} s of calm, with "
        f"{free(machines)} of {GPUS * len(machines)} accelerators free"
    )
    return not standstill.is_broken


main(case)
