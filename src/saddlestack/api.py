"""Request and response bodies of the HTTP API, shared by the daemon and the client."""

from __future__ import annotations

import msgspec

from saddlestack.models import Adjacency, AuditRecord, JobClass, JobView, Model
from saddlestack.wire.messages import CellStatus


class SubmitBody(Model, frozen=True):
    """A job to submit.

    :param request: the caller's name for the job; the same name never runs twice.
    :param account: only for operators, who may act for any account.
    :param adjacent: defaults to the narrowest adjacency that can hold the gang.
    :param deadline_s: seconds from now after which the job must not start.
    """

    request: str
    accelerators: int
    job_class: JobClass = msgspec.field(name="class", default=JobClass.NORMAL)
    account: str | None = None
    adjacent: Adjacency | None = None
    run_once: bool = False
    checkpoint: bool = False
    estimate: float = 60.0
    deadline_s: float | None = None
    payload: str = ""


class JobsBody(Model, frozen=True):
    """A list of jobs, newest first."""

    jobs: tuple[JobView, ...]


class AuditBody(Model, frozen=True):
    """A list of audit records, newest first."""

    records: tuple[AuditRecord, ...]


class VmStatus(Model, frozen=True):
    """The state of an entry VM as known to the VM that answers."""

    name: str
    data_hall: str
    health: str
    incarnation: int
    revision: int
    leaving: bool
    cells: tuple[str, ...]


class StatusBody(Model, frozen=True):
    """The state of the system as known to the VM that answers."""

    vm: str
    data_hall: str
    revision: int
    store_available: bool
    watching: bool
    vms: tuple[VmStatus, ...]
    cells: tuple[CellStatus, ...]


class HealthBody(Model, frozen=True):
    """Whether a VM accepts requests, otherwise why not."""

    ready: bool
    reason: str = ""
