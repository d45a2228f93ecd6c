"""Times looks at what jobs wait for, on a loaded pool with a backlog.

The pool and its changes are those of :mod:`benchmarks.board`; the backlog is more jobs of the same
kinds than it can hold.
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
LOOKS = 40


def backlogged_cluster(workers: int, backlog: int, rng: random.Random) -> ClusterState:
    """A pool with so many workers, and about so many more jobs than it holds."""
    cluster_state = loaded_cluster(workers, rng)
    more = loaded_cluster(2 * backlog, rng)
    for number, job in enumerate(list(more.jobs.values())[:backlog]):
        renamed = msgspec.structs.replace(job.accepted, job_id=f"b{number:015x}")
        cluster_state.add_job(renamed, {})
    return cluster_state


def started(cluster_state: ClusterState, now: float) -> None:
    """Decide all that may be decided now; each start is confirmed."""
    more = True
    while more:
        more = cluster_state.plan(now, now * 1000)
        for start in cluster_state.take_changes().starts:
            cluster_state.run_started(start.run, now)


def looks(
    cluster_state: ClusterState, rng: random.Random
) -> tuple[list[float], Counter[WaitReason]]:
    """Milliseconds of each of some looks, rounds in between left out, and what the last found."""
    diagnosis = Diagnosis(cluster_state)
    number = len(cluster_state.jobs)
    times: list[float] = []
    found: Counter[WaitReason] = Counter()
    for index in range(LOOKS):
        now = 1.0 + index * ROUND_S
        number += churn(cluster_state, rng, now, number)
        started(cluster_state, now)
        began = time.perf_counter()
        looked = diagnosis.scan(_circumstances(now))
        times.append((time.perf_counter() - began) * 1000)
        found = Counter(wait.reason for wait in looked.waits)
        found[WaitReason.LEFT_OUT] += looked.left_out
    return times, found


def _circumstances(now: float) -> DiagnosisContext:
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
@click.option("--backlog", default=BACKLOG, show_default=True, help="Jobs more than it holds.")
def main(workers: int, backlog: int) -> None:
    """Time looks at a pool."""
    rng = random.Random(1)
    cluster_state = backlogged_cluster(workers, backlog, rng)
    started(cluster_state, 0.0)
    times, found = looks(cluster_state, rng)
    ordered = sorted(times)
    click.echo(
        f"{workers} workers, {sum(found.values())} jobs wait: "
        f"{statistics.median(ordered):.1f} ms a look in the median, "
        f"{ordered[int(len(ordered) * 0.9)]:.1f} ms at the 90th percentile"
    )
    for reason, count in found.most_common():
        click.echo(f"{count:6} {reason.value}")


if __name__ == "__main__":
    main()
