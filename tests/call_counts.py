"""Counts function calls, as a measure of processor time that is the same on every machine."""

from __future__ import annotations

import gc
import sys
from collections.abc import Callable
from types import FrameType


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
