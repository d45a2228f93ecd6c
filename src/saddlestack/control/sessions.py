"""The worker sessions of one term, one for each incarnation of a worker."""

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
"""Pause between batches of new sessions. A first poll costs about 1 ms of a core: a new leader that
opened 3,000 sessions at once did nothing else, renewals included, for longer than its lease of 1 s.
In batches it takes as long, but each renewal waits for one batch only."""


class Sessions:
    """Opens sessions with workers as needed, and routes orders to them.

    :param owner: the scheduler whose workers they serve.
    :param leases: leases that were granted to workers in this term and before.
    """

    def __init__(self, context: EntryContext, owner: SessionOwner, leases: Leases) -> None:
        self._context = context
        self._owner = owner
        self._sessions: dict[str, WorkerSession] = {}
        self._tasks = TaskGroup("sessions")
        self._leases = leases
        self._unanswered_starts = UnansweredStarts()
        self._is_opening = False

    def __len__(self) -> int:
        return len(self._sessions)

    def __iter__(self) -> Iterator[str]:
        """The ids of the workers that have a session."""
        return iter(self._sessions)

    async def stop(self) -> None:
        """End all sessions with workers, and cancel those being opened."""
        await self._tasks.cancel()
        for session in list(self._sessions.values()):
            await session.close()

    def open(self) -> None:
        """Open a session with every worker that has runs; many are opened in batches."""
        if self._is_opening:
            return
        unopened = self._workers_without_session()
        self._open_batch(unopened)
        if len(unopened) > OPEN_BATCH_SIZE:
            self._is_opening = True
            self._tasks.spawn(self._open_remaining())

    async def _open_remaining(self) -> None:
        try:
            while unopened := self._workers_without_session():
                await asyncio.sleep(OPEN_BATCH_PAUSE_S)
                self._open_batch(unopened)
        finally:
            self._is_opening = False

    def _workers_without_session(self) -> list[Worker]:
        """Workers that have runs and an address, but no open session."""
        workers = self._owner.cluster_state.workers.values()
        busy = (worker for worker in workers if worker.runs and worker.record.address)
        return [worker for worker in busy if not self._is_open(worker)]

    def _open_batch(self, workers: list[Worker]) -> None:
        for worker in workers[:OPEN_BATCH_SIZE]:
            self._session_with(worker.worker_id)

    def _is_open(self, worker: Worker) -> bool:
        session = self._sessions.get(worker.worker_id)
        return session is not None and not session.over and session.worker is worker

    def close(self, worker_id: str) -> None:
        """End the session with a worker."""
        session = self._sessions.pop(worker_id, None)
        if session is not None:
            self._tasks.spawn(session.close())

    def close_orphaned(self) -> None:
        """End the sessions with incarnations that are over and no longer have a record."""
        for worker_id in [
            each for each in self._sessions if each not in self._owner.cluster_state.workers
        ]:
            self.close(worker_id)

    def suspect(self, hall: str) -> None:
        """Start nothing on the workers of a data hall until each has answered again."""
        for worker in list(self._owner.cluster_state.workers.values()):
            if worker.record.data_hall == hall and worker.listed:
                self.suspect_worker(worker)

    def suspect_worker(self, worker: Worker) -> None:
        """Start nothing on a worker until it has answered again."""
        session = self._session_with(worker.worker_id)
        if session is not None:
            session.suspect()

    def poll(self, worker: Worker) -> None:
        """Poll a worker at once, if there is a session with it.

        There is none while the state is being loaded, when its runs would be taken for unknown.
        """
        if self._is_open(worker):
            self._sessions[worker.worker_id].poll()

    def revoke_starts(self, incarnation: str) -> None:
        """Make a new incarnation refuse starts that its predecessor may not have carried out.

        A poll gives it the present fencing token, which a new incarnation lacks, so that it refuses
        the starts of earlier leaders. The unanswered starts of this leader are stopped one by one.
        """
        session = self._session_with(incarnation)
        if session is None:
            return
        session.suspect()
        for task, number in self._unanswered_starts.pending(incarnation, self._context.clock.now()):
            session.stop(task, number)

    def order_start(self, start: Start, feed_age_s: float) -> bool:
        """Order a run to start; ``False`` if its worker is gone.

        :param feed_age_s: how old the worker records behind the decision may be.
        """
        run = start.run
        log.info(
            "start",
            extra={
                "event": "start",
                "task": str(run.task.name),
                "run": run.number,
                "worker": run.worker_id,
                "news_s": round(feed_age_s, 2),
            },
        )
        session = self._session_with(run.worker_id)
        if session is None:
            return False
        session.start(start)
        return True

    def order_stop(self, stop: Stop) -> None:
        """Order a run to stop."""
        session = self._session_with(stop.worker_id)
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
        """Order a run to work at a percentage of its full speed."""
        session = self._session_with(pace.run.worker_id)
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

    def _session_with(self, worker_id: str) -> WorkerSession | None:
        """The session with a worker, opened if needed; ``None`` if the worker has no address.

        A new session repeats the stops of runs that are still stopping.
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
