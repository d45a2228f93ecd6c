"""Interfaces to the platform's machines, and to its adviser."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Wave:
    """The operator's order for upkeep of some machines.

    :param deadline_s: seconds from the order until all of them should have had their upkeep.
    :param max_down: number of machines that may be down for upkeep at the same time.
    """

    wave: int
    machines: tuple[str, ...]
    deadline_s: float
    max_down: int


class UpkeepOutcome(enum.StrEnum):
    """Outcome of an upkeep order."""

    BEGUN = "begun"
    BUSY = "busy"
    FENCED = "fenced"
    NOT_IN_WAVE = "not_in_wave"
    UNKNOWN_MACHINE = "unknown_machine"


class MachinesUnavailable(Exception):
    """The platform's machines interface did not answer; an order may have been carried out."""


class Machines(Protocol):
    """Orders to the platform about machines as a whole."""

    async def upkeep(self, machine: str, wave: int, holder: str, fence: int) -> UpkeepOutcome:
        """Takes a machine down for its upkeep, which kills everything that runs there at once.

        :raises MachinesUnavailable: no answer.
        """
        ...


@dataclass(frozen=True, slots=True)
class Leave:
    """The adviser's approval for a step to run on one incarnation of a worker.

    :param valid_s: seconds for which it is valid.
    """

    worker_id: str
    ticket: str
    valid_s: float


class AdviserUnavailable(Exception):
    """The adviser did not answer, or has too many calls pending."""


class Adviser(Protocol):
    """Decides which workers may run a step of an advised queue."""

    async def advise(self, step: str, workers: tuple[str, ...]) -> tuple[Leave, ...]:
        """Returns approvals for those of the given workers that may run a step.

        :raises AdviserUnavailable: no answer.
        """
        ...
