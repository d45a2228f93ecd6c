"""Keys under which saddlestack keeps durable data in the platform's store.

``job`` and ``cancel`` keys are written by the VM that accepts or cancels a job, ``progress`` and
``speeds`` keys only by the leader, so no key has two writers.
"""

from __future__ import annotations

from saddlestack.work import MAX_TASKS_OF_JOB

LEADER = "saddlestack/leader"
MEMBERS = "saddlestack/members/"
REQUESTS = "saddlestack/requests/"
PROGRESS = "saddlestack/progress/"
SPEEDS = "saddlestack/speeds/"
MAX_PARTITION_DIGITS = 6
"""Longest number of a partition; a million partitions is far beyond any cluster."""
_WAVES = "saddlestack/waves/"
_JOB = REQUESTS + "job/"
_CANCEL = REQUESTS + "cancel/"


def wave_key(wave: int) -> str:
    """Returns the key of the progress of an upkeep wave."""
    return f"{_WAVES}{wave}"


def member_key(vm: str) -> str:
    """Returns the key of an entry VM's record, which holds its address."""
    return MEMBERS + vm


def job_key(job_id: str) -> str:
    """Returns the key of an accepted job."""
    return _JOB + job_id


def cancel_key(job_id: str) -> str:
    """Returns the key of the marker that a job is cancelled."""
    return _CANCEL + job_id


def progress_key(occurrence: str) -> str:
    """Returns the key of the progress of an occurrence (``JOB.NUMBER``)."""
    return PROGRESS + occurrence


def speeds_key(partition: int) -> str:
    """Returns the key of the speeds of one partition of the machines."""
    return f"{SPEEDS}{partition}"


def speeds_partition_of(key: str) -> int | None:
    """Returns the partition of a ``speeds`` key, or ``None`` for any other key."""
    text = key.removeprefix(SPEEDS)
    if not text.isascii() or not text.isdigit() or len(text) > MAX_PARTITION_DIGITS:
        return None
    return int(text) if str(int(text)) == text else None


def job_of(key: str) -> str | None:
    """Returns the job of a ``job`` key, or ``None`` for any other key."""
    return key.removeprefix(_JOB) if key.startswith(_JOB) else None


def cancelled_job_of(key: str) -> str | None:
    """Returns the job of a ``cancel`` key, or ``None`` for any other key."""
    return key.removeprefix(_CANCEL) if key.startswith(_CANCEL) else None


def occurrence_of(key: str) -> tuple[str, int]:
    """Returns the job and the number of the occurrence of a ``progress`` key.

    :raises ValueError: the key is not that of an occurrence.
    """
    job_id, _, text = key.removeprefix(PROGRESS).rpartition(".")
    number = int(text)
    if not job_id or not 0 <= number < MAX_TASKS_OF_JOB or str(number) != text:
        raise ValueError(key)
    return job_id, number
