"""Lets workers of a soak turn slow or recover while it runs."""

from __future__ import annotations

import asyncio
import random

from saddlestack.soak.hosts import WorkerHosts
from saddlestack.soak.messages import SetTimeFactor
from saddlestack.soak.shape import WorkerKind


async def drift_speeds(hosts: WorkerHosts, kind: WorkerKind, rng: random.Random) -> None:
    """Draw the speeds of random workers anew until cancelled; none if no workers are slow."""
    while kind.slow_share and kind.drift_per_s:
        await asyncio.sleep(rng.expovariate(kind.drift_per_s))
        machine = rng.choice(hosts.machines)
        factor = kind.slow_factor if rng.random() < kind.slow_share else 1.0
        await hosts.send(SetTimeFactor(machines=(machine.name,), factor=factor))
