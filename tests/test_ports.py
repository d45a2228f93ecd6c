"""Ports that stand-ins choose before they bind them."""

import socket
import unittest

from saddlestack.standins.ports import END_PORT, free_ports


class FreePortsTest(unittest.TestCase):
    # A server on port 0 was given a port that another one of the same test had chosen and not
    # bound yet: "address already in use".
    def test_chosen_ports_are_not_given_to_other_sockets(self) -> None:
        for _ in range(100):
            with socket.socket() as other:
                other.bind(("127.0.0.1", 0))
                self.assertGreaterEqual(other.getsockname()[1], END_PORT)
            self.assertLessEqual(free_ports(2) + 2, END_PORT)


if __name__ == "__main__":
    unittest.main()
