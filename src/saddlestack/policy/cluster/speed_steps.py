"""Compares the runs of one step, and derives evidence of the speed of their workers."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.speed_evidence import AGREEMENT, Evidence
from saddlestack.policy.cluster.speed_gangs import GangSpread, spread_of
from saddlestack.policy.cluster.speed_groups import Groups, two_groups
from saddlestack.policy.cluster.speed_records import KNOWN_WEIGHT, WorkerSpeed

MIN_WORKERS = 3
"""Workers with a rate from which on a step gives evidence."""
MIN_GANG_WORKERS = 2
"""The same for a gang of equal members, where each rate is exact."""
WEIGHT_OF_UNKNOWN = 0.1
"""What a worker of unknown speed adds to the weight of a step's evidence. Where a third of the
workers is slow, more than half of 3 are slow in one case of four, of 10 in one of twelve."""
WEIGHT_OF_KNOWN = 0.35
"""The same for a worker of known speed: three of them show what is usual."""
WEIGHT_IN_DOUBT = 0.02
"""What a worker of unknown speed adds where slow workers are known to exist, no run is on a worker
of known speed, and all rates are alike: these may all be slow workers. Placement prefers workers by
what is known of them, so the unknown ones are no fair sample."""
WEIGHT_OF_GANG = 2.0
"""Weight of the evidence of a gang of equal members, twice that of a wide step of uneven tasks."""
MIN_SHOWN = 5
"""Workers from which on two groups with uneven tasks show by themselves which ones are slow."""
PULL_OF_UNKNOWN = 0.25
"""What a worker of unknown speed counts in the length of a step, against 1 for a known one. With
uneven tasks it counts as much as fewer than three known ones, whose runs may all be long."""
FASTER_SHARE = 0.25
"""Share of the faster of two groups from which on its length is that of the step. Those of the
other group are then slow; a single fast run of a wide step remains an outlier."""
UNEVEN_MARGIN = 0.18
"""How far the logarithm of a single run may be off where tasks are uneven: at a spread of a fifth,
one run of 300 on a worker with factor 2.4 falls below 1.5 by more than this."""
GANG_MARGIN = 0.07
"""The same in a gang of equal members, where whole percents are the largest error."""
MAX_COMPARED = 64
"""Runs that the length of a step is computed from; more would not make it more exact."""
MOVED = 0.1
"""Change of the logarithm of a step's length after which all of its evidence is renewed."""
RENEWAL_SHARE = 0.5
"""A step is compared again after the rates of this share of its workers have changed..."""
MIN_RENEWAL_S = 0.5
"""...or after this time..."""
RENEWAL_S_PER_STEP = 2e-3
"""...and this time per step that is compared, which bounds the comparisons to 500 per second: one
of 40 runs takes 120 microseconds."""
FIRST_PERCENT = 10
"""Progress from which on a rate counts."""
FIRST_S = 0.4
"""Time from which on a rate counts."""
WAITING_PERCENT = 99
"""Progress at which the member of a gang waits for the others."""
URGENT_FIRST_PERCENT = 6
"""The same for an urgent gang: its members are reported every 0.3 s and have equal work, so that
8 and 21 percent tell a slow worker."""
URGENT_FIRST_S = 0.25
"""The same for an urgent gang."""
NEVER_PERCENT = 1000
"""Progress that no run reaches."""


@dataclass(slots=True, eq=False)
class RunRate:
    """The rate of one run.

    :param number: number of the run.
    :param log_duration: logarithm of its whole duration in seconds, ``None`` before it has a rate.
    :param next_percent: progress at which the rate is renewed.
    :param began_s: when it began to work.
    :param first_percent: progress at that time.
    :param ended: whether it is done, so that its duration is final.
    """

    speed: WorkerSpeed
    number: int
    began_s: float
    first_percent: float = 0.0
    log_duration: float | None = None
    next_percent: int = FIRST_PERCENT
    ended: bool = False

    @property
    def is_excluded(self) -> bool:
        """Whether it gives no evidence."""
        return self.next_percent == NEVER_PERCENT and not self.ended


@dataclass(slots=True, eq=False)
class WorkerShare:
    """The rates of a step's runs on one worker, and the evidence that they give."""

    rates: list[RunRate] = field(default_factory=list)
    piece: Evidence | None = None


class StepComparison:
    """The rates of the runs of one step.

    Attributes: ``rates`` by index of the task, ``shares`` by worker, ``length`` the logarithm of
    its seconds on a usual worker, ``running`` the number of tracked runs that have not ended,
    ``gang_began`` the number of the gang's run and when it began, ``is_counted`` whether a gang's
    length was taken as typical work, ``is_left_out`` whether nothing is learned from the step,
    ``gangs`` the spread of gangs for a gang of several tasks, ``first_percent`` and ``first_s``
    from where on a rate counts.
    """

    __slots__ = (
        "_changed",
        "_compared_s",
        "_has_spread",
        "_weight",
        "first_percent",
        "first_s",
        "gang_began",
        "gangs",
        "is_counted",
        "is_left_out",
        "length",
        "rates",
        "running",
        "shares",
    )

    def __init__(
        self,
        gangs: GangSpread | None = None,
        first_percent: int = FIRST_PERCENT,
        first_s: float = FIRST_S,
    ) -> None:
        self.gangs = gangs
        self.first_percent = first_percent
        self.first_s = first_s
        self._has_spread = False
        self.rates: dict[int, RunRate] = {}
        self.shares: dict[WorkerSpeed, WorkerShare] = {}
        self.length: float | None = None
        self.running = 0
        self.gang_began: tuple[int, float] | None = None
        self.is_counted = False
        self.is_left_out = False
        self._weight = 0.0
        self._changed: dict[WorkerSpeed, None] = {}
        self._compared_s = -math.inf

    def open_rate(self, run: Run, speed: WorkerSpeed, began_s: float) -> RunRate:
        """Begin to track a run, in place of an earlier run of the task."""
        index = run.task.name.index
        self.discard(index)
        rate = self.rates[index] = RunRate(speed, run.number, began_s)
        rate.next_percent = self.first_percent
        self.running += 1
        return rate

    def end(self, rate: RunRate) -> None:
        """Note that a run is done, so that its duration is final."""
        if not rate.ended:
            rate.ended = True
            rate.next_percent = NEVER_PERCENT
            self.running -= 1

    def set_duration(self, rate: RunRate, duration_s: float) -> None:
        """Set the whole duration of a run, as its rate or its end gives it."""
        if rate.log_duration is None:
            self.shares.setdefault(rate.speed, WorkerShare()).rates.append(rate)
        rate.log_duration = math.log(duration_s)
        self._changed[rate.speed] = None

    def discard(self, index: int) -> None:
        """Drop the run of a task, which gives no evidence."""
        rate = self.rates.pop(index, None)
        if rate is None:
            return
        self.running -= not rate.ended
        self._withdraw_rate(rate)

    def exclude(self, rate: RunRate) -> None:
        """Take no evidence from a run from now on; it remains tracked."""
        rate.next_percent = NEVER_PERCENT
        self._withdraw_rate(rate)

    def _withdraw_rate(self, rate: RunRate) -> None:
        if rate.log_duration is not None:
            rate.log_duration = None
            self.shares[rate.speed].rates.remove(rate)
            self._changed[rate.speed] = None

    def is_due(self, now: float, renewal_s: float) -> bool:
        """Whether enough has changed to compare the runs again.

        :param renewal_s: time after which any change is enough.
        """
        if len(self.shares) < self._min_workers:
            return False
        if len(self._changed) >= RENEWAL_SHARE * len(self.shares):
            return True
        return now - self._compared_s >= renewal_s

    @property
    def _is_even(self) -> bool:
        """Whether the runs have equal work."""
        return self.gangs is not None and self.gangs.is_even

    @property
    def _min_workers(self) -> int:
        return MIN_GANG_WORKERS if self._is_even else MIN_WORKERS

    def compare(self, now: float, *, is_unequal: bool) -> list[tuple[WorkerSpeed, Evidence]]:
        """Renew the length of the step; returns the evidence that changed or was withdrawn.

        :param is_unequal: whether slow workers are known to exist.
        """
        present = [speed for speed, share in self.shares.items() if share.rates]
        self._compared_s = now
        changed, self._changed = self._changed, {}
        if len(present) < self._min_workers:
            self.length = None
            return self._withdraw_all()
        lengths = self._lengths(present)
        groups = two_groups([each[0] for each in lengths])
        self._add_spread(lengths, groups)
        if len(present) < MIN_SHOWN and not self._is_even:
            groups = None
        length = _length_of(lengths, groups)
        weight = self._weight_of(present, groups, is_unequal=is_unequal)
        renewed: Iterable[WorkerSpeed] = changed
        moved = self.length is None or abs(length - self.length) > MOVED
        if moved:
            self.length = length
        if moved or weight != self._weight:
            renewed = self.shares
        self._weight = weight
        found = (self._renew(speed, now if speed in changed else None) for speed in renewed)
        return [each for each in found if each is not None]

    def _withdraw_all(self) -> list[tuple[WorkerSpeed, Evidence]]:
        found = []
        for speed, share in self.shares.items():
            if share.piece is not None:
                share.piece.dropped = True
                found.append((speed, share.piece))
                share.piece = None
        return found

    def _lengths(self, present: list[WorkerSpeed]) -> list[tuple[float, float]]:
        """The length of the step by each worker, and what it counts; shortest first."""
        if len(present) > MAX_COMPARED:
            present = present[:: len(present) // MAX_COMPARED]
        known = sum(1 for speed in present if speed.level is not None)
        pull_of_unknown = PULL_OF_UNKNOWN if self._is_even or known >= MIN_WORKERS else 1.0
        earlier = self.length or 0.0
        lengths = []
        for speed in present:
            rates = self.shares[speed].rates
            duration = rates[0].log_duration if len(rates) == 1 else None
            if duration is None:
                duration = _typical(rates, earlier) + earlier
            pull = pull_of_unknown if speed.level is None else 1.0
            lengths.append((duration - speed.offset, pull))
        lengths.sort()
        return lengths

    def _add_spread(self, lengths: list[tuple[float, float]], groups: Groups | None) -> None:
        """Note how far the faster members of a gang agree when they are first compared.

        Later the speeds of their workers are known from this very gang, and explain any spread.
        """
        if self.gangs is None or self._has_spread:
            return
        self._has_spread = True
        faster = lengths if groups is None else lengths[: groups.size]
        if len(faster) >= 2:
            self.gangs.add(spread_of([each[0] for each in faster]))

    def _weight_of(
        self, present: list[WorkerSpeed], groups: Groups | None, *, is_unequal: bool
    ) -> float:
        """The weight of evidence: how well the step shows what is usual."""
        known = sum(1 for speed in present if speed.level is not None)
        unknown = len(present) - known
        if self._is_even and (known or groups is not None):
            return WEIGHT_OF_GANG
        if not known and groups is None and is_unequal:
            return min(1.0, unknown * WEIGHT_IN_DOUBT)
        weight = known * WEIGHT_OF_KNOWN + unknown * WEIGHT_OF_UNKNOWN
        if groups is not None and groups.size >= 2:
            weight = max(weight, KNOWN_WEIGHT)
        return min(1.0, weight)

    def _renew(self, speed: WorkerSpeed, now: float | None) -> tuple[WorkerSpeed, Evidence] | None:
        """Renew the evidence on a worker.

        :param now: the time, or ``None`` if only the length of the step has changed.
        """
        share = self.shares[speed]
        piece = share.piece
        if not share.rates:
            if piece is None:
                return None
            piece.dropped = True
            share.piece = None
            return speed, piece
        excess = _typical(share.rates, self.length or 0.0)
        if piece is None:
            piece = share.piece = Evidence(excess, 0.0, 0, self._compared_s)
        piece.excess = excess
        piece.weight = self._weight
        piece.runs = len(share.rates)
        piece.margin = self._margin(piece.runs)
        piece.is_even = self._is_even
        if now is not None:
            piece.updated_s = now
        return speed, piece

    def _margin(self, runs: int) -> float:
        if self._is_even:
            return GANG_MARGIN
        return UNEVEN_MARGIN / math.sqrt(runs)


def gives_evidence(step: StepState) -> bool:
    """Whether the durations of a step's runs depend on the speed of their workers alone."""
    return not (step.step.fills or step.step.long_running or step.step.target_ms)


def _length_of(lengths: list[tuple[float, float]], groups: Groups | None) -> float:
    """The length of a step on a usual worker.

    :param lengths: those by each worker and what they count, shortest first.
    """
    total = sum(pull for _, pull in lengths)
    if groups is not None:
        faster = lengths[: groups.size]
        pull = sum(pull for _, pull in faster)
        if pull >= FASTER_SHARE * total:
            lengths, total = faster, pull
    passed = 0.0
    for index, (length, pull) in enumerate(lengths):
        passed += pull
        if passed > total / 2:
            return length
        if passed == total / 2:
            return (length + lengths[index + 1][0]) / 2
    return lengths[-1][0]


def _typical(rates: list[RunRate], length: float) -> float:
    """The typical excess of runs on one worker.

    Of two that differ, the one closer to the length of the step, since a single run may be long.
    """
    excesses = [rate.log_duration - length for rate in rates if rate.log_duration is not None]
    if len(excesses) == 1:
        return excesses[0]
    excesses.sort()
    middle = len(excesses) // 2
    if len(excesses) % 2:
        return excesses[middle]
    low, high = excesses[middle - 1], excesses[middle]
    if len(excesses) == 2 and high - low > AGREEMENT:
        return min(low, high, key=abs)
    return (low + high) / 2
