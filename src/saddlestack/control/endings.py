"""Logs runs that end without a report of their worker: the proof, and the wait for a lease."""

from __future__ import annotations

import enum
import logging
from collections.abc import Iterable

from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.workers import Worker

log = logging.getLogger("saddlestack.endings")


class EndProof(enum.StrEnum):
    """Why a run counts as over though its worker has not reported its end."""

    REPLACED = "replaced"
    """Another incarnation answers at the worker's address."""
    ABSENT = "absent"
    """The worker's report does not list the run."""
    LAPSED = "lapsed"
    """Every lease that may have been granted to the worker is over."""


def log_runs_over(runs: Iterable[Run], proof: EndProof, age_s: float) -> None:
    """Log that runs count as over.

    :param age_s: age of the proof: the time since the answer, since the report was requested, or
        since the worker last answered.
    """
    for run in runs:
        log.info(
            "run counts as over",
            extra={
                "event": "run_over",
                "task": str(run.task.name),
                "run": run.number,
                "worker": run.worker_id,
                "proof": proof.value,
                "age_s": round(age_s, 2),
                "inherited": run.inherited,
            },
        )


def log_lease_wait(worker: Worker, left_s: float) -> None:
    """Log that the runs of a worker are waited for until its lease has lapsed.

    :param left_s: how long that takes at most, if the worker does not answer meanwhile.
    """
    log.info(
        "waiting for a lease to lapse",
        extra={
            "event": "lease_wait",
            "worker": worker.worker_id,
            "left_s": round(left_s, 2),
            "runs": len(worker.runs),
        },
    )
