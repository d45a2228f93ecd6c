"""The settings of a daemon: JSON with comments, fully validated before anything starts."""

from __future__ import annotations

import ipaddress
import logging
from pathlib import Path

from saddlestack.codec import read_json_with_comments
from saddlestack.errors import invalid
from saddlestack.models import Model

LOG_LEVELS = ("debug", "info", "warning", "error")
HASH_DIGITS = 64
MIN_KEY_LENGTH = 16


class Address(Model, frozen=True):
    """An IP address and a port."""

    address: str
    port: int


class Peer(Model, frozen=True):
    """Another entry VM, listed in the settings."""

    name: str
    data_hall: str
    address: str
    port: int


class Operator(Model, frozen=True):
    """An operator who may plan and confirm configuration changes.

    :param token_sha256: SHA-256 of the bearer token, hexadecimal.
    """

    name: str
    token_sha256: str


class Bounds(Model, frozen=True):
    """Resource limits of one daemon.

    :param body_bytes: the maximum size of a request body in bytes.
    :param connections: the maximum number of concurrent HTTP connections.
    :param waiting: the maximum number of concurrent requests that wait for a job.
    """

    body_bytes: int = 256 * 1024
    connections: int = 4096
    waiting: int = 10_000


class Settings(Model, frozen=True):
    """The settings of one entry VM's daemon.

    :param vm: the name of this VM.
    :param data_hall: the data hall of this VM.
    :param http: the address that serves callers and operators.
    :param peer: the address that other entry VMs connect to.
    :param store: the address of the platform's key-value store.
    :param vm_list: the address of the platform's list of VMs.
    :param peer_key: the key shared by all entry VMs.
    :param operators: operators who may plan and confirm.
    :param peers: entry VMs that are known before the VM list is available.
    :param drain_s: the maximum duration of a planned stop in seconds.
    :param retention_s: seconds for which the final answer of a job is kept.
    :param store_token: a bearer token for the store, if it needs one.
    """

    vm: str
    data_hall: str
    http: Address
    peer: Address
    store: Address
    vm_list: Address
    peer_key: str
    operators: tuple[Operator, ...]
    peers: tuple[Peer, ...] = ()
    bounds: Bounds = Bounds()
    log_level: str = "info"
    drain_s: float = 60.0
    retention_s: float = 86_400.0
    store_token: str | None = None


def load(path: Path) -> Settings:
    """Read and validate a settings file.

    :raises SaddlestackError: the file is invalid; lists every error with its line or key path.
    """
    settings = read_json_with_comments(path, Settings)
    faults = check(settings)
    if faults:
        raise invalid("; ".join(faults), str(path))
    return settings


def check(settings: Settings) -> list[str]:
    """List every error in the settings, with its key path and what was expected.

    :rtype: list[str]
    """
    faults: list[str] = []
    for key, text in (("vm", settings.vm), ("data_hall", settings.data_hall)):
        if not text.strip():
            faults.append(f"{key}: expected a name")
    for key in ("http", "peer", "store", "vm_list"):
        faults += _address_faults(key, getattr(settings, key))
    for i, peer in enumerate(settings.peers):
        faults += _address_faults(
            f"peers[{i}]", Address(address=peer.address, port=peer.port), listening=False
        )
    faults += _secret_faults(settings)
    if settings.log_level not in LOG_LEVELS:
        faults.append(f"log_level: expected one of {', '.join(LOG_LEVELS)}")
    for key, value in (
        ("drain_s", settings.drain_s),
        ("retention_s", settings.retention_s),
        ("bounds.body_bytes", settings.bounds.body_bytes),
        ("bounds.connections", settings.bounds.connections),
        ("bounds.waiting", settings.bounds.waiting),
    ):
        if value <= 0:
            faults.append(f"{key}: expected a number above 0, got {value}")
    return faults


def _address_faults(key: str, address: Address, *, listening: bool = True) -> list[str]:
    faults = []
    try:
        ipaddress.ip_address(address.address)
    except ValueError:
        faults.append(f"{key}.address: expected an IP address, got {address.address!r}")
    min_port = 0 if listening else 1
    if not min_port <= address.port <= 65_535:
        faults.append(f"{key}.port: expected {min_port} to 65535, got {address.port}")
    return faults


def _secret_faults(settings: Settings) -> list[str]:
    faults = []
    if len(settings.peer_key) < MIN_KEY_LENGTH:
        faults.append(f"peer_key: expected at least {MIN_KEY_LENGTH} characters")
    if not settings.operators:
        faults.append("operators: expected at least one")
    for i, operator in enumerate(settings.operators):
        digits = operator.token_sha256.lower()
        if len(digits) != HASH_DIGITS or any(c not in "0123456789abcdef" for c in digits):
            faults.append(f"operators[{i}].token_sha256: expected 64 hexadecimal digits")
    return faults


def logging_level(settings: Settings) -> int:
    """The level of the :mod:`logging` module that the settings select."""
    return int(getattr(logging, settings.log_level.upper()))


EXAMPLE = """\
// Settings of one entry VM. JSON with comments; every key that is not marked optional
// is required, and unknown keys are an error.
{
  // The name of this VM, as in the platform's VM list.
  "vm": "ee-entry-01",
  // The data hall of this VM. It schedules cells of this data hall only.
  "data_hall": "ulemiste",

  // The addresses that serve callers and operators (HTTP) and other entry VMs.
  "http": {"address": "127.0.0.1", "port": 7080},
  "peer": {"address": "127.0.0.1", "port": 7081},

  // The platform: its key-value store and its list of VMs.
  "store": {"address": "127.0.0.1", "port": 7001},
  "vm_list": {"address": "127.0.0.1", "port": 7002},

  // The key that all entry VMs share, at least 16 characters.
  "peer_key": "replace-this-shared-key",

  // Operators: a name for the audit trail and the SHA-256 of the bearer token.
  // printf %s "$TOKEN" | sha256sum
  "operators": [
    {"name": "liis",
     "token_sha256": "0000000000000000000000000000000000000000000000000000000000000000"}
  ],

  // Optional: entry VMs that are known before the VM list is available.
  "peers": [
    // {"name": "ee-entry-02", "data_hall": "ulemiste", "address": "127.0.0.2", "port": 7081}
  ],

  // Optional: resource limits of this daemon.
  "bounds": {"body_bytes": 262144, "connections": 4096, "waiting": 10000},
  // Optional: debug, info, warning or error.
  "log_level": "info",
  // Optional: seconds a planned stop may take, and for which a final answer is kept.
  "drain_s": 60,
  "retention_s": 86400
  // Optional: "store_token": a bearer token for the store.
}
"""
