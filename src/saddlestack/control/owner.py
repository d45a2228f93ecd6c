"""The interface that sessions with workers need of their scheduler."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.workers import Worker


class SessionOwner(Protocol):
    """What a session with a worker needs of its scheduler."""

    @property
    def cluster_state(self) -> ClusterState:
        """The state that the scheduler decides on."""
        ...

    @property
    def fence(self) -> int:
        """Fencing token of the term."""
        ...

    @property
    def max_lease_s(self) -> float:
        """Longest lease that workers accept."""
        ...

    @property
    def may_grant(self) -> bool:
        """Whether the term may still grant leases that a successor takes into account."""
        ...

    def reschedule(self) -> None:
        """Requests another scheduling round."""
        ...

    async def wait_written(self, jobs: Iterable[str]) -> None:
        """Waits until everything that is known of some jobs by now is in the store."""
        ...

    def call_missed(self, worker: Worker) -> None:
        """Notes that a worker did not answer a call.

        Other workers of its data hall may be unreachable, too.
        """
        ...

    def worker_replaced(self, worker: Worker) -> None:
        """Notes that an incarnation is over, since another one answered at its address."""
        ...

    def worker_fenced(self) -> None:
        """Notes that a worker follows a later term."""
        ...
