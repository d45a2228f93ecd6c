"""What the store keeps of a job's progress: one record for each occurrence.

A record is written before anything follows from it: an assignment before the worker hears
of it, an end before it is acknowledged or shown.
"""

from __future__ import annotations

import enum

import msgspec


class TaskStatus(enum.IntEnum):
    """Where a task stands. Only ``ASSIGNED`` may be running somewhere."""

    WAITING = 0
    ASSIGNED = 1
    DONE = 2


class OccurrenceStatus(enum.IntEnum):
    """Where one occurrence of a job stands. The last two are final."""

    OPEN = 0
    DONE = 1
    FAILED = 2


class TaskRecord(msgspec.Struct, array_like=True):
    """Progress of one task.

    :param run: number of its latest run; 0 where it never ran.
    :param worker: life of the worker that the run was given to.
    :param failures: runs that ended as failed.
    :param saved: checkpoint to resume from, or empty.
    """

    status: TaskStatus = TaskStatus.WAITING
    run: int = 0
    worker: str = ""
    failures: int = 0
    saved: str = ""


class StepRecord(msgspec.Struct, array_like=True):
    """Progress of one step.

    :param gang_failures: runs of the gang in which a member failed.
    :param failed_run: the latest such run.
    """

    tasks: list[TaskRecord]
    gang_failures: int = 0
    failed_run: int = 0


class OccurrenceRecord(msgspec.Struct, array_like=True):
    """Progress of one occurrence; final ones keep no steps.

    :param addresses: where the lives of workers are reached that were given its runs, by id. Their
        own records may lapse, and a new leader is to ask there what became of the runs. Once a
        life rather than once a task: many tasks of a wide step run on one worker.
    """

    status: OccurrenceStatus
    steps: list[StepRecord] = []
    addresses: dict[str, str] = {}
