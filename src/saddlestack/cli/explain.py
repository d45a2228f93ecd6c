"""From a job's id to its cause, by the logs of all VMs."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path

import click

from saddlestack.cli.crashes import CLEARED, GIVEN_UP, SUSPECT, describe
from saddlestack.cli.loglines import LogLine, read
from saddlestack.cli.output import errors_to_exit_codes, log_files
from saddlestack.policy.cluster.reasons import WaitReason

EVACUATION = "evacuation"
BEGUN = "begun"
CONTEXT_EVENTS = frozenset(
    {"elected", "deposed", "displaced", "store_lost", "store_back", EVACUATION}
)


LEASE_WAIT = "lease_wait"
STANDS_STILL = "stands_still"
LATE_S = 1.0
"""A look that came so much later than it was due: the leader itself had come to nothing."""
WAITS = "waits"
RUN_ENDS = frozenset({"ended", "run_over", "run_absent"})


def related_lines(job_id: str, lines: Sequence[LogLine]) -> list[LogLine]:
    """The lines about a job, and what happened to leaders and the store meanwhile."""
    own = [line for line in lines if _concerns(line, job_id)]
    if not own:
        return []
    first, last = own[0].time, own[-1].time
    meanwhile = []
    places: dict[str, str] = {}
    for line in lines:
        waits = line.event == LEASE_WAIT and line.worker in places.values()
        context = line.event in CONTEXT_EVENTS and first <= line.time <= last
        if _concerns(line, job_id):
            _note_place(line, places)
            meanwhile.append(line)
        elif waits or context:
            meanwhile.append(line)
    return _evacuated_at(lines, first) + meanwhile


def _note_place(line: LogLine, places: dict[str, str]) -> None:
    """Keep on which worker each task is: a wait for a lease names the worker alone."""
    if line.event == "start":
        places[line.task] = line.worker
    elif line.event in RUN_ENDS:
        places.pop(line.task, None)


def _evacuated_at(lines: Sequence[LogLine], time: str) -> list[LogLine]:
    """The lines that tell which data halls had been evacuated and were not back yet."""
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
    """What the lines say went wrong with a job, a sentence each.

    :param others: the lines of all jobs; they name what died beside it.
    """
    everything = lines if others is None else others
    found: list[str] = []
    for line in lines:
        if line.event == EVACUATION:
            found.append(_evacuated(line))
        elif line.event == LEASE_WAIT:
            what = f"may go on unseen for {line.left_s:.1f} s at most"
            found.append(f"{line.worker} did not answer at {line.time}: what runs there {what}")
        if not _concerns(line, job_id):
            continue
        if line.event == "not_written":
            what = "not known whether taken" if line.doubt else "refused"
            found.append(f"{line.vm} could not reach the store ({line.reason}): {what}")
        elif line.event == "stop" and line.reason == "preempted":
            found.append(f"{line.task} run {line.run} gave its room to job {line.cause}")
        elif line.event == "stop" and line.reason not in {"cancelled", "gang_broken"}:
            found.append(f"{line.task} run {line.run} was stopped: {line.reason}")
        elif line.event == "ended" and line.how not in {"done", "stopped", "broken"}:
            found.append(f"{line.task} run {line.run} ended {line.how} on {line.worker}")
        elif line.event in {SUSPECT, CLEARED, GIVEN_UP}:
            found.append(describe(line, everything))
        elif line.event in {WAITS, STANDS_STILL}:
            found.append(_waited(line))
        elif line.event == "start_refused":
            found.append(f"{line.worker} refused {line.task} run {line.run}: {line.reason}")
        elif line.event == "run_absent":
            found.append(f"{line.worker} does not know {line.task} run {line.run}")
        elif line.event == "run_over":
            proof = f"{line.proof}, {line.age_s:.1f} s before"
            found.append(f"{line.task} run {line.run} counted as over on {line.worker}: {proof}")
    return found


def _waited(line: LogLine) -> str:
    """For what a job waited, by which mechanism, since when, and what ends that."""
    beside = " beside a free pool" if line.event == STANDS_STILL else ""
    stood = f"at {line.time} nothing of it had run for {line.stood_s:.1f} s{beside}"
    why = f"{_awaited(line.reason)} ({line.reason}; {line.tasks} tasks)"
    ends = f"ends with {line.ends}"
    if line.ends_s is not None:
        ends = f"{ends}, {line.ends_s:.1f} s later at most"
    if line.late_s >= LATE_S:
        ends = f"{ends}; the leader itself had come to nothing for {line.late_s:.1f} s before"
    return f"{stood}: {why}; {ends}"


def _awaited(reason: str) -> str:
    """What a reason stands for; other releases may know other ones."""
    try:
        return WaitReason(reason).awaited
    except ValueError:
        return "a reason that this release does not know"


def _evacuated(line: LogLine) -> str:
    if line.state == BEGUN:
        return (
            f"{line.data_hall} was evacuated at {line.time}: nothing starts there until it is back"
        )
    return f"{line.data_hall} was back at {line.time}"


def _concerns(line: LogLine, job_id: str) -> bool:
    return line.job == job_id or line.task.startswith(f"{job_id}.") or line.cause == job_id


@click.command()
@click.argument("job_id", metavar="ID")
@log_files
@errors_to_exit_codes
def explain(job_id: str, files: tuple[Path, ...]) -> None:
    """Tell what became of job ID, and why, from the log FILEs of all VMs."""
    everything = read(files)
    lines = related_lines(job_id, everything)
    if not lines:
        click.echo(f"no line tells of job {job_id}", err=True)
        raise SystemExit(1)
    for line in lines:
        click.echo(f"{line.time} {line.vm:24} {_shown(line)}")
    nothing = ["nothing went wrong with it, as far as is logged"]
    for sentence in causes(job_id, lines, everything) or nothing:
        click.echo(f"- {sentence}")


def _shown(line: LogLine) -> str:
    task = f"{line.task} run {line.run}" if line.task else line.job
    what = (line.event, task, line.worker, line.state, line.how)
    why = (line.data_hall, line.reason, line.cause or "", line.proof)
    return " ".join(part for part in what + why if part)
