"""The command `saddlestack workers`: how fast each worker is, from the logs of all VMs."""

from __future__ import annotations

from pathlib import Path

import click

from saddlestack.cli.loglines import LogLine, read
from saddlestack.cli.output import errors_to_exit_codes, log_files, table
from saddlestack.cli.workerspeeds import SLOW_FACTOR, WORKER_SPEED, WorkerSpeeds, is_slow
from saddlestack.errors import EXIT_FAILED

HEADINGS = ("WORKER", "MACHINE", "FACTOR", "CONFIDENCE", "EVIDENCE", "AGE", "LOGGED")


@click.command()
@log_files
@click.option("--slow", is_flag=True, help=f"Only workers with a factor above {SLOW_FACTOR:g}.")
@errors_to_exit_codes
def workers(files: tuple[Path, ...], slow: bool) -> None:
    """List how long work takes on each worker, from the log FILEs of all VMs.

    Each row shows the last line about a worker, the slowest worker first. Factor 1 is a usual
    worker, factor 2 takes twice as long for the same work. The age is that of the evidence, in
    seconds, at the time of the line.
    """
    speeds = WorkerSpeeds(read(files))
    if not speeds:
        click.echo(f"the logs have no line {WORKER_SPEED}", err=True)
        raise SystemExit(EXIT_FAILED)
    found = [line for line in speeds.latest() if not slow or is_slow(line.factor)]
    if found:
        table(HEADINGS, map(_row, found))
    else:
        click.echo(f"no worker has a factor above {SLOW_FACTOR:g}")
    if speeds.left_out:
        click.echo(f"{speeds.left_out} lines were left out of the logs: rows may be out of date")


def _row(line: LogLine) -> list[str]:
    return [
        line.worker,
        line.machine or "-",
        f"{line.factor:.2f}",
        f"{line.confidence:.2f}",
        f"{line.evidence:g}",
        f"{line.age_s:.1f}",
        line.time,
    ]
