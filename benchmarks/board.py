"""Times planning rounds of a loaded pool that changes between two rounds.

The pool has running work, waiting gangs and urgent work. Between two rounds, 2 % of the runs end
and as many jobs arrive. Only public methods of the cluster state are used, so that this file can
time another revision as well: put that revision's ``src`` on ``PYTHONPATH``.
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
WORKERS_PER_RACK = 20
CAPACITY = Resources(32_000, 128_000, 8)
BULK_CPU, NORMAL_CPU, URGENT_CPU = 2_800, 13_000, 3_700
ROUNDS = 50
ROUND_S = 0.5
CHURN = 0.02
"""Share of the runs that end between two rounds; as many jobs arrive."""


def loaded_cluster(workers: int, rng: random.Random) -> ClusterState:
    """Return a pool with more work than fits, a third of it bulk jobs and most of it gangs."""
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
    rack = f"r{number // WORKERS_PER_RACK}"
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
    """End some runs successfully and add as many jobs; return the number of added jobs.

    :param number: the number of the first added job.
    """
    runs = [run for worker in cluster_state.workers.values() for run in worker.runs.values()]
    arrivals = max(1, round(len(runs) * CHURN))
    for run in rng.sample(runs, min(arrivals, len(runs))):
        end = EndedTask(number, str(run.task.name), run.number, EndKind.DONE, "")
        cluster_state.run_ended(run.worker_id, end, now)
    for offset in range(arrivals):
        priority = rng.choices((0, 1, 2), (1, 5, 4))[0]
        step = (
            _step(1, BULK_CPU, 1)
            if priority == 2
            else _gang(rng, (URGENT_CPU, NORMAL_CPU)[priority])
        )
        cluster_state.add_job(_job(number + offset, priority, step), {})
    return arrivals


def time_rounds(cluster_state: ClusterState, rng: random.Random, number: int) -> list[float]:
    """Return the seconds that each round takes, without the changes in between."""
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


def time_size(workers: int) -> None:
    """Print the times for one pool size, and the peak memory of the process so far."""
    rng = random.Random(1)
    cluster_state = loaded_cluster(workers, rng)
    has_more: bool | None = True
    while has_more:
        # Revisions that plan everything in one round return None.
        has_more = cluster_state.plan(0.0, 0.0)
        for start in cluster_state.take_changes().starts:
            cluster_state.run_started(start.run, 0.0)
    times = sorted(seconds * 1000 for seconds in time_rounds(cluster_state, rng, workers))
    memory_mb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss / 1024
    click.echo(
        f"{workers:6} workers: {statistics.median(times):8.1f} ms per round in the median, "
        f"{times[int(len(times) * 0.99)]:8.1f} ms at the 99th percentile, {memory_mb:6.1f} MB"
    )


@click.command()
@click.option(
    "--size", "sizes", type=int, multiple=True, help="Number of workers; all sizes by default."
)
def main(sizes: tuple[int, ...]) -> None:
    """Time planning rounds for each pool size."""
    for workers in sizes or SIZES:
        time_size(workers)


if __name__ == "__main__":
    main()
