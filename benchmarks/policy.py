"""Compares the policy with the baselines, paired by seed, for the table of docs/MEASURES.md."""

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
LARGE_GANG_ACCELERATORS = 16


@dataclass(frozen=True, slots=True)
class Figures:
    """Results of one replay."""

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
    """Replay one trace under one policy."""
    events = Trace(list(enumerate(make(trace, seed), 1)))
    run = Replay(config_of(trace), events, policy)
    result = run.run()
    large = [
        each.finished - each.submitted
        for each in run.jobs.values()
        if each.spec.accelerators >= LARGE_GANG_ACCELERATORS and each.finished is not None
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


def _measure_case(case: tuple[str, int, str]) -> Figures:
    return measure(*case)


def main() -> None:
    """Run all replays and write the table."""
    cases = [(trace, seed, policy) for trace in RECIPES for seed in SEEDS for policy in POLICIES]
    with ProcessPoolExecutor(max_workers=6) as pool:
        results = list(pool.map(_measure_case, cases))
    RAW.write_text(json.dumps([asdict(figures) for figures in results], indent=0) + "\n")
    table = _table(results)
    replace_table(MEASURES, "policy", table)
    print(table)


def _table(results: list[Figures]) -> str:
    by_key = {(f.trace, f.seed, f.policy): f for f in results}
    lines = [
        "| trace | against | completion | large gangs | fragmentation | score | "
        "urgent p99 s (worst) | urgent ratio | work lost % | reclaims | failed | violations |",
        "|" + " --- |" * 12,
    ]
    for trace in RECIPES:
        ours = [by_key[trace, seed, "saddlestack"] for seed in SEEDS]
        for policy in POLICIES[1:]:
            baseline = [by_key[trace, seed, policy] for seed in SEEDS]
            lines.append(_row(trace, policy, ours, baseline))
    return "\n".join(lines) + "\n"


def _row(trace: str, policy: str, ours: list[Figures], baseline: list[Figures]) -> str:
    def ratio(name: str) -> str:
        ratios = [
            getattr(a, name) / getattr(b, name)
            for a, b in zip(ours, baseline, strict=True)
            if getattr(b, name)
        ]
        return f"{statistics.median(ratios):.2f}" if ratios else "-"

    worst = max(f.urgent_p99 for f in ours)
    lost = statistics.median(f.lost_share for f in ours)
    cells = (
        trace,
        policy,
        ratio("completion"),
        ratio("large"),
        ratio("fragmentation"),
        ratio("score"),
        f"{statistics.median(f.urgent_p99 for f in ours):.1f} ({worst:.1f})",
        ratio("urgent_p99"),
        f"{100 * lost:.2f}",
        f"{statistics.median(f.reclaims for f in ours):.0f}",
        f"{sum(f.failed for f in ours)} : {sum(f.failed for f in baseline)}",
        f"{sum(f.violations for f in ours)}",
    )
    return "| " + " | ".join(cells) + " |"


if __name__ == "__main__":
    main()
