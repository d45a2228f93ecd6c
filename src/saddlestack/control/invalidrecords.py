"""Reports records in the store that cannot be used: counts each occurrence, and logs it once."""

from __future__ import annotations

import logging
import re

from saddlestack.services.metrics import Metrics

log = logging.getLogger("saddlestack.refusals")

MAX_LOGGED = 1_000
"""Records that are remembered as logged; further ones are only counted until the next term."""
MAX_KEY = 100
MAX_REASON = 200
"""Maximum number of characters of a key, and of a reason, in a log line."""

_DIGITS = re.compile(r"\d+")


class InvalidRecords:
    """Reports invalid records of one kind, with one log line for each record and reason.

    Logging each occurrence would flood the log: a record is rewritten with each heartbeat of its
    writer, and may stay invalid for days.

    :param kind: the prefix of the counter ``KIND_records_refused``.
    """

    def __init__(self, metrics: Metrics, kind: str) -> None:
        self._metrics = metrics
        self._counter = f"{kind}_records_refused"
        self._logged: set[tuple[str, str]] = set()

    def report(self, key: str, reason: str) -> None:
        """Count an invalid record, and log it the first time.

        :param reason: what is wrong with it; digits in it are ignored when repeats are detected.
        """
        self._metrics.count(self._counter)
        signature = (key, _DIGITS.sub("#", reason))
        if signature in self._logged or len(self._logged) >= MAX_LOGGED:
            return
        self._logged.add(signature)
        log.error(
            "record refused",
            extra={
                "event": "record_refused",
                "counter": self._counter,
                "key": _short(key, MAX_KEY),
                "reason": _short(reason, MAX_REASON),
            },
        )


def _short(text: str, max_length: int) -> str:
    """An arbitrary text, escaped to printable characters and truncated."""
    printable = text.encode("unicode_escape", "backslashreplace").decode()
    return printable if len(printable) <= max_length else printable[: max_length - 3] + "..."
