"""Machines of unequal speed: some take longer for the same work, and this changes at times."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from tests.simulation.loops import SharedLoop
from tests.simulation.workers import SimWorker, Workers


@dataclass(frozen=True, slots=True)
class Speeds:
    """How unequal the machines of a day are.

    :param share: share of the machines that are slow.
    :param factor: time factor of these; all others have 1.
    :param drift_per_s: how often a random machine is drawn anew, so that it may turn slow or
        recover.
    """

    share: float = 0.0
    factor: float = 2.4
    drift_per_s: float = 0.05


@dataclass
class Machines:
    """The time factors of all machines, by address. A worker that returns keeps its factor."""

    speeds: Speeds
    workers: Workers
    world: SharedLoop
    rng: random.Random
    notes: list[str]
    _factors: dict[str, float] = field(default_factory=dict)

    def begin(self) -> None:
        """Let the workers that are added from now on be unequal, and begin the drift."""
        self.workers.factor_of = self.factor_of
        if self.speeds.drift_per_s:
            self._plan_drift()

    def factor_of(self, address: str) -> float:
        """The time factor of a machine, which is drawn when it is first asked for."""
        if address not in self._factors:
            self._factors[address] = self._draw()
        return self._factors[address]

    def set_factor(self, worker: SimWorker, factor: float) -> None:
        """Let a worker's machine turn slow or recover."""
        if factor == self.factor_of(worker.address):
            return
        self.notes.append(f"{self.world.time():9.3f} -- work on {worker.life} takes {factor:g}x")
        self._factors[worker.address] = factor
        for each in self.workers.lives.values():
            if each.up and each.address == worker.address:
                self.workers.set_time_factor(each, factor)

    def _draw(self) -> float:
        return self.speeds.factor if self.rng.random() < self.speeds.share else 1.0

    def _plan_drift(self) -> None:
        self.world.call_later(self.rng.expovariate(self.speeds.drift_per_s), self._drift)

    def _drift(self) -> None:
        alive = [worker for worker in self.workers.lives.values() if worker.up]
        if alive:
            self.set_factor(self.rng.choice(alive), self._draw())
        self._plan_drift()
