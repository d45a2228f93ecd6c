"""What is decided about tasks under which workers crash, as it is told to operators."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from saddlestack.work import TaskName


class CrashFindingKind(enum.StrEnum):
    """What a task is taken for."""

    SUSPECT = "suspect"
    """It may crash its workers."""
    CLEARED = "cleared"
    """It is as sound as any other, as far as is known."""
    GIVEN_UP = "given_up"
    """It crashes its workers: its job has failed."""


@dataclass(frozen=True, slots=True)
class CrashFinding:
    """What is decided about a task.

    :param worker_id: the life that crashed; empty where none did.
    :param crashes: workers that crashed under it and count.
    :param odds: how much likelier it crashes its workers than not.
    :param beside: other runs that were lost with that worker.
    """

    kind: CrashFindingKind
    task: TaskName
    worker_id: str = ""
    crashes: int = 0
    odds: float = 0.0
    beside: int = 0
