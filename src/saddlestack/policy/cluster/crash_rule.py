"""What crashes of its workers tell of a task, by a likelihood ratio.

A task may crash each worker that starts it, and all that runs there dies with it. Whoever ran
beside it looks the same, and so does work on a worker that crashes by itself. What tells them apart
is how soon after its start each one was lost, whether it was alone, and how often workers crash
anyhow. As in :mod:`blame` a likelihood ratio weighs that, here for each task. Runs of the job's
other tasks tell nothing of it: one task of a job may crash its workers and all others be sound.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import msgspec

from saddlestack.policy.cluster.records import CrashRecord, clamp_log_odds

COUNTED_FROM = 3
"""Once so many workers have crashed under a task its starts are counted..."""
LATER_STARTS = 2
"""...and it is started so often more: three times break a rule of the platform, also where a run
ends otherwise than with a crash."""
LEAST_CRASHES = 2
"""One crash convicts nobody: a task may be given up once two workers have crashed under it."""
DOUBT_S = 2.5
"""The end of a worker is noticed so late at most: by the look that waits for an end there."""


@dataclass(frozen=True, slots=True)
class Lived:
    """How long a run had been at its worker when that crashed, in seconds.

    :param least_s: so long at least...
    :param most_s: ...and so long at most.
    :param window_s: for so long the worker was not heard; it may have crashed before the run came.
    :param confirmed: the worker has answered the run's start, or has told of it.
    """

    least_s: float
    most_s: float
    window_s: float = 0.0
    confirmed: bool = True


@dataclass(frozen=True, slots=True)
class Exposure:
    """One task on a worker that crashed.

    :param record: what earlier crashes tell of it.
    :param rate: crashes a second by which the worker would have crashed without it or the others.
    :param usual_rate: crashes a second of workers of the service at any time.
    :param gang: the gang that it is of, or ``None``. Which member crashed the worker makes no
        difference: none of them runs without the others.
    """

    record: CrashRecord
    lived: Lived
    rate: float
    usual_rate: float
    gang: object = None


class CrashRule(Protocol):
    """Decides what crashes tell of tasks."""

    @property
    def prior_log_odds(self) -> float:
        """What is held of a task of which nothing is known."""
        ...

    def charge(self, exposed: Sequence[Exposure]) -> list[CrashRecord]:
        """What is known of each task of a crashed worker after the crash."""
        ...

    def survived(self, record: CrashRecord, lived_s: float) -> CrashRecord:
        """What is known of a task after its run has lived for some time without a crash."""
        ...

    def is_suspect(self, record: CrashRecord) -> bool:
        """Whether a task is to be kept from others."""
        ...

    def is_likely(self, record: CrashRecord) -> bool:
        """Whether a task is a likelier culprit than not."""
        ...

    def is_cleared(self, record: CrashRecord) -> bool:
        """Whether crashes under a task need not be remembered any longer."""
        ...

    def is_culprit(self, record: CrashRecord) -> bool:
        """Whether a task that waits to be started is to be given up."""
        ...


class CrashOdds:
    """Weighs how much likelier the crashes are if the task crashes all its workers.

    A task that does so is held to do it some time after its start that is spread widely, and at
    each later start within a few times as long. A worker crashes by itself at the usual rate.
    """

    PRIOR = 0.005
    """Odds that a task of which nothing is known crashes its workers."""
    CLEARED = 0.0005
    """Below these odds crashes under a task are forgotten: a run has lived on meanwhile."""
    SUSPECT = 0.02
    """From these odds on a task is kept from others..."""
    LIKELY = 1.0
    """...is a likelier culprit than not..."""
    CULPRIT = 1000.0
    """...and is given up: of so many one is sound."""
    FIRST_SPAN_S = 1.0
    """Half of the tasks that crash their workers have done so by this age."""
    LEAST_SPAN_S = 0.3
    FIRST_POWER = 1.0
    """How fast the chance of a crash shrinks with age: slowly at first, since a crash may come
    after minutes..."""
    LATER_POWER = 3.0
    """...and fast once a crash has shown at which age it comes."""
    UNCONFIRMED_SHARE = 0.1
    """So many of such tasks crash their worker before it answers the start; mostly a start that is
    not answered meets a worker that is gone already."""
    LEAST_WIDTH_S = 0.05
    """No time of a crash is known more precisely."""

    @property
    def prior_log_odds(self) -> float:
        """See :attr:`CrashRule.prior_log_odds`."""
        return math.log(self.PRIOR)

    def charge(self, exposed: Sequence[Exposure]) -> list[CrashRecord]:
        """See :meth:`CrashRule.charge`."""
        shares = [self._odds(each.record) * self._density(each) for each in exposed]
        total = sum(shares)
        gangs: dict[object, float] = {}
        for each, share in zip(exposed, shares, strict=True):
            gangs[each.gang] = gangs.get(each.gang, 0.0) + share
        return [
            self._charged(
                each, share, each.rate + total - (share if each.gang is None else gangs[each.gang])
            )
            for each, share in zip(exposed, shares, strict=True)
        ]

    def survived(self, record: CrashRecord, lived_s: float) -> CrashRecord:
        """See :meth:`CrashRule.survived`."""
        log_odds = clamp_log_odds(record.log_odds + math.log(self._survival(record, lived_s)))
        if lived_s <= record.span_s:
            return msgspec.structs.replace(record, log_odds=log_odds)
        # It does not crash each worker that starts it: what counts begins anew.
        return CrashRecord(min(record.crashes, 1), log_odds, record.span_s)

    def is_suspect(self, record: CrashRecord) -> bool:
        """See :meth:`CrashRule.is_suspect`."""
        return record.log_odds >= math.log(self.SUSPECT)

    def is_cleared(self, record: CrashRecord) -> bool:
        """See :meth:`CrashRule.is_cleared`."""
        return record.log_odds < math.log(self.CLEARED)

    def is_likely(self, record: CrashRecord) -> bool:
        """See :meth:`CrashRule.is_likely`."""
        return record.log_odds >= math.log(self.LIKELY)

    def is_culprit(self, record: CrashRecord) -> bool:
        """See :meth:`CrashRule.is_culprit`."""
        if record.later_starts >= LATER_STARTS:
            return True
        return record.crashes >= LEAST_CRASHES and record.log_odds >= math.log(self.CULPRIT)

    def _charged(self, exposure: Exposure, share: float, others: float) -> CrashRecord:
        record, lived = exposure.record, exposure.lived
        again = bool(record.crashes) and lived.least_s <= record.span_s
        counts = again or self._density(exposure) >= exposure.usual_rate
        span_s = record.span_s
        if counts:
            noticed_s = lived.least_s + min(lived.most_s - lived.least_s, DOUBT_S)
            span_s = max(span_s, noticed_s, self.LEAST_SPAN_S)
        log_odds = clamp_log_odds(math.log(max(share, math.ulp(0.0))) - math.log(others))
        return CrashRecord(record.crashes + counts, log_odds, span_s, record.later_starts)

    def _odds(self, record: CrashRecord) -> float:
        if not record.crashes:
            return self.PRIOR
        return record.odds

    def _survival(self, record: CrashRecord, age_s: float) -> float:
        """Chance that a task which crashes its workers has not done so by some age."""
        if not record.crashes:
            return float((1 + age_s / self.FIRST_SPAN_S) ** -self.FIRST_POWER)
        return float((1 + age_s / record.span_s) ** -self.LATER_POWER)

    def _density(self, exposure: Exposure) -> float:
        """Crashes a second of such a task over the time in which the worker may have crashed."""
        lived = exposure.lived
        most_s = max(lived.most_s, lived.least_s + self.LEAST_WIDTH_S)
        before = self._survival(exposure.record, lived.least_s)
        after = self._survival(exposure.record, most_s)
        width_s = max(most_s - lived.least_s, lived.window_s)
        share = 1.0 if lived.confirmed else self.UNCONFIRMED_SHARE
        return share * (before - after) / width_s


CRASH_RULE: CrashRule = CrashOdds()
"""The one in use."""
