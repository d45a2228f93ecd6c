"""Speed limits: the slowest workers on which the job of a step still meets its objective."""

from __future__ import annotations

import math
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from saddlestack.policy.cluster.jobs import TOP_PRIORITY, StepState, weight
from saddlestack.policy.cluster.objective import objective_s
from saddlestack.policy.cluster.speed_rank import (
    MIN_LIMIT,
    SpeedRank,
    exceeds,
    fast_first,
    known_factor,
    level_below,
    slow_first,
)
from saddlestack.policy.cluster.wait_limits import IDLE_POOL_WAIT_S
from saddlestack.policy.cluster.workers import Worker

DECISION_MARGIN_S = 0.1
"""Time from a decision to the start of a run, during which no work is done."""
ENTITLED_WAIT_S = 1.0
"""Maximum wait for a worker within the limit of work within a guarantee. Such work has to start
within 2.7 s, and a stop that makes room for it takes up to 0.9 s."""


class WorkTimes(Protocol):
    """Source of the expected duration of work."""

    def typical_work_s(self, step: StepState) -> float | None:
        """Seconds that a task of a step works on a usual worker; ``None`` if unknown."""
        ...


class WorkTimesSource(Protocol):
    """Holds the work times that are in use."""

    @property
    def work_times(self) -> WorkTimes:
        """Source of the expected duration of work."""
        ...


class UnknownWorkTimes:
    """Work times of a cluster state that has learned none."""

    def typical_work_s(self, step: StepState) -> float | None:
        """Return ``None`` for every step."""
        return None


@dataclass(frozen=True, slots=True)
class SpeedLimit:
    """On which workers a step may start, and in which order it uses them.

    :param max_factor: the limit; infinite for none.
    :param rank: the order of the workers within the limit.
    :param relaxed: whether it has waited for long enough to start above its limit.
    """

    max_factor: float
    rank: SpeedRank
    relaxed: bool = False

    @property
    def restricts(self) -> bool:
        """Whether some known workers are above the limit."""
        return math.isfinite(self.max_factor)

    @property
    def prefers_slow(self) -> bool:
        """Whether the step uses slow workers first."""
        return self.rank is slow_first

    def allows(self, worker: Worker) -> bool:
        """Whether a worker is within the limit, or its speed is unknown."""
        return not exceeds(known_factor(worker), self.max_factor)


FAST_FIRST = SpeedLimit(math.inf, fast_first)
SLOW_FIRST = SpeedLimit(math.inf, slow_first)


@dataclass(slots=True)
class SpeedLimits:
    """Computes the speed limits of steps.

    :param source: has the expected durations of work.
    :param entitled: ids of top-priority jobs that are within their account's guarantee.
    :param wall_offset_ms: wall time minus monotonic time, as of the last round.
    """

    source: WorkTimesSource
    entitled: Collection[str] = field(default_factory=frozenset)
    wall_offset_ms: float = 0.0

    def begin_round(self, now: float, wall_ms: float, entitled: Collection[str]) -> None:
        """Set what the limits of a planning round depend on."""
        self.entitled = entitled
        self.wall_offset_ms = wall_ms - now * 1000

    def limit(self, step: StepState, known_factors: Sequence[float], now: float) -> SpeedLimit:
        """The speed limit of a step.

        :param known_factors: the known factors of its service in ascending order.
        """
        is_top = step.occurrence.job.priority == TOP_PRIORITY
        largest = self.largest_factor(step, now)
        if largest < min(1.0, known_factors[0]):
            return SLOW_FIRST
        if not exceeds(known_factors[-1], largest):
            return FAST_FIRST if is_top else SLOW_FIRST
        max_factor = max(MIN_LIMIT, level_below(largest))
        if not exceeds(known_factors[-1], max_factor):
            return FAST_FIRST if is_top else SLOW_FIRST
        rank = fast_first if is_top else slow_first
        return SpeedLimit(max_factor, rank, step.stalled_s(now) >= self.max_wait_s(step))

    def largest_factor(self, step: StepState, now: float) -> float:
        """The largest factor with which the job of a step meets its objective, not rounded.

        Below 1 if a usual worker is too slow. Infinite for a long-running step. Without known work
        times it is the stretch of the objective.
        """
        if step.step.long_running:
            return math.inf
        work_left_s = self._chain_s(step)
        chain_s = None if work_left_s is None else self._job_chain_s(step)
        if chain_s is None or not work_left_s:
            return step.occurrence.job.accepted.stretch
        left_s = self.time_left_s(step, now, chain_s)
        return max(0.0, left_s - DECISION_MARGIN_S) / work_left_s

    def work_s(self, step: StepState) -> float | None:
        """Seconds of work of a task of a step on a usual worker; ``None`` if unknown."""
        return self.source.work_times.typical_work_s(step)

    def core_seconds(self, step: StepState) -> float:
        """Core-seconds of work of all tasks of a step; infinite if its work is not known.

        Stops that make room on faster workers may lose no more than this: a wide gang lost several
        times the work of the urgent job that was to be in time in its place, and was late itself.
        """
        work_s = self.work_s(step)
        if work_s is None:
            return math.inf
        return step.step.count * weight(step.step.allocation) * work_s

    def later_work_s(self, step: StepState) -> float | None:
        """Seconds of work of the steps that follow a step; ``None`` if unknown."""
        chain_s, work_s = self._chain_s(step), self.work_s(step)
        return None if chain_s is None or work_s is None else chain_s - work_s

    def objective_left_s(self, step: StepState, now: float, work_s: float) -> float:
        """Seconds until the objective of a step's job.

        :param work_s: seconds of work of the job, if they are not known otherwise.
        """
        chain_s = self._job_chain_s(step)
        return self.time_left_s(step, now, work_s if chain_s is None else chain_s)

    def time_left_s(self, step: StepState, now: float, chain_s: float) -> float:
        """Seconds until the objective of a step's job, given its longest chain of work."""
        accepted = step.occurrence.job.accepted
        began_ms = max(accepted.accepted_ms, step.occurrence.due_ms)
        elapsed_s = (now * 1000 + self.wall_offset_ms - began_ms) / 1000
        return objective_s(step, chain_s) - elapsed_s

    def _job_chain_s(self, step: StepState) -> float | None:
        """The longest chain of work of a step's occurrence; ``None`` if a part is unknown."""
        longest = 0.0
        for other in step.occurrence.steps:
            if not other.step.after:
                chain_s = self._chain_s(other)
                if chain_s is None:
                    return None
                longest = max(longest, chain_s)
        return longest

    def _chain_s(self, step: StepState) -> float | None:
        """The longest chain of work from a step on; ``None`` if a part is unknown."""
        if step.number + 1 == len(step.occurrence.steps):
            return self.source.work_times.typical_work_s(step)
        chains_s: dict[int, float] = {}
        for other in reversed(step.occurrence.steps[step.number :]):
            work_s = self.source.work_times.typical_work_s(other)
            if work_s is None:
                return None
            later_s = (
                chains_s[later.number]
                for later in step.occurrence.steps[other.number + 1 :]
                if other.number in later.step.after
            )
            chains_s[other.number] = work_s + max(later_s, default=0.0)
        return chains_s[step.number]

    def max_wait_s(self, step: StepState) -> float:
        """Maximum wait of a step for workers within its limit, in seconds."""
        is_entitled = step.occurrence.job.job_id in self.entitled
        return ENTITLED_WAIT_S if is_entitled else IDLE_POOL_WAIT_S
