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
    """Takes machines down and brings them back; records who ordered what.

    :param most_down: machines that were down at once.
    :param lose_answers: so many orders are carried out and not answered.
    """

    worker_pool: WorkerPool
    orders: list[tuple[float, str, str, int]] = field(default_factory=list)
    done: set[tuple[str, int]] = field(default_factory=set)
    down: int = 0
    most_down: int = 0
    lose_answers: int = 0
    failing: bool = False
    _back: set[asyncio.Task[None]] = field(default_factory=set)

    async def upkeep(self, machine: str, wave: int, holder: str, fence: int) -> UpkeepOutcome:
        """Take a machine down for its upkeep."""
        await asyncio.sleep(ANSWER_S)
        if self.failing:
            raise MachinesUnavailable("down")
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
        self._back.add(task)
        task.add_done_callback(self._back.discard)
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
    """Lets steps run on workers whose number is even, and records its tickets."""

    tickets: dict[str, tuple[str, str, float]] = field(default_factory=dict)
    calls: int = 0
    failing: int = 0

    async def advise(self, step: str, workers: tuple[str, ...]) -> tuple[Leave, ...]:
        """The workers among these that may run a step."""
        self.calls += 1
        await asyncio.sleep(ANSWER_S * len(workers))
        if self.failing:
            self.failing -= 1
            raise AdviserUnavailable("429")
        leaves = []
        for worker in workers:
            if int(worker.rpartition("-")[2]) % 2 == 0:
                ticket = f"t-{len(self.tickets)}"
                self.tickets[ticket] = (step, worker, _now() + VALID_S)
                leaves.append(Leave(worker, ticket, VALID_S))
        return tuple(leaves)


def _now() -> float:
    return asyncio.get_running_loop().time()
