"""Commands that run an entry VM on the platform's machines, and the soak test."""

from __future__ import annotations

import asyncio
from pathlib import Path

import click
import msgspec

from saddlestack import logs
from saddlestack.cli.output import errors_to_exit_codes
from saddlestack.control.entry import serve
from saddlestack.control.settings import load

MAX_BROKEN_SHOWN = 20
"""The maximum number of broken promises that are printed for one seed of a soak."""


def main(path: Path) -> None:
    """Run an entry VM until it receives a signal to stop.

    :param path: its settings, JSON with comments.
    :raises SaddlestackError: the settings are invalid; names each fault and its place.
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
@click.option("--check", is_flag=True, help="Only check all settings.")
@errors_to_exit_codes
def entry(path: Path, check: bool) -> None:
    """Run one entry VM on the platform's machines. SIGTERM drains it."""
    if check:
        settings = load(path)
        click.echo(f"{path}: settings of VM {settings.vm}: good")
        return
    main(path)


@click.command()
@click.option(
    "--shape",
    "shape_path",
    type=click.Path(dir_okay=False, path_type=Path),
    required=True,
    help="The deployment and its load, JSON with comments; deploy/soak/ has examples.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seeds", type=int, default=1, show_default=True, help="Number of seeds.")
@click.option("--seconds", type=float, default=30.0, show_default=True, help="Seconds of faults.")
@click.option("--calm", type=float, default=0.0, help="Seconds of load before the first fault.")
@click.option(
    "--report",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Write a JSON report, and a text next to it; one of each for every seed.",
)
@click.option(
    "--program-src",
    type=click.Path(exists=True, file_okay=False, path_type=Path),
    help="Sources that the entry VMs run instead of these.",
)
@click.option(
    "--unequal",
    type=click.FloatRange(0, 1),
    help="Share of slow workers, in place of that of the shape.",
)
@click.option(
    "--factor",
    type=click.FloatRange(1),
    help="How much longer work takes on slow workers, in place of that of the shape.",
)
@click.option(
    "--options",
    default="",
    help="Scheduling parts to switch on, with commas: worker_speeds, gang_priority, "
    "demand_forecast.",
)
@click.option(
    "--configure",
    is_flag=True,
    help="Change the configuration in series, if the shape does not.",
)
@click.option("--keep-logs", is_flag=True, help="Keep the logs even if no promise broke.")
@errors_to_exit_codes
def soak(
    shape_path: Path,
    seed: int,
    seeds: int,
    seconds: float,
    calm: float,
    report: Path | None,
    program_src: Path | None,
    unequal: float | None,
    factor: float | None,
    options: str,
    configure: bool,
    keep_logs: bool,
) -> None:
    """Run real processes on stand-ins with seeded random faults; exit 1 if a promise broke."""
    from saddlestack.soak.processes import Program
    from saddlestack.soak.run import SoakPlan, run
    from saddlestack.soak.shape import CONFIGURATION_CHANGES, scheduling_with
    from saddlestack.soak.shape import load as load_shape

    shape = load_shape(shape_path).with_unequal_workers(unequal, factor)
    if configure and shape.configuration is None:
        shape = msgspec.structs.replace(shape, configuration=CONFIGURATION_CHANGES)
    if options:
        shape = msgspec.structs.replace(shape, scheduling=scheduling_with(options))
    program = Program() if program_src is None else Program(program_src.resolve())
    good = True
    for each in range(seed, seed + seeds):
        found = asyncio.run(run(SoakPlan(shape, each, seconds, calm, program, keep_logs)))
        if report is not None:
            found.write(report if seeds == 1 else report.with_stem(f"{report.stem}-{each}"))
        click.echo(found.summary())
        for broken in found.broken[:MAX_BROKEN_SHOWN]:
            click.echo(f"  {broken.text}")
        if len(found.broken) > MAX_BROKEN_SHOWN:
            click.echo(f"  and {len(found.broken) - MAX_BROKEN_SHOWN} more, in the report")
        for trouble in found.troubled:
            click.echo(f"  unsound: {trouble}")
        if found.logs:
            click.echo(f"  logs: {found.logs}")
        good = good and found.good
    if not good:
        raise SystemExit(1)
