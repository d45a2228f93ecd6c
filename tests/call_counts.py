"""Counts function calls, as a measure of processor time that is the same on every machine."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from types import FrameType

from saddlestack.policy.cluster.diagnosis import DiagnosisContext


def count_calls(function: Callable[[], object]) -> int:
    """Returns the number of Python and built-in functions that are called while one runs.

    There is no garbage collection meanwhile, as its callbacks would count as well.
    """
    count = 0

    def record(frame: FrameType, event: str, argument: object) -> None:
        nonlocal count
        count += event in {"call", "c_call"}

    gc.disable()
    sys.setprofile(record)
    try:
        function()
    finally:
        sys.setprofile(None)
        gc.enable()
    return count


def quiet_context(now: float) -> DiagnosisContext:
    """Returns the context of a scan at a time when nothing is written and no round is due."""
    return DiagnosisContext(
        now=now,
        wall_ms=0.0,
        planned_s=now - 0.5,
        round_full=False,
        round_due=False,
        is_writing=lambda _: False,
        lease_until_s=lambda _: 0.0,
    )
