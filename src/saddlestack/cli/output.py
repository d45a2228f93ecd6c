"""Output of the commands: tables for people, JSON for programs, errors and exit codes."""

from __future__ import annotations

import functools
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path
from typing import ParamSpec, TypeVar

import click
import msgspec

from saddlestack.errors import EXIT_FAILED, TABLE, ErrorKind, SaddlestackError
from saddlestack.models import JobState, JobView

P = ParamSpec("P")
R = TypeVar("R")


log_files = click.argument(
    "files",
    nargs=-1,
    required=True,
    metavar="FILE...",
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
)
"""The argument for the log files that a command reads."""


def table(headings: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows under headings in aligned columns."""
    texts = [[str(cell) for cell in row] for row in rows]
    widths = [
        max([len(heading), *(len(row[i]) for row in texts)]) for i, heading in enumerate(headings)
    ]
    click.echo("  ".join(h.ljust(w) for h, w in zip(headings, widths, strict=True)).rstrip())
    for row in texts:
        click.echo("  ".join(c.ljust(w) for c, w in zip(row, widths, strict=True)).rstrip())


def as_json(value: object) -> None:
    """Print a model as JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value), indent=2).decode())


def moment(wall: float | None) -> str:
    """Format a wall-clock time in local time; ``-`` for ``None``."""
    if wall is None:
        return "-"
    return time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(wall))


def errors_to_exit_codes(command: Callable[P, R]) -> Callable[P, R]:
    """Decorate a command to print each :class:`SaddlestackError` and exit with its code."""

    @functools.wraps(command)
    def wrapped(*args: P.args, **kwargs: P.kwargs) -> R:
        try:
            return command(*args, **kwargs)
        except SaddlestackError as error:
            click.echo(f"error: {error}", err=True)
            click.echo(f"kind: {error.kind.value}; ran: {error.rule.ran.value}", err=True)
            if error.retry_after is not None:
                click.echo(f"try again in {error.retry_after:g} s", err=True)
            raise SystemExit(error.rule.exit_code) from None

    return wrapped


def job_exit_code(view: JobView) -> int:
    """Return the exit code for a job's state; 0 while the job may still succeed."""
    if view.state is JobState.DONE or not view.state.final:
        return 0
    if view.error is None:
        return EXIT_FAILED
    return TABLE[ErrorKind(view.error)].exit_code


def show_job(view: JobView) -> None:
    """Print one job for people."""
    rows = [
        ("job", f"{view.account}/{view.request}"),
        ("state", view.state.value + ("" if view.durable else " (not durable yet)")),
        ("class", view.job_class.value),
        ("accelerators", view.accelerators),
        ("attempt", view.attempt),
        ("cell", view.cell),
        ("where", where(view)),
        ("submitted", moment(view.submitted)),
        ("started", moment(view.started)),
        ("finished", moment(view.finished)),
    ]
    if view.message:
        rows.append(("message", view.message))
    if view.answer is not None:
        rows.append(("answer", view.answer.output))
    for name, value in rows:
        click.echo(f"{name:13} {value}")


def where(view: JobView) -> str:
    """Format the parts of a gang as ``VM:ACCELERATORS``."""
    return ", ".join(f"{part.vm}:{part.accelerators}" for part in view.parts) or "-"


def show_jobs(views: Iterable[JobView]) -> None:
    """Print jobs as a table."""
    table(
        ("JOB", "CLASS", "ACCELERATORS", "STATE", "ATTEMPT", "WHERE"),
        (
            (
                f"{view.account}/{view.request}",
                view.job_class.value,
                view.accelerators,
                view.state.value,
                view.attempt,
                where(view),
            )
            for view in views
        ),
    )
