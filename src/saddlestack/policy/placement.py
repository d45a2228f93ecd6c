"""Places gangs so that the largest possible gangs can still be formed afterwards.

Placements are searched for in *domains*: one worker, one rack, or a range of neighboring racks.
The same domains are used for free capacity and, in :mod:`saddlestack.policy.reclaim`, for
capacity to reclaim.
"""

from __future__ import annotations

from collections.abc import Iterator, Sequence

from saddlestack.models import Adjacency, Shape
from saddlestack.policy.packing import Shares, fill


def find_placement(
    shape: Shape, usable: Sequence[int], racks: Sequence[Sequence[int]], *, scatter: bool
) -> Shares | None:
    """Find the best placement for a shape in the usable accelerators.

    :param usable: accelerators that may be used, by worker.
    :param scatter: whether a hall-wide gang uses partly used workers first, which keeps whole
        workers free for others, rather than neighboring racks.
    :return: the shares, or ``None`` if the shape does not fit.
    """
    if shape.adjacent is Adjacency.WORKER:
        return _in_worker(shape.accelerators, usable, racks)
    if shape.adjacent is Adjacency.RACK:
        return _in_rack(shape.accelerators, usable, racks)
    if scatter:
        return _scattered(shape.accelerators, usable, racks)
    return _in_neighboring_racks(shape.accelerators, usable, racks)


def domains(shape: Shape, racks: Sequence[Sequence[int]]) -> Iterator[Sequence[int]]:
    """The groups of workers that a gang of the shape may be placed in."""
    if shape.adjacent is Adjacency.WORKER:
        for rack in racks:
            for worker in rack:
                yield (worker,)
        return
    yield from racks
    if shape.adjacent is Adjacency.HALL and len(racks) > 1:
        yield [worker for rack in racks for worker in rack]


def _in_worker(wanted: int, usable: Sequence[int], racks: Sequence[Sequence[int]]) -> Shares | None:
    best: tuple[int, int] | None = None
    chosen = -1
    for rack in racks:
        rack_total = -1
        for worker in rack:
            count = usable[worker]
            if count < wanted or (best is not None and count > best[0]):
                continue
            if rack_total < 0:
                rack_total = sum([usable[w] for w in rack])
            if best is None or (count, rack_total) < best:
                best = (count, rack_total)
                chosen = worker
    return None if best is None else ((chosen, wanted),)


def _in_rack(wanted: int, usable: Sequence[int], racks: Sequence[Sequence[int]]) -> Shares | None:
    best: Sequence[int] | None = None
    least = 0
    for rack in racks:
        total = sum([usable[w] for w in rack])
        if total >= wanted and (best is None or total < least):
            best, least = rack, total
    if best is None:
        return None
    return fill(best, [usable[w] for w in best], wanted)


def _in_neighboring_racks(
    wanted: int, usable: Sequence[int], racks: Sequence[Sequence[int]]
) -> Shares | None:
    one_rack = _in_rack(wanted, usable, racks)
    if one_rack is not None:
        return one_rack
    totals = [sum([usable[w] for w in rack]) for rack in racks]
    window = _shortest_window(totals, wanted)
    if window is None:
        return None
    workers = [w for rack in racks[window[0] : window[1]] for w in rack]
    return fill(workers, [usable[w] for w in workers], wanted)


def _shortest_window(totals: Sequence[int], wanted: int) -> tuple[int, int] | None:
    best: tuple[int, int, int] | None = None
    start = 0
    held = 0
    for end, total in enumerate(totals, 1):
        held += total
        while held - totals[start] >= wanted:
            held -= totals[start]
            start += 1
        if held >= wanted:
            candidate = (end - start, held, start)
            best = candidate if best is None or candidate < best else best
    return None if best is None else (best[2], best[2] + best[0])


def _scattered(wanted: int, usable: Sequence[int], racks: Sequence[Sequence[int]]) -> Shares | None:
    by_rack = sorted(racks, key=lambda rack: sum([usable[w] for w in rack]))
    shares: list[tuple[int, int]] = []
    for rack in by_rack:
        for worker in sorted(rack, key=lambda w: usable[w]):
            count = min(usable[worker], wanted)
            if count:
                shares.append((worker, count))
                wanted -= count
            if not wanted:
                return tuple(shares)
    return None
