"""Checks calls that name a job against the configuration in force."""

from __future__ import annotations

from saddlestack.control.configuration import Configuration
from saddlestack.interfaces.clients import Caller
from saddlestack.policy.job_access import JobAccess, job_access
from saddlestack.work import AcceptedJob


class JobAccessCheck:
    """The check that each call passes that names a job, on the VM that is called and the leader."""

    def __init__(self, configuration: Configuration) -> None:
        self._configuration = configuration

    def access(self, caller: Caller, job: AcceptedJob) -> JobAccess:
        """What a caller may do with a job."""
        return job_access(caller, job, self._has_queue)

    def _has_queue(self, name: str) -> bool:
        current = self._configuration.current
        return current is not None and any(queue.name == name for queue in current.queues)
