"""Whether a worker answers, what its clock says, and how long its leases may still last."""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass

from saddlestack.control.leases import CLOCK_DRIFT, Leases
from saddlestack.control.owner import Owner
from saddlestack.kernel.clock import Clock
from saddlestack.policy.cluster.incarnation_end import IncarnationEnd
from saddlestack.policy.cluster.workers import Worker

log = logging.getLogger("saddlestack.contact")

SILENT_AFTER = 2
"""Calls in a row without an answer after which a worker counts as silent."""
CLOCK_FRESH_S = 30.0
"""A clock that was not heard for longer may be 0.6 s behind, and leases by it are so much shorter:
it is asked for before the next start. After a rest of 450 s a first lease of 10 s would be one of
1.2 s."""
HEARD_LATELY_S = 2.5
"""What runs something is looked at so often. One that was not heard for longer is asked for a sign
before the next start, in 1 to 3 ms: a start that meets its silence is in doubt for a lease."""


@dataclass(slots=True)
class WorkerClock:
    """A worker's clock as far as the worker itself has told it: it runs true, or up to 2 % slow.

    What its record says of it may be another writer's, and counts for nothing.

    :param clock_ms: what it said last...
    :param heard_s: ...and when that was heard, on our clock.
    """

    clock_ms: int = 0
    heard_s: float = -math.inf

    @property
    def is_told(self) -> bool:
        """Whether the worker has told it."""
        return self.heard_s > -math.inf

    def hear(self, clock_ms: int, now: float) -> None:
        """Note what it said at some moment before now.

        Answers on different connections pass each other.
        """
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.heard_s = now

    def earliest(self, now: float) -> int:
        """The least that it may say now, once it is told."""
        return self.clock_ms + round((now - self.heard_s) * 1000 / CLOCK_DRIFT)


class Contact:
    """The contact with one life of a worker.

    :param leases: what was granted to workers in this term and before.
    :ivar turned_away: whether the worker answered the latest look that it does nothing now. It is
        granted no lease then: what runs there would count as running for as long as it says so.
    """

    def __init__(self, worker: Worker, owner: Owner, clock: Clock, leases: Leases) -> None:
        self._worker = worker
        self._owner = owner
        self._clock = clock
        self._times = WorkerClock()
        self._leases = leases
        self._heard_s = -math.inf
        self.misses = 0
        self.turned_away = False

    @property
    def heard_s(self) -> float:
        """When the worker last answered."""
        return self._heard_s

    @property
    def clock_is_old(self) -> bool:
        """Whether the worker's clock was not heard, or so long ago that leases by it are short."""
        return self._clock.now() - self._times.heard_s > CLOCK_FRESH_S

    @property
    def is_stale(self) -> bool:
        """Whether the worker, or its clock, was not heard lately enough for a start."""
        return self.clock_is_old or self._clock.now() - self._heard_s > HEARD_LATELY_S

    @property
    def lapsed(self) -> bool:
        """Whether every lease that was ever granted there is over."""
        return self._clock.now() >= self._leases.lasts_until(self._worker.worker_id)

    def end(self, *, unheard: bool) -> IncarnationEnd:
        """What is known of when the worker's life has ended.

        :param unheard: only its silence tells that it has.
        """
        unreachable_since_s = self._worker.unreachable_since_s
        gone_s = self._clock.now() if unreachable_since_s is None else unreachable_since_s
        return IncarnationEnd(self._heard_s, gone_s, unheard)

    def deadline(self, now: float) -> int:
        """Until when all that runs there may run from now on, on the worker's clock.

        It goes by the least that the clock may say: a start that is carried out some seconds late
        would outlast what is counted here by 2 % of the time since the clock was heard, 6 s after a
        rest of 300 s. By a clock too far ahead it would last by all of its delay, 2 to 12 s: the
        worker cuts such a lease when it arrives. Before the clock is told this extends nothing.
        """
        self._leases.granted(self._worker.worker_id, now)
        if not self._times.is_told:
            return 0
        return self._times.earliest(now) + round(self._owner.hold_s * 1000)

    def told(self, clock_ms: int) -> None:
        """A call was answered, and the answer tells the worker's clock."""
        self._times.hear(clock_ms, self._clock.now())
        self.turned_away = False
        self.heard()

    def heard(self) -> None:
        """A call was answered."""
        now = self._clock.now()
        self._heard_s = now
        self._owner.cluster_state.record_answer(self._worker, now)
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
        if self._worker.unreachable_since_s is None:
            self._worker.unreachable_since_s = self._clock.now()
        self._owner.missed(self._worker)
        if self.misses < SILENT_AFTER or not self._worker.reachable:
            return False
        self._worker.reachable = False
        log.warning(
            "worker does not answer",
            extra={"event": "worker_silent", "worker": self._worker.worker_id},
        )
        return True
