"""Tasks under which workers crashed, and runs that were lost with these workers, from the logs."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path

import click

from saddlestack.cli.loglines import LogLine, read
from saddlestack.cli.output import errors_to_exit_codes, log_files, table

SUSPECT = "crash_suspect"
CLEARED = "crash_cleared"
GIVEN_UP = "crash_given_up"
RUN_OVER = "run_over"
MAX_LOST_TASKS_SHOWN = 8
"""The maximum number of lost tasks that are named for one crash."""


@dataclass(slots=True)
class Suspect:
    """A task under which workers crashed.

    :param state: its last logged state: ``suspect``, ``cleared`` or ``given_up``.
    :param lines: the log line with the finding for each crash.
    """

    task: str
    state: str = ""
    lines: list[LogLine] = field(default_factory=list)


def suspects(lines: Sequence[LogLine]) -> dict[str, Suspect]:
    """Find all tasks under which workers crashed, by name, in the order of their first crash."""
    found: dict[str, Suspect] = {}
    for line in lines:
        if line.event not in {SUSPECT, CLEARED, GIVEN_UP}:
            continue
        suspect = found.setdefault(line.task, Suspect(line.task))
        suspect.state = line.event.removeprefix("crash_")
        if line.event != CLEARED:
            suspect.lines.append(line)
    return found


def culprits(lines: Sequence[LogLine]) -> set[str]:
    """Return the tasks that were given up because workers crash under them."""
    return {line.task for line in lines if line.event == GIVEN_UP}


def crashed_workers(lines: Sequence[LogLine], tasks: set[str]) -> set[str]:
    """Return the incarnations of workers that crashed under the given tasks."""
    return {
        line.worker for line in lines if line.task in tasks and line.event in {SUSPECT, GIVEN_UP}
    }


def lost_with_worker(lines: Sequence[LogLine], crash: LogLine) -> list[str]:
    """Return the other tasks whose runs were lost with the worker of a crash."""
    return [
        line.task
        for line in lines
        if line.event == RUN_OVER and line.worker == crash.worker and line.task != crash.task
    ]


def describe(crash: LogLine, lines: Sequence[LogLine]) -> str:
    """Describe a log line about a task under which a worker crashed, in one sentence."""
    if crash.event == CLEARED:
        return f"{crash.task} counts as not at fault from {crash.time} on"
    what = f"{crash.task} was given up" if crash.event == GIVEN_UP else f"{crash.task} is a suspect"
    count = f"{crash.crashes} workers crashed under it, odds {crash.odds:.3g} to 1"
    if not crash.worker:
        return f"{what} at {crash.time}: {count}; it has no starts left"
    others = lost_with_worker(lines, crash)
    named = ", ".join(others[:MAX_LOST_TASKS_SHOWN])
    more = (
        f" and {len(others) - MAX_LOST_TASKS_SHOWN} more"
        if len(others) > MAX_LOST_TASKS_SHOWN
        else ""
    )
    beside = f"beside it died {named}{more}" if others else "nothing died beside it"
    end = "stopped answering" if crash.unheard else "crashed"
    return f"{what} at {crash.time}: {crash.worker} {end} ({count}); {beside}"


@click.command("suspects")
@log_files
@errors_to_exit_codes
def suspects_command(files: tuple[Path, ...]) -> None:
    """List the tasks under which workers crashed, from the log FILEs of all VMs.

    `saddlestack job clear` declares such a job not at fault, `saddlestack job cancel` gives it up.
    """
    lines = read(files)
    found = suspects(lines)
    if not found:
        click.echo("the logs show no worker that crashed under a task")
        return
    rows = [
        [
            each.task,
            each.state,
            str(len(each.lines)),
            _odds(each),
            str(_lost_task_count(each, lines)),
        ]
        for each in found.values()
    ]
    table(["TASK", "STATE", "CRASHES", "ODDS", "DIED BESIDE"], rows)


def _odds(suspect: Suspect) -> str:
    return f"{suspect.lines[-1].odds:.3g}" if suspect.lines else ""


def _lost_task_count(suspect: Suspect, lines: Sequence[LogLine]) -> int:
    return sum(len(lost_with_worker(lines, crash)) for crash in suspect.lines)
