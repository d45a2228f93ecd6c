"""Tracks which tasks may have crashed their workers.

The evidence about a task is kept in the record of its step. That record is written before the
task's next start, so the evidence survives any failover. :mod:`crash_rule` evaluates it.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass, field, replace

import msgspec

from saddlestack.interfaces.workers import EndKind
from saddlestack.policy.cluster.crash_findings import CrashFinding, CrashFindingKind
from saddlestack.policy.cluster.crash_rate import CrashRates
from saddlestack.policy.cluster.crash_rule import (
    CRASH_RULE,
    LIMIT_STARTS_FROM,
    MAX_LATER_STARTS,
    CrashExposure,
    CrashRule,
)
from saddlestack.policy.cluster.incarnation_end import (
    DEFAULT_DRAIN_S,
    EndCause,
    IncarnationEnd,
    cause_of,
    lifetime_of,
    may_have_started,
)
from saddlestack.policy.cluster.jobs import Job, Run, StepState, Task
from saddlestack.policy.cluster.latest_crashes import Crash, Evidence, LatestCrashes, job_ids
from saddlestack.policy.cluster.records import (
    CrashRecord,
    TaskStatus,
    UnconfirmedCrash,
    clamp_log_odds,
)
from saddlestack.policy.cluster.unconfirmed_crashes import UnconfirmedCrashes
from saddlestack.policy.cluster.waiting import is_waiting
from saddlestack.policy.cluster.workers import Worker

OUTLIVED_RECORD_RATE = 0.2
"""Expected ends per second of a worker that still answers after its record was removed. Such a
worker serves for a few more seconds."""
LEASE_EXPIRED_RATE = 0.1
"""Expected ends per second of a worker whose end is only known from its expired lease. More often
the network path to the worker is cut."""
NEVER_ANSWERED_RATE = 0.1
"""Expected ends per second of a worker that has not answered in this term. Its end may have been
announced to an earlier leader, or have come before this term."""
CORRELATED_LOSS_RATE = 0.5
"""Expected ends per second for each other worker of the rack that was lost at the same time, unless
it ran the same job. A correlated loss is not caused by a task."""
SAME_MACHINE_RATE = 0.1
"""Expected ends per second of a worker on a machine that has crashed under the same task before.
The machine itself may crash repeatedly; a suspect goes to other machines if there are any."""
FIRST_RETRY_S = 600.0
"""How long a task that has used up its limited starts waits for its unconfirmed crashes to be
decided before it is started once more; long enough for a machine to restart. The wait doubles with
each such start."""
MAX_RETRY_DOUBLINGS = 6
MIN_LIKELY_TASKS = 2
"""Once this many tasks of a step are likely to crash their workers, all tasks of the step are
suspects, since they run the same program."""


@dataclass(frozen=True, slots=True)
class _SilentEnd:
    """The end of a worker that does not answer and is still listed, with the runs that it lost."""

    runs: list[Run]
    end: IncarnationEnd


@dataclass(slots=True)
class CrashAssessment:
    """The consequences of an event for the tasks involved.

    :param findings: to be logged.
    :param changed_tasks: tasks whose records have changed.
    :param culprits: tasks whose jobs fail, since they crash their workers.
    """

    findings: list[CrashFinding] = field(default_factory=list)
    changed_tasks: list[Task] = field(default_factory=list)
    culprits: list[Task] = field(default_factory=list)


class CrashTracker:
    """Keeps the crash evidence of each task in its step's record, where the next leader reads it.

    :param rule: evaluates the evidence of each task.
    :param drain_s: for how long a worker that ends as planned serves on at least.
    """

    def __init__(
        self,
        workers: dict[str, Worker],
        rule: CrashRule | None = None,
        drain_s: float = DEFAULT_DRAIN_S,
    ) -> None:
        self._workers = workers
        self._drain_s = drain_s
        self._rule = rule or CRASH_RULE
        self._rates = CrashRates()
        self._latest_crashes = LatestCrashes(workers)
        self._listed_ends: dict[str, _SilentEnd] = {}
        self._unconfirmed = UnconfirmedCrashes()
        self._held_since: dict[Task, float] = {}
        self._likely_tasks: defaultdict[tuple[str, int], set[Task]] = defaultdict(set)

    def is_suspect(self, task: Task) -> bool:
        """Whether a task that is to be started has to run alone."""
        record = _record(task)
        if record is not None and self._rule.is_suspect(record):
            return True
        return self._is_suspect_step(task.step)

    def is_likely(self, task: Task) -> bool:
        """Whether a task is more likely than not to crash its workers."""
        record = _record(task)
        return (record is not None and self._rule.is_likely(record)) or self._is_suspect_step(
            task.step
        )

    def may_crash(self, run: Run, now: float) -> bool:
        """Whether an assigned run still has to run alone, given how long it has survived."""
        record = _record(run.task)
        if record is None:
            return self._is_suspect_step(run.task.step)
        return self._rule.is_suspect(self._rule.survived(record, _survived_s(run, now)))

    def has_outlived(self, run: Run, now: float) -> bool:
        """Whether a run has survived for longer than any run of its step that was lost in a crash.

        A task that crashes each worker that starts it would probably have crashed this one by now.
        """
        crashes = run.task.step.record.crashes.values()
        return _survived_s(run, now) > max((record.span_s for record in crashes), default=0.0)

    def may_have_suspects(self, step: StepState) -> bool:
        """Whether any task of a step may be a suspect; a cheap check."""
        return bool(step.record.crashes) or (
            bool(self._likely_tasks) and self._is_suspect_step(step)
        )

    def _is_suspect_step(self, step: StepState) -> bool:
        key = (step.occurrence.job.job_id, step.number)
        return len(self._likely_tasks.get(key, ())) >= MIN_LIKELY_TASKS

    def tick(self, now: float) -> None:
        """Update the base rates of crashes with the uptime of all workers."""
        self._rates.tick(now, self._workers.values())

    def incarnation_ended(self, worker: Worker, end: IncarnationEnd) -> CrashAssessment:
        """Record that an incarnation of a worker has ended, or seems to have.

        An announced end is no evidence against a task. Nor is a planned end without a notice, but
        for tasks that are likely to crash their workers: the crash may have come before the planned
        end. A worker that is still listed and only unreachable is probably alive; it counts as
        crashed once its record is removed. Even then it may only be cut off, so that the crash is
        not confirmed. Once it is known to have been replaced, the crash is confirmed.
        """
        runs = [run for run in worker.runs.values() if may_have_started(run)]
        if not runs and not end.unheard:
            silent = self._take_listed_end(worker)
            if silent is not None:
                runs, end = silent.runs, replace(silent.end, unheard=False)
        cause = cause_of(worker, end, self._drain_s)
        if cause is EndCause.PLANNED:
            runs = [run for run in runs if self.is_likely(run.task)]
        if not runs or cause is EndCause.ANNOUNCED:
            return CrashAssessment()
        if cause is EndCause.UNKNOWN and worker.listed:
            self._listed_ends[worker.worker_id] = _SilentEnd(runs, end)
            return CrashAssessment()
        return self._record_crash(worker, runs, end)

    def record_removed(self, worker: Worker) -> CrashAssessment:
        """Record that a worker's record was removed; if it was unreachable, it has crashed."""
        silent = self._take_listed_end(worker)
        if silent is None:
            return CrashAssessment()
        return self._record_crash(worker, silent.runs, silent.end)

    def _take_listed_end(self, worker: Worker) -> _SilentEnd | None:
        """Remove the end that is kept for a silent worker, and return it unless the worker lived.

        A worker that has announced since then that it leaves had not crashed.
        """
        silent = self._listed_ends.pop(worker.worker_id, None)
        announced_s = worker.draining_since_s
        if silent is None or announced_s is None or announced_s <= silent.end.noticed_s:
            return silent
        return None

    def record_answer(self, worker: Worker) -> CrashAssessment:
        """Record that an incarnation answers.

        It has not crashed, and any earlier incarnation on its machine is over.
        """
        assessment = CrashAssessment()
        self._listed_ends.pop(worker.worker_id, None)
        for crash in self._latest_crashes.take(worker.worker_id):
            self._revert_crash(crash, worker, assessment)
        if not self._unconfirmed.is_empty:
            self._decide_unconfirmed(worker, assessment)
        return assessment

    def deciding_workers(self) -> Iterator[Worker]:
        """Yield the listed workers whose answer decides whether an unconfirmed crash was one."""
        return self._unconfirmed.deciding_workers(self._workers)

    def run_ended(self, run: Run, how: EndKind, now: float) -> CrashAssessment:
        """Record that a run ended without a crash of its worker.

        This includes runs of a gang that ended because of another member.
        """
        record = _record(run.task)
        assessment = CrashAssessment()
        if record is None:
            return assessment
        if how is EndKind.DONE and not run.task.step.step.long_running:
            self._store(run.task, CrashRecord(), assessment)
            return assessment
        lived_s = _survived_s(run, now)
        # A run that ended sooner than others were lost does not show that the task is sound.
        too_short = lived_s <= record.span_s
        survived = self._rule.survived(record, lived_s)
        self._store(run.task, survived, assessment, keep=too_short)
        return assessment

    def count_start(self, task: Task, count: int) -> None:
        """Count a start of a task that has crashed several workers.

        :param count: 1, or -1 if the start was never sent.
        """
        record = _record(task)
        if record is not None and record.crashes >= LIMIT_STARTS_FROM:
            record.later_starts = max(0, record.later_starts + count)

    def has_limited_starts(self, task: Task) -> bool:
        """Whether the remaining starts of a task are limited, so that none should be wasted."""
        record = _record(task)
        return record is not None and record.crashes >= LIMIT_STARTS_FROM

    def is_held(self, task: Task, now: float) -> bool:
        """Whether a task may not be started until its unconfirmed crashes are decided."""
        until_s = self.held_until(task, now)
        if until_s is None:
            self._held_since.pop(task, None)
            return False
        self._held_since.setdefault(task, now)
        return now < until_s

    def held_until(self, task: Task, now: float) -> float | None:
        """When a held task is started once more at the latest; ``None`` if it is not held."""
        record = _record(task)
        if record is None or not self._rule.awaits_confirmation(record):
            return None
        doublings = min(record.later_starts - MAX_LATER_STARTS, MAX_RETRY_DOUBLINGS)
        return self._held_since.get(task, now) + FIRST_RETRY_S * float(2**doublings)

    def is_out_of_starts(self, task: Task) -> bool:
        """Whether a task that would have to be started again fails its job instead."""
        record = _record(task)
        return record is not None and self._rule.is_culprit(record)

    def give_up_finding(self, task: Task) -> CrashFinding:
        """The finding for a task that is given up."""
        return self._finding(CrashFindingKind.GIVEN_UP, task)

    def forget_job(self, job_id: str) -> None:
        """Remove a job that is over."""
        for key in [key for key in self._likely_tasks if key[0] == job_id]:
            del self._likely_tasks[key]
        self._unconfirmed.forget_job(job_id)
        for task in [each for each in self._held_since if each.name.job_id == job_id]:
            del self._held_since[task]

    def clear(self, job: Job) -> CrashAssessment:
        """Reset the odds of all tasks of a job, at an operator's request; crashes still count."""
        assessment = CrashAssessment()
        for occurrence in job.occurrences:
            for step in occurrence.steps:
                for index, record in list(step.record.crashes.items()):
                    cleared = msgspec.structs.replace(
                        record,
                        log_odds=self._rule.prior_log_odds,
                        unconfirmed=tuple(map(_without_odds, record.unconfirmed)),
                    )
                    self._store(step.tasks[index], cleared, assessment)
        return assessment

    def inherit(self, task: Task) -> None:
        """Take over the evidence about a task from the records of earlier leaders."""
        record = _record(task)
        if record is None:
            return
        self._unconfirmed.replace(task, (), record.unconfirmed)
        if self._rule.is_likely(record):
            self._note_likely(task, likely=True)

    def _record_crash(
        self, worker: Worker, runs: Sequence[Run], end: IncarnationEnd
    ) -> CrashAssessment:
        service = worker.record.service or runs[0].task.step.occurrence.job.accepted.service
        exposures = self._exposures(worker, runs, end, service)
        updated = self._rule.update(exposures)
        crash = Crash(worker.worker_id, service, worker.record.rack, end, job_ids(runs), len(runs))
        assessment = CrashAssessment()
        for run, exposure, record in zip(runs, exposures, updated, strict=True):
            self._add_evidence(crash, run.task, exposure, record, worker, assessment)
        self._latest_crashes.add(crash)
        crash.unexplained = _unexplained(updated)
        self._rates.record_crash(service, crash.unexplained)
        for task in assessment.culprits:
            self._clear_others(task, assessment)
        return assessment

    def _exposures(
        self, worker: Worker, runs: Sequence[Run], end: IncarnationEnd, service: str
    ) -> list[CrashExposure]:
        base_rate = self._rates.base_rate(service)
        extra_rate = _extra_rate(worker, end)
        lost_together = self._latest_crashes.lost_together(worker, end)
        exposures = []
        for run in runs:
            record = _record(run.task) or CrashRecord()
            rate = self._rates.base_rate(service, record.crashes) + extra_rate
            rate += CORRELATED_LOSS_RATE * _count_without(lost_together, run.task)
            rate += SAME_MACHINE_RATE * (worker.machine in run.task.crashed_on)
            gang = run.task.step if run.task.step.step.gang else None
            exposures.append(CrashExposure(record, lifetime_of(run, end), rate, base_rate, gang))
        return exposures

    def _add_evidence(
        self,
        crash: Crash,
        task: Task,
        exposure: CrashExposure,
        record: CrashRecord,
        worker: Worker,
        assessment: CrashAssessment,
    ) -> None:
        """Store the evidence that a crash adds to one task.

        :param record: the task's record, updated with the crash.
        """
        before = exposure.record
        log_odds = before.log_odds if before.crashes else self._rule.prior_log_odds
        added = Evidence(task, record.crashes - before.crashes, record.log_odds - log_odds)
        if crash.end.unheard:
            if not added.crashes:
                self._record_survival(task, exposure.lifetime.min_s, assessment)
                return
            record = _with_unconfirmed(record, worker, added.log_odds)
        crash.evidence.append(added)
        task.crashed_on.add(worker.machine)
        self._held_since.pop(task, None)
        self._store(task, record, assessment, keep=True)
        self._classify(task, crash, assessment)

    def _record_survival(self, task: Task, lived_s: float, assessment: CrashAssessment) -> None:
        """Record that a run lived for some time before its worker stopped answering."""
        record = _record(task)
        if record is not None:
            self._store(task, self._rule.survived(record, lived_s), assessment, keep=True)

    def _revert_crash(self, crash: Crash, worker: Worker, assessment: CrashAssessment) -> None:
        """Revert a crash of a worker that answers, as far as it is not unconfirmed."""
        self._remove_from_rate(crash)
        for item in crash.evidence:
            if _unconfirmed_crash(item.task, crash.worker_id) is not None:
                continue
            self._revert(item, assessment, uncount=True)
            item.task.crashed_on.discard(worker.machine)
            assessment.findings.append(
                self._finding(CrashFindingKind.REVERTED, item.task, crash.worker_id)
            )

    def _decide_unconfirmed(self, worker: Worker, assessment: CrashAssessment) -> None:
        """Decide the unconfirmed crashes of a worker that answers, and of its predecessors."""
        for task in self._unconfirmed.tasks_of(worker.worker_id):
            self._revert_unconfirmed(task, worker, assessment)
        for predecessor in self._unconfirmed.predecessors_of(worker):
            for task in self._unconfirmed.tasks_of(predecessor):
                self._confirm(task, predecessor, assessment)

    def _revert_unconfirmed(self, task: Task, worker: Worker, assessment: CrashAssessment) -> None:
        """Revert the unconfirmed crash of a worker from the record of a task."""
        record = _record(task)
        crash = _unconfirmed_crash(task, worker.worker_id)
        if record is None or crash is None:
            return
        rest = tuple(each for each in record.unconfirmed if each is not crash)
        reverted = msgspec.structs.replace(
            record, log_odds=clamp_log_odds(record.log_odds - crash.log_odds), unconfirmed=rest
        )
        task.crashed_on.discard(worker.machine)
        self._store(task, _uncount(reverted, 1), assessment, keep=True)
        assessment.findings.append(self._finding(CrashFindingKind.REVERTED, task, worker.worker_id))

    def _confirm(self, task: Task, worker_id: str, assessment: CrashAssessment) -> None:
        """Confirm the crash of a worker. A task that waits to be started may be given up now."""
        record = _record(task)
        if record is None:
            return
        rest = tuple(each for each in record.unconfirmed if each.worker != worker_id)
        confirmed = msgspec.structs.replace(record, unconfirmed=rest)
        self._store(task, confirmed, assessment, keep=True)
        kind = CrashFindingKind.CONFIRMED
        if is_waiting(task) and self._rule.is_culprit(confirmed):
            kind = CrashFindingKind.GIVEN_UP
            assessment.culprits.append(task)
        assessment.findings.append(self._finding(kind, task, worker_id))

    def _finding(self, kind: CrashFindingKind, task: Task, worker_id: str = "") -> CrashFinding:
        record = _record(task)
        if record is None:
            return CrashFinding(kind, task.name, worker_id)
        return CrashFinding(kind, task.name, worker_id, record.crashes, record.odds)

    def _classify(self, task: Task, crash: Crash, assessment: CrashAssessment) -> None:
        """Classify a task after a crash, and record the finding."""
        record = _record(task)
        if record is None:
            return
        kind = CrashFindingKind.COUNTED
        if self._rule.is_suspect(record):
            kind = CrashFindingKind.SUSPECT
            if self._rule.is_culprit(record):
                kind = CrashFindingKind.GIVEN_UP
                assessment.culprits.append(task)
        assessment.findings.append(
            CrashFinding(
                kind,
                task.name,
                crash.worker_id,
                record.crashes,
                record.odds,
                beside=crash.runs - 1,
                unheard=crash.end.unheard,
            )
        )

    def _clear_others(self, culprit: Task, assessment: CrashAssessment) -> None:
        """Revert the odds that other tasks owe to crashes of a task that is given up.

        The crashes still count toward the other tasks' limits of starts until a run of theirs has
        survived, whatever their odds are.
        """
        for crash in self._latest_crashes:
            if all(item.task is not culprit for item in crash.evidence):
                continue
            self._remove_from_rate(crash)
            for item in crash.evidence:
                if item.task is not culprit:
                    self._revert(item, assessment, uncount=False)
                    self._keep_count_only(item.task, crash.worker_id, assessment)
            crash.evidence = [item for item in crash.evidence if item.task is culprit]

    def _keep_count_only(self, task: Task, worker_id: str, assessment: CrashAssessment) -> None:
        """Note that the odds of an unconfirmed crash have been reverted, but not its count."""
        record = _record(task)
        if record is None:
            return
        unconfirmed = tuple(
            _without_odds(each) if each.worker == worker_id else each for each in record.unconfirmed
        )
        if unconfirmed != record.unconfirmed:
            kept = msgspec.structs.replace(record, unconfirmed=unconfirmed)
            self._store(task, kept, assessment, keep=True)

    def _remove_from_rate(self, crash: Crash) -> None:
        """Remove a crash from the base rate, since a task caused it or it did not happen."""
        self._rates.record_crash(crash.service, -crash.unexplained)
        crash.unexplained = 0.0

    def _revert(self, item: Evidence, assessment: CrashAssessment, *, uncount: bool) -> None:
        """Revert the evidence that a crash added to a task.

        :param uncount: the worker did not crash, so that the crash is not counted either.
        """
        record = _record(item.task)
        if record is None:
            return
        # Exonerating evidence is not reverted: the record may have been reset since.
        log_odds = clamp_log_odds(record.log_odds - max(0.0, item.log_odds))
        rest = msgspec.structs.replace(record, log_odds=log_odds)
        if uncount:
            rest = _uncount(rest, item.crashes)
        self._store(item.task, rest, assessment, keep=True)

    def _store(
        self, task: Task, record: CrashRecord, assessment: CrashAssessment, *, keep: bool = False
    ) -> None:
        """Store the evidence about a task.

        The record is removed once a run has survived for long enough or the task is done, but never
        because of a crash.

        :param keep: whether to keep the record however low the odds are, since its run was lost
            with its worker, or may have been, or was too short.
        """
        crashes = task.step.record.crashes
        index = task.name.index
        known = index in crashes
        before = crashes[index].unconfirmed if known else ()
        cleared = self._rule.is_cleared(record) and not keep
        if _is_unfinished(task) and record.crashes and not cleared:
            crashes[index] = record
        else:
            crashes.pop(index, None)
            self._held_since.pop(task, None)
        self._unconfirmed.replace(
            task, before, crashes[index].unconfirmed if index in crashes else ()
        )
        if known and index not in crashes:
            assessment.findings.append(CrashFinding(CrashFindingKind.CLEARED, task.name))
        if known or index in crashes:
            assessment.changed_tasks.append(task)
        self._note_likely(task, likely=index in crashes and self._rule.is_likely(record))

    def _note_likely(self, task: Task, *, likely: bool) -> None:
        key = (task.name.job_id, task.step.number)
        if likely:
            self._likely_tasks[key].add(task)
        elif key in self._likely_tasks:
            self._likely_tasks[key].discard(task)
            if not self._likely_tasks[key]:
                del self._likely_tasks[key]


def _with_unconfirmed(record: CrashRecord, worker: Worker, log_odds: float) -> CrashRecord:
    """A record with its latest crash marked as unconfirmed."""
    crash = UnconfirmedCrash(
        worker.worker_id, max(0.0, log_odds), worker.record.machine, worker.record.address
    )
    return msgspec.structs.replace(record, unconfirmed=(*record.unconfirmed, crash))


def _unconfirmed_crash(task: Task, worker_id: str) -> UnconfirmedCrash | None:
    """The unconfirmed crash of a worker that counts toward a task, if there is one."""
    record = _record(task) or CrashRecord()
    return next((each for each in record.unconfirmed if each.worker == worker_id), None)


def _uncount(record: CrashRecord, crashes: int) -> CrashRecord:
    """A record with fewer crashes; starts count from the third of those that are left."""
    left = max(len(record.unconfirmed), record.crashes - crashes)
    later_starts = record.later_starts if left >= LIMIT_STARTS_FROM else 0
    return msgspec.structs.replace(record, crashes=left, later_starts=later_starts)


def _extra_rate(worker: Worker, end: IncarnationEnd) -> float:
    """Expected ends per second beyond the base rate, given how a worker ended."""
    rate = 0.0
    if not worker.listed and worker.outlived_record:
        rate += OUTLIVED_RECORD_RATE
    if end.unheard:
        rate += LEASE_EXPIRED_RATE
    if end.last_answer_s == -math.inf:
        rate += NEVER_ANSWERED_RATE
    return rate


def _without_odds(crash: UnconfirmedCrash) -> UnconfirmedCrash:
    return msgspec.structs.replace(crash, log_odds=0.0)


def _count_without(jobs: Iterable[frozenset[str]], task: Task) -> int:
    """The number of workers that ran no task of a task's job."""
    return sum(1 for each in jobs if task.name.job_id not in each)


def _record(task: Task) -> CrashRecord | None:
    return task.step.record.crashes.get(task.name.index)


def _is_unfinished(task: Task) -> bool:
    """Whether a task is not done yet."""
    return task.step.occurrence.open and task.status is not TaskStatus.DONE


def _survived_s(run: Run, now: float) -> float:
    """How long a run is known to have been on its worker."""
    return 0.0 if run.started_s is None else max(0.0, now - run.started_s)


def _unexplained(updated: Sequence[CrashRecord]) -> float:
    """The probability that no task caused a crash, given the odds of each task on the worker."""
    explained = sum(record.odds / (1 + record.odds) for record in updated)
    return max(0.0, 1.0 - explained)
