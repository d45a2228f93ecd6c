"""The objective of a job: how long it may take from its acceptance."""

from __future__ import annotations

from saddlestack.policy.cluster.jobs import StepState


def objective_s(step: StepState, chain_s: float) -> float:
    """Seconds that the job of a step may take: its stretch times its work, plus its target.

    Runs that failed by the fault of the task belong to the work, since no scheduler avoids them.

    :param chain_s: the longest chain of work of the job on usual workers, in seconds.
    """
    accepted = step.occurrence.job.accepted
    return accepted.stretch * (chain_s + step.failed_work_s) + accepted.target_ms / 1000
