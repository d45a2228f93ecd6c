"""The command ``saddlestack``: its global options and its subcommands."""

from __future__ import annotations

import click

from saddlestack import __version__
from saddlestack.cli import (
    crashes,
    entry,
    explain,
    jobs,
    operators,
    running,
    simulations,
    standstills,
    why,
    workers,
)
from saddlestack.cli.connection import Connection


@click.group(context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 100})
@click.version_option(__version__)
@click.option(
    "--vm",
    "vms",
    multiple=True,
    metavar="IP:PORT",
    envvar="SADDLESTACK_VM",
    help="An entry VM or the balancer; may be given more than once.",
)
@click.option(
    "--token", envvar="SADDLESTACK_TOKEN", help="Bearer token of a caller or an operator."
)
@click.pass_context
def main(context: click.Context, vms: tuple[str, ...], token: str | None) -> None:
    """Schedule multi-accelerator jobs under client account guarantees.

    \b
    Callers:
      saddlestack submit replay-0412 16 --class bulk --checkpoint --wait 600
      saddlestack job show replay-0412
    Operators state an intent, get a plan and confirm it:
      saddlestack plan account set depots --guarantee 2x16@rack
      saddlestack confirm
    Run a demo without any set-up:
      saddlestack demo

    VM and token also come from SADDLESTACK_VM and SADDLESTACK_TOKEN. Exit codes: 0 done or
    under way, 1 failed, 2 invalid input, 3 refused, 4 conflict, 5 not available now, 6 not
    known whether it ran. Shell completion: `_SADDLESTACK_COMPLETE=bash_source saddlestack`.
    """
    context.obj = Connection(vms, token)


main.add_command(jobs.submit)
main.add_command(jobs.job)
main.add_command(operators.plan)
main.add_command(operators.confirm)
main.add_command(operators.account)
main.add_command(operators.status)
main.add_command(operators.audit)
main.add_command(operators.vm)
main.add_command(running.daemon)
main.add_command(entry.entry)
main.add_command(entry.soak)
main.add_command(explain.explain)
main.add_command(why.why)
main.add_command(standstills.standstills)
main.add_command(crashes.suspects_command)
main.add_command(workers.workers)
main.add_command(running.settings)
main.add_command(running.standin)
main.add_command(simulations.demo)
main.add_command(simulations.replay)
main.add_command(simulations.scenario)
main.add_command(simulations.trace)


if __name__ == "__main__":
    main()
