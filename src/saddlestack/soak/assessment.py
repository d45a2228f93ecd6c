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
from saddlestack.soak.account import Broken, ClientJob, Promise, PromiseTimes, judge
from saddlestack.soak.disturbances import Disturbances
from saddlestack.soak.excuses import Excuses, JudgedStandstill
from saddlestack.soak.faults import Fault
from saddlestack.soak.hosts import WorkerHosts
from saddlestack.soak.load import Load, Told
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
    VmReport,
    Waits,
    objective_s,
)
from saddlestack.soak.runs import RunAccount, RunBook
from saddlestack.soak.shape import FaultKind, JobKind, SoakShape
from saddlestack.soak.standstills import Scene, standstills
from saddlestack.soak.turns import AcceptedWork
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
class Evidence:
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
    evidence: Evidence,
    seed: int,
    seconds: float,
    program: Program,
    entries: Sequence[EntryProcess],
) -> SoakReport:
    """Judge, and tell what was measured."""
    book = RunBook.of(evidence.hosts.records)
    faults = [*evidence.faults, *crashes_by_tasks(book)]
    stood = _standstills(evidence, book, entries, faults)
    broken = _judge(evidence, entries, faults) + _broken_standstills(stood)
    broken.sort(key=lambda each: each.at_s)
    shape = evidence.shape
    return SoakReport(
        shape=shape.name,
        seed=seed,
        seconds=seconds,
        program=str(program.src),
        started_at=time.strftime("%Y-%m-%d %H:%M:%S", time.localtime(evidence.began_at))
        + f",{int(evidence.began_at % 1 * 1000):03d}",
        took_s=evidence.took_s,
        vms=shape.vms,
        workers=shape.workers,
        kinds=[_kind(kind, evidence.load.jobs, book) for kind in shape.kinds],
        busiest=_busiest(evidence),
        memory_mb=evidence.meters.memory_mb,
        stand_ins=_stand_ins(evidence),
        faults=[_since_start(fault, evidence.began_s) for fault in evidence.faults],
        terms=[_since_start(term, evidence.began_s) for term in evidence.platform.terms.terms],
        broken=_explained(broken, evidence, entries),
        troubled=_troubles(evidence),
        standstills=[_standstill(each, evidence.began_s) for each in stood],
    )


def _troubles(evidence: Evidence) -> list[str]:
    """What was wrong with the stand-ins themselves."""
    found = []
    if not evidence.hosts.alive:
        found.append("a process that plays workers has ended")
    if not evidence.platform.alive:
        found.append("the process that plays the store has ended")
    return found


def crashes_by_tasks(book: RunBook) -> list[Fault]:
    """The crashes of workers that tasks caused: to all that ran there they are faults as any."""
    lives = sorted(book.lives.values(), key=lambda life: life.began_s)
    found = []
    for life in lives:
        if not life.crashed_by:
            continue
        later = (each.began_s for each in lives if each.machine == life.machine)
        back_s = next((began_s for began_s in later if began_s > life.ended_s), life.ended_s)
        found.append(
            Fault(
                FaultKind.WORKER_CRASH,
                back_s - life.ended_s,
                life.ended_s,
                back_s,
                life.machine,
                f"by {life.crashed_by}",
            )
        )
    return found


def _judge(
    evidence: Evidence, entries: Sequence[EntryProcess], faults: Sequence[Fault]
) -> list[Broken]:
    terms = evidence.platform.terms
    halls = {entry.name: entry.site.hall for entry in entries}
    disturbances = Disturbances(faults, halls)
    return judge(
        evidence.hosts.records,
        [_client_job(told) for told in evidence.load.jobs],
        PromiseTimes(drain_s=evidence.shape.times.drain_s),
        lambda fence, at_s: disturbances.in_touch(terms.vm_of(fence), at_s),
        calm=disturbances.calm,
        guaranteed={each.name: each.guaranteed for each in evidence.shape.accounts},
    )


def _standstills(
    evidence: Evidence, book: RunBook, entries: Sequence[EntryProcess], faults: Sequence[Fault]
) -> list[JudgedStandstill]:
    """All jobs that stood still, with what explains each."""
    shape = evidence.shape
    worker = shape.worker
    epoch_s = evidence.began_s - evidence.began_at
    works = [_accepted_work(told) for told in evidence.load.jobs if told.accepted_s is not None]
    room = Resources(worker.cpu, worker.memory_mb, worker.accelerators)
    requests = {told.job_id: told.request for told in evidence.load.jobs}
    scene = Scene(book, works, requests, room, epoch_s, evidence.began_s + evidence.took_s)
    found = standstills(scene)
    orders = orders_of(
        [entry.log for entry in entries], {each.job_id for each in found}, epoch_s, MOST_ORDERS
    )
    halls = {entry.name: entry.site.hall for entry in entries}
    excuses = Excuses(scene, faults, evidence.platform.terms.terms, halls, shape.times)
    return [excuses.judge(each, orders.get(each.job_id, [])) for each in found]


def _accepted_work(told: Told) -> AcceptedWork:
    assert told.accepted_s is not None
    return AcceptedWork(
        told.job_id, told.request, told.accepted_s, told.kind.attempts, told.closed_s
    )


def _broken_standstills(stood: Sequence[JudgedStandstill]) -> list[Broken]:
    found = []
    for each in stood:
        if each.excuses:
            continue
        what = each.stood
        detail = (
            f"for {what.until_s - what.since_s:.1f} s, {what.pool.used} of {what.pool.total} "
            f"accelerators in use, {what.beside} runs of others began"
        )
        found.append(Broken(Promise.STANDS_STILL, what.since_s, what.job_id, (), detail))
    return found


def _standstill(judged: JudgedStandstill, start_s: float) -> StandstillReport:
    stood = judged.stood
    return StandstillReport(
        job_id=stood.job_id,
        since_s=stood.since_s - start_s,
        until_s=stood.until_s - start_s,
        used=stood.pool.used,
        total=stood.pool.total,
        beside=stood.beside,
        excuses=[excuse.value for excuse in judged.excuses],
    )


def _client_job(told: Told) -> ClientJob:
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
    broken: list[Broken], evidence: Evidence, entries: Sequence[EntryProcess]
) -> list[BrokenReport]:
    jobs = {each.job_id for each in broken[:EXPLAINED]}
    lines = lines_of([entry.log for entry in entries], jobs, MAX_LINES)
    start_s = evidence.began_s
    vm_of = evidence.platform.terms.vm_of
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


def _kind(kind: JobKind, jobs: Sequence[Told], book: RunBook) -> KindReport:
    mine = [told for told in jobs if told.kind is kind]
    accepted = [told for told in mine if told.accepted_s is not None]
    runs: dict[str, list[RunAccount]] = defaultdict(list)
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
        acceptance=Waits.of([(told.accepted_s or 0.0) - told.submitted_s for told in accepted]),
        begins=Waits.of(
            [
                first - told.submitted_s
                for told in accepted
                if (first := _first_work_s(runs[told.job_id])) < math.inf
            ]
        ),
        in_time=sum(_is_in_time(told, runs[told.job_id]) for told in completed)
        / max(1, len(completed)),
    )


def _first_work_s(runs: Sequence[RunAccount]) -> float:
    """When a first task worked: members of a gang begin when all are there."""
    begins = [run.works_s if run.gang else run.began_s for run in runs]
    return min((each for each in begins if each is not None), default=math.inf)


def _is_in_time(told: Told, runs: Sequence[RunAccount]) -> bool:
    ends = [run.ended_s for run in runs if run.how is EndKind.DONE]
    if not ends:
        return False
    work_s = msgspec.json.decode(told.request.payload, type=TaskPlan).work_s
    return max(ends) - told.submitted_s <= objective_s(told.kind, work_s)


def _busiest(evidence: Evidence) -> list[VmReport]:
    took_s = evidence.took_s
    found = [
        VmReport(
            name,
            use.processor_s / took_s,
            use.highest,
            use.highest_s - evidence.began_s,
            use.memory_mb,
        )
        for name, use in evidence.meters.uses.items()
    ]
    return sorted(found, key=lambda vm: vm.highest, reverse=True)[:BUSIEST]


def _stand_ins(evidence: Evidence) -> list[LagReport]:
    """The load of this process, with the clients, and of those of the store and the workers."""
    took_s = evidence.took_s
    meters = evidence.meters
    of_store = evidence.platform.loads
    found = [
        LagReport("clients", Waits.of(meters.lags_s), meters.own_processor_s / took_s),
        LagReport(
            "store",
            Waits.of([load.lag_s for load in of_store]),
            max((load.processor_s for load in of_store), default=0.0) / took_s,
            sum(load.calls for load in of_store) / took_s,
        ),
    ]
    loads = evidence.hosts.loads
    for host in sorted({load.host for load in loads}):
        mine = [load for load in loads if load.host == host]
        found.append(
            LagReport(
                f"workers {host}",
                Waits.of([load.lag_s for load in mine]),
                max(load.processor_s for load in mine) / took_s,
                sum(load.calls for load in mine) / took_s,
            )
        )
    return found


def _since_start(event: T, start_s: float) -> T:
    """The same with times from the soak's start."""
    ended_s = None if event.ended_s is None else event.ended_s - start_s
    return msgspec.structs.replace(event, began_s=event.began_s - start_s, ended_s=ended_s)
