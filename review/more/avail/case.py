"""A wave of upkeep stops more tasks of a lasting step at once than the step's `may-miss`.

Exit code 1: a stop or an upkeep ends a task that is at work on a sound worker that isn't draining,
while `may-miss` others of its step are away (rule AVAIL).
"""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent.parent))

from standins import TROUBLE, Site, play  # noqa: E402

JOB = "4d55a2b94c55e3c8"
MAY_MISS = 1


async def scenario(site: Site) -> int:
    await site.start(vms=3, machines=8)
    body = {
        "spec": json.dumps({"lasts": True, "gpu": 8}),
        "steps": [
            {"count": 2, "cpu": 3700, "mem-mb": 11000, "gpu": 8, "long-running": True,
             "may-miss": MAY_MISS}
        ],
    }
    status, _ = await site.call(site.leader, "POST", f"/normal/{JOB}", body)
    if status != 200 or not await site.until(lambda: len(site.pool.starts) == 2, 5):
        return 2
    await asyncio.sleep(6.0)
    holders = [name for name, worker in site.pool.workers.items() if worker.runs]
    if TROUBLE:
        site.write_wave(1, holders, 20, 2)
    await asyncio.sleep(25.0)
    ends = [each for each in site.pool.ends if each[2].startswith(JOB)]
    for when, _, task, _, how in ends:
        away = [other for other in ends if other[2] != task and 0 <= when - other[0] < 4.5]
        if how == "stopped" and len(away) >= MAY_MISS:
            site.record.line(f"AVAIL is broken: {task} is stopped at {when:.3f}, {away} away")
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(play(Path(__file__).with_name("record.txt"), scenario)))
