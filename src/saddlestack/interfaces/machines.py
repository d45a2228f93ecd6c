"""The platform's whole machines, and its adviser."""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Wave:
    """The operator's order that machines have their upkeep.

    :param deadline_s: seconds from the order until all should have had it.
    :param most: machines that may be down for it at once.
    """

    wave: int
    machines: tuple[str, ...]
    deadline_s: float
    most: int


class UpkeepOutcome(enum.StrEnum):
    """What became of an order of upkeep."""

    BEGUN = "begun"
    BUSY = "busy"
    FENCED = "fenced"
    NOT_IN_WAVE = "not_in_wave"
    UNKNOWN_MACHINE = "unknown_machine"


class MachinesUnavailable(Exception):
    """The platform's machines interface did not answer; an order may have been done."""


class Machines(Protocol):
    """Orders to the platform about whole machines."""

    async def upkeep(self, machine: str, wave: int, holder: str, fence: int) -> UpkeepOutcome:
        """Take a machine down for its upkeep; all that runs there dies at once.

        :raises MachinesUnavailable: no answer.
        """
        ...


@dataclass(frozen=True, slots=True)
class Leave:
    """The adviser's leave for a step to run at one life of a worker.

    :param valid_s: for so long.
    """

    worker_id: str
    ticket: str
    valid_s: float


class AdviserUnavailable(Exception):
    """The adviser did not answer, or has too many calls waiting."""


class Adviser(Protocol):
    """Knows which workers may run a step of an advised queue."""

    async def advise(self, step: str, workers: tuple[str, ...]) -> tuple[Leave, ...]:
        """The workers among these that may run a step.

        :raises AdviserUnavailable: no answer.
        """
        ...
