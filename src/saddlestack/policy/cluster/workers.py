"""State that the scheduler keeps per worker: resources, runs, reachability and failure history."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

from saddlestack.interfaces.workers import WorkerRecord
from saddlestack.policy.cluster.jobs import Run, StepState
from saddlestack.work import Resources, Step, TaskName

FIRST_QUARANTINE_S = 2.0
LONGEST_QUARANTINE_S = 16.0
BUSY_QUARANTINE_S = 1.5
EARLY_FAILURE_S = 0.3
"""A run that fails sooner than this has done no work, so its worker is at fault rather than its
task. Workers that fail every run do so within 0.03 s."""
EARLY_FAILURE_SHARE = 0.5
"""An early failure also comes before this share of the estimate: a run of 0.15 s that fails at its
end is not an early failure and is no evidence against its worker."""
PROBATION_S = 16.0
"""How long a worker takes neither urgent work nor gangs after an early failure, unless a run
succeeds there first. A worker that fails every run is always free, so all of that work would go
there. Equals the longest quarantine."""
TRIAL_S = 64.0
"""How long a worker takes one task at a time after a quarantine, unless a run succeeds there first.
Equals four of the longest quarantines. Without a limit, a worker where no run succeeds or fits
stayed on trial permanently."""

START_AFTER_DRAIN_S = 0.3
"""A start that is already decided may still be sent to a draining worker for this long, counted
from the arrival of its drain notice. The notice arrives up to 1.5 s late, and work may be sent to a
draining worker for at least 2 s."""

RunKey = tuple[TaskName, int]
"""A task and its run number."""

_INDEXED_FIELDS = frozenset(
    {
        "record",
        "listed",
        "reachable",
        "suspected",
        "closing",
        "strikes",
        "busy_s",
        "quarantine_s",
        "probation_s",
        "used",
        "reserved",
        "leaves_s",
        "evacuated",
        "isolating",
        "time_factor",
        "speed_known",
    }
)
"""Fields that decide where work fits. Setting one of them marks the worker as changed."""
_CAPACITY_FIELDS = frozenset({"record", "used", "reserved"})
_NOTHING = Resources()


@dataclass(slots=True, eq=False)
class Worker:
    """One incarnation of a worker. Times are seconds on the scheduler's clock.

    :param listed: it is in the platform's list of workers.
    :param reachable: its latest call was answered.
    :param suspected: a worker or VM near it is unreachable, and it has not answered since. It gets
        no new work; work that waits for its capacity keeps waiting.
    :param leaves_s: the earliest time at which it may leave.
    :param draining_since_s: when it was first known to be draining.
    :param closing: its machine is about to have upkeep.
    :param evacuated: its data hall is being evacuated; its present runs continue.
    :param isolating: it runs, or is kept for, a task that may crash it; nothing else starts there.
    :param last_answer_s: when it last answered in this term.
    :param unreachable_since_s: when it stopped answering.
    :param outlived_record: it answered after its record was removed.
    :param withdrawn_s: when its record was removed, if that was in this term and not in an outage
        of the store, in which the records of live workers expire.
    :param cold_until_s: it is slow until then, since it has just started or returned.
    :param calm_since_s: since when all serving tasks there have been well below their latency
        target.
    :param busy_s: it takes no new work until then, since it refused an order.
    :param strikes: failures attributed to it since a run last succeeded there.
    :param quarantine_s: it takes no new work until then, because of its strikes.
    :param probation_s: it takes neither urgent work nor gangs until then.
    :param trial_s: it takes one task at a time until then.
    :param last_charged_s: when a failure was last attributed to it.
    :param fails_late: a failure that came after its run had done work was attributed to it.
    :param last_healthy_s: when a run last made progress or succeeded there.
    :param proven_start_s: latest start of a run that has made progress or succeeded there.
    :param time_factor: how long work takes there relative to a usual worker of its service, rounded
        to a level; above 1 is slower.
    :param speed_known: whether there is evidence of its speed.
    :param reserved: resources set aside for work that waits for other runs to stop.
    :param held: resources that runs hold, by the priority of their jobs.
    :param changed: the set of changed workers that it adds itself to, if any. Setting a field is
        the only thing that marks it, so the capacity index stays correct whoever changes a worker.
    """

    record: WorkerRecord
    listed: bool = True
    reachable: bool = True
    suspected: bool = False
    leaves_s: float | None = None
    draining_since_s: float | None = None
    closing: bool = False
    evacuated: bool = False
    isolating: bool = False
    last_answer_s: float = -math.inf
    unreachable_since_s: float | None = None
    outlived_record: bool = False
    withdrawn_s: float | None = None
    cold_until_s: float = 0.0
    calm_since_s: float | None = None
    busy_s: float = 0.0
    strikes: int = 0
    quarantine_s: float = 0.0
    probation_s: float = 0.0
    trial_s: float = 0.0
    last_charged_s: float = 0.0
    fails_late: bool = False
    last_healthy_s: float | None = None
    proven_start_s: float | None = None
    time_factor: float = 1.0
    speed_known: bool = False
    used: Resources = field(default_factory=Resources)
    reserved: Resources = field(default_factory=Resources)
    runs: dict[RunKey, Run] = field(default_factory=dict)
    held: dict[int, Resources] = field(default_factory=dict)
    changed: dict[Worker, None] | None = None
    _free: Resources | None = None
    _overcommitted: bool | None = None
    _last_cold_ms: int = 0

    def __setattr__(self, name: str, value: object) -> None:
        object.__setattr__(self, name, value)
        if name in _CAPACITY_FIELDS:
            object.__setattr__(self, "_free", None)
            object.__setattr__(self, "_overcommitted", None)
        if name in _INDEXED_FIELDS:
            changed = getattr(self, "changed", None)
            if changed is not None:
                changed[self] = None

    @property
    def worker_id(self) -> str:
        """The id of this incarnation."""
        return self.record.worker_id

    @property
    def machine(self) -> str:
        """The machine that it runs on, or its address if its record names no machine."""
        return self.record.machine or self.record.address

    @property
    def free(self) -> Resources:
        """Resources that are neither held nor reserved."""
        if self._free is None:
            self._free = self.record.capacity - self.used - self.reserved
        return self._free

    @property
    def unused(self) -> Resources:
        """Resources that no run holds, reserved ones included."""
        return self.record.capacity - self.used

    @property
    def is_overbooked(self) -> bool:
        """Whether its runs hold some of its reserved resources."""
        return not _NOTHING.fits(self.free)

    def accepts_work(self, now: float) -> bool:
        """Whether new work may start there."""
        return not self.isolating and self.accepts_isolated(now)

    def accepts_isolated(self, now: float) -> bool:
        """Whether a task that has to run alone may start there."""
        return self.is_schedulable and self.reachable and now >= max(self.busy_s, self.quarantine_s)

    @property
    def is_overcommitted(self) -> bool:
        """Whether its runs hold more than its capacity, which may have shrunk."""
        if self._overcommitted is None:
            self._overcommitted = not self.used.fits(self.record.capacity)
        return self._overcommitted

    @property
    def is_available(self) -> bool:
        """Whether it is schedulable and, as far as is known, reachable."""
        return self.is_schedulable and self.reachable and not self.suspected

    @property
    def is_schedulable(self) -> bool:
        """Whether new work may go there once it is reachable and healthy.

        Unlisted, draining and evacuated workers are not schedulable, nor are those whose machine is
        about to have upkeep.
        """
        leaves = not self.listed or self.record.draining or self.closing
        return not leaves and not self.evacuated

    def accepts_decided_start(self, now: float) -> bool:
        """Whether a start that is already decided may still be sent to it.

        Its capacity may have shrunk since the decision: its present runs continue, and no more are
        started.
        """
        if self.evacuated or not self.reachable or self.is_overcommitted:
            return False
        return self.draining_since_s is None or now - self.draining_since_s <= START_AFTER_DRAIN_S

    def next_change_s(self, now: float) -> float | None:
        """The next time at which it takes more work by the passing of time alone."""
        ends = (self.busy_s, self.quarantine_s, self.probation_s, self.trial_s)
        return min((until for until in ends if until > now), default=None)

    def expire_trial(self, now: float) -> None:
        """End its trial if the trial period is over."""
        if self.strikes and now >= self.trial_s:
            self.strikes = 0

    def is_cold(self, now: float) -> bool:
        """Whether it is still slow after its start or return."""
        return now < self.cold_until_s

    def update_record(self, record: WorkerRecord, now: float) -> None:
        """Apply a newer record."""
        if record.draining and record.remaining_ms is not None:
            leaves = now + record.remaining_ms / 1000
            self.leaves_s = leaves if self.leaves_s is None else min(self.leaves_s, leaves)
        elif not record.draining and not self.closing:
            self.leaves_s = None
        if record.cold_ms != self._last_cold_ms:
            self.cold_until_s = now + record.cold_ms / 1000
            self._last_cold_ms = record.cold_ms
        if not record.draining:
            self.draining_since_s = None
        elif self.draining_since_s is None:
            self.draining_since_s = now
        self.record = record

    def cancel_upkeep(self) -> None:
        """Make it schedulable again after upkeep of its machine was canceled."""
        self.closing = False
        if not self.record.draining:
            self.leaves_s = None

    def matches(self, step: Step) -> bool:
        """Whether it has the label that a step requires, if any."""
        return not step.label or step.label in self.record.labels

    def max_copies(self, step: Step) -> int:
        """Tasks of a step that it could hold if it were empty and healthy."""
        copies = step.allocation.copies_in(self.record.capacity)
        return min(copies, step.per_worker) if step.per_worker else copies

    def count_fitting(self, needs: Resources, resources: Resources) -> int:
        """Tasks of a given size that fit into some of its resources.

        At most one, and only on an empty worker, while it is on trial.
        """
        copies = 0 if self.is_overcommitted else needs.copies_in(resources)
        if self.strikes:
            copies = min(copies, 0 if self.runs else 1)
        return copies

    def lower_priority_usage(self, priority: int) -> Resources:
        """Resources that runs of lower priority hold."""
        lower = Resources()
        for other, resources in self.held.items():
            if other > priority:
                lower = lower + resources
        return lower

    def free_copies(self, step: StepState, *, reserved: bool = False) -> int:
        """Tasks of a step that fit into its free resources, its strikes aside.

        :param reserved: whether resources that are reserved for other work count as free.
        """
        resources = self.unused if reserved else self.free
        return (
            0
            if self.is_overcommitted
            else self.within_limit(step, step.step.allocation.copies_in(resources))
        )

    def copies(self, step: StepState, resources: Resources) -> int:
        """Tasks of a step that fit into some of its resources."""
        return self.within_limit(step, self.count_fitting(step.step.allocation, resources))

    def within_limit(self, step: StepState, copies: int) -> int:
        """The most of some more tasks of a step that its limit of tasks per worker allows."""
        limit = step.step.per_worker
        if not limit:
            return copies
        held = sum(1 for run in self.runs.values() if run.task.step is step)
        return max(0, min(copies, limit - held))

    def add(self, run: Run) -> None:
        """Hold resources for a run."""
        self.runs[(run.task.name, run.number)] = run
        priority = run.task.step.occurrence.job.priority
        self.held[priority] = self.held.get(priority, Resources()) + run.allocation
        self.used = self.used + run.allocation

    def remove(self, task: TaskName, number: int) -> Run | None:
        """Free the resources of a run that is over; returns ``None`` if the run is unknown."""
        run = self.runs.pop((task, number), None)
        if run is not None:
            priority = run.task.step.occurrence.job.priority
            self.held[priority] = self.held[priority] - run.allocation
            self.used = self.used - run.allocation
        return run

    def record_success(self, now: float) -> None:
        """Record that a run succeeded there, which clears its failures."""
        self.last_healthy_s = now
        self.busy_s = 0.0
        self.clear_failures()

    def note_proof(self, run: Run) -> None:
        """Record that a run made progress or succeeded there, by when it started."""
        if run.started_s is None:
            return
        if self.proven_start_s is None or run.started_s > self.proven_start_s:
            self.proven_start_s = run.started_s

    def clear_failures(self) -> None:
        """Clear its strikes, with the quarantine, probation and trial that followed from them."""
        self.strikes = 0
        self.quarantine_s = 0.0
        self.probation_s = 0.0
        self.trial_s = 0.0
        self.fails_late = False

    def record_progress(self, run: Run, now: float) -> None:
        """Record that a run made progress there.

        Clears the failures of a worker that failed runs at once, if the run started after the last
        of these and has outlived the time of an early failure. So the worker takes all work again
        some 2 s after its quarantine rather than when its trial task ends. A worker that fails runs
        late is cleared only by a run that succeeds.
        """
        self.last_healthy_s = now
        self.note_proof(run)
        if not self.strikes or self.fails_late or run.started_s is None:
            return
        if run.started_s > self.last_charged_s and now - run.started_s > EARLY_FAILURE_S:
            self.clear_failures()

    def record_failure(self, now: float, *, early: bool) -> None:
        """Record a failure that is attributed to it, and quarantine it.

        :param early: the run failed before it can have done any work.
        """
        self.strikes += 1
        self.last_charged_s = now
        if early:
            self.probation_s = now + PROBATION_S
        else:
            self.fails_late = True
        pause = min(LONGEST_QUARANTINE_S, FIRST_QUARANTINE_S * float(2 ** (self.strikes - 1)))
        self.quarantine_s = max(self.quarantine_s, now + pause)
        self.trial_s = self.quarantine_s + TRIAL_S

    def record_refusal(self, now: float) -> None:
        """Record that it refused an order because it is unhealthy."""
        self.busy_s = max(self.busy_s, now + BUSY_QUARANTINE_S)
