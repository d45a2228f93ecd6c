"""The documents that operators and workers keep in the platform's store.

See the platform's protocol page, "service discovery" and "the operator's API".
"""

from __future__ import annotations

import msgspec

from saddlestack.codec import from_json, to_json
from saddlestack.interfaces.documents import (
    ClientAccount,
    ClientLimits,
    Documents,
    Pool,
    PoolConfiguration,
    Queue,
)
from saddlestack.interfaces.machines import Wave
from saddlestack.interfaces.store import Item
from saddlestack.interfaces.workers import WorkerRecord
from saddlestack.work import Resources

RACK_LABEL = 1
"""A worker's labels are its kind and its rack, in this order."""

PLACES = Documents(
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
    wave: int
    machines: list[str]
    deadline_s: float = 0
    max_tasks: int = 1


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
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


class _Worker(msgspec.Struct, rename="kebab"):
    service: str
    address: str
    zone: str
    state: str
    capacity: _Capacity = msgspec.field(default_factory=_Capacity)
    labels: list[str] = []
    clock_ms: int = 0
    remaining_ms: float | None = None
    machine: str = ""
    cold_left_ms: float = 0


class PlatformDocuments:
    """Reads the platform's documents into the product's models."""

    places = PLACES

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
        return Wave(wave.wave, tuple(wave.machines), wave.deadline_s, wave.max_tasks)

    def wave_status(self, *, completed: bool) -> bytes:
        """What tells the operator how far a wave is."""
        return to_json(_WaveStatus("completed" if completed else "running"))

    def worker(self, item: Item) -> WorkerRecord:
        """The worker that a record describes."""
        record = from_json(item.value, _Worker, item.key)
        room = Resources(record.capacity.cpu, record.capacity.mem_mb, record.capacity.gpu)
        remaining = None if record.remaining_ms is None else int(record.remaining_ms)
        return WorkerRecord(
            worker_id=item.key.removeprefix(PLACES.workers_prefix),
            service=record.service,
            address=record.address,
            data_hall=record.zone,
            draining=record.state != "ready",
            capacity=room,
            labels=tuple(record.labels),
            rack=record.labels[RACK_LABEL] if len(record.labels) > RACK_LABEL else "",
            clock_ms=record.clock_ms,
            machine=record.machine,
            remaining_ms=remaining,
            cold_ms=int(record.cold_left_ms),
        )


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
