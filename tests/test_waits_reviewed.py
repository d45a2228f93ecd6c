"""Faults that a review of the stall prevention found, one per test."""

from __future__ import annotations

import asyncio
import sys
import unittest
import unittest.mock
from collections.abc import Sequence
from types import FrameType
from typing import cast

import msgspec

from saddlestack.control.commits import CommitQueue, JobRecords
from saddlestack.control.health import StoreHealth
from saddlestack.control.journal import Journal
from saddlestack.interfaces.machines import Leave
from saddlestack.interfaces.store import Committed, MetadataStore, Transaction, WriteInDoubt
from saddlestack.interfaces.workers import EndKind
from saddlestack.platform.kv import SEND_RATE_BYTES_S
from saddlestack.policy.cluster.places import IndexedPlaces
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.wait_limits import IDLE_POOL_WAIT_S
from saddlestack.policy.cluster.workers import Worker
from saddlestack.policy.stall import STALL_S
from saddlestack.standins.loop import VirtualClock, run
from saddlestack.work import Step
from tests.simulation.scene import SceneTest, job, tasks
from tests.simulation.troubles import DOUBT_S
from tests.simulation.ways import ANY, Fault
from tests.support import bare_context
from tests.test_cluster_state import BULK, NORMAL, ClusterCase, record, step
from tests.test_diagnosis import DiagnosisCase
from tests.test_session import Scene, SessionCase

QUARANTINE_AT_S = 1.0


class FailingWorkersTest(ClusterCase):
    """All workers fail the runs that they start and are in quarantine; the pool is free."""

    def setUp(self) -> None:
        super().setUp()
        self.workers(racks=1, each=4)

    def quarantine(self, now: float) -> None:
        for worker in self.cluster_state.workers.values():
            for _ in range(3):
                worker.record_failure(now, early=True)

    def starts_in_quarantine(self, job: str) -> list[float]:
        found = []
        for tick in range(2, 15):
            now = tick * 0.5
            for start in self.plan(now).starts:
                worker = self.cluster_state.workers[start.run.worker_id]
                if start.run.task.name.job_id == job and now < worker.quarantine_s:
                    found.append(now)
        return found

    def test_a_step_that_may_run_only_once_goes_to_no_worker_in_quarantine(self) -> None:
        """A run that fails there is the last one: its job fails permanently."""
        self.quarantine(QUARANTINE_AT_S)
        job = self.add(step(1, 1, once=True), priority=NORMAL)
        self.assertEqual(self.starts_in_quarantine(job), [])

    def test_a_job_of_one_attempt_goes_to_no_worker_in_quarantine(self) -> None:
        """Its first failure is its last."""
        self.quarantine(QUARANTINE_AT_S)
        job = self.add(step(1, 1), priority=NORMAL, attempts=1)
        self.assertEqual(self.starts_in_quarantine(job), [])

    def test_a_gang_of_one_attempt_goes_to_no_worker_in_quarantine(self) -> None:
        self.quarantine(QUARANTINE_AT_S)
        job = self.add(step(2, 1, gang=True), priority=BULK, attempts=1)
        self.assertEqual(self.starts_in_quarantine(job), [])


class AdvisedTest(ClusterCase):
    """Work of an advised queue, with the adviser's approval for every worker."""

    def setUp(self) -> None:
        super().setUp()
        self.cluster_state.configure({}, {}, advised=("q",))

    def started_within(self, job: str, until_s: float) -> bool:
        for tick in range(int(until_s / 0.5) + 1):
            now = tick * 0.5
            changes = self.plan(now)
            if any(start.run.task.name.job_id == job for start in changes.starts):
                return True
            for question in changes.advice_requests:
                approvals = [Leave(worker, "ticket", 600.0) for worker in question.workers]
                question.step.advice.record_answer(question.workers, approvals, now)
                question.step.advice.asking = False
        return False

    def test_a_gang_of_one_rack_is_spread_where_no_rack_is_free_and_the_pool_is(self) -> None:
        """As without an adviser (see tests.test_placement_stalls); here the gang waited forever."""
        self.workers(racks=4, each=2)
        for rack in range(1, 5):
            self.assertTrue(self.started_within(self.add(step(1, 1, label=f"r{rack}")), 5.0))
        job = self.add(step(2, 8, gang=True, same_rack=True), priority=NORMAL)
        self.assertTrue(self.started_within(job, 30.0))

    def test_probation_does_not_delay_an_advised_gang_in_a_free_pool(self) -> None:
        self.workers(racks=4, each=2)
        for worker in self.cluster_state.workers.values():
            worker.record_failure(0.0, early=True)
        job = self.add(step(2, 8, gang=True), priority=NORMAL)
        self.assertTrue(self.started_within(job, STALL_S + 1.0))


class DiagnosedWaitsTest(DiagnosisCase):
    def test_a_last_attempt_that_waits_for_probation_is_diagnosed(self) -> None:
        """The feasibility check's own rule for probation did not consider last attempts."""
        self.workers(each=2)
        self.add(step(1, 8, label="r1"))
        self.plan(0.0)
        for worker in self.cluster_state.workers.values():
            worker.record_failure(0.0, early=True)
        job = self.add(step(1, 1), priority=NORMAL)
        self.cluster_state.jobs[job].occurrences[0].steps[0].tasks[0].record.failures = 2
        self.assertEqual(self.plan(5.0).starts, [])
        self.assertEqual(self.why(job, 5.0), WaitReason.PROBATION)

    def test_a_wait_for_quarantine_in_a_free_pool_ends_at_the_wait_limit(self) -> None:
        """As waits for probation and trial do; it was reported to last until quarantine ends."""
        self.workers(each=2)
        for worker in self.cluster_state.workers.values():
            for _ in range(4):
                worker.record_failure(0.0, early=False)
        job = self.add(step(1, 1), priority=NORMAL)
        self.plan(5.0)
        self.assertEqual(self.scan(5.0)[job].until_s, 5.0 + IDLE_POOL_WAIT_S)
        self.assertEqual(len(self.plan(5.0 + IDLE_POOL_WAIT_S + 0.1).starts), 1)


class CostTest(ClusterCase):
    def test_a_job_of_many_steps_does_not_scan_all_its_tasks_for_each_step(self) -> None:
        """256 steps of 39 tasks for a label that no worker has: 0.1 s a round in a pool of 100."""
        self.workers(racks=10, each=5)
        self.add(*[step(39, 1, label="none") for _ in range(256)], priority=NORMAL)
        self.plan(0.1)
        self.assertLessEqual(self.calls_of_a_round(STALL_S), 5 * self.calls_of_a_round(1.0))

    def calls_of_a_round(self, now: float) -> int:
        """Count calls of functions and resumptions of generators in a round."""
        calls = 0

        def note(frame: FrameType, event: str, arg: object) -> None:
            nonlocal calls
            calls += event == "call"

        sys.setprofile(note)
        try:
            self.cluster_state.plan(now, 0.0)
        finally:
            sys.setprofile(None)
        return calls

    def test_stalled_work_of_one_kind_checks_all_workers_once_a_round(self) -> None:
        """With 3,000 workers each check takes 0.8 ms, and a round of 3,000 such steps 1.5 s."""
        self.workers(racks=10, each=5)
        self.add(step(5, 8, label="r1"))
        self.plan(0.0)
        for _ in range(100):
            self.add(step(1, 8, label="r1"), priority=NORMAL)
        self.plan(0.1)
        checks = 0
        plain = Worker.matches

        def matches(worker: Worker, wanted: Step) -> bool:
            nonlocal checks
            checks += 1
            return plain(worker, wanted)

        with unittest.mock.patch.object(Worker, "matches", matches):
            self.plan(STALL_S)
        self.assertLessEqual(checks, 4 * len(self.cluster_state.workers))

    def test_gangs_larger_than_the_pool_cost_no_more_once_they_are_stalled(self) -> None:
        """With 3,000 workers each takes 7 ms a round, and they wait forever."""
        self.workers(racks=10, each=5)
        for _ in range(100):
            self.add(step(500, 8, gang=True), priority=NORMAL)
        self.plan(0.1)
        calls = 0
        plain = IndexedPlaces.soonest

        def soonest(places: IndexedPlaces) -> Sequence[Worker]:
            nonlocal calls
            calls += 1
            return plain(places)

        with unittest.mock.patch.object(IndexedPlaces, "soonest", soonest):
            self.plan(STALL_S)
        self.assertLessEqual(calls, 1)


class BusyWorkerTest(ClusterCase):
    def test_stalled_work_goes_last_to_a_worker_that_refuses_all_starts(self) -> None:
        """It has no recorded failures, so it was repeatedly preferred to workers that have some."""
        self.workers(racks=1, each=6)
        workers = list(self.cluster_state.workers.values())
        for worker in workers[1:]:
            worker.record_failure(1.0, early=True)
            worker.record_failure(1.0, early=True)
        workers[0].record_refusal(2.0)
        self.add(step(1, 1), priority=NORMAL)
        self.plan(0.1)
        workers[0].record_refusal(2.9)
        [start] = self.plan(3.0).starts
        self.assertNotEqual(start.run.worker_id, workers[0].worker_id)


class EarlyFailureTest(ClusterCase):
    def test_work_without_an_estimate_that_fails_at_once_fails_early(self) -> None:
        """Counted as late it puts no worker on probation, so gangs and urgent work go there."""
        self.workers(racks=1, each=2)
        job = self.add(msgspec.structs.replace(step(1, 1), estimate_ms=0), priority=NORMAL)
        [start] = self.plan(0.0).starts
        self.end(job, EndKind.FAILED, 0.03)
        self.assertGreater(self.cluster_state.workers[start.run.worker_id].probation_s, 0.0)


class StalledForLongTest(ClusterCase):
    """A job that remains stalled must not be treated as one that has just begun to wait."""

    def test_a_refused_start_does_not_restart_the_wait_of_a_job(self) -> None:
        """It was placed after 2 s, refused, and placed again only 2 s later: 4 s in all."""
        self.workers(racks=1, each=6)
        for worker in self.cluster_state.workers.values():
            for _ in range(5):
                worker.record_failure(0.0, early=True)
        job = self.add(step(1, 1), priority=NORMAL)
        run = None
        now = 0.0
        while run is None and now < STALL_S:
            now += 0.1
            self.cluster_state.plan(now, 0.0)
            run = next(iter(start.run for start in self.cluster_state.take_changes().starts), None)
        assert run is not None
        self.cluster_state.workers[run.worker_id].record_refusal(now)
        self.cluster_state.run_not_started(run)
        self.cluster_state.plan(now + 0.1, 0.0)
        starts = self.cluster_state.take_changes().starts
        self.assertEqual([start.run.task.name.job_id for start in starts], [job])

    def test_a_run_on_an_unreachable_worker_delays_no_other_task(self) -> None:
        """No task of the job is known to run."""
        self.workers(racks=1, each=6)
        job = self.add(step(2, 8), priority=NORMAL)
        workers = list(self.cluster_state.workers.values())
        for worker in workers[1:]:
            for _ in range(5):
                worker.record_failure(0.0, early=True)
        self.assertEqual(len(self.plan(0.0).starts), 1)
        workers[0].reachable = False
        started = False
        for tick in range(1, 12):
            started = started or bool(self.plan(tick * 0.5).starts)
        self.assertTrue(started, job)


class NarrowStore:
    """A store on a link of 10 Mbit/s; a write that times out half sent has to be sent anew."""

    def __init__(self) -> None:
        self._line = asyncio.Lock()
        self.revision = 1

    async def transact(self, transaction: Transaction) -> Committed:
        async with self._line:
            size = sum(len(put.value) for put in transaction.puts) * 4 / 3
            await asyncio.sleep(size / SEND_RATE_BYTES_S)
        self.revision += 1
        return Committed(self.revision)


class RefusedStartsTest(SceneTest):
    def test_starts_that_a_worker_refuses_extend_no_lease_there(self) -> None:
        """Each start that was sent counted as a lease of all runs on its worker."""
        self.hand_in(job(tasks(1), work_s=4.0))
        self.after(2.0)
        worker = self.site.workers.begun[0].worker.worker_id
        lasts_s = 3 * DOUBT_S
        self.site.ways.add(Fault("busy", ANY, worker, self.now + lasts_s))
        for number in range(int(lasts_s)):
            self.hand_in(job(tasks(1), work_s=0.5), f"{number + 100:016x}")
            self.after(1.0)
        self.assertEqual(self.after(1.0).unexplained, [])


class DrainingTest(SessionCase):
    def test_no_start_leaves_for_a_worker_that_has_been_draining_for_3_s(self) -> None:
        """The record of the assignment was waiting for the store meanwhile."""

        async def body(scene: Scene) -> None:
            start = scene.plan().starts[0]
            now = asyncio.get_running_loop().time()
            scene.cluster_state.set_worker(record("w11", draining=True), now)
            await asyncio.sleep(3.5)
            scene.session.start(start)
            await asyncio.sleep(1.0)
            self.assertEqual(scene.orders.timeouts, [])

        self.play(body)


class LosingStore:
    """A store that loses all writes of one key, as of a record too large for the link."""

    async def transact(self, transaction: Transaction) -> Committed:
        if any(put.key == "a1" for put in transaction.puts):
            await asyncio.sleep(1.0)
            raise WriteInDoubt("silence")
        await asyncio.sleep(0.01)
        return Committed(2)


class SharedTransactionTest(unittest.TestCase):
    def test_a_record_that_is_never_written_does_not_delay_other_jobs_of_its_round(self) -> None:
        followed: list[str] = []

        async def main() -> None:
            clock = VirtualClock()
            store = cast(MetadataStore, LosingStore())
            context = bare_context(clock, store=store, health=StoreHealth(store, clock))
            commits = CommitQueue(context, Journal(context, 1), lambda reason: None)
            commits.put(
                1,
                [
                    JobRecords("a", {"a1": b"1"}, lambda: followed.append("a")),
                    JobRecords("b", {"b1": b"1"}, lambda: followed.append("b")),
                ],
            )
            await asyncio.sleep(30.0)
            await commits.stop()

        run(main())
        self.assertEqual(followed, ["b"])


class LargeRecordsTest(unittest.TestCase):
    """A record of 10,000 tasks has 0.4 MB, and several jobs of that size change at once."""

    def written_within(self, jobs: int, seconds: float) -> int:
        followed: list[int] = []

        async def main() -> None:
            clock = VirtualClock()
            store = cast(MetadataStore, NarrowStore())
            context = bare_context(clock, store=store, health=StoreHealth(store, clock))
            commits = CommitQueue(context, Journal(context, 1), lambda reason: None)
            records = {f"j{number}": {f"k{number}": bytes(400_000)} for number in range(jobs)}
            commits.put(
                1,
                [
                    JobRecords(job, written, lambda: followed.append(1))
                    for job, written in records.items()
                ],
            )
            await asyncio.sleep(seconds)
            await commits.stop()

        run(main())
        return len(followed)

    def test_few_large_records_are_written(self) -> None:
        self.assertEqual(self.written_within(4, 10.0), 4)

    def test_a_round_of_large_records_is_written_eventually(self) -> None:
        """12 take 6.4 s to send and an attempt times out after 4 s, so none was ever written."""
        self.assertEqual(self.written_within(12, 60.0), 12)


if __name__ == "__main__":
    unittest.main()
