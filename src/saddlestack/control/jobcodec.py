"""Decodes and validates stored job records: the accepted job, and the progress of each occurrence.

Another writer may have changed a record. An inconsistent record is rejected as a whole: a job that
continued from part of its progress would repeat work that is done.
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
    """Decode the record of an accepted job.

    :raises SaddlestackError: it cannot be decoded, is invalid, or belongs to another job id.
    """
    try:
        accepted = from_msgpack(value, AcceptedJob)
    except SaddlestackError as error:
        raise _unreadable(job_id, str(error)) from error
    if accepted.job_id != job_id:
        raise _unreadable(job_id, "it belongs to another job")
    problems = faults_of(accepted.request)
    if problems:
        raise _unreadable(job_id, problems[0])
    return accepted


def decode_occurrence(name: str, value: bytes) -> OccurrenceRecord:
    """Decode the progress of an occurrence; malformed worker addresses are dropped.

    :param name: of the occurrence, for errors.
    :raises SaddlestackError: it cannot be decoded.
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
    """Check that progress records fit a job.

    :param records: by number of the occurrence.
    :raises SaddlestackError: one does not fit the job's occurrences, steps or tasks.
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
        if not all(
            _matches_step(step, step_record)
            for step, step_record in zip(steps, record.steps, strict=True)
        ):
            raise _unreadable(name, "its tasks do not match those of the job")


def _matches_step(step: Step, record: StepRecord) -> bool:
    if len(record.tasks) != step.count or not all(_is_valid_task(task) for task in record.tasks):
        return False
    return all(
        0 <= index < step.count and _is_valid_crash(crash)
        for index, crash in record.crashes.items()
    )


def _is_valid_crash(crash: CrashRecord) -> bool:
    if not math.isfinite(crash.log_odds) or not math.isfinite(crash.span_s):
        return False
    if not all(math.isfinite(each.log_odds) for each in crash.unconfirmed):
        return False
    return crash.crashes > 0 and crash.span_s > 0 and crash.later_starts >= 0


def _is_valid_task(task: TaskRecord) -> bool:
    placed = task.status is not TaskStatus.ASSIGNED or (task.run > 0 and bool(task.worker))
    return placed and task.run >= 0 and task.failures >= 0


def _is_address(text: str) -> bool:
    try:
        parse_address(text)
    except ValueError:
        return False
    return True


def _unreadable(name: str, reason: str) -> SaddlestackError:
    message = f"the stored record cannot be read: {reason}"
    return SaddlestackError(ErrorKind.INTERNAL, message, where=name)
