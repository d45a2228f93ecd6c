"""Backfill: keeps workers for waiting gangs from work of lower priority."""

from __future__ import annotations

from collections.abc import Iterable

from saddlestack.policy.cluster.workers import Worker

MAX_KEPT_GANGS = 32
"""Number of waiting gangs, the first in order, for which workers are kept in a round. It bounds the
cost of a round with thousands of waiting gangs."""


class Backfill:
    """The workers that are kept for waiting gangs in a planning round."""

    def __init__(self) -> None:
        self._priorities: dict[Worker, int] = {}
        self._gangs = 0

    @property
    def is_full(self) -> bool:
        """Whether workers are kept for :data:`MAX_KEPT_GANGS` gangs."""
        return self._gangs >= MAX_KEPT_GANGS

    def clear(self) -> None:
        """Keep no workers; called when a round begins."""
        self._priorities.clear()
        self._gangs = 0

    def keep(self, workers: Iterable[Worker], priority: int) -> None:
        """Keep workers for a waiting gang.

        :param priority: the priority of the gang.
        """
        self._gangs += 1
        for worker in workers:
            held = self._priorities.get(worker, priority)
            self._priorities[worker] = min(held, priority)

    def keeps_from(self, priority: int) -> bool:
        """Whether any worker is kept from work of a priority."""
        return any(held < priority for held in self._priorities.values())

    def is_kept(self, worker: Worker, priority: int) -> bool:
        """Whether a worker is kept for a gang that is more urgent than a priority."""
        return self._priorities.get(worker, priority) < priority
