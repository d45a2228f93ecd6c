"""Whether a call without an answer speaks against one worker or against its whole data hall.

Answers get lost now and then; a hall that is cut off loses them for all of its workers at once. To
look at a whole hall costs a call for each of its workers, 108 on a pool of 540 and 2,000 on one of
10,000, so one lost answer has its worker looked at alone.
"""

from __future__ import annotations

from dataclasses import dataclass

CORRELATION_WINDOW_S = 0.5
"""Calls to two workers of a hall without answer within this time speak against the hall: orders are
given up after 0.6 s and looks at least every 2.4 s, so a cut hall shows this soon."""


@dataclass(frozen=True, slots=True)
class _Miss:
    worker_id: str
    at_s: float


class Suspicion:
    """The latest call without answer of each data hall."""

    def __init__(self) -> None:
        self._latest: dict[str, _Miss] = {}

    def record_unanswered(self, hall: str, worker_id: str, now: float) -> bool:
        """Note a call without answer; whether it speaks against the whole hall."""
        before = self._latest.get(hall)
        self._latest[hall] = _Miss(worker_id, now)
        if before is None or before.worker_id == worker_id:
            return False
        return now - before.at_s <= CORRELATION_WINDOW_S
