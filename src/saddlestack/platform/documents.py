"""Reads the documents that operators and workers write to the platform's store.

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

RACK_LABEL_INDEX = 1
"""Index of the rack in a worker's labels, which are its kind and its rack, in this order."""

MAX_RECORD_BYTES = 16_384
"""A valid record has about 300 bytes."""
MAX_LABELS = 64
ADDRESS_CACHE_SIZE = 16_384
"""Addresses whose validity is cached: workers write the same one with every heartbeat."""
MAX_NUMBER = 2**53
"""Larger integers are not exact in every JSON implementation, see RFC 8259, section 6."""
MAX_TIME_MS = 7 * 24 * 3600 * 1000
"""Upper limit of a worker's cold start and of its remaining time: one week."""

_WORKER_ID = re.compile(r"[!-.0-~]{1,200}")
"""Printable ASCII without a slash, since it is sent in a header. Keys have at most 200 bytes."""
_ADDRESS = re.compile(r"(\d+\.\d+\.\d+\.\d+|\[[0-9a-fA-F:.]+\]):(\d{1,5})", re.ASCII)
_MAX_PORT = 65_535

_Text = Annotated[str, msgspec.Meta(max_length=200)]
_Name = Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=MAX_NUMBER)]
_Time = Annotated[float, msgspec.Meta(ge=0, le=MAX_TIME_MS)]
_Amount = Annotated[float, msgspec.Meta(ge=0)]
_Identifier = Annotated[str, msgspec.Meta(min_length=1)]
_Path = Annotated[str, msgspec.Meta(pattern="^/")]

DOCUMENT_LOCATIONS = DocumentLocations(
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
    name: _Identifier
    host: _Identifier
    path_prefix: _Path
    service: _Identifier
    priority: _Count = 0
    max_attempts: _Count = 1
    stretch: _Amount = 1.0
    target_latency_ms: _Amount = 0.0
    timeout_ms: _Amount = 3000.0
    no_auth: bool = False
    advice: _Advice | None = None


class _Guaranteed(msgspec.Struct):
    gpu: _Count = 0


class _Tenant(msgspec.Struct, rename="kebab"):
    name: _Identifier
    api_keys: list[str] = []
    guaranteed: _Guaranteed | None = None


class _Service(msgspec.Struct, rename="kebab"):
    name: _Identifier
    admission_check: bool = False
    headroom: bool = False


class _Limits(msgspec.Struct, rename="kebab"):
    max_body_bytes: _Positive = 262_144


class _Configuration(msgspec.Struct, rename="kebab"):
    """The configuration, which is always whole: it names its routes and services, even if none."""

    version: _Count
    routes: list[_Route]
    services: list[_Service]
    tenants: list[_Tenant] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Capacity(msgspec.Struct, rename="kebab"):
    cpu: _Positive
    mem_mb: _Positive
    gpu: _Count = 0


class _Worker(msgspec.Struct, rename="kebab"):
    """A worker's record; ``version``, ``slots``, ``seq``, ``clock_ms`` are checked but unused."""

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
    """Converts the platform's documents to and from saddlestack's models."""

    locations = DOCUMENT_LOCATIONS

    def configuration(self, value: bytes) -> PoolConfiguration:
        """Decode the configuration document.

        :raises SaddlestackError: the document is invalid.
        """
        key = DOCUMENT_LOCATIONS.configuration_key
        document = from_json(value, _Configuration, key)
        if has_repeated_keys(value, key):
            raise invalid("expected each field only once", key)
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
        """Decode the order for a wave of upkeep.

        :raises SaddlestackError: the document is invalid or does not match its key.
        """
        wave = from_json(item.value, _Wave, item.key)
        if item.key != f"{DOCUMENT_LOCATIONS.waves_prefix}{wave.wave}":
            raise invalid(
                f"expected the wave number in the key, got {wave.wave}", f"{item.key}: wave"
            )
        return Wave(wave.wave, tuple(wave.machines), wave.deadline_s, wave.max_tasks)

    def wave_status(self, *, completed: bool) -> bytes:
        """Encode the status of a wave for the operator."""
        return to_json(_WaveStatus("completed" if completed else "running"))

    def worker(self, item: Item) -> WorkerRecord:
        """Decode a worker's record.

        :raises SaddlestackError: the record is invalid.
        """
        if len(item.value) > MAX_RECORD_BYTES:
            raise invalid(f"expected at most {MAX_RECORD_BYTES} bytes", item.key)
        record = from_json(item.value, _Worker, item.key)
        if _may_have_repeated_keys(item.value) and has_repeated_keys(item.value, item.key):
            raise invalid("expected each field only once", item.key)
        worker_id = item.key.removeprefix(DOCUMENT_LOCATIONS.workers_prefix)
        if not _WORKER_ID.fullmatch(worker_id):
            raise invalid("expected a worker ID", item.key)
        if not _is_address(record.address):
            raise invalid("expected IP:PORT", f"{item.key}: address")
        capacity = Resources(record.capacity.cpu, record.capacity.mem_mb, record.capacity.gpu)
        remaining = None if record.remaining_ms is None else int(record.remaining_ms)
        return WorkerRecord(
            worker_id=incarnation_name(worker_id, _started_ms(record)),
            service=record.service,
            address=record.address,
            data_hall=record.zone,
            draining=record.state == "draining",
            capacity=capacity,
            labels=tuple(record.labels),
            rack=record.labels[RACK_LABEL_INDEX] if len(record.labels) > RACK_LABEL_INDEX else "",
            machine=record.machine,
            remaining_ms=remaining,
            cold_ms=int(record.cold_left_ms),
        )


def _started_ms(record: _Worker) -> int:
    return 0 if isinstance(record.born, msgspec.UnsetType) else record.born


def _may_have_repeated_keys(value: bytes) -> bool:
    """Cheap pre-check for repeated keys: the full check costs as much as decoding the record."""
    return b"\\" in value or any(value.count(field) > 1 for field in _FIELDS)


@functools.lru_cache(maxsize=ADDRESS_CACHE_SIZE)
def _is_address(text: str) -> bool:
    """Whether a text is a unicast IP address and a port."""
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
