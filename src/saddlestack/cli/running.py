"""Commands that run the daemon and the stand-ins, and check settings."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from pathlib import Path

import click

from saddlestack import logs
from saddlestack.cli.connection import parse_vm
from saddlestack.cli.output import errors_to_exit_codes
from saddlestack.settings import EXAMPLE, load, logging_level

path_argument = click.argument(
    "path", type=click.Path(dir_okay=False, path_type=Path), metavar="FILE"
)


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="JSON with comments; see `saddlestack settings example`.",
)
@errors_to_exit_codes
def daemon(path: Path) -> None:
    """Run the daemon of one entry VM. SIGTERM drains it: requests under way are completed."""
    from saddlestack.daemon import serve

    settings_ = load(path)
    logs.configure(logging_level(settings_), settings_.vm)
    asyncio.run(serve(settings_))


@click.group()
def settings() -> None:
    """Check settings, or print an example."""


@settings.command()
@path_argument
@errors_to_exit_codes
def check(path: Path) -> None:
    """Check all of FILE and print each fault with its line or key path and what was expected."""
    settings_ = load(path)
    click.echo(f"{path}: settings of VM {settings_.vm} in data hall {settings_.data_hall}: good")


@settings.command()
def example() -> None:
    """Print commented, complete settings."""
    click.echo(EXAMPLE, nl=False)


listen_option = click.option("--listen", required=True, metavar="IP:PORT")


@click.group()
def standin() -> None:
    """Run a stand-in for an external system, for trials only: it stores nothing durably."""


@standin.command()
@listen_option
def store(listen: str) -> None:
    """Stand in for the platform's key-value store. POST /v1/faults injects faults."""
    from saddlestack.standins.store import StandinStore

    address, port = parse_vm(listen)
    asyncio.run(_serve(lambda: StandinStore().start(address, port), f"store on {listen}"))


@standin.command()
@listen_option
@click.option("--lag", type=float, default=1.0, help="Seconds until a change becomes visible.")
def vms(listen: str, lag: float) -> None:
    """Stand in for the platform's list of VMs. PUT and DELETE /v1/vms change it."""
    from saddlestack.standins.vms import StandinVms

    address, port = parse_vm(listen)
    asyncio.run(_serve(lambda: StandinVms(lag).start(address, port), f"VM list on {listen}"))


@standin.command()
@listen_option
@click.option("--name", required=True, help="As in the VM list, such as ee-u-01.")
@click.option("--accelerators", type=int, default=8, show_default=True)
@click.option("--slots", type=int, default=8, show_default=True)
def endpoint(listen: str, name: str, accelerators: int, slots: int) -> None:
    """Stand in for an endpoint. POST /v1/faults injects faults, POST /v1/leave makes it leave."""
    from saddlestack.standins.endpoint import StandinEndpoint

    address, port = parse_vm(listen)
    asyncio.run(
        _serve(
            lambda: StandinEndpoint(name, accelerators, slots).start(address, port),
            f"endpoint {name} on {listen}",
        )
    )


async def _serve(start: Callable[[], Awaitable[None]], what: str) -> None:
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        asyncio.get_running_loop().add_signal_handler(number, stop.set)
    await start()
    click.echo(f"{what}: serving", err=True)
    await stop.wait()
