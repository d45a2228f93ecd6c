"""Room that comes free once work of lower priority has ended."""

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
    """A worker that holds tasks once all work of lower priority there has ended.

    :param weight: cores of that work for each task.
    """

    weight: float
    copies: int
    worker: Worker

    @classmethod
    def of(cls, worker: Worker, lower: Resources, copies: int) -> ReleasableWorker:
        """A worker that holds so many tasks once some lower work there has ended."""
        return cls(weight(lower) / copies, copies, worker)


def by_release_cost(releasable: ReleasableWorker) -> tuple[float, int]:
    """Sorts workers: the least lower work for each task first."""
    return releasable.weight, releasable.copies


@dataclass(slots=True)
class ReleasableRack:
    """Such workers of a rack, those with the least lower work for each task first.

    :param copies: of the first workers together, as is the weight.
    """

    workers: list[ReleasableWorker]
    copies: list[int]
    weights: list[float]

    @classmethod
    def of(cls, workers: Iterable[ReleasableWorker]) -> ReleasableRack:
        """Sums over some workers."""
        ordered = sorted(workers, key=by_release_cost)
        copies = list(accumulate(each.copies for each in ordered))
        weights = list(accumulate(each.weight * each.copies for each in ordered))
        return cls(ordered, copies, weights)

    def workers_needed(self, wanted: int) -> int | None:
        """How many of its workers hold so many tasks; ``None`` where all together do not."""
        if not self.copies or self.copies[-1] < wanted:
            return None
        return bisect_left(self.copies, wanted) + 1
