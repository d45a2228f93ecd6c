"""Jobs that were late or not done, and the cause for each, from the logs of all VMs.

A job is late if it took longer than ``stretch`` times the longest chain of its own work, plus its
queue's target. The work is that of its runs, less what workers added that the logs show as slower
than usual. Where they show no speeds, jobs whose work merely ran slowly are not found.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from saddlestack.cli.chain_work import ChainWork, chain_work
from saddlestack.cli.crashes import RUN_OVER, crashed_workers, culprits
from saddlestack.cli.logged_waits import WAIT_EVENTS, Span, overlap_s, waiting_spans
from saddlestack.cli.loglines import LogLine
from saddlestack.cli.steps import LoggedStep, parse_logged_step
from saddlestack.cli.workerspeeds import SLOW_WORKER_STOP, WorkerSpeeds

_FINAL_STATES = frozenset({"completed", "failed", "cancelled"})
BASE_SIZE, MAX_SIZE = 0.3, 4.0
"""Bounds of a job's size: a fixed part, to which its work adds, and the maximum.

Users measure jobs in this way.
"""
MIN_DELAY_S = 0.1
"""Shorter delays count as no cause, since a start takes 0.03 s in the median."""

FASTER_WORKER = "faster_worker"
"""The reason of a wait for a worker that is fast enough for the objective."""


class Cause(enum.StrEnum):
    """The main cause of a job's delay."""

    STORE = "the store did not answer"
    DOUBT = "not known whether it was taken"
    LEADER = "nobody led"
    STOPS = "waited for others to stop"
    CAPACITY = "waited for room"
    FASTER_WORKER = "waited for a faster worker"
    SLOW_WORKER = "ran on a slow worker"
    FAILED = "ran on a worker that failed it"
    UNREACHABLE_WORKER = "ran on a worker that went silent"
    PREEMPTED = "its room was taken back"
    DRAINED_WORKER = "its worker left"
    CRASHED_WORKER = "its worker crashed under another task"
    GIVEN_UP = "given up: workers crash under it"
    RESTARTED = "started again for another reason"
    LATE_END = "its end was heard of late"
    ATTEMPTS = "failed as often as it may"
    UNFINISHED = "not done when the logs end"
    UNEXPLAINED = "late for no cause that is logged"


@dataclass(slots=True)
class MissedObjective:
    """A job that was late or is not done.

    :param at_s: time of its first submission.
    :param late_s: seconds past its objective; ``None`` if it is not done.
    :param size: its work relative to the mean of its priority; see :func:`job_sizes`.
    """

    job_id: str
    queue: str
    priority: int
    at_s: float
    late_s: float | None
    cause: Cause
    size: float = 1.0


@dataclass(slots=True)
class _JobHistory:
    """The log lines about one job; times are in seconds.

    :param crashes: runs lost with their worker, which crashed under a task that was given up.
    :param waits: what leaders told about its waits.
    :param caused_stops: whether runs of others were stopped for it.
    :param given_up: whether one of its tasks was given up because workers crash under it.
    """

    accepted: LogLine
    first_try_s: float
    starts: list[LogLine] = field(default_factory=list)
    ends: list[LogLine] = field(default_factory=list)
    stops: list[LogLine] = field(default_factory=list)
    crashes: list[LogLine] = field(default_factory=list)
    waits: list[LogLine] = field(default_factory=list)
    caused_stops: bool = False
    given_up: bool = False
    final: LogLine | None = None

    @property
    def job_id(self) -> str:
        return self.accepted.job


def find_missed_objectives(lines: Sequence[LogLine]) -> list[MissedObjective]:
    """Find jobs that were late or not done, in order of their first submission.

    Cancelled jobs are left out.
    """
    histories, refused = _job_histories(lines)
    _record_crashes(histories, lines)
    sizes = job_sizes(lines)
    leaderless = _leaderless_spans(lines)
    speeds = WorkerSpeeds(lines)
    found = [
        missed
        for history in histories.values()
        if (missed := _missed_objective(history, leaderless, speeds)) is not None
    ]
    for line in refused.values():
        cause = Cause.DOUBT if line.doubt else Cause.STORE
        found.append(MissedObjective(line.job, line.queue, line.priority, line.at_s, None, cause))
    for missed in found:
        missed.size = sizes.get(missed.job_id, 1.0)
    return sorted(found, key=lambda missed: missed.at_s)


def job_sizes(lines: Iterable[LogLine]) -> dict[str, float]:
    """Return the weight of each accepted job among others of its priority.

    One part is the same for all jobs. The rest grows with the job's work (estimated core-seconds),
    up to :data:`MAX_SIZE`.
    """
    work: dict[str, float] = {}
    priorities: dict[str, int] = {}
    for line in lines:
        if line.event == "accepted" and line.job not in work:
            work[line.job] = sum(_work(parse_logged_step(text)) for text in line.steps)
            priorities[line.job] = line.priority
    means: dict[int, float] = {}
    for priority in set(priorities.values()):
        same_priority = [work[job] for job, other in priorities.items() if other == priority]
        means[priority] = sum(same_priority) / len(same_priority)
    return {
        job: _size(work[job], means[priority]) if means[priority] else 1.0
        for job, priority in priorities.items()
    }


def _work(logged_step: LoggedStep | None) -> float:
    return (
        logged_step.count * logged_step.cores * logged_step.estimate_s
        if logged_step is not None
        else 0.0
    )


def _size(work: float, mean: float) -> float:
    return min(MAX_SIZE, BASE_SIZE + (1.0 - BASE_SIZE) * work / mean)


def _job_histories(lines: Iterable[LogLine]) -> tuple[dict[str, _JobHistory], dict[str, LogLine]]:
    """Return the accepted jobs, and the last refusal of each job that was never accepted."""
    histories: dict[str, _JobHistory] = {}
    refused: dict[str, LogLine] = {}
    first_try_s: dict[str, float] = {}
    for line in lines:
        if line.event == "not_written":
            first_try_s.setdefault(line.job, line.at_s)
            if line.job not in histories:
                refused[line.job] = line
        elif line.event == "accepted" and line.job not in histories:
            histories[line.job] = _JobHistory(line, first_try_s.get(line.job, line.at_s))
            refused.pop(line.job, None)
        else:
            _add(histories, line)
    return histories, refused


def _add(histories: dict[str, _JobHistory], line: LogLine) -> None:
    history = histories.get(line.job or line.task.partition(".")[0])
    if line.event == "stop" and line.cause in histories:
        histories[line.cause].caused_stops = True
    if history is None:
        return
    if line.event == "start":
        history.starts.append(line)
    elif line.event == "ended":
        history.ends.append(line)
    elif line.event == "stop":
        history.stops.append(line)
    elif line.event in WAIT_EVENTS:
        history.waits.append(line)
    elif line.event == "cancelled" or line.state in _FINAL_STATES:
        history.final = line


def _record_crashes(histories: dict[str, _JobHistory], lines: Sequence[LogLine]) -> None:
    """Record which jobs were given up for crashes, and which lost runs with the crashed workers."""
    culprit_tasks = culprits(lines)
    for task in culprit_tasks:
        history = histories.get(task.partition(".")[0])
        if history is not None:
            history.given_up = True
    workers = crashed_workers(lines, culprit_tasks)
    for line in lines:
        if line.event != RUN_OVER or line.worker not in workers:
            continue
        history = histories.get(line.task.partition(".")[0])
        if history is not None and not history.given_up:
            history.crashes.append(line)


def _leaderless_spans(lines: Iterable[LogLine]) -> list[Span]:
    """Return the spans from the loss of a leader until the next one schedules.

    Partitioned VMs learn late of a change, and an old leader learns late that it was replaced.
    Neither line says anything about the current leader, so both are ignored.
    """
    spans: list[Span] = []
    lost_s: float | None = None
    fence = 0
    for line in lines:
        if line.event == "scheduling":
            if lost_s is not None:
                spans.append((lost_s, line.at_s))
            lost_s, fence = None, line.fence
        elif line.event == "leader" and line.leader is not None:
            lost_s = None if line.revision == fence else lost_s
        elif line.event == "leader" or (line.event == "deposed" and line.fence == fence):
            lost_s = line.at_s if lost_s is None else lost_s
    return spans


def _missed_objective(
    history: _JobHistory, leaderless: Sequence[Span], speeds: WorkerSpeeds
) -> MissedObjective | None:
    final = history.final
    if final is not None and (final.event == "cancelled" or final.state == "cancelled"):
        return None
    accepted = history.accepted
    if final is None or final.state == "failed":
        cause = Cause.UNFINISHED if final is None else Cause.ATTEMPTS
        if history.given_up:
            cause = Cause.GIVEN_UP
        return MissedObjective(
            accepted.job, accepted.queue, accepted.priority, history.first_try_s, None, cause
        )
    work = chain_work(accepted, history.starts, history.ends, speeds)
    objective_s = accepted.stretch * work.usual_s + accepted.target_ms / 1000
    late_s = final.at_s - history.first_try_s - objective_s
    if late_s <= 0.0:
        return None
    cause = _delay_cause(history, final, leaderless, work)
    return MissedObjective(
        accepted.job, accepted.queue, accepted.priority, history.first_try_s, late_s, cause
    )


def _delay_cause(
    history: _JobHistory, final: LogLine, leaderless: Sequence[Span], work: ChainWork
) -> Cause:
    """Return the cause of the longest of a job's delays."""
    accepted_s = history.accepted.at_s
    first_s = history.starts[0].at_s if history.starts else final.at_s
    again_s = max((line.at_s for line in history.starts), default=first_s)
    ended_s = max((line.at_s for line in history.ends), default=final.at_s)
    start_times_s = [line.at_s for line in history.starts]
    faster = waiting_spans(FASTER_WORKER, history.waits, start_times_s, final.at_s)
    delays: dict[Cause, float] = defaultdict(float)
    for cause, delay_s in (
        (Cause.STORE, accepted_s - history.first_try_s),
        (
            _wait_cause(history, (accepted_s, first_s), leaderless, faster),
            first_s - accepted_s,
        ),
        (_restart_cause(history), again_s - first_s if _was_repeated(history) else 0.0),
        (Cause.LATE_END, final.at_s - ended_s),
        (Cause.FASTER_WORKER, overlap_s(faster, (first_s, final.at_s))),
        (Cause.SLOW_WORKER, work.slow_s),
    ):
        delays[cause] += delay_s
    cause = max(delays, key=lambda each: delays[each])
    return cause if delays[cause] >= MIN_DELAY_S else Cause.UNEXPLAINED


def _wait_cause(
    history: _JobHistory, wait: Span, leaderless: Sequence[Span], faster: Sequence[Span]
) -> Cause:
    """Return why a job waited for its first start.

    :param leaderless: when nobody led.
    :param faster: when the job waited for a faster worker.
    """
    begin_s, end_s = wait
    for cause, spans in ((Cause.LEADER, leaderless), (Cause.FASTER_WORKER, faster)):
        if overlap_s(spans, wait) * 2 > end_s - begin_s:
            return cause
    return Cause.STOPS if history.caused_stops else Cause.CAPACITY


def _was_repeated(history: _JobHistory) -> bool:
    return any(line.run > 1 for line in history.starts)


def _restart_cause(history: _JobHistory) -> Cause:
    """Return why a job's runs did not succeed; the first failure counts."""
    events = [*history.stops, *history.ends, *history.crashes]
    for line in sorted(events, key=lambda each: each.at_s):
        if line.event == RUN_OVER:
            return Cause.CRASHED_WORKER
        if line.event == "stop" and line.reason == "preempted":
            return Cause.PREEMPTED
        if line.event == "stop" and line.reason == "worker_leaves":
            return Cause.DRAINED_WORKER
        if line.event == "stop" and line.reason == SLOW_WORKER_STOP:
            return Cause.SLOW_WORKER
        if line.how == "failed":
            return Cause.FAILED
        if line.how == "lapsed":
            return Cause.UNREACHABLE_WORKER
    ended = {(line.task, line.run) for line in history.ends}
    if any((line.task, line.run) not in ended for line in history.starts):
        return Cause.UNREACHABLE_WORKER
    return Cause.RESTARTED
