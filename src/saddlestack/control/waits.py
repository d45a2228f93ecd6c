"""What jobs wait for, as the leader tells it: log lines, figures, and answers to callers.

Looked at as often as the leader ticks, beside its decisions; none of them goes by it.
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
"""From one look to the next; as often as the leader ticks, so that a wait told of after 1 s and a
standstill after 3 s are told of half a second later at most."""
REPORT_AFTER_S = 1.0
"""A wait is told of once it has lasted so long: most last for less than a round of decisions."""
MAX_STALL_LINES = 10
"""Lines ``stands_still`` in one look..."""
MAX_WAIT_LINES = 10
"""...and lines ``waits``: 40 lines a second in all at two looks a second. The rest is counted in
one line; a wait that was left out is told of in a later look."""
PERCENT = 100


@dataclass(slots=True)
class WaitFigures:
    """How many jobs and tasks wait, by reason.

    :param tasks: of the jobs that were looked at.
    """

    jobs: Counter[WaitReason] = field(default_factory=Counter)
    tasks: Counter[WaitReason] = field(default_factory=Counter)

    @classmethod
    def of(cls, looked: WaitReport) -> WaitFigures:
        """Counts what a look has found."""
        figures = cls()
        figures.jobs[WaitReason.LEFT_OUT] = looked.left_out
        for wait in looked.waits:
            figures.jobs[wait.reason] += 1
            figures.tasks[wait.reason] += wait.tasks
            figures.tasks[WaitReason.EARLIER_STEP] += wait.later_tasks
        return figures


def reset_gauges(metrics: Metrics) -> None:
    """Show that nothing waits: a VM that does not lead knows of no wait."""
    _show(metrics, lambda reason: 0, lambda reason: 0, lambda: 0, lambda: 0, lambda: 0)


def _show(
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
    """Tells what the jobs of one term wait for.

    :param lease_until_s: when every lease of a worker has lapsed.
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
        self._watch = StallDetector()
        self._writing: Counter[str] = Counter()
        self._planned_s = clock.now()
        self._looked_s = clock.now()
        self._late_s = 0.0
        self._round_full = False
        self._now: dict[str, Wait] = {}
        self._told: dict[str, WaitReason] = {}
        self._figures = WaitFigures()

    def register_gauges(self) -> None:
        """Show figures from now on; the first look follows."""
        self._looked_s = self._clock.now()
        _show(
            self._metrics,
            lambda reason: self._figures.jobs[reason],
            lambda reason: self._figures.tasks[reason],
            lambda: self._percent(lambda pool: pool.quarantined),
            lambda: self._percent(lambda pool: pool.on_probation),
            lambda: self._percent(lambda pool: pool.reserved_idle),
        )

    def close(self) -> None:
        """The term is over."""
        reset_gauges(self._metrics)

    # What the scheduler tells

    def round_finished(self, full: bool) -> None:
        """A round of decisions has been taken.

        :param full: it has left some for the next one.
        """
        self._planned_s = self._clock.now()
        self._round_full = full

    def write_started(self, jobs: Iterable[str]) -> None:
        """Records of some jobs are to be written."""
        self._writing.update(jobs)

    def write_finished(self, jobs: Iterable[str]) -> None:
        """Records of some jobs are in the store."""
        for job_id in jobs:
            self._writing[job_id] -= 1
            if self._writing[job_id] <= 0:
                del self._writing[job_id]

    # Looking

    def check(self, *, round_due: bool = False) -> None:
        """Look at all jobs, and tell of those that wait.

        :param round_due: whether a round of decisions would begin now.
        """
        began = self._clock.now()
        try:
            self._look(round_due)
        except Exception:
            # The next look may do; what fails here has no part in any decision.
            log.exception("waits were not looked at", extra={"event": "waits_failed"})
            self._metrics.count("waits_failures")
        self._metrics.time("waits_look", self._clock.now() - began)

    def _look(self, round_due: bool) -> None:
        now = self._clock.now()
        self._late_s = max(0.0, now - self._looked_s - CHECK_INTERVAL_S)
        self._looked_s = now
        looked = self._diagnosis.scan(self._circumstances(round_due))
        self._now = {wait.job_id: wait for wait in looked.waits}
        self._figures = WaitFigures.of(looked)
        self._tell_standstills()
        self._tell_waits()

    def explain(self, job_id: str) -> str | None:
        """What a job waits for, or why it failed, in a sentence; ``None`` where it runs."""
        job = self._cluster_state.jobs.get(job_id)
        if job is not None and job.published_state is JobState.FAILED:
            return _failed(job)
        wait = self._now.get(job_id)
        if wait is None:
            return None
        stood_s = self._clock.now() - wait.since_s
        reason = wait.reason
        return f"waits since {stood_s:.0f} s ({reason}): {reason.awaited}; ends with {reason.ends}"

    def _circumstances(self, round_due: bool) -> DiagnosisContext:
        return DiagnosisContext(
            now=self._clock.now(),
            wall_ms=self._clock.wall() * 1000,
            planned_s=self._planned_s,
            round_full=self._round_full,
            round_due=round_due,
            is_writing=self._writing.__contains__,
            lease_until_s=self._lease_until_s,
        )

    # Telling

    def _tell_standstills(self) -> None:
        standing = [wait.job_id for wait in self._now.values() if wait.could_start]
        found = self._watch.update(standing, self._clock.now())
        for standstill in found[:MAX_STALL_LINES]:
            self._tell_standstill(standstill)
        self._metrics.count("standstills", len(found))
        self._tell_left_out("stands_still", len(found) - MAX_STALL_LINES)

    def _tell_standstill(self, standstill: Stall) -> None:
        wait = self._now[standstill.job_id]
        log.warning(
            "a job stands still beside a free pool",
            extra={"event": "stands_still", **self._fields(wait, standstill.since_s)},
        )

    def _tell_waits(self) -> None:
        """Tell of each wait that has lasted for long enough, and again where its reason changes."""
        for job_id in [each for each in self._told if each not in self._now]:
            del self._told[job_id]
        due = [wait for wait in self._now.values() if self._is_to_tell(wait)]
        for wait in due[:MAX_WAIT_LINES]:
            self._told[wait.job_id] = wait.reason
            log.info("a job waits", extra={"event": "waits", **self._fields(wait, wait.since_s)})
        self._tell_left_out("waits", len(due) - MAX_WAIT_LINES)

    def _is_to_tell(self, wait: Wait) -> bool:
        if wait.reason is WaitReason.LEFT_OUT or self._told.get(wait.job_id) is wait.reason:
            return False
        return self._clock.now() - wait.since_s >= REPORT_AFTER_S

    def _tell_left_out(self, event: str, lines: int) -> None:
        if lines > 0:
            extra = {"event": "waits_left_out", "of": event, "lines": lines}
            log.info("lines about waits were left out", extra=extra)

    def _fields(self, wait: Wait, since_s: float) -> dict[str, object]:
        """What a line tells of a wait."""
        now = self._clock.now()
        left_s = None if wait.until_s is None else round(max(0.0, wait.until_s - now), 2)
        return {
            "job": wait.job_id,
            "reason": wait.reason.value,
            "stood_s": round(now - since_s, 2),
            "tasks": wait.tasks,
            "ends": wait.reason.ends,
            "ends_s": left_s,
            "late_s": round(self._late_s, 2),
        }

    # Figures

    def _percent(self, kept_out: Callable[[ServicePool], int]) -> int:
        """The share of all accelerators that is kept out, taken when it is asked for."""
        found = pools_by_service(self._cluster_state.workers.values(), self._clock.now()).values()
        total = sum(pool.total for pool in found)
        return round(PERCENT * sum(kept_out(pool) for pool in found) / total) if total else 0


def _failed(job: Job) -> str | None:
    """Why a job failed; ``None`` where no cause was kept that this release knows."""
    try:
        cause = FailureCause(job.cause)
    except ValueError:
        return None
    return f"failed ({cause}): {cause.sentence}"
