"""Applies the reports of a worker to its runs, and ignores what is out of date in them.

Answers on different connections may arrive out of order, and orders may be in flight meanwhile.
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
    """Handles the reports of one incarnation of a worker.

    A run counts as over only by the worker's own account: its reported end, or a report that does
    not list it and was requested after the last order about the run was answered.

    :ivar seen: the worker may forget ended runs up to this number.
    """

    def __init__(self, worker: Worker, owner: SessionOwner, clock: Clock) -> None:
        self._worker = worker
        self._owner = owner
        self._clock = clock
        self._open_orders: set[RunKey] = set()
        self._closed_s: dict[RunKey, float] = {}
        self._last_end = 0
        self._jobs_with_ends: set[str] = set()
        self._last_end_s = -math.inf
        self.seen = 0

    # Orders

    def order_opened(self, key: RunKey) -> None:
        """Note an unanswered order about a run; until it is closed, reports don't decide on it."""
        self._open_orders.add(key)

    def order_closed(self, key: RunKey) -> None:
        """Note that no order about a run is open: reports requested from now on decide on it."""
        self._open_orders.discard(key)
        self._closed_s[key] = self._clock.now()

    def close_open_order(self, key: RunKey) -> None:
        """As :meth:`order_closed`, unless no order about the run is open."""
        if key in self._open_orders:
            self.order_closed(key)

    def order_withdrawn(self, key: RunKey) -> None:
        """Note that an order about a run was never carried out."""
        self._open_orders.discard(key)

    def clear_orders(self) -> None:
        """Drop all open orders, since nothing runs on the worker any more."""
        self._open_orders.clear()

    # Outstanding reports

    @property
    def needs_report_now(self) -> bool:
        """Whether to poll without waiting: for inherited runs, or to acknowledge ends."""
        return self.seen != self._last_end or any(
            run.inherited and key not in self._closed_s for key, run in self._worker.runs.items()
        )

    @property
    def is_idle(self) -> bool:
        """Whether no order is open and every end was acknowledged."""
        return self.seen == self._last_end and not self._open_orders

    # Reports

    def handle(self, report: WorkerReport, asked_s: float) -> None:
        """Apply a report to the worker's runs.

        :param asked_s: when the report was requested.
        """
        now = self._clock.now()
        cluster_state = self._owner.cluster_state
        cluster_state.worker_reported(
            self._worker.worker_id, self._current_rows(report, asked_s), now
        )
        new_ends = [end for end in report.ended if end.number > self._last_end]
        for end in new_ends:
            self._on_ended(end, now)
        self._reconcile(report, asked_s, now)
        if new_ends or cluster_state.has_changes:
            self._owner.reschedule()

    async def acknowledge(self) -> None:
        """Acknowledge the reported ends to the worker, once they are in the store.

        Returns after :data:`COMMIT_WAIT_S` at the latest; a later call then acknowledges them.
        """
        last_end = self._last_end
        if last_end <= self.seen:
            return
        try:
            async with asyncio.timeout(COMMIT_WAIT_S):
                await self._owner.wait_written(frozenset(self._jobs_with_ends))
        except TimeoutError:
            return
        self.seen = max(self.seen, last_end)
        if last_end == self._last_end:
            self._jobs_with_ends.clear()
        for key in [key for key in self._closed_s if key not in self._worker.runs]:
            del self._closed_s[key]

    def _on_ended(self, end: EndedTask, now: float) -> None:
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
        self._last_end_s = now
        self._last_end = max(self._last_end, end.number)
        self._jobs_with_ends.add(TaskName.parse(end.task).job_id)

    def _current_rows(self, report: WorkerReport, asked_s: float) -> Sequence[RunningTask]:
        """The runs a report lists, without those whose end arrived since it was requested.

        Such a run would otherwise count as unknown and be stopped.
        """
        if asked_s >= self._last_end_s:
            return report.running
        known_runs = {(str(name), number) for name, number in self._worker.runs}
        return [row for row in report.running if (row.task, row.run) in known_runs]

    def _reconcile(self, report: WorkerReport, asked_s: float, now: float) -> None:
        """Mark the runs that are present as started, and end those that are not there."""
        present = {(row.task, row.run) for row in report.running}
        for key, run in list(self._worker.runs.items()):
            if key in self._open_orders:
                continue
            if (str(key[0]), key[1]) in present:
                self._closed_s.setdefault(key, now)
                if run.started_s is None:
                    self._owner.cluster_state.run_started(run, now)
            elif not report.more and self._would_be_listed(key, run, asked_s):
                # If the worker has more ends to report, that of an absent run may be among them.
                self._on_absent(key, run, now - asked_s)

    def _would_be_listed(self, key: RunKey, run: Run, asked_s: float) -> bool:
        """Whether a report requested at some time would list a run that is present."""
        closed_s = self._closed_s.get(key)
        if closed_s is None:
            return run.inherited
        return closed_s <= asked_s

    def _on_absent(self, key: RunKey, run: Run, age_s: float) -> None:
        log.info(
            "run is absent",
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
