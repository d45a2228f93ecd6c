"""Restart of urgent gangs that will be late because the worker of a member is slow.

A gang ends with its slowest member. If that one is on a slow worker, the gang may still be in time
when it starts again on faster workers. Each gang is restarted at most once, since a wrong estimate
would only lose work again.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from statistics import median_low

from saddlestack.policy.cluster.jobs import TOP_PRIORITY, Run, StepState
from saddlestack.policy.cluster.progress import NEARLY_DONE_PERCENT, gang_started_s
from saddlestack.policy.cluster.speed_limits import DECISION_MARGIN_S, SpeedLimits
from saddlestack.policy.cluster.speed_rank import MIN_LIMIT, exceeds, known_factor, level_below
from saddlestack.policy.cluster.speed_records import SpeedEstimate
from saddlestack.policy.cluster.workers import Worker

MIN_RUN_S = 0.3
"""A gang is judged by its progress from this time on. Workers with urgent work report every 0.3 s,
and a restart two reports later is rarely in time."""
MIN_PERCENT = 6
"""A member is judged by its progress from this percentage on. Progress is reported in whole
percent, so the error of its rate is below a tenth. After 0.3 s of work of 2.3 s, members have 13
percent on usual workers, and 5 to 8 percent where work takes two to three times as long."""
ROUNDING_PERCENT = 0.5
"""Progress that is lost on average by rounding it down to whole percent."""
SLOW_RATE_RATIO = 1.75
"""A member is slow by its progress if it takes this many times as long as the median member. The
members of a gang have equal work, so on equal workers they differ by little more than rounding."""
SLOW_FACTOR_RATIO = 1.5
"""A member is slow by the factors if its worker takes this many times as long as the median one, or
as a usual one where no member is on a usual worker."""
USUAL_EVIDENCE = 3
"""Pieces of evidence from which on a worker that is known as usual is no reason for a restart.
Estimates from one or two pieces were wrong in either direction."""
STOP_S = 0.5
"""Time that a stop takes, with its report."""
SEARCH_INTERVAL_S = 0.3
"""Time between two searches for room for one gang. Each of its members reports every 0.3 s, and a
search takes milliseconds."""
MAX_RESTARTS = 1
"""Maximum number of times that a step is restarted because of a slow worker."""

Estimate = Callable[[str], SpeedEstimate | None]
"""Returns what is known of the speed of a worker, by its id."""


@dataclass(frozen=True, slots=True)
class SlowGang:
    """A gang that would be in time after a restart, and not without one.

    :param slow: ids of the workers of its slow members.
    :param max_factor: the largest time factor with which it is in time after the restart.
    """

    slow: frozenset[str]
    max_factor: float


@dataclass(frozen=True, slots=True)
class RestartRoom:
    """Where a slow gang starts again.

    :param places: a worker for each of its tasks.
    :param victims: runs of others that have to stop for it.
    """

    places: list[Worker]
    victims: list[Run]


class SlowRestarts:
    """Finds the gangs to restart.

    :param workers: all workers by id.
    :param estimate: returns what is known of the speed of a worker.
    """

    def __init__(
        self, limits: SpeedLimits, workers: Mapping[str, Worker], estimate: Estimate
    ) -> None:
        self._limits = limits
        self._workers = workers
        self._estimate = estimate

    def find(self, run: Run, members: Sequence[Run], now: float) -> SlowGang | None:
        """The gang of a run, if the worker of a member makes it late and a restart would not.

        :param members: all runs of the gang.
        """
        if not _may_judge(run, members):
            return None
        if now - run.task.step.no_restart_room_s < SEARCH_INTERVAL_S:
            return None
        began_s = gang_started_s(members)
        if began_s is None or now - began_s < MIN_RUN_S:
            return None
        progress = _Progress(members, began_s, self._factors(members))
        slow = frozenset(each.worker_id for each in members if self._is_slow(each, progress))
        totals_s = [progress.total_s(each) for each in members if each.worker_id in slow]
        longest_s = max((each for each in totals_s if each is not None), default=None)
        if longest_s is None:
            return None
        return self._judge(run.task.step, progress, slow, longest_s - (now - began_s), now)

    def _is_slow(self, run: Run, progress: _Progress) -> bool:
        """Whether a member's worker is slow, by the member's rate or else by its known factor."""
        if progress.is_slow_by_rate(run):
            return not self._is_usual(run.worker_id)
        return progress.is_slow_by_factor(run)

    def _is_usual(self, worker_id: str) -> bool:
        """Whether a worker is known as usual by enough evidence."""
        found = self._estimate(worker_id)
        if found is None or found.evidence < USUAL_EVIDENCE:
            return False
        return not exceeds(found.factor, MIN_LIMIT)

    def _judge(
        self,
        step: StepState,
        progress: _Progress,
        slow: frozenset[str],
        remaining_s: float,
        now: float,
    ) -> SlowGang | None:
        """The gang, if it ends too late as it is, and in time after a restart.

        It has to be in time on usual workers. Where it is late on these, a restart would gain
        nothing, whatever room there is.

        :param remaining_s: seconds until its slowest member ends.
        """
        work_s, left_s = self._work_and_time_left_s(step, progress, now)
        if work_s is None or left_s is None or remaining_s <= left_s:
            return None
        largest = (left_s - STOP_S - DECISION_MARGIN_S) / work_s
        if largest < 1.0:
            return None
        return SlowGang(slow, max(MIN_LIMIT, level_below(largest)))

    def _work_and_time_left_s(
        self, step: StepState, progress: _Progress, now: float
    ) -> tuple[float | None, float | None]:
        """Seconds of work of a member on a usual worker, and until the gang has to end.

        A gang that is the whole job is judged by its own rates where its median member is on a
        usual worker: jobs of a queue differ by more than the rates within one gang.
        """
        work_s, later_s = self._limits.work_s(step), self._limits.later_work_s(step)
        is_alone = len(step.occurrence.steps) == 1
        if is_alone and progress.usual_s and (work_s is None or progress.is_median_usual):
            return progress.usual_s, self._limits.time_left_s(step, now, progress.usual_s)
        if work_s is None or later_s is None:
            return None, None
        return work_s, self._limits.objective_left_s(step, now, work_s) - later_s

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
        self._factors = factors
        self._totals_s = {member: _total_s(member, began_s) for member in members}
        rated = [total_s for total_s in self._totals_s.values() if total_s is not None]
        self._median_s = median_low(rated) if 2 * len(rated) >= len(members) else None
        known = [each for member in members if (each := factors[member.worker_id]) is not None]
        self._median_factor = median_low(known) if len(known) == len(members) else None
        self._are_all_slow = len(known) == len(members) and all(
            exceeds(each, MIN_LIMIT) for each in known
        )

    @property
    def usual_s(self) -> float | None:
        """Seconds that the median member takes on a usual worker; ``None`` if unknown."""
        if not self._median_s:
            return None
        return self._median_s / (self._median_factor or 1.0)

    @property
    def is_median_usual(self) -> bool:
        """Whether nothing is known against the median member's worker being usual."""
        return not exceeds(self._median_factor, MIN_LIMIT)

    def total_s(self, run: Run) -> float | None:
        """Expected seconds from the gang's begin to the end of a member; ``None`` if unknown."""
        total_s = self._totals_s[run]
        ratio = self._factor_ratio(run)
        if total_s is None and self._median_s is not None and ratio is not None:
            return self._median_s * ratio
        return total_s

    def is_slow_by_rate(self, run: Run) -> bool:
        """Whether a member progresses much slower than the median one."""
        total_s = self._totals_s[run]
        if total_s is None or not self._median_s:
            return False
        return total_s >= SLOW_RATE_RATIO * self._median_s

    def is_slow_by_factor(self, run: Run) -> bool:
        """Whether a member's worker is known as slow, as are those of all or few of the others."""
        factor, ratio = self._factors[run.worker_id], self._factor_ratio(run)
        if factor is None or ratio is None:
            return False
        return ratio >= SLOW_FACTOR_RATIO or (self._are_all_slow and factor >= SLOW_FACTOR_RATIO)

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
