"""Case 5: a lasting task that has failed on every worker that has room."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from deployment import CannotRun, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 4
NEEDS = {"cpu": 16000, "mem-mb": 64000, "gpu": 8}
FAILS_MS = [3000, 3000, 3000]
"""Task 1 fails three times, as a lasting task may at any time, and would work from then on."""
PLAYED_S = 60.0
ALLOWED_S = 20.0
"""The rule allows 6 s from the end of the last run, and 3 s without a run; this is twice that."""


async def play(deployment) -> list[str]:
    await deployment.start(daemons=2, workers=WORKERS, capacity=(32000, 131072, 8))
    spec = {"needs": [16000, 64000, 8], "start_ms": 300, "stop_ms": 100}
    if TROUBLE:
        spec["fails"] = {"0.0.1": FAILS_MS}
    job = await deployment.submit("lasting", spec, [{"count": 2, **NEEDS, "long-running": True}])
    began_s = time.monotonic()
    waiting_s = 0.0
    while time.monotonic() - began_s < PLAYED_S:
        await asyncio.sleep(0.5)
        last = {run.task.rpartition(".")[2]: run for run in deployment.runs_of(job)}
        if set(last) != {"0", "1"}:
            if time.monotonic() - began_s > 10:
                raise CannotRun("the tasks did not start")
            continue
        waits = [run for run in last.values() if run.ended]
        waiting_s = max((time.monotonic() - run.ended_s for run in waits), default=0.0)
        if waiting_s > ALLOWED_S:
            break
    await deployment.state("lasting", job)
    free = sum(worker.up and not worker.runs for worker in deployment.pool.workers.values())
    deployment.pool.log("end", waiting_s=round(waiting_s, 1), free_workers=free, workers=WORKERS)
    if waiting_s > ALLOWED_S and free >= 2:
        run = next(iter(waits))
        return [
            f"LOST: task {run.task} lasts, its run {run.number} ended ({run.ended}) "
            f"{waiting_s:.1f} s ago and no other has begun; {free} of {WORKERS} workers are empty, "
            "and each of them has room for it"
        ]
    return []


if __name__ == "__main__":
    sys.exit(run_case(play, HERE / "record.txt", {"lasting": {"priority": 1}}))
