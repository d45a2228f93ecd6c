"""The connection options that commands share."""

from __future__ import annotations

from dataclasses import dataclass

import click

from saddlestack.client import Client

DEFAULT_VM = "127.0.0.1:7080"


@dataclass(frozen=True, slots=True)
class Connection:
    """Addresses of entry VMs and the bearer token.

    :param vms: ``IP:PORT`` texts; :data:`DEFAULT_VM` is used if there are none.
    """

    vms: tuple[str, ...]
    token: str | None

    def client(self) -> Client:
        """Create a client for these VMs.

        :raises click.BadParameter: an address is not ``IP:PORT``.
        """
        return Client([parse_vm(vm) for vm in self.vms or (DEFAULT_VM,)], self.token)


def parse_vm(text: str) -> tuple[str, int]:
    """Parse ``IP:PORT``.

    :raises click.BadParameter: the text has another form.
    """
    address, _, port = text.rpartition(":")
    if not address or not port.isdigit():
        raise click.BadParameter(f"expected IP:PORT, got {text!r}")
    return address, int(port)


pass_connection = click.make_pass_decorator(Connection)
json_option = click.option("--json", "as_json_", is_flag=True, help="Print JSON.")
