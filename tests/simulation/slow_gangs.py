"""Finds urgent gangs that began on workers known to be slow while fast ones had room for them.

Only days without faults are judged. What is asked of the scheduler is stated for the ground truth,
which it knows only from its observations. So a gang counts only where everything is clear: the
workers by their evidence, the room from some time before the start to some time after it, and
enough time left for the gang to meet its objective.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from saddlestack.work import Step
from tests.simulation.evidence import Evidence
from tests.simulation.workers import SimRun, SimWorker

FROM_S = 10.0
"""Time from the beginning of the demand in which the workers are still unknown."""
LAG_S = 0.5
"""Room counts as free if it was free this long before a start and stays so this long after it: a
scheduler learns of ends later, and may have decided on other starts before."""
LATE_S = 0.4
"""A gang that starts with less slack than this may be considered as late."""


@dataclass(frozen=True, slots=True)
class UrgentGang:
    """An urgent job that is a gang.

    :param objective_s: time from its submission within which it should be done.
    :param cancelled_s: when its client first cancelled it.
    """

    job_id: str
    step: Step
    submitted_s: float
    work_s: float
    objective_s: float
    cancelled_s: float = math.inf

    def is_late(self, at_s: float) -> bool:
        """Whether its objective may be out of reach at a time."""
        return self.submitted_s + self.objective_s < at_s + self.work_s + LATE_S


@dataclass(slots=True)
class SlowGangs:
    """The outcome.

    :param starts: number of the starts of urgent gangs that were judged.
    :param on_slow: number of those that used a worker known to be slow.
    :param avoidable: those of them for which fast workers had room, as texts.
    """

    starts: int = 0
    on_slow: int = 0
    avoidable: list[str] = field(default_factory=list)


class SlowGangJudge:
    """Judges a day when it is over.

    :param runs: all runs of the day.
    :param gangs: the urgent gangs, by job.
    :param from_s: starts before this time are not judged.
    """

    def __init__(
        self, runs: Sequence[SimRun], gangs: Mapping[str, UrgentGang], from_s: float
    ) -> None:
        self._gangs = gangs
        self._from_s = from_s
        self._evidence = Evidence(runs)
        self._by_worker: dict[SimWorker, list[SimRun]] = defaultdict(list)
        self._starts: dict[tuple[str, int, int], list[SimRun]] = defaultdict(list)
        self._first_s: dict[str, float] = {}
        for run in runs:
            self._by_worker[run.worker].append(run)
            if run.task.job_id in gangs:
                key = (run.task.job_id, run.task.occurrence, run.number)
                self._starts[key].append(run)
                first_s = self._first_s.get(run.task.job_id, math.inf)
                self._first_s[run.task.job_id] = min(first_s, run.ordered_s)

    def judge(self, workers: Iterable[SimWorker]) -> SlowGangs:
        """Judge all starts of urgent gangs.

        :param workers: all workers of the day.
        """
        found, all_workers = SlowGangs(), list(workers)
        for members in self._starts.values():
            gang = self._gangs[members[0].task.job_id]
            at_s = min(run.ordered_s for run in members)
            if at_s < self._from_s or gang.is_late(at_s) or self._other_waits(gang, at_s):
                continue
            found.starts += 1
            known_slow = [each for each in all_workers if self._evidence.shows_slow(each, at_s)]
            used = {run.worker for run in members}
            slow = [each.life for each in known_slow if each in used]
            found.on_slow += bool(slow)
            usual = [each for each in all_workers if self._evidence.shows_usual(each, at_s)]
            # Factors are relative to the median of the known workers.
            if len(known_slow) >= len(usual):
                continue
            if slow and self._has_room(gang.step, members, usual, at_s):
                found.avoidable.append(
                    f"urgent gang on slow workers: [{gang.job_id} of {gang.step.count} tasks of"
                    f" {gang.step.needs.accelerators}, at {at_s:.3f} on {', '.join(sorted(slow))}]"
                )
        return found

    def _other_waits(self, gang: UrgentGang, at_s: float) -> bool:
        """Whether another urgent gang waits, for which the room may be kept."""
        return any(
            other.submitted_s <= at_s < other.cancelled_s
            and self._first_s.get(other.job_id, math.inf) > at_s + LAG_S
            for other in self._gangs.values()
            if other is not gang
        )

    def _has_room(
        self, step: Step, members: Sequence[SimRun], usual: list[SimWorker], at_s: float
    ) -> bool:
        """Whether usual workers had room for a gang: in one rack, or near its data, if it asks."""
        racks: dict[str, int] = defaultdict(int)
        for worker in usual:
            if step.data_rack in ("", worker.rack):
                free = worker.room - self._held(worker, members, at_s)
                racks[worker.rack] += max(0, free) // step.needs.accelerators
        copies = max(racks.values(), default=0) if step.same_rack else sum(racks.values())
        return copies >= step.count

    def _held(self, worker: SimWorker, members: Sequence[SimRun], at_s: float) -> int:
        """Accelerators that others may hold at a time."""
        return sum(
            run.plan.room
            for run in self._by_worker[worker]
            if run not in members
            and run.ordered_s - LAG_S <= at_s
            and (run.ended_s is None or at_s <= run.ended_s + LAG_S)
        )
