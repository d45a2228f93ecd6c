"""The longest chain of a job's work: as usual workers would do it, and what slow ones added."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from saddlestack.cli.loglines import LogLine
from saddlestack.cli.steps import LoggedStep, parse_logged_step
from saddlestack.cli.workerspeeds import WorkerSpeeds, is_slow


@dataclass(frozen=True, slots=True)
class ChainWork:
    """The work of a job in sequence: the sum over its steps of their longest task.

    :param usual_s: seconds that it takes on usual workers.
    :param slow_s: seconds that slow workers added.
    """

    usual_s: float
    slow_s: float


@dataclass(slots=True)
class _TaskWork:
    """The counted runs of a task, in seconds.

    :param actual_s: how long they took.
    :param usual_s: how long they would have taken on usual workers.
    :param slow: whether a slow worker held one of them up.
    """

    actual_s: float = 0.0
    usual_s: float = 0.0
    slow: bool = False

    def add(self, actual_s: float, factor: float) -> None:
        """Add a run, given the time factor of the worker that held it up."""
        self.actual_s += actual_s
        self.usual_s += actual_s / factor
        self.slow = self.slow or is_slow(factor)


@dataclass(frozen=True, slots=True)
class _Run:
    """A run of a task; its end is infinitely late if it was never logged."""

    worker: str
    start_s: float
    end_s: float

    def overlaps(self, other: _Run) -> bool:
        return self.start_s < other.end_s and other.start_s < self.end_s


def chain_work(
    accepted: LogLine, starts: Sequence[LogLine], ends: Sequence[LogLine], speeds: WorkerSpeeds
) -> ChainWork:
    """Return the longest chain of a job's work.

    The work of a task is that of the run that ended as done. If the step saves its progress, the
    work of earlier runs counts as well.
    """
    steps = [parse_logged_step(text) for text in accepted.steps]
    runs = _runs_by_step(starts, ends)
    starts_of_runs = {(line.task, line.run): line for line in starts}
    tasks: dict[str, _TaskWork] = defaultdict(_TaskWork)
    for end in ends:
        start = starts_of_runs.get((end.task, end.run))
        if start is None:
            continue
        number = int(end.task.split(".")[2])
        step = steps[number] if number < len(steps) else None
        if not _counts(end, step):
            continue
        run = _Run(start.worker or end.worker, start.at_s, end.at_s)
        others = runs[_step_of(end)] if step is not None and step.gang else []
        tasks[end.task].add(end.at_s - start.at_s, _factor(run, others, speeds))
    return _longest_chain(tasks)


def _step_of(line: LogLine) -> str:
    """Return the step (``JOB.OCCURRENCE.STEP``) of the task that a line names."""
    return line.task.rpartition(".")[0]


def _counts(end: LogLine, step: LoggedStep | None) -> bool:
    """Whether the work of a run counts, given the line about its end."""
    return end.how == "done" or (step is not None and step.saves)


def _runs_by_step(starts: Iterable[LogLine], ends: Iterable[LogLine]) -> dict[str, list[_Run]]:
    """Return all runs of each step, those without a logged end included."""
    ends_s = {(line.task, line.run): line.at_s for line in ends}
    found: dict[str, list[_Run]] = defaultdict(list)
    for line in starts:
        end_s = ends_s.get((line.task, line.run), math.inf)
        found[_step_of(line)].append(_Run(line.worker, line.at_s, end_s))
    return found


def _factor(run: _Run, others: Iterable[_Run], speeds: WorkerSpeeds) -> float:
    """Return by which factor a run took longer than on usual workers.

    The members of a gang end together, so the one on the slowest worker holds up all of them.

    :param others: the runs of the other members, if the step is a gang.
    """
    members = [run, *(other for other in others if other.overlaps(run))]
    return max(speeds.factor(member.worker, run.end_s) for member in members)


def _longest_chain(tasks: Mapping[str, _TaskWork]) -> ChainWork:
    by_step: dict[str, list[_TaskWork]] = defaultdict(list)
    for task, work in tasks.items():
        by_step[task.rpartition(".")[0]].append(work)
    usual_s = slow_s = 0.0
    for works in by_step.values():
        longest = max(works, key=lambda work: work.actual_s)
        longest_usual_s = max(0.0, *(work.usual_s for work in works))
        usual_s += longest_usual_s
        if longest.slow:
            slow_s += longest.actual_s - longest_usual_s
    return ChainWork(usual_s, slow_s)
