"""The JSON log lines of entry VMs, read back."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path

import msgspec

_MESSAGE_START = "{"
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class LogLine(msgspec.Struct):
    """The fields of a log line that tell about a job.

    :param leader: of an event ``leader``: who leads now, or ``None``.
    :param revision: of the leader key as it was seen, 0 where there was none.
    :param fence: the fencing token of the term, which is the revision of its key.
    :param proof: of an event ``run_over``: why the run counts as over.
    :param age_s: how old that is.
    :param left_s: of an event ``lease_wait``: how long it lasts at most.
    :param stood_s: of events ``waits`` and ``stands_still``: for how long nothing of the job ran.
    :param tasks: how many of its tasks waited.
    :param ends: what ends the wait.
    :param ends_s: when that is at the latest, in seconds from then, where it was known.
    :param late_s: by how much the leader's own look came late.
    :param crashes: of events ``crash_...``: workers that crashed under the task and count.
    :param odds: how much likelier it crashes its workers than not.
    :param beside: other runs that were lost with the worker.
    :param at_s: when it was written: the number of seconds that a collector has put in front
        of the line, else the VM's time of day.
    """

    time: str = ""
    vm: str = ""
    event: str = ""
    job: str = ""
    task: str = ""
    run: int = 0
    worker: str = ""
    reason: str = ""
    cause: str | None = None
    how: str = ""
    state: str = ""
    queue: str = ""
    doubt: bool = False
    repeat: bool = False
    priority: int = 0
    stretch: float = 0.0
    target_ms: float = 0.0
    steps: tuple[str, ...] = ()
    at_s: float = 0.0
    data_hall: str = ""
    leader: str | None = None
    revision: int = 0
    fence: int = 0
    proof: str = ""
    age_s: float = 0.0
    left_s: float = 0.0
    stood_s: float = 0.0
    tasks: int = 0
    ends: str = ""
    ends_s: float | None = None
    late_s: float = 0.0
    crashes: int = 0
    odds: float = 0.0
    beside: int = 0


def read(files: Iterable[Path]) -> list[LogLine]:
    """All log lines of some files, in order of time; what is no log line is left out."""
    lines: list[LogLine] = []
    for file in files:
        with file.open(encoding="utf-8", errors="replace") as text:
            lines += _parsed(text)
    return sorted(lines, key=lambda line: (line.at_s, line.time))


def _parsed(text: Iterable[str]) -> Iterator[LogLine]:
    for row in text:
        start = row.find(_MESSAGE_START)
        if start < 0:
            continue
        try:
            line = msgspec.json.decode(row[start:], type=LogLine)
        except (msgspec.DecodeError, UnicodeDecodeError):
            continue
        line.at_s = _seconds(row[:start], line.time)
        yield line


def _seconds(collected: str, time: str) -> float:
    for text in collected.split()[:1]:
        try:
            return float(text)
        except ValueError:
            break
    try:
        return datetime.strptime(time, _TIME_FORMAT).timestamp()
    except ValueError:
        return 0.0
