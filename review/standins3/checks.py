"""What scripts look at: the runs of a job, and the room that is free for it."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from .deployment import CannotRun
from .workers import GPUS, Machine, Run

CALM_S = 4.0
"""Rule LOST counts 3 s in which nothing runs after 4 calm seconds."""
STANDS_S = 3.0


def runs(machine: Machine, job: str) -> list[Run]:
    """The runs of a job on a machine."""
    life = machine.life
    return [run for run in (life.runs.values() if life else ()) if run.task.startswith(job)]


def running(machines: Iterable[Machine], job: str) -> int:
    """Number of a job's tasks at work."""
    return sum(len(runs(machine, job)) for machine in machines)


def used(machine: Machine) -> int:
    """Accelerators of a machine that are in use; all of them while it is down."""
    life = machine.life
    return sum(run.gpus for run in life.runs.values()) if life else GPUS


def copies(machines: Iterable[Machine], label: str, gpus: int) -> int:
    """How many tasks of a size fit on the workers with a label."""
    return sum((GPUS - used(each)) // gpus for each in machines if label in {"", each.rack})


def is_half_free(machines: Iterable[Machine]) -> bool:
    """Whether under half of the accelerators is in use."""
    amounts = [used(machine) for machine in machines]
    return 2 * sum(amounts) < GPUS * len(amounts)


def free(machines: Iterable[Machine]) -> int:
    """Accelerators that are free."""
    return sum(GPUS - used(machine) for machine in machines)


async def wait_for(condition: Callable[[], bool], limit_s: float, failure: str) -> None:
    """Wait for a condition.

    :raises CannotRun: it does not come about in time.
    """
    for _ in range(round(limit_s / 0.05)):
        if condition():
            return
        await asyncio.sleep(0.05)
    raise CannotRun(failure)


class Standstill:
    """The longest time for which a condition holds, after the calm that the rule asks for.

    :param calm_from_s: when the last disruption ended.
    """

    def __init__(self, calm_from_s: float) -> None:
        self._counts_from_s = calm_from_s + CALM_S
        self._since_s: float | None = None
        self.longest_s = 0.0

    def note(self, now: float, *, stands: bool) -> None:
        """Note whether work stands still now."""
        if not stands or now < self._counts_from_s:
            self._since_s = None
            return
        if self._since_s is None:
            self._since_s = now
        self.longest_s = max(self.longest_s, now - self._since_s)

    @property
    def is_broken(self) -> bool:
        """Whether work stood still for longer than the rule allows."""
        return self.longest_s > STANDS_S
