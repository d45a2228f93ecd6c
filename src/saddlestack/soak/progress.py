"""How much work a run has done when its rate changes while it runs."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Seconds of work that are done at a variable rate.

    :param work_s: the total work.
    :param done_s: the work done at ``since_s``.
    :param rate: the rate since then; 0 while the run is paused.
    """

    work_s: float
    done_s: float = 0.0
    rate: float = 0.0
    since_s: float = 0.0

    def at(self, now: float) -> float:
        """The seconds of work done at a time."""
        worked = max(0.0, now - self.since_s) * self.rate
        return min(self.work_s, self.done_s + worked)

    def set_rate(self, rate: float, since_s: float) -> None:
        """Change the rate from a time on."""
        self.done_s = self.at(since_s)
        self.rate = rate
        self.since_s = max(self.since_s, since_s)

    @property
    def ends_s(self) -> float:
        """When all work will be done; infinite at rate 0."""
        if not self.rate:
            return math.inf
        return self.since_s + (self.work_s - self.done_s) / self.rate
