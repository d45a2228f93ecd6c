"""Times rounds of planning on a loaded pool that changes between them.

Running work, gangs that wait, urgent work; 2 % of the runs end between two rounds and as many jobs
come. Only public methods of the board are used, so that another revision can be timed by the same
file: put that revision's ``src`` on ``PYTHONPATH``.
"""

from __future__ import annotations

import random
import resource
import statistics
import time

import click

from saddlestack.interfaces.workers import EndedTask, EndKind, WorkerRecord
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.work import AcceptedJob, JobRequest, Resources, Step

SERVICE = "pool"
SIZES = (24, 350, 1_000, 2_500, 10_000)
WORKERS_A_RACK = 20
CAPACITY = Resources(32_000, 128_000, 8)
BULK_CPU, NORMAL_CPU, URGENT_CPU = 2_800, 13_000, 3_700
ROUNDS = 50
ROUND_S = 0.5
CHURN = 0.02
"""Share of the runs that end between two rounds; as many jobs come."""


def loaded_cluster(workers: int, rng: random.Random) -> ClusterState:
    """A pool with more work than it can hold, a third of it in bulk, most of it in gangs."""
    cluster_state = ClusterState()
    for number in range(workers):
        cluster_state.set_worker(_record(number), 0.0)
    jobs: list[tuple[int, Step]] = []
    for _ in range(workers // 6):
        jobs.append((2, _step(rng.choice((10, 20, 40)), BULK_CPU, 1)))
    for _ in range(workers * 2 // 5):
        jobs.append((1, _gang(rng, NORMAL_CPU)))
    for _ in range(workers // 12):
        jobs.append((0, _gang(rng, URGENT_CPU)))
    for number, (priority, step) in enumerate(jobs):
        cluster_state.add_job(_job(number, priority, step), {})
    return cluster_state


def _record(number: int) -> WorkerRecord:
    rack = f"r{number // WORKERS_A_RACK}"
    return WorkerRecord(
        worker_id=f"w{number}",
        service=SERVICE,
        address="127.0.0.1:1",
        data_hall="hall",
        draining=False,
        capacity=CAPACITY,
        labels=(rack,),
        rack=rack,
        machine=f"m{number}",
        remaining_ms=None,
    )


def _step(count: int, cpu: int, accelerators: int) -> Step:
    return Step(count=count, needs=Resources(cpu, 1000, accelerators), estimate_ms=1000)


def _gang(rng: random.Random, cpu: int) -> Step:
    return Step(
        count=rng.choice((2, 4, 8)),
        needs=Resources(cpu, 1000, rng.choice((1, 2, 4, 8))),
        estimate_ms=1000,
        gang=True,
        same_rack=rng.random() < 0.6,
    )


def _job(number: int, priority: int, step: Step) -> AcceptedJob:
    return AcceptedJob(
        job_id=f"{number:016x}",
        account="depots",
        queue="q",
        service=SERVICE,
        priority=priority,
        attempts=3,
        accepted_ms=number,
        request=JobRequest(payload="", steps=(step,)),
    )


def churn(cluster_state: ClusterState, rng: random.Random, now: float, number: int) -> int:
    """Some runs end well, and as many jobs come; returns how many came.

    :param number: of the first job that comes.
    """
    runs = [run for worker in cluster_state.workers.values() for run in worker.runs.values()]
    came = max(1, round(len(runs) * CHURN))
    for run in rng.sample(runs, min(came, len(runs))):
        end = EndedTask(number, str(run.task.name), run.number, EndKind.DONE, "")
        cluster_state.run_ended(run.worker_id, end, now)
    for each in range(came):
        priority = rng.choices((0, 1, 2), (1, 5, 4))[0]
        step = (
            _step(1, BULK_CPU, 1)
            if priority == 2
            else _gang(rng, (URGENT_CPU, NORMAL_CPU)[priority])
        )
        cluster_state.add_job(_job(number + each, priority, step), {})
    return came


def rounds(cluster_state: ClusterState, rng: random.Random, number: int) -> list[float]:
    """Seconds of each of some rounds, changes in between left out."""
    times: list[float] = []
    for index in range(ROUNDS):
        now = 1.0 + index * ROUND_S
        number += churn(cluster_state, rng, now, number)
        began = time.perf_counter()
        cluster_state.plan(now, now * 1000)
        times.append(time.perf_counter() - began)
        for start in cluster_state.take_changes().starts:
            cluster_state.run_started(start.run, now)
    return times


def timed(workers: int) -> None:
    """Print the rounds of one size, and the memory that the process has taken by then."""
    rng = random.Random(1)
    cluster_state = loaded_cluster(workers, rng)
    more: bool | None = True
    while more:
        # A revision that decides all at once says nothing.
        more = cluster_state.plan(0.0, 0.0)
        for start in cluster_state.take_changes().starts:
            cluster_state.run_started(start.run, 0.0)
    times = sorted(seconds * 1000 for seconds in rounds(cluster_state, rng, workers))
    memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    click.echo(
        f"{workers:6} workers: {statistics.median(times):8.1f} ms a round in the median, "
        f"{times[int(len(times) * 0.99)]:8.1f} ms at the 99th percentile, {memory_mb:6.1f} MB"
    )


@click.command()
@click.option("--size", "sizes", type=int, multiple=True, help="Workers; all sizes if not given.")
def main(sizes: tuple[int, ...]) -> None:
    """Time rounds of planning for each size."""
    for workers in sizes or SIZES:
        timed(workers)


if __name__ == "__main__":
    main()
