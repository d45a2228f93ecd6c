"""Which standstills a fault near them explains, by a rule.

A fault reaches from its beginning to one lease and :data:`SLACK_S` after its end. What stops the
leader or all VMs as a whole stops all jobs, so such a fault reaches only :data:`SETTLED_S` beyond
the first start, of whatever job, that was ordered after its end.

A standstill is broken where it has a stretch of
:data:`~saddlestack.policy.stall.STALL_S` or more in which

- no fault reached the VM that led, and nobody else had begun to lead (:attr:`StallCause.LEADER`);
- no fault of all VMs, of the store for all, or of a share of all workers' ways or records reached
  it (:attr:`StallCause.ALL`);
- no fault of a worker reached it on which the job had a run, or which a VM had ordered to start
  one, while the fault was there (:attr:`StallCause.WORKERS`);
- room for it twice over was free on workers that no fault reached (:attr:`StallCause.ROOM`).

Otherwise it is explained, by all of these that reach into it. What the job does itself, failing
among it, explains nothing, and neither does what befell other VMs or workers of other jobs.
"""

from __future__ import annotations

import bisect
import enum
import itertools
import math
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass

from saddlestack.policy.stall import STALL_S
from saddlestack.soak.disturbances import ALL_VMS
from saddlestack.soak.faults import Fault
from saddlestack.soak.platform import Term
from saddlestack.soak.shape import FaultKind, ShapeTimes
from saddlestack.soak.stalls import ExcludedPeriod, SoakHistory, StallPeriod, find_stalls
from saddlestack.soak.worker_faults import MAX_ORDER_DELAY_S, RESTART_DELAY_S

SLACK_S = 4.7
"""So long after a lease is over, work on workers that do not answer has been begun elsewhere. With
the platform's longest lease of 6 s, 10.7 s."""
SETTLED_S = 1.0
"""A leader that has ordered a first start has looked at all that waits so long after that."""
LAPSE_HEARTBEATS = 3
"""A worker's record lapses after so many heartbeats of silence."""


class StallCause(enum.StrEnum):
    """What explains a standstill."""

    LEADER = "a fault of the leader, or a change of leader"
    ALL = "a fault of all VMs, or of the store for all"
    WORKERS = "a fault of a worker that the job was on or was ordered to"
    ROOM = "the room was on workers that a fault had struck"


@dataclass(frozen=True, slots=True)
class Span:
    """A stretch of time."""

    began_s: float
    ended_s: float

    def meets(self, other: Span) -> bool:
        """Whether the two have some time in common."""
        return self.began_s <= other.ended_s and other.began_s <= self.ended_s


@dataclass(frozen=True, slots=True)
class OrderedStart:
    """A VM ordered a run of a job to start.

    :param worker: the id of the worker, or the name of its life.
    """

    at_s: float
    worker: str


@dataclass(frozen=True, slots=True)
class ClassifiedStall:
    """A standstill and what explains it.

    :param excuses: empty where nothing does: a promise is broken.
    """

    stall: StallPeriod
    excuses: tuple[StallCause, ...]


class StallClassifier:
    """Tells what explains standstills.

    :param halls: the data hall of each VM.
    """

    def __init__(
        self,
        history: SoakHistory,
        faults: Sequence[Fault],
        terms: Sequence[Term],
        halls: Mapping[str, str],
        times: ShapeTimes,
    ) -> None:
        self._scene = history
        self._times = times
        self._reach_s = times.lease_s + SLACK_S
        self._machines = {
            name: incarnation.machine for name, incarnation in history.book.incarnations.items()
        }
        self._ordered_s = sorted(run.ordered_s for run in history.book.runs if not run.late)
        self._of_workers = [fault for fault in faults if _is_of_workers(fault)]
        self._of_all = [
            self._reach(fault)
            if fault.kind in _OF_MANY_WORKERS
            else self._until_starts(_span(fault))
            for fault in faults
            if fault.kind in ALL_VMS
        ]
        self._of_leaders = [
            self._until_starts(span)
            for fault in faults
            for term in terms
            if (span := _struck(fault, term, halls.get(term.vm, ""))) is not None
        ]
        self._of_leaders += [self._until_starts(span) for span in _leaderless(terms)]
        self._sure = self._sure_standstills()

    def classify(self, stall: StallPeriod, orders: Iterable[OrderedStart]) -> ClassifiedStall:
        """Look at one standstill.

        :param orders: of its job.
        """
        whole = Span(stall.since_s, stall.until_s)
        sure = [span for span in self._sure.get(stall.job_id, []) if span.meets(whole)]
        reaches = {
            StallCause.LEADER: [span for span in self._of_leaders if span.meets(whole)],
            StallCause.ALL: [span for span in self._of_all if span.meets(whole)],
            StallCause.WORKERS: [
                span for span in self._of_job(stall.job_id, orders) if span.meets(whole)
            ],
        }
        reached = [span for spans in reaches.values() for span in spans]
        if any(longest_gap_s(span, reached) >= STALL_S for span in sure):
            return ClassifiedStall(stall, ())
        excuses = [excuse for excuse, spans in reaches.items() if spans]
        if longest_gap_s(whole, reached) >= STALL_S:
            excuses.append(StallCause.ROOM)
        return ClassifiedStall(stall, tuple(excuses))

    def _sure_standstills(self) -> dict[str, list[Span]]:
        """Standstills where only room on workers counts that no fault reached."""
        excluded = [
            ExcludedPeriod(frozenset(fault.on.split()), fault.began_s, self._reach(fault).ended_s)
            for fault in self._of_workers
        ]
        found: dict[str, list[Span]] = {}
        for stall in find_stalls(self._scene, excluded):
            found.setdefault(stall.job_id, []).append(Span(stall.since_s, stall.until_s))
        return found

    def _of_job(self, job_id: str, orders: Iterable[OrderedStart]) -> Iterator[Span]:
        """Reaches of faults of workers while the job was there."""
        stays = [
            (run.incarnation.machine, Span(run.ordered_s, run.effective_end_s))
            for run in self._scene.book.runs
            if run.task.job_id == job_id
        ]
        stays += [
            (self._machines.get(order.worker, ""), Span(order.at_s, order.at_s)) for order in orders
        ]
        for fault in self._of_workers:
            there = Span(fault.began_s, self._over_s(fault))
            struck = fault.on.split()
            if any(machine in struck and span.meets(there) for machine, span in stays):
                yield self._reach(fault)

    def _until_starts(self, span: Span) -> Span:
        """The reach of what stops all jobs: until some job starts again, and a little more."""
        place = bisect.bisect_left(self._ordered_s, span.ended_s)
        first_s = self._ordered_s[place] if place < len(self._ordered_s) else math.inf
        return Span(span.began_s, min(span.ended_s + self._reach_s, first_s + SETTLED_S))

    def _reach(self, fault: Fault) -> Span:
        return Span(fault.began_s, self._over_s(fault) + self._reach_s)

    def _over_s(self, fault: Fault) -> float:
        """When a fault was over at the latest; a worker's goes on by itself once it was sent."""
        ended_s = math.inf if fault.ended_s is None else fault.ended_s
        if not _is_of_workers(fault):
            return ended_s
        return max(ended_s, fault.began_s + self._lasts_s(fault))

    def _lasts_s(self, fault: Fault) -> float:
        times = self._times
        if fault.kind is FaultKind.WORKER_LATE_ORDERS:
            return fault.seconds + MAX_ORDER_DELAY_S[1]
        if fault.kind is FaultKind.WORKER_LAPSE:
            return fault.seconds + LAPSE_HEARTBEATS * times.heartbeat_s
        if fault.kind in _LEAVING:
            notice_s = max(times.drain_s, times.notice_s)
            return notice_s + times.linger_s + RESTART_DELAY_S[1]
        return fault.seconds + RESTART_DELAY_S[1]


_LEAVING = frozenset(
    {FaultKind.WORKER_DRAIN, FaultKind.WORKER_SHORT_NOTICE, FaultKind.WORKER_LEAVES}
)
_OF_MANY_WORKERS = frozenset({FaultKind.HALL_CUT, FaultKind.RECORDS_LAPSE})
"""Faults of all VMs that keep them from workers: what ran there may be waited for one lease."""
_OF_WORKERS = frozenset(kind for kind in FaultKind if kind.value.startswith("worker_"))


def longest_gap_s(span: Span, others: Iterable[Span]) -> float:
    """The longest stretch of a time that others leave."""
    longest_s = 0.0
    at_s = span.began_s
    for other in sorted(others, key=lambda each: each.began_s):
        longest_s = max(longest_s, min(other.began_s, span.ended_s) - at_s)
        at_s = max(at_s, other.ended_s)
    return max(longest_s, span.ended_s - at_s)


def _is_of_workers(fault: Fault) -> bool:
    return fault.kind in _OF_WORKERS


def _span(event: Fault | Term) -> Span:
    return Span(event.began_s, math.inf if event.ended_s is None else event.ended_s)


def _struck(fault: Fault, term: Term, hall: str) -> Span | None:
    """When a fault befell a VM, or its data hall, while it led; ``None`` where it did not."""
    if _is_of_workers(fault) or (term.vm not in fault.on.split() and fault.on != hall):
        return None
    there, led = _span(fault), _span(term)
    if not there.meets(led):
        return None
    return Span(max(there.began_s, led.began_s), min(there.ended_s, led.ended_s))


def _leaderless(terms: Sequence[Term]) -> Iterator[Span]:
    """Times between two leaders."""
    for before, after in itertools.pairwise(terms):
        ended_s = after.began_s if before.ended_s is None else before.ended_s
        yield Span(ended_s, after.began_s)
