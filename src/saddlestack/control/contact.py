"""Whether a worker answers, what its clock says, and how long its leases may still last."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable
from dataclasses import dataclass

from saddlestack.control.owner import Owner
from saddlestack.kernel.clock import Clock
from saddlestack.policy.board.workers import Worker

log = logging.getLogger("saddlestack.contact")

SILENT_AFTER = 2
"""Calls in a row without an answer after which a worker counts as silent."""
CLOCK_DRIFT = 1 / 0.98
"""What lasts a second by a worker's clock may last so long by ours: it may run 2 % slow."""
LAPSE_SLACK_S = 0.5
CLOCK_FRESH_S = 30.0
"""A clock that was not heard for longer may be 0.6 s behind, and leases by it are so much shorter:
it is asked for at once. After a rest of 450 s a first lease of 10 s is one of 1.2 s where the
worker's record does not tell of its clock."""


@dataclass(slots=True)
class WorkerClock:
    """A worker's clock as far as it is known: it runs true, or up to 2 % slow.

    :param clock_ms: what it said last, or its record...
    :param heard_s: ...and when that was heard, on our clock.
    :param ahead_ms: how far it is ahead of ours at most; infinite until the worker itself told.
    """

    clock_ms: int
    heard_s: float
    ahead_ms: float = math.inf

    def hear(self, clock_ms: int, asked_s: float, now: float) -> None:
        """Note what it said at some moment between a question and now.

        Answers on different connections pass each other.
        """
        told_first = math.isinf(self.ahead_ms)
        self.ahead_ms = min(self.ahead_ms, clock_ms - asked_s * 1000)
        # A record may claim any time, and a claim ahead of the clock would never be caught up.
        if told_first or clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.heard_s = now

    def earliest(self, now: float) -> int:
        """The least that it may say now."""
        return self.clock_ms + round((now - self.heard_s) * 1000 / CLOCK_DRIFT)

    def latest(self, now: float) -> float:
        """The most that it may say now; infinite until the worker itself told."""
        return self.ahead_ms + now * 1000


class Contact:
    """The contact with one life of a worker.

    :param inherited_until: tells when leases granted by earlier leaders have lapsed for sure.
    """

    def __init__(
        self, worker: Worker, owner: Owner, clock: Clock, inherited_until: Callable[[], float]
    ) -> None:
        self._worker = worker
        self._owner = owner
        self._clock = clock
        self._times = WorkerClock(worker.record.clock_ms, clock.now())
        self._inherited_until = inherited_until
        self._lapses_s = 0.0
        self._heard_s = -math.inf
        self.misses = 0

    @property
    def heard_s(self) -> float:
        """When the worker last answered."""
        return self._heard_s

    @property
    def clock_is_old(self) -> bool:
        """Whether the worker's clock was heard so long ago that leases by it are short."""
        return self._clock.now() - self._times.heard_s > CLOCK_FRESH_S

    @property
    def record_age_s(self) -> float:
        """How long ago the worker wrote its record, by its own clock; infinite before it told."""
        return (self._times.latest(self._clock.now()) - self._worker.record.clock_ms) / 1000

    @property
    def lapsed(self) -> bool:
        """Whether every lease that was ever granted there is over."""
        return self._clock.now() >= max(self._lapses_s, self._inherited_until())

    def deadline(self, now: float) -> int:
        """Until when all that runs there may run from now on, on the worker's clock.

        That clock may have been heard long ago. A start that is carried out some seconds late would
        outlast what is counted here by 2 % of that time, 6 s after a rest of 300 s. The worker's
        record tells of its clock as well, so that the lease is not shorter by as much.
        """
        hold_s = self._owner.hold_s
        self._lapses_s = max(self._lapses_s, now + hold_s * CLOCK_DRIFT + LAPSE_SLACK_S)
        clock_ms = max(self._times.earliest(now), self._worker.record.clock_ms)
        return clock_ms + round(hold_s * 1000)

    def told(self, clock_ms: int, asked_s: float) -> None:
        """A call was answered, and the answer tells the worker's clock.

        :param asked_s: when the call was sent.
        """
        self._times.hear(clock_ms, asked_s, self._clock.now())
        self.heard()

    def heard(self) -> None:
        """A call was answered."""
        now = self._clock.now()
        self._heard_s = now
        self.misses = 0
        if not self._worker.reachable or self._worker.suspected:
            self._worker.reachable = True
            self._worker.suspected = False
            self._owner.changed()

    def missed(self, sent: float) -> bool:
        """A call was not answered; one lost answer says nothing about a worker.

        :param sent: when it was sent.
        :return: whether the worker has just fallen silent.
        """
        if self._heard_s > sent:
            return False
        self.misses += 1
        self._owner.missed(self._worker)
        if self.misses < SILENT_AFTER or not self._worker.reachable:
            return False
        self._worker.reachable = False
        log.warning(
            "worker does not answer",
            extra={"event": "worker_silent", "worker": self._worker.worker_id},
        )
        return True
