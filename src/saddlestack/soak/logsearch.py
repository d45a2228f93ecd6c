"""Finds the log lines of a soak's VMs that name jobs, and the starts that they ordered."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection, Sequence
from datetime import datetime
from pathlib import Path

import msgspec

from saddlestack.soak.stall_causes import OrderedStart

TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


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


class _OrderLine(msgspec.Struct):
    time: str
    event: str = ""
    task: str = ""
    worker: str = ""


def orders_of(
    logs: Sequence[Path], jobs: Collection[str], epoch_s: float, most: int
) -> dict[str, list[OrderedStart]]:
    """The starts that VMs ordered of each job, as their lines `start` tell.

    :param epoch_s: 1970 on the monotonic clock.
    """
    found: dict[str, list[OrderedStart]] = defaultdict(list)
    for job_id, lines in lines_of(logs, jobs, most).items():
        for text in lines:
            line = _order_line(text)
            if line is not None and line.task.startswith(f"{job_id}."):
                at_s = datetime.strptime(line.time, TIME_FORMAT).timestamp() + epoch_s
                found[job_id].append(OrderedStart(at_s, line.worker))
    return found


def _order_line(text: str) -> _OrderLine | None:
    """A line of an ordered start; a process that was killed may have cut its last one short."""
    try:
        line = msgspec.json.decode(text, type=_OrderLine)
    except (msgspec.DecodeError, UnicodeDecodeError):
        return None
    return line if line.event == "start" else None
