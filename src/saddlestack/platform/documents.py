"""The documents that operators and workers keep in the platform's store.

See the platform's protocol page, "service discovery" and "the operator's API".
"""

from __future__ import annotations

import functools
import ipaddress
import re
from typing import Annotated, Literal

import msgspec

from saddlestack.codec import from_json, has_repeated_keys, to_json
from saddlestack.errors import invalid
from saddlestack.interfaces.documents import (
    ClientAccount,
    ClientLimits,
    DocumentLocations,
    Pool,
    PoolConfiguration,
    Queue,
)
from saddlestack.interfaces.incarnations import incarnation_name
from saddlestack.interfaces.machines import Wave
from saddlestack.interfaces.store import Item
from saddlestack.interfaces.workers import WorkerRecord
from saddlestack.work import Resources

RACK_LABEL = 1
"""A worker's labels are its kind and its rack, in this order."""

MAX_RECORD_BYTES = 16_384
"""A worker's record has some 300 bytes."""
MAX_LABELS = 64
KNOWN_ADDRESSES = 16_384
"""Workers write the same address with every heartbeat."""
MAX_NUMBER = 2**53
"""Above this not every whole number has its own spelling in JSON, see RFC 8259, section 6."""
MAX_TIME_MS = 7 * 24 * 3600 * 1000
"""No worker is slow, or about to leave, for longer than a week."""

_WORKER_ID = re.compile(r"[!-.0-~]{1,200}")
"""Printable and without a slash: it travels in a header. A key has 200 bytes at most."""
_ADDRESS = re.compile(r"(\d+\.\d+\.\d+\.\d+|\[[0-9a-fA-F:.]+\]):(\d{1,5})", re.ASCII)
_MAX_PORT = 65_535

_Text = Annotated[str, msgspec.Meta(max_length=200)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
_Time = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_MS)]

PLACES = DocumentLocations(
    configuration_prefix="op/",
    configuration_key="op/config",
    workers_prefix="servers/",
    waves_prefix="op/wave/",
    wave_status_prefix="status/wave/",
    evacuations_prefix="op/evacuate/",
)


class _Advice(msgspec.Struct, rename="kebab"):
    decide_ms: float = 0
    period_ms: float = 0
    valid_ms: float = 0


class _Wave(msgspec.Struct, rename="kebab"):
    wave: _Count
    machines: list[_Name]
    deadline_s: Annotated[float, msgspec.Meta(ge=0)] = 0
    max_tasks: _Positive = 1


class _WaveStatus(msgspec.Struct):
    state: str


class _Route(msgspec.Struct, rename="kebab"):
    name: str
    host: str
    path_prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_latency_ms: float = 0.0
    timeout_ms: float = 3000.0
    no_auth: bool = False
    advice: _Advice | None = None


class _Guaranteed(msgspec.Struct):
    gpu: int = 0


class _Tenant(msgspec.Struct, rename="kebab"):
    name: str
    api_keys: list[str] = []
    guaranteed: _Guaranteed | None = None


class _Service(msgspec.Struct, rename="kebab"):
    name: str
    admission_check: bool = False
    headroom: bool = False


class _Limits(msgspec.Struct, rename="kebab"):
    max_body_bytes: int = 262_144


class _Configuration(msgspec.Struct, rename="kebab"):
    version: int
    routes: list[_Route] = []
    tenants: list[_Tenant] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Capacity(msgspec.Struct, rename="kebab"):
    cpu: _Positive
    mem_mb: _Positive
    gpu: _Count = 0


class _Worker(msgspec.Struct, rename="kebab"):
    """A worker's record; ``version``, ``slots``, ``seq``, ``clock_ms`` are checked and not used."""

    service: _Name
    address: _Name
    zone: _Name
    version: _Text
    slots: _Count
    state: Literal["ready", "draining"]
    cold_left_ms: _Time
    seq: _Count
    capacity: _Capacity
    labels: Annotated[list[_Text], msgspec.Meta(max_length=MAX_LABELS)] = []
    clock_ms: _Count = 0
    remaining_ms: _Time | None = None
    machine: _Text = ""
    born: _Positive | msgspec.UnsetType = msgspec.UNSET


_FIELDS = tuple(
    f'"{field.encode_name}"'.encode()
    for kind in (_Worker, _Capacity)
    for field in msgspec.structs.fields(kind)
)


class PlatformDocuments:
    """Reads the platform's documents into the product's models."""

    locations = PLACES

    def configuration(self, value: bytes) -> PoolConfiguration:
        """The configuration that a document holds."""
        document = from_json(value, _Configuration, PLACES.configuration_key)
        return PoolConfiguration(
            version=document.version,
            queues=tuple(_queue(route) for route in document.routes),
            accounts=tuple(_account(tenant) for tenant in document.tenants),
            pools=tuple(
                Pool(service.name, service.admission_check) for service in document.services
            ),
            limits=ClientLimits(document.limits.max_body_bytes),
        )

    def wave(self, item: Item) -> Wave:
        """The wave of upkeep that a document orders."""
        wave = from_json(item.value, _Wave, item.key)
        if item.key != f"{PLACES.waves_prefix}{wave.wave}":
            raise invalid(f"expected the wave of the key, got {wave.wave}", f"{item.key}: wave")
        return Wave(wave.wave, tuple(wave.machines), wave.deadline_s, wave.max_tasks)

    def wave_status(self, *, completed: bool) -> bytes:
        """What tells the operator how far a wave is."""
        return to_json(_WaveStatus("completed" if completed else "running"))

    def worker(self, item: Item) -> WorkerRecord:
        """The worker that a record describes."""
        if len(item.value) > MAX_RECORD_BYTES:
            raise invalid(f"expected at most {MAX_RECORD_BYTES} bytes", item.key)
        record = from_json(item.value, _Worker, item.key)
        if _may_repeat_keys(item.value) and has_repeated_keys(item.value, item.key):
            raise invalid("expected each field once", item.key)
        worker_id = item.key.removeprefix(PLACES.workers_prefix)
        if not _WORKER_ID.fullmatch(worker_id):
            raise invalid("expected the id of a worker", item.key)
        if not _is_address(record.address):
            raise invalid("expected IP:PORT", f"{item.key}: address")
        room = Resources(record.capacity.cpu, record.capacity.mem_mb, record.capacity.gpu)
        remaining = None if record.remaining_ms is None else int(record.remaining_ms)
        return WorkerRecord(
            worker_id=incarnation_name(worker_id, _born(record)),
            service=record.service,
            address=record.address,
            data_hall=record.zone,
            draining=record.state == "draining",
            capacity=room,
            labels=tuple(record.labels),
            rack=record.labels[RACK_LABEL] if len(record.labels) > RACK_LABEL else "",
            machine=record.machine,
            remaining_ms=remaining,
            cold_ms=int(record.cold_left_ms),
        )


def _born(record: _Worker) -> int:
    return 0 if isinstance(record.born, msgspec.UnsetType) else record.born


def _may_repeat_keys(value: bytes) -> bool:
    """Whether a closer look is due: it costs as much as reading the record."""
    return b"\\" in value or any(value.count(field) > 1 for field in _FIELDS)


@functools.lru_cache(maxsize=KNOWN_ADDRESSES)
def _is_address(text: str) -> bool:
    """Whether a text spells the address and port of one machine."""
    parts = _ADDRESS.fullmatch(text)
    if parts is None or not 1 <= int(parts[2]) <= _MAX_PORT:
        return False
    try:
        address = ipaddress.ip_address(parts[1].strip("[]"))
    except ValueError:
        return False
    return not address.is_unspecified and not address.is_multicast


def _account(tenant: _Tenant) -> ClientAccount:
    accelerators = tenant.guaranteed.gpu if tenant.guaranteed is not None else 0
    return ClientAccount(tenant.name, tuple(tenant.api_keys), accelerators)


def _queue(route: _Route) -> Queue:
    return Queue(
        name=route.name,
        host=route.host,
        prefix=route.path_prefix,
        service=route.service,
        priority=route.priority,
        attempts=route.max_attempts,
        stretch=route.stretch,
        target_ms=route.target_latency_ms,
        timeout_ms=route.timeout_ms,
        open=route.no_auth,
        advised=route.advice is not None,
    )
