"""Helpers shared by several tests."""

from __future__ import annotations

import logging
import random
import unittest
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

from saddlestack.control.context import EntryContext
from saddlestack.control.health import StoreHealth
from saddlestack.interfaces.store import MetadataStore
from saddlestack.kernel.clock import Clock
from saddlestack.models import Account, DataHall
from saddlestack.services.metrics import Metrics
from saddlestack.standins.cluster import Cluster, account, racks
from saddlestack.standins.loop import run

T = TypeVar("T")


def bare_context(
    clock: Clock, *, store: MetadataStore | None = None, health: StoreHealth | None = None
) -> EntryContext:
    """A minimal context for testing parts of an entry VM in isolation."""
    unused: Any = None
    return EntryContext(
        settings=unused,
        clock=clock,
        rng=random.Random(1),
        dialer=unused,
        incarnation=1,
        store=store or unused,
        health=health or unused,
        documents=unused,
        orders=unused,
        metrics=Metrics("vm", clock),
    )


logging.getLogger("saddlestack").setLevel(logging.CRITICAL)

EE_HALLS = (
    DataHall(name="ulemiste", racks=racks("ee-u", 1)),
    DataHall(name="mustamae", racks=racks("ee-m", 1)),
    DataHall(name="maardu", racks=racks("ee-d", 1)),
)
ONE_HALL = EE_HALLS[:1]
ACCOUNTS = (
    account("depots", "2x16@rack"),
    account("stations", "2x8@worker"),
    account("tariffs"),
    account("replays"),
)


class ClusterTest(unittest.TestCase):
    """Runs a coroutine against a small deployment on a virtual clock."""

    def with_cluster(
        self,
        body: Callable[[Cluster], Awaitable[None]],
        *,
        halls: tuple[DataHall, ...] = ONE_HALL,
        accounts: tuple[Account, ...] = ACCOUNTS,
        entries: int = 2,
        seed: int = 1,
    ) -> None:
        async def main() -> None:
            cluster = Cluster(halls, entries=entries, seed=seed)
            await cluster.start()
            try:
                await cluster.configure(accounts)
                await body(cluster)
            finally:
                await cluster.stop()

        run(main())
