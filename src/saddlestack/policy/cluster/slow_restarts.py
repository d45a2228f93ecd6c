"""Restart of urgent gangs that will be late because the worker of a member is slow.

A gang ends with its slowest member. If that one is on a slow worker, the gang may still be in time
when it starts again on faster workers. Each gang is restarted at most once, since a wrong estimate
would only lose work again.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from statistics import median_low

from saddlestack.policy.cluster.jobs import TOP_PRIORITY, Run, StepState
from saddlestack.policy.cluster.progress import NEARLY_DONE_PERCENT, gang_started_s
from saddlestack.policy.cluster.speed_limits import DECISION_MARGIN_S, SpeedLimits
from saddlestack.policy.cluster.speed_rank import MIN_LIMIT, exceeds, known_factor, level_below
from saddlestack.policy.cluster.workers import Worker

MIN_RUN_S = 0.4
"""A gang is judged by its progress from this time on. Before that, one report more or less changes
the rate of a member by a third."""
MIN_PERCENT = 10
"""A member is judged by its progress from this percentage on. Progress is reported in whole
percent, so the error of its rate is below a twentieth."""
ROUNDING_PERCENT = 0.5
"""Progress that is lost on average by rounding it down to whole percent."""
SLOW_RATIO = 1.5
"""A member is slow if it takes this many times as long as the median member. Tasks of a step differ
by up to 1.3 on equal workers."""
STOP_S = 0.5
"""Time that a stop takes, with its report."""
MAX_RESTARTS = 1
"""Maximum number of times that a step is restarted because of a slow worker."""


@dataclass(frozen=True, slots=True)
class SlowGang:
    """A gang that would be in time after a restart, and not without one.

    :param slow: ids of the workers of its slow members.
    :param max_factor: the largest time factor with which it is in time after the restart.
    """

    slow: frozenset[str]
    max_factor: float


class SlowRestarts:
    """Finds the gangs to restart.

    :param workers: all workers by id.
    """

    def __init__(self, limits: SpeedLimits, workers: Mapping[str, Worker]) -> None:
        self._limits = limits
        self._workers = workers

    def find(self, run: Run, members: Sequence[Run], now: float) -> SlowGang | None:
        """The gang of a run, if the run's worker makes it late and a restart would not.

        :param members: all runs of the gang.
        """
        if not _may_judge(run, members):
            return None
        began_s = gang_started_s(members)
        if began_s is None or now - began_s < MIN_RUN_S:
            return None
        progress = _Progress(members, began_s, self._factors(members))
        total_s = progress.total_s(run)
        if total_s is None or not progress.is_slow(run):
            return None
        return self._judge(run.task.step, progress, total_s - (now - began_s), now)

    def _judge(
        self, step: StepState, progress: _Progress, remaining_s: float, now: float
    ) -> SlowGang | None:
        """The gang, if it ends too late as it is, and in time after a restart.

        :param remaining_s: seconds until its slowest member ends.
        """
        work_s = self._limits.work_s(step)
        later_s = self._limits.later_work_s(step)
        if work_s is None and len(step.occurrence.steps) == 1:
            work_s, later_s = progress.usual_s, 0.0
        if work_s is None or later_s is None:
            return None
        left_s = self._limits.objective_left_s(step, now, work_s) - later_s
        if remaining_s <= left_s:
            return None
        largest = (left_s - STOP_S - DECISION_MARGIN_S) / work_s
        if largest < 1.0:
            return None
        return SlowGang(progress.slow_workers(), max(MIN_LIMIT, level_below(largest)))

    def _factors(self, members: Sequence[Run]) -> dict[str, float | None]:
        found: dict[str, float | None] = {}
        for member in members:
            worker = self._workers.get(member.worker_id)
            found[member.worker_id] = None if worker is None else known_factor(worker)
        return found


class _Progress:
    """How fast the members of a gang progress.

    The median member is the faster one of the middle two, so that a gang of two has a usual one.

    :param began_s: when all of them could work.
    :param factors: known factors of their workers, by id.
    """

    def __init__(
        self, members: Sequence[Run], began_s: float, factors: Mapping[str, float | None]
    ) -> None:
        self._members = members
        self._factors = factors
        self._totals_s = {member: _total_s(member, began_s) for member in members}
        rated = [total_s for total_s in self._totals_s.values() if total_s is not None]
        self._median_s = median_low(rated) if 2 * len(rated) >= len(members) else None
        known = [each for member in members if (each := factors[member.worker_id]) is not None]
        self._median_factor = median_low(known) if len(known) == len(members) else None

    @property
    def usual_s(self) -> float | None:
        """Seconds that the median member takes on a usual worker; ``None`` if unknown."""
        if not self._median_s:
            return None
        return self._median_s / (self._median_factor or 1.0)

    def total_s(self, run: Run) -> float | None:
        """Expected seconds from the gang's begin to the end of a member; ``None`` if unknown."""
        total_s = self._totals_s[run]
        ratio = self._factor_ratio(run)
        if total_s is None and self._median_s is not None and ratio is not None:
            return self._median_s * ratio
        return total_s

    def is_slow(self, run: Run) -> bool:
        """Whether a member's worker is slow, by its factor or else by the member's rate.

        A long task on a worker that is known to be usual is no fault of the worker.
        """
        ratio = self._factor_ratio(run)
        if ratio is not None:
            return ratio >= SLOW_RATIO
        factor = self._factors[run.worker_id]
        total_s = self._totals_s[run]
        if total_s is None or not self._median_s:
            return False
        is_usual = factor is not None and not exceeds(factor, MIN_LIMIT)
        return not is_usual and total_s >= SLOW_RATIO * self._median_s

    def slow_workers(self) -> frozenset[str]:
        """Ids of the workers of all slow members."""
        return frozenset(member.worker_id for member in self._members if self.is_slow(member))

    def _factor_ratio(self, run: Run) -> float | None:
        """A worker's factor relative to the median member's; ``None`` unless all are known."""
        factor = self._factors[run.worker_id]
        if factor is None or not self._median_factor:
            return None
        return factor / self._median_factor


def _may_judge(run: Run, members: Sequence[Run]) -> bool:
    """Whether a run belongs to a gang that may be restarted and whose progress is comparable."""
    step = run.task.step
    if step.occurrence.job.priority != TOP_PRIORITY or step.step.long_running:
        return False
    if not step.step.gang or step.slow_restarts >= MAX_RESTARTS:
        return False
    return all(_is_comparable(member) for member in members)


def _is_comparable(run: Run) -> bool:
    """Whether a run began at a known time, from the start of its work, at full speed."""
    return not (run.stopping or run.inherited or run.task.record.saved or run.pace < 100)


def _total_s(run: Run, began_s: float) -> float | None:
    """Expected seconds that a run takes, by its progress; ``None`` if it has made too little."""
    if run.percent < MIN_PERCENT:
        return None
    if run.percent >= NEARLY_DONE_PERCENT and run.progressed_s is not None:
        return max(0.0, run.progressed_s - began_s)
    return max(0.0, run.reported_s - began_s) * 100 / (run.percent + ROUNDING_PERCENT)
