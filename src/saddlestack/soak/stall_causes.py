"""Classifies stalls of a soak by the faults that explain them.

A fault affects the time from its beginning to one lease and :data:`RECOVERY_SLACK_S` after its end.
A fault that stops the leader or all VMs stops all jobs, so it affects only the time up to
:data:`SETTLE_S` after the first start of any job that was ordered after its end.

A stall violates an invariant if, for at least :data:`~saddlestack.policy.stall.STALL_S` of it,

- no fault affected the leading VM, and the leader did not change (:attr:`StallCause.LEADER`);
- no fault affected all VMs, the store for all VMs, or the connections or records of a share of all
  workers (:attr:`StallCause.ALL`);
- no fault affected a worker on which the job had a run, or on which a VM had ordered a run of it to
  start, during that fault (:attr:`StallCause.WORKERS`);
- the workers that no fault affected had free capacity for the job twice over
  (:attr:`StallCause.EXCLUDED_WORKERS`).

Otherwise the stall is explained by all of these causes that overlap with it. What the job itself
does, for example failing, is no explanation, and neither are faults of other VMs or of workers of
other jobs.
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

RECOVERY_SLACK_S = 4.7
"""Within this time after a lease expires, the work of unreachable workers has been started
elsewhere. With the platform's maximum lease of 6 s, this takes 10.7 s."""
SETTLE_S = 1.0
"""A leader has considered all waiting work this long after the first start that it orders."""
EXPIRY_HEARTBEATS = 3
"""A worker's record expires after this many missed heartbeats."""


class StallCause(enum.StrEnum):
    """What explains a stall."""

    LEADER = "a fault of the leader, or a change of leader"
    ALL = "a fault of all VMs, or of the store for all"
    WORKERS = "a fault of a worker that the job was on or was ordered to"
    EXCLUDED_WORKERS = "the room was on workers that a fault had struck"


@dataclass(frozen=True, slots=True)
class Span:
    """An interval of time."""

    began_s: float
    ended_s: float

    def overlaps(self, other: Span) -> bool:
        """Whether the two spans overlap or touch."""
        return self.began_s <= other.ended_s and other.began_s <= self.ended_s


@dataclass(frozen=True, slots=True)
class OrderedStart:
    """A start of a run that a VM ordered.

    :param worker: the id of the worker, or the name of its incarnation.
    """

    at_s: float
    worker: str


@dataclass(frozen=True, slots=True)
class ClassifiedStall:
    """A stall and its causes.

    :param causes: empty if nothing explains the stall, which violates an invariant.
    """

    stall: StallPeriod
    causes: tuple[StallCause, ...]


class StallClassifier:
    """Finds the causes of stalls.

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
        self._history = history
        self._times = times
        self._recovery_s = times.lease_s + RECOVERY_SLACK_S
        self._machines = {
            name: incarnation.machine
            for name, incarnation in history.run_history.incarnations.items()
        }
        self._ordered_s = sorted(run.ordered_s for run in history.run_history.runs if not run.late)
        self._worker_faults = [fault for fault in faults if _is_worker_fault(fault)]
        self._all_vms_spans = [
            self._affected_span(fault)
            if fault.kind in _WORKERS_CUT_FROM_ALL
            else self._span_until_starts(_span(fault))
            for fault in faults
            if fault.kind in ALL_VMS
        ]
        self._leader_spans = [
            self._span_until_starts(span)
            for fault in faults
            for term in terms
            if (span := _leader_span(fault, term, halls.get(term.vm, ""))) is not None
        ]
        self._leader_spans += [self._span_until_starts(span) for span in _leaderless(terms)]
        self._certain_stalls = self._find_certain_stalls()

    def classify(
        self, stall: StallPeriod, ordered_starts: Iterable[OrderedStart]
    ) -> ClassifiedStall:
        """Find the causes of one stall.

        :param ordered_starts: the starts that VMs ordered for the stalled job.
        """
        stall_span = Span(stall.since_s, stall.until_s)
        certain = [
            span for span in self._certain_stalls.get(stall.job_id, []) if span.overlaps(stall_span)
        ]
        cause_spans = {
            StallCause.LEADER: [span for span in self._leader_spans if span.overlaps(stall_span)],
            StallCause.ALL: [span for span in self._all_vms_spans if span.overlaps(stall_span)],
            StallCause.WORKERS: [
                span
                for span in self._job_worker_spans(stall.job_id, ordered_starts)
                if span.overlaps(stall_span)
            ],
        }
        affected = [span for spans in cause_spans.values() for span in spans]
        if any(longest_gap_s(span, affected) >= STALL_S for span in certain):
            return ClassifiedStall(stall, ())
        causes = [cause for cause, spans in cause_spans.items() if spans]
        if longest_gap_s(stall_span, affected) >= STALL_S:
            causes.append(StallCause.EXCLUDED_WORKERS)
        return ClassifiedStall(stall, tuple(causes))

    def _find_certain_stalls(self) -> dict[str, list[Span]]:
        """Find stalls of each job that free capacity on unaffected workers alone accounts for."""
        excluded = [
            ExcludedPeriod(
                frozenset(fault.on.split()), fault.began_s, self._affected_span(fault).ended_s
            )
            for fault in self._worker_faults
        ]
        found: dict[str, list[Span]] = {}
        for stall in find_stalls(self._history, excluded):
            found.setdefault(stall.job_id, []).append(Span(stall.since_s, stall.until_s))
        return found

    def _job_worker_spans(
        self, job_id: str, ordered_starts: Iterable[OrderedStart]
    ) -> Iterator[Span]:
        """The spans of worker faults that struck the job's workers while it was there."""
        job_times = [
            (run.incarnation.machine, Span(run.ordered_s, run.effective_end_s))
            for run in self._history.run_history.runs
            if run.task.job_id == job_id
        ]
        job_times += [
            (self._machines.get(order.worker, ""), Span(order.at_s, order.at_s))
            for order in ordered_starts
        ]
        for fault in self._worker_faults:
            fault_span = Span(fault.began_s, self._latest_end_s(fault))
            machines = fault.on.split()
            if any(
                machine in machines and span.overlaps(fault_span) for machine, span in job_times
            ):
                yield self._affected_span(fault)

    def _span_until_starts(self, span: Span) -> Span:
        """The time affected by a stop of all jobs: until shortly after the next ordered start."""
        index = bisect.bisect_left(self._ordered_s, span.ended_s)
        first_s = self._ordered_s[index] if index < len(self._ordered_s) else math.inf
        return Span(span.began_s, min(span.ended_s + self._recovery_s, first_s + SETTLE_S))

    def _affected_span(self, fault: Fault) -> Span:
        return Span(fault.began_s, self._latest_end_s(fault) + self._recovery_s)

    def _latest_end_s(self, fault: Fault) -> float:
        """The latest end of a fault; a worker's fault continues by itself once it was sent."""
        ended_s = math.inf if fault.ended_s is None else fault.ended_s
        if not _is_worker_fault(fault):
            return ended_s
        return max(ended_s, fault.began_s + self._duration_s(fault))

    def _duration_s(self, fault: Fault) -> float:
        times = self._times
        if fault.kind is FaultKind.WORKER_LATE_ORDERS:
            return fault.seconds + MAX_ORDER_DELAY_S[1]
        if fault.kind is FaultKind.WORKER_LAPSE:
            return fault.seconds + EXPIRY_HEARTBEATS * times.heartbeat_s
        if fault.kind in _LEAVING:
            notice_s = max(times.drain_s, times.notice_s)
            return notice_s + times.linger_s + RESTART_DELAY_S[1]
        return fault.seconds + RESTART_DELAY_S[1]


_LEAVING = frozenset(
    {FaultKind.WORKER_DRAIN, FaultKind.WORKER_SHORT_NOTICE, FaultKind.WORKER_LEAVES}
)
_WORKERS_CUT_FROM_ALL = frozenset({FaultKind.HALL_CUT, FaultKind.RECORDS_LAPSE})
"""Faults that cut all VMs off from workers: a VM may wait one lease for the runs there."""
_WORKER_FAULTS = frozenset(kind for kind in FaultKind if kind.value.startswith("worker_"))


def longest_gap_s(span: Span, others: Iterable[Span]) -> float:
    """The length of the longest part of a span that no other span covers."""
    longest_s = 0.0
    at_s = span.began_s
    for other in sorted(others, key=lambda each: each.began_s):
        longest_s = max(longest_s, min(other.began_s, span.ended_s) - at_s)
        at_s = max(at_s, other.ended_s)
    return max(longest_s, span.ended_s - at_s)


def _is_worker_fault(fault: Fault) -> bool:
    return fault.kind in _WORKER_FAULTS


def _span(event: Fault | Term) -> Span:
    return Span(event.began_s, math.inf if event.ended_s is None else event.ended_s)


def _leader_span(fault: Fault, term: Term, hall: str) -> Span | None:
    """When a fault affected a VM or its data hall during a term, or ``None`` if it did not."""
    if _is_worker_fault(fault) or (term.vm not in fault.on.split() and fault.on != hall):
        return None
    fault_span, term_span = _span(fault), _span(term)
    if not fault_span.overlaps(term_span):
        return None
    return Span(
        max(fault_span.began_s, term_span.began_s), min(fault_span.ended_s, term_span.ended_s)
    )


def _leaderless(terms: Sequence[Term]) -> Iterator[Span]:
    """The spans between the terms of two leaders."""
    for before, after in itertools.pairwise(terms):
        ended_s = after.began_s if before.ended_s is None else before.ended_s
        yield Span(ended_s, after.began_s)
