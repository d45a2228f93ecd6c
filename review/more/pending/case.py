"""After a change of leader, jobs that have not begun are no longer counted as pending.

Exit code 1: of the accepted jobs that have not begun and were accepted over visible-ms + 2 s
before, an entry VM in touch gives under half as `pending` (rule MIXED).
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from standins import TROUBLE, Site, play  # noqa: E402

BLOCKER = "1f00a2b94c55e3aa"
JOBS = ("2a10a2b94c55e301", "2b10a2b94c55e302", "2c10a2b94c55e303")
MACHINES = 12
UNHEALTHY = 2
VISIBLE_S = 3.0
CONTACT_S = 3.0


def job(count: int, work_s: float) -> dict:
    return {
        "spec": json.dumps({"work_s": work_s, "gpu": 8}),
        "steps": [
            {"count": count, "cpu": 3700, "mem-mb": 11000, "gpu": 8, "est-ms": int(work_s * 1000)}
        ],
    }


async def scenario(site: Site) -> int:
    await site.start(vms=3, machines=MACHINES)
    leader = site.leader
    vms = [name for name in site.daemons if name != leader]
    blocked = MACHINES - UNHEALTHY
    await site.call(vms[0], "POST", f"/urgent/{BLOCKER}", job(blocked, 60.0))
    if not await site.until(lambda: len(site.pool.starts) == blocked, 10):
        return 2
    if TROUBLE:
        for worker in site.pool.workers.values():
            worker.is_unhealthy = not worker.runs
    accepted: dict[str, float] = {}
    for job_id in JOBS:
        status, _ = await site.call(vms[0], "POST", f"/urgent/{job_id}", job(1, 30.0))
        if status != 200:
            return 2
        accepted[job_id] = site.record.now()
    await asyncio.sleep(1.0)
    await show(site, vms, accepted)
    if TROUBLE:
        site.record.line(f"SIGKILL to {leader}")
        await site.daemons[leader].end()
        await asyncio.sleep(1.0)
        await site.daemons[leader].start()
    # The other entry VMs are not disturbed at all; the new leader has had time to load the jobs.
    await asyncio.sleep(VISIBLE_S + 2.0 + 1.0)
    broken = await show(site, vms, accepted)
    for worker in site.pool.workers.values():
        worker.is_unhealthy = False
    return 1 if broken else 0


async def show(site: Site, vms: list[str], accepted: dict[str, float]) -> bool:
    """Ask each undisturbed VM for the pending jobs of the queue; whether the rule is broken."""
    broken = False
    for vm in vms:
        asked = site.record.now()
        status, text = await site.call(vm, "GET", "/urgent/")
        if status != 200:
            continue
        pending = json.loads(text)["pending"]
        begun = {name.partition(".")[0] for _, _, name, _ in site.pool.starts}
        due = [
            job_id
            for job_id, when in accepted.items()
            if job_id not in begun and asked - when > VISIBLE_S + 2.0
        ]
        site.record.line(f"{vm} gives pending={pending}; accepted in time and not begun: {due}")
        if due and pending < len(due) / 2:
            site.record.line(f"MIXED is broken: {vm} gives {pending} of {len(due)} as pending")
            broken = True
    for job_id in accepted:
        await site.call(vms[0], "GET", f"/urgent/{job_id}")
    return broken


if __name__ == "__main__":
    sys.exit(asyncio.run(play(Path(__file__).with_name("record.txt"), scenario)))
