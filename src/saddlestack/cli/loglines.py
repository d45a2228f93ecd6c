"""Reader for the JSON log lines of entry VMs."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from datetime import datetime
from pathlib import Path

import msgspec

_MESSAGE_START = "{"
_TIME_FORMAT = "%Y-%m-%d %H:%M:%S,%f"


class LogLine(msgspec.Struct):
    """The fields of a log line that the commands use.

    :param leader: of an event ``leader``: the current leader, or ``None``.
    :param revision: revision of the leader key that the VM saw; 0 if there was no key.
    :param fence: the fencing token of the term, which is the revision of its key.
    :param proof: of an event ``run_over``: why the run counts as over.
    :param age_s: age of that proof in seconds.
    :param left_s: of an event ``lease_wait``: the longest time that the wait may last.
    :param stood_s: of events ``waits`` and ``stands_still``: how long no task of the job had run.
    :param tasks: number of tasks of the job that waited.
    :param ends: what ends the wait.
    :param ends_s: seconds until the wait ends at the latest, if known.
    :param late_s: how late the leader's own check was.
    :param crashes: of events ``crash_...``: number of counted crashes of workers under the task.
    :param odds: odds that the task crashes its workers.
    :param beside: number of other runs that were lost with the worker.
    :param unheard: whether only missing answers show that the worker crashed.
    :param machine: of an event ``worker_speed``: its machine, if its record names one.
    :param factor: how long work takes on the worker, relative to a usual worker.
    :param confidence: confidence in that factor, from 0 to 1.
    :param evidence: amount of evidence behind that factor.
    :param workers: of an event ``speeds_inherited``: number of workers whose speed is known.
    :param lines: of an event ``worker_speeds_left_out``: number of lines that were left out.
    :param at_s: time at which the line was written: the number of seconds that a collector put
        before the line, else the VM's local time.
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
    unheard: bool = False
    machine: str | None = None
    factor: float = 1.0
    confidence: float = 0.0
    evidence: float = 0.0
    workers: int = 0
    lines: int = 0


def read(files: Iterable[Path]) -> list[LogLine]:
    """Read the log lines of some files, in order of time, and skip all other text."""
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
