"""Finds the log lines of a soak's VMs that name jobs."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Sequence
from pathlib import Path


def lines_of(logs: Sequence[Path], jobs: Collection[str], most: int) -> dict[str, list[str]]:
    """The lines that name each job, in the order of their times.

    :param jobs: ids.
    :param most: lines that are kept of a job, the first ones.
    """
    if not jobs:
        return {}
    found: dict[str, list[str]] = defaultdict(list)
    for log in logs:
        with log.open(encoding="utf-8", errors="replace") as lines:
            for line in lines:
                for job_id in jobs:
                    if job_id in line:
                        found[job_id].append(line.rstrip())
    return {job_id: sorted(lines)[:most] for job_id, lines in found.items()}
