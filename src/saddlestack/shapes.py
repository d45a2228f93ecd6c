"""Validation of shapes and the short form of guarantees."""

from __future__ import annotations

import re

from saddlestack.errors import invalid
from saddlestack.models import MAX_GANG, Adjacency, Guarantee

_SHORT = re.compile(r"^(\d+)x(\d+)@(worker|rack|hall)$")


def parse_guarantee(text: str) -> Guarantee:
    """Parse ``COUNTxACCELERATORS@ADJACENCY``, such as ``2x16@rack``.

    :raises SaddlestackError: the text is malformed or the size is out of range.
    """
    match = _SHORT.match(text)
    if match is None:
        raise invalid(f"expected COUNTxACCELERATORS@worker|rack|hall, got {text!r}")
    count, accelerators, adjacent = match.groups()
    check_accelerators(int(accelerators), text)
    return Guarantee(accelerators=int(accelerators), adjacent=Adjacency(adjacent), count=int(count))


def check_accelerators(accelerators: int, where: str) -> None:
    """Check that the size of a gang is between 1 and ``MAX_GANG``.

    :raises SaddlestackError: the size is out of range.
    """
    if not 1 <= accelerators <= MAX_GANG:
        raise invalid(f"accelerators must be 1 to {MAX_GANG}, got {accelerators}", where)
