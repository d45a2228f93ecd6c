"""Decisions in favor of normal gangs, which wait for many workers at once.

Narrow work of lower priority takes each gap as it appears, so that a gang may never find all of its
workers free together. All decisions here are limited to gangs of normal priority whose slack is
known; where the option is off, none is made.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from itertools import islice

from saddlestack.policy.cluster.gang_preemption import MAX_DOMAINS_SEARCHED, GangPreemption
from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.kept_workers import KeptWorkers
from saddlestack.policy.cluster.places import Places
from saddlestack.policy.cluster.preemption import Preemption
from saddlestack.policy.cluster.slack import NORMAL_PRIORITY, Slack
from saddlestack.policy.cluster.victims import MayStop, least_harmful
from saddlestack.policy.cluster.workers import Worker


class GangPriority:
    """Decides what is done for waiting gangs.

    :param kept: the workers that are kept for them.
    :param preemption: chooses what is stopped for them.
    :param enabled: whether the option is on.
    :param min_workers: workers of a pool from which on these decisions are made.
    """

    def __init__(
        self,
        slack: Slack,
        kept: KeptWorkers,
        preemption: GangPreemption,
        *,
        enabled: bool,
        min_workers: int = 0,
    ) -> None:
        self._slack = slack
        self._kept = kept
        self._preemption = preemption
        self._is_on = enabled
        self._min_workers = min_workers
        self._enabled = enabled

    @property
    def is_enabled(self) -> bool:
        """Whether the option is on and the pool is large enough for it."""
        return self._enabled

    def begin_round(self, now: float, wall_ms: float, workers: int) -> None:
        """Set the time, and drop what is kept for gangs that wait no more.

        :param workers: number of workers of the pool.
        """
        self._enabled = self._is_on and workers >= self._min_workers
        if self._is_on:
            if not self._enabled:
                self._kept.clear()
            self._slack.begin_round(now, wall_ms)
            self._preemption.begin_round(now)
            self._kept.begin_round(now)

    def keep(
        self, step: StepState, places: Callable[[], Places], shape: Callable[[], int | None]
    ) -> bool:
        """Keep workers for a waiting gang, if it is one that this module favors.

        :param places: returns the workers that it may run on.
        :param shape: returns the number of its shape with its speed limit.
        """
        if not self._is_favored(step) or self._slack.slack_s(step) is None:
            return False
        number = shape()
        if self._kept.needs_search(step, number):
            self._kept.keep(step, places(), number)
        return True

    def note_released(self) -> None:
        """Note that reserved capacity was released, which may suit gangs without workers."""
        self._kept.forget_failures()

    def victims(
        self, step: StepState, places: Callable[[], Places], may_stop: MayStop, now: float
    ) -> list[Run]:
        """Choose the runs to stop now for a gang, and keep the workers where it fits then.

        None if the headroom might keep the gang from the workers once they are empty.
        """
        if not self.opens_headroom(step):
            return []
        made = self._preemption.make_room(step, self._domains(step, places), may_stop, now)
        if made is None:
            return []
        self._kept.clear_room(step, made.workers, made.until_s)
        return made.victims

    def _domains(self, step: StepState, places: Callable[[], Places]) -> Iterator[Sequence[Worker]]:
        """The workers that are kept for a gang, then others that are kept for no other gang."""
        others = islice(places().domains(step.step.count), MAX_DOMAINS_SEARCHED)
        for domain in (self._kept.of(step), *others):
            yield [worker for worker in domain if not self._kept.is_others(worker, step)]

    def cleared(self, step: StepState) -> tuple[Worker, ...]:
        """The workers that room is being made on for a gang, if any."""
        return self._kept.cleared(step)

    def least_harmful(
        self, search: Callable[[MayStop], Preemption | None], may_stop: MayStop, step: StepState
    ) -> Preemption | None:
        """Search for a preemption: the cheapest, or with the option on the least harmful.

        :param search: returns the cheapest preemption if only certain runs may be stopped.
        """
        return least_harmful(search, may_stop, step) if self._enabled else search(may_stop)

    def release(self, step: StepState) -> bool:
        """Keep no workers for a step any more; returns whether any were kept."""
        return self._kept.release(step)

    def opens_headroom(self, step: StepState) -> bool:
        """Whether the headroom is open to a step because little of its slack is left.

        Only for gangs that may be stopped again, so that urgent work gets the workers back.
        """
        return self._may_open_headroom(step) and self._slack.is_short(step)

    def headroom_opens_s(self, step: StepState) -> float | None:
        """When the headroom opens to a step by its slack; ``None`` if it does not."""
        return self._slack.short_from_s(step) if self._may_open_headroom(step) else None

    def shape(self, step: StepState, shape: int | None) -> int | None:
        """The number by which steps are equal if slack counts as well as their shape.

        ``None`` if no other step is equal.

        :param shape: the number of the step's shape.
        """
        if not self._enabled or shape is None:
            return shape
        rank = self._kept.rank(step)
        if rank is None:
            return None
        return (shape * self._kept.rank_count + rank) * 2 + self.opens_headroom(step)

    def _may_open_headroom(self, step: StepState) -> bool:
        return self._is_favored(step) and not step.step.once

    def _is_favored(self, step: StepState) -> bool:
        """Whether a step is a gang of normal priority."""
        is_normal = step.occurrence.job.priority == NORMAL_PRIORITY
        return self._enabled and step.step.gang and is_normal and not step.step.long_running
