"""Stand-ins for the platform's machines interface and its adviser."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from saddlestack.interfaces.machines import (
    AdviserUnavailable,
    Leave,
    MachinesUnavailable,
    UpkeepOutcome,
)
from saddlestack.standins.pool.workers import PoolWorker, WorkerPool

ANSWER_S = 0.01
UPKEEP_S = 2.0
VALID_S = 3.0


@dataclass(slots=True)
class PoolMachines:
    """Takes machines down for upkeep and brings them back.

    :param orders: time, machine, holder and fencing token of each order.
    :param done: machine and wave of each upkeep that was begun.
    :param down: number of machines that are down.
    :param most_down: highest number of machines that were down at the same time.
    :param lose_answers: number of orders that are carried out and not answered.
    :param failing: whether every order fails.
    """

    worker_pool: WorkerPool
    orders: list[tuple[float, str, str, int]] = field(default_factory=list)
    done: set[tuple[str, int]] = field(default_factory=set)
    down: int = 0
    most_down: int = 0
    lose_answers: int = 0
    failing: bool = False
    _returning: set[asyncio.Task[None]] = field(default_factory=set)

    async def upkeep(self, machine: str, wave: int, holder: str, fence: int) -> UpkeepOutcome:
        """Take a machine down for its upkeep; it is back after ``UPKEEP_S``."""
        await asyncio.sleep(ANSWER_S)
        if self.failing:
            raise MachinesUnavailable("the machines interface is down")
        self.orders.append((_now(), machine, holder, fence))
        if (machine, wave) in self.done:
            return UpkeepOutcome.BEGUN
        worker = self._worker(machine)
        if worker is None:
            return UpkeepOutcome.UNKNOWN_MACHINE
        self.done.add((machine, wave))
        self.worker_pool.crash(worker, recorded=False)
        self.down += 1
        self.most_down = max(self.most_down, self.down)
        task = asyncio.get_running_loop().create_task(self._return(worker))
        self._returning.add(task)
        task.add_done_callback(self._returning.discard)
        if self.lose_answers:
            self.lose_answers -= 1
            raise MachinesUnavailable("answer lost")
        return UpkeepOutcome.BEGUN

    def _worker(self, machine: str) -> PoolWorker | None:
        workers = self.worker_pool.workers.values()
        return next((w for w in workers if w.machine == machine and w.up), None)

    async def _return(self, worker: PoolWorker) -> None:
        await asyncio.sleep(UPKEEP_S)
        self.down -= 1
        self.worker_pool.add(worker.rack, worker.data_hall, worker.accelerators, worker.machine)


@dataclass(slots=True)
class PoolAdviser:
    """Approves workers with even numbers, and records its tickets.

    :param tickets: step, worker and end of validity, by ticket.
    :param failing: number of calls that fail.
    """

    tickets: dict[str, tuple[str, str, float]] = field(default_factory=dict)
    calls: int = 0
    failing: int = 0

    async def advise(self, step: str, workers: tuple[str, ...]) -> tuple[Leave, ...]:
        """Return approvals for those of the workers that may run a step."""
        self.calls += 1
        await asyncio.sleep(ANSWER_S * len(workers))
        if self.failing:
            self.failing -= 1
            raise AdviserUnavailable("429")
        approvals = []
        for worker in workers:
            if int(worker.rpartition("-")[2]) % 2 == 0:
                ticket = f"t-{len(self.tickets)}"
                self.tickets[ticket] = (step, worker, _now() + VALID_S)
                approvals.append(Leave(worker, ticket, VALID_S))
        return tuple(approvals)


def _now() -> float:
    return asyncio.get_running_loop().time()
