"""Compares the runs of one step, and derives evidence of the speed of their workers."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.speed_evidence import AGREEMENT, Evidence
from saddlestack.policy.cluster.speed_records import WorkerSpeed

MIN_WORKERS = 3
"""Workers with a rate from which on a step gives evidence."""
WEIGHT_OF_UNKNOWN = 0.1
"""What a worker of unknown speed adds to the weight of a step's evidence. Where a third of the
workers is slow, more than half of 3 are slow in one case of four, of 10 in one of twelve."""
WEIGHT_OF_KNOWN = 0.35
"""The same for a worker of known speed: three of them show what is usual."""
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
of 40 runs takes 80 microseconds on a busy machine."""
FIRST_PERCENT = 10
"""Progress from which on a rate counts."""
FIRST_S = 0.4
"""Time from which on a rate counts."""
WAITING_PERCENT = 99
"""Progress at which the member of a gang waits for the others."""
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
    length was taken as typical work, ``is_left_out`` whether nothing is learned from the step.
    """

    __slots__ = (
        "_changed",
        "_compared_s",
        "_weight",
        "gang_began",
        "is_counted",
        "is_left_out",
        "length",
        "rates",
        "running",
        "shares",
    )

    def __init__(self) -> None:
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
        if len(self.shares) < MIN_WORKERS:
            return False
        if len(self._changed) >= RENEWAL_SHARE * len(self.shares):
            return True
        return now - self._compared_s >= renewal_s

    def compare(self, now: float) -> list[tuple[WorkerSpeed, Evidence]]:
        """Renew the length of the step; returns the evidence that changed or was withdrawn."""
        present = [speed for speed, share in self.shares.items() if share.rates]
        self._compared_s = now
        changed, self._changed = self._changed, {}
        if len(present) < MIN_WORKERS:
            self.length = None
            return self._withdraw_all()
        length = self._median_length()
        self._weight = _weight_of(present)
        renewed: Iterable[WorkerSpeed] = changed
        if self.length is None or abs(length - self.length) > MOVED:
            self.length = length
            renewed = self.shares
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

    def _median_length(self) -> float:
        lengths = [
            rate.log_duration - rate.speed.offset
            for rate in self.rates.values()
            if rate.log_duration is not None
        ]
        if len(lengths) > MAX_COMPARED:
            lengths = lengths[:: len(lengths) // MAX_COMPARED]
        lengths.sort()
        middle = len(lengths) // 2
        return lengths[middle] if len(lengths) % 2 else (lengths[middle - 1] + lengths[middle]) / 2

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
        if now is not None:
            piece.updated_s = now
        return speed, piece


def gives_evidence(step: StepState) -> bool:
    """Whether the durations of a step's runs depend on the speed of their workers alone."""
    return not (step.step.fills or step.step.long_running or step.step.target_ms)


def _weight_of(speeds: list[WorkerSpeed]) -> float:
    weight = 0.0
    for speed in speeds:
        weight += WEIGHT_OF_KNOWN if speed.known else WEIGHT_OF_UNKNOWN
        if weight >= 1.0:
            return 1.0
    return weight


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
