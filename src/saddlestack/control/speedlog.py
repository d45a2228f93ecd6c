"""Log lines about changes of worker speeds."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from saddlestack.policy.cluster.speed_records import SpeedChange

log = logging.getLogger("saddlestack.speeds")

MAX_LINES_PER_S = 20
"""Log lines ``worker_speed`` in a second. In the first seconds of a term the speeds of thousands of
workers become known."""
WINDOW_S = 1.0


class SpeedLog:
    """Logs changes of level, slow workers first, up to a limit per second."""

    def __init__(self) -> None:
        self._window_s = 0.0
        self._lines = 0
        self._left_out = 0

    def log_changes(self, changes: Sequence[SpeedChange], now: float) -> None:
        """Log some changes, and count those above the limit."""
        self.flush(now)
        room = max(0, MAX_LINES_PER_S - self._lines)
        chosen = changes
        if len(changes) > room:
            chosen = sorted(changes, key=lambda change: -change.factor)[:room]
        for change in chosen:
            _log_change(change)
        self._lines += len(chosen)
        self._left_out += len(changes) - len(chosen)

    def flush(self, now: float) -> None:
        """Report the lines that the last second left out, once it is over."""
        if now - self._window_s < WINDOW_S:
            return
        if self._left_out:
            log.info(
                "lines about worker speeds were left out",
                extra={"event": "worker_speeds_left_out", "lines": self._left_out},
            )
        self._window_s, self._lines, self._left_out = now, 0, 0


def _log_change(change: SpeedChange) -> None:
    log.info(
        "speed of a worker",
        extra={
            "event": "worker_speed",
            "worker": change.worker_id,
            "machine": change.machine,
            "factor": round(change.factor, 2),
            "confidence": round(change.confidence, 2),
            "evidence": change.evidence,
            "age_s": round(change.age_s, 1),
        },
    )
