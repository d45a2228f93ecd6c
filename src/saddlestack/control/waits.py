"""Reports what jobs wait for: log lines, metrics and answers to callers.

The check runs as often as the leader's tick. No scheduling decision depends on it.
"""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from functools import partial

from saddlestack.kernel.clock import Clock
from saddlestack.policy.cluster.diagnosis import Diagnosis, DiagnosisContext, Wait, WaitReport
from saddlestack.policy.cluster.feasibility import ServicePool, pools_by_service
from saddlestack.policy.cluster.jobs import Job
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.records import FailureCause
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.policy.stall import Stall, StallDetector
from saddlestack.services.metrics import Metrics
from saddlestack.work import JobState

log = logging.getLogger("saddlestack.scheduler")

CHECK_INTERVAL_S = 0.5
"""Time from one check to the next, as often as the leader's tick, so that a wait reported after 1 s
and a stall reported after 3 s are at most half a second late."""
REPORT_AFTER_S = 1.0
"""A wait is reported once it has lasted this long: most are shorter than a scheduling round."""
MAX_STALL_LINES = 10
"""Log lines ``stands_still`` in one check..."""
MAX_WAIT_LINES = 10
"""...and log lines ``waits``: 40 lines a second in all at two checks a second. One more line counts
the rest; a wait that was left out is reported by a later check."""
PERCENT = 100


@dataclass(slots=True)
class WaitCounts:
    """How many jobs and tasks wait, by reason.

    :param tasks: the tasks of the jobs that were checked.
    """

    jobs: Counter[WaitReason] = field(default_factory=Counter)
    tasks: Counter[WaitReason] = field(default_factory=Counter)

    @classmethod
    def of(cls, findings: WaitReport) -> WaitCounts:
        """The counts of one check."""
        counts = cls()
        counts.jobs[WaitReason.LEFT_OUT] = findings.left_out
        for wait in findings.waits:
            counts.jobs[wait.reason] += 1
            counts.tasks[wait.reason] += wait.tasks
            counts.tasks[WaitReason.EARLIER_STEP] += wait.later_tasks
        return counts


def reset_gauges(metrics: Metrics) -> None:
    """Set all gauges about waits to 0, as on a VM that does not lead."""
    _register_gauges(metrics, lambda reason: 0, lambda reason: 0, lambda: 0, lambda: 0, lambda: 0)


def _register_gauges(
    metrics: Metrics,
    jobs: Callable[[WaitReason], int],
    tasks: Callable[[WaitReason], int],
    quarantined: Callable[[], int],
    on_probation: Callable[[], int],
    reserved_idle: Callable[[], int],
) -> None:
    for reason in WaitReason:
        metrics.gauge(f"waiting_jobs_{reason.value}", partial(jobs, reason))
        metrics.gauge(f"waiting_tasks_{reason.value}", partial(tasks, reason))
    metrics.gauge("pool_quarantine_percent", quarantined)
    metrics.gauge("pool_probation_percent", on_probation)
    metrics.gauge("pool_reserved_idle_percent", reserved_idle)


class WaitMonitor:
    """Reports what the jobs of one term wait for.

    :param lease_until_s: returns when every lease of a worker has lapsed.
    """

    def __init__(
        self,
        cluster_state: ClusterState,
        clock: Clock,
        metrics: Metrics,
        lease_until_s: Callable[[str], float],
    ) -> None:
        self._cluster_state = cluster_state
        self._clock = clock
        self._metrics = metrics
        self._lease_until_s = lease_until_s
        self._diagnosis = Diagnosis(cluster_state)
        self._stall_watch = StallDetector()
        self._writing: Counter[str] = Counter()
        self._round_s = clock.now()
        self._checked_s = clock.now()
        self._delay_s = 0.0
        self._round_full = False
        self._waits: dict[str, Wait] = {}
        self._reported: dict[str, WaitReason] = {}
        self._counts = WaitCounts()

    def register_gauges(self) -> None:
        """Register the gauges; they read 0 until the first check."""
        self._checked_s = self._clock.now()
        _register_gauges(
            self._metrics,
            lambda reason: self._counts.jobs[reason],
            lambda reason: self._counts.tasks[reason],
            lambda: self._percent(lambda pool: pool.quarantined),
            lambda: self._percent(lambda pool: pool.on_probation),
            lambda: self._percent(lambda pool: pool.reserved_idle),
        )

    def close(self) -> None:
        """Reset the gauges, since the term is over."""
        reset_gauges(self._metrics)

    # Notifications from the scheduler

    def round_finished(self, full: bool) -> None:
        """Note that a scheduling round has ended.

        :param full: whether it left decisions for the next round.
        """
        self._round_s = self._clock.now()
        self._round_full = full

    def write_started(self, jobs: Iterable[str]) -> None:
        """Note that records of some jobs are being written."""
        self._writing.update(jobs)

    def write_finished(self, jobs: Iterable[str]) -> None:
        """Note that records of some jobs are in the store."""
        for job_id in jobs:
            self._writing[job_id] -= 1
            if self._writing[job_id] <= 0:
                del self._writing[job_id]

    # Checking

    def check(self, *, round_due: bool = False) -> None:
        """Check all jobs, and report those that wait.

        :param round_due: whether a scheduling round is due now.
        """
        began = self._clock.now()
        try:
            self._run_check(round_due)
        except Exception:
            # The next check may succeed, and no scheduling decision depends on this one.
            log.exception("check of waits failed", extra={"event": "waits_failed"})
            self._metrics.count("waits_failures")
        self._metrics.time("waits_look", self._clock.now() - began)

    def _run_check(self, round_due: bool) -> None:
        now = self._clock.now()
        self._delay_s = max(0.0, now - self._checked_s - CHECK_INTERVAL_S)
        self._checked_s = now
        findings = self._diagnosis.scan(self._diagnosis_context(round_due))
        self._waits = {wait.job_id: wait for wait in findings.waits}
        self._counts = WaitCounts.of(findings)
        self._report_stalls()
        self._report_waits()

    def of(self, job_id: str) -> str | None:
        """What a job waits for, or why it failed, in one sentence; ``None`` if it does not wait."""
        job = self._cluster_state.jobs.get(job_id)
        if job is not None and job.published_state is JobState.FAILED:
            return _failed(job)
        wait = self._waits.get(job_id)
        if wait is None:
            return None
        waiting_s = self._clock.now() - wait.since_s
        reason = wait.reason
        return (
            f"waits since {waiting_s:.0f} s ({reason}): {reason.awaited}; ends with {reason.ends}"
        )

    def _diagnosis_context(self, round_due: bool) -> DiagnosisContext:
        return DiagnosisContext(
            now=self._clock.now(),
            wall_ms=self._clock.wall() * 1000,
            planned_s=self._round_s,
            round_full=self._round_full,
            round_due=round_due,
            is_writing=self._writing.__contains__,
            lease_until_s=self._lease_until_s,
        )

    # Reporting

    def _report_stalls(self) -> None:
        stalled = [wait.job_id for wait in self._waits.values() if wait.could_start]
        found = self._stall_watch.update(stalled, self._clock.now())
        for stall in found[:MAX_STALL_LINES]:
            self._report_stall(stall)
        self._metrics.count("standstills", len(found))
        self._report_left_out("stands_still", len(found) - MAX_STALL_LINES)

    def _report_stall(self, stall: Stall) -> None:
        wait = self._waits[stall.job_id]
        log.warning(
            "job is stalled in a mostly free pool",
            extra={"event": "stands_still", **self._fields(wait, stall.since_s)},
        )

    def _report_waits(self) -> None:
        """Log each wait that has lasted long enough, and again when its reason changes."""
        for job_id in [each for each in self._reported if each not in self._waits]:
            del self._reported[job_id]
        due = [wait for wait in self._waits.values() if self._is_due(wait)]
        for wait in due[:MAX_WAIT_LINES]:
            self._reported[wait.job_id] = wait.reason
            log.info("job waits", extra={"event": "waits", **self._fields(wait, wait.since_s)})
        self._report_left_out("waits", len(due) - MAX_WAIT_LINES)

    def _is_due(self, wait: Wait) -> bool:
        if wait.reason is WaitReason.LEFT_OUT or self._reported.get(wait.job_id) is wait.reason:
            return False
        return self._clock.now() - wait.since_s >= REPORT_AFTER_S

    def _report_left_out(self, event: str, lines: int) -> None:
        if lines > 0:
            extra = {"event": "waits_left_out", "of": event, "lines": lines}
            log.info("lines about waits were left out", extra=extra)

    def _fields(self, wait: Wait, since_s: float) -> dict[str, object]:
        """The fields of a log line about a wait."""
        now = self._clock.now()
        remaining_s = None if wait.until_s is None else round(max(0.0, wait.until_s - now), 2)
        return {
            "job": wait.job_id,
            "reason": wait.reason.value,
            "stood_s": round(now - since_s, 2),
            "tasks": wait.tasks,
            "ends": wait.reason.ends,
            "ends_s": remaining_s,
            "late_s": round(self._delay_s, 2),
        }

    # Metrics

    def _percent(self, held_back: Callable[[ServicePool], int]) -> int:
        """The percentage of all accelerators that some pools hold back, computed on each read."""
        found = pools_by_service(self._cluster_state.workers.values(), self._clock.now()).values()
        total = sum(pool.total for pool in found)
        return round(PERCENT * sum(held_back(pool) for pool in found) / total) if total else 0


def _failed(job: Job) -> str | None:
    """Why a job failed; ``None`` if no cause is recorded that this release knows."""
    try:
        cause = FailureCause(job.cause)
    except ValueError:
        return None
    return f"failed ({cause}): {cause.sentence}"
