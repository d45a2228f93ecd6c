"""Estimates how often the workers of a service crash by themselves."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from saddlestack.policy.cluster.workers import Worker

COUNT_INTERVAL_S = 2.0
"""Interval at which the uptime of workers is counted."""
HALF_LIFE_S = 600.0
"""Half-life of the counts. It is short because a failing rack causes crashes for a while."""
PRIOR_RATE = 0.0005
"""Prior crashes per second of a worker: one in half an hour. The value is rather high, so that
tasks are suspected too little rather than too much."""
PRIOR_UPTIME_S = 200.0
"""Weight of the prior rate, in seconds of worker uptime."""
MIN_RATE = 1e-6
"""Lower limit of the rate, one crash in twelve days, however large and stable a pool is."""


@dataclass(slots=True)
class _CrashCounts:
    """Decaying counts for one service.

    :param crashes: crashes that no task caused.
    :param uptime_s: total uptime of all workers in seconds.
    """

    crashes: float = 0.0
    uptime_s: float = 0.0

    def decay(self, elapsed_s: float) -> None:
        share = 0.5 ** (elapsed_s / HALF_LIFE_S)
        self.crashes *= share
        self.uptime_s *= share


class CrashRates:
    """Rates of crashes that no task caused, by service."""

    def __init__(self) -> None:
        self._counts: dict[str, _CrashCounts] = {}
        self._last_count_s: float | None = None

    def base_rate(self, service: str, extra_crashes: int = 0) -> float:
        """Crashes per second of a worker of a service.

        :param extra_crashes: crashes to add, namely those that count toward a task. Little is known
            of a new pool, and one with two crashes in a short time may have many more.
        """
        counts = self._counts.get(service, _CrashCounts())
        crashes = counts.crashes + extra_crashes + PRIOR_RATE * PRIOR_UPTIME_S
        seen = crashes / (counts.uptime_s + PRIOR_UPTIME_S)
        return max(MIN_RATE, seen)

    def record_crash(self, service: str, probability: float) -> None:
        """Record a crash of a worker.

        :param probability: the probability that no task caused it; negative to revert it.
        """
        counts = self._counts.setdefault(service, _CrashCounts())
        counts.crashes = max(0.0, counts.crashes + probability)

    def tick(self, now: float, workers: Iterable[Worker]) -> None:
        """Add the uptime of the listed workers, at most once per :data:`COUNT_INTERVAL_S`."""
        if self._last_count_s is None:
            self._last_count_s = now
        elapsed_s = now - self._last_count_s
        if elapsed_s < COUNT_INTERVAL_S:
            return
        self._last_count_s = now
        for counts in self._counts.values():
            counts.decay(elapsed_s)
        for worker in workers:
            if worker.listed:
                service = worker.record.service
                self._counts.setdefault(service, _CrashCounts()).uptime_s += elapsed_s
