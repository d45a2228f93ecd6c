"""How long work waits for a better place while any other is free.

A place near the data, on one rack, that leaves the headroom, or that no gang waits for, is worth
some waiting: work far from its data, or spread over racks, takes up to three times as long. Beside
a pool that is mostly free all of these are given up in time, so that no accepted work stands still.
"""

from __future__ import annotations

import math

from saddlestack.policy.cluster.index import ServiceCapacity
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.stall import FREE_CAPACITY_FACTOR

NEAR_DATA_WAIT_S = 8.0
"""Work waits this long for a place near its data while much of the pool is in use."""
HEADROOM_WAIT_S = 15.0
"""Work of lower priority keeps off the headroom for this long..."""
IDLE_POOL_WAIT_S = 2.0
"""...and this long, like all other preferences, while under half of all workers is in use: work may
stand for 3 s there, and it takes up to 0.5 s to the next decision and 0.1 s until it runs."""

LENDING_WAIT_S = 2.5
"""Work waits this long beside an idle pool before it is lent reserved room: a run that outlasts the
stops holds the reservation's step up, so most reservations are over before they lend anything."""


def is_idle(service_capacity: ServiceCapacity) -> bool:
    """Whether under half of a service's workers is in use, those of evacuated halls among them.

    Workers that do not answer, or are in no list, may be gone with all that counts as running
    there, or serve on: the pool counts as idle where it is so with them or without.
    """
    return service_capacity.all.is_mostly_free or service_capacity.present.is_mostly_free


def may_drop_preferences(service_capacity: ServiceCapacity, stood_s: float) -> bool:
    """Whether work beside an idle pool has waited for a better place for long enough."""
    return stood_s > IDLE_POOL_WAIT_S and is_idle(service_capacity)


def loans_allowed_from_s(step: StepState) -> float:
    """When a step beside an idle pool may be lent reserved room, on the board's clock."""
    since_s = step.stalled_since_s
    return math.inf if since_s is None else since_s + LENDING_WAIT_S


def has_room_for(copies: int, wanted: int) -> bool:
    """Whether a pool has room enough for work, so that it has no reason to wait.

    :param copies: tasks of it that fit.
    :param wanted: tasks that have to start at once.
    """
    return copies >= FREE_CAPACITY_FACTOR * wanted
