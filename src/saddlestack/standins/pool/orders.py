"""Orders from one VM to one incarnation of a stand-in worker, with network faults."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from saddlestack.interfaces.incarnations import started_ms_of
from saddlestack.interfaces.workers import (
    StartOrder,
    StartReply,
    WorkerBusy,
    WorkerNotReached,
    WorkerReplaced,
    WorkerReport,
    WorkerUnreachable,
)
from saddlestack.platform.orders import check_start_time
from saddlestack.standins.pool.workers import PoolWorker, WorkerPool

TRIP_S = 0.001


@dataclass(slots=True)
class PoolWorkerOrders:
    """Sends the orders of one VM to one incarnation of a worker.

    :param is_connected: returns whether the VM and the worker are connected.
    :param address: address that the VM calls; a worker answers at its own address only.
    :param incarnation: incarnation name that the orders are for. If it includes a start time, no
        other incarnation accepts them; otherwise any incarnation with the same worker id does.
    :param late: orders that are carried out late.
    """

    worker_pool: WorkerPool
    worker: PoolWorker
    is_connected: Callable[[], bool]
    address: str
    incarnation: str = ""
    late: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        """Start a run."""
        await self._reach(timeout_s)
        if self.worker.late_orders:
            self.worker.late_orders -= 1
            self._carry_out_late(lambda worker: self.worker_pool.start(worker, order))
            await self._time_out(timeout_s)
        reply = self.worker_pool.start(self.worker, order)
        await asyncio.sleep(TRIP_S)
        return reply

    async def stop(self, task: str, run: int, fence: int, timeout_s: float) -> None:
        """Stop a run."""
        await self._reach(timeout_s)
        if self.worker.lost_stops:
            self.worker.lost_stops -= 1
            self._carry_out_late(lambda worker: self.worker_pool.stop(worker, task, run, fence))
            await self._time_out(timeout_s)
        self.worker_pool.stop(self.worker, task, run, fence)
        await asyncio.sleep(TRIP_S)

    async def pace(self, task: str, run: int, percent: int, fence: int, timeout_s: float) -> None:
        """Set the pace of a run in percent of full speed."""
        await self._reach(timeout_s)
        self.worker_pool.pace(self.worker, task, run, percent, fence)

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float, timeout_s: float
    ) -> WorkerReport:
        """Renew the lease, acknowledge ends, and poll the worker."""
        await self._reach(timeout_s)
        report = await self.worker_pool.hold(self.worker, fence, deadline_ms, seen, wait_s)
        check_start_time(started_ms_of(self.incarnation), report.born)
        return report

    def close(self) -> None:
        """Do nothing: there are no connections to close."""

    async def _reach(self, timeout_s: float) -> None:
        await asyncio.sleep(TRIP_S)
        if self.worker.unreachable or not self.is_connected():
            await self._time_out(timeout_s)
        if not self.worker.up or self.worker.address != self.address:
            self.worker = self._worker_at_address()
        if started_ms_of(self.incarnation) and self.incarnation != self.worker.incarnation:
            raise WorkerReplaced
        if self.worker.busy:
            raise WorkerBusy("answered 503")

    def _worker_at_address(self) -> PoolWorker:
        """Return the worker that now answers at the address.

        :raises WorkerNotReached: there is none.
        :raises WorkerReplaced: it has another worker id.
        """
        candidates = [
            each
            for each in self.worker_pool.workers.values()
            if each.up and each.address == self.address
        ]
        if not candidates:
            raise WorkerNotReached("connection refused")
        if candidates[0].worker_id != self.worker.worker_id:
            raise WorkerReplaced
        return candidates[0]

    async def _time_out(self, timeout_s: float) -> None:
        await asyncio.sleep(timeout_s)
        raise WorkerUnreachable("silence")

    def _carry_out_late(self, work: Callable[[PoolWorker], object]) -> None:
        """Carry an order out after ``late_s``, on the latest incarnation of the worker."""

        async def do() -> None:
            await asyncio.sleep(self.worker.late_s)
            latest = self.worker_pool.latest_incarnation(self.worker.worker_id)
            if latest.up:
                work(latest)

        task = asyncio.get_running_loop().create_task(do())
        self.late.add(task)
        task.add_done_callback(self.late.discard)
