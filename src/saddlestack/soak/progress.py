"""How much of its work a run has done."""

from __future__ import annotations

import math
from dataclasses import dataclass


@dataclass(slots=True)
class Progress:
    """Seconds of work, done at a rate that changes.

    :param work_s: all of it.
    :param done_s: done at ``since_s``, from when on it goes on at ``rate``.
    """

    work_s: float
    done_s: float = 0.0
    rate: float = 0.0
    since_s: float = 0.0

    def at(self, now: float) -> float:
        """Seconds of work done by now."""
        worked = max(0.0, now - self.since_s) * self.rate
        return min(self.work_s, self.done_s + worked)

    def set_rate(self, rate: float, since_s: float) -> None:
        """Work at another rate from some moment on."""
        self.done_s = self.at(since_s)
        self.rate = rate
        self.since_s = max(self.since_s, since_s)

    @property
    def ends_s(self) -> float:
        """When all work is done; infinite while it stands still."""
        if not self.rate:
            return math.inf
        return self.since_s + (self.work_s - self.done_s) / self.rate
