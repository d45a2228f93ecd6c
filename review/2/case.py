"""A job whose workers are cut off, one after the other, is shown as failed though nothing failed.

Exit code 1: an accepted job that nobody cancelled is shown as `failed` although no run of it ended
`failed` and no worker crashed (rule LOST).
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import TROUBLE, Site, play  # noqa: E402

JOB = "7d10a2b94c55e301"
WORK_S = 9.0
CUT_AFTER_S = 0.4
CUT_FOR_S = 11.0
MAX_CUTS = 5


async def scenario(site: Site) -> int:
    await site.start(vms=3, machines=12)
    vm = site.leader
    body = {
        "spec": json.dumps({"work_s": WORK_S, "gpu": 8}),
        "steps": [{"count": 1, "cpu": 3700, "mem-mb": 11000, "gpu": 8, "est-ms": int(WORK_S * 1000)}],
    }
    status, _ = await site.call(vm, "POST", f"/normal/{JOB}", body)
    if status != 200:
        return 2
    cuts = 0
    handled = 0
    heals: list[asyncio.Task] = []
    deadline = site.record.now() + 75
    state = ""
    while site.record.now() < deadline:
        await asyncio.sleep(0.1)
        if TROUBLE and cuts < MAX_CUTS and len(site.pool.starts) > handled:
            handled = len(site.pool.starts)
            wid = site.pool.starts[-1][1]
            worker = next(each for each in site.pool.workers.values() if each.wid == wid)
            await asyncio.sleep(CUT_AFTER_S)
            worker.cut()
            cuts += 1
            heals.append(asyncio.create_task(heal(worker)))
        if int(site.record.now() * 10) % 10 == 0:
            state = await show(site, vm)
            if state in {"failed", "completed", "cancelled"}:
                break
    for task in heals:
        task.cancel()
    return judge(site, state)


async def heal(worker) -> None:
    await asyncio.sleep(CUT_FOR_S)
    worker.heal()


async def show(site: Site, vm: str) -> str:
    status, text = await site.call(vm, "GET", f"/normal/{JOB}")
    return json.loads(text)["state"] if status == 200 else str(status)


def judge(site: Site, state: str) -> int:
    """LOST: the job is shown as failed without cause; only ends `failed` count as attempts."""
    failed = [each for each in site.pool.ends if each[4] == "failed"]
    site.record.line(
        f"starts {len(site.pool.starts)}, ends {[each[4] for each in site.pool.ends]}, "
        f"workers crashed 0, state {state}"
    )
    if state == "failed" and not failed:
        site.record.line("LOST is broken: the job is shown as failed, and no run of it failed")
        return 1
    return 0 if state == "completed" else 2


if __name__ == "__main__":
    sys.exit(asyncio.run(play(Path(__file__).with_name("record.txt"), scenario)))
