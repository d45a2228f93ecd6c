"""What endpoints say of gangs that were in hand before a take-over, and what follows."""

from __future__ import annotations

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from saddlestack.models import Part
from saddlestack.platform.endpoint import SyncReply, TaskState, TaskStatus


class GangCondition(enum.StrEnum):
    """What became of a gang."""

    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    BROKEN = "broken"
    NEVER_SENT = "never_sent"


@dataclass(frozen=True, slots=True)
class RecoveryResult:
    """A verdict with the gang's VMs and, where it runs, its parts and those already done."""

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
    """Collects endpoints' full listings until each open job can be judged.

    :param vms: all endpoints of the cell.
    """

    def __init__(self, vms: Iterable[str]) -> None:
        self._vms = tuple(vms)
        self._pending: dict[str, _PendingJob] = {}
        self._listings: dict[str, _Listing] = {}

    def add(self, job_id: str, vms: tuple[str, ...], until: float) -> None:
        """A job that has to be judged, by the VMs that may have parts of it."""
        self._pending[job_id] = _PendingJob(vms, until)

    def record_listing(self, vm: str, reply: SyncReply) -> None:
        """An endpoint listed everything it has."""
        self._listings[vm] = _Listing({status.job: status for status in reply.tasks})
        for status in reply.tasks:
            known = self._pending.get(status.job)
            if known is not None and status.parts:
                extra = tuple(vm for vm in status.parts if vm not in known.expected)
                known.expected += extra

    def discard_listing(self, vm: str) -> None:
        """An endpoint stopped answering: what it said counts no more."""
        self._listings.pop(vm, None)

    def is_pending(self, job_id: str) -> bool:
        """Whether a job still has to be judged."""
        return job_id in self._pending

    def may_hold_parts(self, vm: str) -> bool:
        """Whether a part of an open job may hold room on a VM."""
        return any(vm in job.expected for job in self._pending.values())

    def ready_jobs(self) -> list[str]:
        """Open jobs whose VMs have all been heard; all VMs, where none is known to have it."""
        return [
            job_id
            for job_id, job in self._pending.items()
            if all(vm in self._listings for vm in job.expected or self._vms)
        ]

    def overdue(self, now: float) -> list[str]:
        """Open jobs that are not waited for any longer."""
        return [job_id for job_id, job in self._pending.items() if job.until <= now]

    def resolve(self, job_id: str, attempt: int) -> RecoveryResult:
        """What became of a job; it is open no more."""
        expected = self._pending.pop(job_id).expected
        found = {
            vm: heard.tasks[job_id]
            for vm in expected
            if (heard := self._listings.get(vm)) is not None and job_id in heard.tasks
        }
        attempt = max([attempt, *(status.attempt for status in found.values())])
        current = {vm: status for vm, status in found.items() if status.attempt == attempt}
        listed = next((status.parts for status in current.values() if status.parts), expected)
        states = {status.state for status in current.values()}
        whole = bool(listed) and all(vm in current for vm in listed)
        if whole and states <= {TaskState.RUNNING, TaskState.DONE}:
            parts = tuple(Part(vm, current[vm].accelerators) for vm in listed)
            done = tuple((vm, s) for vm, s in current.items() if s.state is TaskState.DONE)
            return RecoveryResult(GangCondition.RUNNING, attempt, listed, parts, done)
        if whole and states == {TaskState.CHECKPOINTED}:
            return RecoveryResult(GangCondition.CHECKPOINTED, attempt, listed)
        if not expected:
            return RecoveryResult(GangCondition.NEVER_SENT, attempt, ())
        return RecoveryResult(
            GangCondition.BROKEN, attempt, tuple(dict.fromkeys((*listed, *expected)))
        )
