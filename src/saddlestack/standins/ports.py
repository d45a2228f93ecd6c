"""Free ports on loopback, for stand-ins and processes of test deployments."""

from __future__ import annotations

import random
import socket

LOOPBACK = "127.0.0.1"
FIRST_PORT = 10_000
END_PORT = 32_768
"""First port that Linux hands out for connections and for servers on port 0."""
_random = random.SystemRandom()


def free_ports(count: int) -> int:
    """Return the first of ``count`` consecutive ports that are free now.

    They lie below the ports that the system hands out itself, so that no other socket is given one
    of them before it is bound.
    """
    while True:
        first = _random.randrange(FIRST_PORT, END_PORT - count)
        if all(_is_free(first + n) for n in range(count)):
            return first


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((LOOPBACK, port))
        except OSError:
            return False
        return True
