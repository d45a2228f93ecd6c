"""Compares the policy with the baselines over seeds, paired, and writes docs/MEASURES.md."""

from __future__ import annotations

import json
import statistics
from concurrent.futures import ProcessPoolExecutor
from dataclasses import asdict, dataclass
from pathlib import Path

from benchmarks.pages import MEASURES, replace_table
from saddlestack.replay.maker import RECIPES, config_of, make
from saddlestack.replay.runner import POLICIES, Replay
from saddlestack.replay.trace import Trace

ROOT = Path(__file__).parent.parent
RAW = ROOT / "benchmarks" / "policy.json"
SEEDS = range(1, 11)
LARGE = 16


@dataclass(frozen=True, slots=True)
class Figures:
    """What one replay measured."""

    trace: str
    seed: int
    policy: str
    completion: float
    large: float
    urgent_p99: float
    fragmentation: float
    lost_share: float
    reclaims: int
    failed: int
    violations: int
    score: float


def measure(trace: str, seed: int, policy: str) -> Figures:
    """Replay one trace."""
    events = Trace(list(enumerate(make(trace, seed), 1)))
    run = Replay(config_of(trace), events, policy)
    result = run.run()
    large = [
        job.finished - job.submitted
        for job in run.jobs.values()
        if job.spec.accelerators >= LARGE and job.finished is not None
    ]
    urgent = result.start_delay_s.urgent
    overall = result.completion_s.overall
    return Figures(
        trace,
        seed,
        policy,
        overall.mean if overall else 0.0,
        statistics.fmean(large) if large else 0.0,
        urgent.p99 if urgent else 0.0,
        result.fragmentation,
        run.reclaim_lost / run.work_done if run.work_done else 0.0,
        result.reclaims,
        len(result.expectations.failed),
        len(result.violations),
        result.score,
    )


def _one(job: tuple[str, int, str]) -> Figures:
    return measure(*job)


def main() -> None:
    """Measure everything and write the page's table."""
    jobs = [(trace, seed, policy) for trace in RECIPES for seed in SEEDS for policy in POLICIES]
    with ProcessPoolExecutor(max_workers=6) as pool:
        found = list(pool.map(_one, jobs))
    RAW.write_text(json.dumps([asdict(figures) for figures in found], indent=0) + "\n")
    table = _table(found)
    replace_table(MEASURES, "policy", table)
    print(table)


def _table(found: list[Figures]) -> str:
    by_key = {(f.trace, f.seed, f.policy): f for f in found}
    lines = [
        "| trace | against | completion | large gangs | fragmentation | score | "
        "urgent p99 s (worst) | urgent ratio | work lost % | reclaims | failed | violations |",
        "|" + " --- |" * 12,
    ]
    for trace in RECIPES:
        mine = [by_key[trace, seed, "saddlestack"] for seed in SEEDS]
        for policy in POLICIES[1:]:
            theirs = [by_key[trace, seed, policy] for seed in SEEDS]
            lines.append(_row(trace, policy, mine, theirs))
    return "\n".join(lines) + "\n"


def _row(trace: str, policy: str, mine: list[Figures], theirs: list[Figures]) -> str:
    def ratio(name: str) -> str:
        ratios = [
            getattr(a, name) / getattr(b, name)
            for a, b in zip(mine, theirs, strict=True)
            if getattr(b, name)
        ]
        return f"{statistics.median(ratios):.2f}" if ratios else "-"

    worst = max(f.urgent_p99 for f in mine)
    lost = statistics.median(f.lost_share for f in mine)
    cells = (
        trace,
        policy,
        ratio("completion"),
        ratio("large"),
        ratio("fragmentation"),
        ratio("score"),
        f"{statistics.median(f.urgent_p99 for f in mine):.1f} ({worst:.1f})",
        ratio("urgent_p99"),
        f"{100 * lost:.2f}",
        f"{statistics.median(f.reclaims for f in mine):.0f}",
        f"{sum(f.failed for f in mine)} : {sum(f.failed for f in theirs)}",
        f"{sum(f.violations for f in mine)}",
    )
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    main()
