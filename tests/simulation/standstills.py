"""Detects accepted work that stalls although the pool is mostly free.

A job is stalled while none of its tasks runs at any worker, although it is acknowledged, is not
over, and a step of it could start: the step is due, its predecessors are done, and twice the
capacity that it needs is free while under half of the pool is used. A gang of one rack needs its
capacity in one rack, and twice that in the pool; a step with data on a rack may run on any rack.
Running work and free capacity are read from the workers; the leader is queried only for whether a
job is over.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from saddlestack.policy.stall import PoolUsage, StallDetector, has_free_capacity
from saddlestack.standins.loop import WALL_EPOCH_S
from saddlestack.work import FINAL_STATES, JobRequest, Step
from tests.simulation.demand import startable
from tests.simulation.deployment import Deployment, Vm
from tests.simulation.troubles import Rule, Troubles
from tests.simulation.workers import SimWorker

LOOK_S = 0.25
"""Interval of the scans. The shortest fault of a link lasts 0.3 s, so each one is seen."""


@dataclass(slots=True)
class FoundStandstill:
    """A stall that no rule explains.

    :param until_s: the last scan at which the job was stalled.
    """

    job_id: str
    since_s: float
    until_s: float
    text: str

    def __str__(self) -> str:
        return (
            f"stands still: [{self.job_id} {self.text}, from {self.since_s:.2f}"
            f" to {self.until_s:.2f} s]"
        )


@dataclass(slots=True)
class Standstills:
    """The stalls found so far.

    :param explained: for each rule, the number of stalls during which it held.
    """

    unexplained: list[FoundStandstill] = field(default_factory=list)
    explained: Counter[str] = field(default_factory=Counter)

    @property
    def longest_s(self) -> float:
        """Length of the longest stall that no rule explains."""
        return max((each.until_s - each.since_s for each in self.unexplained), default=0.0)


class PoolView:
    """The usage and the free capacity of the pool.

    :param counted: the workers that count as part of the pool.
    :param workers: those of them whose free capacity may be used.
    """

    def __init__(self, counted: list[SimWorker], workers: list[SimWorker]) -> None:
        total = sum(worker.room for worker in counted)
        free = sum(worker.free for worker in counted)
        self.use = PoolUsage(total - free, total)
        self._racks: dict[str, list[SimWorker]] = {}
        for worker in workers:
            self._racks.setdefault(worker.rack, []).append(worker)

    def has_free_capacity(self, step: Step) -> bool:
        """Whether there is enough free capacity to start a step of which nothing runs."""
        wanted = step.count if step.gang else 1
        racks = [_copies(step, workers) for workers in self._racks.values()]
        if not has_free_capacity(self.use, sum(racks), wanted):
            return False
        if not (step.gang and step.same_rack):
            return True
        return max(racks) >= wanted


def _copies(step: Step, workers: list[SimWorker]) -> int:
    copies = (worker.free // step.needs.accelerators for worker in workers)
    if not step.per_worker:
        return sum(copies)
    return sum(min(step.per_worker, each) for each in copies)


class StandstillJudge:
    """Scans a deployment for stalled jobs at regular intervals.

    :param jobs: all jobs that clients have submitted.
    """

    def __init__(self, site: Deployment, jobs: Mapping[str, tuple[str, JobRequest]]) -> None:
        self._site = site
        self._jobs = jobs
        # A separate loop, so that timers of other loops due at the same time keep their order.
        self._loop = site.timeline.loop("judge", random.Random(0))
        self._finished: set[str] = set()
        self._detector = StallDetector()
        self._unexplained_detector = StallDetector()
        self._rules: dict[str, set[Rule]] = {}
        self._open_stalls: dict[str, FoundStandstill] = {}
        self._leader: Vm | None = None
        self._term_began_s = 0.0
        self._starts_seen = 0
        self.found = Standstills()

    def begin(self) -> None:
        """Start scanning."""
        self._loop.call_later(LOOK_S, self._scan_again)

    def _scan_again(self) -> None:
        self._loop.call_later(LOOK_S, self._scan_again)
        self.look()

    def look(self) -> None:
        """Scan once."""
        now = self._loop.time()
        self._update_leader(now)
        self._update_finished()
        troubles = Troubles(self._site, now, self._leader, self._term_began_s)
        standing = self._stalled_jobs(troubles)
        for_all = set(troubles.of_all())
        rules = {job_id: for_all | set(troubles.of_job(job_id)) for job_id in standing}
        self._update_rules(rules)
        plain = {job_id: step for job_id, step in standing.items() if not rules[job_id]}
        self._record_unexplained(plain, now)
        self._record_explained(standing, now)

    def _update_leader(self, now: float) -> None:
        leader = self._site.latest_leader
        if leader is not self._leader:
            self._leader = leader
            self._term_began_s = now

    def _stalled_jobs(self, troubles: Troubles) -> dict[str, Step]:
        """The stalled jobs, each with a step that could start."""
        site = self._site
        alive = [worker for worker in site.workers.lives.values() if worker.up]
        running = self._recently_started()
        running |= {run.task.job_id for worker in alive for run in worker.runs.values()}
        counted = [worker for worker in alive if troubles.counts(worker)]
        pool = PoolView(counted, [worker for worker in counted if troubles.serves(worker)])
        if not pool.use.is_mostly_free:
            return {}
        found: dict[str, Step] = {}
        for job_id in sorted(site.acknowledged - self._finished - running):
            step = self._startable(job_id, pool, troubles.now)
            if step is not None:
                found[job_id] = step
        return found

    def _update_finished(self) -> None:
        """Record the jobs that the leader publishes as over, as it removes them some time later."""
        leader = self._leader
        if leader is None or leader.entry is None or leader.entry.scheduler is None:
            return
        state = leader.entry.scheduler.state
        for job_id in self._site.acknowledged - self._finished:
            if state(job_id) in FINAL_STATES:
                self._finished.add(job_id)

    def _recently_started(self) -> set[str]:
        """Jobs of which a run began since the last scan; it may have ended already."""
        begun = self._site.workers.begun
        fresh, self._starts_seen = begun[self._starts_seen :], len(begun)
        return {run.task.job_id for run in fresh}

    def _startable(self, job_id: str, pool: PoolView, now: float) -> Step | None:
        wall_ms = (WALL_EPOCH_S + now) * 1000
        request = self._jobs[job_id][1]
        steps = startable(job_id, request, wall_ms, self._site.workers.history)
        return next((step for step in steps if pool.has_free_capacity(step)), None)

    def _update_rules(self, rules: Mapping[str, set[Rule]]) -> None:
        self._rules = {
            job_id: self._rules.get(job_id, set()) | held for job_id, held in rules.items()
        }

    def _record_unexplained(self, plain: Mapping[str, Step], now: float) -> None:
        for each in self._unexplained_detector.update(plain, now):
            text = self._describe(each.job_id, plain[each.job_id])
            self._open_stalls[each.job_id] = FoundStandstill(each.job_id, each.since_s, now, text)
            self.found.unexplained.append(self._open_stalls[each.job_id])
        self._open_stalls = {
            job_id: each for job_id, each in self._open_stalls.items() if job_id in plain
        }
        for standstill in self._open_stalls.values():
            standstill.until_s = now

    def _record_explained(self, standing: Mapping[str, Step], now: float) -> None:
        if self._leader is None:
            # Without a leader it is unknown which jobs are over. Those that are count as having
            # moved once there is a leader.
            return
        for each in self._detector.update(standing, now):
            self.found.explained.update(rule.value for rule in self._rules[each.job_id])

    def _describe(self, job_id: str, step: Step) -> str:
        queue = self._jobs[job_id][0]
        what = " in a gang" if step.gang else ""
        what += " of one rack" if step.gang and step.same_rack else ""
        what += f" near {step.data_rack}" if step.data_rack else ""
        what += f", {step.per_worker} a worker" if step.per_worker else ""
        return f"{queue}, {step.count} tasks{what} of {step.needs.accelerators}"
