"""The headroom: empty workers that are kept for urgent work, so that it need not stop others."""

from __future__ import annotations

from collections.abc import Sequence

from saddlestack.policy.board.index import ServiceRooms
from saddlestack.policy.board.workers import Worker

HEADROOM = 0.25
"""Share of a pool's accelerators, on empty workers, that only urgent work may open; data halls that
are being evacuated do not count..."""
HEADROOM_A_RACK = 32
"""...of which so many, half a rack at most, lie in one rack, so that urgent gangs fit there..."""
HEADROOM_PATIENCE_S = 15.0
"""...until other work has waited for so long."""


def may_open(rooms: ServiceRooms, places: Sequence[Worker]) -> bool:
    """Whether work of lower priority may take some workers and still leave the headroom.

    :param rooms: the room of all workers of the service.
    :param places: where the work would go.
    """
    opened: dict[str, int] = {}
    for worker in {worker: None for worker in places if not worker.runs}:
        rack = worker.record.rack
        opened[rack] = opened.get(rack, 0) + worker.record.capacity.accelerators
    if not opened:
        return True
    left = rooms.empty - sum(opened.values())
    in_one = min(HEADROOM_A_RACK, rooms.widest // 2, rooms.widest_empty({}))
    if left >= rooms.open_accelerators * HEADROOM and rooms.widest_empty(opened) >= in_one:
        return True
    return not rooms.half_used
