"""The records of worker speeds in the store: one for each partition of the machines."""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from functools import lru_cache
from typing import Annotated

import msgspec

from saddlestack.codec import from_msgpack, to_msgpack
from saddlestack.control import keys
from saddlestack.errors import invalid
from saddlestack.interfaces.store import Item
from saddlestack.models import Model
from saddlestack.policy.cluster.speed_records import SpeedRow

VERSION = 1
"""Version of the records; others are refused."""
MACHINES_PER_PARTITION = 512
"""Most machines in a partition on average: a record then has 20 kB, of the 1 MB of a value."""
HUNDREDTHS = 100
MS_PER_S = 1000.0
MAX_REMEMBERED_HASHES = 32_768
"""Machines whose hash is kept in memory, more than a cluster has."""

_Positive = Annotated[int, msgspec.Meta(ge=1, le=100_000)]
_Percent = Annotated[int, msgspec.Meta(ge=0, le=100)]
_Count = Annotated[int, msgspec.Meta(ge=0)]


class MachineRow(msgspec.Struct, frozen=True, array_like=True, forbid_unknown_fields=True):
    """The speed of one machine.

    :param factor: time factor, in hundredths.
    :param confidence: when the evidence last changed, in hundredths.
    :param evidence: pieces of evidence.
    :param age_s: time since the evidence last changed.
    """

    machine: Annotated[str, msgspec.Meta(min_length=1)]
    factor: _Positive
    confidence: _Percent
    evidence: _Count
    age_s: _Count


class PartitionRecord(Model, frozen=True):
    """The speeds of the machines of one partition.

    :param saved_ms: wall time of the write, milliseconds since 1970.
    """

    version: int
    saved_ms: _Count
    rows: tuple[MachineRow, ...]


class _Version(msgspec.Struct):
    version: int


def partition_count(machines: int) -> int:
    """The number of partitions for some machines: the smallest power of two that suffices."""
    count = 1
    while machines > count * MACHINES_PER_PARTITION:
        count *= 2
    return count


def partition_of(machine: str, count: int) -> int:
    """The partition of a machine, of a number that is a power of two."""
    return _hash(machine) % count


def encode(rows: Sequence[SpeedRow], saved_ms: float) -> bytes:
    """Encode the record of a partition."""
    found = tuple(
        MachineRow(
            row.machine,
            max(1, round(row.factor * HUNDREDTHS)),
            round(row.confidence * HUNDREDTHS),
            row.evidence,
            round(row.age_s),
        )
        for row in rows
    )
    return to_msgpack(PartitionRecord(version=VERSION, saved_ms=round(saved_ms), rows=found))


def decode(item: Item, wall_ms: float, max_since_s: float) -> list[SpeedRow]:
    """Decode the record of a partition.

    A machine that does not belong to the partition shows that something else wrote the record.

    :param wall_ms: present wall time, from which the ages are counted.
    :param max_since_s: most time since the write that counts: a partition is written when a level
        changes, so the factors of an old record were still right when a leader last wrote another.
    :raises SaddlestackError: the record is unreadable, or of another version or writer.
    """
    partition = keys.speeds_partition_of(item.key)
    if partition is None:
        raise invalid("expected the number of a partition", item.key)
    version = from_msgpack(item.value, _Version).version
    if version != VERSION:
        raise invalid(f"expected version {VERSION}, got {version}", item.key)
    record = from_msgpack(item.value, PartitionRecord)
    count = 1
    while count <= partition:
        count *= 2
    if any(partition_of(row.machine, count) != partition for row in record.rows):
        raise invalid("expected only machines of this partition", item.key)
    since_s = min(max_since_s, max(0.0, (wall_ms - record.saved_ms) / MS_PER_S))
    return [
        SpeedRow(
            row.machine,
            row.factor / HUNDREDTHS,
            row.confidence / HUNDREDTHS,
            row.evidence,
            row.age_s + since_s,
        )
        for row in record.rows
    ]


@lru_cache(maxsize=MAX_REMEMBERED_HASHES)
def _hash(machine: str) -> int:
    """A hash that is the same in every process and release."""
    return int.from_bytes(hashlib.blake2b(machine.encode(), digest_size=4).digest(), "big")
