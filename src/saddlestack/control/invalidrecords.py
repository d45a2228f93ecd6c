"""Records of the store that cannot be used: counted each time, told once."""

from __future__ import annotations

import logging
import re

from saddlestack.services.metrics import Metrics

log = logging.getLogger("saddlestack.refusals")

MAX_TOLD = 1_000
"""Records that are remembered as told of; further ones are counted alone until the next term."""
MAX_KEY = 100
MAX_REASON = 200
"""Characters of a key, and of a reason, in a log line."""

_DIGITS = re.compile(r"\d+")


class InvalidRecords:
    """Tells of records of one kind that cannot be used, in a line for each record and reason.

    A record is written anew with each heartbeat of its writer, and may stay wrong for days.

    :param kind: names the counter, ``KIND_records_refused``.
    """

    def __init__(self, metrics: Metrics, kind: str) -> None:
        self._metrics = metrics
        self._counter = f"{kind}_records_refused"
        self._told: set[tuple[str, str]] = set()

    def report(self, key: str, reason: str) -> None:
        """Count a record that cannot be used, and tell of it once.

        :param reason: what is wrong with it; its figures may differ from one time to the next.
        """
        self._metrics.count(self._counter)
        place = (key, _DIGITS.sub("#", reason))
        if place in self._told or len(self._told) >= MAX_TOLD:
            return
        self._told.add(place)
        log.error(
            "record refused",
            extra={
                "event": "record_refused",
                "counter": self._counter,
                "key": _short(key, MAX_KEY),
                "reason": _short(reason, MAX_REASON),
            },
        )


def _short(text: str, most: int) -> str:
    """A text that may hold anything, printable and cut to a length."""
    printable = text.encode("unicode_escape", "backslashreplace").decode()
    return printable if len(printable) <= most else printable[: most - 3] + "..."
