"""What a worker's answers tell of its runs, and which of them may be believed.

Answers on different connections pass each other, and orders may be under way meanwhile.
"""

from __future__ import annotations

import asyncio
import logging
import math
from collections.abc import Sequence

from saddlestack.control.endings import EndProof, log_runs_over
from saddlestack.control.owner import SessionOwner
from saddlestack.interfaces.workers import EndedTask, RunningTask, WorkerReport
from saddlestack.kernel.clock import Clock
from saddlestack.policy.cluster.jobs import Run
from saddlestack.policy.cluster.workers import RunKey, Worker
from saddlestack.work import TaskName

log = logging.getLogger("saddlestack.reports")

COMMIT_WAIT_S = 1.0


class ReportHandler:
    """The reports of one life of a worker.

    A run's fate is taken from the worker's own account only: its end, or a report, asked for
    after the last order about the run was answered, that knows nothing of it.

    :ivar seen: ends up to this number the worker may forget.
    """

    def __init__(self, worker: Worker, owner: SessionOwner, clock: Clock) -> None:
        self._worker = worker
        self._owner = owner
        self._clock = clock
        self._in_hand: set[RunKey] = set()
        self._settled: dict[RunKey, float] = {}
        self._noted = 0
        self._ended_jobs: set[str] = set()
        self._ended_s = -math.inf
        self.seen = 0

    # Orders

    def ordered(self, key: RunKey) -> None:
        """An order about a run is open: no report tells whether it is there."""
        self._in_hand.add(key)

    def settle(self, key: RunKey) -> None:
        """No order about the run is open: reports asked for from now on tell of it."""
        self._in_hand.discard(key)
        self._settled[key] = self._clock.now()

    def settle_open(self, key: RunKey) -> None:
        """As :meth:`settle`, unless the run was settled before."""
        if key in self._in_hand:
            self.settle(key)

    def withdrawn(self, key: RunKey) -> None:
        """The order about a run is not given after all."""
        self._in_hand.discard(key)

    def clear(self) -> None:
        """Nothing runs there any more."""
        self._in_hand.clear()

    # What is still to be heard

    @property
    def awaited(self) -> bool:
        """Whether a report is wanted at once: of inherited runs, or to have ends forgotten."""
        return self.seen != self._noted or any(
            run.inherited and key not in self._settled for key, run in self._worker.runs.items()
        )

    @property
    def idle(self) -> bool:
        """Whether no order is open and every end was forgotten by the worker."""
        return self.seen == self._noted and not self._in_hand

    # Reports

    def take(self, report: WorkerReport, asked: float) -> None:
        """Pass on what a report tells.

        :param asked: when it was asked for.
        """
        now = self._clock.now()
        cluster_state = self._owner.cluster_state
        cluster_state.worker_reported(self._worker.worker_id, self._still_true(report, asked), now)
        fresh = [end for end in report.ended if end.number > self._noted]
        for end in fresh:
            self._ended(end, now)
        self._judge(report, asked, now)
        if fresh or cluster_state.has_changes:
            self._owner.reschedule()

    async def acknowledge(self) -> None:
        """Let the worker forget its ends, once the store has them."""
        noted = self._noted
        if noted <= self.seen:
            return
        try:
            async with asyncio.timeout(COMMIT_WAIT_S):
                await self._owner.wait_written(frozenset(self._ended_jobs))
        except TimeoutError:
            return
        self.seen = max(self.seen, noted)
        if noted == self._noted:
            self._ended_jobs.clear()
        for key in [key for key in self._settled if key not in self._worker.runs]:
            del self._settled[key]

    def _ended(self, end: EndedTask, now: float) -> None:
        log.info(
            "run ended",
            extra={
                "event": "ended",
                "task": end.task,
                "run": end.run,
                "worker": self._worker.worker_id,
                "how": end.how.value,
            },
        )
        self._owner.cluster_state.run_ended(self._worker.worker_id, end, now)
        self._ended_s = now
        self._noted = max(self._noted, end.number)
        self._ended_jobs.add(TaskName.parse(end.task).job_id)

    def _still_true(self, report: WorkerReport, asked: float) -> Sequence[RunningTask]:
        """What a report lists as running, without runs whose end has been heard since it was asked.

        Such a run is not one that is unknown.
        """
        if asked >= self._ended_s:
            return report.running
        known = {(str(name), number) for name, number in self._worker.runs}
        return [row for row in report.running if (row.task, row.run) in known]

    def _judge(self, report: WorkerReport, asked: float, now: float) -> None:
        """Note which runs are there, and which never began."""
        present = {(row.task, row.run) for row in report.running}
        for key, run in list(self._worker.runs.items()):
            if key in self._in_hand:
                continue
            if (str(key[0]), key[1]) in present:
                self._settled.setdefault(key, now)
                if run.started_s is None:
                    self._owner.cluster_state.run_started(run, now)
            elif not report.more and self._is_told_of(key, run, asked):
                # Where there are more ends, that of an absent run may be among them.
                self._absent(key, run, now - asked)

    def _is_told_of(self, key: RunKey, run: Run, asked: float) -> bool:
        """Whether a report would list a run if it were there."""
        settled = self._settled.get(key)
        if settled is None:
            return run.inherited
        return settled <= asked

    def _absent(self, key: RunKey, run: Run, age_s: float) -> None:
        log.info(
            "run is not there",
            extra={
                "event": "run_absent",
                "task": str(key[0]),
                "run": key[1],
                "worker": self._worker.worker_id,
                "confirmed": run.started_s is not None,
            },
        )
        log_runs_over([run], EndProof.ABSENT, age_s)
        self._owner.cluster_state.run_not_started(run)
