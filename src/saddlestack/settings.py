"""A daemon's settings: JSON with comments, checked whole before anything starts."""

from __future__ import annotations

import ipaddress
import logging
from pathlib import Path

from saddlestack.codec import read_json_with_comments
from saddlestack.errors import invalid
from saddlestack.models import Model

LOG_LEVELS = ("debug", "info", "warning", "error")
HASH_LENGTH = 64
MIN_KEY = 16


class Address(Model, frozen=True):
    """An IP number and a port."""

    address: str
    port: int


class Peer(Model, frozen=True):
    """Another entry VM, known from the settings."""

    name: str
    data_hall: str
    address: str
    port: int


class Operator(Model, frozen=True):
    """An operator who may plan and confirm.

    :param token_sha256: SHA-256 of the bearer token, hexadecimal.
    """

    name: str
    token_sha256: str


class Bounds(Model, frozen=True):
    """Bounds of one daemon.

    :param body_bytes: bytes of a request's body.
    :param connections: HTTP connections at once.
    :param waiting: requests that wait for a job at once.
    """

    body_bytes: int = 256 * 1024
    connections: int = 4096
    waiting: int = 10_000


class Settings(Model, frozen=True):
    """What a daemon has to know to start.

    :param vm: the name of this VM.
    :param data_hall: the data hall it stands in.
    :param http: where callers and operators are served.
    :param peer: where other entry VMs connect.
    :param store: the platform's key-value store.
    :param vm_list: the platform's list of VMs.
    :param peer_key: the key that all entry VMs share.
    :param operators: who may plan and confirm.
    :param peers: entry VMs to know before the VM list answers.
    :param drain_s: seconds a planned stop may take.
    :param retention_s: seconds for which a final answer is kept.
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
    """Read and check a settings file.

    :raises SaddlestackError: with every fault found, each with its line or key path.
    """
    settings = read_json_with_comments(path, Settings)
    faults = check(settings)
    if faults:
        raise invalid("; ".join(faults), str(path))
    return settings


def check(settings: Settings) -> list[str]:
    """Every fault of the settings: key path and what was expected.

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
        faults.append(f"{key}.address: expected an IP number, got {address.address!r}")
    least = 0 if listening else 1
    if not least <= address.port <= 65_535:
        faults.append(f"{key}.port: expected {least} to 65535, got {address.port}")
    return faults


def _secret_faults(settings: Settings) -> list[str]:
    faults = []
    if len(settings.peer_key) < MIN_KEY:
        faults.append(f"peer_key: expected at least {MIN_KEY} characters")
    if not settings.operators:
        faults.append("operators: expected at least one")
    for i, operator in enumerate(settings.operators):
        digits = operator.token_sha256.lower()
        if len(digits) != HASH_LENGTH or any(c not in "0123456789abcdef" for c in digits):
            faults.append(f"operators[{i}].token_sha256: expected 64 hexadecimal digits")
    return faults


def logging_level(settings: Settings) -> int:
    """The level of the logging module that the settings name."""
    return int(getattr(logging, settings.log_level.upper()))


EXAMPLE = """\
// Settings of one entry VM. JSON with comments; every key that is not marked optional
// has to be there, and keys that are not known are an error.
{
  // The name of this VM, as in the platform's VM list.
  "vm": "ee-entry-01",
  // The data hall it stands in. It schedules cells of this data hall only.
  "data_hall": "ulemiste",

  // Where callers and operators are served (HTTP), and where other entry VMs connect.
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

  // Optional: entry VMs to know before the VM list answers.
  "peers": [
    // {"name": "ee-entry-02", "data_hall": "ulemiste", "address": "127.0.0.2", "port": 7081}
  ],

  // Optional: bounds of this daemon.
  "bounds": {"body_bytes": 262144, "connections": 4096, "waiting": 10000},
  // Optional: debug, info, warning or error.
  "log_level": "info",
  // Optional: seconds a planned stop may take, and for which a final answer is kept.
  "drain_s": 60,
  "retention_s": 86400
  // Optional: "store_token": a bearer token for the store.
}
"""
