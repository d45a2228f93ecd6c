"""A leader that takes over doesn't count what is still being stopped of a failed job.

The scheduling state alone, without processes; exits with 1 if the worker is given too much. Run
with the project's environment: ``.venv/bin/python review/more2/limit/state.py``.
"""

import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[3] / "src"))

from saddlestack.codec import from_msgpack, to_msgpack  # noqa: E402
from saddlestack.interfaces.workers import EndedTask, EndKind, WorkerRecord  # noqa: E402
from saddlestack.policy.cluster.records import OccurrenceRecord  # noqa: E402
from saddlestack.policy.cluster.state import ClusterState  # noqa: E402
from saddlestack.work import AcceptedJob, JobRequest, Resources, Step  # noqa: E402

WORKER = WorkerRecord(
    "i-1", "s", "127.0.0.1:1", "h", False, Resources(32000, 131072, 8), ("a", "r"), "r", "m-1"
)


def job(job_id: str, count: int, gpus: int) -> AcceptedJob:
    step = Step(count=count, needs=Resources(1000, 1000, gpus))
    request = JobRequest(payload="", steps=(step,))
    return AcceptedJob(
        job_id=job_id, account="", queue="q", service="s", priority=0, attempts=1, accepted_ms=1,
        request=request,
    )  # fmt: skip


def new_state() -> ClusterState:
    state = ClusterState()
    state.configure({}, {"q": "s"})
    state.set_worker(WORKER, 0.0)
    return state


failing, waiting = job("a" * 16, 2, 4), job("b" * 16, 1, 8)
first = new_state()
first.add_job(failing, {})
first.plan(1.0, 0.0)
starts = first.take_changes().starts
for start in starts:
    first.run_started(start.run, 1.0)
# Task 0 fails for the last time; task 1 is ordered to stop, which takes up to stop-timeout-ms.
first.run_ended("i-1", EndedTask(1, str(starts[0].run.task.name), 1, EndKind.FAILED, ""), 2.0)
changes = first.take_changes()
held = sum(run.allocation.accelerators for run in first.workers["i-1"].runs.values())
print(f"first leader: stops {[str(stop.task) for stop in changes.stops]}, counts {held} GPUs held")

stored = to_msgpack(changes.records[f"{failing.job_id}.0"])
second = new_state()
second.add_job(failing, {0: from_msgpack(stored, OccurrenceRecord)})
second.add_job(waiting, {})
second.plan(3.0, 0.0)
given = sum(start.run.allocation.accelerators for start in second.take_changes().starts)
print(f"next leader: starts work of {given} GPUs there, {held} of 8 are still held")
sys.exit(1 if held + given > 8 else 0)
