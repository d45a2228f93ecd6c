"""The error kinds that callers can receive and what each one means to them.

The list is closed. For each kind, :data:`TABLE` defines the HTTP status, the exit code of the
command line, whether a retry may succeed, and whether the request may have run.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass


class ErrorKind(enum.StrEnum):
    """The kinds of errors."""

    MALFORMED = "malformed"
    INVALID = "invalid"
    TOO_LARGE = "too_large"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    UNKNOWN_JOB = "unknown_job"
    CONFLICT = "conflict"
    SHAPE_IMPOSSIBLE = "shape_impossible"
    GUARANTEE_UNPACKABLE = "guarantee_unpackable"
    RATE_LIMITED = "rate_limited"
    QUEUE_FULL = "queue_full"
    DEADLINE_EXCEEDED = "deadline_exceeded"
    STORE_UNAVAILABLE = "store_unavailable"
    CELL_UNAVAILABLE = "cell_unavailable"
    STOPPING = "stopping"
    STALE_TERM = "stale_term"
    STALE_REVISION = "stale_revision"
    NO_ROOM = "no_room"
    CANCELLED = "cancelled"
    ANSWER_DAMAGED = "answer_damaged"
    OUTCOME_UNKNOWN = "outcome_unknown"
    INTERNAL = "internal"


class Ran(enum.StrEnum):
    """Whether the work of a failed request may have run."""

    NO = "no"
    UNKNOWN = "unknown"


@dataclass(frozen=True, slots=True)
class ErrorRule:
    """What one error kind means to a caller.

    :param status: HTTP status of the response.
    :param exit_code: exit code of the command line.
    :param retryable: whether the same request may succeed later.
    :param ran: whether the work may have run.
    """

    status: int
    exit_code: int
    retryable: bool
    ran: Ran


EXIT_OK = 0
EXIT_FAILED = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_CONFLICT = 4
EXIT_UNAVAILABLE = 5
EXIT_UNKNOWN = 6

TABLE: dict[ErrorKind, ErrorRule] = {
    ErrorKind.MALFORMED: ErrorRule(400, EXIT_USAGE, False, Ran.NO),
    ErrorKind.INVALID: ErrorRule(422, EXIT_USAGE, False, Ran.NO),
    ErrorKind.TOO_LARGE: ErrorRule(413, EXIT_USAGE, False, Ran.NO),
    ErrorKind.UNAUTHENTICATED: ErrorRule(401, EXIT_REFUSED, False, Ran.NO),
    ErrorKind.FORBIDDEN: ErrorRule(403, EXIT_REFUSED, False, Ran.NO),
    ErrorKind.NOT_FOUND: ErrorRule(404, EXIT_REFUSED, False, Ran.NO),
    ErrorKind.UNKNOWN_JOB: ErrorRule(410, EXIT_REFUSED, False, Ran.NO),
    ErrorKind.CONFLICT: ErrorRule(409, EXIT_CONFLICT, False, Ran.NO),
    ErrorKind.SHAPE_IMPOSSIBLE: ErrorRule(422, EXIT_REFUSED, False, Ran.NO),
    ErrorKind.GUARANTEE_UNPACKABLE: ErrorRule(422, EXIT_REFUSED, False, Ran.NO),
    ErrorKind.RATE_LIMITED: ErrorRule(429, EXIT_UNAVAILABLE, True, Ran.NO),
    ErrorKind.QUEUE_FULL: ErrorRule(429, EXIT_UNAVAILABLE, True, Ran.NO),
    ErrorKind.DEADLINE_EXCEEDED: ErrorRule(504, EXIT_FAILED, False, Ran.NO),
    ErrorKind.STORE_UNAVAILABLE: ErrorRule(503, EXIT_UNAVAILABLE, True, Ran.NO),
    ErrorKind.CELL_UNAVAILABLE: ErrorRule(503, EXIT_UNAVAILABLE, True, Ran.NO),
    ErrorKind.STOPPING: ErrorRule(503, EXIT_UNAVAILABLE, True, Ran.NO),
    ErrorKind.STALE_TERM: ErrorRule(409, EXIT_CONFLICT, True, Ran.NO),
    ErrorKind.STALE_REVISION: ErrorRule(409, EXIT_CONFLICT, True, Ran.NO),
    ErrorKind.NO_ROOM: ErrorRule(409, EXIT_UNAVAILABLE, True, Ran.NO),
    ErrorKind.CANCELLED: ErrorRule(409, EXIT_FAILED, False, Ran.NO),
    ErrorKind.ANSWER_DAMAGED: ErrorRule(502, EXIT_UNKNOWN, True, Ran.UNKNOWN),
    ErrorKind.OUTCOME_UNKNOWN: ErrorRule(502, EXIT_UNKNOWN, False, Ran.UNKNOWN),
    ErrorKind.INTERNAL: ErrorRule(500, EXIT_FAILED, False, Ran.UNKNOWN),
}


class SaddlestackError(Exception):
    """The exception for all failures of the library.

    :param kind: the kind of the error.
    :param message: a sentence for humans.
    :param retry_after: seconds after which a retry makes sense, or ``None``.
    :param where: the file and line or the key path of the error.
    """

    def __init__(
        self,
        kind: ErrorKind,
        message: str,
        *,
        retry_after: float | None = None,
        where: str | None = None,
    ) -> None:
        super().__init__(message)
        self.kind = kind
        self.message = message
        self.retry_after = retry_after
        self.where = where

    @property
    def rule(self) -> ErrorRule:
        """The row of :data:`TABLE` for this error."""
        return TABLE[self.kind]

    def __str__(self) -> str:
        place = f"{self.where}: " if self.where else ""
        return f"{place}{self.message}"


def invalid(message: str, where: str | None = None) -> SaddlestackError:
    """An error for input that is well-formed but invalid.

    :rtype: SaddlestackError
    """
    return SaddlestackError(ErrorKind.INVALID, message, where=where)
