"""The headroom: empty workers that are kept for urgent work, so that it need not stop others."""

from __future__ import annotations

from collections.abc import Sequence

from saddlestack.policy.cluster.index import ServiceCapacity
from saddlestack.policy.cluster.wait_limits import HEADROOM_WAIT_S, may_drop_preferences
from saddlestack.policy.cluster.workers import Worker

HEADROOM_SHARE = 0.25
"""Share of a pool's accelerators, on empty workers, that only urgent work may open; data halls that
are being evacuated do not count..."""
HEADROOM_PER_RACK = 32
"""...of which so many, half a rack at most, lie in one rack, so that urgent gangs fit there."""


def may_open(service_capacity: ServiceCapacity, places: Sequence[Worker], waited_s: float) -> bool:
    """Whether work of lower priority may take some workers and still leave the headroom.

    :param service_capacity: the room of all workers of the service.
    :param places: where the work would go.
    :param waited_s: for how long it has waited.
    """
    opened: dict[str, int] = {}
    for worker in {worker: None for worker in places if not worker.runs}:
        rack = worker.record.rack
        opened[rack] = opened.get(rack, 0) + worker.record.capacity.accelerators
    if not opened:
        return True
    taken = sum(opened.values())
    left = service_capacity.empty - taken
    in_one = min(
        HEADROOM_PER_RACK,
        service_capacity.largest_rack // 2,
        service_capacity.largest_empty_rack({}),
    )
    if (
        left >= service_capacity.open.accelerators * HEADROOM_SHARE
        and service_capacity.largest_empty_rack(opened) >= in_one
    ):
        return True
    if not service_capacity.open.is_half_used or waited_s > HEADROOM_WAIT_S:
        return True
    return left >= taken and may_drop_preferences(service_capacity, waited_s)
