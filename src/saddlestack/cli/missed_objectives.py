"""Why jobs were late or not done: a cause for each, from the logs of all VMs.

A job is late where it took longer than ``stretch`` times the longest chain of its own runs, plus
its queue's target. How fast its workers could have been is not in the logs, so work that only ran
slowly does not show here.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field

from saddlestack.cli.crashes import RUN_OVER, crashed_workers, culprits
from saddlestack.cli.loglines import LogLine
from saddlestack.cli.steps import LoggedStep, parse_logged_step

_FINAL_STATES = frozenset({"completed", "failed", "cancelled"})
BASE_SIZE, LARGEST_SIZE = 0.3, 4.0
"""The users' measure of a job: this much for any, the rest by its work, at most so much."""
PROMPT_S = 0.1
"""Delays below this are nobody's cause: a start takes 0.03 s in the median."""


class Cause(enum.StrEnum):
    """What most of a job's delay went to."""

    STORE = "the store did not answer"
    DOUBT = "not known whether it was taken"
    LEADER = "nobody led"
    STOPS = "waited for others to stop"
    ROOM = "waited for room"
    FAILED = "ran on a worker that failed it"
    SILENT = "ran on a worker that went silent"
    PREEMPTED = "its room was taken back"
    LEFT = "its worker left"
    BESIDE = "its worker crashed under another task"
    CRASHES = "given up: workers crash under it"
    RESTARTED = "started again for another reason"
    END = "its end was heard of late"
    ATTEMPTS = "failed as often as it may"
    UNFINISHED = "not done when the logs end"
    UNEXPLAINED = "late for no cause that is logged"


@dataclass(slots=True)
class MissedObjective:
    """A job that was late or is not done.

    :param late_s: seconds past its objective; ``None`` where it is not done.
    :param size: its work against the mean of its priority, as :func:`job_sizes` tells.
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
    """What the logs tell of one job, times in seconds.

    :param crashes: runs that were lost with their worker under a task that was given up.
    :param given_up: a task of it was, since workers crash under it.
    """

    accepted: LogLine
    first_try_s: float
    starts: list[LogLine] = field(default_factory=list)
    ends: list[LogLine] = field(default_factory=list)
    stops: list[LogLine] = field(default_factory=list)
    crashes: list[LogLine] = field(default_factory=list)
    made_room: bool = False
    given_up: bool = False
    final: LogLine | None = None

    @property
    def job_id(self) -> str:
        return self.accepted.job


def find_missed_objectives(lines: Sequence[LogLine]) -> list[MissedObjective]:
    """Jobs that were late or not done, in order of their first try.

    Cancelled ones are left out.
    """
    stories, refused = _stories(lines)
    _note_crashes(stories, lines)
    known = job_sizes(lines)
    leaderless = _leaderless(lines)
    found = [loss for story in stories.values() if (loss := _loss(story, leaderless)) is not None]
    for line in refused.values():
        cause = Cause.DOUBT if line.doubt else Cause.STORE
        found.append(MissedObjective(line.job, line.queue, line.priority, line.at_s, None, cause))
    for loss in found:
        loss.size = known.get(loss.job_id, 1.0)
    return sorted(found, key=lambda loss: loss.at_s)


def job_sizes(lines: Iterable[LogLine]) -> dict[str, float]:
    """How much each accepted job counts beside others of its priority.

    A part of that is the same for all; the rest grows with its work (core-seconds, by the
    estimates), up to :data:`LARGEST_SIZE`.
    """
    work: dict[str, float] = {}
    priorities: dict[str, int] = {}
    for line in lines:
        if line.event == "accepted" and line.job not in work:
            work[line.job] = sum(_work(parse_logged_step(text)) for text in line.steps)
            priorities[line.job] = line.priority
    means: dict[int, float] = {}
    for priority in set(priorities.values()):
        alike = [work[job] for job, other in priorities.items() if other == priority]
        means[priority] = sum(alike) / len(alike)
    return {
        job: _size(work[job], means[priority]) if means[priority] else 1.0
        for job, priority in priorities.items()
    }


def _work(shape: LoggedStep | None) -> float:
    return shape.count * shape.cores * shape.estimate_s if shape is not None else 0.0


def _size(work: float, mean: float) -> float:
    return min(LARGEST_SIZE, BASE_SIZE + (1.0 - BASE_SIZE) * work / mean)


def _stories(lines: Iterable[LogLine]) -> tuple[dict[str, _JobHistory], dict[str, LogLine]]:
    """The accepted jobs, and the last refusal of each job that never was."""
    stories: dict[str, _JobHistory] = {}
    refused: dict[str, LogLine] = {}
    first_try_s: dict[str, float] = {}
    for line in lines:
        if line.event == "not_written":
            first_try_s.setdefault(line.job, line.at_s)
            if line.job not in stories:
                refused[line.job] = line
        elif line.event == "accepted" and line.job not in stories:
            stories[line.job] = _JobHistory(line, first_try_s.get(line.job, line.at_s))
            refused.pop(line.job, None)
        else:
            _add(stories, line)
    return stories, refused


def _add(stories: dict[str, _JobHistory], line: LogLine) -> None:
    story = stories.get(line.job or line.task.partition(".")[0])
    if line.event == "stop" and line.cause in stories:
        stories[line.cause].made_room = True
    if story is None:
        return
    if line.event == "start":
        story.starts.append(line)
    elif line.event == "ended":
        story.ends.append(line)
    elif line.event == "stop":
        story.stops.append(line)
    elif line.event == "cancelled" or line.state in _FINAL_STATES:
        story.final = line


def _note_crashes(stories: dict[str, _JobHistory], lines: Sequence[LogLine]) -> None:
    """Note which jobs were given up for crashes, and which lost runs beside those."""
    guilty = culprits(lines)
    for task in guilty:
        story = stories.get(task.partition(".")[0])
        if story is not None:
            story.given_up = True
    workers = crashed_workers(lines, guilty)
    for line in lines:
        if line.event != RUN_OVER or line.worker not in workers:
            continue
        story = stories.get(line.task.partition(".")[0])
        if story is not None and not story.given_up:
            story.crashes.append(line)


def _leaderless(lines: Iterable[LogLine]) -> list[tuple[float, float]]:
    """Spans from the loss of a leader to the next one that schedules.

    VMs that were cut off hear late of a change, and an old leader that it was followed: neither
    says anything about the present one.
    """
    spans: list[tuple[float, float]] = []
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


def _loss(story: _JobHistory, leaderless: Sequence[tuple[float, float]]) -> MissedObjective | None:
    final = story.final
    if final is not None and (final.event == "cancelled" or final.state == "cancelled"):
        return None
    accepted = story.accepted
    if final is None or final.state == "failed":
        cause = Cause.UNFINISHED if final is None else Cause.ATTEMPTS
        if story.given_up:
            cause = Cause.CRASHES
        return MissedObjective(
            accepted.job, accepted.queue, accepted.priority, story.first_try_s, None, cause
        )
    objective_s = accepted.stretch * _chain_s(story) + accepted.target_ms / 1000
    late_s = final.at_s - story.first_try_s - objective_s
    if late_s <= 0.0:
        return None
    cause = _cause(story, final, leaderless)
    return MissedObjective(
        accepted.job, accepted.queue, accepted.priority, story.first_try_s, late_s, cause
    )


def _chain_s(story: _JobHistory) -> float:
    """Seconds of work one after the other: of each step its longest task.

    A task's work is that of its run that ended done; where the step saves its progress, that of
    the runs before counts as well.
    """
    began = {(line.task, line.run): line.at_s for line in story.starts}
    work_s: dict[str, float] = defaultdict(float)
    for end in story.ends:
        start_s = began.get((end.task, end.run))
        if start_s is not None and (end.how == "done" or _saves(story, end.task)):
            work_s[end.task] += end.at_s - start_s
    longest: dict[str, float] = defaultdict(float)
    for task, seconds in work_s.items():
        step = task.rpartition(".")[0]
        longest[step] = max(longest[step], seconds)
    return sum(longest.values())


def _saves(story: _JobHistory, task: str) -> bool:
    """Whether the step of a task (``JOB.OCCURRENCE.STEP.INDEX``) saves its progress."""
    step = int(task.split(".")[2])
    if step >= len(story.accepted.steps):
        return False
    shape = parse_logged_step(story.accepted.steps[step])
    return shape is not None and shape.saves


def _cause(story: _JobHistory, final: LogLine, leaderless: Sequence[tuple[float, float]]) -> Cause:
    """What the longest of a job's delays was for."""
    accepted_s = story.accepted.at_s
    first_s = story.starts[0].at_s if story.starts else final.at_s
    again_s = max((line.at_s for line in story.starts), default=first_s)
    ended_s = max((line.at_s for line in story.ends), default=final.at_s)
    delays = {
        Cause.STORE: accepted_s - story.first_try_s,
        _waiting(story, accepted_s, first_s, leaderless): first_s - accepted_s,
        _restart(story): again_s - first_s if _was_repeated(story) else 0.0,
        Cause.END: final.at_s - ended_s,
    }
    cause = max(delays, key=lambda each: delays[each])
    return cause if delays[cause] >= PROMPT_S else Cause.UNEXPLAINED


def _waiting(
    story: _JobHistory, accepted_s: float, first_s: float, leaderless: Sequence[tuple[float, float]]
) -> Cause:
    without = sum(max(0.0, min(end, first_s) - max(begin, accepted_s)) for begin, end in leaderless)
    if without * 2 > first_s - accepted_s:
        return Cause.LEADER
    return Cause.STOPS if story.made_room else Cause.ROOM


def _was_repeated(story: _JobHistory) -> bool:
    return any(line.run > 1 for line in story.starts)


def _restart(story: _JobHistory) -> Cause:
    """Why runs of a job did not end well; the first thing that went wrong counts."""
    known = [*story.stops, *story.ends, *story.crashes]
    for line in sorted(known, key=lambda each: each.at_s):
        if line.event == RUN_OVER:
            return Cause.BESIDE
        if line.event == "stop" and line.reason == "preempted":
            return Cause.PREEMPTED
        if line.event == "stop" and line.reason == "worker_leaves":
            return Cause.LEFT
        if line.how == "failed":
            return Cause.FAILED
        if line.how == "lapsed":
            return Cause.SILENT
    ended = {(line.task, line.run) for line in story.ends}
    if any((line.task, line.run) not in ended for line in story.starts):
        return Cause.SILENT
    return Cause.RESTARTED
