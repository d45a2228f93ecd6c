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
CLOCK_DRIFT = 1.02
"""A worker's clock may run this much slower than ours."""
LAPSE_SLACK_S = 0.5
CLOCK_FRESH_S = 30.0
"""A clock that was not heard for longer may be 0.6 s behind, and leases by it are so much shorter:
it is asked for at once. After a rest of 450 s the first lease of 10 s is one of 1.2 s."""


@dataclass(slots=True)
class WorkerClock:
    """A worker's clock as last heard.

    :param clock_ms: what it said...
    :param at: ...and when, on our clock.
    :param heard: whether the worker itself said so; its record may be some heartbeats old.
    """

    clock_ms: int
    at: float
    heard: bool = False

    def hear(self, clock_ms: int, now: float) -> None:
        """Note a newer reading."""
        self.clock_ms = clock_ms
        self.at = now
        self.heard = True

    def earliest(self, now: float) -> int:
        """What it says now if it runs as slow as it may: a deadline by it comes no later."""
        return self.clock_ms + round((now - self.at) * 1000 / CLOCK_DRIFT)

    def latest(self, now: float) -> int:
        """What it says now if it does not run slow."""
        return self.clock_ms + round((now - self.at) * 1000)


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
        return self._clock.now() - self._times.at > CLOCK_FRESH_S

    @property
    def record_age_s(self) -> float:
        """How long ago the worker wrote its record, by its own clock; infinite before it told."""
        if not self._times.heard:
            return math.inf
        return (self._times.latest(self._clock.now()) - self._worker.record.clock_ms) / 1000

    @property
    def lapsed(self) -> bool:
        """Whether every lease that was ever granted there is over."""
        return self._clock.now() >= max(self._lapses_s, self._inherited_until())

    def deadline(self, now: float) -> int:
        """Until when all that runs there may run from now on, on the worker's clock.

        That clock may have been heard long ago. A start that is carried out some seconds late would
        outlast what is counted here by 2 % of that time, 6 s after a rest of 300 s.
        """
        hold_s = self._owner.hold_s
        self._lapses_s = max(self._lapses_s, now + hold_s * CLOCK_DRIFT + LAPSE_SLACK_S)
        return self._times.earliest(now) + round(hold_s * 1000)

    def heard(self, clock_ms: int | None = None) -> None:
        """A call was answered.

        :param clock_ms: what the worker's clock said, where the answer told.
        """
        now = self._clock.now()
        if clock_ms is not None:
            self._times.hear(clock_ms, now)
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
