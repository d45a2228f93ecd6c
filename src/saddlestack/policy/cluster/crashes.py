"""Who crashed a worker: a task that ran there, or nothing but the worker itself.

What is known of a task is kept in its step's record, which is written before the task's next start:
no loss of leaders lets it begin anew. :mod:`crashrule` weighs it.
"""

from __future__ import annotations

import math
from collections import defaultdict, deque
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

import msgspec

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.crash_findings import CrashFinding, CrashFindingKind
from saddlestack.policy.cluster.crash_rate import CrashRates
from saddlestack.policy.cluster.crash_rule import (
    COUNTED_FROM,
    CRASH_RULE,
    CrashRule,
    Exposure,
)
from saddlestack.policy.cluster.incarnation_end import (
    IncarnationEnd,
    is_announced,
    lived,
    may_have_begun,
    overlap,
)
from saddlestack.policy.cluster.jobs import Job, Run, StepState, Task
from saddlestack.policy.cluster.records import CrashRecord, TaskStatus, clamp_log_odds
from saddlestack.policy.cluster.workers import Worker

CRASHES_KEPT = 64
"""Crashes whose charges are remembered, so that they can be taken back, the latest."""
LEAVING_RATE = 0.2
"""Ends a second of workers whose record is gone while they answer: they serve on for seconds."""
UNHEARD_RATE = 0.1
"""Ends a second that only a lapsed lease tells of: more often the way to the worker is cut."""
NEVER_HEARD_RATE = 0.1
"""Ends a second of workers that were not heard in this term: an earlier leader may have known of an
announced end, or have seen them go."""
TOGETHER_RATE = 0.5
"""Ends a second for each other worker of a rack that fell silent at the same time..."""
TOGETHER_SHARE = 0.75
"""...where so many of those of the rack that run something did..."""
LEAST_TOGETHER = 3
"""...and so many workers: what ended them is no task, unless the same job ran on all of them."""
AGAIN_RATE = 0.1
"""Ends a second of a worker on a machine that crashed under the same task before: the machine may
crash by itself again and again. A suspect goes to other machines, where there are."""
KIN_CRASHED = 2
"""Once so many tasks of a step are likelier culprits than not, all of its tasks count as suspects:
tasks of one step run the same program."""


@dataclass(frozen=True, slots=True)
class _Charge:
    """What a crash added for one task."""

    task: Task
    crashes: int
    log_odds: float


@dataclass(slots=True)
class _Crash:
    """One crash, as far as it may have to be taken back.

    :param unexplained: how likely it was held to be that no task caused it.
    """

    worker_id: str
    service: str
    rack: str
    end: IncarnationEnd
    jobs: frozenset[str]
    runs: int
    charges: list[_Charge] = field(default_factory=list)
    unexplained: float = 0.0


@dataclass(slots=True)
class CrashAssessment:
    """What follows from a crash.

    :param touched: tasks whose records have changed.
    :param culprits: tasks to be given up.
    """

    findings: list[CrashFinding] = field(default_factory=list)
    touched: list[Task] = field(default_factory=list)
    culprits: list[Task] = field(default_factory=list)


class CrashTracker:
    """Keeps for each task what crashes tell of it, in its step's record, where leaders find it.

    :param rule: decides for each task.
    """

    def __init__(self, workers: dict[str, Worker], rule: CrashRule | None = None) -> None:
        self._workers = workers
        self._rule = rule or CRASH_RULE
        self._rates = CrashRates()
        self._latest: deque[_Crash] = deque(maxlen=CRASHES_KEPT)
        self._judged: set[str] = set()
        self._unsure: dict[str, tuple[list[Run], IncarnationEnd]] = {}
        self._likely: defaultdict[tuple[str, int], set[Task]] = defaultdict(set)

    # What the planner asks

    def is_suspect(self, task: Task) -> bool:
        """Whether a task that is to be started has to be kept from others."""
        record = _record(task)
        if record is not None and self._rule.is_suspect(record):
            return True
        return self._is_kin(task.step)

    def is_likely(self, task: Task) -> bool:
        """Whether a task is a likelier culprit than not."""
        record = _record(task)
        return (record is not None and self._rule.is_likely(record)) or self._is_kin(task.step)

    def may_crash(self, run: Run, now: float) -> bool:
        """Whether a run that is present still has to be kept from others."""
        record = _record(run.task)
        if record is None:
            return self._is_kin(run.task.step)
        return self._rule.is_suspect(self._rule.survived(record, _age_s(run, now)))

    def may_have_suspects(self, step: StepState) -> bool:
        """Whether any task of a step may be a suspect."""
        return bool(step.record.crashes) or (bool(self._likely) and self._is_kin(step))

    def _is_kin(self, step: StepState) -> bool:
        key = (step.occurrence.job.job_id, step.number)
        return len(self._likely.get(key, ())) >= KIN_CRASHED

    # Events

    def tick(self, now: float) -> None:
        """Time passes: workers that do not crash tell how rare that is."""
        self._rates.tick(now, self._workers.values())

    def incarnation_ended(self, worker: Worker, end: IncarnationEnd) -> CrashAssessment:
        """A worker's life has ended, or seems to have.

        An announced end tells of no task. A worker that is still in the platform's
        list and only unheard of is probably alive: it is judged once its record goes.
        """
        runs = [run for run in worker.runs.values() if may_have_begun(run)]
        if not runs or is_announced(worker, end):
            return CrashAssessment()
        if end.unheard and worker.listed:
            self._unsure[worker.worker_id] = (runs, end)
            return CrashAssessment()
        return self._judge(worker, runs, end)

    def unlisted(self, worker: Worker) -> CrashAssessment:
        """A worker's record is gone: one that was unheard of before is taken as crashed."""
        unsure = self._unsure.pop(worker.worker_id, None)
        if unsure is None:
            return CrashAssessment()
        return self._judge(worker, *unsure)

    def heard(self, worker_id: str) -> CrashAssessment:
        """A life answers: it has not crashed."""
        self._unsure.pop(worker_id, None)
        judgement = CrashAssessment()
        if worker_id not in self._judged:
            return judgement
        self._judged.discard(worker_id)
        for crash in [each for each in self._latest if each.worker_id == worker_id]:
            self._latest.remove(crash)
            self._explain(crash)
            for charge in crash.charges:
                self._take_back(charge, judgement, counted=True)
        return judgement

    def survived(self, run: Run, how: EndKind, now: float) -> CrashAssessment:
        """A run has ended, and its worker goes on; also where a gang ended with another member."""
        record = _record(run.task)
        judgement = CrashAssessment()
        if record is None:
            return judgement
        if how is EndKind.DONE and not run.task.step.step.long_running:
            self._keep(run.task, CrashRecord(), judgement)
        else:
            self._keep(run.task, self._rule.survived(record, _age_s(run, now)), judgement)
        return judgement

    def started(self, task: Task, count: int) -> None:
        """A task is to be started, or after all is not.

        :param count: 1, or -1 where the order never leaves.
        """
        record = _record(task)
        if record is not None and record.crashes >= COUNTED_FROM:
            record.later_starts += count

    def is_counted(self, task: Task) -> bool:
        """Whether the starts of a task are counted: none is to be wasted."""
        record = _record(task)
        return record is not None and record.crashes >= COUNTED_FROM

    def is_out_of_starts(self, task: Task) -> bool:
        """Whether a task that would have to be started again is given up instead."""
        record = _record(task)
        return record is not None and self._rule.is_culprit(record)

    def verdict(self, task: Task) -> CrashFinding:
        """What is told of a task that is given up."""
        record = _record(task) or CrashRecord()
        return CrashFinding(
            CrashFindingKind.GIVEN_UP, task.name, crashes=record.crashes, odds=record.odds
        )

    def forget_job(self, job_id: str) -> None:
        """A job that is over, or known no longer."""
        for key in [key for key in self._likely if key[0] == job_id]:
            del self._likely[key]

    def clear(self, job: Job) -> CrashAssessment:
        """An operator holds the tasks of a job to be sound."""
        judgement = CrashAssessment()
        for occurrence in job.occurrences:
            for step in occurrence.steps:
                for index, record in list(step.record.crashes.items()):
                    prior = self._rule.prior_log_odds
                    cleared = msgspec.structs.replace(record, log_odds=prior)
                    self._keep(step.tasks[index], cleared, judgement)
        return judgement

    def inherit(self, task: Task) -> None:
        """A task with what earlier leaders have kept of it."""
        record = _record(task)
        if record is not None and self._rule.is_likely(record):
            self._note_likely(task, likely=True)

    # Judging

    def _judge(self, worker: Worker, runs: Sequence[Run], end: IncarnationEnd) -> CrashAssessment:
        service = worker.record.service or runs[0].task.step.occurrence.job.accepted.service
        usual_rate = self._rates.usual(service)
        more_rate = self._more_rate(worker, end)
        together = self._fell_together(worker, end)
        exposed = []
        for run in runs:
            record = _record(run.task) or CrashRecord()
            rate = self._rates.usual(service, record.crashes) + more_rate
            rate += TOGETHER_RATE * _without(together, run.task)
            rate += AGAIN_RATE * (worker.machine in run.task.crashed_on)
            gang = run.task.step if run.task.step.step.gang else None
            exposed.append(Exposure(record, lived(run, end), rate, usual_rate, gang))
        charged = self._rule.charge(exposed)
        judgement = CrashAssessment()
        crash = _Crash(
            worker.worker_id,
            service,
            worker.record.rack,
            end,
            _jobs(runs),
            len(runs),
        )
        for run, before, after in zip(runs, exposed, charged, strict=True):
            charge = _Charge(
                run.task,
                after.crashes - before.record.crashes,
                after.log_odds - self._log_odds(before.record),
            )
            crash.charges.append(charge)
            run.task.crashed_on.add(worker.machine)
            self._keep(run.task, after, judgement, lost=True)
            self._sentence(run.task, crash, judgement)
        self._latest.append(crash)
        self._judged = {each.worker_id for each in self._latest}
        crash.unexplained = _unexplained(charged)
        self._rates.crashed(service, crash.unexplained)
        for task in judgement.culprits:
            self._clear_others(task, judgement)
        return judgement

    def _sentence(self, task: Task, crash: _Crash, judgement: CrashAssessment) -> None:
        """Tell what a task is taken for after a crash."""
        record = _record(task)
        if record is None or not self._rule.is_suspect(record):
            return
        kind = CrashFindingKind.SUSPECT
        if self._rule.is_culprit(record):
            kind = CrashFindingKind.GIVEN_UP
            judgement.culprits.append(task)
        beside = crash.runs - 1
        judgement.findings.append(
            CrashFinding(kind, task.name, crash.worker_id, record.crashes, record.odds, beside)
        )

    def _log_odds(self, record: CrashRecord) -> float:
        return record.log_odds if record.crashes else self._rule.prior_log_odds

    def _more_rate(self, worker: Worker, end: IncarnationEnd) -> float:
        """Ends a second of a worker, beyond the usual, by what is known of it and of its end."""
        rate = 0.0
        if not worker.listed and worker.outlived_record:
            rate += LEAVING_RATE
        if end.unheard:
            rate += UNHEARD_RATE
        if end.last_answer_s == -math.inf:
            rate += NEVER_HEARD_RATE
        return rate

    def _fell_together(self, worker: Worker, end: IncarnationEnd) -> list[frozenset[str]]:
        """The jobs of each other worker of a rack that fell silent with one; empty if few did."""
        rack = worker.record.rack
        fell = {
            crash.worker_id: crash.jobs
            for crash in self._latest
            if crash.rack == rack and overlap(crash.end, end)
        }
        others = [
            other
            for other in self._workers.values()
            if other is not worker and other.record.rack == rack and other.runs
        ]
        for other in others:
            if other.unreachable_since_s is None:
                continue
            if overlap(IncarnationEnd(other.last_answer_s, other.unreachable_since_s), end):
                fell[other.worker_id] = _jobs(other.runs.values())
        busy = len(fell) + sum(1 for other in others if other.worker_id not in fell)
        least = max(LEAST_TOGETHER, TOGETHER_SHARE * (busy + 1))
        return list(fell.values()) if len(fell) + 1 >= least else []

    def _clear_others(self, culprit: Task, judgement: CrashAssessment) -> None:
        """A task is given up: crashes under it speak against no other any more.

        They still count for the others until a run of theirs has lived on: that bounds their starts
        whatever is held of them.
        """
        for crash in self._latest:
            if all(charge.task is not culprit for charge in crash.charges):
                continue
            self._explain(crash)
            for charge in crash.charges:
                if charge.task is not culprit:
                    self._take_back(charge, judgement, counted=False)
            crash.charges = [charge for charge in crash.charges if charge.task is culprit]

    def _explain(self, crash: _Crash) -> None:
        """A crash does not count among those that no task explains."""
        self._rates.crashed(crash.service, -crash.unexplained)
        crash.unexplained = 0.0

    def _take_back(self, charge: _Charge, judgement: CrashAssessment, *, counted: bool) -> None:
        """Take back what a crash added for a task.

        :param counted: it was none, and does not count either.
        """
        record = _record(charge.task)
        if record is None:
            return
        crashes = max(0, record.crashes - charge.crashes) if counted else record.crashes
        # What spoke for a task is not taken back: its record may have begun anew since.
        log_odds = clamp_log_odds(record.log_odds - max(0.0, charge.log_odds))
        rest = msgspec.structs.replace(record, crashes=crashes, log_odds=log_odds)
        self._keep(charge.task, rest, judgement, lost=not counted)

    def _keep(
        self, task: Task, record: CrashRecord, judgement: CrashAssessment, *, lost: bool = False
    ) -> None:
        """Keep what is known of a task.

        It is forgotten once a run has lived on for long, or the task is done; never with a crash.

        :param lost: its run was lost with its worker, or is held to have been.
        """
        crashes = task.step.record.crashes
        index = task.name.index
        known = index in crashes
        cleared = self._rule.is_cleared(record) and not lost
        if _is_open(task) and record.crashes and not cleared:
            crashes[index] = record
        else:
            crashes.pop(index, None)
        if known and index not in crashes:
            judgement.findings.append(CrashFinding(CrashFindingKind.CLEARED, task.name))
        if known or index in crashes:
            judgement.touched.append(task)
        self._note_likely(task, likely=index in crashes and self._rule.is_likely(record))

    def _note_likely(self, task: Task, *, likely: bool) -> None:
        key = (task.name.job_id, task.step.number)
        if likely:
            self._likely[key].add(task)
        elif key in self._likely:
            self._likely[key].discard(task)
            if not self._likely[key]:
                del self._likely[key]


def _without(jobs: Iterable[frozenset[str]], task: Task) -> int:
    """How many of some workers ran nothing of a task's job."""
    return sum(1 for each in jobs if task.name.job_id not in each)


def _record(task: Task) -> CrashRecord | None:
    return task.step.record.crashes.get(task.name.index)


def _is_open(task: Task) -> bool:
    """Whether a task is still to be done."""
    return task.step.occurrence.open and task.status is not TaskStatus.DONE


def _jobs(runs: Iterable[Run]) -> frozenset[str]:
    return frozenset(run.task.name.job_id for run in runs)


def _age_s(run: Run, now: float) -> float:
    """For how long a run is known to have been at its worker."""
    return 0.0 if run.started_s is None else max(0.0, now - run.started_s)


def _unexplained(charged: Sequence[CrashRecord]) -> float:
    """How likely it is that no task caused a crash, by the odds of each that was there."""
    explained = sum(record.odds / (1 + record.odds) for record in charged)
    return max(0.0, 1.0 - explained)
