"""The operators' documents and the workers' records, as decoded by a platform's adapter."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from saddlestack.interfaces.machines import Wave
from saddlestack.interfaces.store import Item
from saddlestack.interfaces.workers import WorkerRecord


@dataclass(frozen=True, slots=True)
class Queue:
    """A queue of the configuration.

    :param open: no API key is needed.
    :param advised: each start needs the adviser's approval.
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

    :param guaranteed: accelerators that are guaranteed to its jobs of priority 0.
    """

    name: str
    keys: tuple[str, ...]
    guaranteed: int = 0


@dataclass(frozen=True, slots=True)
class Pool:
    """The workers of one service.

    :param admission_check: whether workers refuse a run that doesn't fit.
    """

    name: str
    admission_check: bool


@dataclass(frozen=True, slots=True)
class ClientLimits:
    """Limits on the size of clients' requests."""

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
    """Keys of the operators' documents and of the workers' records in the platform's store.

    :param evacuations_prefix: prefix of the key for each data hall that is being evacuated,
        followed by the name of the hall.
    """

    configuration_prefix: str
    configuration_key: str
    workers_prefix: str
    waves_prefix: str
    wave_status_prefix: str
    evacuations_prefix: str


class DocumentReader(Protocol):
    """Decodes the platform's documents."""

    @property
    def locations(self) -> DocumentLocations:
        """Where the documents are stored."""
        ...

    def configuration(self, value: bytes) -> PoolConfiguration:
        """Decodes a configuration.

        :raises SaddlestackError: the document is invalid.
        """
        ...

    def wave(self, item: Item) -> Wave:
        """Decodes an order for a wave of upkeep.

        :raises SaddlestackError: the document is invalid.
        """
        ...

    def wave_status(self, *, completed: bool) -> bytes:
        """Encodes the status of a wave for the operator."""
        ...

    def worker(self, item: Item) -> WorkerRecord:
        """Decodes a worker's record.

        :raises SaddlestackError: the record is invalid.
        """
        ...
