"""Headroom: empty workers that are kept for urgent work, so that it need not preempt others."""

from __future__ import annotations

from collections.abc import Sequence

from saddlestack.policy.cluster.index import ServiceCapacity
from saddlestack.policy.cluster.wait_limits import HEADROOM_WAIT_S, may_drop_preferences
from saddlestack.policy.cluster.workers import Worker

HEADROOM_SHARE = 0.25
"""Share of a service's accelerators, on empty workers, that is kept for urgent work. Data halls
that are being evacuated do not count."""
HEADROOM_PER_RACK = 32
"""Accelerators of the headroom, at most half a rack, that lie in one rack, so that urgent gangs
fit there."""


def headroom_allows(
    service_capacity: ServiceCapacity,
    places: Sequence[Worker],
    waited_s: float,
    forecast: float | None = None,
) -> bool:
    """Whether the headroom allows less urgent work to take some workers.

    It does if the work uses no empty worker that is fast enough for urgent work, or if the headroom
    remains. Otherwise it does if less than half of the service is used, or if the work has waited
    for long enough. That wait is shorter if the pool is mostly free and at least as many empty
    accelerators remain as the work takes.

    :param service_capacity: capacity of the service.
    :param places: the workers that the work would go to.
    :param waited_s: seconds for which it has waited.
    :param forecast: accelerators that urgent work is likely to need; by default a fixed share of
        the service is kept.
    """
    opened: dict[str, int] = {}
    for worker in {worker: None for worker in places if not worker.runs}:
        if not service_capacity.counts_for_headroom(worker):
            continue
        rack = worker.record.rack
        opened[rack] = opened.get(rack, 0) + worker.record.capacity.accelerators
    if not opened:
        return True
    taken = sum(opened.values())
    left = service_capacity.empty - taken
    kept = service_capacity.open.accelerators * HEADROOM_SHARE if forecast is None else forecast
    in_one = min(
        HEADROOM_PER_RACK,
        service_capacity.largest_rack // 2,
        service_capacity.largest_empty_rack({}),
    )
    if left >= kept and service_capacity.largest_empty_rack(opened) >= in_one:
        return True
    if not service_capacity.open.is_half_used or waited_s > HEADROOM_WAIT_S:
        return True
    return left >= taken and may_drop_preferences(service_capacity, waited_s)
