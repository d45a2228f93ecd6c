"""What a failed run tells: whether it failed early, and the work that its gang has lost."""

from __future__ import annotations

from saddlestack.policy.cluster.fault_attribution import FailureKind
from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.workers import EARLY_FAILURE_S, EARLY_FAILURE_SHARE


def failure_kind(run: Run, now: float) -> FailureKind:
    """Whether a failed run ended too early to have done any work.

    The limit is lower for tasks with a short estimate, which may have been near their end.
    """
    limit_s = EARLY_FAILURE_S
    estimate_ms = run.task.step.step.estimate_ms
    if estimate_ms:
        limit_s = min(limit_s, EARLY_FAILURE_SHARE * estimate_ms / 1000)
    return FailureKind.EARLY if _age_s(run, now) < limit_s else FailureKind.LATE


def count_failed_work(run: Run, kind: FailureKind, now: float) -> None:
    """Add the time of a gang's failed run to its work, once for all members."""
    step = run.task.step
    is_counted = run.number <= step.record.failed_run
    if step.step.gang and not is_counted and kind is FailureKind.LATE:
        step.failed_work_s += _age_s(run, now) / run.time_factor


def _age_s(run: Run, now: float) -> float:
    """Seconds since a run started, or was assigned if its start is not confirmed."""
    return now - (run.assigned_s if run.started_s is None else run.started_s)
