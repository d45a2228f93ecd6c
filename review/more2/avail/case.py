"""Urgent work that preempts tasks of a lasting step with may-miss."""

import asyncio
import os
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parents[1] / "standins2"))

from deployment import CannotRun, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
WORKERS = 4
MAY_MISS = 1
NEEDS = {"cpu": 16000, "mem-mb": 64000, "gpu": 8}
START_MS = 500
NOTICE_S = 4.5
CALM_S = 6.0


async def play(deployment) -> list[str]:
    broken = []

    def is_away(run, now: float) -> bool:
        """Ended by an order, or not at work for notice-ms."""
        if run.ended:
            return run.ended == "stopped" or now - run.ended_s >= NOTICE_S
        return run.percent(now) < 100 and now - run.began_s >= NOTICE_S

    def on_end(run) -> None:
        if run.ended != "stopped" or run.ended_s - run.began_s < START_MS / 1000:
            return
        step = run.task.rpartition(".")[0]
        latest = {each.task: each for each in deployment.pool.runs}
        away = [
            each.task
            for each in latest.values()
            if each.task.rpartition(".")[0] == step
            and each.task != run.task
            and is_away(each, run.ended_s)
        ]
        if len(away) >= MAY_MISS:
            broken.append(
                f"AVAIL: {run.task} was at work on {run.worker} and was stopped by order while "
                f"{', '.join(away)} of its step was away; may-miss is {MAY_MISS}"
            )

    deployment.pool.on_end = on_end
    await deployment.start(daemons=2, workers=WORKERS, capacity=(32000, 131072, 8))
    spec = {"needs": [16000, 64000, 8], "start_ms": START_MS, "stop_ms": 100}
    step = {"count": WORKERS, **NEEDS, "long-running": True, "may-miss": MAY_MISS}
    job = await deployment.submit("lasting", spec, [step])
    for _ in range(200):
        if len(deployment.runs_of(job)) == WORKERS:
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRun("the lasting tasks did not start")
    await asyncio.sleep(CALM_S)
    if TROUBLE:
        urgent = {"needs": [16000, 64000, 8], "work_ms": 3000, "stop_ms": 100}
        await deployment.submit("urgent", urgent, [{"count": 3, **NEEDS, "est-ms": 3000}])
    for _ in range(8):
        await asyncio.sleep(2.0)
        await deployment.state("lasting", job)
    return broken


if __name__ == "__main__":
    queues = {"urgent": {"priority": 0}, "lasting": {"priority": 2}}
    sys.exit(run_case(play, HERE / "record.txt", queues, guaranteed=0))
