"""The shape of a step, read back from the text that log lines give it."""

from __future__ import annotations

import re
from dataclasses import dataclass

ACCELERATOR_CORES = 8
"""An accelerator counts as this many cores where work is compared."""

_SHAPE = re.compile(r"(\d+)x(\d+)acc/(\d+)cpu/\d+mb (\d+)ms")
_SAVES = "saves"


@dataclass(frozen=True, slots=True)
class StepShape:
    """What a log line tells of a step.

    :param cores: that one task holds, accelerators included.
    :param estimate_s: how long a task was guessed to take.
    :param saves: whether its tasks save their progress.
    """

    count: int
    cores: float
    estimate_s: float
    saves: bool


def shape_of(text: str) -> StepShape | None:
    """The shape that a text such as ``4x2acc/500cpu/900mb 60ms gang saves`` spells."""
    found = _SHAPE.match(text)
    if found is None:
        return None
    count, accelerators, cpu, estimate_ms = (int(each) for each in found.groups())
    cores = accelerators * ACCELERATOR_CORES + cpu / 1000
    return StepShape(count, cores, estimate_ms / 1000, _SAVES in text.split())
