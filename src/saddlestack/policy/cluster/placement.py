"""Placement: near the data, in one rack if required, and packed as tightly as possible."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator, Sequence

from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.cluster.releasable import ReleasableRack, ReleasableWorker
from saddlestack.policy.cluster.speed_rank import SpeedRank, known_factor
from saddlestack.policy.cluster.workers import Worker
from saddlestack.work import Resources

Copies = Callable[[Worker], int]
"""Returns how many tasks of a given step fit on a worker."""


def domains(step: StepState, workers: Sequence[Worker]) -> list[list[Worker]]:
    """Groups of workers of which a gang may use one, the best first.

    For a gang that needs a single rack each rack is a group, the one near its data first. If no
    rack could ever hold the gang, all workers form one group.
    """
    if not step.step.same_rack:
        return [_nearest_first(step, workers)]
    eligible = _gang_racks(step, workers)
    if not eligible:
        return [_nearest_first(step, workers)]
    near = step.step.data_rack
    return sorted(eligible, key=lambda rack: rack[0].record.rack != near)


def whole_racks(step: StepState, workers: Iterable[Worker]) -> list[Worker]:
    """The workers in racks that could hold the whole gang if these workers were empty."""
    return [worker for rack in _gang_racks(step, workers) for worker in rack]


def _gang_racks(step: StepState, workers: Iterable[Worker]) -> list[list[Worker]]:
    return [
        rack
        for rack in by_rack(workers).values()
        if sum(worker.max_copies(step.step) for worker in rack) >= step.step.count
    ]


def by_rack(workers: Iterable[Worker]) -> dict[str, list[Worker]]:
    """Group workers by rack."""
    racks: dict[str, list[Worker]] = {}
    for worker in workers:
        racks.setdefault(worker.record.rack, []).append(worker)
    return racks


def place_gang(
    step: StepState, workers: Sequence[Worker], copies: Copies, rank: SpeedRank | None = None
) -> list[Worker] | None:
    """Choose a worker for each task of a gang; ``None`` if it does not fit completely.

    :param rank: order of the workers by speed, which precedes how much is free.
    """
    best: list[Worker] | None = None
    best_key: tuple[bool, int] | None = None
    for domain in domains(step, workers):
        chosen = _fill(step.step.count, domain, copies, rank)
        if chosen is None:
            continue
        far = bool(step.step.data_rack) and domain[0].record.rack != step.step.data_rack
        key = (far, sum(worker.free.accelerators for worker in domain))
        if best_key is None or key < best_key:
            best, best_key = chosen, key
    return best


def soonest(step: StepState, workers: Sequence[Worker]) -> list[Worker]:
    """Choose workers on which a gang fits once all work of lower priority there has ended.

    Chooses the domain with the least such work, and in it the workers with the least such work for
    each task. Empty if the gang would not fit even then.
    """
    best: list[Worker] = []
    best_key: tuple[bool, float] | None = None
    near = step.step.data_rack
    for domain in domains(step, workers):
        releasable = ReleasableRack.of(_releasable(step, domain))
        needed = releasable.workers_needed(step.step.count)
        if needed is None:
            continue
        chosen = [each.worker for each in releasable.workers[:needed]]
        key = (bool(near) and chosen[0].record.rack != near, releasable.weights[needed - 1])
        if best_key is None or key < best_key:
            best, best_key = chosen, key
    return best


def _releasable(step: StepState, workers: Iterable[Worker]) -> Iterator[ReleasableWorker]:
    for worker in workers:
        lower = worker.lower_priority_usage(step.occurrence.job.priority)
        copies = worker.copies(step, worker.free + lower)
        if copies > 0:
            yield ReleasableWorker.of(worker, lower, copies)


def place_task(
    step: StepState, workers: Iterable[Worker], copies: Copies, rank: SpeedRank | None = None
) -> Worker | None:
    """Choose the worker for one task: near its data, then the one with the least capacity left.

    :param rank: order of the workers by speed, which precedes how much is left.
    """
    best: Worker | None = None
    best_key: tuple[bool, int, int, int] | None = None
    near = step.step.data_rack
    for worker in workers:
        if copies(worker) < 1:
            continue
        left = worker.free - step.step.allocation
        far = bool(near) and worker.record.rack != near
        key = (far, _rank_of(worker, rank), left.accelerators, left.cpu)
        if best_key is None or key < best_key:
            best, best_key = worker, key
    return best


def _nearest_first(step: StepState, workers: Sequence[Worker]) -> list[Worker]:
    near = step.step.data_rack
    if not near:
        return list(workers)
    return sorted(workers, key=lambda worker: worker.record.rack != near)


def _fill(
    wanted: int, domain: Sequence[Worker], copies: Copies, rank: SpeedRank | None
) -> list[Worker] | None:
    eligible = [(worker, count) for worker in domain if (count := copies(worker)) > 0]
    if sum(count for _, count in eligible) < wanted:
        return None
    eligible.sort(key=lambda pair: (_rank_of(pair[0], rank), _tightness(pair[0].free)))
    return fill_one_hall(eligible, wanted)


def fill_one_hall(eligible: Iterable[tuple[Worker, int]], wanted: int) -> list[Worker] | None:
    """Choose a worker for each task of a gang, in one data hall if that uses no more empty workers.

    A gang that spans several halls is lost with each of them: in a pool of five halls, seven wide
    gangs with 42,000 core-seconds of work were stopped when one hall was unreachable for longer
    than its workers' leases. Using more empty workers for it is not worthwhile: in a pool of 24
    workers it cost 0.04 of a calm day.

    :param eligible: workers and how many tasks fit on each, the fullest worker first.
    :return: ``None`` if the gang does not fit.
    """
    chosen: list[Worker] = []
    by_hall: dict[str, list[Worker]] = {}
    for worker, copies in eligible:
        chosen += [worker] * min(copies, wanted - len(chosen))
        hall = by_hall.setdefault(worker.record.data_hall, [])
        hall += [worker] * min(copies, wanted - len(hall))
        if len(hall) == wanted:
            return hall if _opened(hall) <= _opened(chosen) else chosen
        if len(chosen) == wanted and _opened(hall) > _opened(chosen):
            return chosen
    return chosen if len(chosen) == wanted else None


def _opened(places: Iterable[Worker]) -> int:
    """Number of empty workers among those chosen."""
    return sum(1 for worker in set(places) if not worker.runs)


def _rank_of(worker: Worker, rank: SpeedRank | None) -> int:
    return 0 if rank is None else rank(known_factor(worker))


def _tightness(free: Resources) -> tuple[int, int]:
    return free.accelerators, free.cpu
