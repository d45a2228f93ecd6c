"""Workers that are kept for normal gangs, the same ones from round to round.

A gang needs many workers free together. Chosen anew in each round, the workers that fit soonest
change with each end of a run, and narrow work fills the ones that were kept before.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from saddlestack.policy.cluster.backfill import MAX_KEPT_GANGS
from saddlestack.policy.cluster.jobs import Job, Run, StepState
from saddlestack.policy.cluster.places import IsKept, Places
from saddlestack.policy.cluster.progress import remaining_s
from saddlestack.policy.cluster.slack import NORMAL_PRIORITY, Slack
from saddlestack.policy.cluster.waiting import may_start
from saddlestack.policy.cluster.workers import Worker

EQUAL_HELD_S = 8.0
"""A step that has waited for longer than this is not held back for gangs of its priority that were
accepted later, so that of any two steps the older one goes first in the end."""
LOWER_HELD_S = 30.0
"""A step of lower priority that has waited for longer than this is held back only for gangs that
are short of slack. Bulk work rarely meets its objective of some 20 s after that."""
LONGEST_HELD_S = 120.0
"""A step of lower priority that has waited for longer than this is not held back for any gang, so
that it does not wait for ever. Bulk work earns nothing after some 60 s. With 30 s, a backlog of
bulk work took the room back that had just been made for a gang."""
SOONER_SHARE = 0.5
"""Other workers replace the kept ones if they are available within this share of the time."""
MIN_SOONER_S = 0.5
"""They do not if that gains less than this, the longest time between two rounds."""
RECHECK_S = 1.0
"""Time between two searches for workers that are available sooner, for one gang. The searches of 32
gangs in each round took as long as all other decisions."""
MAX_SEARCHES_PER_ROUND = 2
"""Gangs for which a round searches for the workers whose runs of any priority end soonest."""
_CLASSES = MAX_KEPT_GANGS + 2
"""Number of different results of each part of :meth:`KeptWorkers.rank`."""


@dataclass(slots=True, eq=False)
class KeptSet:
    """The workers that are kept for a gang.

    :param checked_s: when others were last looked for.
    :param awaits_all: whether work of any priority there has to end, rather than of lower ones.
    :param cleared_until_s: until when room that is being made there is kept from all but urgent
        work.
    """

    step: StepState
    workers: tuple[Worker, ...]
    checked_s: float
    awaits_all: bool = False
    cleared_until_s: float = -math.inf


@dataclass(frozen=True, slots=True)
class _Failure:
    """A gang for which a round has found no workers.

    :param is_long: whether it has waited for longer than :data:`EQUAL_HELD_S`.
    """

    slack_s: float
    accepted_ms: int
    is_long: bool

    def implies(self, other: _Failure) -> bool:
        """Whether a gang of the same shape finds none either: all that is kept from the one that
        has failed is kept from it as well."""
        if other.slack_s < self.slack_s:
            return False
        return not other.is_long or (self.is_long and other.accepted_ms >= self.accepted_ms)


class KeptWorkers:
    """The sets of workers that are kept for normal gangs, at most :data:`MAX_KEPT_GANGS`.

    :param service_of: returns the service that runs a job.
    """

    def __init__(self, slack: Slack, service_of: Callable[[Job], str]) -> None:
        self._slack = slack
        self._service_of = service_of
        self._now = 0.0
        self._sets: dict[StepState, KeptSet] = {}
        self._owners: dict[Worker, StepState] = {}
        self._before: dict[tuple[int, bool], set[StepState]] = {}
        self._pressed: set[StepState] = set()
        self._cleared: set[StepState] = set()
        self._searches_left = 0
        self._loosest_s: float | None = None
        self._slacks: list[float] = []
        self._accepted: list[int] = []
        self._failures: dict[int, _Failure] = {}

    def begin_round(self, now: float) -> None:
        """Drop the sets that are of no more use; the gang whose slack ends first goes first."""
        self._now = now
        self._searches_left = MAX_SEARCHES_PER_ROUND
        waiting = [each for each in self._sets.values() if may_start(each.step)]
        waiting.sort(key=lambda each: (not self._is_cleared(each), self._slack_s(each.step)))
        self._sets.clear()
        self._owners.clear()
        self._pressed.clear()
        self._cleared.clear()
        self._failures.clear()
        for each in waiting:
            if self._is_usable(each):
                self._put(each)
        self._slacks = sorted(self._slack_s(step) for step in self._sets)
        self._before.clear()
        self._accepted = sorted(_accepted_ms(step) for step in self._sets)

    def clear(self) -> None:
        """Keep no workers for any gang."""
        for step in list(self._sets):
            self.release(step)

    @property
    def is_any_kept(self) -> bool:
        """Whether workers are kept for any gang."""
        return bool(self._sets)

    def of(self, step: StepState) -> tuple[Worker, ...]:
        """The workers that are kept for a gang, if any."""
        held = self._sets.get(step)
        return () if held is None else held.workers

    def clear_room(self, step: StepState, workers: Sequence[Worker], until_s: float) -> None:
        """Keep workers for a gang that room is being made on, from all but urgent work.

        :param until_s: when they are kept like those of other gangs again.
        """
        self.release(step)
        # Runs of any priority that are about to end there count as room.
        self._put(KeptSet(step, tuple(workers), self._now, True, until_s))
        # Of a gang with more slack, workers may be kept that were found for this one as well.
        self._owners.update(dict.fromkeys(workers, step))

    def cleared(self, step: StepState) -> tuple[Worker, ...]:
        """The workers that room is being made on for a gang, if any."""
        return self.of(step) if step in self._cleared else ()

    @property
    def cleared_test(self) -> IsKept | None:
        """Test for workers that room is being made on for any gang; ``None`` if there are none."""
        if not self._cleared:
            return None
        return lambda worker: self._owners.get(worker) in self._cleared

    def is_others(self, worker: Worker, step: StepState) -> bool:
        """Whether a worker is kept for another gang than a step."""
        return self._owners.get(worker, step) is not step

    def needs_search(self, step: StepState, shape: int | None) -> bool:
        """Whether :meth:`keep` needs to know where a gang fits soonest now.

        :param shape: the number of its shape with its speed limit.
        """
        if step in self._cleared or self._has_failed(step, shape):
            return False
        held = self._sets.get(step)
        if held is not None:
            return self._now - held.checked_s >= RECHECK_S
        if len(self._sets) < MAX_KEPT_GANGS:
            return True
        if self._loosest_s is None:
            self._loosest_s = max(self._slack_s(owner) for owner in self._sets)
        return self._slack_s(step) < self._loosest_s

    def _has_failed(self, step: StepState, shape: int | None) -> bool:
        """Whether the search for another gang has shown that a gang without workers finds none."""
        failure = None if shape is None or step in self._sets else self._failures.get(shape)
        if failure is None or not failure.implies(self._failure(step)):
            return False
        return self._searches_left <= 0 or not self._slack.is_short(step)

    def _failure(self, step: StepState) -> _Failure:
        is_long = step.waited_s(self._now) > EQUAL_HELD_S
        return _Failure(self._slack_s(step), _accepted_ms(step), is_long)

    def forget_failures(self) -> None:
        """Search again for all gangs, since room was released."""
        self._failures.clear()

    def keep(self, step: StepState, places: Places, shape: int | None) -> None:
        """Keep the workers where a gang fits soonest, unless its present ones are good enough.

        If workers are kept for too many gangs, the one with the most slack gives way.

        :param places: the workers that it may run on.
        :param shape: the number of its shape with its speed limit.
        """
        found = self._find(step, places)
        held = self._sets.get(step)
        if held is None:
            if found is None:
                if shape is not None:
                    self._failures[shape] = self._failure(step)
            elif len(self._sets) < MAX_KEPT_GANGS or self._release_loosest():
                self._put(found)
            return
        held.checked_s = self._now
        if found is None or set(found.workers) == set(held.workers):
            return
        present_s = soonest_by_ends(step, held.workers, self._now)[0]
        other_s = soonest_by_ends(step, found.workers, self._now)[0]
        if other_s < present_s * SOONER_SHARE and present_s - other_s > MIN_SOONER_S:
            self.release(step)
            self._put(found)

    def _find(self, step: StepState, places: Places) -> KeptSet | None:
        """The workers where a gang fits soonest.

        If work of its own or a higher priority is in the way everywhere, a gang short of slack
        waits for the end of that as well.
        """
        soonest = places.soonest()
        if soonest:
            return KeptSet(step, tuple(soonest), self._now)
        if not self._slack.is_short(step) or self._searches_left <= 0:
            return None
        self._searches_left -= 1
        found = [
            soonest_by_ends(step, domain, self._now) for domain in places.domains(step.step.count)
        ]
        end_s, workers = min(found, key=lambda each: each[0], default=(math.inf, ()))
        if math.isinf(end_s):
            return None
        return KeptSet(step, tuple(workers), self._now, awaits_all=True)

    def _release_loosest(self) -> bool:
        """Release the set of the gang with the most slack; ``False`` if room is made for all."""
        others = [step for step in self._sets if step not in self._cleared]
        return bool(others) and self.release(max(others, key=self._slack_s))

    def release(self, step: StepState) -> bool:
        """Keep no workers for a step any more.

        :return: whether any were kept.
        """
        held = self._sets.pop(step, None)
        if held is None:
            return False
        self._pressed.discard(step)
        self._cleared.discard(step)
        self._failures.clear()
        self._before.clear()
        self._loosest_s = None
        for worker in held.workers:
            if self._owners.get(worker) is step:
                del self._owners[worker]
        return True

    def test(self, step: StepState, *, is_idle: bool) -> IsKept | None:
        """Test for workers that are kept from a step; ``None`` if none are.

        :param is_idle: whether the pool is idle. Then only gangs with little slack left go first:
            the kept workers themselves may be what makes the pool look idle.
        """
        rank = self.rank(step)
        before = None if rank is None else self._before.get((rank, is_idle))
        if before is None:
            owners = self._pressed | self._cleared if is_idle else self._sets
            before = {owner for owner in owners if self._is_held_back(step, owner)}
            if rank is not None:
                self._before[(rank, is_idle)] = before
        if not before:
            return None
        owner_of, held_back = self._owners.get, before
        return lambda worker: owner_of(worker) in held_back

    def rank(self, step: StepState) -> int | None:
        """Number that is equal for steps from which the same workers are kept.

        ``None`` for a step for which workers are kept.
        """
        if step in self._sets:
            return None
        priority = step.occurrence.job.priority
        if not self._sets or priority < NORMAL_PRIORITY:
            return 0
        waited_s = step.waited_s(self._now)
        if priority > NORMAL_PRIORITY:
            periods = (waited_s > LOWER_HELD_S) + (waited_s > LONGEST_HELD_S)
            return self.rank_count - 1 - periods
        older = 0
        if waited_s > EQUAL_HELD_S:
            older = len(self._accepted) - bisect_right(self._accepted, _accepted_ms(step))
        tighter = 0
        if step.step.gang:
            tighter = len(self._slacks) - bisect_right(self._slacks, self._slack_s(step))
        return older * _CLASSES + tighter

    @property
    def rank_count(self) -> int:
        """Number that every :meth:`rank` is below."""
        return _CLASSES * _CLASSES

    def _put(self, held: KeptSet) -> None:
        self._sets[held.step] = held
        self._before.clear()
        self._loosest_s = None
        if self._slack.is_short(held.step):
            self._pressed.add(held.step)
        if self._is_cleared(held):
            self._cleared.add(held.step)
        for worker in held.workers:
            self._owners.setdefault(worker, held.step)

    def _is_held_back(self, step: StepState, owner: StepState) -> bool:
        """Whether a step is held back for a gang."""
        if owner is step:
            return False
        priority, waited_s = step.occurrence.job.priority, step.waited_s(self._now)
        if owner in self._cleared:
            return priority >= NORMAL_PRIORITY
        if priority != NORMAL_PRIORITY:
            longest_s = LONGEST_HELD_S if owner in self._pressed else LOWER_HELD_S
            return priority > NORMAL_PRIORITY and waited_s <= longest_s
        if waited_s > EQUAL_HELD_S and _accepted_ms(step) < _accepted_ms(owner):
            return False
        return not step.step.gang or self._slack_s(step) >= self._slack_s(owner)

    def _is_cleared(self, held: KeptSet) -> bool:
        return self._now <= held.cleared_until_s

    def _is_usable(self, held: KeptSet) -> bool:
        """Whether a gang still fits on its workers once the work in its way has ended."""
        step = held.step
        service = self._service_of(step.occurrence.job)
        copies = 0
        for worker in held.workers:
            if worker.record.service != service or not self._accepts(worker, step):
                return False
            if held.awaits_all:
                copies += worker.max_copies(step.step)
                continue
            lower = worker.lower_priority_usage(step.occurrence.job.priority)
            copies += worker.copies(step, worker.free + lower)
        return copies >= step.step.count

    def _accepts(self, worker: Worker, step: StepState) -> bool:
        if not worker.accepts_work(self._now) or worker.suspected or not worker.matches(step.step):
            return False
        owner = self._owners.get(worker)
        return self._now >= worker.probation_s and owner is None

    def _slack_s(self, step: StepState) -> float:
        slack_s = self._slack.slack_s(step)
        return math.inf if slack_s is None else slack_s


def soonest_by_ends(
    step: StepState, workers: Sequence[Worker], now: float
) -> tuple[float, Sequence[Worker]]:
    """Seconds until a gang fits on some of these workers, as runs there end, and which these are.

    Infinite and none if it does not fit even then.
    """
    ends: list[tuple[float, int, Worker, Run]] = []
    copies: dict[Worker, int] = {}
    free = {worker: worker.free for worker in workers}
    for worker in free:
        count = worker.copies(step, worker.free)
        if count:
            copies[worker] = count
        for run in worker.runs.values():
            ends.append((_end_s(run, now), len(ends), worker, run))
    left = step.step.count - sum(copies.values())
    if left <= 0:
        return 0.0, _enough(copies, step.step.count)
    ends.sort()
    for end_s, _, worker, run in ends:
        free[worker] = free[worker] + run.allocation
        count = worker.copies(step, free[worker])
        if count > copies.get(worker, 0):
            left -= count - copies.get(worker, 0)
            copies[worker] = count
        if left <= 0:
            return end_s, _enough(copies, step.step.count)
    return math.inf, ()


def _enough(copies: dict[Worker, int], wanted: int) -> Sequence[Worker]:
    """The first workers that hold the wanted number of tasks."""
    chosen: list[Worker] = []
    for worker, count in copies.items():
        if wanted <= 0:
            break
        chosen.append(worker)
        wanted -= count
    return chosen


def _accepted_ms(step: StepState) -> int:
    return step.occurrence.job.accepted.accepted_ms


def _end_s(run: Run, now: float) -> float:
    """Seconds until a run ends; infinite for one that ends only when it is stopped."""
    if run.task.step.step.long_running and not run.stopping:
        return math.inf
    return 0.0 if run.stopping else remaining_s(run, now)
