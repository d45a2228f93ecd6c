"""Searches the logs of a soak's VMs for lines that name jobs and for ordered starts."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Sequence
from datetime import datetime
from pathlib import Path

import msgspec

from saddlestack.soak.stall_causes import OrderedStart

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


def lines_of(logs: Sequence[Path], jobs: Collection[str], most: int) -> dict[str, list[str]]:
    """Find the lines that name each job, in order of time.

    :param jobs: the ids of the jobs.
    :param most: the maximum number of lines per job; the first ones are kept.
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


class _StartLine(msgspec.Struct):
    time: str
    event: str = ""
    task: str = ""
    worker: str = ""


def ordered_starts_of(
    logs: Sequence[Path], jobs: Collection[str], epoch_s: float, most: int
) -> dict[str, list[OrderedStart]]:
    """Find the starts that VMs ordered for each job, from the log lines of the event ``start``.

    :param epoch_s: the Unix epoch on the monotonic clock.
    :param most: the maximum number of lines per job that are searched.
    """
    found: dict[str, list[OrderedStart]] = defaultdict(list)
    for job_id, lines in lines_of(logs, jobs, most).items():
        for text in lines:
            line = _parse_start(text)
            if line is not None and line.task.startswith(f"{job_id}."):
                at_s = datetime.strptime(line.time, TIME_FORMAT).timestamp() + epoch_s
                found[job_id].append(OrderedStart(at_s, line.worker))
    return found


def _parse_start(text: str) -> _StartLine | None:
    """Parse a line; ``None`` for other events and for a last line that a kill truncated."""
    try:
        line = msgspec.json.decode(text, type=_StartLine)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return line if line.event == "start" else None
