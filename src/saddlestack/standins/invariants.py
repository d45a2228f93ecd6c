"""Checks invariants of the scheduler against the records of endpoints and callers, not daemons."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from saddlestack.errors import TABLE, ErrorKind, Ran
from saddlestack.models import JobState, JobView
from saddlestack.standins.endpoint import HistoryEntry, StandinEndpoint

_AttemptKey = tuple[int, tuple[str, ...], int]
"""An attempt's number, its VMs and its occurrence.

While the store is down two cells may use the same attempt number.
"""

END_EVENTS = frozenset({"done", "stopped", "checkpointed", "lost"})
MAX_LISTED = 5


@dataclass(frozen=True, slots=True)
class InvariantResult:
    """An invariant and its violations."""

    name: str
    breaches: tuple[str, ...] = ()

    @property
    def held(self) -> bool:
        """Whether there are no violations."""
        return not self.breaches


@dataclass(slots=True)
class RequestRecord:
    """The answer that a caller got to its own request.

    :param view: the job, unless the request failed or is not answered yet.
    :param refused: the error kind if the request failed.
    """

    job: str
    view: JobView | None = None
    refused: str | None = None


@dataclass(slots=True)
class _Span:
    vm: str
    start: float
    end: float | None = None


@dataclass(slots=True)
class _Attempt:
    number: int
    run_once: bool
    resumed: bool
    parts: tuple[str, ...]
    spans: list[_Span] = field(default_factory=list)

    def end(self, vm: str, entry: HistoryEntry) -> None:
        """Set the end of the span on a VM if the entry belongs to this attempt."""
        if entry.parts != self.parts or entry.attempt != self.number:
            return
        for span in self.spans:
            if span.vm == vm and span.end is None:
                span.end = entry.at


class ExecutionHistory:
    """The endpoints' histories, grouped by job and attempt."""

    def __init__(self, endpoints: Mapping[str, StandinEndpoint]) -> None:
        self._endpoints = endpoints
        self.attempts: dict[str, dict[_AttemptKey, _Attempt]] = defaultdict(dict)
        for name, endpoint in endpoints.items():
            for entry in endpoint.history:
                self._add_entry(name, entry)

    def _add_entry(self, vm: str, entry: HistoryEntry) -> None:
        attempts = self.attempts[entry.job]
        if entry.event == "start":
            key = self._occurrence_key(vm, entry)
            attempt = attempts.setdefault(
                key, _Attempt(entry.attempt, entry.run_once, entry.resumed, entry.parts)
            )
            attempt.spans.append(_Span(vm, entry.at))
        elif entry.event in END_EVENTS:
            for attempt in attempts.values():
                attempt.end(vm, entry)

    def _occurrence_key(self, vm: str, entry: HistoryEntry) -> _AttemptKey:
        """Return the key of the attempt's first occurrence that has no start on this VM yet.

        A cell that lost its state while the store was down may use an attempt number again.
        """
        occurrence = 0
        attempts = self.attempts[entry.job]
        while (key := (entry.attempt, entry.parts, occurrence)) in attempts:
            if all(span.vm != vm for span in attempts[key].spans):
                break
            occurrence += 1
        return key

    def started(self, job: str) -> bool:
        """Whether any part of a job ever ran."""
        return bool(self.attempts.get(job))

    def starts(self, job: str) -> int:
        """Number of starts of a job, without those that resumed from a checkpoint."""
        return sum(1 for attempt in self.attempts.get(job, {}).values() if not attempt.resumed)


def check(
    endpoints: Mapping[str, StandinEndpoint],
    records: Iterable[RequestRecord],
    *,
    max_partial_s: float,
    now: float,
) -> list[InvariantResult]:
    """Check all invariants against the records.

    :param max_partial_s: seconds for which part of a gang may run without another part.
    :param now: the event loop's time, as the end of what still runs.
    """
    executions = ExecutionHistory(endpoints)
    recorded = list(records)
    return [
        InvariantResult("run-once work ran at most once", _truncate(_run_twice(executions))),
        InvariantResult(
            "gangs ran whole", _truncate(_partial_runs(executions, max_partial_s, now))
        ),
        InvariantResult("no accelerator was held twice", _truncate(_held_twice(endpoints))),
        InvariantResult(
            "each caller got its own whole answer", _truncate(_wrong_outputs(recorded))
        ),
        InvariantResult(
            "what was called not run did not run", _truncate(_unreported_runs(executions, recorded))
        ),
    ]


def _run_twice(executions: ExecutionHistory) -> Iterable[str]:
    for job, attempts in executions.attempts.items():
        if any(attempt.run_once for attempt in attempts.values()) and executions.starts(job) > 1:
            yield f"{job} started {executions.starts(job)} times"


def _partial_runs(executions: ExecutionHistory, max_partial_s: float, now: float) -> Iterable[str]:
    for job, attempts in executions.attempts.items():
        for (number, _, _), attempt in attempts.items():
            yield from _partial_gang_runs(f"{job} attempt {number}", attempt, max_partial_s, now)


def _partial_gang_runs(
    name: str, attempt: _Attempt, max_partial_s: float, now: float
) -> Iterable[str]:
    """Violations of an attempt whose parts ran without the rest of the gang for too long."""
    ends = [span.end if span.end is not None else now for span in attempt.spans]
    ran = {span.vm for span in attempt.spans}
    missing = set(attempt.parts) - ran
    longest = max(end - span.start for span, end in zip(attempt.spans, ends, strict=True))
    if missing and longest > max_partial_s:
        yield f"{name} ran {longest:.1f} s without its part on {', '.join(sorted(missing))}"
    elif max(ends) - min(ends) > max_partial_s:
        yield f"{name} had a part running {max(ends) - min(ends):.1f} s after another ended"


def _held_twice(endpoints: Mapping[str, StandinEndpoint]) -> Iterable[str]:
    for name, endpoint in endpoints.items():
        used = 0
        running: dict[tuple[str, int], int] = {}
        for entry in endpoint.history:
            key = (entry.job, entry.attempt)
            if entry.event == "start":
                running[key] = entry.accelerators
            elif entry.event in END_EVENTS:
                running.pop(key, None)
            used = sum(running.values())
            if used > endpoint.accelerators:
                yield f"{name} held {used} of {endpoint.accelerators} at {entry.at:.1f}"
                break


def _wrong_outputs(records: Sequence[RequestRecord]) -> Iterable[str]:
    for record in records:
        view = record.view
        if view is None or view.state is not JobState.DONE:
            continue
        if f"{view.account}/{view.request}" != record.job:
            yield f"{record.job} was told of {view.account}/{view.request}"
        elif view.answer is None or len(view.answer.output.encode()) != view.answer.length:
            yield f"{record.job} got no whole answer"
        elif not view.answer.output.startswith(f"{record.job} done on"):
            yield f"{record.job} got the answer {view.answer.output!r}"


def _unreported_runs(
    executions: ExecutionHistory, records: Sequence[RequestRecord]
) -> Iterable[str]:
    """Jobs that ran although every answer to their caller says that they did not.

    A request that was sent twice, and refused only once, is no violation.
    """
    records_by_job: dict[str, list[RequestRecord]] = defaultdict(list)
    for record in records:
        records_by_job[record.job].append(record)
    for job, job_records in records_by_job.items():
        if executions.started(job) and all(_reported_not_run(record) for record in job_records):
            reasons = {
                record.refused or (record.view and record.view.state) for record in job_records
            }
            yield f"{job} was called not run ({', '.join(map(str, reasons))})"


def _reported_not_run(record: RequestRecord) -> bool:
    if record.refused is not None:
        return TABLE[ErrorKind(record.refused)].ran is Ran.NO
    return record.view is not None and record.view.state in {JobState.NOT_RUN, JobState.CANCELLED}


def _truncate(breaches: Iterable[str]) -> tuple[str, ...]:
    found = list(breaches)
    if len(found) <= MAX_LISTED:
        return tuple(found)
    return (*found[:MAX_LISTED], f"and {len(found) - MAX_LISTED} more")
