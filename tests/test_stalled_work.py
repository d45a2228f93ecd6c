"""Causes for which accepted work stalled although the pool was mostly free, one per test."""

from __future__ import annotations

import asyncio
import random
import unittest
import unittest.mock
from collections.abc import Iterator
from contextlib import contextmanager

import msgspec

from saddlestack.control.keys import PROGRESS
from saddlestack.interfaces.store import Committed, Conflict, Transaction, WriteInDoubt
from saddlestack.interfaces.workers import EndKind
from saddlestack.platform.kv import CALL_TIMEOUT_S
from saddlestack.standins.loop import WALL_EPOCH_S
from saddlestack.work import JobRequest, Step
from tests.simulation.scene import JOB, OTHER, ROOM, SceneTest, job, tasks
from tests.simulation.troubles import DOUBT_S
from tests.simulation.ways import ANY, Fault, SimStore
from tests.simulation.workers import Plan

LASTS_S = 60.0
"""Duration of work that outlasts its test."""
OBSERVED_S = 12.0
"""Observed time: the longest wait limit, of work near its data, is 8 s."""
LOST_S = 6.0
"""Time for which writes about one job get lost."""
RACK = "r1-1"
"""A rack with three of the twelve workers."""


def near(step: Step) -> Step:
    """Return a step with its data on :data:`RACK`."""
    return msgspec.structs.replace(step, data_rack=RACK)


def failing(step: Step) -> JobRequest:
    """Return a job each task of which fails once, early, by its own fault."""
    plan = Plan(0.5, step.needs.accelerators, failures=1, fails_s=0.2)
    return JobRequest(payload=msgspec.json.encode(plan).decode(), steps=(step,))


class NearDataTest(SceneTest):
    def test_a_task_whose_rack_is_full_starts_elsewhere(self) -> None:
        self.hand_in(job(near(tasks(3, ROOM)), LASTS_S), OTHER)
        self.after(1.0)
        self.assertEqual({run.worker.rack for run in self.site.workers.begun}, {RACK})
        self.hand_in(job(near(tasks(2, ROOM))))
        self.assertEqual(self.after(OBSERVED_S).unexplained, [])

    def test_a_gang_larger_than_its_rack_starts(self) -> None:
        self.hand_in(job(near(tasks(4, ROOM, gang=True))))
        self.assertEqual(self.after(OBSERVED_S).unexplained, [])


class FailingJobTest(SceneTest):
    def test_other_jobs_start_while_one_job_fails_everywhere(self) -> None:
        self.hand_in(failing(tasks(24, ROOM)), OTHER)
        self.after(3.0)
        self.assertTrue(any(run.how is EndKind.FAILED for run in self.site.workers.begun))
        self.hand_in(job(tasks(4, ROOM, gang=True)), JOB)
        self.hand_in(job(tasks(4, 4)), "c" * 16)
        self.assertEqual(self.after(OBSERVED_S).unexplained, [])


class WorkersLostTest(SceneTest):
    def test_allocations_on_lost_workers_do_not_use_up_the_headroom(self) -> None:
        self.hand_in(job(tasks(7, ROOM), LASTS_S), OTHER, "urgent")
        self.after(3.0)
        for run in list(self.site.workers.begun):
            self.site.end_worker(self.site.heartbeats[run.worker.worker_id])
        self.site.cancel(self.leader, OTHER, "urgent")
        self.hand_in(job(tasks(2, ROOM, gang=True), LASTS_S), "c" * 16)
        self.after(1.0)
        self.hand_in(job(tasks(1, ROOM)))
        self.assertEqual(self.after(OBSERVED_S).unexplained, [])

    def test_a_run_ends_with_its_leases_while_its_worker_answers_503(self) -> None:
        self.hand_in(job(tasks(1), work_s=4.0))
        self.after(2.0)
        worker = self.site.workers.begun[0].worker.worker_id
        lasts_s = 2 * DOUBT_S
        self.site.ways.add(Fault("busy", ANY, worker, self.now + lasts_s))
        self.assertEqual(self.after(lasts_s).unexplained, [])


class Longest(random.Random):
    """A generator whose uniform draws are always the upper bound."""

    def uniform(self, a: float, b: float) -> float:
        """Return the upper bound."""
        return b


class ReservedCapacityTest(SceneTest):
    def test_capacity_reserved_during_a_slow_stop_delays_no_other_work(self) -> None:
        """An urgent gang reserves eight idle workers and one whose run takes 5 s to stop."""
        self.site.workers._stop_s = 5.0
        self.site.workers._rng = Longest(1)
        self.hand_in(job(tasks(4, ROOM), LASTS_S), OTHER, "bulk")
        self.after(2.0)
        self.hand_in(job(tasks(9, ROOM, gang=True), 3.0), "c" * 16, "urgent")
        self.after(0.2)
        self.hand_in(job(tasks(1)))
        self.assertEqual(self.after(OBSERVED_S).unexplained, [])


class WritesTest(SceneTest):
    def test_lost_writes_about_one_job_delay_no_other_job(self) -> None:
        due_ms = round((WALL_EPOCH_S + self.now) * 1000)
        with lost_writes(OTHER, self.now + LOST_S):
            self.hand_in(job(tasks(1), times=4, first_at_ms=due_ms, interval_ms=1000), OTHER)
            self.after(1.5)
            self.hand_in(job(tasks(4)))
            self.after(LOST_S)
        told = [each.job_id for each in self.judge.found.unexplained]
        self.assertNotIn(JOB, told)


@contextmanager
def lost_writes(job_id: str, until: float) -> Iterator[None]:
    """Neither apply nor answer writes about the progress of a job before a time."""
    plain = SimStore.transact

    async def transact(self: SimStore, transaction: Transaction) -> Committed | Conflict:
        about = any(put.key.startswith(f"{PROGRESS}{job_id}") for put in transaction.puts)
        if about and asyncio.get_running_loop().time() < until:
            await asyncio.sleep(CALL_TIMEOUT_S)
            raise WriteInDoubt("silence")
        return await plain(self, transaction)

    with unittest.mock.patch.object(SimStore, "transact", transact):
        yield


if __name__ == "__main__":
    unittest.main()
