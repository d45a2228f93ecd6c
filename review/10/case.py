"""LOST: a task that lasts and has failed once is not started again for a minute."""

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
    running,
    runs,
    wait_for,
)
from standins3.deployment import CannotRun, Deployment, main  # noqa: E402
from standins3.workers import GPUS  # noqa: E402

RACK = "r3-1"
FULL, JOB = "00000000000000aa", "00000000000000bb"
TASKS, TASK_GPUS = 2, 2
FAILS_AFTER_S = 10.0
SINCE_LAST_RUN_S = 6.0
"""Rule LOST: "from 6 s after its last run"."""
WATCHED_S = 60.0


async def case(trouble: bool) -> bool:
    """Seven workers of a rack are full; two tasks that last are on the eighth, and one fails."""
    async with Deployment(CASE, machines=24) as pool:
        await pool.wait_ready()
        machines = pool.pool.machines.values()
        await hand_in(pool, FULL, 7, GPUS, **{"anti-affinity": 1})
        await wait_for(lambda: running(machines, FULL) == 7, 12.0, "the workers are not full")
        await hand_in(pool, JOB, TASKS, TASK_GPUS)
        await wait_for(lambda: running(machines, JOB) == TASKS, 12.0, "the tasks did not start")
        await asyncio.sleep(FAILS_AFTER_S)
        if trouble:
            machine = next(machine for machine in machines if runs(machine, JOB))
            machine.fail(runs(machine, JOB)[0])
        return await watch(pool)


async def hand_in(pool: Deployment, job: str, count: int, gpus: int, **more: object) -> None:
    """Hand in a job whose tasks last and have to run in the rack."""
    step = {
        "count": count,
        "cpu": 1000,
        "mem-mb": 1000,
        "gpu": gpus,
        "long-running": True,
        "constraints": RACK,
        **more,
    }
    spec = json.dumps({"lasts": True, "gpu": gpus})
    if not await pool.submit("normal", job, {"spec": spec, "steps": [step]}):
        raise CannotRun("a job was not accepted")


async def watch(pool: Deployment) -> bool:
    """LOST: from 6 s after its last run, a task that lasts does not run for 3 s, though it fits."""
    loop = asyncio.get_running_loop()
    machines = pool.pool.machines.values()
    ended_s = loop.time()
    standstill = Standstill(ended_s + SINCE_LAST_RUN_S - CALM_S)
    again_s = None
    while loop.time() < ended_s + WATCHED_S:
        await asyncio.sleep(0.1)
        now = loop.time()
        is_away = running(machines, JOB) < TASKS
        if not is_away and again_s is None:
            again_s = now - ended_s
        standstill.note(now, stands=is_away and copies(machines, RACK, TASK_GPUS) >= 2)
        if again_s is not None and now > ended_s + 10.0:
            break
    _, state = await pool.state("normal", JOB, pool.vms[0])
    back = "not at all" if again_s is None else f"after {again_s:.1f} s"
    pool.record.say(
        f"the job is {state}; all its tasks run again {back}; for {standstill.longest_s:.1f} s one "
        f"was away against the rule, with {free(machines)} of {GPUS * len(machines)} accelerators "
        f"free, {copies(machines, RACK, 1)} of them in its rack"
    )
    return not standstill.is_broken


main(case)
