"""Work that stands still: nothing of a job runs, though it may, beside a pool that is mostly free.

One definition for all who look: the leader, which tells of it, the judges of the simulation and the
soak, and the reader of logs. Each finds out by its own means which jobs stand; this module tells
what counts as room enough, and which of them have stood for too long.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

STALL_S = 3.0
"""For so long a job may stand beside a free pool. From the platform's bounds."""
FREE_CAPACITY_FACTOR = 2
"""Room is there where a job fits so many times over. From the platform's bounds."""


@dataclass(frozen=True, slots=True)
class PoolUsage:
    """What of a service's pool is held.

    :param used: accelerators that runs hold, those being stopped among them.
    :param total: accelerators of all workers that live.
    """

    used: int
    total: int

    @property
    def is_mostly_free(self) -> bool:
        """Whether under half of the accelerators is held."""
        return self.used * 2 < self.total


@dataclass(frozen=True, slots=True)
class Stall:
    """A job that has stood still for too long.

    :param job_id: its name.
    :param since_s: since when, on the clock of whoever looks.
    """

    job_id: str
    since_s: float


def has_free_capacity(pool: PoolUsage, copies: int, wanted: int) -> bool:
    """Whether a job that stands has no reason to in the pool's room.

    :param copies: tasks of it that fit into what is free.
    :param wanted: tasks that have to start at once: all of a gang, else one.
    """
    return pool.is_mostly_free and copies >= FREE_CAPACITY_FACTOR * wanted


class StallDetector:
    """Since when each job stands, from look to look."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self._told: set[str] = set()

    def update(self, standing: Iterable[str], now: float) -> list[Stall]:
        """Note which jobs stand now; those that have just stood for too long, once each time.

        :param standing: jobs of which nothing runs, though a task may and has room.
        """
        present = set(standing)
        for job_id in [each for each in self._since if each not in present]:
            del self._since[job_id]
            self._told.discard(job_id)
        found = []
        for job_id in sorted(present):
            since_s = self._since.setdefault(job_id, now)
            if now - since_s >= STALL_S and job_id not in self._told:
                self._told.add(job_id)
                found.append(Stall(job_id, since_s))
        return found

    def since(self, job_id: str) -> float | None:
        """Since when a job stands; ``None`` where it does not."""
        return self._since.get(job_id)
