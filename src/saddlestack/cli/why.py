"""The command `saddlestack why`: what made jobs late and what that cost, summed by cause."""

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
    """What a job of mean size earns.

    :param full: in time.
    :param late: up to three times its objective.
    """

    full: float = 1.0
    late: float = 0.0

    def lost(self, loss: MissedObjective) -> float:
        """What a late job, or one that is not done, did not earn."""
        kept = 0.0 if loss.late_s is None else self.late
        return loss.size * (self.full - kept)


def worth_by_priority(texts: Iterable[str]) -> dict[int, Worth]:
    """The worth that texts such as ``0=4,0.8`` tell: priority, in time, late.

    :raises click.BadParameter: a text tells none.
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
@click.option("--each", is_flag=True, help="Tell of each job besides the sums.")
@click.option(
    "--worth",
    "worths",
    multiple=True,
    metavar="PRIORITY=WORTH[,LATE]",
    help="What a job of mean size earns in time, and late; 1 and 0 where not told.",
)
@click.option("--stops", "with_stops", is_flag=True, help="Tell what stops of runs cost, and whom.")
@errors_to_exit_codes
def why(files: tuple[Path, ...], each: bool, worths: tuple[str, ...], with_stops: bool) -> None:
    """Tell why jobs were late or not done.

    Each FILE holds the logs of all VMs for one stretch of time; sums go over all FILEs.
    """
    worth = worth_by_priority(worths)
    found: list[tuple[Path, MissedObjective]] = []
    stopped = StopCosts()
    for file in files:
        lines = read([file])
        found += [(file, loss) for loss in find_missed_objectives(lines)]
        stopped.add(stop_costs(lines))
    if each:
        for file, loss in found:
            click.echo(_row(file, loss))
    _tell_causes([loss for _, loss in found], worth)
    if with_stops:
        for text in describe(stopped):
            click.echo(text)


def _tell_causes(found: list[MissedObjective], worth: dict[int, Worth]) -> None:
    late = Counter((loss.cause, loss.priority) for loss in found if loss.late_s is not None)
    never = Counter((loss.cause, loss.priority) for loss in found if loss.late_s is None)
    lost: dict[tuple[Cause, int], float] = defaultdict(float)
    for loss in found:
        lost[loss.cause, loss.priority] += worth.get(loss.priority, Worth()).lost(loss)
    click.echo(f"{'priority':>8} {'late':>6} {'not done':>9} {'worth':>8}  cause")
    for key in sorted(lost, key=lambda each: -lost[each]):
        cause, priority = key
        click.echo(f"{priority:8} {late[key]:6} {never[key]:9} {lost[key]:8.1f}  {cause.value}")


def _row(file: Path, loss: MissedObjective) -> str:
    late = "not done" if loss.late_s is None else f"{loss.late_s:6.2f} s late"
    return f"{file.stem} {loss.at_s:9.3f} {loss.job_id} {loss.priority} {late}: {loss.cause.value}"
