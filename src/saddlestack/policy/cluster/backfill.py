"""Backfill: which workers work of lower priority may fill while gangs wait for room."""

from __future__ import annotations

from collections.abc import Iterable

from saddlestack.policy.cluster.workers import Worker

MAX_KEPT_GANGS = 32
"""Gangs for which workers are kept in one round, those that go first; a round's cost with
thousands of waiting gangs is bounded by this."""


class Backfill:
    """Workers that are kept for waiting gangs, in one round of planning."""

    def __init__(self) -> None:
        self._priorities: dict[Worker, int] = {}
        self._gangs = 0

    @property
    def is_full(self) -> bool:
        """Whether workers are kept for as many gangs as may be."""
        return self._gangs >= MAX_KEPT_GANGS

    def clear(self) -> None:
        """Begin a round: nothing is kept."""
        self._priorities.clear()
        self._gangs = 0

    def keep(self, workers: Iterable[Worker], priority: int) -> None:
        """Keep the workers where a waiting gang fits soonest."""
        self._gangs += 1
        for worker in workers:
            held = self._priorities.get(worker, priority)
            self._priorities[worker] = min(held, priority)

    def keeps_from(self, priority: int) -> bool:
        """Whether anything is kept from work of a priority."""
        return any(held < priority for held in self._priorities.values())

    def is_kept(self, worker: Worker, priority: int) -> bool:
        """Whether a worker is kept for gangs that go before work of a priority."""
        return self._priorities.get(worker, priority) < priority
