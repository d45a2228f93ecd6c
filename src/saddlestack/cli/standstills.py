"""The command `saddlestack standstills`: jobs that stalled although the pool was mostly free."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from pathlib import Path

import click

from saddlestack.cli.loglines import LogLine, read
from saddlestack.cli.output import errors_to_exit_codes, log_files
from saddlestack.cli.stalled_jobs import ACCELERATORS, LoggedStall, StallReport, find_stalls
from saddlestack.policy.stall import FREE_CAPACITY_FACTOR, STALL_S


@click.command()
@log_files
@click.option(
    "--accelerators",
    type=click.IntRange(min=1),
    default=ACCELERATORS,
    show_default=True,
    help="Accelerators of each worker, which the logs do not show.",
)
@errors_to_exit_codes
def standstills(files: tuple[Path, ...], accelerators: int) -> None:
    """List the jobs that stalled, from the log FILEs of all VMs of one day.

    A job is stalled if none of its tasks runs for 3 s or more although one could run, there is
    free capacity for it twice over, and less than half of the accelerators are held. Only workers
    that ran something are known, each from the first line that names it to the last, with the most
    processors and memory that half of them held at one time.
    """
    for text in describe(find_stalls(read(files), accelerators)):
        click.echo(text)


def describe(found: StallReport) -> Iterator[str]:
    """Describe what was found, line by line."""
    for stall in found.stalls:
        yield _stall_row(stall)
    for line in found.reported:
        yield _reported_row(line)
    yield (
        f"{len(found.stalls)} times a job of {found.accepted} stood still for {STALL_S:g} s or "
        f"more with room for {FREE_CAPACITY_FACTOR} of it and under half of the pool held"
    )
    for after, count in Counter(stall.last_event for stall in found.stalls).most_common():
        yield f"{count:8}  after {after}"
    jobs = {line.job for line in found.reported}
    yield f"{len(found.reported)} times leaders told that a job stands still, {len(jobs)} jobs"
    for reason, count in Counter(line.reason for line in found.reported).most_common():
        yield f"{count:8}  {reason or 'no reason'}"
    room = found.worker_capacity
    yield (
        f"seen: {found.incarnations} lives of workers, taken to have {room.accelerators} "
        f"accelerators, {room.cpu} thousandths of a core and {room.memory_mb} MB each"
    )
    if found.missing_starts:
        yield (
            f"{found.missing_starts} runs ended whose start is not in the logs: results for "
            "their jobs may be wrong"
        )


def _stall_row(stall: LoggedStall) -> str:
    reasons = "; ".join(stall.reasons)
    return (
        f"{stall.since_s:.3f} {stall.job_id} stood still for {stall.duration_s:.2f} s after "
        f"{stall.last_event}, {stall.usage.used} of {stall.usage.total} accelerators held, "
        f"{stall.other_starts} runs of others started" + (f": {reasons}" if reasons else "")
    )


def _reported_row(line: LogLine) -> str:
    what = f"{line.vm} tells that {line.job} has stood still for {line.stood_s:.2f} s"
    ends = f", ends with {line.ends}" if line.ends else ""
    return f"{line.at_s:.3f} {what}: {line.reason}{ends}"
