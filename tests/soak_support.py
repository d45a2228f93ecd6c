"""Runs workers of a soak and their gang hub on a virtual clock, in one process."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from saddlestack.interfaces.workers import EndKind, StartOrder, StartReply, WorkerReport
from saddlestack.soak.gangs import GangHub
from saddlestack.soak.messages import (
    GangEnded,
    GangMessage,
    GangMoved,
    MachineSettings,
    Record,
    RunEnded,
)
from saddlestack.soak.shape import ShapeTimes
from saddlestack.soak.worker_incarnation import Arrival, WorkerIncarnation
from saddlestack.standins.loop import run
from saddlestack.standins.pool.workers import TaskPlan, payload

T = TypeVar("T")

TIMES = ShapeTimes(
    lease_s=6.0,
    stop_s=0.9,
    drain_s=3.0,
    notice_s=2.0,
    linger_s=7.0,
    gang_wait_s=4.0,
    heartbeat_s=1.5,
    checkpoint_s=0.5,
    restore_s=0.6,
    grace_s=6.0,
    status_s=120.0,
    history_s=20.0,
)
ACCELERATORS = 8
JOB = "00000000000000aa"


def machine(number: int) -> MachineSettings:
    """Return the settings of a machine; each rack has three machines."""
    rack = f"r1-{number // 3 + 1}"
    return MachineSettings(f"m{number}", "127.0.0.1", "hall-1", rack, ACCELERATORS, 32_000, 131_072)


def task(index: int = 0, step: int = 0) -> str:
    """Return the name of a task."""
    return f"{JOB}.0.{step}.{index}"


@dataclass
class Workers:
    """Workers that each have a host of their own."""

    count: int = 1
    seed: int = 1
    records: list[Record] = field(default_factory=list)
    incarnations: list[WorkerIncarnation] = field(default_factory=list)
    hub: GangHub = field(init=False)

    def __post_init__(self) -> None:
        self.hub = GangHub(self._send)
        for number in range(self.count):
            self.add(number)

    def add(self, host: int) -> WorkerIncarnation:
        """Add a new incarnation of the worker of a host."""
        incarnation = WorkerIncarnation(
            f"i-{len(self.incarnations)}",
            machine(host),
            TIMES,
            random.Random(self.seed + host),
            self._notifier(host),
        )
        self.incarnations.append(incarnation)
        return incarnation

    def start(
        self,
        plan: TaskPlan,
        *,
        worker: int = 0,
        index: int = 0,
        step: int = 0,
        number: int = 1,
        fence: int = 1,
        hold_s: float = 6.0,
        saved: str = "",
        late: bool = False,
    ) -> StartReply:
        """Start a run."""
        incarnation = self.incarnations[worker]
        deadline_ms = incarnation.clock_ms() + round(hold_s * 1000)
        order = StartOrder(task(index, step), number, payload(plan), saved, deadline_ms, fence)
        return incarnation.start(order, Arrival(now(), late))

    def stop(self, *, worker: int = 0, index: int = 0, number: int = 1, fence: int = 1) -> None:
        """Stop a run."""
        self.incarnations[worker].stop(task(index), number, fence, Arrival(now()))

    async def poll(
        self, *, worker: int = 0, seen: int = 0, wait_s: float = 0.0, fence: int = 1
    ) -> WorkerReport:
        """Poll a worker without renewing its lease."""
        return await self.incarnations[worker].hold(fence, None, seen, wait_s)

    async def renew_for(self, seconds: float) -> None:
        """Renew all leases for some time."""
        deadline_s = now() + seconds
        while now() < deadline_s:
            for incarnation in self.incarnations:
                if not incarnation.has_ended:
                    await incarnation.hold(1, incarnation.clock_ms() + 6000, 0, 0.0)
            await asyncio.sleep(min(1.0, max(0.001, deadline_s - now())))

    def ends(self) -> list[tuple[str, int, EndKind]]:
        """Return all ends so far: worker, run and kind of the end."""
        return [
            (record.worker, record.run, EndKind(record.how))
            for record in self.records
            if isinstance(record, RunEnded)
        ]

    def end_kinds(self) -> list[EndKind]:
        """Return the kinds of all ends so far."""
        return [how for _, _, how in self.ends()]

    def _send(self, host: int, message: GangMoved | GangEnded) -> None:
        for incarnation in self.incarnations:
            if incarnation.machine.name != f"m{host}":
                continue
            if isinstance(message, GangMoved):
                incarnation.gang_moved(message)
            else:
                incarnation.gang_ended(message)

    def _notifier(self, host: int) -> Callable[[Record | GangMessage], None]:
        def notify(message: Record | GangMessage) -> None:
            if isinstance(message, GangMessage):
                self.hub.receive(host, message)
            else:
                self.records.append(message)

        return notify


def now() -> float:
    """Return the time of the event loop."""
    return asyncio.get_running_loop().time()


def virtually(body: Callable[[], Coroutine[Any, Any, T]]) -> T:
    """Run the body of a test on a virtual clock."""
    return run(body())
