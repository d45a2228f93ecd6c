"""Tracks whether a worker answers, its clock, and how long its leases may last."""

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

MAX_MISSES = 2
"""Number of unanswered calls in a row after which a worker counts as unreachable."""
MAX_CLOCK_AGE_S = 30.0
"""Maximum age of a worker's clock reading; an older one is refreshed before the next start.

After this time the reading may be 0.6 s off, and leases computed from it are that much shorter.
After 450 s without contact, a first lease of 10 s would last for 1.2 s only.
"""
MAX_ANSWER_AGE_S = 2.5
"""Maximum age of a worker's last answer; it is polled before the next start if that is older.

Workers with runs are polled this often anyway. The poll takes 1 to 3 ms, while the outcome of a
start on an unreachable worker is unknown for the time of a lease.
"""


@dataclass(slots=True)
class WorkerClock:
    """A worker's clock, as reported by the worker itself. It runs true, or up to 2 % slow.

    The clock in the worker's record is ignored, since another writer may have changed it.

    :param clock_ms: latest reading.
    :param updated_s: when it was received, on this VM's clock.
    """

    clock_ms: int = 0
    updated_s: float = -math.inf

    @property
    def is_known(self) -> bool:
        """Whether the worker has reported its clock."""
        return self.updated_s > -math.inf

    def update(self, clock_ms: int, now: float) -> None:
        """Notes a reading that was taken at some moment before now.

        Answers on different connections may overtake each other, so an earlier reading is ignored.
        """
        if clock_ms >= self.clock_ms:
            self.clock_ms = clock_ms
            self.updated_s = now

    def earliest(self, now: float) -> int:
        """Returns the least that the clock may show now, in milliseconds, once it is known."""
        return self.clock_ms + round((now - self.updated_s) * 1000 / CLOCK_DRIFT)


class Contact:
    """Contact with one incarnation of a worker.

    :param leases: leases granted to workers in this term and before.
    :ivar is_busy: whether the worker answered the latest poll that it accepts nothing now. It is
        granted no lease then, or else its runs would count as running for as long as it answers so.
    """

    def __init__(self, worker: Worker, owner: SessionOwner, clock: Clock, leases: Leases) -> None:
        self._worker = worker
        self._owner = owner
        self._clock = clock
        self._worker_clock = WorkerClock()
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
        """Whether the worker's clock is unknown, or was read too long ago for a full lease."""
        return self._clock.now() - self._worker_clock.updated_s > MAX_CLOCK_AGE_S

    @property
    def is_stale(self) -> bool:
        """Whether the worker has to be polled before a start.

        That is so if its last answer or its clock reading is too old.
        """
        return self.is_clock_stale or self._clock.now() - self._last_answer_s > MAX_ANSWER_AGE_S

    @property
    def has_lapsed(self) -> bool:
        """Whether every lease that was ever granted to the worker has expired."""
        return self._clock.now() >= self._leases.expires_at(self._worker.worker_id)

    def end(self, *, unheard: bool) -> IncarnationEnd:
        """Returns what is known of when the incarnation ended.

        :param unheard: whether only missing answers show that it has ended.
        """
        unreachable_since_s = self._worker.unreachable_since_s
        gone_s = self._clock.now() if unreachable_since_s is None else unreachable_since_s
        return IncarnationEnd(self._last_answer_s, gone_s, unheard)

    def deadline(self, now: float) -> int:
        """Grants a lease, and returns when it ends, in milliseconds on the worker's clock.

        This is based on the least that the worker's clock may show now. If the clock were assumed
        to run true, a start that is carried out some seconds late could outlast the recorded lease
        by 2 % of the time since the clock was read, 6 s after 300 s without contact. If a clock
        were assumed that is too far ahead, it could do so by the whole delay of the start, 2 to 12
        s: the worker limits such a lease only when it arrives.

        :return: 0, which extends nothing, until the clock is known.
        """
        self._leases.record_grant(self._worker.worker_id, now)
        if not self._worker_clock.is_known:
            return 0
        return self._worker_clock.earliest(now) + round(self._owner.max_lease_s * 1000)

    def record_clock(self, clock_ms: int) -> None:
        """Notes an answer that contains the worker's clock."""
        self._worker_clock.update(clock_ms, self._clock.now())
        self.is_busy = False
        self.record_answer()

    def record_answer(self) -> None:
        """Notes that a call was answered."""
        now = self._clock.now()
        self._last_answer_s = now
        self._owner.cluster_state.record_answer(self._worker, now)
        self.misses = 0
        if not self._worker.reachable or self._worker.suspected:
            self._worker.reachable = True
            self._worker.suspected = False
            self._owner.reschedule()

    def record_miss(self, sent: float) -> bool:
        """Notes that a call was not answered.

        A single lost answer doesn't make a worker unreachable.

        :param sent: when the call was sent.
        :return: whether the worker has just become unreachable.
        """
        if self._last_answer_s > sent:
            return False
        self.misses += 1
        if self._worker.unreachable_since_s is None:
            self._worker.unreachable_since_s = self._clock.now()
        self._owner.call_missed(self._worker)
        if self.misses < MAX_MISSES or not self._worker.reachable:
            return False
        self._worker.reachable = False
        log.warning(
            "worker is unreachable",
            extra={"event": "worker_silent", "worker": self._worker.worker_id},
        )
        return True
