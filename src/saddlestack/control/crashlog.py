"""Log lines and counters about tasks under which workers crash."""

from __future__ import annotations

import logging
from collections.abc import Sequence

from saddlestack.policy.cluster.crash_findings import CrashFinding, CrashFindingKind
from saddlestack.services.metrics import Metrics

log = logging.getLogger("saddlestack.crashes")

MAX_SUSPECT_LINES = 10
"""Log lines about suspects in one round: the crash of a worker makes each of its tasks a suspect.
Tasks that are given up are all logged."""


class CrashLog:
    """Logs and counts the findings about tasks under which workers crash."""

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def log_findings(self, findings: Sequence[CrashFinding]) -> None:
        """Count each finding and log it, up to the limit on suspects."""
        suspects = 0
        for finding in findings:
            self._metrics.count(f"crash_{finding.kind.value}")
            if finding.kind is not CrashFindingKind.GIVEN_UP:
                suspects += 1
                if suspects > MAX_SUSPECT_LINES:
                    continue
            self._log_finding(finding)
        if suspects > MAX_SUSPECT_LINES:
            log.info(
                "lines about suspects were left out",
                extra={"event": "crash_left_out", "lines": suspects - MAX_SUSPECT_LINES},
            )

    def _log_finding(self, finding: CrashFinding) -> None:
        given_up = finding.kind is CrashFindingKind.GIVEN_UP
        log.log(
            logging.WARNING if given_up else logging.INFO,
            "task crashes its workers" if given_up else "finding on a task that may crash workers",
            extra={
                "event": f"crash_{finding.kind.value}",
                "task": str(finding.task),
                "worker": finding.worker_id or None,
                "crashes": finding.crashes,
                "odds": round(finding.odds, 3),
                "beside": finding.beside,
                "unheard": finding.unheard,
            },
        )
