"""Measures of a replay: completion time, start delay, fragmentation, lost work, the score."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from saddlestack.models import JobClass, Shape, Weights
from saddlestack.policy.defrag import usable
from saddlestack.policy.resources import CellResources


class Summary(msgspec.Struct):
    """Mean and quantiles of a time over some jobs, in seconds."""

    mean: float
    p50: float
    p99: float


class ByClass(msgspec.Struct):
    """Summaries over all jobs and for each class; ``None`` for a class without jobs."""

    overall: Summary | None
    urgent: Summary | None
    normal: Summary | None
    bulk: Summary | None


class Expectations(msgspec.Struct):
    """The number of expected outcomes that held, and a description of each that failed."""

    held: int
    failed: list[str]


class Result(msgspec.Struct):
    """The outcome of a replay; see ``docs/user-guide.md`` for each field."""

    policy: str
    jobs: int
    finished: int
    refused: int
    unknown: int
    completion_s: ByClass
    start_delay_s: ByClass
    fragmentation: float
    work_lost_s: float
    reclaims: int
    score: float
    expectations: Expectations
    violations: list[str]


class TimedResult(Result):
    """A result with the rate of decisions, which differs from run to run."""

    decisions_per_s: float


def quantile(ordered: Sequence[float], share: float) -> float:
    """Return the smallest value that at least a share of the values do not exceed."""
    index = max(0, -(-int(len(ordered) * share * 1000) // 1000) - 1)
    return ordered[min(index, len(ordered) - 1)]


def summarize(values: Sequence[float]) -> Summary | None:
    """Return mean and quantiles, or ``None`` if there are no values."""
    if not values:
        return None
    ordered = sorted(values)
    return Summary(
        round(sum(ordered) / len(ordered), 6),
        round(quantile(ordered, 0.5), 6),
        round(quantile(ordered, 0.99), 6),
    )


def by_class(values: Sequence[tuple[JobClass, float]]) -> ByClass:
    """Summarize all values, and those of each class."""
    return ByClass(
        summarize([value for _, value in values]),
        *(
            summarize([value for kind, value in values if kind is wanted])
            for wanted in (JobClass.URGENT, JobClass.NORMAL, JobClass.BULK)
        ),
    )


class Fragmentation:
    """The time-weighted share of free accelerators that reference gangs cannot use.

    At each time and for each reference shape, the free accelerators are packed with as many gangs
    of that shape as fit. The value is the share left over, averaged over the shapes.
    """

    def __init__(self, shapes: Sequence[Shape]) -> None:
        self._shapes = list(shapes)
        self._at = 0.0
        self._value = 0.0
        self._area = 0.0
        self.points: list[tuple[float, float]] = []

    def update(self, now: float, cell_resources: Sequence[CellResources]) -> None:
        """Add the time since the last change, then compute the current value."""
        self._area += self._value * (now - self._at)
        self._at = now
        value = self._now(cell_resources)
        if value != self._value or not self.points:
            self.points.append((now, value))
        self._value = value

    def mean(self, until: float) -> float:
        """Return the time-weighted mean from time 0 on."""
        area = self._area + self._value * (until - self._at)
        return area / until if until > 0 else self._value

    def _now(self, cell_resources: Sequence[CellResources]) -> float:
        free = sum(sum(resources.free) for resources in cell_resources)
        if not free or not self._shapes:
            return 0.0
        left = [
            free - sum(usable(resources, shape) for resources in cell_resources)
            for shape in self._shapes
        ]
        return sum(left) / (free * len(self._shapes))


def score(weights: Weights, completions: Sequence[tuple[float, float]], frag: float) -> float:
    """Return the score of a replay; lower is better.

    It is the weighted mean of the fragmentation and of the stretch: the sum of completion times
    over the sum of run times, of which 1 is the best.

    :param completions: completion time and true run time of each finished job.
    """
    total = weights.completion + weights.fragmentation
    if completions:
        stretch = sum(done for done, _ in completions) / sum(true for _, true in completions)
    else:
        stretch = 1.0
    return (weights.completion * stretch + weights.fragmentation * frag) / total
