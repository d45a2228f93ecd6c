"""Learns how fast each worker is, from the progress and the ends of its runs.

:class:`SpeedTracker` sets ``time_factor`` and ``speed_known`` of workers. The cost of a report is a
few lookups: steps are compared, and workers estimated, in bulk at the beginning of a round.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
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
from saddlestack.policy.cluster.speed_gangs import GangSpread
from saddlestack.policy.cluster.speed_records import (
    KNOWN_WEIGHT,
    LEAST_CONFIDENCE,
    SpeedChange,
    SpeedEstimate,
    SpeedRow,
    WorkerSpeed,
)
from saddlestack.policy.cluster.speed_reports import Members, RunReports
from saddlestack.policy.cluster.speed_services import CONFIRMING_RUNS, ServiceSpeeds
from saddlestack.policy.cluster.speed_steps import StepComparison
from saddlestack.policy.cluster.workers import Worker

SLOW_FACTOR = 1.5
"""Factor above which a worker counts as slow in metrics: urgent jobs tolerate no more."""
EXPIRY_INTERVAL_S = 5.0
"""Time between two scans for speeds that are no longer known and steps that are over."""
ESTIMATES_PER_S = 1_000
"""Most known workers that are estimated again per second, 2 percent of a core."""
MAX_ESTIMATES = 500
"""Most known workers that are estimated again in one round."""
NEW_INCARNATION_SHARE = 1 / 3
"""Share of the confidence in a machine that its next incarnation starts with: it may have been
repaired or moved."""
MAX_CONFIDENCE = 0.95
"""Highest confidence that is taken over, nine times the weight of a piece from a wide step."""

_BY_TIME = attrgetter("updated_s")


@dataclass(slots=True)
class _Memory:
    """What is known of a machine without a worker.

    :param inherited: an earlier leader has seen it, so its worker may still be the same one.
    """

    evidence: Evidence
    inherited: bool


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
        self._reports = RunReports(
            self._speed, lambda speed: self._service(speed).gangs, self._compare_over
        )
        self._urgent: dict[WorkerSpeed, None] = {}
        self._stale: dict[WorkerSpeed, None] = {}
        self._changes: list[SpeedChange] = []
        self._refreshed_s = -math.inf
        self._expired_s = -math.inf

    # Workers and jobs

    def add_worker(self, worker: Worker) -> None:
        """Note a worker incarnation or its new record; it starts with the speed of its machine."""
        speed = self._workers.get(worker.worker_id)
        if speed is None:
            speed = WorkerSpeed(worker, worker.machine, worker.record.service)
            self._workers[worker.worker_id] = speed
            self._service(speed).workers += 1
            self._recall(speed)
        elif speed.machine != worker.machine or speed.service != worker.record.service:
            self._move(speed)

    def _move(self, speed: WorkerSpeed) -> None:
        """Apply the machine and the service of a new record."""
        self._service(speed).remove(speed)
        self._service(speed).workers -= 1
        if self._machines.get(speed.machine) is speed:
            del self._machines[speed.machine]
        speed.machine, speed.service = speed.worker.machine, speed.worker.record.service
        self._service(speed).workers += 1
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
        self._service(speed).workers -= 1
        self._urgent.pop(speed, None)
        self._stale.pop(speed, None)

    def forget_job(self, job_id: str) -> None:
        """Drop what is kept for the steps of a job."""
        self._reports.forget_job(job_id)

    # Reports

    def observe_progress(self, worker: Worker, run: Run, members: Members, now: float) -> None:
        """Take in a reported row, whose progress ``run`` holds.

        :param members: returns all runs of the run's gang, or it alone.
        """
        self._reports.observe_progress(worker, run, members, now)

    def observe_end(self, worker: Worker, run: Run, how: EndKind, now: float) -> None:
        """Take in the end of a run, after it was applied to its task."""
        self._reports.observe_end(worker, run, how, now)

    def discard_run(self, run: Run) -> None:
        """Drop a run that gives no evidence, since it was lost or did not end well."""
        self._reports.discard_run(run)

    # Estimates

    def refresh(self, now: float) -> None:
        """Renew the factors from what was reported since the last call."""
        elapsed_s, self._refreshed_s = now - self._refreshed_s, now
        self._reports.latest_s = now
        for comparison in self._reports.take_due(now):
            self._compare(comparison, now)
        self._estimate_changed(now, elapsed_s)
        if now - self._expired_s >= EXPIRY_INTERVAL_S:
            self._expired_s = now
            self._expire(now)
        for service in self._services.values():
            for speed in service.renew(now):
                self._changes.append(speed.change(now, self.half_life_s))

    def _compare_over(self, comparison: StepComparison) -> None:
        self._compare(comparison, self._reports.latest_s)

    def _compare(self, comparison: StepComparison, now: float) -> None:
        gangs = comparison.gangs
        was_even = gangs is not None and gangs.is_even
        found = comparison.compare(now, is_unequal=self._is_unequal(comparison))
        if gangs is not None and was_even and not gangs.is_even:
            self._drop_even_evidence(gangs)
        for speed, piece in found:
            if speed.gone:
                continue
            if not piece.dropped and piece not in speed.pieces:
                speed.pieces.append(piece)
            queue = self._stale if speed.known else self._urgent
            queue[speed] = None

    def _drop_even_evidence(self, gangs: GangSpread) -> None:
        """Drop the evidence of gangs that counted as even, as they turned out to be uneven."""
        for speed in self._workers.values():
            if self._service(speed).gangs is gangs and any(p.is_even for p in speed.pieces):
                for piece in speed.pieces:
                    piece.dropped = piece.dropped or piece.is_even
                self._urgent[speed] = None

    def _is_unequal(self, comparison: StepComparison) -> bool:
        return any(self._service(speed).is_unequal for speed in islice(comparison.shares, 1))

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
        self._reports.close_over()

    # Results

    def estimate(self, worker_id: str, now: float | None = None) -> SpeedEstimate | None:
        """The speed of a worker; ``None`` if it is not known.

        :param now: the time for which the confidence holds; by default that of the latest event.
        """
        speed = self._workers.get(worker_id)
        if speed is None:
            return None
        return speed.estimate(self._reports.latest_s if now is None else now, self.half_life_s)

    def typical_work_s(self, step: StepState) -> float | None:
        """Seconds that a task of a step works on a usual worker, or ``None`` if unknown."""
        return self._reports.work.seconds(step)

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


def _row(machine: str, evidence: Evidence, now: float) -> SpeedRow:
    confidence = confidence_of(evidence.weight)
    age_s = max(0.0, now - evidence.updated_s)
    return SpeedRow(machine, math.exp(evidence.excess), confidence, 1, age_s)
