"""Holds the brief's promises against the records of endpoints and callers, not daemons."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

from saddlestack.errors import TABLE, ErrorKind, Ran
from saddlestack.models import JobState, JobView
from saddlestack.standins.endpoint import HistoryEntry, StandinEndpoint

_Key = tuple[int, tuple[str, ...], int]
"""An attempt's number, its VMs and its life: without the store two cells may count alike."""

ENDS = frozenset({"done", "stopped", "checkpointed", "lost"})
MAX_LISTED = 5


@dataclass(frozen=True, slots=True)
class InvariantResult:
    """A promise and what speaks against it."""

    name: str
    breaches: tuple[str, ...] = ()

    @property
    def held(self) -> bool:
        """Whether nothing speaks against it."""
        return not self.breaches


@dataclass(slots=True)
class RequestRecord:
    """What a caller was told about its own job.

    :param refused: the error kind where the request was answered with an error.
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
        """Note the end of the part on a VM, if it is of this attempt."""
        if entry.parts != self.parts or entry.attempt != self.number:
            return
        for span in self.spans:
            if span.vm == vm and span.end is None:
                span.end = entry.at


class ExecutionHistory:
    """The endpoints' records, sorted by job and attempt."""

    def __init__(self, endpoints: Mapping[str, StandinEndpoint]) -> None:
        self._endpoints = endpoints
        self.attempts: dict[str, dict[_Key, _Attempt]] = defaultdict(dict)
        for name, endpoint in endpoints.items():
            for entry in endpoint.history:
                self._note(name, entry)

    def _note(self, vm: str, entry: HistoryEntry) -> None:
        attempts = self.attempts[entry.job]
        if entry.event == "start":
            key = self._next_life(vm, entry)
            attempt = attempts.setdefault(
                key, _Attempt(entry.attempt, entry.run_once, entry.resumed, entry.parts)
            )
            attempt.spans.append(_Span(vm, entry.at))
        elif entry.event in ENDS:
            for attempt in attempts.values():
                attempt.end(vm, entry)

    def _next_life(self, vm: str, entry: HistoryEntry) -> _Key:
        """A cell that lost its memory with the store down may count an attempt again."""
        life = 0
        attempts = self.attempts[entry.job]
        while (key := (entry.attempt, entry.parts, life)) in attempts:
            if all(span.vm != vm for span in attempts[key].spans):
                break
            life += 1
        return key

    def started(self, job: str) -> bool:
        """Whether any part of a job ever ran."""
        return bool(self.attempts.get(job))

    def starts(self, job: str) -> int:
        """Fresh starts of a job; going on from a checkpoint is none."""
        return sum(1 for attempt in self.attempts.get(job, {}).values() if not attempt.resumed)


def check(
    endpoints: Mapping[str, StandinEndpoint],
    said: Iterable[RequestRecord],
    *,
    max_partial_s: float,
    now: float,
) -> list[InvariantResult]:
    """Hold the promises against the records.

    :param max_partial_s: seconds for which part of a gang may run after another part ended.
    """
    witness = ExecutionHistory(endpoints)
    told = list(said)
    return [
        InvariantResult("run-once work ran at most once", _short(_run_twice(witness))),
        InvariantResult("gangs ran whole", _short(_run_in_part(witness, max_partial_s, now))),
        InvariantResult("no accelerator was held twice", _short(_held_twice(endpoints))),
        InvariantResult("each caller got its own whole answer", _short(_wrong_answers(told))),
        InvariantResult(
            "what was called not run did not run", _short(_ran_after_all(witness, told))
        ),
    ]


def _run_twice(witness: ExecutionHistory) -> Iterable[str]:
    for job, attempts in witness.attempts.items():
        if any(attempt.run_once for attempt in attempts.values()) and witness.starts(job) > 1:
            yield f"{job} started {witness.starts(job)} times"


def _run_in_part(witness: ExecutionHistory, max_partial_s: float, now: float) -> Iterable[str]:
    for job, attempts in witness.attempts.items():
        for (number, _, _), attempt in attempts.items():
            yield from _alone(f"{job} attempt {number}", attempt, max_partial_s, now)


def _alone(name: str, attempt: _Attempt, max_partial_s: float, now: float) -> Iterable[str]:
    """Parts that ran while another part of the gang did not."""
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
            elif entry.event in ENDS:
                running.pop(key, None)
            used = sum(running.values())
            if used > endpoint.accelerators:
                yield f"{name} held {used} of {endpoint.accelerators} at {entry.at:.1f}"
                break


def _wrong_answers(said: Sequence[RequestRecord]) -> Iterable[str]:
    for told in said:
        view = told.view
        if view is None or view.state is not JobState.DONE:
            continue
        if f"{view.account}/{view.request}" != told.job:
            yield f"{told.job} was told of {view.account}/{view.request}"
        elif view.answer is None or len(view.answer.output.encode()) != view.answer.length:
            yield f"{told.job} got no whole answer"
        elif not view.answer.output.startswith(f"{told.job} done on"):
            yield f"{told.job} got the answer {view.answer.output!r}"


def _ran_after_all(witness: ExecutionHistory, said: Sequence[RequestRecord]) -> Iterable[str]:
    """Jobs that ran although every answer to their caller says that they did not.

    A caller who sent a request twice and was refused once and answered once is not misled.
    """
    answers: dict[str, list[RequestRecord]] = defaultdict(list)
    for told in said:
        answers[told.job].append(told)
    for job, told_all in answers.items():
        if witness.started(job) and all(_called_not_run(told) for told in told_all):
            reasons = {told.refused or (told.view and told.view.state) for told in told_all}
            yield f"{job} was called not run ({', '.join(map(str, reasons))})"


def _called_not_run(told: RequestRecord) -> bool:
    if told.refused is not None:
        return TABLE[ErrorKind(told.refused)].ran is Ran.NO
    return told.view is not None and told.view.state in {JobState.NOT_RUN, JobState.CANCELLED}


def _short(breaches: Iterable[str]) -> tuple[str, ...]:
    found = list(breaches)
    if len(found) <= MAX_LISTED:
        return tuple(found)
    return (*found[:MAX_LISTED], f"and {len(found) - MAX_LISTED} more")
