"""Recovery after a scheduler has taken over a cell.

Determines from the task listings of the cell's endpoints whether each gang that was started before
still runs.
"""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from saddlestack.models import Part
from saddlestack.platform.endpoint import SyncReply, TaskState, TaskStatus


class GangCondition(enum.StrEnum):
    """What endpoints' listings show about a gang after the takeover of its cell.

    ``RUNNING``: all parts of the latest attempt are running or done. ``CHECKPOINTED``: all of them
    have stopped at a checkpoint. ``NEVER_SENT``: no VM is known to hold a part. ``BROKEN``: any
    other case, such as a missing part.
    """

    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    BROKEN = "broken"
    NEVER_SENT = "never_sent"


@dataclass(frozen=True, slots=True)
class RecoveryResult:
    """A gang's condition and VMs; its parts and finished parts if it is running."""

    condition: GangCondition
    attempt: int
    vms: tuple[str, ...]
    parts: tuple[Part, ...] = ()
    done: tuple[tuple[str, TaskStatus], ...] = ()


@dataclass(slots=True)
class _PendingJob:
    expected: tuple[str, ...]
    until: float


@dataclass(slots=True)
class _Listing:
    tasks: dict[str, TaskStatus] = field(default_factory=dict)


class RecoveryTracker:
    """Collects endpoints' full listings until every pending job can be resolved.

    :param vms: all endpoints of the cell.
    """

    def __init__(self, vms: Iterable[str]) -> None:
        self._vms = tuple(vms)
        self._pending: dict[str, _PendingJob] = {}
        self._listings: dict[str, _Listing] = {}

    def add(self, job_id: str, vms: tuple[str, ...], until: float) -> None:
        """Add a job to resolve.

        :param vms: VMs that may hold parts of it; empty if none are known.
        :param until: when the job is resolved without the missing listings.
        """
        self._pending[job_id] = _PendingJob(vms, until)

    def record_listing(self, vm: str, reply: SyncReply) -> None:
        """Record the full listing of an endpoint."""
        self._listings[vm] = _Listing({status.job: status for status in reply.tasks})
        for status in reply.tasks:
            known = self._pending.get(status.job)
            if known is not None and status.parts:
                extra = tuple(vm for vm in status.parts if vm not in known.expected)
                known.expected += extra

    def discard_listing(self, vm: str) -> None:
        """Discard the listing of an endpoint that stopped answering."""
        self._listings.pop(vm, None)

    def is_pending(self, job_id: str) -> bool:
        """Whether a job is still to be resolved."""
        return job_id in self._pending

    def may_hold_parts(self, vm: str) -> bool:
        """Whether a part of a pending job may occupy a VM."""
        return any(vm in job.expected for job in self._pending.values())

    def ready_jobs(self) -> list[str]:
        """Pending jobs whose VMs have all sent listings.

        A job without known VMs needs listings from all VMs of the cell.
        """
        return [
            job_id
            for job_id, job in self._pending.items()
            if all(vm in self._listings for vm in job.expected or self._vms)
        ]

    def overdue(self, now: float) -> list[str]:
        """Pending jobs that have reached their time limit."""
        return [job_id for job_id, job in self._pending.items() if job.until <= now]

    def resolve(self, job_id: str, attempt: int) -> RecoveryResult:
        """Determine a job's condition and remove it from the pending jobs.

        :param attempt: the attempt in the job's record.
        """
        expected = self._pending.pop(job_id).expected
        found = {
            vm: listing.tasks[job_id]
            for vm in expected
            if (listing := self._listings.get(vm)) is not None and job_id in listing.tasks
        }
        attempt = max([attempt, *(status.attempt for status in found.values())])
        current = {vm: status for vm, status in found.items() if status.attempt == attempt}
        listed = next((status.parts for status in current.values() if status.parts), expected)
        states = {status.state for status in current.values()}
        is_complete = bool(listed) and all(vm in current for vm in listed)
        if is_complete and states <= {TaskState.RUNNING, TaskState.DONE}:
            parts = tuple(Part(vm, current[vm].accelerators) for vm in listed)
            done = tuple((vm, s) for vm, s in current.items() if s.state is TaskState.DONE)
            return RecoveryResult(GangCondition.RUNNING, attempt, listed, parts, done)
        if is_complete and states == {TaskState.CHECKPOINTED}:
            return RecoveryResult(GangCondition.CHECKPOINTED, attempt, listed)
        if not expected:
            return RecoveryResult(GangCondition.NEVER_SENT, attempt, ())
        return RecoveryResult(
            GangCondition.BROKEN, attempt, tuple(dict.fromkeys((*listed, *expected)))
        )
