"""Commands that simulate a deployment: the demo, replays of traces, and scenarios."""

from __future__ import annotations

import asyncio
import logging
from pathlib import Path
from typing import TextIO

import click
import msgspec

from saddlestack.cli.output import as_json, table
from saddlestack.errors import EXIT_FAILED, EXIT_USAGE, SaddlestackError
from saddlestack.replay.maker import RECIPES, config_of, make, to_json_lines
from saddlestack.replay.measures import Result
from saddlestack.replay.runner import POLICIES


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json_", is_flag=True, help="Print JSON.")
def demo(seed: int, as_json_: bool) -> None:
    """Run a demo in one process: three data halls, jobs, a reclaim, a killed VM."""
    from saddlestack.standins.demo import run_demo, show

    result = asyncio.run(run_demo(seed))
    if as_json_:
        as_json(result)
    else:
        show(result)
    if not result.held:
        raise SystemExit(EXIT_FAILED)


@click.command()
@click.argument("trace", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option(
    "--config",
    "config_path",
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=Path),
    help="Data halls, accounts and weights, JSON with comments.",
)
@click.option(
    "--policy",
    type=click.Choice(POLICIES),
    default=POLICIES[0],
    show_default=True,
    help="The policy of saddlestack or a baseline.",
)
@click.option("--json", "as_json_", is_flag=True, help="Print one JSON object.")
@click.option(
    "--stable", is_flag=True, help="With --json: leave out fields that differ between machines."
)
@click.option(
    "--report",
    type=click.Path(dir_okay=False, path_type=Path),
    help="Also write an HTML page with timelines (needs the extra `report`).",
)
def replay(
    trace: Path,
    config_path: Path,
    policy: str,
    as_json_: bool,
    stable: bool,
    report: Path | None,
) -> None:
    """Run TRACE through the scheduling policy and check its expected outcomes.

    Exit codes: 0 all hold, 1 one fails or an invariant is violated, 2 invalid input.

    \b
    Example:
      saddlestack replay traces/ee-day.jsonl --config traces/ee.json --report day.html
    """
    from saddlestack.replay.measures import TimedResult
    from saddlestack.replay.runner import Replay
    from saddlestack.replay.trace import read_config, read_trace

    try:
        config = read_config(config_path)
        run = Replay(config, read_trace(trace, config), policy)
    except SaddlestackError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(EXIT_USAGE) from None
    result = run.run()
    if report is not None:
        from saddlestack.replay.report import write

        write(run, result, report)
    if as_json_:
        fields = msgspec.structs.asdict(result)
        timed = TimedResult(**fields, decisions_per_s=round(run.decisions_per_s(), 1))
        click.echo(msgspec.json.encode(result if stable else timed).decode())
    else:
        show_result(result)
    if result.expectations.failed or result.violations:
        raise SystemExit(EXIT_FAILED)


@click.group()
def trace() -> None:
    """Generate traces for replays."""


@trace.command("make")
@click.argument("name", type=click.Choice(sorted(RECIPES)))
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--scale", type=click.FloatRange(0.01, 100), default=1.0, show_default=True)
@click.option("--out", type=click.File("w"), default="-", help="[default: standard output]")
def trace_make(name: str, seed: int, scale: float, out: TextIO) -> None:
    """Write the trace NAME as JSON lines; the same seed gives the same trace."""
    for line in to_json_lines(make(name, seed, scale)):
        out.write(line + "\n")


@trace.command("config")
@click.argument("name", type=click.Choice(sorted(RECIPES)))
def trace_config(name: str) -> None:
    """Print the configuration for the trace NAME."""
    as_json(config_of(name))


def show_result(result: Result) -> None:
    """Print the result of a replay as text."""
    click.echo(
        f"policy {result.policy}: {result.jobs} jobs, {result.finished} finished, "
        f"{result.refused} refused, {result.unknown} unknown"
    )
    rows = []
    for title, measure in (
        ("completion", result.completion_s),
        ("start delay", result.start_delay_s),
    ):
        for kind in ("overall", "urgent", "normal", "bulk"):
            summary = getattr(measure, kind)
            if summary is not None:
                rows.append(
                    (title, kind, *(f"{v:.1f}" for v in (summary.mean, summary.p50, summary.p99)))
                )
    table(("SECONDS", "CLASS", "MEAN", "P50", "P99"), rows)
    click.echo(
        f"fragmentation {result.fragmentation:.4f}, work lost {result.work_lost_s:.0f} "
        f"accelerator-seconds, {result.reclaims} reclaims, score {result.score:.4f}"
    )
    click.echo(
        f"expectations: {result.expectations.held} held, "
        f"{len(result.expectations.failed)} failed; {len(result.violations)} violations"
    )
    for text in (*result.expectations.failed, *result.violations):
        click.echo(f"  {text}")


@click.command()
@click.argument("files", nargs=-1, type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--chaos", is_flag=True, help="Inject a random mix of all faults instead.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--seconds", type=float, default=60.0, show_default=True, help="Duration of --chaos.")
@click.option("--real-time", is_flag=True, help="Run in real time instead of on a virtual clock.")
@click.option("--json", "as_json_", is_flag=True, help="Print JSON.")
def scenario(
    files: tuple[Path, ...],
    chaos: bool,
    seed: int,
    seconds: float,
    real_time: bool,
    as_json_: bool,
) -> None:
    """Run scenario FILES, or a seeded mix of all faults, and check that the promises hold.

    Exit codes: 0 all hold, 1 one fails, 2 a file can't be read.

    \b
    Examples:
      saddlestack scenario scenarios/*.scenario
      saddlestack scenario --chaos --seed 7 --seconds 120
    """
    from saddlestack.standins.chaos import Chaos
    from saddlestack.standins.loop import run
    from saddlestack.standins.scenario.play import Outcome, Scenario, read, report

    logging.getLogger("saddlestack").setLevel(logging.CRITICAL)
    outcomes: list[Outcome] = []
    try:
        if chaos:
            outcomes.append(run(Chaos(seed, seconds).play(), real_time=real_time))
        for path in files:
            played = Scenario(path.name, read(path), seed).play()
            outcomes.append(run(played, real_time=real_time))
    except SaddlestackError as error:
        click.echo(f"error: {error}", err=True)
        raise SystemExit(EXIT_USAGE) from None
    reports = [report(outcome) for outcome in outcomes]
    if as_json_:
        as_json(reports)
    else:
        for item in reports:
            click.echo(f"{'held  ' if item.held else 'FAILED'}  {item.name}  {item.seconds} s")
            for problem in (*item.failures, *item.broken):
                click.echo(f"          {problem}")
    if not all(item.held for item in reports):
        raise SystemExit(EXIT_FAILED)
