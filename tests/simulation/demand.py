"""Finds the steps of a job that could run now, from the runs that ended at the workers."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from saddlestack.interfaces.workers import EndKind
from saddlestack.work import JobRequest, Step, TaskName
from tests.simulation.workers import SimRun

History = Mapping[TaskName, Sequence[SimRun]]
"""All runs of each task."""


def startable(job_id: str, request: JobRequest, wall_ms: float, history: History) -> Iterator[Step]:
    """Yield the unfinished steps of a job that are due and whose predecessors are done."""
    for occurrence in range(request.occurrences):
        if request.due_ms(occurrence) > wall_ms:
            return
        done = [
            _is_done(
                step, (TaskName(job_id, occurrence, number, i) for i in range(step.count)), history
            )
            for number, step in enumerate(request.steps)
        ]
        for number, step in enumerate(request.steps):
            if not done[number] and all(done[earlier] for earlier in step.after):
                yield step


def _is_done(step: Step, names: Iterator[TaskName], history: History) -> bool:
    """Whether all tasks of a step are done; one done member of a gang is enough."""
    if step.long_running:
        return False
    ended = (_has_end(history.get(name, ())) for name in names)
    return any(ended) if step.gang else all(ended)


def _has_end(runs: Sequence[SimRun]) -> bool:
    """Whether a run ended done; an end is void once the worker's lease has expired."""
    return any(run.how is EndKind.DONE and not run.lapsed for run in runs)
