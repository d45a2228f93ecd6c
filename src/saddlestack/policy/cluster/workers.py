"""Workers as the board sees them: room, runs, and how far each is to be trusted."""

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
"""A run that fails sooner than this has done no work: its worker is at fault rather than its task.
Workers that fail all that they start do so within 0.03 s."""
EARLY_FAILURE_SHARE = 0.5
"""...and sooner than this share of its estimate: work of 0.15 s that fails at its end is no early
failure, and says nothing of its worker."""
PROBATION_S = 16.0
"""For so long after an early failure, or until a run ends well there, a worker gets neither urgent
work nor gangs: it is always free, so they would all go there. As long as the longest quarantine."""
TRIAL_S = 64.0
"""For so long after a quarantine, or until a run ends well there, a worker gets one task at a time.
Four of the longest quarantines; without a bound a worker where nothing ends well, or nothing fits,
stayed so for good."""

LEAVES_LATE_S = 0.3
"""A start may leave so long after its worker's notice was heard. A notice is heard up to 1.5 s
late, and the shortest time for which work may go to a leaving worker is 2 s."""

RunKey = tuple[TaskName, int]
"""A task and the number of its run."""

_NOTED = frozenset(
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
    }
)
"""What decides where work fits: a change of any of these is noted."""
_ROOM = frozenset({"record", "used", "reserved"})
_NOTHING = Resources()


@dataclass(slots=True, eq=False)
class Worker:
    """One life of a worker.

    :param listed: it is in the platform's list.
    :param reachable: its latest call was answered.
    :param suspected: something near it has not answered, and it has not been heard since; no new
        work goes there, what waits for its room goes on waiting.
    :param leaves_s: when it may leave at the earliest, on the board's clock.
    :param draining_since_s: since when it is known to be leaving, on the board's clock.
    :param closing: its machine is about to have its upkeep.
    :param evacuated: its data hall is being evacuated; what runs there goes on.
    :param isolating: a task that may crash it is there, or is to come: nothing else is started.
    :param last_answer_s: when it last answered in this term, on the board's clock.
    :param unreachable_since_s: since when it does not answer, on the same.
    :param outlived_record: it answered after its record was gone.
    :param cold_until_s: it is slow until then.
    :param calm_since_s: since when all that serves there is well below its target.
    :param busy_s: no new work until then: it turned an order away.
    :param strikes: failures that it was charged with since a run last ended well there.
    :param quarantine_s: no new work until then, for its strikes.
    :param probation_s: neither urgent work nor gangs until then.
    :param trial_s: one task at a time until then.
    :param last_charged_s: when it was last charged with a failure.
    :param fails_late: it was charged with one that came after its run had done work.
    :param last_healthy_s: when a run last made progress, or ended well, there.
    :param reserved: room set aside for work that waits for others to stop.
    :param held: room that runs hold, by the priority of their jobs.
    :param changed: where to note that something about it has changed, if anywhere. Noting it where
        it is set, and nowhere else, keeps the index of room true whoever changes a worker.
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
    used: Resources = field(default_factory=Resources)
    reserved: Resources = field(default_factory=Resources)
    runs: dict[RunKey, Run] = field(default_factory=dict)
    held: dict[int, Resources] = field(default_factory=dict)
    changed: dict[Worker, None] | None = None
    _free: Resources | None = None
    _noted_cold_ms: int = 0

    def __setattr__(self, name: str, value: object) -> None:
        object.__setattr__(self, name, value)
        if name in _ROOM:
            object.__setattr__(self, "_free", None)
        if name in _NOTED:
            changed = getattr(self, "changed", None)
            if changed is not None:
                changed[self] = None

    @property
    def worker_id(self) -> str:
        """Its life's name."""
        return self.record.worker_id

    @property
    def machine(self) -> str:
        """The machine that it is a life on; where it names none, its address."""
        return self.record.machine or self.record.address

    @property
    def free(self) -> Resources:
        """Room that nothing holds or waits for."""
        if self._free is None:
            self._free = self.record.capacity - self.used - self.reserved
        return self._free

    @property
    def unused(self) -> Resources:
        """Room that nothing holds, what is reserved among it."""
        return self.record.capacity - self.used

    @property
    def is_overbooked(self) -> bool:
        """Whether its runs fill some of the room that is reserved there."""
        return not _NOTHING.fits(self.free)

    def accepts_work(self, now: float) -> bool:
        """Whether new work may go there."""
        return not self.isolating and self.accepts_isolated(now)

    def accepts_isolated(self, now: float) -> bool:
        """Whether a task may go there that is to be alone."""
        return self.is_schedulable and self.reachable and now >= max(self.busy_s, self.quarantine_s)

    @property
    def is_overcommitted(self) -> bool:
        """Whether its runs hold more than it has, since its room has shrunk."""
        return not self.used.fits(self.record.capacity)

    @property
    def is_available(self) -> bool:
        """Whether it takes part, and answers as far as is known."""
        return self.is_schedulable and self.reachable and not self.suspected

    @property
    def is_schedulable(self) -> bool:
        """Whether new work may go there once it is reachable and well."""
        leaves = not self.listed or self.record.draining or self.closing
        return not leaves and not self.evacuated

    def accepts_decided_start(self, now: float) -> bool:
        """Whether a start that was decided for it may still leave.

        Its room may have shrunk meanwhile: what runs there goes on, and nothing more begins.
        """
        if self.evacuated or not self.reachable or self.is_overcommitted:
            return False
        return self.draining_since_s is None or now - self.draining_since_s <= LEAVES_LATE_S

    def next_change_s(self, now: float) -> float | None:
        """When it takes more work than now, as far as that comes with time."""
        ends = (self.busy_s, self.quarantine_s, self.probation_s, self.trial_s)
        return min((until for until in ends if until > now), default=None)

    def expire_trial(self, now: float) -> None:
        """End its trial once that has lasted for long enough."""
        if self.strikes and now >= self.trial_s:
            self.strikes = 0

    def is_cold(self, now: float) -> bool:
        """Whether it is slow since it has just begun, or was given back."""
        return now < self.cold_until_s

    def update_record(self, record: WorkerRecord, now: float) -> None:
        """Take over a newer record of it."""
        if record.draining and record.remaining_ms is not None:
            leaves = now + record.remaining_ms / 1000
            self.leaves_s = leaves if self.leaves_s is None else min(self.leaves_s, leaves)
        elif not record.draining and not self.closing:
            self.leaves_s = None
        if record.cold_ms != self._noted_cold_ms:
            self.cold_until_s = now + record.cold_ms / 1000
            self._noted_cold_ms = record.cold_ms
        if not record.draining:
            self.draining_since_s = None
        elif self.draining_since_s is None:
            self.draining_since_s = now
        self.record = record

    def cancel_upkeep(self) -> None:
        """Its machine has no upkeep after all."""
        self.closing = False
        if not self.record.draining:
            self.leaves_s = None

    def matches(self, step: Step) -> bool:
        """Whether it has the label that a step asks for."""
        return not step.label or step.label in self.record.labels

    def most(self, step: Step) -> int:
        """Tasks of a step that it could hold if it were empty and well."""
        copies = step.allocation.copies_in(self.record.capacity)
        return min(copies, step.per_worker) if step.per_worker else copies

    def count_fitting(self, needs: Resources, room: Resources) -> int:
        """Tasks of some size that fit into some room of it; one where it has failed lately."""
        copies = 0 if self.is_overcommitted else needs.copies_in(room)
        if self.strikes:
            copies = min(copies, 0 if self.runs else 1)
        return copies

    def lower_priority_room(self, priority: int) -> Resources:
        """Room that runs of lower priority hold."""
        lower = Resources()
        for other, room in self.held.items():
            if other > priority:
                lower = lower + room
        return lower

    def room_for(self, step: StepState, *, reserved: bool = False) -> int:
        """Tasks of a step that fit into what is free, whatever failed there lately.

        :param reserved: whether what is reserved for other work counts as free.
        """
        room = self.unused if reserved else self.free
        return (
            0
            if self.is_overcommitted
            else self._limited(step, step.step.allocation.copies_in(room))
        )

    def copies(self, step: StepState, room: Resources) -> int:
        """Tasks of a step that fit into some room of it."""
        return self._limited(step, self.count_fitting(step.step.allocation, room))

    def _limited(self, step: StepState, copies: int) -> int:
        """So many tasks of a step, or fewer where it limits those of one worker."""
        limit = step.step.per_worker
        if not limit:
            return copies
        held = sum(1 for run in self.runs.values() if run.task.step is step)
        return max(0, min(copies, limit - held))

    def add(self, run: Run) -> None:
        """Hold room for a run."""
        self.runs[(run.task.name, run.number)] = run
        priority = run.task.step.occurrence.job.priority
        self.held[priority] = self.held.get(priority, Resources()) + run.allocation
        self.used = self.used + run.allocation

    def remove(self, task: TaskName, number: int) -> Run | None:
        """Free the room of a run that is over."""
        run = self.runs.pop((task, number), None)
        if run is not None:
            priority = run.task.step.occurrence.job.priority
            self.held[priority] = self.held[priority] - run.allocation
            self.used = self.used - run.allocation
        return run

    def record_success(self, now: float) -> None:
        """A run ended well there."""
        self.last_healthy_s = now
        self.busy_s = 0.0
        self.clear_failures()

    def clear_failures(self) -> None:
        """What it was charged with is taken back."""
        self.strikes = 0
        self.quarantine_s = 0.0
        self.probation_s = 0.0
        self.trial_s = 0.0
        self.fails_late = False

    def record_progress(self, run: Run, now: float) -> None:
        """A run made progress there: work that began since its last charge does not fail at once.

        Workers that fail late show well only by an end; the others are free again some 2 s after
        their quarantine rather than at the end of the task that they are tried with.
        """
        self.last_healthy_s = now
        if not self.strikes or self.fails_late or run.started_s is None:
            return
        if run.started_s > self.last_charged_s and now - run.started_s > EARLY_FAILURE_S:
            self.clear_failures()

    def record_failure(self, now: float, *, early: bool) -> None:
        """It is charged with a run that failed there.

        :param early: before it can have done any work.
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
        """It turned an order away as unhealthy."""
        self.busy_s = max(self.busy_s, now + BUSY_QUARANTINE_S)
