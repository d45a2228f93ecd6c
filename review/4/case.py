"""Case 4: one job that is to run hourly for a year."""

import asyncio
import json
import os
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins2"))

from deployment import CannotRun, run_case  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOUR_MS = 3_600_000
TIMES = 24 * 365 if TROUBLE else 6
NEEDS = {"cpu": 2000, "mem-mb": 8000, "gpu": 1}
STEPS = [{"count": 1, **NEEDS, "est-ms": 1000}]
SPEC = {"needs": [2000, 8000, 1], "work_ms": 1000, "stop_ms": 50}
DUE_S = 6.0
ALLOWED_S = 30.0
"""The rule allows 3 s without a run; ten times that leaves room for changes of the leader."""


async def play(deployment) -> list[str]:
    await deployment.start(daemons=3, workers=4, capacity=(32000, 131072, 8))
    pool = deployment.pool
    pool.spawn(log_leaders(deployment))
    first = await deployment.submit("batch", SPEC, STEPS)
    for _ in range(100):
        if any(run.ended == "done" for run in deployment.runs_of(first)):
            break
        await asyncio.sleep(0.1)
    else:
        raise CannotRun("the first job did not run")
    # Accepted before the hourly job comes, and due some seconds later.
    due_s = time.monotonic() + DUE_S
    job = await deployment.submit("batch", SPEC, STEPS, **_times(1, round(DUE_S * 1000)))
    await asyncio.sleep(1.0)
    pool.spawn(deployment.submit("batch", SPEC, STEPS, daemon=1, **_times(TIMES, HOUR_MS)))
    unanswered = asked = 0
    while time.monotonic() < due_s + ALLOWED_S and not deployment.runs_of(job):
        await asyncio.sleep(1.0)
        states = await asyncio.gather(
            *(deployment.state("batch", job, number) for number in range(3))
        )
        asked += len(states)
        unanswered += sum(state in ("0", "503", "504") for state in states)
    runs = deployment.runs_of(job)
    waited_s = (runs[0].began_s if runs else time.monotonic()) - due_s
    pool.log("end", waited_s=round(waited_s, 1), begun=bool(runs), asked=asked, no_state=unanswered)
    if waited_s > ALLOWED_S:
        return [
            f"LOST: the turn of job {job} came {waited_s:.0f} s ago and nothing of it has begun, "
            f"while all 4 workers are empty; {unanswered} of {asked} questions for its state got none"
        ]
    return []


def _times(number: int, delay_ms: int) -> dict[str, int]:
    start_ms = round(time.time() * 1000) + delay_ms
    return {"times": number, "start-delay-ms": start_ms, "interval-ms": HOUR_MS}


async def log_leaders(deployment) -> None:
    """Log each new value of the leader key."""
    last = None
    while True:
        deployment.store.expire()
        item = deployment.store.items.get("saddlestack/leader")
        name = json.loads(item.value).get("vm") if item else None
        if name != last:
            deployment.pool.log("leader key", daemon=name)
            last = name
        await asyncio.sleep(0.02)


if __name__ == "__main__":
    sys.exit(run_case(play, HERE / "record.txt", {"batch": {"priority": 1}}))
