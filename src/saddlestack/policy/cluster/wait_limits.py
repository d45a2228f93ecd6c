"""How long work waits for a preferred place while another one is free.

Work prefers places near its data, in one rack, outside the headroom and not kept for gangs. The
wait pays off because work far from its data, or spread over racks, takes up to three times as long.
While a pool is mostly free, all preferences are dropped after a limit so that no accepted work
stalls.
"""

from __future__ import annotations

import math

from saddlestack.policy.cluster.index import ServiceCapacity
from saddlestack.policy.cluster.jobs import StepState
from saddlestack.policy.stall import FREE_CAPACITY_FACTOR

NEAR_DATA_WAIT_S = 8.0
"""Maximum wait for a place near the data while much of the pool is in use."""
HEADROOM_WAIT_S = 15.0
"""Maximum wait of lower-priority work before it may use the headroom, while much of the pool is in
use."""
IDLE_POOL_WAIT_S = 2.0
"""Maximum wait for any preference while less than half of the workers are in use. Work may stall
for at most 3 s then, and it takes up to 0.5 s until the next decision and 0.1 s until the run
starts."""

LENDING_WAIT_S = 2.5
"""Minimum wait in an idle pool before work may borrow reserved resources. A borrowing run that
outlasts the stops delays the step that holds the reservation, so the limit is long enough that most
reservations end before they lend anything."""


def is_idle(service_capacity: ServiceCapacity) -> bool:
    """Whether less than half of a service's workers are in use, evacuated data halls included.

    Workers that are unreachable or unlisted may be gone with their runs, or may still be serving.
    The pool counts as idle if it is idle either with them or without them.
    """
    return service_capacity.all.is_mostly_free or service_capacity.present.is_mostly_free


def may_drop_preferences(service_capacity: ServiceCapacity, stalled_s: float) -> bool:
    """Whether work has stalled for long enough, in an idle pool, to take any place."""
    return stalled_s > IDLE_POOL_WAIT_S and is_idle(service_capacity)


def loans_allowed_from_s(step: StepState) -> float:
    """When a step in an idle pool may borrow reserved resources.

    Seconds on the scheduler's clock; infinite for a step that is not stalled.
    """
    since_s = step.stalled_since_s
    return math.inf if since_s is None else since_s + LENDING_WAIT_S


def has_capacity_for(copies: int, wanted: int) -> bool:
    """Whether a pool has enough free capacity that work has no reason to wait.

    :param copies: tasks of it that fit.
    :param wanted: tasks that have to start at once.
    """
    return copies >= FREE_CAPACITY_FACTOR * wanted
