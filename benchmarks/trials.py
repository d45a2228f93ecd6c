"""Plays days of deployments with one mechanism disabled at a time, and compares them in pairs.

    python -m benchmarks.trials --bench PROGRAM --site FILE --days trouble-1,scale-1 --seeds 1-4

The users' bench is a program that is called as ``run SITE DAY --seed N --no-cpu --report FILE
--why TEXT``. Each variant runs from a scratch copy of this checkout, after the unchanged sources.
Reports are kept, so that an interrupted run resumes where it stopped.
"""

from __future__ import annotations

import shutil
import statistics
import subprocess
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec

from benchmarks.variants import VARIANTS, Variant, apply

ROOT = Path(__file__).resolve().parent.parent
COPIED_PATHS = (
    "src",
    "deploy",
    "pyproject.toml",
    "constraints.txt",
    ".gitignore",
    ".git",
    "target",
)
"""Paths that are copied, with the build output, so that the copies need no build of their own."""
BASELINE = Variant("present", "nothing disabled", ())


class Report(msgspec.Struct):
    """The part of a day's report that is compared.

    :param score: the score of the day, at most 1.
    :param breaks: how often each broken rule was broken.
    """

    score: float | None = msgspec.field(name="G")
    breaks: dict[str, int] = {}


@dataclass(frozen=True, slots=True)
class Day:
    """One day of a deployment, with its seed.

    :param site: file that describes the deployment.
    """

    site: Path
    name: str
    seed: int

    @property
    def key(self) -> str:
        """Unique name of the day, used for its report file."""
        return f"{self.site.stem}.{self.name}.{self.seed}"


@dataclass(frozen=True, slots=True)
class Comparison:
    """Scores with a mechanism and without it, over the same days.

    :param days: number of days that have both scores.
    :param present: mean score with the mechanism.
    :param gain: mean difference of the scores with and without the mechanism.
    :param error: standard error of ``gain``.
    :param broken: number of days without the mechanism that broke a rule.
    """

    days: int
    present: float
    gain: float
    error: float
    broken: int


def compare(present: dict[str, Report], without: dict[str, Report]) -> Comparison:
    """Compare the days that have a score in both."""
    pairs = [
        (report.score, other.score)
        for key, report in present.items()
        if (other := without.get(key)) is not None
        and report.score is not None
        and other.score is not None
    ]
    gains = [score_with - score_without for score_with, score_without in pairs]
    spread = statistics.stdev(gains) if len(gains) > 1 else 0.0
    return Comparison(
        days=len(pairs),
        present=statistics.fmean(score_with for score_with, _ in pairs) if pairs else 0.0,
        gain=statistics.fmean(gains) if gains else 0.0,
        error=spread / len(gains) ** 0.5 if gains else 0.0,
        broken=sum(1 for report in without.values() if report.breaks),
    )


def parse_numbers(text: str) -> list[int]:
    """Parse a list of numbers and ranges such as ``1-4,7``.

    :raises click.BadParameter: the text is not such a list.
    """
    result: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        try:
            result += range(int(first), int(last or first) + 1)
        except ValueError:
            raise click.BadParameter(f"expected numbers such as 1-4,7, got {text!r}") from None
    return result


def make_copy(variant: Variant, folder: Path) -> Path:
    """Copy this checkout with a variant's edits, unless there is a copy from an earlier run."""
    copy = folder / variant.name
    if copy.exists():
        return copy
    copy.mkdir(parents=True)
    for name in COPIED_PATHS:
        source = ROOT / name
        if source.is_dir():
            ignore = shutil.ignore_patterns("__pycache__")
            shutil.copytree(source, copy / name, ignore=ignore)
        elif source.exists():
            shutil.copy(source, copy / name)
    (copy / "journal").mkdir()
    apply(variant, copy / "src" / "saddlestack")
    return copy


def play(bench: Path, copy: Path, day: Day, out: Path, why: str) -> Report | None:
    """Play a day, unless it has a report from an earlier run, and read its report.

    :return: ``None`` if the bench wrote no report.
    """
    file = out / f"{day.key}.json"
    if not file.exists():
        command = [str(bench), "run", str(day.site), day.name, "--seed", str(day.seed)]
        command += ["--no-cpu", "--report", str(file), "--why", why]
        subprocess.run(command, cwd=copy, capture_output=True, check=False)
    if not file.exists():
        click.echo(f"{copy.name} {day.key}: no report", err=True)
        return None
    return msgspec.json.decode(file.read_bytes(), type=Report)


def play_all(
    bench: Path, variant: Variant, days: Sequence[Day], folder: Path, jobs: int
) -> dict[str, Report]:
    """Play all days of a variant, ``jobs`` at a time, and return the reports by day."""
    copy = make_copy(variant, folder)
    out = folder / f"{variant.name}.reports"
    out.mkdir(exist_ok=True)
    why = f"ablation: without {variant.what}" if variant.edits else "ablation: the present code"
    with ThreadPoolExecutor(jobs) as pool:
        reports = list(pool.map(lambda day: play(bench, copy, day, out, why), days))
    return {
        day.key: report for day, report in zip(days, reports, strict=True) if report is not None
    }


@click.command()
@click.option("--bench", required=True, type=click.Path(exists=True, path_type=Path))
@click.option(
    "--site", "sites", multiple=True, required=True, type=click.Path(exists=True, path_type=Path)
)
@click.option("--days", default="trouble-1,trouble-2,trouble-3,scale-1,scale-2", show_default=True)
@click.option("--seeds", default="1-4", show_default=True)
@click.option("--variant", "names", multiple=True, help="Variants to compare; all by default.")
@click.option(
    "--folder",
    required=True,
    type=click.Path(path_type=Path),
    help="Folder for copies and reports.",
)
@click.option("--jobs", default=4, show_default=True)
def main(
    bench: Path,
    sites: tuple[Path, ...],
    days: str,
    seeds: str,
    names: tuple[str, ...],
    folder: Path,
    jobs: int,
) -> None:
    """Print how much each mechanism adds to the scores."""
    unknown = set(names) - {variant.name for variant in VARIANTS}
    if unknown:
        raise click.BadParameter(f"no variant {', '.join(sorted(unknown))}")
    chosen = [variant for variant in VARIANTS if not names or variant.name in names]
    click.echo("| disabled | deployment | days | score with it | gain | error | broken |")
    click.echo("| --- | --- | --- | --- | --- | --- | --- |")
    for site in sites:
        selected_days = [
            Day(site.resolve(), day, seed)
            for day in days.split(",")
            for seed in parse_numbers(seeds)
        ]
        present = play_all(bench.resolve(), BASELINE, selected_days, folder, jobs)
        for variant in chosen:
            without = play_all(bench.resolve(), variant, selected_days, folder, jobs)
            comparison = compare(present, without)
            click.echo(
                f"| {variant.what} | {site.stem} | {comparison.days} | {comparison.present:.3f} "
                f"| {comparison.gain:+.3f} | {comparison.error:.3f} | {comparison.broken} |"
            )


if __name__ == "__main__":
    main()
