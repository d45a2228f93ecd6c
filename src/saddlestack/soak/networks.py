"""Loopback networks for the entry VMs of soaks that run at the same time."""

from __future__ import annotations

import os
import socket

FIRST_NETWORK = 130
NETWORKS = 100
RESERVATION_PORT = 7099


class NoFreeNetwork(Exception):
    """Other soaks use all networks."""


class NetworkReservation:
    """Reserves one of the networks 127.130.0.0/16 to 127.229.0.0/16 until it is closed.

    :ivar number: the second byte of its addresses.
    :raises NoFreeNetwork: all are reserved.
    """

    def __init__(self) -> None:
        for offset in range(NETWORKS):
            self.number = FIRST_NETWORK + (os.getpid() + offset) % NETWORKS
            self._socket = socket.socket()
            try:
                self._socket.bind((f"127.{self.number}.255.254", RESERVATION_PORT))
            except OSError:
                self._socket.close()
                continue
            return
        raise NoFreeNetwork

    def close(self) -> None:
        """Release the network."""
        self._socket.close()
