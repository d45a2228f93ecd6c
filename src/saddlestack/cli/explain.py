"""The command `saddlestack explain`: what happened to a job and why, from the logs of all VMs."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import click

from saddlestack.cli.crashes import CLEARED, GIVEN_UP, SUSPECT, describe
from saddlestack.cli.loglines import LogLine, read
from saddlestack.cli.output import errors_to_exit_codes, log_files
from saddlestack.cli.slow_runs import describe_slow_runs
from saddlestack.cli.workerspeeds import WORKER_SPEED
from saddlestack.policy.cluster.reasons import WaitReason

EVACUATION = "evacuation"
BEGUN = "begun"
CONTEXT_EVENTS = frozenset(
    {"elected", "deposed", "displaced", "store_lost", "store_back", EVACUATION}
)


LEASE_WAIT = "lease_wait"
STALLED = "stands_still"
WORKER_EVENTS = frozenset({LEASE_WAIT, WORKER_SPEED})
"""Events about a worker that concern the jobs that run there."""
LATE_CHECK_S = 1.0
"""Seconds; a check that is this late or later shows that the leader itself had been paused."""
WAITS = "waits"
RUN_ENDS = frozenset({"ended", "run_over", "run_absent"})


def related_lines(job_id: str, lines: Sequence[LogLine]) -> list[LogLine]:
    """Return the lines about a job, and those about leaders and the store in the same time."""
    own = [line for line in lines if _is_about(line, job_id)]
    if not own:
        return []
    first, last = own[0].time, own[-1].time
    related = []
    workers: dict[str, str] = {}
    for line in lines:
        of_worker = line.event in WORKER_EVENTS and line.worker in workers.values()
        context = line.event in CONTEXT_EVENTS and first <= line.time <= last
        if _is_about(line, job_id):
            _track_worker(line, workers)
            related.append(line)
        elif of_worker or context:
            related.append(line)
    return _evacuations_in_effect(lines, first) + related


def _track_worker(line: LogLine, workers: dict[str, str]) -> None:
    """Track which worker runs each task, since some lines name only the worker."""
    if line.event == "start":
        workers[line.task] = line.worker
    elif line.event in RUN_ENDS:
        workers.pop(line.task, None)


def _evacuations_in_effect(lines: Sequence[LogLine], time: str) -> list[LogLine]:
    """Return the lines about data halls that were evacuated and not yet back at a time."""
    begun: dict[str, LogLine] = {}
    for line in lines:
        if line.event != EVACUATION or line.time >= time:
            continue
        if line.state == BEGUN:
            begun.setdefault(line.data_hall, line)
        else:
            begun.pop(line.data_hall, None)
    return list(begun.values())


def causes(
    job_id: str, lines: Sequence[LogLine], others: Sequence[LogLine] | None = None
) -> list[str]:
    """Describe what went wrong with a job, in one sentence for each event.

    :param others: the lines of all jobs, which name the runs lost with a crashed worker and tell
        how fast each worker was.
    """
    all_lines = lines if others is None else others
    found: list[str] = []
    for line in lines:
        if line.event == EVACUATION:
            found.append(_describe_evacuation(line))
        elif line.event == LEASE_WAIT:
            what = f"may continue unobserved for {line.left_s:.1f} s at most"
            found.append(f"{line.worker} did not answer at {line.time}: what runs there {what}")
        if not _is_about(line, job_id):
            continue
        if line.event == "not_written":
            what = "not known whether it was accepted" if line.doubt else "refused"
            found.append(f"{line.vm} could not reach the store ({line.reason}): {what}")
        elif line.event == "stop" and line.reason == "preempted":
            found.append(f"{line.task} run {line.run} gave its room to job {line.cause}")
        elif line.event == "stop" and line.reason not in {"cancelled", "gang_broken"}:
            found.append(f"{line.task} run {line.run} was stopped: {line.reason}")
        elif line.event == "ended" and line.how not in {"done", "stopped", "broken"}:
            found.append(f"{line.task} run {line.run} ended {line.how} on {line.worker}")
        elif line.event in {SUSPECT, CLEARED, GIVEN_UP}:
            found.append(describe(line, all_lines))
        elif line.event in {WAITS, STALLED}:
            found.append(_describe_wait(line))
        elif line.event == "start_refused":
            found.append(f"{line.worker} refused {line.task} run {line.run}: {line.reason}")
        elif line.event == "run_absent":
            found.append(f"{line.worker} has no record of {line.task} run {line.run}")
        elif line.event == "run_over":
            proof = f"{line.proof}, {line.age_s:.1f} s before"
            found.append(f"{line.task} run {line.run} counted as over on {line.worker}: {proof}")
    return found + describe_slow_runs(job_id, all_lines)


def _describe_wait(line: LogLine) -> str:
    """Describe what a job waited for, by which mechanism, since when, and what ends the wait."""
    beside = " beside a free pool" if line.event == STALLED else ""
    waited = f"at {line.time} nothing of it had run for {line.stood_s:.1f} s{beside}"
    why = f"{_describe_reason(line.reason)} ({line.reason}; {line.tasks} tasks)"
    ends = f"ends with {line.ends}"
    if line.ends_s is not None:
        ends = f"{ends}, {line.ends_s:.1f} s later at most"
    if line.late_s >= LATE_CHECK_S:
        ends = f"{ends}; the leader itself had come to nothing for {line.late_s:.1f} s before"
    return f"{waited}: {why}; {ends}"


def _describe_reason(reason: str) -> str:
    """Describe a wait reason; logs of other releases may hold unknown ones."""
    try:
        return WaitReason(reason).awaited
    except ValueError:
        return "a reason that this release does not know"


def _describe_evacuation(line: LogLine) -> str:
    if line.state == BEGUN:
        return (
            f"{line.data_hall} was evacuated at {line.time}: nothing starts there until it is back"
        )
    return f"{line.data_hall} was back at {line.time}"


def _is_about(line: LogLine, job_id: str) -> bool:
    return line.job == job_id or line.task.startswith(f"{job_id}.") or line.cause == job_id


@click.command()
@click.argument("job_id", metavar="ID")
@log_files
@errors_to_exit_codes
def explain(job_id: str, files: tuple[Path, ...]) -> None:
    """Explain what happened to job ID, and why, from the log FILEs of all VMs."""
    all_lines = read(files)
    lines = related_lines(job_id, all_lines)
    if not lines:
        click.echo(f"no log line mentions job {job_id}", err=True)
        raise SystemExit(1)
    for line in lines:
        click.echo(f"{line.time} {line.vm:24} {_format_line(line)}")
    nothing = ["the logs show nothing that went wrong with it"]
    for sentence in causes(job_id, lines, all_lines) or nothing:
        click.echo(f"- {sentence}")


def _format_line(line: LogLine) -> str:
    task = f"{line.task} run {line.run}" if line.task else line.job
    factor = f"factor {line.factor:.2f}" if line.event == WORKER_SPEED else ""
    what = (line.event, task, line.worker, factor, line.state, line.how)
    why = (line.data_hall, line.reason, line.cause or "", line.proof)
    return " ".join(part for part in what + why if part)
