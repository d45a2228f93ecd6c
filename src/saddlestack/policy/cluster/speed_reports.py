"""Takes in what workers report of their runs, and tells which steps have to be compared."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.speed_gangs import GangSpread
from saddlestack.policy.cluster.speed_records import WorkerSpeed
from saddlestack.policy.cluster.speed_steps import (
    FIRST_PERCENT,
    FIRST_S,
    MIN_RENEWAL_S,
    RENEWAL_S_PER_STEP,
    URGENT_FIRST_PERCENT,
    URGENT_FIRST_S,
    WAITING_PERCENT,
    RunRate,
    StepComparison,
    gives_evidence,
)
from saddlestack.policy.cluster.typical_work import TypicalWork
from saddlestack.policy.cluster.workers import Worker

FULL_PACE = 100
"""Pace in percent at which a run is not slowed down."""
INHERITED_PERCENT = 10
"""Progress between two reports from which on the rate of an inherited run counts."""
PERCENT_GROWTH = 2.5
"""Growth of the progress after which a rate is renewed, which makes three rates per run: a later
rate differs little from the one before."""
SCAN_INTERVAL_S = 0.25
"""Time between two scans for steps with few new rates."""
RUNS_PER_S = 1_000
"""Runs per second that are compared, in whole steps; the others are left out. A compared run takes
about 0.1 ms in all on a busy machine, so this is a tenth of a core. Each of 10,000 workers still
gives six pieces of evidence in a minute."""
FIRST_RUNS_PER_S = 4_000
"""The same where the worker that reports first is not known, as after the start of a cluster."""

Members = Callable[[Run], Sequence[Run]]
"""Returns the runs that work together with a run, including itself."""


class _RunBudget:
    """Limits the runs that are compared per second. A step may exceed it and is then owed."""

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._left = per_s
        self._at_s = -math.inf

    def take(self, runs: int, now: float) -> bool:
        """Take the runs of a step, if any are left."""
        self._left = min(self._per_s, self._left + self._per_s * max(0.0, now - self._at_s))
        self._at_s = now
        if self._left <= 0.0:
            return False
        self._left -= runs
        return True


class RunReports:
    """The rates of the runs of all steps, from their progress and their ends.

    :ivar steps: the comparisons by step.
    :ivar steps_of_jobs: those steps by job.
    :ivar work: how long the tasks of steps work on a usual worker.
    :ivar latest_s: time of the latest event.
    """

    def __init__(
        self,
        speed_of: Callable[[Worker], WorkerSpeed],
        gangs_of: Callable[[WorkerSpeed], GangSpread],
        on_over: Callable[[StepComparison], None],
    ) -> None:
        """
        :param on_over: called with a comparison whose step is over and that has new rates.
        """
        self._speed_of = speed_of
        self._gangs_of = gangs_of
        self._on_over = on_over
        self.steps: dict[StepState, StepComparison] = {}
        self.steps_of_jobs: dict[str, dict[StepState, None]] = {}
        self.work = TypicalWork()
        self.latest_s = 0.0
        self._budget = _RunBudget(RUNS_PER_S)
        self._first_budget = _RunBudget(FIRST_RUNS_PER_S)
        self._due: dict[StepComparison, None] = {}
        self._pending: dict[StepComparison, None] = {}
        self._scanned_s = -math.inf

    def forget_job(self, job_id: str) -> None:
        """Drop what is kept for the steps of a job."""
        for step in list(self.steps_of_jobs.get(job_id, ())):
            self._close(step)

    def observe_progress(self, worker: Worker, run: Run, members: Members, now: float) -> None:
        """Take in a reported row, whose progress ``run`` holds.

        :param members: returns all runs of the run's gang, or it alone.
        """
        percent = run.percent
        if percent < URGENT_FIRST_PERCENT:
            return
        step = run.task.step
        comparison = self.steps.get(step)
        if comparison is not None:
            if comparison.is_left_out:
                return
            rate = comparison.rates.get(run.task.name.index)
            if rate is not None and rate.number == run.number:
                if percent >= rate.next_percent:
                    self._renew_rate(comparison, rate, worker, run, now)
                return
        if percent < FIRST_PERCENT and not _is_urgent_gang(step):
            return
        if run.stopping or not step.occurrence.open or not gives_evidence(step):
            return
        if comparison is None:
            comparison = self._open(step, worker, now)
            if comparison.is_left_out:
                return
        rate = self._open_rate(comparison, worker, run, members, now)
        if rate is not None and percent >= rate.next_percent:
            self._renew_rate(comparison, rate, worker, run, now)

    def observe_end(self, worker: Worker, run: Run, how: EndKind, now: float) -> None:
        """Take in the end of a run, after it was applied to its task."""
        step = run.task.step
        self.latest_s = now
        if how is not EndKind.DONE:
            self.discard_run(run)
            return
        if not gives_evidence(step):
            return
        comparison = self.steps.get(step)
        if comparison is None:
            comparison = self._open(step, worker, now)
        if comparison.is_left_out:
            self._close_if_over(step)
            return
        rate = comparison.rates.get(run.task.name.index)
        if rate is not None and rate.number != run.number:
            rate = None
        if step.step.gang:
            self._end_gang(step, comparison, rate, now)
        elif not run.inherited:
            self._end_single(step, comparison, rate, worker, run, now)
        elif rate is not None:
            comparison.end(rate)
        self._close_if_over(step)

    def discard_run(self, run: Run) -> None:
        """Drop a run that gives no evidence, since it was lost or did not end well."""
        step = run.task.step
        comparison = self.steps.get(step)
        if comparison is None:
            return
        rate = comparison.rates.get(run.task.name.index)
        if rate is not None and rate.number == run.number:
            comparison.discard(run.task.name.index)
            self._note(comparison, self.latest_s)
        self._close_if_over(step)

    def _open(self, step: StepState, worker: Worker, now: float) -> StepComparison:
        speed = self._speed_of(worker)
        comparison = self.steps[step] = self._new_comparison(step, speed)
        runs = len(step.tasks)
        comparison.is_left_out = not self._budget.take(runs, now) and (
            speed.known or not self._first_budget.take(runs, now)
        )
        self.steps_of_jobs.setdefault(step.occurrence.job.job_id, {})[step] = None
        return comparison

    def _new_comparison(self, step: StepState, speed: WorkerSpeed) -> StepComparison:
        gangs = self._gangs_of(speed) if step.step.gang and len(step.tasks) > 1 else None
        if _is_urgent_gang(step):
            return StepComparison(gangs, URGENT_FIRST_PERCENT, URGENT_FIRST_S)
        return StepComparison(gangs)

    def _open_rate(
        self,
        comparison: StepComparison,
        worker: Worker,
        run: Run,
        members: Members | None,
        now: float,
    ) -> RunRate | None:
        """Begin to track a run; ``None`` if it is not known when it began to work."""
        began_s = _began_s(comparison, run, members, now)
        if began_s is None:
            return None
        rate = comparison.open_rate(run, self._speed_of(worker), began_s)
        if run.task.record.saved or _is_far(worker, run):
            comparison.exclude(rate)
        elif run.inherited:
            rate.first_percent = run.percent
            rate.next_percent = run.percent + INHERITED_PERCENT
        return rate

    def _renew_rate(
        self, comparison: StepComparison, rate: RunRate, worker: Worker, run: Run, now: float
    ) -> None:
        percent = run.percent
        if run.stopping or rate.ended or (run.task.step.step.gang and percent >= WAITING_PERCENT):
            return
        if not _shows_speed(worker, run, rate.began_s):
            comparison.exclude(rate)
            self._note(comparison, now)
            return
        elapsed_s = now - rate.began_s
        if elapsed_s < comparison.first_s:
            return
        done = percent - rate.first_percent if rate.first_percent else min(percent + 0.5, 100.0)
        rate.next_percent = int(rate.first_percent + done * PERCENT_GROWTH)
        comparison.set_duration(rate, elapsed_s * 100.0 / done)
        self._note(comparison, now)

    def _end_single(
        self,
        step: StepState,
        comparison: StepComparison,
        rate: RunRate | None,
        worker: Worker,
        run: Run,
        now: float,
    ) -> None:
        began_s = run.started_s
        if rate is None:
            rate = self._open_rate(comparison, worker, run, None, now)
        is_evidence = (
            began_s is not None
            and now - began_s >= FIRST_S
            and _shows_speed(worker, run, began_s)
            and not (run.task.record.saved or _is_far(worker, run))
        )
        if is_evidence and began_s is not None:
            self.work.add(step, math.log(now - began_s) - self._speed_of(worker).offset)
        if rate is None:
            return
        if rate.is_excluded or not is_evidence:
            comparison.exclude(rate)
        else:
            comparison.set_duration(rate, now - rate.began_s)
        self._note(comparison, now)
        comparison.end(rate)

    def _end_gang(
        self, step: StepState, comparison: StepComparison, rate: RunRate | None, now: float
    ) -> None:
        if rate is not None:
            comparison.end(rate)
        if comparison.is_counted or comparison.gang_began is None:
            return
        comparison.is_counted = True
        speeds = [each.speed for each in comparison.rates.values()]
        racks = {speed.worker.record.rack for speed in speeds}
        duration_s = now - comparison.gang_began[1]
        if duration_s <= 0.0 or (step.step.same_rack and len(racks) > 1):
            return
        length = comparison.length
        if length is None:
            slowest = max((speed.offset for speed in speeds), default=0.0)
            length = math.log(duration_s) - max(0.0, slowest)
        self.work.add(step, length)

    def _note(self, comparison: StepComparison, now: float) -> None:
        """Queue a step whose rates have changed."""
        if comparison in self._due:
            return
        if comparison.is_due(now, self._renewal_s):
            self._due[comparison] = None
        else:
            self._pending[comparison] = None

    @property
    def _renewal_s(self) -> float:
        """Time after which a step with any new rate is compared again."""
        return max(MIN_RENEWAL_S, RENEWAL_S_PER_STEP * len(self.steps))

    def _close_if_over(self, step: StepState) -> None:
        comparison = self.steps.get(step)
        if comparison is None or comparison.running:
            return
        if step.finished or not step.occurrence.open:
            if comparison in self._due or comparison in self._pending:
                self._on_over(comparison)
            self._close(step)

    def _close(self, step: StepState) -> None:
        comparison = self.steps.pop(step, None)
        if comparison is not None:
            self._due.pop(comparison, None)
            self._pending.pop(comparison, None)
        job_id = step.occurrence.job.job_id
        steps = self.steps_of_jobs.get(job_id)
        if steps is not None:
            steps.pop(step, None)
            if not steps:
                del self.steps_of_jobs[job_id]

    def take_due(self, now: float) -> list[StepComparison]:
        """The steps with enough new rates to compare their runs again."""
        if now - self._scanned_s >= SCAN_INTERVAL_S:
            self._scanned_s = now
            renewal_s = self._renewal_s
            self._due.update((each, None) for each in self._pending if each.is_due(now, renewal_s))
        due, self._due = self._due, {}
        for comparison in due:
            self._pending.pop(comparison, None)
        return list(due)

    def close_over(self) -> None:
        """Drop what is kept for steps that are over."""
        for step in list(self.steps):
            self._close_if_over(step)


def _began_s(
    comparison: StepComparison, run: Run, members: Members | None, now: float
) -> float | None:
    """When a run began to work; ``None`` while that is not known.

    For a run of an earlier leader only the progress between two reports counts.
    """
    if run.inherited:
        return now
    if not run.task.step.step.gang:
        return run.started_s
    if comparison.gang_began is not None and comparison.gang_began[0] == run.number:
        return comparison.gang_began[1]
    if members is None:
        return None
    began_s = 0.0
    for member in members(run):
        if member.started_s is None or member.inherited:
            return None
        began_s = max(began_s, member.started_s)
    comparison.gang_began = (run.number, began_s)
    return began_s


def _is_urgent_gang(step: StepState) -> bool:
    return step.step.gang and len(step.tasks) > 1 and step.occurrence.job.priority == 0


def _shows_speed(worker: Worker, run: Run, began_s: float) -> bool:
    """Whether a run has worked at the full speed of its worker since it began."""
    return run.pace >= FULL_PACE and worker.cold_until_s <= began_s


def _is_far(worker: Worker, run: Run) -> bool:
    """Whether a run is far from its data, where it takes longer on any worker."""
    data_rack = run.task.step.step.data_rack
    return bool(data_rack) and worker.record.rack != data_rack
