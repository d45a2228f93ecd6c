"""How often workers of a service crash by themselves."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from saddlestack.policy.cluster.workers import Worker

COUNT_S = 2.0
"""Workers are counted so often."""
HALF_LIFE_S = 600.0
"""What was seen counts half after so long: racks that crash do so for a while."""
USUAL_RATE = 0.0005
"""Crashes a second of a worker where nothing is known, one in half an hour: rather too many, so
that a task is suspected too little..."""
KNOWN_S = 200.0
"""...and what is seen of so many workers for a second weighs as much."""
LEAST_RATE = 1e-6
"""One in twelve days: no pool is held to be better, however large and quiet."""


@dataclass(slots=True)
class _Rate:
    """What was seen.

    :param worker_s: seconds for which workers were up, of all workers together.
    """

    crashes: float = 0.0
    worker_s: float = 0.0

    def age(self, passed_s: float) -> None:
        share = 0.5 ** (passed_s / HALF_LIFE_S)
        self.crashes *= share
        self.worker_s *= share


class CrashRates:
    """Crashes that no task explains, by service, against the time for which workers are up."""

    def __init__(self) -> None:
        self._rates: dict[str, _Rate] = {}
        self._counted_s: float | None = None

    def usual(self, service: str, by_chance: int = 0) -> float:
        """Crashes a second of a worker of a service.

        :param by_chance: crashes that would have to be counted besides, had a task not caused them:
            little is known of a pool at first, and one where it met two crashes may see many.
        """
        rate = self._rates.get(service, _Rate())
        crashes = rate.crashes + by_chance + USUAL_RATE * KNOWN_S
        seen = crashes / (rate.worker_s + KNOWN_S)
        return max(LEAST_RATE, seen)

    def crashed(self, service: str, unexplained: float) -> None:
        """A worker crashed.

        :param unexplained: how likely it is that no task caused that; negative to take it back.
        """
        rate = self._rates.setdefault(service, _Rate())
        rate.crashes = max(0.0, rate.crashes + unexplained)

    def tick(self, now: float, workers: Iterable[Worker]) -> None:
        """Count the workers that are up, from time to time."""
        if self._counted_s is None:
            self._counted_s = now
        passed_s = now - self._counted_s
        if passed_s < COUNT_S:
            return
        self._counted_s = now
        for rate in self._rates.values():
            rate.age(passed_s)
        for worker in workers:
            if worker.listed:
                service = worker.record.service
                self._rates.setdefault(service, _Rate()).worker_s += passed_s
