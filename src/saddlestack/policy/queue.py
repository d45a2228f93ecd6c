"""The order of waiting gangs, corrected estimates, and the reservation of a blocked gang."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from saddlestack.models import JobClass, JobSpec, Shape
from saddlestack.policy.gang import Gang
from saddlestack.policy.placement import domains
from saddlestack.policy.resources import CellResources

AGING_S = {0: 0.0, 1: 0.0, 2: 4 * 3600.0}
"""How long a gang of each class rank waits until it counts as one class higher; 0 never."""

MIN_ESTIMATE_S = 0.1
MAX_CORRECTION = 8.0
LEARNING_RATE = 0.2
SHORT_FIRST = 6.0
"""How many times its expected running time a long gang is put behind short ones."""
FAIRNESS_STEP = 0.25
"""Accounts whose borrowed shares of the cell differ by less are equal."""


class Estimator:
    """Corrects callers' estimates by how far earlier ones of the same kind were off."""

    def __init__(self) -> None:
        self._ratio: dict[tuple[str, JobClass], float] = {}

    def expected(self, spec: JobSpec) -> float:
        """The running time to expect, seconds."""
        ratio = self._ratio.get((spec.account, spec.job_class), 1.0)
        return max(spec.estimate, MIN_ESTIMATE_S) * ratio

    def record(self, spec: JobSpec, actual_s: float) -> None:
        """Note how long a gang really ran, seconds."""
        key = (spec.account, spec.job_class)
        seen = max(actual_s, MIN_ESTIMATE_S) / max(spec.estimate, MIN_ESTIMATE_S)
        seen = min(max(seen, 1 / MAX_CORRECTION), MAX_CORRECTION)
        before = self._ratio.get(key, 1.0)
        self._ratio[key] = before + LEARNING_RATE * (seen - before)


def effective_rank(gang: Gang, now: float) -> int:
    """The class rank of a gang after aging: 0 urgent, 1 normal, 2 bulk."""
    patience = AGING_S[gang.rank]
    if patience and now - gang.submitted >= patience:
        return gang.rank - 1
    return gang.rank


class QueueOrder:
    """The order in which waiting gangs are considered.

    Class first, then the account that borrows least, then age, where a short gang counts as
    older by a multiple of the running time it is expected to save the others.

    :param borrowed: accelerators each account runs beyond its guarantees.
    :param capacity: accelerators of the cell.
    """

    def __init__(
        self, estimator: Estimator, borrowed: dict[str, int], capacity: int, now: float
    ) -> None:
        self._estimator = estimator
        self._borrowed = borrowed
        self._step = max(1, int(capacity * FAIRNESS_STEP))
        self._now = now

    def sort(self, gangs: Iterable[Gang]) -> list[Gang]:
        """The gangs in order."""
        return sorted(gangs, key=self._key)

    def _key(self, gang: Gang) -> tuple[int, int, float, int]:
        left = self._estimator.expected(gang.spec) - gang.progress
        return (
            effective_rank(gang, self._now),
            self._borrowed.get(gang.spec.account, 0) // self._step,
            gang.submitted + SHORT_FIRST * left,
            gang.order,
        )


@dataclass(frozen=True, slots=True)
class Reservation:
    """Workers kept for a blocked gang, and when it is expected to start there.

    :param rank: class rank of the gang.
    """

    job_id: str
    rank: int
    workers: frozenset[int]
    start: float


def reserve(
    gang: Gang, resources: CellResources, running: Sequence[tuple[float, Gang]], now: float
) -> Reservation | None:
    """Find where a blocked gang could start first, as running gangs end.

    :param running: running gangs with their expected ends, by end.
    """
    shape = gang.spec.shape
    best: tuple[float, Sequence[int]] | None = None
    domain_list = _reservable(shape, resources)
    position = {worker: i for i, workers in enumerate(domain_list) for worker in workers}
    free = [sum([resources.free[w] for w in workers]) for workers in domain_list]
    for end, other in running:
        for worker, count in other.shares:
            i = position.get(worker)
            if i is None or not resources.open(worker):
                continue
            free[i] += count
            if free[i] >= shape.accelerators:
                best = (max(end, now), domain_list[i])
                break
        if best is not None:
            break
    if best is None:
        return None
    return Reservation(gang.job_id, gang.rank, frozenset(best[1]), best[0])


def _reservable(shape: Shape, resources: CellResources) -> list[Sequence[int]]:
    if shape.adjacent.value == "hall":
        return [[worker for rack in resources.racks for worker in rack]]
    return list(domains(shape, resources.racks))
