"""Stalled jobs: none of a job's tasks runs although they may, while the pool is mostly free.

This is the one definition for the leader, which reports stalls, for the checks of the simulation
and the soak test, and for the analysis of logs. Each of them determines by itself which jobs are
waiting; this module defines how much free capacity counts and how long a job must wait.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

STALL_S = 3.0
"""A job is stalled if it waits this long beside a free pool. Specified by the platform."""
FREE_CAPACITY_FACTOR = 2
"""Free capacity is enough if a job fits this many times. Specified by the platform."""


@dataclass(frozen=True, slots=True)
class PoolUsage:
    """How much of a service's pool is in use.

    :param used: accelerators held by runs, including those that are being stopped.
    :param total: accelerators of all live workers.
    """

    used: int
    total: int

    @property
    def is_mostly_free(self) -> bool:
        """Whether less than half of the accelerators are in use."""
        return self.used * 2 < self.total


@dataclass(frozen=True, slots=True)
class Stall:
    """A stalled job.

    :param job_id: the id of the job.
    :param since_s: when it began to wait, on the clock of the caller.
    """

    job_id: str
    since_s: float


def has_free_capacity(pool: PoolUsage, copies: int, wanted: int) -> bool:
    """Whether the pool has enough free capacity for a waiting job to start.

    :param copies: the number of the job's tasks that fit the free capacity.
    :param wanted: the number of tasks that must start together: all of a gang, otherwise one.
    """
    return pool.is_mostly_free and copies >= FREE_CAPACITY_FACTOR * wanted


class StallDetector:
    """Tracks since when jobs have been waiting and detects those that become stalled."""

    def __init__(self) -> None:
        self._since: dict[str, float] = {}
        self._reported: set[str] = set()

    def update(self, waiting: Iterable[str], now: float) -> list[Stall]:
        """Update the set of waiting jobs.

        :param waiting: jobs of which no task runs, although one may and would fit.
        :return: the jobs that have just become stalled; each stall is returned once.
        """
        waiting_now = set(waiting)
        for job_id in [each for each in self._since if each not in waiting_now]:
            del self._since[job_id]
            self._reported.discard(job_id)
        found = []
        for job_id in sorted(waiting_now):
            since_s = self._since.setdefault(job_id, now)
            if now - since_s >= STALL_S and job_id not in self._reported:
                self._reported.add(job_id)
                found.append(Stall(job_id, since_s))
        return found

    def since(self, job_id: str) -> float | None:
        """When a job began to wait, or ``None`` if it is not waiting."""
        return self._since.get(job_id)
