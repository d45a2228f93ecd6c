"""The headroom: empty workers that are kept for urgent work, so that it need not stop others."""

from __future__ import annotations

from collections.abc import Sequence

from saddlestack.policy.board.placement import by_rack
from saddlestack.policy.board.workers import Worker

HEADROOM = 0.25
"""Share of a pool's accelerators, on empty workers, that only urgent work may open..."""
HEADROOM_A_RACK = 32
"""...of which so many, half a rack at most, lie in one rack, so that urgent gangs fit there..."""
HEADROOM_PATIENCE_S = 15.0
"""...until other work has waited for so long."""


def may_open(pool: Sequence[Worker], places: Sequence[Worker], now: float) -> bool:
    """Whether work of lower priority may take some workers and still leave the headroom.

    :param pool: all workers of the service.
    :param places: where the work would go.
    """
    opened = {worker.worker_id for worker in places if not worker.runs}
    if not opened:
        return True
    empty = [worker for worker in pool if not worker.runs and worker.takes_work(now)]
    left = [worker for worker in empty if worker.worker_id not in opened]
    in_one = min(HEADROOM_A_RACK, _widest(pool) // 2, _widest(empty))
    if _accelerators(left) >= _accelerators(pool) * HEADROOM and _widest(left) >= in_one:
        return True
    return not half_used(pool)


def half_used(pool: Sequence[Worker]) -> bool:
    """Whether half of a pool's accelerators or processors is in use."""
    if sum(worker.used.accelerators for worker in pool) * 2 >= _accelerators(pool):
        return True
    cpu = sum(worker.used.cpu for worker in pool)
    return cpu * 2 >= sum(worker.record.capacity.cpu for worker in pool)


def _accelerators(workers: Sequence[Worker]) -> int:
    return sum(worker.record.capacity.accelerators for worker in workers)


def _widest(workers: Sequence[Worker]) -> int:
    """Accelerators of the rack that has most among some workers."""
    return max((_accelerators(rack) for rack in by_rack(workers).values()), default=0)
