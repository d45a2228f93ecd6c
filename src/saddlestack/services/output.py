"""Checks that a task's output is complete and belongs to its attempt."""

from __future__ import annotations

from saddlestack.models import Answer
from saddlestack.platform.endpoint import TaskStatus, output_digest


def verified_answer(status: TaskStatus) -> Answer | None:
    """The answer of a finished leader part; ``None`` if its length or digest does not match.

    :rtype: Answer | None
    """
    length = len(status.output.encode())
    if length != status.length:
        return None
    if output_digest(status.job, status.attempt, status.output) != status.digest:
        return None
    return Answer(attempt=status.attempt, length=length, digest=status.digest, output=status.output)
