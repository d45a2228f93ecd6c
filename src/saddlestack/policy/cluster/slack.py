"""Slack: how long a step may still wait before its job can no longer meet its objective.

The objective is the job's ``stretch`` times its longest chain of work, plus its ``target_ms``. It
counts from the job's acceptance or, for a later occurrence, from when that was due. Slack is
unknown where the work of any step is. It only orders preferences: estimates may be wrong, so no
invariant depends on it.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

from saddlestack.policy.cluster.jobs import Occurrence, Run, StepState
from saddlestack.policy.cluster.objective import objective_s
from saddlestack.policy.cluster.progress import remaining_s

NORMAL_PRIORITY = 1
"""The priority between urgent and bulk."""
WORTHLESS_FACTOR = 3.0
"""A job that takes longer than this many times its objective earns nothing."""

SHORT_SLACK_S = 2.0
"""Slack below this is short even for work that takes less time."""


class WorkEstimates(Protocol):
    """Knows how long steps work."""

    def typical_work_s(self, step: StepState) -> float | None:
        """Seconds of work of a task on a usual worker, or ``None`` if unknown."""
        ...


class DeclaredWork:
    """Takes the estimates that clients declare. They may be missing or off by a factor of ten."""

    def typical_work_s(self, step: StepState) -> float | None:
        """The step's own estimate in seconds, or ``None`` if it has none."""
        return step.step.estimate_ms / 1000 or None


@dataclass(frozen=True, slots=True)
class _Work:
    """Work of an occurrence.

    :param chain_s: seconds of its longest chain of work.
    :param left_s: by step, seconds of the longest chain that begins with the step.
    """

    chain_s: float
    left_s: Sequence[float]


class Slack:
    """Slack of the steps of a cluster, at the time of the current round."""

    def __init__(self, work: WorkEstimates | None = None) -> None:
        self._estimates: WorkEstimates = work or DeclaredWork()
        self._now = 0.0
        self._wall_ms = 0.0
        self._work: dict[Occurrence, _Work | None] = {}
        self._slack: dict[StepState, float | None] = {}

    def begin_round(self, now: float, wall_ms: float) -> None:
        """Set the time, and drop what the last round has computed."""
        self._now = now
        self._wall_ms = wall_ms
        self._work.clear()
        self._slack.clear()

    def work_s(self, step: StepState) -> float | None:
        """Seconds of work of a step, or ``None`` if unknown."""
        return None if step.step.long_running else self._estimates.typical_work_s(step)

    def slack_s(self, step: StepState) -> float | None:
        """Seconds for which a step may still wait; negative if it is too late, ``None`` if unknown.

        The work of the step counts in full, also if it has begun.
        """
        if step not in self._slack:
            self._slack[step] = self._compute_slack(step)
        return self._slack[step]

    def _compute_slack(self, step: StepState) -> float | None:
        work = self._work_of(step.occurrence)
        if work is None:
            return None
        left_s = work.left_s[step.number]
        return self._objective_s(step, work) - self._elapsed_s(step) - left_s

    def is_short(self, step: StepState) -> bool:
        """Whether the slack of a step is below its work or :data:`SHORT_SLACK_S`, if that is more.

        False for a job that would earn nothing any more.
        """
        slack_s, work_s = self.slack_s(step), self.work_s(step)
        if slack_s is None or work_s is None or slack_s >= max(work_s, SHORT_SLACK_S):
            return False
        return self.worthless_for_s(step) is None

    def short_from_s(self, step: StepState) -> float | None:
        """When the slack of a step becomes short, on the monotonic clock; ``None`` if unknown."""
        slack_s, work_s = self.slack_s(step), self.work_s(step)
        if slack_s is None or work_s is None or self.worthless_for_s(step) is not None:
            return None
        return self._now + slack_s - max(work_s, SHORT_SLACK_S)

    def worthless_for_s(self, step: StepState) -> float | None:
        """Seconds for which a job has been past :data:`WORTHLESS_FACTOR` times its objective.

        ``None`` if it is not, or if its objective is unknown.
        """
        work = self._work_of(step.occurrence)
        if work is None:
            return None
        past_s = self._elapsed_s(step) - WORTHLESS_FACTOR * self._objective_s(step, work)
        return past_s if past_s > 0 else None

    def is_missed_by_stop(self, run: Run, stop_s: float) -> bool:
        """Whether the job of a run meets its objective only if the run is not stopped.

        :param stop_s: seconds that a stop takes.
        """
        step = run.task.step
        slack_s, work_s = self.slack_s(step), self.work_s(step)
        if slack_s is None or work_s is None:
            return False
        left_s = remaining_s(run, self._now)
        again_s = left_s if step.step.checkpoint and run.saved else work_s
        latest_s = slack_s + work_s
        return left_s <= latest_s < again_s + stop_s

    def _objective_s(self, step: StepState, work: _Work) -> float:
        return objective_s(step, work.chain_s)

    def _elapsed_s(self, step: StepState) -> float:
        """Seconds since the objective began to count.

        At least as long as the step has waited under this leader: the wall clock that stamped the
        acceptance may have been ahead.
        """
        occurrence = step.occurrence
        since_ms = max(occurrence.job.accepted.accepted_ms, occurrence.due_ms)
        return max((self._wall_ms - since_ms) / 1000, step.waited_s(self._now), 0.0)

    def _work_of(self, occurrence: Occurrence) -> _Work | None:
        if occurrence not in self._work:
            self._work[occurrence] = self._compute_work(occurrence)
        return self._work[occurrence]

    def _compute_work(self, occurrence: Occurrence) -> _Work | None:
        left_s = [0.0] * len(occurrence.steps)
        for step in reversed(occurrence.steps):
            work_s = self.work_s(step)
            if work_s is None:
                return None
            left_s[step.number] += work_s
            for earlier in step.step.after:
                left_s[earlier] = max(left_s[earlier], left_s[step.number])
        return _Work(max(left_s), left_s)
