"""The operators' documents and the workers' records, as an adapter reads them."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from saddlestack.interfaces.machines import Wave
from saddlestack.interfaces.store import Item
from saddlestack.interfaces.workers import WorkerRecord


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the configuration.

    :param open: needs no key.
    :param advised: a start needs the adviser's leave.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int
    attempts: int
    stretch: float
    target_ms: float
    timeout_ms: float
    open: bool
    advised: bool = False


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """A client account of the configuration.

    :param guaranteed: accelerators that it owns for jobs of priority 0.
    """

    name: str
    keys: tuple[str, ...]
    guaranteed: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """The workers of one service.

    :param admission_check: workers refuse what does not fit.
    """

    name: str
    admission_check: bool


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Bounds on what clients may send."""

    body_bytes: int = 262_144


@dataclass(frozen=True, slots=True)
class PoolConfiguration:
    """The configuration in force."""

    version: int
    queues: tuple[Queue, ...]
    accounts: tuple[ClientAccount, ...]
    pools: tuple[Pool, ...]
    limits: ClientLimits = ClientLimits()


@dataclass(frozen=True, slots=True)
class DocumentLocations:
    """Where the platform keeps the operators' documents and the workers' records.

    :param evacuations_prefix: of a key for each data hall that is being evacuated; the rest of the
        key is the hall's name.
    """

    configuration_prefix: str
    configuration_key: str
    workers_prefix: str
    waves_prefix: str
    wave_status_prefix: str
    evacuations_prefix: str


class DocumentReader(Protocol):
    """Reads the platform's documents into the product's models."""

    @property
    def locations(self) -> DocumentLocations:
        """Where the documents are."""
        ...

    def configuration(self, value: bytes) -> PoolConfiguration:
        """The configuration that a document holds.

        :raises SaddlestackError: it holds none.
        """
        ...

    def wave(self, item: Item) -> Wave:
        """The wave of upkeep that a document orders.

        :raises SaddlestackError: it orders none.
        """
        ...

    def wave_status(self, *, completed: bool) -> bytes:
        """What tells the operator how far a wave is."""
        ...

    def worker(self, item: Item) -> WorkerRecord:
        """The worker that a record describes.

        :raises SaddlestackError: it describes none.
        """
        ...
