"""Reads what saddlestack keeps of jobs: as they were accepted, and how far each occurrence is.

Another writer may have got at a record. What does not hold together is refused whole: a job that is
run on half of its progress would run again what is done.
"""

from __future__ import annotations

import math
from collections.abc import Mapping

from saddlestack.codec import from_msgpack
from saddlestack.control.settings import parse_address
from saddlestack.errors import ErrorKind, SaddlestackError
from saddlestack.policy.cluster.records import (
    CrashRecord,
    OccurrenceRecord,
    OccurrenceStatus,
    StepRecord,
    TaskRecord,
    TaskStatus,
)
from saddlestack.work import AcceptedJob, Step, faults_of


def decode_job(job_id: str, value: bytes) -> AcceptedJob:
    """The job that is kept under an id.

    :raises SaddlestackError: there is none.
    """
    try:
        accepted = from_msgpack(value, AcceptedJob)
    except SaddlestackError as error:
        raise _unreadable(job_id, str(error)) from error
    if accepted.job_id != job_id:
        raise _unreadable(job_id, "it is another job's")
    faults = faults_of(accepted.request)
    if faults:
        raise _unreadable(job_id, faults[0])
    return accepted


def decode_occurrence(name: str, value: bytes) -> OccurrenceRecord:
    """The progress of an occurrence; addresses that spell none are left out.

    :param name: of the occurrence, for errors.
    :raises SaddlestackError: there is none.
    """
    try:
        record = from_msgpack(value, OccurrenceRecord)
    except SaddlestackError as error:
        raise _unreadable(name, str(error)) from error
    record.addresses = {
        worker_id: address
        for worker_id, address in record.addresses.items()
        if _is_address(address)
    }
    return record


def check_progress(accepted: AcceptedJob, records: Mapping[int, OccurrenceRecord]) -> None:
    """Check that progress, by number of the occurrence, is that of a job.

    :raises SaddlestackError: it is not.
    """
    steps = accepted.request.steps
    for number, record in records.items():
        name = f"{accepted.job_id}.{number}"
        if number >= accepted.request.occurrences:
            raise _unreadable(name, "the job has no such occurrence")
        if record.status is not OccurrenceStatus.OPEN and not record.steps:
            continue
        if len(record.steps) != len(steps):
            raise _unreadable(name, f"expected {len(steps)} steps, got {len(record.steps)}")
        if not all(_is_of(step, kept) for step, kept in zip(steps, record.steps, strict=True)):
            raise _unreadable(name, "its tasks are not those of the job")


def _is_of(step: Step, record: StepRecord) -> bool:
    if len(record.tasks) != step.count or not all(_is_sound(task) for task in record.tasks):
        return False
    return all(
        0 <= index < step.count and _is_sound_crash(crash)
        for index, crash in record.crashes.items()
    )


def _is_sound_crash(crash: CrashRecord) -> bool:
    finite = math.isfinite(crash.log_odds) and math.isfinite(crash.span_s)
    return finite and crash.crashes > 0 and crash.span_s > 0 and crash.later_starts >= 0


def _is_sound(task: TaskRecord) -> bool:
    placed = task.status is not TaskStatus.ASSIGNED or (task.run > 0 and bool(task.worker))
    return placed and task.run >= 0 and task.failures >= 0


def _is_address(text: str) -> bool:
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def _unreadable(name: str, reason: str) -> SaddlestackError:
    message = f"what is kept of it cannot be read: {reason}"
    return SaddlestackError(ErrorKind.INTERNAL, message, where=name)
