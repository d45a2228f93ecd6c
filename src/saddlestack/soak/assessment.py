"""Puts a soak's report together: what clients, workers and the store saw."""

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
from saddlestack.soak.logsearch import lines_of, orders_of
from saddlestack.soak.meters import Meters
from saddlestack.soak.platform import SoakPlatform, Term
from saddlestack.soak.processes import EntryProcess, Program
from saddlestack.soak.report import (
    MAX_LINES,
    BrokenReport,
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

BUSIEST = 5
"""VMs whose load is told."""
EXPLAINED = 20
"""Broken promises whose log lines are looked up."""
MOST_ORDERS = 10_000
"""Log lines of a job that stood still in which its starts are looked for."""


@dataclass(slots=True)
class Observations:
    """Everything that saw something of a soak.

    :param began_s: its start, on the clock of the event loop.
    :param began_at: its start, in wall time since 1970.
    """

    shape: SoakShape
    platform: SoakPlatform
    hosts: WorkerHosts
    load: Load
    meters: Meters
    faults: list[Fault] = field(default_factory=list)
    began_s: float = field(default_factory=lambda: asyncio.get_running_loop().time())
    began_at: float = field(default_factory=time.time)

    @property
    def took_s(self) -> float:
        """How long it has taken so far."""
        return asyncio.get_running_loop().time() - self.began_s


def assess(
    observations: Observations,
    seed: int,
    seconds: float,
    program: Program,
    entries: Sequence[EntryProcess],
) -> SoakReport:
    """Judge, and tell what was measured."""
    book = RunHistory.of(observations.hosts.records)
    faults = [*observations.faults, *crashes_by_tasks(book)]
    stall = _standstills(observations, book, entries, faults)
    broken = _judge(observations, entries, faults) + _broken_standstills(stall)
    broken.sort(key=lambda each: each.at_s)
    shape = observations.shape
    return SoakReport(
        shape=shape.name,
        seed=seed,
        seconds=seconds,
        program=str(program.src),
        started_at=time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(observations.began_at))
        + f",{int(observations.began_at % 1 * 1000):03d}",
        took_s=observations.took_s,
        vms=shape.vms,
        workers=shape.workers,
        kinds=[_kind(kind, observations.load.jobs, book) for kind in shape.kinds],
        busiest=_busiest(observations),
        memory_mb=observations.meters.memory_mb,
        stand_ins=_stand_ins(observations),
        faults=[_since_start(fault, observations.began_s) for fault in observations.faults],
        terms=[
            _since_start(term, observations.began_s) for term in observations.platform.terms.terms
        ],
        broken=_explained(broken, observations, entries),
        troubled=_troubles(observations),
        standstills=[_standstill(each, observations.began_s) for each in stall],
    )


def _troubles(observations: Observations) -> list[str]:
    """What was wrong with the stand-ins themselves."""
    found = []
    if not observations.hosts.alive:
        found.append("a process that plays workers has ended")
    if not observations.platform.alive:
        found.append("the process that plays the store has ended")
    return found


def crashes_by_tasks(book: RunHistory) -> list[Fault]:
    """The crashes of workers that tasks caused: to all that ran there they are faults as any."""
    incarnations = sorted(book.incarnations.values(), key=lambda incarnation: incarnation.began_s)
    found = []
    for incarnation in incarnations:
        if not incarnation.crashed_by:
            continue
        later = (each.began_s for each in incarnations if each.machine == incarnation.machine)
        back_s = next(
            (began_s for began_s in later if began_s > incarnation.ended_s), incarnation.ended_s
        )
        found.append(
            Fault(
                FaultKind.WORKER_CRASH,
                back_s - incarnation.ended_s,
                incarnation.ended_s,
                back_s,
                incarnation.machine,
                f"by {incarnation.crashed_by}",
            )
        )
    return found


def _judge(
    observations: Observations, entries: Sequence[EntryProcess], faults: Sequence[Fault]
) -> list[Violation]:
    terms = observations.platform.terms
    halls = {entry.name: entry.site.hall for entry in entries}
    disturbances = Disturbances(faults, halls)
    return check_invariants(
        observations.hosts.records,
        [_client_job(told) for told in observations.load.jobs],
        InvariantTimes(drain_s=observations.shape.times.drain_s),
        lambda fence, at_s: disturbances.is_undisturbed(terms.vm_of(fence), at_s),
        is_fault_free=disturbances.is_fault_free,
        guaranteed={each.name: each.guaranteed for each in observations.shape.accounts},
    )


def _standstills(
    observations: Observations,
    book: RunHistory,
    entries: Sequence[EntryProcess],
    faults: Sequence[Fault],
) -> list[ClassifiedStall]:
    """All jobs that stood still, with what explains each."""
    shape = observations.shape
    worker = shape.worker
    epoch_s = observations.began_s - observations.began_at
    works = [_accepted_work(told) for told in observations.load.jobs if told.accepted_s is not None]
    room = Resources(worker.cpu, worker.memory_mb, worker.accelerators)
    requests = {told.job_id: told.request for told in observations.load.jobs}
    history = SoakHistory(
        book, works, requests, room, epoch_s, observations.began_s + observations.took_s
    )
    found = find_stalls(history)
    orders = orders_of(
        [entry.log for entry in entries], {each.job_id for each in found}, epoch_s, MOST_ORDERS
    )
    halls = {entry.name: entry.site.hall for entry in entries}
    excuses = StallClassifier(
        history, faults, observations.platform.terms.terms, halls, shape.times
    )
    return [excuses.classify(each, orders.get(each.job_id, [])) for each in found]


def _accepted_work(told: SubmittedJob) -> AcceptedRequest:
    assert told.accepted_s is not None
    return AcceptedRequest(
        told.job_id, told.request, told.accepted_s, told.kind.attempts, told.closed_s
    )


def _broken_standstills(stall: Sequence[ClassifiedStall]) -> list[Violation]:
    found = []
    for each in stall:
        if each.excuses:
            continue
        what = each.stall
        detail = (
            f"for {what.until_s - what.since_s:.1f} s, {what.pool.used} of {what.pool.total} "
            f"accelerators in use, {what.beside} runs of others began"
        )
        found.append(Violation(Invariant.STANDS_STILL, what.since_s, what.job_id, (), detail))
    return found


def _standstill(judged: ClassifiedStall, start_s: float) -> StandstillReport:
    stall = judged.stall
    return StandstillReport(
        job_id=stall.job_id,
        since_s=stall.since_s - start_s,
        until_s=stall.until_s - start_s,
        used=stall.pool.used,
        total=stall.pool.total,
        beside=stall.beside,
        excuses=[excuse.value for excuse in judged.excuses],
    )


def _client_job(told: SubmittedJob) -> ClientJob:
    return ClientJob(
        job_id=told.job_id,
        request=told.request,
        accepted=told.accepted_s is not None,
        refused=told.refused,
        cancel_sent=told.cancel_sent,
        cancelled_s=told.cancelled_s,
        state=told.state,
        attempts=told.kind.attempts,
        account=told.account,
        urgent=told.kind.priority == 0,
        submitted_s=told.submitted_s,
        accepted_s=told.accepted_s,
    )


def _explained(
    broken: list[Violation], observations: Observations, entries: Sequence[EntryProcess]
) -> list[BrokenReport]:
    jobs = {each.job_id for each in broken[:EXPLAINED]}
    lines = lines_of([entry.log for entry in entries], jobs, MAX_LINES)
    start_s = observations.began_s
    vm_of = observations.platform.terms.vm_of
    return [
        BrokenReport(
            promise=each.promise.value,
            at_s=each.at_s - start_s if each.at_s < math.inf else -1.0,
            job_id=each.job_id,
            text=each.text(vm_of, start_s),
            lines=lines.pop(each.job_id, []),
        )
        for each in broken
    ]


def _kind(kind: JobKind, jobs: Sequence[SubmittedJob], book: RunHistory) -> KindReport:
    mine = [told for told in jobs if told.kind is kind]
    accepted = [told for told in mine if told.accepted_s is not None]
    runs: dict[str, list[RunRecord]] = defaultdict(list)
    for run in book.runs:
        runs[run.task.job_id].append(run)
    completed = [told for told in accepted if told.state is JobState.COMPLETED]
    return KindReport(
        name=kind.name,
        jobs=len(mine),
        accepted=len(accepted),
        refused=sum(told.refused for told in mine),
        completed=len(completed),
        failed=sum(told.state is JobState.FAILED for told in accepted),
        cancelled=sum(told.state is JobState.CANCELLED for told in accepted),
        unfinished=sum(not told.over for told in accepted),
        tasks=sum(told.request.steps[0].count for told in accepted),
        runs=sum(len(runs[told.job_id]) for told in mine),
        acceptance=TimeSummary.of(
            [(told.accepted_s or 0.0) - told.submitted_s for told in accepted]
        ),
        begins=TimeSummary.of(
            [
                first - told.submitted_s
                for told in accepted
                if (first := _first_work_s(runs[told.job_id])) < math.inf
            ]
        ),
        in_time=sum(_is_in_time(told, runs[told.job_id]) for told in completed)
        / max(1, len(completed)),
    )


def _first_work_s(runs: Sequence[RunRecord]) -> float:
    """When a first task worked: members of a gang begin when all are there."""
    begins = [run.work_began_s if run.gang else run.began_s for run in runs]
    return min((each for each in begins if each is not None), default=math.inf)


def _is_in_time(told: SubmittedJob, runs: Sequence[RunRecord]) -> bool:
    ends = [run.ended_s for run in runs if run.how is EndKind.DONE]
    if not ends:
        return False
    work_s = msgspec.json.decode(told.request.payload, type=TaskPlan).work_s
    return max(ends) - told.submitted_s <= objective_s(told.kind, work_s)


def _busiest(observations: Observations) -> list[VmReport]:
    took_s = observations.took_s
    found = [
        VmReport(
            name,
            use.processor_s / took_s,
            use.highest,
            use.highest_s - observations.began_s,
            use.memory_mb,
        )
        for name, use in observations.meters.uses.items()
    ]
    return sorted(found, key=lambda vm: vm.highest, reverse=True)[:BUSIEST]


def _stand_ins(observations: Observations) -> list[LagReport]:
    """The load of this process, with the clients, and of those of the store and the workers."""
    took_s = observations.took_s
    meters = observations.meters
    of_store = observations.platform.loads
    found = [
        LagReport("clients", TimeSummary.of(meters.lags_s), meters.own_processor_s / took_s),
        LagReport(
            "store",
            TimeSummary.of([load.lag_s for load in of_store]),
            max((load.processor_s for load in of_store), default=0.0) / took_s,
            sum(load.calls for load in of_store) / took_s,
        ),
    ]
    loads = observations.hosts.loads
    for host in sorted({load.host for load in loads}):
        mine = [load for load in loads if load.host == host]
        found.append(
            LagReport(
                f"workers {host}",
                TimeSummary.of([load.lag_s for load in mine]),
                max(load.processor_s for load in mine) / took_s,
                sum(load.calls for load in mine) / took_s,
            )
        )
    return found


def _since_start(event: T, start_s: float) -> T:
    """The same with times from the soak's start."""
    ended_s = None if event.ended_s is None else event.ended_s - start_s
    return msgspec.structs.replace(event, began_s=event.began_s - start_s, ended_s=ended_s)
