"""Which callers may see a job, and change it."""

from __future__ import annotations

import enum
from collections.abc import Callable

from saddlestack.interfaces.clients import Caller
from saddlestack.work import AcceptedJob

HasQueue = Callable[[str], bool]
"""Returns whether the configuration has a queue of a name."""


class JobAccess(enum.Enum):
    """What a caller may do with a job."""

    ALLOWED = enum.auto()
    """See it and change it."""
    HIDDEN = enum.auto()
    """Nothing: to this caller no such job exists."""
    FORBIDDEN = enum.auto()
    """Nothing, since it belongs to another client account than the caller's."""


def job_access(caller: Caller, job: AcceptedJob, has_queue: HasQueue) -> JobAccess:
    """Decide whether a caller may see a job and change it.

    A job belongs to the client account and to the queue that it was submitted on. All callers of an
    open queue share the jobs of that queue, except that the key of one account gives no access to
    the jobs of another one. If the queue no longer exists, the job may be reached through any other
    by its account, or without a key if it was submitted without one.
    """
    if caller.account and job.account and caller.account != job.account:
        return JobAccess.FORBIDDEN
    if caller.queue == job.queue:
        return JobAccess.ALLOWED
    is_owner = caller.account == job.account
    if is_owner and (caller.queue is None or not has_queue(job.queue)):
        return JobAccess.ALLOWED
    return JobAccess.HIDDEN
