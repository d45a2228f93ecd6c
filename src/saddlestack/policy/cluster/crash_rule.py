"""Evaluates the evidence that a task crashes its workers, by a likelihood ratio.

A task may crash every worker that starts it, and all other runs on the worker are lost with it.
Tasks that ran next to it look the same, and so do tasks on a worker that crashes by itself. The
evidence is how soon after its start each run was lost, whether it ran alone, and how often workers
crash anyway. As in :mod:`fault_attribution`, a likelihood ratio weighs the evidence, but per task:
runs of the job's other tasks are no evidence, since a single task of a job may crash its workers.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import msgspec

from saddlestack.policy.cluster.records import CrashRecord, clamp_log_odds

LIMIT_STARTS_FROM = 3
"""Number of crashes under a task from which on its starts are limited."""
MAX_LATER_STARTS = 2
"""Maximum number of starts after that. Three would break a rule of the platform, even if their runs
do not end with a crash."""
MIN_CRASHES = 2
"""Minimum number of crashes under a task before it may be given up; one crash is not enough."""
MAX_NOTICE_DELAY_S = 2.5
"""Maximum delay until the end of a worker is noticed, by the long poll that waits for run ends."""


@dataclass(frozen=True, slots=True)
class RunLifetime:
    """How long a run had been on its worker when the worker crashed, in seconds.

    :param min_s: lower limit.
    :param max_s: upper limit.
    :param silent_window_s: how long the worker had not answered. It may have crashed before the run
        arrived.
    :param confirmed: whether the worker has confirmed or reported the run.
    """

    min_s: float
    max_s: float
    silent_window_s: float = 0.0
    confirmed: bool = True


@dataclass(frozen=True, slots=True)
class CrashExposure:
    """One task on a worker that crashed.

    :param record: evidence from earlier crashes.
    :param rate: crashes per second of the worker that no task causes.
    :param base_rate: base rate of crashes per second of a worker of the service.
    :param gang: the gang of the task, or ``None``. It makes no difference which member crashed the
        worker, since no member runs without the others.
    """

    record: CrashRecord
    lifetime: RunLifetime
    rate: float
    base_rate: float
    gang: object = None


class CrashRule(Protocol):
    """Evaluates crash evidence about tasks."""

    @property
    def prior_log_odds(self) -> float:
        """Log odds of a task without any evidence."""
        ...

    def update(self, exposures: Sequence[CrashExposure]) -> list[CrashRecord]:
        """The records of all tasks on a crashed worker, updated with the crash."""
        ...

    def survived(self, record: CrashRecord, lived_s: float) -> CrashRecord:
        """The record of a task, updated with a run that survived for some time without a crash."""
        ...

    def is_suspect(self, record: CrashRecord) -> bool:
        """Whether a task has to run alone."""
        ...

    def is_likely(self, record: CrashRecord) -> bool:
        """Whether a task is more likely than not to crash its workers."""
        ...

    def is_cleared(self, record: CrashRecord) -> bool:
        """Whether the evidence about a task may be removed."""
        ...

    def is_culprit(self, record: CrashRecord) -> bool:
        """Whether a task that waits to be started has to be given up."""
        ...

    def awaits_confirmation(self, record: CrashRecord) -> bool:
        """Whether a task has used up its limited starts, while some of its crashes may be none."""
        ...


class CrashOdds:
    """Odds that a task crashes all of its workers, updated with each crash and each survival.

    Odds are ``p / (1 - p)``, where ``p`` is the probability that the task crashes its workers.

    The model: such a task first crashes a worker some time after its start, with a wide
    distribution, and at each later start within a few times as long. Workers also crash by
    themselves, at the base rate.
    """

    PRIOR_ODDS = 0.005
    """Odds of a task about which there is no evidence."""
    CLEARED_ODDS = 0.0005
    """A task is cleared when its odds are below this: the evidence about it is removed, and it is
    treated as any other task again. A run must have survived by then."""
    SUSPECT_ODDS = 0.02
    """A task is suspect, and may share its worker with no other run, when its odds are at least
    this."""
    LIKELY_ODDS = 1.0
    """A task is more likely than not to crash its workers when its odds are at least this."""
    CULPRIT_ODDS = 1000.0
    """A task is given up when its odds are at least this. At these odds, one in a thousand such
    tasks is not at fault."""
    MEDIAN_CRASH_AGE_S = 1.0
    """Age by which half of the tasks that crash their workers have done so."""
    MIN_SPAN_S = 0.3
    FIRST_CRASH_EXPONENT = 1.0
    """How fast the probability of a first crash falls with age: slowly, since it may come after
    minutes."""
    LATER_CRASH_EXPONENT = 3.0
    """The same for later crashes: fast, since the first crash has shown at which age they come."""
    UNCONFIRMED_SHARE = 0.1
    """Share of such tasks that crash their worker before it confirms the start. Mostly an
    unconfirmed start was sent to a worker that was already gone."""
    MIN_WIDTH_S = 0.05
    """Minimum width of the time interval of a crash; no crash time is known more precisely."""

    @property
    def prior_log_odds(self) -> float:
        """Natural logarithm of :attr:`PRIOR_ODDS`."""
        return math.log(self.PRIOR_ODDS)

    def update(self, exposures: Sequence[CrashExposure]) -> list[CrashRecord]:
        """The records of all tasks on a crashed worker, updated with the crash.

        The odds of a task rise with its share in the explanation of the crash: the others are the
        other tasks, unless they are of the same gang, and a crash that no task causes.
        """
        shares = [self._odds(each.record) * self._density(each) for each in exposures]
        total = sum(shares)
        gangs: dict[object, float] = {}
        for each, share in zip(exposures, shares, strict=True):
            gangs[each.gang] = gangs.get(each.gang, 0.0) + share
        updated = []
        for each, share in zip(exposures, shares, strict=True):
            own = share if each.gang is None else gangs[each.gang]
            # Rounding can lose a small rate next to a large total.
            others = max(each.rate, each.rate + total - own)
            updated.append(self._updated_record(each, share, others))
        return updated

    def survived(self, record: CrashRecord, lived_s: float) -> CrashRecord:
        """The record of a task, updated with a run that survived for some time without a crash.

        The odds are multiplied by the probability that a task which crashes its workers survives
        for so long. If the run outlived :attr:`CrashRecord.span_s`, at most one crash stays
        counted, a confirmed one if there is any, and the count of later starts returns to 0.
        """
        log_odds = clamp_log_odds(record.log_odds + math.log(self._survival(record, lived_s)))
        if lived_s <= record.span_s:
            return msgspec.structs.replace(record, log_odds=log_odds)
        # The task does not crash every worker that starts it, so the limit on its starts is lifted.
        kept = () if record.confirmed_crashes else record.unconfirmed[-1:]
        return CrashRecord(min(record.crashes, 1), log_odds, record.span_s, unconfirmed=kept)

    def is_suspect(self, record: CrashRecord) -> bool:
        """Whether the odds are at least :attr:`SUSPECT_ODDS`."""
        return record.log_odds >= math.log(self.SUSPECT_ODDS)

    def is_cleared(self, record: CrashRecord) -> bool:
        """Whether the odds are below :attr:`CLEARED_ODDS`, so that the record may be removed."""
        return record.log_odds < math.log(self.CLEARED_ODDS)

    def is_likely(self, record: CrashRecord) -> bool:
        """Whether the odds are at least :attr:`LIKELY_ODDS`."""
        return record.log_odds >= math.log(self.LIKELY_ODDS)

    def is_culprit(self, record: CrashRecord) -> bool:
        """Whether a task that waits to be started has to be given up.

        This is so once it has used up its limited starts, or after at least :data:`MIN_CRASHES`
        crashes if its odds are at least :attr:`CULPRIT_ODDS`. Unconfirmed crashes do not count.
        """
        crashes = record.confirmed_crashes
        if crashes >= LIMIT_STARTS_FROM and record.later_starts >= MAX_LATER_STARTS:
            return True
        return crashes >= MIN_CRASHES and record.confirmed_log_odds >= math.log(self.CULPRIT_ODDS)

    def awaits_confirmation(self, record: CrashRecord) -> bool:
        """Whether a task has used up its limited starts, without enough confirmed crashes."""
        is_unconfirmed = record.confirmed_crashes < LIMIT_STARTS_FROM
        return is_unconfirmed and record.later_starts >= MAX_LATER_STARTS

    def _updated_record(self, exposure: CrashExposure, share: float, others: float) -> CrashRecord:
        record, lifetime = exposure.record, exposure.lifetime
        repeats = bool(record.crashes) and lifetime.min_s <= record.span_s
        counts = repeats or self._density(exposure) >= exposure.base_rate
        span_s = record.span_s
        if counts:
            noticed_s = lifetime.min_s + min(lifetime.max_s - lifetime.min_s, MAX_NOTICE_DELAY_S)
            span_s = max(span_s, noticed_s, self.MIN_SPAN_S)
        log_odds = clamp_log_odds(_log(share) - _log(others))
        return msgspec.structs.replace(
            record, crashes=record.crashes + counts, log_odds=log_odds, span_s=span_s
        )

    def _odds(self, record: CrashRecord) -> float:
        if not record.crashes:
            return self.PRIOR_ODDS
        return record.odds

    def _survival(self, record: CrashRecord, age_s: float) -> float:
        """Probability that a task which crashes its workers has not done so by some age."""
        if not record.crashes:
            return float((1 + age_s / self.MEDIAN_CRASH_AGE_S) ** -self.FIRST_CRASH_EXPONENT)
        return float((1 + age_s / record.span_s) ** -self.LATER_CRASH_EXPONENT)

    def _density(self, exposure: CrashExposure) -> float:
        """Crashes per second of such a task over the interval in which its worker crashed."""
        lifetime = exposure.lifetime
        max_s = max(lifetime.max_s, lifetime.min_s + self.MIN_WIDTH_S)
        before = self._survival(exposure.record, lifetime.min_s)
        after = self._survival(exposure.record, max_s)
        width_s = max(max_s - lifetime.min_s, lifetime.silent_window_s)
        share = 1.0 if lifetime.confirmed else self.UNCONFIRMED_SHARE
        return share * (before - after) / width_s


CRASH_RULE: CrashRule = CrashOdds()
"""The rule that a cluster state uses unless it is given another one."""


def _log(probability: float) -> float:
    """Natural logarithm. A probability that was rounded to 0 counts as the smallest number."""
    return math.log(max(probability, math.ulp(0.0)))
