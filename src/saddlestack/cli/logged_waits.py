"""The times for which a job waited for one reason, from the log lines of leaders."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from saddlestack.cli.loglines import LogLine

WAIT_EVENTS = frozenset({"waits", "stands_still"})
"""Events that tell for what reason no task of a job runs."""

Span = tuple[float, float]
"""Begin and end of a time, in seconds."""


def waiting_spans(
    reason: str, waits: Sequence[LogLine], starts_s: Iterable[float], over_s: float
) -> list[Span]:
    """Return the spans in which a job waited for one reason.

    A wait is logged only after a while, so its first line also covers the time before it. A reason
    holds until the next line or the next start of a task.

    :param waits: the lines about the waits of the job, in order of time.
    :param starts_s: when its tasks started.
    :param over_s: when the job was over.
    """
    starts = sorted(starts_s)
    spans: list[Span] = []
    last_s = 0.0
    for index, line in enumerate(waits):
        begin_s = max(last_s, line.at_s - line.stood_s)
        next_line_s = waits[index + 1].at_s if index + 1 < len(waits) else over_s
        end_s = min([next_line_s, *(at_s for at_s in starts if at_s >= line.at_s)])
        if line.reason == reason:
            spans.append((begin_s, end_s))
        last_s = end_s
    return spans


def overlap_s(spans: Iterable[Span], within: Span) -> float:
    """Return for how many seconds of a span some other spans last."""
    begin_s, end_s = within
    return sum(max(0.0, min(end, end_s) - max(begin, begin_s)) for begin, end in spans)
