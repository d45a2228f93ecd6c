"""Fits lines to measurements and writes the tables of docs/CAPACITY.md between their markers."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from benchmarks.pages import replace_table
from saddlestack.platform.store import STORE_READS_S, STORE_WRITES_S

WORKERS = 10_000
CELL_ENDPOINTS = 256
CELLS = 40
HALLS = 5
ENTRY_VMS = 110
MEMBERS_PER_HALL = ENTRY_VMS // HALLS
JOBS_PER_DAY = 12_000
RUNNING_TASKS = 120_000
CHANGES_PER_DAY = 6_000
CPU_LIMIT = 3.2
RSS_LIMIT = 64.0
BYTES_LIMIT = 10 * 1024.0
IN_FORCE_LIMIT_S = 5.0
RECORD_BYTES = 600
MEASURES = (
    ("cpu_percent", "CPU, % of a core", CPU_LIMIT),
    ("rss_mb", "resident memory, MB", RSS_LIMIT),
    ("bytes_s", "control, bytes/s", BYTES_LIMIT),
)


@dataclass(frozen=True, slots=True)
class Fit:
    """A straight line through measured points.

    :param residual: the largest distance of a point from the line.
    """

    base: float
    slope: float
    residual: float

    def at(self, x: float) -> float:
        """Return the value of the line at ``x``."""
        return self.base + self.slope * x


def fit(points: Sequence[tuple[float, float]]) -> Fit:
    """Fit a line by least squares."""
    count = len(points)
    mean_x = sum(x for x, _ in points) / count
    mean_y = sum(y for _, y in points) / count
    spread = sum((x - mean_x) ** 2 for x, _ in points)
    slope = sum((x - mean_x) * (y - mean_y) for x, y in points) / spread if spread else 0.0
    base = mean_y - slope * mean_x
    residual = max(abs(y - base - slope * x) for x, y in points)
    return Fit(base, slope, residual)


def write_tables(raw_path: Path, page: Path) -> None:
    """Replace the tables between the markers of the page."""
    raw: dict[str, Any] = json.loads(raw_path.read_text())
    for name, table in _tables(raw).items():
        replace_table(page, name, table)


def _tables(raw: dict[str, Any]) -> dict[str, str]:
    return {
        "points": _points(raw),
        "scheduler": _scheduler(raw),
        "member": _member(raw),
        "relay": _relay(raw),
        "store": _store(raw),
        "times": _times(raw),
    }


def _points(raw: dict[str, Any]) -> str:
    rows = []
    for part, key, role in (
        ("endpoints", "endpoints", "owner"),
        ("members", "members", "other"),
        ("changes", "changes_min", "other"),
        ("jobs", "jobs_min", "owner"),
        ("running", "tasks", "owner"),
    ):
        for point in raw[part]:
            sample = point[role]
            rows.append(
                (
                    f"{part}, {'cell scheduler' if role == 'owner' else 'busiest other VM'}",
                    f"{point[key]:g}",
                    f"{sample['cpu_percent']:.2f}",
                    f"{sample['rss_mb']:.1f}",
                    f"{sample['bytes_s']:.0f}",
                    f"{sample['store_calls_s']:.2f}",
                    f"{sample['store_writes_s']:.2f}",
                )
            )
    header = ("swept", "value", "CPU %", "RSS MB", "bytes/s", "store calls/s", "store writes/s")
    return _markdown(header, rows)


def _fit_measure(raw: dict[str, Any], part: str, key: str, role: str, measure: str) -> Fit:
    return fit([(point[key], point[role][measure]) for point in raw[part]])


def _row(what: str, line: Fit, per: str, at: float, target: float, limit: float) -> tuple[str, ...]:
    return (
        what,
        f"{line.base:.2f} + {line.slope:.4g} per {per}",
        f"{line.residual:.2f}",
        f"{at:g}",
        f"{target:.2f}",
        f"{limit:g}",
        f"{target / limit:.2f}",
    )


_FIT_HEADER = ("what", "measured line", "largest residual", "at", "value there", "limit", "ratio")


def _scheduler(raw: dict[str, Any]) -> str:
    """Return the cost of a cell scheduler by endpoints, share of jobs and running tasks."""
    rows = []
    jobs_min = JOBS_PER_DAY / 24 / 60 / CELLS
    tasks = RUNNING_TASKS / CELLS
    for measure, title, limit in MEASURES:
        line = _fit_measure(raw, "endpoints", "endpoints", "owner", measure)
        rows.append(_row(title, line, "endpoint", CELL_ENDPOINTS, line.at(CELL_ENDPOINTS), limit))
        by_job = _fit_measure(raw, "jobs", "jobs_min", "owner", measure)
        by_task = _fit_measure(raw, "running", "tasks", "owner", measure)
        total = line.at(CELL_ENDPOINTS) + max(0.0, by_job.slope) * jobs_min
        total += max(0.0, by_task.slope) * tasks
        rows.append(
            (
                f"{title}, with jobs and tasks",
                f"+ {by_job.slope:.4g} per job/min, + {by_task.slope:.4g} per task",
                f"{max(by_job.residual, by_task.residual):.2f}",
                f"{jobs_min:.2f} jobs/min, {tasks:.0f} tasks",
                f"{total:.2f}",
                f"{limit:g}",
                f"{total / limit:.2f}",
            )
        )
    return _markdown(_FIT_HEADER, rows)


def _member(raw: dict[str, Any]) -> str:
    rows = []
    for measure, title, limit in MEASURES:
        line = _fit_measure(raw, "members", "members", "other", measure)
        rows.append(
            _row(title, line, "VM of the hall", MEMBERS_PER_HALL, line.at(MEMBERS_PER_HALL), limit)
        )
    return _markdown(_FIT_HEADER, rows)


def _relay(raw: dict[str, Any]) -> str:
    rows = []
    rate = CHANGES_PER_DAY / 24 / 60
    for measure, title, limit in MEASURES:
        line = _fit_measure(raw, "changes", "changes_min", "other", measure)
        rows.append(_row(title, line, "change/min", round(rate, 2), line.at(rate), limit))
    return _markdown(_FIT_HEADER, rows)


def _store(raw: dict[str, Any]) -> str:
    """Return the store calls of an ordinary day, a burst, and the return of a hall or region."""
    jobs_s = JOBS_PER_DAY / 86_400
    by_job = _fit_measure(raw, "jobs", "jobs_min", "owner", "store_writes_s")
    other = _fit_measure(raw, "jobs", "jobs_min", "other", "store_writes_s")
    writes_per_job = 60 * (by_job.slope + 5 * max(0.0, other.slope))
    changes_s = CHANGES_PER_DAY / 86_400
    ordinary = jobs_s * max(writes_per_job, 4.0) + changes_s * 2 + (110 + 700) / 86_400 * 5
    burst = 2000 * 0.075 / 2 + ordinary
    lost = CELLS / HALLS * 5 / 10 + ordinary
    reads = ENTRY_VMS / 30 + HALLS / 20 + changes_s * 3
    rows = [
        ("writes/s, ordinary day", f"{ordinary:.2f}", f"{STORE_WRITES_S:g}"),
        ("writes/s, 2,000 jobs in 2 s", f"{burst:.1f}", f"{STORE_WRITES_S:g}"),
        ("writes/s, a data hall comes back (8 cells taken in 10 s)", f"{lost:.1f}", "100"),
        ("reads/s, ordinary day", f"{reads:.1f}", f"{STORE_READS_S:g}"),
        ("reads/s, a region returns (110 VMs read all within 2 s)", f"{110 * 3 / 2:.0f}", "2000"),
        ("waiting watches, one a hall", f"{HALLS}", "counted as calls"),
    ]
    table = [
        (
            what,
            value,
            limit,
            f"{float(value) / 2000:.3f}" if "read" in what else _ratio(value, limit),
        )
        for what, value, limit in rows
    ]
    return _markdown(("what", "value", "limit", "ratio"), table)


def _ratio(value: str, limit: str) -> str:
    try:
        return f"{float(value) / float(limit):.2f}"
    except ValueError:
        return "-"


def _times(raw: dict[str, Any]) -> str:
    rows = [
        (
            f"configuration in force at {point['changes_min']} changes/min, 8 VMs",
            f"p50 {point['in_force_p50_s']:.2f}, p99 {point['in_force_p99_s']:.2f}",
            f"{IN_FORCE_LIMIT_S:g}",
        )
        for point in raw["changes"]
        if point["changes_min"]
    ]
    times = raw["take_over_s"]
    shown = ", ".join(f"{value:.2f}" for value in times)
    rows.append(("a killed scheduler's cell scheduled again, 24 endpoints", shown, "5"))
    return _markdown(("what", "seconds", "limit"), rows)


def _markdown(header: Sequence[str], rows: Sequence[Sequence[str]]) -> str:
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"
