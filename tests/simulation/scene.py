"""A simulated deployment with stall detection, for tests that submit their own jobs."""

from __future__ import annotations

import unittest

import msgspec

from saddlestack.work import JobRequest, Resources, Step
from tests.simulation.deployment import Deployment, Shape, Vm
from tests.simulation.standstills import StandstillJudge, Standstills
from tests.simulation.workers import Plan

BEGINS_S = 2.0
"""Workers are registered and a leader is elected by then."""
JOB = "a" * 16
OTHER = "b" * 16
ROOM = 8
"""Accelerators of a worker."""


def job(step: Step, work_s: float = 0.5, **more: int) -> JobRequest:
    """A job of one step."""
    plan = Plan(work_s, step.needs.accelerators, step.count if step.gang else 0)
    payload = msgspec.json.encode(plan).decode()
    return JobRequest(payload=payload, steps=(step,), **more)


def tasks(count: int, accelerators: int = 1, **more: bool) -> Step:
    """A step of some tasks with the given number of accelerators each."""
    return Step(count=count, needs=Resources(500, 512, accelerators), **more)


class SceneTest(unittest.TestCase):
    """Twelve workers of eight accelerators in four racks, three VMs, and a stall detector."""

    def setUp(self) -> None:
        self.site = Deployment(Shape(), seed=1)
        self.addCleanup(self.site.close)
        self.jobs: dict[str, tuple[str, JobRequest]] = {}
        self.judge = StandstillJudge(self.site, self.jobs)
        self.site.start()
        self.judge.begin()
        self.site.timeline.run(BEGINS_S)

    @property
    def leader(self) -> Vm:
        leader = self.site.latest_leader
        assert leader is not None
        return leader

    @property
    def now(self) -> float:
        return self.site.world.time()

    def hand_in(self, request: JobRequest, job_id: str = JOB, queue: str = "normal") -> None:
        self.jobs[job_id] = (queue, request)
        self.site.submit(self.site.vms["entry-1"], job_id, queue, request)

    def after(self, seconds: float) -> Standstills:
        self.site.timeline.run(self.now + seconds)
        return self.judge.found

    def crash_worker_of(self, job_id: str) -> None:
        """End the incarnation of the worker that started the latest run of a job."""
        run = next(r for r in reversed(self.site.workers.begun) if r.task.job_id == job_id)
        self.site.end_worker(self.site.heartbeats[run.worker.worker_id])
