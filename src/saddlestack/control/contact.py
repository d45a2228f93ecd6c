"""Whether a worker answers, what its clock says, and how long its leases may still last."""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass

from saddlestack.control.leases import CLOCK_DRIFT, Leases
from saddlestack.control.owner import Owner
from saddlestack.kernel.clock import Clock
from saddlestack.policy.board.workers import Worker

log = logging.getLogger("saddlestack.contact")

SILENT_AFTER = 2
"""Calls in a row without an answer after which a worker counts as silent."""
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
        self.ahead_ms = min(self.ahead_ms, clock_ms - asked_s * 1000)
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.heard_s = now

    def earliest(self, now: float) -> int:
        """The least that it may say now."""
        return self.clock_ms + round((now - self.heard_s) * 1000 / CLOCK_DRIFT)

    def by(self, record_ms: int, now: float) -> int:
        """The clock to grant a lease by: the worker's record tells more, as far as it is possible.

        A record may be another writer's. A lease by a clock too far ahead is cut by the worker when
        it arrives: one that is carried out 2 to 12 s late would outlast what is counted by as much.

        :param record_ms: what the clock said when the record was written.
        """
        return min(max(self.earliest(now), record_ms), int(self.latest(now)))

    def latest(self, now: float) -> float:
        """The most that it may say now; infinite until the worker itself told."""
        return self.ahead_ms + now * 1000


class Contact:
    """The contact with one life of a worker.

    :param leases: what was granted to workers in this term and before.
    """

    def __init__(self, worker: Worker, owner: Owner, clock: Clock, leases: Leases) -> None:
        self._worker = worker
        self._owner = owner
        self._clock = clock
        self._times = WorkerClock(0, clock.now())
        self._leases = leases
        self._heard_s = -math.inf
        self.misses = 0

    @property
    def heard_s(self) -> float:
        """When the worker last answered."""
        return self._heard_s

    @property
    def clock_is_told(self) -> bool:
        """Whether the worker itself has told its clock; its record proves none."""
        return self._times.ahead_ms < math.inf

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
        return self._clock.now() >= self._leases.lasts_until(self._worker.worker_id)

    def deadline(self, now: float) -> int:
        """Until when all that runs there may run from now on, on the worker's clock.

        Before the worker has told its clock this is past, and extends nothing.
        That clock may have been heard long ago. A start that is carried out some seconds late would
        outlast what is counted here by 2 % of that time, 6 s after a rest of 300 s. The worker's
        record tells of its clock as well, so that the lease is not shorter by as much.
        """
        self._leases.granted(self._worker.worker_id, now)
        if not self.clock_is_told:
            return 0
        return self._times.by(self._worker.record.clock_ms, now) + round(self._owner.hold_s * 1000)

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
