"""How long work takes on each worker, as leaders logged it in events ``worker_speed``."""

from __future__ import annotations

from bisect import bisect_right
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from saddlestack.cli.loglines import LogLine
from saddlestack.policy.cluster.options import SchedulingOptions

WORKER_SPEED = "worker_speed"
SPEEDS_INHERITED = "speeds_inherited"
SPEEDS_LEFT_OUT = "worker_speeds_left_out"
ELECTED = "elected"
SLOW_WORKER_STOP = "slow_worker"
"""The reason of a stop that restarts a gang on other workers because one of its own is slow."""
USUAL_FACTOR = 1.0
SLOW_FACTOR = 1.5
"""A worker with a larger factor is slow. Urgent work tolerates this much before it is late."""
LEARNING_S = 2 * SchedulingOptions().speed_memory_s
"""Seconds after the end of a run within which the first line about its worker still judges it.

Evidence loses half of its weight twice in that time, so a later line says little about the run. A
worker that turns slow hours later must not make its earlier runs look slow.
"""


def is_slow(factor: float) -> bool:
    """Whether a worker with this time factor is slow."""
    return factor > SLOW_FACTOR


@dataclass(slots=True)
class _SpeedHistory:
    """The lines about one worker, in order of time, and their times in seconds."""

    lines: list[LogLine] = field(default_factory=list)
    times_s: list[float] = field(default_factory=list)

    def count_until(self, at_s: float) -> int:
        """Return how many of the lines were written by some time."""
        return bisect_right(self.times_s, at_s)


class WorkerSpeeds:
    """The time factor of each worker over time.

    :param lines: of all VMs, in order of time.
    :ivar left_out: number of lines about speeds that leaders left out of their logs.
    """

    def __init__(self, lines: Iterable[LogLine]) -> None:
        self._histories: dict[str, _SpeedHistory] = defaultdict(_SpeedHistory)
        self._elections_s: list[float] = []
        self._inheritances_s: list[float] = []
        self.left_out = 0
        for line in lines:
            self._add(line)

    def _add(self, line: LogLine) -> None:
        if line.event == WORKER_SPEED and line.worker and line.factor > 0.0:
            history = self._histories[line.worker]
            history.lines.append(line)
            history.times_s.append(line.at_s)
        elif line.event == ELECTED:
            self._elections_s.append(line.at_s)
        elif line.event == SPEEDS_INHERITED and line.workers:
            self._inheritances_s.append(line.at_s)
        elif line.event == SPEEDS_LEFT_OUT:
            self.left_out += line.lines

    def __bool__(self) -> bool:
        """Whether there is any line about the speed of a worker."""
        return bool(self._histories)

    def latest(self) -> list[LogLine]:
        """Return the last line about each worker, the slowest worker first."""
        found = [history.lines[-1] for history in self._histories.values()]
        return sorted(found, key=lambda line: (-line.factor, line.worker))

    def line_for_run(self, worker: str, ended_s: float) -> LogLine | None:
        """Return the line that tells how fast a worker was during a run.

        It is the last one before the run ended. A leader often learns of a slow worker only from
        the run itself, so without such a line the first one in the next :data:`LEARNING_S` counts.
        A line stays valid when the leader changes, since the worker does not.
        """
        history = self._histories.get(worker)
        if history is None:
            return None
        until_end = history.count_until(ended_s)
        if until_end:
            return history.lines[until_end - 1]
        first = history.lines[0]
        return first if first.at_s <= ended_s + LEARNING_S else None

    def factor(self, worker: str, ended_s: float) -> float:
        """Return the time factor of a worker during a run that ended at some time.

        Workers about which there is no line count as usual.
        """
        line = self.line_for_run(worker, ended_s)
        return USUAL_FACTOR if line is None else line.factor

    def was_known_slow(self, worker: str, at_s: float) -> bool:
        """Whether the leader of some time knew that a worker is slow.

        A leader that took over after the last line knows it only if it inherited speeds.
        """
        history = self._histories.get(worker)
        count = history.count_until(at_s) if history is not None else 0
        if history is None or not count or not is_slow(history.lines[count - 1].factor):
            return False
        elections = self._elections_s[: bisect_right(self._elections_s, at_s)]
        if not elections or elections[-1] <= history.times_s[count - 1]:
            return True
        return any(elections[-1] <= each <= at_s for each in self._inheritances_s)
