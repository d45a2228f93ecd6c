"""The command `saddlestack why`: the causes of late jobs and the worth lost to each cause."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from pathlib import Path

import click

from saddlestack.cli.loglines import read
from saddlestack.cli.missed_objectives import Cause, MissedObjective, find_missed_objectives
from saddlestack.cli.output import errors_to_exit_codes, log_files
from saddlestack.cli.stops import StopCosts, describe, stop_costs


@dataclass(frozen=True, slots=True)
class Worth:
    """The worth of a job of mean size.

    :param on_time: if it is done within its objective.
    :param late: if it takes up to three times its objective.
    """

    on_time: float = 1.0
    late: float = 0.0

    def lost_worth(self, missed: MissedObjective) -> float:
        """Return the worth lost by a job that is late or not done."""
        kept = 0.0 if missed.late_s is None else self.late
        return missed.size * (self.on_time - kept)


def worth_by_priority(texts: Iterable[str]) -> dict[int, Worth]:
    """Parse texts such as ``0=4,0.8``: priority, worth on time, worth if late.

    :raises click.BadParameter: a text has another form.
    """
    found: dict[int, Worth] = {}
    for text in texts:
        priority, _, rest = text.partition("=")
        full, _, late = rest.partition(",")
        try:
            found[int(priority)] = Worth(float(full), float(late or 0.0))
        except ValueError:
            expected = "expected PRIORITY=WORTH or PRIORITY=WORTH,LATE such as 0=4,0.8"
            raise click.BadParameter(f"{expected}, got {text!r}") from None
    return found


@click.command()
@log_files
@click.option("--each", is_flag=True, help="Also print each job.")
@click.option(
    "--worth",
    "worths",
    multiple=True,
    metavar="PRIORITY=WORTH[,LATE]",
    help="Worth of a job of mean size on time, and late. [default: 1 and 0]",
)
@click.option("--stops", "with_stops", is_flag=True, help="Also print what stops of runs cost.")
@errors_to_exit_codes
def why(files: tuple[Path, ...], each: bool, worths: tuple[str, ...], with_stops: bool) -> None:
    """Explain why jobs were late or not done.

    Each FILE holds the logs of all VMs for one period of time; sums are over all FILEs.
    """
    worth = worth_by_priority(worths)
    found: list[tuple[Path, MissedObjective]] = []
    stopped = StopCosts()
    for file in files:
        lines = read([file])
        found += [(file, missed) for missed in find_missed_objectives(lines)]
        stopped.add(stop_costs(lines))
    if each:
        for file, missed in found:
            click.echo(_row(file, missed))
    _print_causes([missed for _, missed in found], worth)
    if with_stops:
        for text in describe(stopped):
            click.echo(text)


def _print_causes(found: list[MissedObjective], worth: dict[int, Worth]) -> None:
    late = Counter((missed.cause, missed.priority) for missed in found if missed.late_s is not None)
    never = Counter((missed.cause, missed.priority) for missed in found if missed.late_s is None)
    lost_worth: dict[tuple[Cause, int], float] = defaultdict(float)
    for missed in found:
        lost_worth[missed.cause, missed.priority] += worth.get(missed.priority, Worth()).lost_worth(
            missed
        )
    click.echo(f"{'priority':>8} {'late':>6} {'not done':>9} {'worth':>8}  cause")
    for key in sorted(lost_worth, key=lambda each: -lost_worth[each]):
        cause, priority = key
        click.echo(
            f"{priority:8} {late[key]:6} {never[key]:9} {lost_worth[key]:8.1f}  {cause.value}"
        )


def _row(file: Path, missed: MissedObjective) -> str:
    late = "not done" if missed.late_s is None else f"{missed.late_s:6.2f} s late"
    return (
        f"{file.stem} {missed.at_s:9.3f} {missed.job_id} {missed.priority} {late}: "
        f"{missed.cause.value}"
    )
