"""Runs a trace through a policy on a virtual clock and checks the expected outcomes.

The clock is an event heap. Reclaims take no time here, since traces do not say how long a
checkpoint takes.
"""

from __future__ import annotations

import heapq
import time
from collections.abc import Sequence
from dataclasses import dataclass, field

from saddlestack.errors import ErrorKind
from saddlestack.models import Adjacency, JobSpec, JobState, Shape
from saddlestack.policy.cell import Cell
from saddlestack.policy.defrag import usable
from saddlestack.policy.fleet import Fleet
from saddlestack.policy.gang import Decision, Loss, Reclaim, Refusal, Start
from saddlestack.policy.placement import find_placement
from saddlestack.policy.planner import Planner, cells_of
from saddlestack.policy.resources import CellResources
from saddlestack.replay.baselines import Baseline
from saddlestack.replay.invariants import InvariantChecker
from saddlestack.replay.measures import (
    Expectations,
    Fragmentation,
    Result,
    by_class,
    score,
)
from saddlestack.replay.trace import (
    Cancel,
    Event,
    Expect,
    Outcome,
    ReplayConfig,
    Submit,
    Trace,
    VmBack,
    VmLeaving,
    VmLost,
    spec_of,
)

POLICIES = ("saddlestack", "fifo", "first-fit")
WAKE_S = 15.0
MAX_IDLE_WAKES = 400


@dataclass(slots=True)
class Run:
    """A period of time in which a gang ran, for the report."""

    start: float
    end: float
    parts: tuple[tuple[str, int], ...]


@dataclass(slots=True)
class JobRun:
    """The state of a job in a replay.

    :param duration: its true run time in seconds.
    :param started_s: start of its current run.
    :param progress: seconds of work that its checkpoints saved.
    """

    spec: JobSpec
    duration: float
    submitted: float
    state: JobState = JobState.QUEUED
    refused: ErrorKind | None = None
    first_start: float | None = None
    finished: float | None = None
    attempt: int = 0
    ever_started: bool = False
    started_s: float = 0.0
    progress: float = 0.0
    runs: list[Run] = field(default_factory=list)


class Replay:
    """A replay of one trace under one policy.

    :param policy: one of :data:`POLICIES`.
    :raises SaddlestackError: the guarantees of the configuration don't fit.
    """

    def __init__(self, config: ReplayConfig, trace: Trace, policy: str) -> None:
        self.config = config
        self.policy = policy
        self.jobs: dict[str, JobRun] = {}
        self.failed: list[tuple[float, str]] = []
        self._trace = trace
        self._sites = cells_of(config.data_halls)
        planner = Planner(self._sites, config.spare)
        self._assignments = planner.assign(config.accounts)
        self._shapes = sorted(
            {assignment.shape for assignment in self._assignments},
            key=lambda shape: (shape.accelerators, shape.adjacent.value),
        )
        self._guarantee_shapes = {
            account.name: [planner.shape_of(g) for g in account.guarantees]
            for account in config.accounts
        }
        self._fleet: Fleet | None = None
        self._baseline: Baseline | None = None
        if policy == "saddlestack":
            limits = {account.name: account.limits.queued for account in config.accounts}
            self._fleet = Fleet(self._sites, self._assignments, config.weights, limits)
        else:
            self._baseline = Baseline(self._sites, strict=policy == "fifo")
        self.invariants = InvariantChecker(self._sites)
        self.fragmentation = Fragmentation(self._shapes)
        self._heap: list[tuple[float, int, int, Event | tuple[str, int] | None]] = []
        self._sequence = 0
        self._expectations_held = 0
        self._lost_work = 0.0
        self.reclaim_lost = 0.0
        self.work_done = 0.0
        self._reclaims = 0
        self._decisions = 0
        self._deciding_s = 0.0
        self._next_wake = 0.0
        self._event_cell: Cell | None = None
        self.end = 0.0

    def run(self) -> Result:
        """Run the whole trace.

        :rtype: Result
        """
        for line, event in self._trace.events:
            order = 2 if isinstance(event, Expect) else 1
            self._push(event.t, order, event, line)
        self.fragmentation.update(0.0, self._cell_resources())
        while self._heap:
            now, _, _, item = heapq.heappop(self._heap)
            self._step(now, item)
        return self._result()

    def decisions_per_s(self) -> float:
        """Return the number of decisions per second of real time spent deciding."""
        return self._decisions / self._deciding_s if self._deciding_s else 0.0

    def _push(
        self, at: float, order: int, item: Event | tuple[str, int] | None, line: int = 0
    ) -> None:
        self._sequence += 1
        heapq.heappush(self._heap, (at, order, line or self._sequence, item))

    def _step(self, now: float, item: Event | tuple[str, int] | None) -> None:
        if isinstance(item, Expect):
            if item.that is Outcome.STARTED_WITHIN:
                self._schedule_expectation(now, item)
            else:
                self._check_expectation(now, item)
            return
        if item is not None and not self._apply(now, item):
            return
        self._decide(now)
        if self.jobs:
            self.end = max(self.end, now) if self._active() or item is not None else self.end

    def _active(self) -> bool:
        return bool(self.invariants.running)

    def _apply(self, now: float, item: Event | tuple[str, int]) -> bool:
        """Apply an event; false if it changes nothing."""
        if isinstance(item, tuple):
            return self._finish(now, *item)
        if isinstance(item, Submit):
            return self._submit(now, item)
        if isinstance(item, Cancel):
            return self._cancel(now, f"{item.account}/{item.request}")
        if isinstance(item, VmLost):
            self.invariants.set_worker_state(item.vm, up=False, leaving=False)
            for loss in self._vm_lost(item.vm, now):
                self._lose_run(now, loss)
        elif isinstance(item, VmLeaving):
            up = item.vm not in self.invariants.down
            self.invariants.set_worker_state(item.vm, up=up, leaving=True)
            self._vm_leaving(item.vm)
        elif isinstance(item, VmBack):
            self.invariants.set_worker_state(item.vm, up=True, leaving=False)
            self._vm_back(item.vm)
        return True

    def _submit(self, now: float, event: Submit) -> bool:
        spec = spec_of(event, self._sites)
        if spec.job_id in self.jobs:
            return False
        job = JobRun(spec, event.duration, now)
        self.jobs[spec.job_id] = job
        refusal = self._submit_to_policy(spec, now)
        if refusal is not None:
            job.state = JobState.NOT_RUN
            job.refused = refusal.kind
        return refusal is None

    def _finish(self, now: float, job_id: str, attempt: int) -> bool:
        job = self.jobs[job_id]
        if job.state is not JobState.RUNNING or job.attempt != attempt:
            return False
        job.state = JobState.DONE
        job.finished = now
        self.work_done += job.duration * job.spec.accelerators
        self._stop_run(now, job)
        if self._fleet is not None:
            cell = self._event_cell = self._fleet.cell_of(job_id)
            if cell is not None:
                cell.finished(job_id, now)
        elif self._baseline is not None:
            self._baseline.finished(job_id)
        return True

    def _cancel(self, now: float, job_id: str) -> bool:
        job = self.jobs[job_id]
        if job.state.final:
            return False
        running = job.state is JobState.RUNNING
        if self._fleet is not None:
            cell = self._event_cell = self._fleet.cell_of(job_id)
            if cell is not None:
                cell.cancel(job_id)
        elif self._baseline is not None:
            self._baseline.cancel(job_id)
        if running:
            self._stop_run(now, job)
        job.state = JobState.UNKNOWN if job.ever_started else JobState.CANCELLED
        return True

    def _lose_run(self, now: float, loss: Loss) -> None:
        job = self.jobs[loss.job_id]
        self._lost_work += loss.lost
        self._stop_run(now, job)
        job.state = loss.state

    def _submit_to_policy(self, spec: JobSpec, now: float) -> Refusal | None:
        if self._fleet is not None:
            return self._fleet.submit(spec, now)
        assert self._baseline is not None
        return self._baseline.submit(spec, now)

    def _vm_lost(self, vm: str, now: float) -> Sequence[Loss]:
        if self._fleet is not None:
            self._event_cell = self._fleet.cell_of_vm(vm)
            return self._fleet.vm_lost(vm, now)
        assert self._baseline is not None
        return self._baseline.vm_lost(vm, now)

    def _vm_leaving(self, vm: str) -> None:
        if self._fleet is not None:
            self._event_cell = self._fleet.cell_of_vm(vm)
            self._event_cell.vm_leaving(vm)
        elif self._baseline is not None:
            self._baseline.vm_leaving(vm)

    def _vm_back(self, vm: str) -> None:
        if self._fleet is not None:
            self._event_cell = self._fleet.cell_of_vm(vm)
            self._event_cell.vm_back(vm)
        elif self._baseline is not None:
            self._baseline.vm_back(vm)

    def _cell_resources(self) -> list[CellResources]:
        if self._fleet is not None:
            return [cell.resources for cell in self._fleet.cells.values()]
        assert self._baseline is not None
        return list(self._baseline.cell_resources.values())

    def _decide(self, now: float) -> None:
        missing = self._missing()
        started_s = time.perf_counter()
        if self._fleet is not None:
            decisions = self._fleet.decide(now)
        else:
            assert self._baseline is not None
            decisions = self._baseline.decide(now)
        self._deciding_s += time.perf_counter() - started_s
        self._decisions += 1
        for decision in decisions:
            self._apply_decision(now, decision)
        if self._fleet is not None:
            for cell in self._changed_cells(decisions):
                self.invariants.check_guarantees(now, cell, missing[cell.name])
            self._schedule_wake(now)
        self.fragmentation.update(now, self._cell_resources())

    def _changed_cells(self, decisions: Sequence[Decision]) -> list[Cell]:
        """Return the cells that the last event or its decisions changed."""
        assert self._fleet is not None
        found = {self._event_cell}
        found |= {self._fleet.cell_of(decision.job_id) for decision in decisions}
        self._event_cell = None
        return [cell for cell in self._fleet.cells.values() if cell in found]

    def _missing(self) -> dict[str, int]:
        """Return the number of guaranteed shapes that can't be formed now, by cell."""
        if self._fleet is None:
            return {}
        cells = self._fleet.cells.values()
        return {cell.name: len(cell.guarantees.unformable()) for cell in cells}

    def _schedule_wake(self, now: float) -> None:
        """Schedule another decision, since waiting itself changes what is allowed."""
        if self._fleet is None:
            return
        waiting = any(cell.waiting for cell in self._fleet.cells.values())
        if waiting and self.invariants.running and now >= self._next_wake:
            self._next_wake = now + WAKE_S
            self._push(self._next_wake, 3, None)

    def _apply_decision(self, now: float, decision: Decision) -> None:
        job = self.jobs[decision.job_id]
        if isinstance(decision, Start):
            self._start(now, job, decision)
        elif isinstance(decision, Reclaim):
            self._stop_run(now, job)
            job.state = JobState.QUEUED
            if job.spec.checkpoint:
                job.progress += now - job.started_s
            self._lost_work += decision.lost
            self.reclaim_lost += decision.lost
            self._reclaims += 0 if decision.moved else 1
        else:
            job.state = JobState.NOT_RUN

    def _start(self, now: float, job: JobRun, start: Start) -> None:
        self.invariants.started(now, job.spec, start)
        job.state = JobState.RUNNING
        job.attempt = start.attempt
        job.started_s = now
        job.ever_started = True
        if job.first_start is None:
            job.first_start = now
        parts = tuple((part.vm, part.accelerators) for part in start.parts)
        job.runs.append(Run(now, now, parts))
        self._push(now + job.duration - job.progress, 0, (job.spec.job_id, start.attempt))

    def _stop_run(self, now: float, job: JobRun) -> None:
        self.invariants.ended(now, job.spec.job_id)
        job.runs[-1].end = now

    def _schedule_expectation(self, now: float, event: Expect) -> None:
        job = self.jobs[f"{event.account}/{event.request}"]
        due = job.submitted + (event.seconds or 0.0)
        if due > now:
            later = Expect(
                t=due,
                that=Outcome.STARTED_WITHIN,
                account=event.account,
                request=event.request,
                seconds=event.seconds,
            )
            self._push(due, 4, later)
            return
        self._check_expectation(now, event)

    def _check_expectation(self, now: float, event: Expect) -> None:
        problem = self._find_problem(event)
        if problem is None:
            self._expectations_held += 1
        else:
            self.failed.append((now, f"t={event.t:g} {_describe_expectation(event)}: {problem}"))

    def _find_problem(self, event: Expect) -> str | None:
        if event.that is Outcome.GUARANTEE_FORMABLE:
            return self._guarantee_problem(event)
        if event.that is Outcome.FREE_AT_LEAST:
            return self._capacity_problem(event)
        job = self.jobs[f"{event.account}/{event.request}"]
        return _job_problem(job, event, self.invariants.fresh_starts(job.spec.job_id))

    def _guarantee_problem(self, event: Expect) -> str | None:
        shape = None
        if event.shape is not None:
            shape = self._guarantee_shapes[event.account or ""][event.shape]
        if self._fleet is None:
            return self._baseline_guarantee_problem(event.account or "", shape)
        missing = [
            str(unit.request.shape)
            for cell in self._fleet.cells.values()
            for unit in cell.guarantees.of(event.account or "")
            if unit.left and unit.witness is None and shape in {None, unit.shape}
        ]
        return f"{', '.join(missing)} can't be formed" if missing else None

    def _baseline_guarantee_problem(self, account: str, shape: Shape | None) -> str | None:
        """Check a guarantee under a baseline, which reclaims nothing: only free capacity counts."""
        for guaranteed in self._guarantee_shapes[account]:
            if shape in {None, guaranteed}:
                available = sum(
                    usable(available, guaranteed) for available in self._cell_resources()
                )
                if available < guaranteed.accelerators:
                    return f"{guaranteed} can't be formed"
        return None

    def _capacity_problem(self, event: Expect) -> str | None:
        wanted = event.accelerators or 0
        if event.adjacent is Adjacency.WORKER:
            most = max(max(resources.free, default=0) for resources in self._cell_resources())
        elif event.adjacent is Adjacency.RACK:
            most = max(max(resources.rack_free, default=0) for resources in self._cell_resources())
        elif event.adjacent is Adjacency.HALL:
            most = max(sum(resources.free) for resources in self._cell_resources())
        else:
            most = sum(sum(resources.free) for resources in self._cell_resources())
        return None if most >= wanted else f"{most} are free"

    def _result(self) -> Result:
        jobs = list(self.jobs.values())
        for job in jobs:
            if not job.state.final and self._could_fit(job):
                self.invariants.add_violation(self.end, f"{job.spec.job_id} is still {job.state}")
        finished = [job for job in jobs if job.finished is not None]
        pairs = [(job.spec.job_class, (job.finished or 0.0) - job.submitted) for job in finished]
        fragmentation = self.fragmentation.mean(self.end)
        stretch = [(done, job.duration) for (_, done), job in zip(pairs, finished, strict=True)]
        return Result(
            policy=self.policy,
            jobs=len(jobs),
            finished=len(finished),
            refused=sum(1 for job in jobs if job.refused is not None),
            unknown=sum(1 for job in jobs if job.state is JobState.UNKNOWN),
            completion_s=by_class(pairs),
            start_delay_s=by_class(
                [
                    (job.spec.job_class, job.first_start - job.submitted)
                    for job in jobs
                    if job.first_start is not None
                ]
            ),
            fragmentation=round(fragmentation, 6),
            work_lost_s=round(self._lost_work, 6),
            reclaims=self._reclaims,
            score=round(score(self.config.weights, stretch, fragmentation), 6),
            expectations=Expectations(self._expectations_held, [text for _, text in self.failed]),
            violations=self.invariants.violations,
        )

    def _could_fit(self, job: JobRun) -> bool:
        """Whether a job that has not ended would fit the VMs that are up."""
        return any(
            find_placement(job.spec.shape, resources.free, resources.racks, scatter=False)
            is not None
            for resources in self._cell_resources()
        )


def _describe_expectation(event: Expect) -> str:
    subject = f" {event.account}" if event.account else ""
    request = f"/{event.request}" if event.request else ""
    return f"{event.that}{subject}{request}"


def _job_problem(job: JobRun, event: Expect, starts: int) -> str | None:
    """Return why an expected outcome of a job does not hold, or ``None``."""
    if event.that is Outcome.STARTED_WITHIN:
        if job.first_start is None:
            return f"not started; {job.state}"
        waited = job.first_start - job.submitted
        return None if waited <= (event.seconds or 0.0) + 1e-9 else f"started after {waited:g} s"
    if event.that is Outcome.STARTS_AT_MOST:
        return None if starts <= (event.count or 0) else f"started {starts} times"
    if event.that is Outcome.NOT_STARTED:
        return "started" if job.ever_started else None
    if event.that is Outcome.REFUSED:
        if job.refused is None:
            return f"not refused; {job.state}"
        wrong = event.kind is not None and job.refused is not event.kind
        return f"refused as {job.refused}" if wrong else None
    wanted = {
        Outcome.FINISHED: JobState.DONE,
        Outcome.UNKNOWN: JobState.UNKNOWN,
        Outcome.RUNNING: JobState.RUNNING,
    }[event.that]
    return None if job.state is wanted else f"it is {job.state}"
