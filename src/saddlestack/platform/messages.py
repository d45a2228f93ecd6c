"""JSON bodies of the platform's store and workers.

See the platform's protocol page. Clients and stand-ins share them.
"""

from __future__ import annotations

from typing import Annotated

import msgspec


class KeyRow(msgspec.Struct):
    """A key of the store; ``gone`` if a watch reports that it was removed."""

    key: str
    value: str = ""
    rev: int = 0
    gone: bool = False


class RangePage(msgspec.Struct):
    """A page of keys under a prefix."""

    items: list[KeyRow]
    at: int
    more: bool = False


class WatchPage(msgspec.Struct):
    """Changes under a prefix."""

    events: list[KeyRow]
    at: int


class ExpectedRow(msgspec.Struct):
    """A key and the revision that it must have."""

    key: str
    rev: int


class PutRow(msgspec.Struct, omit_defaults=True):
    """A key to write."""

    key: str
    value: str
    lease: int = 0


class TransactionBody(msgspec.Struct, rename={"expect": "expect-rev"}):
    """Changes to be made atomically."""

    expect: list[ExpectedRow]
    put: list[PutRow]
    delete: list[str]


class CommittedBody(msgspec.Struct):
    """The revision of a committed transaction."""

    rev: int


class ConflictBody(msgspec.Struct):
    """The current state of the expected keys, if a transaction conflicts."""

    items: list[KeyRow] = []


class LeaseRequest(msgspec.Struct):
    """Requests a lease."""

    ttl_ms: int


class LeaseBody(msgspec.Struct):
    """A lease as granted or renewed."""

    ttl_ms: int
    lease: int = 0


class StartBody(msgspec.Struct, rename="kebab", omit_defaults=True):
    """Starts a run."""

    task: str
    run: int
    spec: str
    deadline_ms: int
    fence: int
    saved: str = ""
    ticket: str = ""


class StopBody(msgspec.Struct):
    """Stops a run."""

    task: str
    run: int
    fence: int


class PaceBody(msgspec.Struct):
    """Limits a run to a percentage of its full speed."""

    task: str
    run: int
    percent: int
    fence: int


class HoldBody(msgspec.Struct, rename="kebab", omit_defaults=True):
    """Renews the lease, acknowledges ends, and polls the worker."""

    fence: int
    last_seen: int
    deadline_ms: int | None = None
    wait_ms: int = 0


class OrderAnswer(msgspec.Struct, rename="kebab"):
    """Answers an order."""

    clock_ms: int | None = None
    reason: str = ""


class RunningRow(msgspec.Struct, array_like=True):
    """A run that is present."""

    task: str
    run: int
    saved: str = ""
    percent: float = 0
    figure: float = 0


class EndedRow(msgspec.Struct, array_like=True):
    """A run that is over."""

    number: int
    task: str
    run: int
    how: str
    saved: str = ""


class ReportBody(msgspec.Struct, rename="kebab"):
    """Answers a poll; ``born`` is omitted by workers that do not report their start time."""

    clock_ms: int
    running: list[RunningRow] = []
    ended: list[EndedRow] = []
    born: Annotated[int, msgspec.Meta(ge=1)] | msgspec.UnsetType = msgspec.UNSET


class CapacityBody(msgspec.Struct, rename="kebab"):
    """The capacity of a worker."""

    cpu: int
    mem_mb: int
    gpu: int


class WorkerBody(msgspec.Struct, rename="kebab"):
    """A worker's record as stored."""

    service: str
    address: str
    zone: str
    state: str
    capacity: CapacityBody
    labels: list[str]
    machine: str
    clock_ms: int
    seq: int
    slots: int
    version: str
    cold_left_ms: int = 0
    remaining_ms: int | None = None
    born: int | msgspec.UnsetType = msgspec.UNSET
