"""The history of all runs and worker incarnations, built from the workers' records."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field

from saddlestack.interfaces.workers import EndKind
from saddlestack.soak.messages import (
    EndNoted,
    LifeAnnounced,
    LifeBegan,
    LifeEnded,
    LifeResized,
    Record,
    RunBegan,
    RunEnded,
    RunStopping,
    RunWorks,
)
from saddlestack.work import TaskName


@dataclass(slots=True)
class Incarnation:
    """One incarnation of a worker.

    :param announced_s: when the store had accepted the announcement of its end.
    :param crashed_by: the task that crashed the worker, if any.
    :param resized: changes of its accelerators, in order of time.
    """

    worker: str
    machine: str
    hall: str
    rack: str
    accelerators: int
    began_s: float
    announced_s: float = math.inf
    ended_s: float = math.inf
    crashed: bool = False
    crashed_by: str = ""
    resized: list[LifeResized] = field(default_factory=list)

    def max_accelerators_at(self, at_s: float, max_lag_s: float) -> int:
        """The maximum number of accelerators that a leader may assume at a time.

        :param max_lag_s: the maximum age of the leader's information.
        """
        present = self.accelerators
        usable = present
        for each in self.resized:
            if each.at_s > at_s:
                break
            present = each.accelerators
            known = each.at_s <= at_s - max_lag_s
            usable = present if known else max(usable, present)
        return usable


@dataclass(slots=True)
class RunRecord:
    """One run, from its order to the acknowledgement of its end.

    :param fence: the fencing token of its order, which identifies the leader.
    :param late: the order was carried out late.
    :param work_began_s: when a member of a gang began to work; other runs work from their start.
    :param how: how it ended; ``None`` if it still runs or ended with its worker.
    :param acknowledged_s: when its end was acknowledged; ``None`` if it was not.
    :param lease_expired: the worker's lease expired between its end and the acknowledgement.
    """

    task: TaskName
    number: int
    incarnation: Incarnation
    fence: int
    ordered_s: float
    began_s: float
    late: bool
    accelerators: int
    gang: int
    work_began_s: float | None = None
    stop: RunStopping | None = None
    ended_s: float = math.inf
    how: EndKind | None = None
    acknowledged_s: float | None = None
    lease_expired: bool = False

    @property
    def effective_end_s(self) -> float:
        """When it ended, by itself or with its worker; infinite while it runs."""
        return min(self.ended_s, self.incarnation.ended_s)

    @property
    def is_done(self) -> bool:
        """Whether it ended as done."""
        return self.how is EndKind.DONE

    @property
    def is_acknowledged(self) -> bool:
        """Whether its end was acknowledged before the worker's lease expired."""
        return self.acknowledged_s is not None and not self.lease_expired

    @property
    def step(self) -> StepKey:
        """The step of its task: job id, occurrence and step number."""
        return self.task.job_id, self.task.occurrence, self.task.step


StepKey = tuple[str, int, int]


@dataclass(slots=True)
class RunHistory:
    """All runs and worker incarnations.

    :ivar runs: all runs, for each worker in the order of their beginnings.
    """

    incarnations: dict[str, Incarnation] = field(default_factory=dict)
    runs: list[RunRecord] = field(default_factory=list)
    _current_runs: dict[tuple[str, str, int], RunRecord] = field(default_factory=dict)

    @classmethod
    def of(cls, records: Iterable[Record]) -> RunHistory:
        """Build the history from records."""
        book = cls()
        for record in records:
            book.add(record)
        return book

    def add(self, record: Record) -> None:
        """Add a worker's record."""
        if isinstance(record, LifeResized):
            self.incarnations[record.worker].resized.append(record)
        elif isinstance(record, LifeBegan | LifeAnnounced | LifeEnded):
            self._add_incarnation(record)
        elif isinstance(record, RunBegan):
            self._begin_run(record)
        else:
            self._update_run(self._current_runs[(record.worker, record.task, record.run)], record)

    def by_task(self) -> dict[TaskName, list[RunRecord]]:
        """Return all runs of each task, in the order of their beginnings."""
        found: dict[TaskName, list[RunRecord]] = defaultdict(list)
        for run in sorted(self.runs, key=lambda run: run.began_s):
            found[run.task].append(run)
        return found

    def by_step(self) -> dict[StepKey, list[RunRecord]]:
        """Return all runs of each step."""
        found: dict[StepKey, list[RunRecord]] = defaultdict(list)
        for run in self.runs:
            found[run.step].append(run)
        return found

    def _add_incarnation(self, record: LifeBegan | LifeAnnounced | LifeEnded) -> None:
        if isinstance(record, LifeBegan):
            self.incarnations[record.worker] = Incarnation(
                record.worker,
                record.machine,
                record.hall,
                record.rack,
                record.accelerators,
                record.at_s,
            )
        elif isinstance(record, LifeAnnounced):
            self.incarnations[record.worker].announced_s = record.at_s
        else:
            self.incarnations[record.worker].ended_s = record.at_s
            self.incarnations[record.worker].crashed = record.crashed
            self.incarnations[record.worker].crashed_by = record.by

    def _begin_run(self, record: RunBegan) -> None:
        run = RunRecord(
            TaskName.parse(record.task),
            record.run,
            self.incarnations[record.worker],
            record.fence,
            record.ordered_s,
            record.at_s,
            record.late,
            record.accelerators,
            record.gang,
        )
        self.runs.append(run)
        self._current_runs[(record.worker, record.task, record.run)] = run

    def _update_run(
        self, run: RunRecord, record: RunWorks | RunStopping | RunEnded | EndNoted
    ) -> None:
        if isinstance(record, RunWorks):
            run.work_began_s = record.at_s
        elif isinstance(record, RunStopping):
            run.stop = record
        elif isinstance(record, RunEnded):
            run.ended_s = record.at_s
            run.how = EndKind(record.how)
        else:
            run.acknowledged_s = record.at_s
            run.lease_expired = record.lapsed
