"""Decides whether an unanswered call casts suspicion on one worker or on its whole data hall.

Single answers get lost now and then, while a partitioned hall loses the answers of all its workers
at once. Polling a whole hall costs a call per worker, 108 on a pool of 540 workers and 2,000 on one
of 10,000, so after a single lost answer only that worker is polled.
"""

from __future__ import annotations

from dataclasses import dataclass

CORRELATION_WINDOW_S = 0.5
"""Unanswered calls to two workers of a hall within this time make the hall suspect. Orders time out
after 0.6 s and polls are made at least every 2.4 s, so a partitioned hall is noticed this soon."""


@dataclass(frozen=True, slots=True)
class _UnansweredCall:
    worker_id: str
    at_s: float


class Suspicion:
    """Tracks the latest unanswered call of each data hall."""

    def __init__(self) -> None:
        self._latest: dict[str, _UnansweredCall] = {}

    def record_unanswered(self, hall: str, worker_id: str, now: float) -> bool:
        """Record an unanswered call.

        :return: whether the whole hall is suspect.
        """
        previous = self._latest.get(hall)
        self._latest[hall] = _UnansweredCall(worker_id, now)
        if previous is None or previous.worker_id == worker_id:
            return False
        return now - previous.at_s <= CORRELATION_WINDOW_S
