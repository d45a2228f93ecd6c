"""Case 5: a job that runs several times is cancelled after one of its times has failed."""

import asyncio
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from deployment import CannotRun, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
TIMES = 6
INTERVAL_S = 4
CANCEL_S = 3.0
"""``cancel_ms``: a task that starts later than this after the acknowledgement counts."""
NEEDS = {"cpu": 2000, "mem-mb": 8000, "gpu": 1}


async def play(deployment) -> list[str]:
    await deployment.start(daemons=2, workers=4, capacity=(32000, 131072, 8))
    spec = {"needs": [2000, 8000, 1], "work_ms": 1000, "stop_ms": 50}
    if TROUBLE:
        # The first time can't be done: its task fails whenever it is started.
        spec["fails"] = {"0.0.0": [300] * 10}
    times = {
        "times": TIMES,
        "start-delay-ms": round(time.time() * 1000),
        "interval-ms": INTERVAL_S * 1000,
    }
    job = await deployment.submit("replay", spec, [{"count": 1, **NEEDS, "est-ms": 1000}], **times)
    state = ""
    for _ in range(20):
        await asyncio.sleep(0.25)
        state = await deployment.state("replay", job)
        if state == ("failed" if TROUBLE else "running"):
            break
    else:
        raise CannotRun(f"the job is {state}")
    await deployment.cancel("replay", job)
    cancelled_s = time.monotonic()
    for _ in range(TIMES * INTERVAL_S // 2):
        await asyncio.sleep(2.0)
        await deployment.state("replay", job)
    late = [run for run in deployment.runs_of(job) if run.began_s > cancelled_s + CANCEL_S]
    return [
        f"UNASKED: task {run.task} run {run.number} began on {run.worker} "
        f"{run.began_s - cancelled_s:.1f} s after the job's cancelling was acknowledged"
        for run in late
    ]


if __name__ == "__main__":
    queues = {"replay": {"priority": 2, "max-attempts": 2}}
    sys.exit(run_case(play, HERE / "record.txt", queues))
