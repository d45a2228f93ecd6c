"""The account of all runs and lives of workers, put together from what the workers told."""

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
    """One life of a worker.

    :param announced_s: when the store had taken the announcement of its end.
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

    def max_accelerators_at(self, at_s: float, news_s: float) -> int:
        """The most accelerators that a leader may believe it to have.

        :param news_s: how old its news may be.
        """
        present = self.accelerators
        believed = present
        for each in self.resized:
            if each.at_s > at_s:
                break
            present = each.accelerators
            known = each.at_s <= at_s - news_s
            believed = present if known else max(believed, present)
        return believed


@dataclass(slots=True)
class RunRecord:
    """One run, from its order to the acknowledgement of its end.

    :param fence: the token of its order: who was the leader that gave it.
    :param work_began_s: when a member of a gang began to work; others work from their beginning.
    :param how: how it ended; ``None`` where it is present, or ended with its worker.
    :param lapsed: the worker's lease had lapsed between its end and the acknowledgement.
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
    lapsed: bool = False

    @property
    def effective_end_s(self) -> float:
        """When it was over: by itself, or with its worker; infinite while it is present."""
        return min(self.ended_s, self.incarnation.ended_s)

    @property
    def is_done(self) -> bool:
        """Whether it ended as done."""
        return self.how is EndKind.DONE

    @property
    def is_acknowledged(self) -> bool:
        """Whether its end was acknowledged before the worker's lease lapsed."""
        return self.acknowledged_s is not None and not self.lapsed

    @property
    def step(self) -> StepKey:
        """The step that it is a run of."""
        return self.task.job_id, self.task.occurrence, self.task.step


StepKey = tuple[str, int, int]


@dataclass(slots=True)
class RunHistory:
    """All runs and lives.

    :ivar runs: in the order of their beginnings at each worker.
    """

    incarnations: dict[str, Incarnation] = field(default_factory=dict)
    runs: list[RunRecord] = field(default_factory=list)
    _present: dict[tuple[str, str, int], RunRecord] = field(default_factory=dict)

    @classmethod
    def of(cls, records: Iterable[Record]) -> RunHistory:
        """The account that some records make."""
        book = cls()
        for record in records:
            book.add(record)
        return book

    def add(self, record: Record) -> None:
        """Add what a worker told."""
        if isinstance(record, LifeResized):
            self.incarnations[record.worker].resized.append(record)
        elif isinstance(record, LifeBegan | LifeAnnounced | LifeEnded):
            self._add_life(record)
        elif isinstance(record, RunBegan):
            self._begin(record)
        else:
            self._change(self._present[(record.worker, record.task, record.run)], record)

    def by_task(self) -> dict[TaskName, list[RunRecord]]:
        """All runs of each task, in the order of their beginnings."""
        found: dict[TaskName, list[RunRecord]] = defaultdict(list)
        for run in sorted(self.runs, key=lambda run: run.began_s):
            found[run.task].append(run)
        return found

    def by_step(self) -> dict[StepKey, list[RunRecord]]:
        """All runs of each step."""
        found: dict[StepKey, list[RunRecord]] = defaultdict(list)
        for run in self.runs:
            found[run.step].append(run)
        return found

    def _add_life(self, record: LifeBegan | LifeAnnounced | LifeEnded) -> None:
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

    def _begin(self, record: RunBegan) -> None:
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
        self._present[(record.worker, record.task, record.run)] = run

    def _change(self, run: RunRecord, record: RunWorks | RunStopping | RunEnded | EndNoted) -> None:
        if isinstance(record, RunWorks):
            run.work_began_s = record.at_s
        elif isinstance(record, RunStopping):
            run.stop = record
        elif isinstance(record, RunEnded):
            run.ended_s = record.at_s
            run.how = EndKind(record.how)
        else:
            run.acknowledged_s = record.at_s
            run.lapsed = record.lapsed
