"""Log lines and counters about tasks under which workers crash."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from saddlestack.policy.cluster.crash_findings import CrashFinding, CrashFindingKind
from saddlestack.services.metrics import Metrics

log = logging.getLogger("saddlestack.crashes")

SUSPECTS_AT_ONCE = 10
"""Lines about suspects that are written at once: a worker of many tasks makes as many suspects.
Tasks that are given up are all told of."""


class CrashLog:
    """Tells what is decided about tasks under which workers crash."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def log_verdicts(self, verdicts: Sequence[CrashFinding]) -> None:
        """Write a line for each verdict, and count it."""
        others = 0
        for verdict in verdicts:
            self._metrics.count(f"crash_{verdict.kind.value}")
            if verdict.kind is not CrashFindingKind.GIVEN_UP:
                others += 1
                if others > SUSPECTS_AT_ONCE:
                    continue
            self._tell_one(verdict)
        if others > SUSPECTS_AT_ONCE:
            log.info(
                "lines about suspects were left out",
                extra={"event": "crash_left_out", "lines": others - SUSPECTS_AT_ONCE},
            )

    def _tell_one(self, verdict: CrashFinding) -> None:
        given_up = verdict.kind is CrashFindingKind.GIVEN_UP
        log.log(
            logging.WARNING if given_up else logging.INFO,
            "a task crashes its workers" if given_up else "a task may crash its workers, or not",
            extra={
                "event": f"crash_{verdict.kind.value}",
                "task": str(verdict.task),
                "worker": verdict.worker_id or None,
                "crashes": verdict.crashes,
                "odds": round(verdict.odds, 3),
                "beside": verdict.beside,
            },
        )
