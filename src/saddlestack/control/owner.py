"""What a worker's session needs of its scheduler."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol

from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.cluster.workers import Worker


class SessionOwner(Protocol):
    """What a session needs of its scheduler."""

    @property
    def cluster_state(self) -> ClusterState:
        """What is known and decided."""
        ...

    @property
    def fence(self) -> int:
        """The fencing token of the term."""
        ...

    @property
    def max_lease_s(self) -> float:
        """How long workers lease at most."""
        ...

    @property
    def may_grant(self) -> bool:
        """Whether the term may still grant leases: a successor counts those that it granted."""
        ...

    def reschedule(self) -> None:
        """Decide anew."""
        ...

    async def wait_written(self, jobs: Iterable[str]) -> None:
        """Wait until the store has all that is known of some jobs by now."""
        ...

    def call_missed(self, worker: Worker) -> None:
        """A call to a worker was not answered; its neighbours may be out of reach as well."""
        ...

    def worker_replaced(self, worker: Worker) -> None:
        """Another life answered where a worker's was: this one is over."""
        ...

    def worker_fenced(self) -> None:
        """A worker obeys a later term."""
        ...
