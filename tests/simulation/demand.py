"""What of a job could run now, as far as the ends of its runs at the workers tell."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from saddlestack.interfaces.workers import EndKind
from saddlestack.work import JobRequest, Step, TaskName
from tests.simulation.workers import SimRun

History = Mapping[TaskName, Sequence[SimRun]]
"""All runs of each task."""


def startable(job_id: str, request: JobRequest, wall_ms: float, history: History) -> Iterator[Step]:
    """The steps of a job with tasks left to run: due, and with the steps before them done."""
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
    """Whether all tasks of a step are done; those of a gang are done together."""
    if step.long_running:
        return False
    ended = (_has_end(history.get(name, ())) for name in names)
    return any(ended) if step.gang else all(ended)


def _has_end(runs: Sequence[SimRun]) -> bool:
    """Whether a run ended done; an end counts for nothing once the worker's lease has lapsed."""
    return any(run.how is EndKind.DONE and not run.lapsed for run in runs)
