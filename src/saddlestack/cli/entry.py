"""Runs an entry VM on the platform's machines."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click

from saddlestack import logs
from saddlestack.cli.output import errors_to_exit_codes
from saddlestack.control.entry import serve
from saddlestack.control.settings import load


def main(path: Path) -> None:
    """Run an entry VM until it is told to stop.

    :param path: its settings, JSON with comments.
    :raises SaddlestackError: settings that are wrong, with each fault and its place.
    """
    settings = load(path)
    handler = logs.configure(logs.level_of(settings.log_level), settings.vm)
    try:
        asyncio.run(serve(settings, path))
    finally:
        handler.close()


@click.command()
@click.option(
    "--settings",
    "path",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="JSON with comments; deploy/settings.template shows every key.",
)
@click.option("--check", is_flag=True, help="Only check the settings, whole.")
@errors_to_exit_codes
def entry(path: Path, check: bool) -> None:
    """Run one entry VM on the platform's machines. SIGTERM drains it."""
    if check:
        settings = load(path)
        click.echo(f"{path}: settings of VM {settings.vm}: good")
        return
    main(path)


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seeds", type=int, default=1, show_default=True, help="How many, from --seed on.")
@click.option("--seconds", type=float, default=15.0, show_default=True, help="Of faults, a seed.")
@click.option("--entries", type=int, default=4, show_default=True)
@click.option("--workers", type=int, default=6, show_default=True)
@errors_to_exit_codes
def soak(seed: int, seeds: int, seconds: float, entries: int, workers: int) -> None:
    """Run real processes on stand-ins, with faults drawn by seed; exit 1 where a promise broke."""
    from saddlestack.soak.run import SoakPlan, run

    broken = False
    for each in range(seed, seed + seeds):
        verdict = asyncio.run(run(SoakPlan(each, seconds, entries, workers)))
        click.echo(
            f"seed {each}: {verdict.jobs} jobs, {verdict.accepted} accepted, "
            f"{len(verdict.faults)} faults, {len(verdict.broken)} promises broken"
        )
        for sentence in verdict.broken:
            click.echo(f"  {sentence}")
        if verdict.logs is not None:
            click.echo(f"  logs: {verdict.logs}; faults: {', '.join(verdict.faults)}")
            broken = True
    if broken:
        raise SystemExit(1)
