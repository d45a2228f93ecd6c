"""Parser for the text by which log lines describe a step of a job."""

from __future__ import annotations

import re
from dataclasses import dataclass

from saddlestack.policy.cluster.jobs import weight
from saddlestack.work import Resources

_STEP_PATTERN = re.compile(r"(\d+)x(\d+)acc/(\d+)cpu/(\d+)mb (\d+)ms")
_SAVES = "saves"
_GANG = "gang"


@dataclass(frozen=True, slots=True)
class LoggedStep:
    """A step as a log line describes it.

    :param count: number of tasks.
    :param cores: cores that one task holds, accelerators included.
    :param estimate_s: estimated run time of one task.
    :param saves: whether tasks save their progress.
    :param needs: resources that one task takes of a worker.
    :param gang: whether all tasks run together or not at all.
    """

    count: int
    cores: float
    estimate_s: float
    saves: bool
    needs: Resources
    gang: bool


def parse_logged_step(text: str) -> LoggedStep | None:
    """Parse a text such as ``4x2acc/500cpu/900mb 60ms gang saves``; ``None`` for other texts."""
    found = _STEP_PATTERN.match(text)
    if found is None:
        return None
    count, accelerators, cpu, memory_mb, estimate_ms = (int(each) for each in found.groups())
    needs = Resources(cpu, memory_mb, accelerators)
    flags = text.split()
    return LoggedStep(
        count,
        weight(Resources(cpu, 0, accelerators)),
        estimate_ms / 1000,
        _SAVES in flags,
        needs,
        _GANG in flags,
    )
