"""Work lost to stops of runs and to crashes of workers, and the jobs that preempted others.

All figures come from the logs of all VMs.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from saddlestack.cli.crashes import RUN_OVER, crashed_workers, culprits
from saddlestack.cli.loglines import LogLine
from saddlestack.cli.steps import LoggedStep, parse_logged_step

SAVE_INTERVAL_S = 2.0
"""How often steps that save their progress do so; a stopped run of theirs loses this at most."""
_PREEMPTED = "preempted"
LOST_WITH_CRASHED_WORKER = "died beside a task that crashes its workers"


@dataclass(slots=True)
class ReasonCost:
    """The cost of all stops for one reason.

    :param runs: number of stopped runs.
    :param lost_core_s: core-seconds of lost work; an accelerator counts as eight cores.
    """

    runs: int = 0
    lost_core_s: float = 0.0


@dataclass(slots=True)
class Preemptor:
    """A job for which runs of other jobs were stopped.

    :param runs: number of runs that were stopped for it.
    :param lost_core_s: core-seconds of work that these runs lost.
    :param preemption_rounds: number of times at which runs were stopped for it; more than one means
        that the capacity freed first was not used.
    :param time_to_use_s: time from the first stop to its first start on a worker that was freed for
        it; ``None`` if it never started on one.
    """

    job_id: str
    runs: int = 0
    lost_core_s: float = 0.0
    preemption_rounds: int = 0
    time_to_use_s: float | None = None


@dataclass(slots=True)
class StopCosts:
    """The cost of all stops in some logs.

    :param starts: number of starts of runs.
    :param reasons: the cost for each reason of a stop.
    :param preemptors: jobs for which others were stopped, by id.
    :param tasks: number of preemptions of each preempted task.
    """

    starts: int = 0
    reasons: dict[str, ReasonCost] = field(default_factory=lambda: defaultdict(ReasonCost))
    preemptors: dict[str, Preemptor] = field(default_factory=dict)
    tasks: Counter[str] = field(default_factory=Counter)

    @property
    def unused(self) -> list[Preemptor]:
        """Jobs that never started on a worker that was freed for them."""
        return [each for each in self.preemptors.values() if each.time_to_use_s is None]

    def add(self, other: StopCosts) -> None:
        """Add the cost of stops in other logs."""
        self.starts += other.starts
        for reason, cost in other.reasons.items():
            self.reasons[reason].runs += cost.runs
            self.reasons[reason].lost_core_s += cost.lost_core_s
        self.preemptors.update(other.preemptors)
        self.tasks.update(other.tasks)


class _Reader:
    """Sums the cost of stops over log lines in order of time."""

    def __init__(self) -> None:
        self.found = StopCosts()
        self._steps_of_jobs: dict[str, list[LoggedStep | None]] = {}
        self._start_times_s: dict[tuple[str, int], float] = {}
        self._preempted_on: dict[str, set[str]] = defaultdict(set)
        self._first_preemption_s: dict[str, float] = {}
        self._last_preemption_s: dict[str, float] = {}

    def add_lost_run(self, line: LogLine) -> None:
        """Add a run that was lost with its worker, which crashed under another task."""
        cost = self.found.reasons[LOST_WITH_CRASHED_WORKER]
        cost.runs += 1
        cost.lost_core_s += self._lost_core_s(line)

    def add_line(self, line: LogLine) -> None:
        if line.event == "accepted":
            self._steps_of_jobs.setdefault(
                line.job, [parse_logged_step(text) for text in line.steps]
            )
        elif line.event == "start":
            self._start(line)
        elif line.event == "stop":
            self._stop(line)

    def _start(self, line: LogLine) -> None:
        self.found.starts += 1
        self._start_times_s[line.task, line.run] = line.at_s
        job_id = line.task.partition(".")[0]
        preemptor = self.found.preemptors.get(job_id)
        if preemptor is None or preemptor.time_to_use_s is not None:
            return
        if line.worker in self._preempted_on[job_id]:
            preemptor.time_to_use_s = line.at_s - self._first_preemption_s[job_id]

    def _stop(self, line: LogLine) -> None:
        lost_core_s = self._lost_core_s(line)
        cost = self.found.reasons[line.reason]
        cost.runs += 1
        cost.lost_core_s += lost_core_s
        if line.reason != _PREEMPTED or not line.cause:
            return
        self.found.tasks[line.task] += 1
        preemptor = self.found.preemptors.setdefault(line.cause, Preemptor(line.cause))
        preemptor.runs += 1
        preemptor.lost_core_s += lost_core_s
        if self._last_preemption_s.get(line.cause) != line.at_s:
            preemptor.preemption_rounds += 1
        self._first_preemption_s.setdefault(line.cause, line.at_s)
        self._last_preemption_s[line.cause] = line.at_s
        self._preempted_on[line.cause].add(line.worker)

    def _lost_core_s(self, line: LogLine) -> float:
        started_s = self._start_times_s.get((line.task, line.run))
        if started_s is None:
            return 0.0
        job_id, _, step, _ = line.task.split(".")
        job_steps = self._steps_of_jobs.get(job_id, [])
        logged_step = job_steps[int(step)] if int(step) < len(job_steps) else None
        if logged_step is None:
            return 0.0
        worked_s = line.at_s - started_s
        if logged_step.saves:
            worked_s = min(worked_s, SAVE_INTERVAL_S)
        return worked_s * logged_step.cores


def stop_costs(lines: Sequence[LogLine]) -> StopCosts:
    """Sum the cost of the stops in some log lines.

    The logs do not say how much progress a run had saved. A run of a step that saves its progress
    is taken to lose at most :data:`SAVE_INTERVAL_S` of work.

    :param lines: of all VMs, in order of time.
    """
    reader = _Reader()
    culprit_tasks = culprits(lines)
    workers = crashed_workers(lines, culprit_tasks)
    for line in lines:
        if line.event != RUN_OVER:
            reader.add_line(line)
        elif line.worker in workers and line.task not in culprit_tasks:
            reader.add_lost_run(line)
    return reader.found


def describe(found: StopCosts) -> Iterable[str]:
    """Describe the stops for people, line by line."""
    runs = sum(
        cost.runs for reason, cost in found.reasons.items() if reason != LOST_WITH_CRASHED_WORKER
    )
    yield f"{runs} stops of {found.starts} starts"
    for reason, cost in sorted(found.reasons.items(), key=lambda each: -each[1].lost_core_s):
        yield f"{cost.runs:8} runs {cost.lost_core_s:9.0f} core-seconds  {reason}"
    if not found.preemptors:
        return
    sizes = sorted(preemptor.runs for preemptor in found.preemptors.values())
    yield (
        f"{len(sizes)} jobs had others stopped: {sizes[len(sizes) // 2]} runs in the median, "
        f"{sizes[-1]} at most; {len(found.unused)} never started there"
    )
    again = sum(1 for preemptor in found.preemptors.values() if preemptor.preemption_rounds > 1)
    yield f"{again} of them asked more than once"
    twice = sum(1 for count in found.tasks.values() if count > 1)
    yield f"{twice} of {len(found.tasks)} preempted tasks were preempted more than once"
