"""Times the diagnosis of waiting jobs, on a loaded pool with a backlog.

The pool and its changes are those of :mod:`benchmarks.board`; the backlog consists of further jobs
of the same kinds that do not fit the pool.
"""

from __future__ import annotations

import random
import statistics
import time
from collections import Counter

import click
import msgspec

from benchmarks.board import ROUND_S, churn, loaded_cluster
from saddlestack.policy.cluster.diagnosis import Diagnosis, DiagnosisContext
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.state import ClusterState

WORKERS = 3_000
BACKLOG = 5_000
SCANS = 40


def backlogged_cluster(workers: int, backlog: int, rng: random.Random) -> ClusterState:
    """Return a loaded pool with about ``backlog`` jobs more than fit."""
    cluster_state = loaded_cluster(workers, rng)
    more = loaded_cluster(2 * backlog, rng)
    for number, job in enumerate(list(more.jobs.values())[:backlog]):
        accepted = msgspec.structs.replace(job.accepted, job_id=f"b{number:015x}")
        cluster_state.add_job(accepted, {})
    return cluster_state


def plan_all(cluster_state: ClusterState, now: float) -> None:
    """Plan until nothing is left to decide, and confirm each start."""
    more = True
    while more:
        more = cluster_state.plan(now, now * 1000)
        for start in cluster_state.take_changes().starts:
            cluster_state.run_started(start.run, now)


def time_scans(
    cluster_state: ClusterState, rng: random.Random
) -> tuple[list[float], Counter[WaitReason]]:
    """Return the milliseconds of each scan, and how many jobs wait for each reason in the last."""
    diagnosis = Diagnosis(cluster_state)
    number = len(cluster_state.jobs)
    times: list[float] = []
    reasons: Counter[WaitReason] = Counter()
    for index in range(SCANS):
        now = 1.0 + index * ROUND_S
        number += churn(cluster_state, rng, now, number)
        plan_all(cluster_state, now)
        began = time.perf_counter()
        scan_result = diagnosis.scan(_context(now))
        times.append((time.perf_counter() - began) * 1000)
        reasons = Counter(wait.reason for wait in scan_result.waits)
        reasons[WaitReason.LEFT_OUT] += scan_result.left_out
    return times, reasons


def _context(now: float) -> DiagnosisContext:
    return DiagnosisContext(
        now=now,
        wall_ms=now * 1000,
        planned_s=now,
        round_full=False,
        round_due=False,
        is_writing=lambda job_id: False,
        lease_until_s=lambda worker_id: now,
    )


@click.command()
@click.option("--workers", default=WORKERS, show_default=True)
@click.option(
    "--backlog", default=BACKLOG, show_default=True, help="Number of jobs that do not fit."
)
def main(workers: int, backlog: int) -> None:
    """Time scans of a pool."""
    rng = random.Random(1)
    cluster_state = backlogged_cluster(workers, backlog, rng)
    plan_all(cluster_state, 0.0)
    times, reasons = time_scans(cluster_state, rng)
    ordered = sorted(times)
    click.echo(
        f"{workers} workers, {sum(reasons.values())} jobs wait: "
        f"{statistics.median(ordered):.1f} ms per scan in the median, "
        f"{ordered[int(len(ordered) * 0.9)]:.1f} ms at the 90th percentile"
    )
    for reason, count in reasons.most_common():
        click.echo(f"{count:6} {reason.value}")


if __name__ == "__main__":
    main()
