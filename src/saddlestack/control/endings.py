"""Log lines about runs of which no worker tells an end: what proves it, and waits for a lease."""

from __future__ import annotations

import enum
import logging
from collections.abc import Iterable

from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.workers import Worker

log = logging.getLogger("saddlestack.endings")


class EndProof(enum.StrEnum):
    """Why a run counts as over though its worker has told no end of it."""

    REPLACED = "replaced"
    """Another life answers where this one was."""
    ABSENT = "absent"
    """The worker's report does not list the run."""
    LAPSED = "lapsed"
    """Every lease that may have been granted there is over."""


def log_runs_over(runs: Iterable[Run], proof: EndProof, age_s: float) -> None:
    """Tell that runs count as over.

    :param age_s: how old the proof is: since the answer, the question for the report, or the last
        time that the worker was heard.
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
    """Tell that what runs on a worker is waited for until its lease has lapsed.

    :param left_s: how long that takes at most, if the worker does not answer meanwhile.
    """
    log.info(
        "waits for a lease",
        extra={
            "event": "lease_wait",
            "worker": worker.worker_id,
            "left_s": round(left_s, 2),
            "runs": len(worker.runs),
        },
    )
