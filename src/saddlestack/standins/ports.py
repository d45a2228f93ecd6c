"""Free ports on loopback, for stand-ins and processes of test deployments."""

from __future__ import annotations

import socket

LOOPBACK = "127.0.0.1"
MAX_PORT = 65_535


def free_ports(count: int) -> int:
    """Return the first of ``count`` consecutive ports that are free now."""
    while True:
        with socket.socket() as probe:
            probe.bind((LOOPBACK, 0))
            first = int(probe.getsockname()[1])
        if first + count <= MAX_PORT and all(_is_free(first + n) for n in range(count)):
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True
