"""What stops of runs cost, and crashes beside them, and who asked for the room: from all logs."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from saddlestack.cli.crashes import RUN_OVER, crashed_workers, culprits
from saddlestack.cli.loglines import LogLine
from saddlestack.cli.steps import LoggedStep, parse_logged_step

SAVE_INTERVAL_S = 2.0
"""Seconds that a stopped run loses at most where its step saves: it saves this often."""
_PREEMPTED = "preempted"
LOST_WITH_CRASHED_WORKER = "died beside a task that crashes its workers"


@dataclass(slots=True)
class ReasonCost:
    """All stops for one reason.

    :param lost: core-seconds of work thrown away, an accelerator counting as eight cores.
    """

    runs: int = 0
    lost: float = 0.0


@dataclass(slots=True)
class Preemptor:
    """A job that others were stopped for.

    :param preemption_rounds: moments at which it had others stopped; more than one means that the
        room made first was not used.
    :param used_s: from the first stop to its first start on one of the workers it made room on;
        ``None`` where it never started there.
    """

    job_id: str
    runs: int = 0
    lost: float = 0.0
    preemption_rounds: int = 0
    used_s: float | None = None


@dataclass(slots=True)
class StopCosts:
    """The stops of one stretch of logs.

    :param tasks: how often each preempted task was preempted.
    """

    starts: int = 0
    reasons: dict[str, ReasonCost] = field(default_factory=lambda: defaultdict(ReasonCost))
    preemptors: dict[str, Preemptor] = field(default_factory=dict)
    tasks: Counter[str] = field(default_factory=Counter)

    @property
    def unused(self) -> list[Preemptor]:
        """Jobs that never started where others were stopped for them."""
        return [asker for asker in self.preemptors.values() if asker.used_s is None]

    def add(self, other: StopCosts) -> None:
        """Sum another stretch into this one."""
        self.starts += other.starts
        for reason, cost in other.reasons.items():
            self.reasons[reason].runs += cost.runs
            self.reasons[reason].lost += cost.lost
        self.preemptors.update(other.preemptors)
        self.tasks.update(other.tasks)


class _Reader:
    """Goes through log lines once, in order of time."""

    def __init__(self) -> None:
        self.found = StopCosts()
        self._shapes: dict[str, list[LoggedStep | None]] = {}
        self._began: dict[tuple[str, int], float] = {}
        self._asked_on: dict[str, set[str]] = defaultdict(set)
        self._first_asked_s: dict[str, float] = {}
        self._last_asked_s: dict[str, float] = {}

    def lost_beside(self, line: LogLine) -> None:
        """A run was lost with its worker, which crashed under another task."""
        cost = self.found.reasons[LOST_WITH_CRASHED_WORKER]
        cost.runs += 1
        cost.lost += self._lost(line)

    def read(self, line: LogLine) -> None:
        if line.event == "accepted":
            self._shapes.setdefault(line.job, [parse_logged_step(text) for text in line.steps])
        elif line.event == "start":
            self._start(line)
        elif line.event == "stop":
            self._stop(line)

    def _start(self, line: LogLine) -> None:
        self.found.starts += 1
        self._began[line.task, line.run] = line.at_s
        job_id = line.task.partition(".")[0]
        asker = self.found.preemptors.get(job_id)
        if asker is None or asker.used_s is not None:
            return
        if line.worker in self._asked_on[job_id]:
            asker.used_s = line.at_s - self._first_asked_s[job_id]

    def _stop(self, line: LogLine) -> None:
        lost = self._lost(line)
        cost = self.found.reasons[line.reason]
        cost.runs += 1
        cost.lost += lost
        if line.reason != _PREEMPTED or not line.cause:
            return
        self.found.tasks[line.task] += 1
        asker = self.found.preemptors.setdefault(line.cause, Preemptor(line.cause))
        asker.runs += 1
        asker.lost += lost
        if self._last_asked_s.get(line.cause) != line.at_s:
            asker.preemption_rounds += 1
        self._first_asked_s.setdefault(line.cause, line.at_s)
        self._last_asked_s[line.cause] = line.at_s
        self._asked_on[line.cause].add(line.worker)

    def _lost(self, line: LogLine) -> float:
        began = self._began.get((line.task, line.run))
        if began is None:
            return 0.0
        job_id, _, step, _ = line.task.split(".")
        shapes = self._shapes.get(job_id, [])
        shape = shapes[int(step)] if int(step) < len(shapes) else None
        if shape is None:
            return 0.0
        worked_s = line.at_s - began
        if shape.saves:
            worked_s = min(worked_s, SAVE_INTERVAL_S)
        return worked_s * shape.cores


def stop_costs(lines: Sequence[LogLine]) -> StopCosts:
    """What the stops in some log lines cost, lines in order of time.

    What a run had saved is not in the logs: a run of a step that saves is held to lose the time
    between two savings.
    """
    reader = _Reader()
    guilty = culprits(lines)
    workers = crashed_workers(lines, guilty)
    for line in lines:
        if line.event != RUN_OVER:
            reader.read(line)
        elif line.worker in workers and line.task not in guilty:
            reader.lost_beside(line)
    return reader.found


def describe(found: StopCosts) -> Iterable[str]:
    """The stops in words, a line each."""
    runs = sum(
        cost.runs for reason, cost in found.reasons.items() if reason != LOST_WITH_CRASHED_WORKER
    )
    yield f"{runs} stops of {found.starts} starts"
    for reason, cost in sorted(found.reasons.items(), key=lambda each: -each[1].lost):
        yield f"{cost.runs:8} runs {cost.lost:9.0f} core-seconds  {reason}"
    if not found.preemptors:
        return
    sizes = sorted(asker.runs for asker in found.preemptors.values())
    yield (
        f"{len(sizes)} jobs had others stopped: {sizes[len(sizes) // 2]} runs in the median, "
        f"{sizes[-1]} at most; {len(found.unused)} never started there"
    )
    again = sum(1 for asker in found.preemptors.values() if asker.preemption_rounds > 1)
    yield f"{again} of them asked more than once"
    twice = sum(1 for count in found.tasks.values() if count > 1)
    yield f"{twice} of {len(found.tasks)} preempted tasks were preempted more than once"
