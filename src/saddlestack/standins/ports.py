"""Free ports on loopback, for stand-ins and processes of trials."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"
LARGEST_PORT = 65_535


def free_ports(count: int) -> int:
    """The first of some neighbouring ports that nothing listens on now."""
    while True:
        with socket.socket() as probe:
            probe.bind((LOOPBACK, 0))
            first = int(probe.getsockname()[1])
        if first + count <= LARGEST_PORT and all(_is_free(first + n) for n in range(count)):
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True
