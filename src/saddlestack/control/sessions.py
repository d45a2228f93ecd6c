"""The sessions of one term, one for each life of a worker, and the orders that they pass on."""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Iterator

from saddlestack.control.context import EntryContext
from saddlestack.control.leases import Leases
from saddlestack.control.owner import SessionOwner
from saddlestack.control.session import WorkerSession
from saddlestack.control.unanswered import UnansweredStarts
from saddlestack.kernel.service import TaskGroup
from saddlestack.policy.cluster.changes import Start, Stop
from saddlestack.policy.cluster.pacing import Pace
from saddlestack.policy.cluster.workers import Worker

log = logging.getLogger("saddlestack.sessions")

OPEN_BATCH_SIZE = 64
OPEN_BATCH_PAUSE_S = 0.02
"""A first look costs some 1 ms of a core: a new leader that opened 3,000 sessions at once came to
nothing else for longer than its lease of 1 s, its renewals included. So paced it takes that long,
and each renewal waits for one batch."""


class Sessions:
    """Opens sessions where they are needed, and passes orders on.

    :param owner: the scheduler whose board they serve.
    :param leases: what was granted to workers in this term and before.
    """

    def __init__(self, context: EntryContext, owner: SessionOwner, leases: Leases) -> None:
        self._context = context
        self._owner = owner
        self._sessions: dict[str, WorkerSession] = {}
        self._tasks = TaskGroup("sessions")
        self._leases = leases
        self._unanswered_starts = UnansweredStarts()
        self._opening = False

    def __len__(self) -> int:
        return len(self._sessions)

    def __iter__(self) -> Iterator[str]:
        """The workers that are dealt with, by id."""
        return iter(self._sessions)

    async def stop(self) -> None:
        """End all dealings with workers."""
        await self._tasks.cancel()
        for session in list(self._sessions.values()):
            await session.close()

    def open(self) -> None:
        """Have a session with every worker that runs something; many are opened in batches."""
        if self._opening:
            return
        due = self._without_session()
        self._open_some(due)
        if len(due) > OPEN_BATCH_SIZE:
            self._opening = True
            self._tasks.spawn(self._open_rest())

    async def _open_rest(self) -> None:
        try:
            while due := self._without_session():
                await asyncio.sleep(OPEN_BATCH_PAUSE_S)
                self._open_some(due)
        finally:
            self._opening = False

    def _without_session(self) -> list[Worker]:
        """Workers that run something, and that nobody looks at."""
        workers = self._owner.cluster_state.workers.values()
        busy = (worker for worker in workers if worker.runs and worker.record.address)
        return [worker for worker in busy if not self._is_open(worker)]

    def _open_some(self, workers: list[Worker]) -> None:
        for worker in workers[:OPEN_BATCH_SIZE]:
            self._session(worker.worker_id)

    def _is_open(self, worker: Worker) -> bool:
        session = self._sessions.get(worker.worker_id)
        return session is not None and not session.over and session.worker is worker

    def close(self, worker_id: str) -> None:
        """End the session with a worker."""
        session = self._sessions.pop(worker_id, None)
        if session is not None:
            self._tasks.spawn(session.close())

    def close_orphaned(self) -> None:
        """End the sessions with lives that are over and of which no record tells any more."""
        for worker_id in [
            each for each in self._sessions if each not in self._owner.cluster_state.workers
        ]:
            self.close(worker_id)

    def suspect(self, hall: str) -> None:
        """Give nothing new to the workers of a hall until each has been heard again."""
        for worker in list(self._owner.cluster_state.workers.values()):
            if worker.record.data_hall == hall and worker.listed:
                self.suspect_worker(worker)

    def suspect_worker(self, worker: Worker) -> None:
        """Give nothing new to a worker until it has been heard again."""
        session = self._session(worker.worker_id)
        if session is not None:
            session.suspect()

    def revoke_starts(self, life: str) -> None:
        """Have the life after another refuse the starts that the other may not have carried out.

        A look tells it the present fencing token, which it does not know of before, so that it
        refuses those of earlier leaders; those of this one are stopped.
        """
        session = self._session(life)
        if session is None:
            return
        session.suspect()
        for task, number in self._unanswered_starts.pending(life, self._context.clock.now()):
            session.stop(task, number)

    def order_start(self, start: Start, news_s: float) -> bool:
        """Order a run to start; ``False`` where its worker is gone.

        :param news_s: how old the news of workers may be that the start rests on.
        """
        run = start.run
        log.info(
            "start",
            extra={
                "event": "start",
                "task": str(run.task.name),
                "run": run.number,
                "worker": run.worker_id,
                "news_s": round(news_s, 2),
            },
        )
        session = self._session(run.worker_id)
        if session is None:
            return False
        session.start(start)
        return True

    def order_stop(self, stop: Stop) -> None:
        """Order a run to stop."""
        session = self._session(stop.worker_id)
        if session is not None:
            session.stop(stop.task, stop.number)
        log.info(
            "stop",
            extra={
                "event": "stop",
                "task": str(stop.task),
                "run": stop.number,
                "worker": stop.worker_id,
                "reason": stop.reason.value,
                "cause": stop.cause or None,
            },
        )

    def order_pace(self, pace: Pace) -> None:
        """Order a run to work at a share of its full speed."""
        session = self._session(pace.run.worker_id)
        if session is not None:
            session.pace(pace.run, pace.percent)
        log.info(
            "pace",
            extra={
                "event": "pace",
                "task": str(pace.run.task.name),
                "worker": pace.run.worker_id,
                "percent": pace.percent,
            },
        )

    def _session(self, worker_id: str) -> WorkerSession | None:
        """The session with a worker's present life; ``None`` where it cannot be reached.

        A new one orders the stops again that found no way to the worker before.
        """
        worker = self._owner.cluster_state.workers.get(worker_id)
        if worker is not None and self._is_open(worker):
            return self._sessions[worker_id]
        if worker is None or not worker.record.address:
            return None
        self.close(worker_id)
        session = WorkerSession(
            worker,
            self._context.orders(worker.record),
            self._owner,
            self._context.clock,
            self._leases,
            self._unanswered_starts,
        )
        self._sessions[worker_id] = session
        session.begin()
        for task, number in [key for key, run in worker.runs.items() if run.stopping]:
            session.stop(task, number)
        return session
