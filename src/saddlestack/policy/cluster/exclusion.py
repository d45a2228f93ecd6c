"""Which work a worker is excluded from because runs failed on it.

Other modules, such as the diagnosis, read here how :mod:`saddlestack.policy.cluster.workers`
excludes such workers.
"""

from __future__ import annotations

from dataclasses import dataclass

from saddlestack.policy.cluster.workers import Worker


@dataclass(frozen=True, slots=True)
class Exclusion:
    """Which work a worker is excluded from. Times are in seconds on the monotonic clock.

    :param quarantine_s: it gets no work until then; ``None`` if the quarantine is over.
    :param probation_s: it gets neither urgent work nor gangs until then; ``None`` if the probation
        is over.
    :param on_trial: whether it gets only one task at a time.
    """

    quarantine_s: float | None
    probation_s: float | None
    on_trial: bool

    def proven_s(self) -> float | None:
        """When the worker may get urgent work and gangs; ``None`` if it may now."""
        ends = [end for end in (self.quarantine_s, self.probation_s) if end is not None]
        return max(ends, default=None)


def exclusion_of(worker: Worker, now: float) -> Exclusion:
    """Return which work a worker is excluded from now."""
    closed_s = max(worker.busy_s, worker.quarantine_s)
    return Exclusion(
        quarantine_s=closed_s if now < closed_s else None,
        probation_s=worker.probation_s if now < worker.probation_s else None,
        on_trial=worker.strikes > 0,
    )
