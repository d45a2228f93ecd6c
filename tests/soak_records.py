"""Builds the records of a soak's workers for tests of its checks."""

from __future__ import annotations

from dataclasses import dataclass, field

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

JOB = "00000000000000aa"


def task_name(index: int = 0, step: int = 0, job: str = JOB) -> str:
    """Return the name of a task."""
    return f"{job}.0.{step}.{index}"


@dataclass
class RecordBuilder:
    """Builds a list of records; each method appends the record of one event."""

    records: list[Record] = field(default_factory=list)

    def worker(
        self, worker: str, at_s: float = 0.0, accelerators: int = 8, machine: str = "m1"
    ) -> None:
        self.records.append(LifeBegan(worker, machine, "hall-1", "r1-1", accelerators, at_s))

    def end_incarnation(self, worker: str, at_s: float, *, crashed: bool) -> None:
        self.records.append(LifeEnded(worker, at_s, crashed))

    def crash(self, worker: str, at_s: float, *, by: str = "") -> None:
        self.records.append(LifeEnded(worker, at_s, True, by))

    def resize(self, worker: str, at_s: float, accelerators: int) -> None:
        self.records.append(LifeResized(worker, at_s, accelerators))

    def announce(self, worker: str, at_s: float) -> None:
        self.records.append(LifeAnnounced(worker, at_s, 3.0))

    def begin(
        self,
        worker: str,
        at_s: float,
        *,
        index: int = 0,
        run: int = 1,
        step: int = 0,
        fence: int = 1,
        late: bool = False,
        accelerators: int = 1,
        gang: int = 0,
        job: str = JOB,
    ) -> None:
        self.records.append(
            RunBegan(
                worker,
                task_name(index, step, job),
                run,
                fence,
                at_s,
                at_s,
                late,
                accelerators,
                gang,
            )
        )

    def end(
        self,
        worker: str,
        at_s: float,
        how: str = "done",
        *,
        index: int = 0,
        run: int = 1,
        step: int = 0,
        acknowledged_s: float | None = None,
        lease_expired: bool = False,
        job: str = JOB,
    ) -> None:
        task = task_name(index, step, job)
        self.records.append(RunEnded(worker, task, run, how, at_s))
        if acknowledged_s is not None:
            self.records.append(EndNoted(worker, task, run, 1, acknowledged_s, lease_expired))

    def stop(self, worker: str, at_s: float, *, index: int = 0, run: int = 1) -> None:
        self.records.append(RunStopping(worker, task_name(index), run, 2, at_s, at_s, False))

    def begin_work(self, worker: str, at_s: float, *, index: int = 0, run: int = 1) -> None:
        self.records.append(RunWorks(worker, task_name(index), run, at_s))
