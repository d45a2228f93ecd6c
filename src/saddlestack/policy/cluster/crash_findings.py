"""Findings about tasks under which workers crash, for operators."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from saddlestack.work import TaskName


class CrashFindingKind(enum.StrEnum):
    """The classification of a task, or a change of the evidence about it."""

    COUNTED = "counted"
    """A crash counts toward the task, which is no suspect yet."""
    SUSPECT = "suspect"
    """The task may crash its workers."""
    CONFIRMED = "confirmed"
    """Another incarnation answers on the machine of a worker that counted as crashed for lack of
    answers."""
    REVERTED = "reverted"
    """The worker of a counted crash answers, so the crash no longer counts."""
    CLEARED = "cleared"
    """The task is no longer a suspect."""
    GIVEN_UP = "given_up"
    """The task crashes its workers, so its job has failed."""


@dataclass(frozen=True, slots=True)
class CrashFinding:
    """A finding about one task.

    :param worker_id: the incarnation that crashed; empty if the finding follows from no crash.
    :param unheard: whether only missing answers show that the worker crashed.
    :param crashes: number of counted crashes of workers under the task.
    :param odds: odds that the task crashes its workers.
    :param beside: number of other runs that were lost with the worker.
    """

    kind: CrashFindingKind
    task: TaskName
    worker_id: str = ""
    crashes: int = 0
    odds: float = 0.0
    beside: int = 0
    unheard: bool = False
