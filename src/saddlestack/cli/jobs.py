"""Commands for callers: submit, show, list, cancel and clear jobs."""

from __future__ import annotations

import click

from saddlestack.cli.connection import Connection, json_option, pass_connection
from saddlestack.cli.output import (
    as_json,
    errors_to_exit_codes,
    job_exit_code,
    show_job,
    show_jobs,
)
from saddlestack.models import Adjacency, JobClass, JobView

account_option = click.option(
    "--account", help="The client account; operators name one, callers need not."
)
wait_option = click.option(
    "--wait", type=click.FloatRange(0, 600), default=0.0, help="Seconds to wait for the end."
)


@click.command()
@click.argument("request")
@click.argument("accelerators", type=click.IntRange(1, 256))
@click.option(
    "--class",
    "job_class",
    type=click.Choice([kind.value for kind in JobClass]),
    default=JobClass.NORMAL.value,
    show_default=True,
    help="How soon the job must start.",
)
@click.option(
    "--adjacent",
    type=click.Choice([kind.value for kind in Adjacency]),
    help="How close together the accelerators must be. [default: the narrowest that fits]",
)
@click.option("--run-once", is_flag=True, help="Never start the job a second time.")
@click.option("--checkpoint", is_flag=True, help="The job can save its work and resume elsewhere.")
@click.option("--estimate", type=float, default=60.0, help="Expected running time, seconds.")
@click.option("--deadline", type=float, help="Seconds after which the job must not start any more.")
@click.option("--payload", default="", help="Passed to the job; @FILE reads a file.")
@account_option
@wait_option
@json_option
@pass_connection
@errors_to_exit_codes
def submit(
    connection: Connection,
    request: str,
    accelerators: int,
    job_class: str,
    adjacent: str | None,
    run_once: bool,
    checkpoint: bool,
    estimate: float,
    deadline: float | None,
    payload: str,
    account: str | None,
    wait: float,
    as_json_: bool,
) -> None:
    """Submit a job of ACCELERATORS under the name REQUEST.

    The same REQUEST never runs twice: a repeated submission returns the job of the first one.

    \b
    Examples:
      saddlestack submit check-17 1 --class urgent --wait 30
      saddlestack submit splits-friday 16 --adjacent rack --run-once --wait 600
    """
    if payload.startswith("@"):
        with click.open_file(payload[1:], encoding="utf-8") as file:
            payload = file.read()
    with connection.client() as client:
        view = client.submit(
            request,
            accelerators,
            job_class=job_class,
            adjacent=adjacent,
            run_once=run_once,
            checkpoint=checkpoint,
            estimate=estimate,
            deadline=deadline,
            payload=payload,
            account=account,
            wait=wait,
        )
    _finish(view, as_json_)


@click.group()
def job() -> None:
    """Show, list, cancel and clear jobs."""


@job.command()
@click.argument("request")
@account_option
@wait_option
@json_option
@pass_connection
@errors_to_exit_codes
def show(
    connection: Connection, request: str, account: str | None, wait: float, as_json_: bool
) -> None:
    """Show one job.

    \b
    Example:
      saddlestack job show splits-friday --wait 60
    """
    with connection.client() as client:
        view = client.job(request, account=account, wait=wait)
    _finish(view, as_json_)


@job.command("list")
@account_option
@click.option("--limit", type=click.IntRange(1, 1000), default=50, show_default=True)
@json_option
@pass_connection
@errors_to_exit_codes
def list_(connection: Connection, account: str | None, limit: int, as_json_: bool) -> None:
    """List jobs, newest first."""
    with connection.client() as client:
        views = client.jobs(account=account, limit=limit)
    if as_json_:
        as_json(views)
    else:
        show_jobs(views)


@job.command()
@click.argument("request")
@account_option
@json_option
@pass_connection
@errors_to_exit_codes
def cancel(connection: Connection, request: str, account: str | None, as_json_: bool) -> None:
    """Cancel a job. Tasks that have started may have run in part."""
    with connection.client() as client:
        view = client.cancel(request, account=account)
    _show(view, as_json_)


@job.command()
@click.argument("request")
@account_option
@json_option
@pass_connection
@errors_to_exit_codes
def clear(connection: Connection, request: str, account: str | None, as_json_: bool) -> None:
    """Declare a job not at fault though workers crashed under it: its tasks start as any others.

    Each start still counts towards its limit. To give such a job up, cancel it.
    """
    with connection.client() as client:
        view = client.clear(request, account=account)
    _show(view, as_json_)


def _show(view: JobView, as_json_: bool) -> None:
    if as_json_:
        as_json(view)
    else:
        show_job(view)


def _finish(view: JobView, as_json_: bool) -> None:
    _show(view, as_json_)
    raise SystemExit(job_exit_code(view))
