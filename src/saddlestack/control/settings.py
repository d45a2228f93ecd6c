"""Settings of an entry VM on the platform's machines, read from JSON with comments."""

from __future__ import annotations

import ipaddress
from pathlib import Path

from saddlestack.codec import read_json_with_comments
from saddlestack.errors import invalid
from saddlestack.models import Model
from saddlestack.policy.cluster.incarnation_end import DEFAULT_DRAIN_S
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.settings import LOG_LEVELS, Address

MAX_PORT = 65_535
MACHINE_KEYS = ("cores", "cpu_share", "link_mbps")
SCHEDULING_RANGES = {
    "speed_memory_s": (5.0, 3600.0),
    "speed_write_interval_s": (1.0, 60.0),
    "gang_priority_min_workers": (0, 100_000),
    "last_attempt_wait_s": (0.0, 2.0),
}
"""Lowest and highest value of the numbers under ``scheduling``. Evidence of less than 5 s is a
single run; more than one write a second would cost more store calls than all other upkeep. In a
mostly free pool no work may spend more than 2 s on preferences."""
TIMING_RANGES_MS = {
    "configuration_apply_ms": (1_000.0, 600_000.0),
    "drain_ms": (0.0, 600_000.0),
}
"""Lowest and highest value of times under ``timings``. A watch takes half of the time in which a
configuration is in force, and it takes 0.4 s to notice a lost answer and to repeat the watch."""
LEADER_CORES = 1.0
"""Processor cores that a leader needs.

A leader of 176 workers uses only a small part of this on average, but needs it to start and to take
over quickly.
"""
LEADER_LINK_MBPS = 50.0
"""Network bandwidth that a leader needs.

Over a link of 10 Mbit/s, a new leader of 176 workers took 2.2 s to read the state, and its orders
were late.
"""


class Timings(Model, frozen=True):
    """Times that the platform guarantees or requires.

    :param longest_hold_ms: longest lease that a worker accepts.
    :param grace_s: time from SIGTERM to SIGKILL.
    :param status_s: minimum time for which a job's state is kept.
    :param retention_s: how long a finished job stays known, so that repeated requests find it.
    :param machine_lease_ms: minimum time between orders about the same machine by two holders.
    :param upkeep_s: how long a machine is down for upkeep.
    :param configuration_apply_ms: time after which a confirmed configuration is in force.
    :param drain_ms: minimum time for which a worker that ends as planned serves on.
    """

    longest_hold_ms: float
    grace_s: float
    status_s: float
    retention_s: float = 3600.0
    machine_lease_ms: float = 3000
    upkeep_s: float = 2.0
    configuration_apply_ms: float = 2000
    drain_ms: float = DEFAULT_DRAIN_S * 1000


class Scheduling(Model, frozen=True):
    """Optional scheduling decisions; see :class:`SchedulingOptions` for each of them."""

    worker_speeds: bool = False
    speed_memory_s: float = 60.0
    speed_write_interval_s: float = 2.0
    gang_priority: bool = False
    gang_priority_min_workers: int = 0
    demand_forecast: bool = False
    last_attempt_wait_s: float = 0.0

    @property
    def options(self) -> SchedulingOptions:
        """The options in the form that the scheduling policy takes."""
        return SchedulingOptions(
            worker_speeds=self.worker_speeds,
            speed_memory_s=self.speed_memory_s,
            speed_write_interval_s=self.speed_write_interval_s,
            gang_priority=self.gang_priority,
            gang_priority_min_workers=self.gang_priority_min_workers,
            demand_forecast=self.demand_forecast,
            last_attempt_wait_s=self.last_attempt_wait_s,
        )


class EntrySettings(Model, frozen=True):
    """Settings that an entry VM needs to start.

    :param vm: name of this VM.
    :param data_hall: data hall of this VM.
    :param clients: address for clients, as ``IP:PORT``.
    :param readiness: address for the platform's readiness checks.
    :param peer_ports: first and last port reserved for traffic between daemons.
    :param store: address of the platform's store.
    :param machines: address of the platform's interface for whole machines, if there is one.
    :param adviser: address of the adviser, which approves workers for a step, if there is one.
    :param callers: address of the product's own API, if it is served.
    :param scheduling: optional scheduling decisions; all are off by default.
    :param cores: processor cores of this VM.
    :param cpu_share: share of these cores that the VM gets.
    :param link_mbps: bandwidth of the VM's network link, in Mbit/s.
    """

    vm: str
    data_hall: str
    clients: str
    readiness: str
    peer_ports: tuple[int, int]
    store: str
    timings: Timings
    machines: str | None = None
    adviser: str | None = None
    callers: str | None = None
    scheduling: Scheduling = Scheduling()
    cores: float = 1.0
    cpu_share: float = 1.0
    link_mbps: float = 1000.0
    log_level: str = "info"

    @property
    def peer_address(self) -> Address:
        """Address at which other daemons connect."""
        return Address(address=parse_address(self.clients).address, port=self.peer_ports[0])

    @property
    def strength(self) -> float:
        """How well this VM can lead: 1 or more if neither processor nor link is a bottleneck."""
        return min(self.cores * self.cpu_share / LEADER_CORES, self.link_mbps / LEADER_LINK_MBPS)

    @property
    def metrics_address(self) -> Address:
        """Address at which counters and histograms are served."""
        return Address(address=parse_address(self.clients).address, port=self.peer_ports[0] + 1)


def load(path: Path) -> EntrySettings:
    """Reads and checks a settings file.

    :raises SaddlestackError: with every error found, each with its line or key path.
    """
    settings = read_json_with_comments(path, EntrySettings)
    faults = check(settings)
    if faults:
        raise invalid("; ".join(faults), str(path))
    return settings


def check(settings: EntrySettings) -> list[str]:
    """Returns every error in the settings, each as its key path and what was expected.

    :rtype: list[str]
    """
    faults: list[str] = []
    for key, text in (("vm", settings.vm), ("data_hall", settings.data_hall)):
        if not text.strip():
            faults.append(f"{key}: expected a name")
    for key in ("clients", "readiness", "store"):
        faults += _address_faults(key, getattr(settings, key))
    for key in ("machines", "adviser", "callers"):
        text = getattr(settings, key)
        if text is not None:
            faults += _address_faults(key, text)
    first, last = settings.peer_ports
    if not 0 <= first < last <= MAX_PORT:
        faults.append("peer_ports: expected a first port below a last one, from 0 to 65535")
    if settings.log_level not in LOG_LEVELS:
        faults.append(f"log_level: expected one of {', '.join(LOG_LEVELS)}")
    for key in MACHINE_KEYS:
        if getattr(settings, key) <= 0:
            faults.append(f"{key}: expected a number above 0, got {getattr(settings, key)}")
    for key in (
        "longest_hold_ms",
        "grace_s",
        "status_s",
        "retention_s",
        "upkeep_s",
    ):
        value = getattr(settings.timings, key)
        if value <= 0:
            faults.append(f"timings.{key}: expected a number above 0, got {value}")
    for key, (least_ms, most_ms) in TIMING_RANGES_MS.items():
        time_ms = getattr(settings.timings, key)
        if not least_ms <= time_ms <= most_ms:
            expected = f"expected {least_ms:g} to {most_ms:g}"
            faults.append(f"timings.{key}: {expected}, got {time_ms:g}")
    for key, (lowest, highest) in SCHEDULING_RANGES.items():
        value = getattr(settings.scheduling, key)
        if not lowest <= value <= highest:
            faults.append(f"scheduling.{key}: expected {lowest:g} to {highest:g}, got {value:g}")
    if settings.timings.retention_s < settings.timings.status_s:
        faults.append("timings.retention_s: expected status_s or more")
    return faults


def parse_address(text: str) -> Address:
    """Parses an ``IP:PORT`` address; an IPv6 address is in brackets.

    :raises ValueError: the text is not an address.
    """
    address, _, port = text.rpartition(":")
    if address.startswith("["):
        address = address.removeprefix("[").removesuffix("]")
    return Address(address=str(ipaddress.ip_address(address)), port=int(port))


def _address_faults(key: str, text: str) -> list[str]:
    try:
        port = parse_address(text).port
    except ValueError:
        return [f"{key}: expected IP:PORT, got {text!r}"]
    if not 0 <= port <= MAX_PORT:
        return [f"{key}: expected a port from 0 to {MAX_PORT}, got {port}"]
    return []
