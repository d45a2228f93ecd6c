"""The runs of a job that were on slow workers, from the logs of all VMs."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from saddlestack.cli.loglines import LogLine
from saddlestack.cli.workerspeeds import WorkerSpeeds, is_slow

RUN_ENDS = frozenset({"ended", "run_over", "run_absent", "start_refused"})
NEVER_RAN = frozenset({"run_absent", "start_refused"})
MAX_RUNS_SHOWN = 8
"""The maximum number of runs that are named for one worker."""


@dataclass(slots=True)
class _SlowRuns:
    """Runs on one slow worker.

    :param line: the line that tells how slow it was.
    :param known: whether the leader knew that when it started them.
    :param starts: the lines about their starts.
    """

    line: LogLine
    known: bool
    starts: list[LogLine] = field(default_factory=list)


def describe_slow_runs(job_id: str, lines: Sequence[LogLine]) -> list[str]:
    """Describe each slow worker that a job ran on, in one sentence, in order of its first run.

    :param lines: of all VMs and jobs, in order of time.
    """
    speeds = WorkerSpeeds(lines)
    if not speeds:
        return []
    found: dict[tuple[str, float, bool], _SlowRuns] = {}
    for start, ended_s in _runs(job_id, lines):
        line = speeds.line_for_run(start.worker, ended_s)
        if line is None or not is_slow(line.factor):
            continue
        known = speeds.was_known_slow(start.worker, start.at_s)
        group = found.setdefault((line.worker, line.at_s, known), _SlowRuns(line, known))
        group.starts.append(start)
    return [_describe(group) for group in found.values()]


def _runs(job_id: str, lines: Sequence[LogLine]) -> list[tuple[LogLine, float]]:
    """Return the start of each run of a job, and its end in seconds.

    A run whose end is not logged counts up to the last line about the job.
    """
    prefix = f"{job_id}."
    own = [line for line in lines if line.job == job_id or line.task.startswith(prefix)]
    ends = {(line.task, line.run): line for line in own if line.event in RUN_ENDS}
    found: list[tuple[LogLine, float]] = []
    for line in own:
        if line.event != "start":
            continue
        end = ends.get((line.task, line.run))
        if end is None or end.event not in NEVER_RAN:
            found.append((line, own[-1].at_s if end is None else end.at_s))
    return found


def _describe(runs: _SlowRuns) -> str:
    line, starts = runs.line, runs.starts
    named = ", ".join(f"{start.task} run {start.run}" for start in starts[:MAX_RUNS_SHOWN])
    more = f" and {len(starts) - MAX_RUNS_SHOWN} more" if len(starts) > MAX_RUNS_SHOWN else ""
    known = "known" if runs.known else "not known"
    return (
        f"{line.worker} was slow: work takes {line.factor:.2f} times as long there as on a usual "
        f"worker (confidence {line.confidence:.2f}, logged at {line.time}, {known} to the leader "
        f"at the start); {named}{more} ran there"
    )
