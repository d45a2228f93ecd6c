"""Commands for operators: plan and confirm changes, and show the state of the cluster."""

from __future__ import annotations

import secrets
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from saddlestack.cli.connection import Connection, json_option, pass_connection
from saddlestack.cli.output import as_json, errors_to_exit_codes, moment, table
from saddlestack.codec import from_json, read_json_with_comments, to_json
from saddlestack.errors import EXIT_REFUSED, TABLE, ErrorKind
from saddlestack.models import Account, Confirmation, Intent, Limits, Plan, Weights
from saddlestack.services.access import hash_token
from saddlestack.shapes import parse_guarantee

DEFAULT_PLAN = Path("plan.json")
TOKEN_BYTES = 24

save_option = click.option(
    "--save",
    type=click.Path(dir_okay=False, path_type=Path),
    default=DEFAULT_PLAN,
    show_default=True,
    help="File in which to save the plan for `saddlestack confirm`.",
)


def plan_command(command: Callable[..., Any]) -> Callable[..., Any]:
    """Decorate a command that makes a plan with its options and error handling."""
    for decorate in (errors_to_exit_codes, pass_connection, json_option, save_option):
        command = decorate(command)
    return command


@click.group()
def plan() -> None:
    """State an intent and show what it would change. Nothing is changed yet.

    \b
    Examples:
      saddlestack plan file intent.json
      saddlestack plan account set depots --guarantee 2x16@rack --new-token
      saddlestack plan weights --completion 0.7 --fragmentation 0.3
      saddlestack plan drain ee-u-04
    """


@plan.command("file")
@click.argument("path", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@plan_command
def plan_file(connection: Connection, path: Path, save: Path, as_json_: bool) -> None:
    """Plan an intent written in JSON with comments: data_halls, accounts, weights, spare."""
    _make_plan(connection, read_json_with_comments(path, Intent), save, as_json_)


@plan.group("account")
def plan_account() -> None:
    """Plan changes to client accounts."""


@plan_account.command("set")
@click.argument("name")
@click.option(
    "--guarantee",
    "guarantees",
    multiple=True,
    metavar="COUNTxN@worker|rack|hall",
    help="A guaranteed shape, such as 2x16@rack; may be given more than once.",
)
@click.option(
    "--queued", type=int, default=1000, show_default=True, help="Maximum number of waiting jobs."
)
@click.option(
    "--rate", type=float, default=500.0, show_default=True, help="Submissions per second."
)
@click.option("--new-token", is_flag=True, help="Create a token and print it once.")
@plan_command
def plan_account_set(
    connection: Connection,
    name: str,
    guarantees: tuple[str, ...],
    queued: int,
    rate: float,
    new_token: bool,
    save: Path,
    as_json_: bool,
) -> None:
    """Create the account NAME, or replace its guarantees and limits."""
    tokens: tuple[str, ...] = ()
    if new_token:
        token = secrets.token_urlsafe(TOKEN_BYTES)
        tokens = (hash_token(token),)
        click.echo(f"token of {name}, shown only now: {token}", err=True)
    account_ = Account(
        name=name,
        guarantees=tuple(parse_guarantee(text) for text in guarantees),
        limits=Limits(queued=queued, rate=rate),
        tokens=tokens,
    )
    _make_plan(connection, Intent(accounts=(account_,)), save, as_json_)


@plan_account.command("remove")
@click.argument("name")
@plan_command
def plan_account_remove(connection: Connection, name: str, save: Path, as_json_: bool) -> None:
    """Remove the account NAME; its running work continues on borrowed capacity."""
    _make_plan(connection, Intent(remove_accounts=(name,)), save, as_json_)


@plan.command("weights")
@click.option("--completion", type=float, required=True)
@click.option("--fragmentation", type=float, required=True)
@plan_command
def plan_weights(
    connection: Connection, completion: float, fragmentation: float, save: Path, as_json_: bool
) -> None:
    """Plan the weights of completion time and fragmentation."""
    weights = Weights(completion=completion, fragmentation=fragmentation)
    _make_plan(connection, Intent(weights=weights), save, as_json_)


@plan.command("spare")
@click.argument("workers", type=click.IntRange(0, 16))
@plan_command
def plan_spare(connection: Connection, workers: int, save: Path, as_json_: bool) -> None:
    """Plan how many workers a cell may lose while all guarantees still fit."""
    _make_plan(connection, Intent(spare=workers), save, as_json_)


@plan.command("drain")
@click.argument("vms", nargs=-1, required=True)
@plan_command
def plan_drain(connection: Connection, vms: tuple[str, ...], save: Path, as_json_: bool) -> None:
    """Plan that VMS receive no new work."""
    _make_plan(connection, Intent(drain=vms), save, as_json_)


@plan.command("undrain")
@click.argument("vms", nargs=-1, required=True)
@plan_command
def plan_undrain(connection: Connection, vms: tuple[str, ...], save: Path, as_json_: bool) -> None:
    """Plan that VMS may receive work again."""
    _make_plan(connection, Intent(undrain=vms), save, as_json_)


@click.command()
@click.argument(
    "path",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    default=DEFAULT_PLAN,
)
@click.option(
    "--wait",
    type=click.FloatRange(0, 30),
    default=5.0,
    show_default=True,
    help="Seconds to wait until the plan is in force on all known VMs.",
)
@json_option
@pass_connection
@errors_to_exit_codes
def confirm(connection: Connection, path: Path, wait: float, as_json_: bool) -> None:
    """Apply the plan in PATH. An outdated plan is a conflict and changes nothing."""
    made = from_json(path.read_bytes(), Plan, str(path))
    with connection.client() as client:
        confirmation = client.confirm(made, wait=wait)
    _show_confirmation(confirmation, as_json_)


@click.group()
def account() -> None:
    """Show client accounts."""


@account.command("list")
@json_option
@pass_connection
@errors_to_exit_codes
def account_list(connection: Connection, as_json_: bool) -> None:
    """List client accounts and their guarantees."""
    with connection.client() as client:
        document = client.configuration()
    if as_json_:
        as_json([{"name": a.name, "guarantees": a.guarantees} for a in document.accounts])
        return
    table(
        ("ACCOUNT", "GUARANTEES", "CELLS", "QUEUED AT MOST"),
        (
            (
                a.name,
                ", ".join(f"{g.count}x{g.accelerators}@{g.adjacent}" for g in a.guarantees) or "-",
                ", ".join(sorted({s.cell for s in document.assignments if s.account == a.name}))
                or "-",
                a.limits.queued,
            )
            for a in document.accounts
        ),
    )


@click.command()
@json_option
@pass_connection
@errors_to_exit_codes
def status(connection: Connection, as_json_: bool) -> None:
    """Show cells, terms, queues, guarantees and VMs."""
    with connection.client() as client:
        body = client.status()
    if as_json_:
        as_json(body)
        return
    store = "answers" if body.store_available else "does not answer"
    click.echo(f"asked {body.vm}; configuration revision {body.revision}; the store {store}\n")
    table(
        ("CELL", "SCHEDULED BY", "TERM", "WORKERS", "FREE", "RUNNING", "WAITING"),
        (
            (
                cell.cell,
                cell.owner + (" (without the store)" if cell.interim else ""),
                cell.term,
                f"{cell.workers_up}/{cell.workers}",
                f"{cell.free}/{cell.capacity}",
                cell.running,
                ", ".join(f"{count} {kind}" for kind, count in cell.queued.items() if count) or "-",
            )
            for cell in body.cells
        ),
    )
    click.echo()
    table(
        ("ACCOUNT", "CELL", "GUARANTEED SHAPES", "IN USE", "THE REST FORMABLE NOW"),
        (
            (g.account, cell.cell, g.units, g.used, "yes" if g.formable else "NO")
            for cell in body.cells
            for g in cell.guarantees
        ),
    )
    click.echo()
    table(
        ("VM", "DATA HALL", "HEALTH", "REVISION", "CELLS"),
        (
            (vm.name, vm.data_hall, vm.health, vm.revision, ", ".join(vm.cells) or "-")
            for vm in body.vms
        ),
    )


@click.command()
@click.option("--limit", type=click.IntRange(1, 1000), default=20, show_default=True)
@json_option
@pass_connection
@errors_to_exit_codes
def audit(connection: Connection, limit: int, as_json_: bool) -> None:
    """Show changes and refusals, newest first: who, when, what."""
    with connection.client() as client:
        records = client.audit(limit=limit)
    if as_json_:
        as_json(records)
        return
    table(
        ("WHEN", "WHO", "VM", "PLAN", "REVISION", "OUTCOME", "WHAT"),
        (
            (
                moment(record.at),
                record.who,
                record.vm,
                record.plan,
                f"{record.base_revision} -> {record.revision}",
                record.outcome,
                "; ".join(record.changes) or record.message,
            )
            for record in records
        ),
    )


@click.group()
def vm() -> None:
    """Drain VMs and return them to work."""


@vm.command("drain")
@click.argument("name")
@click.option("--yes", is_flag=True, help="Confirm without asking.")
@json_option
@pass_connection
@errors_to_exit_codes
def vm_drain(connection: Connection, name: str, yes: bool, as_json_: bool) -> None:
    """Give NAME no new work: plan, show, ask, confirm.

    An endpoint finishes its running work. An entry VM hands over its cells, answers the requests
    under way and exits.
    """
    _plan_and_confirm(connection, Intent(drain=(name,)), yes, as_json_)


@vm.command("undrain")
@click.argument("name")
@click.option("--yes", is_flag=True, help="Confirm without asking.")
@json_option
@pass_connection
@errors_to_exit_codes
def vm_undrain(connection: Connection, name: str, yes: bool, as_json_: bool) -> None:
    """Allow NAME to receive work again."""
    _plan_and_confirm(connection, Intent(undrain=(name,)), yes, as_json_)


def _plan_and_confirm(connection: Connection, intent: Intent, yes: bool, as_json_: bool) -> None:
    with connection.client() as client:
        made = client.plan(intent)
        if not as_json_:
            _show_plan(made)
        if not yes:
            click.confirm("Confirm this plan?", abort=True)
        confirmation = client.confirm(made, wait=5.0)
    _show_confirmation(confirmation, as_json_)


def _make_plan(connection: Connection, intent: Intent, save: Path, as_json_: bool) -> None:
    with connection.client() as client:
        made = client.plan(intent)
    save.write_bytes(to_json(made))
    if as_json_:
        as_json(made)
    else:
        _show_plan(made)
        if not made.refusals:
            click.echo(f"\nSaved in {save}. To apply it: saddlestack confirm {save}")
    if made.refusals:
        kind = ErrorKind(made.refusal_kind or ErrorKind.INVALID)
        raise SystemExit(TABLE[kind].exit_code or EXIT_REFUSED)


def _show_plan(made: Plan) -> None:
    click.echo(f"plan {made.plan} against revision {made.base_revision}")
    for change in made.changes or (() if made.refusals else ("nothing changes",)):
        click.echo(f"  changes   {change}")
    for reclaim in made.reclaims:
        click.echo(f"  reclaims  {reclaim}")
    for refusal in made.refusals:
        click.echo(f"  refused   {refusal}")


def _show_confirmation(confirmation: Confirmation, as_json_: bool) -> None:
    if as_json_:
        as_json(confirmation)
        return
    click.echo(f"revision {confirmation.revision} is accepted")
    for change in confirmation.changes:
        click.echo(f"  {change}")
    click.echo(f"in force on {len(confirmation.in_force)} VMs")
    if confirmation.behind:
        click.echo(f"not yet on {', '.join(confirmation.behind)}")
