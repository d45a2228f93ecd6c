"""The context that is shared by the services of an entry VM."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass

from saddlestack.control.health import StoreHealth
from saddlestack.control.settings import EntrySettings
from saddlestack.interfaces.documents import DocumentReader
from saddlestack.interfaces.machines import Adviser, Machines
from saddlestack.interfaces.store import MetadataStore
from saddlestack.interfaces.workers import WorkerOrders, WorkerRecord
from saddlestack.kernel.clock import Clock
from saddlestack.services.metrics import Metrics
from saddlestack.wire.dialer import Dialer

OrdersFactory = Callable[[WorkerRecord], WorkerOrders]
"""Opens a connection for orders to one incarnation of a worker."""


@dataclass(slots=True)
class EntryContext:
    """Settings, clock, random numbers, and the platform of one entry VM.

    :param health: whether the store is available to this VM.
    :param machines: sends orders about whole machines; ``None`` if the platform accepts none.
    :param adviser: approves workers for a step; ``None`` if there is no adviser.
    :param incarnation: increases with each start of the process.
    """

    settings: EntrySettings
    clock: Clock
    rng: random.Random
    dialer: Dialer
    incarnation: int
    store: MetadataStore
    health: StoreHealth
    documents: DocumentReader
    orders: OrdersFactory
    metrics: Metrics
    machines: Machines | None = None
    adviser: Adviser | None = None
