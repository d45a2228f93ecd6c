"""Learns how fast each worker is, from the progress and the ends of its runs.

:class:`SpeedTracker` sets ``time_factor`` and ``speed_known`` of workers. The cost of a report is a
few lookups: steps are compared, and workers estimated, in bulk at the beginning of a round.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from itertools import islice
from operator import attrgetter

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.policy.cluster.options import SchedulingOptions
from saddlestack.policy.cluster.speed_evidence import (
    MAX_PIECES,
    Evidence,
    confidence_of,
    decay,
    drop_contradicted,
    estimate,
    weight_for,
)
from saddlestack.policy.cluster.speed_records import (
    KNOWN_WEIGHT,
    LEAST_CONFIDENCE,
    SpeedChange,
    SpeedEstimate,
    SpeedRow,
    WorkerSpeed,
)
from saddlestack.policy.cluster.speed_services import CONFIRMING_RUNS, ServiceSpeeds
from saddlestack.policy.cluster.speed_steps import (
    FIRST_PERCENT,
    FIRST_S,
    MIN_RENEWAL_S,
    RENEWAL_S_PER_STEP,
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
SLOW_FACTOR = 1.5
"""Factor above which a worker counts as slow in metrics: urgent jobs tolerate no more."""
SCAN_INTERVAL_S = 0.25
"""Time between two scans for steps with few new rates."""
EXPIRY_INTERVAL_S = 5.0
"""Time between two scans for speeds that are no longer known and steps that are over."""
ESTIMATES_PER_S = 1_000
"""Most known workers that are estimated again per second, 2 percent of a core."""
MAX_ESTIMATES = 500
"""Most known workers that are estimated again in one round."""
RUNS_PER_S = 1_000
"""Runs per second that are compared, in whole steps; the others are left out. A compared run takes
about 0.1 ms in all on a busy machine, so this is a tenth of a core. Each of 10,000 workers still
gives six pieces of evidence in a minute."""
FIRST_RUNS_PER_S = 4_000
"""The same where the worker that reports first is not known, as after the start of a cluster."""
NEW_INCARNATION_SHARE = 1 / 3
"""Share of the confidence in a machine that its next incarnation starts with: it may have been
repaired or moved."""
MAX_CONFIDENCE = 0.95
"""Highest confidence that is taken over, nine times the weight of a piece from a wide step."""

_BY_TIME = attrgetter("updated_s")

Members = Callable[[Run], Sequence[Run]]
"""Returns the runs that work together with a run, including itself."""


@dataclass(slots=True)
class _Memory:
    """What is known of a machine without a worker.

    :param inherited: an earlier leader has seen it, so its worker may still be the same one.
    """

    evidence: Evidence
    inherited: bool


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


class SpeedTracker:
    """The speeds of all workers of a cluster. Times are seconds on the scheduler's clock.

    :ivar half_life_s: time after which evidence counts half.
    """

    def __init__(self, options: SchedulingOptions) -> None:
        self.half_life_s = options.speed_memory_s
        self._workers: dict[str, WorkerSpeed] = {}
        self._machines: dict[str, WorkerSpeed] = {}
        self._memories: dict[str, _Memory] = {}
        self._services: dict[str, ServiceSpeeds] = {}
        self._steps: dict[StepState, StepComparison] = {}
        self._steps_of_jobs: dict[str, dict[StepState, None]] = {}
        self._work = TypicalWork()
        self._budget = _RunBudget(RUNS_PER_S)
        self._first_budget = _RunBudget(FIRST_RUNS_PER_S)
        self._due: dict[StepComparison, None] = {}
        self._pending: dict[StepComparison, None] = {}
        self._urgent: dict[WorkerSpeed, None] = {}
        self._stale: dict[WorkerSpeed, None] = {}
        self._changes: list[SpeedChange] = []
        self._latest_s = 0.0
        self._refreshed_s = -math.inf
        self._scanned_s = -math.inf
        self._expired_s = -math.inf

    # Workers and jobs

    def add_worker(self, worker: Worker) -> None:
        """Note a worker incarnation or its new record; it starts with the speed of its machine."""
        speed = self._workers.get(worker.worker_id)
        if speed is None:
            speed = WorkerSpeed(worker, worker.machine, worker.record.service)
            self._workers[worker.worker_id] = speed
            self._recall(speed)
        elif speed.machine != worker.machine or speed.service != worker.record.service:
            self._move(speed)

    def _move(self, speed: WorkerSpeed) -> None:
        """Apply the machine and the service of a new record."""
        self._service(speed).remove(speed)
        if self._machines.get(speed.machine) is speed:
            del self._machines[speed.machine]
        speed.machine, speed.service = speed.worker.machine, speed.worker.record.service
        self._recall(speed)
        self._urgent[speed] = None

    def _recall(self, speed: WorkerSpeed) -> None:
        """Take over what is known of the machine from its earlier incarnation."""
        if not speed.machine:
            return
        before = self._machines.get(speed.machine)
        self._machines[speed.machine] = speed
        memory = self._memories.pop(speed.machine, None)
        if before is not None and before is not speed:
            memory = self._memory_of(before) or memory
        if memory is None or speed.prior is not None:
            return
        share = 1.0 if memory.inherited else NEW_INCARNATION_SHARE
        evidence = memory.evidence
        if not memory.inherited:
            evidence.weight = weight_for(confidence_of(evidence.weight) * share)
        speed.prior = evidence
        self._urgent[speed] = None

    def _memory_of(self, speed: WorkerSpeed) -> _Memory | None:
        if speed.belief is None or speed.level is None:
            return None
        runs = max(speed.belief.runs, CONFIRMING_RUNS)
        weight = speed.belief.weight / decay(
            speed.estimated_s - speed.belief.updated_s, self.half_life_s
        )
        weight = min(weight, weight_for(MAX_CONFIDENCE))
        evidence = Evidence(math.log(speed.factor), weight, runs, speed.belief.updated_s)
        return _Memory(evidence, inherited=False)

    def forget_worker(self, worker: Worker) -> None:
        """Drop a worker incarnation; what is known of its machine is kept for the next one."""
        speed = self._workers.pop(worker.worker_id, None)
        if speed is None:
            return
        if speed.machine and self._machines.get(speed.machine) is speed:
            del self._machines[speed.machine]
            memory = self._memory_of(speed)
            if memory is not None:
                self._memories[speed.machine] = memory
        speed.gone = True
        self._service(speed).remove(speed)
        self._urgent.pop(speed, None)
        self._stale.pop(speed, None)

    def forget_job(self, job_id: str) -> None:
        """Drop what is kept for the steps of a job."""
        for step in list(self._steps_of_jobs.get(job_id, ())):
            self._close(step)

    # Reports

    def observe_progress(self, worker: Worker, run: Run, members: Members, now: float) -> None:
        """Take in a reported row, whose progress ``run`` holds.

        :param members: returns all runs of the run's gang, or it alone.
        """
        percent = run.percent
        if percent < FIRST_PERCENT:
            return
        step = run.task.step
        comparison = self._steps.get(step)
        if comparison is not None:
            if comparison.is_left_out:
                return
            rate = comparison.rates.get(run.task.name.index)
            if rate is not None and rate.number == run.number:
                if percent >= rate.next_percent:
                    self._renew_rate(comparison, rate, worker, run, now)
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
        self._latest_s = now
        if how is not EndKind.DONE:
            self.discard_run(run)
            return
        if not gives_evidence(step):
            return
        comparison = self._steps.get(step)
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
        comparison = self._steps.get(step)
        if comparison is None:
            return
        rate = comparison.rates.get(run.task.name.index)
        if rate is not None and rate.number == run.number:
            comparison.discard(run.task.name.index)
            self._note(comparison, self._latest_s)
        self._close_if_over(step)

    def _open(self, step: StepState, worker: Worker, now: float) -> StepComparison:
        comparison = self._steps[step] = StepComparison()
        runs = len(step.tasks)
        comparison.is_left_out = not self._budget.take(runs, now) and (
            self._speed(worker).known or not self._first_budget.take(runs, now)
        )
        self._steps_of_jobs.setdefault(step.occurrence.job.job_id, {})[step] = None
        return comparison

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
        rate = comparison.open_rate(run, self._speed(worker), began_s)
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
        if elapsed_s < FIRST_S:
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
            self._work.add(step, math.log(now - began_s) - self._speed(worker).offset)
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
        self._work.add(step, length)

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
        return max(MIN_RENEWAL_S, RENEWAL_S_PER_STEP * len(self._steps))

    def _close_if_over(self, step: StepState) -> None:
        comparison = self._steps.get(step)
        if comparison is None or comparison.running:
            return
        if step.finished or not step.occurrence.open:
            if comparison in self._due or comparison in self._pending:
                self._compare(comparison, self._latest_s)
            self._close(step)

    def _close(self, step: StepState) -> None:
        comparison = self._steps.pop(step, None)
        if comparison is not None:
            self._due.pop(comparison, None)
            self._pending.pop(comparison, None)
        job_id = step.occurrence.job.job_id
        steps = self._steps_of_jobs.get(job_id)
        if steps is not None:
            steps.pop(step, None)
            if not steps:
                del self._steps_of_jobs[job_id]

    # Estimates

    def refresh(self, now: float) -> None:
        """Renew the factors from what was reported since the last call."""
        elapsed_s, self._refreshed_s = now - self._refreshed_s, now
        self._latest_s = now
        if now - self._scanned_s >= SCAN_INTERVAL_S:
            self._scanned_s = now
            renewal_s = self._renewal_s
            self._due.update((each, None) for each in self._pending if each.is_due(now, renewal_s))
        due, self._due = self._due, {}
        for comparison in due:
            self._pending.pop(comparison, None)
            self._compare(comparison, now)
        self._estimate_changed(now, elapsed_s)
        if now - self._expired_s >= EXPIRY_INTERVAL_S:
            self._expired_s = now
            self._expire(now)
        for service in self._services.values():
            for speed in service.renew(now):
                self._changes.append(speed.change(now, self.half_life_s))

    def _compare(self, comparison: StepComparison, now: float) -> None:
        for speed, piece in comparison.compare(now):
            if speed.gone:
                continue
            if not piece.dropped and piece not in speed.pieces:
                speed.pieces.append(piece)
            queue = self._stale if speed.known else self._urgent
            queue[speed] = None

    def _estimate_changed(self, now: float, elapsed_s: float) -> None:
        """Estimate workers with new evidence: all unknown ones, and some of the known ones."""
        urgent, self._urgent = self._urgent, {}
        for speed in urgent:
            self._stale.pop(speed, None)
            self._estimate(speed, now)
        allowed = int(min(float(MAX_ESTIMATES), max(1.0, elapsed_s * ESTIMATES_PER_S)))
        for speed in list(islice(self._stale, allowed)):
            del self._stale[speed]
            self._estimate(speed, now)

    def _estimate(self, speed: WorkerSpeed, now: float) -> None:
        pieces = [piece for piece in speed.pieces if not piece.dropped]
        pieces.sort(key=_BY_TIME)
        if drop_contradicted(pieces, speed.prior):
            pieces = pieces[-2:]
        if len(pieces) > MAX_PIECES:
            for piece in pieces[:-MAX_PIECES]:
                piece.dropped = True
            pieces = pieces[-MAX_PIECES:]
        speed.pieces = pieces
        if speed.prior is not None and speed.prior.dropped:
            speed.prior = None
        speed.belief = estimate(pieces, speed.prior, now, self.half_life_s)
        speed.estimated_s = now
        if self._is_known(speed, now):
            if self._service(speed).add(speed):
                self._changes.append(speed.change(now, self.half_life_s))
        else:
            self._set_unknown(speed, now)

    def _is_known(self, speed: WorkerSpeed, now: float) -> bool:
        if speed.belief is None:
            return False
        weight = speed.weight(now, self.half_life_s)
        if confidence_of(weight) < LEAST_CONFIDENCE:
            return False
        return speed.known or speed.prior is not None or weight >= KNOWN_WEIGHT

    def _set_unknown(self, speed: WorkerSpeed, now: float) -> None:
        if speed.known and self._service(speed).remove(speed):
            self._changes.append(speed.change(now, self.half_life_s))

    def _expire(self, now: float) -> None:
        """Drop speeds that are no longer known, and steps that are over."""
        for speed in self._workers.values():
            if speed.known and speed.confidence(now, self.half_life_s) < LEAST_CONFIDENCE:
                speed.pieces = []
                speed.prior = None
                speed.belief = None
                self._set_unknown(speed, now)
        for machine, memory in list(self._memories.items()):
            age_s = now - memory.evidence.updated_s
            weight = memory.evidence.weight * decay(age_s, self.half_life_s)
            if confidence_of(weight) < LEAST_CONFIDENCE:
                del self._memories[machine]
        for step in list(self._steps):
            self._close_if_over(step)

    # Results

    def estimate(self, worker_id: str, now: float | None = None) -> SpeedEstimate | None:
        """The speed of a worker; ``None`` if it is not known.

        :param now: the time for which the confidence holds; by default that of the latest event.
        """
        speed = self._workers.get(worker_id)
        if speed is None:
            return None
        return speed.estimate(self._latest_s if now is None else now, self.half_life_s)

    def typical_work_s(self, step: StepState) -> float | None:
        """Seconds that a task of a step works on a usual worker, or ``None`` if unknown."""
        return self._work.seconds(step)

    def take_changed(self) -> list[SpeedChange]:
        """The changes of level since the last call."""
        changes, self._changes = self._changes, []
        return changes

    @property
    def known_workers(self) -> int:
        """Number of workers whose speed is known."""
        return sum(1 for speed in self._workers.values() if speed.level is not None)

    @property
    def slow_workers(self) -> int:
        """Number of workers with a factor above :data:`SLOW_FACTOR`."""
        return sum(1 for s in self._workers.values() if s.worker.time_factor > SLOW_FACTOR)

    @property
    def machine_count(self) -> int:
        """Number of machines that have a worker, or of which something is known."""
        return len(self._machines) + len(self._memories)

    def snapshot(
        self, now: float, wanted: Callable[[str], bool] = lambda machine: True
    ) -> list[SpeedRow]:
        """What the next leader should know of each machine.

        :param wanted: selects machines.
        """
        rows = []
        for machine, speed in self._machines.items():
            if wanted(machine):
                row = speed.row(now, self.half_life_s)
                if row is not None:
                    rows.append(row)
        for machine, memory in self._memories.items():
            if wanted(machine):
                rows.append(_row(machine, memory.evidence, now))
        return rows

    def inherit(self, rows: Iterable[SpeedRow], now: float) -> int:
        """Take over what an earlier leader knew, unless more is known already.

        :return: number of machines that were taken over.
        """
        count = 0
        for row in rows:
            confidence = min(row.confidence, MAX_CONFIDENCE)
            age_s = max(0.0, row.age_s)
            weight = weight_for(confidence)
            if confidence_of(weight * decay(age_s, self.half_life_s)) < LEAST_CONFIDENCE:
                continue
            evidence = Evidence(math.log(row.factor), weight, CONFIRMING_RUNS, now - age_s)
            speed = self._machines.get(row.machine)
            if speed is None:
                self._memories[row.machine] = _Memory(evidence, inherited=True)
            elif not speed.pieces and speed.prior is None:
                speed.prior = evidence
                self._urgent[speed] = None
            else:
                continue
            count += 1
        return count

    def _speed(self, worker: Worker) -> WorkerSpeed:
        speed = self._workers.get(worker.worker_id)
        if speed is None:
            self.add_worker(worker)
            speed = self._workers[worker.worker_id]
        return speed

    def _service(self, speed: WorkerSpeed) -> ServiceSpeeds:
        service = self._services.get(speed.service)
        if service is None:
            service = self._services[speed.service] = ServiceSpeeds()
        return service


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


def _shows_speed(worker: Worker, run: Run, began_s: float) -> bool:
    """Whether a run has worked at the full speed of its worker since it began."""
    return run.pace >= FULL_PACE and worker.cold_until_s <= began_s


def _is_far(worker: Worker, run: Run) -> bool:
    """Whether a run is far from its data, where it takes longer on any worker."""
    data_rack = run.task.step.step.data_rack
    return bool(data_rack) and worker.record.rack != data_rack


def _row(machine: str, evidence: Evidence, now: float) -> SpeedRow:
    confidence = confidence_of(evidence.weight)
    age_s = max(0.0, now - evidence.updated_s)
    return SpeedRow(machine, math.exp(evidence.excess), confidence, 1, age_s)
