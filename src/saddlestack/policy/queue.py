"""Queue order, corrected running time estimates, and reservations for blocked gangs."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from saddlestack.models import JobClass, JobSpec, Shape
from saddlestack.policy.gang import Gang
from saddlestack.policy.placement import domains
from saddlestack.policy.resources import CellResources

AGING_S = {0: 0.0, 1: 0.0, 2: 4 * 3600.0}
"""Seconds after which a waiting gang counts as one class higher, by class rank; 0 means never."""

MIN_ESTIMATE_S = 0.1
MAX_CORRECTION = 8.0
LEARNING_RATE = 0.2
SHORT_JOB_FACTOR = 6.0
"""The queue key adds this many times the expected running time, which favors short gangs."""
FAIRNESS_STEP = 0.25
"""Share of the cell's capacity; accounts in the same step of borrowing are ordered as equal."""


class Estimator:
    """Corrects callers' estimates by the error of earlier ones of the same account and class."""

    def __init__(self) -> None:
        self._ratio: dict[tuple[str, JobClass], float] = {}

    def expected(self, spec: JobSpec) -> float:
        """The expected running time in seconds."""
        ratio = self._ratio.get((spec.account, spec.job_class), 1.0)
        return max(spec.estimate, MIN_ESTIMATE_S) * ratio

    def record(self, spec: JobSpec, actual_s: float) -> None:
        """Record the actual running time of a gang, in seconds."""
        key = (spec.account, spec.job_class)
        observed = max(actual_s, MIN_ESTIMATE_S) / max(spec.estimate, MIN_ESTIMATE_S)
        observed = min(max(observed, 1 / MAX_CORRECTION), MAX_CORRECTION)
        before = self._ratio.get(key, 1.0)
        self._ratio[key] = before + LEARNING_RATE * (observed - before)


def effective_rank(gang: Gang, now: float) -> int:
    """The class rank of a gang after aging: 0 urgent, 1 normal, 2 bulk."""
    aging_s = AGING_S[gang.rank]
    if aging_s and now - gang.submitted >= aging_s:
        return gang.rank - 1
    return gang.rank


class QueueOrder:
    """The order in which waiting gangs are scheduled.

    Gangs are ordered by class, then by how much their account borrows (least first), then by
    age. A gang counts as younger by a multiple of its expected running time, so that short
    gangs go first.

    :param borrowed: accelerators that each account uses beyond its guarantees.
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
        """Sort gangs into scheduling order."""
        return sorted(gangs, key=self._key)

    def _key(self, gang: Gang) -> tuple[int, int, float, int]:
        left = self._estimator.expected(gang.spec) - gang.progress
        return (
            effective_rank(gang, self._now),
            self._borrowed.get(gang.spec.account, 0) // self._step,
            gang.submitted + SHORT_JOB_FACTOR * left,
            gang.order,
        )


@dataclass(frozen=True, slots=True)
class Reservation:
    """Workers reserved for a blocked gang.

    :param rank: class rank of the gang.
    :param start: when the gang is expected to start.
    """

    job_id: str
    rank: int
    workers: frozenset[int]
    start: float


def reserve(
    gang: Gang, resources: CellResources, running: Sequence[tuple[float, Gang]], now: float
) -> Reservation | None:
    """Reserve the workers on which a blocked gang can start earliest, as running gangs end.

    :param running: running gangs with their expected end times, in order of these.
    :return: the reservation, or ``None`` if the ends of all running gangs are not enough.
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
