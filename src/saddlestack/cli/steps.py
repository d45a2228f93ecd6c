"""A step, read back from the text that log lines give it."""

from __future__ import annotations

import re
from dataclasses import dataclass

from saddlestack.policy.cluster.jobs import weight
from saddlestack.work import Resources

_SHAPE = re.compile(r"(\d+)x(\d+)acc/(\d+)cpu/(\d+)mb (\d+)ms")
_SAVES = "saves"
_GANG = "gang"


@dataclass(frozen=True, slots=True)
class LoggedStep:
    """What a log line tells of a step.

    :param cores: that one task holds, accelerators included.
    :param estimate_s: how long a task was guessed to take.
    :param saves: whether its tasks save their progress.
    :param needs: what one task takes of a worker.
    :param gang: whether its tasks run all together or not at all.
    """

    count: int
    cores: float
    estimate_s: float
    saves: bool
    needs: Resources
    gang: bool


def parse_logged_step(text: str) -> LoggedStep | None:
    """The step that a text such as ``4x2acc/500cpu/900mb 60ms gang saves`` spells."""
    found = _SHAPE.match(text)
    if found is None:
        return None
    count, accelerators, cpu, memory_mb, estimate_ms = (int(each) for each in found.groups())
    needs = Resources(cpu, memory_mb, accelerators)
    marks = text.split()
    return LoggedStep(
        count,
        weight(Resources(cpu, 0, accelerators)),
        estimate_ms / 1000,
        _SAVES in marks,
        needs,
        _GANG in marks,
    )
