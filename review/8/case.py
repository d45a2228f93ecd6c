"""Case 8: an urgent step with anti-affinity that preempts bulk work."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from deployment import run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 6
JOBS = 8
BULK = {"cpu": 16000, "mem-mb": 32000, "gpu": 8}
URGENT = {"cpu": 3700, "mem-mb": 11000, "gpu": 2}
STOP_MS = [100, 250, 400, 550, 700, 850]
"""How long the bulk tasks take to stop; the pages allow up to stop-timeout-ms, 900."""


def _spec(needs: dict, **what) -> dict:
    return {"needs": [needs["cpu"], needs["mem-mb"], needs["gpu"]], **what}


async def play(deployment) -> list[str]:
    broken = []
    limited: set[str] = set()

    def on_start(run) -> None:
        job_id, occurrence, step, _ = run.task.split(".")
        if job_id not in limited:
            return
        held = [
            each
            for each in deployment.pool.runs
            if each.worker == run.worker
            and each.task.split(".")[:3] == [job_id, occurrence, step]
            and not each.ended
        ]
        if len(held) > 1:
            names = ", ".join(f"{each.task} run {each.number}" for each in held)
            broken.append(f"ROUTE: worker {run.worker} holds {names}; anti-affinity is 1")

    deployment.pool.on_start = on_start
    await deployment.start(daemons=2, workers=WORKERS, capacity=(32000, 131072, 8))
    if TROUBLE:
        bulk = [{"count": WORKERS, **BULK, "est-ms": 60000}]
        spec = _spec(BULK, work_ms=90000, stop_ms=STOP_MS)
        job = await deployment.submit("bulk", spec, bulk)
        for _ in range(100):
            if len(deployment.runs_of(job)) == WORKERS:
                break
            await asyncio.sleep(0.1)
        await asyncio.sleep(2.0)
    for number in range(JOBS):
        step = {"count": 3, **URGENT, "est-ms": 1500, "anti-affinity": 1}
        spec = _spec(URGENT, work_ms=1500, stop_ms=50)
        job = await deployment.submit("urgent", spec, [step], daemon=number)
        limited.add(job)
        for run in deployment.runs_of(job):
            on_start(run)
        for _ in range(40):
            if await deployment.state("urgent", job) == "completed":
                break
            await asyncio.sleep(0.25)
        # Bulk work takes the room again before the next urgent job comes.
        await asyncio.sleep(4.0)
    return broken


if __name__ == "__main__":
    sys.exit(run_case(play, HERE / "record.txt", {"urgent": {"priority": 0}, "bulk": {"priority": 2}}))
