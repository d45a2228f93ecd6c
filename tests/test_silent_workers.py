"""Workers that are cut off and run on are no evidence that a task crashes its workers.

A worker that is cut off from the VMs and the store looks like one that crashed: it does not answer
and its record expires. Each such loss counted as a crash, and nothing took it back, because an idle
worker that is listed again is not called. A job whose workers were cut off five times in a row was
shown as failed, although no run of it failed and no worker crashed.
"""

from __future__ import annotations

import asyncio
import random
from dataclasses import replace

from saddlestack.codec import from_msgpack, to_msgpack
from saddlestack.control.jobcodec import check_progress
from saddlestack.interfaces.workers import EndKind, WorkerRecord
from saddlestack.policy.cluster.crash_findings import CrashFindingKind
from saddlestack.policy.cluster.crash_rule import LIMIT_STARTS_FROM, MAX_LATER_STARTS
from saddlestack.policy.cluster.crashes import FIRST_RETRY_S
from saddlestack.policy.cluster.diagnosis import Diagnosis, DiagnosisContext
from saddlestack.policy.cluster.incarnation_end import IncarnationEnd
from saddlestack.policy.cluster.reasons import WaitReason
from saddlestack.policy.cluster.records import CrashRecord, OccurrenceRecord
from saddlestack.policy.cluster.state import ClusterState
from saddlestack.standins.pool.cluster import PoolCluster, job
from saddlestack.standins.pool.workers import PoolWorker, TaskPlan, payload
from saddlestack.work import JobRequest, JobState, Resources, Step
from tests.test_cluster_state import record, step
from tests.test_crashes import CrashCase
from tests.test_pool import PoolTest

JOB = "00000000000000aa"
WORK_S = 9.0
CUT_AFTER_S = 0.4
"""Time from a start until its worker is cut off."""
RECORD_EXPIRES_S = 4.5
"""Three heartbeats."""
CUT_FOR_S = 20.0
"""Longer than a lease, so that a cut worker is back after the next start."""
LONG_CUT_S = 90.0
"""Longer than all starts of a task that has used up its starts take."""
CUTS = 5
"""As many lost runs as a task that crashes its workers may have."""
PLAY_S = 200.0
MOST_STARTS = 5
"""Two more starts are allowed after a task has crashed three workers."""


async def cut(cluster: PoolCluster, worker: PoolWorker, for_s: float = CUT_FOR_S) -> None:
    """Cut a worker off from all VMs and the store; it runs on."""
    worker.unreachable = True
    await asyncio.sleep(RECORD_EXPIRES_S)
    cluster.worker_pool.expire_record(worker)
    await asyncio.sleep(for_s - RECORD_EXPIRES_S)
    worker.unreachable = False
    if worker.up:
        cluster.worker_pool.record(worker)


class CutsInTurn:
    """Cuts off the workers of each new start of a job.

    :param most: number of starts whose workers are cut off.
    :param for_s: duration of each cut in seconds.
    """

    def __init__(self, cluster: PoolCluster, most: int = CUTS, for_s: float = CUT_FOR_S) -> None:
        self._cluster = cluster
        self._most = most
        self._for_s = for_s
        self._cuts: list[asyncio.Task[None]] = []
        self._handled = 0

    async def play(self) -> None:
        """Cut off workers until enough have been, and all of them are back."""
        for _ in range(self._most):
            await self.cut_next()
        await asyncio.gather(*self._cuts)

    async def cut_next(self) -> None:
        """Wait for the next start, and cut off the workers of the runs that began with it."""
        history = self._cluster.worker_pool.history
        await self._cluster.until(lambda: len(history) > self._handled, PLAY_S)
        await asyncio.sleep(CUT_AFTER_S)
        started = history[self._handled :]
        self._handled = len(history)
        for worker in {run.worker for run in started}:
            cut_off = self._cluster.worker_pool.workers[worker]
            self._cuts.append(asyncio.create_task(cut(self._cluster, cut_off, self._for_s)))


async def change_leader(cluster: PoolCluster) -> None:
    """Kill the leader, start it again, and wait for the next one."""
    name = cluster.leader_name
    await cluster.kill(name)
    await cluster.add_entry(name)
    await cluster.until(lambda: cluster.leader is not None)


class CutOffInTurnTest(PoolTest):
    # Sound jobs were shown as failed, since each worker that was cut off counted as crashed.

    def test_a_job_whose_workers_are_cut_off_in_turn_is_completed(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cuts = asyncio.create_task(CutsInTurn(cluster).play())
            await cluster.submit(JOB, job(1, accelerators=8, work_s=WORK_S))
            await cluster.until_state(JOB, JobState.COMPLETED, PLAY_S)
            await cuts
            self.assertEqual(cluster.worker_pool.starts_of(JOB), CUTS + 1)

        self.play(body, racks=2, workers=6)

    def test_a_gang_whose_workers_are_cut_off_in_turn_is_completed(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cuts = asyncio.create_task(CutsInTurn(cluster, CUTS, LONG_CUT_S).play())
            await cluster.submit(JOB, job(2, accelerators=8, work_s=WORK_S, gang=True))
            await cluster.until_state(JOB, JobState.COMPLETED, PLAY_S)
            await cuts

        self.play(body, racks=2, workers=8)

    def test_a_lasting_task_whose_workers_are_cut_off_in_turn_is_started_again(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            plan = TaskPlan(WORK_S, room=8, lasts=True)
            needs = Resources(1000, 1024, 8)
            lasting = Step(count=1, needs=needs, estimate_ms=9000, long_running=True)
            cuts = asyncio.create_task(CutsInTurn(cluster).play())
            await cluster.submit(JOB, JobRequest(payload=payload(plan), steps=(lasting,)))
            await cuts
            await asyncio.sleep(LONG_CUT_S)
            self.assertIs(await cluster.state(JOB), JobState.RUNNING)
            self.assertIsNone(cluster.worker_pool.history[-1].ended)

        self.play(body, racks=2, workers=6)

    def test_a_job_is_completed_if_the_leader_changes_after_each_cut(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cuts = CutsInTurn(cluster)

            async def cut_and_change() -> None:
                for _ in range(CUTS):
                    await cuts.cut_next()
                    await asyncio.sleep(CUT_FOR_S - 2.0)
                    await change_leader(cluster)

            cutting = asyncio.create_task(cut_and_change())
            await cluster.submit(JOB, job(1, accelerators=8, work_s=WORK_S))
            await cutting
            await cluster.until_state(JOB, JobState.COMPLETED, PLAY_S)

        self.play(body, racks=2, workers=6)

    def test_a_later_leader_takes_back_what_it_inherits_once_the_workers_are_back(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cuts = asyncio.create_task(CutsInTurn(cluster, CUTS, LONG_CUT_S).play())
            await cluster.submit(JOB, job(1, accelerators=8, work_s=WORK_S))
            await cluster.until(lambda: cluster.worker_pool.starts_of(JOB) == CUTS, PLAY_S)
            await asyncio.sleep(CUT_FOR_S)
            self.assertIs(await cluster.state(JOB), JobState.RUNNING)
            await change_leader(cluster)
            await cluster.until_state(JOB, JobState.COMPLETED, PLAY_S)
            await cuts

        self.play(body, racks=2, workers=6)

    def test_a_job_waits_for_many_cut_workers_and_is_completed_once_they_are_back(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cuts = asyncio.create_task(CutsInTurn(cluster, CUTS, LONG_CUT_S).play())
            await cluster.submit(JOB, job(1, accelerators=8, work_s=WORK_S))
            await cluster.until_state(JOB, JobState.COMPLETED, PLAY_S)
            await cuts

        self.play(body, racks=2, workers=6)

    def test_jobs_on_a_rack_that_is_cut_off_again_and_again_are_completed(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            jobs = [f"{number:016x}" for number in range(1, 5)]
            for job_id in jobs:
                await cluster.submit(job_id, job(2, accelerators=4, work_s=40.0))
            for number in range(CUTS):
                await asyncio.sleep(2.0)
                rack = f"r{number % 2 + 1}-1"
                workers = list(cluster.worker_pool.workers.values())
                cuts = [cut(cluster, each) for each in workers if each.rack == rack]
                await asyncio.gather(*cuts)
            for job_id in jobs:
                await cluster.until_state(job_id, JobState.COMPLETED, PLAY_S)

        self.play(body, racks=2, workers=4)


class SilentCrashTest(PoolTest):
    # Guards the limit of starts where only missing answers show the crashes for a while.

    def test_a_task_that_crashes_its_workers_is_given_up_if_they_are_back_late(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.worker_pool.times.back_s = 25.0
            await cluster.submit(JOB, job(1, accelerators=8, crashes_s=0.2))
            await cluster.until_state(JOB, JobState.FAILED, PLAY_S)
            self.assertLessEqual(cluster.worker_pool.starts_of(JOB), MOST_STARTS)

        self.play(body, racks=2, workers=6)

    def test_it_is_given_up_if_the_leader_changes_while_they_are_away(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.worker_pool.times.back_s = 60.0
            await cluster.submit(JOB, job(1, accelerators=8, crashes_s=0.2))
            for _ in range(4):
                await asyncio.sleep(14.0)
                await change_leader(cluster)
            await cluster.until_state(JOB, JobState.FAILED, PLAY_S)
            self.assertLessEqual(cluster.worker_pool.starts_of(JOB), MOST_STARTS)

        self.play(body, racks=2, workers=6)

    def test_workers_that_never_return_are_taken_by_fewer_and_fewer_starts(self) -> None:
        async def body(cluster: PoolCluster) -> None:
            cluster.worker_pool.times.back_s = 1e6
            await cluster.submit(JOB, job(1, accelerators=8, crashes_s=0.2))
            await asyncio.sleep(FIRST_RETRY_S)
            self.assertLessEqual(cluster.worker_pool.starts_of(JOB), MOST_STARTS)
            await asyncio.sleep(2 * FIRST_RETRY_S)
            self.assertLessEqual(cluster.worker_pool.starts_of(JOB), MOST_STARTS + 1)

        self.play(body, racks=2, workers=8)


def record_at(worker_id: str, location: str = "") -> WorkerRecord:
    """A record whose machine and address follow from a location, by default the worker's id."""
    where = location or worker_id
    return replace(record(worker_id), machine=f"m-{where}", address=f"{where}:1")


class RandomEvidenceTest(CrashCase):
    """Random losses, answers and replacements of workers under a few jobs."""

    def test_the_evidence_stays_consistent(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                self.setUp()
                self.play(random.Random(seed))

    def play(self, rng: random.Random) -> None:
        names = [f"w{number}" for number in range(8)]
        for name in names:
            self.cluster_state.set_worker(record_at(name), 0.0)
        jobs = [self.add(step(1, 2)), self.add(step(2, 4, gang=True)), self.add(step(3, 8))]
        for time in range(150):
            now = time * 2.0
            self.plan(now)
            self.cause(rng, rng.choice(names), now)
            for job_id in jobs:
                self.check(job_id)

    def cause(self, rng: random.Random, name: str, now: float) -> None:
        """Lose a worker, or let it or its successor answer."""
        workers = self.cluster_state.workers
        lives = [each for each in workers if each.partition("-")[0] == name]
        life = rng.choice(lives) if lives else name
        event = rng.choice(("unheard", "unheard", "listed", "replaced", "answer", "successor"))
        if event == "successor":
            life = f"{name}-{rng.randrange(1000)}"
        if event in {"answer", "successor"}:
            worker = self.cluster_state.set_worker(record_at(life, name), now)
            self.cluster_state.record_answer(worker, now)
            return
        if event == "unheard":
            self.cluster_state.unlist_worker(life)
        end = IncarnationEnd(now, now + 0.5, unheard=event != "replaced")
        self.cluster_state.worker_ended(life, end)

    def check(self, job_id: str) -> None:
        job_state = self.cluster_state.jobs[job_id]
        (occurrence,) = job_state.occurrences
        check_progress(job_state.accepted, {0: occurrence.to_record()})
        index = self.cluster_state._crashes._unconfirmed
        for each in occurrence.steps[0].tasks if occurrence.open else ():
            known = self.known(job_id, each.name.index) or CrashRecord()
            self.assertGreaterEqual(known.crashes, len(known.unconfirmed))
            for crash in known.unconfirmed:
                self.assertIn(each, index.tasks_of(crash.worker))
            if known.crashes < LIMIT_STARTS_FROM:
                self.assertEqual(known.later_starts, 0)


class UnconfirmedCrashTest(CrashCase):
    """Evidence from ends that only missing answers show."""

    def workers(self, racks: int = 1, each: int = 2, **more: int) -> None:
        super().workers(racks, each, **more)
        for worker_id in list(self.cluster_state.workers):
            self.cluster_state.set_worker(record_at(worker_id), 0.0)

    def lose(self, job_id: str, now: float) -> str:
        """Lose the worker of a task for lack of answers; returns its id."""
        worker_id = self.run_of(job_id).worker_id
        self.cluster_state.record_answer(self.cluster_state.workers[worker_id], now)
        self.cluster_state.unlist_worker(worker_id)
        self.cluster_state.worker_ended(worker_id, IncarnationEnd(now, now + 0.5, unheard=True))
        return worker_id

    def lose_all(self, job_id: str) -> list[str]:
        """Lose workers until the task has used up its starts."""
        lost = []
        for number in range(LIMIT_STARTS_FROM + MAX_LATER_STARTS):
            now = number * 12.0
            self.assertEqual(len(self.plan(now).starts), 1)
            lost.append(self.lose(job_id, now + 0.2))
        return lost

    def answer(self, worker_id: str, now: float, location: str = "") -> None:
        """List a worker and let it answer."""
        worker = self.cluster_state.set_worker(record_at(worker_id, location), now)
        self.cluster_state.record_answer(worker, now)

    def held(self, job_id: str, now: float) -> bool:
        return not self.plan(now).starts and self.state(job_id) is JobState.RUNNING

    def test_silence_alone_never_fails_a_job(self) -> None:
        self.workers(racks=2, each=6)
        job_id = self.add(step(1, 8))
        self.lose_all(job_id)
        self.assertTrue(self.held(job_id, 60.0))

    def test_a_held_task_starts_again_once_a_worker_answers(self) -> None:
        self.workers(racks=2, each=6)
        job_id = self.add(step(1, 8))
        lost = self.lose_all(job_id)
        for worker_id in lost[:3]:
            self.assertTrue(self.held(job_id, 60.0))
            self.answer(worker_id, 60.0)
        self.assertEqual(len(self.plan(60.5).starts), 1)

    def test_a_held_task_is_given_up_once_three_workers_were_replaced(self) -> None:
        self.workers(racks=2, each=6)
        job_id = self.add(step(1, 8))
        lost = self.lose_all(job_id)
        self.cluster_state.take_changes()
        for number, worker_id in enumerate(lost[:LIMIT_STARTS_FROM]):
            self.assertIs(self.state(job_id), JobState.RUNNING)
            self.answer(f"{worker_id}-new", 60.0 + number, worker_id)
        self.assertIs(self.state(job_id), JobState.FAILED)
        kinds = [each.kind for each in self.cluster_state.take_changes().findings]
        confirmed = [CrashFindingKind.CONFIRMED] * (LIMIT_STARTS_FROM - 1)
        self.assertEqual(kinds, [*confirmed, CrashFindingKind.GIVEN_UP])

    def test_a_held_task_starts_once_more_after_a_wait_that_doubles(self) -> None:
        self.workers(racks=2, each=8)
        job_id = self.add(step(1, 8))
        self.lose_all(job_id)
        now = 60.0
        for wait_s in (FIRST_RETRY_S, 2 * FIRST_RETRY_S):
            self.assertTrue(self.held(job_id, now))
            self.assertTrue(self.held(job_id, now + wait_s - 1.0))
            now += wait_s + 1.0
            self.assertEqual(len(self.plan(now).starts), 1)
            self.lose(job_id, now + 0.2)
            now += 12.0

    def test_a_start_that_was_refused_after_the_wait_is_repeated_at_once(self) -> None:
        self.workers(racks=2, each=8)
        job_id = self.add(step(1, 8))
        self.lose_all(job_id)
        self.assertTrue(self.held(job_id, 60.0))
        later = 61.0 + FIRST_RETRY_S
        self.cluster_state.plan(later, 0.0)
        self.cluster_state.run_not_started(self.run_of(job_id))
        self.cluster_state.take_changes()
        self.assertEqual(len(self.plan(later + 0.5).starts), 1)

    def test_a_later_leader_decides_the_crashes_that_it_inherits(self) -> None:
        for replaced in (False, True):
            with self.subTest(replaced=replaced):
                self.setUp()
                self.workers(racks=2, each=6)
                job_id = self.add(step(1, 8))
                lost = self.lose_all(job_id)
                kept = self.task(job_id).step.occurrence.to_record()
                kept = from_msgpack(to_msgpack(kept), OccurrenceRecord)
                accepted = self.cluster_state.jobs[job_id].accepted
                self.cluster_state = ClusterState()
                self.workers(racks=2, each=6)
                self.cluster_state.add_job(accepted, {0: kept})
                asked = {each.worker_id for each in self.cluster_state.workers_to_ask()}
                self.assertEqual(asked, set(lost))
                for worker_id in lost:
                    name = f"{worker_id}-new" if replaced else worker_id
                    self.answer(name, 1.0, worker_id)
                expected = JobState.FAILED if replaced else JobState.RUNNING
                self.plan(2.0)
                self.assertIs(self.state(job_id), expected)
                self.assertEqual(list(self.cluster_state.workers_to_ask()), [])

    def test_a_job_that_waits_for_crashes_to_be_decided_reports_so(self) -> None:
        self.workers(racks=2, each=6)
        job_id = self.add(step(1, 8))
        self.lose_all(job_id)
        self.plan(60.0)
        context = DiagnosisContext(60.0, 0.0, 60.0, False, False, lambda _: False, lambda _: 0.0)
        (wait,) = Diagnosis(self.cluster_state).scan(context).waits
        self.assertIs(wait.reason, WaitReason.UNCONFIRMED_CRASH)
        self.assertEqual(wait.until_s, 60.0 + FIRST_RETRY_S)

    # The starts that a crash had used up stayed counted after the crash was taken back.
    def test_a_crash_that_is_taken_back_gives_its_starts_back(self) -> None:
        self.workers(racks=2, each=6)
        job_id = self.add(step(1, 8))
        self.plan(0.0)
        worker_id = self.run_of(job_id).worker_id
        step_record = self.task(job_id).step.record
        step_record.crashes[0] = CrashRecord(LIMIT_STARTS_FROM - 1, -3.0, 100.0)
        self.cluster_state.worker_ended(worker_id, IncarnationEnd(0.1, 0.6))
        self.plan(10.0)
        known = self.known(job_id)
        assert known is not None
        self.assertEqual((known.crashes, known.later_starts), (LIMIT_STARTS_FROM, 1))
        self.answer(worker_id, 11.0)
        known = self.known(job_id)
        assert known is not None
        self.assertEqual((known.crashes, known.later_starts), (LIMIT_STARTS_FROM - 1, 0))

    # A crash behind an outage of the store was not counted, so the limit of starts began too late.
    def test_a_listed_worker_that_was_silent_and_then_replaced_has_crashed(self) -> None:
        self.workers(racks=1, each=2)
        job_id = self.add(step(1, 8))
        self.plan(0.0)
        worker_id = self.run_of(job_id).worker_id
        self.cluster_state.worker_ended(worker_id, IncarnationEnd(0.2, 0.5, unheard=True))
        self.assertIsNone(self.known(job_id))
        self.cluster_state.worker_ended(worker_id, IncarnationEnd(0.2, 0.5))
        known = self.known(job_id)
        assert known is not None
        self.assertEqual((known.crashes, known.unconfirmed), (1, ()))

    # A worker that left as announced counted as crashed if it had been cut off from the VMs before.
    def test_a_silent_worker_that_announces_its_end_later_has_not_crashed(self) -> None:
        self.workers(racks=1, each=2)
        job_id = self.add(step(1, 8))
        self.plan(0.0)
        worker_id = self.run_of(job_id).worker_id
        self.cluster_state.worker_ended(worker_id, IncarnationEnd(0.2, 0.5, unheard=True))
        self.cluster_state.set_worker(record(worker_id, draining=True, remaining_ms=500), 12.0)
        self.cluster_state.unlist_worker(worker_id)
        self.assertIsNone(self.known(job_id))

    def test_a_run_that_outlives_the_crashes_lifts_the_limit(self) -> None:
        self.workers(racks=2, each=6)
        job_id = self.add(step(1, 8, long_running=True))
        self.lose_all(job_id)
        self.plan(60.0)
        now = 61.0 + FIRST_RETRY_S
        self.plan(now)
        self.end(job_id, EndKind.FAILED, now + 100.0)
        self.assertEqual(len(self.plan(now + 101.0).starts), 1)
        self.assertIs(self.state(job_id), JobState.RUNNING)
