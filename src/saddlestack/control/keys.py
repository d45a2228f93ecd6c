"""Where saddlestack keeps what must last, in the platform's store.

``job`` and ``cancel`` keys are written by whoever accepts or cancels, ``progress`` keys by
the leader alone; no two writers share a key.
"""

from __future__ import annotations

from saddlestack.work import MAX_TASKS_OF_JOB

LEADER = "saddlestack/leader"
MEMBERS = "saddlestack/members/"
REQUESTS = "saddlestack/requests/"
PROGRESS = "saddlestack/progress/"
_WAVES = "saddlestack/waves/"
_JOB = REQUESTS + "job/"
_CANCEL = REQUESTS + "cancel/"


def wave_key(wave: int) -> str:
    """Where it is kept how far a wave of upkeep is."""
    return f"{_WAVES}{wave}"


def member_key(vm: str) -> str:
    """Where an entry VM tells how it is reached."""
    return MEMBERS + vm


def job_key(job_id: str) -> str:
    """Where an accepted job is kept."""
    return _JOB + job_id


def cancel_key(job_id: str) -> str:
    """Where the mark is kept that a job is cancelled."""
    return _CANCEL + job_id


def progress_key(occurrence: str) -> str:
    """Where the progress of an occurrence (``JOB.NUMBER``) is kept."""
    return PROGRESS + occurrence


def job_of(key: str) -> str | None:
    """The job that a ``job`` key is of."""
    return key.removeprefix(_JOB) if key.startswith(_JOB) else None


def cancelled_job_of(key: str) -> str | None:
    """The job that a ``cancel`` key is of."""
    return key.removeprefix(_CANCEL) if key.startswith(_CANCEL) else None


def occurrence_of(key: str) -> tuple[str, int]:
    """The job and the number of the occurrence that a ``progress`` key is of.

    :raises ValueError: it is of none.
    """
    job_id, _, text = key.removeprefix(PROGRESS).rpartition(".")
    number = int(text)
    if not job_id or not 0 <= number < MAX_TASKS_OF_JOB or str(number) != text:
        raise ValueError(key)
    return job_id, number
