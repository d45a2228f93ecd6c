"""What a worker is kept from since runs failed on it, as a diagnosis reads it.

The other modules read here how :mod:`saddlestack.policy.cluster.workers` excludes such workers.
"""

from __future__ import annotations

from dataclasses import dataclass

from saddlestack.policy.cluster.workers import Worker


@dataclass(frozen=True, slots=True)
class Exclusion:
    """What failed runs keep a worker from. Times are seconds on the board's clock.

    :param quarantine_s: no work until then; ``None`` where it is over.
    :param probation_s: neither urgent work nor gangs until then; ``None`` where it is over.
    :param on_trial: it takes one task at a time.
    """

    quarantine_s: float | None
    probation_s: float | None
    on_trial: bool

    def proven_s(self) -> float | None:
        """When urgent work and gangs may go there; ``None`` where they may now."""
        ends = [end for end in (self.quarantine_s, self.probation_s) if end is not None]
        return max(ends, default=None)


def exclusion_of(worker: Worker, now: float) -> Exclusion:
    """What a worker is kept from now."""
    closed_s = max(worker.busy_s, worker.quarantine_s)
    return Exclusion(
        quarantine_s=closed_s if now < closed_s else None,
        probation_s=worker.probation_s if now < worker.probation_s else None,
        on_trial=worker.strikes > 0,
    )
