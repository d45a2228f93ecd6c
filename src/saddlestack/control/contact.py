"""Whether a worker answers, what its clock says, and how long its leases may still last."""

from __future__ import annotations

import logging
import math
from dataclasses import dataclass

from saddlestack.control.leases import CLOCK_DRIFT, Leases
from saddlestack.control.owner import SessionOwner
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
    :param updated_s: ...and when that was heard, on our clock.
    """

    clock_ms: int = 0
    updated_s: float = -math.inf

    @property
    def is_known(self) -> bool:
        """Whether the worker has told it."""
        return self.updated_s > -math.inf

    def update(self, clock_ms: int, now: float) -> None:
        """Note what it said at some moment before now.

        Answers on different connections pass each other.
        """
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.updated_s = now

    def earliest(self, now: float) -> int:
        """The least that it may say now, once it is told."""
        return self.clock_ms + round((now - self.updated_s) * 1000 / CLOCK_DRIFT)


class Contact:
    """The contact with one life of a worker.

    :param leases: what was granted to workers in this term and before.
    :ivar is_busy: whether the worker answered the latest look that it does nothing now. It is
        granted no lease then: what runs there would count as running for as long as it says so.
    """

    def __init__(self, worker: Worker, owner: SessionOwner, clock: Clock, leases: Leases) -> None:
        self._worker = worker
        self._owner = owner
        self._clock = clock
        self._times = WorkerClock()
        self._leases = leases
        self._last_answer_s = -math.inf
        self.misses = 0
        self.is_busy = False

    @property
    def last_answer_s(self) -> float:
        """When the worker last answered."""
        return self._last_answer_s

    @property
    def is_clock_stale(self) -> bool:
        """Whether the worker's clock was not heard, or so long ago that leases by it are short."""
        return self._clock.now() - self._times.updated_s > CLOCK_FRESH_S

    @property
    def is_stale(self) -> bool:
        """Whether the worker, or its clock, was not heard lately enough for a start."""
        return self.is_clock_stale or self._clock.now() - self._last_answer_s > HEARD_LATELY_S

    @property
    def has_lapsed(self) -> bool:
        """Whether every lease that was ever granted there is over."""
        return self._clock.now() >= self._leases.expires_at(self._worker.worker_id)

    def end(self, *, unheard: bool) -> IncarnationEnd:
        """What is known of when the worker's life has ended.

        :param unheard: only its silence tells that it has.
        """
        unreachable_since_s = self._worker.unreachable_since_s
        gone_s = self._clock.now() if unreachable_since_s is None else unreachable_since_s
        return IncarnationEnd(self._last_answer_s, gone_s, unheard)

    def deadline(self, now: float) -> int:
        """Until when all that runs there may run from now on, on the worker's clock.

        It goes by the least that the clock may say: a start that is carried out some seconds late
        would outlast what is counted here by 2 % of the time since the clock was heard, 6 s after a
        rest of 300 s. By a clock too far ahead it would last by all of its delay, 2 to 12 s: the
        worker cuts such a lease when it arrives. Before the clock is told this extends nothing.
        """
        self._leases.record_grant(self._worker.worker_id, now)
        if not self._times.is_known:
            return 0
        return self._times.earliest(now) + round(self._owner.max_lease_s * 1000)

    def record_clock(self, clock_ms: int) -> None:
        """A call was answered, and the answer tells the worker's clock."""
        self._times.update(clock_ms, self._clock.now())
        self.is_busy = False
        self.record_answer()

    def record_answer(self) -> None:
        """A call was answered."""
        now = self._clock.now()
        self._last_answer_s = now
        self._owner.cluster_state.record_answer(self._worker, now)
        self.misses = 0
        if not self._worker.reachable or self._worker.suspected:
            self._worker.reachable = True
            self._worker.suspected = False
            self._owner.reschedule()

    def record_miss(self, sent: float) -> bool:
        """A call was not answered; one lost answer says nothing about a worker.

        :param sent: when it was sent.
        :return: whether the worker has just fallen silent.
        """
        if self._last_answer_s > sent:
            return False
        self.misses += 1
        if self._worker.unreachable_since_s is None:
            self._worker.unreachable_since_s = self._clock.now()
        self._owner.call_missed(self._worker)
        if self.misses < SILENT_AFTER or not self._worker.reachable:
            return False
        self._worker.reachable = False
        log.warning(
            "worker does not answer",
            extra={"event": "worker_silent", "worker": self._worker.worker_id},
        )
        return True
