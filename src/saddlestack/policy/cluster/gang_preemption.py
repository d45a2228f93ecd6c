"""Preemption of bulk work for a normal gang whose slack runs out.

Room that is free or becomes free in time counts first, and only the difference is stopped, where
that loses least. Nothing is reserved: the workers are kept from all but urgent work, which must not
wait for a gang's room.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.preemption import Preemptor
from saddlestack.policy.cluster.reservations import RESERVATION_TIMEOUT_S
from saddlestack.policy.cluster.slack import Slack
from saddlestack.policy.cluster.victims import MayStop, Members, ends_within
from saddlestack.policy.cluster.waiting import may_start
from saddlestack.policy.cluster.workers import Worker

PREEMPTION_SLACK_S = 1.5
"""Below this slack bulk work is stopped for a normal gang. A round, a stop and the start take up to
0.5, 0.4 and 0.1 s; the rest is for a second attempt."""
MAX_STOPPED_TASKS = 64
"""Tasks that are stopped for one gang at most, over all attempts."""
MAX_TASK_PREEMPTIONS = 2
"""A task that was stopped this often for others is not stopped for a gang."""
MISSED_LOSS_FACTOR = 2.0
"""The loss of work whose own objective would be missed because of the stop counts this often."""
MAX_SEARCHES_PER_ROUND = 2
"""Gangs for which a round searches for runs to stop. Such a search takes up to 2 ms."""
RETRY_S = 0.5
"""Time after which a search that found nothing is repeated, at the earliest."""
START_MARGIN_S = 0.5
"""Room counts as free in time if runs end this long before the slack does. The next round may be
0.5 s away if an end is noticed late."""
MAX_DOMAINS_SEARCHED = 8
"""Groups of workers that are searched beside those kept for the gang, to bound the cost."""


@dataclass(frozen=True, slots=True)
class MadeRoom:
    """Where room is made for a gang.

    :param workers: the workers on which it fits then.
    :param victims: the runs to stop.
    :param until_s: when it has to have started there.
    """

    workers: Sequence[Worker]
    victims: list[Run]
    until_s: float


@dataclass(slots=True)
class _Attempt:
    """Stops that were ordered for a gang.

    :param victims: the runs that were ordered to stop.
    :param until_s: when the attempt is given up.
    """

    step: StepState
    victims: list[Run]
    until_s: float

    def is_over(self, now: float) -> bool:
        """Whether the gang waits no more, all victims have ended, or it has taken too long."""
        if now > self.until_s or not may_start(self.step):
            return True
        return all(run.task.run is not run for run in self.victims)


class GangPreemption:
    """Chooses which bulk runs are stopped for which gang.

    :param stop_s: returns the seconds that a stop usually takes.
    """

    def __init__(self, slack: Slack, members: Members, stop_s: Callable[[], float]) -> None:
        self._slack = slack
        self._members = members
        self._stop_s = stop_s
        self._attempts: dict[int, _Attempt] = {}
        self._stopped: dict[StepState, int] = {}
        self._failed_s: dict[StepState, float] = {}
        self._searches = 0

    def begin_round(self, now: float) -> None:
        """Drop the attempts that are over."""
        self._searches = 0
        self._failed_s = {
            step: failed_s for step, failed_s in self._failed_s.items() if now - failed_s < RETRY_S
        }
        self._attempts = {
            priority: each for priority, each in self._attempts.items() if not each.is_over(now)
        }
        self._stopped = {step: count for step, count in self._stopped.items() if may_start(step)}

    def make_room(
        self, step: StepState, domains: Iterable[Sequence[Worker]], may_stop: MayStop, now: float
    ) -> MadeRoom | None:
        """Choose where room is made for a gang now; ``None`` if its slack or a limit forbids it.

        :param domains: groups of workers to search, read only if the gang is due. They must not be
            kept for others.
        """
        priority = step.occurrence.job.priority
        if priority in self._attempts or not self._is_due(step):
            return None
        if step in self._failed_s or self._searches >= MAX_SEARCHES_PER_ROUND:
            return None
        self._searches += 1
        made = self._search(step, domains, may_stop, now)
        stopped = self._stopped.get(step, 0) + (0 if made is None else len(made.victims))
        if made is None or stopped > MAX_STOPPED_TASKS:
            self._failed_s[step] = now
            return None
        if made.victims:
            self._stopped[step] = stopped
            self._attempts[priority] = _Attempt(step, made.victims, made.until_s)
        return made

    def _search(
        self, step: StepState, domains: Iterable[Sequence[Worker]], may_stop: MayStop, now: float
    ) -> MadeRoom | None:
        """Where a gang fits with the least loss, and the runs that do not end in time for it."""
        priority = step.occurrence.job.priority
        stop_s = self._stop_s()
        ends_by_s = max(stop_s, (self._slack.slack_s(step) or 0.0) - START_MARGIN_S)

        def ends_in_time(run: Run) -> bool:
            return run.stopping or ends_within(self._members(run), ends_by_s, now)

        def may_stop_for_gang(run: Run) -> bool:
            if ends_in_time(run):
                return True
            if run.task.step.occurrence.job.priority <= priority:
                return False
            return run.task.preemptions < MAX_TASK_PREEMPTIONS and may_stop(run)

        preemptor = _GangPreemptor(
            self._members, may_stop_for_gang, ends_in_time, self._slack, stop_s, now
        )
        found = preemptor.cheapest(step, step.step.count, domains)
        if found is None:
            return None
        victims = [run for run in found.victims if not ends_in_time(run)]
        workers = tuple(dict.fromkeys(found.places))
        held_s = RESERVATION_TIMEOUT_S if victims else ends_by_s
        return MadeRoom(workers, victims, now + held_s)

    def _is_due(self, step: StepState) -> bool:
        """Whether a gang is short of slack, and would still be in time if it started now."""
        slack_s = self._slack.slack_s(step)
        return slack_s is not None and 0.0 <= slack_s < PREEMPTION_SLACK_S


class _GangPreemptor(Preemptor):
    """Searches for the runs to stop for a gang, with the value of the victims' objectives."""

    def __init__(
        self,
        members: Members,
        may_stop: MayStop,
        ends_in_time: MayStop,
        slack: Slack,
        stop_s: float,
        now: float,
    ) -> None:
        super().__init__(members, may_stop, ends_in_time, now)
        self._slack = slack
        self._stop_s = stop_s

    def loss(self, run: Run) -> float:
        """Core-seconds that are lost if a run stops now, doubled if its job becomes late by it."""
        lost = super().loss(run)
        if self._slack.is_missed_by_stop(run, self._stop_s):
            lost *= MISSED_LOSS_FACTOR
        return lost
