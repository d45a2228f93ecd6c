"""What a round of decisions needs of its cell: its standing, and ways to decide."""

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
    """A cell as its round sees it.

    :ivar waiting: gangs in the queue, by job id.
    :ivar running: gangs in their places, by job id.
    :ivar lent: accelerators on each worker that gangs of each class use beyond guarantees.
    """

    resources: CellResources
    guarantees: Guarantees
    estimator: Estimator
    waiting: dict[str, Gang]
    running: dict[str, Gang]
    lent: list[list[int]]

    @property
    def borrowed(self) -> Mapping[str, int]:
        """Accelerators that each account uses beyond its guarantees."""
        ...

    @property
    def scatter(self) -> bool:
        """Whether hall-wide gangs go to broken workers first."""
        ...

    def place_free(self, shape: Shape) -> Shares | None:
        """Where the shape would fit in free room, or ``None``."""
        ...

    def gangs_on(self) -> Sequence[dict[str, Gang]]:
        """The gangs running on each worker, by job id."""
        ...

    def start(self, gang: Gang, shares: Shares, charge: Charge | None, now: float) -> Start:
        """Move a waiting gang to its place."""
        ...

    def evict(self, gang: Gang, now: float, *, moved: bool = False) -> Reclaim:
        """Take a running gang's room back and queue it again."""
        ...

    def undo_evict(
        self, gang: Gang, shares: Shares, charge: Charge | None, progress: float
    ) -> None:
        """Put an evicted gang back where it was, as if nothing had been decided."""
        ...
