"""One VM's way to one life of a stand-in's worker, with the faults of the way."""

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
    """One VM's way to one life of a worker.

    :param passes: whether anything passes between the VM and the worker.
    :param address: where the VM calls it; a life answers at its own address alone.
    :param life: the name of the life that the VM means. Where it tells a birth no other life is
        given its orders; otherwise any life of the worker's id takes them.
    """

    worker_pool: WorkerPool
    worker: PoolWorker
    passes: Callable[[], bool]
    address: str
    life: str = ""
    late: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, order: StartOrder, timeout_s: float) -> StartReply:
        """Start a run."""
        await self._reach(timeout_s)
        if self.worker.late_orders:
            self.worker.late_orders -= 1
            self._later(lambda worker: self.worker_pool.start(worker, order))
            await self._silence(timeout_s)
        reply = self.worker_pool.start(self.worker, order)
        await asyncio.sleep(TRIP_S)
        return reply

    async def stop(self, task: str, run: int, fence: int, timeout_s: float) -> None:
        """Stop a run."""
        await self._reach(timeout_s)
        if self.worker.lost_stops:
            self.worker.lost_stops -= 1
            self._later(lambda worker: self.worker_pool.stop(worker, task, run, fence))
            await self._silence(timeout_s)
        self.worker_pool.stop(self.worker, task, run, fence)
        await asyncio.sleep(TRIP_S)

    async def pace(self, task: str, run: int, percent: int, fence: int, timeout_s: float) -> None:
        """Let a run work at a share of its speed."""
        await self._reach(timeout_s)
        self.worker_pool.pace(self.worker, task, run, percent, fence)

    async def hold(
        self, fence: int, deadline_ms: int | None, seen: int, wait_s: float, timeout_s: float
    ) -> WorkerReport:
        """Renew the lease, acknowledge ends, and look."""
        await self._reach(timeout_s)
        report = await self.worker_pool.hold(self.worker, fence, deadline_ms, seen, wait_s)
        check_start_time(started_ms_of(self.life), report.born)
        return report

    def close(self) -> None:
        """Nothing is kept open."""

    async def _reach(self, timeout_s: float) -> None:
        await asyncio.sleep(TRIP_S)
        if self.worker.unreachable or not self.passes():
            await self._silence(timeout_s)
        if not self.worker.up or self.worker.address != self.address:
            self.worker = self._other_life()
        if started_ms_of(self.life) and self.life != self.worker.life:
            raise WorkerReplaced
        if self.worker.busy:
            raise WorkerBusy("answered 503")

    def _other_life(self) -> PoolWorker:
        """The life that takes the orders in place of the one that was there."""
        there = [
            each
            for each in self.worker_pool.workers.values()
            if each.up and each.address == self.address
        ]
        if not there:
            raise WorkerNotReached("refused")
        if there[0].worker_id != self.worker.worker_id:
            raise WorkerReplaced
        return there[0]

    async def _silence(self, timeout_s: float) -> None:
        await asyncio.sleep(timeout_s)
        raise WorkerUnreachable("silence")

    def _later(self, work: Callable[[PoolWorker], object]) -> None:
        """Carry an order out late, by whichever life then goes by the worker's id."""

        async def do() -> None:
            await asyncio.sleep(self.worker.late_s)
            present = self.worker_pool.latest_incarnation(self.worker.worker_id)
            if present.up:
                work(present)

        task = asyncio.get_running_loop().create_task(do())
        self.late.add(task)
        task.add_done_callback(self.late.discard)
