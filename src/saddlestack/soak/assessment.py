"""Assembles the report of a soak from what clients, workers and the store recorded."""

from __future__ import annotations

import asyncio
import math
import time
from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TypeVar

import msgspec

from saddlestack.interfaces.workers import EndKind
from saddlestack.soak.configuration_checks import ConfigurationChecker, check_logs
from saddlestack.soak.configuration_probes import ConfigurationProbes
from saddlestack.soak.configurations import ConfigurationChanges
from saddlestack.soak.disturbances import Disturbances
from saddlestack.soak.faults import Fault
from saddlestack.soak.hosts import WorkerHosts
from saddlestack.soak.invariants import (
    ClientJob,
    Invariant,
    InvariantTimes,
    Violation,
    check_invariants,
)
from saddlestack.soak.load import Load, SubmittedJob
from saddlestack.soak.logsearch import lines_of, ordered_starts_of
from saddlestack.soak.meters import Meters
from saddlestack.soak.platform import SoakPlatform, Term
from saddlestack.soak.processes import EntryProcess, Program
from saddlestack.soak.report import (
    MAX_LINES,
    BrokenReport,
    ConfigurationReport,
    KindReport,
    LagReport,
    SoakReport,
    StandstillReport,
    TimeSummary,
    VmReport,
    objective_s,
)
from saddlestack.soak.runnable_periods import AcceptedRequest
from saddlestack.soak.runs import RunHistory, RunRecord
from saddlestack.soak.shape import FaultKind, JobKind, SoakShape
from saddlestack.soak.stall_causes import ClassifiedStall, StallClassifier
from saddlestack.soak.stalls import SoakHistory, find_stalls
from saddlestack.standins.pool.workers import TaskPlan
from saddlestack.work import JobState, Resources

T = TypeVar("T", Fault, Term)

MAX_VMS_REPORTED = 5
"""The number of VMs whose load is reported."""
MAX_WITH_LINES = 20
"""The number of violations that are reported with log lines."""
MAX_START_LINES = 10_000
"""The number of a stalled job's log lines that are searched for ordered starts."""


@dataclass(slots=True)
class Observations:
    """All sources of a soak's measurements.

    :param changes: changes of the configuration, and ``probes`` that show their effect; ``None``
        if the shape has none.
    :param began_s: the start of the soak, on the clock of the event loop.
    :param began_at: the start of the soak, in seconds since the Unix epoch.
    """

    shape: SoakShape
    platform: SoakPlatform
    hosts: WorkerHosts
    load: Load
    meters: Meters
    faults: list[Fault] = field(default_factory=list)
    changes: ConfigurationChanges | None = None
    probes: ConfigurationProbes | None = None
    began_s: float = field(default_factory=lambda: asyncio.get_running_loop().time())
    began_at: float = field(default_factory=time.time)

    @property
    def elapsed_s(self) -> float:
        """The time since the start of the soak."""
        return asyncio.get_running_loop().time() - self.began_s


def assess(
    observations: Observations,
    seed: int,
    seconds: float,
    program: Program,
    entries: Sequence[EntryProcess],
) -> SoakReport:
    """Check all invariants and report the violations and measurements."""
    run_history = RunHistory.of(observations.hosts.records)
    faults = [*observations.faults, *crashes_by_tasks(run_history)]
    stalls = _classify_stalls(observations, run_history, entries, faults)
    violations = _find_violations(observations, entries, faults) + _unexplained_stalls(stalls)
    configuration_report, found = _check_configurations(observations, entries)
    violations += found
    violations.sort(key=lambda each: each.at_s)
    shape = observations.shape
    return SoakReport(
        shape=shape.name,
        seed=seed,
        seconds=seconds,
        program=str(program.src),
        started_at=time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(observations.began_at))
        + f",{int(observations.began_at % 1 * 1000):03d}",
        took_s=observations.elapsed_s,
        vms=shape.vms,
        workers=shape.workers,
        kinds=[_kind_report(kind, observations.load.jobs, run_history) for kind in shape.kinds],
        busiest=_busiest_vms(observations),
        memory_mb=observations.meters.memory_mb,
        stand_ins=_stand_in_reports(observations),
        faults=[_since_start(fault, observations.began_s) for fault in observations.faults],
        terms=[
            _since_start(term, observations.began_s) for term in observations.platform.terms.terms
        ],
        broken=_violation_reports(violations, observations, entries),
        troubled=_harness_problems(observations),
        standstills=[_stall_report(each, observations.began_s) for each in stalls],
        configurations=configuration_report,
    )


def _check_configurations(
    observations: Observations, entries: Sequence[EntryProcess]
) -> tuple[ConfigurationReport | None, list[Violation]]:
    changes, probes = observations.changes, observations.probes
    if changes is None or probes is None:
        return None, []
    halls = {entry.name: entry.site.hall for entry in entries}
    checker = ConfigurationChecker(changes.history, observations.faults, halls)
    found = checker.check(probes.answered)
    found += check_logs([entry.log for entry in entries], changes.history)
    report = ConfigurationReport(
        versions=len(changes.history.versions),
        invalid=changes.history.invalid,
        calls=len(probes.answered),
        judged=checker.judged,
    )
    return report, found


def _harness_problems(observations: Observations) -> list[str]:
    """Find faults of the stand-ins themselves."""
    found = []
    if not observations.hosts.alive:
        found.append("a process that plays workers has ended")
    if not observations.platform.alive:
        found.append("the process that plays the store has ended")
    return found


def crashes_by_tasks(run_history: RunHistory) -> list[Fault]:
    """Return the worker crashes that tasks caused, as faults for everything that ran there."""
    incarnations = sorted(
        run_history.incarnations.values(), key=lambda incarnation: incarnation.began_s
    )
    found = []
    for incarnation in incarnations:
        if not incarnation.crashed_by:
            continue
        later = (each.began_s for each in incarnations if each.machine == incarnation.machine)
        restarted_s = next(
            (began_s for began_s in later if began_s > incarnation.ended_s), incarnation.ended_s
        )
        found.append(
            Fault(
                FaultKind.WORKER_CRASH,
                restarted_s - incarnation.ended_s,
                incarnation.ended_s,
                restarted_s,
                incarnation.machine,
                f"by {incarnation.crashed_by}",
            )
        )
    return found


def _find_violations(
    observations: Observations, entries: Sequence[EntryProcess], faults: Sequence[Fault]
) -> list[Violation]:
    terms = observations.platform.terms
    halls = {entry.name: entry.site.hall for entry in entries}
    disturbances = Disturbances(faults, halls)
    return check_invariants(
        observations.hosts.records,
        [_client_job(job) for job in observations.load.jobs],
        InvariantTimes(drain_s=observations.shape.times.drain_s),
        lambda fence, at_s: disturbances.is_undisturbed(terms.vm_of(fence), at_s),
        is_fault_free=disturbances.is_fault_free,
        guaranteed={each.name: each.guaranteed for each in observations.shape.accounts},
    )


def _classify_stalls(
    observations: Observations,
    run_history: RunHistory,
    entries: Sequence[EntryProcess],
    faults: Sequence[Fault],
) -> list[ClassifiedStall]:
    """Find all stalls and their causes."""
    shape = observations.shape
    worker = shape.worker
    epoch_s = observations.began_s - observations.began_at
    accepted_requests = [
        _accepted_request(job) for job in observations.load.jobs if job.accepted_s is not None
    ]
    capacity = Resources(worker.cpu, worker.memory_mb, worker.accelerators)
    requests = {job.job_id: job.request for job in observations.load.jobs}
    history = SoakHistory(
        run_history,
        accepted_requests,
        requests,
        capacity,
        epoch_s,
        observations.began_s + observations.elapsed_s,
    )
    found = find_stalls(history)
    ordered_starts = ordered_starts_of(
        [entry.log for entry in entries], {each.job_id for each in found}, epoch_s, MAX_START_LINES
    )
    halls = {entry.name: entry.site.hall for entry in entries}
    classifier = StallClassifier(
        history, faults, observations.platform.terms.terms, halls, shape.times
    )
    return [classifier.classify(each, ordered_starts.get(each.job_id, [])) for each in found]


def _accepted_request(job: SubmittedJob) -> AcceptedRequest:
    assert job.accepted_s is not None
    return AcceptedRequest(job.job_id, job.request, job.accepted_s, job.kind.attempts, job.closed_s)


def _unexplained_stalls(stalls: Sequence[ClassifiedStall]) -> list[Violation]:
    found = []
    for each in stalls:
        if each.causes:
            continue
        stall = each.stall
        detail = (
            f"for {stall.until_s - stall.since_s:.1f} s, {stall.pool.used} of {stall.pool.total} "
            f"accelerators in use, {stall.beside} runs of others began"
        )
        found.append(Violation(Invariant.STALL, stall.since_s, stall.job_id, (), detail))
    return found


def _stall_report(classified: ClassifiedStall, start_s: float) -> StandstillReport:
    stall = classified.stall
    return StandstillReport(
        job_id=stall.job_id,
        since_s=stall.since_s - start_s,
        until_s=stall.until_s - start_s,
        used=stall.pool.used,
        total=stall.pool.total,
        beside=stall.beside,
        excuses=[cause.value for cause in classified.causes],
    )


def _client_job(job: SubmittedJob) -> ClientJob:
    return ClientJob(
        job_id=job.job_id,
        request=job.request,
        accepted=job.accepted_s is not None,
        refused=job.refused,
        cancel_sent=job.cancel_sent,
        cancelled_s=job.cancelled_s,
        state=job.state,
        attempts=job.kind.attempts,
        account=job.account,
        urgent=job.kind.priority == 0,
        submitted_s=job.submitted_s,
        accepted_s=job.accepted_s,
    )


def _violation_reports(
    violations: list[Violation], observations: Observations, entries: Sequence[EntryProcess]
) -> list[BrokenReport]:
    jobs = {each.job_id for each in violations[:MAX_WITH_LINES] if each.job_id}
    lines = lines_of([entry.log for entry in entries], jobs, MAX_LINES)
    start_s = observations.began_s
    vm_of = observations.platform.terms.vm_of
    return [
        BrokenReport(
            promise=each.invariant.value,
            at_s=each.at_s - start_s if each.at_s < math.inf else -1.0,
            job_id=each.job_id,
            text=each.text(vm_of, start_s),
            lines=lines.pop(each.job_id, []),
        )
        for each in violations
    ]


def _kind_report(
    kind: JobKind, jobs: Sequence[SubmittedJob], run_history: RunHistory
) -> KindReport:
    jobs_of_kind = [job for job in jobs if job.kind is kind]
    accepted = [job for job in jobs_of_kind if job.accepted_s is not None]
    runs: dict[str, list[RunRecord]] = defaultdict(list)
    for run in run_history.runs:
        runs[run.task.job_id].append(run)
    completed = [job for job in accepted if job.state is JobState.COMPLETED]
    return KindReport(
        name=kind.name,
        jobs=len(jobs_of_kind),
        accepted=len(accepted),
        refused=sum(job.refused for job in jobs_of_kind),
        completed=len(completed),
        failed=sum(job.state is JobState.FAILED for job in accepted),
        cancelled=sum(job.state is JobState.CANCELLED for job in accepted),
        unfinished=sum(not job.over for job in accepted),
        tasks=sum(job.request.steps[0].count for job in accepted),
        runs=sum(len(runs[job.job_id]) for job in jobs_of_kind),
        acceptance=TimeSummary.of([(job.accepted_s or 0.0) - job.submitted_s for job in accepted]),
        begins=TimeSummary.of(
            [
                first - job.submitted_s
                for job in accepted
                if (first := _first_work_s(runs[job.job_id])) < math.inf
            ]
        ),
        in_time=sum(_is_in_time(job, runs[job.job_id]) for job in completed)
        / max(1, len(completed)),
    )


def _first_work_s(runs: Sequence[RunRecord]) -> float:
    """When the first task began to work; members of a gang begin once all are present."""
    begins = [run.work_began_s if run.gang else run.began_s for run in runs]
    return min((each for each in begins if each is not None), default=math.inf)


def _is_in_time(job: SubmittedJob, runs: Sequence[RunRecord]) -> bool:
    ends = [run.ended_s for run in runs if run.how is EndKind.DONE]
    if not ends:
        return False
    work_s = msgspec.json.decode(job.request.payload, type=TaskPlan).work_s
    return max(ends) - job.submitted_s <= objective_s(job.kind, work_s)


def _busiest_vms(observations: Observations) -> list[VmReport]:
    elapsed_s = observations.elapsed_s
    found = [
        VmReport(
            name,
            use.processor_s / elapsed_s,
            use.highest,
            use.highest_s - observations.began_s,
            use.memory_mb,
        )
        for name, use in observations.meters.uses.items()
    ]
    return sorted(found, key=lambda vm: vm.highest, reverse=True)[:MAX_VMS_REPORTED]


def _stand_in_reports(observations: Observations) -> list[LagReport]:
    """The load of this process, which runs the clients, and of the store and worker processes."""
    elapsed_s = observations.elapsed_s
    meters = observations.meters
    of_store = observations.platform.loads
    found = [
        LagReport("clients", TimeSummary.of(meters.lags_s), meters.own_processor_s / elapsed_s),
        LagReport(
            "store",
            TimeSummary.of([load.lag_s for load in of_store]),
            max((load.processor_s for load in of_store), default=0.0) / elapsed_s,
            sum(load.calls for load in of_store) / elapsed_s,
        ),
    ]
    loads = observations.hosts.loads
    for host in sorted({load.host for load in loads}):
        jobs_of_kind = [load for load in loads if load.host == host]
        found.append(
            LagReport(
                f"workers {host}",
                TimeSummary.of([load.lag_s for load in jobs_of_kind]),
                max(load.processor_s for load in jobs_of_kind) / elapsed_s,
                sum(load.calls for load in jobs_of_kind) / elapsed_s,
            )
        )
    return found


def _since_start(event: T, start_s: float) -> T:
    """Return an event with its times relative to the start of the soak."""
    ended_s = None if event.ended_s is None else event.ended_s - start_s
    return msgspec.structs.replace(event, began_s=event.began_s - start_s, ended_s=ended_s)
