"""What happened to the jobs of a day of hard load."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

import msgspec

from saddlestack.interfaces.workers import EndKind
from saddlestack.work import JobRequest
from tests.simulation.hard_load import OBJECTIVES
from tests.simulation.slow_gangs import FROM_S, SlowGangJudge, SlowGangs, UrgentGang
from tests.simulation.workers import Plan, SimRun, SimWorker


@dataclass(slots=True)
class HardLoadHistory:
    """All jobs of a day, when their clients submitted and cancelled them, and all runs."""

    jobs: Mapping[str, tuple[str, JobRequest]]
    submitted_s: Mapping[str, float]
    cancelled_s: Mapping[str, float]
    runs: Sequence[SimRun]

    def in_time(self) -> dict[str, tuple[int, int]]:
        """For each queue, how many jobs met their objective, and how many were not cancelled."""
        ended_s: dict[str, float] = {}
        done: dict[str, set[tuple[int, int]]] = {}
        for run in self.runs:
            if run.how is EndKind.DONE:
                job_id = run.task.job_id
                ended_s[job_id] = max(ended_s.get(job_id, 0.0), run.ended_s or 0.0)
                done.setdefault(job_id, set()).add((run.task.step, run.task.index))
        found = dict.fromkeys(OBJECTIVES, (0, 0))
        for job_id, (queue, request) in self.jobs.items():
            if job_id in self.cancelled_s:
                continue
            tasks = sum(step.count for step in request.steps)
            took_s = ended_s.get(job_id, math.inf) - self.submitted_s[job_id]
            whole = len(done.get(job_id, ())) == tasks
            met, known = found[queue]
            in_time = whole and took_s <= _objective_s(queue, request)
            found[queue] = (met + in_time, known + 1)
        return found

    def slow_gangs(self, begins_s: float, workers: Iterable[SimWorker]) -> SlowGangs:
        """Judge the starts of urgent gangs.

        :param begins_s: when the demand began.
        """
        gangs = {
            job_id: UrgentGang(
                job_id,
                request.steps[0],
                self.submitted_s[job_id],
                _work_s(request),
                _objective_s(queue, request),
                self.cancelled_s.get(job_id, math.inf),
            )
            for job_id, (queue, request) in self.jobs.items()
            if queue == "urgent"
        }
        return SlowGangJudge(self.runs, gangs, begins_s + FROM_S).judge(workers)


def _work_s(request: JobRequest) -> float:
    """Seconds of work of the longest chain of a job: its steps run one after the other."""
    return msgspec.json.decode(request.payload, type=Plan).work_s * len(request.steps)


def _objective_s(queue: str, request: JobRequest) -> float:
    stretch, target_ms = OBJECTIVES[queue]
    return stretch * _work_s(request) + target_ms / 1000
