"""The interface of a cell that a scheduling round uses."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from saddlestack.models import Shape
from saddlestack.policy.gang import Gang, Reclaim, Start
from saddlestack.policy.guarantees import Charge, Guarantees
from saddlestack.policy.packing import Shares
from saddlestack.policy.queue import Estimator
from saddlestack.policy.resources import CellResources


class CellView(Protocol):
    """The state of a cell and the actions of a scheduling round on it.

    :ivar waiting: waiting gangs, by job id.
    :ivar running: running gangs, by job id.
    :ivar lent: accelerators that reclaimable gangs hold, by class rank and worker.
    """

    resources: CellResources
    guarantees: Guarantees
    estimator: Estimator
    waiting: dict[str, Gang]
    running: dict[str, Gang]
    lent: list[list[int]]

    @property
    def borrowed(self) -> Mapping[str, int]:
        """Accelerators that each account uses beyond its guarantees, by account."""
        ...

    @property
    def scatter(self) -> bool:
        """Whether hall-wide gangs use partly used workers first."""
        ...

    def place_free(self, shape: Shape) -> Shares | None:
        """The placement of a shape in free capacity, or ``None`` if it does not fit."""
        ...

    def gangs_on(self) -> Sequence[dict[str, Gang]]:
        """The gangs that run on each worker, by job id."""
        ...

    def start(self, gang: Gang, shares: Shares, charge: Charge | None, now: float) -> Start:
        """Start a waiting gang on the given shares."""
        ...

    def evict(self, gang: Gang, now: float, *, moved: bool = False) -> Reclaim:
        """Stop a running gang, free its accelerators and queue it again."""
        ...

    def undo_evict(
        self, gang: Gang, shares: Shares, charge: Charge | None, progress: float
    ) -> None:
        """Restore an evicted gang to its shares, as if it had never been evicted."""
        ...
