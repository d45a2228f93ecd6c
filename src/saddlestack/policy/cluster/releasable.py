"""Capacity that becomes free once work of lower priority has ended."""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import accumulate

from saddlestack.policy.cluster.jobs import weight
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources


@dataclass(frozen=True, slots=True)
class ReleasableWorker:
    """A worker on which tasks fit once all work of lower priority there has ended.

    :param weight: cores of that work for each task that fits.
    :param copies: number of tasks that fit.
    """

    weight: float
    copies: int
    worker: Worker

    @classmethod
    def of(cls, worker: Worker, lower: Resources, copies: int) -> ReleasableWorker:
        """Build from a worker and the resources of its lower-priority work.

        :param copies: number of tasks that fit once that work has ended.
        """
        return cls(weight(lower) / copies, copies, worker)


def by_release_cost(releasable: ReleasableWorker) -> tuple[float, int]:
    """Sort key: workers with the least lower-priority work for each task first."""
    return releasable.weight, releasable.copies


@dataclass(slots=True)
class ReleasableRack:
    """Releasable workers of a rack, ordered by :func:`by_release_cost`.

    :param copies: number of tasks that fit on each worker and all before it.
    :param weights: cores of lower-priority work on each worker and all before it.
    """

    workers: list[ReleasableWorker]
    copies: list[int]
    weights: list[float]

    @classmethod
    def of(cls, workers: Iterable[ReleasableWorker]) -> ReleasableRack:
        """Order some workers and compute the running totals."""
        return cls.of_ordered(sorted(workers, key=by_release_cost))

    @classmethod
    def of_ordered(cls, ordered: list[ReleasableWorker]) -> ReleasableRack:
        """Compute the running totals of workers in their order."""
        copies = list(accumulate(each.copies for each in ordered))
        weights = list(accumulate(each.weight * each.copies for each in ordered))
        return cls(ordered, copies, weights)

    def holds(self, wanted: int) -> bool:
        """Whether the wanted tasks fit on all workers together."""
        return bool(self.copies) and self.copies[-1] >= wanted

    def workers_needed(self, wanted: int) -> int | None:
        """Number of workers, from the first, that hold the wanted tasks; ``None`` if all do not."""
        if not self.holds(wanted):
            return None
        return bisect_left(self.copies, wanted) + 1
